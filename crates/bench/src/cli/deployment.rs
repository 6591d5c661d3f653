//! `stilequay-bench deployment`: an example deployment as separate processes.

use super::flags::{self, CommandError, Verdict};
use super::progress;
use crate::experiment::added_latency::{self, AddedLatency};
use crate::experiment::failover::{self, FailoverFigures, PrimaryLoss};
use crate::experiment::mixed_load::{self, LoadFigures};
use crate::launch::operator::OPERATOR_TOKEN;
use crate::launch::{Deployment, LaunchError, Topology, resources};
use crate::results;
use getopts::Options;
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;

/// Directory of the example deployments.
const EXAMPLES: &str = "examples";
/// Rounds of the comparison with a direct connection.
const LATENCY_ROUNDS: usize = 300;

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct DeploymentFigures {
    deployment: String,
    load: LoadFigures,
    added_latency: AddedLatency,
    failovers: Vec<FailoverFigures>,
}

/// Runs the subcommand.
pub async fn run_command(arguments: &[String]) -> Result<Verdict, CommandError> {
    let usage = "deployment NAME [options]";
    let Some(matches) = flags::parse(options(), usage, arguments)? else {
        return Ok(Verdict::Clean);
    };
    let name = flags::only_argument(&matches, "the name of a deployment")?;
    let directory = PathBuf::from(EXAMPLES).join(&name);
    let seconds: u64 = flags::value(&matches, "seconds", 10)?;
    let failovers: usize = flags::value(&matches, "failovers", 3)?;
    let topology = Topology::start(Deployment::load(&directory)?).await?;
    if matches.opt_present("hold") {
        return hold(&topology).await;
    }
    mixed_load::prepare_all(&topology).await?;
    eprintln!("load for {seconds} s");
    let load = mixed_load::measure(&topology, Duration::from_secs(seconds), 1).await?;
    eprintln!("comparison with a direct connection");
    let added_latency = added_latency::measure(&topology, LATENCY_ROUNDS).await?;
    let mut figures = DeploymentFigures {
        deployment: name.clone(),
        load,
        added_latency,
        failovers: Vec::new(),
    };
    for loss in PrimaryLoss::ALL.into_iter().filter(|_| failovers > 0) {
        eprintln!("{failovers} failovers by {loss:?}");
        let measured = failover::measure(&topology, loss, failovers).await?;
        figures.failovers.push(measured);
    }
    progress::print(&figures);
    let path = results::write(&format!("deployment-{name}"), &figures)?;
    println!("written to {}", path.display());
    Ok(Verdict::of(figures.load.violations.total()))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seconds", "length of the load (default 10)", "N");
    options.optopt("", "failovers", "failovers of each kind (default 3)", "N");
    options.optflag("", "hold", "run no load; keep everything up until Ctrl-C");
    options
}

/// Prints where everything is and waits for Ctrl-C.
async fn hold(topology: &Topology) -> Result<Verdict, CommandError> {
    for group in &topology.groups {
        println!("database group {}:", group.deployment.name);
        for member in &group.members {
            println!("  {} at {}", member.name, member.direct_address);
        }
    }
    for daemon in &topology.daemons {
        let callers = daemon.caller_address();
        let api = daemon.api_address();
        println!(
            "daemon {}: callers {callers}, API http://{api}",
            daemon.settings.node
        );
    }
    let access = resources::access(&topology.groups[0].deployment.name);
    let callers = topology.daemons[0].caller_address();
    println!("bearer token: {OPERATOR_TOKEN}");
    println!(
        "psql 'host={} port={} user={} password={} dbname={}'",
        callers.ip(),
        callers.port(),
        access.user,
        access.password,
        access.database
    );
    println!("end with Ctrl-C");
    let signal = tokio::signal::ctrl_c().await;
    signal.map_err(|error| LaunchError::Settings(error.to_string()))?;
    Ok(Verdict::Clean)
}
