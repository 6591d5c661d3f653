//! Changing of resources: create, replace, patch, delete, and asking what became of it.

use super::access::Operator;
use super::audit::{Audit, Verb};
use super::documents::{Document, show};
use super::editing::{self, Edit};
use super::failure::{ApiFailure, FailureCode};
use super::paging::{key, kind};
use super::requests::ApiRequestId;
use super::{Api, SharedApi};
use crate::app::control::acceptance::{PendingChange, PendingOutcome, ProposedChange};
use crate::domain::document::{ResourceKey, VersionedResource};
use crate::domain::names::Revision;
use axum::body::Bytes;
use axum::extract::rejection::{BytesRejection, PathRejection, QueryRejection};
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::{Extension, Json};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Times that a change without an expected version is tried again after others
/// changed the same resource.
const MAX_EDITS: usize = 8;

/// Answer to a deletion.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Deletion {
    /// The last state of the resource.
    pub deleted: Document,
    /// The version of the deletion.
    pub resource_version: String,
}

/// Query of a deletion.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct DeleteQuery {
    /// Delete only this version.
    pub resource_version: Option<u64>,
}

/// Query for what became of a change.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct OutcomeQuery {
    /// The token of the change.
    pub token: String,
}

/// What became of a change.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct OutcomeAnswer {
    /// accepted, refused (it never takes effect) or open (it still may).
    pub outcome: OutcomeName,
    /// The version that the change has, if it is accepted.
    pub resource_version: String,
}

/// An outcome's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum OutcomeName {
    /// It is accepted.
    Accepted,
    /// It is not and never will be.
    Refused,
    /// It is not so far, and still may be.
    Open,
}

/// `POST /v1/{kind}`.
pub async fn create(
    State(api): State<SharedApi>,
    Extension(operator): Extension<Operator>,
    Extension(request): Extension<ApiRequestId>,
    Path(plural): Path<String>,
    body: Result<Bytes, BytesRejection>,
) -> Result<(StatusCode, Json<Document>), ApiFailure> {
    let kind = kind(&plural)?;
    let edit = editing::creation(kind, read_json(body)?)?;
    let audit = Audit::new(operator, request, Verb::Create, &edit.proposed.key);
    let result = commit(&api, edit.proposed).await.map_err(already_exists);
    audit.record(&result);
    let accepted = result?;
    Ok((StatusCode::CREATED, Json(show_accepted(&api, accepted)?)))
}

fn already_exists(failure: ApiFailure) -> ApiFailure {
    match failure.code {
        FailureCode::Conflict => {
            ApiFailure::new(FailureCode::AlreadyExists, "the resource exists already")
        }
        _ => failure,
    }
}

/// `PUT /v1/{kind}/{name}`.
pub async fn replace(
    State(api): State<SharedApi>,
    Extension(operator): Extension<Operator>,
    Extension(request): Extension<ApiRequestId>,
    path: Result<Path<(String, String)>, PathRejection>,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<Document>, ApiFailure> {
    let key = path_key(path)?;
    let document = read_json(body)?;
    let audit = Audit::new(operator, request, Verb::Replace, &key);
    let result = edit(&api, &key, |current| {
        editing::replacement(&key, current, document.clone())
    })
    .await;
    audit.record(&result);
    Ok(Json(show_accepted(&api, result?)?))
}

/// `PATCH /v1/{kind}/{name}`: JSON merge patch.
pub async fn patch(
    State(api): State<SharedApi>,
    Extension(operator): Extension<Operator>,
    Extension(request): Extension<ApiRequestId>,
    path: Result<Path<(String, String)>, PathRejection>,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<Document>, ApiFailure> {
    let key = path_key(path)?;
    let patch = read_json(body)?;
    let audit = Audit::new(operator, request, Verb::Patch, &key);
    let result = edit(&api, &key, |current| {
        editing::patched(&key, current, patch.clone())
    })
    .await;
    audit.record(&result);
    Ok(Json(show_accepted(&api, result?)?))
}

/// `DELETE /v1/{kind}/{name}`.
pub async fn delete(
    State(api): State<SharedApi>,
    Extension(operator): Extension<Operator>,
    Extension(request): Extension<ApiRequestId>,
    path: Result<Path<(String, String)>, PathRejection>,
    query: Result<Query<DeleteQuery>, QueryRejection>,
) -> Result<Json<Deletion>, ApiFailure> {
    let key = path_key(path)?;
    let Query(query) = query
        .map_err(|rejection| ApiFailure::new(FailureCode::BadRequest, rejection.body_text()))?;
    let seen = query.resource_version.map(Revision);
    let audit = Audit::new(operator, request, Verb::Delete, &key);
    let result = edit(&api, &key, |current| editing::deletion(&key, current, seen)).await;
    audit.record(&result);
    let accepted = result?;
    let last = accepted.last_state.ok_or_else(|| not_found(&key))?;
    Ok(Json(Deletion {
        deleted: show(&last, &api.context.in_force),
        resource_version: accepted.version.to_string(),
    }))
}

/// `GET /v1/changes/{revision}?token=...`.
pub async fn outcome(
    State(api): State<SharedApi>,
    path: Result<Path<u64>, PathRejection>,
    query: Result<Query<OutcomeQuery>, QueryRejection>,
) -> Result<Json<OutcomeAnswer>, ApiFailure> {
    let Path(revision) =
        path.map_err(|rejection| ApiFailure::new(FailureCode::BadRequest, rejection.body_text()))?;
    let Query(query) = query
        .map_err(|rejection| ApiFailure::new(FailureCode::BadRequest, rejection.body_text()))?;
    let pending = PendingChange {
        revision: Revision(revision),
        request_token: query.token,
    };
    let outcome = api
        .context
        .acceptor
        .outcome(&pending)
        .await
        .map_err(|error| ApiFailure::unavailable(error.to_string()))?;
    Ok(Json(OutcomeAnswer {
        outcome: match outcome {
            PendingOutcome::Accepted => OutcomeName::Accepted,
            PendingOutcome::Refused => OutcomeName::Refused,
            PendingOutcome::Open => OutcomeName::Open,
        },
        resource_version: pending.revision.to_string(),
    }))
}

/// A change that is accepted.
#[derive(Debug)]
pub struct AcceptedChange {
    /// Its revision.
    pub version: Revision,
    /// The resource now; its last state where it was deleted.
    pub last_state: Option<VersionedResource>,
}

/// Reads the resource, edits it and commits the result. Where the operator gave
/// no version, a change by others in between leads to another edit.
async fn edit(
    api: &Api,
    key: &ResourceKey,
    edit: impl Fn(&VersionedResource) -> Result<Edit, ApiFailure>,
) -> Result<AcceptedChange, ApiFailure> {
    let mut edits = 0;
    loop {
        edits += 1;
        let current = api.context.acceptor.current(key).await?;
        let current = current.ok_or_else(|| not_found(key))?;
        let edited = edit(&current)?;
        if edited.changes_nothing {
            return Ok(AcceptedChange {
                version: current.version,
                last_state: Some(current),
            });
        }
        let deletes = edited.proposed.resource.is_none();
        match commit(api, edited.proposed).await {
            Err(failure)
                if failure.code == FailureCode::Conflict
                    && edited.may_be_repeated
                    && edits < MAX_EDITS => {}
            Err(failure) => return Err(failure),
            Ok(accepted) if deletes => {
                return Ok(AcceptedChange {
                    last_state: Some(current),
                    ..accepted
                });
            }
            Ok(accepted) => return Ok(accepted),
        }
    }
}

async fn commit(api: &Api, proposed: ProposedChange) -> Result<AcceptedChange, ApiFailure> {
    let resource = proposed.resource.clone();
    let version = api.context.acceptor.accept(proposed).await?;
    (api.context.hasten)();
    Ok(AcceptedChange {
        version,
        last_state: resource.map(|resource| VersionedResource { resource, version }),
    })
}

fn show_accepted(api: &Api, accepted: AcceptedChange) -> Result<Document, ApiFailure> {
    let resource = accepted
        .last_state
        .ok_or_else(|| ApiFailure::new(FailureCode::NotFound, "the resource is gone"))?;
    Ok(show(&resource, &api.context.in_force))
}

fn not_found(key: &ResourceKey) -> ApiFailure {
    ApiFailure::new(FailureCode::NotFound, format!("{key} does not exist"))
}

fn path_key(
    path: Result<Path<(String, String)>, PathRejection>,
) -> Result<ResourceKey, ApiFailure> {
    let Path((plural, name)) =
        path.map_err(|rejection| ApiFailure::new(FailureCode::BadRequest, rejection.body_text()))?;
    key(&plural, &name)
}

fn read_json(body: Result<Bytes, BytesRejection>) -> Result<Value, ApiFailure> {
    let body = body.map_err(|rejection| match rejection.status() {
        StatusCode::PAYLOAD_TOO_LARGE => {
            ApiFailure::new(FailureCode::TooLarge, "the body is larger than allowed")
        }
        _ => ApiFailure::new(FailureCode::BadRequest, rejection.body_text()),
    })?;
    serde_json::from_slice(&body)
        .map_err(|error| ApiFailure::new(FailureCode::BadRequest, format!("not JSON: {error}")))
}
