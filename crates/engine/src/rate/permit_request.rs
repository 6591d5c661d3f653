//! Which counters one operation asks, and for how long it waits for each.
//!
//! Load pattern: a third of the fleet is cut off or stands still, and every process has
//! operations under way. None of them may wait for a counter that does not answer while another
//! one would: a late question goes on in a task of its own, and the operation asks the next
//! shard.

use super::counter::{PermitReply, Shard};
use super::permit::Permit;
use super::shard_health::Action;
use crate::engine::Engine;
use crate::names::TenantName;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};

/// Longest wait for one counter's answer: many times what one takes.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);
/// Wait after which the next shard is asked: ten times what an answer takes, and little beside
/// the 150 ms that callers hope for.
const LATE_AFTER: Duration = Duration::from_millis(25);
/// Wait for answers that are late: a silent counter's time, and that of its successor, which is
/// asked after it.
const SUCCESSOR_WAIT: Duration = Duration::from_millis(100);
/// Questions of one operation that may be under way: where this process itself is slow all
/// answers are late, and each question more would make it slower.
const PENDING_REQUESTS_MAX: usize = 4;

/// What all shards together have said.
#[derive(Debug)]
pub(super) enum PermitOutcome {
    Granted(Permit),
    /// Those that could be asked have none left, the first of them for this long.
    Exhausted(Duration),
    /// None could be asked.
    Unknown,
}

/// One answer, and when it was asked for.
struct ShardReply {
    shard: Shard,
    sent_at: Instant,
    reply: PermitReply,
}

/// The questions of one operation.
struct PermitRequests<'a> {
    engine: &'a Arc<Engine>,
    tenant: &'a TenantName,
    /// How long a permit may be used after it was asked for.
    lifetime: Duration,
    /// Until when answers are waited for.
    deadline: Instant,
    pending: FuturesUnordered<oneshot::Receiver<ShardReply>>,
    /// The first shard that was passed by, as another operation waits for its answer.
    skipped: Option<Shard>,
    /// Time until a shard that has none left has the next one.
    shortest_wait: Option<Duration>,
}

/// Asks the counters until `deadline` for a permit that lasts for `lifetime`: those of this
/// process's zone first, and one that is late last.
pub(super) async fn request_permit(
    engine: &Arc<Engine>,
    tenant: &TenantName,
    lifetime: Duration,
    deadline: Instant,
) -> PermitOutcome {
    let mut requests = PermitRequests {
        engine,
        tenant,
        lifetime,
        deadline,
        pending: FuturesUnordered::new(),
        skipped: None,
        shortest_wait: None,
    };
    let granted = requests.request_in_order().await;
    match (granted, requests.shortest_wait) {
        (Some(permit), _) => PermitOutcome::Granted(permit),
        (None, Some(wait)) => PermitOutcome::Exhausted(wait),
        (None, None) => PermitOutcome::Unknown,
    }
}

impl PermitRequests<'_> {
    async fn request_in_order(&mut self) -> Option<Permit> {
        let zone = &self.engine.settings().zone;
        let shards = self.engine.homes().shards_by_distance(zone, self.tenant);
        for shard in shards {
            if let Some(permit) = self.request_or_skip(shard).await {
                return Some(permit);
            }
            let is_enough = self.pending.len() >= PENDING_REQUESTS_MAX;
            if is_enough || Instant::now() >= self.deadline {
                break;
            }
        }
        self.await_late_replies().await
    }

    async fn request_or_skip(&mut self, shard: Shard) -> Option<Permit> {
        let sent_at = Instant::now();
        let refusals = self.engine.refusals();
        if let Some(until) = refusals.exhausted_until(self.tenant, shard, sent_at) {
            self.record_wait(until.duration_since(sent_at));
            return None;
        }
        let counters = self.engine.counters();
        let reply = counters.acquire(self.engine, shard, self.tenant);
        if reply != PermitReply::NotCounted {
            return self.accept(&ShardReply {
                shard,
                sent_at,
                reply,
            });
        }
        match refusals.health.next_action(shard, sent_at) {
            Action::Wait => return self.send_and_wait(shard).await,
            Action::Probe => drop(spawn_request(self.engine, shard, self.tenant)),
            Action::Skip => self.skipped = self.skipped.or(Some(shard)),
            Action::Ignore => {}
        }
        None
    }

    /// Asks `shard`, and waits for any answer.
    async fn send_and_wait(&mut self, shard: Shard) -> Option<Permit> {
        let request = spawn_request(self.engine, shard, self.tenant);
        self.pending.push(request);
        let late_at = Instant::now() + LATE_AFTER;
        let until = self.deadline.min(late_at);
        loop {
            let answer = match timeout_at(until, self.pending.next()).await {
                Ok(answer) => answer,
                Err(_) => self.poll_pending_reply().await,
            };
            let Some(answer) = answer else {
                if Instant::now() >= late_at {
                    self.engine.refusals().health.note_late(shard);
                    metrics::counter!("stilequay_rate_late_answers_total").increment(1);
                }
                return None;
            };
            // A question ends without an answer only where the process stops.
            let Ok(answer) = answer else { return None };
            if let Some(permit) = self.accept(&answer) {
                return Some(permit);
            }
            if answer.shard == shard {
                return None;
            }
        }
    }

    /// An answer that has come in while this process was slow itself.
    async fn poll_pending_reply(
        &mut self,
    ) -> Option<Result<ShardReply, oneshot::error::RecvError>> {
        yield_now().await;
        let at_once = timeout(Duration::ZERO, self.pending.next());
        at_once.await.ok().flatten()
    }

    /// Waits for the answers that are late, which may be those of successors, and asks one shard
    /// more that was late before unless others have said that they have none left.
    async fn await_late_replies(&mut self) -> Option<Permit> {
        let is_exhausted = self.shortest_wait.is_some();
        let asks = !is_exhausted && self.pending.len() < PENDING_REQUESTS_MAX;
        if let Some(shard) = self.skipped.filter(|_| asks) {
            let request = spawn_request(self.engine, shard, self.tenant);
            self.pending.push(request);
        }
        let until = self.deadline.min(Instant::now() + SUCCESSOR_WAIT);
        while let Ok(Some(Ok(answer))) = timeout_at(until, self.pending.next()).await {
            if let Some(permit) = self.accept(&answer) {
                return Some(permit);
            }
        }
        None
    }

    /// The permit of an answer, if it grants one that is good still.
    fn accept(&mut self, answer: &ShardReply) -> Option<Permit> {
        let now = Instant::now();
        match answer.reply {
            PermitReply::Granted => {
                let until = Some(answer.sent_at + self.lifetime);
                Some(Permit { until }).filter(|permit| permit.is_valid(now))
            }
            PermitReply::Exhausted(wait) => {
                let refusals = self.engine.refusals();
                refusals.note_exhausted(self.tenant, answer.shard, now + wait);
                self.record_wait(wait);
                None
            }
            PermitReply::Counted | PermitReply::NotCounted => None,
        }
    }

    fn record_wait(&mut self, wait: Duration) {
        let shortest_wait = self.shortest_wait.unwrap_or(wait);
        self.shortest_wait = Some(shortest_wait.min(wait));
    }
}

/// Asks for one permit of `shard` in a task of its own, which goes on to the candidates where
/// the counter is silent, also when nobody waits for the answer any more: they are to look at
/// the lease.
fn spawn_request(
    engine: &Arc<Engine>,
    shard: Shard,
    tenant: &TenantName,
) -> oneshot::Receiver<ShardReply> {
    let (tx, rx) = oneshot::channel();
    let (engine, tenant) = (Arc::clone(engine), tenant.clone());
    tokio::spawn(async move {
        let (sent_at, reply) = query_candidates(&engine, shard, &tenant, &tx).await;
        let health = &engine.refusals().health;
        match reply {
            PermitReply::NotCounted => health.note_lost(shard, Instant::now()),
            PermitReply::Granted | PermitReply::Exhausted(_) | PermitReply::Counted => {
                health.note_answer(shard)
            }
        }
        let answer = ShardReply {
            shard,
            sent_at,
            reply,
        };
        // The operation may have found its permit elsewhere: this one lapses.
        let _ = tx.send(answer);
    });
    rx
}

/// Asks the process that counts `shard`, and where it is silent all other candidates at once;
/// when the one that has answered was asked, and what it said.
async fn query_candidates(
    engine: &Engine,
    shard: Shard,
    tenant: &TenantName,
    waiting: &oneshot::Sender<ShardReply>,
) -> (Instant, PermitReply) {
    let homes = engine.homes();
    let addresses = homes.counter_addresses(shard);
    let (first, others) = addresses.split_at(addresses.len().min(1));
    for addresses in [first, others] {
        let queries = addresses.iter();
        let queries =
            queries.map(|address| query_counter(engine, *address, shard, tenant, waiting));
        let mut queries: FuturesUnordered<_> = queries.collect();
        while let Some(answer) = queries.next().await {
            if let Some(answer) = answer {
                return answer;
            }
        }
    }
    if homes.counter_rank(shard).is_some() {
        engine.counters().request_counter(shard);
    }
    (Instant::now(), PermitReply::NotCounted)
}

/// Asks the process at `address`; `None` where it does not count `shard`, or does not answer.
/// No permit is taken once nobody waits for it: with a permit for each question that goes on,
/// the processes that find a successor would use up what it begins with.
async fn query_counter(
    engine: &Engine,
    address: SocketAddr,
    shard: Shard,
    tenant: &TenantName,
    waiting: &oneshot::Sender<ShardReply>,
) -> Option<(Instant, PermitReply)> {
    let link = engine.homes().links().first_usable(&[address]).await?;
    let sent_at = Instant::now();
    let takes = !waiting.is_closed();
    match timeout(REPLY_TIMEOUT, link.draw(shard, tenant, takes)).await {
        Ok(Some(PermitReply::NotCounted)) | Ok(None) => None,
        Ok(Some(reply)) => {
            engine.homes().note_counter(shard, address);
            Some((sent_at, reply))
        }
        Err(_) => {
            link.note_silence(sent_at);
            None
        }
    }
}
