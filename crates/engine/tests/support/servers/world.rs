//! The simulated servers, with replication and changes of leader between them.

use super::network::Network;
use super::{PromoterFault, ReadLog, Server, ServerSnapshot, Slots};
use crate::support::GROUP;
use crate::support::freezer::Freezer;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use stilequay_engine::directory::{Member, MemberState, Role};
use stilequay_engine::names::{TenantName, incarnation_id};
use stilequay_engine::ports::PromotionOrder;
use tokio::time::{Instant, sleep};

/// Interval between checks for old leaders that can reach the new one and are therefore demoted.
const OLD_LEADER_DEMOTION_INTERVAL: Duration = Duration::from_secs(1);

/// All servers of the simulated groups, and the network.
#[derive(Debug)]
pub struct World {
    servers: Mutex<BTreeMap<String, Server>>,
    pub network: Network,
    pub(super) promotions: Mutex<Vec<PromotionOrder>>,
    pub(super) promoter_fault: Mutex<PromoterFault>,
    /// Number of orders that were sent late, arrived or not.
    pub late_orders: AtomicUsize,
    /// The log that each read saw, by request id.
    pub(super) reads: Mutex<HashMap<String, ReadLog>>,
    /// The tenant that the server received with each statement that it ran, by request id.
    pub(super) tenants: Mutex<HashMap<String, Option<TenantName>>>,
    /// Request ids of the statements that arrived at a server, run or not, with the server.
    pub(super) arrivals: Mutex<Vec<(String, String)>>,
    /// When statements of tenants ran, with the tenant.
    pub(super) runs: Mutex<Vec<(Instant, TenantName)>>,
    /// Connections of an earlier generation get no more answers but stay open.
    pub(super) generation: AtomicU64,
    /// Number of open connections to each server.
    pub(super) connections: Mutex<HashMap<String, usize>>,
    /// Injected fault: servers whose entries are missing from the directory.
    pub unlisted: Mutex<HashSet<String>>,
    /// Directory entries of members that have no server here.
    pub other_members: Mutex<Vec<Member>>,
    /// The frozen processes.
    pub freezer: Freezer,
    /// The execution slots of each server that has a limit.
    slots: Mutex<HashMap<String, Arc<Slots>>>,
}

impl World {
    /// Creates the servers `names` of the group [`GROUP`]. The first is the leader of term 1.
    pub fn new(names: &[&str]) -> Arc<Self> {
        let world = Self::empty();
        world.add_group(GROUP, names);
        Arc::new(world)
    }

    /// Adds the servers `names` of `group`. The first is the leader of term 1.
    pub fn add_group(&self, group: &str, names: &[&str]) {
        let server = |role| Server {
            group: Arc::from(group),
            role,
            term: 1,
            log: Vec::new(),
            paused_for: 0,
            started_at: None,
            running: true,
            unresponsive: false,
            not_receiving: false,
            connections_exhausted: false,
            max_connections: None,
            queue_full: false,
            loses_answers: false,
            closes_before_answer: false,
            state: MemberState::Ready,
            slowdown: 1,
            apply_lag: Duration::from_millis(8),
            received_at: Vec::new(),
            applied_as_leader: 0,
            ignores_pause: false,
            statements: 0,
            last_command: None,
            cold_until: None,
        };
        let roles = names.iter().enumerate().map(|(index, name)| {
            let role = match index {
                0 => Role::Primary,
                _ => Role::Replica,
            };
            ((*name).to_owned(), server(role))
        });
        self.lock().extend(roles);
    }

    /// Creates a world without servers.
    fn empty() -> Self {
        Self {
            servers: Mutex::default(),
            network: Network::default(),
            promotions: Mutex::default(),
            promoter_fault: Mutex::new(PromoterFault::None),
            late_orders: AtomicUsize::default(),
            reads: Mutex::default(),
            tenants: Mutex::default(),
            arrivals: Mutex::default(),
            runs: Mutex::default(),
            generation: AtomicU64::default(),
            connections: Mutex::default(),
            unlisted: Mutex::default(),
            other_members: Mutex::default(),
            slots: Mutex::default(),
            freezer: Freezer::default(),
        }
    }

    /// The tenant that a server received with the statement `id`; `None` if no server ran it.
    pub fn tenant_received(&self, id: &str) -> Option<Option<TenantName>> {
        self.tenants.lock().unwrap().get(id).cloned()
    }

    /// Makes all open connections permanently silent. New connections work.
    pub fn silence_connections(&self) {
        self.generation.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of open connections to the server `name`.
    pub fn open_connections(&self, name: &str) -> usize {
        let connections = self.connections.lock().unwrap();
        connections.get(name).copied().unwrap_or(0)
    }

    /// When statements of `tenant` ran, in order.
    pub fn run_times(&self, tenant: &str) -> Vec<Instant> {
        let runs = self.runs.lock().unwrap();
        let of_tenant = runs.iter().filter(|(_, name)| &**name == tenant);
        of_tenant.map(|(at, _)| *at).collect()
    }

    /// The servers at which the statement `id` arrived, in order.
    pub fn servers_reached(&self, id: &str) -> Vec<String> {
        let arrivals = self.arrivals.lock().unwrap();
        let of_statement = arrivals.iter().filter(|(statement, _)| statement == id);
        of_statement.map(|(_, server)| server.clone()).collect()
    }

    pub(super) fn record_arrival(&self, id: &str, server: &str) {
        let arrival = (id.to_owned(), server.to_owned());
        self.arrivals.lock().unwrap().push(arrival);
    }

    pub(super) fn record_tenant(&self, id: &str, tenant: Option<TenantName>) {
        if let Some(tenant) = &tenant {
            let run = (Instant::now(), tenant.clone());
            self.runs.lock().unwrap().push(run);
        }
        self.tenants.lock().unwrap().insert(id.to_owned(), tenant);
    }

    pub fn change(&self, name: &str, change: impl FnOnce(&mut Server)) {
        change(self.lock().get_mut(name).expect("a server"));
    }

    /// Limits every server to `running` concurrent and `queue` waiting statements.
    pub fn set_slot_limits(&self, running: usize, queue: usize) {
        let names: Vec<String> = self.lock().keys().cloned().collect();
        let mut slots = self.slots.lock().unwrap();
        slots.extend(
            names
                .into_iter()
                .map(|name| (name, Slots::new(running, queue))),
        );
    }

    pub(super) fn slots_of(&self, name: &str) -> Option<Arc<Slots>> {
        self.slots.lock().unwrap().get(name).cloned()
    }

    /// Whether there is a server of this name; other members are only listed.
    pub fn has_server(&self, name: &str) -> bool {
        self.lock().contains_key(name)
    }

    pub fn server(&self, name: &str) -> Server {
        self.lock()[name].clone()
    }

    pub(super) fn snapshot(&self, name: &str) -> ServerSnapshot {
        ServerSnapshot::of(&self.lock()[name])
    }

    /// Crashes a server: its connections are closed, and its log is kept.
    pub fn crash(&self, name: &str) {
        self.change(name, |server| {
            server.running = false;
            server.paused_for = 0;
        });
    }

    /// Restarts a server after a crash, as a replica if another was promoted in the meantime.
    pub fn restart(&self, name: &str) {
        let newest = self.newest_leader(&self.server(name).group);
        self.change(name, |server| {
            server.running = true;
            server.unresponsive = false;
            if newest.is_some_and(|(leader, term)| leader != name && term > server.term) {
                server.step_down();
            }
        });
    }

    /// Starts another replica, which has no log yet and no directory entry.
    pub fn join_unlisted(&self, name: &str) {
        self.unlisted.lock().unwrap().insert(name.to_owned());
        let mut replica = self.server("c");
        replica.start_empty();
        self.lock().insert(name.to_owned(), replica);
    }

    /// Restarts a server under its name with an empty log.
    pub fn start_empty(&self, name: &str) {
        self.change(name, Server::start_empty);
    }

    fn newest_leader(&self, group: &str) -> Option<(String, u64)> {
        let servers = self.lock();
        let members = servers.iter().filter(|(_, s)| &*s.group == group);
        let leaders = members.filter(|(_, s)| s.role == Role::Primary);
        let newest = leaders.max_by_key(|(_, s)| s.term);
        newest.map(|(name, s)| (name.clone(), s.term))
    }

    /// The newest term that a server of `group` knows.
    pub(super) fn newest_term(&self, group: &str) -> u64 {
        let servers = self.lock();
        let members = servers.values().filter(|server| &*server.group == group);
        members.map(|server| server.term).max().unwrap_or(0)
    }

    /// The leader of the newest term of [`GROUP`]. If there is none, the server that has received
    /// the most.
    pub fn leader(&self) -> String {
        let newest = self.newest_leader(GROUP).map(|(name, _)| name);
        let servers = self.lock();
        let members = servers.iter().filter(|(_, s)| &*s.group == GROUP);
        let longest = members.max_by_key(|(_, s)| s.position());
        newest.unwrap_or_else(|| longest.expect("a server").0.clone())
    }

    /// Sets the fault of the promotion service.
    pub fn set_promoter_fault(&self, fault: PromoterFault) {
        *self.promoter_fault.lock().unwrap() = fault;
    }

    pub fn promotions(&self) -> Vec<PromotionOrder> {
        self.promotions.lock().unwrap().clone()
    }

    /// Whether a server has run the read `request`, whatever became of the answer.
    pub fn has_run_read(&self, request: &str) -> bool {
        self.reads.lock().unwrap().contains_key(request)
    }

    /// The log that the read `request` saw.
    pub fn log_read_by(&self, request: &str) -> ReadLog {
        let reads = self.reads.lock().unwrap();
        reads.get(request).cloned().unwrap_or_default()
    }

    /// The directory entries of the servers.
    pub fn entries(&self) -> Vec<Member> {
        let servers = self.lock();
        let unlisted = self.unlisted.lock().unwrap();
        let listed = servers.iter().filter(|(name, _)| !unlisted.contains(*name));
        let listed = listed.map(|(name, server)| Member {
            id: incarnation_id(name, server.started_at),
            group: Arc::clone(&server.group),
            address: address_of(name),
            zone: Arc::from(format!("zone-{name}").as_str()),
            role: server.role,
            slots: 3,
            cold_until: server.cold_until,
            state: server.state,
            changed: 0,
        });
        let other_members = self.other_members.lock().unwrap();
        listed.chain(other_members.iter().cloned()).collect()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Server>> {
        self.servers.lock().unwrap()
    }

    /// Replicates the leader's log to all replicas that can receive it; returns how many did.
    pub fn replicate(&self, leader: &str) -> usize {
        let now = Instant::now();
        let mut servers = self.lock();
        let (group, term) = (Arc::clone(&servers[leader].group), servers[leader].term);
        let log = std::mem::take(&mut servers.get_mut(leader).expect("a server").log);
        let mut received = 0;
        for (name, replica) in servers.iter_mut() {
            let paused = replica.paused_for > 0 && !replica.ignores_pause;
            let receives = name != leader
                && replica.group == group
                && replica.role == Role::Replica
                && replica.running
                && !replica.unresponsive
                && !replica.not_receiving
                && !paused
                && replica.term <= term
                && self.network.reaches(leader, name);
            if receives {
                replica.term = term;
                sync_log(replica, &log, now);
                received += 1;
            }
        }
        servers.get_mut(leader).expect("a server").log = log;
        received
    }

    /// Moves every replica that the new leader reaches to the new term and log, and ends its pause.
    pub(super) fn announce_promotion(&self, leader: &str) {
        let mut servers = self.lock();
        let promoted = servers[leader].clone();
        let (term, log) = (promoted.term, promoted.log);
        for (name, server) in servers.iter_mut() {
            let hears = server.group == promoted.group
                && server.running
                && !server.unresponsive
                && self.network.reaches(leader, name);
            if hears && server.role == Role::Replica && server.term < term {
                server.term = term;
                server.paused_for = 0;
                sync_log(server, &log, Instant::now());
                server.log.truncate(log.len());
                server.applied_as_leader = server.applied_as_leader.min(log.len());
                server.received_at.truncate(log.len());
            }
        }
    }

    /// Repeatedly demotes old leaders that can reach the new one.
    pub(super) fn demote_old_leaders(self: &Arc<Self>, new: &str) {
        let world = Arc::clone(self);
        let new = new.to_owned();
        tokio::spawn(async move {
            for _ in 0..200 {
                sleep(OLD_LEADER_DEMOTION_INTERVAL).await;
                let mut servers = world.lock();
                let Some(newest) = servers.get(&new).cloned() else {
                    return;
                };
                for (name, server) in servers.iter_mut() {
                    let older = server.group == newest.group
                        && server.role == Role::Primary
                        && server.term < newest.term;
                    if older && server.running && world.network.reaches(&new, name) {
                        server.step_down();
                        server.term = newest.term;
                        sync_log(server, &newest.log, Instant::now());
                    }
                }
            }
        });
    }
}

/// The address of the server `name`.
fn address_of(name: &str) -> SocketAddr {
    let last = name.bytes().next().unwrap_or(0);
    SocketAddr::from(([10, 0, 0, last], 5000))
}

/// Makes the log of `server` equal to `log`, dropping entries that diverge from it.
fn sync_log(server: &mut Server, log: &[(u64, String)], now: Instant) {
    let last = server.log.len().checked_sub(1);
    let is_prefix = last.is_none_or(|last| server.log.get(last) == log.get(last));
    let same = match is_prefix {
        true => server.log.len(),
        false => server
            .log
            .iter()
            .zip(log)
            .take_while(|(a, b)| a == b)
            .count(),
    };
    server.log.truncate(same);
    server.applied_as_leader = server.applied_as_leader.min(same);
    server.received_at.truncate(same);
    server.log.extend_from_slice(&log[same..]);
    server.received_at.resize(log.len(), now);
}
