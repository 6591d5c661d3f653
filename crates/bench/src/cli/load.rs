//! `stilequay-bench load`: a load on daemons that run already.

use super::flags::{self, CommandError, Verdict};
use super::progress;
use crate::checker::{ReadPromise, check};
use crate::history::{FinalState, History};
use crate::launch::LaunchError;
use crate::load::latency::LatencySummary;
use crate::load::run::{all_rows, prepare};
use crate::load::{Access, LoadSettings, Mix, run};
use crate::results;
use getopts::{Matches, Options};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use stilequay_daemon::domain::names::GroupName;

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct LoadReport {
    seconds: f64,
    reads: LatencySummary,
    writes: LatencySummary,
    transactions: LatencySummary,
    operations: crate::checker::OperationCounts,
    violations: crate::checker::ViolationCounts,
}

/// Runs the subcommand.
pub async fn run_command(arguments: &[String]) -> Result<Verdict, CommandError> {
    let usage = "load --endpoint IP:PORT... --database NAME... [options]";
    let Some(matches) = flags::parse(options(), usage, arguments)? else {
        return Ok(Verdict::Clean);
    };
    flags::no_arguments(&matches)?;
    let settings = settings(&matches)?;
    let duration = Duration::from_secs(flags::value(&matches, "seconds", 10)?);
    let promise = match matches.opt_present("strong") {
        true => ReadPromise::Strong,
        false => ReadPromise::Session,
    };
    for access in &settings.databases {
        prepare(access, settings.endpoints[0]).await?;
    }
    let mut result = run(&settings, progress::stop_after(duration)).await;
    let history = History {
        sessions: std::mem::take(&mut result.sessions),
        groups: final_states(&settings).await?,
    };
    let checked = check(&history, promise);
    let report = LoadReport {
        seconds: result.elapsed.as_secs_f64(),
        reads: result.latencies.reads.summary(),
        writes: result.latencies.writes.summary(),
        transactions: result.latencies.transactions.summary(),
        operations: checked.operations,
        violations: checked.violations,
    };
    progress::print(&report);
    let path = results::write("load", &report)?;
    println!("written to {}", path.display());
    Ok(Verdict::of(checked.violations.total()))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti("", "endpoint", "address of a daemon", "IP:PORT");
    options.optmulti("", "database", "a database group", "NAME");
    options.optopt("", "user", "the service", "NAME");
    options.optopt("", "password", "its password", "TEXT");
    options.optopt("", "sessions", "sessions side by side (default 12)", "N");
    options.optopt("", "seconds", "length of the run (default 10)", "N");
    options.optopt(
        "",
        "writes",
        "share of operations that write (default 0.2)",
        "X",
    );
    options.optopt("", "seed", "seed of all that is drawn (default 1)", "N");
    options.optflag("", "strong", "reads must see the writes of all sessions");
    options
}

fn settings(matches: &Matches) -> Result<LoadSettings, CommandError> {
    let endpoints: Result<Vec<SocketAddr>, _> = matches
        .opt_strs("endpoint")
        .iter()
        .map(|text| text.parse())
        .collect();
    let endpoints =
        endpoints.map_err(|error| CommandError::Usage(format!("--endpoint: {error}")))?;
    let user: String = flags::value(matches, "user", "bench".to_owned())?;
    let password: String = flags::value(matches, "password", "bench-password".to_owned())?;
    let databases = matches.opt_strs("database").into_iter();
    let databases: Vec<Access> = databases
        .map(|database| Access {
            user: user.clone(),
            password: password.clone(),
            database,
        })
        .collect();
    if endpoints.is_empty() || databases.is_empty() {
        let reason = "at least one --endpoint and one --database are needed";
        return Err(CommandError::Usage(reason.to_owned()));
    }
    let mix = Mix {
        writes: flags::value(matches, "writes", Mix::default().writes)?,
        ..Mix::default()
    };
    if !(0.0..=1.0).contains(&mix.writes) {
        return Err(CommandError::Usage(
            "--writes: not between 0 and 1".to_owned(),
        ));
    }
    Ok(LoadSettings {
        endpoints,
        databases,
        sessions: flags::value(matches, "sessions", 12)?,
        named: true,
        mix,
        think_time: Duration::ZERO,
        operations: None,
        seed: flags::value(matches, "seed", 1)?,
    })
}

/// The final states as a new session sees them.
async fn final_states(
    settings: &LoadSettings,
) -> Result<std::collections::BTreeMap<GroupName, FinalState>, LaunchError> {
    let mut states = std::collections::BTreeMap::new();
    for access in &settings.databases {
        let rows = all_rows(access, settings.endpoints[0]).await?;
        let state = FinalState {
            rows,
            discarded: Vec::new(),
        };
        states.insert(GroupName::new(access.database.clone()), state);
    }
    Ok(states)
}
