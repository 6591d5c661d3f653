//! Transactions: opened at a member with their first statement, held there to the end.

mod opening;

use super::limits::{RETRY_PAUSE, StatementDeadlines};
use super::trace::RequestTrace;
use super::write::{Awaited, await_answer, await_in_time, member_failure, refusal_text};
use super::{Completion, Session};
use crate::configuration::Route;
use crate::engine::Engine;
use crate::group::{Group, UsableLeader};
use crate::names::{RequestId, TenantName};
use crate::pool::{PooledConnection, RunError, SessionStatement, SessionValues};
use crate::ports::{Answer, Command, Refusal, RefusalKind};
use crate::residency::Residency;
use crate::session::target::is_still_allowed;
use crate::statement::{Access, Request, TransactionState};
use crate::verdict::{Failure, FailureReason};
use std::sync::Arc;
use tokio::time::{Instant, sleep, timeout_at};

/// A caller's transaction.
#[derive(Debug)]
pub(super) struct Transaction {
    route: Arc<Route>,
    group: Arc<Group>,
    read_only: bool,
    began: Instant,
    idle_since: Instant,
    stage: Stage,
    /// On whose behalf it was opened at its member.
    tenant: Option<TenantName>,
}

/// How far a transaction has come.
#[derive(Debug)]
enum Stage {
    /// No member was chosen yet.
    Pending,
    /// It is open at a member.
    Open(OpenTransaction),
    /// It was ended, and the caller has not been told yet.
    Aborted(Failure),
    /// It has failed, and the caller knows.
    Failed,
}

/// A transaction at its member.
#[derive(Debug)]
struct OpenTransaction {
    connection: PooledConnection,
    leader: Option<UsableLeader>,
    /// The regions that its member was chosen for.
    residency: Residency,
    wrote: bool,
}

impl Transaction {
    /// What the caller is told of its state.
    pub(super) fn state(&self) -> TransactionState {
        match self.stage {
            Stage::Failed => TransactionState::Failed,
            _ => TransactionState::Open,
        }
    }

    /// The route that it was begun with.
    pub(super) fn route(&self) -> &Route {
        &self.route
    }

    /// Whether it is open on behalf of another than `tenant`.
    pub(super) fn belongs_to_other_tenant(&self, tenant: Option<&TenantName>) -> bool {
        matches!(self.stage, Stage::Open(_)) && self.tenant.as_ref() != tenant
    }

    /// Whether it may stay where it is open, if `residency` are the regions that bind.
    pub(super) fn may_continue(&self, engine: &Engine, residency: &Residency) -> bool {
        let Stage::Open(open) = &self.stage else {
            return true;
        };
        is_still_allowed(engine, open.connection.pool(), &open.residency, residency)
    }

    /// Since when it has been resting, unless it has ended.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        match self.stage {
            Stage::Pending | Stage::Open(_) => Some(self.idle_since),
            Stage::Aborted(_) | Stage::Failed => None,
        }
    }

    /// Ends it; the caller is told `failure` at its next statement.
    pub(super) fn fail(&mut self, failure: Failure) {
        if let Stage::Open(open) = std::mem::replace(&mut self.stage, Stage::Aborted(failure)) {
            open.connection.roll_back();
        }
    }

    /// Puts changed session values in place where it is open.
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
    /// Begins a transaction. No member is needed before its first statement.
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
        work: SessionStatement,
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
                self.open_transaction(&mut transaction, request, access, Some(work), trace)
                    .await
            }
            Stage::Open(open) => {
                run_in_open(&mut transaction, open, request, access, &work, trace).await
            }
        };
        transaction.idle_since = Instant::now();
        self.transaction = Some(transaction);
        outcome
    }

    /// Commits or rolls back.
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
            self.record_commit(&transaction.group, leader, sent, &answer.position);
        }
        Ok(Completion {
            rows: answer.rows,
            signature: Some(signature),
        })
    }
}

/// Runs a later statement of an open transaction.
async fn run_in_open(
    transaction: &mut Transaction,
    mut open: OpenTransaction,
    request: &Request,
    access: Access,
    work: &SessionStatement,
    trace: &mut RequestTrace,
) -> Result<Completion, Failure> {
    let deadlines = StatementDeadlines::new(&transaction.route, request.received);
    let member = open.connection.pool().member().id.clone();
    loop {
        let sent = Instant::now();
        let running = open.connection.run_statement(&request.id, work, None);
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

/// Sends the commit; again while the member is too busy to begin it.
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

/// What a caller is told when its transaction's statement was refused. Nothing is kept:
/// the transaction is rolled back.
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
