//! Homes: the processes that hold the connections to a member for the whole fleet.
//!
//! A member accepts a bounded number of connections. While that is enough for every process
//! of the fleet to hold a few, each connects by itself. In a larger fleet a few processes
//! near the member hold them, its homes; the others forward their statements there over one
//! link to each home. So a member's whole load passes a few places, which know it and put it
//! in order, and what a process costs its members does not grow with the fleet.
//!
//! What a home decides is only whose turn it is. Where a statement goes, how fresh its
//! member must be and what its caller is told stay with the process that took it, on
//! evidence of its own clock:
//!
//! | what happens to a forwarded statement | what its process takes it for |
//! | --- | --- |
//! | no home was reached, or its link's queue is full | not run |
//! | the home had no connection in time, or could not reach the member | not run |
//! | the link ended, or nothing was heard, after it was sent | may have run |
//! | the member's connection failed after it was sent there | may have run |
//! | a home ends while a transaction is open there | the transaction is lost |
//!
//! Two processes that disagree on who is home each have their statements run by another
//! one: the member sees more connections, and no promise depends on it.

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

/// Longest wait for what a home knows of a group.
const ASK_TIMEOUT: Duration = Duration::from_millis(80);

/// Asks a home of the leader of `group` for evidence of its term, which the commits of the
/// whole fleet bring it; returns whether one has answered. Homes themselves, and processes
/// of a small fleet, ask nobody.
pub async fn ask_for_evidence(engine: &Engine, group: &Group) -> bool {
    ask(engine, group, RequiredFreshness::Evidence).await
}

/// As [`ask_for_evidence`], for a position that covers a recent moment.
pub async fn ask_for_position(engine: &Engine, group: &Group) -> bool {
    ask(engine, group, RequiredFreshness::Position).await
}

/// Asks the keeper of the evidence of `group`, which reads the store for the whole fleet;
/// returns whether that has brought any. The keeper itself asks nobody.
pub async fn ask_keeper(engine: &Engine, group: &Group) -> bool {
    let directory = engine.directory();
    let Some(block) = placement::block_of(directory.group_names(), group.name()) else {
        return false;
    };
    let asked = Instant::now();
    let region = region_of_most(engine, block.groups);
    let keeper = engine.homes().choose_keeper(block.index, region.as_ref());
    let Some(link) = keeper.await else {
        return false;
    };
    let beliefs = link.query_group(group.name(), RequiredFreshness::StoreEvidence);
    if let Ok(Some(beliefs)) = timeout(ASK_TIMEOUT, beliefs).await {
        take(engine, beliefs, asked);
    }
    let leader = group.leased_leader(Instant::now(), Duration::ZERO);
    match leader {
        Some(_) => link.reset_deprioritization(),
        // It is cut off from the store, or from here: the other keeper is asked next.
        None => link.deprioritize(),
    }
    leader.is_some()
}

/// The region in which most members of `groups` stand, the same everywhere; `None` where there
/// is one region only.
fn region_of_most(engine: &Engine, groups: &[GroupName]) -> Option<RegionName> {
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

async fn ask(engine: &Engine, group: &Group, wanted: RequiredFreshness) -> bool {
    let leader = group.view().leader;
    let directory = engine.directory();
    let member = leader.and_then(|leader| directory.member(&leader).cloned());
    let Some(member) = member.filter(|member| !engine.connects_directly(member)) else {
        return false;
    };
    let asked = Instant::now();
    // Questions hold nothing of a caller.
    let anywhere = &Residency::ANYWHERE;
    let answered = timeout(ASK_TIMEOUT, async {
        let link = engine.homes().choose(&member, None, anywhere).await?;
        link.get().query_group(group.name(), wanted).await
    });
    let Ok(Some(beliefs)) = answered.await else {
        return false;
    };
    take(engine, beliefs, asked);
    true
}

fn take(engine: &Engine, beliefs: Vec<GroupSnapshot>, asked: Instant) {
    metrics::counter!("stilequay_peer_answers_total").increment(1);
    beliefs
        .into_iter()
        .for_each(|belief| peers::apply(engine, belief, asked));
}
