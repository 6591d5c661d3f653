//! In-memory network between processes.

use super::servers::World;
use async_trait::async_trait;
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use stilequay_engine::decoding::DecodeError;
use stilequay_engine::engine::Engine;
use stilequay_engine::link::frame::{FromHome, RequiredFreshness, ToHome, decode};
use stilequay_engine::names::GroupName;
use stilequay_engine::peers;
use stilequay_engine::peers::message::{Query, QueryAnswer};
use stilequay_engine::ports::{
    DeclaredState, DeclaredVersions, GroupSnapshot, PeerError, PeerLink, PeerNetwork,
};
use stilequay_engine::serving;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Latency of a request or a reply.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);

/// Delay after which a repeated frame is delivered again.
const REPEAT_DELAY: Duration = Duration::from_millis(60);
/// Capacity of the queue at each end of a link, in frames.
const LINK_QUEUE: usize = 2_048;

/// The network of all processes.
#[derive(Debug)]
pub struct MemoryPeers {
    world: Arc<World>,
    engines: Mutex<HashMap<SocketAddr, Weak<Engine>>>,
    isolated: Mutex<bool>,
    /// Processes that reach only one another.
    set_apart: Mutex<HashSet<String>>,
    killed: watch::Sender<HashSet<String>>,
    /// Processes whose updates are dropped on all links.
    update_blackholes: Mutex<HashSet<String>>,
    /// Bytes per second that one process can send over all its links; zero means no limit.
    pub send_rate: AtomicU64,
    /// When each process will have finished sending its queued frames.
    sending_until: Mutex<HashMap<String, Instant>>,
    /// Links of an earlier generation drop all frames but stay open.
    generation: AtomicU64,
    /// Whether frames are recorded for [`MemoryPeers::processes_reached`].
    pub records_frames: AtomicBool,
    /// The recorded frames, each with the process that it was sent to.
    frames: Mutex<Vec<(String, Bytes)>>,
    /// Injected bug: frames name another tenant than the one that sent the request.
    pub swaps_tenant_names: AtomicBool,
    /// Injected bug: each frame of a link is delivered a second time a little later.
    pub repeats_frames: AtomicBool,
    /// Injected bug: the term records in the answers to queries can't be decoded.
    pub corrupts_term_records: AtomicBool,
    /// Number of requests for evidence sent to homes.
    pub evidence_requests: AtomicU64,
    /// Number of update requests sent.
    pub update_requests: AtomicU64,
    /// Number of replies to them that have arrived.
    pub update_replies: AtomicU64,
}

/// The network as seen by one process.
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
            set_apart: Mutex::default(),
            killed: watch::Sender::new(HashSet::new()),
            update_blackholes: Mutex::default(),
            send_rate: AtomicU64::default(),
            sending_until: Mutex::default(),
            generation: AtomicU64::default(),
            records_frames: AtomicBool::default(),
            frames: Mutex::default(),
            swaps_tenant_names: AtomicBool::default(),
            repeats_frames: AtomicBool::default(),
            corrupts_term_records: AtomicBool::default(),
            evidence_requests: AtomicU64::default(),
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

    /// Makes all open links drop every frame permanently. New links work.
    pub fn silence_links(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// Drops all updates about the store that one process sends to others. It still runs commands.
    pub fn drop_updates_from(&self, node: &str) {
        self.update_blackholes
            .lock()
            .unwrap()
            .insert(node.to_owned());
    }

    /// The processes that were sent a frame which contains the request id `id`.
    pub fn processes_reached(&self, id: &str) -> BTreeSet<String> {
        let frames = self.frames.lock().unwrap();
        let naming = frames.iter().filter(|(_, frame)| {
            let mut parts = frame.windows(id.len());
            parts.any(|part| part == id.as_bytes())
        });
        naming.map(|(to, _)| to.clone()).collect()
    }

    /// Closes all links of a process and makes it unreachable.
    pub fn kill(&self, node: &str) {
        let address = Self::address_of(node);
        self.engines.lock().unwrap().remove(&address);
        self.killed.send_modify(|killed| {
            killed.insert(node.to_owned());
        });
    }

    /// Makes a process that was killed reachable again, before it restarts.
    pub fn revive(&self, node: &str) {
        self.killed.send_modify(|killed| {
            killed.remove(node);
        });
    }

    /// Forwards frames from one process to another with some latency, until one of the two is
    /// killed. Drops frames while the network between them is cut. A frozen process neither sends
    /// nor receives.
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
            let wants_evidence = matches!(
                decode(&frame),
                Some(ToHome::Ask {
                    wanted: RequiredFreshness::Evidence,
                    ..
                })
            );
            self.evidence_requests
                .fetch_add(u64::from(wants_evidence), Ordering::Relaxed);
            self.update_requests
                .fetch_add(u64::from(is_question), Ordering::Relaxed);
            sleep_until(self.sent_at(&from, frame.len())).await;
            sleep(ONE_WAY_DELAY).await;
            self.world.freezer.wait_until_resumed(&from).await;
            self.world.freezer.wait_until_resumed(&to).await;
            // Frames that arrive during a cut are lost.
            let isolated = self.are_isolated(&from, &to);
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

    /// When process `from` will have finished sending `len` bytes that it queues now.
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

    async fn reach(&self, from: &str, peer: SocketAddr) -> Result<Arc<Engine>, PeerError> {
        sleep(ONE_WAY_DELAY).await;
        let engines = self.engines.lock().unwrap();
        let engine = engines.get(&peer).and_then(Weak::upgrade);
        let is_reached = |engine: &Arc<Engine>| !self.are_isolated(from, &engine.settings().node);
        let engine = engine.filter(is_reached);
        engine.ok_or_else(|| PeerError::Unreachable("isolated".to_owned()))
    }

    /// Sends an encoded query and decodes the answer.
    async fn exchange(
        &self,
        from: &str,
        peer: SocketAddr,
        query: &Query,
    ) -> Result<QueryAnswer, PeerError> {
        let query = query.encode();
        let engine = self.reach(from, peer).await?;
        let query = Query::decode(&query).map_err(undecodable)?;
        let answer = peers::answer(&engine, query);
        let closed = || PeerError::Unreachable("connection closed".to_owned());
        let mut answer = answer.ok_or_else(closed)?;
        if self.corrupts_term_records.load(Ordering::Relaxed) {
            corrupt_term_records(&mut answer);
        }
        let answer = answer.encode();
        sleep(ONE_WAY_DELAY).await;
        QueryAnswer::decode(&answer).map_err(undecodable)
    }

    /// Isolates all processes from one another, or reconnects them.
    pub fn set_isolated(&self, isolated: bool) {
        *self.isolated.lock().unwrap() = isolated;
    }

    /// Separates the processes `nodes` from all others.
    pub fn set_apart(&self, nodes: impl IntoIterator<Item = String>) {
        *self.set_apart.lock().unwrap() = nodes.into_iter().collect();
    }

    fn are_isolated(&self, from: &str, to: &str) -> bool {
        let set_apart = self.set_apart.lock().unwrap();
        *self.isolated.lock().unwrap() || set_apart.contains(from) != set_apart.contains(to)
    }
}

#[async_trait]
impl PeerNetwork for NodePeers {
    async fn query_groups(
        &self,
        peer: SocketAddr,
        groups: &[GroupName],
    ) -> Result<Vec<GroupSnapshot>, PeerError> {
        let query = Query::Beliefs(groups.to_vec());
        let answer = self.peers.exchange(&self.node, peer, &query).await?;
        answer.into_group_snapshots()
    }

    async fn query_declared(
        &self,
        peer: SocketAddr,
        known: DeclaredVersions,
    ) -> Result<DeclaredState, PeerError> {
        let query = Query::Declared(known);
        let answer = self.peers.exchange(&self.node, peer, &query).await?;
        answer.into_declared_state()
    }

    async fn open_link(&self, peer: SocketAddr) -> Result<PeerLink, PeerError> {
        let engine = self.peers.reach(&self.node, peer).await?;
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

fn corrupt_term_records(answer: &mut QueryAnswer) {
    let QueryAnswer::Beliefs(snapshots) = answer else {
        return;
    };
    for term in snapshots.iter_mut().filter_map(|s| s.term.as_mut()) {
        term.value = Bytes::from_static(b"\xc1");
    }
}

fn undecodable(error: DecodeError) -> PeerError {
    PeerError::Protocol(error.to_string())
}

/// Whether a frame carries the sender's knowledge of the store.
fn carries_store_updates(frame: &Bytes) -> bool {
    let is_answer = matches!(
        decode(frame),
        Some(FromHome::News { .. } | FromHome::Beliefs { .. })
    );
    is_answer || matches!(decode(frame), Some(ToHome::PromotionLease(_)))
}

/// Swaps the tenant names "one" and "two" in a frame, in the encoding of strings of three bytes.
fn with_tenants_swapped(frame: &Bytes) -> Bytes {
    let (one, two) = (b"\xa3one", b"\xa3two");
    let mut swapped = frame.to_vec();
    for offset in 0..frame.len().saturating_sub(one.len() - 1) {
        let part = &frame[offset..offset + one.len()];
        let other = match part {
            part if part == one => two,
            part if part == two => one,
            _ => continue,
        };
        swapped[offset..offset + one.len()].copy_from_slice(other);
    }
    swapped.into()
}
