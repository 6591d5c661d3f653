//! One daemon as a process, reached only over links.

use super::binaries::Binary;
use super::error::LaunchError;
use super::links::{ControlLink, FaultProxy, Link};
use super::operator::{OPERATOR_TOKEN, Operator};
use super::process::Process;
use serde::Deserialize;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use stilequay_coordination::identity::{NodeId, RegionName, ZoneName};
use stilequay_daemon::ports::platform::Machine;

/// Links of the daemons' network, microseconds one way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkDelays {
    /// Between callers and daemons.
    pub caller_micros: u64,
    /// Between daemons.
    pub peer_micros: u64,
    /// Between daemons and database servers.
    pub member_micros: u64,
}

/// How a daemon is started.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// A settings file.
    pub file: Option<PathBuf>,
    /// Further settings, as `section.key=value`.
    pub overrides: Vec<String>,
}

/// The ready line of a daemon.
#[derive(Debug, Clone, Deserialize)]
pub struct DaemonReady {
    /// Callers' listener.
    pub callers: SocketAddr,
    /// Data-path listener for other daemons.
    pub peer: SocketAddr,
    /// Control listener for other daemons.
    pub control: SocketAddr,
    /// Operators' API.
    pub api: SocketAddr,
}

/// The links to one daemon.
#[derive(Debug, Clone)]
pub struct DaemonLinks {
    /// From callers.
    pub callers: Link,
    /// From other daemons, data path.
    pub peer: Link,
    /// From other daemons, control.
    pub control: ControlLink,
}

impl DaemonLinks {
    /// Makes the links; they lead nowhere yet.
    pub async fn add(proxy: &FaultProxy, delays: NetworkDelays) -> Result<Self, LaunchError> {
        Ok(Self {
            callers: proxy.add_link(delays.caller_micros).await?,
            peer: proxy.add_link(delays.peer_micros).await?,
            control: proxy.add_control_link(delays.peer_micros).await?,
        })
    }

    async fn lead_to(&self, ready: &DaemonReady) -> Result<(), LaunchError> {
        self.callers.set_target(ready.callers).await?;
        self.peer.set_target(ready.peer).await?;
        self.control.set_target(ready.control).await
    }
}

/// A daemon and the links to it.
#[derive(Debug)]
pub struct Daemon {
    /// How it was started.
    pub settings: DaemonSettings,
    /// The links to it.
    pub links: DaemonLinks,
    process: Process,
    ready: DaemonReady,
}

impl Daemon {
    /// Starts a daemon whose peers reach it over `links`.
    pub async fn start(settings: DaemonSettings, links: DaemonLinks) -> Result<Self, LaunchError> {
        let (process, ready) = launch(&settings, &links, &[]).await?;
        links.lead_to(&ready).await?;
        Ok(Self {
            settings,
            links,
            process,
            ready,
        })
    }

    /// Starts it again on the same addresses, after it has ended or been killed.
    pub async fn restart(&mut self) -> Result<(), LaunchError> {
        let listeners = listen_settings(&self.ready);
        let (process, ready) = launch(&self.settings, &self.links, &listeners).await?;
        self.process = process;
        self.ready = ready;
        Ok(())
    }

    /// Its entry in the platform's list of machines.
    pub fn machine(&self) -> Machine {
        machine(&self.settings, &self.links)
    }

    /// The process, for signals.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// The process, for its end.
    pub fn process_mut(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Where callers connect: over the link.
    pub fn caller_address(&self) -> SocketAddr {
        self.links.callers.address()
    }

    /// Where callers connect without the link.
    pub fn direct_caller_address(&self) -> SocketAddr {
        self.ready.callers
    }

    /// The operators' API.
    pub fn operator(&self) -> Operator {
        Operator::new(self.ready.api)
    }

    /// Address of the operators' API.
    pub fn api_address(&self) -> SocketAddr {
        self.ready.api
    }
}

/// The entry of a daemon in the platform's list.
pub fn machine(settings: &DaemonSettings, links: &DaemonLinks) -> Machine {
    Machine {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peer_address: links.peer.address().to_string(),
        control_address: links.control.address().to_string(),
        leaving: false,
    }
}

fn listen_settings(ready: &DaemonReady) -> [String; 4] {
    [
        format!("listen.callers={}", ready.callers),
        format!("listen.peer={}", ready.peer),
        format!("listen.control={}", ready.control),
        format!("listen.api={}", ready.api),
    ]
}

async fn launch(
    settings: &DaemonSettings,
    links: &DaemonLinks,
    listeners: &[String],
) -> Result<(Process, DaemonReady), LaunchError> {
    let mut arguments: Vec<OsString> = Vec::new();
    if let Some(file) = &settings.file {
        arguments.extend(["--config".into(), file.into()]);
    }
    let own = [
        format!("node.id={}", settings.node),
        format!("node.zone={}", settings.zone),
        format!("node.region={}", settings.region),
        format!("advertise.peer={}", links.peer.address()),
        format!("advertise.control={}", links.control.address()),
        format!(r#"api.tokens=[{{ name = "bench", token = "{OPERATOR_TOKEN}", role = "write" }}]"#),
    ];
    for setting in own.iter().chain(&settings.overrides).chain(listeners) {
        arguments.extend(["--set".into(), setting.into()]);
    }
    Process::start(Binary::Daemon, settings.node.as_str(), &arguments).await
}
