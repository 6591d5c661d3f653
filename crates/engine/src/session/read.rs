//! Single reads: at the best member that is fresh enough, a second one where the first is
//! silent.

use super::floor::FloorRequirement;
use super::limits::StatementLimits;
use super::trace::RequestTrace;
use super::write::{
    leader_pool, member_failure, not_run_reason, note_unanswered, pause_or_refuse, refusal_text,
    release,
};
use super::{Completion, Session};
use crate::configuration::{Consistency, Route};
use crate::group::{Group, UsableLeader};
use crate::leadership::{access, freshness};
use crate::names::{MemberId, RequestId};
use crate::pool::{AcquireError, Claim, MemberPool, RunError, Work};
use crate::ports::{Answer, Refusal, RefusalKind};
use crate::position::LogPosition;
use crate::routing::read_candidates;
use crate::statement::Request;
use crate::verdict::{Failure, FailureReason};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Longest wait for a connection to a member while there are other members.
const ACQUIRE_WAIT: Duration = Duration::from_millis(40);
/// Least time before a second member is asked what the first has not answered.
const HEDGE_MIN: Duration = Duration::from_millis(70);
/// That time in multiples of the member's expected latency.
const HEDGE_LATENCIES: f64 = 3.5;
/// Members that one read is sent to without an answer, at the most.
const UNANSWERED_LIMIT: usize = 3;

/// A member that may run a read, and what its log must hold for it.
#[derive(Debug, Clone)]
pub(super) struct ReadTarget {
    /// Its connections.
    pub pool: Arc<MemberPool>,
    /// The position asked for; `None` at a leader whose term is leased.
    pub after: Option<LogPosition>,
    /// Whether no other member is likely to run it: its connections are worth a wait.
    pub is_only: bool,
}

/// One read's needs, the same for every member that it is sent to.
#[derive(Debug, Clone)]
struct ReadJob {
    id: RequestId,
    work: Work,
    claim: Claim,
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
    NotTaken(AcquireError),
    Refused(Refusal),
    Lost(String),
}

impl Session {
    /// Runs a read outside any transaction.
    pub(super) async fn run_read(
        &mut self,
        request: &Request,
        route: &Arc<Route>,
        work: Work,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let limits = StatementLimits::new(route, request.received);
        let group = self.engine.group(&route.group);
        let job = ReadJob {
            id: request.id.clone(),
            work,
            claim: self.claim(route),
            group: Arc::clone(&group),
            limits,
        };
        self.engine.hedges().record_request();
        loop {
            let targets = self
                .read_targets(&group, route, request.received, limits.offer, trace)
                .await;
            let outcome = self.run_hedged(&job, targets, trace).await;
            let failure = match outcome {
                Ok(completion) => return Ok(completion),
                Err(failure) => failure,
            };
            let retried = matches!(
                failure.reason,
                FailureReason::NoFreshMember | FailureReason::Overloaded | FailureReason::NoLeader
            );
            if !retried {
                return Err(failure);
            }
            pause_or_refuse(limits, failure.reason).await?;
        }
    }

    /// The members that may run a read that was received at `received`, the best first.
    pub(super) async fn read_targets(
        &self,
        group: &Arc<Group>,
        route: &Route,
        received: Instant,
        until: Instant,
        trace: &mut RequestTrace,
    ) -> Vec<ReadTarget> {
        if route.consistency == Consistency::Leader {
            return self.leader_targets(group, Duration::ZERO, until).await;
        }
        let required = self.required_position(group, route, received, until).await;
        trace.requires(required);
        let Some(after) = required else {
            return self.leader_targets(group, route.max_staleness, until).await;
        };
        let after = Some(after);
        let candidates = read_candidates(&self.engine, group, after, Instant::now());
        let likely = candidates.iter().filter(|c| c.is_likely).count();
        let targets = candidates.into_iter();
        targets
            .map(|candidate| ReadTarget {
                is_only: likely == 1 && candidate.is_likely,
                pool: candidate.pool,
                after,
            })
            .collect()
    }

    /// The leader, twice: where an answer is lost it is asked again.
    async fn leader_targets(
        &self,
        group: &Group,
        staleness: Duration,
        until: Instant,
    ) -> Vec<ReadTarget> {
        let leader = access::leased_leader(&self.engine, group, staleness, until).await;
        let pool = leader.and_then(|leader| leader_pool(&self.engine, &leader));
        let target = pool.map(|pool| ReadTarget {
            pool,
            after: None,
            is_only: true,
        });
        target.iter().chain(target.iter()).cloned().collect()
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

    /// Sends the read to the first target; to the next one when one can't run it, or has
    /// been silent for long.
    async fn run_hedged(
        &self,
        job: &ReadJob,
        targets: Vec<ReadTarget>,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let mut remaining = targets.into_iter();
        let mut running = FuturesUnordered::new();
        let Some(first) = remaining.next() else {
            return Err(Failure::not_run(FailureReason::NoLeader));
        };
        let mut hedge_at = hedge_moment(&first);
        running.push(spawn_read(job, first));
        loop {
            tokio::select! {
                biased;
                Some(joined) = running.next() => {
                    let Ok(result) = joined else { continue };
                    let failure = match judge(result, trace) {
                        Ok(completion) => return Ok(completion),
                        Err(failure) => failure,
                    };
                    if Instant::now() >= job.limits.answer {
                        return Err(failure);
                    }
                    match remaining.next() {
                        Some(target) => {
                            hedge_at = hedge_moment(&target);
                            running.push(spawn_read(job, target));
                        }
                        None if running.is_empty() => return Err(failure),
                        None => {}
                    }
                }
                () = sleep_until(hedge_at), if running.len() < UNANSWERED_LIMIT => {
                    hedge_at = job.limits.answer;
                    if self.engine.hedges().try_retry()
                        && let Some(target) = remaining.next()
                    {
                        hedge_at = hedge_moment(&target);
                        running.push(spawn_read(job, target));
                    }
                }
                () = sleep_until(job.limits.answer) => {
                    return Err(Failure::not_run(FailureReason::AnswerTimedOut));
                }
            }
        }
    }
}

fn hedge_moment(target: &ReadTarget) -> Instant {
    let now = Instant::now();
    let expected_ms = target.pool.health().expected_latency_ms(now);
    let expected = Duration::from_secs_f64(expected_ms.max(0.0) / 1000.0);
    now + expected.mul_f64(HEDGE_LATENCIES).max(HEDGE_MIN)
}

/// Until when a connection to `target` is waited for.
pub(super) fn acquire_until(limits: &StatementLimits, target: &ReadTarget) -> Instant {
    match target.is_only {
        true => limits.offer,
        false => limits.offer.min(Instant::now() + ACQUIRE_WAIT),
    }
}

/// Runs a read at one member in a task of its own: when another member has answered
/// first, the connection is still read to the end of the answer and used again.
fn spawn_read(job: &ReadJob, target: ReadTarget) -> JoinHandle<ReadResult> {
    let job = job.clone();
    tokio::spawn(async move {
        let member = target.pool.member().id.clone();
        let outcome = read_once(&job, &target).await;
        ReadResult { member, outcome }
    })
}

async fn read_once(job: &ReadJob, target: &ReadTarget) -> ReadOutcome {
    let pool = &target.pool;
    let wait = acquire_until(&job.limits, target);
    let mut connection = match pool.acquire(&job.claim, wait).await {
        Ok(connection) => connection,
        Err(error) => return ReadOutcome::NotTaken(error),
    };
    let leader = job.group.as_leader(&pool.member().id);
    let sent = Instant::now();
    let running = async {
        let put = connection.put_values(&job.claim.values).await;
        put.map_err(RunError::Before)?;
        connection.run_work(&job.id, &job.work, target.after).await
    };
    let answer = match timeout_at(job.limits.answer, running).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return ReadOutcome::Lost(error.to_string()),
        Err(_) => {
            note_unanswered(pool, sent);
            return ReadOutcome::Lost("no answer in time".to_owned());
        }
    };
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
        pool.note(|health| health.lagging(position, Instant::now()));
    }
}

fn judge(result: ReadResult, trace: &mut RequestTrace) -> Result<Completion, Failure> {
    let member = &result.member;
    match result.outcome {
        ReadOutcome::Completed(completion) => {
            trace.attempted(member, "completed");
            Ok(completion)
        }
        ReadOutcome::NotTaken(error) => {
            trace.attempted(member, error.to_string());
            let reason = match error {
                AcquireError::Exhausted => FailureReason::Overloaded,
                _ => FailureReason::NoFreshMember,
            };
            Err(Failure::not_run(reason))
        }
        ReadOutcome::Refused(refusal) => {
            trace.attempted(member, refusal_text(&refusal));
            Err(refusal_failure(refusal))
        }
        ReadOutcome::Lost(reason) => {
            trace.attempted(member, reason);
            Err(Failure::not_run(FailureReason::ConnectionLost))
        }
    }
}

fn refusal_failure(refusal: Refusal) -> Failure {
    match not_run_reason(refusal.kind) {
        Some(reason) => Failure::not_run(reason),
        None => member_failure(refusal),
    }
}
