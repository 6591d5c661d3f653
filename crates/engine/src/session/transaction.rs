//! Transactions: opened at a member with their first statement, held there to the end.

use super::limits::{RETRY_PAUSE, StatementLimits};
use super::offer::{Declined, Offer, first_connection, shed_for};
use super::read::{ReadTarget, note_position, note_refusal};
use super::trace::RequestTrace;
use super::write::{
    Attempt, Awaited, Unanswered, await_answer, await_in_time, judge_refusal, leader_pool,
    member_failure, pause_or_refuse, refusal_text, shed,
};
use super::{Completion, Session};
use crate::configuration::Route;
use crate::group::{Group, UsableLeader};
use crate::leadership::access;
use crate::names::RequestId;
use crate::pool::{AcquireError, Claim, PooledConnection, RunError, SessionValues, Work};
use crate::ports::{Answer, Command, Refusal, RefusalKind};
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
    rests_since: Instant,
    stage: Stage,
}

/// How far a transaction has come.
#[derive(Debug)]
enum Stage {
    /// No member was chosen yet.
    Pending,
    /// It is open at a member.
    Open(OpenTransaction),
    /// It was ended, and the caller has not been told yet.
    Ended(Failure),
    /// It has failed, and the caller knows.
    Failed,
}

/// A transaction at its member.
#[derive(Debug)]
struct OpenTransaction {
    connection: PooledConnection,
    leader: Option<UsableLeader>,
    wrote: bool,
}

/// Members where a transaction may be opened, the best first.
#[derive(Default)]
struct Places {
    targets: Vec<ReadTarget>,
    /// The leader, where only it will do.
    leader: Option<UsableLeader>,
}

/// A member chosen for a transaction, and the connection to it.
struct Place {
    target: ReadTarget,
    leader: Option<UsableLeader>,
    connection: PooledConnection,
}

impl Transaction {
    /// What the caller is told of its state.
    pub(super) fn state(&self) -> TransactionState {
        match self.stage {
            Stage::Failed => TransactionState::Failed,
            _ => TransactionState::Open,
        }
    }

    /// Since when it has been resting, unless it has ended.
    pub(super) fn rests_since(&self) -> Option<Instant> {
        match self.stage {
            Stage::Pending | Stage::Open(_) => Some(self.rests_since),
            Stage::Ended(_) | Stage::Failed => None,
        }
    }

    /// Ends it; the caller is told `failure` at its next statement.
    pub(super) fn fail(&mut self, failure: Failure) {
        if let Stage::Open(open) = std::mem::replace(&mut self.stage, Stage::Ended(failure)) {
            open.connection.roll_back();
        }
    }

    /// Puts changed session values in place where it is open.
    pub(super) async fn put_values(&mut self, values: &SessionValues) -> Result<(), Failure> {
        let Stage::Open(open) = &mut self.stage else {
            return Ok(());
        };
        let until = Instant::now() + self.route.timeout;
        match timeout_at(until, open.connection.put_values(values)).await {
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
            rests_since: Instant::now(),
            stage: Stage::Pending,
        });
        Ok(Completion::default())
    }

    /// Runs a statement in the open transaction.
    pub(super) async fn run_in_transaction(
        &mut self,
        request: &Request,
        access: Access,
        work: Work,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let Some(mut transaction) = self.transaction.take() else {
            return Err(Failure::rejected(FailureReason::OutOfPlace));
        };
        trace.routed(&self.engine, &transaction.route);
        let stage = std::mem::replace(&mut transaction.stage, Stage::Failed);
        let outcome = match stage {
            Stage::Failed => Err(Failure::rejected(FailureReason::OutOfPlace)),
            Stage::Ended(failure) => Err(failure),
            Stage::Pending => {
                self.open_with(&mut transaction, request, access, Some(work), trace)
                    .await
            }
            Stage::Open(open) => {
                run_at_place(&mut transaction, open, request, access, &work, trace).await
            }
        };
        transaction.rests_since = Instant::now();
        self.transaction = Some(transaction);
        outcome
    }

    /// Commits or rolls back.
    pub(super) async fn end(
        &mut self,
        request: &Request,
        commit: bool,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let Some(mut transaction) = self.transaction.take() else {
            return Err(Failure::rejected(FailureReason::OutOfPlace));
        };
        trace.routed(&self.engine, &transaction.route);
        let mut stage = std::mem::replace(&mut transaction.stage, Stage::Failed);
        if commit && matches!(stage, Stage::Pending) {
            self.open_with(&mut transaction, request, Access::Read, None, trace)
                .await?;
            stage = std::mem::replace(&mut transaction.stage, Stage::Failed);
        }
        match (stage, commit) {
            (Stage::Open(open), true) => self.commit(request, &transaction, open, trace).await,
            (Stage::Open(open), false) => {
                open.connection.roll_back();
                Ok(Completion::default())
            }
            (Stage::Ended(failure), true) => Err(failure),
            (_, true) => Err(Failure::not_run(FailureReason::TransactionLost)),
            (_, false) => Ok(Completion::default()),
        }
    }

    /// Opens the transaction at a member and runs its first statement there. Until that
    /// has completed nothing can be kept, so another member may be tried.
    async fn open_with(
        &self,
        transaction: &mut Transaction,
        request: &Request,
        access: Access,
        work: Option<Work>,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let limits = StatementLimits::new(&transaction.route, request.received);
        let claim = self.claim(&transaction.route);
        loop {
            let mut places = self.places(transaction, limits, trace).await;
            let mut reason = FailureReason::NoLeader;
            while !places.targets.is_empty() && Instant::now() < limits.offer {
                let offered = first_connection(&places.targets, &claim, limits.offer).await;
                let Offer { index, connection } = match offered {
                    Ok(offer) => offer,
                    Err(declined) => {
                        reason = declined_reason(&declined, trace)?;
                        break;
                    }
                };
                let place = Place {
                    target: places.targets.remove(index),
                    leader: places.leader.clone(),
                    connection,
                };
                let first = FirstStatement {
                    request,
                    access,
                    work: work.as_ref(),
                    limits,
                };
                match open_at(transaction, place, &claim, first, trace).await {
                    Attempt::Decided(outcome) => return outcome,
                    Attempt::NotRun(latest) => reason = latest,
                }
            }
            pause_or_refuse(limits, reason).await?;
        }
    }

    /// Members where the transaction may be opened, the best first.
    async fn places(
        &self,
        transaction: &Transaction,
        limits: StatementLimits,
        trace: &mut RequestTrace,
    ) -> Places {
        let (route, group) = (&transaction.route, &transaction.group);
        if transaction.read_only {
            let targets = self
                .read_targets(group, route, transaction.began, limits.offer, trace)
                .await;
            return Places {
                targets,
                leader: None,
            };
        }
        let until = limits.offer;
        let Some(writable) = access::writable_leader(group, until).await else {
            return Places::default();
        };
        let leased = access::leased_leader(&self.engine, group, route.max_staleness, until).await;
        let leader = leased.filter(|leader| *leader == writable);
        let pool = leader
            .as_ref()
            .and_then(|leader| leader_pool(&self.engine, leader));
        let target = pool.map(|pool| ReadTarget {
            pool,
            after: None,
            is_likely: true,
        });
        Places {
            targets: target.into_iter().collect(),
            leader,
        }
    }

    async fn commit(
        &mut self,
        request: &Request,
        transaction: &Transaction,
        mut open: OpenTransaction,
        trace: &mut RequestTrace,
    ) -> Result<Completion, Failure> {
        let limits = StatementLimits::new(&transaction.route, request.received);
        let member = open.connection.pool().member().id.clone();
        if open.wrote && transaction.group.commits_stalled() {
            open.connection.roll_back();
            return Err(Failure::not_run(FailureReason::NoReplica));
        }
        let sent = Instant::now();
        if open.wrote {
            transaction.group.record_commit_sent(sent);
        }
        let awaited = run_commit(transaction, &mut open, &request.id, limits).await;
        let lost = |reason: FailureReason| match open.wrote {
            true => Failure::may_have_run(reason),
            false => Failure::not_run(FailureReason::TransactionLost),
        };
        let answer = awaited
            .told(open.connection.pool(), sent, trace)
            .map_err(|missing| lost(missing.reason()))?;
        let signature = match answer.outcome {
            Ok(signature) => signature,
            Err(refusal) => {
                trace.attempted(&member, refusal_text(&refusal));
                let failure = commit_refused(refusal, open.wrote);
                super::write::release(open.connection, answer.state);
                return Err(failure);
            }
        };
        trace.attempted(&member, "committed");
        if let (true, Some(leader)) = (open.wrote, &open.leader) {
            self.note_commit(&transaction.group, leader, sent, &answer.position);
        }
        Ok(Completion {
            rows: answer.rows,
            signature: Some(signature),
        })
    }
}

/// The first statement of a transaction, with which it is opened.
struct FirstStatement<'a> {
    request: &'a Request,
    access: Access,
    /// None where there is nothing to run before the commit.
    work: Option<&'a Work>,
    limits: StatementLimits,
}

/// Why no member could be had, or the refusal where more waiting makes no sense.
fn declined_reason(
    declined: &[Declined],
    trace: &mut RequestTrace,
) -> Result<FailureReason, Failure> {
    for Declined { member, error } in declined {
        trace.attempted(member, error.to_string());
    }
    if let Some(retry_after) = shed_for(declined) {
        return Err(shed(retry_after));
    }
    let crowded = declined
        .iter()
        .any(|declined| matches!(declined.error, AcquireError::Exhausted));
    Ok(match crowded {
        true => FailureReason::Overloaded,
        false => FailureReason::NoLeader,
    })
}

/// Opens the transaction at a member and runs its first statement there.
async fn open_at(
    transaction: &mut Transaction,
    place: Place,
    claim: &Claim,
    first: FirstStatement<'_>,
    trace: &mut RequestTrace,
) -> Attempt<Completion> {
    let Place {
        target,
        leader,
        mut connection,
    } = place;
    let pool = Arc::clone(&target.pool);
    let member = pool.member().id.clone();
    let begin = Command::Begin {
        read_only: transaction.read_only,
        after: target.after,
    };
    let known = transaction.group.as_leader(&member);
    let sent = Instant::now();
    let opening = async {
        let put = connection.put_values(&claim.values).await;
        put.map_err(RunError::Before)?;
        connection.run(&begin).await.map_err(RunError::Before)
    };
    let awaited = await_in_time(opening, first.limits.offer).await;
    let answer = match awaited.told(&pool, sent, trace) {
        Ok(answer) => answer,
        Err(missing) => return Attempt::NotRun(missing.reason()),
    };
    note_position(&transaction.group, known.as_ref(), sent, &answer);
    if let Err(refusal) = answer.outcome {
        trace.attempted(&member, refusal_text(&refusal));
        note_refusal(&pool, &refusal, target.after);
        super::write::release(connection, answer.state);
        return judge_refusal(refusal);
    }
    if let Some(leader) = &leader {
        transaction.group.confirm_leader(leader);
    }
    let open = OpenTransaction {
        connection,
        leader,
        wrote: false,
    };
    let Some(work) = first.work else {
        transaction.stage = Stage::Open(open);
        return Attempt::Decided(Ok(Completion::default()));
    };
    first_statement(transaction, open, work, &first, trace).await
}

/// Runs the first statement of a transaction that has just been opened.
async fn first_statement(
    transaction: &mut Transaction,
    mut open: OpenTransaction,
    work: &Work,
    first: &FirstStatement<'_>,
    trace: &mut RequestTrace,
) -> Attempt<Completion> {
    let member = open.connection.pool().member().id.clone();
    let sent = Instant::now();
    let running = open.connection.run_work(&first.request.id, work, None);
    let awaited = await_in_time(running, first.limits.answer).await;
    let answer = match awaited.told(open.connection.pool(), sent, trace) {
        Ok(answer) => answer,
        Err(Unanswered::TimedOut) => {
            return Attempt::Decided(Err(Failure::not_run(FailureReason::TransactionLost)));
        }
        Err(missing) => return Attempt::NotRun(missing.reason()),
    };
    match answer.outcome {
        Ok(signature) => {
            trace.attempted(&member, "completed");
            open.wrote = first.access == Access::Write;
            transaction.stage = Stage::Open(open);
            Attempt::Decided(Ok(Completion {
                rows: answer.rows,
                signature: Some(signature),
            }))
        }
        Err(refusal) => {
            trace.attempted(&member, refusal_text(&refusal));
            open.connection.roll_back();
            judge_refusal(refusal)
        }
    }
}

/// Runs a later statement of an open transaction.
async fn run_at_place(
    transaction: &mut Transaction,
    mut open: OpenTransaction,
    request: &Request,
    access: Access,
    work: &Work,
    trace: &mut RequestTrace,
) -> Result<Completion, Failure> {
    let limits = StatementLimits::new(&transaction.route, request.received);
    let member = open.connection.pool().member().id.clone();
    loop {
        let sent = Instant::now();
        let running = open.connection.run_work(&request.id, work, None);
        let answer = await_in_time(running, limits.answer)
            .await
            .told(open.connection.pool(), sent, trace)
            .map_err(|_| Failure::not_run(FailureReason::TransactionLost))?;
        match answer.outcome {
            Ok(signature) => {
                trace.attempted(&member, "completed");
                open.wrote |= access == Access::Write;
                transaction.stage = Stage::Open(open);
                return Ok(Completion {
                    rows: answer.rows,
                    signature: Some(signature),
                });
            }
            Err(refusal) => {
                trace.attempted(&member, refusal_text(&refusal));
                let still_open = answer.state == TransactionState::Open;
                let time_left = Instant::now() + RETRY_PAUSE < limits.offer;
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
    limits: StatementLimits,
) -> Awaited<Result<Answer, RunError>> {
    let commit = Command::Commit { id: id.clone() };
    let leader = open.leader.clone().filter(|_| open.wrote);
    let connection = &mut open.connection;
    let running = async {
        loop {
            let answer = connection.run(&commit).await.map_err(RunError::After)?;
            let busy = matches!(&answer.outcome, Err(r) if r.kind == RefusalKind::Busy);
            let time_left = Instant::now() + RETRY_PAUSE < limits.offer;
            if !(busy && time_left && answer.state == TransactionState::Open) {
                return Ok(answer);
            }
            sleep(RETRY_PAUSE).await;
        }
    };
    match leader {
        Some(leader) => await_answer(running, &transaction.group, &leader, limits.answer).await,
        None => await_in_time(running, limits.answer).await,
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
