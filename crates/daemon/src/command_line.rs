//! The command line of `stilequayd`.

use crate::settings::{Override, SettingsError};
use getopts::{Matches, Options};
use quick_error::quick_error;
use std::path::PathBuf;

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Serve until told to stop.
    Run(SettingsSource),
    /// Check the settings and end.
    CheckConfig(SettingsSource),
    /// Print the default settings and end.
    PrintDefaultConfig,
    /// Print the version and end.
    PrintVersion,
    /// Print the help and end.
    PrintHelp,
}

/// Where the settings come from.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SettingsSource {
    /// The settings file.
    pub file: Option<PathBuf>,
    /// Single settings, stronger than the file.
    pub overrides: Vec<Override>,
}

quick_error! {
    /// Why the command line makes no sense.
    #[derive(Debug)]
    pub enum CommandLineError {
        /// A flag is unknown, or lacks its value.
        Flags(error: getopts::Fail) {
            from()
            display("{error}")
        }
        /// There are arguments besides flags.
        UnexpectedArgument(argument: String) {
            display("unexpected argument: {argument}")
        }
        /// A `--set` is malformed.
        Override(error: SettingsError) {
            from()
            display("{error}")
        }
    }
}

/// Reads the command line, without the program's name.
pub fn parse(arguments: &[String]) -> Result<Command, CommandLineError> {
    let matches = options().parse(arguments)?;
    if let Some(argument) = matches.free.first() {
        return Err(CommandLineError::UnexpectedArgument(argument.clone()));
    }
    if matches.opt_present("help") {
        return Ok(Command::PrintHelp);
    }
    if matches.opt_present("version") {
        return Ok(Command::PrintVersion);
    }
    if matches.opt_present("print-default-config") {
        return Ok(Command::PrintDefaultConfig);
    }
    let source = source(&matches)?;
    match matches.opt_present("check-config") {
        true => Ok(Command::CheckConfig(source)),
        false => Ok(Command::Run(source)),
    }
}

fn source(matches: &Matches) -> Result<SettingsSource, SettingsError> {
    let overrides: Result<Vec<_>, _> = matches
        .opt_strs("set")
        .iter()
        .map(|text| text.parse())
        .collect();
    Ok(SettingsSource {
        file: matches.opt_str("config").map(PathBuf::from),
        overrides: overrides?,
    })
}

/// The text of `--help`.
pub fn help() -> String {
    options().usage(HELP_INTRODUCTION) + HELP_EXIT_CODES
}

const HELP_INTRODUCTION: &str = "\
stilequayd: session-consistent database proxy

Usage: stilequayd [--config FILE] [--set SECTION.KEY=VALUE]...

Example:
    stilequayd --config daemon.toml --set node.id=d1 --set listen.callers=127.0.0.1:6432

Once it serves it prints one line of JSON with its addresses on standard output.
Log lines go to standard error as JSON. SIGTERM and SIGINT begin a planned stop:
requests in progress end first.";

const HELP_EXIT_CODES: &str = "
Exit codes:
    0    planned stop, all work ended
    1    internal error
    2    wrong flags or settings
    3    an address can't be bound
    4    planned stop, but work was cut at the end of control.drain_timeout_millis
";

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("c", "config", "read settings from FILE (TOML)", "FILE");
    options.optmulti(
        "s",
        "set",
        "set one setting; stronger than the file; may be repeated",
        "SECTION.KEY=VALUE",
    );
    options.optflag(
        "",
        "check-config",
        "check the settings, tell all faults, and end",
    );
    options.optflag(
        "",
        "print-default-config",
        "print the default settings and end",
    );
    options.optflag("V", "version", "print the version and end");
    options.optflag("h", "help", "print this help and end");
    options
}
