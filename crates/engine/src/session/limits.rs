//! Deadlines for the phases of a statement.

use crate::configuration::Route;
use crate::rate::Permit;
use std::time::Duration;
use tokio::time::Instant;

/// Share of a route's timeout within which a connection to a member must be acquired: a caller
/// that is refused early can still be served by another process.
const ACQUIRE_SHARE: f64 = 0.42;
/// Share of a route's timeout after which a statement no longer waits for the member's answer.
const ANSWER_SHARE: f64 = 0.58;

/// Share of a route's latency objective for which a request is held while this process is cut off
/// from every source that could report a leader: another process may be able to serve it.
const CUT_OFF_SHARE: f64 = 0.2;
/// Share of a route's latency objective that a request may wait in a standing queue.
const QUEUE_SHARE: f64 = 0.2;

/// Returns how long a request of `route` may wait in a standing queue.
pub fn max_queue_wait(route: &Route) -> Duration {
    route.objective.mul_f64(QUEUE_SHARE)
}

/// The deadlines of one statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatementDeadlines {
    /// Deadline for acquiring a connection to a member.
    pub acquire: Instant,
    /// Deadline for the member's answer.
    pub answer: Instant,
}

impl StatementDeadlines {
    /// Computes the deadlines of a statement of `route` that was read at `received`.
    pub fn new(route: &Route, received: Instant) -> Self {
        let at = |share: f64| received + route.timeout.mul_f64(share);
        Self {
            acquire: at(ACQUIRE_SHARE),
            answer: at(ANSWER_SHARE),
        }
    }

    /// Shortens the deadlines so that the operation is sent while `permit` is valid.
    pub fn within_permit(self, permit: Permit) -> Self {
        Self {
            acquire: permit
                .until
                .map_or(self.acquire, |until| self.acquire.min(until)),
            ..self
        }
    }

    /// Shortens the deadlines for a process that is cut off, which will not soon learn of a leader
    /// or of the leader's log position.
    pub fn while_cut_off(self, route: &Route, received: Instant) -> Self {
        let held = received + route.objective.mul_f64(CUT_OFF_SHARE);
        Self {
            acquire: self.acquire.min(held),
            ..self
        }
    }
}

/// Pause before a statement is retried that a member could not take.
pub const RETRY_PAUSE: Duration = Duration::from_millis(12);
