//! Failure detection for leaders, from passive observations first.
//!
//! The traffic of this process shows whether the leader answers and whether commits are
//! acknowledged. Only if the leader has been silent is it probed, over a separate connection.

use super::survey::{self, Response, StragglerPolicy};
use crate::directory::{Member, MemberState, Role};
use crate::engine::Engine;
use crate::group::{Group, LeaderView};
use crate::ports::{Control, MemberReport};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time without an answer after which a leader is probed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(220);
/// Time without a successful connection attempt after which a leader is probed.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(20);
/// Time without an acknowledged commit after which replication is checked.
const COMMIT_STALL_TIMEOUT: Duration = Duration::from_millis(450);
/// How long a leader's entry may be missing before the leader is suspected.
const GONE_GRACE: Duration = Duration::from_millis(2_600);
/// How long a leader without an entry is kept if it still answers as primary, as a share of the
/// time for which leaving members are used. Hundreds of entries may expire at once because the
/// store accepts too few writes, and come back; a leader that has really left serves for longer
/// than this.
const ANSWERING_GRACE_SHARE: f64 = 0.75;
/// Timeout of one status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(220);
/// Pause between status requests.
const STATUS_PAUSE: Duration = Duration::from_millis(50);
/// Number of unanswered status requests after which a leader counts as unreachable.
const STATUS_ATTEMPTS: usize = 2;

/// Why a leader is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// It has announced its shutdown.
    Leaving,
    /// Its directory entry has been missing for too long.
    EntryGone,
    /// It does not answer.
    Unreachable,
    /// It answers, but commits are not acknowledged.
    CommitsStalled,
    /// It answers as a replica.
    NotLeading,
    /// Its zone is evacuated; the leader itself may be healthy.
    ZoneEvacuated,
}

impl Suspicion {
    /// The name used in events and reports.
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

/// The suspicion that the directory and the traffic suggest, without a probe.
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
    let has_lasted = |since: Option<Instant>, limit| since.is_some_and(|at| now >= at + limit);
    let health = engine.existing_pool(&leader.id).map(|pool| pool.health());
    if let Some(health) = health
        && (has_lasted(health.unreachable_since(), UNREACHABLE_TIMEOUT)
            || has_lasted(health.unanswered_since(), SILENCE_TIMEOUT))
    {
        return Some(Suspicion::Unreachable);
    }
    if has_lasted(group.commit_waiting_since(), COMMIT_STALL_TIMEOUT) {
        return Some(Suspicion::CommitsStalled);
    }
    None
}

/// Checks the leader of `group`. A returned suspicion was verified as far as this process can;
/// with `is_reported`, the leader is probed even if this process has no hint of a failure.
pub async fn verify(
    engine: &Engine,
    group: &Group,
    view: &LeaderView,
    is_reported: bool,
) -> Option<Suspicion> {
    let leader = view.leader.as_ref()?;
    let directory = engine.directory();
    let Some(member) = directory.member(leader) else {
        return Some(Suspicion::EntryGone);
    };
    let traffic_hint = hint(engine, group, member, Instant::now());
    let hint = traffic_hint.or(is_reported.then_some(Suspicion::Unreachable))?;
    match hint {
        Suspicion::Leaving | Suspicion::NotLeading | Suspicion::ZoneEvacuated => Some(hint),
        Suspicion::EntryGone => verify_entry_gone(engine, member).await,
        Suspicion::Unreachable => verify_reachable(engine, group, member, is_reported).await,
        Suspicion::CommitsStalled => verify_replication(engine, group, member).await,
    }
}

/// Whether a leader whose entry has gone is to be replaced. For a while, it is not as long as it
/// answers as primary.
async fn verify_entry_gone(engine: &Engine, leader: &Arc<Member>) -> Option<Suspicion> {
    let MemberState::Gone(gone) = leader.state else {
        return Some(Suspicion::EntryGone);
    };
    let answering_grace = engine
        .settings()
        .departure_grace
        .mul_f64(ANSWERING_GRACE_SHARE);
    if gone.may_be_older_than(answering_grace, Instant::now()) {
        return Some(Suspicion::EntryGone);
    }
    match request_status(engine, leader).await {
        Response::Report(report) if report.role == Role::Primary => None,
        _ => Some(Suspicion::EntryGone),
    }
}

async fn verify_reachable(
    engine: &Engine,
    group: &Group,
    leader: &Arc<Member>,
    is_reported: bool,
) -> Option<Suspicion> {
    let began = Instant::now();
    for _ in 0..STATUS_ATTEMPTS {
        match request_status(engine, leader).await {
            Response::Report(report) if report.role == Role::Replica => {
                return Some(Suspicion::NotLeading);
            }
            Response::Report(_) if is_reported => {
                return verify_replication(engine, group, leader).await;
            }
            Response::Report(_) | Response::Declined(_) => return None,
            Response::RestartedEmpty => return Some(Suspicion::EntryGone),
            Response::Down(_) | Response::Silent(_) => sleep(STATUS_PAUSE).await,
        }
    }
    // A leader that is slow to answer status requests may still answer statements.
    let last_heard = engine.pool(leader).health().last_contact();
    let is_alive = last_heard.is_some_and(|at| at >= began);
    (!is_alive).then_some(Suspicion::Unreachable)
}

/// Checks whether any replica has received the leader's log. If no replica answers, the leader is
/// not suspected, since another leader would have no replicas either.
async fn verify_replication(
    engine: &Engine,
    group: &Group,
    leader: &Arc<Member>,
) -> Option<Suspicion> {
    let report = match request_status(engine, leader).await {
        Response::Report(report) => report,
        Response::Declined(_) => return None,
        Response::RestartedEmpty => return Some(Suspicion::EntryGone),
        Response::Down(_) | Response::Silent(_) => return Some(Suspicion::Unreachable),
    };
    let mut suspicion = None;
    for _ in 0..STATUS_ATTEMPTS {
        sleep(STATUS_PAUSE).await;
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
    let members = survey::survey(
        engine,
        group.name(),
        |_| Control::Status,
        StragglerPolicy::WAIT_FOR_ALL,
    )
    .await;
    let others = members.iter().filter(|m| m.member.id != leader.id);
    others
        .filter_map(|surveyed| surveyed.response.report().copied())
        .collect()
}

async fn request_status(engine: &Engine, leader: &Arc<Member>) -> Response {
    let status = survey::send_control(engine, leader, Control::Status);
    let silent = || Response::Silent("no answer in time".to_owned());
    timeout(STATUS_TIMEOUT, status)
        .await
        .unwrap_or_else(|_| silent())
}
