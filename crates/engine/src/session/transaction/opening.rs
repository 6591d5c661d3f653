//! Opens a transaction at a member together with its first statement.

use super::{OpenTransaction, Stage, Transaction};
use crate::configuration::Consistency;
use crate::group::UsableLeader;
use crate::leadership::access;
use crate::pool::{AcquireRequest, PooledConnection, RunError, SessionStatement};
use crate::ports::{Command, RefusalKind};
use crate::session::evacuated::check_route;
use crate::session::limits::StatementDeadlines;
use crate::session::offer::{AcquiredConnection, acquire_failure_reason, acquire_first};
use crate::session::read::{has_log_regressed, record_position, record_refusal};
use crate::session::target::{Target, check_leader_region, leader_target};
use crate::session::trace::RequestTrace;
use crate::session::write::{
    Attempt, Unanswered, await_in_time, pause_before_retry, refusal_outcome, refusal_text, release,
};
use crate::session::{Completion, Session};
use crate::statement::{Access, Request};
use crate::verdict::{Failure, FailureReason};
use tokio::time::Instant;

/// The members at which a transaction may be opened, best first.
#[derive(Default)]
struct OpenCandidates {
    targets: Vec<Target>,
    /// The leader, if the transaction must run there.
    leader: Option<UsableLeader>,
}

/// The member chosen for a transaction, and a connection to it.
struct ChosenMember {
    target: Target,
    leader: Option<UsableLeader>,
    connection: PooledConnection,
}

impl Session {
    /// Opens the transaction at a member and runs its first statement there. Before that statement
    /// has completed the transaction has no effect, so another member may be tried.
    pub(super) async fn open_transaction(
        &self,
        transaction: &mut Transaction,
        request: &Request,
        access: Access,
        statement: Option<SessionStatement>,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let deadlines = self.deadlines(&transaction.route, &transaction.group, request.received);
        let acquire_request = self.acquire_request(&transaction.route);
        let mut permit = None;
        loop {
            let consistency = match transaction.read_only {
                true => transaction.route.consistency,
                false => Consistency::Leader,
            };
            let residency = self.residency(&transaction.route);
            check_route(&self.engine, &transaction.group, consistency, &residency)?;
            let mut candidates = self.open_candidates(transaction, deadlines, trace).await?;
            let mut reason = FailureReason::NoLeader;
            while !candidates.targets.is_empty() && Instant::now() < deadlines.acquire {
                let current_permit = self.permit(permit, deadlines).await?;
                permit = Some(current_permit);
                let until = deadlines.within_permit(current_permit).acquire;
                let acquiring =
                    acquire_first(&self.engine, &candidates.targets, &acquire_request, until);
                let AcquiredConnection { index, connection } = match acquiring.await {
                    Ok(acquired) => acquired,
                    Err(failures) => {
                        reason = acquire_failure_reason(&failures, FailureReason::NoLeader, trace)?;
                        break;
                    }
                };
                let chosen = ChosenMember {
                    target: candidates.targets.remove(index),
                    leader: candidates.leader.clone(),
                    connection,
                };
                let first = FirstStatement {
                    request,
                    access,
                    statement: statement.as_ref(),
                    deadlines,
                };
                match open_on_member(transaction, chosen, &acquire_request, first, trace).await {
                    Attempt::Decided(outcome) => return outcome,
                    Attempt::NotRun(latest) => reason = latest,
                }
            }
            pause_before_retry(deadlines, reason).await?;
        }
    }

    /// Returns the members at which the transaction may be opened, best first.
    ///
    /// # Errors
    ///
    /// [`Failure`] if the members at which it could be opened are outside the home regions.
    async fn open_candidates(
        &self,
        transaction: &Transaction,
        deadlines: StatementDeadlines,
        trace: &mut RequestTrace,
    ) -> Result<OpenCandidates, Failure> {
        let (route, group) = (&transaction.route, &transaction.group);
        if transaction.read_only {
            let targets = self
                .read_targets(group, route, transaction.began, deadlines.acquire, trace)
                .await?;
            return Ok(OpenCandidates {
                targets,
                leader: None,
            });
        }
        let residency = self.residency(route);
        check_leader_region(&self.engine, group, &residency)?;
        let until = deadlines.acquire;
        let Some(writable) = access::writable_leader(group, until).await else {
            return Ok(OpenCandidates::default());
        };
        let leased = access::leased_leader(&self.engine, group, route.max_staleness, until).await;
        let leader = leased.filter(|leader| *leader == writable);
        let target = match &leader {
            Some(leader) => leader_target(&self.engine, leader, &residency)?,
            None => None,
        };
        Ok(OpenCandidates {
            targets: target.into_iter().collect(),
            leader,
        })
    }
}

/// The first statement of a transaction, which causes it to be opened.
struct FirstStatement<'a> {
    request: &'a Request,
    access: Access,
    /// `None` if the transaction is committed without a statement.
    statement: Option<&'a SessionStatement>,
    deadlines: StatementDeadlines,
}

/// Opens the transaction at a member and runs its first statement there.
async fn open_on_member(
    transaction: &mut Transaction,
    chosen: ChosenMember,
    acquire_request: &AcquireRequest,
    first: FirstStatement<'_>,
    trace: &mut RequestTrace,
) -> Attempt<Completion> {
    let ChosenMember {
        target,
        leader,
        mut connection,
    } = chosen;
    let pool = target.pool();
    let member = pool.member().id.clone();
    let begin = Command::Begin {
        read_only: transaction.read_only,
        after: target.after,
    };
    let known = transaction.group.as_leader(&member);
    let reached = known.as_ref();
    let reached = reached.and_then(|leader| transaction.group.known_position(leader));
    let sent = Instant::now();
    let opening = async {
        let applied = connection.apply_values(&acquire_request.values).await;
        applied.map_err(RunError::BeforeSend)?;
        connection.run(&begin).await.map_err(RunError::BeforeSend)
    };
    let awaited = await_in_time(opening, first.deadlines.acquire).await;
    let answer = match awaited.into_answer(pool, sent, trace) {
        Ok(answer) => answer,
        Err(missing) => return Attempt::NotRun(missing.reason()),
    };
    if has_log_regressed(&answer, reached) {
        trace.record_attempt(&member, "its log is shorter than it was");
        connection.roll_back();
        return Attempt::NotRun(FailureReason::NoFreshMember);
    }
    record_position(&transaction.group, known.as_ref(), sent, &answer);
    if let Err(refusal) = answer.outcome {
        trace.record_attempt(&member, refusal_text(&refusal));
        record_refusal(pool, &refusal, target.after);
        release(connection, answer.state);
        if transaction.read_only && matches!(refusal.kind, RefusalKind::SlowStart(_)) {
            // Another member may be able to run it.
            return Attempt::NotRun(FailureReason::Overloaded);
        }
        return refusal_outcome(refusal);
    }
    if let Some(leader) = &leader {
        transaction.group.confirm_leader(leader);
    }
    transaction.tenant = acquire_request.tenant.clone();
    let open = OpenTransaction {
        connection,
        leader,
        residency: target.residency().clone(),
        wrote: false,
        required: trace.required_position(),
    };
    let Some(statement) = first.statement else {
        transaction.stage = Stage::Open(open);
        return Attempt::Decided(Ok(Completion::default()));
    };
    run_first_statement(transaction, open, statement, &first, trace).await
}

/// Runs the first statement of a newly opened transaction.
async fn run_first_statement(
    transaction: &mut Transaction,
    mut open: OpenTransaction,
    statement: &SessionStatement,
    first: &FirstStatement<'_>,
    trace: &mut RequestTrace,
) -> Attempt<Completion> {
    let member = open.connection.pool().member().id.clone();
    let sent = Instant::now();
    let running = open
        .connection
        .run_statement(&first.request.id, statement, None);
    let awaited = await_in_time(running, first.deadlines.answer).await;
    let answer = match awaited.into_answer(open.connection.pool(), sent, trace) {
        Ok(answer) => answer,
        Err(Unanswered::TimedOut) => {
            return Attempt::Decided(Err(Failure::not_run(FailureReason::TransactionLost)));
        }
        Err(missing) => return Attempt::NotRun(missing.reason()),
    };
    match answer.outcome {
        Ok(signature) => {
            trace.record_attempt(&member, "completed");
            open.wrote = first.access == Access::Write;
            transaction.stage = Stage::Open(open);
            Attempt::Decided(Ok(Completion {
                rows: answer.rows,
                signature: Some(signature),
            }))
        }
        Err(refusal) => {
            trace.record_attempt(&member, refusal_text(&refusal));
            open.connection.roll_back();
            refusal_outcome(refusal)
        }
    }
}
