//! Requests one permit from the counters, shard by shard, with a short timeout for each.
//!
//! Designed for the case that a third of the fleet is partitioned or paused while every process
//! has operations in progress. No operation may wait for an unresponsive counter while another
//! one would respond, so a late request continues in its own task and the operation tries the
//! next shard.

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

/// Timeout of one request to a counter, many times the usual response time.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);
/// Delay after which the next shard is tried: ten times the usual response time, and small
/// compared with the 150 ms within which callers expect a response.
const LATE_AFTER: Duration = Duration::from_millis(25);
/// Time limit for late replies: the timeout of an unresponsive counter plus the response time of
/// its successor, which is queried after it.
const SUCCESSOR_WAIT: Duration = Duration::from_millis(100);
/// Maximum number of pending requests per operation. If this process itself is slow, all replies
/// are late, and each additional request would slow it down further.
const PENDING_REQUESTS_MAX: usize = 4;

/// Combined result of all shards.
#[derive(Debug)]
pub(super) enum PermitOutcome {
    Granted(Permit),
    /// No reachable shard has a permit left; the shortest time until one has.
    Exhausted(Duration),
    /// No shard could be reached.
    Unknown,
}

/// Reply of one shard and the time at which the request was sent.
struct ShardReply {
    shard: Shard,
    sent_at: Instant,
    reply: PermitReply,
}

/// Permit requests of one operation.
struct PermitRequests<'a> {
    engine: &'a Arc<Engine>,
    tenant: &'a TenantName,
    /// How long a permit is valid after it was requested.
    lifetime: Duration,
    /// Deadline for replies.
    deadline: Instant,
    pending: FuturesUnordered<oneshot::Receiver<ShardReply>>,
    /// First shard that was skipped because another operation is already waiting for its reply.
    skipped: Option<Shard>,
    /// Shortest time until an exhausted shard has its next permit.
    shortest_wait: Option<Duration>,
}

/// Requests a permit valid for `lifetime` from the counters until `deadline`: first from those in
/// this process's zone, last from one that is already late.
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

    /// Sends a request to `shard` and waits for a reply from any shard.
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
                    self.engine.refusals().health.record_late(shard);
                    metrics::counter!("stilequay_rate_late_answers_total").increment(1);
                }
                return None;
            };
            // The sender is dropped without a reply only during process shutdown.
            let Ok(answer) = answer else { return None };
            if let Some(permit) = self.accept(&answer) {
                return Some(permit);
            }
            if answer.shard == shard {
                return None;
            }
        }
    }

    /// Returns a reply that arrived while this process was too slow to read it in time.
    async fn poll_pending_reply(
        &mut self,
    ) -> Option<Result<ShardReply, oneshot::error::RecvError>> {
        yield_now().await;
        let at_once = timeout(Duration::ZERO, self.pending.next());
        at_once.await.ok().flatten()
    }

    /// Waits for late replies, which may come from successors. Also sends a request to the
    /// skipped shard, unless other shards have reported that they are exhausted.
    async fn await_late_replies(&mut self) -> Option<Permit> {
        let is_exhausted = self.shortest_wait.is_some();
        let should_request_skipped = !is_exhausted && self.pending.len() < PENDING_REQUESTS_MAX;
        if let Some(shard) = self.skipped.filter(|_| should_request_skipped) {
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

    /// Returns the permit granted by `answer` if it is still valid.
    fn accept(&mut self, answer: &ShardReply) -> Option<Permit> {
        let now = Instant::now();
        match answer.reply {
            PermitReply::Granted => {
                let until = Some(answer.sent_at + self.lifetime);
                Some(Permit { until }).filter(|permit| permit.is_valid(now))
            }
            PermitReply::Exhausted(wait) => {
                let refusals = self.engine.refusals();
                refusals.record_exhausted(self.tenant, answer.shard, now + wait);
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

/// Requests one permit of `shard` in a separate task. If the counter does not respond, the task
/// goes on to query the other candidates even if nobody waits for the reply any longer, so that
/// they check the lease.
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
            PermitReply::NotCounted => health.record_lost(shard, Instant::now()),
            PermitReply::Granted | PermitReply::Exhausted(_) | PermitReply::Counted => {
                health.record_answer(shard)
            }
        }
        let answer = ShardReply {
            shard,
            sent_at,
            reply,
        };
        // The operation may have received a permit from another shard; this one expires unused.
        let _ = tx.send(answer);
    });
    rx
}

/// Queries the process that counts `shard` and, if it does not respond, all other candidates
/// concurrently. Returns the reply and the time at which its request was sent.
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

/// Queries the process at `address`. Returns `None` if it does not count `shard` or does not
/// respond. Takes no permit once nobody waits for it: if every abandoned request took one, the
/// processes that locate a successor would use up its initial tokens.
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
    match timeout(REPLY_TIMEOUT, link.request_permit(shard, tenant, takes)).await {
        Ok(Some(PermitReply::NotCounted)) | Ok(None) => None,
        Ok(Some(reply)) => {
            engine.homes().record_counter(shard, address);
            Some((sent_at, reply))
        }
        Err(_) => {
            link.report_timeout(sent_at);
            None
        }
    }
}
