//! The record of a group's leadership term in the store.

use crate::decoding::{self, DecodeError};
use crate::directory::Member;
use crate::encoding;
use crate::group::Epoch;
use crate::names::{GroupName, MemberId, NodeName, are_incarnations_of_same_server};
use crate::position::LogPosition;
use crate::verdict::Verdict;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Greatest epoch of a valid record. All epochs of the greatest era of the store are below it.
const MAX_EPOCH: Epoch = 1 << 56;

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

/// A leadership term of a group. [`Self::encode`] is its only encoding, in the store and in
/// messages.
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
    /// Targets of earlier attempts to replace the previous leader that may have led since, in the
    /// order of the attempts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub former_targets: Vec<FormerTarget>,
    /// The process that wrote the record last.
    pub holder: NodeName,
}

/// A member that was given up as the target of a promotion although an order to promote it was
/// carried out, or may still be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerTarget {
    /// The member.
    pub id: MemberId,
    /// Its address: a server that returns there has its log but another id.
    pub address: Option<SocketAddr>,
    /// The log position that it had received when it was chosen.
    pub received: Option<LogPosition>,
}

impl FormerTarget {
    /// Whether `member` is this one, or has returned at its address with its log.
    pub fn matches(&self, member: &Member) -> bool {
        let is_same = self.id == member.id;
        let has_returned = self.address == Some(member.address)
            && !are_incarnations_of_same_server(&self.id, &member.id);
        is_same || has_returned
    }
}

quick_error! {
    /// Why a record can't be decoded.
    #[derive(Debug)]
    pub enum RecordError {
        /// It doesn't have the format that this version writes.
        Malformed(error: DecodeError) {
            display("malformed record: {error}")
            from()
        }
        /// Its epoch is greater than changes of leader can reach.
        EpochOutOfRange(epoch: Epoch) {
            display("epoch out of range: {epoch}")
        }
    }
}

impl From<RecordError> for DecodeError {
    fn from(error: RecordError) -> Self {
        match error {
            RecordError::Malformed(error) => error,
            RecordError::EpochOutOfRange(_) => DecodeError::Unexpected("epoch out of range"),
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

    /// The first record of another attempt to replace the same leader, after this one was given up.
    /// The target may have led since if, by the verdict on the `orders` to promote it, one of them
    /// may have been carried out.
    pub fn into_next_attempt(self, epoch: Epoch, holder: NodeName, orders: Verdict) -> Self {
        let mut former_targets = self.former_targets;
        let target = self.target.filter(|_| orders != Verdict::NotRun);
        if let Some(id) = target {
            former_targets.retain(|known| known.id != id);
            former_targets.push(FormerTarget {
                id,
                address: self.target_address,
                received: self.target_received,
            });
        }
        Self {
            epoch,
            phase: TermPhase::Fencing,
            target: None,
            target_address: None,
            target_received: None,
            former_targets,
            holder,
            ..self
        }
    }

    /// Encodes the record for the store.
    pub fn encode(&self) -> Bytes {
        encoding::with_names(self)
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if `value` doesn't encode a term record that this program can have written.
    pub fn decode(value: &[u8]) -> Result<Self, RecordError> {
        let record: Self = decoding::decode(value)?;
        match record.epoch <= MAX_EPOCH {
            true => Ok(record),
            false => Err(RecordError::EpochOutOfRange(record.epoch)),
        }
    }
}
