//! Leases with fencing numbers over a store with conditional writes.
//!
//! A lease says that its holder alone may act, for a bounded time. No wall clock is
//! compared between nodes:
//!
//! - The holder counts from a moment *before* it sent the request that acquired or
//!   renewed the lease, and gives up a margin before the end.
//! - Another candidate counts from the moment *after* it first read the present
//!   record, and may take the lease once that record has not changed for its whole
//!   duration.
//!
//! So, as long as clocks run at rates that differ by less than the margin, no two
//! holders find their [`Lease::check`] good at the same moment. But a holder may be
//! paused right after a check. What the lease guards must therefore carry the
//! [`FencingNumber`], and refuse a number lower than one that it has seen
//! ([`FencingGuard`]).
//!
//! ```
//! # use stilequay_coordination::lease::{FencingGuard, FencingNumber};
//! let mut guard = FencingGuard::default();
//! assert!(guard.admit(FencingNumber(4)).is_ok());
//! assert!(guard.admit(FencingNumber(5)).is_ok());
//! assert!(guard.admit(FencingNumber(4)).is_err());
//! ```

mod candidate;
mod fencing;
mod port;

pub use candidate::{Acquisition, LeaseCandidate, LeaseSettings, TakenOver};
pub use fencing::{FencingGuard, FencingNumber, StaleFencing};
pub use port::{LeaseRecord, LeaseStore, LeaseStoreError, PutOutcome};

use crate::name_type;
use quick_error::quick_error;
use std::time::Duration;

name_type!(
    /// What a lease is for, unique in its store.
    LeaseName
);

quick_error! {
    /// A lease is not, or no longer, held.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LeaseError {
        /// Its time is over, or was over when the store's answer came. What was to be
        /// done under it must not be done.
        Lapsed {
            display("the lease has lapsed")
        }
        /// Another holder has taken it.
        Lost {
            display("another holder has taken the lease")
        }
        /// The store gave no answer. A lease held before stays good for its time.
        Store(error: LeaseStoreError) {
            display("{error}")
            from()
        }
    }
}

/// A lease that was held when it was acquired. Whether it is still held, only
/// [`Lease::check`] tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    name: LeaseName,
    record: LeaseRecord,
    /// The era of the store in which it was acquired.
    era: Option<u64>,
    /// When the holding began, on the clock of the candidate.
    began: Duration,
    ends: Duration,
}

impl Lease {
    /// The number that everything done under the lease must carry, if the lease is
    /// still held at `now` on the clock of the candidate that acquired it.
    ///
    /// Call it again after every wait: the holder may have been paused in it.
    ///
    /// # Errors
    ///
    /// [`LeaseError::Lapsed`] from the end of the lease on.
    pub fn check(&self, now: Duration) -> Result<FencingNumber, LeaseError> {
        if now >= self.ends {
            return Err(LeaseError::Lapsed);
        }
        Ok(self.record.fencing)
    }

    /// The number of the holding, held still or not. What is done under the lease takes
    /// the number from [`Lease::check`] instead.
    pub fn fencing(&self) -> FencingNumber {
        self.record.fencing
    }

    /// What the store holds of it, for candidates that are told of it
    /// ([`LeaseCandidate::observe`]).
    pub fn record(&self) -> &LeaseRecord {
        &self.record
    }

    /// What the lease is for.
    pub fn name(&self) -> &LeaseName {
        &self.name
    }

    /// When it ends, on the clock of the candidate that acquired it.
    pub fn ends(&self) -> Duration {
        self.ends
    }
}
