//! In-memory simulation of a group of servers, of the store and of the promotion service, on
//! tokio's paused clock, so that timing is reproducible.

#![allow(dead_code)]

pub mod freezer;
pub mod groups;
pub mod history;
pub mod peers;
pub mod records;
pub mod servers;
pub mod telemetry;

use bytes::Bytes;
use futures::FutureExt;
use history::History;
use peers::MemoryPeers;
use records::MemoryRecords;
use servers::{Network, World, WorldBackEnd, WorldPromoter};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::lease::LeaseRecord;
use stilequay_engine::configuration::{Configuration, Consistency, GroupSettings, Route};
use stilequay_engine::directory::{Departure, Directory};
use stilequay_engine::engine::{Engine, EngineRecords, EngineSettings, SlowStartBounds};
use stilequay_engine::evacuation::Evacuations;
use stilequay_engine::following::Feed;
use stilequay_engine::leadership;
use stilequay_engine::names::{RegionName, ZoneName};
use stilequay_engine::residency::Residency;
use stilequay_engine::session::Session;
use stilequay_engine::statement::{Access, PreparedStatement, Reply, Request, Statement};
use stilequay_engine::tenant::{Credential, TenantPolicy};
use stilequay_engine::topology::Topology;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// The database with leader consistency.
pub const LEADER_DATABASE: &str = "orders";
/// The database with bounded staleness.
pub const BOUNDED_DATABASE: &str = "menus";
/// The database whose sessions read their own writes.
pub const OWN_DATABASE: &str = "riders";
/// Maximum staleness of reads that aren't leader reads.
pub const STALENESS: Duration = Duration::from_millis(1_500);
/// The only group.
pub const GROUP: &str = "ledger";
/// Timeout of all routes.
pub const TIMEOUT: Duration = Duration::from_millis(800);

/// A fleet of processes in front of one group.
pub struct Fleet {
    pub world: Arc<World>,
    pub records: Arc<MemoryRecords>,
    pub peers: Arc<MemoryPeers>,
    pub nodes: Vec<Node>,
    /// The newest configuration in the store.
    pub configuration: watch::Sender<Configuration>,
    /// The evacuated zones, as recorded in the store.
    pub evacuations: watch::Sender<Evacuations>,
    /// The evacuation bound of processes that are started.
    pub evacuation_bound: Option<Duration>,
    /// The zones of the processes, assigned round-robin.
    zones: &'static [&'static str],
    /// The regions of the zones, according to the settings of the process with this name.
    regions: fn(&str) -> HashMap<ZoneName, RegionName>,
    /// How callers authenticate as tenants.
    pub tenants: Option<TenantPolicy>,
}

/// One process of the fleet.
pub struct Node {
    pub name: String,
    pub engine: Arc<Engine>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Aborts the process's tasks and keeps its engine's state.
    pub fn abort(&self) {
        self.tasks.iter().for_each(|task| task.abort());
    }

    /// Whether all tasks of the process go on.
    pub fn is_running(&self) -> bool {
        !self.tasks.iter().any(JoinHandle::is_finished)
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.tasks.drain(..).for_each(|task| task.abort());
    }
}

pub fn configuration(sync_replicas: usize) -> Configuration {
    let route = |consistency, staleness| {
        Arc::new(Route {
            group: Arc::from(GROUP),
            consistency,
            max_staleness: staleness,
            timeout: TIMEOUT,
            objective: Duration::from_millis(250),
            priority: 1,
            is_public: false,
            residency: Residency::ANYWHERE,
        })
    };
    let routes = [
        (LEADER_DATABASE, route(Consistency::Leader, Duration::ZERO)),
        (
            BOUNDED_DATABASE,
            route(Consistency::BoundedStaleness, STALENESS),
        ),
        (OWN_DATABASE, route(Consistency::ReadYourWrites, STALENESS)),
    ];
    let group = GroupSettings {
        member_connections: 34,
        sync_replicas,
        slow_start: None,
    };
    Configuration {
        version: 1,
        routes: routes
            .into_iter()
            .map(|(name, route)| (Arc::from(name), route))
            .collect(),
        groups: HashMap::from([(Arc::from(GROUP), group)]),
        transaction_idle: Some(Duration::from_secs(3)),
        ..Configuration::default()
    }
}

impl Fleet {
    /// Starts `nodes` processes in front of three servers, with `a` as the leader, and waits until
    /// every process knows the leader.
    pub async fn start(nodes: usize) -> Self {
        Self::start_in(&["zone-a"], nodes).await
    }

    /// Like [`Fleet::start`], with processes in several zones.
    pub async fn start_in(zones: &'static [&'static str], nodes: usize) -> Self {
        Self::start_with(zones, nodes, None).await
    }

    /// Like [`Fleet::start_in`], with callers that present credentials.
    pub async fn start_with(
        zones: &'static [&'static str],
        nodes: usize,
        tenants: Option<TenantPolicy>,
    ) -> Self {
        Self::start_with_options(zones, nodes, tenants, None, |_| HashMap::new()).await
    }

    /// Like [`Fleet::start_in`], with the evacuation bound `bound`.
    pub async fn start_with_evacuation_bound(
        bound: Duration,
        zones: &'static [&'static str],
        nodes: usize,
    ) -> Self {
        Self::start_with_options(zones, nodes, None, Some(bound), |_| HashMap::new()).await
    }

    /// Like [`Fleet::start_with`], where the settings of each process list the regions of the zones.
    pub async fn start_in_regions(
        zones: &'static [&'static str],
        nodes: usize,
        tenants: Option<TenantPolicy>,
        regions: fn(&str) -> HashMap<ZoneName, RegionName>,
    ) -> Self {
        Self::start_with_options(zones, nodes, tenants, None, regions).await
    }

    /// Like [`Fleet::start`], with all options.
    pub async fn start_with_options(
        zones: &'static [&'static str],
        nodes: usize,
        tenants: Option<TenantPolicy>,
        evacuation_bound: Option<Duration>,
        regions: fn(&str) -> HashMap<ZoneName, RegionName>,
    ) -> Self {
        print_events_if_enabled();
        let world = World::new(&["a", "b", "c"]);
        let records = MemoryRecords::new();
        let mut fleet = Self {
            peers: MemoryPeers::new(&world),
            world,
            records,
            nodes: Vec::new(),
            zones,
            regions,
            configuration: watch::Sender::new(configuration(1)),
            evacuations: watch::Sender::new(Evacuations::default()),
            evacuation_bound,
            tenants,
        };
        for index in 0..nodes {
            let node = fleet.spawn_node(&format!("node-{index}"));
            fleet.nodes.push(node);
        }
        let knows_leader =
            |node: &Node| node.engine.group(&Arc::from(GROUP)).view().leader.is_some();
        let nodes = fleet.nodes.iter().collect::<Vec<_>>();
        until(|| nodes.iter().all(|node| knows_leader(node))).await;
        until(|| fleet.records.get("lease/promotion").is_some()).await;
        // The program serves no callers before it has learned the configuration from the store or
        // from another process. Here the configuration is set in advance, so wait for the proof.
        let has_proof = |node: &Node| {
            let proof = node.engine.following().configuration_complete_as_of();
            proof.is_some()
        };
        until(|| fleet.nodes.iter().all(has_proof)).await;
        fleet
    }

    /// Restarts a process that was killed.
    pub fn respawn_node(&self, name: &str) -> Node {
        self.peers.revive(name);
        self.spawn_node(name)
    }

    /// Starts one process.
    pub fn spawn_node(&self, name: &str) -> Node {
        let number: Option<usize> = name.rsplit('-').next().and_then(|n| n.parse().ok());
        let zone = self.zones[number.unwrap_or(0) % self.zones.len()];
        let settings = EngineSettings {
            node: Arc::from(name),
            zone: Arc::from(zone),
            topology: Topology::new(Arc::from(zone), (self.regions)(name)),
            peer_address: Some(MemoryPeers::address_of(name)),
            weight: 1.0,
            propagation_bound: Duration::from_secs(4),
            departure_grace: Duration::from_secs(4),
            configuration_bound: Duration::from_secs(3),
            evacuation_bound: self.evacuation_bound,
            slow_start: SlowStartBounds {
                excess: 1.0,
                slack: 0.0,
            },
            tenants: self.tenants.clone(),
        };
        let back_end = WorldBackEnd {
            world: Arc::clone(&self.world),
            node: name.to_owned(),
        };
        let records = EngineRecords {
            shared: self.records.for_node(name),
            leases: self.records.for_node(name),
        };
        let engine = Engine::new(
            settings,
            Arc::new(back_end),
            records,
            self.peers.for_node(name),
        );
        self.peers.join(name, &engine);
        engine.set_configuration(self.configuration.borrow().clone());
        engine.set_directory(self.directory());
        let promoter = Arc::new(WorldPromoter {
            world: Arc::clone(&self.world),
        });
        let tasks = vec![
            tokio::spawn(leadership::run(Arc::clone(&engine), promoter)),
            tokio::spawn(follow_directory(
                Arc::clone(&engine),
                Arc::clone(&self.world),
                Arc::clone(&self.records),
                OperatorInput {
                    configuration: self.configuration.subscribe(),
                    evacuations: self.evacuations.subscribe(),
                },
            )),
        ];
        Node {
            name: name.to_owned(),
            engine,
            tasks,
        }
    }

    pub fn directory(&self) -> Directory {
        Directory::default().with_entries(1, self.world.entries(), Departure::at(Instant::now()))
    }

    /// Freezes a process, or resumes it.
    pub fn freeze(&self, node: &str, frozen: bool) {
        self.records.freezer.set(node, frozen);
        self.world.freezer.set(node, frozen);
    }

    /// Kills one process immediately, with its links.
    pub fn kill(&mut self, node: usize) {
        self.peers.kill(&self.nodes[node].name);
        self.nodes[node].kill();
    }

    /// The promotion lease as recorded in the store.
    pub fn lease(&self) -> LeaseRecord {
        let record = self.records.get("lease/promotion").expect("a lease");
        rmp_serde::from_slice(&record.value).expect("a lease's record")
    }

    /// The index of the process that holds the promotion lease.
    pub fn holder(&self) -> usize {
        let holder = self.lease().holder;
        let mut nodes = self.nodes.iter();
        let found = nodes.position(|node| node.name == holder.as_str());
        found.expect("a process that holds the lease")
    }

    /// The epoch of the group's leadership as one process knows it.
    pub fn epoch(&self, node: usize) -> u64 {
        let group = self.nodes[node].engine.group(&Arc::from(GROUP));
        group.view().epoch
    }

    /// Spawns one caller per process and database, whose requests are recorded in `history`.
    pub fn spawn_callers(&self, history: &Arc<History>) {
        let databases = [LEADER_DATABASE, OWN_DATABASE, BOUNDED_DATABASE];
        for (index, node) in self.nodes.iter().enumerate() {
            for (kind, database) in databases.iter().enumerate() {
                history.spawn_caller(&node.engine, database, index * databases.len() + kind);
            }
        }
    }

    /// Spawns one caller per process that only sends leader reads, which are recorded in `history`.
    pub fn spawn_readers(&self, history: &Arc<History>) -> Vec<JoinHandle<()>> {
        let databases = 3;
        let nodes = self.nodes.iter().enumerate();
        let spawned = nodes.map(|(index, node)| {
            let session = self.nodes.len() * databases + index;
            history.spawn_reader(&node.engine, session)
        });
        spawned.collect()
    }

    /// Opens a session at one process.
    pub fn session(&self, node: usize, database: &str) -> Client {
        Client::open(&self.nodes[node].engine, database)
    }

    /// Adds a group of the servers `names` to the world and to the configuration; the first is its
    /// leader. Waits until every process knows the leader.
    pub async fn add_group(&self, group: &str, names: &[&str]) {
        self.world.add_group(group, names);
        self.configuration.send_modify(|configuration| {
            let settings = GroupSettings {
                member_connections: 34,
                sync_replicas: usize::from(names.len() > 1),
                slow_start: None,
            };
            configuration.version += 1;
            configuration.groups.insert(Arc::from(group), settings);
        });
        let group = Arc::from(group);
        until(|| {
            let mut views = self.nodes.iter().map(|node| node.engine.group(&group));
            views.all(|group| group.view().leader.is_some())
        })
        .await;
    }

    /// Moves the route of `database` to `group`, and waits until it is in force everywhere.
    pub async fn move_route(&self, database: &str, group: &str) {
        self.configuration.send_modify(|configuration| {
            let route = configuration.routes.get_mut(database).expect("a route");
            Arc::make_mut(route).group = Arc::from(group);
            configuration.version += 1;
        });
        let version = self.configuration.borrow().version;
        until(|| {
            let mut nodes = self.nodes.iter();
            nodes.all(|node| {
                let known = node.engine.configuration();
                known.is_some_and(|known| known.version >= version)
            })
        })
        .await;
    }

    pub fn network(&self) -> &Network {
        &self.world.network
    }
}

/// What the operator has declared in the store.
struct OperatorInput {
    configuration: watch::Receiver<Configuration>,
    evacuations: watch::Receiver<Evacuations>,
}

/// Polls the servers and the operator's input, so that the directory changes shortly after the
/// servers do.
async fn follow_directory(
    engine: Arc<Engine>,
    world: Arc<World>,
    records: Arc<MemoryRecords>,
    operator: OperatorInput,
) {
    let mut version = 1;
    loop {
        sleep(Duration::from_millis(20)).await;
        version += 1;
        if !engine.following().is_direct() {
            continue;
        }
        let now = Instant::now();
        engine
            .following()
            .mark_current(Feed::Configuration, now, version);
        if records.serves(&engine.settings().node) {
            engine.set_evacuations(operator.evacuations.borrow().clone());
            engine.set_configuration(operator.configuration.borrow().clone());
            engine.following().prove_configuration(now);
        }
        engine
            .following()
            .mark_current(Feed::Directory, now, version);
        let next = engine.directory().with_entries(
            version,
            world.entries(),
            Departure::at(Instant::now()),
        );
        engine.set_directory(next);
    }
}

/// Waits for a condition on the paused clock, and panics after 20,000 checks.
pub async fn until(condition: impl Fn() -> bool) {
    for _ in 0..20_000 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(2)).await;
    }
    panic!("timed out waiting for a condition");
}

/// A caller with an open session.
pub struct Client {
    pub session: Session,
    pub next: u64,
}

impl Client {
    pub fn open(engine: &Arc<Engine>, database: &str) -> Self {
        Self::open_with(engine, database, None)
    }

    /// Opens a session of a caller that presents `credential`. The authorization must not have to
    /// wait for anything.
    pub fn open_with(engine: &Arc<Engine>, database: &str, credential: Option<Credential>) -> Self {
        let opened = Session::open(Arc::clone(engine), Arc::from(database), credential);
        let session = opened.now_or_never().expect("no wait in the authorization");
        Self {
            session: session.expect("an authorized session"),
            next: 0,
        }
    }

    pub async fn send(&mut self, statement: Statement) -> Reply {
        self.send_with_id(statement).await.1
    }

    /// Sends a statement; returns the request's id and the reply.
    pub async fn send_with_id(&mut self, statement: Statement) -> (String, Reply) {
        self.next += 1;
        let id = format!("{:08x}-{}", rand::random::<u32>(), self.next);
        let request = Request {
            id: Arc::from(id.as_str()),
            statement,
            received: Instant::now(),
        };
        (id, self.session.handle(&request).await)
    }

    pub async fn read(&mut self, key: &str) -> Reply {
        self.send(read(key)).await
    }

    pub async fn write(&mut self, key: &str) -> Reply {
        self.send(write(key)).await
    }

    /// Retries a write until it is acknowledged, and panics if that takes longer than `within`.
    pub async fn write_until_acknowledged(&mut self, within: Duration) {
        let written = async {
            while self.write("x 1").await.outcome.is_err() {
                sleep(Duration::from_millis(50)).await;
            }
        };
        let written = timeout(within, written).await;
        written.expect("a write is acknowledged");
    }

    pub async fn begin(&mut self, read_only: bool) -> Reply {
        self.send(Statement::Begin { read_only }).await
    }

    pub async fn commit(&mut self) -> Reply {
        self.send(Statement::Commit).await
    }

    /// Commits a transaction of one write; returns the write's id if the commit is acknowledged.
    pub async fn commit_transaction(&mut self) -> Option<String> {
        if self.begin(false).await.outcome.is_err() {
            return None;
        }
        let (id, reply) = self.send_with_id(write("x")).await;
        if reply.outcome.is_err() {
            self.rollback().await;
            return None;
        }
        self.commit().await.outcome.is_ok().then_some(id)
    }

    pub async fn rollback(&mut self) -> Reply {
        self.send(Statement::Rollback).await
    }

    pub async fn set(&mut self, name: &str, value: &str) -> Reply {
        let (name, value) = (bytes(name), bytes(value));
        self.send(Statement::Set { name, value }).await
    }

    pub async fn prepare(&mut self, name: &str, access: Access, shape: &str) -> Reply {
        let prepared = PreparedStatement {
            access,
            shape: bytes(shape),
        };
        let name = bytes(name);
        self.send(Statement::Prepare { name, prepared }).await
    }

    pub async fn execute(&mut self, name: &str, arguments: &str) -> Reply {
        let (name, arguments) = (bytes(name), bytes(arguments));
        self.send(Statement::Execute { name, arguments }).await
    }
}

pub fn read(key: &str) -> Statement {
    Statement::Read {
        text: bytes(&format!("READ {key}")),
    }
}

pub fn write(key: &str) -> Statement {
    Statement::Write {
        text: bytes(&format!("WRITE {key}")),
    }
}

pub fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

/// Parses the first row of a read: the server, and the number of log entries it had applied.
pub fn read_row(reply: &Reply) -> (String, u64) {
    assert!(reply.outcome.is_ok(), "{reply:?}");
    let row = std::str::from_utf8(&reply.rows[0]).expect("valid UTF-8");
    let (server, count) = row.split_once(' ').expect("two words");
    (server.to_owned(), count.parse().expect("a number"))
}

/// Prints events if `STILEQUAY_TEST_EVENTS` is set, to help investigate a failing test.
struct EventPrinter;

impl log::Log for EventPrinter {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        eprintln!("{}", record.args());
    }

    fn flush(&self) {}
}

fn print_events_if_enabled() {
    if std::env::var_os("STILEQUAY_TEST_EVENTS").is_some() {
        // Another test of this process may have set the logger already.
        let _ = log::set_logger(&EventPrinter);
        log::set_max_level(log::LevelFilter::Trace);
    }
}
