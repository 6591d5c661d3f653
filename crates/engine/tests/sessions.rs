//! Sessions: session values, prepared statements and transactions on shared connections.

mod support;

use rstest::rstest;
use std::time::Duration;
use stilequay_engine::session::Session;
use stilequay_engine::statement::{Access, TransactionState};
use stilequay_engine::verdict::{FailureReason, Verdict};
use support::{Fleet, LEADER_DATABASE, OWN_DATABASE, bytes, read_row};
use tokio::time::sleep;

#[tokio::test(start_paused = true)]
async fn session_values_apply_to_all_its_reads_and_to_no_other_session() {
    let fleet = Fleet::start(1).await;
    let mut first = fleet.session(0, OWN_DATABASE);
    let mut second = fleet.session(0, OWN_DATABASE);
    first.set("colour", "red").await;
    second.set("size", "large").await;
    for _ in 0..6 {
        let rows = first.read("x").await.rows;
        assert_eq!(rows[1..], [bytes(" colour=red")]);
        let rows = second.read("x").await.rows;
        assert_eq!(rows[1..], [bytes(" size=large")]);
    }
    let mut third = fleet.session(0, OWN_DATABASE);
    assert_eq!(third.read("x").await.rows.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn prepared_statement_names_are_local_to_a_session() {
    let fleet = Fleet::start(1).await;
    let mut reader = fleet.session(0, LEADER_DATABASE);
    let mut writer = fleet.session(0, LEADER_DATABASE);
    reader.prepare("s1", Access::Read, "q").await;
    writer.prepare("s1", Access::Write, "q").await;
    for round in 1..=3 {
        assert!(writer.execute("s1", "k v").await.outcome.is_ok());
        let (server, commits) = read_row(&reader.execute("s1", "k").await);
        assert_eq!((server.as_str(), commits), ("a", round));
    }
}

#[tokio::test(start_paused = true)]
async fn executing_an_unknown_prepared_statement_fails() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    let reply = client.execute("s1", "k").await;
    let failure = reply.outcome.expect_err("not prepared");
    assert_eq!(failure.reason, FailureReason::UnknownPrepared);
    assert_eq!(failure.verdict, Verdict::NotRun);
}

#[tokio::test(start_paused = true)]
async fn transaction_runs_at_one_member_and_is_committed_once() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    assert_eq!(client.begin(false).await.state, TransactionState::Open);
    client.write("x 1").await;
    client.read("x").await;
    client.write("y 2").await;
    let reply = client.commit().await;
    assert!(reply.outcome.expect("committed").is_some(), "signed");
    assert_eq!(reply.state, TransactionState::Idle);
    assert_eq!(fleet.world.server("a").log.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn rolled_back_transaction_writes_nothing() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    client.begin(false).await;
    client.write("x 1").await;
    assert!(client.rollback().await.outcome.is_ok());
    assert!(fleet.world.server("a").log.is_empty());
    assert_eq!(read_row(&client.read("x").await).1, 0);
}

#[tokio::test(start_paused = true)]
async fn session_that_ends_during_a_transaction_rolls_it_back() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    client.begin(false).await;
    client.write("x 1").await;
    drop(client);
    sleep(Duration::from_secs(1)).await;
    assert!(fleet.world.server("a").log.is_empty());
}

#[tokio::test(start_paused = true)]
async fn empty_transaction_is_committed_with_a_members_signature() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    client.begin(false).await;
    let reply = client.commit().await;
    assert!(reply.outcome.expect("committed").is_some());
}

#[rstest]
#[case::commit(true)]
#[case::rollback(false)]
#[tokio::test(start_paused = true)]
async fn ending_a_transaction_that_was_not_begun_fails(#[case] commit: bool) {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    let reply = match commit {
        true => client.commit().await,
        false => client.rollback().await,
    };
    let failure = reply.outcome.expect_err("no transaction");
    assert_eq!(failure.reason, FailureReason::OutOfPlace);
}

#[tokio::test(start_paused = true)]
async fn losing_the_member_fails_the_transaction_until_it_is_ended() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    client.begin(false).await;
    client.write("x 1").await;
    fleet.world.crash("a");
    let reply = client.write("y 2").await;
    let failure = reply.outcome.expect_err("the member is gone");
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert_eq!(failure.reason, FailureReason::TransactionLost);
    assert_eq!(reply.state, TransactionState::Failed);
    let failure = client.read("x").await.outcome.expect_err("failed");
    assert_eq!(failure.reason, FailureReason::OutOfPlace);
    let reply = client.commit().await;
    assert_eq!(reply.state, TransactionState::Idle);
    let failure = reply.outcome.expect_err("nothing to commit");
    assert_eq!(failure.verdict, Verdict::NotRun);
}

#[tokio::test(start_paused = true)]
async fn idle_transaction_is_aborted_and_reported_at_the_next_statement() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    assert_eq!(client.session.idle_deadline(), None);
    client.begin(false).await;
    client.write("x 1").await;
    assert!(client.session.idle_deadline().is_some());
    client
        .session
        .abort_transaction(FailureReason::IdleTransaction);
    assert_eq!(client.session.idle_deadline(), None);
    let failure = client.commit().await.outcome.expect_err("ended");
    assert_eq!(failure.reason, FailureReason::IdleTransaction);
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert!(fleet.world.server("a").log.is_empty());
}

#[tokio::test(start_paused = true)]
async fn opening_a_session_for_an_unrouted_database_fails() {
    let fleet = Fleet::start(1).await;
    let engine = fleet.nodes[0].engine.clone();
    let failure = Session::open(engine, "nowhere".into(), None).await;
    let failure = failure.expect_err("no route");
    assert_eq!(failure.reason, FailureReason::UnknownDatabase);
    assert_eq!(failure.retry_after, None);
}

#[tokio::test(start_paused = true)]
async fn changed_route_applies_from_the_next_transaction() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    client.begin(false).await;
    client.write("x 1").await;
    let mut next = support::configuration(1);
    next.version = 2;
    next.routes.clear();
    assert!(fleet.nodes[0].engine.set_configuration(next.clone()));
    assert!(client.commit().await.outcome.is_ok());
    let failure = client.read("x").await.outcome.expect_err("no route");
    assert_eq!(failure.reason, FailureReason::UnknownDatabase);
    // An older version is never applied.
    let older = support::configuration(1);
    assert!(!fleet.nodes[0].engine.set_configuration(older));
    assert!(client.read("x").await.outcome.is_err());
}
