//! How requests wait while their group has no leader: those that can be served soon are, the
//! others are told at once when to come back.

mod support;

use rstest::rstest;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stilequay_engine::verdict::{Failure, Verdict};
use support::{Client, Fleet, LEADER_DATABASE};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// What callers hope for.
const OBJECTIVE: Duration = Duration::from_millis(250);
/// How long a caller tries.
const DEADLINE: Duration = Duration::from_secs(1);
/// Tries of one caller.
const TRIES: usize = 3;
/// Between two callers.
const PAUSE: Duration = Duration::from_millis(4);

/// What became of the callers of one load.
#[derive(Debug, Default, Clone)]
struct Tally {
    asked: usize,
    served: usize,
    tries: usize,
    /// Tries that were held for more than a quarter of the objective, and refused.
    held: usize,
    /// Tries that came back when they were told to, and those of them that were served.
    returned: usize,
    returned_served: usize,
}

/// Callers who write for `load_time`, each three times at the most within its deadline; the
/// leader crashes after a while.
async fn writes_over_a_crash(fleet: &Fleet, load_time: Duration) -> Tally {
    let tally: Arc<Mutex<Tally>> = Arc::default();
    let began = Instant::now();
    let mut callers = JoinSet::new();
    let mut crashed = false;
    while began.elapsed() < load_time {
        if !crashed && began.elapsed() > Duration::from_secs(1) {
            let leader = fleet.world.leader();
            fleet.world.crash(&leader);
            crashed = true;
        }
        let asked = tally.lock().unwrap().asked;
        tally.lock().unwrap().asked += 1;
        let client = fleet.session(asked % fleet.nodes.len(), LEADER_DATABASE);
        callers.spawn(call(client, Arc::clone(&tally)));
        sleep(PAUSE).await;
    }
    while callers.join_next().await.is_some() {}
    let tally = tally.lock().unwrap();
    tally.clone()
}

async fn call(mut client: Client, tally: Arc<Mutex<Tally>>) {
    let began = Instant::now();
    let mut was_told = false;
    for _ in 0..TRIES {
        let tried = Instant::now();
        let outcome = client.write("x").await.outcome;
        note(&tally, outcome.as_ref().err(), tried.elapsed(), was_told);
        let Err(failure) = outcome else { return };
        let wait = failure.retry_after.unwrap_or_default();
        if failure.verdict != Verdict::NotRun || began.elapsed() + wait >= DEADLINE {
            return;
        }
        was_told = true;
        sleep(wait).await;
    }
}

fn note(tally: &Mutex<Tally>, failure: Option<&Failure>, held: Duration, was_told: bool) {
    let mut tally = tally.lock().unwrap();
    tally.tries += 1;
    tally.returned += usize::from(was_told);
    match failure {
        None => {
            tally.served += 1;
            tally.returned_served += usize::from(was_told);
        }
        Some(failure) if failure.verdict == Verdict::NotRun => {
            tally.held += usize::from(held > OBJECTIVE / 4);
        }
        Some(_) => {}
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn whoever_waits_in_vain_is_told_at_once(#[values(2, 6)] nodes: usize) {
    let fleet = Fleet::start(nodes).await;
    let first = writes_over_a_crash(&fleet, Duration::from_secs(6)).await;
    println!("first change: {first:?}");
    sleep(Duration::from_secs(5)).await;
    let old = ["a", "b", "c"]
        .into_iter()
        .find(|name| !fleet.world.server(name).running);
    fleet.world.restart(old.expect("the old leader"));
    sleep(Duration::from_secs(3)).await;
    let second = writes_over_a_crash(&fleet, Duration::from_secs(6)).await;
    println!("second change: {second:?}");
}
