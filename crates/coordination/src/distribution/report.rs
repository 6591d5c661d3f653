//! What the nodes of a subtree have applied: the sum of the children's reports and
//! the node's own state.

use super::in_force::{LAGGARDS_NAMED, Laggard};
use super::message::SubtreeReport;
use crate::identity::{Incarnation, NodeId};
use crate::revision::Revision;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a node reports of itself.
#[derive(Debug, Clone)]
pub(super) struct OwnState {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it has applied.
    pub applied: Revision,
    /// Whether it is still starting.
    pub starting: bool,
}

impl OwnState {
    /// The report on this node alone.
    pub fn report(&self) -> SubtreeReport {
        SubtreeReport {
            counted: 1,
            starting: u32::from(self.starting),
            fingerprint: fingerprint(&self.node, self.incarnation),
            least: (!self.starting).then_some(self.applied),
            highest: self.applied,
            laggards: vec![Laggard {
                revision: self.applied,
                node: self.node.clone(),
            }],
        }
    }
}

/// A number for one life of a node; sums of these tell sets of nodes apart.
pub(super) fn fingerprint(node: &NodeId, incarnation: Incarnation) -> u64 {
    xxh3_64_with_seed(node.as_str().as_bytes(), incarnation.0)
}

impl SubtreeReport {
    /// The report on both subtrees together.
    fn and(self, other: &SubtreeReport) -> Self {
        let highest = self.highest.max(other.highest);
        let mut laggards = self.laggards;
        laggards.extend(other.laggards.iter().cloned());
        laggards.sort();
        laggards.dedup();
        Self {
            counted: self.counted + other.counted,
            starting: self.starting + other.starting,
            fingerprint: self.fingerprint.wrapping_add(other.fingerprint),
            least: [self.least, other.least].into_iter().flatten().min(),
            highest,
            laggards,
        }
    }

    /// Keeps the names of those that are behind; of a subtree in which nobody is,
    /// one name, should the whole subtree be behind.
    fn trimmed(mut self) -> Self {
        let example = self.laggards.first().cloned();
        let highest = self.highest;
        self.laggards.retain(|laggard| laggard.revision < highest);
        self.laggards.truncate(LAGGARDS_NAMED);
        if self.laggards.is_empty() {
            self.laggards.extend(example);
        }
        self
    }
}

/// The latest reports of a node's children.
#[derive(Debug)]
pub(super) struct Reports {
    children: Mutex<Children>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Children {
    next: u64,
    reports: HashMap<u64, SubtreeReport>,
}

impl Reports {
    /// No reports.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            children: Mutex::default(),
            changed: watch::channel(()).0,
        })
    }

    /// Told at each change.
    pub fn changed(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// A place for the report of one more child; it is withdrawn when dropped.
    pub fn child(self: &Arc<Self>) -> ChildReport {
        let mut children = self.children();
        children.next += 1;
        ChildReport {
            reports: self.clone(),
            key: children.next,
        }
    }

    /// The report on the whole subtree of a node.
    pub fn subtree(&self, own: &OwnState) -> SubtreeReport {
        let children = self.children();
        children
            .reports
            .values()
            .fold(own.report(), SubtreeReport::and)
            .trimmed()
    }

    fn children(&self) -> MutexGuard<'_, Children> {
        self.children.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place for the report of one child.
#[derive(Debug)]
pub(super) struct ChildReport {
    reports: Arc<Reports>,
    key: u64,
}

impl ChildReport {
    /// The child has reported.
    pub fn set(&self, report: SubtreeReport) {
        self.reports.children().reports.insert(self.key, report);
        self.reports.changed.send_replace(());
    }
}

impl Drop for ChildReport {
    fn drop(&mut self) {
        self.reports.children().reports.remove(&self.key);
        self.reports.changed.send_replace(());
    }
}
