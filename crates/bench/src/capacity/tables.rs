//! The tables of measured figures.

use super::figures::Figures;
use super::fit::{Fit, Point, Shape};
use crate::fleet::{FleetResult, Load, Outage};
use std::collections::BTreeSet;
use std::fmt::Write;

/// Daemons of the target.
pub const TARGET: f64 = 6_100.0;

/// What the target grants control, in bytes per second.
const BYTES_LIMIT: f64 = 26_000.0;

/// What the target grants control, in percent of a core.
const PROCESSOR_LIMIT: f64 = 4.4;

/// What the target grants control, in bytes.
const MEMORY_LIMIT: f64 = 32_000_000.0;

/// What the target grants until a change is in force, in milliseconds.
const IN_FORCE_LIMIT: f64 = 6_000.0;

/// A cost that is measured at every size.
pub struct Cost {
    /// What it is.
    pub name: &'static str,
    /// Its unit in the tables.
    pub unit: &'static str,
    /// Divides the stored figure to the unit.
    scale: f64,
    /// The target's limit, as stored.
    pub limit: Option<f64>,
    /// Takes it from a result.
    pub take: fn(&FleetResult) -> Option<f64>,
}

fn steady(result: &FleetResult) -> Option<&Load> {
    result.steady.as_ref()
}

/// The costs of the table of growth.
pub const COSTS: [Cost; 9] = [
    Cost {
        name: "bytes, quiet",
        unit: "KB/s",
        scale: 1_000.0,
        limit: Some(BYTES_LIMIT),
        take: |result| Some(steady(result)?.bytes_per_second),
    },
    Cost {
        name: "messages, quiet",
        unit: "1/s",
        scale: 1.0,
        limit: None,
        take: |result| Some(steady(result)?.messages_per_second),
    },
    Cost {
        name: "processor, quiet",
        unit: "% of a core",
        scale: 1.0,
        limit: Some(PROCESSOR_LIMIT),
        take: |result| Some(steady(result)?.processor_percent),
    },
    Cost {
        name: "memory, quiet",
        unit: "MB",
        scale: 1_000_000.0,
        limit: Some(MEMORY_LIMIT),
        take: |result| Some(steady(result)?.resident_bytes),
    },
    Cost {
        name: "bytes, changes at 10 times the target's rate",
        unit: "KB/s",
        scale: 1_000.0,
        limit: Some(BYTES_LIMIT),
        take: |result| Some(result.changes.as_ref()?.load.bytes_per_second),
    },
    Cost {
        name: "the same, busiest daemon",
        unit: "KB/s",
        scale: 1_000.0,
        limit: None,
        take: |result| Some(result.changes.as_ref()?.load.bytes_per_second_highest),
    },
    Cost {
        name: "processor, changes at 10 times the target's rate",
        unit: "% of a core",
        scale: 1.0,
        limit: Some(PROCESSOR_LIMIT),
        take: |result| Some(result.changes.as_ref()?.load.processor_percent),
    },
    Cost {
        name: "accepted to applied, worst",
        unit: "ms",
        scale: 1.0,
        limit: Some(IN_FORCE_LIMIT),
        take: |result| Some(result.changes.as_ref()?.latency.worst),
    },
    Cost {
        name: "accepted to known in force, worst",
        unit: "ms",
        scale: 1.0,
        limit: Some(IN_FORCE_LIMIT),
        take: |result| Some(result.changes.as_ref()?.latency.known_in_force_worst),
    },
];

impl Cost {
    /// The cost in the unit of the tables.
    pub fn show(&self, value: f64) -> String {
        number(value / self.scale)
    }
}

/// A number with three significant digits or so.
pub fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}

fn or_not_measured(value: Option<f64>) -> String {
    value.map_or_else(|| "not measured".to_owned(), number)
}

/// What was measured at each size.
pub fn measured(figures: &Figures) -> String {
    let mut text = String::from(
        "| Daemons | Processes | Load average of the machine | Quiet KB/s | Quiet messages/s | \
         Quiet % of a core | Quiet MB | Applied p50 / p99 / worst ms | Known in force, worst ms | \
         At 100 times: p99 / worst ms | Commit |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for run in &figures.runs {
        let result = &run.result;
        let quiet = result.steady.clone().unwrap_or_default();
        let changes = result.changes.clone().unwrap_or_default().latency;
        let burst = result.burst.as_ref().map(|burst| &burst.latency);
        let _ = writeln!(
            text,
            "| {}{} | {} | {} | {} | {} | {} | {} | {} / {} / {} | {} | {} | {} |",
            result.daemons,
            if run.optimised {
                ""
            } else {
                " (built without optimisation)"
            },
            result.processes,
            number(quiet.machine_load_average),
            number(quiet.bytes_per_second / 1_000.0),
            number(quiet.messages_per_second),
            number(quiet.processor_percent),
            number(quiet.resident_bytes / 1_000_000.0),
            number(changes.p50),
            number(changes.p99),
            number(changes.worst),
            number(changes.known_in_force_worst),
            burst.map_or_else(
                || "not measured".to_owned(),
                |burst| format!("{} / {}", number(burst.p99), number(burst.worst))
            ),
            result.commit,
        );
    }
    text
}

/// Bytes by kind of message.
pub fn kinds(figures: &Figures) -> String {
    let mut names = BTreeSet::new();
    for run in &figures.runs {
        if let Some(quiet) = &run.result.steady {
            names.extend(quiet.kinds.keys().cloned());
        }
    }
    let mut text = String::from("| Kind |");
    for run in &figures.runs {
        let _ = write!(text, " N = {}: messages/s, bytes/s |", run.result.daemons);
    }
    text.push_str("\n| --- |");
    text.push_str(&" --- |".repeat(figures.runs.len()));
    text.push('\n');
    for name in names {
        let _ = write!(text, "| {name} |");
        for run in &figures.runs {
            let quiet = run.result.steady.clone().unwrap_or_default();
            let load = quiet.kinds.get(&name).copied().unwrap_or_default();
            let messages = number(load.messages_per_second);
            let _ = write!(text, " {messages}, {} |", number(load.bytes_per_second));
        }
        text.push('\n');
    }
    text
}

/// How the costs grow, and what they come to at the target.
pub fn growth(figures: &Figures) -> String {
    let mut text = String::from(
        "| Cost of one daemon | Unit | Grows with | Base + slope | Error of the fit | At 6,100 \
         daemons | Granted |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for cost in &COSTS {
        let points = figures.points(cost.take);
        let Some(fit) = Fit::best(&points) else {
            let _ = writeln!(
                text,
                "| {} | {} | not measured | | | | |",
                cost.name, cost.unit
            );
            continue;
        };
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} + {} | {} | {} | {} |",
            cost.name,
            cost.unit,
            shape(fit, &points),
            cost.show(fit.base),
            slope(cost, fit),
            cost.show(fit.error),
            cost.show(Fit::expected(&points, TARGET).unwrap_or_default()),
            cost.limit
                .map_or_else(|| "-".to_owned(), |limit| cost.show(limit)),
        );
    }
    text
}

/// What the better fit says, unless the cost does not grow at all.
fn shape(fit: Fit, points: &[Point]) -> &'static str {
    match fit.shape {
        _ if fit.slope <= 0.0 => "nothing; at 6,100 the highest measured",
        _ if points.len() == 2 => "N (taken for granted: two sizes fit both)",
        Shape::Logarithm => "the logarithm of N",
        Shape::Linear => "N",
    }
}

fn slope(cost: &Cost, fit: Fit) -> String {
    match fit.shape {
        Shape::Logarithm => format!("{} x log2 N", cost.show(fit.slope)),
        Shape::Linear => format!("{} x N / 1,000", cost.show(fit.slope * 1_000.0)),
    }
}

/// A kind of loss, and where its outcome stands in a result.
struct Loss {
    name: &'static str,
    take: fn(&FleetResult) -> Option<&Outage>,
}

const LOSSES: [Loss; 4] = [
    Loss {
        name: "a tenth, killed at once",
        take: |result| result.tenth_killed.as_ref(),
    },
    Loss {
        name: "both relays of a zone",
        take: |result| result.relays_killed.as_ref(),
    },
    Loss {
        name: "a zone",
        take: |result| result.zone_lost.as_ref(),
    },
    Loss {
        name: "a region, cut off",
        take: |result| result.region_cut.as_ref(),
    },
];

/// What followed losses.
pub fn losses(figures: &Figures) -> String {
    let mut text = String::from(
        "| Loss | N | Daemons lost | Half of them noticed, s | All noticed by all, s | In force \
         again, s | Living ones suspected | Living ones given up | Whole again after the return, \
         s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for Loss { name, take } in LOSSES {
        for run in &figures.runs {
            let Some(outage) = take(&run.result) else {
                let _ = writeln!(
                    text,
                    "| {name} | {} | not measured | | | | | | |",
                    run.result.daemons
                );
                continue;
            };
            let _ = writeln!(
                text,
                "| {name} | {} | {} | {} | {} | {} | {} | {} | {} |",
                run.result.daemons,
                outage.lost,
                or_not_measured(outage.half_detected),
                or_not_measured(outage.all_detected),
                or_not_measured(outage.in_force_again),
                outage.falsely_suspected,
                outage.falsely_given_up,
                or_not_measured(outage.healed),
            );
        }
    }
    text
}

/// What the platform has to carry.
pub fn platform(figures: &Figures) -> String {
    let mut text = String::from(
        "| N | Reads of the log per second, quiet | The same, changes at 10 times the target's \
         rate |\n| --- | --- | --- |\n",
    );
    for run in &figures.runs {
        let quiet = steady(&run.result).map(|load| load.platform_reads_per_second);
        let changes = run.result.changes.as_ref();
        let changes = changes.map(|changes| changes.load.platform_reads_per_second);
        let _ = writeln!(
            text,
            "| {} | {} | {} |",
            run.result.daemons,
            or_not_measured(quiet),
            or_not_measured(changes),
        );
    }
    text
}

/// Which limit is met first when the fleet grows on.
pub fn limits(figures: &Figures) -> String {
    let mut text = String::from(
        "| Cost | Share of what is granted, at 6,100 | Daemons at which it is used up |\n\
         | --- | --- | --- |\n",
    );
    for cost in COSTS.iter().filter(|cost| cost.limit.is_some()) {
        let points = figures.points(cost.take);
        let expected = Fit::expected(&points, TARGET);
        let (Some(fit), Some(expected), Some(limit)) = (Fit::best(&points), expected, cost.limit)
        else {
            continue;
        };
        let size = fit.reaches(limit);
        let beyond = "beyond a million";
        let size = match size {
            Some(size) if size < 1_000_000.0 => format!("{size:.0}"),
            _ => beyond.to_owned(),
        };
        let share = 100.0 * expected / limit;
        let _ = writeln!(text, "| {} | {}% | {size} |", cost.name, number(share));
    }
    text
}

/// The commands whose results the tables rest on.
pub fn commands(figures: &Figures) -> String {
    let mut text = String::from("```text\n");
    for run in &figures.runs {
        let _ = writeln!(text, "{}    (commit {})", run.command, run.result.commit);
    }
    text.push_str("```\n");
    text
}
