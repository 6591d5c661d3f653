//! Checks a history for broken guarantees. Pure: the same history gives the same report.

mod index;
mod reads;
mod writes;

use crate::history::{History, ItemId, WriteId};
use index::HistoryIndex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use stilequay_daemon::domain::names::{GroupName, SessionName};

/// How fresh the reads of a run were promised to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReadPromise {
    /// A read sees every write that was acknowledged before it was sent.
    Strong,
    /// A read sees the session's own acknowledged writes and never goes back.
    Session,
    /// Reads may be stale.
    Stale,
}

/// One broken guarantee.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Violation {
    /// An acknowledged write is not in the final state.
    Lost(WriteId),
    /// A write that must run at most once is there more than once.
    Doubled(WriteId),
    /// A write is partly there, or was rolled back and is there all the same.
    Mixed(WriteId),
    /// A read missed what its session had to see.
    Stale(ReadPlace),
    /// A read got rows that don't belong to it.
    MisdeliveredRead(ReadPlace),
    /// A write got an answer that can't be its own.
    MisdeliveredWrite(WriteId),
    /// A write was told not to have run, and is there.
    WronglyNotRun(WriteId),
    /// A write was acknowledged by a primary whose successor never had it.
    AcknowledgedByReplacedPrimary(WriteId),
}

/// Where in a history a read stands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReadPlace {
    /// The session that read.
    pub session: SessionName,
    /// Index of the operation in the session.
    pub operation: usize,
    /// The group asked.
    pub group: GroupName,
    /// The item asked for.
    pub item: ItemId,
}

/// How often each guarantee was broken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ViolationCounts {
    /// Acknowledged writes that are gone.
    pub lost: u64,
    /// Writes that ran more than once.
    pub doubled: u64,
    /// Transactions that were torn or mixed.
    pub mixed: u64,
    /// Reads that missed what they had to show.
    pub stale: u64,
    /// Answers that belong to another request.
    pub misdelivered: u64,
    /// Writes told not to have run that did run.
    pub wrongly_not_run: u64,
    /// Writes acknowledged by a primary that had been replaced.
    pub acknowledged_by_replaced_primary: u64,
}

impl ViolationCounts {
    /// All violations together.
    pub fn total(&self) -> u64 {
        self.lost
            + self.doubled
            + self.mixed
            + self.stale
            + self.misdelivered
            + self.wrongly_not_run
            + self.acknowledged_by_replaced_primary
    }

    fn add(&mut self, violation: &Violation) {
        let count = match violation {
            Violation::Lost(_) => &mut self.lost,
            Violation::Doubled(_) => &mut self.doubled,
            Violation::Mixed(_) => &mut self.mixed,
            Violation::Stale(_) => &mut self.stale,
            Violation::MisdeliveredRead(_) => &mut self.misdelivered,
            Violation::MisdeliveredWrite(_) => &mut self.misdelivered,
            Violation::WronglyNotRun(_) => &mut self.wrongly_not_run,
            Violation::AcknowledgedByReplacedPrimary(_) => {
                &mut self.acknowledged_by_replaced_primary
            }
        };
        *count += 1;
    }
}

/// How many operations ended how; a run that did nothing proves nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct OperationCounts {
    /// Writes acknowledged.
    pub writes_acknowledged: u64,
    /// Transactions the session itself rolled back.
    pub writes_rolled_back: u64,
    /// Writes told not to have run.
    pub writes_not_run: u64,
    /// Writes of unknown outcome.
    pub writes_may_have_run: u64,
    /// Writes the database refused.
    pub writes_refused: u64,
    /// Reads answered.
    pub reads_answered: u64,
    /// Reads that failed.
    pub reads_failed: u64,
    /// Rows that a read showed and that no later state has. No promise covers
    /// them: their writer was never acknowledged.
    pub rows_seen_and_gone: u64,
}

/// What the checker found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    /// Violations by kind.
    pub violations: ViolationCounts,
    /// Operations by outcome.
    pub operations: OperationCounts,
    /// Every violation.
    pub details: BTreeSet<Violation>,
}

impl Report {
    /// Whether no guarantee was broken.
    pub fn is_clean(&self) -> bool {
        self.details.is_empty()
    }
}

/// Checks `history` against what its reads were promised.
pub fn check(history: &History, promise: ReadPromise) -> Report {
    let index = HistoryIndex::new(history);
    let mut details = BTreeSet::new();
    writes::check(&index, &mut details);
    reads::check(history, &index, promise, &mut details);
    let mut violations = ViolationCounts::default();
    for violation in &details {
        violations.add(violation);
    }
    Report {
        violations,
        operations: index.operation_counts(),
        details,
    }
}
