//! The serving side of a link between processes: answers the queries of the peer and runs the
//! statements that it forwards.

use crate::decoding::{UndecodableKind, report_undecodable};
use crate::engine::{Engine, StopPhase};
use crate::events::{Event, millis};
use crate::following;
use crate::group::Group;
use crate::home::unit::Unit;
use crate::leadership::access::renew_evidence;
use crate::leadership::freshness;
use crate::leadership::lease_records;
use crate::leadership::member_evidence;
use crate::leadership::term_confirmation;
use crate::link::frame::{
    FromHome, HomeOutcome, RequiredFreshness, RunRequest, ToHome, UnitId, decode_frame, encode,
    encode_in_parts,
};
use crate::names::{GroupName, MemberId, RequestId};
use crate::peers::group_snapshots;
use crate::ports::{GroupSnapshot, PeerLink};
use crate::rate::counter::PermitReply;
use crate::statement::TransactionState;
use bytes::Bytes;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Queue capacity for the commands of one unit. Each command is answered before the peer sends
/// the next.
const UNIT_QUEUE_CAPACITY: usize = 4;
/// Time without a frame after which the peer of a link is considered dead.
const LINK_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum age of leadership evidence that is reported as it is; older evidence is renewed first.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(280);
/// Maximum age of the moment covered by a log position that is reported as it is; for an older one
/// the leader is asked first.
const MAX_POSITION_AGE: Duration = Duration::from_millis(800);
/// Maximum time for which a long poll for updates is held.
const MAX_UPDATE_WAIT: Duration = Duration::from_secs(10);
/// Maximum wait for the renewal of outdated information.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after which this process considers a forwarded statement late.
const LATE_THRESHOLD: Duration = Duration::from_millis(200);

/// The fields of a forwarded statement that events include.
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

/// State shared by the tasks of one link.
#[derive(Debug, Clone)]
struct LinkTask {
    engine: Arc<Engine>,
    tx: mpsc::Sender<Bytes>,
}

/// Serves one link of a peer whose address is unknown until it is closed.
pub async fn serve(engine: Arc<Engine>, link: PeerLink) {
    serve_peer(engine, link, None).await;
}

/// Serves one link until it is closed. `peer` is the address from which the peer has connected.
pub async fn serve_peer(engine: Arc<Engine>, link: PeerLink, peer: Option<SocketAddr>) {
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
        match decode_frame::<ToHome>(&frame) {
            Ok(ToHome::Run(request)) => {
                units.retain(|_, unit| !unit.is_closed());
                task.dispatch(&mut units, *request);
            }
            Ok(ToHome::Close(unit)) => {
                units.remove(&unit);
            }
            Ok(ToHome::Ask {
                exchange,
                group,
                wanted,
            }) => {
                let task = task.clone();
                tokio::spawn(async move {
                    let beliefs = task.renewed_snapshots(group, wanted).await;
                    task.send(&FromHome::Beliefs { exchange, beliefs }).await;
                });
            }
            Ok(ToHome::Follow {
                exchange,
                known,
                wait,
            }) => {
                let task = task.clone();
                tokio::spawn(async move {
                    let wait = wait.min(MAX_UPDATE_WAIT);
                    let news = Box::new(following::updates_since(&task.engine, known, wait).await);
                    let answer = FromHome::News { exchange, news };
                    for part in encode_in_parts(exchange, &answer) {
                        if task.tx.send(part).await.is_err() {
                            return;
                        }
                    }
                });
            }
            Ok(ToHome::Draw {
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
            Ok(ToHome::Want(shard)) => task.engine.counters().request_counter(shard),
            Ok(ToHome::CounterLease { shard, record }) => {
                let record = lease_records::with_limited_durations(*record);
                task.engine.counters().record_announced(shard, record);
            }
            Ok(ToHome::PromotionLease(record)) => {
                let record = lease_records::with_limited_durations(*record);
                let announced = task.engine.announced_promotion_lease();
                announced.send_replace(Some(record));
            }
            Ok(ToHome::AskNewestTerm { exchange }) => {
                let version = term_confirmation::newest_term(&task.engine);
                task.send(&FromHome::NewestTerm { exchange, version }).await;
            }
            Ok(ToHome::Ping) => task.send(&FromHome::Pong).await,
            Err(error) => {
                let from = peer.map_or_else(|| "unknown".to_owned(), |peer| peer.to_string());
                let (events, kind) = (task.engine.events(), UndecodableKind::LinkRequest);
                report_undecodable(events, kind, from, Some(&frame), &error);
                return;
            }
        }
    }
}

impl LinkTask {
    async fn send(&self, frame: &FromHome) {
        // Fails only if the link is closed, in which case the frame has no receiver.
        let _ = self.tx.send(encode(frame)).await;
    }

    /// Writes an event for a forwarded statement that was late, not sent or lost, to explain a
    /// failure that the caller may see.
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

    /// Dispatches a command to the task of its unit; spawns the task for a new unit.
    fn dispatch(&self, units: &mut HashMap<UnitId, mpsc::Sender<RunRequest>>, request: RunRequest) {
        if let Some(unit) = units.get(&request.unit) {
            // A unit has at most one command in progress, so its queue has room.
            let _ = unit.try_send(request);
            return;
        }
        let (tx, rx) = mpsc::channel(UNIT_QUEUE_CAPACITY);
        units.insert(request.unit, tx);
        let task = self.clone();
        tokio::spawn(async move { task.run_unit(request, rx).await });
    }

    /// Runs all commands of a unit, from the first to the last, on one connection.
    async fn run_unit(&self, first: RunRequest, mut rx: mpsc::Receiver<RunRequest>) {
        metrics::counter!("stilequay_home_units_total").increment(1);
        let exchange = first.exchange;
        let began = Instant::now();
        let command = ForwardedCommand::new(&first);
        let acquired = tokio::select! {
            acquired = Unit::open(&self.engine, &first) => acquired,
            // The peer has closed the unit and no longer waits for the answer.
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
                // Releases the connection to other units before the peer reads the answer.
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

    /// Returns what this process knows of `group`, after renewing the information that `wanted`
    /// asks for.
    async fn renewed_snapshots(
        &self,
        group: GroupName,
        wanted: RequiredFreshness,
    ) -> Vec<GroupSnapshot> {
        if !self.engine.directory().has_group(&group) {
            return Vec::new();
        }
        let state = self.engine.group(&group);
        // Information that cannot be renewed in time is reported as it is.
        let _ = timeout(RENEWAL_TIMEOUT, self.renew(&state, wanted)).await;
        group_snapshots(&self.engine, &[group])
    }

    /// Renews the evidence on behalf of the processes whose statements for the leader run here. It
    /// asks no other home, which could ask this one in turn.
    async fn renew_as_home(&self, group: &Group) {
        renew_evidence(&self.engine, group).await;
        let leader = group.view().leader;
        let Some(leader) = leader.and_then(|leader| group.as_leader(&leader)) else {
            return;
        };
        if !group.is_leased_by(&leader, Instant::now()) {
            member_evidence::renew(&self.engine, group, &leader).await;
        }
    }

    async fn renew(&self, group: &Group, wanted: RequiredFreshness) {
        let now = Instant::now();
        let is_recent = |at: Option<Instant>, age| at.is_some_and(|at| now < at + age);
        if !is_recent(group.evidence(), MAX_EVIDENCE_AGE) {
            match wanted {
                RequiredFreshness::StoreEvidence => {
                    if !term_confirmation::renew(&self.engine, group).await {
                        // Failures are reported by the task that watches the records.
                        let _ = self.engine.terms().refresh(&self.engine, group, now).await;
                    }
                }
                RequiredFreshness::Evidence | RequiredFreshness::Position => {
                    self.renew_as_home(group).await;
                }
            }
        }
        let covered = group.newest_sample().map(|sample| sample.at);
        if wanted == RequiredFreshness::Position && !is_recent(covered, MAX_POSITION_AGE) {
            freshness::ask_leader(&self.engine, group).await;
        }
    }
}
