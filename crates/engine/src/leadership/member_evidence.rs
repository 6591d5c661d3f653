//! Evidence for a leader's term from the members themselves, while the store is unavailable.
//!
//! A successor is chosen only once the leader or all other members are fenced. A leader that
//! answers as primary isn't fenced, so if the others answer that they aren't paused either, no
//! successor had been chosen when they were asked.

use super::survey::{self, StragglerPolicy, SurveyedMember};
use crate::directory::{Member, Role};
use crate::engine::Engine;
use crate::evacuation::Sender;
use crate::group::{Group, UsableLeader};
use crate::ports::{Control, MemberReport};
use crate::position::Term;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Timeout for the members' answers. Less than a write may wait for a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Renews the evidence for the term of `leader` by asking all members, unless another task does so
/// meanwhile. Returns whether that succeeded.
pub async fn renew(engine: &Engine, group: &Group, leader: &UsableLeader) -> bool {
    let since = Instant::now();
    let is_renewed = || group.evidence() >= Some(since);
    let asking = async {
        let _one_at_a_time = group.member_query_lock().lock().await;
        if !is_renewed() {
            ask(engine, group, leader).await;
        }
    };
    // A timeout leaves the evidence as it is.
    let _ = timeout(ANSWER_TIMEOUT, asking).await;
    is_renewed()
}

async fn ask(engine: &Engine, group: &Group, leader: &UsableLeader) {
    let members = engine.directory().members_of(group.name());
    let asked_at = Instant::now();
    let schedule = engine.evacuation_schedule();
    let may_ask = |member: &Arc<Member>| {
        let checked = schedule.check(&member.zone, Sender::Session, asked_at);
        checked.is_ok()
    };
    if !members.iter().all(may_ask) {
        return;
    }
    let wait_for_all = StragglerPolicy::WAIT_FOR_ALL;
    let mut surveyed =
        survey::survey_members(engine, members, |_| Control::Status, wait_for_all).await;
    surveyed.retain(|member| !member.has_left(asked_at));
    let is_confirmed = follows(&surveyed, leader, engine.sync_replicas(group.name()));
    if is_confirmed {
        group.record_evidence(leader, asked_at);
    }
    let outcome = if is_confirmed {
        "confirmed"
    } else {
        "unconfirmed"
    };
    metrics::counter!("stilequay_member_evidence_total", "outcome" => outcome).increment(1);
}

/// Whether `leader` answers as primary, and all others, `sync_replicas` at least, as replicas of its
/// term that aren't paused. One that doesn't answer may be the next leader.
fn follows(surveyed: &[SurveyedMember], leader: &UsableLeader, sync_replicas: usize) -> bool {
    let (leaders, others): (Vec<_>, Vec<_>) =
        surveyed.iter().partition(|m| m.member.id == leader.member);
    let report = leaders.first().and_then(|m| m.response.report());
    let Some(report) = report.filter(|report| report.role == Role::Primary) else {
        return false;
    };
    let reports = others.iter().map(|m| m.response.report());
    let reports: Option<Vec<&MemberReport>> = reports.collect();
    reports.is_some_and(|reports| {
        reports.len() >= sync_replicas.max(1)
            && reports
                .iter()
                .all(|replica| is_following(replica, report.term))
    })
}

fn is_following(report: &MemberReport, term: Term) -> bool {
    report.role == Role::Replica && report.paused_for == 0 && report.term <= term
}
