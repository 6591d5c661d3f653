//! Transactions never mix, although callers share few connections, roll back, and
//! leave in mid-transaction.

mod support;

use stilequay_bench::checker::Report;
use stilequay_bench::experiment::faults::Mutant;
use stilequay_bench::load::Mix;
use support::{deployment, load, run_and_check, start};

const SESSIONS: usize = 8;
const OPERATIONS: usize = 30;
/// Fewer than there are sessions, so that connections go from caller to caller.
const CONNECTIONS: u32 = 6;

const MIX: Mix = Mix {
    writes: 0.8,
    transactions: 0.8,
    rollbacks: 0.3,
    abandons: 0.3,
    shared: 0.5,
    prepared: 0.5,
    roaming: 0.3,
};

async fn report(mutant: Option<Mutant>) -> Report {
    let mut deployment = deployment();
    deployment.groups[0].connections_per_member = CONNECTIONS;
    let topology = start(deployment, mutant).await;
    run_and_check(&topology, &load(&topology, SESSIONS, OPERATIONS, MIX)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn abandoned_and_rolled_back_transactions_leave_nothing_in_others() {
    let report = report(None).await;
    assert!(report.is_clean(), "{:?}", report.details);
    assert!(report.operations.writes_acknowledged > 0);
    assert!(report.operations.writes_rolled_back > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_connections_returned_in_a_transaction_the_checker_finds_mixtures() {
    let report = report(Some(Mutant::ReturnDirtyConnections)).await;
    let violations = report.violations;
    assert!(violations.mixed + violations.lost > 0, "{violations:?}");
}
