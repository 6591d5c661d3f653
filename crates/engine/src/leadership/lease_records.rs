//! Leases of the fleet, stored as records.

use super::record::RecordError;
use crate::encoding;
use crate::ports::{PutOutcome, Record, RecordStore, RecordStoreError};
use crate::version::{StoreEra, StoreVersion, era_of};
use async_trait::async_trait;
use bytes::Bytes;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use stilequay_coordination::lease::{
    LeaseName, LeaseRecord, LeaseStore, LeaseStoreError, PutOutcome as LeasePutOutcome,
};

/// Prefix of the keys of lease records.
const KEY_PREFIX: &str = "lease/";

/// A [`LeaseStore`] that keeps leases among the other records of the store.
#[derive(Debug)]
pub(crate) struct RecordLeaseStore {
    records: Arc<dyn RecordStore>,
    /// The record as last read or written, so that a renewal needs no read before its write.
    last_seen: Mutex<Option<(LeaseRecord, StoreVersion)>>,
    /// The latest era of the store seen in its answers.
    era: Mutex<Option<StoreEra>>,
}

impl RecordLeaseStore {
    /// Creates a lease store on `records`; reads nothing yet.
    pub(crate) fn new(records: Arc<dyn RecordStore>) -> Self {
        Self {
            records,
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
        let known = current.as_ref().and_then(decode_stored);
        let same = known.as_ref() == expected;
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
        Ok(found.as_ref().and_then(decode_stored))
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
        let value = encode(record);
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

/// Encodes a lease record, for the store and for messages.
pub(crate) fn encode(record: &LeaseRecord) -> Bytes {
    encoding::with_names(record)
}

/// Decodes a lease record that was stored or sent.
///
/// # Errors
///
/// [`RecordError::Malformed`] if `value` doesn't encode a lease record.
pub(crate) fn decode(value: &[u8]) -> Result<LeaseRecord, RecordError> {
    Ok(rmp_serde::from_slice(value)?)
}

fn decode_stored(record: &Record) -> Option<LeaseRecord> {
    decode(&record.value).ok()
}

fn translate(error: RecordStoreError) -> LeaseStoreError {
    match error {
        RecordStoreError::Unknown(reason) => LeaseStoreError::Unknown(reason),
        error => LeaseStoreError::Unavailable(error.to_string()),
    }
}
