//! The record of a group's leadership term in the store.

use crate::encoding;
use crate::group::Epoch;
use crate::names::{GroupName, MemberId, NodeName};
use crate::position::LogPosition;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Phase of a change of leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TermPhase {
    /// The old leader is being fenced. It gets no more writes.
    Fencing,
    /// The fence is complete, and the target is being promoted.
    Promoting,
    /// The target is primary and may be used.
    Active,
}

/// A leadership term of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The group.
    pub group: GroupName,
    /// Number of the leadership; increases with each change of leader.
    pub epoch: Epoch,
    /// Phase of the change of leader.
    pub phase: TermPhase,
    /// The new leader, once chosen.
    pub target: Option<MemberId>,
    /// Its address: a server that returns there has its log but another id.
    pub target_address: Option<SocketAddr>,
    /// The log position that it had received when it was chosen.
    #[serde(default)]
    pub target_received: Option<LogPosition>,
    /// The previous leader.
    pub previous: Option<MemberId>,
    /// Its address.
    pub previous_address: Option<SocketAddr>,
    /// The process that wrote the record last.
    pub holder: NodeName,
}

quick_error! {
    /// Why a record can't be decoded.
    #[derive(Debug)]
    pub enum RecordError {
        /// It doesn't have the format that this version writes.
        Malformed(error: rmp_serde::decode::Error) {
            display("malformed record: {error}")
            from()
        }
    }
}

impl TermRecord {
    /// Prefix of the keys of these records.
    pub const KEY_PREFIX: &'static str = "term/";

    /// The key of the record of `group`.
    pub fn key(group: &str) -> String {
        format!("{}{group}", Self::KEY_PREFIX)
    }

    /// Whether this record is of a later epoch or phase than `other` of the same group.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        (self.epoch, self.phase) > (other.epoch, other.phase)
    }

    /// Encodes the record for the store.
    pub fn encode(&self) -> Bytes {
        encoding::with_names(self)
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// [`RecordError::Malformed`] if `value` doesn't encode a term record.
    pub fn decode(value: &[u8]) -> Result<Self, RecordError> {
        Ok(rmp_serde::from_slice(value)?)
    }
}
