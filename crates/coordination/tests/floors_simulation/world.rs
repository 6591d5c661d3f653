//! Five nodes, an unreliable network between them, and a primary that commits.

use async_trait::async_trait;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stilequay_coordination::floors::{
    BarrierError, BarrierSource, Epoch, FloorHome, FloorPlacement, FloorRegisterSettings,
    FloorReply, FloorRequest, FloorTransport, FloorTransportError,
};
use stilequay_coordination::identity::NodeId;
use stilequay_coordination::position::{Floor, LogPosition, Term};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

pub const NODES: usize = 5;
pub const HOMES: usize = 3;
/// Longest time until a node hears of a new set of homes.
const PLACEMENT_DELAY_MILLIS: u64 = 1_500;
pub const TERM: Term = Term(1);
/// Fewer than there are sessions, so that sessions are evicted.
const REGISTER: FloorRegisterSettings = FloorRegisterSettings { capacity: 2 };

/// Which of the rules hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rules {
    All,
    /// Wrong on purpose: calls of other epochs are served, and no epoch is sealed first.
    NoEpochs,
    /// Wrong on purpose: floors are stored before their commit happens.
    MarkBeforeCommit,
    /// Wrong on purpose: a home that starts believes the placement before the latest.
    StalePlacementAtStart,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub acknowledged: usize,
    pub read: usize,
    pub violations: Vec<String>,
}

struct Node {
    home: Arc<FloorHome>,
    placement: watch::Sender<Option<FloorPlacement>>,
    stopped: CancellationToken,
}

pub struct World {
    pub rules: Rules,
    random: Mutex<StdRng>,
    committed: Mutex<u64>,
    nodes: Mutex<BTreeMap<NodeId, Node>>,
    placements: Mutex<Vec<FloorPlacement>>,
    pub acknowledged: Mutex<BTreeMap<u8, u64>>,
    pub outcome: Mutex<Outcome>,
}

/// The network and the primary, as one caller sees them.
#[derive(Clone)]
pub struct Link(pub Arc<World>);

#[async_trait]
impl FloorTransport for Link {
    async fn call(
        &self,
        home: &NodeId,
        request: FloorRequest,
    ) -> Result<FloorReply, FloorTransportError> {
        let world = &self.0;
        if world.chance(0.05) {
            self.deliver_late(home.clone(), request);
        }
        world.pass(40).await;
        if world.chance(0.1) {
            return Err(lost());
        }
        let reply = world.deliver(home, request);
        world.pass(40).await;
        if world.chance(0.1) {
            Err(lost())
        } else {
            Ok(reply)
        }
    }
}

impl Link {
    /// A second copy of the message, that arrives much later.
    fn deliver_late(&self, home: NodeId, request: FloorRequest) {
        let world = self.0.clone();
        tokio::spawn(async move {
            world.pass(2_000).await;
            world.deliver(&home, request);
        });
    }
}

#[async_trait]
impl BarrierSource for Link {
    async fn barrier(&self) -> Result<Floor, BarrierError> {
        self.0.pass(30).await;
        let position = *self.0.committed.lock().unwrap();
        self.0.pass(30).await;
        if self.0.chance(0.2) {
            return Err(BarrierError::Unavailable("no primary".to_owned()));
        }
        Ok(floor_at(position))
    }
}

impl World {
    pub fn new(seed: u64, rules: Rules) -> Self {
        let first = FloorPlacement {
            epoch: Epoch(1),
            homes: (0..HOMES).map(node_id).collect(),
            previous: Vec::new(),
        };
        Self {
            rules,
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            committed: Mutex::new(0),
            nodes: Mutex::default(),
            placements: Mutex::new(vec![first]),
            acknowledged: Mutex::default(),
            outcome: Mutex::default(),
        }
    }

    fn chance(&self, probability: f64) -> bool {
        self.random.lock().unwrap().random_bool(probability)
    }

    pub async fn pass(&self, most_millis: u64) {
        let millis = self.random.lock().unwrap().random_range(0..=most_millis);
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    fn deliver(&self, home: &NodeId, request: FloorRequest) -> FloorReply {
        let nodes = self.nodes.lock().unwrap();
        let node = &nodes[home];
        let request = match self.rules {
            Rules::NoEpochs => in_epoch_of(node, request),
            _ => request,
        };
        node.home.handle(request)
    }

    pub fn placement(&self, behind: usize) -> FloorPlacement {
        let placements = self.placements.lock().unwrap();
        let index = placements.len().saturating_sub(1 + behind);
        placements[index].clone()
    }

    pub fn commit(&self) -> u64 {
        let mut committed = self.committed.lock().unwrap();
        *committed += 1;
        *committed
    }
}

fn in_epoch_of(node: &Node, request: FloorRequest) -> FloorRequest {
    let known = node.placement.borrow();
    let epoch = known.as_ref().map_or(Epoch(0), |placement| placement.epoch);
    match request {
        FloorRequest::Store { session, floor, .. } => FloorRequest::Store {
            epoch,
            session,
            floor,
        },
        FloorRequest::Load { session, .. } => FloorRequest::Load { epoch, session },
        FloorRequest::Acknowledge { .. } => FloorRequest::Acknowledge { epoch },
    }
}

fn lost() -> FloorTransportError {
    FloorTransportError::Unreachable("lost".to_owned())
}

pub fn floor_at(position: u64) -> Floor {
    Floor::new(TERM, LogPosition(position))
}

fn node_id(index: usize) -> NodeId {
    NodeId::new(format!("node-{index}"))
}

pub fn start_node(world: &Arc<World>, index: usize) {
    let own = node_id(index);
    let behind = match world.rules {
        Rules::StalePlacementAtStart => 1,
        _ => 0,
    };
    let link = Arc::new(Link(world.clone()));
    let home = Arc::new(FloorHome::new(own.clone(), REGISTER, link.clone(), link));
    let (placement, receiver) = watch::channel(Some(world.placement(behind)));
    let stopped = CancellationToken::new();
    let (following, leaving) = (home.clone(), stopped.clone());
    tokio::spawn(async move { following.follow(receiver, leaving).await });
    let node = Node {
        home,
        placement,
        stopped,
    };
    if let Some(before) = world.nodes.lock().unwrap().insert(own, node) {
        before.stopped.cancel();
    }
}

/// Decides on a new set of homes; each node hears of it some time later.
pub fn change_homes(world: &Arc<World>, homes: &[usize]) {
    let before = world.placement(0);
    let previous = match world.rules {
        Rules::NoEpochs => Vec::new(),
        _ => before.homes,
    };
    let homes = homes.iter().copied().map(node_id).collect();
    let placement = FloorPlacement {
        epoch: before.epoch.next(),
        homes,
        previous,
    };
    world.placements.lock().unwrap().push(placement.clone());
    for index in 0..NODES {
        let (world, placement) = (world.clone(), placement.clone());
        tokio::spawn(async move {
            world.pass(PLACEMENT_DELAY_MILLIS).await;
            let nodes = world.nodes.lock().unwrap();
            nodes[&node_id(index)].placement.send_if_modified(|known| {
                let later = known
                    .as_ref()
                    .is_none_or(|known| known.epoch < placement.epoch);
                if later {
                    *known = Some(placement);
                }
                later
            });
        });
    }
}
