//! No write is acknowledged by a primary that was replaced: one that is cut off
//! from its group still takes writes from the daemons, and loses them.

mod support;

use std::path::PathBuf;
use stilequay_bench::experiment::faults::Mutant;
use stilequay_bench::history::{Row, WriteOutcome};
use stilequay_bench::launch::group::MemberFault;
use support::{connect, deployment, row, rows_at_primary, start, write};

/// Writes before and after the cut.
const WRITES: u64 = 5;

/// Rows that were acknowledged and that the group has lost.
async fn lost_acknowledgements(mutant: Option<Mutant>) -> Vec<Row> {
    let mut deployment = deployment();
    let manifest = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    deployment.groups[0].file = Some(manifest.join("tests/slow_election.toml"));
    let topology = start(deployment, mutant).await;
    let group = &topology.groups[0];
    let connection = connect(&topology, 0, "writer").await;
    let mut acknowledged = Vec::new();
    for number in 1..=WRITES {
        assert_eq!(
            write(&connection, &row(number)).await,
            WriteOutcome::Acknowledged
        );
        acknowledged.push(row(number));
    }
    let replaced = group.primary().await.expect("a primary");
    let cut = group.fault(&replaced.name, MemberFault::Cut).await;
    cut.expect("the primary is cut off");
    for number in WRITES + 1..=2 * WRITES {
        let daemon = number as usize % topology.daemons.len();
        let connection = connect(&topology, daemon, "writer").await;
        if write(&connection, &row(number)).await == WriteOutcome::Acknowledged {
            acknowledged.push(row(number));
        }
    }
    let successor = group.primary_after(replaced.term).await;
    successor.expect("a successor is elected");
    group.heal().await.expect("the group heals");
    let lasting = rows_at_primary(&topology).await;
    acknowledged.retain(|row| !lasting.contains(row));
    acknowledged
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_primary_acknowledges_nothing_that_its_successor_lacks() {
    assert_eq!(lost_acknowledgements(None).await, Vec::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn without_confirmation_acknowledged_writes_are_lost() {
    let lost = lost_acknowledgements(Some(Mutant::SkipConfirmation)).await;
    assert_ne!(lost, Vec::new());
}
