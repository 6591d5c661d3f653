//! Time as the coordination parts see it.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A source of monotonic time.
///
/// Leases and deadlines use this trait and never the wall clock, so that a step
/// of the system time can't lengthen what a holder believes it holds.
pub trait Clock: Send + Sync + 'static {
    /// Time since an arbitrary, fixed origin. Never decreases.
    fn now(&self) -> Duration;
}

/// The operating system's monotonic clock.
#[derive(Debug, Clone)]
pub struct MonotonicClock {
    origin: Instant,
}

impl MonotonicClock {
    /// A clock whose origin is the moment of this call.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// A clock that stands still until it is told to advance, for tests of what is
/// built on this crate.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Mutex<Duration>,
}

impl ManualClock {
    /// A clock at its origin.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets `duration` pass.
    pub fn advance(&self, duration: Duration) {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner) += duration;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
