//! For whom a connection is used.

use super::connection::SessionValues;
use crate::names::{DatabaseName, TenantName};
use crate::ports::Admission;
use std::time::Duration;
use stilequay_coordination::limit::TenantLimits;
use tokio::time::Instant;

/// Requests of one database that wait, at the most.
const DATABASE_QUEUE_LENGTH: usize = 256;
/// Longest wait: each request has a deadline of its own before.
pub(super) const QUEUE_TIME: Duration = Duration::from_secs(60);

/// For whom a connection is used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcquireRequest {
    /// The database that its session is for: connections are shared fairly between these.
    pub database: DatabaseName,
    /// On whose behalf it is used: a connection serves one tenant for its life. `None` where
    /// any connection will do.
    pub tenant: Option<TenantName>,
    /// Rank of its route, 0 the highest: it goes before all of a lower rank.
    pub rank: u32,
    /// Values to find in place, if possible.
    pub values: SessionValues,
    /// How long it may wait in a queue that stands.
    pub patience: Duration,
}

impl AcquireRequest {
    /// A claim of the engine's own, for orders and questions.
    pub fn internal() -> Self {
        Self {
            database: DatabaseName::from(""),
            tenant: None,
            rank: 0,
            values: SessionValues::default(),
            patience: QUEUE_TIME,
        }
    }

    pub(super) fn admission(&self, until: Instant) -> Admission {
        Admission {
            database: self.database.clone(),
            rank: self.rank,
            patience: self.patience,
            until,
        }
    }

    pub(super) fn limits(&self) -> TenantLimits {
        TenantLimits {
            in_flight: usize::MAX,
            queue_length: DATABASE_QUEUE_LENGTH,
            rank: self.rank,
        }
    }
}
