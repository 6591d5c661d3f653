//! Leases of the fleet, stored as records.

use crate::decoding::{UndecodableKind, decode_record};
use crate::encoding;
use crate::events::EventLog;
use crate::ports::{PutOutcome, Record, RecordStore, RecordStoreError};
use crate::version::{StoreEra, StoreVersion, era_of};
use async_trait::async_trait;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stilequay_coordination::lease::{
    LeaseName, LeaseRecord, LeaseStore, LeaseStoreError, PutOutcome as LeasePutOutcome,
};

/// Prefix of the keys of lease records.
const KEY_PREFIX: &str = "lease/";
/// Greatest duration of a lease that is honoured, several times that of any lease in use.
const MAX_LEASE_DURATION: Duration = Duration::from_secs(20);
/// Greatest time for which a lease counts as held.
const MAX_HELD: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// A [`LeaseStore`] that keeps leases among the other records of the store.
#[derive(Debug)]
pub(crate) struct RecordLeaseStore {
    records: Arc<dyn RecordStore>,
    events: Arc<EventLog>,
    /// The record as last read or written, so that a renewal needs no read before its write.
    last_seen: Mutex<Option<(LeaseRecord, StoreVersion)>>,
    /// The latest era of the store seen in its answers.
    era: Mutex<Option<StoreEra>>,
}

impl RecordLeaseStore {
    /// Creates a lease store on `records`; reads nothing yet. Undecodable records are reported to
    /// `events`.
    pub(crate) fn new(records: Arc<dyn RecordStore>, events: Arc<EventLog>) -> Self {
        Self {
            records,
            events,
            last_seen: Mutex::new(None),
            era: Mutex::new(None),
        }
    }

    /// The version of the record `expected`, from the store unless it is the one last read or
    /// written. `None` if the store has another record.
    async fn version_of(
        &self,
        key: &str,
        expected: Option<&LeaseRecord>,
    ) -> Result<Option<StoreVersion>, RecordStoreError> {
        let last_seen = self.last_seen().clone();
        if let (Some((record, version)), Some(expected)) = (last_seen, expected)
            && record == *expected
        {
            return Ok(Some(version));
        }
        let current = self.find(key).await?;
        let same = current.as_ref().and_then(|record| self.decode(record));
        let same = same.as_ref() == expected;
        Ok(same.then(|| current.map_or(0, |current| current.version)))
    }

    fn last_seen(&self) -> MutexGuard<'_, Option<(LeaseRecord, u64)>> {
        self.last_seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn record_era(&self, answered: StoreVersion) {
        let mut era = self.lock_era();
        *era = (*era).max(Some(era_of(answered)));
    }

    fn lock_era(&self) -> MutexGuard<'_, Option<StoreEra>> {
        self.era.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn decode(&self, record: &Record) -> Option<LeaseRecord> {
        let kind = UndecodableKind::LeaseRecord;
        decode_record(&self.events, kind, &record.key, &record.value).map(with_limited_durations)
    }

    async fn find(&self, key: &str) -> Result<Option<Record>, RecordStoreError> {
        let records = self.records.read(key).await?;
        self.record_era(records.version);
        Ok(records.written.into_iter().find(|record| record.key == key))
    }
}

#[async_trait]
impl LeaseStore for RecordLeaseStore {
    fn era(&self) -> Option<u64> {
        *self.lock_era()
    }

    async fn get(&self, name: &LeaseName) -> Result<Option<LeaseRecord>, LeaseStoreError> {
        let found = self.find(&key(name)).await.map_err(translate)?;
        Ok(found.and_then(|record| self.decode(&record)))
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
        let value = encoding::with_names(record);
        let put = self.records.put_if(&key, version, value).await;
        match put.map_err(translate)? {
            PutOutcome::Stored(version) => {
                self.record_era(version);
                *self.last_seen() = Some((record.clone(), version));
                Ok(LeasePutOutcome::Stored)
            }
            PutOutcome::Conflict => {
                *self.last_seen() = None;
                Ok(LeasePutOutcome::Conflict)
            }
        }
    }
}

fn key(name: &LeaseName) -> String {
    format!("{KEY_PREFIX}{name}")
}

/// Reduces durations that no process writes, so that a record of another writer doesn't block the
/// lease for ever, and points of time can be computed from them.
pub(crate) fn with_limited_durations(lease: LeaseRecord) -> LeaseRecord {
    LeaseRecord {
        duration: lease.duration.min(MAX_LEASE_DURATION),
        held: lease.held.min(MAX_HELD),
        ..lease
    }
}

fn translate(error: RecordStoreError) -> LeaseStoreError {
    match error {
        RecordStoreError::Unknown(reason) => LeaseStoreError::Unknown(reason),
        error => LeaseStoreError::Unavailable(error.to_string()),
    }
}
