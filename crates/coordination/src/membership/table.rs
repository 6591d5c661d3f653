//! The reports a node holds, one for each node, and the rules for merging others.

use super::record::{BriefState, Delta, MemberState, Status};
use crate::identity::NodeId;
use std::collections::BTreeMap;
use std::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Parts into which the table is split for comparison with another node's.
pub(super) const BUCKETS: usize = 256;

/// One node in the table.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// The latest report.
    pub state: MemberState,
    /// When this report was merged.
    pub since: Instant,
}

/// What became of a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Merged {
    /// It is older than what is known.
    Stale,
    /// It is what is known.
    Known,
    /// It replaced what was known.
    Applied,
    /// It says something of this node that this node must refute.
    AboutSelf,
    /// It concerns a node or a life of which this node has no record.
    Unknown,
}

/// All reports held by the node `own`.
#[derive(Debug)]
pub(super) struct Table {
    own: NodeId,
    entries: BTreeMap<NodeId, Entry>,
    digests: Vec<u64>,
}

impl Table {
    /// A table with the report of the node about itself.
    pub fn new(own: MemberState, now: Instant) -> Self {
        let mut table = Self {
            own: own.record.node.clone(),
            entries: BTreeMap::new(),
            digests: vec![0; BUCKETS],
        };
        table.put(own, now);
        table
    }

    /// The report held of `node`.
    pub fn get(&self, node: &NodeId) -> Option<&Entry> {
        self.entries.get(node)
    }

    /// All entries, ordered by name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// This node's report of itself.
    pub fn own_state(&self) -> &MemberState {
        &self.entries[&self.own].state
    }

    /// Replaces this node's report of itself.
    pub fn renew_own(&mut self, state: MemberState, now: Instant) {
        self.put(state, now);
    }

    /// Takes in a report that came in a message.
    pub fn merge(&mut self, delta: Delta, now: Instant) -> Merged {
        match delta {
            Delta::Full(state) => self.merge_state(state, now),
            Delta::Brief(brief) => self.merge_brief(brief, now),
        }
    }

    /// Takes in a whole report.
    pub fn merge_state(&mut self, state: MemberState, now: Instant) -> Merged {
        let Some(known) = self.entries.get(&state.record.node) else {
            self.put(state, now);
            return Merged::Applied;
        };
        if !state.supersedes(&known.state) {
            let older = known.state.supersedes(&state);
            return if older { Merged::Stale } else { Merged::Known };
        }
        if state.record.node == self.own {
            return Merged::AboutSelf;
        }
        self.put(state, now);
        Merged::Applied
    }

    fn merge_brief(&mut self, brief: BriefState, now: Instant) -> Merged {
        let Some(known) = self.entries.get(&brief.node) else {
            return Merged::Unknown;
        };
        if known.state.record.incarnation != brief.version.incarnation {
            let older = brief.version.incarnation < known.state.record.incarnation;
            return if older {
                Merged::Stale
            } else {
                Merged::Unknown
            };
        }
        let state = MemberState {
            record: known.state.record.clone(),
            renewal: brief.version.renewal,
            status: brief.status,
        };
        self.merge_state(state, now)
    }

    /// Forgets entries for which `forget` says so; never this node's own.
    pub fn forget(&mut self, forget: impl Fn(&Entry) -> bool) {
        let forgotten: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.state.record.node != self.own && forget(entry))
            .map(|entry| entry.state.record.node.clone())
            .collect();
        for node in forgotten {
            if let Some(entry) = self.entries.remove(&node) {
                self.digests[bucket(&node)] ^= digest(&entry.state);
            }
        }
    }

    /// The digests of the buckets. Two tables with equal digests know the same
    /// nodes at the same versions; nodes that are down count as not known.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// One digest of the whole table.
    pub fn digest(&self) -> u64 {
        self.digests.iter().fold(0, |sum, part| sum ^ part)
    }

    /// The reports in those buckets whose digests differ from `others`.
    pub fn differing(&self, others: &[u64]) -> Vec<MemberState> {
        self.entries
            .values()
            .filter(|entry| {
                let index = bucket(&entry.state.record.node);
                others.get(index) != Some(&self.digests[index])
            })
            .map(|entry| entry.state.clone())
            .collect()
    }

    fn put(&mut self, state: MemberState, now: Instant) {
        let node = state.record.node.clone();
        let index = bucket(&node);
        self.digests[index] ^= digest(&state);
        let entry = Entry { state, since: now };
        if let Some(previous) = self.entries.insert(node, entry) {
            self.digests[index] ^= digest(&previous.state);
        }
    }
}

fn bucket(node: &NodeId) -> usize {
    xxh3_64(node.as_str().as_bytes()) as usize % BUCKETS
}

fn digest(state: &MemberState) -> u64 {
    if state.status == Status::Down {
        return 0;
    }
    let incarnation = xxh3_64_with_seed(
        &state.record.incarnation.0.to_le_bytes(),
        u64::from(state.renewal),
    );
    xxh3_64_with_seed(state.record.node.as_str().as_bytes(), incarnation)
}
