//! Back-end connections to one member, shared by the callers of a home.

use super::admission::{limiter_settings, overloaded};
use super::backend::{BackEndConnection, BackEndError, BackEndTarget};
use super::prepared::PreparedStatements;
use super::probe::probe;
use super::settings::HomeSettings;
use crate::app::homes::HOMES_PER_GROUP;
use crate::domain::names::ServiceName;
use crate::domain::verdict::{FailureKind, RequestFailure};
use futures::future::join_all;
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stilequay_coordination::limit::{Limiter, Permit};
use stilequay_coordination::position::Term;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};

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
    capacity: usize,
    idle: Mutex<Vec<IdleConnection>>,
    returned: Notify,
    /// Connections that are being bound to a new term, which is sooner done than
    /// opening others.
    rebinding: AtomicUsize,
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
            capacity,
            settings,
            idle: Mutex::new(Vec::new()),
            returned: Notify::new(),
            rebinding: AtomicUsize::new(0),
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

    /// Whether a further unit would have to wait.
    pub fn is_saturated(&self) -> bool {
        self.in_use() >= self.capacity
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
            if self.rebinding.load(Ordering::SeqCst) > 0 {
                self.wait_for_return(deadline).await?;
                continue;
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

    /// Makes connections ready for work in `term`, which the member has reported: idle
    /// connections of earlier terms that still stand, and new ones up to the warm number.
    pub async fn prepare_for(&self, term: Term) {
        let earlier = self.take_idle_before(term);
        let rebinding = earlier.into_iter().map(|connection| {
            let counted = Rebinding::new(&self.rebinding);
            self.rebind(connection, term, counted)
        });
        join_all(rebinding.collect::<Vec<_>>()).await;
        self.warm(term).await;
    }

    /// Binds an idle connection to `term` if the member, asked over this very
    /// connection, reports that term; closes it otherwise.
    ///
    /// What runs on the connection afterwards runs at that term or a later one, as on
    /// a connection opened now, and a new connection would cost several round trips.
    async fn rebind(&self, mut connection: BackEndConnection, term: Term, _counted: Rebinding<'_>) {
        let asked = timeout(self.settings.late_probe(), probe(&mut connection.client)).await;
        if let Ok(Ok(report)) = asked
            && report.term == term
        {
            connection.term = term;
            self.put_idle(connection);
        }
    }

    /// Opens connections so that work after a change of primary finds some.
    async fn warm(&self, term: Term) {
        while self.idle_count(term) < self.settings.warm_connections {
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

    fn idle_count(&self, term: Term) -> usize {
        let idle = self.lock_idle();
        idle.iter()
            .filter(|idle| idle.connection.term == term)
            .count()
    }

    /// Closes idle connections of terms before `term`.
    pub fn close_before(&self, term: Term) {
        drop(self.take_idle_before(term));
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

    /// The connection that was used last, because the others are nearer their expiry.
    fn take_idle(&self, term: Term) -> Option<BackEndConnection> {
        let mut idle = self.lock_idle();
        loop {
            let position = idle.iter().rposition(|idle| idle.connection.term == term)?;
            let IdleConnection { mut connection, .. } = idle.remove(position);
            if connection.is_quiet() {
                return Some(connection);
            }
        }
    }

    fn take_idle_before(&self, term: Term) -> Vec<BackEndConnection> {
        let mut idle = self.lock_idle();
        let earlier = idle.extract_if(.., |idle| idle.connection.term < term);
        earlier.map(|idle| idle.connection).collect()
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

/// Counts a connection that is being bound to a new term.
struct Rebinding<'a> {
    count: &'a AtomicUsize,
}

impl<'a> Rebinding<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self { count }
    }
}

impl Drop for Rebinding<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
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
