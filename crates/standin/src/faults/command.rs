//! The subcommand `faults`.

use super::handle::{FaultsSettings, start};
use crate::command_line::{self, CommandError};
use getopts::Options;
use serde::Serialize;
use std::net::SocketAddr;

/// The line printed once the proxy can be steered.
#[derive(Debug, Serialize)]
struct Ready {
    event: &'static str,
    control: SocketAddr,
}

/// Runs the proxy until the process is told to stop.
pub async fn run(arguments: &[String]) -> Result<(), CommandError> {
    let mut options = Options::new();
    options.optopt("", "control", "address for steering", "IP:PORT");
    let Some(matches) = command_line::parse(options, "faults", arguments)? else {
        return Ok(());
    };
    let default = FaultsSettings::default();
    let control = command_line::address(&matches, "control", default.control)?;
    let proxy = start(FaultsSettings { control }).await?;
    command_line::print_ready(&Ready {
        event: "ready",
        control: proxy.control_address(),
    })?;
    command_line::until_told_to_stop().await
}
