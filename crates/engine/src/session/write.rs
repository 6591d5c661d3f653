//! Single writes: run at the leader, at most once.

use super::evacuated::check_leader;
use super::limits::{RETRY_PAUSE, StatementDeadlines};
use super::target::{Target, check_leader_region, leader_target};
use super::trace::RequestTrace;
use super::{Completion, Session};
use crate::configuration::Route;
use crate::events::{Event, millis};
use crate::group::{Group, UsableLeader};
use crate::leadership::access;
use crate::names::RequestId;
use crate::pool::{
    AcquireError, AcquireRequest, MemberPool, PooledConnection, RunError, SessionStatement,
};
use crate::ports::{Answer, Refusal, RefusalKind};
use crate::position::LogPosition;
use crate::statement::{Request, TransactionState};
use crate::verdict::{Failure, FailureReason, MemberFailure};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// A write that is sent to a leader.
struct WriteJob<'a> {
    id: &'a RequestId,
    statement: &'a SessionStatement,
    acquire_request: AcquireRequest,
    group: &'a Group,
    deadlines: StatementDeadlines,
}

/// A write or commit that was sent to a leader.
#[derive(Debug, Clone, Copy)]
pub(super) struct SentWrite<'a> {
    /// The group.
    pub group: &'a Group,
    /// The leader.
    pub leader: &'a UsableLeader,
    /// When it was sent.
    pub sent: Instant,
    /// Deadline for the answer.
    pub answer_by: Instant,
}

/// The outcome of a single attempt to run a statement at a member.
pub(super) enum Attempt<T> {
    /// The outcome is final.
    Decided(Result<T, Failure>),
    /// Nothing has run, so the statement may be retried.
    NotRun(FailureReason),
}

/// Why an answer is missing.
pub(super) enum Unanswered {
    /// The connection failed before the statement was sent.
    NotSent,
    /// The connection failed after the statement was sent.
    Lost,
    /// The answer did not arrive in time.
    TimedOut,
    /// The leader was replaced meanwhile.
    Superseded,
}

impl Unanswered {
    /// Returns the reason that is reported to the caller.
    pub(super) fn reason(&self) -> FailureReason {
        match self {
            Unanswered::NotSent | Unanswered::Lost => FailureReason::ConnectionLost,
            Unanswered::TimedOut => FailureReason::AnswerTimedOut,
            Unanswered::Superseded => FailureReason::NoLeader,
        }
    }
}

/// The result of waiting for an answer.
pub(super) enum Awaited<T> {
    /// The answer arrived.
    Answered(T),
    /// The answer did not arrive in time.
    TimedOut,
    /// The leader was replaced meanwhile.
    Superseded,
}

impl Awaited<Result<Answer, RunError>> {
    /// Returns the answer to the command sent at `sent`. Records a missing answer in `trace`, and
    /// reports a timeout to the pool of the member.
    pub(super) fn into_answer(
        self,
        pool: &MemberPool,
        sent: Instant,
        trace: &mut RequestTrace,
    ) -> Result<Answer, Unanswered> {
        let member = &pool.member().id;
        match self {
            Awaited::Answered(Ok(answer)) => Ok(answer),
            Awaited::Answered(Err(error)) => {
                trace.record_attempt(member, error.to_string());
                Err(match error {
                    RunError::BeforeSend(_) => Unanswered::NotSent,
                    RunError::AfterSend(_) => Unanswered::Lost,
                })
            }
            Awaited::TimedOut => {
                trace.record_attempt(member, "no answer in time");
                pool.record_timeout(sent);
                Err(Unanswered::TimedOut)
            }
            Awaited::Superseded => {
                trace.record_attempt(member, "superseded before its answer");
                Err(Unanswered::Superseded)
            }
        }
    }
}

impl Session {
    /// Runs a write outside a transaction.
    pub(super) async fn run_write(
        &mut self,
        request: &Request,
        route: &Arc<Route>,
        statement: SessionStatement,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let group = self.engine.group(&route.group);
        let deadlines = self.deadlines(route, &group, request.received);
        let mut permit = None;
        loop {
            let residency = self.residency(route);
            check_leader_region(&self.engine, &group, &residency)?;
            if group.commits_stalled() {
                return Err(Failure::not_run(FailureReason::NoReplica));
            }
            let Some(leader) = access::writable_leader(&group, deadlines.acquire).await else {
                return Err(Failure::not_run(FailureReason::NoLeader));
            };
            check_leader(&self.engine, &group)?;
            let until = deadlines.acquire;
            if !access::has_lease_for_writes(&self.engine, &group, &leader, until).await {
                pause_before_retry(deadlines, FailureReason::NoLeader).await?;
                continue;
            }
            // Checked before a permit is acquired: the permit would be wasted, or its lack would be
            // reported instead of the actual reason.
            let Some(target) = leader_target(&self.engine, &leader, &residency)? else {
                pause_before_retry(deadlines, FailureReason::NoLeader).await?;
                continue;
            };
            let current_permit = self.permit(permit, deadlines).await?;
            permit = Some(current_permit);
            let job = WriteJob {
                id: &request.id,
                statement: &statement,
                acquire_request: self.acquire_request(route),
                group: &group,
                deadlines: StatementDeadlines::new(route, request.received)
                    .within_permit(current_permit),
            };
            match self.write_once(job, &leader, target, trace).await {
                Attempt::Decided(outcome) => return outcome,
                Attempt::NotRun(reason) => pause_before_retry(deadlines, reason).await?,
            }
        }
    }

    async fn write_once(
        &mut self,
        job: WriteJob<'_>,
        leader: &UsableLeader,
        target: Target,
        trace: &mut RequestTrace,
    ) -> Attempt<Completion> {
        let WriteJob {
            group, deadlines, ..
        } = job;
        let acquired = target.acquire(&self.engine, &job.acquire_request, deadlines.acquire);
        let mut connection = match acquired.await {
            Ok(connection) => connection,
            Err(error) => {
                trace.record_attempt(&leader.member, error.to_string());
                return acquire_error_outcome(&error);
            }
        };
        if let Err(error) = connection.apply_values(&self.values).await {
            trace.record_attempt(&leader.member, error.to_string());
            return Attempt::NotRun(FailureReason::ConnectionLost);
        }
        let sent = Instant::now();
        if !target.pool().is_remote() {
            group.record_commit_sent(sent);
        }
        let running = connection.run_statement(job.id, job.statement, None);
        let awaited = await_answer(running, group, leader, deadlines.answer).await;
        let sent_write = SentWrite {
            group,
            leader,
            sent,
            answer_by: deadlines.answer,
        };
        self.write_outcome(awaited, connection, sent_write, trace)
            .await
    }

    async fn write_outcome(
        &mut self,
        awaited: Awaited<Result<Answer, RunError>>,
        connection: PooledConnection,
        write: SentWrite<'_>,
        trace: &mut RequestTrace,
    ) -> Attempt<Completion> {
        let SentWrite { leader, sent, .. } = write;
        let answer = match awaited.into_answer(connection.pool(), sent, trace) {
            Ok(answer) => answer,
            Err(missing @ Unanswered::NotSent) => return Attempt::NotRun(missing.reason()),
            Err(missing) => return Attempt::Decided(Err(Failure::may_have_run(missing.reason()))),
        };
        release(connection, answer.state);
        match answer.outcome {
            Ok(signature) => {
                trace.record_attempt(&leader.member, "completed");
                let recorded = self.record_commit(write, answer.position).await;
                Attempt::Decided(recorded.map(|()| Completion {
                    rows: answer.rows,
                    signature: Some(signature),
                }))
            }
            Err(refusal) => {
                trace.record_attempt(&leader.member, refusal_text(&refusal));
                refusal_outcome(refusal)
            }
        }
    }

    /// Records an acknowledged commit in the session's floor and in the state of the group.
    ///
    /// # Errors
    ///
    /// [`Failure`] if a successor of the leader may have been chosen without the commit.
    pub(super) async fn record_commit(
        &mut self,
        write: SentWrite<'_>,
        position: Option<LogPosition>,
    ) -> Result<(), Failure> {
        let SentWrite {
            group,
            leader,
            sent,
            answer_by,
        } = write;
        if !access::has_lease_for_writes(&self.engine, group, leader, answer_by).await {
            self.report_unconfirmed(group, leader, position);
            return Err(Failure::may_have_run(FailureReason::NoLeader));
        }
        group.record_commit(leader, sent, position);
        self.floor
            .record_commit(group.name(), leader.epoch, position);
        Ok(())
    }

    fn report_unconfirmed(
        &self,
        group: &Group,
        leader: &UsableLeader,
        position: Option<LogPosition>,
    ) {
        metrics::counter!("stilequay_unconfirmed_commits_total").increment(1);
        self.engine.events().write(&Event::UnconfirmedCommit {
            group: group.name().clone(),
            epoch: leader.epoch,
            leader: leader.member.clone(),
            position,
            evidence_age_ms: group.evidence().map(|at| millis(at.elapsed())),
        });
    }
}

/// Waits for an answer until `until`, or until the leader is replaced.
pub(super) async fn await_answer<T>(
    running: impl Future<Output = T>,
    group: &Group,
    leader: &UsableLeader,
    until: Instant,
) -> Awaited<T> {
    tokio::select! {
        biased;
        answer = running => Awaited::Answered(answer),
        () = tokio::time::sleep_until(until) => Awaited::TimedOut,
        () = access::wait_until_superseded(group, leader.epoch) => Awaited::Superseded,
    }
}

/// Waits for an answer until `until`, regardless of changes of the leader.
pub(super) async fn await_in_time<T>(
    running: impl Future<Output = T>,
    until: Instant,
) -> Awaited<T> {
    match timeout_at(until, running).await {
        Ok(answer) => Awaited::Answered(answer),
        Err(_) => Awaited::TimedOut,
    }
}

/// Waits before a retry, or returns the failure if the deadline leaves no time for one.
pub(super) async fn pause_before_retry(
    deadlines: StatementDeadlines,
    reason: FailureReason,
) -> Result<(), Failure> {
    if Instant::now() + RETRY_PAUSE >= deadlines.acquire {
        return Err(Failure::not_run(reason));
    }
    sleep(RETRY_PAUSE).await;
    Ok(())
}

/// Returns a connection to its pool. A transaction that a failed statement has left open is rolled
/// back first.
pub(super) fn release(connection: PooledConnection, state: TransactionState) {
    if state != TransactionState::Idle {
        connection.roll_back();
    }
}

/// Returns the outcome of an attempt for which no connection could be acquired.
pub(super) fn acquire_error_outcome<T>(error: &AcquireError) -> Attempt<T> {
    match error {
        AcquireError::Shed(retry_after) | AcquireError::SlowStart(retry_after) => {
            Attempt::Decided(Err(shed_failure(*retry_after)))
        }
        AcquireError::Exhausted => Attempt::NotRun(FailureReason::Overloaded),
        AcquireError::Unreachable(_) | AcquireError::WrongMember | AcquireError::MayNotSend(_) => {
            Attempt::NotRun(FailureReason::NoLeader)
        }
        AcquireError::OutsideRegions => Attempt::NotRun(FailureReason::OutsideHomeRegions),
    }
}

/// Returns the failure of a request that is shed, to be retried after `retry_after`.
pub(super) fn shed_failure(retry_after: Duration) -> Failure {
    Failure::not_run(FailureReason::Overloaded).with_retry_after(retry_after)
}

/// Returns why a refused statement has not run; `None` if it may have run.
pub(super) fn not_run_reason(kind: RefusalKind) -> Option<FailureReason> {
    match kind {
        RefusalKind::Busy => Some(FailureReason::Overloaded),
        RefusalKind::NotLeader => Some(FailureReason::NoLeader),
        RefusalKind::Lagging => Some(FailureReason::NoFreshMember),
        RefusalKind::UnknownPrepared => Some(FailureReason::ConnectionLost),
        RefusalKind::Shed(_) | RefusalKind::SlowStart(_) => Some(FailureReason::Overloaded),
        RefusalKind::Unreachable => Some(FailureReason::NoLeader),
        RefusalKind::OutsideRegions => Some(FailureReason::OutsideHomeRegions),
        RefusalKind::Failed => None,
    }
}

pub(super) fn refusal_outcome<T>(refusal: Refusal) -> Attempt<T> {
    if let RefusalKind::Shed(retry_after) | RefusalKind::SlowStart(retry_after) = refusal.kind {
        return Attempt::Decided(Err(shed_failure(retry_after)));
    }
    match not_run_reason(refusal.kind) {
        Some(reason) => Attempt::NotRun(reason),
        None => Attempt::Decided(Err(member_failure(refusal))),
    }
}

pub(super) fn member_failure(refusal: Refusal) -> Failure {
    Failure::may_have_run(FailureReason::Member(MemberFailure {
        code: refusal.code,
        text: refusal.text,
    }))
}

pub(super) fn refusal_text(refusal: &Refusal) -> String {
    String::from_utf8_lossy(&refusal.code).into_owned()
}
