//! Pursuing the leases of the shards.

use super::SHARDS;
use super::counter::{Shard, rate_bounds};
use crate::engine::{Engine, StopPhase};
use crate::events::Event;
use crate::leadership::fleet;
use crate::leadership::lease_records::RecordLeases;
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

/// How long a lease lasts, and how much earlier its holder stops relying on it. What is left
/// of it just before a renewal is longer than three fifths of the usual time in which a
/// removed credential must be known: until then callers of a process that has lost the store
/// are served.
const LEASE_SETTINGS: LeaseSettings = LeaseSettings {
    duration: Duration::from_millis(5_300),
    margin: Duration::from_millis(100),
};
/// Interval of renewals: three calls a second for the whole fleet.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time without an answer to a renewal after which the other candidates are warned: many times
/// what one takes.
const WARN_AFTER: Duration = Duration::from_millis(300);
/// Longest interval in which a candidate that is asked for permits looks at the lease of
/// another: no shorter than that of renewals, before which it would see nothing new.
const WANTED_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval in which the first candidate looks at the lease of another although nobody asks
/// it: whoever asks finds the holder by itself.
const LOOK_INTERVAL: Duration = Duration::from_secs(20);
/// Interval in which a process asks itself whether it is to pursue a lease.
const BYSTANDER_PAUSE: Duration = Duration::from_millis(100);
/// Pause at the first start of a fleet, while its processes come to know one another: each
/// would be the first candidate for a moment, and ask the store.
const FIRST_START_PAUSE: Duration = Duration::from_secs(2);
/// Time without a renewal after which a counter is suspected though nobody asks for its
/// permits: callers ask another shard first, and would miss this one only once that is
/// exhausted.
const OVERDUE_AFTER: Duration = Duration::from_millis(2_500);
/// Pause before a counter that has answered is suspected again.
const SUSPECT_INTERVAL: Duration = Duration::from_millis(700);
/// Time by which each further candidate lets the one before it go first.
const TURN: Duration = Duration::from_millis(150);
/// Pause after a renewal that failed: two calls a second of each counter while the store is
/// away, and many renewals' worth of time is left.
const RENEWAL_RETRY_PAUSE: Duration = Duration::from_millis(300);
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

/// One process's part in the counting of one shard.
struct Pursuit {
    shard: Shard,
    candidate: LeaseCandidate,
    /// When the first candidate looks at the lease although nobody asks it.
    look_at: Instant,
    /// Not before this moment can the lease of another be free, as far as is known.
    free_at: Instant,
    /// The lease as its counter has told it, since this process looked at it: it is taken over
    /// then without anybody asking for permits.
    told: Option<LeaseRecord>,
    /// Not before this moment is it asked again whether the counter answers.
    suspect_at: Instant,
    /// When the counter counts as overdue with its next renewal.
    overdue_at: Instant,
}

async fn pursue(engine: &Arc<Engine>, shard: Shard) {
    let candidate = LeaseCandidate::new(
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
    let now = Instant::now();
    let mut pursuit = Pursuit {
        shard,
        candidate,
        look_at: now,
        free_at: now,
        told: None,
        suspect_at: now,
        overdue_at: now,
    };
    loop {
        let pause = match engine.homes().counter_rank(shard) {
            Some(rank) => pursuit.step(engine, rank).await,
            None => {
                pursuit.give_back(engine).await;
                BYSTANDER_PAUSE
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            _ = stop.wait_for(|phase| *phase > StopPhase::Serving) => break,
        }
    }
    pursuit.give_back(engine).await;
}

impl Pursuit {
    /// Does what the candidate of `rank` has to do now; returns how long to wait before the
    /// next time.
    async fn step(&mut self, engine: &Arc<Engine>, rank: usize) -> Duration {
        if let Some(record) = engine.counters().take_told(self.shard) {
            let turn = TURN * u32::try_from(rank.saturating_sub(1)).unwrap_or(u32::MAX);
            self.free_at = Instant::now() + self.candidate.observe(&record) + turn;
            self.told = Some(record);
            self.overdue_at = Instant::now() + OVERDUE_AFTER;
        }
        if let Some(lease) = engine.counters().lease(self.shard) {
            return self.hold(engine, &lease).await;
        }
        if self.is_due(engine, rank) {
            return self.acquire(engine).await;
        }
        match self.suspect(engine).await {
            Some(suspect) => self.take_over(engine, &suspect).await,
            None => BYSTANDER_PAUSE,
        }
    }

    /// Whether the candidate of `rank` is to try to acquire the lease now: its counter has told
    /// of no renewal for a whole lease, or processes ask this one for permits; the first one
    /// also looks by itself.
    fn is_due(&self, engine: &Engine, rank: usize) -> bool {
        let now = Instant::now();
        let looks = rank == 0 && now >= self.look_at;
        let is_wanted = engine.counters().is_wanted(self.shard, now);
        now >= self.free_at && (self.told.is_some() || is_wanted || looks)
    }

    /// Renews the lease that this process holds.
    async fn hold(&mut self, engine: &Arc<Engine>, lease: &Lease) -> Duration {
        match renew(engine, self.shard, &self.candidate, lease).await {
            Ok(renewed) => {
                engine.counters().renew(self.shard, renewed.clone());
                tell_candidates(engine, self.shard, renewed.record()).await;
                RENEWAL_INTERVAL
            }
            // Nobody else can have taken it while the store answers nobody.
            Err(LeaseError::Store(_) | LeaseError::Lapsed) => {
                warn_others(engine, self.shard).await;
                jittered(RENEWAL_RETRY_PAUSE)
            }
            Err(error) => {
                engine.counters().end(self.shard);
                write_event(engine, self.shard, false, &error.to_string());
                jittered(RETRY_PAUSE)
            }
        }
    }

    /// Tries once to take the lease over.
    async fn acquire(&mut self, engine: &Arc<Engine>) -> Duration {
        let acquired = self.candidate.try_acquire().await;
        let now = Instant::now();
        self.look_at = now + LOOK_INTERVAL;
        match acquired {
            Ok(Acquisition::Held(lease)) => {
                let replaced = self.candidate.replaced();
                let has_first = replaced.is_none_or(|replaced| has_lasted(engine, replaced));
                let record = lease.record().clone();
                let own = &engine.settings().node;
                let shared = replaced.map_or(Duration::ZERO, |r| still_shared(r, own));
                let fills_from = engine.counters().elapsed() + shared;
                let counters = engine.counters();
                counters.begin(self.shard, lease, has_first, fills_from);
                write_event(engine, self.shard, true, "acquired");
                tell_candidates(engine, self.shard, &record).await;
                RENEWAL_INTERVAL
            }
            Ok(Acquisition::Taken { retry_after }) => {
                self.free_at = now + jittered(retry_after.min(WANTED_INTERVAL));
                self.told = None;
                BYSTANDER_PAUSE
            }
            Err(_) => jittered(RETRY_PAUSE),
        }
    }

    /// The lease of a counter that seems to be lost: others have asked for permits here, since
    /// it does not answer them, or it has told of no renewal; and it does not answer this process
    /// either. `None` too where a successor would have nothing to grant before the lease has
    /// lapsed.
    async fn suspect(&mut self, engine: &Engine) -> Option<LeaseRecord> {
        let now = Instant::now();
        let is_wanted = engine.counters().is_wanted(self.shard, now);
        let is_missed = is_wanted || now >= self.overdue_at;
        let record = self.told.as_ref().filter(|_| is_missed)?;
        if now < self.suspect_at || !has_lasted(engine, record) {
            return None;
        }
        let homes = engine.homes();
        let address = homes.counter_address(self.shard, record.holder.as_str())?;
        self.suspect_at = now + SUSPECT_INTERVAL;
        let links = homes.links();
        if let Some(link) = links.first_usable(&[address]).await {
            link.ping();
            sleep(SUSPECT_AFTER + BYSTANDER_PAUSE).await;
        }
        let answers = links.first_usable(&[address]).await.is_some();
        self.told.clone().filter(|_| !answers)
    }

    /// Takes the lease from the counter that has told `suspect`. The buckets begin with tokens,
    /// which are granted at once; they are filled once the other has surely stopped.
    async fn take_over(&mut self, engine: &Arc<Engine>, suspect: &LeaseRecord) -> Duration {
        let taken = match self.candidate.take_over(suspect).await {
            Ok(Some(taken)) => taken,
            Ok(None) => return BYSTANDER_PAUSE,
            Err(error) => {
                log::warn!("shard {} was not taken over: {error}", self.shard);
                return jittered(RETRY_PAUSE);
            }
        };
        let replaced = self.candidate.replaced();
        let has_first = replaced.is_some_and(|replaced| has_lasted(engine, replaced));
        let record = taken.lease.record().clone();
        let counters = engine.counters();
        counters.begin(self.shard, taken.lease, has_first, taken.shared_until);
        write_event(engine, self.shard, true, "taken over");
        tell_candidates(engine, self.shard, &record).await;
        RENEWAL_INTERVAL
    }

    async fn give_back(&mut self, engine: &Arc<Engine>) {
        let counters = engine.counters();
        let Some(lease) = counters.lease(self.shard) else {
            return;
        };
        counters.end(self.shard);
        write_event(engine, self.shard, false, "given back");
        let released = LeaseRecord {
            released: true,
            ..lease.record().clone()
        };
        // What is not given back lapses.
        if self.candidate.release(lease).await.is_ok() {
            tell_candidates(engine, self.shard, &released).await;
        }
    }
}

/// Tells the other candidates of a lease that was acquired, renewed or given back, so that they
/// know how long it lasts without a call of the store: a successor comes as soon as it lapses, though
/// nobody asks it.
async fn tell_candidates(engine: &Engine, shard: Shard, record: &LeaseRecord) {
    let addresses = engine.homes().counter_addresses(shard);
    let tell = |link: &Link| link.send_counter_lease(shard, record);
    engine
        .homes()
        .links()
        .for_each_usable(addresses, tell)
        .await;
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
            link.prepare_counter(shard);
        }
    }
}

/// Whether a successor of the holding of `record` may begin with tokens: it has lasted for a
/// window at least, and for a lease besides where the counter before it might act as long.
/// Then no window holds both what was granted before that holding and what the successor begins
/// with.
fn has_lasted(engine: &Engine, record: &LeaseRecord) -> bool {
    let window = rate_bounds(engine).map_or(Duration::MAX, |bounds| bounds.window);
    let shared = match record.taken_early {
        true => record.duration,
        false => Duration::ZERO,
    };
    record.held >= window.saturating_add(shared)
}

/// For how long the counter before the holding of `record` may act still, where that was taken
/// early, and is acquired by `own` before it has lapsed.
fn still_shared(record: &LeaseRecord, own: &str) -> Duration {
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
