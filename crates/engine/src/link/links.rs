//! The pool of links of this process: at most one per peer, opened on demand.

use super::client::{Link, OnSuspect};
use super::frame::{FromHome, ToHome, decode_frame, encode};
use crate::decoding::{DecodeError, UndecodableKind, report_undecodable};
use crate::events::EventLog;
use crate::ports::{PeerLink, PeerNetwork};
use futures::future::join_all;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};

/// Timeout for opening a link, including the first ping.
const OPEN_TIMEOUT: Duration = Duration::from_millis(350);
/// How long a request waits for links that are being opened before it goes elsewhere.
const OPEN_WAIT: Duration = Duration::from_millis(60);
/// Initial pause before a failed attempt to open a link is retried; doubled after each failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Upper bound of that pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(1_600);
/// Pause before a link to a peer that is shutting down is opened again.
const LEAVING_PAUSE: Duration = Duration::from_secs(2);

/// The state of the link to one peer.
#[derive(Debug, Clone)]
enum LinkSlot {
    Opening,
    Open(Arc<Link>),
    Failed { until: Instant, pause: Duration },
}

/// Links by the listen address of the peer.
type LinkSlots = HashMap<SocketAddr, LinkSlot>;

/// Whether the peer of a new link answers a ping. An accepted connection doesn't show that: the
/// kernel also accepts connections for a stalled process.
async fn responds_to_ping(link: &mut PeerLink, peer: SocketAddr, events: &EventLog) -> bool {
    let sent = link.tx.send(encode(&ToHome::Ping)).await;
    let answer = match sent {
        Ok(()) => link.rx.recv().await,
        Err(_) => None,
    };
    let Some(bytes) = answer else { return false };
    let error = match decode_frame::<FromHome>(&bytes) {
        Ok(FromHome::Pong) => return true,
        Ok(FromHome::Leaving) => return false,
        Ok(_) => DecodeError::Unexpected("no answer to a ping"),
        Err(error) => error,
    };
    let kind = UndecodableKind::LinkFirstAnswer;
    report_undecodable(events, kind, peer, Some(&bytes), &error);
    false
}

/// Creates a callback that pings all links. Links often fail together, and otherwise each failure
/// would be detected only by a request that times out.
fn ping_all(slots: &Arc<Mutex<LinkSlots>>) -> OnSuspect {
    let slots = Arc::downgrade(slots);
    OnSuspect(Box::new(move || {
        let Some(slots) = slots.upgrade() else {
            return;
        };
        let known: Vec<LinkSlot> = lock(&slots).values().cloned().collect();
        for slot in known {
            if let LinkSlot::Open(link) = slot {
                link.ping();
            }
        }
    }))
}

/// A pool of links.
#[derive(Debug)]
pub struct Links {
    network: Arc<dyn PeerNetwork>,
    events: Arc<EventLog>,
    slots: Arc<Mutex<LinkSlots>>,
    changes: watch::Sender<u64>,
}

impl Links {
    /// Creates an empty pool that opens links through `network`.
    pub fn new(network: Arc<dyn PeerNetwork>, events: Arc<EventLog>) -> Self {
        Self {
            network,
            events,
            slots: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns the first usable link to one of `addresses`, in order of preference. Links that
    /// aren't open yet are opened and awaited for a short time.
    pub async fn first_usable(&self, addresses: &[SocketAddr]) -> Option<Arc<Link>> {
        self.first_usable_where(addresses, |_| true).await
    }

    /// Runs `action` on a usable link to each of `addresses`, concurrently; addresses without one
    /// are skipped.
    pub async fn for_each_usable(&self, addresses: Vec<SocketAddr>, action: impl Fn(&Link)) {
        let calls = addresses.into_iter().map(|address| {
            let action = &action;
            async move {
                if let Some(link) = self.first_usable(&[address]).await {
                    action(&link);
                }
            }
        });
        join_all(calls).await;
    }

    /// Like [`Links::first_usable`], but never returns `excluded`.
    pub async fn first_usable_except(
        &self,
        addresses: &[SocketAddr],
        excluded: &Arc<Link>,
    ) -> Option<Arc<Link>> {
        let is_other = |link: &Arc<Link>| !Arc::ptr_eq(link, excluded);
        self.first_usable_where(addresses, is_other).await
    }

    async fn first_usable_where(
        &self,
        addresses: &[SocketAddr],
        is_wanted: impl Fn(&Arc<Link>) -> bool,
    ) -> Option<Arc<Link>> {
        let mut changes = self.changes.subscribe();
        let until = Instant::now() + OPEN_WAIT;
        loop {
            changes.mark_unchanged();
            let mut opening = false;
            for address in addresses {
                match self.get_or_open(*address) {
                    LinkSlot::Open(link) if link.is_usable() && is_wanted(&link) => {
                        if link.is_responsive(until).await {
                            return Some(link);
                        }
                    }
                    LinkSlot::Opening => opening = true,
                    LinkSlot::Open(_) | LinkSlot::Failed { .. } => {}
                }
            }
            if !opening || timeout_at(until, changes.changed()).await.is_err() {
                return None;
            }
        }
    }

    /// Returns the slot of `address`. Starts to open a link if there is none and no retry pause is
    /// running.
    fn get_or_open(&self, address: SocketAddr) -> LinkSlot {
        let now = Instant::now();
        let mut slots = lock(&self.slots);
        let known = slots.get(&address).cloned();
        let pause = match known {
            None => RETRY_PAUSE,
            Some(LinkSlot::Open(link)) if !link.is_open() => RETRY_PAUSE,
            // An established connection may hang for good while new ones work. Requests in flight
            // on the old link still wait there for their answers.
            Some(LinkSlot::Open(link)) if link.is_suspect() => {
                slots.insert(address, LinkSlot::Opening);
                drop(slots);
                self.spawn_open(address, RETRY_PAUSE);
                return LinkSlot::Opening;
            }
            Some(LinkSlot::Failed { until, pause }) if now >= until => pause,
            Some(LinkSlot::Open(link)) if link.is_leaving() => {
                // Units in progress continue on the old link.
                let until = now + LEAVING_PAUSE;
                let pause = RETRY_PAUSE;
                slots.insert(address, LinkSlot::Failed { until, pause });
                return LinkSlot::Failed { until, pause };
            }
            Some(slot) => return slot,
        };
        slots.insert(address, LinkSlot::Opening);
        drop(slots);
        self.spawn_open(address, pause);
        LinkSlot::Opening
    }

    fn spawn_open(&self, address: SocketAddr, pause: Duration) {
        let network = Arc::clone(&self.network);
        let events = Arc::clone(&self.events);
        let slots = Arc::clone(&self.slots);
        let changes = self.changes.clone();
        tokio::spawn(async move {
            let opening = async {
                let mut link = network.open_link(address).await.ok()?;
                let responds = responds_to_ping(&mut link, address, &events).await;
                responds.then_some(link)
            };
            let slot = match timeout(OPEN_TIMEOUT, opening).await {
                Ok(Some(link)) => {
                    let on_suspect = ping_all(&slots);
                    LinkSlot::Open(Link::spawn(link, address, events, on_suspect))
                }
                _ => LinkSlot::Failed {
                    until: Instant::now() + pause,
                    pause: (pause * 2).min(RETRY_PAUSE_MAX),
                },
            };
            lock(&slots).insert(address, slot);
            changes.send_modify(|count| *count += 1);
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
