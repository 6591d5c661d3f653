//! Nodes of a small fleet in one process, and waiting for what they come to.

use crate::platform::{AppliedChanges, ChangeLog};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stilequay_coordination::control::{self, ControlSockets, LinkPolicy};
use stilequay_coordination::distribution::{Distribution, DistributionConfig};
use stilequay_coordination::identity::{Incarnation, NodeId, RegionName, ZoneName};
use stilequay_coordination::membership::{
    Liveness, MemberRecord, Membership, MembershipConfig, MembershipTiming, Seed,
};
use stilequay_coordination::traffic::MessageKind;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Far longer than anything takes, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(90);

/// Waits until `accept` holds for the value of `receiver`.
pub async fn eventually<T: Clone + std::fmt::Debug>(
    what: &str,
    receiver: &mut watch::Receiver<T>,
    accept: impl Fn(&T) -> bool,
) -> T {
    let result = tokio::time::timeout(PATIENCE, receiver.wait_for(|value| accept(value)))
        .await
        .map(|result| result.expect("the node runs").clone());
    result.unwrap_or_else(|_| panic!("{what} did not come: {:?}", receiver.borrow()))
}

/// Links that can be cut between groups of addresses.
#[derive(Debug, Default)]
pub struct Cut {
    isolated: Mutex<BTreeSet<SocketAddr>>,
}

impl Cut {
    /// Cuts the nodes at `addresses` from the others, or from nobody if there are none.
    pub fn isolate(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        *self.isolated.lock().unwrap() = addresses.into_iter().collect();
    }

    fn is_isolated(&self, address: SocketAddr) -> bool {
        self.isolated.lock().unwrap().contains(&address)
    }
}

#[derive(Debug)]
struct CutLinks {
    own: SocketAddr,
    cut: Arc<Cut>,
}

impl LinkPolicy for CutLinks {
    fn permits(&self, peer: SocketAddr) -> bool {
        self.cut.is_isolated(self.own) == self.cut.is_isolated(peer)
    }
}

/// Where a node runs.
#[derive(Debug, Clone, Copy)]
pub struct Location {
    pub zone: &'static str,
    pub region: &'static str,
}

pub const NORTH_A: Location = Location {
    zone: "north-a",
    region: "north",
};
pub const NORTH_B: Location = Location {
    zone: "north-b",
    region: "north",
};
pub const SOUTH_A: Location = Location {
    zone: "south-a",
    region: "south",
};

/// A fleet under test.
pub struct Fleet {
    pub cut: Arc<Cut>,
    pub log: Arc<ChangeLog>,
    seeds: watch::Sender<Vec<Seed>>,
}

/// One node under test. Stops abruptly when dropped.
pub struct Node {
    pub record: MemberRecord,
    pub membership: Membership,
    pub distribution: Distribution,
    pub applied: Arc<AppliedChanges>,
    serving: CancellationToken,
}

impl Fleet {
    pub fn new() -> Self {
        Self {
            cut: Arc::default(),
            log: Arc::default(),
            seeds: watch::channel(Vec::new()).0,
        }
    }

    /// Starts a node in its first life.
    pub async fn start(&self, name: &str, location: Location) -> Node {
        self.start_life(name, location, 1).await
    }

    /// Starts a node in the life `incarnation`.
    pub async fn start_life(&self, name: &str, location: Location, incarnation: u64) -> Node {
        let sockets = ControlSockets::bind(([127, 0, 0, 1], 0).into())
            .await
            .expect("a port is free");
        let address = sockets.local_address().expect("the socket is bound");
        let record = MemberRecord {
            node: NodeId::from(name),
            incarnation: Incarnation(incarnation),
            zone: ZoneName::from(location.zone),
            region: RegionName::from(location.region),
            control_address: address,
            data_address: address,
        };
        self.seed(&record);
        self.run(record, sockets)
    }

    /// Starts several nodes, named by the zone and a number.
    pub async fn start_many(&self, location: Location, count: usize) -> Vec<Node> {
        let mut nodes = Vec::new();
        for number in 0..count {
            let name = format!("{}-{number}", location.zone);
            nodes.push(self.start(&name, location).await);
        }
        nodes
    }

    fn seed(&self, record: &MemberRecord) {
        let seed = Seed {
            node: record.node.clone(),
            zone: record.zone.clone(),
            region: record.region.clone(),
            control_address: record.control_address,
        };
        self.seeds.send_modify(|seeds| {
            seeds.retain(|known| known.node != seed.node);
            seeds.push(seed);
        });
    }

    fn run(&self, record: MemberRecord, sockets: ControlSockets) -> Node {
        let links = CutLinks {
            own: record.control_address,
            cut: self.cut.clone(),
        };
        let config = MembershipConfig {
            own: record.clone(),
            timing: quick_timing(),
            links: Arc::new(links),
        };
        let membership = Membership::start(config, sockets.datagrams, self.seeds.subscribe());
        let applied = Arc::new(AppliedChanges::default());
        let distribution = Distribution::start(
            quick_distribution(),
            membership.clone(),
            self.log.clone(),
            applied.clone(),
        );
        let serving = CancellationToken::new();
        tokio::spawn(control::serve(
            sockets.listener,
            membership.clone(),
            distribution.clone(),
            serving.clone(),
        ));
        Node {
            record,
            membership,
            distribution,
            applied,
            serving,
        }
    }
}

fn quick_timing() -> MembershipTiming {
    MembershipTiming {
        probe_interval: Duration::from_millis(200),
        probe_timeout: Duration::from_millis(80),
        gossip_interval: Duration::from_millis(40),
        exchange_interval: Duration::from_millis(100),
        zone_timeout: Duration::from_secs(4),
        sync_interval: Duration::from_millis(500),
        ..MembershipTiming::default()
    }
}

fn quick_distribution() -> DistributionConfig {
    DistributionConfig {
        degree: 2,
        poll_interval: Duration::from_millis(50),
        standby_poll_interval: Duration::from_millis(200),
        retained_changes: 8,
        ..DistributionConfig::default()
    }
}

impl Node {
    /// Stops without telling anybody, as a crash would.
    pub async fn crash(&self) {
        self.serving.cancel();
        self.membership.stop().await;
        self.distribution.stop().await;
    }

    /// Waits until the node sees exactly these others, and itself, with `liveness`.
    pub async fn sees(&self, others: &[&Node], liveness: Liveness) {
        let expected: BTreeSet<_> = others
            .iter()
            .map(|node| (&node.record.node, node.record.incarnation))
            .collect();
        let own = &self.record.node;
        let what = format!("{own} sees {expected:?} as {liveness:?}");
        eventually(&what, &mut self.membership.view(), |view| {
            let seen: BTreeSet<_> = view
                .members()
                .iter()
                .filter(|member| member.record.node != *own && member.liveness == liveness)
                .map(|member| (&member.record.node, member.record.incarnation))
                .collect();
            seen == expected
        })
        .await;
    }

    /// Waits until the node has sent `count` more probes.
    pub async fn probes(&self, count: u64) {
        let sent = || {
            let traffic = self.membership.traffic();
            traffic.count(MessageKind::Probe).messages_sent
        };
        let enough = sent() + count;
        while sent() < enough {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until the node no longer has `other` in its view.
    pub async fn drops(&self, other: &Node) {
        let what = format!("{} drops {}", self.record.node, other.record.node);
        eventually(&what, &mut self.membership.view(), |view| {
            view.get(&other.record.node).is_none()
        })
        .await;
    }

    /// Waits until the node sees `other` with `liveness`.
    pub async fn sees_one(&self, other: &Node, liveness: Liveness) {
        let what = format!("{} sees {liveness:?}", self.record.node);
        eventually(&what, &mut self.membership.view(), |view| {
            view.get(&other.record.node).is_some_and(|member| {
                member.liveness == liveness && member.record.incarnation == other.record.incarnation
            })
        })
        .await;
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.serving.cancel();
    }
}

/// Waits until all nodes see each other.
pub async fn all_meet(nodes: &[&Node]) {
    for node in nodes {
        let others: Vec<_> = nodes
            .iter()
            .filter(|other| other.record.node != node.record.node)
            .copied()
            .collect();
        node.sees(&others, Liveness::Alive).await;
    }
}
