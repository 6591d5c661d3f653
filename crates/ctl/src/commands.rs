//! The commands.

use crate::client::Client;
use crate::command_line::{Command, Invocation};
use crate::connection::Connection;
use crate::files::{FileDocument, read_all};
use crate::output::{self, Format};
use crate::verifier::{read_password, verifier};
use crate::{ControlError, ExitStatus};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::PathBuf;
use std::time::Duration;
use stilequay_daemon::adapters::api::{Document, FailureCode, OutcomeName};
use stilequay_daemon::domain::document::{ResourceKey, ResourceKind};

/// Times that an applied document without a version is tried again after others
/// changed the resource.
const MAX_ATTEMPTS: u32 = 8;
/// Pause after the first such attempt; grows with each.
const RACE_PAUSE: Duration = Duration::from_millis(50);

/// Carries out a command, writing its answer to `out`.
pub async fn run(invocation: Invocation, out: &mut impl Write) -> Result<ExitStatus, ControlError> {
    if invocation.command == Command::Verifier {
        let password = read_password(io::stdin().lock())?;
        writeln!(out, "{}", verifier(&password))?;
        return Ok(ExitStatus::Done);
    }
    let client = Client::new(Connection::load(&invocation.connection)?)?;
    let format = invocation.format;
    match invocation.command {
        Command::Apply(paths) => apply(&client, &paths, out).await,
        Command::Get { kind, name } => get(&client, kind, name, format, out).await,
        Command::Delete { kind, name } => {
            let key = ResourceKey { kind, name };
            delete(&client, &[key], out).await
        }
        Command::DeleteFiles(paths) => {
            let documents = read_all(&paths)?;
            let keys: Vec<_> = documents.into_iter().map(|d| d.draft.key).collect();
            delete(&client, &keys, out).await
        }
        Command::Watch { kind, from } => watch(&client, kind, from, format, out).await,
        Command::Status => {
            let status = client.status().await?;
            out.write_all(output::fleet(&status, format)?.as_bytes())?;
            Ok(ExitStatus::Done)
        }
        Command::Diff(paths) => diff(&client, &paths, out).await,
        Command::Outcome(path) => outcome(&client, &path, out).await,
        Command::Verifier => Ok(ExitStatus::Done),
    }
}

async fn apply(
    client: &Client,
    paths: &[PathBuf],
    out: &mut impl Write,
) -> Result<ExitStatus, ControlError> {
    for file in read_all(paths)? {
        let applied = apply_one(client, &file).await?;
        let version = &applied.document.metadata.resource_version;
        client.wait_for(file.draft.key.kind, version).await;
        writeln!(
            out,
            "{} {} at version {}",
            file.draft.key,
            applied.what.as_str(),
            version
        )?;
    }
    Ok(ExitStatus::Done)
}

/// What applying a document did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    Created,
    Configured,
    Unchanged,
}

impl Effect {
    fn as_str(self) -> &'static str {
        match self {
            Self::Created => "created",
            Self::Configured => "configured",
            Self::Unchanged => "unchanged",
        }
    }
}

struct Applied {
    what: Effect,
    document: Document,
}

/// Creates or replaces a resource. A document without a version is meant whatever
/// the present one is, so it is tried again after a change by somebody else.
async fn apply_one(client: &Client, file: &FileDocument) -> Result<Applied, ControlError> {
    let mut attempts: u32 = 0;
    loop {
        attempts += 1;
        let result = match client.get(&file.draft.key).await {
            Ok(present) => replace(client, file, present).await,
            Err(error) if error.is_refusal(FailureCode::NotFound) => create(client, file).await,
            Err(error) => return Err(error),
        };
        let race = result.as_ref().is_err_and(|error| {
            error.is_refusal(FailureCode::Conflict) || error.is_refusal(FailureCode::AlreadyExists)
        });
        if !race || file.draft.seen.is_some() || attempts == MAX_ATTEMPTS {
            return result;
        }
        tokio::time::sleep(RACE_PAUSE * attempts).await;
    }
}

async fn create(client: &Client, file: &FileDocument) -> Result<Applied, ControlError> {
    let document = client.create(file.draft.key.kind, &file.document).await?;
    Ok(Applied {
        what: Effect::Created,
        document,
    })
}

async fn replace(
    client: &Client,
    file: &FileDocument,
    present: Document,
) -> Result<Applied, ControlError> {
    let mut document = file.document.clone();
    if file.draft.seen.is_none() {
        document["metadata"]["resourceVersion"] = json!(present.metadata.resource_version);
    }
    let replaced = client.replace(&file.draft.key, &document).await?;
    let unchanged = replaced.metadata.resource_version == present.metadata.resource_version;
    Ok(Applied {
        what: match unchanged {
            true => Effect::Unchanged,
            false => Effect::Configured,
        },
        document: replaced,
    })
}

async fn get(
    client: &Client,
    kind: ResourceKind,
    name: Option<String>,
    format: Format,
    out: &mut impl Write,
) -> Result<ExitStatus, ControlError> {
    let as_list = name.is_none();
    let documents = match name {
        Some(name) => vec![client.get(&ResourceKey { kind, name }).await?],
        None => client.list(kind).await?,
    };
    out.write_all(output::documents(&documents, as_list, format)?.as_bytes())?;
    Ok(ExitStatus::Done)
}

async fn delete(
    client: &Client,
    keys: &[ResourceKey],
    out: &mut impl Write,
) -> Result<ExitStatus, ControlError> {
    for key in keys {
        let deletion = client.delete(key).await?;
        client.wait_for(key.kind, &deletion.resource_version).await;
        writeln!(
            out,
            "{key} deleted at version {}",
            deletion.resource_version
        )?;
    }
    Ok(ExitStatus::Done)
}

async fn watch(
    client: &Client,
    kind: ResourceKind,
    from: Option<u64>,
    format: Format,
    out: &mut impl Write,
) -> Result<ExitStatus, ControlError> {
    let mut events = client.watch(kind, from).await?;
    while let Some(event) = events.next().await? {
        out.write_all(output::event(&event, format)?.as_bytes())?;
        out.flush()?;
    }
    Ok(ExitStatus::Done)
}

async fn outcome(
    client: &Client,
    path: &str,
    out: &mut impl Write,
) -> Result<ExitStatus, ControlError> {
    let answer = client.outcome(path).await?;
    match answer.outcome {
        OutcomeName::Accepted => {
            writeln!(out, "accepted at version {}", answer.resource_version)?;
            Ok(ExitStatus::Done)
        }
        OutcomeName::Refused => {
            writeln!(out, "refused: it never takes effect")?;
            Ok(ExitStatus::Refused)
        }
        OutcomeName::Open => {
            writeln!(
                out,
                "open: it has not taken effect, and still may; ask again"
            )?;
            Ok(ExitStatus::OutcomeUnknown)
        }
    }
}

async fn diff(
    client: &Client,
    paths: &[PathBuf],
    out: &mut impl Write,
) -> Result<ExitStatus, ControlError> {
    let mut status = ExitStatus::Done;
    for file in read_all(paths)? {
        let present = match client.get(&file.draft.key).await {
            Ok(present) => fields_of(&present.metadata.labels, &present.spec),
            Err(error) if error.is_refusal(FailureCode::NotFound) => BTreeMap::new(),
            Err(error) => return Err(error),
        };
        let wanted = fields_of(&file.draft.labels, &spec_of(&file)?);
        if present == wanted {
            continue;
        }
        status = ExitStatus::Different;
        writeln!(out, "{}", file.draft.key)?;
        write_differences(&present, &wanted, out)?;
    }
    Ok(status)
}

/// The specification with defaults filled in, as the daemon would show it.
fn spec_of(file: &FileDocument) -> Result<Value, ControlError> {
    let whole = serde_json::to_value(&file.draft.spec)
        .map_err(|error| ControlError::Answer(error.to_string()))?;
    Ok(whole["spec"].clone())
}

/// Leaves of a document by their paths.
type Fields = BTreeMap<String, String>;

fn fields_of(labels: &BTreeMap<String, String>, spec: &Value) -> Fields {
    let mut fields = Fields::new();
    collect("metadata.labels", &json!(labels), &mut fields);
    collect("spec", spec, &mut fields);
    fields
}

fn collect(path: &str, value: &Value, fields: &mut Fields) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                collect(&format!("{path}.{key}"), value, fields);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                collect(&format!("{path}[{index}]"), item, fields);
            }
        }
        leaf => {
            fields.insert(path.to_owned(), leaf.to_string());
        }
    }
}

/// A value as it is shown: secrets are compared but not shown.
fn shown<'a>(path: &str, value: &'a str) -> &'a str {
    match path.ends_with(".password") || path.ends_with(".verifier") {
        true => "(secret)",
        false => value,
    }
}

fn write_differences(
    present: &Fields,
    wanted: &Fields,
    out: &mut impl Write,
) -> Result<(), ControlError> {
    for (path, value) in present {
        if wanted.get(path) != Some(value) {
            writeln!(out, "- {path}: {}", shown(path, value))?;
        }
    }
    for (path, value) in wanted {
        if present.get(path) != Some(value) {
            writeln!(out, "+ {path}: {}", shown(path, value))?;
        }
    }
    Ok(())
}
