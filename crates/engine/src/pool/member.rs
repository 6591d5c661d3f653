//! The connections to one member.

use super::connection::{Established, PooledConnection, SessionValues};
use super::health::MemberHealth;
use crate::directory::Member;
use crate::ports::{BackEnd, BackEndConnection, ConnectError, Control, LinkError, MemberReport};
use quick_error::quick_error;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

/// Connections to one member that are in use at a time, before the fleet is known.
const FIRST_LIMIT: usize = 3;
/// Wait for a connection in use where a member accepts no other one.
const ORDER_WAIT: Duration = Duration::from_millis(200);
/// Longest time in which a connection opens.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause before another connection is opened after the member had too many.
const TOO_MANY_PAUSE: Duration = Duration::from_millis(250);
/// How long an unused connection is kept.
const IDLE_LIMIT: Duration = Duration::from_millis(2_000);

quick_error! {
    /// No connection could be had. Nothing has been sent.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum AcquireError {
        /// All connections are in use, here or at the member.
        Exhausted {
            display("no connection is free")
        }
        /// The member can't be reached.
        Unreachable(reason: String) {
            display("unreachable: {reason}")
        }
        /// Another member listens at the address.
        WrongMember {
            display("another member listens there")
        }
    }
}

quick_error! {
    /// An order was not carried out, as far as is known.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OrderError {
        /// No connection could be opened.
        Connect(error: ConnectError) {
            display("{error}")
        }
        /// All connections stayed in use.
        Acquire(error: AcquireError) {
            display("{error}")
            from()
        }
        /// There was no answer, or a refusal.
        Link(error: LinkError) {
            display("{error}")
            from()
        }
    }
}

#[derive(Debug)]
struct Idle {
    established: Established,
    since: Instant,
}

#[derive(Debug)]
struct PoolState {
    limit: usize,
    idle: Vec<Idle>,
    closed: bool,
    no_opening_until: Option<Instant>,
    health: MemberHealth,
}

/// The connections to one member.
#[derive(Debug)]
pub struct MemberPool {
    member: Arc<Member>,
    back_end: Arc<dyn BackEnd>,
    permits: Arc<Semaphore>,
    state: Mutex<PoolState>,
}

impl MemberPool {
    /// A pool without connections.
    pub fn new(member: Arc<Member>, back_end: Arc<dyn BackEnd>) -> Self {
        Self {
            member,
            back_end,
            permits: Arc::new(Semaphore::new(FIRST_LIMIT)),
            state: Mutex::new(PoolState {
                limit: FIRST_LIMIT,
                idle: Vec::new(),
                closed: false,
                no_opening_until: None,
                health: MemberHealth::new(Instant::now()),
            }),
        }
    }

    /// The member, as it was when the pool was made: its identity and place.
    pub fn member(&self) -> &Arc<Member> {
        &self.member
    }

    /// Connections in use.
    pub fn in_use(&self) -> usize {
        let limit = self.lock().limit;
        limit.saturating_sub(self.permits.available_permits())
    }

    /// Bounds the connections in use. Fewer are reached as those in use come back.
    pub fn set_limit(&self, limit: usize) {
        let mut state = self.lock();
        if limit > state.limit {
            self.permits.add_permits(limit - state.limit);
            state.limit = limit;
        } else {
            let forgotten = self.permits.forget_permits(state.limit - limit);
            state.limit -= forgotten;
        }
    }

    /// What is known of the member.
    pub fn health(&self) -> MemberHealth {
        self.lock().health.clone()
    }

    /// Notes something of the member.
    pub fn note(&self, change: impl FnOnce(&mut MemberHealth)) {
        change(&mut self.lock().health);
    }

    /// A connection, one with `values` in place if there is such a one.
    ///
    /// # Errors
    ///
    /// [`AcquireError`] where there is none by `deadline`.
    pub async fn acquire(
        self: &Arc<Self>,
        values: &SessionValues,
        deadline: Instant,
    ) -> Result<PooledConnection, AcquireError> {
        self.check_reachable(Instant::now())?;
        let permit = timeout_at(deadline, Arc::clone(&self.permits).acquire_owned())
            .await
            .map_err(|_| AcquireError::Exhausted)?
            .map_err(|_| AcquireError::Exhausted)?;
        if let Some(established) = self.take_idle(values) {
            return Ok(self.in_use_connection(established, permit));
        }
        self.check_opening(Instant::now())?;
        let mut opening = self.spawn_open(permit);
        match timeout_at(deadline, &mut opening).await {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => Err(AcquireError::Unreachable(error.to_string())),
            Err(_) => Err(AcquireError::Exhausted),
        }
    }

    /// Opens a connection in a task of its own: where the one who asked for it gives up,
    /// the member's work for it is not lost, and the connection goes to the pool.
    fn spawn_open(
        self: &Arc<Self>,
        permit: OwnedSemaphorePermit,
    ) -> JoinHandle<Result<PooledConnection, AcquireError>> {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let established = pool.open().await?;
            Ok(pool.in_use_connection(established, permit))
        })
    }

    /// Opens a connection that is not counted against the pool, for orders and reports.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] where it can't be opened in time.
    async fn open_separately(&self) -> Result<Box<dyn BackEndConnection>, ConnectError> {
        let connected = timeout(CONNECT_TIMEOUT, self.back_end.connect(&self.member)).await;
        let result = connected.unwrap_or(Err(ConnectError::TimedOut));
        self.note_connect(&result.as_ref().err().cloned());
        result
    }

    /// Gives an order, over a connection that is not in use if there is one. Where the
    /// member accepts no more connections, one in use is waited for.
    ///
    /// # Errors
    ///
    /// [`OrderError`] tells whether the member runs.
    pub async fn order(self: &Arc<Self>, control: Control) -> Result<MemberReport, OrderError> {
        if let Some(mut idle) = self.try_idle()
            && let Ok(report) = idle.control(control).await
        {
            return Ok(report);
        }
        match self.open_separately().await {
            Ok(mut connection) => Ok(connection.control(control).await?),
            Err(ConnectError::TooManyConnections) => {
                let until = Instant::now() + ORDER_WAIT;
                let values = SessionValues::default();
                let mut connection = self.acquire(&values, until).await?;
                Ok(connection.control(control).await?)
            }
            Err(error) => Err(OrderError::Connect(error)),
        }
    }

    fn try_idle(self: &Arc<Self>) -> Option<PooledConnection> {
        let permit = Arc::clone(&self.permits).try_acquire_owned().ok()?;
        let established = self.take_idle(&SessionValues::default())?;
        Some(self.in_use_connection(established, permit))
    }

    /// Closes unused connections, and those in use as they come back.
    pub fn close(&self) {
        let mut state = self.lock();
        state.closed = true;
        state.idle.clear();
    }

    /// Closes the connections that are not in use: the member does not answer on them.
    pub fn lose_idle(&self) {
        let mut state = self.lock();
        state.idle.clear();
        state.health.unreachable(Instant::now());
    }

    /// Closes connections that were not used for long.
    pub fn close_unused(&self, now: Instant) {
        let mut state = self.lock();
        state
            .idle
            .retain(|idle| now.duration_since(idle.since) < IDLE_LIMIT);
    }

    pub(super) fn give_back(&self, established: Established) {
        let mut state = self.lock();
        if !state.closed {
            let since = Instant::now();
            state.idle.push(Idle { established, since });
        }
    }

    fn in_use_connection(
        self: &Arc<Self>,
        established: Established,
        permit: OwnedSemaphorePermit,
    ) -> PooledConnection {
        PooledConnection::new(Arc::clone(self), established, permit)
    }

    /// The most recently used connection that is still open, with `values` if possible.
    fn take_idle(&self, values: &SessionValues) -> Option<Established> {
        let mut state = self.lock();
        loop {
            let fitting = state
                .idle
                .iter()
                .rposition(|idle| idle.established.has_values(values));
            let index = fitting.or_else(|| state.idle.len().checked_sub(1))?;
            let mut idle = state.idle.remove(index);
            if idle.established.is_open() {
                return Some(idle.established);
            }
        }
    }

    async fn open(&self) -> Result<Established, AcquireError> {
        let result = self.open_separately().await;
        metrics::counter!("stilequay_pool_connections_opened_total").increment(1);
        match result {
            Ok(connection) => Ok(Established::new(connection)),
            Err(ConnectError::TooManyConnections) => Err(AcquireError::Exhausted),
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
        if state.no_opening_until.is_some_and(|until| now < until) {
            return Err(AcquireError::Exhausted);
        }
        Ok(())
    }

    fn note_connect(&self, error: &Option<ConnectError>) {
        let now = Instant::now();
        let mut state = self.lock();
        match error {
            None => state.health.heard(),
            Some(ConnectError::TooManyConnections) => {
                state.health.heard();
                state.no_opening_until = Some(now + TOO_MANY_PAUSE);
            }
            Some(_) => state.health.unreachable(now),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
