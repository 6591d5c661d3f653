//! A pooled connection, the session state that is set on it, and switching that state.

use super::member::MemberPool;
use super::set::PoolConnection;
use crate::names::{DatabaseName, RequestId, TenantName};
use crate::ports::{
    Admission, Answer, BackEndConnection, BackEndConnectionError, Command, Control, MemberReport,
    RefusalKind,
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

/// Session values (settings made with `SET`), by name.
pub type SessionValues = Arc<BTreeMap<Bytes, Bytes>>;

/// Maximum number of prepared statements remembered per connection until it is reset. Beyond
/// it a statement is prepared again each time it is executed.
const PREPARED_LIMIT: usize = 256;
/// Timeout of a rollback on an abandoned connection.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A statement of a session that can run on any connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionStatement {
    /// Statement text.
    Text {
        /// The complete text.
        text: Bytes,
        /// Whether the statement can change data.
        access: Access,
    },
    /// A prepared statement and its arguments.
    Prepared {
        /// The statement.
        prepared: PreparedStatement,
        /// The arguments.
        arguments: Bytes,
    },
}

quick_error! {
    /// A statement got no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RunError {
        /// The connection failed before the statement was sent, so it was not run.
        BeforeSend(error: BackEndConnectionError) {
            display("before the statement was sent: {error}")
        }
        /// The connection failed after the statement was sent, so it may have run.
        AfterSend(error: BackEndConnectionError) {
            display("after the statement was sent: {error}")
        }
    }
}

/// An open connection and the session state that is set on it.
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

    /// Whether the connection may be used on behalf of `tenant`.
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

/// A connection in use. When dropped, it returns to its pool if it has no unfinished work, and
/// is closed otherwise.
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

    /// Tells the connection on whose behalf it is used next.
    pub(super) fn admit(&mut self, admission: Admission) {
        if let Some(established) = &mut self.established {
            established.connection.admit(admission);
        }
    }

    /// Waits until the slow-start limit of the member admits the next statement.
    pub(super) async fn pace(&mut self, until: Instant) -> Result<(), Duration> {
        match &mut self.established {
            Some(established) => established.connection.pace(until).await,
            None => Ok(()),
        }
    }

    /// The pool that the connection belongs to.
    pub fn pool(&self) -> &Arc<MemberPool> {
        &self.pool
    }

    /// Sets the session values to exactly `values`, resetting the session if any has to go.
    ///
    /// # Errors
    ///
    /// [`BackEndConnectionError`] if the member did not set them. No statement of the session may
    /// run on this connection then.
    pub async fn apply_values(
        &mut self,
        values: &SessionValues,
    ) -> Result<(), BackEndConnectionError> {
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

    /// Runs one command and records the outcome in the member's health.
    ///
    /// # Errors
    ///
    /// [`BackEndConnectionError`] if the answer was incomplete, after which the connection is not
    /// reused, or if sending to the member is not permitted.
    pub async fn run(&mut self, command: &Command) -> Result<Answer, BackEndConnectionError> {
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
            // The failure may be that of the home: the next statement may use another one.
            Err(_) if self.pool.is_remote() => {}
            Err(_) => self
                .pool
                .update_health(|health| health.record_unreachable(now)),
        }
        result
    }

    fn check_sending(&self) -> Result<(), BackEndConnectionError> {
        let checked = self.pool.check_sending();
        checked.map_err(|error| BackEndConnectionError::Refused(error.to_string()))
    }

    /// Runs a replication control command.
    ///
    /// # Errors
    ///
    /// [`BackEndConnectionError`] if there was no report, after which the connection is not reused.
    pub async fn control(
        &mut self,
        control: Control,
    ) -> Result<MemberReport, BackEndConnectionError> {
        self.is_reusable = false;
        let report = self.established()?.connection.control(control).await?;
        self.is_reusable = true;
        Ok(report)
    }

    /// Runs a statement of a session, preparing it on this connection first if necessary.
    ///
    /// # Errors
    ///
    /// [`RunError`] tells whether the statement itself was sent.
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

    /// Rolls back the open transaction in a background task, so that the connection can be
    /// reused.
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

    /// The name of `prepared` on this connection, on which it is prepared if necessary.
    async fn prepare(
        &mut self,
        prepared: &PreparedStatement,
    ) -> Result<Bytes, BackEndConnectionError> {
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

    /// Runs an internal command that has to succeed.
    async fn complete(&mut self, command: &Command) -> Result<(), BackEndConnectionError> {
        let answer = self.run(command).await?;
        match answer.outcome {
            Ok(_) => Ok(()),
            Err(refusal) => {
                self.is_reusable = false;
                let text = String::from_utf8_lossy(&refusal.code).into_owned();
                Err(BackEndConnectionError::Refused(text))
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

    fn established(&mut self) -> Result<&mut Established, BackEndConnectionError> {
        let given_back = || BackEndConnectionError::Closed("given back".to_owned());
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

/// A name derived from the statement's content: sessions that prepare the same statement share
/// it, and different statements have different names.
fn prepared_name(prepared: &PreparedStatement) -> Bytes {
    let mut content = Vec::with_capacity(prepared.shape.len() + 1);
    content.push(prepared.access as u8);
    content.extend_from_slice(&prepared.shape);
    format!("p{:032x}", xxh3_128(&content)).into()
}
