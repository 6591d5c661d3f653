//! Back-end connections to one member, shared by the callers of a home.

use super::admission::{limiter_settings, overloaded};
use super::backend::{BackEndConnection, BackEndError, BackEndTarget};
use super::prepared::PreparedStatements;
use super::settings::HomeSettings;
use crate::app::homes::HOMES_PER_GROUP;
use crate::domain::names::ServiceName;
use crate::domain::verdict::{FailureKind, RequestFailure};
use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stilequay_coordination::limit::{Limiter, Permit};
use stilequay_coordination::position::Term;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// How soon a server that had no connection left is asked again.
const REFUSED_RETRY: Duration = Duration::from_millis(30);
/// When a caller should come back after the server had no connection left.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Idle time after which connections beyond this home's share are closed.
const EXCESS_IDLE: Duration = Duration::from_millis(500);

/// The connections of a home to one member.
pub struct MemberPool {
    target: BackEndTarget,
    settings: Arc<HomeSettings>,
    /// One slot for each connection in use, shared fairly between services.
    slots: Limiter<ServiceName>,
    idle: Mutex<Vec<IdleConnection>>,
    returned: Notify,
}

struct IdleConnection {
    connection: BackEndConnection,
    since: Instant,
}

impl MemberPool {
    /// A pool without connections.
    pub fn new(target: BackEndTarget, settings: Arc<HomeSettings>) -> Self {
        let limit = target.group.connections_per_member as usize;
        let capacity = limit.saturating_sub(HOMES_PER_GROUP).max(1);
        Self {
            target,
            slots: Limiter::new(limiter_settings(&settings, capacity)),
            settings,
            idle: Mutex::new(Vec::new()),
            returned: Notify::new(),
        }
    }

    /// Where the pool connects to.
    pub fn target(&self) -> &BackEndTarget {
        &self.target
    }

    /// Connections in use.
    pub fn in_use(&self) -> usize {
        self.slots.load().in_use
    }

    /// A connection bound to `term`: an idle one, or a new one.
    ///
    /// Waits until `deadline` while all connections are in use or the server
    /// refuses more. Every failure is `NotRun`.
    pub async fn acquire(
        self: &Arc<Self>,
        service: &ServiceName,
        term: Term,
        deadline: Instant,
    ) -> Result<PooledConnection, RequestFailure> {
        let slot = self.slots.acquire(service.clone(), deadline).await;
        let permit = slot.map_err(|rejected| {
            let what = format!("the connections to {} are in use", self.target.member);
            overloaded(&what, rejected)
        })?;
        loop {
            if let Some(connection) = self.take_idle(term) {
                return Ok(self.pooled(connection, permit));
            }
            match self.connect(term, deadline).await {
                Ok(connection) => return Ok(self.pooled(connection, permit)),
                Err(BackEndError::TooManyConnections) => self.wait_for_return(deadline).await?,
                Err(error) => return Err(self.unreachable(&error)),
            }
        }
    }

    fn pooled(
        self: &Arc<Self>,
        connection: BackEndConnection,
        permit: Permit<ServiceName>,
    ) -> PooledConnection {
        PooledConnection {
            connection,
            pool: self.clone(),
            _permit: permit,
        }
    }

    async fn connect(
        &self,
        term: Term,
        deadline: Instant,
    ) -> Result<BackEndConnection, BackEndError> {
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = left.min(self.settings.connect_timeout());
        let client = self.target.connect(limit).await?;
        metrics::counter!("stilequay_home_connections_opened_total").increment(1);
        Ok(BackEndConnection {
            member: self.target.member.clone(),
            term,
            prepared: PreparedStatements::new(self.settings.prepared_statements_per_connection),
            has_session_state: false,
            client,
        })
    }

    async fn wait_for_return(&self, deadline: Instant) -> Result<(), RequestFailure> {
        let retry = Instant::now() + REFUSED_RETRY;
        if retry >= deadline {
            return Err(self.refused());
        }
        tokio::select! {
            () = self.returned.notified() => {}
            () = sleep_until(retry) => {}
        }
        Ok(())
    }

    fn refused(&self) -> RequestFailure {
        let message = format!("{} has no connection left", self.target.member);
        RequestFailure::not_run(FailureKind::Overloaded, message)
            .with_retry_after(REFUSED_RETRY_AFTER)
    }

    fn unreachable(&self, error: &BackEndError) -> RequestFailure {
        let message = format!("{} can't be connected to: {error}", self.target.member);
        RequestFailure::not_run(FailureKind::BackEndUnreachable, message)
    }

    /// Opens connections so that work after a change of primary finds some.
    pub async fn warm(&self, term: Term) {
        while self.lock_idle().len() < self.settings.warm_connections {
            let deadline = Instant::now() + self.settings.connect_timeout();
            match self.connect(term, deadline).await {
                Ok(connection) => self.put_idle(connection),
                Err(error) => {
                    log::debug!(member:% = self.target.member; "no warm connection: {error}");
                    return;
                }
            }
        }
    }

    /// Closes idle connections of terms before `term`.
    pub fn close_before(&self, term: Term) {
        self.lock_idle().retain(|idle| idle.connection.term >= term);
    }

    /// Closes connections that have been idle for long, and sooner those beyond
    /// this home's share, which other homes may need.
    pub fn close_expired(&self) {
        let limit = self.target.group.connections_per_member as usize;
        let share = (limit / HOMES_PER_GROUP).max(self.settings.warm_connections);
        let now = Instant::now();
        let mut idle = self.lock_idle();
        let count = idle.len();
        let mut position = 0;
        // The oldest come first, because connections are taken from the end.
        idle.retain(|connection| {
            let remaining = count - position;
            position += 1;
            let age = now.saturating_duration_since(connection.since);
            let excess = remaining > share && age > EXCESS_IDLE;
            let expired =
                remaining > self.settings.warm_connections && age > self.settings.idle_connection();
            !(excess || expired)
        });
    }

    /// Closes one idle connection, for a probe that the server refused.
    pub fn close_one(&self) {
        let mut idle = self.lock_idle();
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    fn take_idle(&self, term: Term) -> Option<BackEndConnection> {
        let mut idle = self.lock_idle();
        while let Some(IdleConnection { mut connection, .. }) = idle.pop() {
            if connection.term == term && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, connection: BackEndConnection) {
        self.lock_idle().push(IdleConnection {
            connection,
            since: Instant::now(),
        });
        self.returned.notify_one();
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection in use. Dropping it closes it; only
/// [`PooledConnection::give_back`] lets others use it.
pub struct PooledConnection {
    connection: BackEndConnection,
    pool: Arc<MemberPool>,
    _permit: Permit<ServiceName>,
}

impl PooledConnection {
    /// Returns a connection that is idle, in no transaction, without session state
    /// and whose last answer was read to its end.
    pub fn give_back(self) {
        self.pool.put_idle(self.connection);
    }
}

impl Deref for PooledConnection {
    type Target = BackEndConnection;

    fn deref(&self) -> &BackEndConnection {
        &self.connection
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut BackEndConnection {
        &mut self.connection
    }
}
