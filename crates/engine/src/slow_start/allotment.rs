//! Store records that divide the statement limit of cold members between processes.

use crate::decoding::{self, DecodeError, UndecodableKind, decode_record};
use crate::engine::Engine;
use crate::names::{MemberId, NodeName};
use crate::ports::Record;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key prefix of these records.
pub const KEY_PREFIX: &str = "slow-start/";
/// Relative shares of a member's candidates, the homes first. The homes send all of its statements
/// while they live; the shares of the other candidates stay unused until a home is lost.
const CANDIDATE_WEIGHTS: [usize; 4] = [4, 4, 1, 1];
/// One in this many statements is reserved for control commands and status reports, which are
/// never delayed: a survey queries each member a few times during a change of leader.
const CONTROL_RESERVE_DIVISOR: usize = 10;

/// Statements per window, by process. A process that is not listed has no share.
pub type Shares = BTreeMap<NodeName, usize>;

/// How the statement limit of one member is divided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Maximum number of statements per window from all processes together.
    pub most: usize,
    /// The current shares.
    pub shares: Shares,
    /// The previous shares, if any. A process that has not learned of the current ones keeps
    /// using these for a while.
    pub before: Option<Shares>,
}

impl Allotment {
    /// The share of `node` while the member's limit is `most`. Until the allotment is `settled`,
    /// other processes may still use the previous shares, so the share does not grow.
    pub fn share(&self, node: &str, most: usize, settled: bool) -> usize {
        let share = share_of(&self.shares, node);
        let share = match &self.before {
            Some(before) if !settled => share.min(share_of(before, node)),
            _ => share,
        };
        let share = match most < self.most {
            true => scale(share, most, self.most),
            false => share,
        };
        share.min(most)
    }
}

/// `value * numerator / denominator`, without overflow on the way; `usize::MAX` if the result is
/// greater.
fn scale(value: usize, numerator: usize, denominator: usize) -> usize {
    let scaled = value as u128 * numerator as u128 / denominator as u128;
    usize::try_from(scaled).unwrap_or(usize::MAX)
}

fn share_of(shares: &Shares, node: &str) -> usize {
    shares.get(node).copied().unwrap_or(0)
}

/// The allotments of a group's members.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotments {
    /// Allotments by member.
    pub members: BTreeMap<MemberId, Allotment>,
}

impl Allotments {
    /// The record key of `group`.
    pub fn key(group: &str) -> String {
        format!("{KEY_PREFIX}{group}")
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it is invalid.
    pub fn decode(record: &Record) -> Result<Self, DecodeError> {
        decoding::decode(&record.value)
    }

    /// Decodes a record. If it is invalid, reports it and returns `None`.
    pub(super) fn decode_or_report(engine: &Engine, record: &Record) -> Option<Self> {
        let kind = UndecodableKind::AllotmentsRecord;
        decode_record(engine.events(), kind, &record.key, &record.value)
    }
}

/// The processes that send statements to a member, by precedence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Senders {
    /// The candidates for the member's homes.
    Candidates(Vec<NodeName>),
    /// All processes, each of which connects directly.
    All(Vec<NodeName>),
}

/// Divides a member's limit of `most` statements per window into shares. Their sum is `most` minus
/// the reserve for control commands.
///
/// ```
/// use std::sync::Arc;
/// use stilequay_engine::slow_start::allotment::{Senders, divide};
/// let senders = Senders::All(vec![Arc::from("a"), Arc::from("b"), Arc::from("c")]);
/// let shares = divide(9, &senders);
/// assert_eq!(shares.into_values().collect::<Vec<_>>(), [3, 3, 2]);
/// ```
pub fn divide(most: usize, senders: &Senders) -> Shares {
    let total = most - control_reserve(most);
    let (nodes, weights): (&[NodeName], Vec<usize>) = match senders {
        Senders::Candidates(nodes) => {
            let nodes = &nodes[..nodes.len().min(CANDIDATE_WEIGHTS.len())];
            (nodes, CANDIDATE_WEIGHTS[..nodes.len()].to_vec())
        }
        Senders::All(nodes) => (nodes, vec![1; nodes.len()]),
    };
    let all: usize = weights.iter().sum();
    let mut shares: Vec<usize> = weights
        .iter()
        .map(|weight| scale(total, *weight, all))
        .collect();
    let left = total - shares.iter().sum::<usize>();
    // The remainder is less than one statement per sender.
    shares.iter_mut().take(left).for_each(|share| *share += 1);
    nodes.iter().cloned().zip(shares).collect()
}

/// The part of `most` that is reserved for control commands and status reports.
fn control_reserve(most: usize) -> usize {
    match most {
        0 | 1 => 0,
        most => most.div_ceil(CONTROL_RESERVE_DIVISOR),
    }
}
