//! Placement by rendezvous hashing: which nodes serve a key.
//!
//! Every node computes the same ranking from the same members, and the loss of
//! one node moves only the keys that it served.

use crate::identity::{NodeId, ZoneName};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A node that may be chosen, and where it runs.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The node.
    pub node: &'a NodeId,
    /// Its zone.
    pub zone: &'a ZoneName,
}

/// The `count` nodes that serve `key`, best first, in different zones as far as
/// there are zones enough; fewer where there are fewer candidates.
pub fn place<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    count: usize,
) -> Vec<NodeId> {
    let ranked = rank(key, candidates);
    let mut zones_used = BTreeSet::new();
    let (spread, rest): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|candidate| zones_used.insert(candidate.zone));
    spread
        .into_iter()
        .chain(rest)
        .take(count)
        .map(|candidate| candidate.node.clone())
        .collect()
}

/// All candidates, highest weight for `key` first.
fn rank<'a>(key: &str, candidates: impl IntoIterator<Item = Candidate<'a>>) -> Vec<Candidate<'a>> {
    let mut weighted: Vec<_> = candidates
        .into_iter()
        .map(|candidate| (weight(key, candidate.node), candidate))
        .collect();
    weighted.sort_by_key(|(weight, candidate)| (Reverse(*weight), candidate.node));
    weighted
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

fn weight(key: &str, node: &NodeId) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}
