//! Repeating what failed: a budget that keeps retries a small share of the
//! requests, and backoff with jitter within a deadline.
//!
//! Whether a failure may be repeated at all is the caller's to say, by
//! [`Retryable`]; this module only says when, and whether there is room for it.
//!
//! ```
//! use std::time::Duration;
//! use stilequay_coordination::retry::{retry, RetryBudget, RetryHint, RetryPolicy, Retryable};
//! use tokio::time::Instant;
//!
//! #[derive(Debug)]
//! struct Busy;
//!
//! impl Retryable for Busy {
//!     fn retry_hint(&self) -> RetryHint {
//!         RetryHint::Backoff
//!     }
//! }
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let budget = RetryBudget::default();
//! let deadline = Instant::now() + Duration::from_secs(5);
//! let mut attempts = 0;
//! let answer = retry(&RetryPolicy::default(), &budget, deadline, || {
//!     attempts += 1;
//!     let succeeds = attempts == 2;
//!     async move { if succeeds { Ok("done") } else { Err(Busy) } }
//! })
//! .await;
//! assert_eq!(answer.unwrap(), "done");
//! # }
//! ```

mod backoff;
mod budget;

pub use backoff::{Backoff, BackoffSettings};
pub use budget::{RetryBudget, RetryBudgetSettings};

use std::time::Duration;
use tokio::time::Instant;

/// What a failure says about repeating it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryHint {
    /// It must not be repeated, or to repeat it can't help.
    Never,
    /// It may be repeated after a backoff.
    Backoff,
    /// It may be repeated, after this time at the earliest.
    After(Duration),
}

/// An error that knows whether the operation may be repeated.
pub trait Retryable {
    /// Whether, and when at the earliest.
    fn retry_hint(&self) -> RetryHint;
}

/// How often and how fast an operation is repeated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Greatest number of attempts, the first one included.
    pub max_attempts: u32,
    /// Pauses between attempts.
    pub backoff: BackoffSettings,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 5,
            backoff: BackoffSettings::default(),
        }
    }
}

/// Runs `operation` until it succeeds, at most [`RetryPolicy::max_attempts`] times.
///
/// No attempt begins at or after `deadline`. An attempt that has begun is not cut
/// off: it is for `operation` to observe the deadline. Each retry takes one token of `budget`.
///
/// # Errors
///
/// The last failure, as soon as it must not be repeated, the attempts or the budget
/// are used up, or the pause before the next attempt would reach the deadline: a
/// request that is given up is answered at once.
pub async fn retry<A, E, O, F>(
    policy: &RetryPolicy,
    budget: &RetryBudget,
    deadline: Instant,
    mut operation: O,
) -> Result<A, E>
where
    E: Retryable,
    O: FnMut() -> F,
    F: Future<Output = Result<A, E>>,
{
    let mut schedule = RetrySchedule::new(policy, budget, deadline);
    loop {
        let error = match operation().await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        let Some(pause) = schedule.next_pause(error.retry_hint()) else {
            return Err(error);
        };
        tokio::time::sleep(pause).await;
    }
}

/// The retries of one operation, for callers that write the loop themselves.
#[derive(Debug)]
pub struct RetrySchedule<'a> {
    budget: &'a RetryBudget,
    deadline: Instant,
    retries_left: u32,
    backoff: Backoff,
}

impl<'a> RetrySchedule<'a> {
    /// Begins with the first attempt, which is counted in `budget` as a request.
    pub fn new(policy: &RetryPolicy, budget: &'a RetryBudget, deadline: Instant) -> Self {
        budget.record_request();
        Self {
            budget,
            deadline,
            retries_left: policy.max_attempts.saturating_sub(1),
            backoff: Backoff::new(policy.backoff),
        }
    }

    /// The pause before the next attempt, or nothing where the operation is to be
    /// given up. A token of the budget is taken only with a pause.
    pub fn next_pause(&mut self, hint: RetryHint) -> Option<Duration> {
        let earliest = match hint {
            RetryHint::Never => return None,
            RetryHint::Backoff => Duration::ZERO,
            RetryHint::After(earliest) => earliest,
        };
        if self.retries_left == 0 {
            return None;
        }
        // Added and not the greater of the two: clients that were all told the same
        // time must not come back at the same moment.
        let pause = earliest.saturating_add(self.backoff.next_delay());
        let begins = Instant::now().checked_add(pause)?;
        if begins >= self.deadline || !self.budget.try_retry() {
            return None;
        }
        self.retries_left -= 1;
        Some(pause)
    }
}
