//! All links of this process: one to each other process that it asks, opened when needed.

use super::client::{Link, OnSuspect};
use super::frame::{FromHome, ToHome, decode, encode};
use crate::ports::{PeerLink, PeerNetwork};
use futures::future::join_all;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};

/// Longest time in which a link opens.
const OPEN_TIMEOUT: Duration = Duration::from_millis(350);
/// How long a request waits for a link that is being opened, before it goes elsewhere.
const OPEN_WAIT: Duration = Duration::from_millis(60);
/// First pause before a link that could not be opened is tried again, and the longest.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(1_600);
/// Pause before a home that is going to stop is tried again.
const LEAVING_PAUSE: Duration = Duration::from_secs(2);

/// How far a link to one process has come.
#[derive(Debug, Clone)]
enum LinkSlot {
    Opening,
    Open(Arc<Link>),
    Failed { until: Instant, pause: Duration },
}

/// Links by where the other side listens.
type LinkSlots = HashMap<SocketAddr, LinkSlot>;

/// Whether the other side of a new link answers: a process that stands still accepts
/// connections too.
async fn responds_to_ping(link: &mut PeerLink) -> bool {
    let sent = link.tx.send(encode(&ToHome::Ping)).await;
    let answer = match sent {
        Ok(()) => link.rx.recv().await,
        Err(_) => None,
    };
    let answer = answer.and_then(|bytes| decode::<FromHome>(&bytes));
    matches!(answer, Some(FromHome::Pong))
}

/// Has all links pinged: they may have gone silent together, and each would cost a request its
/// time to find out.
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

/// Links to all processes that this one uses.
#[derive(Debug)]
pub struct Links {
    network: Arc<dyn PeerNetwork>,
    slots: Arc<Mutex<LinkSlots>>,
    changes: watch::Sender<u64>,
}

impl Links {
    /// No link yet.
    pub fn new(network: Arc<dyn PeerNetwork>) -> Self {
        Self {
            network,
            slots: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// The first usable link to one of `addresses`, in their order. Links that are not open
    /// are opened, and waited for a moment.
    pub async fn first_usable(&self, addresses: &[SocketAddr]) -> Option<Arc<Link>> {
        self.first_usable_where(addresses, |_| true).await
    }

    /// Gives `action` a usable link to each of `addresses` that has one, all side by side.
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

    /// As [`Links::first_usable`], for a link other than `excluded`.
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

    /// The place of `address`; a link is opened where there is none and it is time.
    fn get_or_open(&self, address: SocketAddr) -> LinkSlot {
        let now = Instant::now();
        let mut slots = lock(&self.slots);
        let known = slots.get(&address).cloned();
        let pause = match known {
            None => RETRY_PAUSE,
            Some(LinkSlot::Open(link)) if !link.is_open() => RETRY_PAUSE,
            // Connections may go silent for good while new ones work. What was begun on the
            // silent one waits for its answer there.
            Some(LinkSlot::Open(link)) if link.is_suspect() => {
                slots.insert(address, LinkSlot::Opening);
                drop(slots);
                self.spawn_open(address, RETRY_PAUSE);
                return LinkSlot::Opening;
            }
            Some(LinkSlot::Failed { until, pause }) if now >= until => pause,
            Some(LinkSlot::Open(link)) if link.is_leaving() => {
                // What was begun there goes on there.
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
        let slots = Arc::clone(&self.slots);
        let changes = self.changes.clone();
        tokio::spawn(async move {
            let opening = async {
                let mut link = network.open_link(address).await.ok()?;
                responds_to_ping(&mut link).await.then_some(link)
            };
            let slot = match timeout(OPEN_TIMEOUT, opening).await {
                Ok(Some(link)) => LinkSlot::Open(Link::spawn(link, ping_all(&slots))),
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
