//! What became of each write, judged by the final state and by what reads showed.

use super::Violation;
use super::index::{HistoryIndex, IndexedWrite};
use crate::history::WriteOutcome;
use std::collections::BTreeSet;

/// Adds the violations that concern writes.
pub(super) fn check(index: &HistoryIndex<'_>, violations: &mut BTreeSet<Violation>) {
    for indexed in index.writes() {
        check_presence(index, indexed, violations);
        check_once(index, indexed, violations);
    }
}

/// How much of a write the final state has.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Presence {
    Absent,
    Partial,
    Whole,
}

fn presence(index: &HistoryIndex<'_>, indexed: &IndexedWrite<'_>) -> Presence {
    let rows = &indexed.write.rows;
    let present = rows
        .iter()
        .filter(|row| index.final_count(indexed.group, row.value) > 0);
    match present.count() {
        0 => Presence::Absent,
        count if count == rows.len() => Presence::Whole,
        _ => Presence::Partial,
    }
}

fn check_presence(
    index: &HistoryIndex<'_>,
    indexed: &IndexedWrite<'_>,
    violations: &mut BTreeSet<Violation>,
) {
    let id = indexed.write.id;
    let presence = presence(index, indexed);
    if presence == Presence::Partial {
        violations.insert(Violation::Mixed(id));
    }
    match indexed.write.outcome {
        WriteOutcome::Acknowledged if presence == Presence::Absent => {
            violations.insert(Violation::Lost(id));
            if was_discarded(index, indexed) {
                violations.insert(Violation::AcknowledgedByReplacedPrimary(id));
            }
        }
        WriteOutcome::Acknowledged | WriteOutcome::MayHaveRun => {}
        WriteOutcome::RolledBack => {
            if has_effect(index, indexed) {
                violations.insert(Violation::Mixed(id));
            }
        }
        WriteOutcome::NotRun | WriteOutcome::Refused => {
            if has_effect(index, indexed) {
                violations.insert(Violation::WronglyNotRun(id));
            }
        }
        WriteOutcome::ForeignAnswer => {
            violations.insert(Violation::MisdeliveredWrite(id));
        }
    }
}

fn was_discarded(index: &HistoryIndex<'_>, indexed: &IndexedWrite<'_>) -> bool {
    let mut rows = indexed.write.rows.iter();
    rows.any(|row| index.was_discarded(indexed.group, row.value))
}

/// Whether any row of a write was ever visible, or was committed on a branch
/// that was given up later: a write that was not run has done neither.
fn has_effect(index: &HistoryIndex<'_>, indexed: &IndexedWrite<'_>) -> bool {
    let group = indexed.group;
    indexed.write.rows.iter().any(|row| {
        index.final_count(group, row.value) > 0
            || index.was_seen(group, row.value)
            || index.was_discarded(group, row.value)
    })
}

fn check_once(
    index: &HistoryIndex<'_>,
    indexed: &IndexedWrite<'_>,
    violations: &mut BTreeSet<Violation>,
) {
    if indexed.write.repeatable {
        return;
    }
    let mut rows = indexed.write.rows.iter();
    if rows.any(|row| index.final_count(indexed.group, row.value) > 1) {
        violations.insert(Violation::Doubled(indexed.write.id));
    }
}
