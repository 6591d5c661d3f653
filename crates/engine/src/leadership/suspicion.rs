//! Suspecting a leader, on evidence that costs nothing first.
//!
//! The traffic of this process tells whether the leader answers, and whether commits are
//! acknowledged. Only where it has been silent is the leader asked, over a connection of
//! its own.

use super::survey::{self, Patience, Response};
use crate::directory::{Member, MemberState, Role};
use crate::engine::Engine;
use crate::group::{Group, LeaderView};
use crate::ports::{Control, MemberReport};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Silence after which a leader is asked.
const SILENCE: Duration = Duration::from_millis(220);
/// Time after which a leader is asked to which no connection can be opened.
const UNREACHABLE: Duration = Duration::from_millis(20);
/// Time without an acknowledged commit after which replication is looked at.
const COMMIT_STALL: Duration = Duration::from_millis(450);
/// How long an entry may be away before its member is replaced as leader.
const GONE_GRACE: Duration = Duration::from_millis(2_600);
/// How much longer one that answers as leader is kept, as a share of the time for which members
/// that leave are still used. Entries also go because the store takes too few of them, hundreds in
/// one moment, and come back; a leader that has really left serves on for longer than this.
const ANSWERING_SHARE: f64 = 0.75;
/// Longest wait for the answer to one question.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(220);
/// Pause between two questions.
const QUESTION_PAUSE: Duration = Duration::from_millis(50);
/// Questions without an answer after which a leader counts as lost.
const QUESTIONS: usize = 2;

/// Why a leader is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// It has said that it is going to leave.
    Leaving,
    /// Its entry has been away for long.
    EntryGone,
    /// It does not answer.
    Unreachable,
    /// It answers, but its commits are not acknowledged.
    CommitsStalled,
    /// It answers that it does not lead.
    NotLeading,
    /// Its zone is evacuated; it may be well.
    ZoneEvacuated,
}

impl Suspicion {
    /// Its name in events.
    pub fn name(self) -> &'static str {
        match self {
            Suspicion::Leaving => "leaving",
            Suspicion::EntryGone => "entry_gone",
            Suspicion::Unreachable => "unreachable",
            Suspicion::CommitsStalled => "commits_stalled",
            Suspicion::NotLeading => "not_leading",
            Suspicion::ZoneEvacuated => "zone_evacuated",
        }
    }
}

/// What the traffic hints at, without a question asked.
pub fn hint(
    engine: &Engine,
    group: &Group,
    leader: &Arc<Member>,
    now: Instant,
) -> Option<Suspicion> {
    match leader.state {
        MemberState::Leaving(_) => return Some(Suspicion::Leaving),
        MemberState::Gone(gone)
            if now.duration_since(gone.learned_at) > GONE_GRACE
                || engine.directory().has_restarted(leader) =>
        {
            return Some(Suspicion::EntryGone);
        }
        _ => {}
    }
    let lasts = |since: Option<Instant>, limit| since.is_some_and(|at| now >= at + limit);
    let health = engine.used_pool(&leader.id).map(|pool| pool.health());
    if let Some(health) = health
        && (lasts(health.unreachable_since(), UNREACHABLE)
            || lasts(health.unanswered_since(), SILENCE))
    {
        return Some(Suspicion::Unreachable);
    }
    if lasts(group.commit_waiting_since(), COMMIT_STALL) {
        return Some(Suspicion::CommitsStalled);
    }
    None
}

/// Looks at the leader of `group`; a suspicion that is returned was verified as far as
/// this process can.
pub async fn verified_suspicion(
    engine: &Engine,
    group: &Group,
    view: &LeaderView,
    asked_to: bool,
) -> Option<Suspicion> {
    let leader = view.leader.as_ref()?;
    let directory = engine.directory();
    let Some(member) = directory.member(leader) else {
        return Some(Suspicion::EntryGone);
    };
    let hinted = hint(engine, group, member, Instant::now());
    let hint = hinted.or(asked_to.then_some(Suspicion::Unreachable))?;
    match hint {
        Suspicion::Leaving | Suspicion::NotLeading | Suspicion::ZoneEvacuated => Some(hint),
        Suspicion::EntryGone => verify_gone(engine, member).await,
        Suspicion::Unreachable => verify_reachable(engine, group, member, asked_to).await,
        Suspicion::CommitsStalled => verify_replication(engine, group, member).await,
    }
}

/// Whether a leader whose entry has gone is to be replaced: not while it answers as one, for a time.
async fn verify_gone(engine: &Engine, leader: &Arc<Member>) -> Option<Suspicion> {
    let MemberState::Gone(gone) = leader.state else {
        return Some(Suspicion::EntryGone);
    };
    let patience = engine.settings().leaving_use.mul_f64(ANSWERING_SHARE);
    if gone.may_be_older_than(patience, Instant::now()) {
        return Some(Suspicion::EntryGone);
    }
    match ask(engine, leader).await {
        Response::Report(report) if report.role == Role::Primary => None,
        _ => Some(Suspicion::EntryGone),
    }
}

async fn verify_reachable(
    engine: &Engine,
    group: &Group,
    leader: &Arc<Member>,
    asked_to: bool,
) -> Option<Suspicion> {
    let began = Instant::now();
    for _ in 0..QUESTIONS {
        match ask(engine, leader).await {
            Response::Report(report) if report.role == Role::Replica => {
                return Some(Suspicion::NotLeading);
            }
            Response::Report(_) if asked_to => {
                return verify_replication(engine, group, leader).await;
            }
            Response::Report(_) | Response::Declined(_) => return None,
            Response::Ended => return Some(Suspicion::EntryGone),
            Response::Down(_) | Response::Silent(_) => sleep(QUESTION_PAUSE).await,
        }
    }
    // One that is slow to answer questions may still answer statements.
    let heard = engine.pool(leader).health().last_contact();
    let lives = heard.is_some_and(|at| at >= began);
    (!lives).then_some(Suspicion::Unreachable)
}

/// Whether any replica receives what the leader has in its log. Where no replica answers,
/// no other leader would fare better.
async fn verify_replication(
    engine: &Engine,
    group: &Group,
    leader: &Arc<Member>,
) -> Option<Suspicion> {
    let report = match ask(engine, leader).await {
        Response::Report(report) => report,
        Response::Declined(_) => return None,
        Response::Ended => return Some(Suspicion::EntryGone),
        Response::Down(_) | Response::Silent(_) => return Some(Suspicion::Unreachable),
    };
    let mut suspicion = None;
    for _ in 0..QUESTIONS {
        sleep(QUESTION_PAUSE).await;
        let replicas = replica_reports(engine, group, leader).await;
        let received = replicas.iter().any(|r| r.received >= report.received);
        if received {
            group.record_replication_working();
            return None;
        }
        suspicion = (!replicas.is_empty()).then_some(Suspicion::CommitsStalled);
    }
    group.record_replication_stalled();
    suspicion
}

async fn replica_reports(
    engine: &Engine,
    group: &Group,
    leader: &Arc<Member>,
) -> Vec<MemberReport> {
    let members = survey::survey(engine, group.name(), |_| Control::Status, Patience::WHOLE).await;
    let others = members.iter().filter(|m| m.member.id != leader.id);
    others
        .filter_map(|surveyed| surveyed.response.report().copied())
        .collect()
}

async fn ask(engine: &Engine, leader: &Arc<Member>) -> Response {
    let asked = survey::order(engine, leader, Control::Status);
    let silent = || Response::Silent("no answer in time".to_owned());
    timeout(QUESTION_TIMEOUT, asked)
        .await
        .unwrap_or_else(|_| silent())
}
