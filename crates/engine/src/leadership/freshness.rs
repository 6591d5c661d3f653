//! Learning a position that covers a moment, where the traffic has not brought one.

use super::survey::{self, Patience, Response, Surveyed};
use crate::directory::Member;
use crate::engine::Engine;
use crate::evacuation::Sender;
use crate::group::Group;
use crate::home;
use crate::names::are_lives_of_one;
use crate::peers;
use crate::pool::AcquireRequest;
use crate::ports::{Command, Control};
use crate::position::LogPosition;
use crate::residency::Residency;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest time for one question.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);

/// A position that covers every commit acknowledged before `moment`, learned by `until`.
///
/// One task asks at a time for each group; the others share what it learns.
pub async fn covering_position(
    engine: &Engine,
    group: &Group,
    moment: Instant,
    until: Instant,
) -> Option<LogPosition> {
    if let Some(position) = group.covering_position(moment) {
        return Some(position);
    }
    let _one_at_a_time = timeout_at(until, group.query_lock().lock()).await.ok()?;
    if let Some(position) = group.covering_position(moment) {
        return Some(position);
    }
    // A home of the leader sees the whole fleet's commits.
    if home::ask_for_position(engine, group).await
        && let Some(position) = group.covering_position(moment)
    {
        return Some(position);
    }
    let leader_until = until.min(Instant::now() + QUESTION_TIMEOUT);
    let _ = timeout_at(leader_until, ask_leader(engine, group)).await;
    if let Some(position) = group.covering_position(moment) {
        return Some(position);
    }
    let _ = timeout_at(
        until,
        peers::ask(engine, std::slice::from_ref(group.name())),
    )
    .await;
    if let Some(position) = group.covering_position(moment) {
        return Some(position);
    }
    let _ = timeout_at(until, ask_members(engine, group)).await;
    group.covering_position(moment)
}

/// Asks all members that may be sent anything how far they have received the log. An acknowledged commit lies on
/// the leader and on as many replicas as had to receive it: where no more members than
/// that are silent, the highest position told covers every one of them.
async fn ask_members(engine: &Engine, group: &Group) {
    if !engine.terms().has_read() {
        return;
    }
    let sent = Instant::now();
    let patience = Patience::ONE_LIKELY_LOST;
    let members = engine.directory().members_of(group.name());
    let schedule = engine.evacuation_schedule();
    let may_ask = |member: &Arc<Member>| {
        let checked = schedule.check(&member.zone, Sender::Session, sent);
        checked.is_ok()
    };
    let (asked, held_back): (Vec<_>, Vec<_>) = members.into_iter().partition(may_ask);
    let mut members = survey::survey_members(engine, asked, |_| Control::Status, patience).await;
    members.extend(held_back.into_iter().map(|member| Surveyed {
        member,
        response: Response::Silent("not asked any more".to_owned()),
    }));
    let reports = members.iter().filter_map(|m| m.response.report());
    let silent = members.iter().filter(|member| {
        let answered = member.response.report().is_some();
        // A life that has ended took its log along, however long ago: nobody tells how far it was.
        let has_left = member.has_left(sent) && member.response != Response::Ended;
        !answered && !has_left && !is_succeeded(member, &members)
    });
    if silent.count() <= engine.sync_replicas(group.name())
        && let Some(position) = reports.map(|report| report.received).max()
    {
        group.record_covering_position(sent, position);
    }
}

/// Whether another server has come back in the member's place, with its log.
fn is_succeeded(member: &Surveyed, members: &[Surveyed]) -> bool {
    let in_place = |other: &Surveyed| {
        let is_other = other.member.id != member.member.id
            && !are_lives_of_one(&other.member.id, &member.member.id);
        is_other && other.member.address == member.member.address
    };
    member.member.is_gone() && members.iter().any(in_place)
}

/// Opens a transaction at the leader and ends it at once: its answer tells the position
/// of the log and takes none of the member's slots. A member that does not lead refuses.
pub(crate) async fn ask_leader(engine: &Engine, group: &Group) -> Option<()> {
    let now = Instant::now();
    let leader = group.leased_leader(now, Duration::ZERO)?;
    let directory = engine.directory();
    let member = directory.member(&leader.member)?;
    // The question holds nothing of a caller.
    let topology = &engine.settings().topology;
    let member = Residency::ANYWHERE.admit(topology, Arc::clone(member))?;
    let pool = engine.session_pool(&member);
    let until = now + QUESTION_TIMEOUT;
    let mut connection = pool
        .get()
        .acquire(&AcquireRequest::internal(), until)
        .await
        .ok()?;
    let sent = Instant::now();
    let begin = Command::Begin {
        read_only: false,
        after: None,
    };
    let answer = connection.run(&begin).await.ok()?;
    if answer.outcome.is_ok()
        && let Some(position) = answer.position
    {
        group.record_leader_position(&leader, sent, position);
    }
    connection.roll_back();
    Some(())
}
