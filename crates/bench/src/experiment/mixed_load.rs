//! A mixed load on a healthy topology, with the checker's verdict.

use super::final_states::{self, ReplacedRows};
use super::replica_reads::ReadCounts;
use crate::checker::{OperationCounts, ReadPromise, ViolationCounts, check};
use crate::history::History;
use crate::launch::{LaunchError, Topology};
use crate::load::latency::LatencySummary;
use crate::load::run::prepare;
use crate::load::{LoadResult, LoadSettings, run};
use serde::Serialize;
use std::time::Duration;
use stilequay_daemon::domain::resource::Consistency;
use tokio_util::sync::CancellationToken;

/// Figures of one run.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct LoadFigures {
    /// Length of the run, seconds.
    pub seconds: f64,
    /// Sessions that ran side by side.
    pub sessions: usize,
    /// Operations answered each second.
    pub operations_per_second: f64,
    /// Latency of reads.
    pub reads: LatencySummary,
    /// Latency of writes of one statement.
    pub writes: LatencySummary,
    /// Latency of transactions, from BEGIN to the answer to COMMIT.
    pub transactions: LatencySummary,
    /// Share of reads that replicas served.
    pub replica_read_share: Option<f64>,
    /// Operations by outcome.
    pub operations: OperationCounts,
    /// Violations by kind.
    pub violations: ViolationCounts,
}

/// The load that a topology's deployment describes.
pub fn settings(topology: &Topology, seed: u64) -> LoadSettings {
    let load = &topology.deployment.load;
    LoadSettings {
        endpoints: topology.caller_addresses(),
        databases: topology.accesses(),
        sessions: load.sessions,
        named: true,
        mix: load.mix,
        think_time: load.think_time(),
        operations: None,
        seed,
    }
}

/// What the reads of a topology are promised.
pub fn promise(topology: &Topology) -> ReadPromise {
    match topology.deployment.policy.consistency {
        Consistency::Strong => ReadPromise::Strong,
        Consistency::Session => ReadPromise::Session,
        Consistency::BoundedStaleness => ReadPromise::Stale,
    }
}

/// Makes the tables in all groups.
pub async fn prepare_all(topology: &Topology) -> Result<(), LaunchError> {
    let address = topology.daemons[0].direct_caller_address();
    for access in topology.accesses() {
        prepare(&access, address).await?;
    }
    Ok(())
}

/// Runs the deployment's load for `duration` and checks it.
pub async fn measure(
    topology: &Topology,
    duration: Duration,
    seed: u64,
) -> Result<LoadFigures, LaunchError> {
    let before = ReadCounts::collect(topology).await?;
    let settings = settings(topology, seed);
    let result = run(&settings, stop_after(duration)).await;
    let share = ReadCounts::collect(topology).await?.share_since(&before);
    let (figures, history) = figures(&settings, result, share);
    let history = History {
        groups: final_states::collect(topology, ReplacedRows::new()).await?,
        ..history
    };
    let report = check(&history, promise(topology));
    Ok(LoadFigures {
        operations: report.operations,
        violations: report.violations,
        ..figures
    })
}

/// A token that is cancelled after `duration`.
pub fn stop_after(duration: Duration) -> CancellationToken {
    let stop = CancellationToken::new();
    let timer = stop.clone();
    tokio::spawn(async move {
        tokio::time::sleep(duration).await;
        timer.cancel();
    });
    stop
}

fn figures(
    settings: &LoadSettings,
    result: LoadResult,
    replica_read_share: Option<f64>,
) -> (LoadFigures, History) {
    let reads = result.latencies.reads.summary();
    let writes = result.latencies.writes.summary();
    let transactions = result.latencies.transactions.summary();
    let answered = reads.count + writes.count + transactions.count;
    let seconds = result.elapsed.as_secs_f64();
    let figures = LoadFigures {
        seconds,
        sessions: settings.sessions,
        operations_per_second: answered as f64 / seconds,
        reads,
        writes,
        transactions,
        replica_read_share,
        operations: OperationCounts::default(),
        violations: ViolationCounts::default(),
    };
    let history = History {
        sessions: result.sessions,
        ..History::default()
    };
    (figures, history)
}
