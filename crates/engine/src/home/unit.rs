//! A unit at a home: a single statement, or a transaction, on one of the connections that
//! the home holds.

use crate::directory::Member;
use crate::engine::Engine;
use crate::evacuation::MayNotSend;
use crate::group::{Group, UsableLeader};
use crate::link::frame::{HomeCommand, HomeOutcome, NotSent, RunRequest};
use crate::pool::{
    AcquireError, AcquireRequest, MemberPool, PooledConnection, RunError, SessionStatement,
};
use crate::ports::{Answer, Command, Refusal, RefusalKind};
use crate::routing::is_past_use;
use crate::statement::{Access, TransactionState};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// How long a command goes on for which nobody waits any more: most are answered soon, and
/// the connection stays good.
const ABANDONED_WAIT: Duration = Duration::from_millis(400);

/// The code of what is not sent any more, in events.
const HELD_BACK_CODE: &[u8] = b"HOME_MAY_NOT_SEND";

/// A unit on its connection.
#[derive(Debug)]
pub struct Unit {
    group: Arc<Group>,
    pool: Arc<MemberPool>,
    connection: PooledConnection,
    replicated: bool,
    wrote: bool,
    has_begun: bool,
}

impl Unit {
    /// Waits for the turn of the unit that begins with `request`.
    ///
    /// # Errors
    ///
    /// [`NotSent`] where there is no connection in time.
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
        // They may have changed while the unit waited.
        check_regions(engine, request, &pool)?;
        Ok(Self {
            replicated: engine.sync_replicas(group.name()) > 0,
            group,
            pool,
            connection,
            wrote: false,
            has_begun: false,
        })
    }

    /// Ends it where nobody waits for it any more.
    pub fn roll_back(self) {
        self.connection.roll_back();
    }

    /// Runs a command; for a moment only where nobody waits for it any more. `None` where
    /// it was given up.
    pub async fn run_for(
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
            () = sleep(ABANDONED_WAIT) => {
                pool.record_timeout(sent);
                None
            }
        }
    }

    async fn run(&mut self, request: RunRequest) -> HomeOutcome {
        if let Err(reason) = self.pool.check_sending() {
            return self.held_back(reason);
        }
        let values = Arc::new(request.values);
        if let Err(error) = self.connection.apply_values(&values).await {
            return self.failed_before(error.to_string());
        }
        let leader = self.group.as_leader(&self.pool.member().id);
        let sent = Instant::now();
        let commits = self.is_commit(&request.command);
        if commits && leader.is_some() {
            self.group.record_commit_sent(sent);
        }
        match self.run_command(request.command).await {
            Ok(answer) => {
                self.has_begun = true;
                self.learn(leader.as_ref(), sent, commits, &answer);
                HomeOutcome::Answered(answer)
            }
            Err(RunError::BeforeSend(error)) => self.failed_before(error.to_string()),
            Err(RunError::AfterSend(error)) => HomeOutcome::Lost(error.to_string()),
        }
    }

    /// The connection failed before a command was sent on it. In a transaction, what was
    /// done before is lost with it.
    fn failed_before(&self, reason: String) -> HomeOutcome {
        match self.has_begun {
            true => HomeOutcome::Lost(reason),
            false => HomeOutcome::NotSent(NotSent::Unreachable(reason)),
        }
    }

    /// Nothing is sent any more. What was done in a transaction goes with its connection: the
    /// caller's next command, a commit too, is refused as one that the member has not run.
    fn held_back(&self, reason: MayNotSend) -> HomeOutcome {
        if !self.has_begun {
            return HomeOutcome::NotSent(NotSent::MayNotSend(reason.to_string()));
        }
        HomeOutcome::Answered(Answer {
            rows: Vec::new(),
            outcome: Err(Refusal {
                kind: RefusalKind::Unreachable,
                code: Bytes::from_static(HELD_BACK_CODE),
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

    /// Takes what an answer tells of the leader: the evidence of the whole fleet's commits
    /// comes together here.
    fn learn(&self, leader: Option<&UsableLeader>, sent: Instant, commits: bool, answer: &Answer) {
        let Some(leader) = leader else { return };
        if commits && answer.outcome.is_ok() {
            self.group
                .record_commit(leader, sent, answer.position, self.replicated);
        } else if let Some(position) = answer.position {
            self.group.record_leader_position(leader, sent, position);
        }
    }
}

/// Looks whether the home regions that this process knows of allow the member. Whoever has
/// sent `request` has chosen it by its own knowledge, which may be older.
fn check_regions(engine: &Engine, request: &RunRequest, pool: &MemberPool) -> Result<(), NotSent> {
    let residency = engine.residency(&request.database, request.tenant.as_ref());
    let topology = &engine.settings().topology;
    let passes_here = residency.allows(topology.region().map(AsRef::as_ref));
    let member = residency.admit(topology, pool.member());
    let member = member.filter(|_| passes_here);
    member.map(|_| ()).ok_or(NotSent::OutsideRegions)
}

/// Whether another member may run what begins with `command`: a read that asks for a position
/// is not bound to the leader. It had better go there than wait for a cold member.
fn may_run_elsewhere(command: &HomeCommand) -> bool {
    match command {
        HomeCommand::Begin { read_only, after } => *read_only && after.is_some(),
        HomeCommand::Run { after, .. } | HomeCommand::Execute { after, .. } => after.is_some(),
        HomeCommand::Commit { .. } | HomeCommand::Rollback => false,
    }
}

fn usable_pool(engine: &Engine, member: &str, now: Instant) -> Result<Arc<MemberPool>, NotSent> {
    // Without a configuration it knows neither home regions nor cold members.
    if engine.configuration().is_none() {
        return Err(NotSent::UnknownMember);
    }
    let directory = engine.directory();
    let known = directory.member(member);
    let unknown = || NotSent::UnknownMember;
    let member: &Arc<Member> = known.ok_or_else(unknown)?;
    if is_past_use(engine, member.state, now) {
        return Err(NotSent::Unreachable("the member is leaving".to_owned()));
    }
    Ok(engine.pool(member))
}
