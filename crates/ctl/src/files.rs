//! Resources in files: TOML, YAML or JSON.

use crate::ControlError;
use serde::Deserialize;
use serde_json::Value;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use stilequay_daemon::domain::document::{Draft, read_draft};

/// Name that means standard input.
const STANDARD_INPUT: &str = "-";

/// A checked document of a file.
#[derive(Debug, Clone)]
pub struct FileDocument {
    /// The document as written.
    pub document: Value,
    /// What it says.
    pub draft: Draft,
}

/// All documents of all files, checked: a fault in one keeps all from being used.
pub fn read_all(paths: &[PathBuf]) -> Result<Vec<FileDocument>, ControlError> {
    let mut documents = Vec::new();
    for path in paths {
        for document in read(path)? {
            let draft = read_draft(document.clone())
                .map_err(|faults| ControlError::Document(path.clone(), faults))?;
            documents.push(FileDocument { document, draft });
        }
    }
    Ok(documents)
}

fn read(path: &Path) -> Result<Vec<Value>, ControlError> {
    let text = read_text(path).map_err(|error| ControlError::Unreadable(path.into(), error))?;
    let documents = match path.extension().and_then(|extension| extension.to_str()) {
        Some("toml") => toml::from_str(&text)
            .map(|document| vec![document])
            .map_err(|error| error.to_string()),
        Some("json") => serde_json::from_str(&text)
            .map(|document| vec![document])
            .map_err(|error| error.to_string()),
        Some("yaml" | "yml") => read_yaml(&text),
        None if path == Path::new(STANDARD_INPUT) => read_yaml(&text),
        _ => Err("the name must end in .toml, .yaml, .yml or .json".to_owned()),
    };
    documents
        .map(|documents| documents.into_iter().flat_map(unpacked).collect())
        .map_err(|reason| ControlError::Format(path.into(), reason))
}

fn read_text(path: &Path) -> io::Result<String> {
    if path != Path::new(STANDARD_INPUT) {
        return fs::read_to_string(path);
    }
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

/// A YAML stream may have several documents; empty ones are passed over.
fn read_yaml(text: &str) -> Result<Vec<Value>, String> {
    let documents: Result<Vec<Value>, _> = serde_yaml_ng::Deserializer::from_str(text)
        .map(Value::deserialize)
        .collect();
    let documents = documents.map_err(|error| error.to_string())?;
    Ok(documents
        .into_iter()
        .filter(|document| !document.is_null())
        .collect())
}

/// The documents of a list, as `get -o json` prints it and as `[[items]]` in TOML.
fn unpacked(document: Value) -> Vec<Value> {
    match document {
        Value::Array(documents) => documents,
        Value::Object(mut fields) if !fields.contains_key("kind") => match fields.remove("items") {
            Some(Value::Array(documents)) => documents,
            Some(other) => vec![other],
            None => vec![Value::Object(fields)],
        },
        other => vec![other],
    }
}
