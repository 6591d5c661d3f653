//! The subcommand and the order of its phases.

use super::coordinator::Fleet;
use super::layout::Layout;
use super::result::FleetResult;
use super::{experiments, recovery, worker};
use crate::cli::flags::{self, CommandError, Verdict};
use crate::launch::LaunchError;
use crate::results;
use getopts::{Matches, Options};
use std::io;
use std::process::Command;
use std::time::Duration;

/// Changes are accepted this many times as often as at the target, still apart.
const CHANGES_TIMES_TARGET: f64 = 10.0;

/// The rate of the burst, in times of the target's.
const BURST_TIMES_TARGET: f64 = 100.0;

/// The rate of restarts, in times of the target's.
const RESTARTS_TIMES_TARGET: f64 = 300.0;

/// The longest that the daemons may take to meet after the start.
const MEETING_LIMIT: Duration = Duration::from_secs(120);

/// The phases, in their order.
const PHASES: [&str; 9] = [
    "steady", "changes", "burst", "restarts", "tenth", "relays", "zone", "region", "platform",
];

/// What a run does.
struct Plan {
    layout: Layout,
    daemons: usize,
    processes: usize,
    length: Duration,
    phases: Vec<String>,
    name: String,
}

/// Runs the subcommand.
pub async fn run_command(arguments: &[String]) -> Result<Verdict, CommandError> {
    let Some(matches) = flags::parse(options(), "fleet [options]", arguments)? else {
        return Ok(Verdict::Clean);
    };
    flags::no_arguments(&matches)?;
    if matches.opt_present("worker") {
        worker::run().await.map_err(failed)?;
        return Ok(Verdict::Clean);
    }
    let plan = plan(&matches)?;
    let result = measure(&plan).await.map_err(failed)?;
    let path = results::write(&plan.name, &result)?;
    println!("written to {}", path.display());
    Ok(Verdict::of(result.reversions as u64))
}

fn failed(error: io::Error) -> CommandError {
    CommandError::Run(LaunchError::Start("fleet".to_owned(), error))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "daemons", "hollow daemons (default 250)", "N");
    options.optopt("", "processes", "processes they share (default 8)", "N");
    options.optopt("", "zones", "zones (default 11)", "N");
    options.optopt("", "regions", "regions (default 4)", "N");
    options.optopt("", "seconds", "length of a phase (default 20)", "N");
    options.optopt("", "phases", "phases, by commas (default all)", "LIST");
    options.optopt("", "name", "name of the result (default fleet-N)", "NAME");
    options.optflag("", "worker", "for the command's own use");
    options
}

fn plan(matches: &Matches) -> Result<Plan, CommandError> {
    let daemons = flags::value(matches, "daemons", 250)?;
    let phases = match matches.opt_str("phases") {
        Some(list) => list.split(',').map(str::to_owned).collect(),
        None => PHASES.map(str::to_owned).to_vec(),
    };
    if let Some(unknown) = phases.iter().find(|name| !PHASES.contains(&name.as_str())) {
        return Err(CommandError::Usage(format!("unknown phase: {unknown}")));
    }
    let plan = Plan {
        layout: Layout {
            zones: flags::value(matches, "zones", 11)?,
            regions: flags::value(matches, "regions", 4)?,
        },
        daemons,
        processes: flags::value(matches, "processes", 8)?,
        length: Duration::from_secs(flags::value(matches, "seconds", 20)?),
        phases,
        name: flags::value(matches, "name", format!("fleet-{daemons}"))?,
    };
    let sensible = (1..=200).contains(&plan.layout.zones)
        && (1..=plan.layout.zones).contains(&plan.layout.regions)
        && (1..=100).contains(&plan.processes)
        && plan.daemons > 0;
    if !sensible {
        return Err(CommandError::Usage(
            "from 1 to 200 zones, at least one region, 1 to 100 processes, a daemon".to_owned(),
        ));
    }
    Ok(plan)
}

async fn measure(plan: &Plan) -> io::Result<FleetResult> {
    let started = std::time::Instant::now();
    let mut fleet = Fleet::start(plan.layout, plan.daemons, plan.processes).await?;
    let mut result = FleetResult {
        commit: commit(),
        daemons: plan.daemons,
        processes: plan.processes,
        zones: plan.layout.zones,
        regions: plan.layout.regions,
        ..FleetResult::default()
    };
    while result.met.is_none() && started.elapsed() < MEETING_LIMIT {
        let settled = experiments::settle(&mut fleet).await?;
        result.met = settled.map(|_| started.elapsed().as_secs_f64());
    }
    eprintln!("met: {:?}", result.met);
    for phase in &plan.phases {
        run_phase(phase, plan, &mut fleet, &mut result).await?;
        let usage = fleet.usage().await?;
        let resident = usage.iter().map(|part| part.resident_bytes).sum();
        result.resident_bytes_all = result.resident_bytes_all.max(resident);
    }
    result.reversions = fleet.progress().await?.reversions;
    Ok(result)
}

async fn run_phase(
    phase: &str,
    plan: &Plan,
    fleet: &mut Fleet,
    result: &mut FleetResult,
) -> io::Result<()> {
    let length = plan.length;
    match phase {
        "steady" => {
            result.steady = Some(experiments::steady(fleet, length).await?);
            show(phase, &result.steady);
        }
        "changes" => {
            let rate = CHANGES_TIMES_TARGET;
            result.changes = Some(experiments::changes(fleet, length, rate).await?);
            show(phase, &result.changes);
        }
        "burst" => {
            let rate = BURST_TIMES_TARGET;
            result.burst = Some(experiments::changes(fleet, length / 2, rate).await?);
            show(phase, &result.burst);
        }
        "restarts" => {
            let rate = RESTARTS_TIMES_TARGET;
            result.restarts = Some(experiments::restarts(fleet, length, rate).await?);
            show(phase, &result.restarts);
        }
        "tenth" => {
            result.tenth_killed = Some(recovery::kill_tenth(fleet).await?);
            show(phase, &result.tenth_killed);
        }
        "relays" => {
            result.relays_killed = Some(recovery::kill_relays(fleet).await?);
            show(phase, &result.relays_killed);
        }
        "zone" => {
            result.zone_lost = Some(recovery::lose_zone(fleet, 0).await?);
            show(phase, &result.zone_lost);
        }
        "region" => {
            result.region_cut = Some(recovery::cut_region(fleet, 0, length * 2).await?);
            show(phase, &result.region_cut);
        }
        _ => {
            result.platform_down = Some(recovery::platform_down(fleet, length).await?);
            show(phase, &result.platform_down);
        }
    }
    Ok(())
}

fn show(phase: &str, figures: &impl serde::Serialize) {
    match serde_json::to_string(figures) {
        Ok(text) => eprintln!("{phase}: {text}"),
        Err(error) => eprintln!("{phase}: {error}"),
    }
}

/// The commit in the working directory, as far as `git` knows it.
fn commit() -> String {
    let output = Command::new("git")
        .args(["describe", "--always", "--dirty"])
        .output();
    output
        .map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned())
        .unwrap_or_default()
}
