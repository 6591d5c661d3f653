//! Keeps known what was acknowledged before a log was lost.
//!
//! A server that restarts empty, or leaves for good, may have held the only copy of a commit beside
//! the leader's. Until another member is known to have received everything that was acknowledged
//! before, a change of leader needs the leader's log ([`super::choice`]). The lease holder may have
//! no requests for the group from which it would learn positions, so it asks for one after each such
//! loss, while the leader can still tell.

use super::freshness;
use super::promotion_lease::PromotionLease;
use super::survey::{self, StragglerPolicy};
use crate::directory::Member;
use crate::engine::Engine;
use crate::group::Group;
use crate::names::GroupName;
use crate::ports::Control;
use futures::StreamExt;
use futures::stream;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval between checks for lost logs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for learning a position of one group.
const POSITION_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause before another attempt for groups whose position could not be learned.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Number of groups asked concurrently: many servers restart at once if a zone has lost its power.
const MAX_CONCURRENT: usize = 16;

/// Learns a covering position after each loss of a log while this process holds the lease, until
/// the process ends.
pub async fn cover(engine: &Engine, lease: &PromotionLease) {
    let mut covered_version = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let version = engine.directory().version;
        if lease.check().is_none() {
            covered_version = None;
            continue;
        }
        if covered_version == Some(version) {
            continue;
        }
        let groups = engine.configured_groups();
        let lost = groups.iter().filter_map(|name| find_losses(engine, name));
        let lost: Vec<GroupLosses> = lost.collect();
        let asked = stream::iter(lost).map(async |losses| losses.cover(engine).await);
        let covered: Vec<bool> = asked.buffer_unordered(MAX_CONCURRENT).collect().await;
        match covered.into_iter().all(|is_covered| is_covered) {
            true => covered_version = Some(version),
            false => sleep(RETRY_PAUSE).await,
        }
    }
}

/// The members of a group whose entries have gone and whose logs aren't covered.
struct GroupLosses {
    group: Arc<Group>,
    members: Vec<Arc<Member>>,
}

fn find_losses(engine: &Engine, name: &GroupName) -> Option<GroupLosses> {
    let mut members = engine.directory().members_of(name);
    let group = engine.group(name);
    members.retain(|member| member.is_gone() && !is_covered(engine, &group, member));
    (!members.is_empty()).then_some(GroupLosses { group, members })
}

/// Whether `member` has ended and a position is known that covers what it received until then.
fn is_covered(engine: &Engine, group: &Group, member: &Member) -> bool {
    let ended_at = survey::ended_at(engine, member);
    ended_at.is_some_and(|at| group.covering_position(at).is_some())
}

impl GroupLosses {
    /// Learns which of the members have ended, and a position that covers all of those. Returns
    /// whether nothing is left to do: a member may run on for long after its entry has gone.
    async fn cover(&self, engine: &Engine) -> bool {
        let wait_for_all = StragglerPolicy::WAIT_FOR_ALL;
        let members = self.members.clone();
        let members =
            survey::survey_members(engine, members, |_| Control::Status, wait_for_all).await;
        let ends = members.iter().map(|member| member.ended_at);
        let ends: Vec<Instant> = ends.flatten().collect();
        let Some(last) = ends.iter().max() else {
            return false;
        };
        let until = Instant::now() + POSITION_TIMEOUT;
        let position = freshness::covering_position(engine, &self.group, *last, until).await;
        position.is_some() && ends.len() == members.len()
    }
}
