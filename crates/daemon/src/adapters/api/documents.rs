//! Resources as JSON documents, with their status.

use crate::app::control::in_force::InForceHistory;
use crate::domain::document::{API_VERSION, ResourceKind, VersionedResource};
use crate::domain::in_force::Laggard;
use crate::domain::names::Revision;
use crate::domain::resource::ResourceSpec;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::SystemTime;

/// A resource as the API shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Document {
    /// Version of the schema.
    pub api_version: String,
    /// The kind.
    pub kind: ResourceKind,
    /// Name and numbers.
    pub metadata: DocumentMetadata,
    /// The specification.
    pub spec: Value,
    /// What has become of it.
    pub status: DocumentStatus,
}

/// Name and numbers of a resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DocumentMetadata {
    /// The name, unique in the kind.
    pub name: String,
    /// Distinguishes resources that had the same name one after the other.
    pub uid: String,
    /// Number of the specification.
    pub generation: u64,
    /// Revision of the last change.
    pub resource_version: String,
    /// Free names and values for operators.
    pub labels: BTreeMap<String, String>,
}

/// What has become of a resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DocumentStatus {
    /// Accepted and InForce.
    pub conditions: Vec<Condition>,
    /// Daemons that have applied it; absent where it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub daemons_in_force: Option<u32>,
    /// Daemons of the fleet; absent where it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub daemons_total: Option<u32>,
    /// Daemons that have not applied it, as far as they are named.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub laggards: Vec<Laggard>,
}

/// One condition of a resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Condition {
    /// Which.
    #[serde(rename = "type")]
    pub condition: ConditionType,
    /// Whether it holds.
    pub status: ConditionStatus,
    /// Why, in one word.
    pub reason: String,
    /// Since when it holds, as this daemon saw it; absent where it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<String>,
}

/// Which condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConditionType {
    /// The platform has committed the resource.
    Accepted,
    /// Every daemon that can be reached has applied the resource.
    InForce,
}

/// Whether a condition holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConditionStatus {
    /// It holds.
    True,
    /// It does not hold.
    False,
    /// That is not known.
    Unknown,
}

/// Shows a resource with its status.
pub fn show(resource: &VersionedResource, in_force: &InForceHistory) -> Document {
    let metadata = &resource.resource.metadata;
    Document {
        api_version: API_VERSION.to_owned(),
        kind: resource.resource.spec.kind(),
        metadata: DocumentMetadata {
            name: metadata.name.clone(),
            uid: metadata.uid.clone(),
            generation: metadata.generation,
            resource_version: resource.version.to_string(),
            labels: metadata.labels.clone(),
        },
        spec: show_spec(&resource.resource.spec),
        status: status(resource.version, in_force),
    }
}

fn show_spec(spec: &ResourceSpec) -> Value {
    let shown = match spec {
        ResourceSpec::DatabaseGroup(spec) => serde_json::to_value(spec),
        ResourceSpec::Service(spec) => serde_json::to_value(spec),
        ResourceSpec::SessionPolicy(spec) => serde_json::to_value(spec),
    };
    // Maps with text keys and plain values only: encoding can't fail.
    shown.unwrap_or_default()
}

fn status(version: Revision, in_force: &InForceHistory) -> DocumentStatus {
    let accepted = Condition {
        condition: ConditionType::Accepted,
        status: ConditionStatus::True,
        reason: "Committed".to_owned(),
        since: None,
    };
    let Some(report) = in_force.report() else {
        let unknown = Condition {
            condition: ConditionType::InForce,
            status: ConditionStatus::Unknown,
            reason: "NoReport".to_owned(),
            since: None,
        };
        return DocumentStatus {
            conditions: vec![accepted, unknown],
            daemons_in_force: None,
            daemons_total: None,
            laggards: Vec::new(),
        };
    };
    let (status, reason) = match (report.everywhere(version), report.unreachable) {
        (true, 0) => (ConditionStatus::True, "Everywhere"),
        (true, _) => (ConditionStatus::True, "EverywhereReachable"),
        (false, _) if report.least >= version => (ConditionStatus::Unknown, "ReportIncomplete"),
        (false, _) => (ConditionStatus::False, "Pending"),
    };
    let in_force = Condition {
        condition: ConditionType::InForce,
        status,
        reason: reason.to_owned(),
        since: in_force.since(version).map(render_time),
    };
    DocumentStatus {
        conditions: vec![accepted, in_force],
        daemons_in_force: report.count_at(version),
        daemons_total: Some(report.total()),
        laggards: report.behind(version).into_iter().cloned().collect(),
    }
}

fn render_time(time: SystemTime) -> String {
    humantime::format_rfc3339_millis(time).to_string()
}
