//! Moving leaders out of evacuated zones.
//!
//! A leader in an evacuated zone is replaced like one that shuts down: it is fenced while it is
//! still running. Each change interrupts the writes of its group, so only as many run concurrently
//! as necessary.

use super::survey::{self, StragglerPolicy, SurveyedMember};
use crate::directory::Member;
use crate::engine::Engine;
use crate::evacuation::Sender;
use crate::names::GroupName;
use crate::ports::Control;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Expected duration of one change of leader: the fence, the order, and the wait until the old
/// term's evidence expires. From the first check to the new leader's first write, 17 changes took
/// 1.19 to 1.25 s each, with orders that took 1 s to act.
const MOVE_TIME: Duration = Duration::from_millis(1_300);

/// Whether a member outside evacuated zones can replace `leader`, according to the directory.
pub fn has_successor(engine: &Engine, leader: &Member) -> bool {
    let members = engine.directory().members_of(&leader.group);
    let mut others = members.iter().filter(|member| member.id != leader.id);
    others.any(|member| can_lead(engine, member))
}

/// Whether the leader of `group` is to be replaced because its zone is evacuated.
pub fn should_move_leader(engine: &Engine, group: &GroupName) -> bool {
    let leader = leader_in_evacuated_zone(engine, group);
    leader.is_some_and(|leader| has_successor(engine, &leader))
}

/// The leader of `group`, if it is in an evacuated zone.
pub fn leader_in_evacuated_zone(engine: &Engine, group: &GroupName) -> Option<Arc<Member>> {
    if engine.evacuations().zones.is_empty() {
        return None;
    }
    let leader = engine.group(group).view().leader?;
    let directory = engine.directory();
    let member = directory.member(&leader)?;
    let is_evacuated = engine.evacuation_schedule().is_evacuated(&member.zone);
    is_evacuated.then(|| Arc::clone(member))
}

/// How many leaders of `groups` may currently be replaced concurrently.
pub fn max_concurrent_moves(engine: &Engine, groups: &[GroupName]) -> usize {
    let to_move = groups.iter().filter_map(|group| {
        let leader = leader_in_evacuated_zone(engine, group)?;
        has_successor(engine, &leader).then_some(leader)
    });
    let closings = to_move.filter_map(|leader| {
        let schedule = engine.evacuation_schedule();
        schedule.closes_at(&leader.zone, Sender::Session)
    });
    let closings: Vec<Instant> = closings.collect();
    let soonest = closings.iter().min().copied().unwrap_or_else(Instant::now);
    let time_left = soonest.saturating_duration_since(Instant::now());
    required_concurrency(closings.len(), time_left)
}

/// How many of `changes` have to run concurrently so that the last of them begins within
/// `time_left`; all of them if there is no time left. A change that has begun may end later than
/// that, since its old leader is sent nothing more.
pub fn required_concurrency(changes: usize, time_left: Duration) -> usize {
    let rounds = time_left.as_millis().div_ceil(MOVE_TIME.as_millis()) as usize;
    changes.div_ceil(rounds.max(1))
}

/// Whether a member of `group` outside evacuated zones reports that it has received as much as any
/// other replica, so that a fence would choose it.
pub async fn has_caught_up_successor(engine: &Engine, group: &GroupName) -> bool {
    let stragglers = StragglerPolicy::SKIP_ONE_STRAGGLER;
    let members = survey::survey(engine, group, |_| Control::Status, stragglers).await;
    let replicas = members.iter().filter(|member| member.is_replica());
    let received = |member: &SurveyedMember| member.response.report().map(|report| report.received);
    let most = replicas.clone().map(received).max().flatten();
    let mut fit = replicas.filter(|replica| can_lead(engine, &replica.member));
    most.is_some() && fit.any(|replica| received(replica) == most)
}

fn can_lead(engine: &Engine, member: &Member) -> bool {
    member.state.takes_work() && !engine.evacuation_schedule().is_evacuated(&member.zone)
}
