//! The other side of a link: answers what its process asks, and runs what it forwards.

use crate::engine::{Engine, StopPhase};
use crate::events::{Event, millis};
use crate::following;
use crate::group::Group;
use crate::home::unit::Unit;
use crate::leadership::access::renew_evidence;
use crate::leadership::freshness;
use crate::leadership::term_confirmation;
use crate::link::frame::{
    FromHome, HomeOutcome, RequiredFreshness, RunRequest, ToHome, UnitId, decode, encode,
    encode_in_parts,
};
use crate::names::{GroupName, MemberId, RequestId};
use crate::peers::group_snapshots;
use crate::ports::{GroupSnapshot, PeerLink};
use crate::rate::counter::PermitReply;
use crate::statement::TransactionState;
use bytes::Bytes;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Commands of one unit that may wait: each is answered before the next comes.
const UNIT_QUEUE_CAPACITY: usize = 4;
/// Silence after which the other side of a link counts as gone.
const LINK_TIMEOUT: Duration = Duration::from_secs(60);
/// Age of evidence that is told as it is; older evidence is renewed first.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(280);
/// Age of the moment that a position covers which is told as it is.
const MAX_POSITION_AGE: Duration = Duration::from_millis(800);
/// Longest time for which a question for news waits.
const MAX_NEWS_WAIT: Duration = Duration::from_secs(10);
/// Longest wait for something more recent.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after which a forwarded statement counts as late here.
const LATE_THRESHOLD: Duration = Duration::from_millis(200);

/// A forwarded statement, as events tell of it.
struct ForwardedCommand {
    id: Option<RequestId>,
    member: MemberId,
}

impl ForwardedCommand {
    fn new(request: &RunRequest) -> Self {
        Self {
            id: request.command.id().cloned(),
            member: request.member.clone(),
        }
    }
}

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
            task.send(&FromHome::Leaving).await;
        }
        let frame = tokio::select! {
            frame = timeout(LINK_TIMEOUT, rx.recv()) => frame,
            Ok(()) = stop.changed() => continue,
        };
        let Ok(Some(frame)) = frame else { return };
        match decode::<ToHome>(&frame) {
            Some(ToHome::Run(request)) => {
                units.retain(|_, unit| !unit.is_closed());
                task.dispatch(&mut units, *request);
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
                    let beliefs = task.group_snapshots(group, wanted).await;
                    task.send(&FromHome::Beliefs { exchange, beliefs }).await;
                });
            }
            Some(ToHome::Follow {
                exchange,
                known,
                wait,
            }) => {
                let task = task.clone();
                tokio::spawn(async move {
                    let wait = wait.min(MAX_NEWS_WAIT);
                    let news = Box::new(following::updates_since(&task.engine, known, wait).await);
                    let answer = FromHome::News { exchange, news };
                    for part in encode_in_parts(exchange, &answer) {
                        if task.tx.send(part).await.is_err() {
                            return;
                        }
                    }
                });
            }
            Some(ToHome::Draw {
                exchange,
                shard,
                tenant,
                takes,
            }) => {
                let counters = task.engine.counters();
                let drawn = match takes {
                    true => counters.acquire(&task.engine, shard, &tenant),
                    false => counters.status(shard),
                };
                if drawn == PermitReply::NotCounted {
                    counters.request_counter(shard);
                }
                task.send(&FromHome::Drawn { exchange, drawn }).await;
            }
            Some(ToHome::Want(shard)) => task.engine.counters().request_counter(shard),
            Some(ToHome::CounterLease { shard, record }) => {
                task.engine.counters().note_announced(shard, *record);
            }
            Some(ToHome::PromotionLease(record)) => {
                task.engine
                    .announced_promotion_lease()
                    .send_replace(Some(*record));
            }
            Some(ToHome::AskNewestTerm { exchange }) => {
                let version = term_confirmation::newest_term(&task.engine);
                task.send(&FromHome::NewestTerm { exchange, version }).await;
            }
            Some(ToHome::Ping) => task.send(&FromHome::Pong).await,
            None => {
                log::warn!("a process said what makes no sense; its link is closed");
                return;
            }
        }
    }
}

impl LinkTask {
    async fn send(&self, frame: &FromHome) {
        // Where the link has ended there is nobody to tell.
        let _ = self.tx.send(encode(frame)).await;
    }

    /// Writes what became of a forwarded statement where that explains a failure.
    fn record_outcome(&self, command: &ForwardedCommand, outcome: &HomeOutcome, began: Instant) {
        let elapsed = began.elapsed();
        let (result, reason) = match outcome {
            HomeOutcome::Answered(_) if elapsed < LATE_THRESHOLD => return,
            HomeOutcome::Answered(_) => ("late", String::new()),
            HomeOutcome::NotSent(reason) => ("not_sent", format!("{reason:?}")),
            HomeOutcome::Lost(reason) => ("lost", reason.clone()),
        };
        let Some(id) = command.id.clone() else { return };
        self.engine.events().write(&Event::Forwarded {
            id,
            member: command.member.clone(),
            result,
            reason,
            elapsed_ms: millis(elapsed),
        });
    }

    /// Gives a command to its unit's task; a new unit gets one.
    fn dispatch(&self, units: &mut HashMap<UnitId, mpsc::Sender<RunRequest>>, request: RunRequest) {
        if let Some(unit) = units.get(&request.unit) {
            // A unit has one command at a time: its queue has room.
            let _ = unit.try_send(request);
            return;
        }
        let (tx, rx) = mpsc::channel(UNIT_QUEUE_CAPACITY);
        units.insert(request.unit, tx);
        let task = self.clone();
        tokio::spawn(async move { task.run_unit(request, rx).await });
    }

    /// Runs a unit from its first command to its end on one connection.
    async fn run_unit(&self, first: RunRequest, mut rx: mpsc::Receiver<RunRequest>) {
        metrics::counter!("stilequay_home_units_total").increment(1);
        let exchange = first.exchange;
        let began = Instant::now();
        let command = ForwardedCommand::new(&first);
        let acquired = tokio::select! {
            acquired = Unit::open(&self.engine, &first) => acquired,
            // Nobody waits any more.
            None = rx.recv() => return,
        };
        let mut unit = match acquired {
            Ok(unit) => unit,
            Err(reason) => {
                let outcome = HomeOutcome::NotSent(reason);
                self.record_outcome(&command, &outcome, began);
                self.send(&FromHome::Ran { exchange, outcome }).await;
                return;
            }
        };
        let mut request = first;
        loop {
            let exchange = request.exchange;
            let (command, began) = (ForwardedCommand::new(&request), Instant::now());
            let Some(outcome) = unit.run_unless_abandoned(request, &mut rx).await else {
                return;
            };
            self.record_outcome(&command, &outcome, began);
            let is_open = matches!(
                &outcome,
                HomeOutcome::Answered(answer) if answer.state != TransactionState::Idle
            );
            if !is_open {
                // Another unit may have the connection before the answer is read.
                drop(unit);
                self.send(&FromHome::Ran { exchange, outcome }).await;
                return;
            }
            self.send(&FromHome::Ran { exchange, outcome }).await;
            let Some(next) = rx.recv().await else {
                unit.roll_back();
                return;
            };
            request = next;
        }
    }

    /// What this process believes of `group`, after a look at what is wanted.
    async fn group_snapshots(
        &self,
        group: GroupName,
        wanted: RequiredFreshness,
    ) -> Vec<GroupSnapshot> {
        if !self.engine.directory().has_group(&group) {
            return Vec::new();
        }
        let state = self.engine.group(&group);
        // What can't be renewed in time is told as it is.
        let _ = timeout(RENEWAL_TIMEOUT, self.renew(&state, wanted)).await;
        group_snapshots(&self.engine, &[group])
    }

    async fn renew(&self, group: &Group, wanted: RequiredFreshness) {
        let now = Instant::now();
        let is_recent = |at: Option<Instant>, age| at.is_some_and(|at| now < at + age);
        if !is_recent(group.evidence(), MAX_EVIDENCE_AGE) {
            match wanted {
                RequiredFreshness::StoreEvidence => {
                    if !term_confirmation::renew(&self.engine, group).await {
                        // A failure is told by the task that follows the records.
                        let _ = self.engine.terms().refresh(&self.engine, group, now).await;
                    }
                }
                RequiredFreshness::Evidence | RequiredFreshness::Position => {
                    renew_evidence(&self.engine, group).await
                }
            }
        }
        let covered = group.newest_sample().map(|sample| sample.at);
        if wanted == RequiredFreshness::Position && !is_recent(covered, MAX_POSITION_AGE) {
            freshness::ask_leader(&self.engine, group).await;
        }
    }
}
