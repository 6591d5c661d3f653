//! How long the parts of a statement may take.

use crate::configuration::Route;
use crate::rate::Permit;
use std::time::Duration;
use tokio::time::Instant;

/// Share of a route's time-out for which a request is held that no member was offered:
/// a caller that is refused early can still be served elsewhere.
const ACQUIRE_SHARE: f64 = 0.42;
/// Share of a route's time-out after which a member's answer is given up.
const ANSWER_SHARE: f64 = 0.58;

/// Share of a route's objective for which a request is held while this process is cut off
/// from whoever could tell it of a leader: another process may serve it.
const CUT_OFF_SHARE: f64 = 0.2;
/// Share of a route's objective that a request may wait in a queue that stands.
const QUEUE_SHARE: f64 = 0.2;

/// How long a request of `route` may wait in a queue that stands.
pub fn max_queue_wait(route: &Route) -> Duration {
    route.objective.mul_f64(QUEUE_SHARE)
}

/// Moments that bound one statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatementDeadlines {
    /// Until when a member must have been found.
    pub acquire: Instant,
    /// Until when a member's answer is waited for.
    pub answer: Instant,
}

impl StatementDeadlines {
    /// The deadlines of a statement of `route` that was read at `received`.
    pub fn new(route: &Route, received: Instant) -> Self {
        let at = |share: f64| received + route.timeout.mul_f64(share);
        Self {
            acquire: at(ACQUIRE_SHARE),
            answer: at(ANSWER_SHARE),
        }
    }

    /// The deadlines of an operation that must be sent while `permit` is good.
    pub fn within_permit(self, permit: Permit) -> Self {
        Self {
            acquire: permit
                .until
                .map_or(self.acquire, |until| self.acquire.min(until)),
            ..self
        }
    }

    /// The deadlines where no leader, nor how far its log has come, is to be learned of soon.
    pub fn while_cut_off(self, route: &Route, received: Instant) -> Self {
        let held = received + route.objective.mul_f64(CUT_OFF_SHARE);
        Self {
            acquire: self.acquire.min(held),
            ..self
        }
    }
}

/// Pause before a member is asked again that could not take a statement.
pub const RETRY_PAUSE: Duration = Duration::from_millis(12);
