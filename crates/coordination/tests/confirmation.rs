//! Batched rounds: a caller never gets the outcome of a round that began before its call.

use proptest::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use stilequay_coordination::confirmation::{RoundError, Rounds};
use tokio::sync::{Mutex, watch};

/// Numbers the calls and the beginnings of rounds in one order.
type Sequence = Arc<AtomicU64>;

const ROUND_TIME: Duration = Duration::from_millis(10);

async fn round(sequence: Sequence) -> u64 {
    let began = sequence.fetch_add(1, Ordering::SeqCst);
    tokio::time::sleep(ROUND_TIME).await;
    began
}

trait Join: Send + Sync + 'static {
    fn join(&self) -> impl Future<Output = u64> + Send;
}

impl Join for Rounds<u64> {
    async fn join(&self) -> u64 {
        Rounds::join(self).await.expect("the round is not aborted")
    }
}

/// Wrong on purpose: callers share the round that is in flight.
struct SharesRoundInFlight {
    sequence: Sequence,
    in_flight: Mutex<Option<watch::Receiver<Option<u64>>>>,
}

impl Join for SharesRoundInFlight {
    async fn join(&self) -> u64 {
        let mut outcome = self.in_flight_or_new().await;
        let began = outcome.wait_for(Option::is_some).await.expect("an outcome");
        began.expect("waited for")
    }
}

impl SharesRoundInFlight {
    async fn in_flight_or_new(&self) -> watch::Receiver<Option<u64>> {
        let mut in_flight = self.in_flight.lock().await;
        match in_flight.as_ref() {
            Some(outcome) if outcome.borrow().is_none() => outcome.clone(),
            _ => {
                let (sender, receiver) = watch::channel(None);
                let sequence = self.sequence.clone();
                tokio::spawn(async move { sender.send_replace(Some(round(sequence).await)) });
                in_flight.insert(receiver).clone()
            }
        }
    }
}

/// Calls at the given times; the number of callers that got a round begun before their call.
async fn violations(rounds: impl Join, sequence: Sequence, call_millis: Vec<u64>) -> usize {
    let rounds = Arc::new(rounds);
    let calls = call_millis.into_iter().map(|millis| {
        let (rounds, sequence) = (rounds.clone(), sequence.clone());
        async move {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            let called = sequence.fetch_add(1, Ordering::SeqCst);
            rounds.join().await < called
        }
    });
    let outcomes = futures::future::join_all(calls).await;
    outcomes.into_iter().filter(|violated| *violated).count()
}

fn rounds(sequence: &Sequence) -> Rounds<u64> {
    let sequence = sequence.clone();
    Rounds::new(move || round(sequence.clone()))
}

proptest! {
    #[test]
    fn no_caller_gets_a_round_begun_before_its_call(
        call_millis in prop::collection::vec(0..60u64, 1..60),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let sequence = Sequence::default();
        let found = runtime.block_on(violations(rounds(&sequence), sequence, call_millis));
        prop_assert_eq!(found, 0);
    }
}

#[tokio::test(start_paused = true)]
async fn the_check_finds_the_fault_of_sharing_the_round_in_flight() {
    let sequence = Sequence::default();
    let wrong = SharesRoundInFlight {
        sequence: sequence.clone(),
        in_flight: Mutex::default(),
    };
    assert_eq!(violations(wrong, sequence, vec![0, 5]).await, 1);
}

#[tokio::test(start_paused = true)]
async fn all_that_come_during_a_round_share_the_next_one() {
    let sequence = Sequence::default();
    let rounds = rounds(&sequence);
    let callers = std::iter::repeat_with(|| rounds.join()).take(1_000);
    let first = rounds.join();
    let (_, others) = futures::join!(first, futures::future::join_all(callers));
    assert!(
        others
            .iter()
            .all(|began| *began == Ok(1) || *began == Ok(0))
    );
    assert!(sequence.load(Ordering::SeqCst) <= 2, "at most two rounds");
}

#[tokio::test(start_paused = true)]
async fn a_round_that_nobody_waits_for_is_not_begun() {
    let sequence = Sequence::default();
    let rounds = rounds(&sequence);
    let first = tokio::spawn({
        let rounds = rounds.clone();
        async move { rounds.join().await }
    });
    tokio::time::sleep(ROUND_TIME / 2).await;
    let mut second = Box::pin(rounds.join());
    assert!(futures::poll!(&mut second).is_pending());
    drop(second);
    assert_eq!(first.await.unwrap(), Ok(0));
    tokio::time::sleep(ROUND_TIME * 3).await;
    assert_eq!(sequence.load(Ordering::SeqCst), 1);
}

#[tokio::test(start_paused = true)]
async fn a_round_that_panics_fails_its_callers_and_no_later_ones() {
    let attempts = Arc::new(AtomicUsize::new(0));
    let rounds = Rounds::new(move || {
        let attempt = attempts.fetch_add(1, Ordering::SeqCst);
        async move {
            assert!(attempt > 0, "the first round panics");
            attempt
        }
    });
    assert_eq!(rounds.join().await, Err(RoundError::Aborted));
    assert_eq!(rounds.join().await, Ok(1));
}
