//! Detects whether the queue for a member is a short burst or a standing queue.
//!
//! A burst drains by itself. A standing queue delays every request, including those that the
//! member could have run in time. While the queue stands, a request therefore waits only as
//! long as it can still meet its deadline, and is refused early enough to run on another
//! member or to be told when to retry. This follows CoDel, the controlled delay algorithm of
//! Nichols and Jacobson.

use std::time::Duration;
use tokio::time::Instant;

/// Waits shorter than this do not count as queueing.
const TARGET_DELAY: Duration = Duration::from_millis(20);
/// Time without an admission within [`TARGET_DELAY`] after which the queue is standing.
const STANDING_INTERVAL: Duration = Duration::from_millis(150);

/// Tracks the queueing delay of recent requests.
#[derive(Debug, Clone, Default)]
pub struct QueueDelay {
    slow_since: Option<Instant>,
}

impl QueueDelay {
    /// Records that a request was admitted after `wait`.
    pub fn record_admission(&mut self, wait: Duration, now: Instant) {
        if wait < TARGET_DELAY {
            self.slow_since = None;
        } else {
            self.record_timeout(now);
        }
    }

    /// Records that a request was not admitted in time.
    pub fn record_timeout(&mut self, now: Instant) {
        self.slow_since.get_or_insert(now);
    }

    /// Whether the queue is a standing queue at `now`.
    pub fn is_standing(&self, now: Instant) -> bool {
        self.slow_since
            .is_some_and(|since| now.duration_since(since) >= STANDING_INTERVAL)
    }
}
