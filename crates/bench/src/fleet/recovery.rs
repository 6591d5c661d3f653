//! The phases of a run in which something is lost.

use super::coordinator::Fleet;
use super::experiments::{LOOK_INTERVAL, Meter, latency, restart, settle};
use super::result::{Outage, PlatformOutage};
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;
use std::io;
use std::time::{Duration, Instant};

/// How long a loss is watched at most.
const WATCH_LIMIT: Duration = Duration::from_secs(60);

/// The share of the daemons that restarts while the platform is down.
const RESTARTED_WITHOUT_PLATFORM: usize = 20;

/// Kills a tenth of the daemons at once.
pub async fn kill_tenth(fleet: &mut Fleet) -> io::Result<Outage> {
    let count = fleet.living.len() / 10;
    let victims = fleet.living.iter().copied().sample(&mut rand::rng(), count);
    lose(fleet, &victims).await
}

/// Kills both relays of the zone of the first one found.
pub async fn kill_relays(fleet: &mut Fleet) -> io::Result<Outage> {
    let relays = fleet.relays().await?;
    let Some(first) = relays.first() else {
        return Ok(Outage::default());
    };
    let zone = fleet.layout.zone_of(first.number);
    let victims: Vec<_> = relays
        .iter()
        .map(|relay| relay.number)
        .filter(|number| fleet.layout.zone_of(*number) == zone)
        .collect();
    lose(fleet, &victims).await
}

/// Kills all daemons of a zone.
pub async fn lose_zone(fleet: &mut Fleet, zone: usize) -> io::Result<Outage> {
    let layout = fleet.layout;
    let victims: Vec<_> = fleet
        .living
        .iter()
        .copied()
        .filter(|number| layout.zone_of(*number) == zone)
        .collect();
    lose(fleet, &victims).await
}

/// Kills `victims` and watches until nobody sees them and a new change is known to
/// be in force; then starts them anew.
async fn lose(fleet: &mut Fleet, victims: &[usize]) -> io::Result<Outage> {
    let meter = Meter::start(fleet).await?;
    fleet.kill(victims).await?;
    let started = Instant::now();
    let revision = fleet.log.accept();
    let mut outage = Outage {
        lost: victims.len(),
        ..Outage::default()
    };
    let mut wrongly = Accused::default();
    while started.elapsed() < WATCH_LIMIT {
        let views = fleet.views().await?;
        let elapsed = started.elapsed().as_secs_f64();
        wrongly.suspected.extend(&views.suspected);
        wrongly.given_up.extend(&views.given_up);
        if views.dead_seen.len() * 2 <= victims.len() {
            outage.half_detected.get_or_insert(elapsed);
        }
        if views.with_dead == 0 {
            outage.all_detected.get_or_insert(elapsed);
        }
        if fleet.progress().await?.all_in_force(revision) {
            outage.in_force_again.get_or_insert(elapsed);
        }
        if outage.all_detected.is_some() && outage.in_force_again.is_some() {
            break;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    outage.falsely_suspected = wrongly.suspected.len();
    outage.falsely_given_up = wrongly.given_up.len();
    outage.load = meter.finish(fleet).await?;
    fleet.start_daemons(victims).await?;
    outage.healed = settle(fleet).await?;
    Ok(outage)
}

/// Living daemons that others held to be dead.
#[derive(Debug, Default)]
struct Accused {
    suspected: BTreeSet<usize>,
    given_up: BTreeSet<usize>,
}

/// Cuts a region from the others for `length`, and joins it again.
pub async fn cut_region(fleet: &mut Fleet, region: usize, length: Duration) -> io::Result<Outage> {
    let layout = fleet.layout;
    let inside = fleet
        .living
        .iter()
        .filter(|number| layout.region_of(layout.zone_of(**number)) == region);
    let mut outage = Outage {
        lost: inside.count(),
        ..Outage::default()
    };
    let meter = Meter::start(fleet).await?;
    fleet.cut(BTreeSet::from([region])).await?;
    let started = Instant::now();
    let revision = fleet.log.accept();
    let mut given_up: BTreeSet<usize> = BTreeSet::new();
    while started.elapsed() < length {
        let views = fleet.views().await?;
        let elapsed = started.elapsed().as_secs_f64();
        given_up.extend(&views.given_up);
        // Each side sees the other as unreachable.
        if views.unreachable == fleet.living {
            outage.all_detected.get_or_insert(elapsed);
        }
        if fleet.progress().await?.all_in_force(revision) {
            outage.in_force_again.get_or_insert(elapsed);
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    outage.load = meter.finish(fleet).await?;
    fleet.cut(BTreeSet::new()).await?;
    fleet.log.accept();
    outage.healed = settle(fleet).await?;
    outage.falsely_given_up = given_up.len();
    Ok(outage)
}

/// The platform refuses all reads for `length` while some daemons restart.
pub async fn platform_down(fleet: &mut Fleet, length: Duration) -> io::Result<PlatformOutage> {
    fleet.latencies().await?;
    fleet.log.set_down(true);
    let started = Instant::now();
    let count = fleet.living.len() / RESTARTED_WITHOUT_PLATFORM;
    let restarted = restart(fleet, count).await?.len();
    tokio::time::sleep(length.saturating_sub(started.elapsed())).await;
    let progress = fleet.progress().await?;
    fleet.log.set_down(false);
    fleet.log.accept();
    let seconds = started.elapsed().as_secs_f64();
    settle(fleet).await?;
    Ok(PlatformOutage {
        seconds,
        restarted,
        caught_up_with_peers: progress.caught_up_with_peers,
        latency: latency(fleet, 1).await?,
    })
}
