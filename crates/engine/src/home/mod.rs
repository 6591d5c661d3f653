//! Homes: the processes that hold the connections to a member on behalf of the whole fleet.
//!
//! A member accepts a limited number of connections. As long as that is enough for every process
//! of the fleet to hold a few, each process connects directly. In a larger fleet, a few processes
//! near the member, its homes, hold the connections, and the others forward their statements over
//! one link to each home. The whole load of a member thus passes through a few processes, which
//! know it and schedule it, and the number of connections to a member does not grow with the fleet.
//!
//! A home decides only the order in which statements run. The process that accepted a statement
//! decides where it runs, how fresh its member must be and what its caller is told, based on
//! evidence dated by its own clock:
//!
//! | outcome of a forwarded statement | how the forwarding process treats it |
//! | --- | --- |
//! | no home is reachable, or the queue of its link is full | not run |
//! | the home had no free connection in time, or could not reach the member | not run |
//! | the link closed, or no reply arrived, after the statement was sent | may have run |
//! | the member's connection failed after the statement was sent to it | may have run |
//! | a home stops while a transaction is open there | the transaction is lost |
//!
//! Two processes that disagree on a member's homes forward their statements to different
//! processes. The member then sees more connections, but no guarantee depends on it.

pub mod placement;
mod remote;
pub mod unit;

pub use placement::Homes;
pub use remote::RemoteBackEnd;

use crate::engine::Engine;
use crate::group::Group;
use crate::link::frame::RequiredFreshness;
use crate::names::{GroupName, RegionName};
use crate::peers;
use crate::ports::GroupSnapshot;
use crate::residency::Residency;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Timeout of a query for a group's state.
const QUERY_TIMEOUT: Duration = Duration::from_millis(80);

/// Requests evidence of the term of `group` from a home of its leader, which renews it on behalf of
/// the whole fleet. Returns whether a home has replied. Homes themselves, and
/// processes of a small fleet, send no request.
pub async fn ask_for_evidence(engine: &Engine, group: &Group) -> bool {
    query_home(engine, group, RequiredFreshness::Evidence).await
}

/// Like [`ask_for_evidence`], but requests a replication position as of a recent time.
pub async fn ask_for_position(engine: &Engine, group: &Group) -> bool {
    query_home(engine, group, RequiredFreshness::Position).await
}

/// Requests the evidence of `group` from its evidence reader, the process that reads it from the
/// store for the whole fleet. Returns whether the group has a leased leader afterwards. The
/// evidence reader itself sends no request.
pub async fn ask_evidence_reader(engine: &Engine, group: &Group) -> bool {
    let directory = engine.directory();
    let Some(block) = placement::block_of(directory.group_names(), group.name()) else {
        return false;
    };
    let requested_at = Instant::now();
    let region = most_common_region(engine, block.groups);
    let reader = engine
        .homes()
        .choose_evidence_reader(block.index, region.as_ref());
    let Some(link) = reader.await else {
        return false;
    };
    let snapshots = link.query_group(group.name(), RequiredFreshness::StoreEvidence);
    if let Ok(Some(snapshots)) = timeout(QUERY_TIMEOUT, snapshots).await {
        apply_snapshots(engine, snapshots, requested_at);
    }
    let now = Instant::now();
    let leader = group.leased_leader(now, Duration::ZERO);
    let is_confirmed = leader.is_some_and(|leader| group.is_leased_by(&leader, now));
    match is_confirmed {
        true => link.reset_deprioritization(),
        // It can't reach the store, or can't be reached: use the other evidence reader next.
        false => link.deprioritize(),
    }
    is_confirmed
}

/// Returns the region with the most members of `groups`, the same in every process; `None` if
/// there is only one region.
fn most_common_region(engine: &Engine, groups: &[GroupName]) -> Option<RegionName> {
    let topology = &engine.settings().topology;
    if topology.is_single_region() {
        return None;
    }
    let directory = engine.directory();
    let members = groups.iter().flat_map(|group| directory.members_of(group));
    let mut counts: BTreeMap<&RegionName, usize> = BTreeMap::new();
    for member in members {
        if let Some(region) = topology.region_of(&member.zone) {
            *counts.entry(region).or_default() += 1;
        }
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(region, _)| region.clone())
}

async fn query_home(engine: &Engine, group: &Group, freshness: RequiredFreshness) -> bool {
    let leader = group.view().leader;
    let directory = engine.directory();
    let member = leader.and_then(|leader| directory.member(&leader).cloned());
    let Some(member) = member.filter(|member| !engine.connects_directly(member)) else {
        return false;
    };
    let requested_at = Instant::now();
    // The request contains no caller data, so residency rules don't restrict it.
    let anywhere = &Residency::ANYWHERE;
    let answered = timeout(QUERY_TIMEOUT, async {
        let link = engine.homes().choose_link(&member, None, anywhere).await?;
        link.get().query_group(group.name(), freshness).await
    });
    let Ok(Some(snapshots)) = answered.await else {
        return false;
    };
    apply_snapshots(engine, snapshots, requested_at);
    true
}

fn apply_snapshots(engine: &Engine, snapshots: Vec<GroupSnapshot>, requested_at: Instant) {
    metrics::counter!("stilequay_peer_answers_total").increment(1);
    snapshots
        .into_iter()
        .for_each(|snapshot| peers::apply(engine, snapshot, requested_at));
}
