//! The store that leases need.

use super::{FencingNumber, LeaseName};
use crate::identity::{Incarnation, NodeId};
use async_trait::async_trait;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What the store keeps of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The node that holds it, or held it last.
    pub holder: NodeId,
    /// The life of the node: a process that was restarted does not hold what the one before did.
    pub incarnation: Incarnation,
    /// The number of the holding. Never falls.
    pub fencing: FencingNumber,
    /// Rises with each renewal of the holding.
    pub renewal: u64,
    /// Drawn anew for each write, so that one whose answer was lost is not taken for an
    /// earlier one of the same content: the lease would count from too late a moment.
    pub write_id: u64,
    /// How long the holding lasts from its latest renewal.
    pub duration: Duration,
    /// Whether the holder has given it back.
    pub released: bool,
    /// How long the holding had lasted when this was written, on its holder's clock.
    #[serde(default)]
    pub held: Duration,
    /// Whether it was taken from a holder that might act for up to a duration still.
    #[serde(default)]
    pub taken_early: bool,
}

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect.
    Stored,
    /// It did not: the record differs from the one expected.
    Conflict,
}

quick_error! {
    /// The store gave no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LeaseStoreError {
        /// It refused, or was not reached: a write has not taken effect.
        Unavailable(reason: String) {
            display("the lease store is unavailable: {reason}")
        }
        /// The answer was lost: a write may have taken effect, or may still do so.
        Unknown(reason: String) {
            display("the lease store's answer was lost: {reason}")
        }
    }
}

/// A store of lease records. Both calls must be linearizable within one [era](Self::era).
#[async_trait]
pub trait LeaseStore: Send + Sync + 'static {
    /// How often the store has lost what it had acknowledged, by its latest answer: it was
    /// restored from a copy. A store that never loses anything has one era; `None` before any
    /// answer.
    fn era(&self) -> Option<u64> {
        Some(0)
    }

    /// The present record.
    async fn get(&self, name: &LeaseName) -> Result<Option<LeaseRecord>, LeaseStoreError>;

    /// Replaces the record by `record` if it equals `expected`, in one step.
    async fn put_if(
        &self,
        name: &LeaseName,
        expected: Option<&LeaseRecord>,
        record: &LeaseRecord,
    ) -> Result<PutOutcome, LeaseStoreError>;
}
