//! Moving leaders out of evacuated zones.
//!
//! A leader there is replaced as one that leaves: fenced while it lives. Each change is a gap
//! in its group's writes, so only as many run side by side as have to.

use super::survey::{self, StragglerPolicy, SurveyedMember};
use crate::directory::Member;
use crate::engine::Engine;
use crate::evacuation::Sender;
use crate::names::GroupName;
use crate::ports::Control;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time that one change of a leader is taken to need: its fence, the order, and the wait for the
/// old term's evidence. Measured: 1.19 to 1.25 s from the first look to the new leader's first
/// write, 17 changes, where an order needs 1 s to act.
const MOVE_TIME: Duration = Duration::from_millis(1_300);

/// Whether a member outside evacuated zones can take the lead from `leader`, as far as the
/// entries tell.
pub fn has_successor(engine: &Engine, leader: &Member) -> bool {
    let members = engine.directory().members_of(&leader.group);
    let mut others = members.iter().filter(|member| member.id != leader.id);
    others.any(|member| can_lead(engine, member))
}

/// Whether the leader of `group` is to be replaced since its zone is evacuated.
pub fn should_move_leader(engine: &Engine, group: &GroupName) -> bool {
    let leader = leader_in_evacuated_zone(engine, group);
    leader.is_some_and(|leader| has_successor(engine, &leader))
}

/// The leader of `group`, if it stands in an evacuated zone.
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

/// How many leaders of `groups` are to be replaced at a time now.
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

/// How many of `changes` have to run side by side so that the last of them begins within
/// `time_left`; all of them where there is no time. One that has begun costs no more for ending
/// later: its old leader gets nothing more.
pub fn required_concurrency(changes: usize, time_left: Duration) -> usize {
    let rounds = time_left.as_millis().div_ceil(MOVE_TIME.as_millis()) as usize;
    changes.div_ceil(rounds.max(1))
}

/// Whether a member of `group` outside evacuated zones answers that it is no further behind
/// than the others: a fence would choose it.
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
