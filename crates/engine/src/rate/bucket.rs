//! Token bucket with a rate and capacity that can be changed at run time.

use super::BucketShare;
use std::time::Duration;
use tokio::time::Instant;

/// Upper limit of the wait reported to callers.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// A token bucket that is refilled at a constant rate up to a capacity. Within any `t` seconds it
/// yields at most its capacity plus the tokens refilled in `t`.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    share: BucketShare,
    tokens: f64,
    refilled_at: Instant,
    /// A lower share and the time at which it takes effect.
    pending_decrease: Option<(BucketShare, Instant)>,
}

impl TokenBucket {
    /// Creates a bucket that is refilled from `began` on. Its initial tokens are available
    /// immediately.
    pub fn new(share: BucketShare, began: Instant) -> Self {
        Self {
            share,
            tokens: share.initial.min(share.capacity),
            refilled_at: began,
            pending_decrease: None,
        }
    }

    /// Changes the rate and the capacity. An increase takes effect immediately, a decrease at
    /// `lower_at`, or with a decrease that is already pending if that is earlier.
    pub fn set_share(&mut self, share: BucketShare, now: Instant, lower_at: Instant) {
        self.refill(now);
        let known = self.share;
        if share.per_second >= known.per_second && share.capacity >= known.capacity {
            self.pending_decrease = None;
            self.share = share;
            return;
        }
        let at = self
            .pending_decrease
            .map_or(lower_at, |(_, at)| at.min(lower_at));
        self.pending_decrease = Some((share, at));
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available, up to a fixed maximum.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        let seconds = missing / self.share.per_second;
        let reachable = seconds.is_finite() && self.share.capacity >= 1.0;
        let wait = match reachable && seconds < RETRY_AFTER_MAX.as_secs_f64() {
            true => Duration::from_secs_f64(seconds) + self.refilled_at.duration_since(now),
            false => RETRY_AFTER_MAX,
        };
        Err(wait.min(RETRY_AFTER_MAX))
    }

    fn refill(&mut self, now: Instant) {
        if let Some((share, at)) = self.pending_decrease.filter(|(_, at)| now >= *at) {
            self.fill_until(at);
            self.share = share;
            self.tokens = self.tokens.min(share.capacity);
            self.pending_decrease = None;
        }
        self.fill_until(now);
    }

    fn fill_until(&mut self, at: Instant) {
        let elapsed = at.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.share.per_second).min(self.share.capacity);
        self.refilled_at = self.refilled_at.max(at);
    }
}
