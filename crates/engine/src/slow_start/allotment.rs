//! How many statements each process may send to a cold member, as the store keeps it.

use crate::names::{MemberId, NodeName};
use crate::ports::Record;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Prefix of the keys of these records.
pub const KEY_PREFIX: &str = "slow-start/";
/// Parts of a member's allowance for each of its candidates, the homes first. The homes run all
/// of its statements while they live; what others have is lost until a home is.
const CANDIDATE_WEIGHTS: [usize; 4] = [4, 4, 1, 1];
/// Part of what a cold member takes that is left to orders and reports, which are never held
/// back: a survey asks each member a few times in a change of leader.
const CONTROL_FRACTION: usize = 10;

/// Statements in each window, by process. Those that are not named have none.
pub type Shares = BTreeMap<NodeName, usize>;

/// The shares of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Statements that the member takes in a window, from all processes together.
    pub most: usize,
    /// The shares.
    pub shares: Shares,
    /// The shares before, where there were any: whoever has not heard of the new ones goes on
    /// using these for a while.
    pub before: Option<Shares>,
}

impl Allotment {
    /// The share of `node` while the member takes `most`. Until the allotment is `settled`
    /// others may still use the shares before.
    pub fn share(&self, node: &str, most: usize, settled: bool) -> usize {
        let share = share_of(&self.shares, node);
        let share = match &self.before {
            Some(before) if !settled => share.min(share_of(before, node)),
            _ => share,
        };
        match most < self.most {
            true => share * most / self.most,
            false => share,
        }
    }
}

fn share_of(shares: &Shares, node: &str) -> usize {
    shares.get(node).copied().unwrap_or(0)
}

/// The allotments of a group's members.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotments {
    /// By member.
    pub members: BTreeMap<MemberId, Allotment>,
}

impl Allotments {
    /// The key of the record of `group`.
    pub fn key(group: &str) -> String {
        format!("{KEY_PREFIX}{group}")
    }

    /// Reads a record; `None` where it makes no sense.
    pub fn decode(record: &Record) -> Option<Self> {
        match rmp_serde::from_slice(&record.value) {
            Ok(allotments) => Some(allotments),
            Err(error) => {
                log::error!("the allotments in {:?} can't be read: {error}", record.key);
                None
            }
        }
    }
}

/// Who sends statements to a member, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Senders {
    /// Its candidates for homes.
    Candidates(Vec<NodeName>),
    /// All processes, which connect by themselves.
    All(Vec<NodeName>),
}

/// Divides what a member takes in a window. The shares sum up to less than `most` by what is
/// left to orders.
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
    let mut shares: Vec<usize> = weights.iter().map(|weight| total * weight / all).collect();
    let left = total - shares.iter().sum::<usize>();
    // Less than one for each.
    shares.iter_mut().take(left).for_each(|share| *share += 1);
    nodes.iter().cloned().zip(shares).collect()
}

/// What is left to orders and reports.
fn control_reserve(most: usize) -> usize {
    match most {
        0 | 1 => 0,
        most => most.div_ceil(CONTROL_FRACTION),
    }
}
