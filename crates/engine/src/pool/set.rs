//! Protocol-independent part of a connection pool: admission, fairness between tenants and the
//! choice among idle connections.
//!
//! The type of the connections, how they are opened and when idle ones are closed is up to the pool
//! that uses the set, such as [`MemberPool`](crate::pool::MemberPool).

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stilequay_coordination::limit::{
    Limiter, LimiterSettings, Load, Permit, Rejected, TenantKey, TenantLimits,
};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A connection that can be kept idle in a [`ConnectionSet`].
pub trait PoolConnection {
    /// Whether the idle connection is still open, as far as can be told without a round trip.
    fn is_open(&mut self) -> bool;
}

/// How well an idle connection fits a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fit {
    /// It cannot be used.
    None,
    /// It can be used after its session state has been changed.
    Usable,
    /// It can be used as it is.
    Exact,
}

/// An idle connection as passed to the predicate of [`ConnectionSet::close_idle`].
#[derive(Debug)]
pub struct IdleConnection<'a, C> {
    /// The connection.
    pub connection: &'a C,
    /// How long it has been idle.
    pub age: Duration,
    /// Number of idle connections still to be visited, this one included. They are visited
    /// from the longest idle to the most recently used.
    pub remaining: usize,
}

#[derive(Debug)]
struct IdleEntry<C> {
    connection: C,
    since: Instant,
}

#[derive(Debug)]
struct Idle<C> {
    /// Longest idle first.
    entries: Vec<IdleEntry<C>>,
    closed: bool,
}

/// Connections to one server, shared fairly between tenants identified by `T`.
#[derive(Debug)]
pub struct ConnectionSet<C, T: TenantKey> {
    slots: Limiter<T>,
    idle: Mutex<Idle<C>>,
    returned: Notify,
}

impl<C: PoolConnection, T: TenantKey> ConnectionSet<C, T> {
    /// Creates an empty set with the slots and queue limits of `settings`.
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

    /// Changes how many connections may be in use. A lower number takes effect as connections
    /// in use are returned.
    pub fn set_slots(&self, slots: usize) {
        self.slots.set_slots(slots);
    }

    /// Number of connections in use and of waiting requests.
    pub fn load(&self) -> Load {
        self.slots.load()
    }

    /// After how long a rejected request should be retried.
    pub fn retry_after(&self) -> Duration {
        self.slots.retry_after()
    }

    /// Waits until the tenant may use a connection.
    ///
    /// # Errors
    ///
    /// [`Rejected`] if the request is not admitted by `deadline`. Nothing of it has started.
    pub async fn admit(
        &self,
        tenant: T,
        limits: TenantLimits,
        deadline: Instant,
    ) -> Result<Permit<T>, Rejected> {
        self.slots.acquire_within(tenant, limits, deadline).await
    }

    /// Same as [`ConnectionSet::admit`], with the default limits of a tenant.
    ///
    /// # Errors
    ///
    /// Same as for [`ConnectionSet::admit`].
    pub async fn admit_any(&self, tenant: T, deadline: Instant) -> Result<Permit<T>, Rejected> {
        self.slots.acquire(tenant, deadline).await
    }

    /// Takes the best fitting idle connection, preferring the most recently used among equals,
    /// since the others are closer to their idle timeout. Connections found closed are
    /// dropped.
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

    /// Takes all idle connections that satisfy `predicate`, longest idle first.
    pub fn take_all(&self, predicate: impl Fn(&C) -> bool) -> Vec<C> {
        let mut idle = self.lock();
        let taken = idle
            .entries
            .extract_if(.., |entry| predicate(&entry.connection));
        taken.map(|entry| entry.connection).collect()
    }

    /// Returns a connection without unfinished work to the set.
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

    /// Waits until a connection is returned.
    pub async fn returned(&self) {
        self.returned.notified().await;
    }

    /// Number of idle connections that satisfy `predicate`.
    pub fn count_idle(&self, predicate: impl Fn(&C) -> bool) -> usize {
        let idle = self.lock();
        let entries = idle.entries.iter();
        entries.filter(|entry| predicate(&entry.connection)).count()
    }

    /// Closes the idle connections that satisfy `expired`.
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

    /// Closes the longest idle connection; returns whether there was one.
    pub fn close_oldest(&self) -> bool {
        let mut idle = self.lock();
        let any = !idle.entries.is_empty();
        if any {
            idle.entries.remove(0);
        }
        any
    }

    /// Closes all idle connections now, and those in use as they are returned.
    pub fn close(&self) {
        let mut idle = self.lock();
        idle.closed = true;
        idle.entries.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Idle<C>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
