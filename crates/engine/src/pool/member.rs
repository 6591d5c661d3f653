//! The connections to one member.

use super::acquire_request::{AcquireRequest, QUEUE_TIME};
use super::concurrency::ConcurrencyLimit;
use super::connection::{Established, PooledConnection, SessionValues};
use super::error::{AcquireError, ControlError};
use super::health::MemberHealth;
use super::queue::QueueDelay;
use super::set::{ConnectionSet, Fit};
use crate::directory::Member;
use crate::evacuation::{Gate, MayNotSend};
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

/// Connections to one member that are in use at a time, before the fleet is known.
const INITIAL_LIMIT: usize = 3;
/// Statements of one process that go through a member's homes at a time: these bound them.
const REMOTE_LIMIT: usize = 256;
/// Wait for a connection in use where a member accepts no other one.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time in which a connection opens.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause before another connection is opened after the member's queue was full.
const BUSY_PAUSE: Duration = Duration::from_millis(60);
/// How long a process holds no more connections than it does, after the member had too many:
/// one is closed for each that is opened. After a loss of power a member holds those of the
/// lives before for some seconds.
const CONNECTION_CAP_TIME: Duration = Duration::from_millis(250);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval in which a request that waits looks whether the queue stands by now.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// Requests of all databases that wait for a connection, at the most.
const QUEUE_LENGTH: usize = 1_024;

#[derive(Debug)]
struct PoolState {
    open_after: Option<Instant>,
    /// Connections that the member accepts of this process, until a moment.
    connection_cap: Option<(usize, Instant)>,
    queue: QueueDelay,
    concurrency: ConcurrencyLimit,
    health: MemberHealth,
}

impl PoolState {
    /// Connections that may stand.
    fn share(&self, now: Instant) -> usize {
        let ceiling = self.concurrency.ceiling();
        let connection_cap = self.connection_cap.filter(|(_, until)| now < *until);
        connection_cap.map_or(ceiling, |(accepted, _)| accepted.min(ceiling))
    }
}

/// The connections to one member.
#[derive(Debug)]
pub struct MemberPool {
    member: Arc<Member>,
    back_end: Arc<dyn BackEnd>,
    remote: bool,
    gate: Gate,
    /// The server has started again: a connection would lead to its next life.
    retired: AtomicBool,
    connections: ConnectionSet<Established, DatabaseName>,
    state: Mutex<PoolState>,
}

impl MemberPool {
    /// A pool without connections.
    pub fn new(member: Arc<Member>, back_end: Arc<dyn BackEnd>) -> Self {
        Self::with_limit(member, back_end, INITIAL_LIMIT, false)
    }

    /// A pool of connections by way of the member's homes, which bound their number.
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
            gate: Gate::default(),
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

    /// The same, where nothing is sent that `gate` holds back.
    pub fn with_gate(self, gate: Gate) -> Self {
        Self { gate, ..self }
    }

    /// Whether anything may be sent to the member now.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub fn check_sending(&self) -> Result<(), MayNotSend> {
        self.gate.check(Instant::now())
    }

    pub(super) fn gate(&self) -> &Gate {
        &self.gate
    }

    /// The member, as it was when the pool was made: its identity and place.
    pub fn member(&self) -> &Arc<Member> {
        &self.member
    }

    /// Whether its connections go by way of the member's homes.
    pub fn is_remote(&self) -> bool {
        self.remote
    }

    /// Connections in use.
    pub fn in_use(&self) -> usize {
        self.load().in_use
    }

    /// How the connections are used, and how many requests wait.
    pub fn load(&self) -> Load {
        self.connections.load()
    }

    /// Connections that may be in use now.
    pub fn limit(&self) -> usize {
        self.lock().concurrency.limit()
    }

    /// Bounds the connections in use. Fewer are reached as those in use come back.
    pub fn set_limit(&self, limit: usize) {
        let mut state = self.lock();
        state.concurrency.set_ceiling(limit);
        let slots = state.concurrency.limit();
        drop(state);
        self.connections.set_slots(slots);
    }

    /// Notes that a statement was answered after `latency`.
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

    /// What is known of the member.
    pub fn health(&self) -> MemberHealth {
        self.lock().health.clone()
    }

    /// Notes something of the member.
    pub fn update_health(&self, change: impl FnOnce(&mut MemberHealth)) {
        change(&mut self.lock().health);
    }

    /// A connection, one with the claim's values in place if there is such a one.
    ///
    /// # Errors
    ///
    /// [`AcquireError`] where there is none by `deadline`.
    pub async fn acquire(
        self: &Arc<Self>,
        acquire_request: &AcquireRequest,
        deadline: Instant,
    ) -> Result<PooledConnection, AcquireError> {
        self.acquire_paced(acquire_request, deadline, deadline)
            .await
    }

    /// As [`MemberPool::acquire`]; a cold member is waited for until `paced_until` only, where
    /// it takes no more now.
    ///
    /// # Errors
    ///
    /// As for [`MemberPool::acquire`].
    pub async fn acquire_paced(
        self: &Arc<Self>,
        acquire_request: &AcquireRequest,
        deadline: Instant,
        paced_until: Instant,
    ) -> Result<PooledConnection, AcquireError> {
        self.check_sending()?;
        let permit = self.admit(acquire_request, deadline).await?;
        // The wait may have been long.
        self.check_sending()?;
        let mut connection = self.connection(acquire_request, permit, deadline).await?;
        connection.admit(acquire_request.admission(deadline));
        let paced = connection.pace(paced_until).await;
        paced.map_err(AcquireError::SlowStart)?;
        Ok(connection)
    }

    /// A connection under `permit`: one that rests, or a new one.
    async fn connection(
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

    /// Waits for the claim's turn; for no longer than its patience where the queue stands,
    /// be it before or after the wait began.
    async fn admit(
        &self,
        acquire_request: &AcquireRequest,
        deadline: Instant,
    ) -> Result<Permit<DatabaseName>, AcquireError> {
        let began = Instant::now();
        self.check_reachable(began)?;
        let database = acquire_request.database.clone();
        let admission = self
            .connections
            .admit(database, acquire_request.limits(), deadline);
        let mut admission = std::pin::pin!(admission);
        let mut next_check = began + acquire_request.patience;
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
        let waited = now.duration_since(began);
        metrics::histogram!("stilequay_stage_seconds", "stage" => "queue").record(waited);
        let mut state = self.lock();
        match &admitted {
            Ok(_) => state.queue.record_admission(waited, now),
            Err(_) => state.queue.record_timeout(now),
        }
        admitted
    }

    /// Opens a connection in a task of its own: where the one who asked for it gives up,
    /// the member's work for it is not lost, and the connection goes to the pool.
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

    /// Opens a connection that is not counted against the pool, for orders and reports.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] where it can't be opened in time.
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

    /// Gives an order, over a connection that is not in use if there is one. Where the
    /// member accepts no more connections, one in use is waited for. Orders go to evacuated
    /// zones too: without its fence a new leader could lack acknowledged commits.
    ///
    /// # Errors
    ///
    /// [`ControlError`] tells whether the member runs.
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
                let mut connection = self.connection(&acquire_request, permit, until).await?;
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

    /// Closes unused connections, and those in use as they come back.
    pub fn close(&self) {
        self.connections.close();
    }

    /// Takes it that this life of the member's server has ended: no connection is opened any more.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::Relaxed);
        self.close();
    }

    /// Closes the connections that are not in use: the member does not answer on them.
    pub fn mark_unreachable(&self) {
        self.close_idle_connections();
        self.update_health(|health| health.record_unreachable(Instant::now()));
    }

    /// Notes that what was sent at `sent` was not answered in time. Where the member has said
    /// nothing at all since, connections that rest are closed: they may have gone silent
    /// together, and each would cost another request its time.
    pub fn record_timeout(&self, sent: Instant) {
        let now = Instant::now();
        self.update_health(|health| health.record_timeout(now.duration_since(sent), now));
        let heard = self.health().last_contact();
        if heard.is_none_or(|heard| heard <= sent) {
            self.close_idle_connections();
        }
    }

    /// Closes the connections that are not in use: nothing is sent on them any more.
    pub fn close_idle_connections(&self) {
        drop(self.connections.take_all(|_| true));
    }

    /// Closes connections that were not used for long.
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

    /// The most recently used connection of `tenant` that is still open, with `values` if
    /// possible.
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

    /// Closes connections that rest where one more would be over this process's share of
    /// those that the member accepts: they are of other tenants. The one that has rested
    /// longest goes first.
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

    /// Connections that stand or are being opened.
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

/// Whether a request that was not admitted may try again while it has time.
fn rejection(rejected: &Rejected) -> AcquireError {
    match rejected.reason {
        RejectReason::Deadline | RejectReason::QueueTime => AcquireError::Exhausted,
        _ => AcquireError::Shed(rejected.retry_after),
    }
}
