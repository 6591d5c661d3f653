//! Session floors under reordering, loss, repetition, restarts without memory and
//! changes of the homes: a read never returns a floor lower than that of a write
//! acknowledged before the read began.

use async_trait::async_trait;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stilequay_coordination::floors::{
    BarrierError, BarrierSource, Epoch, FloorClient, FloorClientSettings, FloorHome,
    FloorPlacement, FloorRegisterSettings, FloorReply, FloorRequest, FloorTransport,
    FloorTransportError, SessionKey,
};
use stilequay_coordination::identity::NodeId;
use stilequay_coordination::position::{Floor, LogPosition, Term};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const NODES: usize = 5;
const HOMES: usize = 3;
const SESSIONS: u8 = 4;
const TERM: Term = Term(1);
/// Fewer than there are sessions, so that sessions are evicted.
const REGISTER: FloorRegisterSettings = FloorRegisterSettings { capacity: 2 };

/// A mark that covers whatever position a commit will have.
const BEYOND_ALL_COMMITS: Floor = Floor {
    term: TERM,
    position: LogPosition(u64::MAX),
};

#[derive(Debug, Clone)]
enum Event {
    /// `behind` is the number of placements by which the caller is out of date.
    Write {
        session: u8,
        behind: usize,
    },
    Read {
        session: u8,
        behind: usize,
    },
    Restart {
        node: usize,
    },
    ChangeHomes {
        homes: Vec<usize>,
    },
}

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    /// Each with the time since the one before, milliseconds.
    events: Vec<(u64, Event)>,
}

fn schedules() -> impl Strategy<Value = Schedule> {
    let homes = Just((0..NODES).collect::<Vec<_>>()).prop_shuffle();
    let event = prop_oneof![
        6 => (0..SESSIONS, 0..3usize)
            .prop_map(|(session, behind)| Event::Write { session, behind }),
        6 => (0..SESSIONS, 0..3usize)
            .prop_map(|(session, behind)| Event::Read { session, behind }),
        2 => (0..NODES).prop_map(|node| Event::Restart { node }),
        1 => homes.prop_map(|nodes| Event::ChangeHomes { homes: nodes[..HOMES].to_vec() }),
    ];
    let events = prop::collection::vec((0..150u64, event), 1..80);
    (any::<u64>(), events).prop_map(|(seed, events)| Schedule { seed, events })
}

/// Which of the rules hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rules {
    All,
    /// Wrong on purpose: calls of other epochs are served, and no epoch is sealed first.
    NoEpochs,
    /// Wrong on purpose: floors are stored before their commit happens.
    MarkBeforeCommit,
    /// Wrong on purpose: a home that starts believes the placement of long ago.
    StalePlacementAtStart,
}

#[derive(Debug, Default)]
struct Outcome {
    acknowledged: usize,
    read: usize,
    violations: Vec<String>,
}

struct Node {
    home: Arc<FloorHome>,
    placement: watch::Sender<Option<FloorPlacement>>,
    stopped: CancellationToken,
}

struct World {
    rules: Rules,
    random: Mutex<StdRng>,
    committed: Mutex<u64>,
    nodes: Mutex<BTreeMap<NodeId, Node>>,
    placements: Mutex<Vec<FloorPlacement>>,
    acknowledged: Mutex<BTreeMap<u8, u64>>,
    outcome: Mutex<Outcome>,
}

/// The network and the primary, as one caller sees them.
#[derive(Clone)]
struct Link(Arc<World>);

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
    fn chance(&self, probability: f64) -> bool {
        self.random.lock().unwrap().random_bool(probability)
    }

    async fn pass(&self, most_millis: u64) {
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

    fn placement(&self, behind: usize) -> FloorPlacement {
        let placements = self.placements.lock().unwrap();
        let index = placements.len().saturating_sub(1 + behind);
        placements[index].clone()
    }

    fn commit(&self) -> u64 {
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

fn floor_at(position: u64) -> Floor {
    Floor::new(TERM, LogPosition(position))
}

fn node_id(index: usize) -> NodeId {
    NodeId::new(format!("node-{index}"))
}

fn session_key(session: u8) -> SessionKey {
    SessionKey::of(&session.to_string())
}

fn start_node(world: &Arc<World>, index: usize) {
    let own = node_id(index);
    let behind = match world.rules {
        Rules::StalePlacementAtStart => usize::MAX - 1,
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
fn change_homes(world: &Arc<World>, homes: &[usize]) {
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
            world.pass(300).await;
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

async fn write(world: Arc<World>, session: u8, behind: usize) {
    let placement = world.placement(behind);
    let client = FloorClient::new(
        Arc::new(Link(world.clone())),
        FloorClientSettings::default(),
    );
    let key = session_key(session);
    let (position, stored) = if world.rules == Rules::MarkBeforeCommit {
        let stored = client.store(&placement, key, BEYOND_ALL_COMMITS).await;
        world.pass(500).await;
        (world.commit(), stored)
    } else {
        let position = world.commit();
        let stored = client.store(&placement, key, floor_at(position)).await;
        (position, stored)
    };
    if stored.is_ok() {
        let mut acknowledged = world.acknowledged.lock().unwrap();
        let latest = acknowledged.entry(session).or_default();
        *latest = position.max(*latest);
        world.outcome.lock().unwrap().acknowledged += 1;
    }
}

async fn read(world: Arc<World>, session: u8, behind: usize) {
    let acknowledged = world.acknowledged.lock().unwrap().get(&session).copied();
    let required = floor_at(acknowledged.unwrap_or_default());
    let placement = world.placement(behind);
    let client = FloorClient::new(
        Arc::new(Link(world.clone())),
        FloorClientSettings::default(),
    );
    let Ok(floor) = client.load(&placement, session_key(session)).await else {
        return;
    };
    let mut outcome = world.outcome.lock().unwrap();
    outcome.read += 1;
    if floor < required {
        let epoch = placement.epoch;
        outcome.violations.push(format!(
            "session {session} read {floor} in epoch {epoch}, {required} was acknowledged"
        ));
    }
}

async fn run(schedule: Schedule, rules: Rules) -> Outcome {
    let first = FloorPlacement {
        epoch: Epoch(1),
        homes: (0..HOMES).map(node_id).collect(),
        previous: Vec::new(),
    };
    let world = Arc::new(World {
        rules,
        random: Mutex::new(StdRng::seed_from_u64(schedule.seed)),
        committed: Mutex::new(0),
        nodes: Mutex::default(),
        placements: Mutex::new(vec![first]),
        acknowledged: Mutex::default(),
        outcome: Mutex::default(),
    });
    (0..NODES).for_each(|index| start_node(&world, index));
    let mut calls = tokio::task::JoinSet::new();
    for (millis, event) in schedule.events {
        tokio::time::sleep(Duration::from_millis(millis)).await;
        match event {
            Event::Write { session, behind } => {
                calls.spawn(write(world.clone(), session, behind));
            }
            Event::Read { session, behind } => {
                calls.spawn(read(world.clone(), session, behind));
            }
            Event::Restart { node } => start_node(&world, node),
            Event::ChangeHomes { homes } => change_homes(&world, &homes),
        }
    }
    calls.join_all().await;
    std::mem::take(&mut *world.outcome.lock().unwrap())
}

fn simulate(schedule: Schedule, rules: Rules) -> Outcome {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(run(schedule, rules))
}

proptest! {
    #[test]
    fn no_read_returns_less_than_an_acknowledged_write(schedule in schedules()) {
        let outcome = simulate(schedule, Rules::All);
        prop_assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    }
}

/// Outcomes of the same schedules each run.
fn outcomes(rules: Rules, count: usize) -> impl Iterator<Item = Outcome> {
    let mut runner = TestRunner::deterministic();
    std::iter::repeat_with(move || {
        let schedule = schedules().new_tree(&mut runner).unwrap().current();
        simulate(schedule, rules)
    })
    .take(count)
}

#[test]
fn most_calls_succeed_so_that_the_property_is_not_empty() {
    let total = outcomes(Rules::All, 100).fold(Outcome::default(), |mut total, outcome| {
        total.acknowledged += outcome.acknowledged;
        total.read += outcome.read;
        total
    });
    assert!(total.acknowledged > 300, "{total:?}");
    assert!(total.read > 300, "{total:?}");
}

#[rstest::rstest]
#[case(Rules::NoEpochs)]
#[case(Rules::MarkBeforeCommit)]
#[case(Rules::StalePlacementAtStart)]
fn the_simulation_finds_a_broken_rule(#[case] rules: Rules) {
    let found = outcomes(rules, 1_000).any(|outcome| !outcome.violations.is_empty());
    assert!(found, "no schedule showed the fault");
}
