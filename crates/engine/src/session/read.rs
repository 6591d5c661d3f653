//! Single reads: run at the best member that is fresh enough, hedged with further members while
//! there is no answer.

use super::evacuated::check_route;
use super::floor::FloorRequirement;
use super::limits::StatementDeadlines;
use super::offer::{AcquiredConnection, FailedAcquire, acquire_failure_reason, acquire_first};
use super::target::{Target, check_home_regions, check_leader_region, leader_target};
use super::trace::{RequestTrace, RequiredPosition};
use super::write::{
    member_failure, not_run_reason, pause_before_retry, refusal_text, release, shed_failure,
};
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

/// Minimum delay before an unanswered read is hedged with another member.
const HEDGE_MIN: Duration = Duration::from_millis(70);
/// Hedge delay as a multiple of the member's expected latency; [`HEDGE_MIN`] is its lower bound.
const HEDGE_LATENCY_FACTOR: f64 = 3.5;
/// Maximum number of members to which one read is sent without an answer.
const MAX_UNANSWERED: usize = 3;

/// The inputs of a read that are the same for every member it is sent to.
#[derive(Debug, Clone)]
struct ReadJob {
    id: RequestId,
    statement: SessionStatement,
    acquire_request: AcquireRequest,
    group: Arc<Group>,
    deadlines: StatementDeadlines,
}

/// The outcome of a read at one member.
#[derive(Debug)]
struct ReadResult {
    member: MemberId,
    outcome: ReadOutcome,
}

#[derive(Debug)]
enum ReadOutcome {
    Completed(Completion),
    Refused(Refusal),
    /// Nothing was sent, so the read may be sent to another member.
    NotSent(String),
    Lost(String),
    /// The member's log is shorter than the position that it had reached as the leader, so the rows
    /// may be outdated.
    LogRegressed,
}

/// The failure of a read that no member has completed.
#[derive(Debug)]
enum ReadFailure {
    /// May be retried until the deadline.
    Retry(Failure),
    /// May be retried until the deadline, but not before the delay in the failure.
    RetryAfter(Failure),
    /// Must not be retried.
    Final(Failure),
}

impl Session {
    /// Runs a read outside a transaction.
    pub(super) async fn run_read(
        &mut self,
        request: &Request,
        route: &Arc<Route>,
        statement: SessionStatement,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let group = self.engine.group(&route.group);
        let deadlines = self.deadlines(route, &group, request.received);
        let job = ReadJob {
            id: request.id.clone(),
            statement,
            acquire_request: self.acquire_request(route),
            group: Arc::clone(&group),
            deadlines,
        };
        self.engine.hedges().record_request();
        let mut permit = None;
        loop {
            let residency = self.residency(route);
            check_route(&self.engine, &group, route.consistency, &residency)?;
            let targets = self
                .read_targets(&group, route, request.received, deadlines.acquire, trace)
                .await?;
            // Checked before a permit is acquired: the permit would be wasted, or its lack would be
            // reported instead of the actual reason.
            if targets.is_empty() {
                let reason = match route.consistency {
                    Consistency::Leader => FailureReason::NoLeader,
                    _ => FailureReason::NoFreshMember,
                };
                pause_before_retry(deadlines, reason).await?;
                continue;
            }
            let current_permit = self.permit(permit, deadlines).await?;
            permit = Some(current_permit);
            let job = ReadJob {
                deadlines: deadlines.within_permit(current_permit),
                ..job.clone()
            };
            match self.run_hedged(&job, targets, trace).await {
                Ok(completion) => return Ok(completion),
                Err(ReadFailure::Final(failure)) => return Err(failure),
                Err(ReadFailure::RetryAfter(failure))
                    if retries_after(&failure, deadlines.acquire) =>
                {
                    return Err(failure);
                }
                Err(ReadFailure::Retry(failure) | ReadFailure::RetryAfter(failure)) => {
                    pause_before_retry(deadlines, failure.reason).await?;
                }
            }
        }
    }

    /// Returns the members that may run a read received at `received`, best first.
    ///
    /// # Errors
    ///
    /// [`Failure`] if the members that could run it are outside the home regions.
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
        trace.set_required_position(required);
        let Some(after) = required.map(|required| required.position()) else {
            return self
                .leader_targets(group, residency, route.max_staleness, until)
                .await;
        };
        let now = Instant::now();
        let candidates = read_candidates(&self.engine, group, residency, Some(after), now);
        let targets = candidates.into_iter();
        let targets = targets.map(|candidate| Target::from_candidate(candidate, after));
        Ok(targets.collect())
    }

    /// Returns the leader twice, so that the read can be sent to it again if the first answer is
    /// lost or late.
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
        let second = first.as_ref().map(Target::for_retry);
        Ok(first.into_iter().chain(second).collect())
    }

    /// Returns the log position that a member must have reached to serve this read, or `None` if
    /// only the leader is known to be fresh enough.
    async fn required_position(
        &self,
        group: &Group,
        route: &Route,
        received: Instant,
        until: Instant,
    ) -> Option<RequiredPosition> {
        let moment = received.checked_sub(route.max_staleness)?;
        let covering = freshness::covering_position(&self.engine, group, moment, until).await?;
        if route.consistency != Consistency::ReadYourWrites {
            return Some(RequiredPosition::covering(covering));
        }
        match self.floor.requirement(group) {
            FloorRequirement::Position(own) if own.position > covering.position => {
                Some(RequiredPosition::session_floor(own))
            }
            FloorRequirement::Position(_) | FloorRequirement::Unconstrained => {
                Some(RequiredPosition::covering(covering))
            }
            FloorRequirement::LeaderOnly => None,
        }
    }

    /// Sends the read to the first target that has a connection, and to another one if that target
    /// cannot run it or has not answered by the hedge deadline.
    async fn run_hedged(
        &self,
        job: &ReadJob,
        mut targets: Vec<Target>,
        trace: &mut RequestTrace,
    ) -> Result<Completion, ReadFailure> {
        let mut running = FuturesUnordered::new();
        let mut last = ReadFailure::Retry(Failure::not_run(FailureReason::NoLeader));
        let mut needs_connection = true;
        let mut hedge_at = job.deadlines.answer;
        while !(running.is_empty() && targets.is_empty()) {
            let may_hedge = !needs_connection && running.len() < MAX_UNANSWERED;
            tokio::select! {
                biased;
                Some(joined) = running.next() => {
                    let Ok(result) = joined else { continue };
                    match handle_result(result, trace) {
                        Ok(completion) => return Ok(completion),
                        Err(failure) => last = failure,
                    }
                    needs_connection = true;
                }
                acquired = acquire_first(
                    &self.engine,
                    &targets,
                    &job.acquire_request,
                    job.deadlines.acquire,
                ),
                    if needs_connection && !targets.is_empty() => match acquired {
                        Ok(AcquiredConnection { index, connection }) => {
                            let target = targets.remove(index);
                            hedge_at = hedge_deadline(&target);
                            needs_connection = false;
                            running.push(spawn_read(job, target, connection));
                        }
                        Err(failures) => {
                            last = read_failure(&failures, trace);
                            targets.clear();
                        }
                    },
                () = sleep_until(hedge_at), if may_hedge => {
                    hedge_at = job.deadlines.answer;
                    // The hedged run is rate limited like the first.
                    needs_connection = self.engine.hedges().try_retry()
                        && self.permit(None, job.deadlines).await.is_ok();
                }
                () = sleep_until(job.deadlines.answer) => {
                    let failure = Failure::not_run(FailureReason::AnswerTimedOut);
                    return Err(ReadFailure::Final(failure));
                }
            }
        }
        Err(last)
    }
}

/// Returns whether the retry delay of `failure` ends after `until`.
fn retries_after(failure: &Failure, until: Instant) -> bool {
    let wait = failure.retry_after;
    wait.is_some_and(|wait| Instant::now() + wait >= until)
}

fn hedge_deadline(target: &Target) -> Instant {
    let now = Instant::now();
    let expected_ms = target.pool().health().expected_latency_ms(now);
    let expected = Duration::from_secs_f64(expected_ms.max(0.0) / 1000.0);
    now + expected.mul_f64(HEDGE_LATENCY_FACTOR).max(HEDGE_MIN)
}

/// Runs a read at one member in a separate task. If another member answers first, the task still
/// reads the answer to the end, so that the connection can be reused.
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

/// Returns whether the log position in `answer` is lower than the one that the leader is known to
/// have `reached`: the server has restarted without its earlier log.
pub(super) fn has_log_regressed(answer: &Answer, reached: Option<LogPosition>) -> bool {
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
        let applied = connection.apply_values(&job.acquire_request.values).await;
        applied.map_err(RunError::BeforeSend)?;
        connection
            .run_statement(&job.id, &job.statement, target.after)
            .await
    };
    let answer = match timeout_at(job.deadlines.answer, running).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(RunError::BeforeSend(error))) => return ReadOutcome::NotSent(error.to_string()),
        Ok(Err(error)) => return ReadOutcome::Lost(error.to_string()),
        Err(_) => {
            pool.record_timeout(sent);
            return ReadOutcome::Lost("no answer in time".to_owned());
        }
    };
    if has_log_regressed(&answer, reached) {
        // The connection is dropped instead of released, so that it is not reused.
        return ReadOutcome::LogRegressed;
    }
    record_position(&job.group, leader.as_ref(), sent, &answer);
    release(connection, answer.state);
    match answer.outcome {
        Ok(signature) => ReadOutcome::Completed(Completion {
            rows: answer.rows,
            signature: Some(signature),
        }),
        Err(refusal) => {
            record_refusal(pool, &refusal, target.after);
            ReadOutcome::Refused(refusal)
        }
    }
}

/// Records the log position of `leader` from the answer to a command sent at `sent`, if the member
/// was known to lead at that time.
pub(super) fn record_position(
    group: &Group,
    leader: Option<&UsableLeader>,
    sent: Instant,
    answer: &Answer,
) {
    if let (Some(leader), Some(position)) = (leader, answer.position) {
        group.record_leader_position(leader, sent, position);
    }
}

/// Records that a member refused because its log lags behind the required position.
pub(super) fn record_refusal(pool: &MemberPool, refusal: &Refusal, after: Option<LogPosition>) {
    if let (RefusalKind::Lagging, Some(position)) = (refusal.kind, after) {
        pool.update_health(|health| health.record_lag(position, Instant::now()));
    }
}

fn handle_result(result: ReadResult, trace: &mut RequestTrace) -> Result<Completion, ReadFailure> {
    let member = &result.member;
    match result.outcome {
        ReadOutcome::Completed(completion) => {
            trace.record_attempt(member, "completed");
            Ok(completion)
        }
        ReadOutcome::Refused(refusal) => {
            trace.record_attempt(member, refusal_text(&refusal));
            Err(refusal_failure(refusal))
        }
        ReadOutcome::LogRegressed => {
            trace.record_attempt(member, "its log is shorter than it was");
            Err(ReadFailure::Retry(Failure::not_run(
                FailureReason::NoFreshMember,
            )))
        }
        ReadOutcome::NotSent(reason) => {
            trace.record_attempt(member, reason);
            let failure = Failure::not_run(FailureReason::ConnectionLost);
            Err(ReadFailure::Retry(failure))
        }
        ReadOutcome::Lost(reason) => {
            trace.record_attempt(member, reason);
            let failure = Failure::not_run(FailureReason::ConnectionLost);
            Err(ReadFailure::Final(failure))
        }
    }
}

fn refusal_failure(refusal: Refusal) -> ReadFailure {
    if let RefusalKind::Shed(retry_after) = refusal.kind {
        return ReadFailure::Final(shed_failure(retry_after));
    }
    if let RefusalKind::SlowStart(retry_after) = refusal.kind {
        return ReadFailure::RetryAfter(shed_failure(retry_after));
    }
    match not_run_reason(refusal.kind) {
        Some(reason @ FailureReason::ConnectionLost) => {
            ReadFailure::Final(Failure::not_run(reason))
        }
        Some(reason) => ReadFailure::Retry(Failure::not_run(reason)),
        None => ReadFailure::Final(member_failure(refusal)),
    }
}

/// Returns the failure of a read for which no member had a connection.
fn read_failure(failures: &[FailedAcquire], trace: &mut RequestTrace) -> ReadFailure {
    match acquire_failure_reason(failures, FailureReason::NoFreshMember, trace) {
        Ok(reason) => ReadFailure::Retry(Failure::not_run(reason)),
        Err(failure) => ReadFailure::Final(failure),
    }
}
