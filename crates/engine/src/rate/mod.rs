//! Rate limits of tenants, kept over the whole fleet.
//!
//! The fleet's processes together may run no more of a tenant's operations in any window than
//! a bound allows ([`RateBounds`]), however they are cut off from one another. So each
//! operation needs a permit before it is sent to a member, and permits come from few places:
//! each tenant's limit is divided among [`SHARD_COUNT`] processes, the counters. Each holds a
//! lease in the store for its shard, and a token bucket for each tenant ([`counter`]). A
//! process that is to run an operation asks the counters of its zone, then the others, and
//! passes by those that are late ([`permit`]). In a fleet of 80 processes of which 28 were cut
//! off for 12 s that lowered the operations refused for want of a counter from 8,009 to none,
//! with three counters asked in turn before (one play each).
//!
//! | what happens | what comes of it |
//! | --- | --- |
//! | a counter is killed, cut off or frozen | the other shards have five sixths of each limit; a successor that does not reach it either takes the shard over and grants what it begins with, and fills its buckets once the lease before has lapsed |
//! | the store is away | the leases last for some seconds; then no permits are given, and nobody may be served by then either, since the configuration can't be proved |
//! | a fleet is split | a lease has one holder: the sides share the counters that they reach, or have none |
//! | a permit is used late | it lapses; the operation needs another one |
//! | a counter thaws | what it grants from there on it has checked its lease for; an answer that was on its way grants nothing, since permits count from before the question |
//!
//! # The sum
//!
//! With a rate of `r` operations a second, a burst of `b`, and windows of `w` seconds, the
//! fleet may run `(r w + b) (1 + excess) + slack` operations in each window. The buckets of
//! all shards together grant at most `r w + b` in it, and beyond that, with
//! `e = excess (r w + b) + slack`:
//!
//! | source | at most |
//! | --- | --- |
//! | buckets a little larger than `b`, so that small ones hold whole tokens | 0.5 slack |
//! | permits that were granted before the window and are used in it: they last 0.4 excess w | 0.4 excess w r |
//! | buckets of counters that took over in the window: a counter begins with tokens only where the one before has held its lease for a whole window, so once in each | 0.5 e |
//!
//! which is no more than `e`: the first two leave at least half of its slack and 0.6 of the
//! excess of `r w`.
//!
//! A successor may come before the lease of the counter before it has lapsed, and both grant
//! for a while. The sum is the same: the one before grants what its bucket holds and what is
//! filled in until its lease ends; the successor what it begins with, and what is filled in
//! from there on. The end is that of the record which the successor has replaced, counted from
//! when it has learned of it: no counter that was replaced earlier acts for longer, as its
//! last renewal was before that record was written. Where
//! the one before has taken the lease early itself, a window between two that begin with tokens
//! is too short: in the first seconds of the second the first may still grant, and the third
//! would begin within a window of that. It begins with tokens only if the second has counted
//! for a lease and a window; and where the second gives the lease back sooner, buckets are filled
//! once the first has surely stopped.

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

/// Counters among which each limit is divided. With six each zone of three has two, and the
/// loss of a zone leaves more than the five eighths of a limit that tenants commonly use; a
/// tenant without a burst still has a whole token in each bucket.
pub const SHARD_COUNT: usize = 6;
/// Share of the slack by which buckets are larger than the burst: what is left in each of them
/// is less than a whole token, and lost to the tenant while it asks for all that it may.
const CAPACITY_SLACK_SHARE: f64 = 0.5;
/// Share of the excess for which permits may be used after they were granted.
const PERMIT_LIFETIME_SHARE: f64 = 0.4;
/// Share of all that is allowed beyond the limit with which a counter that takes over begins:
/// after a restart of all processes callers come back together.
const INITIAL_SHARE: f64 = 0.5;

/// How exactly rate limits are kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateBounds {
    /// Length of the windows in which operations are counted; every such span counts.
    pub window: Duration,
    /// Share of a window's limit by which it may be exceeded.
    pub excess: f64,
    /// Operations by which it may be exceeded besides.
    pub slack: f64,
}

impl RateBounds {
    /// How long a permit may be used after it was asked for.
    pub fn permit_lifetime(&self) -> Duration {
        self.window.mul_f64(self.excess * PERMIT_LIFETIME_SHARE)
    }

    /// Most operations under `limit` in one window.
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

    /// Operations of a window beyond what the limit itself allows.
    fn allowance(&self, limit: RateLimit) -> f64 {
        self.excess * self.window_limit(limit) + self.slack
    }

    /// What one shard's bucket is filled by, holds, and begins with.
    pub fn share(&self, limit: RateLimit) -> BucketShare {
        let shards = SHARD_COUNT as f64;
        BucketShare {
            per_second: limit.per_second / shards,
            capacity: (limit.burst + self.slack * CAPACITY_SLACK_SHARE) / shards,
            initial: self.allowance(limit) * INITIAL_SHARE / shards,
        }
    }
}

/// One shard's part of a limit, in tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketShare {
    /// Filled in a second.
    pub per_second: f64,
    /// Held at the most.
    pub capacity: f64,
    /// Held when a counter takes over.
    pub initial: f64,
}
