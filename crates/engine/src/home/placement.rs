//! Which processes are the homes of a member.

use crate::directory::Member;
use crate::link::{Link, Links};
use crate::names::{MemberId, NodeName, ZoneName};
use crate::ports::PeerNetwork;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use xxhash_rust::xxh3::xxh3_64;

/// Processes that hold the connections to one member while all of them live. Two, so that
/// one is at hand when the other is lost.
pub const HOMES: usize = 2;
/// Processes that may come to hold them: those that follow, for when homes are lost.
pub const CANDIDATES: usize = 4;
/// Least number of connections of one process that connects by itself: one can rest inside
/// a transaction.
pub const LEAST_SHARE: usize = 2;

/// Processes that connect to a member by themselves for each statement that it runs at a
/// time, at the most. More would fill its queue with what none of them knows of the others,
/// and each new connection takes a place there too.
const PROCESSES_PER_SLOT: usize = 6;
/// Connections that one home uses for each statement that the member runs at a time, at the
/// most: some rest inside transactions.
const HOME_CONNECTIONS_PER_SLOT: usize = 10;
/// Connections of a member that are left to orders and to processes not counted yet.
pub const RESERVED: usize = 6;

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

/// The block that `group` belongs to, of `groups` in all.
pub fn block_of(group: &str, groups: usize) -> usize {
    let blocks = groups.div_ceil(BLOCK_GROUPS).max(1);
    // Less than the number of blocks: it fits.
    (xxh3_64(group.as_bytes()) % blocks as u64) as usize
}

/// A process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub node: NodeName,
    /// Where it answers other processes.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

/// The candidates for keeping the evidence of one block of groups among `fleet`.
fn rank_keepers(fleet: &[Peer], block: usize) -> Vec<Peer> {
    let weight = |peer: &Peer| xxh3_64(format!("{block}/{}", peer.node).as_bytes());
    let mut ranked: Vec<&Peer> = fleet.iter().collect();
    ranked.sort_by_key(|peer| weight(peer));
    ranked.into_iter().take(HOMES).cloned().collect()
}

/// The candidates for `member` among `fleet`, the homes first. Processes of the member's
/// zone come before others; among equals the order differs from member to member, and a
/// process that joins or leaves moves none of the others.
pub fn rank(fleet: &[Peer], member: &Member) -> Vec<Peer> {
    let weight = |peer: &Peer| {
        let name = [member.id.as_bytes(), b"/", peer.node.as_bytes()].concat();
        (peer.zone != member.zone, xxh3_64(&name))
    };
    let mut ranked: Vec<_> = fleet.iter().map(|peer| (weight(peer), peer)).collect();
    ranked.sort_by_key(|(weight, _)| *weight);
    let first = ranked.into_iter().take(CANDIDATES);
    first.map(|(_, peer)| peer.clone()).collect()
}

#[derive(Debug, Default)]
struct Ranking {
    fleet: Vec<Peer>,
    candidates: HashMap<MemberId, Arc<[Peer]>>,
    keepers: HashMap<usize, Arc<[Peer]>>,
}

/// The homes of all members, and the links to them.
#[derive(Debug)]
pub struct Homes {
    own: NodeName,
    ranking: Mutex<Ranking>,
    links: Links,
}

impl Homes {
    /// For the process called `own`; it knows of no other yet.
    pub fn new(own: NodeName, network: Arc<dyn PeerNetwork>) -> Self {
        Self {
            own,
            ranking: Mutex::default(),
            links: Links::new(network),
        }
    }

    /// Takes the processes of the fleet, this one included.
    pub fn set_fleet(&self, fleet: Vec<Peer>) {
        let mut ranking = self.lock();
        if ranking.fleet != fleet {
            ranking.candidates.clear();
            ranking.keepers.clear();
            ranking.fleet = fleet;
        }
    }

    /// The processes of the fleet, this one included; empty while they are not known.
    pub fn fleet(&self) -> Vec<Peer> {
        self.lock().fleet.clone()
    }

    /// The links to other processes.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Forgets members that are no longer there.
    pub fn retain_members(&self, is_known: impl Fn(&str) -> bool) {
        self.lock().candidates.retain(|id, _| is_known(id));
    }

    /// The candidates for `member`, the homes first.
    pub fn candidates(&self, member: &Member) -> Arc<[Peer]> {
        let mut ranking = self.lock();
        if let Some(known) = ranking.candidates.get(&member.id) {
            return Arc::clone(known);
        }
        let candidates: Arc<[Peer]> = rank(&ranking.fleet, member).into();
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

    /// The candidates for keeping the evidence of `block`, the keeper first.
    fn keepers(&self, block: usize) -> Arc<[Peer]> {
        let mut ranking = self.lock();
        if let Some(known) = ranking.keepers.get(&block) {
            return Arc::clone(known);
        }
        let keepers: Arc<[Peer]> = rank_keepers(&ranking.fleet, block).into();
        ranking.keepers.insert(block, Arc::clone(&keepers));
        keepers
    }

    /// A link to the process that keeps the evidence of `block`, or to the one that follows
    /// it; `None` where that is this process, or none is reached.
    pub async fn choose_keeper(&self, block: usize) -> Option<Arc<Link>> {
        let keepers = self.keepers(block);
        if keepers.first().is_none_or(|first| first.node == self.own) {
            return None;
        }
        let others = keepers.iter().take_while(|peer| peer.node != self.own);
        let addresses: Vec<SocketAddr> = others.map(|peer| peer.address).collect();
        self.links.first_usable(&addresses).await
    }

    fn is_among(&self, peers: &[Peer]) -> bool {
        peers.iter().any(|peer| peer.node == self.own)
    }

    /// A link to a process that holds connections to `member`: to one of its homes if one
    /// answers, else to one of those that follow.
    pub async fn choose(&self, member: &Member) -> Option<Arc<Link>> {
        let candidates = self.candidates(member);
        let others = candidates.iter().filter(|peer| peer.node != self.own);
        let mut addresses: Vec<SocketAddr> = others.map(|peer| peer.address).collect();
        let homes = HOMES.min(addresses.len());
        // Half of the fleet asks the one home first, half the other.
        let first = xxh3_64(self.own.as_bytes()) % 2;
        if first == 1 {
            addresses[..homes].reverse();
        }
        let (homes, rest) = addresses.split_at(homes);
        match self.links.first_usable(homes).await {
            Some(link) => Some(link),
            None => self.links.first_usable(rest).await,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Ranking> {
        self.ranking.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
