//! Edits of one resource: what an operator's document makes of the present one.

use super::failure::{ApiFailure, FailureCode};
use super::merge::merge;
use crate::app::control::acceptance::ProposedChange;
use crate::app::control::identifier::random_identifier;
use crate::domain::document::{
    API_VERSION, Draft, Metadata, Resource, ResourceKey, ResourceKind, VersionedResource,
    read_draft,
};
use crate::domain::fields::FieldFault;
use crate::domain::names::Revision;
use crate::ports::platform::Precondition;
use serde_json::{Value, json};

/// An edit, ready to be committed.
#[derive(Debug)]
pub struct Edit {
    /// The change.
    pub proposed: ProposedChange,
    /// The resource is as the operator wants it already.
    pub changes_nothing: bool,
    /// The operator gave no version, so the edit may be made anew on a later one.
    pub may_be_repeated: bool,
}

/// A new resource of `kind`.
pub fn creation(kind: ResourceKind, document: Value) -> Result<Edit, ApiFailure> {
    let draft = read_draft(document).map_err(ApiFailure::invalid)?;
    let mut faults = Vec::new();
    if draft.key.kind != kind {
        faults.push(FieldFault::new("kind", format!("must be {kind} here")));
    }
    if draft.seen.is_some() {
        let reason = "must be absent in a new resource";
        faults.push(FieldFault::new("metadata.resourceVersion", reason));
    }
    if !faults.is_empty() {
        return Err(ApiFailure::invalid(faults));
    }
    let resource = Resource {
        metadata: Metadata {
            name: draft.key.name.clone(),
            uid: random_identifier(),
            generation: 1,
            labels: draft.labels,
        },
        spec: draft.spec,
    };
    Ok(Edit {
        proposed: ProposedChange {
            key: draft.key,
            resource: Some(resource),
            precondition: Precondition::Absent,
        },
        changes_nothing: false,
        may_be_repeated: false,
    })
}

/// `current` replaced by a whole document, which must tell the version it is based on.
pub fn replacement(
    key: &ResourceKey,
    current: &VersionedResource,
    document: Value,
) -> Result<Edit, ApiFailure> {
    let draft = read_draft(document).map_err(ApiFailure::invalid)?;
    if draft.seen.is_none() {
        let fault = FieldFault::new("metadata.resourceVersion", "is required");
        return Err(ApiFailure::invalid(vec![fault]));
    }
    edited(key, current, draft, false)
}

/// `current` with a merge patch applied to its document.
pub fn patched(
    key: &ResourceKey,
    current: &VersionedResource,
    patch: Value,
) -> Result<Edit, ApiFailure> {
    if !patch.is_object() {
        return Err(ApiFailure::new(
            FailureCode::BadRequest,
            "a merge patch must be an object",
        ));
    }
    let gives_version = patch.pointer("/metadata/resourceVersion").is_some();
    let mut document = editable(current)?;
    merge(&mut document, patch);
    let draft = read_draft(document).map_err(ApiFailure::invalid)?;
    edited(key, current, draft, !gives_version)
}

/// `current` deleted, only at version `seen` if that is given.
pub fn deletion(
    key: &ResourceKey,
    current: &VersionedResource,
    seen: Option<Revision>,
) -> Result<Edit, ApiFailure> {
    check_version(current, seen)?;
    Ok(Edit {
        proposed: ProposedChange {
            key: key.clone(),
            resource: None,
            precondition: Precondition::AtRevision(current.version),
        },
        changes_nothing: false,
        may_be_repeated: seen.is_none(),
    })
}

/// The document of a resource without its status.
fn editable(current: &VersionedResource) -> Result<Value, ApiFailure> {
    let mut document = serde_json::to_value(&current.resource)
        .map_err(|error| ApiFailure::new(FailureCode::BadRequest, error.to_string()))?;
    document["apiVersion"] = json!(API_VERSION);
    document["metadata"]["resourceVersion"] = json!(current.version.to_string());
    Ok(document)
}

fn edited(
    key: &ResourceKey,
    current: &VersionedResource,
    draft: Draft,
    may_be_repeated: bool,
) -> Result<Edit, ApiFailure> {
    check_identity(key, current, &draft)?;
    check_version(current, draft.seen)?;
    let known = &current.resource;
    let spec_changes = draft.spec != known.spec;
    let resource = Resource {
        metadata: Metadata {
            generation: known.metadata.generation + u64::from(spec_changes),
            labels: draft.labels,
            ..known.metadata.clone()
        },
        spec: draft.spec,
    };
    Ok(Edit {
        changes_nothing: resource == *known,
        may_be_repeated,
        proposed: ProposedChange {
            key: key.clone(),
            resource: Some(resource),
            precondition: Precondition::AtRevision(current.version),
        },
    })
}

fn check_identity(
    key: &ResourceKey,
    current: &VersionedResource,
    draft: &Draft,
) -> Result<(), ApiFailure> {
    let mut faults = Vec::new();
    if draft.key.kind != key.kind {
        faults.push(FieldFault::new(
            "kind",
            format!("must be {} here", key.kind),
        ));
    }
    if draft.key.name != key.name {
        let reason = format!("must be {} here", key.name);
        faults.push(FieldFault::new("metadata.name", reason));
    }
    if !faults.is_empty() {
        return Err(ApiFailure::invalid(faults));
    }
    match &draft.uid {
        Some(uid) if *uid != current.resource.metadata.uid => Err(ApiFailure::new(
            FailureCode::Conflict,
            "the resource was deleted and created anew in the meantime",
        )),
        _ => Ok(()),
    }
}

fn check_version(current: &VersionedResource, seen: Option<Revision>) -> Result<(), ApiFailure> {
    match seen {
        Some(seen) if seen != current.version => Err(ApiFailure::new(
            FailureCode::Conflict,
            format!("the resource is at version {}", current.version),
        )),
        _ => Ok(()),
    }
}
