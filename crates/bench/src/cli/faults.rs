//! `stilequay-bench faults`: a random schedule of faults under load.

use super::flags::{self, CommandError, Verdict};
use super::progress;
use crate::experiment::faults::{FaultFigures, FaultSettings, Mutant, run};
use crate::launch::Deployment;
use crate::launch::daemon::NetworkDelays;
use crate::results;
use getopts::{Matches, Options};
use std::time::Duration;
use stilequay_daemon::domain::resource::Consistency;

/// Daemons of a run.
const DAEMONS: usize = 3;

/// Delays of the network: long enough for requests to be under way when faults begin.
const DELAYS: NetworkDelays = NetworkDelays {
    caller_micros: 300,
    peer_micros: 500,
    member_micros: 1_000,
};

/// Runs the subcommand.
pub async fn run_command(arguments: &[String]) -> Result<Verdict, CommandError> {
    let usage = "faults [options]";
    let Some(matches) = flags::parse(options(), usage, arguments)? else {
        return Ok(Verdict::Clean);
    };
    flags::no_arguments(&matches)?;
    let first: u64 = flags::value(&matches, "seed", 1)?;
    let seeds: u64 = flags::value(&matches, "seeds", 1)?;
    let mut runs = Vec::new();
    for seed in first..first + seeds {
        let figures = run(&settings(&matches, seed)?).await?;
        progress::print(&figures);
        runs.push(figures);
    }
    let name = match matches.opt_str("mutant") {
        Some(mutant) => format!("faults-{mutant}"),
        None => "faults".to_owned(),
    };
    let path = results::write(&name, &runs)?;
    println!("written to {}", path.display());
    let violations = |figures: &FaultFigures| figures.violations.total();
    Ok(Verdict::of(runs.iter().map(violations).sum()))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the first run (default 1)", "N");
    options.optopt(
        "",
        "seeds",
        "runs, each with the next seed (default 1)",
        "N",
    );
    options.optopt(
        "",
        "seconds",
        "time during which faults begin (default 30)",
        "N",
    );
    options.optopt(
        "",
        "mutant",
        "a guarantee that the daemons leave out",
        "NAME",
    );
    options.optopt(
        "",
        "consistency",
        "strong or session; by turns if absent",
        "NAME",
    );
    options
}

fn settings(matches: &Matches, seed: u64) -> Result<FaultSettings, CommandError> {
    let mutant = matches.opt_str("mutant").map(|name| name.parse::<Mutant>());
    let mut deployment = Deployment::small(DAEMONS);
    deployment.delays = DELAYS;
    deployment.policy.consistency = consistency(matches, seed)?;
    Ok(FaultSettings {
        seed,
        length: Duration::from_secs(flags::value(matches, "seconds", 30)?),
        mutant: mutant.transpose()?,
        deployment,
    })
}

fn consistency(matches: &Matches, seed: u64) -> Result<Consistency, CommandError> {
    match matches.opt_str("consistency").as_deref() {
        Some("strong") => Ok(Consistency::Strong),
        Some("session") => Ok(Consistency::Session),
        Some(other) => Err(CommandError::Usage(format!("--consistency: {other}"))),
        None if seed.is_multiple_of(2) => Ok(Consistency::Strong),
        None => Ok(Consistency::Session),
    }
}
