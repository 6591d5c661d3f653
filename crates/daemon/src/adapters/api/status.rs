//! The fleet and its configuration at a glance.

use super::SharedApi;
use crate::domain::in_force::InForceReport;
use crate::domain::membership::FleetMember;
use axum::Json;
use axum::extract::State;
use serde::{Deserialize, Serialize};
use stilequay_coordination::identity::NodeId;

/// The fleet as one daemon sees it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct FleetStatus {
    /// The daemon that tells.
    pub node: NodeId,
    /// The version that it has applied.
    pub resource_version: String,
    /// Whether it has caught up and serves.
    pub caught_up: bool,
    /// What is in force on the fleet; absent where it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<InForceReport>,
    /// The daemons that are not given up.
    pub daemons: Vec<FleetMember>,
}

/// `GET /v1/status`.
pub async fn fleet_status(State(api): State<SharedApi>) -> Json<FleetStatus> {
    let context = &api.context;
    let view = context.fleet.borrow().clone();
    let report = context.in_force.report();
    Json(FleetStatus {
        node: context.node.clone(),
        resource_version: context.state.revision().to_string(),
        caught_up: context.state.is_caught_up(),
        in_force: report.map(|report| (*report).clone()),
        daemons: view.members.values().cloned().collect(),
    })
}
