//! The outcomes of writes that are reported to callers.

mod support;

use rstest::rstest;
use std::time::Duration;
use stilequay_engine::verdict::{FailureReason, Verdict};
use support::servers::Server;
use support::{Fleet, LEADER_DATABASE};
use tokio::time::{Instant, sleep};

fn queue_full(server: &mut Server) {
    server.queue_full = true;
}

fn connections_exhausted(server: &mut Server) {
    server.connections_exhausted = true;
}

fn loses_answers(server: &mut Server) {
    server.loses_answers = true;
}

fn closes_before_answer(server: &mut Server) {
    server.closes_before_answer = true;
}

fn unresponsive(server: &mut Server) {
    server.unresponsive = true;
}

/// Checks the reported verdict and reason, and the number of commits at the server.
#[rstest]
#[case::queue_is_full(queue_full, Verdict::NotRun, FailureReason::Overloaded, 0)]
#[case::no_connections_left(connections_exhausted, Verdict::NotRun, FailureReason::Overloaded, 0)]
#[case::answer_is_lost(loses_answers, Verdict::MayHaveRun, FailureReason::AnswerTimedOut, 1)]
#[case::connection_closes_before_the_answer(
    closes_before_answer,
    Verdict::MayHaveRun,
    FailureReason::ConnectionLost,
    1
)]
#[case::server_does_not_answer(unresponsive, Verdict::NotRun, FailureReason::Overloaded, 0)]
#[tokio::test(start_paused = true)]
async fn failed_write_is_reported_correctly_and_never_runs_twice(
    #[case] fault: fn(&mut Server),
    #[case] verdict: Verdict,
    #[case] reason: FailureReason,
    #[case] commits: usize,
) {
    let fleet = Fleet::start(1).await;
    fleet.world.change("a", fault);
    let mut client = fleet.session(0, LEADER_DATABASE);
    let asked = Instant::now();
    let failure = client.write("x 1").await.outcome.expect_err("a fault");
    assert_eq!(failure.verdict, verdict);
    assert_eq!(failure.reason, reason);
    assert_eq!(failure.retry_after.is_some(), verdict == Verdict::NotRun);
    // The write must fail well before its timeout, on the paused clock.
    assert!(asked.elapsed() < support::TIMEOUT.mul_f64(0.6));
    assert_eq!(fleet.world.server("a").log.len(), commits);
}

#[tokio::test(start_paused = true)]
async fn commit_whose_answer_is_lost_may_have_run() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    client.begin(false).await;
    client.write("x 1").await;
    fleet.world.change("a", loses_answers);
    let failure = client.commit().await.outcome.expect_err("no answer");
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
    assert_eq!(fleet.world.server("a").log.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn commit_without_writes_is_reported_as_not_run() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    client.begin(false).await;
    client.read("x").await;
    fleet.world.crash("a");
    let failure = client.commit().await.outcome.expect_err("no answer");
    assert_eq!(failure.verdict, Verdict::NotRun);
}

#[tokio::test(start_paused = true)]
async fn commit_that_no_replica_receives_is_not_acknowledged() {
    let fleet = Fleet::start(1).await;
    fleet
        .world
        .change("b", |server| server.not_receiving = true);
    fleet
        .world
        .change("c", |server| server.not_receiving = true);
    let mut client = fleet.session(0, LEADER_DATABASE);
    let failure = client.write("x 1").await.outcome.expect_err("no replica");
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
}

#[tokio::test(start_paused = true)]
async fn a_queue_that_is_full_for_a_moment_only_delays() {
    let fleet = Fleet::start(1).await;
    fleet.world.change("a", queue_full);
    let world = fleet.world.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(100)).await;
        world.change("a", |server| server.queue_full = false);
    });
    let mut client = fleet.session(0, LEADER_DATABASE);
    assert!(client.write("x 1").await.outcome.is_ok());
    assert_eq!(fleet.world.server("a").log.len(), 1);
}
