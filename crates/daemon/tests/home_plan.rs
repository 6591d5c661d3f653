//! Prepared statements on shared connections: the caller's answer must look as if the
//! connection were the caller's own.

use bytes::BytesMut;
use pgwire::messages::data::NoData;
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete, Sync,
    TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use proptest::prelude::*;
use std::collections::BTreeSet;
use stilequay_daemon::adapters::postgres::back_end::PreparedStatements;
use stilequay_daemon::adapters::postgres::back_end::UnitPlan;
use stilequay_daemon::domain::exchange::PreparedStatement;

/// One message of a caller, about one of a few statements.
#[derive(Debug, Clone, Copy)]
enum Message {
    Parse(u8),
    Bind(u8),
    Describe(u8),
    Execute,
    Close(u8),
    /// An unnamed statement that the back end refuses.
    Faulty,
}

fn statement_name(index: u8) -> String {
    format!("statement{index}")
}

fn frontend(message: Message) -> PgWireFrontendMessage {
    let named = |index| Some(statement_name(index));
    match message {
        Message::Parse(index) => {
            PgWireFrontendMessage::Parse(Parse::new(named(index), "SELECT 1".into(), vec![]))
        }
        Message::Bind(index) => {
            PgWireFrontendMessage::Bind(Bind::new(None, named(index), vec![], vec![], vec![]))
        }
        Message::Describe(index) => {
            let target = TARGET_TYPE_BYTE_STATEMENT;
            PgWireFrontendMessage::Describe(Describe::new(target, named(index)))
        }
        Message::Execute => PgWireFrontendMessage::Execute(Execute::new(None, 0)),
        Message::Close(index) => {
            let target = TARGET_TYPE_BYTE_STATEMENT;
            PgWireFrontendMessage::Close(Close::new(target, named(index)))
        }
        Message::Faulty => PgWireFrontendMessage::Parse(Parse::new(None, "faulty".into(), vec![])),
    }
}

/// A back end, as far as prepared statements go.
#[derive(Debug, Default)]
struct BackEnd {
    prepared: BTreeSet<String>,
    failed: bool,
}

impl BackEnd {
    fn answer(&mut self, message: &PgWireFrontendMessage) -> Vec<PgWireBackendMessage> {
        if let PgWireFrontendMessage::Sync(_) = message {
            self.failed = false;
            let ready = ReadyForQuery::new(TransactionStatus::Idle);
            return vec![PgWireBackendMessage::ReadyForQuery(ready)];
        }
        if self.failed {
            return vec![];
        }
        match self.execute(message) {
            Some(answer) => vec![answer],
            None => {
                self.failed = true;
                vec![PgWireBackendMessage::ErrorResponse(ErrorResponse::new(
                    vec![],
                ))]
            }
        }
    }

    fn execute(&mut self, message: &PgWireFrontendMessage) -> Option<PgWireBackendMessage> {
        let knows =
            |name: &Option<String>| name.as_ref().is_some_and(|n| self.prepared.contains(n));
        match message {
            PgWireFrontendMessage::Parse(parse) => {
                let name = parse.name.clone()?;
                let is_new = self.prepared.insert(name);
                is_new.then(|| PgWireBackendMessage::ParseComplete(ParseComplete::new()))
            }
            PgWireFrontendMessage::Bind(bind) => knows(&bind.statement_name)
                .then(|| PgWireBackendMessage::BindComplete(BindComplete::new())),
            PgWireFrontendMessage::Describe(describe) => {
                knows(&describe.name).then(|| PgWireBackendMessage::NoData(NoData::new()))
            }
            PgWireFrontendMessage::Execute(_) => Some(PgWireBackendMessage::CommandComplete(
                CommandComplete::new("SELECT 0".into()),
            )),
            PgWireFrontendMessage::Close(close) => {
                close.name.as_ref().map(|name| self.prepared.remove(name));
                Some(PgWireBackendMessage::CloseComplete(CloseComplete::new()))
            }
            _ => None,
        }
    }
}

/// What a caller with a connection of its own would see, where all statements named
/// are prepared already, as the front has checked.
fn expected(unit: &[Message]) -> Vec<u8> {
    let mut answer = Vec::new();
    for message in unit {
        answer.push(match message {
            Message::Parse(_) => b'1',
            Message::Bind(_) => b'2',
            Message::Describe(_) => b'n',
            Message::Execute => b'C',
            Message::Close(_) => b'3',
            Message::Faulty => {
                answer.push(b'E');
                break;
            }
        });
    }
    answer.push(b'Z');
    answer
}

fn tag_of(message: &PgWireBackendMessage) -> u8 {
    let mut encoded = BytesMut::new();
    message
        .encode(&mut encoded)
        .expect("a message of the test encodes");
    encoded[0]
}

/// Runs a unit and returns the tags of what the caller sees.
fn run(unit: &[Message], prepared: &mut PreparedStatements, back_end: &mut BackEnd) -> Vec<u8> {
    let mut payload = BytesMut::new();
    for message in unit {
        frontend(*message).encode(&mut payload).expect("it encodes");
    }
    let sync = PgWireFrontendMessage::Sync(Sync::new());
    sync.encode(&mut payload).expect("it encodes");
    let statements: Vec<_> = (0..STATEMENTS)
        .map(|index| PreparedStatement {
            name: statement_name(index),
            text: "SELECT 1".into(),
            parameter_types: vec![],
        })
        .collect();
    let mut plan =
        UnitPlan::new(&payload, &statements, prepared, false).expect("it is well formed");
    let messages = plan.take_messages();
    let answers = messages
        .iter()
        .flat_map(|message| back_end.answer(message))
        .collect::<Vec<_>>();
    let mut seen = Vec::new();
    let mut answers = answers.into_iter();
    loop {
        while let Some(message) = plan.synthesized() {
            seen.push(tag_of(&message));
        }
        if plan.is_finished() {
            break;
        }
        let answer = answers
            .next()
            .expect("the back end has answered all that is waited for");
        seen.extend(
            plan.accept(answer, prepared)
                .map(|message| tag_of(&message)),
        );
    }
    assert!(answers.next().is_none(), "the answer was read to its end");
    seen
}

const STATEMENTS: u8 = 4;

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        (0..STATEMENTS).prop_map(Message::Parse),
        (0..STATEMENTS).prop_map(Message::Bind),
        (0..STATEMENTS).prop_map(Message::Describe),
        Just(Message::Execute),
        (0..STATEMENTS).prop_map(Message::Close),
        Just(Message::Faulty),
    ]
}

proptest! {
    /// Whatever earlier units have left on the connection, and however few statements
    /// it keeps, each caller sees the answer of a connection of its own.
    #[test]
    fn shared_connections_answer_as_own_ones(
        units in prop::collection::vec(prop::collection::vec(message(), 0..8), 1..12),
        capacity in 1_usize..6,
    ) {
        let mut prepared = PreparedStatements::new(capacity);
        let mut back_end = BackEnd::default();
        for unit in units {
            let seen = run(&unit, &mut prepared, &mut back_end);
            prop_assert_eq!(seen, expected(&unit));
        }
    }
}

#[test]
fn a_statement_is_prepared_once_for_many_callers() {
    let mut prepared = PreparedStatements::new(10);
    let mut back_end = BackEnd::default();
    for _ in 0..3 {
        run(
            &[Message::Bind(0), Message::Execute],
            &mut prepared,
            &mut back_end,
        );
    }
    let plan = UnitPlan::new(&[], &[], &mut prepared, false).expect("an empty unit is well formed");
    assert!(plan.is_finished());
    assert_eq!(back_end.prepared.len(), 1);
}

#[test]
fn the_least_recently_used_statement_is_closed_first() {
    let mut prepared = PreparedStatements::new(2);
    let mut back_end = BackEnd::default();
    for index in [0, 1, 0, 2] {
        run(&[Message::Bind(index)], &mut prepared, &mut back_end);
    }
    let kept = [statement_name(0), statement_name(2)];
    assert_eq!(back_end.prepared, BTreeSet::from(kept));
}

#[test]
fn a_payload_cut_short_is_an_error() {
    let mut payload = BytesMut::new();
    frontend(Message::Parse(0))
        .encode(&mut payload)
        .expect("it encodes");
    let mut prepared = PreparedStatements::new(2);
    for length in 1..payload.len() {
        let plan = UnitPlan::new(&payload[..length], &[], &mut prepared, false);
        assert!(plan.is_err(), "{length} bytes");
    }
}
