//! What the sessions of a run did and were told, and what the groups held in the end.
//!
//! Every written row carries a value that is unique in the run, under an item to
//! which rows are only ever added. That is what lets [`crate::checker`] tell from
//! answers alone whether a guarantee was broken.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use stilequay_daemon::domain::names::{GroupName, SessionName};

/// An append-only item of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ItemId(pub u64);

/// The value of one row, unique in the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowValue(pub u64);

/// One write: a single statement or a whole transaction; unique in the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub u64);

/// A row as written, or as a read shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Row {
    /// The item the row belongs to.
    pub item: ItemId,
    /// The row's unique value.
    pub value: RowValue,
    /// The write that added the row.
    pub write: WriteId,
}

/// What a session was told of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// The write was acknowledged.
    Acknowledged,
    /// The session rolled its transaction back, or left before the commit was sent.
    RolledBack,
    /// The session was told that the write was not run.
    NotRun,
    /// The session was told that the write may have run, or was told nothing.
    MayHaveRun,
    /// The database itself refused the write with an error of its own.
    Refused,
    /// The answer can't be the answer to this write.
    ForeignAnswer,
}

/// What a session was told of a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadOutcome {
    /// The rows of the answer.
    Rows(Vec<Row>),
    /// No answer, or an error.
    Failed,
    /// The answer can't be the answer to this read.
    ForeignAnswer,
}

/// A write and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteOperation {
    /// The write.
    pub id: WriteId,
    /// The rows it adds, all or none of them.
    pub rows: Vec<Row>,
    /// Whether it was marked as safe to repeat.
    pub repeatable: bool,
    /// What the session was told.
    pub outcome: WriteOutcome,
}

/// A read of one item and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadOperation {
    /// The item asked for.
    pub item: ItemId,
    /// What the session was told.
    pub outcome: ReadOutcome,
}

/// What a session asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// A write.
    Write(WriteOperation),
    /// A read.
    Read(ReadOperation),
}

/// One operation of a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The group it went to.
    pub group: GroupName,
    /// When the session sent it, since the start of the run.
    pub invoked: Duration,
    /// When the session had its outcome, since the start of the run.
    pub completed: Duration,
    /// What was asked and answered.
    pub action: Action,
}

/// Everything one session did, in order; a session does one thing at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionHistory {
    /// The session.
    pub session: SessionName,
    /// Its operations.
    pub operations: Vec<Operation>,
}

/// What a group held once all faults were healed and all sessions had ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalState {
    /// The rows at the primary.
    pub rows: Vec<Row>,
    /// Rows that a replaced primary had committed and that its successor never had.
    pub discarded: Vec<RowValue>,
}

/// A whole run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The sessions.
    pub sessions: Vec<SessionHistory>,
    /// The final state of each group.
    pub groups: BTreeMap<GroupName, FinalState>,
}
