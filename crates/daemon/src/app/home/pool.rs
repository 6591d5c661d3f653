//! Back-end connections to one member, shared by the callers of a home.

use super::admission::{limiter_settings, overloaded};
use super::settings::HomeSettings;
use crate::app::homes::HOMES_PER_GROUP;
use crate::domain::names::ServiceName;
use crate::domain::verdict::{FailureKind, RequestFailure};
use crate::ports::back_end::{BackEnd, BackEndConnection, BackEndError, BackEndTarget};
use futures::future::join_all;
use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use stilequay_coordination::limit::Permit;
use stilequay_coordination::position::Term;
use stilequay_engine::pool::{ConnectionSet, Fit, PoolConnection};
use tokio::time::{Instant, sleep_until, timeout};

/// How soon a server that had no connection left is asked again.
const REFUSED_RETRY: Duration = Duration::from_millis(30);
/// When a caller should come back after the server gave no connection.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Idle time after which connections beyond this home's share are closed.
const EXCESS_IDLE: Duration = Duration::from_millis(500);

/// A connection that runs units, bound to the term at which it was opened.
#[derive(Debug)]
pub struct TermConnection {
    /// A term that the member had reported before the connection was opened. The
    /// member's true term may only be higher, which confirmation notices.
    pub term: Term,
    /// Whether a unit said that it makes session state.
    pub makes_session_state: bool,
    /// The protocol's connection.
    pub back_end: Box<dyn BackEndConnection>,
}

impl TermConnection {
    /// Whether session state makes the connection unfit for other callers.
    pub fn has_session_state(&self) -> bool {
        self.makes_session_state || self.back_end.has_session_state()
    }
}

impl PoolConnection for TermConnection {
    fn is_open(&mut self) -> bool {
        self.back_end.is_quiet()
    }
}

/// The connections of a home to one member.
pub struct MemberPool {
    target: BackEndTarget,
    back_end: Arc<dyn BackEnd>,
    settings: Arc<HomeSettings>,
    /// One slot for each connection in use, shared fairly between services.
    connections: ConnectionSet<TermConnection, ServiceName>,
    capacity: usize,
    /// Connections that are being bound to a new term, which is sooner done than
    /// opening others.
    rebinding: AtomicUsize,
}

impl MemberPool {
    /// A pool without connections.
    pub fn new(
        target: BackEndTarget,
        back_end: Arc<dyn BackEnd>,
        settings: Arc<HomeSettings>,
    ) -> Self {
        let limit = target.group.connections_per_member as usize;
        let capacity = limit.saturating_sub(HOMES_PER_GROUP).max(1);
        Self {
            target,
            back_end,
            connections: ConnectionSet::new(limiter_settings(&settings, capacity)),
            capacity,
            settings,
            rebinding: AtomicUsize::new(0),
        }
    }

    /// Where the pool connects to.
    pub fn target(&self) -> &BackEndTarget {
        &self.target
    }

    /// Connections in use.
    pub fn in_use(&self) -> usize {
        self.connections.load().in_use
    }

    /// Whether a further unit would have to wait.
    pub fn is_saturated(&self) -> bool {
        self.in_use() >= self.capacity
    }

    /// Opens a connection that is not counted, for probes.
    pub async fn open_separately(&self) -> Result<Box<dyn BackEndConnection>, BackEndError> {
        let limit = self.settings.connect_timeout();
        self.back_end.connect(&self.target, limit).await
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
        let slot = self.connections.admit_any(service.clone(), deadline).await;
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

    fn take_idle(&self, term: Term) -> Option<TermConnection> {
        self.connections
            .take_idle(|connection| match connection.term == term {
                true => Fit::Exact,
                false => Fit::None,
            })
    }

    fn pooled(
        self: &Arc<Self>,
        connection: TermConnection,
        permit: Permit<ServiceName>,
    ) -> PooledConnection {
        PooledConnection {
            connection,
            pool: self.clone(),
            _permit: permit,
        }
    }

    async fn connect(&self, term: Term, deadline: Instant) -> Result<TermConnection, BackEndError> {
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = left.min(self.settings.connect_timeout());
        let back_end = self.back_end.connect(&self.target, limit).await?;
        metrics::counter!("stilequay_home_connections_opened_total").increment(1);
        Ok(TermConnection {
            term,
            makes_session_state: false,
            back_end,
        })
    }

    async fn wait_for_return(&self, deadline: Instant) -> Result<(), RequestFailure> {
        let retry = Instant::now() + REFUSED_RETRY;
        if retry >= deadline {
            return Err(self.refused());
        }
        tokio::select! {
            () = self.connections.returned() => {}
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
            .with_retry_after(REFUSED_RETRY_AFTER)
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
    async fn rebind(&self, mut connection: TermConnection, term: Term, _counted: Rebinding<'_>) {
        let asked = timeout(self.settings.late_probe(), connection.back_end.probe()).await;
        if let Ok(Ok(report)) = asked
            && report.term == term
        {
            connection.term = term;
            self.connections.put_idle(connection);
        }
    }

    /// Opens connections so that work after a change of primary finds some.
    async fn warm(&self, term: Term) {
        let is_of_term = |connection: &TermConnection| connection.term == term;
        while self.connections.count_idle(is_of_term) < self.settings.warm_connections {
            let deadline = Instant::now() + self.settings.connect_timeout();
            match self.connect(term, deadline).await {
                Ok(connection) => self.connections.put_idle(connection),
                Err(error) => {
                    log::debug!(member:% = self.target.member; "no warm connection: {error}");
                    return;
                }
            }
        }
    }

    /// Closes idle connections of terms before `term`.
    pub fn close_before(&self, term: Term) {
        drop(self.take_idle_before(term));
    }

    fn take_idle_before(&self, term: Term) -> Vec<TermConnection> {
        self.connections.take_all(|idle| idle.term < term)
    }

    /// Closes connections that have been idle for long, and sooner those beyond
    /// this home's share, which other homes may need.
    pub fn close_expired(&self) {
        let limit = self.target.group.connections_per_member as usize;
        let warm = self.settings.warm_connections;
        let share = (limit / HOMES_PER_GROUP).max(warm);
        self.connections.close_idle(|idle| {
            let excess = idle.remaining > share && idle.age > EXCESS_IDLE;
            let expired = idle.remaining > warm && idle.age > self.settings.idle_connection();
            excess || expired
        });
    }

    /// Closes one idle connection, for a probe that the server refused.
    pub fn close_one(&self) {
        self.connections.close_oldest();
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
    connection: TermConnection,
    pool: Arc<MemberPool>,
    _permit: Permit<ServiceName>,
}

impl PooledConnection {
    /// Returns a connection that is idle, in no transaction, without session state
    /// and whose last answer was read to its end.
    pub fn give_back(self) {
        self.pool.connections.put_idle(self.connection);
    }
}

impl Deref for PooledConnection {
    type Target = TermConnection;

    fn deref(&self) -> &TermConnection {
        &self.connection
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut TermConnection {
        &mut self.connection
    }
}
