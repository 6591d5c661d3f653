//! The subcommand `group`.

use super::handle::start;
use super::settings::{GroupSettings, MemberSettings};
use super::steering::router;
use crate::command_line::{self, CommandError};
use getopts::{Matches, Options};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// A member's place in the ready line.
#[derive(Debug, Serialize)]
struct ReadyMember {
    name: String,
    address: SocketAddr,
}

/// The line printed once all members serve.
#[derive(Debug, Serialize)]
struct Ready {
    event: &'static str,
    group: String,
    members: Vec<ReadyMember>,
    control: SocketAddr,
}

/// Runs the group until the process is told to stop.
pub async fn run(arguments: &[String]) -> Result<(), CommandError> {
    let Some(matches) = command_line::parse(options(), "group", arguments)? else {
        return Ok(());
    };
    let settings = settings(&matches)?;
    let name = settings.name.clone();
    let listener = TcpListener::bind(settings.control).await?;
    let control = listener.local_addr()?;
    let group = start(settings).await.map_err(io::Error::other)?;
    let members = group.reports().into_iter();
    let members = members
        .map(|report| ReadyMember {
            name: report.name,
            address: report.address,
        })
        .collect();
    let steering = axum::serve(listener, router(group.clone()));
    let steering = tokio::spawn(steering.into_future());
    command_line::print_ready(&Ready {
        event: "ready",
        group: name,
        members,
        control,
    })?;
    command_line::until_told_to_stop().await?;
    steering.abort();
    group.stop().await;
    Ok(())
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "config", "settings of the group in TOML", "FILE");
    options.optopt("", "name", "name of the group", "NAME");
    options.optmulti(
        "",
        "member",
        "a member; the first is the primary",
        "NAME[=IP:PORT]",
    );
    options.optopt("", "control", "address for steering", "IP:PORT");
    options
}

fn settings(matches: &Matches) -> Result<GroupSettings, CommandError> {
    let mut settings = match matches.opt_str("config") {
        Some(path) => read_settings(&path)?,
        None => GroupSettings::default(),
    };
    if let Some(name) = matches.opt_str("name") {
        settings.name = name;
    }
    settings.control = command_line::address(matches, "control", settings.control)?;
    let members = matches.opt_strs("member");
    if !members.is_empty() {
        let members: Result<Vec<MemberSettings>, _> =
            members.iter().map(|text| member(text)).collect();
        settings.members = members?;
    }
    Ok(settings)
}

fn read_settings(path: &str) -> Result<GroupSettings, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandError::Usage(format!("--config {path}: {error}")))?;
    toml::from_str(&text).map_err(|error| CommandError::Usage(format!("--config {path}: {error}")))
}

fn member(text: &str) -> Result<MemberSettings, CommandError> {
    let Some((name, address)) = text.split_once('=') else {
        return Ok(MemberSettings::named(text));
    };
    let listen = address
        .parse()
        .map_err(|_| CommandError::Usage(format!("--member: not an address: {address}")))?;
    Ok(MemberSettings {
        listen,
        ..MemberSettings::named(name)
    })
}
