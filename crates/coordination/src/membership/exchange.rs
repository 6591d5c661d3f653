//! The task that carries news between zones, on the nodes that represent theirs.
//!
//! Each zone has [`REPRESENTATIVES`] representatives, which talk to those of the
//! other zones of the region; each region has as many, which talk to those of the
//! other regions. Every node works out from its own view who they are. Two nodes
//! that disagree for a while cost some messages and nothing else.

use super::audience::Audience;
use super::datagram::Purpose;
use super::news::NewsQueue;
use super::shared::Shared;
use super::view::{Member, MembershipView};
use crate::identity::{NodeId, RegionName, ZoneName};
use crate::placement::{Candidate, place};
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::time::MissedTickBehavior;

/// Representatives of a zone, and of a region.
const REPRESENTATIVES: usize = 2;

/// The rendezvous key under which representatives are chosen.
const RANKING: &str = "representative";

/// The most datagrams that carry much news to one group in one interval.
const DATAGRAMS_AT_ONCE: usize = 8;

/// A group that was not heard of for so many intervals is approached through any
/// of its nodes instead of its representatives.
const INTERVALS_BEFORE_ANY_NODE: u32 = 5;

/// Nodes elsewhere that can be approached.
#[derive(Debug)]
pub(super) struct Group {
    audience: Audience,
    zones: BTreeSet<ZoneName>,
    representatives: Vec<SocketAddr>,
    contacts: usize,
    everybody: Vec<SocketAddr>,
}

impl Group {
    /// The representatives in turn, then any node: news that is sent several times
    /// arrives although representatives are lost and this is not known yet.
    fn next_contact(&mut self) -> Option<SocketAddr> {
        let turn = self.contacts % (self.representatives.len() + 1);
        self.contacts += 1;
        match self.representatives.get(turn) {
            Some(address) => Some(*address),
            None => self.any_node(),
        }
    }

    /// The address of one of the nodes.
    pub fn any_node(&self) -> Option<SocketAddr> {
        self.everybody.choose(&mut rand::rng()).copied()
    }
}

/// Which groups a node has to approach in turn.
#[derive(Debug, Default)]
pub(super) struct Duties {
    /// The other zones of the region, if the node represents its zone.
    pub zones: Vec<Group>,
    /// The other regions, if the node represents its region.
    pub regions: Vec<Group>,
}

/// Exchanges news until the membership is stopped.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut view = shared.view.subscribe();
    let mut ticks = tokio::time::interval(shared.timing.exchange_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut duties = Duties::default();
    let mut round = 0;
    loop {
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            _ = ticks.tick() => {}
        }
        if view.has_changed().unwrap_or(false) {
            let latest = view.borrow_and_update().clone();
            duties = duties_of(&shared, &latest);
        }
        for groups in [&mut duties.zones, &mut duties.regions] {
            let turn = round % groups.len().max(1);
            for (index, group) in groups.iter_mut().enumerate() {
                // One group in turn in any case, and all for which there is news.
                if index == turn || has_news(&shared, group) {
                    approach(&shared, group).await;
                }
            }
        }
        round += 1;
    }
}

async fn approach(shared: &Shared, group: &mut Group) {
    let silent = silent_for_long(shared, group);
    let target = if silent {
        group.any_node()
    } else {
        group.next_contact()
    };
    let Some(address) = target else {
        return;
    };
    for sent in 1.. {
        shared
            .send(address, Purpose::Exchange, &group.audience, None)
            .await;
        if sent == DATAGRAMS_AT_ONCE || !has_fresh_news(shared, group) {
            return;
        }
    }
}

fn has_news(shared: &Shared, group: &Group) -> bool {
    let state = shared.state();
    let queue = state.wide_news.get(&group.audience);
    queue.is_some_and(|queue| !queue.is_empty())
}

/// Whether there is news that was not sent to the group at all.
fn has_fresh_news(shared: &Shared, group: &Group) -> bool {
    let state = shared.state();
    let queue = state.wide_news.get(&group.audience);
    queue.is_some_and(NewsQueue::has_unsent)
}

fn silent_for_long(shared: &Shared, group: &Group) -> bool {
    let now = Instant::now();
    let limit = shared.timing.exchange_interval * INTERVALS_BEFORE_ANY_NODE;
    let mut state = shared.state();
    group
        .zones
        .iter()
        .all(|zone| state.contacts.age(zone, now) > limit)
}

/// What the node has to do in `view`.
pub(super) fn duties_of(shared: &Shared, view: &MembershipView) -> Duties {
    let own = &shared.own;
    let zone_representatives = view.ranked(&own.zone, RANKING);
    if !is_among_first(&zone_representatives, &own.node) {
        return Duties::default();
    }
    let zones = view
        .zones()
        .filter(|zone| **zone != own.zone && view.region_of(zone) == Some(&own.region))
        .map(|zone| {
            let members: Vec<_> = view.zone_members(zone).collect();
            group(Audience::Zone(zone.clone()), &members)
        })
        .collect();
    let regions = by_region(view);
    let own_region = regions.get(&own.region).into_iter().flatten().copied();
    let reachable = own_region.filter(|member| member.is_reachable());
    let represents_region = is_among_first(&representatives(reachable), &own.node);
    let regions = regions
        .into_iter()
        .filter(|(region, _)| represents_region && *region != own.region)
        .map(|(region, members)| group(Audience::Region(region), &members))
        .collect();
    Duties { zones, regions }
}

fn is_among_first(ranked: &[NodeId], node: &NodeId) -> bool {
    ranked.iter().take(REPRESENTATIVES).any(|one| one == node)
}

fn by_region(view: &MembershipView) -> BTreeMap<RegionName, Vec<&Member>> {
    let mut regions: BTreeMap<RegionName, Vec<&Member>> = BTreeMap::new();
    for member in view.members() {
        regions
            .entry(member.record.region.clone())
            .or_default()
            .push(member);
    }
    regions
}

fn representatives<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<NodeId> {
    let candidates = members.map(|member| Candidate {
        node: &member.record.node,
        zone: &member.record.zone,
    });
    place(RANKING, candidates, REPRESENTATIVES)
}

/// Unreachable nodes stay in the group: somebody has to try whether they are back.
fn group(audience: Audience, members: &[&Member]) -> Group {
    let chosen = representatives(members.iter().copied());
    let address = |member: &&Member| member.record.control_address;
    Group {
        audience,
        contacts: rand::random_range(0..=REPRESENTATIVES),
        zones: members
            .iter()
            .map(|member| member.record.zone.clone())
            .collect(),
        representatives: members
            .iter()
            .filter(|member| chosen.contains(&member.record.node))
            .map(address)
            .collect(),
        everybody: members.iter().map(address).collect(),
    }
}
