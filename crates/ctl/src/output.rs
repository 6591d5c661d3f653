//! Answers as tables, JSON or YAML.

use crate::ControlError;
use serde::Serialize;
use stilequay_daemon::adapters::api::{
    ConditionStatus, ConditionType, Document, FleetStatus, WatchEvent,
};

/// How answers are shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Columns for people.
    Table,
    /// JSON.
    Json,
    /// YAML.
    Yaml,
}

impl Format {
    /// The format of that name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "table" => Some(Self::Table),
            "json" => Some(Self::Json),
            "yaml" => Some(Self::Yaml),
            _ => None,
        }
    }
}

/// Documents in `format`; a list where `as_list`, else the only one.
pub fn documents(
    documents: &[Document],
    as_list: bool,
    format: Format,
) -> Result<String, ControlError> {
    match (format, documents) {
        (Format::Table, documents) => Ok(document_table(documents)),
        (format, [document]) if !as_list => encoded(document, format),
        (format, documents) => encoded(&DocumentItems { items: documents }, format),
    }
}

/// A list as files may have it.
#[derive(Serialize)]
struct DocumentItems<'a> {
    items: &'a [Document],
}

/// The fleet in `format`.
pub fn fleet(status: &FleetStatus, format: Format) -> Result<String, ControlError> {
    match format {
        Format::Table => Ok(fleet_table(status)),
        format => encoded(status, format),
    }
}

/// An event of a watch in `format`.
pub fn event(event: &WatchEvent, format: Format) -> Result<String, ControlError> {
    if format != Format::Table {
        return encoded_line(event, format);
    }
    let text = match event {
        WatchEvent::Added { object } => event_line("ADDED", object),
        WatchEvent::Modified { object } => event_line("MODIFIED", object),
        WatchEvent::Deleted { object, .. } => event_line("DELETED", object),
        WatchEvent::Bookmark { .. } => String::new(),
        WatchEvent::Gone { resource_version } => {
            format!("GONE: changes were missed; list again, then watch from {resource_version}\n")
        }
    };
    Ok(text)
}

fn event_line(what: &str, document: &Document) -> String {
    let metadata = &document.metadata;
    format!(
        "{what:<9} {}/{} generation {} version {}\n",
        document.kind, metadata.name, metadata.generation, metadata.resource_version
    )
}

fn encoded(value: &impl Serialize, format: Format) -> Result<String, ControlError> {
    match format {
        Format::Yaml => {
            serde_yaml_ng::to_string(value).map_err(|error| ControlError::Answer(error.to_string()))
        }
        Format::Json | Format::Table => serde_json::to_string_pretty(value)
            .map(|text| text + "\n")
            .map_err(|error| ControlError::Answer(error.to_string())),
    }
}

/// JSON on one line, YAML as one document of a stream.
fn encoded_line(value: &impl Serialize, format: Format) -> Result<String, ControlError> {
    match format {
        Format::Yaml => Ok(format!("---\n{}", encoded(value, format)?)),
        _ => serde_json::to_string(value)
            .map(|text| text + "\n")
            .map_err(|error| ControlError::Answer(error.to_string())),
    }
}

fn document_table(documents: &[Document]) -> String {
    let mut rows = vec![row([
        "NAME",
        "GENERATION",
        "VERSION",
        "IN FORCE",
        "DAEMONS",
    ])];
    for document in documents {
        let metadata = &document.metadata;
        rows.push(row([
            &metadata.name,
            &metadata.generation.to_string(),
            &metadata.resource_version,
            in_force(document),
            &daemons(document),
        ]));
    }
    aligned(&rows)
}

fn in_force(document: &Document) -> &'static str {
    let mut conditions = document.status.conditions.iter();
    let condition = conditions.find(|condition| condition.condition == ConditionType::InForce);
    match condition.map(|condition| condition.status) {
        Some(ConditionStatus::True) => "yes",
        Some(ConditionStatus::False) => "no",
        Some(ConditionStatus::Unknown) | None => "unknown",
    }
}

fn daemons(document: &Document) -> String {
    let number = |count: Option<u32>| match count {
        Some(count) => count.to_string(),
        None => "?".to_owned(),
    };
    let status = &document.status;
    format!(
        "{}/{}",
        number(status.daemons_in_force),
        number(status.daemons_total)
    )
}

fn fleet_table(status: &FleetStatus) -> String {
    let mut text = format!(
        "told by {}, which has applied version {}\n",
        status.node, status.resource_version
    );
    match &status.in_force {
        None => text.push_str("in force on the fleet: unknown\n"),
        Some(report) => {
            text.push_str(&format!(
                "in force on the fleet: version {} ({} of {} daemons report, {} unreachable)\n",
                report.least,
                report.counted,
                report.total(),
                report.unreachable
            ));
            for laggard in report.behind(highest(status)) {
                let line = format!("behind: {} at version {}\n", laggard.node, laggard.revision);
                text.push_str(&line);
            }
        }
    }
    let mut rows = vec![row(["DAEMON", "ZONE", "REGION", "STATE", "PEER ADDRESS"])];
    for daemon in &status.daemons {
        rows.push(row([
            daemon.node.as_str(),
            daemon.zone.as_str(),
            daemon.region.as_str(),
            &format!("{:?}", daemon.liveness).to_lowercase(),
            &daemon.peer_address,
        ]));
    }
    text + &aligned(&rows)
}

/// The version that the daemon asked has applied.
fn highest(status: &FleetStatus) -> stilequay_daemon::domain::names::Revision {
    let number = status.resource_version.parse().unwrap_or_default();
    stilequay_daemon::domain::names::Revision(number)
}

type Row = Vec<String>;

fn row<const N: usize>(cells: [&str; N]) -> Row {
    cells.into_iter().map(str::to_owned).collect()
}

/// Columns as wide as their widest cell, two spaces apart.
fn aligned(rows: &[Row]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: Vec<_> = (0..columns).map(|c| width(c).unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: String = cells
            .map(|(cell, width)| format!("{cell:<width$}  "))
            .collect();
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
