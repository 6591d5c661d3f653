//! Pauses between attempts.

use rand::RngExt;
use std::time::Duration;

/// First pause before another attempt; doubles up to [`LONGEST_PAUSE`].
const SHORTEST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause before another attempt.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Pauses that grow, with jitter.
pub struct Pause {
    next: Duration,
}

impl Pause {
    /// The first pause is the shortest.
    pub fn new() -> Self {
        Self {
            next: SHORTEST_PAUSE,
        }
    }

    /// Waits; the next wait is longer.
    pub async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(LONGEST_PAUSE);
    }
}
