//! What a unit sends to a back end, and which answers belong to the caller.
//!
//! Callers share connections, so a connection may lack a statement that a unit
//! names, or already have one that it prepares. The plan adds and leaves out
//! messages accordingly, and makes the caller's answer look as if nothing had
//! been changed.

use super::prepared::PreparedStatements;
use crate::domain::exchange::PreparedStatement;
use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::extendedquery::{
    Close, CloseComplete, Parse, ParseComplete, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use quick_error::quick_error;
use std::collections::{HashSet, VecDeque};

quick_error! {
    /// Why a unit can't be sent.
    #[derive(Debug)]
    pub enum PlanError {
        /// The payload ends within a message.
        CutShort {
            display("the unit ends within a message")
        }
        /// The payload is not made of front-end messages.
        Codec(error: PgWireError) {
            from()
            source(error)
            display("{error}")
        }
    }
}

/// An answer that is still expected, in order.
#[derive(Debug)]
enum Step {
    /// The answer to a message of the caller.
    Forward(Answer),
    /// The answer to a message that the plan added.
    Swallow(Answer),
    /// The answer to a message that the plan left out.
    Synthesize(PgWireBackendMessage),
}

/// What ends the answer to one front-end message.
#[derive(Debug)]
enum Answer {
    ParseComplete { name: Option<String> },
    BindComplete,
    CloseComplete,
    Description,
    CommandEnd,
    ReadyForQuery,
}

impl Answer {
    fn is_ended_by(&self, message: &PgWireBackendMessage) -> bool {
        use PgWireBackendMessage as Message;
        match self {
            Self::ParseComplete { .. } => matches!(message, Message::ParseComplete(_)),
            Self::BindComplete => matches!(message, Message::BindComplete(_)),
            Self::CloseComplete => matches!(message, Message::CloseComplete(_)),
            Self::Description => {
                matches!(message, Message::RowDescription(_) | Message::NoData(_))
            }
            Self::CommandEnd => matches!(
                message,
                Message::CommandComplete(_)
                    | Message::EmptyQueryResponse(_)
                    | Message::PortalSuspended(_)
            ),
            Self::ReadyForQuery => matches!(message, Message::ReadyForQuery(_)),
        }
    }
}

/// The messages of a unit and the answers still expected to them.
#[derive(Debug)]
pub struct UnitPlan {
    messages: Vec<PgWireFrontendMessage>,
    steps: VecDeque<Step>,
    ends_with_sync: bool,
}

impl UnitPlan {
    /// Nothing to send and nothing to wait for.
    pub fn empty() -> Self {
        Self {
            messages: Vec::new(),
            steps: VecDeque::new(),
            ends_with_sync: false,
        }
    }

    /// Plans `payload` for a connection that has `prepared`.
    ///
    /// `skipping` says that the back end ignores everything up to the next Sync,
    /// because an earlier unit failed without one.
    pub fn new(
        payload: &[u8],
        statements: &[PreparedStatement],
        prepared: &mut PreparedStatements,
        skipping: bool,
    ) -> Result<Self, PlanError> {
        let mut planner = Planner {
            statements,
            use_mark: prepared.use_mark(),
            prepared,
            arriving: HashSet::new(),
            plan: Self::empty(),
        };
        for message in decode_messages(payload)? {
            planner.add(message);
        }
        planner.evict(skipping);
        let mut plan = planner.plan;
        if skipping {
            plan.skip_to_ready();
        }
        Ok(plan)
    }

    /// Takes the messages to send.
    pub fn take_messages(&mut self) -> Vec<PgWireFrontendMessage> {
        std::mem::take(&mut self.messages)
    }

    /// Whether the unit ends with Sync, so that a refused copy needs another one.
    pub fn ends_with_sync(&self) -> bool {
        self.ends_with_sync
    }

    /// Whether all answers are in.
    pub fn is_finished(&self) -> bool {
        self.steps.is_empty()
    }

    /// Answers to left-out messages that come next.
    pub fn synthesized(&mut self) -> Option<PgWireBackendMessage> {
        match self.steps.front() {
            Some(Step::Synthesize(_)) => match self.steps.pop_front() {
                Some(Step::Synthesize(message)) => Some(message),
                _ => None,
            },
            _ => None,
        }
    }

    /// Takes in a message of the back end; gives it back if it belongs to the caller.
    pub fn accept(
        &mut self,
        message: PgWireBackendMessage,
        prepared: &mut PreparedStatements,
    ) -> Option<PgWireBackendMessage> {
        if matches!(message, PgWireBackendMessage::ErrorResponse(_)) {
            self.skip_to_ready();
            return Some(message);
        }
        let (ends, swallowed) = match self.steps.front() {
            Some(Step::Forward(answer)) => (answer.is_ended_by(&message), false),
            Some(Step::Swallow(answer)) => {
                let ends = answer.is_ended_by(&message);
                (ends, ends)
            }
            Some(Step::Synthesize(_)) | None => (false, false),
        };
        if ends {
            self.finish_step(prepared);
        }
        (!swallowed).then_some(message)
    }

    fn finish_step(&mut self, prepared: &mut PreparedStatements) {
        let step = self.steps.pop_front();
        if let Some(Step::Forward(answer) | Step::Swallow(answer)) = step
            && let Answer::ParseComplete { name: Some(name) } = answer
        {
            prepared.insert(name);
        }
    }

    /// After an error, the back end answers nothing before the next Sync.
    fn skip_to_ready(&mut self) {
        let is_ready = |step: &Step| matches!(step, Step::Forward(Answer::ReadyForQuery));
        while self.steps.front().is_some_and(|step| !is_ready(step)) {
            self.steps.pop_front();
        }
    }
}

/// Builds a [`UnitPlan`] message by message.
struct Planner<'a> {
    statements: &'a [PreparedStatement],
    prepared: &'a mut PreparedStatements,
    /// The connection's uses before this unit.
    use_mark: u64,
    /// Statements that the unit itself prepares.
    arriving: HashSet<String>,
    plan: UnitPlan,
}

impl Planner<'_> {
    fn add(&mut self, message: PgWireFrontendMessage) {
        use PgWireFrontendMessage as Message;
        match message {
            Message::Parse(parse) => self.add_parse(parse),
            Message::Close(close) => self.add_close(close),
            Message::Bind(bind) => {
                self.ensure_prepared(bind.statement_name.as_deref());
                self.send(Message::Bind(bind), Answer::BindComplete);
            }
            Message::Describe(describe) => {
                if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
                    self.ensure_prepared(describe.name.as_deref());
                }
                self.send(Message::Describe(describe), Answer::Description);
            }
            Message::Execute(execute) => self.send(Message::Execute(execute), Answer::CommandEnd),
            Message::Query(query) => self.send(Message::Query(query), Answer::ReadyForQuery),
            Message::Sync(sync) => {
                self.plan.ends_with_sync = true;
                self.send(Message::Sync(sync), Answer::ReadyForQuery);
            }
            other => self.plan.messages.push(other),
        }
    }

    fn send(&mut self, message: PgWireFrontendMessage, answer: Answer) {
        self.plan.messages.push(message);
        self.plan.steps.push_back(Step::Forward(answer));
    }

    fn add_parse(&mut self, parse: Parse) {
        let Some(name) = parse.name.clone() else {
            let answer = Answer::ParseComplete { name: None };
            return self.send(PgWireFrontendMessage::Parse(parse), answer);
        };
        if self.has(&name) {
            return self.synthesize(PgWireBackendMessage::ParseComplete(ParseComplete::new()));
        }
        self.arriving.insert(name.clone());
        let answer = Answer::ParseComplete { name: Some(name) };
        self.send(PgWireFrontendMessage::Parse(parse), answer);
    }

    /// A named statement stays prepared for the connection's next caller.
    fn add_close(&mut self, close: Close) {
        let names_statement = close.target_type == TARGET_TYPE_BYTE_STATEMENT;
        if names_statement && close.name.is_some() {
            return self.synthesize(PgWireBackendMessage::CloseComplete(CloseComplete::new()));
        }
        self.send(PgWireFrontendMessage::Close(close), Answer::CloseComplete);
    }

    fn ensure_prepared(&mut self, name: Option<&str>) {
        let Some(name) = name.filter(|name| !self.has(name)) else {
            return;
        };
        // A statement that the front did not describe is left for the back end to refuse.
        let Some(statement) = self.statements.iter().find(|s| s.name == name) else {
            return;
        };
        let name = statement.name.clone();
        self.arriving.insert(name.clone());
        self.plan
            .messages
            .push(PgWireFrontendMessage::Parse(Parse::new(
                Some(name.clone()),
                statement.text.clone(),
                statement.parameter_types.clone(),
            )));
        let answer = Answer::ParseComplete { name: Some(name) };
        self.plan.steps.push_back(Step::Swallow(answer));
    }

    fn has(&mut self, name: &str) -> bool {
        self.prepared.touch(name) || self.arriving.contains(name)
    }

    fn synthesize(&mut self, message: PgWireBackendMessage) {
        self.plan.steps.push_back(Step::Synthesize(message));
    }

    /// Makes room for the statements that arrive. The Close messages go first, so
    /// that no error of the unit can keep the back end from carrying them out.
    fn evict(&mut self, skipping: bool) {
        if skipping {
            return;
        }
        for name in self.prepared.evict(self.arriving.len(), self.use_mark) {
            let close = Close::new(TARGET_TYPE_BYTE_STATEMENT, Some(name));
            self.plan
                .messages
                .insert(0, PgWireFrontendMessage::Close(close));
            self.plan
                .steps
                .push_front(Step::Swallow(Answer::CloseComplete));
        }
    }
}

/// Decodes the front-end messages of a unit; a message cut short is an error.
fn decode_messages(payload: &[u8]) -> Result<Vec<PgWireFrontendMessage>, PlanError> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    let mut buffer = BytesMut::from(payload);
    let mut messages = Vec::new();
    while !buffer.is_empty() {
        match PgWireFrontendMessage::decode(&mut buffer, &context)? {
            Some(message) => messages.push(message),
            None => return Err(PlanError::CutShort),
        }
    }
    Ok(messages)
}
