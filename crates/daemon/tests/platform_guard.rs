//! The guard before calls of the platform, on a clock that stands still while
//! anything can run.

use rstest::rstest;
use std::cell::Cell;
use std::num::NonZeroU32;
use std::time::Duration;
use stilequay_daemon::adapters::platform::guard::{Guard, GuardSettings};
use stilequay_daemon::ports::platform::PlatformError;
use tokio::time::{Instant, advance};

fn settings() -> GuardSettings {
    GuardSettings {
        circuit_failures: NonZeroU32::new(3).expect("not zero"),
        ..GuardSettings::default()
    }
}

/// Time that one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

fn guard() -> Guard {
    Guard::new("test", CALL_TIMEOUT, settings())
}

fn unavailable() -> PlatformError {
    PlatformError::Unavailable("down".to_owned())
}

fn unknown() -> PlatformError {
    PlatformError::OutcomeUnknown("lost".to_owned())
}

async fn fail(guard: &Guard, error: PlatformError) {
    let result = guard
        .once("call", async { Err::<(), _>(error.clone()) })
        .await;
    assert_eq!(result, Err(error));
}

/// Whether the guard lets a call through, which succeeds then.
async fn lets_through(guard: &Guard) -> bool {
    let sent = Cell::new(false);
    let call = async {
        sent.set(true);
        Ok(())
    };
    let result = guard.once("call", call).await;
    assert_eq!(result.is_ok(), sent.get());
    sent.get()
}

/// Longer than the circuit stays open, with any jitter.
async fn wait_until_probed() {
    advance(settings().circuit_open() * 2).await;
}

#[rstest]
#[case::unavailable(unavailable(), false)]
#[case::unknown(unknown(), false)]
#[case::condition(PlatformError::ConditionFailed, true)]
#[case::throttled(PlatformError::Throttled(None), true)]
#[case::malformed(PlatformError::Malformed("?".to_owned()), true)]
#[tokio::test(start_paused = true)]
async fn only_missing_answers_open_the_circuit(#[case] error: PlatformError, #[case] passes: bool) {
    let guard = guard();
    for _ in 0..3 {
        fail(&guard, error.clone()).await;
    }
    assert_eq!(lets_through(&guard).await, passes);
}

#[tokio::test(start_paused = true)]
async fn an_answer_in_between_keeps_the_circuit_closed() {
    let guard = guard();
    for error in [
        unavailable(),
        unavailable(),
        PlatformError::ConditionFailed,
        unavailable(),
    ] {
        fail(&guard, error).await;
    }
    assert!(lets_through(&guard).await);
}

#[tokio::test(start_paused = true)]
async fn a_probe_closes_the_circuit_or_opens_it_again() {
    let guard = guard();
    for _ in 0..3 {
        fail(&guard, unavailable()).await;
    }
    wait_until_probed().await;
    fail(&guard, unavailable()).await;
    assert!(!lets_through(&guard).await);
    wait_until_probed().await;
    assert!(lets_through(&guard).await);
    assert!(lets_through(&guard).await);
}

#[tokio::test(start_paused = true)]
async fn one_probe_at_a_time_and_a_dropped_one_is_made_up_for() {
    let guard = guard();
    for _ in 0..3 {
        fail(&guard, unavailable()).await;
    }
    wait_until_probed().await;
    let mut probe = Box::pin(guard.once("call", std::future::pending::<Result<(), _>>()));
    assert!(futures::poll!(&mut probe).is_pending());
    assert!(!lets_through(&guard).await);
    drop(probe);
    assert!(lets_through(&guard).await);
}

#[tokio::test(start_paused = true)]
async fn a_call_without_an_answer_ends_at_its_deadline() {
    let started = Instant::now();
    let guard = guard();
    let result = guard
        .once("call", std::future::pending::<Result<(), _>>())
        .await;
    assert!(matches!(result, Err(PlatformError::OutcomeUnknown(_))));
    assert_eq!(started.elapsed(), CALL_TIMEOUT);
    let read = guard
        .read("call", std::future::pending::<Result<(), _>>)
        .await;
    assert!(matches!(read, Err(PlatformError::Unavailable(_))));
}

#[tokio::test(start_paused = true)]
async fn a_call_over_the_rate_is_not_sent() {
    let slow = GuardSettings {
        calls_per_second: NonZeroU32::MIN,
        burst: NonZeroU32::MIN,
        ..settings()
    };
    let guard = Guard::new("test", Duration::from_millis(10), slow);
    assert!(lets_through(&guard).await);
    let sent = Cell::new(false);
    let call = async {
        sent.set(true);
        Ok(())
    };
    assert_eq!(
        guard.once("call", call).await,
        Err(PlatformError::Throttled(None))
    );
    assert!(!sent.get());
}

#[rstest]
#[case::unavailable(unavailable(), 2)]
#[case::throttled(PlatformError::Throttled(Some(Duration::from_millis(300))), 2)]
#[case::unknown(unknown(), 2)]
#[case::condition(PlatformError::ConditionFailed, 1)]
#[case::malformed(PlatformError::Malformed("?".to_owned()), 1)]
#[tokio::test(start_paused = true)]
async fn reads_are_repeated_while_the_cause_may_pass(
    #[case] error: PlatformError,
    #[case] calls: u32,
) {
    let guard = guard();
    let count = Cell::new(0);
    let attempt = || {
        count.set(count.get() + 1);
        let result = match count.get() {
            1 => Err(error.clone()),
            _ => Ok(()),
        };
        async { result }
    };
    let started = Instant::now();
    let result = guard.read("call", attempt).await;
    assert_eq!(count.get(), calls);
    assert_eq!(result.is_ok(), calls == 2);
    if let PlatformError::Throttled(Some(pause)) = error {
        assert!(started.elapsed() >= pause, "the asked pause is kept");
    }
}

#[tokio::test(start_paused = true)]
async fn repetitions_end_in_time_and_keep_an_unknown_outcome() {
    let guard = guard();
    let first = Cell::new(true);
    let attempt = || {
        let error = match first.replace(false) {
            true => unknown(),
            false => PlatformError::Throttled(None),
        };
        async { Err::<(), _>(error) }
    };
    let started = Instant::now();
    assert_eq!(guard.repeat("call", attempt).await, Err(unknown()));
    assert!(started.elapsed() <= settings().repeat_within());
}
