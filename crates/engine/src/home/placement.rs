//! Which processes are the homes of a member.

use crate::directory::Member;
use crate::link::{Link, Links};
use crate::names::{GroupName, MemberId, NodeName, RegionName, TenantName, ZoneName};
use crate::ports::PeerNetwork;
use crate::rate::SHARDS;
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

/// Processes that hold the connections to one member while all of them live. Two, so that
/// one is at hand when the other is lost.
pub const HOMES: usize = 2;
/// Processes that may come to hold them: those that follow, for when homes are lost.
pub const CANDIDATES: usize = 4;
/// Least number of connections of one process that connects by itself: one can rest inside
/// a transaction.
pub const LEAST_SHARE: usize = 2;

/// Processes that may come to count one shard of the rate limits. With six, a third of the
/// fleet that is lost holds all of them once in seven hundred times.
const COUNTER_CANDIDATES: usize = 6;
/// How many of them stand in other zones.
const FAR_COUNTERS: usize = 2;

/// Processes that connect to a member by themselves for each statement that it runs at a
/// time, at the most. More would fill its queue with what none of them knows of the others,
/// and each new connection takes a place there too.
const PROCESSES_PER_SLOT: usize = 6;
/// Connections that one home uses for each statement that the member runs at a time, at the
/// most: some rest inside transactions.
const HOME_CONNECTIONS_PER_SLOT: usize = 10;
/// Connections of a member that are left to orders and to processes not counted yet.
pub const RESERVED: usize = 6;
/// Processes of each zone from which the others learn what the store holds, in a large fleet.
const FOLLOWERS: usize = 2;
/// Processes of the whole fleet that follow the store itself, in a large fleet.
const ROOTS: usize = 2;
/// What they are ranked for.
const ROOT_TASK: &[u8] = b"root";
/// Share of the cores of a zone's strongest machine from which on another one counts as strong.
const STRONG_SHARE: f64 = 0.5;
/// Least weight of a process: one that tells less, or nothing that makes sense, has this.
const LEAST_WEIGHT: f64 = 0.01;

/// What a member offers all processes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Connections that it accepts.
    pub connections: usize,
    /// Statements that it runs at a time; `None` where it has not told.
    pub slots: Option<usize>,
}

impl Capacity {
    /// Whether each of `processes` can hold connections of its own.
    ///
    /// ```
    /// use stilequay_engine::home::placement::Capacity;
    /// let member = Capacity { connections: 34, slots: Some(3) };
    /// assert!(member.suffices_for(6));
    /// assert!(!member.suffices_for(67));
    /// ```
    pub fn suffices_for(self, processes: usize) -> bool {
        let connections = processes.saturating_mul(LEAST_SHARE) <= self.connections;
        let slots = self.slots.map(|slots| slots * PROCESSES_PER_SLOT);
        connections && slots.is_none_or(|most| processes <= most)
    }

    /// Connections that one home may use.
    pub fn home_share(self) -> usize {
        let share = self.connections.saturating_sub(RESERVED) / HOMES;
        let most = self.slots.map(|slots| slots * HOME_CONNECTIONS_PER_SLOT);
        share.min(most.unwrap_or(usize::MAX)).max(LEAST_SHARE)
    }
}

/// Groups whose evidence one process keeps: the store tells it of all of them in one call.
const BLOCK_GROUPS: usize = 64;

/// Groups that stand beside one another by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupBlock<'a> {
    /// Its place among all blocks.
    pub index: usize,
    /// The groups, sorted.
    pub groups: &'a [GroupName],
}

/// The block that `group` belongs to, of all `groups`, which are sorted; `None` where it is
/// not one of them.
pub fn block_of<'a>(groups: &'a [GroupName], group: &str) -> Option<GroupBlock<'a>> {
    let place = groups.binary_search_by(|name| (**name).cmp(group)).ok()?;
    let index = place / BLOCK_GROUPS;
    let groups = groups.chunks(BLOCK_GROUPS).nth(index)?;
    Some(GroupBlock { index, groups })
}

/// A process of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node: NodeName,
    /// Where it answers other processes.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its share of work for others: cores that it may use.
    pub weight: f64,
}

/// Where `peer` stands among the candidates for `task`; the lowest comes first. A process of
/// twice the weight comes first twice as often, and one that joins or leaves changes the
/// order of no others (weighted rendezvous hashing).
fn rendezvous(task: &[u8], peer: &Peer) -> f64 {
    let hash = xxh3_64(&[task, b"/", peer.node.as_bytes()].concat());
    // The upper 53 bits fit a float's fraction; above zero and up to one.
    let uniform = ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64;
    -uniform.ln() / peer.weight.max(LEAST_WEIGHT)
}

/// The first `count` of `peers` for `task`.
fn first_of<'a>(
    peers: impl Iterator<Item = &'a Peer>,
    task: &[u8],
    count: usize,
) -> impl Iterator<Item = &'a Peer> {
    let mut ranked: Vec<(f64, &Peer)> = peers.map(|peer| (rendezvous(task, peer), peer)).collect();
    ranked.sort_by(|(left, _), (right, _)| left.total_cmp(right));
    ranked.into_iter().take(count).map(|(_, peer)| peer)
}

/// The candidates for keeping the evidence of one block of groups among `fleet`; those that are
/// `close` to the groups' members come first.
fn rank_keepers(fleet: &[Peer], block: usize, is_close: impl Fn(&Peer) -> bool) -> Vec<Peer> {
    let task = format!("keeper/{block}");
    let (close, far): (Vec<&Peer>, Vec<&Peer>) = fleet.iter().partition(|peer| is_close(peer));
    let close = first_of(close.into_iter(), task.as_bytes(), HOMES);
    let far = first_of(far.into_iter(), task.as_bytes(), HOMES);
    close.chain(far).take(HOMES).cloned().collect()
}

/// The processes of `zone` among `fleet` that follow the store: strong ones, since each tells half
/// of the zone whatever its cores are. Other work for the fleet can be dealt by cores.
fn rank_followers(fleet: &[Peer], zone: &str) -> Vec<Peer> {
    let inside = || fleet.iter().filter(|peer| &*peer.zone == zone);
    let greatest = inside().map(|peer| peer.weight).fold(0.0, f64::max);
    let (strong, weak): (Vec<&Peer>, Vec<&Peer>) =
        inside().partition(|peer| peer.weight >= greatest * STRONG_SHARE);
    let strong = first_of(strong.into_iter(), b"follower", FOLLOWERS);
    let weak = first_of(weak.into_iter(), b"follower", FOLLOWERS);
    strong.chain(weak).take(FOLLOWERS).cloned().collect()
}

/// The candidates for `member` among `fleet`, the homes first, where no regions are known.
pub fn rank(fleet: &[Peer], member: &Member) -> Vec<Peer> {
    rank_near(fleet, &member.zone, member.id.as_bytes(), |_| true)
}

/// The candidates for `member` among `fleet`, the homes first. Those of its zone are followed
/// by others of its region, so that a statement from this region does not cross the link to
/// another one twice.
pub fn rank_by_region(fleet: &[Peer], member: &Member, topology: &Topology) -> Vec<Peer> {
    let region = topology.region_of(&member.zone);
    let is_close = |peer: &Peer| topology.region_of(&peer.zone) == region;
    rank_near(fleet, &member.zone, member.id.as_bytes(), is_close)
}

/// The candidates among `fleet` for a task that is best done in `zone`. Processes of that
/// zone come first, but for the last candidate: a cut that takes the whole zone must leave
/// one that does it from outside. Of the processes outside, those that are `close` come first.
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
    let inside = first_of(inside.into_iter(), task, CANDIDATES);
    let inside: Vec<&Peer> = inside.collect();
    let close = first_of(close.into_iter(), task, CANDIDATES);
    let far = first_of(far.into_iter(), task, CANDIDATES);
    let outside: Vec<&Peer> = close.chain(far).collect();
    let near = match outside.is_empty() {
        true => CANDIDATES,
        false => CANDIDATES - 1,
    };
    let ranked = inside.into_iter().take(near).chain(outside);
    ranked.take(CANDIDATES).cloned().collect()
}

/// The candidates for counting `shard` of the rate limits among `fleet`, which stands in
/// `zones`: the shards are dealt to the zones in turn, and the processes of a zone to its
/// shards, so that no process is a candidate for two of them while there are enough. The last
/// candidates stand in other zones.
fn rank_counters(fleet: &[Peer], zones: &[ZoneName], shard: Shard) -> Vec<Peer> {
    let count = zones.len().max(1);
    let Some(zone) = zones.get(shard % count) else {
        return Vec::new();
    };
    let inside = fleet.iter().filter(|peer| peer.zone == *zone);
    let inside: Vec<&Peer> = first_of(inside, b"counter", fleet.len()).collect();
    let mut near = dealt(inside, shard / count, SHARDS.div_ceil(count));
    let task = format!("counter/{shard}");
    let outside = fleet.iter().filter(|peer| peer.zone != *zone);
    let far = first_of(outside, task.as_bytes(), COUNTER_CANDIDATES);
    let far: Vec<&Peer> = far.collect();
    near.truncate(COUNTER_CANDIDATES - far.len().min(FAR_COUNTERS));
    let ranked = near.into_iter().chain(far).take(COUNTER_CANDIDATES);
    ranked.cloned().collect()
}

/// The order of `peers` for the task at `place` of `count`: first its own when they are dealt
/// to the tasks in turn, then the others.
fn dealt(mut peers: Vec<&Peer>, place: usize, count: usize) -> Vec<&Peer> {
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
    /// How many there are, known or not.
    processes: usize,
    candidates: HashMap<MemberId, Arc<[Peer]>>,
    keepers: HashMap<(usize, Option<RegionName>), Arc<[Peer]>>,
    followers: HashMap<ZoneName, Arc<[Peer]>>,
    lease_order: Option<Arc<[Peer]>>,
    zones: Option<Arc<[ZoneName]>>,
    counters: HashMap<Shard, Arc<[Peer]>>,
    /// The process that granted permits of a shard last.
    last_counters: HashMap<Shard, SocketAddr>,
}

/// Where a process learns what the store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// From the store itself.
    Store,
    /// From one of the processes that answer here, the first of them if it does.
    Peers(Vec<SocketAddr>),
}

impl Ranking {
    /// The zones of the fleet, in an order that is the same everywhere.
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

    /// The processes that learn what the store holds first in their zones, of all zones.
    fn all_followers(&mut self) -> Vec<Peer> {
        let zones = self.zones();
        let followers = zones
            .iter()
            .flat_map(|zone| self.followers_of(zone).to_vec());
        followers.collect()
    }

    /// All processes in the order in which they are to hold duties of the whole fleet:
    /// followers first, since they hear of the store first. The first of them follow the
    /// store itself.
    fn lease_order(&mut self) -> Arc<[Peer]> {
        if let Some(known) = &self.lease_order {
            return Arc::clone(known);
        }
        let mut order = self.ranked_followers();
        let is_follower = |peer: &&Peer| order.iter().any(|known| known.node == peer.node);
        let others = self.fleet.iter().filter(|peer| !is_follower(peer));
        let others: Vec<Peer> = first_of(others, ROOT_TASK, self.fleet.len())
            .cloned()
            .collect();
        order.extend(others);
        let order: Arc<[Peer]> = order.into();
        self.lease_order = Some(Arc::clone(&order));
        order
    }

    /// All followers in the order in which they follow the store itself; the second is of
    /// another zone than the first, if there is one.
    fn ranked_followers(&mut self) -> Vec<Peer> {
        let followers = self.all_followers();
        let ranked = first_of(followers.iter(), ROOT_TASK, followers.len());
        let mut ranked: Vec<Peer> = ranked.cloned().collect();
        let elsewhere = ranked.iter().position(|peer| peer.zone != ranked[0].zone);
        if let Some(place) = elsewhere {
            ranked[1..=place].rotate_right(1);
        }
        ranked
    }

    /// The processes that learn what the store holds first in `zone`.
    fn followers_of(&mut self, zone: &ZoneName) -> Arc<[Peer]> {
        if let Some(known) = self.followers.get(zone) {
            return Arc::clone(known);
        }
        let followers: Arc<[Peer]> = rank_followers(&self.fleet, zone).into();
        self.followers.insert(zone.clone(), Arc::clone(&followers));
        followers
    }
}

/// Half of all keys have the one of two first, half the other.
fn spread_by(key: &[u8], addresses: &mut [SocketAddr]) {
    if xxh3_64(key) % 2 == 1 {
        addresses.reverse();
    }
}

/// The homes of all members, and the links to them.
#[derive(Debug)]
pub struct Homes {
    own: NodeName,
    topology: Topology,
    ranking: Mutex<Ranking>,
    /// What bounds this process's own connections to members whose homes it does not reach.
    direct: Mutex<HashMap<MemberId, Arc<Semaphore>>>,
    links: Links,
}

impl Homes {
    /// For the process called `own`; it knows of no other yet.
    pub fn new(own: NodeName, topology: Topology, network: Arc<dyn PeerNetwork>) -> Self {
        Self {
            own,
            topology,
            ranking: Mutex::default(),
            direct: Mutex::default(),
            links: Links::new(network),
        }
    }

    /// Takes the processes of the fleet, this one included, of which there are `processes`:
    /// more than are known, for a process that has just started.
    pub fn set_fleet(&self, fleet: Vec<Peer>, processes: usize) {
        let mut ranking = self.lock();
        ranking.processes = processes;
        if ranking.fleet != fleet {
            ranking.candidates.clear();
            ranking.keepers.clear();
            ranking.followers.clear();
            ranking.lease_order = None;
            ranking.zones = None;
            ranking.counters.clear();
            ranking.fleet = fleet;
        }
    }

    /// The processes of the fleet, this one included; empty while they are not known.
    pub fn fleet(&self) -> Vec<Peer> {
        self.lock().fleet.clone()
    }

    /// How many processes the fleet has, as far as is known, this one included.
    pub fn fleet_len(&self) -> usize {
        let ranking = self.lock();
        ranking.fleet.len().max(ranking.processes)
    }

    /// The processes that learn what the store holds first in their zones, of all zones.
    pub fn all_followers(&self) -> Vec<Peer> {
        self.lock().all_followers()
    }

    /// Where a process of `zone` learns what the store holds.
    pub fn source(&self, zone: &ZoneName) -> Source {
        let (order, followers) = {
            let mut ranking = self.lock();
            (ranking.lease_order(), ranking.followers_of(zone))
        };
        let roots = &order[..ROOTS.min(order.len())];
        if self.is_among(roots) {
            return Source::Store;
        }
        let peers = match self.is_among(&followers) {
            true => roots,
            false => &followers,
        };
        let mut addresses: Vec<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
        self.spread(&mut addresses);
        Source::Peers(addresses)
    }

    /// This process's place in the order in which processes are to hold duties of the whole
    /// fleet, the same everywhere; zero is first. Those that hear of the store first come
    /// first. `None` where the fleet does not know this process yet.
    pub fn lease_rank(&self) -> Option<usize> {
        let order = self.lock().lease_order();
        order.iter().position(|peer| peer.node == self.own)
    }

    /// Where the first `count` processes of that order answer, but for this one.
    pub fn lease_candidate_addresses(&self, count: usize) -> Vec<SocketAddr> {
        let order = self.lock().lease_order();
        let first = order.iter().take(count);
        let others = first.filter(|peer| peer.node != self.own);
        others.map(|peer| peer.address).collect()
    }

    /// Where a few processes answer that follow the store for other zones than `zone`, not
    /// the same ones for each process that asks.
    pub fn followers_elsewhere(&self, zone: &ZoneName) -> Vec<SocketAddr> {
        let followers = self.lock().all_followers();
        let elsewhere = followers.iter().filter(|peer| peer.zone != *zone);
        let first = first_of(elsewhere, self.own.as_bytes(), FOLLOWERS);
        first.map(|peer| peer.address).collect()
    }

    /// Whether other processes of `zone` learn what the store holds from this one.
    pub fn is_follower(&self, zone: &ZoneName) -> bool {
        let followers = self.lock().followers_of(zone);
        self.is_among(&followers)
    }

    /// Where up to `count` other processes answer, drawn anew each time.
    pub fn draw_others(&self, count: usize) -> Vec<SocketAddr> {
        let ranking = self.lock();
        let fleet = &ranking.fleet;
        let drawn = (0..count).filter_map(|_| fleet.choose(&mut rand::rng()));
        let others = drawn.filter(|peer| peer.node != self.own);
        others.map(|peer| peer.address).collect()
    }

    /// Half of the fleet asks the one of two first, half the other.
    fn spread(&self, addresses: &mut [SocketAddr]) {
        spread_by(self.own.as_bytes(), addresses);
    }

    /// The links to other processes.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Forgets members that are no longer there.
    pub fn retain_members(&self, is_known: impl Fn(&str) -> bool) {
        lock(&self.direct).retain(|id, _| is_known(id));
        self.lock().candidates.retain(|id, _| is_known(id));
    }

    /// The permits for this process's own connections to `member` while it reaches no home:
    /// [`LEAST_SHARE`] of them, whatever they are used for.
    pub(super) fn direct_permits(&self, member: &Member) -> Arc<Semaphore> {
        let mut direct = lock(&self.direct);
        let permits = direct.entry(member.id.clone());
        Arc::clone(permits.or_insert_with(|| Arc::new(Semaphore::new(LEAST_SHARE))))
    }

    /// The candidates for `member`, the homes first.
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

    /// Whether this process is a home of `member`; one that knows no other is.
    pub fn is_home(&self, member: &Member) -> bool {
        let candidates = self.candidates(member);
        candidates.is_empty() || self.is_among(&candidates[..HOMES.min(candidates.len())])
    }

    /// Whether this process may come to hold connections to `member` for others.
    pub fn is_candidate(&self, member: &Member) -> bool {
        self.is_among(&self.candidates(member))
    }

    /// The candidates for keeping the evidence of `block`, the keeper first, where no regions
    /// are known.
    pub fn keepers(&self, block: usize) -> Arc<[Peer]> {
        self.keepers_near(block, None)
    }

    /// The candidates for keeping the evidence of `block`, the keeper first: processes of
    /// `region`, if there are any.
    pub fn keepers_near(&self, block: usize, region: Option<&RegionName>) -> Arc<[Peer]> {
        let mut ranking = self.lock();
        let key = (block, region.cloned());
        if let Some(known) = ranking.keepers.get(&key) {
            return Arc::clone(known);
        }
        let is_close =
            |peer: &Peer| region.is_none() || self.topology.region_of(&peer.zone) == region;
        let keepers: Arc<[Peer]> = rank_keepers(&ranking.fleet, block, is_close).into();
        ranking.keepers.insert(key, Arc::clone(&keepers));
        keepers
    }

    /// A link to the process that keeps the evidence of `block` near `region`, or to the one
    /// that follows it; `None` where that is this process, or none is reached.
    pub async fn choose_keeper(
        &self,
        block: usize,
        region: Option<&RegionName>,
    ) -> Option<Arc<Link>> {
        let keepers = self.keepers_near(block, region);
        if keepers.first().is_none_or(|first| first.node == self.own) {
            return None;
        }
        let others = keepers.iter().take_while(|peer| peer.node != self.own);
        let addresses: Vec<SocketAddr> = others.map(|peer| peer.address).collect();
        self.links.first_usable(&addresses).await
    }

    /// The candidates for counting `shard` of the rate limits, the counter first.
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

    /// This process's place among the candidates for counting `shard`, if it is one.
    pub fn counter_rank(&self, shard: Shard) -> Option<usize> {
        let counters = self.counters(shard);
        counters.iter().position(|peer| peer.node == self.own)
    }

    /// Where the others of these candidates answer: first the one that granted permits last.
    pub fn counter_addresses(&self, shard: Shard) -> Vec<SocketAddr> {
        let counters = self.counters(shard);
        let others = counters.iter().filter(|peer| peer.node != self.own);
        let mut addresses: Vec<SocketAddr> = others.map(|peer| peer.address).collect();
        let last = self.lock().last_counters.get(&shard).copied();
        addresses.sort_by_key(|address| Some(*address) != last);
        addresses
    }

    /// Where the candidate for counting `shard` called `node` answers, if it is another one.
    pub fn counter_address(&self, shard: Shard, node: &str) -> Option<SocketAddr> {
        let counters = self.counters(shard);
        let found = counters.iter().find(|peer| &*peer.node == node)?;
        Some(found.address).filter(|_| found.node != self.own)
    }

    /// Notes that the process at `address` has granted or refused permits of `shard`.
    pub fn note_counter(&self, shard: Shard, address: SocketAddr) {
        self.lock().last_counters.insert(shard, address);
    }

    /// The shards of the rate limits, in the order in which a process of `zone` asks them for
    /// `tenant`: those of its zone first. Where a zone has several, tenants begin with different
    /// ones.
    pub fn shards_by_distance(&self, zone: &ZoneName, tenant: &TenantName) -> [Shard; SHARDS] {
        let zones = self.lock().zones();
        let count = zones.len().max(1);
        let own = zones.iter().position(|known| known == zone).unwrap_or(0);
        let round = (xxh3_64(tenant.as_bytes()) % SHARDS as u64) as usize;
        let mut order: [Shard; SHARDS] = std::array::from_fn(|place| (place + round) % SHARDS);
        order.sort_by_key(|shard| (shard % count + count - own) % count);
        order
    }

    fn is_among(&self, peers: &[Peer]) -> bool {
        peers.iter().any(|peer| peer.node == self.own)
    }

    /// A link to a process that holds connections to `member`: to one of its homes if one
    /// answers, else to one of those that follow, of those that `residency` allows. Where there
    /// are tenants, each has one of the homes that the whole fleet asks first, so that the
    /// connections which are good for that tenant only are found in one place.
    pub async fn choose(
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
        let homes = HOMES.min(addresses.len());
        match tenant {
            Some(tenant) => spread_by(tenant.as_bytes(), &mut addresses[..homes]),
            None => self.spread(&mut addresses[..homes]),
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
