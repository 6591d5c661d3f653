//! The fan-out tree of a zone, as each node works it out from its own view.
//!
//! The nodes of the zone are ranked by rendezvous hashing. The first two are the
//! relays; the next `degree` nodes subscribe to both of them, `degree` times as
//! many follow on the next level, and so on. On the deeper levels a node chooses
//! its parent in the level above by rendezvous hashing over its own name. So the
//! loss of a node moves its children and at most one node from each level to the
//! one above, and the depth grows with the logarithm of the zone.

use crate::identity::{NodeId, ZoneName};
use crate::membership::{Liveness, MembershipView};
use crate::placement::{Candidate, place};

/// Relays of a zone.
pub(super) const RELAYS: usize = 2;

/// The rendezvous key under which the nodes of a zone are ranked.
const RANKING: &str = "relay";

/// How many nodes of the level above a node considers as parents.
const PARENTS_CONSIDERED: usize = 3;

/// A node's place in the distribution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Role {
    /// Reads the source of changes often.
    FirstRelay,
    /// Reads the source of changes now and then, in case the first relay can't.
    SecondRelay,
    /// Is given the changes by other nodes.
    Subscriber,
}

/// Where a node stands in the tree of its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Place {
    /// The node's role.
    pub role: Role,
    /// The relays of the zone, first the first.
    pub relays: Vec<NodeId>,
    /// For each subscription to hold: whom to subscribe to, best first.
    pub subscriptions: Vec<Vec<NodeId>>,
}

impl Place {
    /// The place of `own` in `zone`.
    pub fn of(own: &NodeId, zone: &ZoneName, view: &MembershipView, degree: usize) -> Self {
        let ranked = ranking(zone, view);
        let relays: Vec<_> = ranked.iter().take(RELAYS).cloned().collect();
        let rank = ranked.iter().position(|node| node == own);
        Self {
            role: role(rank),
            subscriptions: subscriptions(own, rank, &ranked, degree),
            relays,
        }
    }
}

/// The relays of `zone`, first the first.
pub(super) fn relays(zone: &ZoneName, view: &MembershipView) -> Vec<NodeId> {
    let mut ranked = ranking(zone, view);
    ranked.truncate(RELAYS);
    ranked
}

/// The nodes of the zone that stay, by rank. A suspected node keeps its rank: most
/// suspicions pass, and moving its children costs connections.
fn ranking(zone: &ZoneName, view: &MembershipView) -> Vec<NodeId> {
    let mut ranked = view.ranked(zone, RANKING);
    ranked.retain(|node| {
        view.get(node)
            .is_some_and(|member| member.liveness != Liveness::Leaving)
    });
    ranked
}

fn role(rank: Option<usize>) -> Role {
    match rank {
        Some(0) => Role::FirstRelay,
        Some(1) => Role::SecondRelay,
        _ => Role::Subscriber,
    }
}

fn subscriptions(
    own: &NodeId,
    rank: Option<usize>,
    ranked: &[NodeId],
    degree: usize,
) -> Vec<Vec<NodeId>> {
    let relays = &ranked[..ranked.len().min(RELAYS)];
    // A node that leaves has no rank and is served by the relays until it is gone.
    let rank = rank.unwrap_or(RELAYS);
    if rank < RELAYS {
        let others = relays.iter().filter(|relay| *relay != own);
        return others.map(|relay| vec![relay.clone()]).collect();
    }
    let level = level_above(rank, ranked.len(), degree);
    if level.start < RELAYS {
        return relays.iter().map(|relay| vec![relay.clone()]).collect();
    }
    let mut parents = best_parents(own, &ranked[level]);
    parents.extend(relays.iter().cloned());
    vec![parents]
}

/// The ranks of the level above that of `rank`.
fn level_above(rank: usize, count: usize, degree: usize) -> std::ops::Range<usize> {
    let mut above = 0..RELAYS.min(count);
    let mut size = degree.max(1);
    loop {
        let level = above.end..above.end + size;
        if rank < level.end {
            return above;
        }
        above = level;
        size *= degree.max(2);
    }
}

fn best_parents(own: &NodeId, level: &[NodeId]) -> Vec<NodeId> {
    let zone = ZoneName::from("");
    let candidates = level.iter().map(|node| Candidate { node, zone: &zone });
    place(own.as_str(), candidates, PARENTS_CONSIDERED)
}
