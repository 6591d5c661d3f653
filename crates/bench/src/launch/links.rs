//! The fault-injecting proxy as a process, and its links.

use super::binaries::Binary;
use super::error::LaunchError;
use super::http::HttpClient;
use super::process::Process;
use serde::Deserialize;
use std::net::SocketAddr;
use stilequay_standin::faults::handle::{LinkStatus, NewLink};
use stilequay_standin::faults::steering::NewTarget;
use stilequay_standin::faults::{DatagramLinkFaults, StreamLinkFaults};

/// Attempts to find a port that is free for TCP and for UDP.
const PORT_ATTEMPTS: usize = 20;

#[derive(Deserialize)]
struct Ready {
    control: SocketAddr,
}

/// The running proxy.
#[derive(Debug)]
pub struct FaultProxy {
    http: HttpClient,
    _process: Process,
}

impl FaultProxy {
    /// Starts the proxy, without links.
    pub async fn start() -> Result<Self, LaunchError> {
        let arguments = ["faults".into()];
        let (process, ready): (_, Ready) =
            Process::start(Binary::StandIn, "faults", &arguments).await?;
        Ok(Self {
            http: HttpClient::new(ready.control),
            _process: process,
        })
    }

    /// Adds a TCP link that takes `delay_micros` each way; its target is set later.
    pub async fn add_link(&self, delay_micros: u64) -> Result<Link, LaunchError> {
        let status: LinkStatus<StreamLinkFaults> =
            self.http.post("/tcp-links", &NewLink::default()).await?;
        let link = self.link(status.id, status.listen, delay_micros);
        link.heal().await?;
        Ok(link)
    }

    /// Adds a TCP link and a UDP link on the same port.
    pub async fn add_control_link(&self, delay_micros: u64) -> Result<ControlLink, LaunchError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let stream = self.add_link(delay_micros).await?;
            let new = NewLink {
                listen: stream.address,
                target: None,
            };
            let added: Result<LinkStatus<DatagramLinkFaults>, _> =
                self.http.post("/udp-links", &new).await;
            match added {
                Ok(status) => return self.control_link(stream, status.id, delay_micros).await,
                Err(error) if attempts == PORT_ATTEMPTS => return Err(error),
                Err(_) => stream.remove().await?,
            }
        }
    }

    fn link(&self, id: u64, address: SocketAddr, delay_micros: u64) -> Link {
        let mut healthy = StreamLinkFaults::default();
        healthy.to_target.delay_micros = delay_micros;
        healthy.to_source.delay_micros = delay_micros;
        Link {
            http: self.http.clone(),
            path: format!("/tcp-links/{id}"),
            address,
            healthy,
        }
    }

    async fn control_link(
        &self,
        stream: Link,
        id: u64,
        delay_micros: u64,
    ) -> Result<ControlLink, LaunchError> {
        let mut healthy = DatagramLinkFaults::default();
        healthy.to_target.delay_micros = delay_micros;
        healthy.to_source.delay_micros = delay_micros;
        let link = ControlLink {
            stream,
            path: format!("/udp-links/{id}"),
            healthy,
        };
        link.heal().await?;
        Ok(link)
    }
}

/// A TCP link.
#[derive(Debug, Clone)]
pub struct Link {
    http: HttpClient,
    path: String,
    address: SocketAddr,
    healthy: StreamLinkFaults,
}

impl Link {
    /// Where the link listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where new connections go.
    pub async fn set_target(&self, target: SocketAddr) -> Result<(), LaunchError> {
        let path = format!("{}/target", self.path);
        self.http.set(&path, &NewTarget { target }).await
    }

    /// Sets faults on top of the link's delay.
    pub async fn disturb(
        &self,
        faults: impl FnOnce(&mut StreamLinkFaults),
    ) -> Result<(), LaunchError> {
        let mut disturbed = self.healthy;
        faults(&mut disturbed);
        let path = format!("{}/faults", self.path);
        self.http.set(&path, &disturbed).await
    }

    /// Drops all bytes both ways, without closing connections.
    pub async fn cut(&self) -> Result<(), LaunchError> {
        self.disturb(|faults| {
            faults.to_target.cut = true;
            faults.to_source.cut = true;
        })
        .await
    }

    /// Ends all faults; the delay stays.
    pub async fn heal(&self) -> Result<(), LaunchError> {
        self.disturb(|_| ()).await
    }

    /// Resets all connections.
    pub async fn reset(&self) -> Result<(), LaunchError> {
        self.http.trigger(&format!("{}/reset", self.path)).await
    }

    async fn remove(self) -> Result<(), LaunchError> {
        self.http.delete(&self.path).await
    }
}

/// A TCP and a UDP link on the same port, as daemons use for control.
#[derive(Debug, Clone)]
pub struct ControlLink {
    stream: Link,
    path: String,
    healthy: DatagramLinkFaults,
}

impl ControlLink {
    /// Where both links listen.
    pub fn address(&self) -> SocketAddr {
        self.stream.address
    }

    /// Sets where new connections and datagrams go.
    pub async fn set_target(&self, target: SocketAddr) -> Result<(), LaunchError> {
        self.stream.set_target(target).await?;
        let path = format!("{}/target", self.path);
        self.stream.http.set(&path, &NewTarget { target }).await
    }

    /// Drops everything both ways.
    pub async fn cut(&self) -> Result<(), LaunchError> {
        self.stream.cut().await?;
        let mut disturbed = self.healthy;
        disturbed.to_target.cut = true;
        disturbed.to_source.cut = true;
        self.set_datagram_faults(&disturbed).await
    }

    /// Ends all faults; the delay stays.
    pub async fn heal(&self) -> Result<(), LaunchError> {
        self.stream.heal().await?;
        self.set_datagram_faults(&self.healthy).await
    }

    async fn set_datagram_faults(&self, faults: &DatagramLinkFaults) -> Result<(), LaunchError> {
        let path = format!("{}/faults", self.path);
        self.stream.http.set(&path, faults).await
    }
}
