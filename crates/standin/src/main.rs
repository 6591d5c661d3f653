//! `stilequay-standin`: runs the stand-ins as processes of their own.

mod logs;

use std::process::ExitCode;
use stilequay_standin::command_line::CommandError;
use stilequay_standin::{faults, group, platform};

const USAGE: &str = "\
Usage: stilequay-standin SUBCOMMAND [options]

Subcommands:
    platform    table service, object store and machine list
    faults      fault-injecting TCP proxy and UDP relay
    group       replicated database group

Each prints one line of JSON on standard output once it serves; logs go to
standard error. SUBCOMMAND --help shows its options.
";

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    if let Err(error) = logs::start() {
        eprintln!("cannot start logging: {error}");
        return ExitCode::from(EXIT_FAILURE);
    }
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Usage(reason)) => {
            eprintln!("{reason}\n\n{USAGE}");
            ExitCode::from(EXIT_USAGE)
        }
        Err(error) => {
            log::error!(error:% = error; "stopped");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

async fn run(arguments: &[String]) -> Result<(), CommandError> {
    let Some((subcommand, rest)) = arguments.split_first() else {
        return Err(CommandError::Usage("no subcommand given".to_owned()));
    };
    match subcommand.as_str() {
        "platform" => platform::command::run(rest).await,
        "faults" => faults::command::run(rest).await,
        "group" => group::command::run(rest).await,
        "-h" | "--help" => {
            print!("{USAGE}");
            Ok(())
        }
        _ => {
            let reason = format!("unknown subcommand: {subcommand}");
            Err(CommandError::Usage(reason))
        }
    }
}
