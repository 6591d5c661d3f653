//! One session: it does one thing at a time, at one daemon after another.

use super::connection::{Access, Connection};
use super::latency::LatenciesByKind;
use super::mix::{Mix, Step, TransactionEnd};
use super::numbers::{OwnItems, RunNumbers};
use super::{outcome, statements};
use crate::history::{
    Action, ItemId, Operation, ReadOperation, ReadOutcome, Row, SessionHistory, WriteOperation,
    WriteOutcome,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use stilequay_daemon::domain::names::{GroupName, SessionName};
use tokio::time::{sleep, timeout};
use tokio_postgres::Error;
use tokio_util::sync::CancellationToken;

/// Longest time a session waits for one answer before it gives the request up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failure, so that a session does not hammer what is down.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);
/// Rows of a transaction.
const ROWS_PER_TRANSACTION: usize = 3;

/// What a session needs.
#[derive(Debug, Clone)]
pub struct SessionSettings {
    /// Number of the session in the run.
    pub number: usize,
    /// Seed of all that it draws.
    pub seed: u64,
    /// Where it may connect.
    pub endpoints: Vec<SocketAddr>,
    /// The database and who asks.
    pub access: Access,
    /// Whether it names itself, so that the daemons know it wherever it goes.
    pub named: bool,
    /// What it does.
    pub mix: Mix,
    /// Pause between operations.
    pub think_time: Duration,
    /// Operations after which it ends by itself.
    pub operations: Option<usize>,
}

/// What a session did.
#[derive(Debug)]
pub struct SessionResult {
    /// Its operations.
    pub history: SessionHistory,
    /// How long they took.
    pub latencies: LatenciesByKind,
}

/// A running session.
pub struct Session {
    settings: SessionSettings,
    name: SessionName,
    group: GroupName,
    numbers: Arc<RunNumbers>,
    started: Instant,
    random: StdRng,
    own_items: OwnItems,
    endpoint: usize,
    connections: Vec<Option<Connection>>,
    result: SessionResult,
}

impl Session {
    /// A session that has done nothing yet; `started` is the start of the run.
    pub fn new(settings: SessionSettings, numbers: Arc<RunNumbers>, started: Instant) -> Self {
        let name = SessionName::new(format!("session-{}", settings.number));
        let mut random = StdRng::seed_from_u64(settings.seed ^ settings.number as u64);
        let endpoint = random.random_range(0..settings.endpoints.len());
        Self {
            group: GroupName::new(settings.access.database.clone()),
            numbers,
            started,
            random,
            own_items: OwnItems::new(settings.number),
            endpoint,
            connections: settings.endpoints.iter().map(|_| None).collect(),
            result: SessionResult {
                history: SessionHistory {
                    session: name.clone(),
                    operations: Vec::new(),
                },
                latencies: LatenciesByKind::default(),
            },
            name,
            settings,
        }
    }

    /// Does one thing after another until `stop` is cancelled or it has done enough.
    pub async fn run(mut self, stop: CancellationToken) -> SessionResult {
        while !stop.is_cancelled() && !self.has_done_enough() {
            self.step().await;
            if !self.settings.think_time.is_zero() {
                sleep(self.settings.think_time).await;
            }
        }
        self.result
    }

    fn has_done_enough(&self) -> bool {
        let done = self.result.history.operations.len();
        self.settings
            .operations
            .is_some_and(|enough| done >= enough)
    }

    async fn step(&mut self) {
        if self.random.random_bool(self.settings.mix.roaming) {
            self.endpoint = self.random.random_range(0..self.connections.len());
        }
        let invoked = self.started.elapsed();
        let step = self.settings.mix.draw(&mut self.random);
        let action = match step {
            Step::Write => self.write(1, TransactionEnd::Commit).await,
            Step::Transaction { end } => self.write(ROWS_PER_TRANSACTION, end).await,
            Step::Read { prepared } => self.read(prepared).await,
        };
        let completed = self.started.elapsed();
        let succeeded = self.record_latency(step, &action, completed - invoked);
        self.result.history.operations.push(Operation {
            group: self.group.clone(),
            invoked,
            completed,
            action,
        });
        if !succeeded {
            sleep(FAILURE_PAUSE).await;
        }
    }

    fn record_latency(&mut self, step: Step, action: &Action, latency: Duration) -> bool {
        let succeeded = match action {
            Action::Write(write) => write.outcome == WriteOutcome::Acknowledged,
            Action::Read(read) => matches!(read.outcome, ReadOutcome::Rows(_)),
        };
        let latencies = &mut self.result.latencies;
        let of_kind = match step {
            Step::Write => &mut latencies.writes,
            Step::Transaction { .. } => &mut latencies.transactions,
            Step::Read { .. } => &mut latencies.reads,
        };
        if succeeded {
            of_kind.record(latency);
        }
        let ended_on_purpose = |end| end != TransactionEnd::Commit;
        succeeded || matches!(step, Step::Transaction { end } if ended_on_purpose(end))
    }

    fn item(&mut self) -> ItemId {
        match self.random.random_bool(self.settings.mix.shared) {
            true => self.numbers.shared_item(),
            false => self.own_items.current(),
        }
    }

    async fn write(&mut self, rows: usize, end: TransactionEnd) -> Action {
        let id = self.numbers.write();
        let item = self.item();
        let rows: Vec<Row> = (0..rows).map(|_| self.numbers.row(item, id)).collect();
        self.own_items.add_rows(rows.len() as u64);
        let outcome = self.attempt_write(&rows, end).await;
        Action::Write(WriteOperation {
            id,
            rows,
            repeatable: false,
            outcome,
        })
    }

    async fn attempt_write(&mut self, rows: &[Row], end: TransactionEnd) -> WriteOutcome {
        let Ok(connection) = self.connection().await else {
            return WriteOutcome::NotRun;
        };
        let writing = write_rows(connection, rows, end);
        let (outcome, usable) = timeout(ANSWER_TIMEOUT, writing)
            .await
            .unwrap_or((WriteOutcome::MayHaveRun, false));
        if !usable {
            self.drop_connection();
        }
        outcome
    }

    async fn read(&mut self, prepared: bool) -> Action {
        let item = self.item();
        let nonce = self.numbers.nonce();
        let outcome = self.attempt_read(item, nonce, prepared).await;
        Action::Read(ReadOperation { item, outcome })
    }

    async fn attempt_read(&mut self, item: ItemId, nonce: u64, prepared: bool) -> ReadOutcome {
        let Ok(connection) = self.connection().await else {
            return ReadOutcome::Failed;
        };
        let reading = read_item(connection, item, nonce, prepared);
        match timeout(ANSWER_TIMEOUT, reading).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) if !outcome::ends_connection(&error) => ReadOutcome::Failed,
            _ => {
                self.drop_connection();
                ReadOutcome::Failed
            }
        }
    }

    async fn connection(&mut self) -> Result<&mut Connection, Error> {
        let address = self.settings.endpoints[self.endpoint];
        let place = &mut self.connections[self.endpoint];
        if place.as_ref().is_some_and(|open| open.client.is_closed()) {
            *place = None;
        }
        if place.is_none() {
            let session = self.settings.named.then_some(&self.name);
            *place = Some(self.settings.access.connect(address, session).await?);
        }
        Ok(place.as_mut().expect("it was just opened"))
    }

    fn drop_connection(&mut self) {
        self.connections[self.endpoint] = None;
    }
}

/// Writes `rows`; also tells whether the connection can be used again.
async fn write_rows(
    connection: &Connection,
    rows: &[Row],
    end: TransactionEnd,
) -> (WriteOutcome, bool) {
    if let [row] = rows {
        return match connection
            .client
            .simple_query(&statements::insert(row))
            .await
        {
            Ok(messages) => (insert_outcome(&messages), true),
            Err(error) => judge(&error),
        };
    }
    if let Err((outcome, usable)) = write_in_transaction(connection, rows).await {
        return (outcome, usable);
    }
    let text = match end {
        TransactionEnd::Commit => "COMMIT",
        TransactionEnd::Rollback => "ROLLBACK",
        TransactionEnd::Abandon => return (WriteOutcome::RolledBack, false),
    };
    let rolls_back = end == TransactionEnd::Rollback;
    match connection.client.simple_query(text).await {
        Ok(_) if rolls_back => (WriteOutcome::RolledBack, true),
        Ok(_) => (WriteOutcome::Acknowledged, true),
        Err(_) if rolls_back => (WriteOutcome::RolledBack, false),
        // A connection whose transaction did not end well is not used again.
        Err(error) => (outcome::of_error(&error), false),
    }
}

/// Everything before COMMIT. Without COMMIT, nothing may last, whatever went wrong.
async fn write_in_transaction(
    connection: &Connection,
    rows: &[Row],
) -> Result<(), (WriteOutcome, bool)> {
    let failed = |_: Error| (WriteOutcome::RolledBack, false);
    let client = &connection.client;
    client.simple_query("BEGIN").await.map_err(failed)?;
    for row in rows {
        let messages = client.simple_query(&statements::insert(row)).await;
        let outcome = insert_outcome(&messages.map_err(failed)?);
        if outcome != WriteOutcome::Acknowledged {
            return Err((outcome, false));
        }
    }
    Ok(())
}

fn insert_outcome(messages: &[tokio_postgres::SimpleQueryMessage]) -> WriteOutcome {
    match statements::affected_rows(messages) {
        Some(1) => WriteOutcome::Acknowledged,
        _ => WriteOutcome::ForeignAnswer,
    }
}

fn judge(error: &Error) -> (WriteOutcome, bool) {
    let usable = !outcome::ends_connection(error);
    (outcome::of_error(error), usable)
}

async fn read_item(
    connection: &mut Connection,
    item: ItemId,
    nonce: u64,
    prepared: bool,
) -> Result<ReadOutcome, Error> {
    if prepared {
        let statement = connection.select_item().await?;
        let (nonce_parameter, item_parameter) = (nonce as i64, item.0 as i64);
        let rows = connection
            .client
            .query(&statement, &[&nonce_parameter, &item_parameter])
            .await?;
        return Ok(statements::prepared_read_outcome(&rows, nonce));
    }
    let text = statements::select_item(item, nonce);
    let messages = connection.client.simple_query(&text).await?;
    Ok(statements::read_outcome(&messages, nonce))
}
