//! Units over exchanges, while nothing fails.

mod home_support;

use home_support::{Harness, PATIENCE, Path, Setup, insert, read, unit, write};
use rstest::rstest;
use std::time::Duration;
use stilequay_coordination::position::Term;
use stilequay_daemon::domain::exchange::{Access, Freshness, TransactionState};
use stilequay_daemon::domain::verdict::{FailureKind, Verdict};
use stilequay_standin::group::ReplicationLag;

async fn start(path: Path) -> Harness {
    Harness::start_with(Setup {
        path,
        ..Setup::default()
    })
    .await
}

#[rstest]
#[case::over_the_network(Path::Network)]
#[case::within_the_process(Path::Local)]
#[tokio::test]
async fn a_write_is_acknowledged_by_the_primary_and_read_at_once(#[case] path: Path) {
    let harness = start(path).await;
    let done = harness.run(insert("first")).await.done();
    assert!(done.served_by.as_primary);
    assert_eq!(done.transaction, TransactionState::Idle);
    assert_eq!(done.floor.map(|floor| floor.term), Some(Term(1)));
    assert_eq!(harness.entries().await, ["first"]);
}

#[rstest]
#[case::over_the_network(Path::Network)]
#[case::within_the_process(Path::Local)]
#[tokio::test]
async fn one_exchange_carries_many_units(#[case] path: Path) {
    let harness = start(path).await;
    let mut exchange = harness.open().await;
    for number in 0..20 {
        exchange.run(insert(&format!("{number:02}"))).await.done();
        let freshness = Freshness::Barrier;
        let answer = exchange
            .run(read("SELECT count(*) FROM entries", freshness))
            .await;
        assert_eq!(answer.first_column(), [(number + 1).to_string()]);
    }
    exchange.0.release().await;
}

#[tokio::test]
async fn reads_go_to_replicas() {
    let harness = Harness::start().await;
    harness.run(insert("first")).await.done();
    for freshness in [Freshness::Barrier, Freshness::SessionFloor] {
        let answer = harness
            .run(read("SELECT value FROM entries", freshness))
            .await;
        assert_eq!(answer.first_column(), ["first"]);
        assert!(!answer.done().served_by.as_primary);
    }
}

#[tokio::test]
async fn a_read_at_a_floor_sees_the_write_that_made_it() {
    let harness = Harness::start().await;
    for name in harness.replicas() {
        let lag = ReplicationLag {
            receive_ms: 0,
            replay_ms: 40,
        };
        harness.group.set_lag(&name, lag).expect("it is a member");
    }
    for number in 0..10 {
        let value = format!("{number}");
        let done = harness.run(insert(&value)).await.done();
        let floor = done.floor.expect("a write has a floor");
        let sql = "SELECT max(value) FROM entries";
        let answer = harness.run(read(sql, Freshness::AtLeast(floor))).await;
        assert_eq!(answer.first_column(), [value]);
    }
}

#[tokio::test]
async fn a_transaction_keeps_its_connection_and_others_do_not_see_it() {
    let harness = Harness::start().await;
    let mut exchange = harness.open().await;
    let begun = exchange.run(write("BEGIN")).await.done();
    assert_eq!(begun.transaction, TransactionState::InTransaction);
    assert_eq!(begun.floor, None);
    exchange.run(insert("first")).await.done();
    assert_eq!(harness.entries().await, [""; 0]);
    let committed = exchange.run(write("COMMIT")).await.done();
    assert_eq!(committed.transaction, TransactionState::Idle);
    assert!(committed.floor.is_some());
    assert_eq!(harness.entries().await, ["first"]);
}

#[tokio::test]
async fn an_error_of_the_back_end_passes_unchanged() {
    let harness = Harness::start().await;
    let mut exchange = harness.open().await;
    let answer = exchange.run(write("INSERT INTO nowhere VALUES (1)")).await;
    assert_eq!(answer.error_code().as_deref(), Some("42P01"));
    let done = answer
        .outcome
        .expect("an error of the back end is an answer");
    assert_eq!(done.floor, None);
    exchange.run(insert("first")).await.done();
}

#[tokio::test]
async fn a_long_answer_comes_whole() {
    let harness = Harness::start().await;
    let mut exchange = harness.open().await;
    exchange.run(write("BEGIN")).await.done();
    let value = "x".repeat(1_000);
    for _ in 0..300 {
        exchange.run(insert(&value)).await.done();
    }
    exchange.run(write("COMMIT")).await.done();
    assert_eq!(harness.entries().await, vec![value; 300]);
}

#[rstest]
#[case::no_such_group("nowhere", "storefront")]
#[case::no_such_service("orders", "nobody")]
#[tokio::test]
async fn what_is_not_declared_is_refused(#[case] group: &str, #[case] service: &str) {
    let harness = Harness::start().await;
    let mut exchange = harness.open_as(group, service).await;
    let failure = exchange.run(insert("first")).await.failure();
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert_eq!(failure.kind, FailureKind::NotPermitted);
}

#[tokio::test]
async fn session_state_is_never_shared() {
    let harness = Harness::start().await;
    let mut exchange = harness.open().await;
    let mut set = unit("SET search_path TO elsewhere", Access::Write);
    set.makes_session_state = true;
    exchange.run(set).await.done();
    let shown = exchange.run(write("SHOW search_path")).await;
    assert_eq!(shown.first_column(), ["elsewhere"]);
    exchange.0.release().await;
    for _ in 0..5 {
        let shown = harness.run(write("SHOW search_path")).await;
        assert_ne!(shown.first_column(), ["elsewhere"]);
    }
}

#[tokio::test]
async fn a_leaving_home_refuses_new_exchanges_and_finishes_transactions() {
    let harness = Harness::start().await;
    let mut exchange = harness.open().await;
    exchange.run(write("BEGIN")).await.done();
    exchange.run(insert("first")).await.done();
    let mut later = harness.open().await;
    harness.leaving.cancel();
    let failure = later.run(insert("second")).await.failure();
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert_eq!(failure.kind, FailureKind::ShuttingDown);
    assert!(exchange.run(write("COMMIT")).await.done().floor.is_some());
}

/// A front that keeps an exchange open without a transaction does not keep the home.
#[tokio::test]
async fn a_leaving_home_does_not_wait_for_idle_exchanges() {
    let harness = Harness::start().await;
    let mut exchange = harness.open().await;
    exchange.run(insert("first")).await.done();
    harness.leaving.cancel();
    let closed = tokio::time::timeout(PATIENCE, exchange.0.receive()).await;
    assert!(closed.expect("the home closes it").is_err());
}

/// Reads go past the nearest replica while all connections to it are in use.
#[tokio::test]
async fn a_saturated_replica_is_passed_over() {
    let mut setup = Setup::default();
    // Three connections are kept free for the probes of the homes.
    setup.spec.connections_per_member = 4;
    let harness = Harness::start_with(setup).await;
    let mut busy = harness.open().await;
    let sql = "SELECT 'late' WHERE pg_sleep(1) IS NOT NULL";
    busy.send(read(sql, Freshness::Barrier)).await;
    loop {
        let answer = harness.run(read("SELECT 1", Freshness::Barrier)).await;
        if answer.done().served_by.member != "two".into() {
            break;
        }
    }
    assert_eq!(busy.answer().await.first_column(), ["late"]);
}

/// The home prefers the replica in its own zone until that replica leaves.
#[tokio::test]
async fn a_member_that_leaves_gets_no_new_work() {
    let harness = Harness::start().await;
    let serving = async || {
        let answer = harness.run(read("SELECT 1", Freshness::Barrier)).await;
        answer.done().served_by.member
    };
    assert_eq!(serving().await, "two".into());
    harness.change_spec(|spec| {
        for member in &mut spec.members {
            member.leaving = member.name.as_str() == "two";
        }
    });
    while serving().await == "two".into() {}
    for _ in 0..20 {
        assert_eq!(serving().await, "three".into());
    }
}

#[tokio::test]
async fn a_full_queue_is_told_when_to_come_back() {
    let mut setup = Setup::default();
    setup.service.max_in_flight = 1;
    setup.home.queued_units_per_service = 0;
    let harness = Harness::start_with(setup).await;
    let mut busy = harness.open().await;
    busy.send(read("SELECT pg_sleep(30)", Freshness::Barrier))
        .await;
    let failure = loop {
        let answer = harness.run(read("SELECT 1", Freshness::Barrier)).await;
        if let Err(failure) = answer.outcome {
            break failure;
        }
    };
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert_eq!(failure.kind, FailureKind::Overloaded);
    assert!(
        failure
            .retry_after
            .is_some_and(|delay| delay > Duration::ZERO)
    );
}
