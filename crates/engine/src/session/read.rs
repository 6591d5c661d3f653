//! Single reads: at the best member that is fresh enough, a second one where the first is
//! silent.

use super::evacuated::check_route;
use super::floor::FloorRequirement;
use super::limits::StatementLimits;
use super::offer::{Declined, Offer, first_connection, why_declined};
use super::target::{Target, check_home_regions, check_leader_region, leader_target};
use super::trace::RequestTrace;
use super::write::{member_failure, not_run_reason, pause_or_refuse, refusal_text, release, shed};
use super::{Completion, Session};
use crate::configuration::{Consistency, Route};
use crate::group::{Group, UsableLeader};
use crate::leadership::{access, freshness};
use crate::names::{MemberId, RequestId};
use crate::pool::{AcquireRequest, MemberPool, PooledConnection, RunError, SessionStatement};
use crate::ports::{Answer, Refusal, RefusalKind};
use crate::position::LogPosition;
use crate::residency::Residency;
use crate::routing::read_candidates;
use crate::statement::Request;
use crate::verdict::{Failure, FailureReason};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Least time before a second member is asked what the first has not answered.
const HEDGE_MIN: Duration = Duration::from_millis(70);
/// That time in multiples of the member's expected latency.
const HEDGE_LATENCIES: f64 = 3.5;
/// Members that one read is sent to without an answer, at the most.
const UNANSWERED_LIMIT: usize = 3;

/// One read's needs, the same for every member that it is sent to.
#[derive(Debug, Clone)]
struct ReadJob {
    id: RequestId,
    work: SessionStatement,
    acquire_request: AcquireRequest,
    group: Arc<Group>,
    limits: StatementLimits,
}

/// What came of one member.
#[derive(Debug)]
struct ReadResult {
    member: MemberId,
    outcome: ReadOutcome,
}

#[derive(Debug)]
enum ReadOutcome {
    Completed(Completion),
    Refused(Refusal),
    /// Nothing was sent: another member may take it.
    NotSent(String),
    Lost(String),
    /// It ran on a log that is shorter than the leader's was before: the rows may be old.
    Outdated,
}

/// A read that no member has completed.
#[derive(Debug)]
enum ReadFailure {
    /// It may be tried again, while there is time.
    Again(Failure),
    /// It may be tried again once the time has passed that is told.
    Later(Failure),
    /// It is refused.
    Final(Failure),
}

impl Session {
    /// Runs a read outside any transaction.
    pub(super) async fn run_read(
        &mut self,
        request: &Request,
        route: &Arc<Route>,
        work: SessionStatement,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let group = self.engine.group(&route.group);
        let limits = self.limits(route, &group, request.received);
        let job = ReadJob {
            id: request.id.clone(),
            work,
            acquire_request: self.acquire_request(route),
            group: Arc::clone(&group),
            limits,
        };
        self.engine.hedges().record_request();
        let mut permit = None;
        loop {
            let residency = self.residency(route);
            check_route(&self.engine, &group, route.consistency, &residency)?;
            let targets = self
                .read_targets(&group, route, request.received, limits.offer, trace)
                .await?;
            // A permit would be drawn for nothing, and its lack told as the reason.
            if targets.is_empty() {
                let reason = match route.consistency {
                    Consistency::Leader => FailureReason::NoLeader,
                    _ => FailureReason::NoFreshMember,
                };
                pause_or_refuse(limits, reason).await?;
                continue;
            }
            let drawn = self.permit(permit, limits).await?;
            permit = Some(drawn);
            let job = ReadJob {
                limits: limits.under(drawn),
                ..job.clone()
            };
            match self.run_hedged(&job, targets, trace).await {
                Ok(completion) => return Ok(completion),
                Err(ReadFailure::Final(failure)) => return Err(failure),
                Err(ReadFailure::Later(failure)) if comes_after(&failure, limits.offer) => {
                    return Err(failure);
                }
                Err(ReadFailure::Again(failure) | ReadFailure::Later(failure)) => {
                    pause_or_refuse(limits, failure.reason).await?;
                }
            }
        }
    }

    /// The members that may run a read that was received at `received`, the best first.
    ///
    /// # Errors
    ///
    /// [`Failure`] where those that could stand in no home region.
    pub(super) async fn read_targets(
        &self,
        group: &Arc<Group>,
        route: &Route,
        received: Instant,
        until: Instant,
        trace: &mut RequestTrace,
    ) -> Result<Vec<Target>, Failure> {
        let residency = &self.residency(route);
        check_home_regions(&self.engine, group, residency)?;
        if route.consistency == Consistency::Leader {
            return self
                .leader_targets(group, residency, Duration::ZERO, until)
                .await;
        }
        let required = self.required_position(group, route, received, until).await;
        trace.requires(required);
        let Some(after) = required else {
            return self
                .leader_targets(group, residency, route.max_staleness, until)
                .await;
        };
        let now = Instant::now();
        let candidates = read_candidates(&self.engine, group, residency, Some(after), now);
        let targets = candidates.into_iter();
        let targets = targets.map(|candidate| Target::candidate(candidate, after));
        Ok(targets.collect())
    }

    /// The leader, twice: where an answer is lost it is asked again.
    async fn leader_targets(
        &self,
        group: &Group,
        residency: &Residency,
        staleness: Duration,
        until: Instant,
    ) -> Result<Vec<Target>, Failure> {
        check_leader_region(&self.engine, group, residency)?;
        let leader = access::leased_leader(&self.engine, group, staleness, until).await;
        let Some(leader) = leader else {
            return Ok(Vec::new());
        };
        let first = leader_target(&self.engine, &leader, residency)?;
        let second = first.as_ref().map(Target::again);
        Ok(first.into_iter().chain(second).collect())
    }

    /// The position that a log must hold to be read by this session, or `None` where only
    /// the leader is known to be fresh enough.
    async fn required_position(
        &self,
        group: &Group,
        route: &Route,
        received: Instant,
        until: Instant,
    ) -> Option<LogPosition> {
        let moment = received.checked_sub(route.max_staleness)?;
        let covering = freshness::covering_position(&self.engine, group, moment, until).await?;
        if route.consistency != Consistency::ReadYourWrites {
            return Some(covering);
        }
        match self.floor.requirement(group) {
            FloorRequirement::Nothing => Some(covering),
            FloorRequirement::Position(own) => Some(own.max(covering)),
            FloorRequirement::LeaderOnly => None,
        }
    }

    /// Sends the read to the first target that has a connection; to another one when it
    /// can't run it, or has been silent for long.
    async fn run_hedged(
        &self,
        job: &ReadJob,
        mut targets: Vec<Target>,
        trace: &mut RequestTrace,
    ) -> Result<Completion, ReadFailure> {
        let mut running = FuturesUnordered::new();
        let mut last = ReadFailure::Again(Failure::not_run(FailureReason::NoLeader));
        let mut wants_member = true;
        let mut hedge_at = job.limits.answer;
        while !(running.is_empty() && targets.is_empty()) {
            let may_hedge = !wants_member && running.len() < UNANSWERED_LIMIT;
            tokio::select! {
                biased;
                Some(joined) = running.next() => {
                    let Ok(result) = joined else { continue };
                    match judge(result, trace) {
                        Ok(completion) => return Ok(completion),
                        Err(failure) => last = failure,
                    }
                    wants_member = true;
                }
                offered = first_connection(&self.engine, &targets, &job.acquire_request, job.limits.offer),
                    if wants_member && !targets.is_empty() => match offered {
                        Ok(Offer { index, connection }) => {
                            let target = targets.remove(index);
                            hedge_at = hedge_moment(&target);
                            wants_member = false;
                            running.push(spawn_read(job, target, connection));
                        }
                        Err(declined) => {
                            last = decline(&declined, trace);
                            targets.clear();
                        }
                    },
                () = sleep_until(hedge_at), if may_hedge => {
                    hedge_at = job.limits.answer;
                    // The second run counts too.
                    wants_member = self.engine.hedges().try_retry()
                        && self.permit(None, job.limits).await.is_ok();
                }
                () = sleep_until(job.limits.answer) => {
                    let failure = Failure::not_run(FailureReason::AnswerTimedOut);
                    return Err(ReadFailure::Final(failure));
                }
            }
        }
        Err(last)
    }
}

/// Whether `failure` tells to come back later than `until`.
fn comes_after(failure: &Failure, until: Instant) -> bool {
    let wait = failure.retry_after;
    wait.is_some_and(|wait| Instant::now() + wait >= until)
}

fn hedge_moment(target: &Target) -> Instant {
    let now = Instant::now();
    let expected_ms = target.pool().health().expected_latency_ms(now);
    let expected = Duration::from_secs_f64(expected_ms.max(0.0) / 1000.0);
    now + expected.mul_f64(HEDGE_LATENCIES).max(HEDGE_MIN)
}

/// Runs a read at one member in a task of its own: when another member has answered
/// first, the connection is still read to the end of the answer and used again.
fn spawn_read(
    job: &ReadJob,
    target: Target,
    connection: PooledConnection,
) -> JoinHandle<ReadResult> {
    let job = job.clone();
    tokio::spawn(async move {
        let member = target.pool().member().id.clone();
        let outcome = read_once(&job, &target, connection).await;
        ReadResult { member, outcome }
    })
}

/// Whether the log that `answer` tells of holds less than its leader is known to have `reached`:
/// what answers has started again, with nothing of before.
pub(super) fn is_shorter(answer: &Answer, reached: Option<LogPosition>) -> bool {
    answer.position.is_some() && answer.position < reached
}

async fn read_once(
    job: &ReadJob,
    target: &Target,
    mut connection: PooledConnection,
) -> ReadOutcome {
    let pool = target.pool();
    let leader = job.group.as_leader(&pool.member().id);
    let reached = leader.as_ref().and_then(|at| job.group.known_position(at));
    let sent = Instant::now();
    let running = async {
        let put = connection.apply_values(&job.acquire_request.values).await;
        put.map_err(RunError::BeforeSend)?;
        connection
            .run_statement(&job.id, &job.work, target.after)
            .await
    };
    let answer = match timeout_at(job.limits.answer, running).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(RunError::BeforeSend(error))) => return ReadOutcome::NotSent(error.to_string()),
        Ok(Err(error)) => return ReadOutcome::Lost(error.to_string()),
        Err(_) => {
            pool.record_timeout(sent);
            return ReadOutcome::Lost("no answer in time".to_owned());
        }
    };
    if is_shorter(&answer, reached) {
        // The connection is not used any more.
        return ReadOutcome::Outdated;
    }
    note_position(&job.group, leader.as_ref(), sent, &answer);
    release(connection, answer.state);
    match answer.outcome {
        Ok(signature) => ReadOutcome::Completed(Completion {
            rows: answer.rows,
            signature: Some(signature),
        }),
        Err(refusal) => {
            note_refusal(pool, &refusal, target.after);
            ReadOutcome::Refused(refusal)
        }
    }
}

/// Takes the leader's position from an answer to what was sent at `sent`, when `leader`
/// was known to lead.
pub(super) fn note_position(
    group: &Group,
    leader: Option<&UsableLeader>,
    sent: Instant,
    answer: &Answer,
) {
    if let (Some(leader), Some(position)) = (leader, answer.position) {
        group.record_leader_position(leader, sent, position);
    }
}

/// Notes that a member lacked the position asked for.
pub(super) fn note_refusal(pool: &MemberPool, refusal: &Refusal, after: Option<LogPosition>) {
    if let (RefusalKind::Lagging, Some(position)) = (refusal.kind, after) {
        pool.update_health(|health| health.record_lag(position, Instant::now()));
    }
}

fn judge(result: ReadResult, trace: &mut RequestTrace) -> Result<Completion, ReadFailure> {
    let member = &result.member;
    match result.outcome {
        ReadOutcome::Completed(completion) => {
            trace.attempted(member, "completed");
            Ok(completion)
        }
        ReadOutcome::Refused(refusal) => {
            trace.attempted(member, refusal_text(&refusal));
            Err(refusal_failure(refusal))
        }
        ReadOutcome::Outdated => {
            trace.attempted(member, "its log is shorter than it was");
            Err(ReadFailure::Again(Failure::not_run(
                FailureReason::NoFreshMember,
            )))
        }
        ReadOutcome::NotSent(reason) => {
            trace.attempted(member, reason);
            let failure = Failure::not_run(FailureReason::ConnectionLost);
            Err(ReadFailure::Again(failure))
        }
        ReadOutcome::Lost(reason) => {
            trace.attempted(member, reason);
            let failure = Failure::not_run(FailureReason::ConnectionLost);
            Err(ReadFailure::Final(failure))
        }
    }
}

fn refusal_failure(refusal: Refusal) -> ReadFailure {
    if let RefusalKind::Shed(retry_after) = refusal.kind {
        return ReadFailure::Final(shed(retry_after));
    }
    if let RefusalKind::SlowStart(retry_after) = refusal.kind {
        return ReadFailure::Later(shed(retry_after));
    }
    match not_run_reason(refusal.kind) {
        Some(reason @ FailureReason::ConnectionLost) => {
            ReadFailure::Final(Failure::not_run(reason))
        }
        Some(reason) => ReadFailure::Again(Failure::not_run(reason)),
        None => ReadFailure::Final(member_failure(refusal)),
    }
}

/// What becomes of a read for which no member had a connection.
fn decline(declined: &[Declined], trace: &mut RequestTrace) -> ReadFailure {
    match why_declined(declined, FailureReason::NoFreshMember, trace) {
        Ok(reason) => ReadFailure::Again(Failure::not_run(reason)),
        Err(failure) => ReadFailure::Final(failure),
    }
}
