//! Whether the queue before a member is a burst that passes, or stands.
//!
//! A burst is waited out. A queue that stands makes every request late, those that a
//! member could have run in time too: then a request waits only for as long as it can
//! without becoming late by it, and is refused early enough to be run elsewhere, or told
//! when to come back. (After Nichols and Jacobson's controlled delay.)

use std::time::Duration;
use tokio::time::Instant;

/// Wait that is no sign of a queue.
const TARGET_DELAY: Duration = Duration::from_millis(20);
/// Time without a quick admission after which the queue stands.
const STANDING_INTERVAL: Duration = Duration::from_millis(150);

/// What the waits of admitted requests have shown.
#[derive(Debug, Clone, Default)]
pub struct QueueDelay {
    slow_since: Option<Instant>,
}

impl QueueDelay {
    /// A request was admitted after `wait`.
    pub fn record_admission(&mut self, wait: Duration, now: Instant) {
        if wait < TARGET_DELAY {
            self.slow_since = None;
        } else {
            self.record_timeout(now);
        }
    }

    /// A request was not admitted in time.
    pub fn record_timeout(&mut self, now: Instant) {
        self.slow_since.get_or_insert(now);
    }

    /// Whether the queue stands.
    pub fn is_standing(&self, now: Instant) -> bool {
        self.slow_since
            .is_some_and(|since| now.duration_since(since) >= STANDING_INTERVAL)
    }
}
