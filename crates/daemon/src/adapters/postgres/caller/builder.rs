//! Gathers a caller's messages into units, made ready for a home.

use super::reply::{self, ErrorReply};
use super::statements::{KnownStatement, StatementStore, Undo};
use super::unit::{LIMIT_EXCEEDED, PROTOCOL_VIOLATION, Step, StepAnswer, Unit, UnitEnd};
use crate::adapters::postgres::classify::{ClassificationCache, StatementAccess};
use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, Describe, Execute, Parse, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::{Message, PgWireFrontendMessage, simplequery::Query};
use std::sync::Arc;

const PARSE_ENDS: &[u8] = b"1";
const BIND_ENDS: &[u8] = b"2";
const DESCRIBE_ENDS: &[u8] = b"Tn";
const EXECUTE_ENDS: &[u8] = b"CIs";
const CLOSE_ENDS: &[u8] = b"3";

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
    ErrorReply::fatal(PROTOCOL_VIOLATION, reason)
}
