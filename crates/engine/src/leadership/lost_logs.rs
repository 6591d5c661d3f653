//! Keeps known what was acknowledged before a server lost its log.
//!
//! A server that restarts empty may have held the only copy of a commit beside the leader's. Until
//! another member is known to have received everything that was acknowledged before, a change of
//! leader needs the leader's log ([`super::choice`]). The lease holder may have no requests for the
//! group from which it would learn positions, so it asks for one after each such restart, while the
//! leader can still tell.

use super::freshness;
use super::promotion_lease::PromotionLease;
use crate::directory::MemberState;
use crate::engine::Engine;
use crate::group::Group;
use crate::names::GroupName;
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

/// Learns a covering position after each restart while this process holds the lease, until the
/// process ends.
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
        let lost = groups
            .iter()
            .filter_map(|name| uncovered_loss(engine, name));
        let lost: Vec<(Arc<Group>, Instant)> = lost.collect();
        let asked = stream::iter(lost).map(async |(group, lost_at)| {
            let until = Instant::now() + POSITION_TIMEOUT;
            let position = freshness::covering_position(engine, &group, lost_at, until).await;
            position.is_some()
        });
        let covered: Vec<bool> = asked.buffer_unordered(MAX_CONCURRENT).collect().await;
        match covered.into_iter().all(|is_covered| is_covered) {
            true => covered_version = Some(version),
            false => sleep(RETRY_PAUSE).await,
        }
    }
}

/// The group, and when the last restart of one of its servers became known, unless a position is
/// known that covers that time.
fn uncovered_loss(engine: &Engine, name: &GroupName) -> Option<(Arc<Group>, Instant)> {
    let directory = engine.directory();
    let members = directory.members_of(name).into_iter();
    let ended = members.filter(|member| directory.has_restarted(member));
    let losses = ended.filter_map(|member| match member.state {
        MemberState::Gone(departure) => Some(departure.learned_at),
        _ => None,
    });
    let lost_at = losses.max()?;
    let group = engine.group(name);
    let is_covered = group.covering_position(lost_at).is_some();
    (!is_covered).then_some((group, lost_at))
}
