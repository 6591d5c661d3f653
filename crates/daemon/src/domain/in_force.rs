//! How far the daemons of the fleet have applied the configuration.

use super::names::Revision;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use stilequay_coordination::identity::NodeId;
use tokio::sync::watch;

/// A daemon that is behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Laggard {
    /// The daemon.
    pub node: NodeId,
    /// What it has applied.
    pub revision: Revision,
}

/// What the daemons report to have applied.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct InForceReport {
    /// The least revision that a reporting daemon has applied.
    pub least: Revision,
    /// Daemons that report.
    pub counted: u32,
    /// Daemons that can be reached.
    pub expected: u32,
    /// Daemons that can't be reached.
    pub unreachable: u32,
    /// Whether every daemon that can be reached reports.
    pub complete: bool,
    /// The daemons furthest behind; when `laggards_cut`, there may be more.
    pub laggards: Vec<Laggard>,
    /// Whether the list of laggards is as long as it may be.
    pub laggards_cut: bool,
}

/// Where the report is read; `None` while there is none.
pub type InForceReceiver = watch::Receiver<Option<Arc<InForceReport>>>;

impl InForceReport {
    /// All daemons of the fleet.
    pub fn total(&self) -> u32 {
        self.expected + self.unreachable
    }

    /// Whether every daemon that can be reached has applied `revision`.
    pub fn everywhere(&self, revision: Revision) -> bool {
        self.complete && self.least >= revision
    }

    /// The named daemons that have not applied `revision`.
    pub fn behind(&self, revision: Revision) -> Vec<&Laggard> {
        self.laggards
            .iter()
            .filter(|laggard| laggard.revision < revision)
            .collect()
    }

    /// Reporting daemons that have applied `revision`; `None` where more are
    /// behind than are named.
    pub fn count_at(&self, revision: Revision) -> Option<u32> {
        let behind = self.behind(revision).len();
        let all_behind_are_named = !self.laggards_cut || behind < self.laggards.len();
        let behind = u32::try_from(behind).ok()?;
        all_behind_are_named.then(|| self.counted.saturating_sub(behind))
    }
}
