//! A linearizable store of small records.

use crate::version::StoreVersion;
use async_trait::async_trait;
use bytes::Bytes;
use quick_error::quick_error;
use std::fmt::Debug;
use std::time::Duration;

/// Records that one call writes, at the most. A store that takes 100 entries in one call counts
/// each condition like a write.
pub const MAX_PUTS_PER_CALL: usize = 48;

/// A record as the store has it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Its key.
    pub key: String,
    /// Its content.
    pub value: Bytes,
    /// Rises with each change of the record; never zero.
    pub version: StoreVersion,
}

/// Changes since a version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecordChanges {
    /// Records that were written.
    pub written: Vec<Record>,
    /// The store's version as of which this holds; the next watch goes on from it.
    pub version: StoreVersion,
}

/// A conditional write of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordPut {
    /// Its key.
    pub key: String,
    /// The version that the record must have; zero: it is not there. One of an earlier era is no
    /// record's version any more.
    pub expected: StoreVersion,
    /// Its content.
    pub value: Bytes,
}

/// What became of conditional writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// They took effect, and gave the records this version.
    Stored(StoreVersion),
    /// None did: a record has another version.
    Conflict,
}

quick_error! {
    /// The store gave no regular answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RecordStoreError {
        /// Not reached, or refused: nothing was done.
        Unavailable(reason: String) {
            display("unavailable: {reason}")
        }
        /// No answer: a write may have been done, or may be done later if its condition
        /// still holds.
        Unknown(reason: String) {
            display("no answer: {reason}")
        }
        /// Changes that far back are forgotten: read everything.
        HistoryGone {
            display("the history asked for is forgotten")
        }
    }
}

/// A store of records, shared by the fleet. Reads and writes are linearizable.
#[async_trait]
pub trait RecordStore: Debug + Send + Sync + 'static {
    /// All records whose keys begin with `prefix`, and the version as of which they were
    /// read.
    async fn read(&self, prefix: &str) -> Result<RecordChanges, RecordStoreError>;

    /// The records whose keys stand from `first` to `last`, both included, and the version as
    /// of which they were read.
    async fn read_between(
        &self,
        first: &str,
        last: &str,
    ) -> Result<RecordChanges, RecordStoreError>;

    /// Waits up to `wait` for changes after `version`. Where that is of an earlier
    /// [era](crate::version) of the store, the history is forgotten.
    async fn watch(
        &self,
        version: StoreVersion,
        wait: Duration,
    ) -> Result<RecordChanges, RecordStoreError>;

    /// Writes all records of `puts`, up to [`MAX_PUTS_PER_CALL`], or none where a condition does not
    /// hold.
    async fn put_all(&self, puts: &[RecordPut]) -> Result<PutOutcome, RecordStoreError>;

    /// Writes `value` if the record has `expected` as its version (zero: is not there).
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
