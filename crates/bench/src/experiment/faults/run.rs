//! One run: a schedule of faults, and roaming sessions meanwhile.

use super::injector::Injector;
use super::mutant::Mutant;
use super::schedule::{Fault, ScheduledFault, Targets, schedule};
use crate::checker::{OperationCounts, Report, Violation, ViolationCounts, check};
use crate::experiment::final_states::{self, ReplacedRows};
use crate::experiment::mixed_load;
use crate::history::History;
use crate::launch::group::Lag;
use crate::launch::{Deployment, LaunchError, Topology};
use crate::load;
use serde::Serialize;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

/// Violations that a result names; all are counted.
const NAMED_VIOLATIONS: usize = 20;

/// Replay lag of the last member of each group when the faults begin, so that
/// stale reads are possible at any time.
const BASE_LAG: Lag = Lag {
    receive_ms: 0,
    replay_ms: 150,
};

/// A run.
#[derive(Debug, Clone)]
pub struct FaultSettings {
    /// Seed of the schedule and of the sessions.
    pub seed: u64,
    /// Time during which faults begin.
    pub length: Duration,
    /// A guarantee to leave out.
    pub mutant: Option<Mutant>,
    /// What is started.
    pub deployment: Deployment,
}

/// What a run found.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct FaultFigures {
    /// The seed.
    pub seed: u64,
    /// The guarantee that was left out.
    pub mutant: Option<Mutant>,
    /// Faults that were carried out.
    pub faults: usize,
    /// Operations by outcome.
    pub operations: OperationCounts,
    /// Violations by kind.
    pub violations: ViolationCounts,
    /// Some of the violations.
    pub examples: Vec<Violation>,
}

/// Runs the schedule of `settings` and checks what the sessions were told.
pub async fn run(settings: &FaultSettings) -> Result<FaultFigures, LaunchError> {
    let mut deployment = settings.deployment.clone();
    let mutant_settings = settings.mutant.map(Mutant::daemon_settings);
    deployment
        .daemon_settings
        .extend(mutant_settings.unwrap_or_default());
    let mut topology = Topology::start(deployment).await?;
    mixed_load::prepare_all(&topology).await?;
    for group in &topology.groups {
        if let Some(member) = group.members.last() {
            group.set_lag(&member.name, BASE_LAG).await?;
        }
    }
    let faults = schedule(settings.seed, settings.length, targets(&topology));
    let load_settings = mixed_load::settings(&topology, settings.seed);
    let stop = CancellationToken::new();
    let sessions = {
        let stop = stop.clone();
        tokio::spawn(async move { load::run(&load_settings, stop).await })
    };
    let replaced = inject(&mut topology, &faults).await?;
    topology.heal().await?;
    topology.serves().await?;
    stop.cancel();
    let ended = sessions.await;
    let result = ended.map_err(|error| LaunchError::Settings(error.to_string()))?;
    let history = History {
        sessions: result.sessions,
        groups: final_states::collect(&topology, replaced).await?,
    };
    let report = check(&history, mixed_load::promise(&topology));
    Ok(figures(settings, faults.len(), &report))
}

fn targets(topology: &Topology) -> Targets {
    Targets {
        daemons: topology.daemons.len(),
        groups: topology.groups.len(),
        members: topology.groups[0].members.len(),
    }
}

fn figures(settings: &FaultSettings, faults: usize, report: &Report) -> FaultFigures {
    FaultFigures {
        seed: settings.seed,
        mutant: settings.mutant,
        faults,
        operations: report.operations,
        violations: report.violations,
        examples: report
            .details
            .iter()
            .take(NAMED_VIOLATIONS)
            .cloned()
            .collect(),
    }
}

/// The beginning or the end of a fault.
struct Moment {
    at: Duration,
    is_end: bool,
    fault: Fault,
}

async fn inject(
    topology: &mut Topology,
    faults: &[ScheduledFault],
) -> Result<ReplacedRows, LaunchError> {
    let mut moments = Vec::new();
    for scheduled in faults {
        for (at, is_end) in [(scheduled.begins, false), (scheduled.ends, true)] {
            let fault = scheduled.fault;
            moments.push(Moment { at, is_end, fault });
        }
    }
    moments.sort_by_key(|moment| moment.at);
    let started = Instant::now();
    let mut injector = Injector::new(topology);
    for moment in moments {
        sleep_until((started + moment.at).into()).await;
        match moment.is_end {
            false => injector.begin(moment.fault).await?,
            true => injector.end(moment.fault).await?,
        }
    }
    Ok(injector.into_replaced_rows())
}
