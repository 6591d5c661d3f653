//! Assignment of tasks to processes: the homes of each member, the rate-limit counters, the
//! evidence readers and the followers. Followers are the relays of [`following`](crate::following):
//! they get the store's updates first and pass them on to the other processes of their zone.

use crate::directory::Member;
use crate::events::EventLog;
use crate::link::{Link, Links};
use crate::names::{GroupName, MemberId, NodeName, RegionName, TenantName, ZoneName};
use crate::ports::PeerNetwork;
use crate::rate::SHARD_COUNT;
use crate::rate::counter::Shard;
use crate::residency::{Allowed, Residency};
use crate::topology::Topology;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Semaphore;
use xxhash_rust::xxh3::xxh3_64;

/// Number of homes per member while no process has failed. With two, one is available if the other
/// fails.
pub const HOMES_PER_MEMBER: usize = 2;
/// Number of processes per member that are homes or may replace failed ones.
pub const CANDIDATES_PER_MEMBER: usize = 4;
/// Minimum number of connections of a process that connects directly, because one may be occupied
/// by an idle transaction.
pub const MIN_PROCESS_CONNECTIONS: usize = 2;

/// Number of processes that may count one shard of the rate limits. With six, the loss of a third
/// of the fleet affects all of them in one of seven hundred cases.
const CANDIDATES_PER_SHARD: usize = 6;
/// Number of these candidates that are in other zones than the shard's.
const REMOTE_CANDIDATES_PER_SHARD: usize = 2;

/// Maximum number of processes that connect directly to a member, per statement that it runs
/// concurrently. More would fill the member's queue without knowing of one another's load, and each
/// new connection occupies a place in that queue too.
const MAX_PROCESSES_PER_SLOT: usize = 6;
/// Maximum number of connections of one home, per statement that the member runs concurrently. It
/// is above one because some connections are occupied by idle transactions.
const MAX_HOME_CONNECTIONS_PER_SLOT: usize = 10;
/// Connections of a member reserved for control commands and for processes that are not known yet.
pub const RESERVED_CONNECTIONS: usize = 6;
/// Number of followers per zone in a large fleet.
const FOLLOWERS_PER_ZONE: usize = 2;
/// Number of followers in a large fleet that watch the store themselves.
const STORE_FOLLOWERS: usize = 2;
/// Task name by which followers are ranked for this.
const STORE_FOLLOWER_TASK: &[u8] = b"root";
/// Minimum weight of a strong process, as a share of the greatest weight in its zone.
const STRONG_WEIGHT_SHARE: f64 = 0.5;
/// Minimum weight of a process, used if it reports a lower or invalid weight.
const MIN_WEIGHT: f64 = 0.01;

/// Capacity of a member for all processes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of connections.
    pub connections: usize,
    /// Number of statements that the member runs concurrently; `None` if unknown.
    pub slots: Option<usize>,
}

impl Capacity {
    /// Whether each of `processes` may connect directly.
    ///
    /// ```
    /// use stilequay_engine::home::placement::Capacity;
    /// let member = Capacity { connections: 34, slots: Some(3) };
    /// assert!(member.allows_direct_connections(6));
    /// assert!(!member.allows_direct_connections(67));
    /// ```
    pub fn allows_direct_connections(self, processes: usize) -> bool {
        let connections = processes.saturating_mul(MIN_PROCESS_CONNECTIONS) <= self.connections;
        let most = self.limit_by_slots(MAX_PROCESSES_PER_SLOT);
        connections && processes <= most
    }

    /// Maximum number of connections of one home.
    pub fn connections_per_home(self) -> usize {
        let share = self.connections.saturating_sub(RESERVED_CONNECTIONS) / HOMES_PER_MEMBER;
        let most = self.limit_by_slots(MAX_HOME_CONNECTIONS_PER_SLOT);
        share.min(most).max(MIN_PROCESS_CONNECTIONS)
    }

    /// Limit of something of which each slot allows `per_slot`; unlimited if the number of slots is
    /// unknown.
    fn limit_by_slots(self, per_slot: usize) -> usize {
        self.slots
            .map_or(usize::MAX, |slots| slots.saturating_mul(per_slot))
    }
}

/// Number of groups whose evidence one process reads with a single store call.
const GROUPS_PER_BLOCK: usize = 64;

/// A block of groups that are adjacent when sorted by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupBlock<'a> {
    /// Index among all blocks.
    pub index: usize,
    /// Names of the groups, sorted.
    pub groups: &'a [GroupName],
}

/// Returns the block that contains `group`. `groups` holds all groups in sorted order; `None` if
/// `group` is not among them.
pub fn block_of<'a>(groups: &'a [GroupName], group: &str) -> Option<GroupBlock<'a>> {
    let place = groups.binary_search_by(|name| (**name).cmp(group)).ok()?;
    let index = place / GROUPS_PER_BLOCK;
    let groups = groups.chunks(GROUPS_PER_BLOCK).nth(index)?;
    Some(GroupBlock { index, groups })
}

/// A process of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the process.
    pub node: NodeName,
    /// Address at which it accepts links from other processes.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: ZoneName,
    /// Weight for the assignment of tasks: the number of cores that it may use.
    pub weight: f64,
}

/// Weighted rendezvous hashing: returns the score of `peer` for `task`; the lowest score ranks
/// first. A process of twice the weight ranks first twice as often, and a process that joins or
/// leaves does not change the order of the others.
fn rendezvous_score(task: &[u8], peer: &Peer) -> f64 {
    let hash = xxh3_64(&[task, b"/", peer.node.as_bytes()].concat());
    // The upper 53 bits fit the fraction of a float. The result is in (0, 1].
    let uniform = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -uniform.ln() / peer.weight.max(MIN_WEIGHT)
}

/// Returns the `count` highest-ranked of `peers` for `task`.
fn top_ranked<'a>(
    peers: impl Iterator<Item = &'a Peer>,
    task: &[u8],
    count: usize,
) -> impl Iterator<Item = &'a Peer> {
    let mut ranked: Vec<(f64, &Peer)> = peers
        .map(|peer| (rendezvous_score(task, peer), peer))
        .collect();
    ranked.sort_by(|(left, _), (right, _)| left.total_cmp(right));
    ranked.into_iter().take(count).map(|(_, peer)| peer)
}

/// Returns the candidates in `fleet` for reading the evidence of one block of groups. Processes for
/// which `is_close` holds, near the groups' members, come first.
fn rank_evidence_readers(
    fleet: &[Peer],
    block: usize,
    is_close: impl Fn(&Peer) -> bool,
) -> Vec<Peer> {
    let task = format!("keeper/{block}");
    let (close, far): (Vec<&Peer>, Vec<&Peer>) = fleet.iter().partition(|peer| is_close(peer));
    let close = top_ranked(close.into_iter(), task.as_bytes(), HOMES_PER_MEMBER);
    let far = top_ranked(far.into_iter(), task.as_bytes(), HOMES_PER_MEMBER);
    close.chain(far).take(HOMES_PER_MEMBER).cloned().collect()
}

/// Returns the followers of `zone` among `fleet`. Strong processes are preferred,
/// since each follower updates half of the zone regardless of its cores; other tasks for the fleet
/// are assigned in proportion to cores.
fn rank_followers(fleet: &[Peer], zone: &str) -> Vec<Peer> {
    let inside = || fleet.iter().filter(|peer| &*peer.zone == zone);
    let greatest = inside().map(|peer| peer.weight).fold(0.0, f64::max);
    let (strong, weak): (Vec<&Peer>, Vec<&Peer>) =
        inside().partition(|peer| peer.weight >= greatest * STRONG_WEIGHT_SHARE);
    let strong = top_ranked(strong.into_iter(), b"follower", FOLLOWERS_PER_ZONE);
    let weak = top_ranked(weak.into_iter(), b"follower", FOLLOWERS_PER_ZONE);
    strong
        .chain(weak)
        .take(FOLLOWERS_PER_ZONE)
        .cloned()
        .collect()
}

/// Returns the candidates for `member` among `fleet`, the homes first, if no regions are known.
pub fn rank(fleet: &[Peer], member: &Member) -> Vec<Peer> {
    rank_near(fleet, &member.zone, member.id.as_bytes(), |_| true)
}

/// Returns the candidates for `member` among `fleet`, the homes first. Processes in its zone are
/// followed by others in its region, so that a statement from this region does not cross the link
/// to another region twice.
pub fn rank_by_region(fleet: &[Peer], member: &Member, topology: &Topology) -> Vec<Peer> {
    let region = topology.region_of(&member.zone);
    let is_close = |peer: &Peer| topology.region_of(&peer.zone) == region;
    rank_near(fleet, &member.zone, member.id.as_bytes(), is_close)
}

/// Returns the candidates in `fleet` for a task that is best done in `zone`. Processes of that zone
/// come first, except that the last candidate is outside it, so that the task survives the loss of
/// the whole zone. Of the processes outside, those for which `is_close` holds come first.
fn rank_near(
    fleet: &[Peer],
    zone: &str,
    task: &[u8],
    is_close: impl Fn(&Peer) -> bool,
) -> Vec<Peer> {
    let (inside, outside): (Vec<&Peer>, Vec<&Peer>) =
        fleet.iter().partition(|peer| &*peer.zone == zone);
    let (close, far): (Vec<&Peer>, Vec<&Peer>) =
        outside.into_iter().partition(|peer| is_close(peer));
    let inside = top_ranked(inside.into_iter(), task, CANDIDATES_PER_MEMBER);
    let inside: Vec<&Peer> = inside.collect();
    let close = top_ranked(close.into_iter(), task, CANDIDATES_PER_MEMBER);
    let far = top_ranked(far.into_iter(), task, CANDIDATES_PER_MEMBER);
    let outside: Vec<&Peer> = close.chain(far).collect();
    let near = match outside.is_empty() {
        true => CANDIDATES_PER_MEMBER,
        false => CANDIDATES_PER_MEMBER - 1,
    };
    let ranked = inside.into_iter().take(near).chain(outside);
    ranked.take(CANDIDATES_PER_MEMBER).cloned().collect()
}

/// Returns the candidates in `fleet` for counting `shard` of the rate limits. Shards are assigned
/// round-robin to `zones`, the zones of the fleet, and the processes of each zone round-robin to
/// its shards, so that no process is a candidate for two of them while there are enough. The last
/// candidates are in other zones.
fn rank_counters(fleet: &[Peer], zones: &[ZoneName], shard: Shard) -> Vec<Peer> {
    let count = zones.len().max(1);
    let Some(zone) = zones.get(shard % count) else {
        return Vec::new();
    };
    let inside = fleet.iter().filter(|peer| peer.zone == *zone);
    let inside: Vec<&Peer> = top_ranked(inside, b"counter", fleet.len()).collect();
    let mut near = round_robin_order(inside, shard / count, SHARD_COUNT.div_ceil(count));
    let task = format!("counter/{shard}");
    let outside = fleet.iter().filter(|peer| peer.zone != *zone);
    let far = top_ranked(outside, task.as_bytes(), CANDIDATES_PER_SHARD);
    let far: Vec<&Peer> = far.collect();
    near.truncate(CANDIDATES_PER_SHARD - far.len().min(REMOTE_CANDIDATES_PER_SHARD));
    let ranked = near.into_iter().chain(far).take(CANDIDATES_PER_SHARD);
    ranked.cloned().collect()
}

/// Returns the order of `peers` for the task at index `place` of `count`: first those that a
/// round-robin assignment gives to this task, then the others.
fn round_robin_order(mut peers: Vec<&Peer>, place: usize, count: usize) -> Vec<&Peer> {
    let first = place % peers.len().max(1);
    peers.rotate_left(first);
    let own = peers.iter().step_by(count);
    let others = peers.iter().enumerate();
    let others = others.filter(|(index, _)| index % count != 0);
    own.chain(others.map(|(_, peer)| peer)).copied().collect()
}

#[derive(Debug, Default)]
struct Ranking {
    fleet: Vec<Peer>,
    /// Number of processes in the fleet, including those not known by name yet.
    processes: usize,
    candidates: HashMap<MemberId, Arc<[Peer]>>,
    evidence_readers: HashMap<(usize, Option<RegionName>), Arc<[Peer]>>,
    followers: HashMap<ZoneName, Arc<[Peer]>>,
    lease_order: Option<Arc<[Peer]>>,
    zones: Option<Arc<[ZoneName]>>,
    counters: HashMap<Shard, Arc<[Peer]>>,
    /// Address of the process that last answered for each shard.
    last_counters: HashMap<Shard, SocketAddr>,
}

/// Where a process gets the store's updates from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreSource {
    /// The store itself.
    Store,
    /// One of the processes at these addresses, in order of preference.
    Peers(Vec<SocketAddr>),
}

impl Ranking {
    /// Returns the zones of the fleet, in the same order in every process.
    fn zones(&mut self) -> Arc<[ZoneName]> {
        if let Some(known) = &self.zones {
            return Arc::clone(known);
        }
        let zones = self.fleet.iter().map(|peer| peer.zone.clone());
        let zones: BTreeSet<ZoneName> = zones.collect();
        let zones: Arc<[ZoneName]> = zones.into_iter().collect();
        self.zones = Some(Arc::clone(&zones));
        zones
    }

    /// Returns the followers of all zones.
    fn all_followers(&mut self) -> Vec<Peer> {
        let zones = self.zones();
        let followers = zones
            .iter()
            .flat_map(|zone| self.followers_of(zone).to_vec());
        followers.collect()
    }

    /// Returns all processes in the order in which they try to acquire the promotion lease.
    /// Followers come first, since they get the store's updates first. The first of them watch the
    /// store themselves.
    fn lease_order(&mut self) -> Arc<[Peer]> {
        if let Some(known) = &self.lease_order {
            return Arc::clone(known);
        }
        let mut order = self.ranked_followers();
        let is_follower = |peer: &&Peer| order.iter().any(|known| known.node == peer.node);
        let others = self.fleet.iter().filter(|peer| !is_follower(peer));
        let others: Vec<Peer> = top_ranked(others, STORE_FOLLOWER_TASK, self.fleet.len())
            .cloned()
            .collect();
        order.extend(others);
        let order: Arc<[Peer]> = order.into();
        self.lease_order = Some(Arc::clone(&order));
        order
    }

    /// Returns all followers; the first [`STORE_FOLLOWERS`] watch the store themselves. The second
    /// is in another zone than the first, if there is one.
    fn ranked_followers(&mut self) -> Vec<Peer> {
        let followers = self.all_followers();
        let ranked = top_ranked(followers.iter(), STORE_FOLLOWER_TASK, followers.len());
        let mut ranked: Vec<Peer> = ranked.cloned().collect();
        let elsewhere = ranked.iter().position(|peer| peer.zone != ranked[0].zone);
        if let Some(place) = elsewhere {
            ranked[1..=place].rotate_right(1);
        }
        ranked
    }

    /// Returns the followers of `zone`.
    fn followers_of(&mut self, zone: &ZoneName) -> Arc<[Peer]> {
        if let Some(known) = self.followers.get(zone) {
            return Arc::clone(known);
        }
        let followers: Arc<[Peer]> = rank_followers(&self.fleet, zone).into();
        self.followers.insert(zone.clone(), Arc::clone(&followers));
        followers
    }
}

/// Balances load over two addresses: reverses their order for half of all keys.
fn order_by_key(key: &[u8], addresses: &mut [SocketAddr]) {
    if xxh3_64(key) % 2 == 1 {
        addresses.reverse();
    }
}

/// Assignment of homes and other tasks to the processes of the fleet, and the links to them.
#[derive(Debug)]
pub struct Homes {
    own: NodeName,
    topology: Topology,
    ranking: Mutex<Ranking>,
    /// Limits this process's direct connections to members whose homes are unreachable.
    direct: Mutex<HashMap<MemberId, Arc<Semaphore>>>,
    links: Links,
}

impl Homes {
    /// Creates the assignment for the process named `own`, without any other known process.
    pub fn new(
        own: NodeName,
        topology: Topology,
        network: Arc<dyn PeerNetwork>,
        events: Arc<EventLog>,
    ) -> Self {
        Self {
            own,
            topology,
            ranking: Mutex::default(),
            direct: Mutex::default(),
            links: Links::new(network, events),
        }
    }

    /// Replaces the known processes of the fleet, including this one. `processes` is the size of
    /// the fleet, which may exceed the number of known processes just after this one has started.
    pub fn set_fleet(&self, fleet: Vec<Peer>, processes: usize) {
        let mut ranking = self.lock();
        ranking.processes = processes;
        if ranking.fleet != fleet {
            ranking.candidates.clear();
            ranking.evidence_readers.clear();
            ranking.followers.clear();
            ranking.lease_order = None;
            ranking.zones = None;
            ranking.counters.clear();
            ranking.fleet = fleet;
        }
    }

    /// Returns the processes of the fleet, including this one; empty while they are not known.
    pub fn fleet(&self) -> Vec<Peer> {
        self.lock().fleet.clone()
    }

    /// Returns the number of processes in the fleet as far as is known, including this one.
    pub fn fleet_len(&self) -> usize {
        let ranking = self.lock();
        ranking.fleet.len().max(ranking.processes)
    }

    /// Returns the followers of all zones, which get the store's updates before the other processes
    /// of their zones.
    pub fn all_followers(&self) -> Vec<Peer> {
        self.lock().all_followers()
    }

    /// Returns where this process, in `zone`, gets the store's updates from.
    pub fn store_source(&self, zone: &ZoneName) -> StoreSource {
        let (order, followers) = {
            let mut ranking = self.lock();
            (ranking.lease_order(), ranking.followers_of(zone))
        };
        let store_followers = &order[..STORE_FOLLOWERS.min(order.len())];
        if self.is_among(store_followers) {
            return StoreSource::Store;
        }
        let peers = match self.is_among(&followers) {
            true => store_followers,
            false => &followers,
        };
        let mut addresses: Vec<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
        self.order_by_own_key(&mut addresses);
        StoreSource::Peers(addresses)
    }

    /// Returns this process's rank, starting at zero, in the order in which processes try to
    /// acquire the promotion lease. The order is the same in every process; followers come first.
    /// `None` if this process is not part of the known fleet yet.
    pub fn lease_rank(&self) -> Option<usize> {
        let order = self.lock().lease_order();
        order.iter().position(|peer| peer.node == self.own)
    }

    /// Returns the addresses of the first `count` processes of that order, except this one.
    pub fn lease_candidate_addresses(&self, count: usize) -> Vec<SocketAddr> {
        let order = self.lock().lease_order();
        let first = order.iter().take(count);
        let others = first.filter(|peer| peer.node != self.own);
        others.map(|peer| peer.address).collect()
    }

    /// Returns the addresses of a few followers of other zones than `zone`. The choice differs
    /// between calling processes.
    pub fn followers_in_other_zones(&self, zone: &ZoneName) -> Vec<SocketAddr> {
        let followers = self.lock().all_followers();
        let elsewhere = followers.iter().filter(|peer| peer.zone != *zone);
        let first = top_ranked(elsewhere, self.own.as_bytes(), FOLLOWERS_PER_ZONE);
        first.map(|peer| peer.address).collect()
    }

    /// Whether this process is a follower of `zone`.
    pub fn is_follower(&self, zone: &ZoneName) -> bool {
        let followers = self.lock().followers_of(zone);
        self.is_among(&followers)
    }

    /// Returns the addresses of up to `count` other processes, chosen at random on each call.
    pub fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
        let ranking = self.lock();
        let fleet = &ranking.fleet;
        let drawn = (0..count).filter_map(|_| fleet.choose(&mut rand::rng()));
        let others = drawn.filter(|peer| peer.node != self.own);
        others.map(|peer| peer.address).collect()
    }

    /// Balances the load of the fleet over two addresses: half of all processes try each one first.
    fn order_by_own_key(&self, addresses: &mut [SocketAddr]) {
        order_by_key(self.own.as_bytes(), addresses);
    }

    /// The links to other processes.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Drops the state of members that no longer exist.
    pub fn retain_members(&self, is_known: impl Fn(&str) -> bool) {
        lock(&self.direct).retain(|id, _| is_known(id));
        self.lock().candidates.retain(|id, _| is_known(id));
    }

    /// Returns the semaphore for this process's direct connections to `member` while no home is
    /// reachable. It has [`MIN_PROCESS_CONNECTIONS`] permits for all purposes together.
    pub(super) fn direct_permits(&self, member: &Member) -> Arc<Semaphore> {
        let mut direct = lock(&self.direct);
        let permits = direct.entry(member.id.clone());
        Arc::clone(permits.or_insert_with(|| Arc::new(Semaphore::new(MIN_PROCESS_CONNECTIONS))))
    }

    /// Returns the candidates for `member`, the homes first.
    pub fn candidates(&self, member: &Member) -> Arc<[Peer]> {
        let mut ranking = self.lock();
        if let Some(known) = ranking.candidates.get(&member.id) {
            return Arc::clone(known);
        }
        let candidates: Arc<[Peer]> = rank_by_region(&ranking.fleet, member, &self.topology).into();
        let id = member.id.clone();
        ranking.candidates.insert(id, Arc::clone(&candidates));
        candidates
    }

    /// Whether this process is a home of `member`. Always true while no process of the fleet is
    /// known.
    pub fn is_home(&self, member: &Member) -> bool {
        let candidates = self.candidates(member);
        candidates.is_empty()
            || self.is_among(&candidates[..HOMES_PER_MEMBER.min(candidates.len())])
    }

    /// Whether this process is a home of `member` or may replace a failed one.
    pub fn is_candidate(&self, member: &Member) -> bool {
        self.is_among(&self.candidates(member))
    }

    /// Returns the candidates for reading the evidence of `block`, the current reader first, if no
    /// regions are known.
    pub fn evidence_readers(&self, block: usize) -> Arc<[Peer]> {
        self.evidence_readers_near(block, None)
    }

    /// Returns the candidates for reading the evidence of `block`, the current reader first.
    /// Processes in `region` are preferred.
    pub fn evidence_readers_near(&self, block: usize, region: Option<&RegionName>) -> Arc<[Peer]> {
        let mut ranking = self.lock();
        let key = (block, region.cloned());
        if let Some(known) = ranking.evidence_readers.get(&key) {
            return Arc::clone(known);
        }
        let is_close =
            |peer: &Peer| region.is_none() || self.topology.region_of(&peer.zone) == region;
        let readers: Arc<[Peer]> = rank_evidence_readers(&ranking.fleet, block, is_close).into();
        ranking.evidence_readers.insert(key, Arc::clone(&readers));
        readers
    }

    /// Returns a link to the process that reads the evidence of `block` near `region`, or to the
    /// next candidate. `None` if this process is the reader, or no candidate is reachable.
    pub async fn choose_evidence_reader(
        &self,
        block: usize,
        region: Option<&RegionName>,
    ) -> Option<Arc<Link>> {
        let readers = self.evidence_readers_near(block, region);
        if readers.first().is_none_or(|first| first.node == self.own) {
            return None;
        }
        let others = readers.iter().take_while(|peer| peer.node != self.own);
        let addresses: Vec<SocketAddr> = others.map(|peer| peer.address).collect();
        self.links.first_usable(&addresses).await
    }

    /// Returns the candidates for counting `shard` of the rate limits in order of preference.
    fn counters(&self, shard: Shard) -> Arc<[Peer]> {
        let mut ranking = self.lock();
        if let Some(known) = ranking.counters.get(&shard) {
            return Arc::clone(known);
        }
        let zones = ranking.zones();
        let counters: Arc<[Peer]> = rank_counters(&ranking.fleet, &zones, shard).into();
        ranking.counters.insert(shard, Arc::clone(&counters));
        counters
    }

    /// Returns this process's rank among the candidates for counting `shard`, if it is one.
    pub fn counter_rank(&self, shard: Shard) -> Option<usize> {
        let counters = self.counters(shard);
        counters.iter().position(|peer| peer.node == self.own)
    }

    /// Returns the addresses of the other candidates for counting `shard`, first the one that last
    /// answered for it.
    pub fn counter_addresses(&self, shard: Shard) -> Vec<SocketAddr> {
        let counters = self.counters(shard);
        let others = counters.iter().filter(|peer| peer.node != self.own);
        let mut addresses: Vec<SocketAddr> = others.map(|peer| peer.address).collect();
        let last = self.lock().last_counters.get(&shard).copied();
        addresses.sort_by_key(|address| Some(*address) != last);
        addresses
    }

    /// Returns the address of the candidate `node` for counting `shard`, unless it is this process.
    pub fn counter_address(&self, shard: Shard, node: &str) -> Option<SocketAddr> {
        let counters = self.counters(shard);
        let found = counters.iter().find(|peer| &*peer.node == node)?;
        Some(found.address).filter(|_| found.node != self.own)
    }

    /// Records that the process at `address` has granted or refused permits of `shard`.
    pub fn record_counter(&self, shard: Shard, address: SocketAddr) {
        self.lock().last_counters.insert(shard, address);
    }

    /// Returns the shards in the order in which a process of `zone` requests permits for `tenant`,
    /// those of its zone first. If a zone has several shards, tenants start with different ones.
    pub fn shards_by_distance(&self, zone: &ZoneName, tenant: &TenantName) -> [Shard; SHARD_COUNT] {
        let zones = self.lock().zones();
        let count = zones.len().max(1);
        let own = zones.iter().position(|known| known == zone).unwrap_or(0);
        let round = (xxh3_64(tenant.as_bytes()) % SHARD_COUNT as u64) as usize;
        let mut order: [Shard; SHARD_COUNT] =
            std::array::from_fn(|place| (place + round) % SHARD_COUNT);
        order.sort_by_key(|shard| (shard % count + count - own) % count);
        order
    }

    fn is_among(&self, peers: &[Peer]) -> bool {
        peers.iter().any(|peer| peer.node == self.own)
    }

    /// Returns a link to a process that holds connections to `member` and that `residency` allows:
    /// one of its homes if one is reachable, otherwise one of the next candidates. With tenants,
    /// the whole fleet tries the same home first for each tenant, so that the connections usable
    /// only for that tenant are in one place.
    pub async fn choose_link(
        &self,
        member: &Member,
        tenant: Option<&TenantName>,
        residency: &Residency,
    ) -> Option<Allowed<Arc<Link>>> {
        let candidates = self.candidates(member);
        let others = candidates.iter().filter(|peer| peer.node != self.own);
        let others: Vec<Allowed<&Peer>> = residency.select(&self.topology, others).collect();
        let first = others.first()?;
        let mut addresses: Vec<SocketAddr> = others.iter().map(|p| p.get().address).collect();
        let homes = HOMES_PER_MEMBER.min(addresses.len());
        match tenant {
            Some(tenant) => order_by_key(tenant.as_bytes(), &mut addresses[..homes]),
            None => self.order_by_own_key(&mut addresses[..homes]),
        }
        let (homes, rest) = addresses.split_at(homes);
        let link = match self.links.first_usable(homes).await {
            Some(link) => link,
            None => self.links.first_usable(rest).await?,
        };
        Some(first.with(link))
    }

    fn lock(&self) -> MutexGuard<'_, Ranking> {
        lock(&self.ranking)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
