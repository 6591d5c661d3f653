//! A session reads its own writes, also through another daemon, although both
//! replicas are seconds behind.

mod support;

use stilequay_bench::experiment::faults::Mutant;
use stilequay_bench::history::WriteOutcome;
use stilequay_bench::launch::Topology;
use stilequay_bench::launch::group::Lag;
use support::{connect, deployment, row, shows, start, write};

/// Far longer than any read takes.
const LAG: Lag = Lag {
    receive_ms: 0,
    replay_ms: 600_000,
};
/// Writes, each read back at every daemon.
const ROUNDS: u64 = 10;

async fn start_with_lagging_replicas(mutant: Option<Mutant>) -> Topology {
    let topology = start(deployment(), mutant).await;
    let group = &topology.groups[0];
    for member in &group.members {
        group
            .set_lag(&member.name, LAG)
            .await
            .expect("the lag is set");
    }
    topology
}

/// Reads that missed a write that was acknowledged to the same session.
async fn missed_reads(topology: &Topology) -> usize {
    let mut missed = 0;
    for round in 1..=ROUNDS {
        let writer = round as usize % topology.daemons.len();
        let connection = connect(topology, writer, "roamer").await;
        let outcome = write(&connection, &row(round)).await;
        assert_eq!(outcome, WriteOutcome::Acknowledged);
        for reader in 0..topology.daemons.len() {
            let connection = connect(topology, reader, "roamer").await;
            missed += usize::from(!shows(&connection, &row(round)).await);
        }
    }
    missed
}

#[tokio::test(flavor = "multi_thread")]
async fn a_roaming_session_reads_its_own_writes_from_lagging_replicas() {
    let topology = start_with_lagging_replicas(None).await;
    assert_eq!(missed_reads(&topology).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_barrier_the_same_session_misses_its_writes() {
    let topology = start_with_lagging_replicas(Some(Mutant::SkipBarrier)).await;
    assert!(missed_reads(&topology).await > 0);
}
