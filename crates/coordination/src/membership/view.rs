//! The fleet as one node sees it: an immutable picture.

use super::record::MemberRecord;
use crate::identity::{NodeId, RegionName, ZoneName};
use crate::placement::{Candidate, place};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What this node believes of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Liveness {
    /// Answers.
    Alive,
    /// Has announced that it leaves: should get no new work.
    Leaving,
    /// Has not answered its neighbours; not yet given up.
    Suspected,
    /// Its whole zone has not been heard of for long, so that nothing is known of
    /// it. It comes back by itself once the zone is heard of again.
    Unreachable,
}

/// A node of the fleet that is not given up.
#[derive(Debug, Clone)]
pub struct Member {
    /// Who it is and where.
    pub record: Arc<MemberRecord>,
    /// What is believed of it.
    pub liveness: Liveness,
}

impl Member {
    /// Whether the node can be expected to answer.
    pub fn is_reachable(&self) -> bool {
        self.liveness != Liveness::Unreachable
    }
}

/// All nodes that are not given up, this node included, ordered by name.
#[derive(Debug, Clone, Default)]
pub struct MembershipView {
    members: Vec<Member>,
    zones: BTreeMap<ZoneName, Vec<usize>>,
}

impl MembershipView {
    /// A view of `members`, which must be ordered by name.
    pub fn new(members: Vec<Member>) -> Self {
        let mut zones: BTreeMap<ZoneName, Vec<usize>> = BTreeMap::new();
        for (index, member) in members.iter().enumerate() {
            match zones.get_mut(&member.record.zone) {
                Some(indexes) => indexes.push(index),
                None => {
                    zones.insert(member.record.zone.clone(), vec![index]);
                }
            }
        }
        Self { members, zones }
    }

    /// All members, ordered by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member named `node`.
    pub fn get(&self, node: &NodeId) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|member| member.record.node.cmp(node))
            .ok()?;
        Some(&self.members[index])
    }

    /// The zones in which there are members.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }

    /// The members in `zone`, ordered by name.
    pub fn zone_members(&self, zone: &ZoneName) -> impl Iterator<Item = &Member> {
        let indexes = self.zones.get(zone).map(Vec::as_slice).unwrap_or_default();
        indexes.iter().map(|index| &self.members[*index])
    }

    /// How many members there are in `zone`.
    pub fn zone_size(&self, zone: &ZoneName) -> usize {
        self.zones.get(zone).map_or(0, Vec::len)
    }

    /// The region of `zone`, as one of its members reports it.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        let member = self.zone_members(zone).next()?;
        Some(&member.record.region)
    }

    /// The reachable members of `zone`, highest rendezvous weight for `purpose`
    /// first. The loss of one member changes the order of no two others.
    pub fn ranked(&self, zone: &ZoneName, purpose: &str) -> Vec<NodeId> {
        let candidates = self
            .zone_members(zone)
            .filter(|member| member.is_reachable())
            .map(|member| Candidate {
                node: &member.record.node,
                zone,
            });
        place(purpose, candidates, self.members.len())
    }
}
