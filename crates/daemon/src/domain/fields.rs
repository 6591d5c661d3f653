//! Decoding of documents that people write, with all faults told at once.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};
use std::fmt;

/// One fault of a document: which field, and what is wrong with it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, serde::Deserialize)]
pub struct FieldFault {
    /// Path of the field, as in `spec.members[0].address`.
    pub field: String,
    /// What is wrong, without the values of secrets.
    pub reason: String,
}

impl FieldFault {
    /// A fault of `field`.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }

    /// The same fault, with `prefix` before the field's path.
    pub fn within(self, prefix: &str) -> Self {
        let field = match self.field.is_empty() {
            true => prefix.to_owned(),
            false => format!("{prefix}.{}", self.field),
        };
        Self { field, ..self }
    }
}

impl fmt::Display for FieldFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.reason)
    }
}

/// Faults reported of one document; more would not be read.
const MAX_FAULTS: usize = 100;

/// A document decoded as far as it could be.
#[derive(Debug, Clone)]
pub struct Decoded<T> {
    /// The document, with faulty fields replaced by substitutes; of use only for
    /// finding further faults unless `faults` is empty.
    pub value: Option<T>,
    /// All faults of form.
    pub faults: Vec<FieldFault>,
}

/// Decodes `document`, collecting every fault.
///
/// serde stops at the first fault. So each faulty field is noted and replaced by
/// its counterpart in `template` (a valid document that has every required
/// field), or removed where the template lacks it, and decoding starts again.
pub fn decode<T: DeserializeOwned>(mut document: Value, template: &Value) -> Decoded<T> {
    let mut faults = Vec::new();
    while faults.len() < MAX_FAULTS {
        let error = match serde_path_to_error::deserialize::<_, T>(&document) {
            Ok(decoded) => {
                return Decoded {
                    value: Some(decoded),
                    faults,
                };
            }
            Err(error) => error,
        };
        let reason = error.inner().to_string();
        let mut path = steps(error.path());
        if let Some(missing) = missing_field(&reason) {
            path.push(Step::Key(missing.to_owned()));
        }
        faults.push(FieldFault::new(render(&path), plain(&reason)));
        if !replace(&mut document, &path, template) {
            break;
        }
    }
    Decoded {
        value: None,
        faults,
    }
}

/// One step of the path to a field.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
}

fn steps(path: &Path) -> Vec<Step> {
    path.iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(Step::Index(*index)),
            Segment::Map { key } => Some(Step::Key(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect()
}

fn render(path: &[Step]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            Step::Key(key) if text.is_empty() => text.push_str(key),
            Step::Key(key) => text.push_str(&format!(".{key}")),
            Step::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}

/// The field's name where `reason` is serde's text for a required field that is absent.
fn missing_field(reason: &str) -> Option<&str> {
    reason.strip_prefix("missing field `")?.strip_suffix('`')
}

fn plain(reason: &str) -> String {
    match missing_field(reason) {
        Some(_) => "is required".to_owned(),
        None => reason.to_owned(),
    }
}

/// Replaces the field at `path` by the template's, or removes it; false where
/// neither changed anything, so that decoding again would find the same fault.
fn replace(document: &mut Value, path: &[Step], template: &Value) -> bool {
    let substitute = in_template(template, path);
    let Some((last, parents)) = path.split_last() else {
        return false;
    };
    let Some(parent) = parents.iter().try_fold(document, descend) else {
        return false;
    };
    match (last, parent, substitute) {
        (Step::Key(key), Value::Object(fields), Some(substitute)) => {
            fields.insert(key.clone(), substitute.clone()).as_ref() != Some(substitute)
        }
        (Step::Key(key), Value::Object(fields), None) => fields.remove(key).is_some(),
        (Step::Index(index), Value::Array(items), Some(substitute)) => {
            let item = items.get_mut(*index);
            item.is_some_and(|item| std::mem::replace(item, substitute.clone()) != *substitute)
        }
        (Step::Index(index), Value::Array(items), None) if *index < items.len() => {
            items.remove(*index);
            true
        }
        _ => false,
    }
}

fn descend<'a>(value: &'a mut Value, step: &Step) -> Option<&'a mut Value> {
    match step {
        Step::Key(key) => value.get_mut(key),
        Step::Index(index) => value.get_mut(index),
    }
}

/// The template's value at `path`; its first item stands for every item of a list.
fn in_template<'a>(template: &'a Value, path: &[Step]) -> Option<&'a Value> {
    path.iter().try_fold(template, |value, step| match step {
        Step::Key(key) => value.get(key),
        Step::Index(_) => value.get(0),
    })
}
