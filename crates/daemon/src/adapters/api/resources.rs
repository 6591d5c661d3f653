//! Reading of resources.

use super::documents::{Document, show};
use super::failure::{ApiFailure, FailureCode};
use super::paging::{GetQuery, ListQuery, key, kind, wait_for};
use super::requests::ApiRequestId;
use super::{SharedApi, watch};
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::{Extension, Json};
use serde::{Deserialize, Serialize};

/// One page of a list.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DocumentList {
    /// The resources, by name.
    pub items: Vec<Document>,
    /// Version that the list shows; a watch may begin here.
    pub resource_version: String,
    /// Where the next page begins; absent on the last page.
    #[serde(rename = "continue", default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

/// `GET /v1/{kind}/{name}`.
pub async fn get(
    State(api): State<SharedApi>,
    Path((plural, name)): Path<(String, String)>,
    query: Result<Query<GetQuery>, QueryRejection>,
) -> Result<Json<Document>, ApiFailure> {
    let Query(query) = query.map_err(bad_query)?;
    let key = key(&plural, &name)?;
    wait_for(&api, query.resource_version).await?;
    let resource = api.context.state.read(|catalogue| catalogue.get(&key));
    match resource {
        Some(resource) => Ok(Json(show(&resource, &api.context.in_force))),
        None => Err(ApiFailure::new(
            FailureCode::NotFound,
            format!("{key} does not exist"),
        )),
    }
}

/// `GET /v1/{kind}`: a page, or a watch.
pub async fn list_or_watch(
    State(api): State<SharedApi>,
    Extension(request): Extension<ApiRequestId>,
    Path(plural): Path<String>,
    query: Result<Query<ListQuery>, QueryRejection>,
) -> Result<Response, ApiFailure> {
    let Query(query) = query.map_err(bad_query)?;
    let kind = kind(&plural)?;
    wait_for(&api, query.resource_version).await?;
    if query.watch {
        return watch::watch(api, kind, query.resource_version, request);
    }
    let page_size = query.page_size()?;
    let page = api.context.state.read(|catalogue| {
        let resources = catalogue.list(kind, query.after.as_deref(), page_size + 1);
        (catalogue.revision(), resources)
    });
    let (revision, mut resources) = page;
    let more = resources.len() > page_size;
    resources.truncate(page_size);
    let last = resources.last().filter(|_| more);
    let list = DocumentList {
        after: last.map(|last| last.resource.metadata.name.clone()),
        items: resources
            .iter()
            .map(|resource| show(resource, &api.context.in_force))
            .collect(),
        resource_version: revision.to_string(),
    };
    Ok(Json(list).into_response())
}

fn bad_query(rejection: QueryRejection) -> ApiFailure {
    ApiFailure::new(FailureCode::BadRequest, rejection.body_text())
}
