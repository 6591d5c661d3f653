//! Which counters one operation asks, and for how long it waits for each.
//!
//! Load pattern: a third of the fleet is cut off or stands still, and every process has
//! operations under way. None of them may wait for a counter that does not answer while another
//! one would: a late question goes on in a task of its own, and the operation asks the next
//! shard.

use super::counter::{Draw, Shard};
use super::permit::Permit;
use super::reach::Look;
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
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);
/// Wait after which the next shard is asked: ten times what an answer takes, and little beside
/// the 150 ms that callers hope for.
const LATE_AFTER: Duration = Duration::from_millis(25);
/// Wait for answers that are late: a silent counter's time, and that of its successor, which is
/// asked after it.
const SUCCESSOR_WAIT: Duration = Duration::from_millis(100);
/// Questions of one operation that may be under way: where this process itself is slow all
/// answers are late, and each question more would make it slower.
const QUESTIONS_MAX: usize = 4;

/// What all shards together have said.
#[derive(Debug)]
pub(super) enum Asked {
    Granted(Permit),
    /// Those that could be asked have none left, the first of them for this long.
    Exhausted(Duration),
    /// None could be asked.
    Unknown,
}

/// One answer, and when it was asked for.
struct Answer {
    shard: Shard,
    asked: Instant,
    drawn: Draw,
}

/// The questions of one operation.
struct Questions<'a> {
    engine: &'a Arc<Engine>,
    tenant: &'a TenantName,
    /// How long a permit may be used after it was asked for.
    life: Duration,
    /// Until when answers are waited for.
    deadline: Instant,
    under_way: FuturesUnordered<oneshot::Receiver<Answer>>,
    /// The first shard that was passed by, as another operation waits for its answer.
    late: Option<Shard>,
    /// Time until a shard that has none left has the next one.
    soonest: Option<Duration>,
}

/// Asks the counters until `deadline` for a permit that lasts for `life`: those of this
/// process's zone first, and one that is late last.
pub(super) async fn ask_all(
    engine: &Arc<Engine>,
    tenant: &TenantName,
    life: Duration,
    deadline: Instant,
) -> Asked {
    let mut questions = Questions {
        engine,
        tenant,
        life,
        deadline,
        under_way: FuturesUnordered::new(),
        late: None,
        soonest: None,
    };
    let granted = questions.ask_in_turn().await;
    match (granted, questions.soonest) {
        (Some(permit), _) => Asked::Granted(permit),
        (None, Some(wait)) => Asked::Exhausted(wait),
        (None, None) => Asked::Unknown,
    }
}

impl Questions<'_> {
    async fn ask_in_turn(&mut self) -> Option<Permit> {
        let zone = &self.engine.settings().zone;
        let shards = self.engine.homes().shards_by_distance(zone, self.tenant);
        for shard in shards {
            if let Some(permit) = self.ask_or_pass_by(shard).await {
                return Some(permit);
            }
            let is_enough = self.under_way.len() >= QUESTIONS_MAX;
            if is_enough || Instant::now() >= self.deadline {
                break;
            }
        }
        self.ask_late().await
    }

    async fn ask_or_pass_by(&mut self, shard: Shard) -> Option<Permit> {
        let asked = Instant::now();
        let refusals = self.engine.refusals();
        if let Some(until) = refusals.of(self.tenant, shard, asked) {
            self.note_exhausted(until.duration_since(asked));
            return None;
        }
        let counters = self.engine.counters();
        let drawn = counters.draw(self.engine, shard, self.tenant);
        if drawn != Draw::NotCounted {
            return self.take(&Answer {
                shard,
                asked,
                drawn,
            });
        }
        match refusals.reach.look(shard, asked) {
            Look::Ask => return self.ask(shard).await,
            Look::Probe => drop(spawn_question(self.engine, shard, self.tenant)),
            Look::Late => self.late = self.late.or(Some(shard)),
            Look::Lost => {}
        }
        None
    }

    /// Asks `shard`, and waits for any answer.
    async fn ask(&mut self, shard: Shard) -> Option<Permit> {
        let question = spawn_question(self.engine, shard, self.tenant);
        self.under_way.push(question);
        let late_at = Instant::now() + LATE_AFTER;
        let until = self.deadline.min(late_at);
        loop {
            let answer = match timeout_at(until, self.under_way.next()).await {
                Ok(answer) => answer,
                Err(_) => self.look_once_more().await,
            };
            let Some(answer) = answer else {
                if Instant::now() >= late_at {
                    self.engine.refusals().reach.note_late(shard);
                    metrics::counter!("stilequay_rate_late_answers_total").increment(1);
                }
                return None;
            };
            // A question ends without an answer only where the process stops.
            let Ok(answer) = answer else { return None };
            if let Some(permit) = self.take(&answer) {
                return Some(permit);
            }
            if answer.shard == shard {
                return None;
            }
        }
    }

    /// An answer that has come in while this process was slow itself.
    async fn look_once_more(&mut self) -> Option<Result<Answer, oneshot::error::RecvError>> {
        yield_now().await;
        let at_once = timeout(Duration::ZERO, self.under_way.next());
        at_once.await.ok().flatten()
    }

    /// Waits for the answers that are late, which may be those of successors, and asks one shard
    /// more that was late before unless others have said that they have none left.
    async fn ask_late(&mut self) -> Option<Permit> {
        let is_exhausted = self.soonest.is_some();
        let asks = !is_exhausted && self.under_way.len() < QUESTIONS_MAX;
        if let Some(shard) = self.late.filter(|_| asks) {
            let question = spawn_question(self.engine, shard, self.tenant);
            self.under_way.push(question);
        }
        let until = self.deadline.min(Instant::now() + SUCCESSOR_WAIT);
        while let Ok(Some(Ok(answer))) = timeout_at(until, self.under_way.next()).await {
            if let Some(permit) = self.take(&answer) {
                return Some(permit);
            }
        }
        None
    }

    /// The permit of an answer, if it grants one that is good still.
    fn take(&mut self, answer: &Answer) -> Option<Permit> {
        let now = Instant::now();
        match answer.drawn {
            Draw::Granted => {
                let until = Some(answer.asked + self.life);
                Some(Permit { until }).filter(|permit| permit.is_good(now))
            }
            Draw::Exhausted(wait) => {
                let refusals = self.engine.refusals();
                refusals.note(self.tenant, answer.shard, now + wait);
                self.note_exhausted(wait);
                None
            }
            Draw::Counted | Draw::NotCounted => None,
        }
    }

    fn note_exhausted(&mut self, wait: Duration) {
        let soonest = self.soonest.unwrap_or(wait);
        self.soonest = Some(soonest.min(wait));
    }
}

/// Asks for one permit of `shard` in a task of its own, which goes on to the candidates where
/// the counter is silent, also when nobody waits for the answer any more: they are to look at
/// the lease.
fn spawn_question(
    engine: &Arc<Engine>,
    shard: Shard,
    tenant: &TenantName,
) -> oneshot::Receiver<Answer> {
    let (tx, rx) = oneshot::channel();
    let (engine, tenant) = (Arc::clone(engine), tenant.clone());
    tokio::spawn(async move {
        let (asked, drawn) = ask_candidates(&engine, shard, &tenant, &tx).await;
        let reach = &engine.refusals().reach;
        match drawn {
            Draw::NotCounted => reach.note_lost(shard, Instant::now()),
            Draw::Granted | Draw::Exhausted(_) | Draw::Counted => reach.note_answer(shard),
        }
        let answer = Answer {
            shard,
            asked,
            drawn,
        };
        // The operation may have found its permit elsewhere: this one lapses.
        let _ = tx.send(answer);
    });
    rx
}

/// Asks the process that counts `shard`, and where it is silent all other candidates at once;
/// when the one that has answered was asked, and what it said.
async fn ask_candidates(
    engine: &Engine,
    shard: Shard,
    tenant: &TenantName,
    waiting: &oneshot::Sender<Answer>,
) -> (Instant, Draw) {
    let homes = engine.homes();
    let addresses = homes.counter_addresses(shard);
    let (first, others) = addresses.split_at(addresses.len().min(1));
    for addresses in [first, others] {
        let asking = addresses.iter();
        let asking = asking.map(|address| ask_one(engine, *address, shard, tenant, waiting));
        let mut asking: FuturesUnordered<_> = asking.collect();
        while let Some(answer) = asking.next().await {
            if let Some(answer) = answer {
                return answer;
            }
        }
    }
    if homes.counter_rank(shard).is_some() {
        engine.counters().want(shard);
    }
    (Instant::now(), Draw::NotCounted)
}

/// Asks the process at `address`; `None` where it does not count `shard`, or does not answer.
/// No permit is taken once nobody waits for it: with a permit for each question that goes on,
/// the processes that find a successor would use up what it begins with.
async fn ask_one(
    engine: &Engine,
    address: SocketAddr,
    shard: Shard,
    tenant: &TenantName,
    waiting: &oneshot::Sender<Answer>,
) -> Option<(Instant, Draw)> {
    let link = engine.homes().links().first_usable(&[address]).await?;
    let asked = Instant::now();
    let takes = !waiting.is_closed();
    match timeout(ANSWER_TIMEOUT, link.request_permit(shard, tenant, takes)).await {
        Ok(Some(Draw::NotCounted)) | Ok(None) => None,
        Ok(Some(drawn)) => {
            engine.homes().note_counter(shard, address);
            Some((asked, drawn))
        }
        Err(_) => {
            link.report_timeout(asked);
            None
        }
    }
}
