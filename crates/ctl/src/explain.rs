//! Gathers what the logs of several processes tell of one request: its own lines, and the
//! beliefs that were in force when it was decided.

use crate::clocks::{Clocks, Starts, SteadyTime};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io::BufRead;

/// Changes of belief about the request's group that are told, at the most.
const CHANGES_TOLD: usize = 12;

/// A line of a log, as far as this module reads it.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    #[serde(alias = "timestamp")]
    time: String,
    /// Time since the process began, by its steady clock, ms.
    uptime_ms: Option<u64>,
    /// The event names it where several processes' parts share one log.
    node: Option<String>,
    event: Option<EventFields>,
}

/// An event: what it is, whom it concerns, and all else.
#[derive(Debug, Clone, Deserialize)]
struct EventFields {
    event: String,
    node: Option<String>,
    id: Option<String>,
    group: Option<String>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

/// A line that matters.
#[derive(Debug, Clone)]
struct Entry {
    time: String,
    /// When it was written, in an order that holds although times of day jump.
    at: SteadyTime,
    node: String,
    event: EventFields,
}

/// What the logs told, sorted by time.
#[derive(Debug, Default)]
pub struct Explanation {
    requests: Vec<Entry>,
    changes: Vec<Entry>,
    coverage: BTreeMap<String, Coverage>,
    unreadable: usize,
    clocks: Clocks,
    /// When the processes began, once all logs are read.
    starts: Starts,
}

/// What the log of one process covers.
#[derive(Debug)]
struct Coverage {
    first: String,
    last: String,
    /// Events that were left out for being over their budget.
    suppressed: u64,
    /// Starts and stops, and when.
    lifecycle: Vec<String>,
    /// Sessions that were refused, by reason: what their callers wanted to ask has no line.
    refused_sessions: BTreeMap<String, u64>,
}

impl Coverage {
    fn text(&self) -> String {
        let refused = self.refused_sessions.iter();
        let refused: Vec<String> = refused
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        format!(
            "from {} to {}, {} lines left out; {}; sessions refused: {}",
            self.first,
            self.last,
            self.suppressed,
            self.lifecycle.join(", "),
            refused.join(", "),
        )
    }
}

impl Explanation {
    /// Takes the lines of one log. What stands before a line's first brace is passed over.
    ///
    /// # Errors
    ///
    /// The reader's own.
    pub fn read(&mut self, id: &str, log: impl BufRead) -> std::io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            let Some(start) = line.find('{') else {
                continue;
            };
            match serde_json::from_str::<Line>(line[start..].trim_end()) {
                Ok(line) => self.take(id, line),
                Err(_) => self.unreadable += 1,
            }
        }
        Ok(())
    }

    fn take(&mut self, id: &str, line: Line) {
        let Some(mut event) = line.event else { return };
        let node = line.node.or(event.node.take()).unwrap_or_default();
        let entry = Entry {
            at: self.clocks.read(&node, &line.time, line.uptime_ms),
            time: line.time,
            node,
            event,
        };
        self.cover(&entry);
        if entry.event.id.as_deref() == Some(id) {
            self.requests.push(entry);
        } else if entry.event.id.is_none() {
            self.changes.push(entry);
        }
    }

    fn cover(&mut self, entry: &Entry) {
        let coverage = self.coverage.entry(entry.node.clone());
        let coverage = coverage.or_insert_with(|| Coverage {
            first: entry.time.clone(),
            last: entry.time.clone(),
            suppressed: 0,
            lifecycle: Vec::new(),
            refused_sessions: BTreeMap::new(),
        });
        coverage.last.clone_from(&entry.time);
        let suppressed = entry.event.rest.get("suppressed_before");
        coverage.suppressed += suppressed.and_then(Value::as_u64).unwrap_or(0);
        let field = |name: &str| show(entry.event.rest.get(name));
        match entry.event.event.as_str() {
            "lifecycle" => {
                let action = field("action");
                coverage.lifecycle.push(format!("{action} {}", entry.time));
            }
            "session_refused" => {
                *coverage
                    .refused_sessions
                    .entry(field("reason"))
                    .or_default() += 1;
            }
            _ => {}
        }
    }

    /// Why no line may tell of a request, for people: what each process's log covers, and
    /// how much of it was left out.
    pub fn missing_text(&self, id: &str) -> String {
        let mut text = String::new();
        put_line(
            &mut text,
            &format!(
                "no line tells of request {id}: it was never read by a process whose log is \
                 here, its process ended before it was decided, its session was refused, or its \
                 line was left out"
            ),
        );
        for (node, coverage) in &self.coverage {
            put_line(&mut text, &format!("  {node}: {}", coverage.text()));
        }
        text
    }

    /// Whether no line tells of the request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The explanation, for people.
    pub fn text(mut self) -> String {
        self.starts = self.clocks.starts();
        let starts = &self.starts;
        self.requests.sort_by_key(|entry| starts.time_of(&entry.at));
        self.changes.sort_by_key(|entry| starts.time_of(&entry.at));
        let mut text = String::new();
        for request in &self.requests {
            if request.event.event != "request" {
                put_change(&mut text, request);
                continue;
            }
            put_request(&mut text, request);
            self.put_beliefs(&mut text, request);
            self.put_changes(&mut text, request);
        }
        if self.unreadable > 0 {
            put_line(
                &mut text,
                &format!("({} lines were not readable)", self.unreadable),
            );
        }
        text
    }

    /// What the process itself had last learned of each matter.
    fn put_beliefs(&self, text: &mut String, request: &Entry) {
        let mut newest: BTreeMap<String, &Entry> = BTreeMap::new();
        let own = self
            .before(request)
            .filter(|change| change.node == request.node);
        for change in own {
            if let Some(matter) = matter(change, request) {
                newest.insert(matter, change);
            }
        }
        put_line(text, &format!("  in force at {}:", request.node));
        for change in newest.values() {
            put_change(text, change);
        }
    }

    /// What all processes had last told of the request's group.
    fn put_changes(&self, text: &mut String, request: &Entry) {
        let about_group = |change: &&Entry| {
            let same = change.event.group == request.event.group;
            same && !matches!(
                change.event.event.as_str(),
                "member_changed" | "position_survey"
            )
        };
        let changes: Vec<&Entry> = self.before(request).filter(about_group).collect();
        if changes.is_empty() {
            return;
        }
        put_line(text, "  told of its group before, by all processes:");
        let latest = changes.len().saturating_sub(CHANGES_TOLD);
        for change in &changes[latest..] {
            put_change(text, change);
        }
    }

    fn before<'a>(&'a self, request: &'a Entry) -> impl Iterator<Item = &'a Entry> {
        let until = self.starts.time_of(&request.at);
        self.changes
            .iter()
            .filter(move |change| self.starts.time_of(&change.at) <= until)
    }
}

/// What a change of belief is about, if it can have decided the request: a later change of
/// the same matter replaces it.
fn matter(change: &Entry, request: &Entry) -> Option<String> {
    let event = &change.event;
    let text = |name: &str| {
        event
            .rest
            .get(name)
            .and_then(Value::as_str)
            .map(str::to_owned)
    };
    match event.event.as_str() {
        "configuration_taken" | "lifecycle" => Some(event.event.clone()),
        "dependency" => Some(format!("dependency {}", text("name")?)),
        "member_changed" if event.group == request.event.group => {
            Some(format!("member {}", text("member")?))
        }
        "leader_changed" if event.group == request.event.group => Some("leader".to_owned()),
        // A rejected survey doesn't replace the accepted one before it.
        "position_survey" if event.group == request.event.group => {
            let is_accepted = text("result").as_deref() == Some("accepted");
            Some(format!("position survey, accepted {is_accepted}"))
        }
        _ => None,
    }
}

fn put_request(text: &mut String, request: &Entry) {
    let field = |name: &str| show(request.event.rest.get(name));
    let group = request.event.group.as_deref().unwrap_or("no group");
    let id = request.event.id.as_deref().unwrap_or_default();
    put_line(
        text,
        &format!(
            "{} {}: request {id}, {} on {} of {group}",
            request.time,
            request.node,
            field("statement"),
            field("database"),
        ),
    );
    let outcome = field("outcome");
    put_line(
        text,
        &format!("  outcome: {outcome} after {} ms", field("elapsed_ms")),
    );
    put_line(
        text,
        &format!(
            "  relied on: configuration {}, epoch {}, evidence {} ms old, position {}",
            field("configuration"),
            field("epoch"),
            field("evidence_age_ms"),
            field("after"),
        ),
    );
    put_position_origin(text, request);
    put_authorization(text, request);
    let attempts = request.event.rest.get("attempts").and_then(Value::as_array);
    if attempts.is_none_or(Vec::is_empty) {
        put_line(text, "  tried: no member");
    }
    for attempt in attempts.into_iter().flatten() {
        let field = |name: &str| show(attempt.get(name));
        let (member, result) = (field("member"), field("result"));
        put_line(
            text,
            &format!("  tried: {member}: {result} ({} ms)", field("ended_ms")),
        );
    }
}

/// Where the position that the member had to have reached came from.
fn put_position_origin(text: &mut String, request: &Entry) {
    let Some(origin) = request.event.rest.get("after_origin") else {
        return;
    };
    let field = |name: &str| show(origin.get(name));
    let bound = match origin.get("session_floor").and_then(Value::as_bool) {
        Some(true) => "the session's own commits",
        _ => "the route's staleness",
    };
    put_line(
        text,
        &format!(
            "  position from: {}, epoch {}, covers what was acknowledged {} ms before; required by \
             {bound}",
            field("source"),
            field("epoch"),
            field("age_ms"),
        ),
    );
}

/// On whose behalf a request was asked, and how recently the configuration was known to be the
/// newest where that has decided.
fn put_authorization(text: &mut String, request: &Entry) {
    let told = |name: &str| request.event.rest.get(name).map(|value| show(Some(value)));
    let proof = told("proof_age_ms")
        .map(|age| format!("configuration known to be the newest {age} ms before"));
    let tenant = told("tenant").map(|tenant| format!("tenant {tenant}"));
    let parts: Vec<String> = [tenant, proof].into_iter().flatten().collect();
    if !parts.is_empty() {
        put_line(text, &format!("  authorized by: {}", parts.join(", ")));
    }
}

fn put_change(text: &mut String, change: &Entry) {
    let fields = change.event.rest.iter();
    let fields: Vec<String> = fields
        .filter(|(_, value)| !value.is_null() && value.as_str() != Some(""))
        .map(|(name, value)| format!("{name} {}", show(Some(value))))
        .collect();
    let (time, node, event) = (&change.time, &change.node, &change.event.event);
    put_line(
        text,
        &format!("    {time} {node}: {event}, {}", fields.join(", ")),
    );
}

fn put_line(text: &mut String, line: &str) {
    // Writing to a text can't fail.
    let _ = writeln!(text, "{line}");
}

/// A value without quotes and braces.
fn show(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "none".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Object(fields)) => {
            let fields = fields.iter();
            let shown: Vec<String> = fields
                .map(|(name, value)| format!("{name} {}", show(Some(value))))
                .collect();
            shown.join(" ")
        }
        Some(Value::Array(values)) => {
            let shown: Vec<String> = values.iter().map(|value| show(Some(value))).collect();
            shown.join("; ")
        }
        Some(value) => value.to_string(),
    }
}
