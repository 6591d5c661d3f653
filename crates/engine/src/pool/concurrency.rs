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
const LEAST: f64 = 2.0;
/// The same as a share of what is allowed: of many, more can rest.
const LEAST_SHARE: f64 = 0.25;
/// Weight of the newest answer in the mean time to answer.
const NEWEST_WEIGHT: f64 = 0.15;
/// For how long the least mean is remembered, at least; at most twice as long.
const BASE_WINDOW: Duration = Duration::from_secs(8);
/// Multiple of the least mean above which the member is taken to be crowded, and what is
/// added to it, milliseconds.
const CROWDED: f64 = 2.0;
const CROWDED_MS: f64 = 10.0;
/// Multiple of the least mean below which it has room, and what is added, milliseconds.
const ROOM: f64 = 1.5;
const ROOM_MS: f64 = 5.0;
/// What is left of the limit after a decrease.
const DECREASE: f64 = 0.8;

/// The limit on the connections in use.
#[derive(Debug, Clone)]
pub struct Concurrency {
    limit: f64,
    ceiling: usize,
    mean_ms: Option<f64>,
    least_before_ms: f64,
    least_now_ms: f64,
    window_began: Instant,
    decreased: Instant,
}

impl Concurrency {
    /// As many as `ceiling` allows.
    pub fn new(ceiling: usize, now: Instant) -> Self {
        Self {
            limit: ceiling as f64,
            ceiling,
            mean_ms: None,
            least_before_ms: f64::INFINITY,
            least_now_ms: f64::INFINITY,
            window_began: now,
            decreased: now,
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
        let was_open = self.limit >= self.ceiling as f64;
        self.ceiling = ceiling;
        let highest = ceiling as f64;
        self.limit = if was_open {
            highest
        } else {
            self.limit.min(highest)
        };
    }

    /// A statement was answered after `latency`; `waiting` says that others wait here.
    pub fn answered(&mut self, latency: Duration, waiting: bool, now: Instant) {
        let latency_ms = latency.as_secs_f64() * 1000.0;
        let before = self.mean_ms.unwrap_or(latency_ms);
        let mean = before + (latency_ms - before) * NEWEST_WEIGHT;
        self.mean_ms = Some(mean);
        self.remember_least(mean, now);
        let base = self.least_before_ms.min(self.least_now_ms);
        if mean > base * CROWDED + CROWDED_MS {
            self.decrease(mean, now);
        } else if waiting && mean < base * ROOM + ROOM_MS {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.ceiling as f64);
        }
    }

    /// At most once in the time that answers take: before, they don't show the last one.
    fn decrease(&mut self, mean_ms: f64, now: Instant) {
        let pause = Duration::from_secs_f64(mean_ms / 1000.0);
        if now.duration_since(self.decreased) >= pause {
            self.decreased = now;
            let ceiling = self.ceiling as f64;
            let least = LEAST.max(ceiling * LEAST_SHARE).min(ceiling);
            self.limit = (self.limit * DECREASE).max(least);
        }
    }

    fn remember_least(&mut self, mean_ms: f64, now: Instant) {
        if now.duration_since(self.window_began) >= BASE_WINDOW {
            self.least_before_ms = self.least_now_ms;
            self.least_now_ms = f64::INFINITY;
            self.window_began = now;
        }
        self.least_now_ms = self.least_now_ms.min(mean_ms);
    }
}
