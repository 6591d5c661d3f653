//! The connection pool of one member.

use super::acquire_request::{AcquireRequest, QUEUE_TIME};
use super::concurrency::ConcurrencyLimit;
use super::connection::{Established, PooledConnection, SessionValues};
use super::error::{AcquireError, ControlError};
use super::health::MemberHealth;
use super::queue::QueueDelay;
use super::set::{ConnectionSet, Fit};
use crate::directory::Member;
use crate::evacuation::{EvacuationGate, MayNotSend};
use crate::names::{DatabaseName, TenantName};
use crate::ports::{BackEnd, BackEndConnection, ConnectError, Control, MemberReport};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stilequay_coordination::limit::{
    LimiterSettings, Load, Permit, RejectReason, Rejected, TenantLimits,
};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// Limit on the connections to a member in use until the size of the fleet is known.
const INITIAL_LIMIT: usize = 3;
/// Limit on the concurrent statements sent through a member's homes, which apply limits of
/// their own.
const REMOTE_LIMIT: usize = 256;
/// Longest wait of a control command for a pooled connection, if the member accepts no
/// further one.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Delay before another connection is opened after the member's queue was full.
const BUSY_PAUSE: Duration = Duration::from_millis(60);
/// How long the number of open connections stays capped after the member reported too many: one is
/// closed for each that is opened. After a power loss, a member holds the connections of the
/// processes' previous incarnations for some seconds.
const CONNECTION_CAP_TIME: Duration = Duration::from_millis(250);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval at which a waiting request checks whether the queue is a standing queue.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum number of waiting requests of all databases together.
const QUEUE_LENGTH: usize = 1_024;

#[derive(Debug)]
struct PoolState {
    /// No connection is opened before this time, because the member's queue was full.
    open_after: Option<Instant>,
    /// Number of connections that the member accepts from this process, and until when that
    /// holds.
    connection_cap: Option<(usize, Instant)>,
    queue: QueueDelay,
    concurrency: ConcurrencyLimit,
    health: MemberHealth,
}

impl PoolState {
    /// Maximum number of open connections, idle ones included.
    fn share(&self, now: Instant) -> usize {
        let ceiling = self.concurrency.ceiling();
        let connection_cap = self.connection_cap.filter(|(_, until)| now < *until);
        connection_cap.map_or(ceiling, |(accepted, _)| accepted.min(ceiling))
    }
}

/// The connection pool of one member.
#[derive(Debug)]
pub struct MemberPool {
    member: Arc<Member>,
    back_end: Arc<dyn BackEnd>,
    remote: bool,
    gate: EvacuationGate,
    /// Set once the server has restarted: a new connection would reach its next incarnation.
    retired: AtomicBool,
    connections: ConnectionSet<Established, DatabaseName>,
    state: Mutex<PoolState>,
}

impl MemberPool {
    /// Creates an empty pool of direct connections.
    pub fn new(member: Arc<Member>, back_end: Arc<dyn BackEnd>) -> Self {
        Self::with_limit(member, back_end, INITIAL_LIMIT, false)
    }

    /// Creates an empty pool of connections through the member's homes, which limit their number.
    pub fn remote(member: Arc<Member>, back_end: Arc<dyn BackEnd>) -> Self {
        Self::with_limit(member, back_end, REMOTE_LIMIT, true)
    }

    fn with_limit(
        member: Arc<Member>,
        back_end: Arc<dyn BackEnd>,
        limit: usize,
        remote: bool,
    ) -> Self {
        Self {
            member,
            back_end,
            remote,
            gate: EvacuationGate::default(),
            retired: AtomicBool::new(false),
            connections: ConnectionSet::new(LimiterSettings {
                slots: limit,
                queue_length: QUEUE_LENGTH,
                queue_time: QUEUE_TIME,
                tenant: TenantLimits::default(),
            }),
            state: Mutex::new(PoolState {
                open_after: None,
                connection_cap: None,
                queue: QueueDelay::default(),
                concurrency: ConcurrencyLimit::new(limit, Instant::now()),
                health: MemberHealth::new(Instant::now()),
            }),
        }
    }

    /// Makes all sending subject to `gate`.
    pub fn with_gate(self, gate: EvacuationGate) -> Self {
        Self { gate, ..self }
    }

    /// Checks whether anything may be sent to the member now.
    ///
    /// # Errors
    ///
    /// [`MayNotSend`] tells why it may not.
    pub fn check_sending(&self) -> Result<(), MayNotSend> {
        self.gate.check(Instant::now())
    }

    pub(super) fn gate(&self) -> &EvacuationGate {
        &self.gate
    }

    /// The member as of the creation of the pool, for its identity and location.
    pub fn member(&self) -> &Arc<Member> {
        &self.member
    }

    /// Whether connections go through the member's homes.
    pub fn is_remote(&self) -> bool {
        self.remote
    }

    /// Number of connections in use.
    pub fn in_use(&self) -> usize {
        self.load().in_use
    }

    /// Number of connections in use and of waiting requests.
    pub fn load(&self) -> Load {
        self.connections.load()
    }

    /// Current limit on the connections in use.
    pub fn limit(&self) -> usize {
        self.lock().concurrency.limit()
    }

    /// Changes the upper bound of the connections in use. A lower bound takes effect as
    /// connections in use are returned.
    pub fn set_limit(&self, limit: usize) {
        let mut state = self.lock();
        state.concurrency.set_ceiling(limit);
        let slots = state.concurrency.limit();
        drop(state);
        self.connections.set_slots(slots);
    }

    /// Records that a statement was answered after `latency`.
    pub(super) fn record_statement(&self, latency: Duration) {
        metrics::histogram!("stilequay_stage_seconds", "stage" => "member").record(latency);
        if self.remote {
            return;
        }
        let waiting = self.connections.load().waiting > 0;
        let mut state = self.lock();
        let before = state.concurrency.limit();
        state
            .concurrency
            .record_latency(latency, waiting, Instant::now());
        let slots = state.concurrency.limit();
        drop(state);
        if slots != before {
            self.connections.set_slots(slots);
        }
    }

    /// The observed health of the member.
    pub fn health(&self) -> MemberHealth {
        self.lock().health.clone()
    }

    /// Updates the observed health of the member.
    pub fn update_health(&self, change: impl FnOnce(&mut MemberHealth)) {
        change(&mut self.lock().health);
    }

    /// Acquires a connection, preferably one that has the requested session values set.
    ///
    /// # Errors
    ///
    /// [`AcquireError`] if no connection is available by `deadline`.
    pub async fn acquire(
        self: &Arc<Self>,
        acquire_request: &AcquireRequest,
        deadline: Instant,
    ) -> Result<PooledConnection, AcquireError> {
        self.acquire_paced(acquire_request, deadline, deadline)
            .await
    }

    /// Same as [`MemberPool::acquire`], but waits only until `paced_until` for the slow-start
    /// limit of a cold member.
    ///
    /// # Errors
    ///
    /// Same as for [`MemberPool::acquire`].
    pub async fn acquire_paced(
        self: &Arc<Self>,
        acquire_request: &AcquireRequest,
        deadline: Instant,
        paced_until: Instant,
    ) -> Result<PooledConnection, AcquireError> {
        self.check_sending()?;
        let permit = self.admit(acquire_request, deadline).await?;
        // The permission may have been revoked during the wait.
        self.check_sending()?;
        let mut connection = self.take_or_open(acquire_request, permit, deadline).await?;
        connection.admit(acquire_request.admission(deadline));
        let paced = connection.pace(paced_until).await;
        paced.map_err(AcquireError::SlowStart)?;
        Ok(connection)
    }

    /// Takes an idle connection or opens a new one, holding `permit`.
    async fn take_or_open(
        self: &Arc<Self>,
        acquire_request: &AcquireRequest,
        permit: Permit<DatabaseName>,
        deadline: Instant,
    ) -> Result<PooledConnection, AcquireError> {
        if let Some(established) =
            self.take_idle(acquire_request.tenant.as_ref(), &acquire_request.values)
        {
            return Ok(self.in_use_connection(established, permit));
        }
        let now = Instant::now();
        self.check_opening(now)?;
        self.evict_excess(now)?;
        let mut opening = self.spawn_open(acquire_request.tenant.clone(), permit);
        match timeout_at(deadline, &mut opening).await {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => Err(AcquireError::Unreachable(error.to_string())),
            Err(_) => Err(AcquireError::Exhausted),
        }
    }

    /// Waits until the request is admitted. While the queue is a standing queue, whether it
    /// became one before or during the wait, the request waits no longer than its patience.
    async fn admit(
        &self,
        acquire_request: &AcquireRequest,
        deadline: Instant,
    ) -> Result<Permit<DatabaseName>, AcquireError> {
        let started_at = Instant::now();
        self.check_reachable(started_at)?;
        let database = acquire_request.database.clone();
        let admission = self
            .connections
            .admit(database, acquire_request.limits(), deadline);
        let mut admission = std::pin::pin!(admission);
        let mut next_check = started_at + acquire_request.patience;
        let admitted = loop {
            tokio::select! {
                biased;
                admitted = &mut admission => break admitted.map_err(|r| rejection(&r)),
                () = sleep_until(next_check), if next_check < deadline => {
                    if self.lock().queue.is_standing(Instant::now()) {
                        break Err(AcquireError::Shed(self.connections.retry_after()));
                    }
                    next_check += QUEUE_CHECK_INTERVAL;
                }
            }
        };
        let now = Instant::now();
        let waited = now.duration_since(started_at);
        metrics::histogram!("stilequay_stage_seconds", "stage" => "queue").record(waited);
        let mut state = self.lock();
        match &admitted {
            Ok(_) => state.queue.record_admission(waited, now),
            Err(_) => state.queue.record_timeout(now),
        }
        admitted
    }

    /// Opens a connection in a background task: if the caller gives up, the member's work of
    /// accepting the connection is not wasted, and the connection goes to the pool.
    fn spawn_open(
        self: &Arc<Self>,
        tenant: Option<TenantName>,
        permit: Permit<DatabaseName>,
    ) -> JoinHandle<Result<PooledConnection, AcquireError>> {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let established = pool.open(tenant).await?;
            Ok(pool.in_use_connection(established, permit))
        })
    }

    /// Opens a connection without a permit. Control commands use it outside the pool.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] if it cannot be opened in time.
    async fn open_unpooled(
        &self,
        tenant: Option<&TenantName>,
    ) -> Result<Box<dyn BackEndConnection>, ConnectError> {
        if self.retired.load(Ordering::Relaxed) {
            return Err(ConnectError::WrongMember);
        }
        let connecting = self.back_end.connect(&self.member, tenant);
        let connected = timeout(CONNECT_TIMEOUT, connecting).await;
        let result = connected.unwrap_or(Err(ConnectError::TimedOut));
        self.record_connect(&result.as_ref().err().cloned());
        result
    }

    /// Sends a control command, over an idle connection if there is one. If the member accepts
    /// no further connection, waits for one of the pool. Control commands are also sent to
    /// evacuated zones: without fencing there, a new leader could lack acknowledged commits.
    ///
    /// # Errors
    ///
    /// [`ControlError`] tells whether the member is running.
    pub async fn control(self: &Arc<Self>, control: Control) -> Result<MemberReport, ControlError> {
        if let Some(mut idle) = self.try_idle().await
            && let Ok(report) = idle.control(control).await
        {
            return Ok(report);
        }
        match self.open_unpooled(None).await {
            Ok(mut connection) => Ok(connection.control(control).await?),
            Err(ConnectError::TooManyConnections) => {
                let until = Instant::now() + CONTROL_TIMEOUT;
                let acquire_request = AcquireRequest::internal();
                let permit = self.admit(&acquire_request, until).await?;
                let mut connection = self.take_or_open(&acquire_request, permit, until).await?;
                Ok(connection.control(control).await?)
            }
            Err(error) => Err(ControlError::Connect(error)),
        }
    }

    async fn try_idle(self: &Arc<Self>) -> Option<PooledConnection> {
        let acquire_request = AcquireRequest::internal();
        let at_once = TenantLimits {
            queue_length: 0,
            ..acquire_request.limits()
        };
        let until = Instant::now() + CONTROL_TIMEOUT;
        let admission = self
            .connections
            .admit(acquire_request.database, at_once, until);
        let permit = admission.await.ok()?;
        let established = self.take_idle(None, &SessionValues::default())?;
        Some(self.in_use_connection(established, permit))
    }

    /// Closes idle connections now, and those in use as they are returned.
    pub fn close(&self) {
        self.connections.close();
    }

    /// Closes the pool because the member's server has restarted: it opens no more connections.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::Relaxed);
        self.close();
    }

    /// Closes the idle connections and records the member as unreachable, because it does not
    /// answer.
    pub fn mark_unreachable(&self) {
        self.close_idle_connections();
        self.update_health(|health| health.record_unreachable(Instant::now()));
    }

    /// Records that a command sent at `sent` was not answered in time. If the member has sent
    /// nothing at all since, the idle connections are closed: they may all have gone silent at
    /// once, and each would make another request time out.
    pub fn record_timeout(&self, sent: Instant) {
        let now = Instant::now();
        self.update_health(|health| health.record_timeout(now.duration_since(sent), now));
        let last_contact = self.health().last_contact();
        if last_contact.is_none_or(|at| at <= sent) {
            self.close_idle_connections();
        }
    }

    /// Closes the idle connections, which must not be used any longer. Those in use stay open.
    pub fn close_idle_connections(&self) {
        drop(self.connections.take_all(|_| true));
    }

    /// Closes connections that have been idle for `IDLE_TIMEOUT`.
    pub fn close_expired(&self) {
        self.connections.close_idle(|idle| idle.age >= IDLE_TIMEOUT);
    }

    pub(super) fn give_back(&self, established: Established) {
        if !self.gate.is_closed(Instant::now()) {
            self.connections.put_idle(established);
        }
    }

    fn in_use_connection(
        self: &Arc<Self>,
        established: Established,
        permit: Permit<DatabaseName>,
    ) -> PooledConnection {
        PooledConnection::new(Arc::clone(self), established, permit)
    }

    /// Takes the most recently used open connection of `tenant`, preferably one that has
    /// `values` set.
    fn take_idle(
        &self,
        tenant: Option<&TenantName>,
        values: &SessionValues,
    ) -> Option<Established> {
        self.connections.take_idle(|established| {
            if !established.serves(tenant) {
                Fit::None
            } else if established.has_values(values) {
                Fit::Exact
            } else {
                Fit::Usable
            }
        })
    }

    /// Closes idle connections, longest idle first, while opening one more would exceed this
    /// process's share of the connections that the member accepts. The idle ones belong to
    /// other tenants, else one of them would have been taken.
    fn evict_excess(&self, now: Instant) -> Result<(), AcquireError> {
        let share = self.lock().share(now);
        while self.open_connections() > share {
            if !self.connections.close_oldest() {
                return Err(AcquireError::Exhausted);
            }
            metrics::counter!("stilequay_pool_connections_displaced_total").increment(1);
        }
        Ok(())
    }

    /// Number of connections that are open or being opened.
    fn open_connections(&self) -> usize {
        self.connections.load().in_use + self.connections.count_idle(|_| true)
    }

    async fn open(&self, tenant: Option<TenantName>) -> Result<Established, AcquireError> {
        let result = self.open_unpooled(tenant.as_ref()).await;
        metrics::counter!("stilequay_pool_connections_opened_total").increment(1);
        match result {
            Ok(connection) => Ok(Established::new(connection, tenant)),
            Err(ConnectError::TooManyConnections | ConnectError::Busy) => {
                Err(AcquireError::Exhausted)
            }
            Err(ConnectError::WrongMember) => Err(AcquireError::WrongMember),
            Err(error) => Err(AcquireError::Unreachable(error.to_string())),
        }
    }

    fn check_reachable(&self, now: Instant) -> Result<(), AcquireError> {
        if self.lock().health.is_unreachable(now) {
            return Err(AcquireError::Unreachable("failed a moment ago".to_owned()));
        }
        Ok(())
    }

    fn check_opening(&self, now: Instant) -> Result<(), AcquireError> {
        let state = self.lock();
        if state.open_after.is_some_and(|until| now < until) {
            return Err(AcquireError::Exhausted);
        }
        Ok(())
    }

    fn record_connect(&self, error: &Option<ConnectError>) {
        let now = Instant::now();
        let open = self.open_connections();
        let mut state = self.lock();
        match error {
            None => state.health.record_contact(now),
            Some(ConnectError::TooManyConnections) => {
                state.health.record_contact(now);
                state.connection_cap = Some((open.saturating_sub(1), now + CONNECTION_CAP_TIME));
            }
            Some(ConnectError::Busy) => {
                state.health.record_contact(now);
                state.health.record_busy(now);
                state.open_after = Some(now + BUSY_PAUSE);
            }
            Some(_) => state.health.record_unreachable(now),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Maps a rejection: `Exhausted` may be retried until the deadline, `Shed` tells when to retry.
fn rejection(rejected: &Rejected) -> AcquireError {
    match rejected.reason {
        RejectReason::Deadline | RejectReason::QueueTime => AcquireError::Exhausted,
        _ => AcquireError::Shed(rejected.retry_after),
    }
}
