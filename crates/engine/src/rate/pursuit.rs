//! Pursuing the leases of the shards.

use super::SHARDS;
use super::counter::{Shard, rate_bounds};
use crate::engine::{Engine, StopPhase};
use crate::events::Event;
use crate::leadership::fleet;
use crate::leadership::lease_records::RecordLeases;
use futures::future::join_all;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::clock::Clock;
use stilequay_coordination::identity::{Incarnation, NodeId};
use stilequay_coordination::lease::{
    Acquisition, Lease, LeaseCandidate, LeaseError, LeaseName, LeaseRecord, LeaseSettings,
};
use tokio::time::{Instant, sleep};

/// How long a lease lasts, and how much earlier its holder stops relying on it. Longer than
/// three fifths of the usual time in which a removed credential must be known: until then
/// callers of a process that has lost the store are served.
const LEASE_SETTINGS: LeaseSettings = LeaseSettings {
    duration: Duration::from_millis(4_300),
    margin: Duration::from_millis(100),
};
/// Interval of renewals: three calls a second for the whole fleet.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time without an answer to a renewal after which the other candidates are warned: many times
/// what one takes.
const WARN_AFTER: Duration = Duration::from_millis(300);
/// Longest interval in which a candidate that is asked for permits looks at the lease of
/// another.
const WANTED_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval in which the first candidate looks at the lease of another although nobody asks
/// it: whoever asks finds the holder by itself.
const LOOK_INTERVAL: Duration = Duration::from_secs(20);
/// Interval in which a process asks itself whether it is to pursue a lease.
const BYSTANDER_PAUSE: Duration = Duration::from_millis(100);
/// Pause at the first start of a fleet, while its processes come to know one another: each
/// would be the first candidate for a moment, and ask the store.
const FIRST_START_PAUSE: Duration = Duration::from_secs(2);
/// Pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The clock that the counters' leases are dated by.
struct CountersClock(Arc<Engine>);

impl Clock for CountersClock {
    fn now(&self) -> Duration {
        self.0.counters().elapsed()
    }
}

/// Pursues the shards' leases until the process leaves; returns at once where no rates are
/// limited.
pub async fn run(engine: &Arc<Engine>) {
    if rate_bounds(engine).is_some() {
        join_all((0..SHARDS).map(|shard| pursue(engine, shard))).await;
    }
}

async fn pursue(engine: &Arc<Engine>, shard: Shard) {
    let mut candidate = LeaseCandidate::new(
        LeaseName::new(format!("rate-{shard}")),
        NodeId::new(&*engine.settings().node),
        Incarnation(rand::random()),
        LEASE_SETTINGS,
        Arc::new(RecordLeases::new(Arc::clone(engine.lease_records()))),
        Arc::new(CountersClock(Arc::clone(engine))),
    )
    .reclaiming_earlier_lives();
    engine.terms().until_read().await;
    if !fleet::is_registered(engine) {
        sleep(FIRST_START_PAUSE).await;
    }
    let mut stop = engine.subscribe_stop();
    let mut look_at = Instant::now();
    loop {
        let pause = match engine.homes().counter_rank(shard) {
            Some(rank) if is_due(engine, shard, rank, look_at) => {
                let pause = pursue_once(engine, shard, &mut candidate).await;
                look_at = Instant::now() + LOOK_INTERVAL;
                pause
            }
            Some(_) => BYSTANDER_PAUSE,
            None => {
                give_back(engine, shard, &candidate).await;
                BYSTANDER_PAUSE
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            _ = stop.wait_for(|phase| *phase > StopPhase::Serving) => break,
        }
    }
    give_back(engine, shard, &candidate).await;
}

/// Whether the candidate of `rank` is to renew or acquire the lease of `shard` now: while it
/// holds it, or is asked for permits; the first one also at `look_at`.
fn is_due(engine: &Engine, shard: Shard, rank: usize, look_at: Instant) -> bool {
    let counters = engine.counters();
    let now = Instant::now();
    let looks = rank == 0 && now >= look_at;
    counters.lease(shard).is_some() || counters.is_wanted(shard, now) || looks
}

/// Renews or tries to acquire; returns how long to wait before the next time.
async fn pursue_once(
    engine: &Arc<Engine>,
    shard: Shard,
    candidate: &mut LeaseCandidate,
) -> Duration {
    let counters = engine.counters();
    match counters.lease(shard) {
        Some(lease) => match renew(engine, shard, candidate, &lease).await {
            Ok(renewed) => {
                counters.renew(shard, renewed);
                RENEWAL_INTERVAL
            }
            // Nobody else can have taken it while the store answers nobody.
            Err(LeaseError::Store(_) | LeaseError::Lapsed) => {
                warn_others(engine, shard).await;
                jittered(RETRY_PAUSE)
            }
            Err(error) => {
                counters.end(shard);
                tell(engine, shard, false, &error.to_string());
                jittered(RETRY_PAUSE)
            }
        },
        None => match candidate.try_acquire().await {
            Ok(Acquisition::Held(lease)) => {
                let has_first = candidate.replaced().is_none_or(|r| has_lasted(engine, r));
                counters.begin(shard, lease, has_first);
                tell(engine, shard, true, "acquired");
                RENEWAL_INTERVAL
            }
            Ok(Acquisition::Taken { retry_after }) => jittered(retry_after.min(WANTED_INTERVAL)),
            Err(_) => jittered(RETRY_PAUSE),
        },
    }
}

/// Renews a lease. A store that is silent to this process only is found out by the call's
/// time-out, which is long: the others are warned before.
async fn renew(
    engine: &Engine,
    shard: Shard,
    candidate: &LeaseCandidate,
    lease: &Lease,
) -> Result<Lease, LeaseError> {
    let mut renewing = std::pin::pin!(candidate.renew(lease));
    tokio::select! {
        renewed = &mut renewing => return renewed,
        () = sleep(WARN_AFTER) => {}
    }
    let (renewed, ()) = tokio::join!(renewing, warn_others(engine, shard));
    renewed
}

/// Tells the other candidates that the lease may be lost: they may take it once they have
/// seen for its whole duration that it is not renewed, so they had better begin to look.
async fn warn_others(engine: &Engine, shard: Shard) {
    for address in engine.homes().counter_addresses(shard) {
        if let Some(link) = engine.homes().links().first_usable(&[address]).await {
            link.want(shard);
        }
    }
}

/// Whether the holding of `record` has lasted for a window at least: whoever has taken over
/// within it has then not begun with tokens.
fn has_lasted(engine: &Engine, record: &LeaseRecord) -> bool {
    let window = rate_bounds(engine).map_or(Duration::MAX, |bounds| bounds.window);
    let renewals = u32::try_from(record.renewal).unwrap_or(u32::MAX);
    RENEWAL_INTERVAL.saturating_mul(renewals) >= window
}

async fn give_back(engine: &Engine, shard: Shard, candidate: &LeaseCandidate) {
    let counters = engine.counters();
    let Some(lease) = counters.lease(shard) else {
        return;
    };
    counters.end(shard);
    tell(engine, shard, false, "given back");
    // What is not given back lapses.
    let _ = candidate.release(lease).await;
}

fn tell(engine: &Engine, shard: Shard, held: bool, reason: &str) {
    engine.events().write(&Event::RateCounter {
        shard,
        held,
        reason: reason.to_owned(),
    });
}

fn jittered(pause: Duration) -> Duration {
    pause + RETRY_PAUSE.mul_f64(rand::random())
}
