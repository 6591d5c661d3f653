//! Query parameters of lists, gets and watches.

use super::Api;
use super::failure::{ApiFailure, FailureCode};
use crate::domain::document::{ResourceKey, ResourceKind};
use crate::domain::names::Revision;
use serde::Deserialize;
use tokio::time::timeout;

/// Resources on a page where the operator doesn't say.
const DEFAULT_PAGE_SIZE: usize = 100;
/// Most resources on a page.
const MAX_PAGE_SIZE: usize = 1_000;

/// Query of a list or a watch.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct ListQuery {
    /// Most resources on the page.
    pub limit: Option<usize>,
    /// Where the last page ended.
    #[serde(rename = "continue")]
    pub after: Option<String>,
    /// List: not older than this. Watch: changes after this.
    pub resource_version: Option<u64>,
    /// Whether to watch.
    pub watch: bool,
}

/// Query of a get.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct GetQuery {
    /// Not older than this.
    pub resource_version: Option<u64>,
}

impl ListQuery {
    /// The size of the page.
    pub fn page_size(&self) -> Result<usize, ApiFailure> {
        match self.limit {
            None => Ok(DEFAULT_PAGE_SIZE),
            Some(limit) if (1..=MAX_PAGE_SIZE).contains(&limit) => Ok(limit),
            Some(_) => Err(ApiFailure::new(
                FailureCode::BadRequest,
                format!("limit must be 1 to {MAX_PAGE_SIZE}"),
            )),
        }
    }
}

/// The kind that a path names.
pub fn kind(plural: &str) -> Result<ResourceKind, ApiFailure> {
    ResourceKind::ALL
        .into_iter()
        .find(|kind| kind.plural() == plural)
        .ok_or_else(|| ApiFailure::new(FailureCode::NotFound, "there is no such kind"))
}

/// The resource that a path names.
pub fn key(plural: &str, name: &str) -> Result<ResourceKey, ApiFailure> {
    Ok(ResourceKey {
        kind: kind(plural)?,
        name: name.to_owned(),
    })
}

/// Waits until this daemon has applied `revision` and has caught up.
pub async fn wait_for(api: &Api, revision: Option<u64>) -> Result<(), ApiFailure> {
    if !api.context.state.is_caught_up() {
        return Err(ApiFailure::unavailable(
            "this daemon has not caught up with the configuration yet",
        ));
    }
    let Some(revision) = revision.map(Revision) else {
        return Ok(());
    };
    let mut applied = api.context.state.applied();
    let reached = applied.wait_for(|applied| *applied >= revision);
    match timeout(api.context.settings.request_timeout(), reached).await {
        Ok(Ok(_)) => Ok(()),
        _ => Err(ApiFailure::unavailable(format!(
            "this daemon has not reached version {revision} yet"
        ))),
    }
}
