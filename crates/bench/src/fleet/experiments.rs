//! The phases of a run in which the fleet stays whole: quiet, changes, restarts.

use super::coordinator::Fleet;
use super::message::Latencies;
use super::result::{Changes, KindLoad, Latency, Load, Restarts};
use super::usage::load_average;
use hdrhistogram::Histogram;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::{Duration, Instant};

/// Daemons of the target.
pub const TARGET_DAEMONS: f64 = 6_100.0;

/// Changes per second at the target.
pub const TARGET_CHANGES_PER_SECOND: f64 = 17_000.0 / 86_400.0;

/// Restarts per second at the target.
pub const TARGET_RESTARTS_PER_SECOND: f64 = 3_700.0 / 86_400.0;

/// Between two looks at the fleet.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// How long the fleet may take to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Between two looks whether there is still news to spread.
const QUIET_INTERVAL: Duration = Duration::from_secs(2);

/// Between two changes that are accepted while daemons restart.
const CHANGE_INTERVAL_DURING_RESTARTS: Duration = Duration::from_secs(2);

/// Measures what the daemons use between two moments.
pub struct Meter {
    started: Instant,
    processor_seconds: f64,
    daemon_bytes: BTreeMap<usize, u64>,
    kinds: BTreeMap<String, super::message::Count>,
    reads: u64,
}

impl Meter {
    /// Starts to measure.
    pub async fn start(fleet: &mut Fleet) -> io::Result<Self> {
        let usage = fleet.usage().await?;
        Ok(Self {
            started: Instant::now(),
            processor_seconds: usage.iter().map(|part| part.processor_seconds).sum(),
            daemon_bytes: usage
                .iter()
                .flat_map(|part| part.daemon_bytes.clone())
                .collect(),
            kinds: sum_kinds(usage.iter().map(|part| &part.traffic)),
            reads: fleet.log.reads(),
        })
    }

    /// What was used since the start.
    pub async fn finish(self, fleet: &mut Fleet) -> io::Result<Load> {
        let seconds = self.started.elapsed().as_secs_f64();
        let usage = fleet.usage().await?;
        let reads = fleet.log.reads();
        let views = fleet.views().await?;
        let daemons: usize = usage.iter().map(|part| part.daemons).sum();
        let daemon_seconds = daemons.max(1) as f64 * seconds;
        let kinds = self.kind_loads(usage.iter().map(|part| &part.traffic), daemon_seconds);
        let highest = usage
            .iter()
            .flat_map(|part| &part.daemon_bytes)
            .filter_map(|(number, bytes)| bytes.checked_sub(*self.daemon_bytes.get(number)?))
            .max();
        let processor: f64 = usage.iter().map(|part| part.processor_seconds).sum();
        let resident: u64 = usage
            .iter()
            .map(|part| {
                part.resident_bytes
                    .saturating_sub(part.resident_bytes_empty)
            })
            .sum();
        Ok(Load {
            seconds,
            daemons,
            bytes_per_second: kinds.values().map(|kind| kind.bytes_per_second).sum(),
            bytes_per_second_highest: highest.unwrap_or(0) as f64 / seconds,
            messages_per_second: kinds.values().map(|kind| kind.messages_per_second).sum(),
            processor_percent: 100.0 * (processor - self.processor_seconds) / daemon_seconds,
            resident_bytes: resident as f64 / daemons.max(1) as f64,
            platform_reads_per_second: (reads - self.reads) as f64 / seconds,
            machine_load_average: load_average(),
            kinds,
            suspected_at_end: views.suspected.len(),
        })
    }

    fn kind_loads<'a>(
        &self,
        traffic: impl Iterator<Item = &'a BTreeMap<String, super::message::Count>>,
        daemon_seconds: f64,
    ) -> BTreeMap<String, KindLoad> {
        sum_kinds(traffic)
            .into_iter()
            .map(|(kind, count)| {
                let before = self.kinds.get(&kind).copied().unwrap_or_default();
                let load = KindLoad::of(count.since(before), daemon_seconds);
                (kind, load)
            })
            .collect()
    }
}

fn sum_kinds<'a>(
    parts: impl Iterator<Item = &'a BTreeMap<String, super::message::Count>>,
) -> BTreeMap<String, super::message::Count> {
    let mut sums: BTreeMap<String, super::message::Count> = BTreeMap::new();
    for (kind, count) in parts.flatten() {
        sums.entry(kind.clone()).or_default().add(*count);
    }
    sums
}

/// Waits until every daemon sees exactly the living ones and knows that everything
/// is in force; the seconds that took.
pub async fn settle(fleet: &mut Fleet) -> io::Result<Option<f64>> {
    let started = Instant::now();
    while started.elapsed() < SETTLE_LIMIT {
        let views = fleet.views().await?;
        let head = fleet.log.head();
        let progress = fleet.progress().await?;
        if views.right == views.daemons && progress.all_in_force(head) {
            return Ok(Some(started.elapsed().as_secs_f64()));
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    Ok(None)
}

/// Waits until the daemons have no news of the membership left to spread.
async fn quiet_down(fleet: &mut Fleet) -> io::Result<()> {
    let started = Instant::now();
    let mut before = gossip_sent(fleet).await?;
    while started.elapsed() < SETTLE_LIMIT {
        tokio::time::sleep(QUIET_INTERVAL).await;
        let sent = gossip_sent(fleet).await?;
        if sent - before <= fleet.living.len() as u64 / 10 {
            return Ok(());
        }
        before = sent;
    }
    Ok(())
}

async fn gossip_sent(fleet: &mut Fleet) -> io::Result<u64> {
    let usage = fleet.usage().await?;
    let gossip = usage.iter().filter_map(|part| part.traffic.get("gossip"));
    Ok(gossip.map(|count| count.messages_sent).sum())
}

/// Nothing happens for `length`, after the news of what happened before has spread.
pub async fn steady(fleet: &mut Fleet, length: Duration) -> io::Result<Load> {
    quiet_down(fleet).await?;
    let meter = Meter::start(fleet).await?;
    tokio::time::sleep(length).await;
    meter.finish(fleet).await
}

/// Accepts changes for `length` at `times_target` times the rate of the target.
pub async fn changes(
    fleet: &mut Fleet,
    length: Duration,
    times_target: f64,
) -> io::Result<Changes> {
    let per_second = TARGET_CHANGES_PER_SECOND * times_target;
    fleet.latencies().await?;
    let meter = Meter::start(fleet).await?;
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / per_second));
    let count = (length.as_secs_f64() * per_second).ceil() as u64;
    for _ in 0..count {
        ticks.tick().await;
        fleet.log.accept();
    }
    let load = meter.finish(fleet).await?;
    settle(fleet).await?;
    Ok(Changes {
        per_second,
        times_target,
        latency: latency(fleet, count).await?,
        load,
    })
}

/// The latencies of the last `changes` changes.
pub async fn latency(fleet: &mut Fleet, changes: u64) -> io::Result<Latency> {
    let parts = fleet.latencies().await?;
    let expected = changes * fleet.living.len() as u64;
    Ok(summary(&parts, changes, expected))
}

fn summary(parts: &[Latencies], changes: u64, expected: u64) -> Latency {
    let mut histogram = Histogram::<u64>::new(3).expect("the precision is valid");
    for (value, count) in parts.iter().flat_map(|part| &part.applied) {
        // The histogram grows as needed; only a value beyond 64 bits would fail.
        let _ = histogram.record_n(*value, *count);
    }
    let milliseconds = |microseconds: u64| microseconds as f64 / 1_000.0;
    let worst = parts.iter().flat_map(|part| part.worst.values()).max();
    let known = parts.iter().flat_map(|part| part.known_in_force.values());
    let revisions: BTreeSet<_> = parts.iter().flat_map(|part| part.count.keys()).collect();
    let not_known = revisions
        .iter()
        .filter(|revision| !known_everywhere(parts, ***revision))
        .count();
    Latency {
        changes,
        observed: histogram.len(),
        expected,
        p50: milliseconds(histogram.value_at_quantile(0.5)),
        p99: milliseconds(histogram.value_at_quantile(0.99)),
        worst: milliseconds(worst.copied().unwrap_or(0)),
        known_in_force_worst: milliseconds(known.max().copied().unwrap_or(0)),
        not_known_in_force: not_known as u64,
    }
}

fn known_everywhere(parts: &[Latencies], revision: u64) -> bool {
    parts
        .iter()
        .all(|part| part.known_in_force.contains_key(&revision))
}

/// Restarts daemons for `length`, `times_target` times as often as at the target
/// for so many daemons, while changes are accepted.
pub async fn restarts(
    fleet: &mut Fleet,
    length: Duration,
    times_target: f64,
) -> io::Result<Restarts> {
    let share = fleet.living.len() as f64 / TARGET_DAEMONS;
    let per_second = TARGET_RESTARTS_PER_SECOND * share * times_target;
    fleet.latencies().await?;
    let meter = Meter::start(fleet).await?;
    let started = Instant::now();
    let mut accepted = 0;
    let mut restarted = 0;
    while started.elapsed() < length {
        let due = (started.elapsed().as_secs_f64() * per_second) as usize;
        if due > restarted {
            restart(fleet, due - restarted).await?;
            restarted = due;
        }
        if started.elapsed() >= CHANGE_INTERVAL_DURING_RESTARTS * accepted {
            fleet.log.accept();
            accepted += 1;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let load = meter.finish(fleet).await?;
    let settled = settle(fleet).await?;
    Ok(Restarts {
        restarted,
        per_second,
        times_target,
        settled,
        load,
        latency: latency(fleet, u64::from(accepted)).await?,
    })
}

/// Restarts `count` daemons at random, in good order.
pub async fn restart(fleet: &mut Fleet, count: usize) -> io::Result<Vec<usize>> {
    let chosen = fleet.living.iter().copied().sample(&mut rand::rng(), count);
    fleet.leave(&chosen).await?;
    fleet.start_daemons(&chosen).await?;
    Ok(chosen)
}
