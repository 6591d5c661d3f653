//! Asking other processes for what is newer, until one tells something recent.
//!
//! A process asks its sources by rank, two at once when the first is late; then two processes
//! that tell other zones and a few drawn from the whole fleet, since a rank does not know who
//! is cut off. What one of these tells counts like any other answer: with the age that it has.

use super::{STORE_FALLBACK_SPREAD, apply_updates, is_recent, known_versions, update_wait};
use crate::engine::Engine;
use crate::link::Link;
use crate::peers::declared;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use quick_error::quick_error;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// What an answer may take longer than the wait that it was asked with.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Lateness of an answer from which on a second process is asked: a round trip between regions,
/// 25 ms, and the turn of a busy machine. A silent link costs this in place of all of
/// [`ANSWER_MARGIN`].
const HEDGE_MARGIN: Duration = Duration::from_millis(100);
/// Processes drawn from the whole fleet at a time. Where a fifth of the fleet knows something
/// recent, three rounds find one in three of four cases.
const SCOUTS: usize = 2;

quick_error! {
    /// Why nothing recent was learned of a process.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NoUpdates {
        /// None of those that are to tell it is reached.
        Unreachable {
            display("no process that follows the store is reached")
        }
        /// It did not answer.
        Silent {
            display("no news in time")
        }
        /// It has just started, and is learning everything itself.
        Starting {
            display("who was asked is starting")
        }
        /// It knows of no recent answer of the store.
        StoreFailing {
            display("who was asked is turned away by the store")
        }
        /// What it knows was so old when it was asked.
        Old(age: Duration) {
            display("what was told was {age:?} old when it was asked for")
        }
    }
}

/// Which step of a search a question belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Of the processes that are to tell this one, by rank.
    Source,
    /// Of those that tell other zones, by rank.
    Elsewhere,
    /// Drawn from the whole fleet.
    Scout,
}

impl Step {
    fn name(self) -> &'static str {
        match self {
            Self::Source => "source",
            Self::Elsewhere => "elsewhere",
            Self::Scout => "scout",
        }
    }
}

/// What a process remembers between two rounds of asking.
#[derive(Debug, Default)]
pub(super) struct Search {
    /// The process outside its sources that last told something recent.
    fresh_peer: Option<(Arc<Link>, Step)>,
    /// From when on the store is to be asked, while nobody that is to tells anything recent.
    store_due: Option<Instant>,
}

impl Search {
    /// Asks `sources`, the first of them for what comes within a wait.
    ///
    /// # Errors
    ///
    /// The reason why nothing recent was learned.
    pub async fn ask_sources(
        &mut self,
        engine: &Engine,
        sources: &[SocketAddr],
    ) -> Result<(), NoUpdates> {
        ask_pair(engine, sources, Step::Source).await?;
        *self = Self::default();
        Ok(())
    }

    /// Asks the process outside the sources that last told something recent; where there is
    /// none, two that tell other zones and, `with_scouts`, a few of the whole fleet, all at
    /// once. Returns by which step something recent was learned.
    ///
    /// # Errors
    ///
    /// The reason why nothing recent was learned.
    pub async fn widen_search(
        &mut self,
        engine: &Engine,
        with_scouts: bool,
    ) -> Result<Step, String> {
        if self.store_due.is_none() {
            let spread = STORE_FALLBACK_SPREAD.mul_f64(rand::random());
            self.store_due = Some(Instant::now() + spread);
        }
        let fresh_peer = self.fresh_peer.take().filter(|(link, _)| link.is_usable());
        let fresh_peer = match fresh_peer {
            Some((link, step)) if with_scouts || step == Step::Elsewhere => {
                let learned = ask(engine, &link, update_wait(engine), step).await;
                learned.is_ok().then_some((link, step))
            }
            _ => None,
        };
        self.fresh_peer = match fresh_peer {
            Some(fresh_peer) => Some(fresh_peer),
            None => ask_many(engine, with_scouts).await,
        };
        let fresh_peer = self.fresh_peer.as_ref().map(|(_, step)| *step);
        let step = fresh_peer.ok_or("no process was found that knows something recent")?;
        if step == Step::Elsewhere {
            self.store_due = None;
        }
        Ok(step)
    }

    /// Whether nobody that is to has told anything recent for so long that the store is to be
    /// asked.
    pub fn is_store_due(&self) -> bool {
        self.store_due.is_some_and(|due| Instant::now() >= due)
    }

    /// How long to wait before anybody is asked again, `pause` at the longest.
    pub fn pause(&self, pause: Duration) -> Duration {
        let left = self.store_due.map(|due| due - Instant::now());
        let left = left.filter(|left| !left.is_zero());
        left.map_or(pause, |left| left.min(pause))
    }
}

/// Asks two processes that tell other zones and, `with_scouts`, a few of the whole fleet for
/// what they know now; the link to the first that tells something recent.
async fn ask_many(engine: &Engine, with_scouts: bool) -> Option<(Arc<Link>, Step)> {
    let homes = engine.homes();
    let elsewhere = homes.followers_in_other_zones(&engine.settings().zone);
    let elsewhere = elsewhere
        .into_iter()
        .map(|address| (address, Step::Elsewhere));
    let scouts = homes.random_peers(if with_scouts { SCOUTS } else { 0 });
    let scouts = scouts.into_iter().map(|address| (address, Step::Scout));
    let questions = elsewhere.chain(scouts).map(|(address, step)| async move {
        let link = homes.links().first_usable(&[address]).await?;
        let learned = ask(engine, &link, Duration::ZERO, step).await;
        learned.is_ok().then_some((link, step))
    });
    let mut answers: FuturesUnordered<_> = questions.collect();
    while let Some(answer) = answers.next().await {
        if answer.is_some() {
            return answer;
        }
    }
    None
}

/// Asks the first of `sources` that is reached. Where its answer is late or not recent, a second
/// one is asked for what it knows now.
async fn ask_pair(engine: &Engine, sources: &[SocketAddr], step: Step) -> Result<(), NoUpdates> {
    let links = engine.homes().links();
    let first = links.first_usable(sources).await;
    let first = first.ok_or(NoUpdates::Unreachable)?;
    let wait = update_wait(engine);
    let mut asked = pin!(ask(engine, &first, wait, step));
    let mut on_time = timeout(wait + HEDGE_MARGIN, &mut asked).await;
    // A long answer that is on its way is not asked for twice.
    while on_time.is_err() && first.is_receiving(ANSWER_MARGIN) {
        on_time = timeout(HEDGE_MARGIN, &mut asked).await;
    }
    if let Ok(Ok(())) = on_time {
        return Ok(());
    }
    let Some(second) = links.first_usable_except(sources, &first).await else {
        return match on_time {
            Ok(learned) => learned,
            Err(_) => asked.await,
        };
    };
    let mut hedge = pin!(ask(engine, &second, Duration::ZERO, step));
    if let Ok(learned) = on_time {
        let is_starting = learned == Err(NoUpdates::Starting);
        let hedged = hedge.await;
        return hedged.map_err(|reason| match is_starting {
            true => NoUpdates::Starting,
            false => reason,
        });
    }
    tokio::select! {
        learned = &mut asked => match learned {
            Ok(()) => Ok(()),
            Err(_) => hedge.await,
        },
        learned = &mut hedge => match learned {
            Ok(()) => {
                // Whether it is only slow: if not, another link takes its place.
                first.ping();
                Ok(())
            }
            Err(_) => asked.await,
        },
    }
}

/// Asks for news over `link`, waiting there for up to `wait`, and takes them.
///
/// # Errors
///
/// The reason why nothing recent was learned.
async fn ask(engine: &Engine, link: &Link, wait: Duration, step: Step) -> Result<(), NoUpdates> {
    let known = known_versions(engine);
    let asked = Instant::now();
    let Some(updates) = link.follow(known, wait, ANSWER_MARGIN).await else {
        link.report_timeout(asked);
        count(step, "silent");
        return Err(NoUpdates::Silent);
    };
    let (age, versions) = (updates.age, updates.feeds);
    let is_starting = updates.is_starting;
    let records_as_of = updates.records_complete_after_ms;
    apply_updates(engine, updates, asked);
    if let Some(at) = records_as_of.and_then(|ms| declared::moment_after(asked, ms)) {
        engine.slow_starts().advance_records_as_of(at);
    }
    let dated = age.and_then(|age| Some((age, asked.checked_sub(age)?)));
    let Some((age, at)) = dated else {
        if is_starting {
            count(step, "starting");
            return Err(NoUpdates::Starting);
        }
        count(step, "failing");
        return Err(NoUpdates::StoreFailing);
    };
    engine.following().mark_current_from_peer(at, versions);
    if !is_recent(engine, Instant::now()) {
        count(step, "old");
        return Err(NoUpdates::Old(age));
    }
    count(step, "recent");
    Ok(())
}

fn count(step: Step, outcome: &'static str) {
    metrics::counter!(
        "stilequay_follow_questions_total",
        "step" => step.name(),
        "outcome" => outcome
    )
    .increment(1);
}
