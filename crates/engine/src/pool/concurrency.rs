//! Adaptive limit on the number of connections to one member that are in use, driven by latency.
//!
//! A member runs a few statements at a time and queues the rest. Statements queued at the
//! member can no longer be prioritized, and all of them are late. The limit therefore
//! decreases while latency is clearly above its recent minimum, and increases while requests
//! wait in the pool and latency is low: additive increase, multiplicative decrease (AIMD).

use std::time::Duration;
use tokio::time::Instant;

/// Lower bound of the limit: one connection can be idle inside a transaction.
const MIN_LIMIT: f64 = 2.0;
/// Lower bound of the limit as a fraction of the ceiling: of many connections, more can be
/// idle inside transactions.
const MIN_LIMIT_SHARE: f64 = 0.25;
/// Weight of the newest sample in the exponentially weighted mean latency.
const NEWEST_WEIGHT: f64 = 0.15;
/// How long the minimum mean latency is remembered, at least; at most twice as long.
const BASELINE_WINDOW: Duration = Duration::from_secs(8);
/// The member counts as overloaded when the mean exceeds this multiple of the minimum plus
/// this offset in milliseconds.
const DECREASE_FACTOR: f64 = 2.0;
const DECREASE_OFFSET_MS: f64 = 10.0;
/// The member has spare capacity when the mean is below this multiple of the minimum plus this
/// offset in milliseconds.
const INCREASE_FACTOR: f64 = 1.5;
const INCREASE_OFFSET_MS: f64 = 5.0;
/// Factor applied to the limit by a decrease.
const DECREASE_RATIO: f64 = 0.8;

/// Limit on the connections to a member that are in use.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    ceiling: usize,
    mean_ms: Option<f64>,
    previous_min_ms: f64,
    current_min_ms: f64,
    window_start: Instant,
    last_decrease: Instant,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `ceiling`.
    pub fn new(ceiling: usize, now: Instant) -> Self {
        Self {
            limit: ceiling as f64,
            ceiling,
            mean_ms: None,
            previous_min_ms: f64::INFINITY,
            current_min_ms: f64::INFINITY,
            window_start: now,
            last_decrease: now,
        }
    }

    /// Number of connections that may be in use.
    pub fn limit(&self) -> usize {
        // At most the ceiling, so the conversion is lossless.
        (self.limit.floor() as usize).clamp(1, self.ceiling.max(1))
    }

    /// Upper bound of the limit.
    pub fn ceiling(&self) -> usize {
        self.ceiling
    }

    /// Changes the upper bound. A limit that was at the old bound follows the new one.
    pub fn set_ceiling(&mut self, ceiling: usize) {
        let was_at_ceiling = self.limit >= self.ceiling as f64;
        self.ceiling = ceiling;
        let highest = ceiling as f64;
        self.limit = if was_at_ceiling {
            highest
        } else {
            self.limit.min(highest)
        };
    }

    /// Records the latency of a statement; `waiting` tells whether requests wait in the pool.
    pub fn record_latency(&mut self, latency: Duration, waiting: bool, now: Instant) {
        let latency_ms = latency.as_secs_f64() * 1000.0;
        let before = self.mean_ms.unwrap_or(latency_ms);
        let mean = before + (latency_ms - before) * NEWEST_WEIGHT;
        self.mean_ms = Some(mean);
        self.update_minimum(mean, now);
        let baseline = self.previous_min_ms.min(self.current_min_ms);
        if mean > baseline * DECREASE_FACTOR + DECREASE_OFFSET_MS {
            self.decrease(mean, now);
        } else if waiting && mean < baseline * INCREASE_FACTOR + INCREASE_OFFSET_MS {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.ceiling as f64);
        }
    }

    /// Decreases the limit at most once per mean latency: before that, latencies do not reflect
    /// the previous decrease yet.
    fn decrease(&mut self, mean_ms: f64, now: Instant) {
        let min_interval = Duration::from_secs_f64(mean_ms / 1000.0);
        if now.duration_since(self.last_decrease) >= min_interval {
            self.last_decrease = now;
            let ceiling = self.ceiling as f64;
            let min_limit = MIN_LIMIT.max(ceiling * MIN_LIMIT_SHARE).min(ceiling);
            self.limit = (self.limit * DECREASE_RATIO).max(min_limit);
        }
    }

    fn update_minimum(&mut self, mean_ms: f64, now: Instant) {
        if now.duration_since(self.window_start) >= BASELINE_WINDOW {
            self.previous_min_ms = self.current_min_ms;
            self.current_min_ms = f64::INFINITY;
            self.window_start = now;
        }
        self.current_min_ms = self.current_min_ms.min(mean_ms);
    }
}
