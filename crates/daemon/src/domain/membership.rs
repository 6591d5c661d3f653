//! The fleet as one daemon sees it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use stilequay_coordination::identity::{Incarnation, NodeId, RegionName, ZoneName};

/// What a daemon believes of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Liveness {
    /// Answers.
    Alive,
    /// Has not answered; not yet given up.
    Suspected,
    /// Has announced that it leaves: gets no new work.
    Leaving,
}

/// A daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct FleetMember {
    /// The daemon.
    pub node: NodeId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub zone: ZoneName,
    /// Where its zone lies.
    pub region: RegionName,
    /// Address of its data-path listener, `ip:port`.
    pub peer_address: String,
    /// Address of its control listener, `ip:port`.
    pub control_address: String,
    /// What is believed of it.
    pub liveness: Liveness,
}

/// All daemons that are not given up, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    /// The daemons.
    pub members: BTreeMap<NodeId, FleetMember>,
}
