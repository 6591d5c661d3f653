//! Units: what a caller sends up to Query, Sync or Flush, made ready for a home.

use super::reply::{self, ErrorReply, Severity};
use super::statements::{KnownStatement, StatementStore, Undo};
use crate::domain::classify::{
    Classification, ClassificationCache, ProxySetting, Repeat, StatementAccess,
};
use crate::domain::exchange::PreparedStatement;
use crate::domain::verdict::{FailureKind, RequestFailure};
use bytes::{Bytes, BytesMut};
use pgwire::error::PgWireError;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, Describe, Execute, Parse, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::{Message, PgWireFrontendMessage, simplequery::Query};
use std::collections::VecDeque;
use std::sync::Arc;

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
    undo: Option<Undo>,
}

/// Who answers a message.
#[derive(Debug, Clone)]
pub(super) enum StepAnswer {
    /// The back end; the message of one of these types is the last of the answer.
    BackEnd(&'static [u8]),
    /// The front, in its place among the back end's answers.
    Local(Bytes),
}

const PARSE_ENDS: &[u8] = b"1";
const BIND_ENDS: &[u8] = b"2";
const DESCRIBE_ENDS: &[u8] = b"Tn";
const EXECUTE_ENDS: &[u8] = b"CIs";
const CLOSE_ENDS: &[u8] = b"3";

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
    size: usize,
}

impl Unit {
    fn empty() -> Self {
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

    fn add_classification(&mut self, classification: &Classification) {
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

    fn refuse_copy(&mut self) {
        self.refusal = Some(RequestFailure::not_run(
            FailureKind::Unsupported,
            "COPY is not supported by the proxy",
        ));
    }
}

/// Gathers messages into units.
pub(super) struct UnitBuilder {
    unit: Unit,
    limits: UnitLimits,
    classifier: Arc<ClassificationCache>,
}

/// Bounds of what one caller may keep at the front.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnitLimits {
    pub(super) max_unit_bytes: usize,
    pub(super) max_prepared_statements: usize,
}

impl UnitBuilder {
    pub(super) fn new(limits: UnitLimits, classifier: Arc<ClassificationCache>) -> Self {
        Self {
            unit: Unit::empty(),
            limits,
            classifier,
        }
    }

    /// Adds a message; gives the unit that it completes.
    pub(super) fn push(
        &mut self,
        message: PgWireFrontendMessage,
        store: &mut StatementStore,
    ) -> Result<Option<Unit>, ErrorReply> {
        match message {
            PgWireFrontendMessage::Query(query) => self.query(&query)?,
            PgWireFrontendMessage::Parse(parse) => return self.parse(parse, store).map(|()| None),
            PgWireFrontendMessage::Bind(bind) => return self.bind(bind, store).map(|()| None),
            PgWireFrontendMessage::Describe(it) => return self.describe(it, store).map(|()| None),
            PgWireFrontendMessage::Execute(it) => return self.execute(&it, store).map(|()| None),
            PgWireFrontendMessage::Close(it) => return self.close(it, store).map(|()| None),
            PgWireFrontendMessage::Sync(sync) => self.finish(UnitEnd::Sync, &sync)?,
            PgWireFrontendMessage::Flush(flush) => self.finish(UnitEnd::Flush, &flush)?,
            // A back end drops copy messages outside of COPY as well.
            PgWireFrontendMessage::CopyData(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_) => return Ok(None),
            _ => return Err(violation("unexpected message".to_owned())),
        }
        Ok(Some(std::mem::replace(&mut self.unit, Unit::empty())))
    }

    fn query(&mut self, query: &Query) -> Result<(), ErrorReply> {
        if !self.unit.steps.is_empty() {
            return Err(violation("a query came before Sync".to_owned()));
        }
        let classification = self.classifier.classify(&query.query);
        self.unit.end = UnitEnd::Query;
        if let Some(setting) = &classification.proxy_setting {
            self.unit.settings.push(setting.clone());
            self.answer_locally(reply::command_complete("SET"), None);
            return Ok(());
        }
        self.unit.add_classification(&classification);
        if classification.is_copy {
            self.unit.refuse_copy();
        }
        self.forward(query)
    }

    fn parse(&mut self, parse: Parse, store: &mut StatementStore) -> Result<(), ErrorReply> {
        let name = parse.name.unwrap_or_default();
        let is_new = store.statement(&name).is_none();
        if is_new && store.len() >= self.limits.max_prepared_statements {
            return Err(ErrorReply::fatal(
                LIMIT_EXCEEDED,
                "too many prepared statements",
            ));
        }
        let classification = self.classifier.classify(&parse.query);
        if classification.is_copy {
            self.unit.refuse_copy();
        }
        let statement = KnownStatement::new(parse.query, parse.type_oids, classification);
        let statement = Arc::new(statement);
        let undo = store.define(name, Arc::clone(&statement));
        if statement.classification.proxy_setting.is_some() {
            self.answer_locally(reply::parse_complete(), Some(undo));
            return Ok(());
        }
        self.refer_to(&statement);
        let prepared = &statement.prepared;
        let renamed = Parse::new(
            Some(prepared.name.clone()),
            prepared.text.clone(),
            prepared.parameter_types.clone(),
        );
        self.forward_undoable(&renamed, PARSE_ENDS, Some(undo))
    }

    fn bind(&mut self, mut bind: Bind, store: &mut StatementStore) -> Result<(), ErrorReply> {
        let name = bind.statement_name.take().unwrap_or_default();
        let portal = bind.portal_name.clone().unwrap_or_default();
        let statement = store.statement(&name).cloned();
        store.bind_portal(portal, statement.clone());
        let Some(statement) = statement else {
            // The back end knows best: the name may come from SQL's own PREPARE.
            bind.statement_name = Some(name).filter(|name| !name.is_empty());
            self.unit.access = StatementAccess::Write;
            return self.forward_step(&bind, BIND_ENDS);
        };
        if statement.classification.proxy_setting.is_some() {
            self.answer_locally(reply::encode(&BindComplete::new()), None);
            return Ok(());
        }
        self.refer_to(&statement);
        self.unit.add_classification(&statement.classification);
        bind.statement_name = Some(statement.prepared.name.clone());
        self.forward_step(&bind, BIND_ENDS)
    }

    fn describe(
        &mut self,
        mut describe: Describe,
        store: &mut StatementStore,
    ) -> Result<(), ErrorReply> {
        let name = describe.name.clone().unwrap_or_default();
        let of_statement = describe.target_type == TARGET_TYPE_BYTE_STATEMENT;
        let target = if of_statement {
            store.statement(&name)
        } else {
            store.portal(&name)
        };
        let Some(target) = target.cloned() else {
            self.unit.access = StatementAccess::Write;
            return self.forward_step(&describe, DESCRIBE_ENDS);
        };
        if target.classification.proxy_setting.is_some() {
            self.answer_locally(describe_setting(of_statement), None);
            return Ok(());
        }
        if of_statement {
            self.refer_to(&target);
            describe.name = Some(target.prepared.name.clone());
        }
        self.forward_step(&describe, DESCRIBE_ENDS)
    }

    fn execute(&mut self, execute: &Execute, store: &StatementStore) -> Result<(), ErrorReply> {
        let portal = execute.name.as_deref().unwrap_or_default();
        let setting = store
            .portal(portal)
            .and_then(|statement| statement.classification.proxy_setting.clone());
        if let Some(setting) = setting {
            self.unit.settings.push(setting);
            self.answer_locally(reply::command_complete("SET"), None);
            return Ok(());
        }
        self.forward_step(execute, EXECUTE_ENDS)
    }

    fn close(&mut self, close: Close, store: &mut StatementStore) -> Result<(), ErrorReply> {
        if close.target_type != TARGET_TYPE_BYTE_STATEMENT {
            return self.forward_step(&close, CLOSE_ENDS);
        }
        let undo = store.forget(close.name.unwrap_or_default());
        self.answer_locally(reply::close_complete(), Some(undo));
        Ok(())
    }

    fn finish<M: Message>(&mut self, end: UnitEnd, message: &M) -> Result<(), ErrorReply> {
        self.unit.end = end;
        self.forward(message)
    }

    /// Lists a statement once among those that the home must have prepared.
    fn refer_to(&mut self, statement: &KnownStatement) {
        let is_listed = self
            .unit
            .statements
            .iter()
            .any(|listed| listed.name == statement.prepared.name);
        if !is_listed {
            self.unit.statements.push(statement.prepared.clone());
        }
    }

    fn answer_locally(&mut self, answer: BytesMut, undo: Option<Undo>) {
        let answer = StepAnswer::Local(answer.freeze());
        self.unit.steps.push_back(Step { answer, undo });
    }

    fn forward_step<M: Message>(
        &mut self,
        message: &M,
        ends: &'static [u8],
    ) -> Result<(), ErrorReply> {
        self.forward_undoable(message, ends, None)
    }

    fn forward_undoable<M: Message>(
        &mut self,
        message: &M,
        ends: &'static [u8],
        undo: Option<Undo>,
    ) -> Result<(), ErrorReply> {
        let answer = StepAnswer::BackEnd(ends);
        self.unit.steps.push_back(Step { answer, undo });
        self.forward(message)
    }

    fn forward<M: Message>(&mut self, message: &M) -> Result<(), ErrorReply> {
        self.count_bytes(message.message_length())?;
        message
            .encode(&mut self.unit.payload)
            .map_err(|error: PgWireError| violation(error.to_string()))
    }

    fn count_bytes(&mut self, length: usize) -> Result<(), ErrorReply> {
        self.unit.size += length;
        if self.unit.size > self.limits.max_unit_bytes {
            return Err(ErrorReply::fatal(
                LIMIT_EXCEEDED,
                "too many bytes before Sync",
            ));
        }
        Ok(())
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

/// A setting takes no parameters and gives no rows.
fn describe_setting(of_statement: bool) -> BytesMut {
    let mut answer = BytesMut::new();
    if of_statement {
        answer.extend_from_slice(&reply::encode(&ParameterDescription::new(Vec::new())));
    }
    answer.extend_from_slice(&reply::encode(&NoData::new()));
    answer
}

fn violation(reason: String) -> ErrorReply {
    ErrorReply {
        severity: Severity::Fatal,
        sqlstate: PROTOCOL_VIOLATION,
        message: reason,
        detail: None,
    }
}
