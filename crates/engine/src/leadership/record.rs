//! The record of a group's leadership, as it is kept in the store.

use crate::encoding;
use crate::group::Epoch;
use crate::names::{GroupName, MemberId, NodeName};
use crate::position::LogPosition;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How far a change of leader has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TermPhase {
    /// The old leader is being fenced off. It gets no more writes.
    Fencing,
    /// The fence is complete, and the target is being promoted.
    Promoting,
    /// The target leads, and may be used.
    Active,
}

/// A group's leadership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The group.
    pub group: GroupName,
    /// Its number; rises by one with each change of leader.
    pub epoch: Epoch,
    /// How far the change has come.
    pub phase: TermPhase,
    /// The leader, once chosen.
    pub target: Option<MemberId>,
    /// Where it listens: a server that comes back there has its log, and another name.
    pub target_address: Option<SocketAddr>,
    /// What it had received when it was chosen.
    #[serde(default)]
    pub target_received: Option<LogPosition>,
    /// The leader before.
    pub previous: Option<MemberId>,
    /// Where it listens.
    pub previous_address: Option<SocketAddr>,
    /// Who wrote the record last.
    pub holder: NodeName,
}

quick_error! {
    /// A record can't be read.
    #[derive(Debug)]
    pub enum RecordError {
        /// It is not what this version writes.
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

    /// Whether this tells of a later step than `other` of the same group does.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        (self.epoch, self.phase) > (other.epoch, other.phase)
    }

    /// The record as it is stored.
    pub fn encode(&self) -> Bytes {
        encoding::with_names(self)
    }

    /// Reads a stored record.
    ///
    /// # Errors
    ///
    /// [`RecordError::Malformed`] where it is something else.
    pub fn decode(value: &[u8]) -> Result<Self, RecordError> {
        Ok(rmp_serde::from_slice(value)?)
    }
}
