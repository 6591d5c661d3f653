//! All links of this process: one to each other process that it asks, opened when needed.

use super::client::{Link, OnSilence};
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
const OPEN_PATIENCE: Duration = Duration::from_millis(60);
/// First pause before a link that could not be opened is tried again, and the longest.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(1_600);
/// Pause before a home that is going to stop is tried again.
const LEAVING_PAUSE: Duration = Duration::from_secs(2);

/// How far a link to one process has come.
#[derive(Debug, Clone)]
enum Place {
    Opening,
    Open(Arc<Link>),
    Failed { until: Instant, pause: Duration },
}

/// Links by where the other side listens.
type Places = HashMap<SocketAddr, Place>;

/// Whether the other side of a new link answers: a process that stands still accepts
/// connections too.
async fn answers(link: &mut PeerLink) -> bool {
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
fn ping_all(places: &Arc<Mutex<Places>>) -> OnSilence {
    let places = Arc::downgrade(places);
    OnSilence(Box::new(move || {
        let Some(places) = places.upgrade() else {
            return;
        };
        let known: Vec<Place> = lock(&places).values().cloned().collect();
        for place in known {
            if let Place::Open(link) = place {
                link.ping();
            }
        }
    }))
}

/// Links to all processes that this one uses.
#[derive(Debug)]
pub struct Links {
    network: Arc<dyn PeerNetwork>,
    places: Arc<Mutex<Places>>,
    changes: watch::Sender<u64>,
}

impl Links {
    /// No link yet.
    pub fn new(network: Arc<dyn PeerNetwork>) -> Self {
        Self {
            network,
            places: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// The first usable link to one of `addresses`, in their order. Links that are not open
    /// are opened, and waited for a moment.
    pub async fn first_usable(&self, addresses: &[SocketAddr]) -> Option<Arc<Link>> {
        self.first_usable_where(addresses, |_| true).await
    }

    /// Gives `tell` a usable link to each of `addresses` that has one, all side by side.
    pub async fn for_each_usable(&self, addresses: Vec<SocketAddr>, tell: impl Fn(&Link)) {
        let told = addresses.into_iter().map(|address| {
            let tell = &tell;
            async move {
                if let Some(link) = self.first_usable(&[address]).await {
                    tell(&link);
                }
            }
        });
        join_all(told).await;
    }

    /// As [`Links::first_usable`], for a link other than `taken`.
    pub async fn first_usable_except(
        &self,
        addresses: &[SocketAddr],
        taken: &Arc<Link>,
    ) -> Option<Arc<Link>> {
        let is_other = |link: &Arc<Link>| !Arc::ptr_eq(link, taken);
        self.first_usable_where(addresses, is_other).await
    }

    async fn first_usable_where(
        &self,
        addresses: &[SocketAddr],
        is_wanted: impl Fn(&Arc<Link>) -> bool,
    ) -> Option<Arc<Link>> {
        let mut changes = self.changes.subscribe();
        let until = Instant::now() + OPEN_PATIENCE;
        loop {
            changes.mark_unchanged();
            let mut opening = false;
            for address in addresses {
                match self.look_at(*address) {
                    Place::Open(link) if link.is_usable() && is_wanted(&link) => {
                        if link.is_confirmed(until).await {
                            return Some(link);
                        }
                    }
                    Place::Opening => opening = true,
                    Place::Open(_) | Place::Failed { .. } => {}
                }
            }
            if !opening || timeout_at(until, changes.changed()).await.is_err() {
                return None;
            }
        }
    }

    /// The place of `address`; a link is opened where there is none and it is time.
    fn look_at(&self, address: SocketAddr) -> Place {
        let now = Instant::now();
        let mut places = lock(&self.places);
        let known = places.get(&address).cloned();
        let pause = match known {
            None => RETRY_PAUSE,
            Some(Place::Open(link)) if !link.is_open() => RETRY_PAUSE,
            // Connections may go silent for good while new ones work. What was begun on the
            // silent one waits for its answer there.
            Some(Place::Open(link)) if link.is_silent() => {
                places.insert(address, Place::Opening);
                drop(places);
                self.spawn_open(address, RETRY_PAUSE);
                return Place::Opening;
            }
            Some(Place::Failed { until, pause }) if now >= until => pause,
            Some(Place::Open(link)) if link.is_leaving() => {
                // What was begun there goes on there.
                let until = now + LEAVING_PAUSE;
                let pause = RETRY_PAUSE;
                places.insert(address, Place::Failed { until, pause });
                return Place::Failed { until, pause };
            }
            Some(place) => return place,
        };
        places.insert(address, Place::Opening);
        drop(places);
        self.spawn_open(address, pause);
        Place::Opening
    }

    fn spawn_open(&self, address: SocketAddr, pause: Duration) {
        let network = Arc::clone(&self.network);
        let places = Arc::clone(&self.places);
        let changes = self.changes.clone();
        tokio::spawn(async move {
            let opening = async {
                let mut link = network.open_link(address).await.ok()?;
                answers(&mut link).await.then_some(link)
            };
            let place = match timeout(OPEN_TIMEOUT, opening).await {
                Ok(Some(link)) => Place::Open(Link::spawn(link, ping_all(&places))),
                _ => Place::Failed {
                    until: Instant::now() + pause,
                    pause: (pause * 2).min(RETRY_PAUSE_MAX),
                },
            };
            lock(&places).insert(address, place);
            changes.send_modify(|count| *count += 1);
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
