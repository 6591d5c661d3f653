//! A token bucket that bounds retries to a share of the requests.

use crate::clock::{Clock, MonotonicClock};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How many retries a [`RetryBudget`] allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries earned by each request, as a share of one.
    pub ratio: f64,
    /// Retries earned by each second, so that a caller with few requests can retry at all.
    pub reserve_per_second: f64,
    /// Greatest number of unused retries kept.
    pub capacity: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            reserve_per_second: 1.0,
            capacity: 10.0,
        }
    }
}

/// Bounds retries: over any time `t` with `n` requests, at most
/// `capacity + n * ratio + t * reserve_per_second` retries are allowed. So a back
/// end that fails everything sees hardly more than the load it had before.
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    clock: Arc<dyn Clock>,
    balance: Mutex<Balance>,
}

#[derive(Debug)]
struct Balance {
    tokens: f64,
    settled: Duration,
}

impl RetryBudget {
    /// A full budget on the operating system's clock.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self::with_clock(settings, Arc::new(MonotonicClock::new()))
    }

    /// A full budget on another clock.
    pub fn with_clock(settings: RetryBudgetSettings, clock: Arc<dyn Clock>) -> Self {
        let balance = Balance {
            tokens: settings.capacity,
            settled: clock.now(),
        };
        Self {
            settings,
            clock,
            balance: Mutex::new(balance),
        }
    }

    /// Counts a request (not a retry of one).
    pub fn record_request(&self) {
        let mut balance = self.settle();
        self.add(&mut balance, self.settings.ratio);
    }

    /// Takes a token for one retry; `false` where there is none, and the failure is to be passed on.
    pub fn try_retry(&self) -> bool {
        let mut balance = self.settle();
        if balance.tokens < 1.0 {
            return false;
        }
        balance.tokens -= 1.0;
        true
    }

    /// Adds what the time since the last call has earned.
    fn settle(&self) -> MutexGuard<'_, Balance> {
        let now = self.clock.now();
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.saturating_sub(balance.settled).as_secs_f64();
        balance.settled = now.max(balance.settled);
        self.add(&mut balance, elapsed * self.settings.reserve_per_second);
        balance
    }

    fn add(&self, balance: &mut Balance, earned: f64) {
        balance.tokens = (balance.tokens + earned).min(self.settings.capacity);
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryBudgetSettings::default())
    }
}

impl fmt::Debug for RetryBudget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("RetryBudget")
            .field("settings", &self.settings)
            .field("balance", &self.balance)
            .finish_non_exhaustive()
    }
}
