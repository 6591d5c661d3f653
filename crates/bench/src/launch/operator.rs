//! The operators' API of a daemon.

use super::error::LaunchError;
use super::http::HttpClient;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use stilequay_daemon::domain::resource::ResourceSpec;

/// The bearer token that started daemons accept for writing.
pub const OPERATOR_TOKEN: &str = "stilequay-bench-operator";
/// Version of the documents.
const API_VERSION: &str = "stilequay/v1";

/// A resource to declare.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "camelCase")]
struct Document<'a> {
    api_version: &'static str,
    #[serde(flatten)]
    spec: &'a ResourceSpec,
    metadata: Metadata,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Metadata {
    name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    resource_version: Option<String>,
}

/// What is read of a resource.
#[derive(Debug, Deserialize)]
struct Shown {
    metadata: Metadata,
    status: Status,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Status {
    conditions: Vec<Condition>,
    #[serde(default)]
    daemons_in_force: Option<usize>,
}

#[derive(Debug, Deserialize)]
struct Condition {
    #[serde(rename = "type")]
    condition: String,
    status: String,
}

/// An operator at one daemon.
#[derive(Debug, Clone)]
pub struct Operator {
    http: HttpClient,
}

impl Operator {
    /// An operator at the API of a daemon.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(address).with_bearer_token(OPERATOR_TOKEN),
        }
    }

    /// Declares a resource that does not exist yet; returns its version.
    pub async fn create(&self, name: &str, spec: &ResourceSpec) -> Result<u64, LaunchError> {
        let path = format!("/v1/{}", plural(spec));
        let created: Shown = self.http.post(&path, &document(name, spec, None)).await?;
        version_of(&created)
    }

    /// Replaces a resource, whatever version it has; returns its new version.
    pub async fn replace(&self, name: &str, spec: &ResourceSpec) -> Result<u64, LaunchError> {
        let path = format!("/v1/{}/{name}", plural(spec));
        let present: Shown = self.http.get(&path).await?;
        let seen = present.metadata.resource_version;
        let replaced: Shown = self.http.put(&path, &document(name, spec, seen)).await?;
        version_of(&replaced)
    }

    /// Whether `version` of a resource, or a later one, is in force on at least
    /// `daemons` daemons, and on all that the fleet knows.
    pub async fn is_in_force(
        &self,
        name: &str,
        spec: &ResourceSpec,
        version: u64,
        daemons: usize,
    ) -> bool {
        let path = format!("/v1/{}/{name}", plural(spec));
        let Ok(shown) = self.http.get::<Shown>(&path).await else {
            return false;
        };
        let holds =
            |condition: &Condition| condition.condition == "InForce" && condition.status == "True";
        let enough = shown.status.daemons_in_force >= Some(daemons);
        let shows_version = version_of(&shown).is_ok_and(|shown| shown >= version);
        enough && shows_version && shown.status.conditions.iter().any(holds)
    }

    /// The fleet as the daemon sees it.
    pub async fn status(&self) -> Result<Value, LaunchError> {
        self.http.get("/v1/status").await
    }

    /// The daemon's metrics in the Prometheus text format.
    pub async fn metrics(&self) -> Result<String, LaunchError> {
        self.http.get_text("/metrics").await
    }

    /// Whether the daemon says that it is ready for callers.
    pub async fn is_ready(&self) -> bool {
        self.http.get_text("/readyz").await.is_ok()
    }
}

fn document<'a>(name: &str, spec: &'a ResourceSpec, seen: Option<String>) -> Document<'a> {
    Document {
        api_version: API_VERSION,
        spec,
        metadata: Metadata {
            name: name.to_owned(),
            resource_version: seen,
        },
    }
}

fn plural(spec: &ResourceSpec) -> &'static str {
    match spec {
        ResourceSpec::DatabaseGroup(_) => "databasegroups",
        ResourceSpec::Service(_) => "services",
        ResourceSpec::SessionPolicy(_) => "sessionpolicies",
    }
}

fn version_of(shown: &Shown) -> Result<u64, LaunchError> {
    let version = shown.metadata.resource_version.as_deref();
    version.and_then(|text| text.parse().ok()).ok_or_else(|| {
        let name = shown.metadata.name.clone();
        LaunchError::Request(name, "the answer names no version".to_owned())
    })
}
