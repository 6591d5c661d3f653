//! Exponential backoff with jitter.

use rand::RngExt;
use std::time::Duration;

/// How pauses grow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackoffSettings {
    /// Greatest first pause.
    pub initial: Duration,
    /// Greatest pause of all.
    pub maximum: Duration,
    /// Growth of the greatest pause from one attempt to the next; less than one counts as one.
    pub factor: f64,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            initial: Duration::from_millis(20),
            maximum: Duration::from_secs(2),
            factor: 2.0,
        }
    }
}

/// Pauses between attempts: each is drawn evenly from the upper half of a bound
/// that grows exponentially, so that clients that failed together spread out and
/// none comes back at once.
#[derive(Debug, Clone)]
pub struct Backoff {
    settings: BackoffSettings,
    bound: Duration,
}

impl Backoff {
    /// Begins with the initial bound.
    pub fn new(settings: BackoffSettings) -> Self {
        Self {
            settings,
            bound: settings.initial.min(settings.maximum),
        }
    }

    /// The next pause: between a half and the whole of the bound.
    pub fn next_delay(&mut self) -> Duration {
        let share = rand::rng().random_range(0.5..=1.0);
        let delay = self.bound.mul_f64(share);
        self.bound = self.grown();
        delay
    }

    /// Goes back to the initial bound, after a success.
    pub fn reset(&mut self) {
        self.bound = self.settings.initial.min(self.settings.maximum);
    }

    fn grown(&self) -> Duration {
        let factor = self.settings.factor.max(1.0);
        let seconds = self.bound.as_secs_f64() * factor;
        let maximum = self.settings.maximum;
        Duration::try_from_secs_f64(seconds).map_or(maximum, |grown| grown.min(maximum))
    }
}
