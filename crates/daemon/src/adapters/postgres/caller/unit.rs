//! Units: what a caller sends up to Query, Sync or Flush.

use super::statements::{StatementStore, Undo};
use crate::adapters::postgres::classify::{Classification, ProxySetting, Repeat, StatementAccess};
use crate::app::front;
use crate::domain::exchange::PreparedStatement;
use crate::domain::verdict::{FailureKind, RequestFailure};
use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;

/// SQLSTATE `program_limit_exceeded`.
pub(super) const LIMIT_EXCEEDED: &str = "54000";
/// SQLSTATE `protocol_violation`.
pub(super) const PROTOCOL_VIOLATION: &str = "08P01";

/// How a unit ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnitEnd {
    /// A simple query: answered with ReadyForQuery.
    Query,
    /// Sync: answered with ReadyForQuery.
    Sync,
    /// Flush: more messages of the same series follow.
    Flush,
}

/// The answer to one message of a unit.
#[derive(Debug, Clone)]
pub(super) struct Step {
    pub(super) answer: StepAnswer,
    /// What to take back where the answer is never given.
    pub(super) undo: Option<Undo>,
}

/// Who answers a message.
#[derive(Debug, Clone)]
pub(super) enum StepAnswer {
    /// The back end; the message of one of these types is the last of the answer.
    BackEnd(&'static [u8]),
    /// The front, in its place among the back end's answers.
    Local(Bytes),
}

/// A unit ready to be run.
#[derive(Debug)]
pub(super) struct Unit {
    pub(super) end: UnitEnd,
    /// Encoded messages for the back end.
    pub(super) payload: BytesMut,
    /// Answers in order; empty for a simple query that a back end runs.
    pub(super) steps: VecDeque<Step>,
    /// Statements that the payload refers to.
    pub(super) statements: Vec<PreparedStatement>,
    pub(super) access: StatementAccess,
    pub(super) makes_session_state: bool,
    /// Settings of the proxy that the unit changes.
    pub(super) settings: Vec<ProxySetting>,
    pub(super) repeat: Option<Repeat>,
    pub(super) key: Option<String>,
    /// Why the unit is not run at all.
    pub(super) refusal: Option<RequestFailure>,
    /// Bytes of the messages gathered.
    pub(super) size: usize,
}

impl Unit {
    pub(super) fn empty() -> Self {
        Self {
            end: UnitEnd::Sync,
            payload: BytesMut::new(),
            steps: VecDeque::new(),
            statements: Vec::new(),
            access: StatementAccess::Read,
            makes_session_state: false,
            settings: Vec::new(),
            repeat: None,
            key: None,
            refusal: None,
            size: 0,
        }
    }

    /// Whether no back end has a part in the answer.
    pub(super) fn is_local(&self) -> bool {
        let asks_back_end = self
            .steps
            .iter()
            .any(|step| matches!(step.answer, StepAnswer::BackEnd(_)));
        let is_plain_query = self.end == UnitEnd::Query && self.steps.is_empty();
        !asks_back_end && !is_plain_query
    }

    /// What the application runs of it; the unit keeps its end and its steps.
    pub(super) fn take_request(&mut self) -> front::Unit {
        front::Unit {
            payload: std::mem::take(&mut self.payload).into(),
            statements: std::mem::take(&mut self.statements),
            access: self.access,
            makes_session_state: self.makes_session_state,
            is_open_ended: self.end == UnitEnd::Flush,
            repeat: self.repeat,
            key: self.key.take(),
        }
    }

    pub(super) fn add_classification(&mut self, classification: &Classification) {
        if classification.access == StatementAccess::Write {
            self.access = StatementAccess::Write;
        }
        self.makes_session_state |= classification.makes_session_state;
        self.add_repeat(classification);
        if classification.marks.key.is_some() {
            self.key.clone_from(&classification.marks.key);
        }
    }

    /// All writes of a unit must be marked for the unit to be safe to repeat.
    fn add_repeat(&mut self, classification: &Classification) {
        let is_first = self.repeat.is_none();
        match classification.marks.repeat {
            Some(Repeat::Safe) if is_first => self.repeat = Some(Repeat::Safe),
            Some(Repeat::Unsafe) => self.repeat = Some(Repeat::Unsafe),
            None if classification.access == StatementAccess::Write && !is_first => {
                self.repeat = Some(Repeat::Unsafe);
            }
            _ => {}
        }
    }

    pub(super) fn refuse_copy(&mut self) {
        self.refusal = Some(RequestFailure::not_run(
            FailureKind::Unsupported,
            "COPY is not supported by the proxy",
        ));
    }
}

/// Takes back the changes of names whose answers were never given, last first.
pub(super) fn undo_all(steps: VecDeque<Step>, store: &mut StatementStore) {
    for step in steps.into_iter().rev() {
        if let Some(undo) = step.undo {
            store.undo(undo);
        }
    }
}
