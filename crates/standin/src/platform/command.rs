//! The subcommand `platform`.

use super::handle::{PlatformSettings, ServiceName, start};
use crate::command_line::{self, CommandError};
use getopts::{Matches, Options};
use serde::Serialize;
use std::net::SocketAddr;

/// The line printed once the platform serves.
#[derive(Debug, Serialize)]
struct Ready {
    event: &'static str,
    table: SocketAddr,
    objects: SocketAddr,
    machines: SocketAddr,
    control: SocketAddr,
}

/// Runs the platform until the process is told to stop.
pub async fn run(arguments: &[String]) -> Result<(), CommandError> {
    let Some(matches) = command_line::parse(options(), "platform", arguments)? else {
        return Ok(());
    };
    let platform = start(settings(&matches)?).await?;
    command_line::print_ready(&Ready {
        event: "ready",
        table: platform.address(ServiceName::Table),
        objects: platform.address(ServiceName::Objects),
        machines: platform.address(ServiceName::Machines),
        control: platform.control_address(),
    })?;
    command_line::until_told_to_stop().await
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "table", "address of the table service", "IP:PORT");
    options.optopt("", "objects", "address of the object store", "IP:PORT");
    options.optopt("", "machines", "address of the machine list", "IP:PORT");
    options.optopt("", "control", "address for steering", "IP:PORT");
    options
}

fn settings(matches: &Matches) -> Result<PlatformSettings, CommandError> {
    let default = PlatformSettings::default();
    Ok(PlatformSettings {
        table: command_line::address(matches, "table", default.table)?,
        objects: command_line::address(matches, "objects", default.objects)?,
        machines: command_line::address(matches, "machines", default.machines)?,
        control: command_line::address(matches, "control", default.control)?,
        tables: default.tables,
    })
}
