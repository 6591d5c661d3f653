//! Retries: the bound on their number, pauses and deadlines.

use proptest::prelude::*;
use rstest::rstest;
use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::clock::ManualClock;
use stilequay_coordination::retry::{
    Backoff, BackoffSettings, RetryBudget, RetryBudgetSettings, RetryHint, RetryPolicy, Retryable,
    retry,
};
use tokio::time::Instant;

#[derive(Debug, PartialEq)]
struct Failure(RetryHint);

impl Retryable for Failure {
    fn retry_hint(&self) -> RetryHint {
        self.0
    }
}

const POLICY: RetryPolicy = RetryPolicy {
    max_attempts: 4,
    backoff: BackoffSettings {
        initial: Duration::from_millis(100),
        maximum: Duration::from_millis(300),
        factor: 2.0,
    },
};

/// A budget of `capacity` retries that earns none.
fn budget(capacity: f64) -> RetryBudget {
    let settings = RetryBudgetSettings {
        ratio: 0.0,
        reserve_per_second: 0.0,
        capacity,
    };
    RetryBudget::with_clock(settings, Arc::new(ManualClock::new()))
}

#[rstest]
#[case::all_attempts(RetryHint::Backoff, 10.0, 10_000, 4)]
#[case::told_never(RetryHint::Never, 10.0, 10_000, 1)]
#[case::no_budget(RetryHint::Backoff, 0.0, 10_000, 1)]
#[case::budget_for_one(RetryHint::Backoff, 1.0, 10_000, 2)]
#[case::deadline_before_the_first_pause(RetryHint::Backoff, 10.0, 50, 1)]
#[case::told_to_come_after_the_deadline(RetryHint::After(Duration::from_secs(10)), 10.0, 10_000, 1)]
#[case::told_a_time_without_end(RetryHint::After(Duration::MAX), 10.0, 10_000, 1)]
#[tokio::test(start_paused = true)]
async fn gives_up_with_the_last_failure(
    #[case] hint: RetryHint,
    #[case] tokens: f64,
    #[case] deadline_millis: u64,
    #[case] expected_attempts: u32,
) {
    let attempts = Cell::new(0);
    let began = Instant::now();
    let deadline = began + Duration::from_millis(deadline_millis);
    let outcome: Result<(), _> = retry(&POLICY, &budget(tokens), deadline, || {
        attempts.set(attempts.get() + 1);
        async { Err(Failure(hint)) }
    })
    .await;
    assert_eq!(outcome, Err(Failure(hint)));
    assert_eq!(attempts.get(), expected_attempts);
    if expected_attempts == 1 {
        assert_eq!(Instant::now(), began, "given up without a pause");
    }
}

#[tokio::test(start_paused = true)]
async fn waits_at_least_as_long_as_told() {
    let earliest = Duration::from_secs(1);
    let attempts = Cell::new(0);
    let began = Instant::now();
    let deadline = began + Duration::from_secs(60);
    let outcome = retry(&POLICY, &budget(10.0), deadline, || {
        attempts.set(attempts.get() + 1);
        let first = attempts.get() == 1;
        async move {
            if first {
                Err(Failure(RetryHint::After(earliest)))
            } else {
                Ok(Instant::now())
            }
        }
    })
    .await;
    assert!(outcome.unwrap() >= began + earliest);
}

#[test]
fn pauses_grow_to_the_maximum_and_start_over() {
    let mut backoff = Backoff::new(POLICY.backoff);
    for bound_millis in [100, 200, 300, 300] {
        let bound = Duration::from_millis(bound_millis);
        let delay = backoff.next_delay();
        assert!(
            delay >= bound / 2 && delay <= bound,
            "{delay:?} of {bound:?}"
        );
    }
    backoff.reset();
    assert!(backoff.next_delay() <= Duration::from_millis(100));
}

#[derive(Debug, Clone)]
enum Step {
    Request,
    Retry,
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Request),
        4 => Just(Step::Retry),
        1 => (0..2_000u64).prop_map(Step::Advance),
    ]
}

proptest! {
    #[test]
    fn retries_stay_within_the_bound(steps in prop::collection::vec(step(), 1..300)) {
        let settings = RetryBudgetSettings { ratio: 0.2, reserve_per_second: 0.5, capacity: 5.0 };
        let clock = Arc::new(ManualClock::new());
        let budget = RetryBudget::with_clock(settings, clock.clone());
        let (mut requests, mut retries, mut millis) = (0u32, 0u32, 0u64);
        for step in steps {
            match step {
                Step::Request => {
                    requests += 1;
                    budget.record_request();
                }
                Step::Retry => retries += u32::from(budget.try_retry()),
                Step::Advance(passed) => {
                    millis += passed;
                    clock.advance(Duration::from_millis(passed));
                }
            }
            let earned = f64::from(requests) * settings.ratio
                + millis as f64 / 1_000.0 * settings.reserve_per_second;
            prop_assert!(f64::from(retries) <= settings.capacity + earned + 1e-6);
        }
    }
}
