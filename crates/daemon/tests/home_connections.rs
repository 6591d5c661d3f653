//! Back-end connections: what is shared, what is closed, and limits.

mod home_support;

use home_support::{Harness, Setup, eventually, insert, read, unit, write};
use rstest::rstest;
use std::time::Duration;
use stilequay_daemon::domain::exchange::{Access, Freshness, FrontMessage, RunUnit};
use stilequay_daemon::domain::verdict::{FailureKind, Verdict};
use stilequay_standin::group::Limits;

/// Runs for as long as the test lasts, unless it is cancelled.
const ENDLESS_INSERT: &str = "INSERT INTO entries SELECT 'value' WHERE pg_sleep(60) IS NOT NULL";

#[derive(Debug, Clone, Copy)]
enum Abandoned {
    InTransaction,
    WhileAWriteRuns,
    WhileAnAnswerStreams,
    AfterSessionState,
}

impl Abandoned {
    async fn leave(self, harness: &Harness) {
        let mut exchange = harness.open().await;
        match self {
            Self::InTransaction => {
                exchange.run(write("BEGIN")).await.done();
                exchange.run(insert("value")).await.done();
            }
            Self::WhileAWriteRuns => exchange.send(write(ENDLESS_INSERT)).await,
            Self::WhileAnAnswerStreams => {
                let sql = "SELECT 'first' UNION ALL SELECT 'second' WHERE pg_sleep(60) IS NOT NULL";
                exchange.send(read(sql, Freshness::Barrier)).await;
            }
            Self::AfterSessionState => {
                let mut set = unit("SET search_path TO elsewhere", Access::Write);
                set.makes_session_state = true;
                exchange.run(set).await.done();
            }
        }
    }
}

/// What an exchange leaves behind when it is dropped never reaches another caller.
#[rstest]
#[case(Abandoned::InTransaction)]
#[case(Abandoned::WhileAWriteRuns)]
#[case(Abandoned::WhileAnAnswerStreams)]
#[case(Abandoned::AfterSessionState)]
#[tokio::test]
async fn an_abandoned_exchange_leaves_nothing_behind(#[case] abandoned: Abandoned) {
    let harness = Harness::start().await;
    abandoned.leave(&harness).await;
    for _ in 0..10 {
        let shown = harness.run(write("SHOW search_path")).await;
        assert_ne!(shown.first_column(), ["elsewhere"]);
        harness.run(write("ROLLBACK")).await.done();
        assert_eq!(harness.entries().await, [""; 0]);
    }
}

/// The same check notices a home that shares connections in a transaction.
#[tokio::test]
async fn a_connection_returned_in_a_transaction_is_noticed() {
    let mut setup = Setup::default();
    setup.home.mutants.return_dirty_connections = true;
    let harness = Harness::start_with(setup).await;
    let mut exchange = harness.open().await;
    exchange.run(write("BEGIN")).await.done();
    exchange.run(insert("value")).await.done();
    exchange.0.release().await;
    let mut mixed = false;
    for _ in 0..10 {
        let mut other = harness.open().await;
        other.run(write("COMMIT")).await.done();
        mixed |= !harness.entries().await.is_empty();
    }
    assert!(mixed, "the check must be able to fail");
}

#[tokio::test]
async fn a_write_that_outlives_its_time_is_cancelled_and_may_have_run() {
    let harness = Harness::start().await;
    let unit = RunUnit {
        time_left: Duration::from_millis(300),
        ..write(ENDLESS_INSERT)
    };
    let failure = harness.run(unit).await.failure();
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
    assert_eq!(failure.kind, FailureKind::DeadlineExceeded);
    assert_eq!(harness.entries().await, [""; 0]);
}

#[tokio::test]
async fn a_cancelled_write_is_answered_by_the_back_end() {
    let harness = Harness::start().await;
    let mut exchange = harness.open().await;
    let unit = write(ENDLESS_INSERT);
    let request = unit.request;
    exchange.send(unit).await;
    let answer = loop {
        let cancel = FrontMessage::Cancel { request };
        exchange.0.send(cancel).await.expect("the exchange stands");
        let waited = tokio::time::timeout(Duration::from_millis(200), exchange.answer()).await;
        if let Ok(answer) = waited {
            break answer;
        }
    };
    // A cancellation that comes before the write was sent is the home's to answer.
    match &answer.outcome {
        Ok(_) => assert_eq!(answer.error_code().as_deref(), Some("57014")),
        Err(failure) => assert_eq!(failure.verdict, Verdict::NotRun),
    }
    assert_eq!(harness.entries().await, [""; 0]);
}

/// The server refuses more connections than it has: nothing was run, and the unit
/// waits for a connection of the home's.
#[tokio::test]
async fn a_server_without_connections_left_is_waited_for() {
    let harness = Harness::start().await;
    let primary = harness.primary();
    let mut holders = vec![];
    for _ in 0..3 {
        let mut exchange = harness.open().await;
        exchange.run(write("BEGIN")).await.done();
        holders.push(exchange);
    }
    let limits = Limits { max_connections: 1 };
    harness
        .group
        .set_limits(&primary, limits)
        .expect("it is a member");
    let failure = harness.refused(insert("refused")).await;
    assert_eq!(failure.kind, FailureKind::Overloaded);
    let mut waiting = harness.open().await;
    waiting.send(insert("value")).await;
    let mut holder = holders.remove(0);
    holder.run(write("COMMIT")).await.done();
    waiting.answer().await.done();
    assert_eq!(harness.entries().await, ["value"]);
}

#[tokio::test]
async fn connections_of_a_former_term_are_closed() {
    let harness = Harness::start().await;
    let former = harness.primary();
    harness.run(insert("value")).await.done();
    harness.group.cut(&former).expect("it is a member");
    harness.wait_for_primary_after(&former).await;
    // A read with a barrier is answered only once the home knows the new primary.
    assert_eq!(harness.entries().await, ["value"]);
    harness.run(insert("another")).await.done();
    // The probe's own connection stays.
    let open = || {
        harness
            .group
            .report(&former)
            .expect("it is a member")
            .open_connections
    };
    eventually(|| (open() <= 1).then_some(())).await;
}
