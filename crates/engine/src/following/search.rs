//! The search for a process that has recent updates.
//!
//! A process polls its sources in order of rank, with a hedged request to the second if the first
//! is late. If that fails, it asks two relays of other zones and a few random processes of the
//! fleet, because ranks don't reflect which processes are cut off. All answers are treated the
//! same and judged by their age.

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

/// How much longer than the requested wait an answer may take.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// How late an answer may be before a hedged request is sent to a second process. Covers a round
/// trip between regions, 25 ms, and scheduling delays on a busy machine. An unresponsive link
/// costs only this time instead of the whole [`ANSWER_MARGIN`].
const HEDGE_MARGIN: Duration = Duration::from_millis(100);
/// Number of random processes asked per round. If a fifth of the fleet has recent data, three
/// rounds find such a process in three of four cases.
const RANDOM_PEERS: usize = 2;

quick_error! {
    /// Why no recent updates were obtained.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum NoUpdates {
        /// No source could be reached.
        Unreachable {
            display("no process that follows the store is reached")
        }
        /// The peer did not answer in time.
        Silent {
            display("no news in time")
        }
        /// The peer has just started and is still loading its state.
        Starting {
            display("who was asked is starting")
        }
        /// The peer got no recent answer from the store.
        StoreFailing {
            display("who was asked is turned away by the store")
        }
        /// The peer's data was this old when the request was sent.
        Old(age: Duration) {
            display("what was told was {age:?} old when it was asked for")
        }
    }
}

/// The step of a search that a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// The regular sources of this process, by rank.
    Source,
    /// The relays of other zones, by rank.
    OtherZones,
    /// Random processes of the fleet.
    RandomPeer,
}

impl Step {
    fn name(self) -> &'static str {
        match self {
            Self::Source => "source",
            Self::OtherZones => "elsewhere",
            Self::RandomPeer => "scout",
        }
    }
}

/// The state that is kept between two rounds of a search.
#[derive(Debug, Default)]
pub(super) struct Search {
    /// The last process outside the regular sources that had recent updates.
    fresh_peer: Option<(Arc<Link>, Step)>,
    /// When to fall back to the store if the sources still have nothing recent.
    store_due: Option<Instant>,
}

impl Search {
    /// Polls `sources`; the first of them may hold the request.
    ///
    /// # Errors
    ///
    /// Returns the reason why no recent updates were obtained.
    pub async fn ask_sources(
        &mut self,
        engine: &Engine,
        sources: &[SocketAddr],
    ) -> Result<(), NoUpdates> {
        ask_pair(engine, sources, Step::Source).await?;
        *self = Self::default();
        Ok(())
    }

    /// Asks the last process outside the sources that had recent updates. If there is none, or it
    /// no longer has any, concurrently asks two relays of other zones and, if `with_random_peers`
    /// is set, a few random processes of the fleet. Returns the step that found recent updates.
    ///
    /// # Errors
    ///
    /// Returns the reason why no recent updates were obtained.
    pub async fn widen_search(
        &mut self,
        engine: &Engine,
        with_random_peers: bool,
    ) -> Result<Step, String> {
        if self.store_due.is_none() {
            let spread = STORE_FALLBACK_SPREAD.mul_f64(rand::random());
            self.store_due = Some(Instant::now() + spread);
        }
        let fresh_peer = self.fresh_peer.take().filter(|(link, _)| link.is_usable());
        let fresh_peer = match fresh_peer {
            Some((link, step)) if with_random_peers || step == Step::OtherZones => {
                let learned = ask(engine, &link, update_wait(engine), step).await;
                learned.is_ok().then_some((link, step))
            }
            _ => None,
        };
        self.fresh_peer = match fresh_peer {
            Some(fresh_peer) => Some(fresh_peer),
            None => ask_many(engine, with_random_peers).await,
        };
        let fresh_peer = self.fresh_peer.as_ref().map(|(_, step)| *step);
        let step = fresh_peer.ok_or("no process was found that knows something recent")?;
        if step == Step::OtherZones {
            self.store_due = None;
        }
        Ok(step)
    }

    /// Whether the sources had nothing recent for so long that the store should be asked.
    pub fn is_store_due(&self) -> bool {
        self.store_due.is_some_and(|due| Instant::now() >= due)
    }

    /// The pause before the next round: `pause`, or less if the fallback to the store is due
    /// earlier.
    pub fn pause(&self, pause: Duration) -> Duration {
        let left = self.store_due.map(|due| due - Instant::now());
        let left = left.filter(|left| !left.is_zero());
        left.map_or(pause, |left| left.min(pause))
    }
}

/// Asks two relays of other zones and, if `with_random_peers` is set, a few random processes of the
/// fleet for their current data. Returns the link to the first that has recent updates.
async fn ask_many(engine: &Engine, with_random_peers: bool) -> Option<(Arc<Link>, Step)> {
    let homes = engine.homes();
    let in_other_zones = homes.followers_in_other_zones(&engine.settings().zone);
    let in_other_zones = in_other_zones
        .into_iter()
        .map(|address| (address, Step::OtherZones));
    let random_peers = homes.random_peers(if with_random_peers { RANDOM_PEERS } else { 0 });
    let random_peers = random_peers
        .into_iter()
        .map(|address| (address, Step::RandomPeer));
    let queries = in_other_zones
        .chain(random_peers)
        .map(|(address, step)| async move {
            let link = homes.links().first_usable(&[address]).await?;
            let learned = ask(engine, &link, Duration::ZERO, step).await;
            learned.is_ok().then_some((link, step))
        });
    let mut answers: FuturesUnordered<_> = queries.collect();
    while let Some(answer) = answers.next().await {
        if answer.is_some() {
            return answer;
        }
    }
    None
}

/// Polls the first reachable process of `sources`. If its answer is late or not recent, asks a
/// second one for its current data.
async fn ask_pair(engine: &Engine, sources: &[SocketAddr], step: Step) -> Result<(), NoUpdates> {
    let links = engine.homes().links();
    let first = links.first_usable(sources).await;
    let first = first.ok_or(NoUpdates::Unreachable)?;
    let wait = update_wait(engine);
    let mut first_query = pin!(ask(engine, &first, wait, step));
    let mut on_time = timeout(wait + HEDGE_MARGIN, &mut first_query).await;
    // Don't hedge while a long answer is being received.
    while on_time.is_err() && first.is_receiving(ANSWER_MARGIN) {
        on_time = timeout(HEDGE_MARGIN, &mut first_query).await;
    }
    if let Ok(Ok(())) = on_time {
        return Ok(());
    }
    let Some(second) = links.first_usable_except(sources, &first).await else {
        return match on_time {
            Ok(learned) => learned,
            Err(_) => first_query.await,
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
        learned = &mut first_query => match learned {
            Ok(()) => Ok(()),
            Err(_) => hedge.await,
        },
        learned = &mut hedge => match learned {
            Ok(()) => {
                // Find out whether the peer is only slow; if not, the link is replaced.
                first.ping();
                Ok(())
            }
            Err(_) => first_query.await,
        },
    }
}

/// Polls for updates over `link`, where the peer holds the request for up to `wait`, and applies
/// them.
///
/// # Errors
///
/// Returns the reason why no recent updates were obtained.
async fn ask(engine: &Engine, link: &Link, wait: Duration, step: Step) -> Result<(), NoUpdates> {
    let known = known_versions(engine);
    let requested_at = Instant::now();
    let Some(updates) = link.follow(known, wait, ANSWER_MARGIN).await else {
        link.report_timeout(requested_at);
        count(step, "silent");
        return Err(NoUpdates::Silent);
    };
    let (age, versions) = (updates.age, updates.feeds);
    let is_starting = updates.is_starting;
    let records_as_of = updates.records_complete_after_ms;
    apply_updates(engine, updates, requested_at);
    if let Some(at) = records_as_of.and_then(|ms| declared::moment_after(requested_at, ms)) {
        engine.slow_starts().advance_records_as_of(at);
    }
    let dated = age.and_then(|age| Some((age, requested_at.checked_sub(age)?)));
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
