//! Units that a home runs for other processes: a single statement or a transaction on one of the
//! connections that the home holds.

use crate::directory::Member;
use crate::engine::Engine;
use crate::evacuation::MayNotSend;
use crate::group::{Group, UsableLeader};
use crate::link::frame::{HomeCommand, HomeOutcome, NotSent, RunRequest};
use crate::pool::{
    AcquireError, AcquireRequest, MemberPool, PooledConnection, RunError, SessionStatement,
};
use crate::ports::{Answer, Command, Refusal, RefusalKind};
use crate::routing::is_use_expired;
use crate::statement::{Access, TransactionState};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// How long a command continues to run after its requester has stopped waiting. Most are answered
/// within this time, and the connection can be reused.
const ABANDONED_TIMEOUT: Duration = Duration::from_millis(400);

/// Error code, used in events, of commands that may not be sent to an evacuated zone.
const MAY_NOT_SEND_CODE: &[u8] = b"HOME_MAY_NOT_SEND";

/// A unit and the connection it runs on.
#[derive(Debug)]
pub struct Unit {
    group: Arc<Group>,
    pool: Arc<MemberPool>,
    connection: PooledConnection,
    wrote: bool,
    has_begun: bool,
}

impl Unit {
    /// Waits for a connection for the unit that begins with `request`.
    ///
    /// # Errors
    ///
    /// Returns [`NotSent`] if no connection can be acquired in time.
    pub async fn open(engine: &Engine, request: &RunRequest) -> Result<Self, NotSent> {
        let now = Instant::now();
        let pool = usable_pool(engine, &request.member, now)?;
        check_regions(engine, request, &pool)?;
        let group = engine.group(&pool.member().group);
        let acquire_request = AcquireRequest {
            database: request.database.clone(),
            tenant: request.tenant.clone(),
            rank: request.rank,
            values: Arc::new(request.values.clone()),
            patience: request.patience,
        };
        let until = now + request.wait;
        let paced_until = match may_run_elsewhere(&request.command) {
            true => now,
            false => until,
        };
        let acquired = pool
            .acquire_paced(&acquire_request, until, paced_until)
            .await;
        let connection = acquired.map_err(|error| match error {
            AcquireError::Exhausted => NotSent::Exhausted,
            AcquireError::Shed(retry_after) => NotSent::Shed { retry_after },
            AcquireError::MayNotSend(reason) => NotSent::MayNotSend(reason.to_string()),
            AcquireError::SlowStart(retry_after) => NotSent::SlowStart { retry_after },
            error => NotSent::Unreachable(error.to_string()),
        })?;
        // The home regions may have changed while the unit waited.
        check_regions(engine, request, &pool)?;
        Ok(Self {
            group,
            pool,
            connection,
            wrote: false,
            has_begun: false,
        })
    }

    /// Rolls the unit back after its requester has stopped waiting for it.
    pub fn roll_back(self) {
        self.connection.roll_back();
    }

    /// Runs a command. Once the requester stops waiting for it, the command is given only a short
    /// time to finish; `None` if it did not.
    pub async fn run_unless_abandoned(
        &mut self,
        request: RunRequest,
        rx: &mut mpsc::Receiver<RunRequest>,
    ) -> Option<HomeOutcome> {
        let pool = Arc::clone(&self.pool);
        let sent = Instant::now();
        let mut running = std::pin::pin!(self.run(request));
        tokio::select! {
            outcome = &mut running => return Some(outcome),
            None = rx.recv() => {}
        }
        tokio::select! {
            outcome = &mut running => Some(outcome),
            () = sleep(ABANDONED_TIMEOUT) => {
                pool.record_timeout(sent);
                None
            }
        }
    }

    async fn run(&mut self, request: RunRequest) -> HomeOutcome {
        if let Err(reason) = self.pool.check_sending() {
            return self.sending_refused(reason);
        }
        let values = Arc::new(request.values);
        if let Err(error) = self.connection.apply_values(&values).await {
            return self.failed_before(error.to_string());
        }
        let leader = self.group.as_leader(&self.pool.member().id);
        let sent = Instant::now();
        let is_commit = self.is_commit(&request.command);
        if is_commit && leader.is_some() {
            self.group.record_commit_sent(sent);
        }
        match self.run_command(request.command).await {
            Ok(answer) => {
                self.has_begun = true;
                self.record_evidence(leader.as_ref(), sent, is_commit, &answer);
                HomeOutcome::Answered(answer)
            }
            Err(RunError::BeforeSend(error)) => self.failed_before(error.to_string()),
            Err(RunError::AfterSend(error)) => HomeOutcome::Lost(error.to_string()),
        }
    }

    /// Returns the outcome of a command whose connection failed before it was sent. An open
    /// transaction is lost with the connection.
    fn failed_before(&self, reason: String) -> HomeOutcome {
        match self.has_begun {
            true => HomeOutcome::Lost(reason),
            false => HomeOutcome::NotSent(NotSent::Unreachable(reason)),
        }
    }

    /// Returns the outcome of a command that may not be sent because of an evacuation. An open
    /// transaction is lost with its connection: the caller's next command, including a commit, is
    /// refused as one that the member has not run.
    fn sending_refused(&self, reason: MayNotSend) -> HomeOutcome {
        if !self.has_begun {
            return HomeOutcome::NotSent(NotSent::MayNotSend(reason.to_string()));
        }
        HomeOutcome::Answered(Answer {
            rows: Vec::new(),
            outcome: Err(Refusal {
                kind: RefusalKind::Unreachable,
                code: Bytes::from_static(MAY_NOT_SEND_CODE),
                text: Bytes::from(reason.to_string()),
            }),
            state: TransactionState::Failed,
            position: None,
        })
    }

    async fn run_command(&mut self, command: HomeCommand) -> Result<Answer, RunError> {
        let connection = &mut self.connection;
        let after_sent = RunError::AfterSend;
        match command {
            HomeCommand::Begin { read_only, after } => {
                let begin = Command::Begin { read_only, after };
                connection.run(&begin).await.map_err(after_sent)
            }
            HomeCommand::Commit { id } => {
                let commit = Command::Commit { id };
                connection.run(&commit).await.map_err(after_sent)
            }
            HomeCommand::Rollback => connection.run(&Command::Rollback).await.map_err(after_sent),
            HomeCommand::Run {
                id,
                text,
                access,
                after,
            } => {
                self.wrote |= access == Access::Write;
                let work = SessionStatement::Text { text, access };
                connection.run_statement(&id, &work, after).await
            }
            HomeCommand::Execute {
                id,
                prepared,
                arguments,
                after,
            } => {
                self.wrote |= prepared.access == Access::Write;
                let work = SessionStatement::Prepared {
                    prepared,
                    arguments,
                };
                connection.run_statement(&id, &work, after).await
            }
        }
    }

    /// Whether the answer to `command` acknowledges a commit that writes.
    fn is_commit(&self, command: &HomeCommand) -> bool {
        match command {
            HomeCommand::Begin { .. } | HomeCommand::Rollback => false,
            HomeCommand::Commit { .. } => self.wrote,
            HomeCommand::Run { access, .. } => !self.has_begun && *access == Access::Write,
            HomeCommand::Execute { prepared, .. } => {
                !self.has_begun && prepared.access == Access::Write
            }
        }
    }

    /// Records what an answer shows about the leader: its log position, and that it is confirmed.
    fn record_evidence(
        &self,
        leader: Option<&UsableLeader>,
        sent: Instant,
        is_commit: bool,
        answer: &Answer,
    ) {
        let Some(leader) = leader else { return };
        if is_commit && answer.outcome.is_ok() {
            self.group.record_commit(leader, sent, answer.position);
        } else if let Some(position) = answer.position {
            self.group.record_leader_position(leader, sent, position);
        }
    }
}

/// Checks whether the home regions known to this process allow the member. The process that sent
/// `request` may have chosen the member by an older configuration.
fn check_regions(engine: &Engine, request: &RunRequest, pool: &MemberPool) -> Result<(), NotSent> {
    let residency = engine.residency(&request.database, request.tenant.as_ref());
    let topology = &engine.settings().topology;
    let passes_here = residency.allows(topology.region().map(AsRef::as_ref));
    let member = residency.admit(topology, pool.member());
    let member = member.filter(|_| passes_here);
    member.map(|_| ()).ok_or(NotSent::OutsideRegions)
}

/// Whether another member may run the unit that begins with `command`. A read that requires a
/// position isn't bound to the leader, so it should use another member rather than wait for a cold
/// one.
fn may_run_elsewhere(command: &HomeCommand) -> bool {
    match command {
        HomeCommand::Begin { read_only, after } => *read_only && after.is_some(),
        HomeCommand::Run { after, .. } | HomeCommand::Execute { after, .. } => after.is_some(),
        HomeCommand::Commit { .. } | HomeCommand::Rollback => false,
    }
}

fn usable_pool(engine: &Engine, member: &str, now: Instant) -> Result<Arc<MemberPool>, NotSent> {
    // Without a configuration, this process knows neither home regions nor cold members.
    if engine.configuration().is_none() {
        return Err(NotSent::UnknownMember);
    }
    let directory = engine.directory();
    let known = directory.member(member);
    let unknown = || NotSent::UnknownMember;
    let member: &Arc<Member> = known.ok_or_else(unknown)?;
    if is_use_expired(engine, member.state, now) {
        return Err(NotSent::Unreachable("the member is leaving".to_owned()));
    }
    Ok(engine.pool(member))
}
