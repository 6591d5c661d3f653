//! What the subcommands of the binary share.

use getopts::{Matches, Options};
use quick_error::quick_error;
use serde::Serialize;
use std::io::{self, Write};
use std::net::SocketAddr;

quick_error! {
    /// Why a subcommand could not run.
    #[derive(Debug)]
    pub enum CommandError {
        /// The command line is wrong.
        Usage(reason: String) {
            display("{reason}")
        }
        /// Listening or writing failed.
        Io(error: io::Error) {
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

/// Parses `arguments`; `None` if help was asked for and printed.
pub fn parse(
    mut options: Options,
    subcommand: &str,
    arguments: &[String],
) -> Result<Option<Matches>, CommandError> {
    options.optflag("h", "help", "print this help");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let brief = format!("Usage: stilequay-standin {subcommand} [options]");
        io::stdout().write_all(options.usage(&brief).as_bytes())?;
        return Ok(None);
    }
    if let Some(extra) = matches.free.first() {
        let reason = format!("unexpected argument: {extra}");
        return Err(CommandError::Usage(reason));
    }
    Ok(Some(matches))
}

/// The address given for option `name`, or `default`.
pub fn address(
    matches: &Matches,
    name: &str,
    default: SocketAddr,
) -> Result<SocketAddr, CommandError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| CommandError::Usage(format!("--{name}: not an address: {text}")))
}

/// Prints `ready` as one line of JSON on standard output.
pub fn print_ready<T: Serialize>(ready: &T) -> Result<(), CommandError> {
    let mut line = serde_json::to_vec(ready).map_err(io::Error::from)?;
    line.push(b'\n');
    let mut output = io::stdout().lock();
    output.write_all(&line)?;
    output.flush()?;
    Ok(())
}

/// Waits until the process is told to stop.
pub async fn until_told_to_stop() -> Result<(), CommandError> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        result = tokio::signal::ctrl_c() => Ok(result?),
    }
}
