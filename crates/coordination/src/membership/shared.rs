//! What the tasks of one node's membership share.

use super::audience::Audience;
use super::config::{MembershipConfig, MembershipTiming};
use super::contacts::ZoneContacts;
use super::datagram::{DatagramWriter, Header, ProbeId, Purpose, VERSION};
use super::news::NewsQueue;
use super::record::{Delta, MemberRecord, MemberState, Status};
use super::table::Table;
use super::view::MembershipView;
use crate::control::Links;
use crate::identity::NodeId;
use crate::revision::Revision;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// How often a report is sent on, times the binary logarithm of the receivers.
const RETRANSMISSION_FACTOR: u32 = 2;

/// How often a report is sent to each other zone or region. The comparisons mend
/// what is lost nevertheless.
const WIDE_TRANSMISSIONS: u32 = 3;

/// A node accuses others only if it heard of somebody within so many probe intervals.
const INTERVALS_OF_OWN_CONTACT: u32 = 3;

/// The part that is locked. Never held across an await.
#[derive(Debug)]
pub(super) struct State {
    /// All reports.
    pub table: Table,
    /// Reports to spread in the own zone.
    pub zone_news: NewsQueue,
    /// Reports to carry to each of the other zones and regions, should this node
    /// represent its own.
    pub wide_news: BTreeMap<Audience, NewsQueue>,
    /// Suspicions that this node times, and when they become final.
    pub suspicions: HashMap<NodeId, Instant>,
    /// When the zones were last heard of.
    pub contacts: ZoneContacts,
    /// What the nodes last heard of have applied.
    pub revisions: HashMap<NodeId, Revision>,
    /// The digest that the node last heard of in the own zone had.
    pub heard_digest: u64,
    /// When another node was last heard, and which.
    pub last_heard: Option<(Instant, NodeId)>,
}

impl State {
    /// Queues the report on `node` for all other zones and regions.
    pub fn add_wide_news(&mut self, node: &NodeId, now: Instant) {
        for queue in self.wide_news.values_mut() {
            queue.add(node, now);
        }
    }
}

/// Everything the tasks share.
#[derive(Debug)]
pub(super) struct Shared {
    /// The node's record as it was started.
    pub own: MemberRecord,
    /// Intervals and limits.
    pub timing: MembershipTiming,
    /// Where the datagrams go out and come in.
    pub socket: UdpSocket,
    /// The locked part.
    state: Mutex<State>,
    /// Probes that wait for their acknowledgement.
    waiting: Mutex<HashMap<ProbeId, oneshot::Sender<()>>>,
    next_probe: AtomicU64,
    /// The published view.
    pub view: watch::Sender<Arc<MembershipView>>,
    /// Whether the node has met the fleet.
    pub joined: watch::Sender<bool>,
    /// Told when the view must be published anew.
    pub changed: Notify,
    /// Told when there is news to spread.
    pub news: Notify,
    /// What this node has applied of the distributed changes.
    pub revision: AtomicU64,
    /// The highest revision that another node was heard to have applied.
    pub highest_revision: watch::Sender<Revision>,
    /// What the links to other nodes have in common.
    pub links: Links,
    /// Ends all tasks.
    pub stopped: CancellationToken,
}

impl Shared {
    /// The state of a node that knows only itself.
    pub fn new(config: MembershipConfig, socket: UdpSocket) -> Self {
        let now = Instant::now();
        let MembershipConfig { own, timing, links } = config;
        let first = MemberState {
            record: Arc::new(own.clone()),
            renewal: 0,
            status: Status::Alive,
        };
        let state = State {
            table: Table::new(first, now),
            zone_news: NewsQueue::default(),
            wide_news: BTreeMap::new(),
            suspicions: HashMap::new(),
            contacts: ZoneContacts::default(),
            revisions: HashMap::new(),
            heard_digest: 0,
            last_heard: None,
        };
        Self {
            own,
            timing,
            socket,
            state: Mutex::new(state),
            waiting: Mutex::new(HashMap::new()),
            next_probe: AtomicU64::new(rand::random()),
            view: watch::channel(Arc::default()).0,
            joined: watch::channel(false).0,
            changed: Notify::new(),
            news: Notify::new(),
            revision: AtomicU64::new(0),
            highest_revision: watch::channel(Revision::default()).0,
            links: Links::new(links),
            stopped: CancellationToken::new(),
        }
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a probe; the receiver is told of its acknowledgement.
    pub fn expect_acknowledgement(&self) -> (ProbeId, oneshot::Receiver<()>) {
        let id = ProbeId(self.next_probe.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.waiting().insert(id, sender);
        (id, receiver)
    }

    /// An acknowledgement came.
    pub fn acknowledged(&self, id: ProbeId) {
        if let Some(sender) = self.waiting().remove(&id) {
            // The probe may have been given up in the meantime.
            let _ = sender.send(());
        }
    }

    /// A probe is given up.
    pub fn forget_probe(&self, id: ProbeId) {
        self.waiting().remove(&id);
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<ProbeId, oneshot::Sender<()>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this node has lately heard another one than `target`, or knows no
    /// other: a node that hears nobody may itself be the one that is cut off.
    pub fn hears_others(&self, state: &State, target: &NodeId, now: Instant) -> bool {
        let window = self.timing.probe_interval * INTERVALS_OF_OWN_CONTACT;
        let heard = state.last_heard.as_ref().is_some_and(|(when, node)| {
            node != target && now.saturating_duration_since(*when) <= window
        });
        heard || !self.knows_others(target)
    }

    fn knows_others(&self, target: &NodeId) -> bool {
        let view = self.view.borrow();
        let mut members = view.members().iter().map(|member| &member.record.node);
        members.any(|node| *node != self.own.node && node != target)
    }

    /// Replaces the report of this node about itself and spreads it.
    pub fn publish_own(&self, state: &mut State, own: MemberState, now: Instant) {
        state.table.renew_own(own, now);
        state.zone_news.add(&self.own.node, now);
        state.add_wide_news(&self.own.node, now);
        self.changed.notify_one();
        self.news.notify_one();
    }

    /// Nodes in the own zone, as last published.
    pub fn zone_size(&self) -> usize {
        self.view.borrow().zone_size(&self.own.zone)
    }

    /// How often each report is sent in a group of `receivers`.
    pub fn retransmissions(receivers: usize) -> u32 {
        let logarithm = (receivers as u32 + 1).ilog2() + 1;
        RETRANSMISSION_FACTOR * logarithm
    }

    /// Sends a datagram with news: that of the own zone, or that for other zones.
    /// `first` is reported in any case.
    pub async fn send(
        &self,
        address: SocketAddr,
        purpose: Purpose,
        audience: &Audience,
        first: Option<&NodeId>,
    ) {
        let kind = purpose.kind();
        let bytes = self.encode(purpose, audience, first);
        self.links.traffic.sent(kind, bytes.len());
        if self.links.policy.permits(address) {
            // A datagram that can't be sent is one that is lost: the protocol bears that.
            let _ = self.socket.send_to(&bytes, address).await;
        }
    }

    fn encode(&self, purpose: Purpose, audience: &Audience, first: Option<&NodeId>) -> Vec<u8> {
        let now = Instant::now();
        let receivers = self.zone_size();
        let mut guard = self.state();
        let state = &mut *guard;
        let header = Header {
            version: VERSION,
            sender: self.own.node.clone(),
            revision: Revision(self.revision.load(Ordering::Relaxed)),
            digest: state.table.digest(),
            contacts: state.contacts.tell(self.timing.zone_timeout, now),
            purpose,
        };
        let mut writer = DatagramWriter::new(&header);
        let table = &state.table;
        if let Some(entry) = first.and_then(|node| table.get(node)) {
            writer.push(&Delta::from(&entry.state));
        }
        let (queue, limit) = if *audience == Audience::OwnZone {
            let limit = Self::retransmissions(receivers);
            (Some(&mut state.zone_news), limit)
        } else {
            (state.wide_news.get_mut(audience), WIDE_TRANSMISSIONS)
        };
        if let Some(queue) = queue {
            queue.take_while(limit, |node| match table.get(node) {
                Some(entry) => writer.push(&Delta::from(&entry.state)),
                None => true,
            });
        }
        writer.into_bytes()
    }
}
