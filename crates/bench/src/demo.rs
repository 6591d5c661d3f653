//! `stilequay-demo`: platform, two database groups and three daemons in one process.

use getopts::Options;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use stilequay_bench::demonstration::{CheckResult, Demonstration};
use stilequay_bench::launch::LaunchError;
use stilequay_daemon::logging;
use stilequay_daemon::settings::{LogLevel, LogSettings};
use stilequay_engine::events;

/// Exit code: the check found a violation, or something failed.
const FAILURE: u8 = 1;
/// Exit code: wrong flags.
const WRONG_FLAGS: u8 = 2;
/// Length of the check, seconds.
const DEFAULT_SECONDS: u64 = 3;

/// What the command line asks for.
enum Command {
    Help,
    Serve,
    Check(Duration),
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = match read_command_line() {
        Ok(command) => command,
        Err(reason) => {
            eprintln!("stilequay-demo: {reason}");
            return ExitCode::from(WRONG_FLAGS);
        }
    };
    let settings = LogSettings {
        level: LogLevel::Error,
        // What became of requests that failed.
        targets: [(events::TARGET.to_owned(), LogLevel::Warn)].into(),
    };
    if let Err(error) = logging::start(&settings) {
        eprintln!("stilequay-demo: {error}");
    }
    let done = match command {
        Command::Help => {
            print!("{}", options().usage("Usage: stilequay-demo [options]"));
            return ExitCode::SUCCESS;
        }
        Command::Serve => serve().await,
        Command::Check(duration) => check(duration).await,
    };
    match done {
        Ok(code) => code,
        Err(error) => {
            eprintln!("stilequay-demo: {error}");
            ExitCode::from(FAILURE)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag(
        "",
        "check",
        "check session consistency, print figures and end",
    );
    options.optopt("", "seconds", "length of the check", "N");
    options.optflag("h", "help", "print this help");
    options
}

fn read_command_line() -> Result<Command, String> {
    let matches = options()
        .parse(std::env::args().skip(1))
        .map_err(|fail| fail.to_string())?;
    if let Some(extra) = matches.free.first() {
        return Err(format!("unexpected argument: {extra}"));
    }
    let seconds = matches.opt_get_default("seconds", DEFAULT_SECONDS);
    let seconds = seconds.map_err(|error| format!("--seconds: {error}"))?;
    Ok(
        match (matches.opt_present("help"), matches.opt_present("check")) {
            (true, _) => Command::Help,
            (false, true) => Command::Check(Duration::from_secs(seconds)),
            (false, false) => Command::Serve,
        },
    )
}

async fn serve() -> Result<ExitCode, LaunchError> {
    let started = Instant::now();
    let demonstration = Demonstration::start().await?;
    println!("{}", demonstration.describe());
    println!(
        "serving after {:.1} s; end with Ctrl-C",
        started.elapsed().as_secs_f64()
    );
    // An error means that no signal can be received: then it ends at once.
    let _ = tokio::signal::ctrl_c().await;
    demonstration.stop().await;
    Ok(ExitCode::SUCCESS)
}

async fn check(duration: Duration) -> Result<ExitCode, LaunchError> {
    let demonstration = Demonstration::start().await?;
    let result = demonstration.check(duration).await?;
    print_figures(&result);
    demonstration.stop().await;
    let did_something = result.report.operations.writes_acknowledged > 0
        && result.report.operations.reads_answered > 0;
    match result.report.is_clean() && did_something {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(FAILURE)),
    }
}

fn print_figures(result: &CheckResult) {
    let operations = result.report.operations;
    let violations = result.report.violations;
    let reads = result.load.latencies.reads.summary();
    let writes = result.load.latencies.writes.summary();
    println!("seconds: {:.1}", result.load.elapsed.as_secs_f64());
    println!("operations: {operations:?}");
    println!(
        "read latency: p50 {:.2} ms, p99 {:.2} ms",
        reads.p50_millis, reads.p99_millis
    );
    println!(
        "write latency: p50 {:.2} ms, p99 {:.2} ms",
        writes.p50_millis, writes.p99_millis
    );
    println!("violations: {violations:?}");
    for violation in &result.report.details {
        println!("violation: {violation:?}");
    }
}
