//! The lease under which one process of the fleet gives promotion orders.

use super::fleet;
use crate::engine::{Engine, StopPhase};
use crate::events::Event;
use crate::ports::{PutOutcome, Record, RecordStore, RecordStoreError};
use async_trait::async_trait;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stilequay_coordination::clock::Clock;
use stilequay_coordination::identity::{Incarnation, NodeId};
use stilequay_coordination::lease::{
    Acquisition, FencingNumber, Lease, LeaseCandidate, LeaseError, LeaseName, LeaseRecord,
    LeaseSettings, LeaseStore, LeaseStoreError, PutOutcome as LeasePutOutcome,
};
use tokio::time::{Instant, sleep};

/// What the lease is for.
const LEASE_NAME: &str = "promotion";
/// Prefix of the keys of lease records.
const KEY_PREFIX: &str = "lease/";
/// How long the lease lasts, and how much earlier its holder stops relying on it: as long
/// as an order may take.
const LEASE_SETTINGS: LeaseSettings = LeaseSettings {
    duration: Duration::from_millis(1_300),
    margin: Duration::from_millis(450),
};
/// Interval of renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(330);
/// Processes that always pursue the lease.
const CANDIDATES: usize = 5;
/// Interval in which a candidate looks at the lease of another.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval in which any other process asks itself whether it is to pursue it.
const BYSTANDER_PAUSE: Duration = Duration::from_millis(300);
/// How long a suspicion makes a process pursue it.
const WANTED_FOR: Duration = Duration::from_secs(6);
/// Pause after a failure, and the random part added to waits.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Keeps lease records among the other records.
#[derive(Debug)]
struct RecordLeases {
    records: Arc<dyn RecordStore>,
    /// The record as it was last read or written: a renewal needs no reading before it.
    last: Mutex<Option<(LeaseRecord, u64)>>,
}

impl RecordLeases {
    /// The version of `expected`, where it is what was last read or written; else it is
    /// read. `None` where the store has another record.
    async fn version_of(
        &self,
        key: &str,
        expected: Option<&LeaseRecord>,
    ) -> Result<Option<u64>, RecordStoreError> {
        let last = self.last().clone();
        if let (Some((record, version)), Some(expected)) = (last, expected)
            && record == *expected
        {
            return Ok(Some(version));
        }
        let current = self.find(key).await?;
        let same = current.as_ref().and_then(decode).as_ref() == expected;
        Ok(same.then(|| current.map_or(0, |current| current.version)))
    }

    fn last(&self) -> MutexGuard<'_, Option<(LeaseRecord, u64)>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn find(&self, key: &str) -> Result<Option<Record>, RecordStoreError> {
        let records = self.records.read(key).await?;
        Ok(records.written.into_iter().find(|record| record.key == key))
    }
}

#[async_trait]
impl LeaseStore for RecordLeases {
    async fn get(&self, name: &LeaseName) -> Result<Option<LeaseRecord>, LeaseStoreError> {
        let found = self.find(&key(name)).await.map_err(translate)?;
        Ok(found.and_then(|record| decode(&record)))
    }

    async fn put_if(
        &self,
        name: &LeaseName,
        expected: Option<&LeaseRecord>,
        record: &LeaseRecord,
    ) -> Result<LeasePutOutcome, LeaseStoreError> {
        let key = key(name);
        let version = self.version_of(&key, expected).await.map_err(translate)?;
        let Some(version) = version else {
            return Ok(LeasePutOutcome::Conflict);
        };
        let value = rmp_serde::to_vec_named(record).unwrap_or_default();
        let put = self.records.put_if(&key, version, value.into()).await;
        match put.map_err(translate)? {
            PutOutcome::Stored(version) => {
                *self.last() = Some((record.clone(), version));
                Ok(LeasePutOutcome::Stored)
            }
            PutOutcome::Conflict => {
                *self.last() = None;
                Ok(LeasePutOutcome::Conflict)
            }
        }
    }
}

fn key(name: &LeaseName) -> String {
    format!("{KEY_PREFIX}{name}")
}

fn decode(record: &Record) -> Option<LeaseRecord> {
    rmp_serde::from_slice(&record.value).ok()
}

fn translate(error: RecordStoreError) -> LeaseStoreError {
    match error {
        RecordStoreError::Unknown(reason) => LeaseStoreError::Unknown(reason),
        error => LeaseStoreError::Unavailable(error.to_string()),
    }
}

/// The runtime's monotonic clock, which tests can pause.
#[derive(Debug, Clone)]
struct RuntimeClock {
    origin: Instant,
}

impl Clock for RuntimeClock {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// The lease as far as this process holds it.
#[derive(Debug)]
pub struct Duty {
    clock: RuntimeClock,
    lease: Mutex<Option<Lease>>,
    /// Until when this process wants the lease although others come first.
    wanted_until: Mutex<Option<Instant>>,
}

impl Default for Duty {
    fn default() -> Self {
        Self {
            clock: RuntimeClock {
                origin: Instant::now(),
            },
            lease: Mutex::new(None),
            wanted_until: Mutex::new(None),
        }
    }
}

impl Duty {
    /// The number that an order must carry, if the lease is held now. To be called again
    /// directly before each order.
    pub fn check(&self) -> Option<FencingNumber> {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.as_ref()?.check(self.clock.now()).ok()
    }

    /// Notes that a leader is suspected: should nobody hold the lease, this process takes it
    /// after those that come first had their time.
    pub fn want(&self) {
        let until = Instant::now() + WANTED_FOR;
        *lock(&self.wanted_until) = Some(until);
    }

    /// Whether this process is to pursue the lease: a few of the fleet always do, any other
    /// only while it suspects a leader. So the cost at the store does not grow with the fleet.
    fn is_candidate(&self, engine: &Engine) -> bool {
        let wanted = lock(&self.wanted_until).is_some_and(|until| Instant::now() < until);
        wanted || self.held().is_some() || fleet::rank(engine) < CANDIDATES
    }

    fn set(&self, engine: &Engine, lease: Option<Lease>, reason: &str) {
        let mut held = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = held.is_some() != lease.is_some();
        let fencing = lease.as_ref().or(held.as_ref()).map(Lease::fencing);
        *held = lease;
        metrics::gauge!("stilequay_promotion_lease_held").set(f64::from(u8::from(held.is_some())));
        if changed {
            engine.events().write(&Event::PromotionLease {
                held: held.is_some(),
                fencing: fencing.map_or(0, |fencing| fencing.0),
                reason: reason.to_owned(),
            });
        }
    }

    /// Pursues the lease until the process leaves.
    pub async fn pursue(&self, engine: &Engine) {
        let records = Arc::clone(engine.lease_records());
        let mut candidate = LeaseCandidate::new(
            LeaseName::new(LEASE_NAME),
            NodeId::new(&*engine.settings().node),
            Incarnation(rand::random()),
            LEASE_SETTINGS,
            Arc::new(RecordLeases {
                records,
                last: Mutex::new(None),
            }),
            Arc::new(self.clock.clone()),
        )
        .reclaiming_earlier_lives();
        let mut stop = engine.subscribe_stop();
        loop {
            let pause = match self.is_candidate(engine) {
                true => self.pursue_once(engine, &mut candidate).await,
                false => BYSTANDER_PAUSE,
            };
            tokio::select! {
                () = sleep(pause) => {}
                _ = stop.wait_for(|phase| *phase > StopPhase::Serving) => break,
            }
        }
        let held = self.held();
        self.set(engine, None, "leaving");
        if let Some(lease) = held {
            // What is not given back ends by itself.
            let _ = candidate.release(lease).await;
        }
    }

    fn held(&self) -> Option<Lease> {
        let lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.clone()
    }

    /// Renews or tries to acquire; returns how long to wait before the next time.
    async fn pursue_once(&self, engine: &Engine, candidate: &mut LeaseCandidate) -> Duration {
        match self.held() {
            Some(lease) => match candidate.renew(&lease).await {
                Ok(renewed) => {
                    self.set(engine, Some(renewed), "renewed");
                    RENEWAL_INTERVAL
                }
                Err(LeaseError::Store(_)) if self.check().is_some() => RETRY_PAUSE,
                Err(error) => {
                    self.set(engine, None, &error.to_string());
                    RETRY_PAUSE
                }
            },
            None => match candidate.try_acquire().await {
                Ok(Acquisition::Held(lease)) => {
                    self.set(engine, Some(lease), "acquired");
                    RENEWAL_INTERVAL
                }
                Ok(Acquisition::Taken { retry_after }) => retry_after.min(POLL_INTERVAL) + jitter(),
                Err(_) => RETRY_PAUSE + jitter(),
            },
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn jitter() -> Duration {
    RETRY_PAUSE.mul_f64(rand::random())
}
