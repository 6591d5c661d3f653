//! Determining a log position that covers a moment, if the traffic has not provided one.

use super::access;
use super::survey::{self, Response, StragglerPolicy, SurveyedMember};
use super::survey_events::{PositionSurvey, SurveyResult};
use super::surveyed_logs::SurveyedLogs;
use crate::directory::Member;
use crate::engine::Engine;
use crate::evacuation::Sender;
use crate::group::{Group, PositionSample, PositionSource};
use crate::home;
use crate::peers;
use crate::pool::AcquireRequest;
use crate::ports::{Command, Control};
use crate::residency::Residency;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Timeout of one request to the leader.
const POSITION_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a survey without a result. Every waiting read would otherwise survey the members,
/// which are busy enough while there is no leader.
const SURVEY_PAUSE: Duration = Duration::from_millis(300);

/// A sample whose position covers every commit acknowledged before `moment`, or `None` if none is
/// known by `until`.
///
/// For each group one task at a time sends requests; the other tasks share the results.
pub async fn covering_position(
    engine: &Engine,
    group: &Group,
    moment: Instant,
    until: Instant,
) -> Option<PositionSample> {
    if let Some(sample) = group.covering_sample(moment) {
        return Some(sample);
    }
    let _one_at_a_time = timeout_at(until, group.query_lock().lock()).await.ok()?;
    if let Some(sample) = group.covering_sample(moment) {
        return Some(sample);
    }
    // A home of the leader sees the commits of the whole fleet.
    if home::ask_for_position(engine, group).await
        && let Some(sample) = group.covering_sample(moment)
    {
        return Some(sample);
    }
    let leader_until = until.min(Instant::now() + POSITION_TIMEOUT);
    let _ = timeout_at(leader_until, ask_leader(engine, group)).await;
    if let Some(sample) = group.covering_sample(moment) {
        return Some(sample);
    }
    let _ = timeout_at(
        until,
        peers::query(engine, std::slice::from_ref(group.name())),
    )
    .await;
    if let Some(sample) = group.covering_sample(moment) {
        return Some(sample);
    }
    let now = Instant::now();
    if group
        .survey_rejected_at()
        .is_some_and(|at| now < at + SURVEY_PAUSE)
    {
        return None;
    }
    let _ = timeout_at(until, ask_members(engine, group)).await;
    if let Some(sample) = group.covering_sample(moment) {
        return Some(sample);
    }
    // The leader can tell by itself what too many unknown logs leave open.
    let _ = timeout_at(until, async {
        access::renew_evidence(engine, group).await;
        ask_leader(engine, group).await
    })
    .await;
    group.covering_sample(moment)
}

/// Asks all members that may be contacted how far they have received the log. An acknowledged
/// commit was received by the leader and by as many replicas as had to. If no more logs than that
/// number of replicas are unknown, lost ones included, the highest reported position covers every
/// such commit.
async fn ask_members(engine: &Engine, group: &Group) {
    if !engine.terms().has_read() {
        return;
    }
    let sent = Instant::now();
    let stragglers = StragglerPolicy::SKIP_ONE_STRAGGLER;
    let members = engine.directory().members_of(group.name());
    let schedule = engine.evacuation_schedule();
    let may_send = |member: &Arc<Member>| {
        let checked = schedule.check(&member.zone, Sender::Session, sent);
        checked.is_ok()
    };
    let (asked, held_back): (Vec<_>, Vec<_>) = members.into_iter().partition(may_send);
    let mut members = survey::survey_members(engine, asked, |_| Control::Status, stragglers).await;
    members.extend(held_back.into_iter().map(|member| {
        let response = Response::Silent("not asked any more".to_owned());
        SurveyedMember::new(engine, member, response)
    }));
    let samples = group.samples();
    let logs = SurveyedLogs {
        members: &members,
        samples: &samples,
        sync_replicas: engine.sync_replicas(group.name()),
        sent,
    };
    let result = match logs.highest() {
        Some(position) if logs.are_sufficient() => {
            let outcome = group.record_covering_position(sent, position, PositionSource::Survey);
            SurveyResult::from(outcome)
        }
        _ => {
            group.record_survey_rejected(Instant::now());
            SurveyResult::TooManyUnknown
        }
    };
    PositionSurvey { group, logs }.emit(engine, result);
}

/// Opens a transaction at the leader and rolls it back at once: the answer contains the log
/// position, and the transaction takes none of the member's slots. A member that is not the
/// leader refuses it.
pub(crate) async fn ask_leader(engine: &Engine, group: &Group) -> Option<()> {
    let now = Instant::now();
    let leader = group.leased_leader(now, Duration::ZERO)?;
    let directory = engine.directory();
    let member = directory.member(&leader.member)?;
    // The request contains no data of a caller.
    let topology = &engine.settings().topology;
    let member = Residency::ANYWHERE.admit(topology, Arc::clone(member))?;
    let pool = engine.session_pool(&member);
    let until = now + POSITION_TIMEOUT;
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
