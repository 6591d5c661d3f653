//! A home's side of a link: runs what other processes forward.

use super::following;
use super::frame::{
    FromHome, HomeCommand, HomeOutcome, NotSent, RunRequest, ToHome, UnitId, Wanted, decode, encode,
};
use crate::directory::Member;
use crate::engine::{Engine, StopPhase};
use crate::group::{Group, UsableLeader};
use crate::leadership::access::renew_evidence;
use crate::leadership::freshness;
use crate::names::GroupName;
use crate::peers::beliefs;
use crate::pool::{AcquireError, Claim, MemberPool, PooledConnection, RunError, Work};
use crate::ports::{Answer, Command, PeerLink};
use crate::routing::is_past_use;
use crate::statement::{Access, TransactionState};
use bytes::Bytes;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// Commands of one unit that may wait: each is answered before the next comes.
const UNIT_QUEUE: usize = 4;
/// How long a command goes on for which nobody waits any more: most are answered soon, and
/// the connection stays good.
const ABANDONED_WAIT: Duration = Duration::from_millis(400);
/// Silence after which the other side of a link counts as gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(60);
/// Age of evidence that is told as it is; older evidence is renewed first.
const EVIDENCE_AGE: Duration = Duration::from_millis(280);
/// Age of the moment that a position covers which is told as it is.
const POSITION_AGE: Duration = Duration::from_millis(800);
/// Longest time for which a question for news waits.
const NEWS_WAIT_MAX: Duration = Duration::from_secs(10);
/// Longest wait for something more recent.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(60);

/// What the tasks of one link share.
#[derive(Debug, Clone)]
struct LinkTask {
    engine: Arc<Engine>,
    tx: mpsc::Sender<Bytes>,
}

/// Serves one link until it ends.
pub async fn serve(engine: Arc<Engine>, link: PeerLink) {
    let PeerLink { tx, mut rx } = link;
    let task = LinkTask { engine, tx };
    let mut units: HashMap<UnitId, mpsc::Sender<RunRequest>> = HashMap::new();
    let mut stop = task.engine.subscribe_stop();
    let mut leaving = false;
    loop {
        if !leaving && *stop.borrow_and_update() > StopPhase::Serving {
            leaving = true;
            task.tell(&FromHome::Leaving).await;
        }
        let frame = tokio::select! {
            frame = timeout(SILENCE_LIMIT, rx.recv()) => frame,
            Ok(()) = stop.changed() => continue,
        };
        let Ok(Some(frame)) = frame else { return };
        match decode::<ToHome>(&frame) {
            Some(ToHome::Run(request)) => {
                units.retain(|_, unit| !unit.is_closed());
                task.hand_over(&mut units, *request);
            }
            Some(ToHome::Close(unit)) => {
                units.remove(&unit);
            }
            Some(ToHome::Ask {
                exchange,
                group,
                wanted,
            }) => {
                let task = task.clone();
                tokio::spawn(async move {
                    let beliefs = task.believe(group, wanted).await;
                    task.tell(&FromHome::Beliefs { exchange, beliefs }).await;
                });
            }
            Some(ToHome::Follow {
                exchange,
                known,
                wait,
            }) => {
                let task = task.clone();
                tokio::spawn(async move {
                    let wait = wait.min(NEWS_WAIT_MAX);
                    let news = Box::new(following::news(&task.engine, known, wait).await);
                    task.tell(&FromHome::News { exchange, news }).await;
                });
            }
            Some(ToHome::Ping) => task.tell(&FromHome::Pong).await,
            None => {
                log::warn!("a process said what makes no sense; its link is closed");
                return;
            }
        }
    }
}

impl LinkTask {
    async fn tell(&self, frame: &FromHome) {
        // Where the link has ended there is nobody to tell.
        let _ = self.tx.send(encode(frame)).await;
    }

    /// Gives a command to its unit's task; a new unit gets one.
    fn hand_over(
        &self,
        units: &mut HashMap<UnitId, mpsc::Sender<RunRequest>>,
        request: RunRequest,
    ) {
        if let Some(unit) = units.get(&request.unit) {
            // A unit has one command at a time: its queue has room.
            let _ = unit.try_send(request);
            return;
        }
        let (tx, rx) = mpsc::channel(UNIT_QUEUE);
        units.insert(request.unit, tx);
        let task = self.clone();
        tokio::spawn(async move { task.run_unit(request, rx).await });
    }

    /// Runs a unit from its first command to its end on one connection.
    async fn run_unit(&self, first: RunRequest, mut rx: mpsc::Receiver<RunRequest>) {
        metrics::counter!("stilequay_home_units_total").increment(1);
        let exchange = first.exchange;
        let acquired = tokio::select! {
            acquired = self.acquire(&first) => acquired,
            // Nobody waits any more.
            None = rx.recv() => return,
        };
        let mut unit = match acquired {
            Ok(unit) => unit,
            Err(reason) => {
                let outcome = HomeOutcome::NotSent(reason);
                self.tell(&FromHome::Ran { exchange, outcome }).await;
                return;
            }
        };
        let mut request = first;
        loop {
            let exchange = request.exchange;
            let Some(outcome) = unit.run_for(request, &mut rx).await else {
                return;
            };
            let goes_on = matches!(
                &outcome,
                HomeOutcome::Answered(answer) if answer.state != TransactionState::Idle
            );
            if !goes_on {
                // Another unit may have the connection before the answer is read.
                drop(unit);
                self.tell(&FromHome::Ran { exchange, outcome }).await;
                return;
            }
            self.tell(&FromHome::Ran { exchange, outcome }).await;
            let Some(next) = rx.recv().await else {
                unit.connection.roll_back();
                return;
            };
            request = next;
        }
    }

    /// A connection for a unit that begins with `request`.
    async fn acquire(&self, request: &RunRequest) -> Result<Unit, NotSent> {
        let now = Instant::now();
        let pool = self.usable_pool(&request.member, now)?;
        let group = self.engine.group(&pool.member().group);
        let claim = Claim {
            database: request.database.clone(),
            rank: request.rank,
            values: Arc::new(request.values.clone()),
            patience: request.patience,
        };
        let acquired = pool.acquire(&claim, now + request.wait).await;
        let connection = acquired.map_err(|error| match error {
            AcquireError::Exhausted => NotSent::Exhausted,
            AcquireError::Shed(retry_after) => NotSent::Shed { retry_after },
            error => NotSent::Unreachable(error.to_string()),
        })?;
        Ok(Unit {
            replicated: self.engine.sync_replicas(group.name()) > 0,
            group,
            pool,
            connection,
            wrote: false,
            has_begun: false,
        })
    }

    fn usable_pool(&self, member: &str, now: Instant) -> Result<Arc<MemberPool>, NotSent> {
        let directory = self.engine.directory();
        let known = directory.member(member);
        let unknown = || NotSent::Unreachable("the member is not known here".to_owned());
        let member: &Arc<Member> = known.ok_or_else(unknown)?;
        if is_past_use(&self.engine, member.state, now) {
            return Err(NotSent::Unreachable("the member is leaving".to_owned()));
        }
        Ok(self.engine.pool(member))
    }

    /// What this process believes of `group`, after a look at what is wanted.
    async fn believe(&self, group: GroupName, wanted: Wanted) -> Vec<crate::ports::GroupBelief> {
        if !self.engine.directory().groups().contains(&group) {
            return Vec::new();
        }
        let known = self.engine.group(&group);
        // What can't be renewed in time is told as it is.
        let _ = timeout(RENEWAL_TIMEOUT, self.renew(&known, wanted)).await;
        beliefs(&self.engine, &[group])
    }

    async fn renew(&self, group: &Group, wanted: Wanted) {
        let now = Instant::now();
        let is_recent = |at: Option<Instant>, age| at.is_some_and(|at| now < at + age);
        if !is_recent(group.evidence(), EVIDENCE_AGE) {
            match wanted {
                // A failure is told by the task that follows the records.
                Wanted::StoreEvidence => {
                    let _ = self.engine.terms().refresh(&self.engine, group, now).await;
                }
                Wanted::Evidence | Wanted::Position => renew_evidence(&self.engine, group).await,
            }
        }
        let covered = group.newest_covering().map(|sample| sample.at);
        if wanted == Wanted::Position && !is_recent(covered, POSITION_AGE) {
            freshness::ask_leader(&self.engine, group).await;
        }
    }
}

/// A unit on its connection.
struct Unit {
    group: Arc<Group>,
    pool: Arc<MemberPool>,
    connection: PooledConnection,
    replicated: bool,
    wrote: bool,
    has_begun: bool,
}

impl Unit {
    /// Runs a command; for a moment only where nobody waits for it any more. `None` where
    /// it was given up.
    async fn run_for(
        &mut self,
        request: RunRequest,
        rx: &mut mpsc::Receiver<RunRequest>,
    ) -> Option<HomeOutcome> {
        let mut running = std::pin::pin!(self.run(request));
        tokio::select! {
            outcome = &mut running => return Some(outcome),
            None = rx.recv() => {}
        }
        tokio::select! {
            outcome = &mut running => Some(outcome),
            () = sleep(ABANDONED_WAIT) => None,
        }
    }

    async fn run(&mut self, request: RunRequest) -> HomeOutcome {
        let values = Arc::new(request.values);
        if let Err(error) = self.connection.put_values(&values).await {
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
            Err(RunError::Before(error)) => self.failed_before(error.to_string()),
            Err(RunError::After(error)) => HomeOutcome::Lost(error.to_string()),
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

    async fn run_command(&mut self, command: HomeCommand) -> Result<Answer, RunError> {
        let connection = &mut self.connection;
        let after_sent = RunError::After;
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
                let work = Work::Text { text, access };
                connection.run_work(&id, &work, after).await
            }
            HomeCommand::Execute {
                id,
                prepared,
                arguments,
                after,
            } => {
                self.wrote |= prepared.access == Access::Write;
                let work = Work::Prepared {
                    prepared,
                    arguments,
                };
                connection.run_work(&id, &work, after).await
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
