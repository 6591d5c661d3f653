//! Transactions: opened at a member with their first statement, and bound to one connection to it
//! until they end.

mod opening;

use super::limits::{RETRY_PAUSE, StatementDeadlines};
use super::trace::{RequestTrace, RequiredPosition};
use super::write::{Awaited, SentWrite, await_answer, await_in_time, member_failure, refusal_text};
use super::{Completion, Session};
use crate::configuration::Route;
use crate::engine::Engine;
use crate::group::{Group, UsableLeader};
use crate::leadership::access;
use crate::names::{RequestId, TenantName};
use crate::pool::{PooledConnection, RunError, SessionStatement, SessionValues};
use crate::ports::{Answer, Command, Refusal, RefusalKind};
use crate::residency::Residency;
use crate::session::target::is_still_allowed;
use crate::statement::{Access, Request, TransactionState};
use crate::verdict::{Failure, FailureReason};
use std::sync::Arc;
use tokio::time::{Instant, sleep, timeout_at};

/// The transaction of a session.
#[derive(Debug)]
pub(super) struct Transaction {
    route: Arc<Route>,
    group: Arc<Group>,
    read_only: bool,
    began: Instant,
    idle_since: Instant,
    stage: Stage,
    /// The tenant on whose behalf it was opened at its member.
    tenant: Option<TenantName>,
}

/// The stage of a transaction.
#[derive(Debug)]
enum Stage {
    /// No member has been chosen yet.
    Pending,
    /// It is open at a member.
    Open(OpenTransaction),
    /// It was aborted, and the caller has not received the failure yet.
    Aborted(Failure),
    /// It has failed, and the caller has received the failure.
    Failed,
}

/// A transaction that is open at a member.
#[derive(Debug)]
struct OpenTransaction {
    connection: PooledConnection,
    leader: Option<UsableLeader>,
    /// The home regions for which its member was chosen.
    residency: Residency,
    wrote: bool,
    /// The log position that its member had to have reached.
    required: Option<RequiredPosition>,
}

impl Transaction {
    /// Returns the state as it is reported to the caller.
    pub(super) fn state(&self) -> TransactionState {
        match self.stage {
            Stage::Failed => TransactionState::Failed,
            _ => TransactionState::Open,
        }
    }

    /// Returns the route with which it began.
    pub(super) fn route(&self) -> &Route {
        &self.route
    }

    /// Returns whether it is open on behalf of a tenant other than `tenant`.
    pub(super) fn belongs_to_other_tenant(&self, tenant: Option<&TenantName>) -> bool {
        matches!(self.stage, Stage::Open(_)) && self.tenant.as_ref() != tenant
    }

    /// Returns whether it may continue at its member under the current home regions `residency`.
    pub(super) fn may_continue(&self, engine: &Engine, residency: &Residency) -> bool {
        let Stage::Open(open) = &self.stage else {
            return true;
        };
        is_still_allowed(engine, open.connection.pool(), &open.residency, residency)
    }

    /// Returns since when it has been idle, unless it has ended.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        match self.stage {
            Stage::Pending | Stage::Open(_) => Some(self.idle_since),
            Stage::Aborted(_) | Stage::Failed => None,
        }
    }

    /// Aborts it; the next statement of the caller returns `failure`.
    pub(super) fn abort(&mut self, failure: Failure) {
        if let Stage::Open(open) = std::mem::replace(&mut self.stage, Stage::Aborted(failure)) {
            open.connection.roll_back();
        }
    }

    /// Applies changed session variables to the connection, if it is open.
    pub(super) async fn apply_values(&mut self, values: &SessionValues) -> Result<(), Failure> {
        let Stage::Open(open) = &mut self.stage else {
            return Ok(());
        };
        let until = Instant::now() + self.route.timeout;
        match timeout_at(until, open.connection.apply_values(values)).await {
            Ok(Ok(())) => Ok(()),
            _ => {
                self.stage = Stage::Failed;
                Err(Failure::not_run(FailureReason::TransactionLost))
            }
        }
    }
}

impl Session {
    /// Begins a transaction. It is opened at a member only with its first statement.
    pub(super) fn begin(
        &mut self,
        read_only: bool,
        received: Instant,
    ) -> Result<Completion, Failure> {
        if self.transaction.is_some() {
            return Err(Failure::rejected(FailureReason::OutOfPlace));
        }
        let route = self.route()?;
        let group = self.engine.group(&route.group);
        self.transaction = Some(Transaction {
            route,
            group,
            read_only,
            began: received,
            idle_since: Instant::now(),
            stage: Stage::Pending,
            tenant: None,
        });
        Ok(Completion::default())
    }

    /// Runs a statement in the open transaction.
    pub(super) async fn run_in_transaction(
        &mut self,
        request: &Request,
        access: Access,
        statement: SessionStatement,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let Some(mut transaction) = self.transaction.take() else {
            return Err(Failure::rejected(FailureReason::OutOfPlace));
        };
        trace.set_route(&self.engine, &transaction.route);
        let stage = std::mem::replace(&mut transaction.stage, Stage::Failed);
        let outcome = match stage {
            Stage::Failed => Err(Failure::rejected(FailureReason::OutOfPlace)),
            Stage::Aborted(failure) => Err(failure),
            Stage::Pending => {
                self.open_transaction(&mut transaction, request, access, Some(statement), trace)
                    .await
            }
            Stage::Open(open) => {
                run_in_open(&mut transaction, open, request, access, &statement, trace).await
            }
        };
        transaction.idle_since = Instant::now();
        self.transaction = Some(transaction);
        outcome
    }

    /// Commits or rolls back the transaction.
    pub(super) async fn finish_transaction(
        &mut self,
        request: &Request,
        commit: bool,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let Some(mut transaction) = self.transaction.take() else {
            return Err(Failure::rejected(FailureReason::OutOfPlace));
        };
        trace.set_route(&self.engine, &transaction.route);
        let mut stage = std::mem::replace(&mut transaction.stage, Stage::Failed);
        if commit && matches!(stage, Stage::Pending) {
            self.open_transaction(&mut transaction, request, Access::Read, None, trace)
                .await?;
            stage = std::mem::replace(&mut transaction.stage, Stage::Failed);
        }
        match (stage, commit) {
            (Stage::Open(open), true) => self.commit(request, &transaction, open, trace).await,
            (Stage::Open(open), false) => {
                open.connection.roll_back();
                Ok(Completion::default())
            }
            (Stage::Aborted(failure), true) => Err(failure),
            (_, true) => Err(Failure::not_run(FailureReason::TransactionLost)),
            (_, false) => Ok(Completion::default()),
        }
    }

    async fn commit(
        &mut self,
        request: &Request,
        transaction: &Transaction,
        mut open: OpenTransaction,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let deadlines = StatementDeadlines::new(&transaction.route, request.received);
        let member = open.connection.pool().member().id.clone();
        if open.wrote && transaction.group.commits_stalled() {
            open.connection.roll_back();
            return Err(Failure::not_run(FailureReason::NoReplica));
        }
        if let Err(reason) = open.connection.pool().check_sending() {
            trace.record_attempt(&member, reason.to_string());
            return Err(Failure::not_run(FailureReason::TransactionLost));
        }
        if let (true, Some(leader)) = (open.wrote, &open.leader) {
            let (group, until) = (&transaction.group, deadlines.acquire);
            if !access::has_lease_for_writes(&self.engine, group, leader, until).await {
                open.connection.roll_back();
                return Err(Failure::not_run(FailureReason::NoLeader));
            }
        }
        let sent = Instant::now();
        if open.wrote && !open.connection.pool().is_remote() {
            transaction.group.record_commit_sent(sent);
        }
        let awaited = run_commit(transaction, &mut open, &request.id, deadlines).await;
        let commit_failure = |reason: FailureReason| match open.wrote {
            true => Failure::may_have_run(reason),
            false => Failure::not_run(FailureReason::TransactionLost),
        };
        let answer = awaited
            .into_answer(open.connection.pool(), sent, trace)
            .map_err(|missing| commit_failure(missing.reason()))?;
        let signature = match answer.outcome {
            Ok(signature) => signature,
            Err(refusal) => {
                trace.record_attempt(&member, refusal_text(&refusal));
                let failure = commit_refused(refusal, open.wrote);
                super::write::release(open.connection, answer.state);
                return Err(failure);
            }
        };
        trace.record_attempt(&member, "committed");
        if let (true, Some(leader)) = (open.wrote, &open.leader) {
            let sent_commit = SentWrite {
                group: &transaction.group,
                leader,
                sent,
                answer_by: deadlines.answer,
            };
            self.record_commit(sent_commit, answer.position).await?;
        }
        Ok(Completion {
            rows: answer.rows,
            signature: Some(signature),
        })
    }
}

/// Runs a statement in a transaction that is already open at a member.
async fn run_in_open(
    transaction: &mut Transaction,
    mut open: OpenTransaction,
    request: &Request,
    access: Access,
    statement: &SessionStatement,
    trace: &mut RequestTrace,
) -> Result<Completion, Failure> {
    trace.set_required_position(open.required);
    let deadlines = StatementDeadlines::new(&transaction.route, request.received);
    let member = open.connection.pool().member().id.clone();
    loop {
        let sent = Instant::now();
        let running = open.connection.run_statement(&request.id, statement, None);
        let answer = await_in_time(running, deadlines.answer)
            .await
            .into_answer(open.connection.pool(), sent, trace)
            .map_err(|_| Failure::not_run(FailureReason::TransactionLost))?;
        match answer.outcome {
            Ok(signature) => {
                trace.record_attempt(&member, "completed");
                open.wrote |= access == Access::Write;
                transaction.stage = Stage::Open(open);
                return Ok(Completion {
                    rows: answer.rows,
                    signature: Some(signature),
                });
            }
            Err(refusal) => {
                trace.record_attempt(&member, refusal_text(&refusal));
                let still_open = answer.state == TransactionState::Open;
                let time_left = Instant::now() + RETRY_PAUSE < deadlines.acquire;
                if !(still_open && time_left && refusal.kind == RefusalKind::Busy) {
                    open.connection.roll_back();
                    return Err(statement_refused(refusal));
                }
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Sends the commit, and retries it while the member is too busy to start it.
async fn run_commit(
    transaction: &Transaction,
    open: &mut OpenTransaction,
    id: &RequestId,
    deadlines: StatementDeadlines,
) -> Awaited<Result<Answer, RunError>> {
    let commit = Command::Commit { id: id.clone() };
    let leader = open.leader.clone().filter(|_| open.wrote);
    let connection = &mut open.connection;
    let running = async {
        loop {
            let answer = connection.run(&commit).await.map_err(RunError::AfterSend)?;
            let busy = matches!(&answer.outcome, Err(r) if r.kind == RefusalKind::Busy);
            let time_left = Instant::now() + RETRY_PAUSE < deadlines.acquire;
            if !(busy && time_left && answer.state == TransactionState::Open) {
                return Ok(answer);
            }
            sleep(RETRY_PAUSE).await;
        }
    };
    match leader {
        Some(leader) => await_answer(running, &transaction.group, &leader, deadlines.answer).await,
        None => await_in_time(running, deadlines.answer).await,
    }
}

/// Returns the failure for a refused statement of a transaction. The transaction is rolled back, so
/// nothing of it is kept.
fn statement_refused(refusal: Refusal) -> Failure {
    match refusal.kind {
        RefusalKind::Failed => member_failure(refusal),
        _ => Failure::not_run(FailureReason::TransactionLost),
    }
}

fn commit_refused(refusal: Refusal, wrote: bool) -> Failure {
    match (refusal.kind, wrote) {
        (RefusalKind::Failed, true) => member_failure(refusal),
        _ => Failure::not_run(FailureReason::TransactionLost),
    }
}
