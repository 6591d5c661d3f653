//! A history arranged for looking things up.

use super::OperationCounts;
use crate::history::{
    Action, History, ItemId, Operation, ReadOutcome, Row, RowValue, WriteId, WriteOperation,
    WriteOutcome,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use stilequay_daemon::domain::names::GroupName;

/// A write and the group it went to.
pub(super) struct IndexedWrite<'a> {
    pub group: &'a GroupName,
    pub write: &'a WriteOperation,
}

/// When a row was acknowledged to its writer.
pub(super) struct AcknowledgedRow {
    pub acknowledged: Duration,
    pub value: RowValue,
}

/// Lookups over one history.
pub(super) struct HistoryIndex<'a> {
    writes: BTreeMap<WriteId, IndexedWrite<'a>>,
    final_counts: BTreeMap<(&'a GroupName, RowValue), usize>,
    discarded: BTreeSet<(&'a GroupName, RowValue)>,
    seen: BTreeSet<(&'a GroupName, RowValue)>,
    acknowledged: BTreeMap<(&'a GroupName, ItemId), Vec<AcknowledgedRow>>,
    outcomes: OperationCounts,
}

impl<'a> HistoryIndex<'a> {
    pub fn new(history: &'a History) -> Self {
        let mut index = Self {
            writes: BTreeMap::new(),
            final_counts: BTreeMap::new(),
            discarded: BTreeSet::new(),
            seen: BTreeSet::new(),
            acknowledged: BTreeMap::new(),
            outcomes: OperationCounts::default(),
        };
        for (group, state) in &history.groups {
            for row in &state.rows {
                *index.final_counts.entry((group, row.value)).or_default() += 1;
            }
            let discarded = state.discarded.iter().map(|value| (group, *value));
            index.discarded.extend(discarded);
        }
        for session in &history.sessions {
            for operation in &session.operations {
                index.add(operation);
            }
        }
        index
    }

    fn add(&mut self, operation: &'a Operation) {
        match &operation.action {
            Action::Write(write) => self.add_write(operation, write),
            Action::Read(read) => self.add_read(&operation.group, &read.outcome),
        }
    }

    fn add_write(&mut self, operation: &'a Operation, write: &'a WriteOperation) {
        let group = &operation.group;
        self.writes.insert(write.id, IndexedWrite { group, write });
        let count = match write.outcome {
            WriteOutcome::Acknowledged => &mut self.outcomes.writes_acknowledged,
            WriteOutcome::RolledBack => &mut self.outcomes.writes_rolled_back,
            WriteOutcome::NotRun => &mut self.outcomes.writes_not_run,
            WriteOutcome::MayHaveRun => &mut self.outcomes.writes_may_have_run,
            WriteOutcome::Refused => &mut self.outcomes.writes_refused,
            WriteOutcome::ForeignAnswer => &mut self.outcomes.writes_may_have_run,
        };
        *count += 1;
        if write.outcome != WriteOutcome::Acknowledged {
            return;
        }
        for row in &write.rows {
            let rows = self.acknowledged.entry((group, row.item)).or_default();
            rows.push(AcknowledgedRow {
                acknowledged: operation.completed,
                value: row.value,
            });
        }
    }

    fn add_read(&mut self, group: &'a GroupName, outcome: &'a ReadOutcome) {
        let ReadOutcome::Rows(rows) = outcome else {
            self.outcomes.reads_failed += 1;
            return;
        };
        self.outcomes.reads_answered += 1;
        self.seen.extend(rows.iter().map(|row| (group, row.value)));
    }

    /// All writes, by number.
    pub fn writes(&self) -> impl Iterator<Item = &IndexedWrite<'a>> {
        self.writes.values()
    }

    /// The write that `row` says it belongs to, if that write did add this row.
    pub fn origin(&self, group: &GroupName, row: &Row) -> Option<&'a WriteOperation> {
        let indexed = self.writes.get(&row.write)?;
        let is_own = indexed.group == group && indexed.write.rows.contains(row);
        is_own.then_some(indexed.write)
    }

    /// How often the final state has a value.
    pub fn final_count(&self, group: &GroupName, value: RowValue) -> usize {
        self.final_counts
            .get(&(group, value))
            .copied()
            .unwrap_or_default()
    }

    /// Whether a replaced primary committed a value that its successor lacks.
    pub fn was_discarded(&self, group: &GroupName, value: RowValue) -> bool {
        self.discarded.contains(&(group, value))
    }

    /// Whether any read showed a value.
    pub fn was_seen(&self, group: &GroupName, value: RowValue) -> bool {
        self.seen.contains(&(group, value))
    }

    /// Rows of `item` that were acknowledged, with the times.
    pub fn acknowledged(&self, group: &'a GroupName, item: ItemId) -> &[AcknowledgedRow] {
        self.acknowledged
            .get(&(group, item))
            .map(Vec::as_slice)
            .unwrap_or_default()
    }

    /// Operations by outcome.
    pub fn operation_counts(&self) -> OperationCounts {
        let gone = self
            .seen
            .iter()
            .filter(|(group, value)| self.final_count(group, *value) == 0);
        OperationCounts {
            rows_seen_and_gone: gone.count() as u64,
            ..self.outcomes
        }
    }
}
