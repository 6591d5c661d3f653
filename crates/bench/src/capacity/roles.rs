//! The table of roles.

use super::figures::Figures;
use super::fit::Fit;
use super::tables::{TARGET, number};
use crate::fleet::FleetResult;
use serde_json::Value;
use std::fmt::Write;

/// Statements per second that one daemon takes in at the target.
const STATEMENTS: f64 = 22_000_000.0 / TARGET;

/// Callers' connections of one daemon at the target.
const CONNECTIONS: f64 = 24_000_000.0 / TARGET;

/// Groups that one daemon is a home of at the target, on average.
const GROUPS: f64 = 9_500.0 * 3.0 / TARGET;

/// The changes of the phase measured come so many times as often as at the target.
const TIMES_TARGET: f64 = 10.0;

/// Representatives of a fleet with 11 zones.
const REPRESENTATIVES: f64 = 22.0;

const NOT_MEASURED: &str = "not measured";

struct Row {
    role: &'static str,
    state: String,
    messages: String,
    bytes: String,
    processor: String,
    memory: String,
    source: String,
    mechanism: &'static str,
}

/// What each role comes to at the target.
pub fn table(figures: &Figures) -> String {
    let mut text = String::from(
        "| Role | State | Messages/s | Bytes/s | Processor, % of a core | Memory | Measured by | \
         Mechanism |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let rows = [
        every_daemon(figures),
        relay(figures),
        representative(figures),
        front(figures),
        home(figures),
        api(),
    ];
    for row in rows {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {} |",
            row.role,
            row.state,
            row.messages,
            row.bytes,
            row.processor,
            row.memory,
            row.source,
            row.mechanism,
        );
    }
    text
}

fn at_target(figures: &Figures, cost: fn(&FleetResult) -> Option<f64>) -> Option<f64> {
    Fit::expected(&figures.points(cost), TARGET)
}

fn show(value: Option<f64>) -> String {
    value.map_or_else(|| NOT_MEASURED.to_owned(), number)
}

fn megabytes(value: Option<f64>) -> String {
    value.map_or_else(
        || NOT_MEASURED.to_owned(),
        |bytes| format!("{} MB", number(bytes / 1_000_000.0)),
    )
}

fn source(figures: &Figures) -> String {
    let commits: std::collections::BTreeSet<_> = figures
        .runs
        .iter()
        .map(|run| run.result.commit.as_str())
        .collect();
    let commits: Vec<_> = commits.into_iter().collect();
    format!("`stilequay-bench fleet`, commit {}", commits.join(", "))
}

fn every_daemon(figures: &Figures) -> Row {
    Row {
        role: "every daemon, control",
        state: "6,100 records, changes kept for others".to_owned(),
        messages: show(at_target(figures, |result| {
            Some(result.steady.as_ref()?.messages_per_second)
        })),
        bytes: show(at_target(figures, |result| {
            Some(result.steady.as_ref()?.bytes_per_second)
        })),
        processor: show(at_target(figures, |result| {
            Some(result.steady.as_ref()?.processor_percent)
        })),
        memory: megabytes(at_target(figures, |result| {
            Some(result.steady.as_ref()?.resident_bytes)
        })),
        source: source(figures),
        mechanism: "probes in the zone, one a second; gossip only while there is news; \
                    comparison of digests",
    }
}

fn relay(figures: &Figures) -> Row {
    let bytes = at_target(figures, |result| {
        let quiet = result.steady.as_ref()?.bytes_per_second_highest;
        let busy = result.changes.as_ref()?.load.bytes_per_second_highest;
        Some(quiet + (busy - quiet).max(0.0) / TIMES_TARGET)
    });
    Row {
        role: "relay (2 in a zone)",
        state: "up to 9 subscribers, reports of their subtrees, 10 links to other zones".to_owned(),
        messages: NOT_MEASURED.to_owned(),
        bytes: format!("{} (the busiest daemon)", show(bytes)),
        processor: "not measured apart".to_owned(),
        memory: "not measured apart".to_owned(),
        source: source(figures),
        mechanism: "two relays in each zone read the log; a fan-out tree of degree 8 below them",
    }
}

fn representative(figures: &Figures) -> Row {
    let per_representative =
        |value: f64, result: &FleetResult| value * result.daemons as f64 / REPRESENTATIVES;
    let bytes = at_target(figures, |result| {
        let kind = result.steady.as_ref()?.kinds.get("exchange")?;
        Some(kind.bytes_per_second * result.daemons as f64 / REPRESENTATIVES)
    });
    let points = figures.points(|result| {
        let kind = result.steady.as_ref()?.kinds.get("exchange")?;
        Some(per_representative(kind.messages_per_second, result))
    });
    let messages = Fit::expected(&points, TARGET);
    Row {
        role: "representative (2 in a zone, 2 in a region)",
        state: "one queue of news for each other zone and region".to_owned(),
        messages: show(messages),
        bytes: format!("{} more than every daemon", show(bytes)),
        processor: "not measured apart".to_owned(),
        memory: "not measured apart".to_owned(),
        source: source(figures),
        mechanism: "one exchange a second with another zone, one with another region",
    }
}

/// The average of a field over the statements measured with the given forwarding.
fn statement_cost(figures: &Figures, field: &str, forwarded: bool) -> Option<f64> {
    let statements = figures.data_path.as_ref()?.pointer("/result/statements")?;
    let costs: Vec<_> = statements
        .as_array()?
        .iter()
        .filter(|cost| cost.get("forwarded").and_then(Value::as_bool) == Some(forwarded))
        .filter_map(|cost| cost.get(field)?.as_f64())
        .collect();
    (!costs.is_empty()).then(|| costs.iter().sum::<f64>() / costs.len() as f64)
}

/// Microseconds a statement, at the target's statements a second, in percent of a core.
fn share_of_core(microseconds: Option<f64>) -> Option<f64> {
    Some(microseconds? * STATEMENTS / 10_000.0)
}

fn data_path_source(figures: &Figures) -> String {
    let command = figures
        .data_path
        .as_ref()
        .and_then(|run| run.get("command"));
    match command.and_then(Value::as_str) {
        Some(command) => format!("`{command}`, commit not stored"),
        None => NOT_MEASURED.to_owned(),
    }
}

fn connection_slope(figures: &Figures) -> Option<f64> {
    let result = figures.data_path.as_ref()?;
    result.pointer("/result/bytesPerActiveConnection")?.as_f64()
}

fn front(figures: &Figures) -> Row {
    let memory = connection_slope(figures).map(|slope| slope * CONNECTIONS);
    Row {
        role: "front",
        state: format!("{CONNECTIONS:.0} callers' connections"),
        messages: format!("{STATEMENTS:.0} statements"),
        bytes: NOT_MEASURED.to_owned(),
        processor: show(share_of_core(statement_cost(figures, "entryMicros", true))),
        memory: megabytes(memory),
        source: data_path_source(figures),
        mechanism: "one task for each caller; statements forwarded to a home",
    }
}

fn home(figures: &Figures) -> Row {
    let cost = statement_cost(figures, "otherDaemonsMicros", true);
    Row {
        role: "home (3 for a group)",
        state: format!("{GROUPS:.1} groups: their connections and session floors"),
        messages: format!("{STATEMENTS:.0} statements, and probes of the servers"),
        bytes: NOT_MEASURED.to_owned(),
        processor: show(share_of_core(cost)),
        memory: NOT_MEASURED.to_owned(),
        source: data_path_source(figures),
        mechanism: "placement by rendezvous hashing: cost follows the groups, not the fleet",
    }
}

fn api() -> Row {
    Row {
        role: "API",
        state: "watches of operators".to_owned(),
        messages: NOT_MEASURED.to_owned(),
        bytes: NOT_MEASURED.to_owned(),
        processor: NOT_MEASURED.to_owned(),
        memory: NOT_MEASURED.to_owned(),
        source: NOT_MEASURED.to_owned(),
        mechanism: "any daemon serves it from its own configuration",
    }
}
