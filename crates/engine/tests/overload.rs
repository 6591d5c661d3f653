//! Behavior under more requests than the servers can run.

mod support;

use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use stilequay_engine::statement::Reply;
use stilequay_engine::verdict::{FailureReason, Verdict};
use support::{BOUNDED_DATABASE, Client, Fleet, LEADER_DATABASE};
use tokio::time::{Instant, sleep};

/// Number of statements that a server runs concurrently.
const SLOTS: usize = 3;
/// Number of statements that may wait at a server.
const QUEUE: usize = 24;
/// Factor by which statements take longer; each then runs for 20 ms.
const SLOWDOWN: u32 = 5;
/// Reads per second that the three servers can run.
const CAPACITY: u32 = 450;
/// How long requests are sent.
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Time within which an answer counts as good.
const OBJECTIVE: Duration = Duration::from_millis(250);

async fn limited_fleet(nodes: usize) -> Fleet {
    let fleet = Fleet::start(nodes).await;
    fleet.world.set_slot_limits(SLOTS, QUEUE);
    for name in ["a", "b", "c"] {
        fleet
            .world
            .change(name, |server| server.slowdown = SLOWDOWN);
    }
    fleet
}

/// Waits for the retry delay of a refused request.
async fn wait_for_retry(reply: Reply) {
    if let Err(failure) = reply.outcome {
        let wait = failure.retry_after.unwrap_or_default();
        sleep(wait.max(Duration::from_millis(1))).await;
    }
}

/// Sends `per_second` reads, each from its own session; returns how many were answered within the
/// objective.
async fn count_good_reads(per_second: u32) -> usize {
    let fleet = limited_fleet(3).await;
    let good = Arc::new(AtomicUsize::new(0));
    let pause = Duration::from_secs(1) / per_second;
    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < LOAD_DURATION {
        let engine = Arc::clone(&fleet.nodes[sent % 3].engine);
        let good = Arc::clone(&good);
        sent += 1;
        tokio::spawn(async move {
            let mut client = Client::open(&engine, BOUNDED_DATABASE);
            let asked = Instant::now();
            let answered = client.read("x").await.outcome.is_ok();
            if answered && asked.elapsed() <= OBJECTIVE {
                good.fetch_add(1, Ordering::SeqCst);
            }
        });
        sleep(pause).await;
    }
    sleep(Duration::from_secs(3)).await;
    good.load(Ordering::SeqCst)
}

/// The number of answers within the objective must not drop when the load exceeds the capacity.
#[tokio::test(start_paused = true)]
async fn goodput_holds_at_twice_the_capacity() {
    let at_capacity = count_good_reads(CAPACITY * 9 / 10).await;
    let at_twice = count_good_reads(CAPACITY * 2).await;
    assert!(
        at_twice * 10 >= at_capacity * 9,
        "{at_twice} good answers at twice the capacity, {at_capacity} at 90% of it"
    );
}

/// Overload must not make processes suspect a leader.
#[tokio::test(start_paused = true)]
async fn busy_leaders_are_not_suspected() {
    let fleet = limited_fleet(3).await;
    for node in 0..3 {
        for _ in 0..60 {
            let mut client = fleet.session(node, LEADER_DATABASE);
            tokio::spawn(async move {
                loop {
                    for reply in [client.write("x 1").await, client.read("x").await] {
                        wait_for_retry(reply).await;
                    }
                }
            });
        }
    }
    sleep(Duration::from_secs(6)).await;
    assert!(fleet.world.promotions().is_empty());
}

/// A leader whose queue is full refuses status requests too.
#[rstest]
#[case::over_an_open_connection(false)]
#[case::over_a_new_connection(true)]
#[tokio::test(start_paused = true)]
async fn leader_that_refuses_status_requests_under_load_is_not_suspected(#[case] closed: bool) {
    let fleet = Fleet::start(2).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    assert!(client.write("x 1").await.outcome.is_ok());
    if closed {
        sleep(Duration::from_secs(4)).await;
        let engines = fleet.nodes.iter().map(|node| &node.engine);
        engines.for_each(|engine| engine.close_unused_connections());
    }
    fleet.world.change("a", |server| server.queue_full = true);
    for _ in 0..10 {
        wait_for_retry(client.write("x 1").await).await;
    }
    assert!(fleet.world.promotions().is_empty());
}

/// Requests that are refused under load are refused early, without having run, and with a retry
/// delay.
#[rstest]
#[case(LEADER_DATABASE)]
#[case(BOUNDED_DATABASE)]
#[tokio::test(start_paused = true)]
async fn persistent_queue_refuses_requests_early(#[case] database: &'static str) {
    let fleet = limited_fleet(1).await;
    for _ in 0..200 {
        let mut client = fleet.session(0, database);
        tokio::spawn(async move {
            loop {
                let reply = client.read("x").await;
                if let Err(failure) = reply.outcome {
                    sleep(failure.retry_after.unwrap_or_default()).await;
                }
            }
        });
    }
    sleep(Duration::from_secs(2)).await;
    let mut client = fleet.session(0, database);
    let mut refusals = 0;
    for _ in 0..20 {
        let asked = Instant::now();
        let Err(failure) = client.read("x").await.outcome else {
            continue;
        };
        refusals += 1;
        assert_eq!(failure.verdict, Verdict::NotRun);
        assert_eq!(failure.reason, FailureReason::Overloaded);
        assert!(failure.retry_after.is_some_and(|wait| !wait.is_zero()));
        assert!(asked.elapsed() <= OBJECTIVE, "{:?}", asked.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
    assert!(refusals > 0);
}
