//! A connection, what sessions have left on it, and putting it into a session's state.

use super::member::MemberPool;
use super::set::PoolConnection;
use crate::names::{DatabaseName, RequestId, TenantName};
use crate::ports::{
    Admission, Answer, BackEndConnection, Command, Control, LinkError, MemberReport, RefusalKind,
};
use crate::position::LogPosition;
use crate::statement::{Access, PreparedStatement, TransactionState};
use bytes::Bytes;
use quick_error::quick_error;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::limit::Permit;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_128;

/// Values that a session has set, by name.
pub type SessionValues = Arc<BTreeMap<Bytes, Bytes>>;

/// Prepared statements that a connection keeps before it is reset.
const PREPARED_LIMIT: usize = 256;
/// Longest time for a rollback on a connection that is given up.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A statement of a session, ready to run anywhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionStatement {
    /// A text.
    Text {
        /// The whole of it.
        text: Bytes,
        /// Whether running it can change data.
        access: Access,
    },
    /// A prepared statement with its arguments.
    Prepared {
        /// The statement.
        prepared: PreparedStatement,
        /// The arguments.
        arguments: Bytes,
    },
}

quick_error! {
    /// Work got no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RunError {
        /// The connection failed before the work was sent. Not run.
        BeforeSend(error: LinkError) {
            display("before the statement was sent: {error}")
        }
        /// The connection failed after the work was sent. It may have run.
        AfterSend(error: LinkError) {
            display("after the statement was sent: {error}")
        }
    }
}

/// An open connection and what is in place on it.
#[derive(Debug)]
pub(super) struct Established {
    connection: Box<dyn BackEndConnection>,
    tenant: Option<TenantName>,
    values: SessionValues,
    prepared: HashSet<Bytes>,
}

impl Established {
    pub(super) fn new(connection: Box<dyn BackEndConnection>, tenant: Option<TenantName>) -> Self {
        Self {
            connection,
            tenant,
            values: SessionValues::default(),
            prepared: HashSet::new(),
        }
    }

    /// Whether what is asked on behalf of `tenant` may go over it.
    pub(super) fn serves(&self, tenant: Option<&TenantName>) -> bool {
        tenant.is_none() || self.tenant.as_ref() == tenant
    }

    pub(super) fn has_values(&self, values: &SessionValues) -> bool {
        Arc::ptr_eq(&self.values, values) || self.values == *values
    }
}

impl PoolConnection for Established {
    fn is_open(&mut self) -> bool {
        self.connection.is_open()
    }
}

/// A connection in use. Dropped, it goes back to its pool if nothing is unfinished on it,
/// and is closed otherwise.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Arc<MemberPool>,
    established: Option<Established>,
    is_reusable: bool,
    _permit: Permit<DatabaseName>,
}

impl PooledConnection {
    pub(super) fn new(
        pool: Arc<MemberPool>,
        established: Established,
        permit: Permit<DatabaseName>,
    ) -> Self {
        Self {
            pool,
            established: Some(established),
            is_reusable: true,
            _permit: permit,
        }
    }

    /// Tells the connection for whom it is used next.
    pub(super) fn admit(&mut self, admission: Admission) {
        if let Some(established) = &mut self.established {
            established.connection.admit(admission);
        }
    }

    /// Waits until the next statement may be sent, where the member is cold.
    pub(super) async fn pace(&mut self, until: Instant) -> Result<(), Duration> {
        match &mut self.established {
            Some(established) => established.connection.pace(until).await,
            None => Ok(()),
        }
    }

    /// The pool that it belongs to.
    pub fn pool(&self) -> &Arc<MemberPool> {
        &self.pool
    }

    /// Puts exactly `values` in place.
    ///
    /// # Errors
    ///
    /// [`LinkError`] where the member did not do so: nothing of a session may run here.
    pub async fn apply_values(&mut self, values: &SessionValues) -> Result<(), LinkError> {
        let established = self.established()?;
        if established.has_values(values) {
            return Ok(());
        }
        let before = Arc::clone(&established.values);
        let dropped = before.keys().any(|name| !values.contains_key(name));
        if dropped {
            self.complete(&Command::Reset).await?;
            let established = self.established()?;
            established.prepared.clear();
            established.values = SessionValues::default();
        }
        for (name, value) in values.iter() {
            let in_place = !dropped && before.get(name) == Some(value);
            if !in_place {
                let (name, value) = (name.clone(), value.clone());
                self.complete(&Command::Set { name, value }).await?;
            }
        }
        self.established()?.values = Arc::clone(values);
        Ok(())
    }

    /// Runs one command and takes note of the member's health.
    ///
    /// # Errors
    ///
    /// [`LinkError`] where the answer was not complete: the connection is not used again.
    /// Also where nothing may be sent to the member.
    pub async fn run(&mut self, command: &Command) -> Result<Answer, LinkError> {
        self.check_sending()?;
        self.pool.gate().count_sent();
        let sent = Instant::now();
        self.is_reusable = false;
        self.pool.update_health(|health| health.record_sent(sent));
        let result = self.established()?.connection.run(command).await;
        let now = Instant::now();
        match &result {
            Ok(answer) => {
                self.is_reusable = answer.state == TransactionState::Idle;
                let latency = now.duration_since(sent);
                self.record_answer(answer, latency, now);
                if command.is_statement() && answer.outcome.is_ok() {
                    self.pool.record_statement(latency);
                }
            }
            // The next statement may go through another home.
            Err(_) if self.pool.is_remote() => {}
            Err(_) => self
                .pool
                .update_health(|health| health.record_unreachable(now)),
        }
        result
    }

    fn check_sending(&self) -> Result<(), LinkError> {
        let checked = self.pool.check_sending();
        checked.map_err(|error| LinkError::Refused(error.to_string()))
    }

    /// Carries out an order about replication.
    ///
    /// # Errors
    ///
    /// [`LinkError`] where there was no report: the connection is not used again.
    pub async fn control(&mut self, control: Control) -> Result<MemberReport, LinkError> {
        self.is_reusable = false;
        let report = self.established()?.connection.control(control).await?;
        self.is_reusable = true;
        Ok(report)
    }

    /// Runs a session's work, preparing its statement first where that is needed.
    ///
    /// # Errors
    ///
    /// [`RunError`] tells whether the work itself was sent.
    pub async fn run_statement(
        &mut self,
        id: &RequestId,
        statement: &SessionStatement,
        after: Option<LogPosition>,
    ) -> Result<Answer, RunError> {
        let command = self.command(id, statement, after).await?;
        self.check_sending().map_err(RunError::BeforeSend)?;
        let answer = self.run(&command).await.map_err(RunError::AfterSend)?;
        if !is_unknown_prepared(&answer) {
            return Ok(answer);
        }
        self.established()
            .map_err(RunError::BeforeSend)?
            .prepared
            .clear();
        let command = self.command(id, statement, after).await?;
        self.run(&command).await.map_err(RunError::AfterSend)
    }

    /// Rolls an open transaction back in a task of its own, so that the connection can be
    /// used again.
    pub fn roll_back(mut self) {
        tokio::spawn(async move {
            let rolled_back = self.run(&Command::Rollback);
            let _ = timeout(ROLLBACK_TIMEOUT, rolled_back).await;
        });
    }

    async fn command(
        &mut self,
        id: &RequestId,
        statement: &SessionStatement,
        after: Option<LogPosition>,
    ) -> Result<Command, RunError> {
        let id = id.clone();
        match statement {
            SessionStatement::Text { text, access } => Ok(Command::Run {
                id,
                text: text.clone(),
                access: *access,
                after,
            }),
            SessionStatement::Prepared {
                prepared,
                arguments,
            } => Ok(Command::Execute {
                id,
                name: self.prepare(prepared).await.map_err(RunError::BeforeSend)?,
                arguments: arguments.clone(),
                after,
            }),
        }
    }

    /// The name of `prepared` on this connection.
    async fn prepare(&mut self, prepared: &PreparedStatement) -> Result<Bytes, LinkError> {
        let name = prepared_name(prepared);
        let known = &mut self.established()?.prepared;
        if known.contains(&name) {
            return Ok(name);
        }
        let full = known.len() >= PREPARED_LIMIT;
        let prepare = Command::Prepare {
            name: name.clone(),
            prepared: prepared.clone(),
        };
        self.complete(&prepare).await?;
        if !full {
            self.established()?.prepared.insert(name.clone());
        }
        Ok(name)
    }

    /// Runs a command of the engine's own that has to succeed.
    async fn complete(&mut self, command: &Command) -> Result<(), LinkError> {
        let answer = self.run(command).await?;
        match answer.outcome {
            Ok(_) => Ok(()),
            Err(refusal) => {
                self.is_reusable = false;
                let text = String::from_utf8_lossy(&refusal.code).into_owned();
                Err(LinkError::Refused(text))
            }
        }
    }

    fn record_answer(&self, answer: &Answer, latency: Duration, now: Instant) {
        self.pool.update_health(|health| {
            health.record_answer(latency, now);
            if let Some(position) = answer.position {
                health.record_applied(position);
            }
            match answer.outcome.as_ref().err().map(|refusal| refusal.kind) {
                Some(RefusalKind::Busy | RefusalKind::Shed(_)) => health.record_busy(now),
                Some(RefusalKind::SlowStart(wait)) => health.record_slow_start(now + wait),
                Some(RefusalKind::Unreachable) => health.record_unreachable(now),
                _ => {}
            }
        });
    }

    fn established(&mut self) -> Result<&mut Established, LinkError> {
        let given_back = || LinkError::Closed("given back".to_owned());
        self.established.as_mut().ok_or_else(given_back)
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let (true, Some(established)) = (self.is_reusable, self.established.take()) {
            self.pool.give_back(established);
        }
    }
}

fn is_unknown_prepared(answer: &Answer) -> bool {
    matches!(&answer.outcome, Err(refusal) if refusal.kind == RefusalKind::UnknownPrepared)
}

/// A name made of the statement itself: sessions that prepared the same share it, and no
/// two statements share one.
fn prepared_name(prepared: &PreparedStatement) -> Bytes {
    let mut content = Vec::with_capacity(prepared.shape.len() + 1);
    content.push(prepared.access as u8);
    content.extend_from_slice(&prepared.shape);
    format!("p{:032x}", xxh3_128(&content)).into()
}
