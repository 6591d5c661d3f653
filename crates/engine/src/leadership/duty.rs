//! The lease under which one process of the fleet gives promotion orders.

use crate::engine::{Engine, StopPhase};
use crate::events::Event;
use crate::ports::{PutOutcome, Record, RecordStore, RecordStoreError};
use async_trait::async_trait;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use stilequay_coordination::clock::{Clock, MonotonicClock};
use stilequay_coordination::identity::{Incarnation, NodeId};
use stilequay_coordination::lease::{
    Acquisition, FencingNumber, Lease, LeaseCandidate, LeaseError, LeaseName, LeaseRecord,
    LeaseSettings, LeaseStore, LeaseStoreError, PutOutcome as LeasePutOutcome,
};
use tokio::time::sleep;

/// What the lease is for.
const LEASE_NAME: &str = "promotion";
/// Prefix of the keys of lease records.
const KEY_PREFIX: &str = "lease/";
/// How long the lease lasts, and how much earlier its holder stops relying on it: as long
/// as an order may take.
const LEASE_SETTINGS: LeaseSettings = LeaseSettings {
    duration: Duration::from_millis(1_800),
    margin: Duration::from_millis(600),
};
/// Interval of renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);
/// Pause after a failure, and the random part added to waits.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Keeps lease records among the other records.
#[derive(Debug)]
struct RecordLeases {
    records: Arc<dyn RecordStore>,
}

impl RecordLeases {
    async fn find(&self, key: &str) -> Result<Option<Record>, RecordStoreError> {
        let records = self.records.read_all().await?;
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
        let current = self.find(&key).await.map_err(translate)?;
        if current.as_ref().and_then(decode).as_ref() != expected {
            return Ok(LeasePutOutcome::Conflict);
        }
        let version = current.map_or(0, |current| current.version);
        let value = rmp_serde::to_vec_named(record).unwrap_or_default();
        let put = self.records.put_if(&key, version, value.into()).await;
        match put.map_err(translate)? {
            PutOutcome::Stored(_) => Ok(LeasePutOutcome::Stored),
            PutOutcome::Conflict => Ok(LeasePutOutcome::Conflict),
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

/// The lease as far as this process holds it.
#[derive(Debug)]
pub struct Duty {
    clock: MonotonicClock,
    lease: Mutex<Option<Lease>>,
}

impl Default for Duty {
    fn default() -> Self {
        Self {
            clock: MonotonicClock::new(),
            lease: Mutex::new(None),
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

    fn set(&self, engine: &Engine, lease: Option<Lease>, reason: &str) {
        let mut held = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = held.is_some() != lease.is_some();
        let fencing = lease.as_ref().or(held.as_ref()).map(Lease::fencing);
        *held = lease;
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
        let records = Arc::clone(engine.terms().store());
        let mut candidate = LeaseCandidate::new(
            LeaseName::new(LEASE_NAME),
            NodeId::new(&*engine.settings().node),
            Incarnation(rand::random()),
            LEASE_SETTINGS,
            Arc::new(RecordLeases { records }),
            Arc::new(self.clock.clone()),
        );
        let mut stop = engine.subscribe_stop();
        loop {
            let pause = self.pursue_once(engine, &mut candidate).await;
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
                Ok(Acquisition::Taken { retry_after }) => retry_after + jitter(),
                Err(_) => RETRY_PAUSE + jitter(),
            },
        }
    }
}

fn jitter() -> Duration {
    RETRY_PAUSE.mul_f64(rand::random())
}
