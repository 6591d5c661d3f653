//! Acquires, renews and releases the leases of the rate-limit shards.

use super::SHARD_COUNT;
use super::counter::{Shard, rate_bounds};
use crate::engine::{Engine, StopPhase};
use crate::events::Event;
use crate::leadership::fleet;
use crate::leadership::lease_records::RecordLeaseStore;
use crate::link::{Link, SUSPECT_AFTER};
use futures::future::join_all;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::clock::Clock;
use stilequay_coordination::identity::{Incarnation, NodeId};
use stilequay_coordination::lease::{
    Acquisition, Lease, LeaseCandidate, LeaseError, LeaseName, LeaseRecord, LeaseSettings,
};
use tokio::time::{Instant, sleep};

/// Lease duration, and the margin by which the holder stops relying on it earlier. What remains of
/// a lease just before a renewal is longer than three fifths of the usual bound within which a
/// credential revocation must be known, because a process that has lost the store serves its
/// callers for that long.
const LEASE_SETTINGS: LeaseSettings = LeaseSettings {
    duration: Duration::from_millis(5_300),
    margin: Duration::from_millis(100),
};
/// Renewal interval, which causes three store calls a second for the whole fleet.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time without a response to a renewal after which the other candidates are warned, many times
/// the usual response time.
const RENEWAL_WARNING_DELAY: Duration = Duration::from_millis(300);
/// Maximum interval at which a candidate whose counting was requested checks another holder's
/// lease. Not shorter than the renewal interval, since the record doesn't change between renewals.
const REQUESTED_CHECK_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval at which the first candidate checks another holder's lease without a request. It can
/// be long because processes that need permits find the holder by themselves.
const UNREQUESTED_CHECK_INTERVAL: Duration = Duration::from_secs(20);
/// Interval at which a process that doesn't hold the lease checks whether it should acquire it.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause at the first start of a fleet, while its processes discover one another. Without it, each
/// process would briefly consider itself the first candidate and call the store.
const FIRST_START_PAUSE: Duration = Duration::from_secs(2);
/// Time without a renewal after which a counter is suspected even if nobody requested its permits.
/// Callers query other shards first, and would miss this one only once those are exhausted.
const OVERDUE_AFTER: Duration = Duration::from_millis(2_500);
/// Minimum interval between two checks whether a suspected counter responds.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(700);
/// Delay per rank, so that candidates try to acquire the lease one after another.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// Pause after a failed renewal. It causes up to two calls a second per counter while the store is
/// unavailable, and leaves time for many attempts before the lease expires.
const RENEWAL_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause after other failures, and the range of the random jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Clock by which the counters' leases are dated.
struct CounterClock(Arc<Engine>);

impl Clock for CounterClock {
    fn now(&self) -> Duration {
        self.0.counters().elapsed()
    }
}

/// Runs the lease tasks of all shards until the process shuts down. Returns immediately if rate
/// limiting is disabled.
pub async fn run(engine: &Arc<Engine>) {
    if rate_bounds(engine).is_some() {
        join_all((0..SHARD_COUNT).map(|shard| run_shard(engine, shard))).await;
    }
}

/// State of one process's lease task for one shard.
struct ShardLeaseTask {
    shard: Shard,
    candidate: LeaseCandidate,
    /// When the first candidate next checks the lease without a request.
    next_check_at: Instant,
    /// Earliest time at which the lease of another holder can be free, as far as is known.
    earliest_free_at: Instant,
    /// Lease announced by its holder since this process last read it from the store. Once it has
    /// expired, the shard is taken over without a request.
    announced: Option<LeaseRecord>,
    /// Earliest time of the next check whether a suspected counter responds.
    next_suspect_at: Instant,
    /// Time from which the counter's next renewal is overdue.
    overdue_at: Instant,
}

async fn run_shard(engine: &Arc<Engine>, shard: Shard) {
    let candidate = LeaseCandidate::new(
        LeaseName::new(format!("rate-{shard}")),
        NodeId::new(&*engine.settings().node),
        Incarnation(rand::random()),
        LEASE_SETTINGS,
        Arc::new(RecordLeaseStore::new(
            Arc::clone(engine.lease_records()),
            Arc::clone(engine.events()),
        )),
        Arc::new(CounterClock(Arc::clone(engine))),
    )
    .reclaiming_earlier_lives();
    engine.terms().wait_until_read().await;
    if !fleet::is_registered(engine) {
        sleep(FIRST_START_PAUSE).await;
    }
    let mut stop = engine.subscribe_stop();
    let now = Instant::now();
    let mut task = ShardLeaseTask {
        shard,
        candidate,
        next_check_at: now,
        earliest_free_at: now,
        announced: None,
        next_suspect_at: now,
        overdue_at: now,
    };
    loop {
        let pause = match engine.homes().counter_rank(shard) {
            Some(rank) => task.step(engine, rank).await,
            None => {
                task.release(engine).await;
                POLL_INTERVAL
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            _ = stop.wait_for(|phase| *phase > StopPhase::Serving) => break,
        }
    }
    task.release(engine).await;
}

impl ShardLeaseTask {
    /// Performs the next step of the candidate with `rank`. Returns the pause until the following
    /// step.
    async fn step(&mut self, engine: &Arc<Engine>, rank: usize) -> Duration {
        if let Some(record) = engine.counters().take_announced(self.shard) {
            let delay = RANK_DELAY * u32::try_from(rank.saturating_sub(1)).unwrap_or(u32::MAX);
            self.earliest_free_at = Instant::now() + self.candidate.observe(&record) + delay;
            self.announced = Some(record);
            self.overdue_at = Instant::now() + OVERDUE_AFTER;
        }
        if let Some(lease) = engine.counters().lease(self.shard) {
            return self.renew_held(engine, &lease).await;
        }
        if self.is_due(engine, rank) {
            return self.acquire(engine).await;
        }
        match self.suspect(engine).await {
            Some(suspect) => self.take_over(engine, &suspect).await,
            None => POLL_INTERVAL,
        }
    }

    /// Whether the candidate with `rank` should try to acquire the lease now: the holder has
    /// announced no renewal for a whole lease duration, or other processes have requested a
    /// counter. The first candidate also checks periodically.
    fn is_due(&self, engine: &Engine, rank: usize) -> bool {
        let now = Instant::now();
        let is_check_due = rank == 0 && now >= self.next_check_at;
        let is_requested = engine.counters().is_requested(self.shard, now);
        now >= self.earliest_free_at && (self.announced.is_some() || is_requested || is_check_due)
    }

    /// Renews the lease that this process holds.
    async fn renew_held(&mut self, engine: &Arc<Engine>, lease: &Lease) -> Duration {
        match renew(engine, self.shard, &self.candidate, lease).await {
            Ok(renewed) => {
                engine.counters().renew(self.shard, renewed.clone());
                announce_lease(engine, self.shard, renewed.record()).await;
                RENEWAL_INTERVAL
            }
            // No other process can have acquired the lease while the store is unavailable.
            Err(LeaseError::Store(_) | LeaseError::Lapsed) => {
                warn_candidates(engine, self.shard).await;
                jittered(RENEWAL_RETRY_PAUSE)
            }
            Err(error) => {
                engine.counters().stop(self.shard);
                write_event(engine, self.shard, false, &error.to_string());
                jittered(RETRY_PAUSE)
            }
        }
    }

    /// Tries once to acquire the lease.
    async fn acquire(&mut self, engine: &Arc<Engine>) -> Duration {
        let acquired = self.candidate.try_acquire().await;
        let now = Instant::now();
        self.next_check_at = now + UNREQUESTED_CHECK_INTERVAL;
        match acquired {
            Ok(Acquisition::Held(lease)) => {
                let replaced = self.candidate.replaced();
                let has_initial =
                    replaced.is_none_or(|replaced| successor_has_initial_tokens(engine, replaced));
                let record = lease.record().clone();
                let own = &engine.settings().node;
                let shared = replaced.map_or(Duration::ZERO, |r| remaining_overlap(r, own));
                let fills_from = engine.counters().elapsed() + shared;
                let counters = engine.counters();
                counters.start(self.shard, lease, has_initial, fills_from);
                write_event(engine, self.shard, true, "acquired");
                announce_lease(engine, self.shard, &record).await;
                RENEWAL_INTERVAL
            }
            Ok(Acquisition::Taken { retry_after }) => {
                self.earliest_free_at = now + jittered(retry_after.min(REQUESTED_CHECK_INTERVAL));
                self.announced = None;
                POLL_INTERVAL
            }
            Err(_) => jittered(RETRY_PAUSE),
        }
    }

    /// Returns the lease of a counter that appears to have failed: other processes have requested
    /// its permits here because it does not respond to them, or it has announced no renewal, and it
    /// does not respond to this process either. Also `None` if a successor would have nothing to
    /// grant before the lease has expired.
    async fn suspect(&mut self, engine: &Engine) -> Option<LeaseRecord> {
        let now = Instant::now();
        let is_requested = engine.counters().is_requested(self.shard, now);
        let is_missed = is_requested || now >= self.overdue_at;
        let record = self.announced.as_ref().filter(|_| is_missed)?;
        if now < self.next_suspect_at || !successor_has_initial_tokens(engine, record) {
            return None;
        }
        let homes = engine.homes();
        let address = homes.counter_address(self.shard, record.holder.as_str())?;
        self.next_suspect_at = now + SUSPECT_INTERVAL;
        let links = homes.links();
        if let Some(link) = links.first_usable(&[address]).await {
            link.ping();
            sleep(SUSPECT_AFTER + POLL_INTERVAL).await;
        }
        let answers = links.first_usable(&[address]).await.is_some();
        self.announced.clone().filter(|_| !answers)
    }

    /// Takes the lease over from the counter that announced `suspect`. The initial tokens of the
    /// buckets can be granted immediately; refilling starts once the previous counter has certainly
    /// stopped.
    async fn take_over(&mut self, engine: &Arc<Engine>, suspect: &LeaseRecord) -> Duration {
        let taken = match self.candidate.take_over(suspect).await {
            Ok(Some(taken)) => taken,
            Ok(None) => return POLL_INTERVAL,
            Err(error) => {
                log::warn!(
                    "failed to take over rate-limit shard {}: {error}",
                    self.shard
                );
                return jittered(RETRY_PAUSE);
            }
        };
        let replaced = self.candidate.replaced();
        let has_initial =
            replaced.is_some_and(|replaced| successor_has_initial_tokens(engine, replaced));
        let record = taken.lease.record().clone();
        let counters = engine.counters();
        counters.start(self.shard, taken.lease, has_initial, taken.shared_until);
        write_event(engine, self.shard, true, "taken over");
        announce_lease(engine, self.shard, &record).await;
        RENEWAL_INTERVAL
    }

    async fn release(&mut self, engine: &Arc<Engine>) {
        let counters = engine.counters();
        let Some(lease) = counters.lease(self.shard) else {
            return;
        };
        counters.stop(self.shard);
        write_event(engine, self.shard, false, "given back");
        let released = LeaseRecord {
            released: true,
            ..lease.record().clone()
        };
        // A lease that can't be released expires by itself.
        if self.candidate.release(lease).await.is_ok() {
            announce_lease(engine, self.shard, &released).await;
        }
    }
}

/// Announces a lease that was acquired, renewed or released to the other candidates. They know
/// without a store call when it expires, so a successor takes over then without a request.
async fn announce_lease(engine: &Engine, shard: Shard, record: &LeaseRecord) {
    let addresses = engine.homes().counter_addresses(shard);
    let tell = |link: &Link| link.send_counter_lease(shard, record);
    engine
        .homes()
        .links()
        .for_each_usable(addresses, tell)
        .await;
}

/// Renews a lease. If the store is unreachable from this process only, the call fails after a long
/// timeout; the other candidates are warned before that.
async fn renew(
    engine: &Engine,
    shard: Shard,
    candidate: &LeaseCandidate,
    lease: &Lease,
) -> Result<Lease, LeaseError> {
    let mut renewing = std::pin::pin!(candidate.renew(lease));
    tokio::select! {
        renewed = &mut renewing => return renewed,
        () = sleep(RENEWAL_WARNING_DELAY) => {}
    }
    let (renewed, ()) = tokio::join!(renewing, warn_candidates(engine, shard));
    renewed
}

/// Warns the other candidates that the lease may be lost. They may acquire it only after they have
/// observed for its whole duration that it is not renewed, so they should start to observe it.
async fn warn_candidates(engine: &Engine, shard: Shard) {
    for address in engine.homes().counter_addresses(shard) {
        if let Some(link) = engine.homes().links().first_usable(&[address]).await {
            link.prepare_counter(shard);
        }
    }
}

/// Whether a successor to the tenure in `record` may start with initial tokens. The tenure must
/// have lasted for at least one window, plus a lease duration if the previous counter may have
/// acted for that long. Then no window contains both permits granted before that tenure and the
/// successor's initial tokens.
fn successor_has_initial_tokens(engine: &Engine, record: &LeaseRecord) -> bool {
    let window = rate_bounds(engine).map_or(Duration::MAX, |bounds| bounds.window);
    let shared = match record.taken_early {
        true => record.duration,
        false => Duration::ZERO,
    };
    record.held >= window.saturating_add(shared)
}

/// Returns how much longer the counter before the tenure in `record` may still act, if that tenure
/// was taken early and `own` acquires the lease before it has expired.
fn remaining_overlap(record: &LeaseRecord, own: &str) -> Duration {
    let is_lapsed = !record.released && record.holder.as_str() != own;
    match record.taken_early && !is_lapsed {
        true => record.duration.saturating_sub(record.held),
        false => Duration::ZERO,
    }
}

fn write_event(engine: &Engine, shard: Shard, held: bool, reason: &str) {
    engine.events().write(&Event::RateCounter {
        shard,
        held,
        reason: reason.to_owned(),
    });
}

fn jittered(pause: Duration) -> Duration {
    pause + RETRY_PAUSE.mul_f64(rand::random())
}
