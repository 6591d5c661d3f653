//! How many connections to one member are used at a time, by how long it takes to answer.
//!
//! A member runs a few statements at a time and lets others wait. Statements that wait
//! there can't be put in order any more, and all of them come late. So the number in use
//! shrinks while answers take clearly longer than they did when the member was least
//! loaded, and grows again while requests wait here and answers are quick: additive
//! increase, multiplicative decrease.

use std::time::Duration;
use tokio::time::Instant;

/// Fewest connections in use: one can rest inside a transaction.
const MIN_LIMIT: f64 = 2.0;
/// The same as a share of what is allowed: of many, more can rest.
const MIN_LIMIT_SHARE: f64 = 0.25;
/// Weight of the newest answer in the mean time to answer.
const NEWEST_WEIGHT: f64 = 0.15;
/// For how long the least mean is remembered, at least; at most twice as long.
const BASELINE_WINDOW: Duration = Duration::from_secs(8);
/// Multiple of the least mean above which the member is taken to be crowded, and what is
/// added to it, milliseconds.
const DECREASE_FACTOR: f64 = 2.0;
const DECREASE_OFFSET_MS: f64 = 10.0;
/// Multiple of the least mean below which it has room, and what is added, milliseconds.
const INCREASE_FACTOR: f64 = 1.5;
const INCREASE_OFFSET_MS: f64 = 5.0;
/// What is left of the limit after a decrease.
const DECREASE_RATIO: f64 = 0.8;

/// The limit on the connections in use.
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
    /// As many as `ceiling` allows.
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

    /// Connections that may be in use.
    pub fn limit(&self) -> usize {
        // Between LEAST and the ceiling: it fits.
        (self.limit.floor() as usize).clamp(1, self.ceiling.max(1))
    }

    /// What the limit may reach.
    pub fn ceiling(&self) -> usize {
        self.ceiling
    }

    /// Changes what the limit may reach.
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

    /// A statement was answered after `latency`; `waiting` says that others wait here.
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

    /// At most once in the time that answers take: before, they don't show the last one.
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
