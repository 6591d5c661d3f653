//! What the subcommands' command lines share.

use crate::launch::LaunchError;
use getopts::{Matches, Options};
use quick_error::quick_error;
use std::str::FromStr;

quick_error! {
    /// Why a subcommand failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// The command line is wrong.
        Usage(reason: String) {
            display("{reason}")
        }
        /// Something could not be run.
        Run(error: LaunchError) {
            display("{error}")
            from()
            source(error)
        }
    }
}

impl From<getopts::Fail> for CommandError {
    fn from(fail: getopts::Fail) -> Self {
        Self::Usage(fail.to_string())
    }
}

/// How a subcommand has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No guarantee was broken.
    Clean,
    /// A guarantee was broken.
    Violated,
}

impl Verdict {
    /// The verdict for a number of violations.
    pub fn of(violations: u64) -> Self {
        match violations {
            0 => Self::Clean,
            _ => Self::Violated,
        }
    }
}

/// Parses `arguments`; `None` if help was asked for and printed.
pub fn parse(
    mut options: Options,
    usage: &str,
    arguments: &[String],
) -> Result<Option<Matches>, CommandError> {
    options.optflag("h", "help", "print this help");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage(&format!("Usage: stilequay-bench {usage}"))
        );
        return Ok(None);
    }
    Ok(Some(matches))
}

/// The value of option `name`, or `default`.
pub fn value<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, CommandError>
where
    T::Err: std::fmt::Display,
{
    let parsed = matches.opt_get_default(name, default);
    parsed.map_err(|error| CommandError::Usage(format!("--{name}: {error}")))
}

/// The only free argument, where one is expected.
pub fn only_argument(matches: &Matches, meaning: &str) -> Result<String, CommandError> {
    match matches.free.as_slice() {
        [argument] => Ok(argument.clone()),
        _ => Err(CommandError::Usage(format!(
            "expected one argument: {meaning}"
        ))),
    }
}

/// Refuses free arguments.
pub fn no_arguments(matches: &Matches) -> Result<(), CommandError> {
    match matches.free.first() {
        None => Ok(()),
        Some(extra) => Err(CommandError::Usage(format!("unexpected argument: {extra}"))),
    }
}
