//! Admission to a scarce resource, fair between tenants.
//!
//! A [`Limiter`] guards a fixed number of slots, for instance the connections
//! that a server accepts. A tenant that asks while all slots are in use waits
//! in a bounded queue of its own. A slot that becomes free goes to the waiting
//! tenants of the highest rank, and among these to the one that holds the fewest
//! slots; tenants that hold equally many take turns. Within a rank this is max-min
//! fairness on the slots held, so that
//!
//! - a tenant that holds no slot waits for at most as many releases as there are
//!   other waiting tenants that hold none, however long another tenant's queue is;
//! - a tenant that runs long requests gets no more slots than one that runs short ones.
//!
//! Plain turns would share the number of grants and not the time for which slots are held.
//!
//! What can't be admitted in time is refused at once, with a [`Rejected`] that
//! says when to come back: nothing of the request has begun.
//!
//! ```
//! use std::time::Duration;
//! use stilequay_coordination::limit::{Limiter, LimiterSettings, RejectReason, TenantLimits};
//! use tokio::time::Instant;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let limiter = Limiter::new(LimiterSettings {
//!     slots: 1,
//!     tenant: TenantLimits { in_flight: 1, queue_length: 0, rank: 0 },
//!     ..LimiterSettings::default()
//! });
//! let deadline = Instant::now() + Duration::from_secs(1);
//! let permit = limiter.acquire("orders", deadline).await.expect("a slot is free");
//! let rejected = limiter.acquire("orders", deadline).await.expect_err("no room to wait");
//! assert_eq!(rejected.reason, RejectReason::TenantQueueFull);
//! drop(permit);
//! assert!(limiter.acquire("orders", deadline).await.is_ok());
//! # }
//! ```

mod rejected;
mod scheduler;

pub use rejected::{RejectReason, Rejected};

use scheduler::{Admission, Decision, Scheduler, Verdict};
use std::fmt::Debug;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What names a tenant: a cheaply cloned, ordered value such as `Arc<str>`.
pub trait TenantKey: Clone + Ord + Debug + Send + 'static {}

impl<T: Clone + Ord + Debug + Send + 'static> TenantKey for T {}

/// What one tenant may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantLimits {
    /// Greatest number of slots held at a time.
    pub in_flight: usize,
    /// Greatest number of requests waiting; zero refuses instead of waiting.
    pub queue_length: usize,
    /// Its rank, 0 the highest: while slots are scarce, tenants of a lower one get none.
    pub rank: u32,
}

impl Default for TenantLimits {
    fn default() -> Self {
        Self {
            in_flight: 64,
            queue_length: 256,
            rank: 0,
        }
    }
}

/// What a [`Limiter`] admits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimiterSettings {
    /// Number of slots.
    pub slots: usize,
    /// Greatest number of requests waiting, of all tenants together.
    pub queue_length: usize,
    /// Longest time that a request waits.
    pub queue_time: Duration,
    /// Limits of a tenant that [`Limiter::acquire_within`] has told no others for.
    pub tenant: TenantLimits,
}

impl Default for LimiterSettings {
    fn default() -> Self {
        Self {
            slots: 32,
            queue_length: 4_096,
            queue_time: Duration::from_secs(1),
            tenant: TenantLimits::default(),
        }
    }
}

/// How a [`Limiter`] is used at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Slots held.
    pub in_use: usize,
    /// Requests waiting.
    pub waiting: usize,
    /// Tenants that hold a slot or wait; the memory of a limiter follows this and `waiting`.
    pub tenants: usize,
}

/// Admits requests of many tenants to a number of slots. Clones share the slots.
#[derive(Debug)]
pub struct Limiter<T: TenantKey> {
    scheduler: Arc<Mutex<Scheduler<T>>>,
}

impl<T: TenantKey> Clone for Limiter<T> {
    fn clone(&self) -> Self {
        Self {
            scheduler: Arc::clone(&self.scheduler),
        }
    }
}

impl<T: TenantKey> Limiter<T> {
    /// A limiter with no slot in use.
    pub fn new(settings: LimiterSettings) -> Self {
        Self {
            scheduler: Arc::new(Mutex::new(Scheduler::new(settings))),
        }
    }

    /// Waits for a slot under the default limits of a tenant.
    ///
    /// Cancel-safe: a future that is dropped leaves the queue, and gives back a slot
    /// that it had been granted but not yet returned.
    ///
    /// # Errors
    ///
    /// [`Rejected`] when the request can't be admitted by `deadline` or the queue time;
    /// known at once where a queue is full or the wait expected is too long.
    pub async fn acquire(&self, tenant: T, deadline: Instant) -> Result<Permit<T>, Rejected> {
        let limits = self.lock().settings().tenant;
        self.acquire_within(tenant, limits, deadline).await
    }

    /// As [`Limiter::acquire`], with the limits that now hold for this tenant. They
    /// replace those of an earlier call, also for the tenant's waiting requests.
    ///
    /// # Errors
    ///
    /// As for [`Limiter::acquire`].
    pub async fn acquire_within(
        &self,
        tenant: T,
        limits: TenantLimits,
        deadline: Instant,
    ) -> Result<Permit<T>, Rejected> {
        let now = Instant::now();
        let (sender, receiver) = oneshot::channel();
        let (admission, decisions) = self.lock().enter(&tenant, limits, sender, now, deadline);
        self.deliver(decisions);
        let (waiter, give_up) = match admission {
            Admission::Granted => return Ok(self.permit(tenant)),
            Admission::Rejected(rejected) => return Err(rejected),
            Admission::Queued { waiter, give_up } => (waiter, give_up),
        };
        let queued = Queued {
            limiter: self,
            tenant,
            waiter,
        };
        match tokio::time::timeout_at(give_up, receiver).await {
            Ok(Ok(outcome)) => outcome,
            // The sender is dropped unused only when the waiter has left the queue.
            Ok(Err(_)) => Err(self.lock().reject(RejectReason::Closed)),
            Err(_) => Err(queued.timed_out(deadline)),
        }
    }

    /// Changes the number of slots. Where fewer are left than are in use, no request
    /// is admitted until enough of them are released.
    pub fn set_slots(&self, slots: usize) {
        let decisions = self.lock().set_slots(slots);
        self.deliver(decisions);
    }

    /// Refuses all that wait and all that come later; permits given stay valid.
    pub fn close(&self) {
        let decisions = self.lock().close();
        self.deliver(decisions);
    }

    /// When a request that gives up its place now is to come back: once what waits would be
    /// through.
    pub fn retry_after(&self) -> Duration {
        self.lock().reject(RejectReason::Deadline).retry_after
    }

    /// How the limiter is used now.
    pub fn load(&self) -> Load {
        self.lock().load()
    }

    fn permit(&self, tenant: T) -> Permit<T> {
        Permit {
            limiter: self.clone(),
            tenant,
            granted: Instant::now(),
        }
    }

    /// Tells waiters what was decided. The lock is not held here, because a permit
    /// whose waiter is gone is dropped and takes the lock itself.
    fn deliver(&self, decisions: Vec<Decision<T>>) {
        for decision in decisions {
            let outcome = match decision.verdict {
                Verdict::Granted => Ok(self.permit(decision.tenant)),
                Verdict::Rejected(rejected) => Err(rejected),
            };
            drop(decision.reply.send(outcome));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Scheduler<T>> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in a queue, left when dropped.
struct Queued<'a, T: TenantKey> {
    limiter: &'a Limiter<T>,
    tenant: T,
    waiter: u64,
}

impl<T: TenantKey> Queued<'_, T> {
    fn timed_out(&self, deadline: Instant) -> Rejected {
        let reason = if deadline <= Instant::now() {
            RejectReason::Deadline
        } else {
            RejectReason::QueueTime
        };
        self.limiter.lock().reject(reason)
    }
}

impl<T: TenantKey> Drop for Queued<'_, T> {
    fn drop(&mut self) {
        let decisions = self.limiter.lock().leave(&self.tenant, self.waiter);
        self.limiter.deliver(decisions);
    }
}

/// A slot, given back when dropped.
#[derive(Debug)]
#[must_use = "the slot is given back when the permit is dropped"]
pub struct Permit<T: TenantKey> {
    limiter: Limiter<T>,
    tenant: T,
    granted: Instant,
}

impl<T: TenantKey> Permit<T> {
    /// The tenant that holds the slot.
    pub fn tenant(&self) -> &T {
        &self.tenant
    }
}

impl<T: TenantKey> Drop for Permit<T> {
    fn drop(&mut self) {
        let held = self.granted.elapsed();
        let decisions = self.limiter.lock().release(&self.tenant, held);
        self.limiter.deliver(decisions);
    }
}
