//! What the groups hold once a run is over.

use crate::history::{FinalState, Row};
use crate::launch::group::{Group, MemberRole};
use crate::launch::{LaunchError, Topology, resources};
use crate::load::run::{all_rows, final_state};
use std::collections::BTreeMap;
use stilequay_daemon::domain::names::GroupName;

/// Rows that replaced primaries had, by group. They are read before such a
/// primary rejoins its group, since it then gives up what the others lack.
pub type ReplacedRows = BTreeMap<GroupName, Vec<Row>>;

/// The final state of each group, read from its primary directly.
pub async fn collect(
    topology: &Topology,
    mut replaced: ReplacedRows,
) -> Result<BTreeMap<GroupName, FinalState>, LaunchError> {
    let mut states = BTreeMap::new();
    for group in &topology.groups {
        let primary = group.primary().await?;
        let rows = rows_at(group, &primary.name).await?;
        let name = &group.deployment.name;
        let replaced = replaced.remove(name).unwrap_or_default();
        states.insert(name.clone(), final_state(rows, replaced));
    }
    Ok(states)
}

/// Rows of all members of `group` that wrongly believe they lead.
pub async fn rows_of_replaced_primaries(group: &Group) -> Result<Vec<Row>, LaunchError> {
    let reports = group.reports().await?;
    let highest = reports.iter().map(|report| report.term).max();
    let mut rows = Vec::new();
    for report in reports {
        let replaced = report.role == MemberRole::Primary && Some(report.term) < highest;
        if replaced && report.condition.running && !report.condition.frozen {
            rows.extend(rows_at(group, &report.name).await?);
        }
    }
    Ok(rows)
}

/// Rows of one member, asked directly.
pub async fn rows_at(group: &Group, member: &str) -> Result<Vec<Row>, LaunchError> {
    let address = group.member(member)?.direct_address;
    all_rows(&resources::direct_access(), address).await
}
