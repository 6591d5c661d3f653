//! A UDP link.

use super::counters::{LinkCounters, RunningCounters};
use super::switches::{DatagramFaults, DatagramLinkFaults};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The most sources that a link relays for; datagrams of further ones are dropped.
const MAX_SOURCES: usize = 4096;

/// A running UDP link; it stops when it is dropped. The target sees a different
/// source address for each source, from which its answers find their way back.
#[derive(Debug)]
pub struct UdpLink {
    address: SocketAddr,
    shared: Arc<Shared>,
    relaying: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    counters: RunningCounters,
}

#[derive(Debug)]
struct State {
    target: Option<SocketAddr>,
    faults: DatagramLinkFaults,
    to_target: StdRng,
    to_source: StdRng,
}

/// Towards which side a datagram goes.
#[derive(Debug, Clone, Copy)]
enum Direction {
    Target,
    Source,
}

impl UdpLink {
    /// Listens on `listen` (port 0 for any) for datagrams to `target`. Without a
    /// target, datagrams are dropped.
    pub async fn start(listen: SocketAddr, target: Option<SocketAddr>) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        let address = socket.local_addr()?;
        let faults = DatagramLinkFaults::default();
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(target, faults)),
            counters: RunningCounters::default(),
        });
        let relaying = tokio::spawn(relay(Arc::new(socket), Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            relaying,
        })
    }

    /// The address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where datagrams go.
    pub fn target(&self) -> Option<SocketAddr> {
        self.shared.state().target
    }

    /// Sets where datagrams go, also those of sources already seen.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.state().target = Some(target);
    }

    /// The faults set.
    pub fn faults(&self) -> DatagramLinkFaults {
        self.shared.state().faults
    }

    /// Replaces the faults; they are in effect once this returns.
    pub fn set_faults(&self, faults: DatagramLinkFaults) {
        let mut state = self.shared.state();
        *state = State::new(state.target, faults);
    }

    /// What has passed over the link.
    pub fn counters(&self) -> LinkCounters {
        self.shared.counters.snapshot()
    }
}

impl Drop for UdpLink {
    fn drop(&mut self) {
        self.relaying.abort();
    }
}

impl State {
    fn new(target: Option<SocketAddr>, faults: DatagramLinkFaults) -> Self {
        Self {
            target,
            faults,
            to_target: StdRng::seed_from_u64(faults.to_target.seed),
            to_source: StdRng::seed_from_u64(faults.to_source.seed),
        }
    }

    /// The faults for the next datagram; `None` if it is dropped.
    fn draw(&mut self, direction: Direction) -> Option<DatagramFaults> {
        let (faults, generator) = match direction {
            Direction::Target => (self.faults.to_target, &mut self.to_target),
            Direction::Source => (self.faults.to_source, &mut self.to_source),
        };
        let dropped = generator.random_bool(faults.drop_probability.clamp(0.0, 1.0));
        (!faults.cut && !dropped).then_some(faults)
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn delivered(&self, direction: Direction) -> &AtomicU64 {
        match direction {
            Direction::Target => &self.counters.bytes_to_target,
            Direction::Source => &self.counters.bytes_to_source,
        }
    }
}

/// Relays datagrams from all sources; the tasks for answers end with this one.
async fn relay(socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    let mut sources: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut answers = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let known = sources.get(&source).cloned();
        let outward = match known {
            Some(outward) => outward,
            None if sources.len() == MAX_SOURCES => continue,
            None => {
                let Ok(outward) = open_outward(&socket).await else {
                    continue;
                };
                let back = Back {
                    socket: Arc::clone(&socket),
                    source,
                };
                answers.spawn(relay_answers(
                    Arc::clone(&outward),
                    back,
                    Arc::clone(&shared),
                ));
                sources.insert(source, Arc::clone(&outward));
                outward
            }
        };
        let target = shared.state().target;
        if let Some(target) = target {
            send(
                &shared,
                Direction::Target,
                outward,
                target,
                &buffer[..length],
            );
        }
    }
}

async fn open_outward(socket: &UdpSocket) -> io::Result<Arc<UdpSocket>> {
    let mut any_port = socket.local_addr()?;
    any_port.set_port(0);
    Ok(Arc::new(UdpSocket::bind(any_port).await?))
}

/// The way back to a source.
struct Back {
    socket: Arc<UdpSocket>,
    source: SocketAddr,
}

async fn relay_answers(outward: Arc<UdpSocket>, back: Back, shared: Arc<Shared>) {
    let _open = shared.counters.opened();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = outward.recv_from(&mut buffer).await else {
            continue;
        };
        let socket = Arc::clone(&back.socket);
        send(
            &shared,
            Direction::Source,
            socket,
            back.source,
            &buffer[..length],
        );
    }
}

/// Sends one datagram after its delay, unless it is dropped.
fn send(
    shared: &Arc<Shared>,
    direction: Direction,
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    datagram: &[u8],
) {
    let Some(faults) = shared.state().draw(direction) else {
        let dropped = &shared.counters.bytes_dropped;
        dropped.fetch_add(datagram.len() as u64, Ordering::Relaxed);
        return;
    };
    let shared = Arc::clone(shared);
    let datagram = datagram.to_vec();
    tokio::spawn(async move {
        tokio::time::sleep(faults.draw_delay()).await;
        // A datagram that cannot be sent is lost, as any datagram may be.
        if let Ok(sent) = socket.send_to(&datagram, address).await {
            shared
                .delivered(direction)
                .fetch_add(sent as u64, Ordering::Relaxed);
        }
    });
}
