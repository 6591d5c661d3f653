//! Request for a connection from a pool.

use super::connection::SessionValues;
use crate::names::{DatabaseName, TenantName};
use crate::ports::Admission;
use std::time::Duration;
use stilequay_coordination::limit::TenantLimits;
use tokio::time::Instant;

/// Maximum number of waiting requests per database.
const DATABASE_QUEUE_LENGTH: usize = 256;
/// Upper bound of the wait in the queue. Every request has an earlier deadline of its own.
pub(super) const QUEUE_TIME: Duration = Duration::from_secs(60);

/// What a connection is needed for, and how long the request may wait for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcquireRequest {
    /// Database of the session. Connections are shared fairly between databases.
    pub database: DatabaseName,
    /// Tenant on whose behalf the connection is used. A connection serves one tenant for its
    /// whole life; `None` accepts a connection of any tenant.
    pub tenant: Option<TenantName>,
    /// Priority rank of the route, 0 being the highest. It is served before all lower ranks.
    pub rank: u32,
    /// Session values that the connection should preferably have set already.
    pub values: SessionValues,
    /// Longest wait while the queue is a standing queue; see [`QueueDelay`](super::QueueDelay).
    pub patience: Duration,
}

impl AcquireRequest {
    /// A request of the engine itself, for control commands and status queries.
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
