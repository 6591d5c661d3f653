//! Which revision is in force on the nodes, as they report it.

use crate::identity::{NodeId, ZoneName};
use crate::revision::Revision;
use serde::{Deserialize, Serialize};

/// How many of the nodes furthest behind are named in a report.
pub const LAGGARDS_NAMED: usize = 8;

/// A node that is behind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Laggard {
    /// What it has applied.
    pub revision: Revision,
    /// The node.
    pub node: NodeId,
}

/// What the nodes of one zone have applied, as its relay counts them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneInForce {
    /// The zone.
    pub zone: ZoneName,
    /// The least revision applied by a counted node that has started; `None` if
    /// there is no such node.
    pub revision: Option<Revision>,
    /// How many nodes report.
    pub counted: u32,
    /// How many of these are still starting and serve nobody.
    pub starting: u32,
    /// How many nodes of the zone are believed to live.
    pub expected: u32,
    /// Whether exactly the nodes believed to live were counted, each once.
    pub complete: bool,
    /// The nodes furthest behind, at most [`LAGGARDS_NAMED`].
    pub laggards: Vec<Laggard>,
}

impl ZoneInForce {
    /// A zone of which there is no report.
    pub(crate) fn unreported(zone: ZoneName, expected: u32) -> Self {
        Self {
            zone,
            revision: None,
            counted: 0,
            starting: 0,
            expected,
            complete: false,
            laggards: Vec::new(),
        }
    }
}

/// What is in force on all reachable nodes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct InForce {
    /// The least revision applied by a counted node; every counted node that serves
    /// has applied this and all before it.
    pub revision: Revision,
    /// How many nodes report.
    pub counted: u32,
    /// How many of these are still starting and serve nobody.
    pub starting: u32,
    /// How many reachable nodes there are.
    pub expected: u32,
    /// How many nodes of unreachable zones there are besides.
    pub unreachable: u32,
    /// Whether every reachable node was counted. Only then `revision` holds for
    /// the whole reachable fleet.
    pub complete: bool,
    /// The nodes furthest behind, at most [`LAGGARDS_NAMED`].
    pub laggards: Vec<Laggard>,
}

impl InForce {
    /// Sums up the reports of all reachable zones.
    pub(crate) fn of_zones(zones: &[ZoneInForce], unreachable: u32) -> Self {
        let revision = zones.iter().filter_map(|zone| zone.revision).min();
        let mut laggards: Vec<_> = zones
            .iter()
            .flat_map(|zone| zone.laggards.iter().cloned())
            .collect();
        laggards.sort();
        laggards.truncate(LAGGARDS_NAMED);
        Self {
            revision: revision.unwrap_or_default(),
            counted: zones.iter().map(|zone| zone.counted).sum(),
            starting: zones.iter().map(|zone| zone.starting).sum(),
            expected: zones.iter().map(|zone| zone.expected).sum(),
            unreachable,
            complete: zones.iter().all(|zone| zone.complete),
            laggards,
        }
    }
}
