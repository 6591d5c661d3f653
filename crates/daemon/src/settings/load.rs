//! Reading of settings: defaults, then the file, then flags.

use super::{Settings, check};
use crate::domain::fields::{Decoded, FieldFault, decode};
use quick_error::quick_error;
use serde_json::{Value, json};
use std::fs;
use std::path::{Path, PathBuf};
use std::str::FromStr;

quick_error! {
    /// Why there are no settings.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file can't be read.
        Unreadable(path: PathBuf, error: std::io::Error) {
            display("{}: {error}", path.display())
        }
        /// The file is no TOML.
        Syntax(path: PathBuf, reason: String) {
            display("{}: {reason}", path.display())
        }
        /// An override has not the form `section.key=value`.
        Override(text: String) {
            display("--set {text}: expected section.key=value")
        }
        /// Keys that are unknown, missing or have a wrong value.
        Faults(faults: Vec<FieldFault>) {
            display("{}", lines(faults))
        }
    }
}

fn lines(faults: &[FieldFault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// A setting given by a flag, `section.key=value`; stronger than the file.
#[derive(Debug, Clone, PartialEq)]
pub struct Override {
    path: Vec<String>,
    value: Value,
}

impl FromStr for Override {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, SettingsError> {
        let malformed = || SettingsError::Override(text.to_owned());
        let (path, value) = text.split_once('=').ok_or_else(malformed)?;
        let path: Vec<_> = path.split('.').map(|key| key.trim().to_owned()).collect();
        if path.len() < 2 || path.iter().any(String::is_empty) {
            return Err(malformed());
        }
        Ok(Self {
            path,
            value: parse_value(value.trim()),
        })
    }
}

/// A TOML value, or plain text where it is none: so addresses and names need no quotes.
fn parse_value(text: &str) -> Value {
    let as_toml = toml::from_str::<Value>(&format!("value = {text}"));
    match as_toml {
        Ok(mut table) => table["value"].take(),
        Err(_) => Value::String(text.to_owned()),
    }
}

impl Override {
    fn apply(&self, document: &mut Value) {
        let mut place = document;
        for key in &self.path {
            if !place.is_object() {
                *place = json!({});
            }
            place = &mut place[key];
        }
        *place = self.value.clone();
    }
}

/// Settings from `file`, where one is given, and `overrides`, every value checked.
pub fn load(file: Option<&Path>, overrides: &[Override]) -> Result<Settings, SettingsError> {
    let mut document = match file {
        Some(path) => read(path)?,
        None => json!({}),
    };
    for setting in overrides {
        setting.apply(&mut document);
    }
    decode_and_check(document)
}

/// The default settings as a file, with what must be filled in left empty.
pub fn default_file() -> String {
    // Numbers, texts, lists and tables only: encoding can't fail.
    toml::to_string_pretty(&Settings::default()).unwrap_or_default()
}

fn read(path: &Path) -> Result<Value, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
    toml::from_str(&text).map_err(|error| SettingsError::Syntax(path.to_owned(), error.to_string()))
}

/// Decodes and checks. Faults of form come together with faults of value, the
/// latter found in what is left once the former are replaced.
fn decode_and_check(document: Value) -> Result<Settings, SettingsError> {
    let template = json!({ "api": { "tokens": [{ "name": "", "token": "", "role": "read" }] } });
    let Decoded { value, mut faults } = decode::<Settings>(document, &template);
    if let Some(settings) = &value {
        let of_form: Vec<_> = faults.iter().map(|fault| fault.field.clone()).collect();
        let of_value = check::check(settings);
        faults.extend(
            of_value
                .into_iter()
                .filter(|fault| !of_form.contains(&fault.field)),
        );
    }
    match value {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(SettingsError::Faults(faults)),
    }
}
