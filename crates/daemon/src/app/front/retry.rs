//! Whether and when a failed request goes to another home.

use super::session::Unit;
use super::settings::FrontSettings;
use crate::domain::resource::SessionPolicySpec;
use crate::domain::statement::{Repeat, StatementAccess};
use crate::domain::verdict::{FailureKind, RequestFailure, Verdict};
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::retry::{Backoff, BackoffSettings, RetryBudget};
use tokio::time::Instant;

/// When a caller that was told NotRun should come back, where the home gave no time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The rules and the progress of one request's retries.
#[derive(Debug)]
pub(super) struct RetryState {
    /// The request may run more than once.
    repeatable: bool,
    deadline: Instant,
    attempts_left: u32,
    /// Keeps the retries of all callers together a small share of their requests.
    budget: Arc<RetryBudget>,
    backoff: Backoff,
    /// Homes have been tried once each.
    is_second_round: bool,
}

impl RetryState {
    pub(super) fn new(
        repeatable: bool,
        deadline: Instant,
        settings: &FrontSettings,
        budget: Arc<RetryBudget>,
    ) -> Self {
        budget.record_request();
        Self {
            repeatable,
            deadline,
            attempts_left: settings.max_attempts,
            budget,
            backoff: Backoff::new(BackoffSettings {
                initial: settings.retry_pause(),
                ..BackoffSettings::default()
            }),
            is_second_round: false,
        }
    }

    /// Time that the request still has.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Counts an attempt that failed; whether another may follow.
    ///
    /// `has_answer` says that part of an answer has gone to the caller: nothing can
    /// take that back.
    pub(super) fn may_retry(&mut self, failure: &RequestFailure, has_answer: bool) -> bool {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        let harmless = failure.verdict == Verdict::NotRun || self.repeatable;
        let useful = match failure.kind {
            FailureKind::HomeUnreachable
            | FailureKind::BackEndUnreachable
            | FailureKind::NoPrimary
            | FailureKind::NoFreshMember
            | FailureKind::PrimaryReplaced
            | FailureKind::ShuttingDown => true,
            // A repeat of what was shed adds to the load that it was shed for.
            FailureKind::Overloaded => !self.is_second_round,
            FailureKind::DeadlineExceeded
            | FailureKind::NotPermitted
            | FailureKind::Unsupported
            | FailureKind::ProtocolViolation
            | FailureKind::Cancelled => false,
        };
        let possible = self.attempts_left > 0 && !self.time_left().is_zero();
        harmless && useful && !has_answer && possible && self.has_budget(failure)
    }

    /// A home that could not be reached had no load from the attempt.
    fn has_budget(&self, failure: &RequestFailure) -> bool {
        let is_free =
            failure.verdict == Verdict::NotRun && failure.kind == FailureKind::HomeUnreachable;
        is_free || self.budget.try_retry()
    }

    /// Begins another round over the homes: how long to wait before, or `None` when
    /// there is no time for it.
    pub(super) fn begin_round(&mut self, last: &RequestFailure) -> Option<Duration> {
        if last.kind == FailureKind::Overloaded {
            return None;
        }
        self.is_second_round = true;
        // Added, so that callers that were told the same time do not come back together.
        let pause = last.retry_after.unwrap_or_default() + self.backoff.next_delay();
        (pause < self.time_left()).then_some(pause)
    }
}

/// Whether a unit may run more than once: reads, and writes that the caller marked.
pub(super) fn is_repeatable(
    unit: &Unit,
    session: Option<Repeat>,
    policy: &SessionPolicySpec,
) -> bool {
    if unit.access == StatementAccess::Read {
        return true;
    }
    match unit.repeat.or(session) {
        Some(mark) => mark == Repeat::Safe,
        None => policy.unmarked_writes_repeatable,
    }
}

/// The failure as the caller is told it: with a time to come back for what was not run.
pub fn with_return_time(mut failure: RequestFailure) -> RequestFailure {
    let comes_back = !matches!(
        failure.kind,
        FailureKind::NotPermitted
            | FailureKind::Unsupported
            | FailureKind::ProtocolViolation
            | FailureKind::Cancelled
    );
    if failure.verdict == Verdict::NotRun && comes_back {
        failure.retry_after.get_or_insert(DEFAULT_RETRY_AFTER);
    }
    failure
}
