//! A planned stop of a daemon cuts nothing in progress.

mod support;

use stilequay_bench::checker::Report;
use stilequay_bench::history::WriteOutcome;
use stilequay_bench::launch::Topology;
use stilequay_bench::launch::wait::until;
use stilequay_bench::load::{Mix, run};
use support::{connect, deployment, judge, load, row, rows_at_primary, start, write};
use tokio_postgres::error::SqlState;
use tokio_util::sync::CancellationToken;

const SESSIONS: usize = 9;
const OPERATIONS: usize = 60;

/// Whether a transaction that was open as the stop began could be committed.
async fn commits_during_stop(topology: &mut Topology, planned: bool) -> bool {
    let connection = connect(topology, 0, "in-progress").await;
    connection
        .client
        .simple_query("BEGIN")
        .await
        .expect("BEGIN");
    assert_eq!(
        write(&connection, &row(1)).await,
        WriteOutcome::Acknowledged
    );
    let process = topology.daemons[0].process_mut();
    match planned {
        true => process.terminate().expect("the stop begins"),
        false => process.kill().await.expect("the daemon is killed"),
    }
    if planned {
        stop_is_seen(topology).await;
    }
    let written = write(&connection, &row(2)).await == WriteOutcome::Acknowledged;
    written && connection.client.simple_query("COMMIT").await.is_ok()
}

/// Waits until the leaving daemon takes no new callers.
async fn stop_is_seen(topology: &Topology) {
    let access = topology.accesses().remove(0);
    let address = topology.daemons[0].caller_address();
    until("the daemon takes no new callers", || async {
        access.connect(address, None).await.is_err().then_some(())
    })
    .await
    .expect("the stop is seen");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_in_progress_ends_before_the_daemon_does() {
    let mut topology = start(deployment(), None).await;
    let idle = connect(&topology, 0, "idle").await;
    assert!(commits_during_stop(&mut topology, true).await);
    let late = idle.client.simple_query("SELECT 1").await;
    let told = late.expect_err("the stopped daemon serves nobody");
    let told_to_come_back = told.code() == Some(&SqlState::ADMIN_SHUTDOWN);
    assert!(told_to_come_back || told.is_closed(), "{told:?}");
    let status = topology.daemons[0].process_mut().wait().await;
    assert!(status.expect("the daemon ends").success());
    let rows = rows_at_primary(&topology).await;
    assert!(rows.contains(&row(1)) && rows.contains(&row(2)), "{rows:?}");
}

/// Stops the first daemon while sessions roam; returns what they were told.
async fn report_of_stop_under_load() -> Report {
    let mut topology = start(deployment(), None).await;
    let settings = load(&topology, SESSIONS, OPERATIONS, Mix::default());
    let sessions = tokio::spawn(async move { run(&settings, CancellationToken::new()).await });
    until("the sessions write", || async {
        (rows_at_primary(&topology).await.len() > SESSIONS).then_some(())
    })
    .await
    .expect("the sessions write");
    let process = topology.daemons[0].process_mut();
    process.terminate().expect("the stop begins");
    let status = process.wait().await.expect("the daemon ends");
    assert!(status.success());
    let sessions = sessions.await.expect("the sessions end").sessions;
    judge(&topology, sessions).await
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_of_roaming_sessions_is_cut() {
    let report = report_of_stop_under_load().await;
    assert!(report.is_clean(), "{:?}", report.details);
    assert_eq!(report.operations.writes_may_have_run, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_is_killed_does_cut_the_transaction() {
    let mut topology = start(deployment(), None).await;
    assert!(!commits_during_stop(&mut topology, false).await);
}
