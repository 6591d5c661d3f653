//! What a hollow daemon does with changes: it notes when they came.

use super::message::Latencies;
use super::platform::{accepted_at, now_in_microseconds};
use async_trait::async_trait;
use bytes::Bytes;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use stilequay_coordination::distribution::{ApplyError, Change, ChangeSink, Snapshot};
use stilequay_coordination::revision::Revision;

/// Significant digits of the latencies kept.
const PRECISION: u8 = 3;

/// When the changes came, over all daemons of a process.
#[derive(Debug)]
pub struct Arrivals {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    latencies: Histogram<u64>,
    worst: BTreeMap<u64, u64>,
    count: BTreeMap<u64, u64>,
    known_in_force: BTreeMap<u64, u64>,
    accepted: BTreeMap<u64, u64>,
}

impl Inner {
    fn new() -> Self {
        Self {
            latencies: Histogram::new(PRECISION).expect("the precision is valid"),
            worst: BTreeMap::new(),
            count: BTreeMap::new(),
            known_in_force: BTreeMap::new(),
            accepted: BTreeMap::new(),
        }
    }
}

impl Arrivals {
    /// Nothing came yet.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner::new()),
        })
    }

    /// A daemon has applied `revision`, accepted at `accepted`.
    fn note(&self, revision: u64, accepted: u64) {
        let latency = now_in_microseconds().saturating_sub(accepted).max(1);
        let mut inner = self.inner();
        // The histogram grows as needed; only a value beyond 64 bits would fail.
        let _ = inner.latencies.record(latency);
        let worst = inner.worst.entry(revision).or_default();
        *worst = (*worst).max(latency);
        *inner.count.entry(revision).or_default() += 1;
        inner.accepted.insert(revision, accepted);
    }

    /// A daemon has learnt that everything up to `revision` is in force everywhere.
    pub fn note_in_force(&self, revision: u64) {
        let now = now_in_microseconds();
        let mut inner = self.inner();
        let reached: Vec<_> = inner
            .accepted
            .range(..=revision)
            .map(|(revision, accepted)| (*revision, now.saturating_sub(*accepted)))
            .collect();
        for (revision, latency) in reached {
            inner.known_in_force.entry(revision).or_insert(latency);
        }
    }

    /// What came since the last call.
    pub fn take(&self) -> Latencies {
        let inner = std::mem::replace(&mut *self.inner(), Inner::new());
        let recorded = inner.latencies.iter_recorded();
        Latencies {
            applied: recorded
                .map(|value| (value.value_iterated_to(), value.count_at_value()))
                .collect(),
            worst: inner.worst,
            count: inner.count,
            known_in_force: inner.known_in_force,
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The sink of one life of a hollow daemon.
#[derive(Debug)]
pub struct HollowSink {
    arrivals: Arc<Arrivals>,
    started: u64,
    applied: AtomicU64,
    went_back: AtomicBool,
}

impl HollowSink {
    /// A sink that notes in `arrivals` what was accepted after this moment.
    pub fn new(arrivals: Arc<Arrivals>) -> Arc<Self> {
        Arc::new(Self {
            arrivals,
            started: now_in_microseconds(),
            applied: AtomicU64::new(0),
            went_back: AtomicBool::new(false),
        })
    }

    /// Whether the state ever went back.
    pub fn went_back(&self) -> bool {
        self.went_back.load(Ordering::SeqCst)
    }

    fn advance(&self, revision: Revision) {
        let before = self.applied.swap(revision.0, Ordering::SeqCst);
        if revision.0 <= before {
            self.went_back.store(true, Ordering::SeqCst);
        }
    }
}

#[async_trait]
impl ChangeSink for HollowSink {
    async fn apply(&self, change: &Change) -> Result<(), ApplyError> {
        self.advance(change.revision);
        let accepted = accepted_at(change).unwrap_or(0);
        if accepted >= self.started {
            self.arrivals.note(change.revision.0, accepted);
        }
        Ok(())
    }

    async fn install(&self, snapshot: &Snapshot) -> Result<(), ApplyError> {
        self.advance(snapshot.revision);
        Ok(())
    }

    async fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: Revision(self.applied.load(Ordering::SeqCst)),
            body: Bytes::new(),
        }
    }
}
