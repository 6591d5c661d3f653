//! Why a request was not admitted, and when to come back.

use std::error::Error;
use std::fmt;
use std::time::Duration;

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The tenant has as many requests waiting as it may have.
    TenantQueueFull,
    /// The queue of all tenants is full, and no other tenant has more of it than this one.
    QueueFull,
    /// The wait expected is longer than the time left: refused before it waited.
    ExpectedWait,
    /// The request waited for the longest time allowed.
    QueueTime,
    /// The request's own deadline passed.
    Deadline,
    /// The limiter admits nothing any more.
    Closed,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TenantQueueFull => "too many requests of this tenant are waiting",
            Self::QueueFull => "too many requests are waiting",
            Self::ExpectedWait => "the expected wait is longer than the time left",
            Self::QueueTime => "no slot became free within the queue time",
            Self::Deadline => "the deadline passed before a slot became free",
            Self::Closed => "no more requests are admitted",
        })
    }
}

/// A request that was not admitted: nothing of it has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejected {
    /// Why.
    pub reason: RejectReason,
    /// When a further attempt is worth making, from now.
    pub retry_after: Duration,
}

impl fmt::Display for Rejected {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.retry_after.as_millis();
        write!(formatter, "{}; retry after {millis} ms", self.reason)
    }
}

impl Error for Rejected {}
