//! What each read showed, judged by what its session had to see.

use super::index::HistoryIndex;
use super::{ReadPlace, ReadPromise, Violation};
use crate::history::{
    Action, History, ItemId, Operation, ReadOperation, ReadOutcome, Row, RowValue, SessionHistory,
    WriteOperation, WriteOutcome,
};
use std::collections::{BTreeMap, BTreeSet};
use stilequay_daemon::domain::names::GroupName;

/// Adds the violations that concern reads.
pub(super) fn check(
    history: &History,
    index: &HistoryIndex<'_>,
    promise: ReadPromise,
    violations: &mut BTreeSet<Violation>,
) {
    for session in &history.sessions {
        SessionCheck::new(session, index, promise).run(violations);
    }
}

/// Follows one session through its operations.
struct SessionCheck<'a> {
    session: &'a SessionHistory,
    index: &'a HistoryIndex<'a>,
    promise: ReadPromise,
    /// What the session has written with acknowledgement, or has seen.
    known: BTreeMap<(&'a GroupName, ItemId), BTreeSet<RowValue>>,
}

impl<'a> SessionCheck<'a> {
    fn new(session: &'a SessionHistory, index: &'a HistoryIndex<'a>, promise: ReadPromise) -> Self {
        Self {
            session,
            index,
            promise,
            known: BTreeMap::new(),
        }
    }

    fn run(mut self, violations: &mut BTreeSet<Violation>) {
        for (number, operation) in self.session.operations.iter().enumerate() {
            match &operation.action {
                Action::Write(write) => self.follow_write(&operation.group, write),
                Action::Read(read) => self.follow_read(number, operation, read, violations),
            }
        }
    }

    fn follow_write(&mut self, group: &'a GroupName, write: &WriteOperation) {
        if write.outcome != WriteOutcome::Acknowledged {
            return;
        }
        for row in &write.rows {
            let known = self.known.entry((group, row.item)).or_default();
            known.insert(row.value);
        }
    }

    fn follow_read(
        &mut self,
        number: usize,
        operation: &'a Operation,
        read: &'a ReadOperation,
        violations: &mut BTreeSet<Violation>,
    ) {
        let place = ReadPlace {
            session: self.session.session.clone(),
            operation: number,
            group: operation.group.clone(),
            item: read.item,
        };
        let rows = match &read.outcome {
            ReadOutcome::Rows(rows) => rows,
            ReadOutcome::Failed => return,
            ReadOutcome::ForeignAnswer => {
                violations.insert(Violation::MisdeliveredRead(place));
                return;
            }
        };
        if !self.all_belong(&operation.group, read.item, rows) {
            violations.insert(Violation::MisdeliveredRead(place));
            return;
        }
        self.check_rows(&operation.group, read.item, rows, violations);
        if self.misses_something(operation, read.item, rows) {
            violations.insert(Violation::Stale(place));
        }
        self.remember(&operation.group, read.item, rows);
    }

    fn all_belong(&self, group: &GroupName, item: ItemId, rows: &[Row]) -> bool {
        rows.iter()
            .all(|row| row.item == item && self.index.origin(group, row).is_some())
    }

    /// Whole transactions only, and each row once.
    fn check_rows(
        &self,
        group: &GroupName,
        item: ItemId,
        rows: &[Row],
        violations: &mut BTreeSet<Violation>,
    ) {
        let mut seen = BTreeSet::new();
        for row in rows {
            let Some(write) = self.index.origin(group, row) else {
                continue;
            };
            if !seen.insert(row.value) && !write.repeatable {
                violations.insert(Violation::Doubled(write.id));
            }
            let of_item = write.rows.iter().filter(|other| other.item == item);
            if !of_item.clone().all(|other| rows.contains(other)) {
                violations.insert(Violation::Mixed(write.id));
            }
        }
    }

    fn misses_something(&self, operation: &'a Operation, item: ItemId, rows: &[Row]) -> bool {
        let shown: BTreeSet<RowValue> = rows.iter().map(|row| row.value).collect();
        let misses_known = || {
            let known = self.known.get(&(&operation.group, item));
            known.is_some_and(|known| !known.is_subset(&shown))
        };
        let misses_acknowledged = || {
            let acknowledged = self.index.acknowledged(&operation.group, item);
            acknowledged
                .iter()
                .filter(|row| row.acknowledged < operation.invoked)
                .any(|row| !shown.contains(&row.value))
        };
        match self.promise {
            ReadPromise::Stale => false,
            ReadPromise::Session => misses_known(),
            ReadPromise::Strong => misses_known() || misses_acknowledged(),
        }
    }

    /// Rows that no final state has are left out: their write was never
    /// acknowledged and its primary was lost. They are counted apart.
    fn remember(&mut self, group: &'a GroupName, item: ItemId, rows: &[Row]) {
        let known = self.known.entry((group, item)).or_default();
        let lasting = rows
            .iter()
            .filter(|row| self.index.final_count(group, row.value) > 0);
        known.extend(lasting.map(|row| row.value));
    }
}
