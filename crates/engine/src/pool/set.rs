//! The connections to one server, whatever protocol they speak: how many may be in use,
//! whose turn it is, and which of those at rest is used next.
//!
//! What a connection is, how one is opened and when one at rest is closed is for the
//! [pools](crate::pool) of the protocols' adapters.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stilequay_coordination::limit::{
    Limiter, LimiterSettings, Load, Permit, Rejected, TenantKey, TenantLimits,
};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection that can rest.
pub trait PoolConnection {
    /// Whether it still stands while it rests, as far as can be told without asking.
    fn is_open(&mut self) -> bool;
}

/// How well a connection at rest fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fit {
    /// Not at all: another one has to be opened.
    None,
    /// It can be made to fit.
    Usable,
    /// It needs nothing done to it.
    Exact,
}

/// A connection at rest, as [`ConnectionSet::close_idle`] shows it.
#[derive(Debug)]
pub struct IdleConnection<'a, C> {
    /// The connection.
    pub connection: &'a C,
    /// How long it has been resting.
    pub age: Duration,
    /// Connections at rest that have not been looked at yet, this one included. The one
    /// that has rested longest is looked at first.
    pub remaining: usize,
}

#[derive(Debug)]
struct IdleEntry<C> {
    connection: C,
    since: Instant,
}

#[derive(Debug)]
struct Idle<C> {
    /// Oldest first.
    entries: Vec<IdleEntry<C>>,
    closed: bool,
}

/// The connections to one server, shared fairly between the tenants `T`.
#[derive(Debug)]
pub struct ConnectionSet<C, T: TenantKey> {
    slots: Limiter<T>,
    idle: Mutex<Idle<C>>,
    returned: Notify,
}

impl<C: PoolConnection, T: TenantKey> ConnectionSet<C, T> {
    /// No connection yet, and as many slots as `settings` say.
    pub fn new(settings: LimiterSettings) -> Self {
        Self {
            slots: Limiter::new(settings),
            idle: Mutex::new(Idle {
                entries: Vec::new(),
                closed: false,
            }),
            returned: Notify::new(),
        }
    }

    /// Changes how many connections may be in use. Fewer are reached as they come back.
    pub fn set_slots(&self, slots: usize) {
        self.slots.set_slots(slots);
    }

    /// How many are in use, and how many requests wait.
    pub fn load(&self) -> Load {
        self.slots.load()
    }

    /// When a request that waits no longer is to come back.
    pub fn retry_after(&self) -> Duration {
        self.slots.retry_after()
    }

    /// Waits for the tenant's turn to use a connection.
    ///
    /// # Errors
    ///
    /// [`Rejected`] where it doesn't come by `deadline`: nothing of the request has begun.
    pub async fn admit(
        &self,
        tenant: T,
        limits: TenantLimits,
        deadline: Instant,
    ) -> Result<Permit<T>, Rejected> {
        self.slots.acquire_within(tenant, limits, deadline).await
    }

    /// As [`ConnectionSet::admit`], with the limits that hold for every tenant.
    ///
    /// # Errors
    ///
    /// As for [`ConnectionSet::admit`].
    pub async fn admit_any(&self, tenant: T, deadline: Instant) -> Result<Permit<T>, Rejected> {
        self.slots.acquire(tenant, deadline).await
    }

    /// The connection that fits best, among equals the one used last: the others are
    /// nearer their end. One that no longer stands is dropped.
    pub fn take_idle(&self, fit: impl Fn(&C) -> Fit) -> Option<C> {
        let mut idle = self.lock();
        loop {
            let ranked = idle.entries.iter().enumerate();
            let ranked = ranked.map(|(index, entry)| (fit(&entry.connection), index));
            let (best, index) = ranked.max()?;
            if best == Fit::None {
                return None;
            }
            let mut taken = idle.entries.remove(index).connection;
            if taken.is_open() {
                return Some(taken);
            }
        }
    }

    /// Takes all connections at rest of which `which` is true, oldest first.
    pub fn take_all(&self, which: impl Fn(&C) -> bool) -> Vec<C> {
        let mut idle = self.lock();
        let taken = idle
            .entries
            .extract_if(.., |entry| which(&entry.connection));
        taken.map(|entry| entry.connection).collect()
    }

    /// Lets a connection rest that nothing is unfinished on.
    pub fn put_idle(&self, connection: C) {
        let mut idle = self.lock();
        if idle.closed {
            return;
        }
        let since = Instant::now();
        idle.entries.push(IdleEntry { connection, since });
        drop(idle);
        self.returned.notify_one();
    }

    /// Waits until a connection comes to rest.
    pub async fn returned(&self) {
        self.returned.notified().await;
    }

    /// Connections at rest of which `which` is true.
    pub fn count_idle(&self, which: impl Fn(&C) -> bool) -> usize {
        let idle = self.lock();
        let entries = idle.entries.iter();
        entries.filter(|entry| which(&entry.connection)).count()
    }

    /// Closes the connections at rest of which `expired` is true.
    pub fn close_idle(&self, expired: impl Fn(IdleConnection<'_, C>) -> bool) {
        let now = Instant::now();
        let mut idle = self.lock();
        let mut remaining = idle.entries.len();
        idle.entries.retain(|entry| {
            let expires = expired(IdleConnection {
                connection: &entry.connection,
                age: now.saturating_duration_since(entry.since),
                remaining,
            });
            remaining -= 1;
            !expires
        });
    }

    /// Closes the connection that has rested longest; returns whether there was one.
    pub fn close_oldest(&self) -> bool {
        let mut idle = self.lock();
        let any = !idle.entries.is_empty();
        if any {
            idle.entries.remove(0);
        }
        any
    }

    /// Closes all connections at rest, and those in use as they come back.
    pub fn close(&self) {
        let mut idle = self.lock();
        idle.closed = true;
        idle.entries.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Idle<C>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
