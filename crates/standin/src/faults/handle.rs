//! Many links with one interface for steering.

use super::counters::LinkCounters;
use super::steering;
use super::switches::{DatagramLinkFaults, StreamLinkFaults};
use super::tcp::TcpLink;
use super::udp::UdpLink;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Any free port of the loopback interface.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of the proxy.
#[derive(Debug, Clone)]
pub struct FaultsSettings {
    /// Address of the HTTP interface for steering.
    pub control: SocketAddr,
}

impl Default for FaultsSettings {
    fn default() -> Self {
        Self { control: ANY_PORT }
    }
}

/// Number of a link within its process.
pub type LinkId = u64;

/// What a new link needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct NewLink {
    /// Where it listens; by default on any free port of the loopback interface.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Where it leads; may be set later.
    #[serde(default)]
    pub target: Option<SocketAddr>,
}

/// A link as the list shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct LinkStatus<F> {
    /// Its number.
    pub id: LinkId,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it leads.
    pub target: Option<SocketAddr>,
    /// Its faults.
    pub faults: F,
    /// What has passed over it.
    pub counters: LinkCounters,
}

/// All links of a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkList {
    /// The TCP links.
    pub tcp: Vec<LinkStatus<StreamLinkFaults>>,
    /// The UDP links.
    pub udp: Vec<LinkStatus<DatagramLinkFaults>>,
}

/// The links by number.
#[derive(Debug, Default)]
pub(super) struct Links {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    last_id: LinkId,
    tcp: BTreeMap<LinkId, Arc<TcpLink>>,
    udp: BTreeMap<LinkId, Arc<UdpLink>>,
}

/// The running proxy; its links stop when the handle is dropped.
#[derive(Debug)]
pub struct FaultsHandle {
    links: Arc<Links>,
    control: SocketAddr,
    control_server: JoinHandle<()>,
}

/// Starts the proxy, without links.
pub async fn start(settings: FaultsSettings) -> io::Result<FaultsHandle> {
    let listener = TcpListener::bind(settings.control).await?;
    let control = listener.local_addr()?;
    let links = Arc::new(Links::default());
    let control_server = tokio::spawn(steering::serve(listener, Arc::clone(&links)));
    Ok(FaultsHandle {
        links,
        control,
        control_server,
    })
}

fn any_port() -> SocketAddr {
    ANY_PORT
}

impl Default for NewLink {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            target: None,
        }
    }
}

impl Links {
    pub(super) fn add_tcp(&self, new: NewLink) -> io::Result<(LinkId, Arc<TcpLink>)> {
        let link = Arc::new(TcpLink::start(new.listen, new.target)?);
        let mut state = self.state();
        let id = state.next_id();
        state.tcp.insert(id, Arc::clone(&link));
        Ok((id, link))
    }

    pub(super) async fn add_udp(&self, new: NewLink) -> io::Result<(LinkId, Arc<UdpLink>)> {
        let link = Arc::new(UdpLink::start(new.listen, new.target).await?);
        let mut state = self.state();
        let id = state.next_id();
        state.udp.insert(id, Arc::clone(&link));
        Ok((id, link))
    }

    pub(super) fn tcp(&self, id: LinkId) -> Option<Arc<TcpLink>> {
        self.state().tcp.get(&id).cloned()
    }

    pub(super) fn udp(&self, id: LinkId) -> Option<Arc<UdpLink>> {
        self.state().udp.get(&id).cloned()
    }

    pub(super) fn remove_tcp(&self, id: LinkId) -> bool {
        self.state().tcp.remove(&id).is_some()
    }

    pub(super) fn remove_udp(&self, id: LinkId) -> bool {
        self.state().udp.remove(&id).is_some()
    }

    pub(super) fn list(&self) -> LinkList {
        let state = self.state();
        LinkList {
            tcp: state
                .tcp
                .iter()
                .map(|(id, link)| tcp_status(*id, link))
                .collect(),
            udp: state
                .udp
                .iter()
                .map(|(id, link)| udp_status(*id, link))
                .collect(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn next_id(&mut self) -> LinkId {
        self.last_id += 1;
        self.last_id
    }
}

/// A TCP link as the list shows it.
pub(super) fn tcp_status(id: LinkId, link: &TcpLink) -> LinkStatus<StreamLinkFaults> {
    LinkStatus {
        id,
        listen: link.address(),
        target: link.target(),
        faults: link.faults(),
        counters: link.counters(),
    }
}

/// A UDP link as the list shows it.
pub(super) fn udp_status(id: LinkId, link: &UdpLink) -> LinkStatus<DatagramLinkFaults> {
    LinkStatus {
        id,
        listen: link.address(),
        target: link.target(),
        faults: link.faults(),
        counters: link.counters(),
    }
}

impl FaultsHandle {
    /// Address of the HTTP interface for steering.
    pub fn control_address(&self) -> SocketAddr {
        self.control
    }

    /// Adds a TCP link.
    pub fn add_tcp(&self, new: NewLink) -> io::Result<(LinkId, Arc<TcpLink>)> {
        self.links.add_tcp(new)
    }

    /// Adds a UDP link.
    pub async fn add_udp(&self, new: NewLink) -> io::Result<(LinkId, Arc<UdpLink>)> {
        self.links.add_udp(new).await
    }

    /// All links.
    pub fn list(&self) -> LinkList {
        self.links.list()
    }
}

impl Drop for FaultsHandle {
    fn drop(&mut self) {
        self.control_server.abort();
    }
}
