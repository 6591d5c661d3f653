//! A linearizable store of small records.

use crate::version::StoreVersion;
use async_trait::async_trait;
use bytes::Bytes;
use quick_error::quick_error;
use std::fmt::Debug;
use std::time::Duration;

/// Maximum number of records that one call writes. A store that accepts 100 entries per call
/// counts each condition as an entry besides the write.
pub const MAX_PUTS_PER_CALL: usize = 48;

/// A record as stored.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Its key.
    pub key: String,
    /// Its content.
    pub value: Bytes,
    /// Its version, which increases with each change of the record and is never zero.
    pub version: StoreVersion,
}

/// Changes after a version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecordChanges {
    /// The records that were written.
    pub written: Vec<Record>,
    /// The store version up to which the changes are complete; the next watch starts from it.
    pub version: StoreVersion,
}

/// A conditional write of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordPut {
    /// Its key.
    pub key: String,
    /// The version that the record must have; zero if it must not exist. A version of an earlier
    /// era never matches.
    pub expected: StoreVersion,
    /// Its content.
    pub value: Bytes,
}

/// The outcome of conditional writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// All writes took effect; the records now have this version.
    Stored(StoreVersion),
    /// No write took effect because a record has another version than expected.
    Conflict,
}

quick_error! {
    /// Why a call to the store failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RecordStoreError {
        /// The store was unreachable or refused the call; the call had no effect.
        Unavailable(reason: String) {
            display("unavailable: {reason}")
        }
        /// No answer. A write may have taken effect, or may still do so later if its condition
        /// holds.
        Unknown(reason: String) {
            display("no answer: {reason}")
        }
        /// The store no longer has changes that old; everything has to be read again.
        HistoryGone {
            display("the history asked for is forgotten")
        }
    }
}

/// A record store that is shared by the fleet. Reads and writes are linearizable.
#[async_trait]
pub trait RecordStore: Debug + Send + Sync + 'static {
    /// Reads all records whose keys start with `prefix`, and the store version of the read.
    async fn read(&self, prefix: &str) -> Result<RecordChanges, RecordStoreError>;

    /// Reads the records with keys from `first` to `last` inclusive, and the store version of the
    /// read.
    async fn read_between(
        &self,
        first: &str,
        last: &str,
    ) -> Result<RecordChanges, RecordStoreError>;

    /// Waits up to `wait` for changes after `version`. Fails with
    /// [`RecordStoreError::HistoryGone`] if `version` is of an earlier [era](crate::version) of the
    /// store.
    async fn watch(
        &self,
        version: StoreVersion,
        wait: Duration,
    ) -> Result<RecordChanges, RecordStoreError>;

    /// Atomically writes all records of `puts`, at most [`MAX_PUTS_PER_CALL`], or none if a
    /// condition doesn't hold.
    async fn put_all(&self, puts: &[RecordPut]) -> Result<PutOutcome, RecordStoreError>;

    /// Writes `value` if the version of the record is `expected` (zero if it must not exist).
    async fn put_if(
        &self,
        key: &str,
        expected: StoreVersion,
        value: Bytes,
    ) -> Result<PutOutcome, RecordStoreError> {
        let key = key.to_owned();
        let put = RecordPut {
            key,
            expected,
            value,
        };
        self.put_all(&[put]).await
    }
}
