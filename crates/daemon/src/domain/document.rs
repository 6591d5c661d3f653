//! Resources as documents: kind, name, metadata and specification.

use super::fields::{Decoded, FieldFault, decode};
use super::names::Revision;
use super::resource::ResourceSpec;
use super::validation;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Version of the documents' schema.
pub const API_VERSION: &str = "stilequay/v1";

/// What a resource declares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ResourceKind {
    /// A database group.
    DatabaseGroup,
    /// A service.
    Service,
    /// A session policy.
    SessionPolicy,
}

impl ResourceKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::DatabaseGroup, Self::Service, Self::SessionPolicy];

    /// The kind's name in documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DatabaseGroup => "DatabaseGroup",
            Self::Service => "Service",
            Self::SessionPolicy => "SessionPolicy",
        }
    }

    /// The kind's name in paths of the API.
    pub fn plural(self) -> &'static str {
        match self {
            Self::DatabaseGroup => "databasegroups",
            Self::Service => "services",
            Self::SessionPolicy => "sessionpolicies",
        }
    }

    /// The kind that any of its names means, upper or lower case.
    pub fn from_any_name(name: &str) -> Option<Self> {
        let name = name.to_ascii_lowercase();
        Self::ALL
            .into_iter()
            .find(|kind| name == kind.plural() || name == kind.as_str().to_ascii_lowercase())
    }
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Kind and name of a resource; together unique.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResourceKey {
    /// The kind.
    pub kind: ResourceKind,
    /// The name.
    pub name: String,
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

quick_error! {
    /// A text that should name a resource doesn't.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ResourceKeyError {
        /// Not of the form `Kind/name`, or of an unknown kind.
        Malformed(text: String) {
            display("{text:?} names no resource: expected Kind/name")
        }
    }
}

impl FromStr for ResourceKey {
    type Err = ResourceKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ResourceKeyError::Malformed(text.to_owned());
        let (kind, name) = text.split_once('/').ok_or_else(malformed)?;
        Ok(Self {
            kind: ResourceKind::from_any_name(kind).ok_or_else(malformed)?,
            name: name.to_owned(),
        })
    }
}

/// What the system keeps of a resource besides its specification.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Metadata {
    /// The name, unique in the kind.
    pub name: String,
    /// Distinguishes resources that had the same name one after the other.
    pub uid: String,
    /// Number of the specification: raised by each change of it.
    pub generation: u64,
    /// Free names and values for operators.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
}

/// A resource as the platform stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Name and numbers.
    pub metadata: Metadata,
    /// Kind and specification.
    #[serde(flatten)]
    pub spec: ResourceSpec,
}

impl Resource {
    /// Kind and name.
    pub fn key(&self) -> ResourceKey {
        ResourceKey {
            kind: self.spec.kind(),
            name: self.metadata.name.clone(),
        }
    }
}

/// A resource and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedResource {
    /// The resource.
    pub resource: Resource,
    /// The revision of its last change.
    pub version: Revision,
}

/// What an operator writes: a document without the parts that the system sets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// Kind and name.
    pub key: ResourceKey,
    /// Labels.
    pub labels: BTreeMap<String, String>,
    /// The version that the operator has seen, where given.
    pub seen: Option<Revision>,
    /// The uid that the operator has seen, where given.
    pub uid: Option<String>,
    /// The specification.
    pub spec: ResourceSpec,
}

/// The form of a document; system-set parts are accepted as they were read and not used.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct DocumentForm {
    api_version: String,
    kind: ResourceKind,
    metadata: MetadataForm,
    spec: Value,
    #[serde(default, rename = "status")]
    _status: Option<Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct MetadataForm {
    name: String,
    #[serde(default)]
    uid: Option<String>,
    #[serde(default, rename = "generation")]
    _generation: Option<u64>,
    #[serde(default)]
    resource_version: Option<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

/// Decodes and checks a document that an operator wrote.
///
/// # Errors
/// All faults of the document, each with its field.
pub fn read_draft(document: Value) -> Result<Draft, Vec<FieldFault>> {
    let template = json!({
        "apiVersion": API_VERSION, "kind": "Service",
        "metadata": { "name": "name" }, "spec": {},
    });
    let Decoded { value, mut faults } = decode::<DocumentForm>(document, &template);
    let Some(form) = value else {
        return Err(faults);
    };
    let kind_is_known = !faults.iter().any(|fault| fault.field == "kind");
    if form.api_version != API_VERSION {
        let reason = format!("must be {API_VERSION}");
        faults.push(FieldFault::new("apiVersion", reason));
    }
    faults.extend(validation::check_name("metadata.name", &form.metadata.name));
    faults.extend(validation::check_labels(&form.metadata.labels));
    let seen = read_version(&form.metadata, &mut faults);
    if !kind_is_known {
        return Err(faults);
    }
    let spec = match read_spec(form.kind, form.spec) {
        Ok(spec) => spec,
        Err(more) => {
            faults.extend(more.into_iter().map(|fault| fault.within("spec")));
            return Err(faults);
        }
    };
    if !faults.is_empty() {
        return Err(faults);
    }
    Ok(Draft {
        key: ResourceKey {
            kind: form.kind,
            name: form.metadata.name,
        },
        labels: form.metadata.labels,
        seen,
        uid: form.metadata.uid,
        spec,
    })
}

fn read_version(metadata: &MetadataForm, faults: &mut Vec<FieldFault>) -> Option<Revision> {
    let text = metadata.resource_version.as_ref()?;
    match text.parse() {
        Ok(number) => Some(Revision(number)),
        Err(_) => {
            let reason = "must be a version as the system gave it";
            faults.push(FieldFault::new("metadata.resourceVersion", reason));
            None
        }
    }
}

/// Decodes and checks a specification.
pub fn read_spec(kind: ResourceKind, spec: Value) -> Result<ResourceSpec, Vec<FieldFault>> {
    match kind {
        ResourceKind::DatabaseGroup => {
            let spec = read_checked(spec, &group_template(), validation::check_group)?;
            Ok(ResourceSpec::DatabaseGroup(Arc::new(spec)))
        }
        ResourceKind::Service => {
            let template = json!({ "verifier": "", "groups": ["name"] });
            let spec = read_checked(spec, &template, validation::check_service)?;
            Ok(ResourceSpec::Service(Arc::new(spec)))
        }
        ResourceKind::SessionPolicy => {
            let spec = read_checked(spec, &json!({}), validation::check_policy)?;
            Ok(ResourceSpec::SessionPolicy(Arc::new(spec)))
        }
    }
}

fn group_template() -> Value {
    json!({
        "members": [{ "name": "name", "address": "127.0.0.1:5432", "zone": "zone" }],
        "database": "database", "user": "user", "password": "", "connectionsPerMember": 1,
    })
}

/// Decodes, then checks the values of the fields that had no fault of form.
fn read_checked<T: DeserializeOwned>(
    document: Value,
    template: &Value,
    check: fn(&T) -> Vec<FieldFault>,
) -> Result<T, Vec<FieldFault>> {
    let Decoded { value, mut faults } = decode::<T>(document, template);
    let Some(value) = value else {
        return Err(faults);
    };
    let of_form: Vec<_> = faults.iter().map(|fault| fault.field.clone()).collect();
    let of_value = check(&value).into_iter();
    faults.extend(of_value.filter(|fault| !of_form.contains(&fault.field)));
    match faults.is_empty() {
        true => Ok(value),
        false => Err(faults),
    }
}
