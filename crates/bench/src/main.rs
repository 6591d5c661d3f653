//! `stilequay-bench`: load, experiments with faults, and their verdicts.

use std::process::ExitCode;
use stilequay_bench::cli::flags::{CommandError, Verdict};
use stilequay_bench::cli::{data_path, deployment, faults, load};

const USAGE: &str = "\
Usage: stilequay-bench SUBCOMMAND [options]

Subcommands:
    load          a load on daemons that run already
    deployment    an example deployment as separate processes, with its load
    faults        random faults under load, judged by the history checker
    data-path     what the data path costs a daemon

SUBCOMMAND --help shows its options. Exit codes: 0 no violation, 1 a violation
or a failure, 2 wrong flags.
";

/// Exit code: a violation, or a failure.
const FAILURE: u8 = 1;
/// Exit code: wrong flags.
const WRONG_FLAGS: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments).await {
        Ok(Verdict::Clean) => ExitCode::SUCCESS,
        Ok(Verdict::Violated) => ExitCode::from(FAILURE),
        Err(CommandError::Usage(reason)) => {
            eprintln!("stilequay-bench: {reason}\n\n{USAGE}");
            ExitCode::from(WRONG_FLAGS)
        }
        Err(error) => {
            eprintln!("stilequay-bench: {error}");
            ExitCode::from(FAILURE)
        }
    }
}

async fn run(arguments: &[String]) -> Result<Verdict, CommandError> {
    let Some((subcommand, rest)) = arguments.split_first() else {
        return Err(CommandError::Usage("no subcommand given".to_owned()));
    };
    match subcommand.as_str() {
        "load" => load::run_command(rest).await,
        "deployment" => deployment::run_command(rest).await,
        "faults" => faults::run_command(rest).await,
        "data-path" => data_path::run_command(rest).await,
        "-h" | "--help" => {
            print!("{USAGE}");
            Ok(Verdict::Clean)
        }
        other => Err(CommandError::Usage(format!("unknown subcommand: {other}"))),
    }
}
