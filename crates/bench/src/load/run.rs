//! Runs the sessions of a load side by side.

use super::connection::Access;
use super::latency::LatenciesByKind;
use super::mix::Mix;
use super::numbers::RunNumbers;
use super::session::{Session, SessionSettings};
use super::statements;
use crate::history::{FinalState, Row, RowValue, SessionHistory};
use crate::launch::error::LaunchError;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// A load.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Where the sessions connect.
    pub endpoints: Vec<SocketAddr>,
    /// The databases, dealt out to the sessions in turn.
    pub databases: Vec<Access>,
    /// Number of sessions.
    pub sessions: usize,
    /// Whether sessions name themselves.
    pub named: bool,
    /// What they do.
    pub mix: Mix,
    /// Pause of a session between operations.
    pub think_time: Duration,
    /// Operations after which a session ends by itself.
    pub operations: Option<usize>,
    /// Seed of all that is drawn.
    pub seed: u64,
}

/// What the sessions did.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Their operations.
    pub sessions: Vec<SessionHistory>,
    /// How long those took that were answered.
    pub latencies: LatenciesByKind,
    /// How long the run lasted.
    pub elapsed: Duration,
}

/// Runs the load until `stop` is cancelled or all sessions have ended; requests in progress are finished.
pub async fn run(settings: &LoadSettings, stop: CancellationToken) -> LoadResult {
    let numbers = Arc::new(RunNumbers::default());
    let started = Instant::now();
    let mut running = JoinSet::new();
    for number in 0..settings.sessions {
        let session = SessionSettings {
            number,
            seed: settings.seed,
            endpoints: settings.endpoints.clone(),
            access: settings.databases[number % settings.databases.len()].clone(),
            named: settings.named,
            mix: settings.mix,
            think_time: settings.think_time,
            operations: settings.operations,
        };
        let session = Session::new(session, Arc::clone(&numbers), started);
        running.spawn(session.run(stop.clone()));
    }
    let mut result = LoadResult::default();
    for session in running.join_all().await {
        result.latencies.add(&session.latencies);
        result.sessions.push(session.history);
    }
    result.elapsed = started.elapsed();
    result
}

/// Makes the table of the load, through whatever listens at `address`.
pub async fn prepare(access: &Access, address: SocketAddr) -> Result<(), LaunchError> {
    let failed = |error: tokio_postgres::Error| LaunchError::Database(describe(&error));
    let connection = access.connect(address, None).await.map_err(failed)?;
    for statement in [statements::CREATE_TABLE, statements::CREATE_INDEX] {
        let created = connection.client.simple_query(statement).await;
        created.map_err(failed)?;
    }
    Ok(())
}

/// All rows that the database at `address` has.
pub async fn all_rows(access: &Access, address: SocketAddr) -> Result<Vec<Row>, LaunchError> {
    let failed = |error: tokio_postgres::Error| LaunchError::Database(describe(&error));
    let connection = access.connect(address, None).await.map_err(failed)?;
    let answer = connection.client.simple_query(statements::SELECT_ALL).await;
    let answer = answer.map_err(failed)?;
    let malformed = || LaunchError::Database("rows of an unknown form".to_owned());
    statements::rows_of(&answer).ok_or_else(malformed)
}

/// The final state of a group: `rows` at its primary, and what `replaced`
/// primaries had that it lacks.
pub fn final_state(rows: Vec<Row>, replaced: Vec<Row>) -> FinalState {
    let lasting: std::collections::BTreeSet<RowValue> = rows.iter().map(|row| row.value).collect();
    let discarded = replaced
        .into_iter()
        .map(|row| row.value)
        .filter(|value| !lasting.contains(value))
        .collect();
    FinalState { rows, discarded }
}

/// An error with its cause, which its short form leaves out.
pub fn describe(error: &tokio_postgres::Error) -> String {
    match error.as_db_error() {
        Some(answer) => answer.to_string(),
        None => format!("{error:?}"),
    }
}
