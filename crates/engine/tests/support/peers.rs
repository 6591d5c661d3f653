//! Processes that reach one another in memory.

use super::servers::World;
use async_trait::async_trait;
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use stilequay_engine::engine::Engine;
use stilequay_engine::link::frame::{FromHome, ToHome, decode};
use stilequay_engine::names::GroupName;
use stilequay_engine::peers::declared::newer;
use stilequay_engine::peers::group_snapshots;
use stilequay_engine::ports::{
    DeclaredState, DeclaredVersions, GroupSnapshot, PeerError, PeerLink, PeerNetwork,
};
use stilequay_engine::serving;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Time for a question or an answer.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);

/// When a frame comes again on a link that repeats them.
const REPEAT_DELAY: Duration = Duration::from_millis(60);
/// Frames of a link that wait on one side.
const LINK_QUEUE: usize = 2_048;

/// All processes, by address.
#[derive(Debug)]
pub struct MemoryPeers {
    world: Arc<World>,
    engines: Mutex<HashMap<SocketAddr, Weak<Engine>>>,
    isolated: Mutex<bool>,
    killed: watch::Sender<HashSet<String>>,
    /// What these know reaches nobody over links.
    update_blackholes: Mutex<HashSet<String>>,
    /// Bytes a second that one process sends over all its links; any number where it is zero.
    pub send_rate: AtomicU64,
    /// Until when what each process has sent is on its way.
    sending_until: Mutex<HashMap<String, Instant>>,
    /// Links of an earlier generation carry nothing any more, and don't end.
    generation: AtomicU64,
    /// Keeps what links carry, for [`MemoryPeers::processes_reached`].
    pub records_frames: AtomicBool,
    /// To which process which frame was sent.
    frames: Mutex<Vec<(String, Bytes)>>,
    /// Frames tell a home of another tenant than the one that asks: a planted mistake.
    pub swaps_tenant_names: AtomicBool,
    /// Delivers each frame of a link once more a moment later: a planted mistake.
    pub repeats_frames: AtomicBool,
    /// Questions for news that were sent.
    pub update_requests: AtomicU64,
    /// Answers to these that have arrived.
    pub update_replies: AtomicU64,
}

/// The other processes as one of them reaches them.
#[derive(Debug)]
pub struct NodePeers {
    peers: Arc<MemoryPeers>,
    node: String,
}

impl MemoryPeers {
    pub fn new(world: &Arc<World>) -> Arc<Self> {
        Arc::new(Self {
            world: Arc::clone(world),
            engines: Mutex::default(),
            isolated: Mutex::default(),
            killed: watch::Sender::new(HashSet::new()),
            update_blackholes: Mutex::default(),
            send_rate: AtomicU64::default(),
            sending_until: Mutex::default(),
            generation: AtomicU64::default(),
            records_frames: AtomicBool::default(),
            frames: Mutex::default(),
            swaps_tenant_names: AtomicBool::default(),
            repeats_frames: AtomicBool::default(),
            update_requests: AtomicU64::default(),
            update_replies: AtomicU64::default(),
        })
    }

    pub fn for_node(self: &Arc<Self>, node: &str) -> Arc<NodePeers> {
        Arc::new(NodePeers {
            peers: Arc::clone(self),
            node: node.to_owned(),
        })
    }

    /// Lets all links go silent for good; new ones work.
    pub fn silence_links(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Loses whatever one process tells the others of what it knows; it still runs commands.
    pub fn drop_updates_from(&self, node: &str) {
        self.update_blackholes
            .lock()
            .unwrap()
            .insert(node.to_owned());
    }

    /// The processes to which a frame was sent that names the request `id`.
    pub fn processes_reached(&self, id: &str) -> BTreeSet<String> {
        let frames = self.frames.lock().unwrap();
        let naming = frames.iter().filter(|(_, frame)| {
            let mut parts = frame.windows(id.len());
            parts.any(|part| part == id.as_bytes())
        });
        naming.map(|(to, _)| to.clone()).collect()
    }

    /// Ends all links of a process; it answers nobody any more.
    pub fn kill(&self, node: &str) {
        let address = Self::address_of(node);
        self.engines.lock().unwrap().remove(&address);
        self.killed.send_modify(|killed| {
            killed.insert(node.to_owned());
        });
    }

    /// A process that was killed is going to start anew.
    pub fn revive(&self, node: &str) {
        self.killed.send_modify(|killed| {
            killed.remove(node);
        });
    }

    /// Passes frames on from one process to another, after a moment, while both live and
    /// the way between them is open; a process that stands still neither sends nor reads.
    async fn forward_frames(
        self: Arc<Self>,
        (from, to): (String, String),
        mut rx: mpsc::Receiver<Bytes>,
        tx: mpsc::Sender<Bytes>,
    ) {
        let mut killed = self.killed.subscribe();
        let generation = self.generation.load(Ordering::Relaxed);
        loop {
            let frame = tokio::select! {
                frame = rx.recv() => frame,
                _ = killed.wait_for(|k| k.contains(&from) || k.contains(&to)) => return,
            };
            let Some(mut frame) = frame else { return };
            if self.records_frames.load(Ordering::Relaxed) {
                let sent = (to.clone(), frame.clone());
                self.frames.lock().unwrap().push(sent);
            }
            if self.swaps_tenant_names.load(Ordering::Relaxed) {
                frame = with_tenants_swapped(&frame);
            }
            let is_question = matches!(decode(&frame), Some(ToHome::Follow { .. }));
            let is_answer = matches!(decode(&frame), Some(FromHome::News { .. }));
            self.update_requests
                .fetch_add(u64::from(is_question), Ordering::Relaxed);
            sleep_until(self.sent_at(&from, frame.len())).await;
            sleep(ONE_WAY_DELAY).await;
            self.world.freezer.wait_until_resumed(&from).await;
            self.world.freezer.wait_until_resumed(&to).await;
            // What a cut holds up is lost.
            let isolated = *self.isolated.lock().unwrap();
            let is_silent = generation != self.generation.load(Ordering::Relaxed);
            let is_withheld = carries_store_updates(&frame)
                && self.update_blackholes.lock().unwrap().contains(&from);
            let is_open = !isolated && self.world.network.reaches(&from, &to);
            let arrives = is_open && !is_silent && !is_withheld;
            let replies = u64::from(arrives && is_answer);
            self.update_replies.fetch_add(replies, Ordering::Relaxed);
            if arrives && tx.send(frame.clone()).await.is_err() {
                return;
            }
            if self.repeats_frames.load(Ordering::Relaxed) {
                let tx = tx.clone();
                tokio::spawn(async move {
                    sleep(REPEAT_DELAY).await;
                    let _ = tx.send(frame).await;
                });
            }
        }
    }

    /// When `len` bytes that the process `from` sends now have left it.
    fn sent_at(&self, from: &str, len: usize) -> Instant {
        let now = Instant::now();
        let rate = self.send_rate.load(Ordering::Relaxed);
        if rate == 0 {
            return now;
        }
        let mut sending = self.sending_until.lock().unwrap();
        let until = sending.entry(from.to_owned()).or_insert(now);
        *until = (*until).max(now) + Duration::from_secs_f64(len as f64 / rate as f64);
        *until
    }

    pub fn address_of(node: &str) -> SocketAddr {
        let number: u16 = node
            .rsplit('-')
            .next()
            .and_then(|number| number.parse().ok())
            .unwrap_or(0);
        SocketAddr::from(([10, 1, 0, 1], 10_000 + number))
    }

    pub fn join(&self, node: &str, engine: &Arc<Engine>) {
        let address = Self::address_of(node);
        self.engines
            .lock()
            .unwrap()
            .insert(address, Arc::downgrade(engine));
    }

    async fn reach(&self, peer: SocketAddr) -> Result<Arc<Engine>, PeerError> {
        sleep(ONE_WAY_DELAY).await;
        let engines = self.engines.lock().unwrap();
        let engine = engines.get(&peer).and_then(Weak::upgrade);
        let isolated = *self.isolated.lock().unwrap();
        let engine = engine.filter(|_| !isolated);
        engine.ok_or_else(|| PeerError::Unreachable("away".to_owned()))
    }

    /// Lets no process reach another.
    pub fn set_isolated(&self, isolated: bool) {
        *self.isolated.lock().unwrap() = isolated;
    }
}

#[async_trait]
impl PeerNetwork for NodePeers {
    async fn query_groups(
        &self,
        peer: SocketAddr,
        groups: &[GroupName],
    ) -> Result<Vec<GroupSnapshot>, PeerError> {
        let engine = self.peers.reach(peer).await?;
        let answer = group_snapshots(&engine, groups);
        sleep(ONE_WAY_DELAY).await;
        Ok(answer)
    }

    async fn query_declared(
        &self,
        peer: SocketAddr,
        known: DeclaredVersions,
    ) -> Result<DeclaredState, PeerError> {
        let engine = self.peers.reach(peer).await?;
        let answer = newer(&engine, known, tokio::time::Instant::now());
        sleep(ONE_WAY_DELAY).await;
        Ok(answer)
    }

    async fn open_link(&self, peer: SocketAddr) -> Result<PeerLink, PeerError> {
        let engine = self.peers.reach(peer).await?;
        let there = engine.settings().node.to_string();
        if !self.peers.world.network.reaches(&self.node, &there) {
            std::future::pending::<()>().await;
        }
        let (to_there, from_here) = mpsc::channel(LINK_QUEUE);
        let (to_peer, peer_rx) = mpsc::channel(LINK_QUEUE);
        let (to_here, from_there) = mpsc::channel(LINK_QUEUE);
        let (peer_tx, from_peer) = mpsc::channel(LINK_QUEUE);
        let out = (self.node.clone(), there.clone());
        let back = (there, self.node.clone());
        tokio::spawn(Arc::clone(&self.peers).forward_frames(out, from_here, to_peer));
        tokio::spawn(Arc::clone(&self.peers).forward_frames(back, from_peer, to_here));
        let link = PeerLink {
            tx: peer_tx,
            rx: peer_rx,
        };
        tokio::spawn(serving::serve(engine, link));
        Ok(PeerLink {
            tx: to_there,
            rx: from_there,
        })
    }
}

/// Whether a frame tells what its sender knows of the store.
fn carries_store_updates(frame: &Bytes) -> bool {
    let is_answer = matches!(
        decode(frame),
        Some(FromHome::News { .. } | FromHome::Beliefs { .. })
    );
    is_answer || matches!(decode(frame), Some(ToHome::PromotionLease(_)))
}

/// The frame with the tenants "one" and "two" in each other's place, as texts of three bytes
/// are encoded.
fn with_tenants_swapped(frame: &Bytes) -> Bytes {
    let (one, two) = (b"\xa3one", b"\xa3two");
    let mut swapped = frame.to_vec();
    for place in 0..frame.len().saturating_sub(one.len() - 1) {
        let part = &frame[place..place + one.len()];
        let other = match part {
            part if part == one => two,
            part if part == two => one,
            _ => continue,
        };
        swapped[place..place + one.len()].copy_from_slice(other);
    }
    swapped.into()
}
