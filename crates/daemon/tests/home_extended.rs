//! Extended queries over shared connections.

mod home_support;

use bytes::BytesMut;
use home_support::{Answer, Exchange, Harness, insert, write};
use pgwire::messages::extendedquery::{
    Bind, Describe, Execute, Flush, Parse, Sync, TARGET_TYPE_BYTE_PORTAL,
};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use stilequay_daemon::domain::exchange::{
    Access, Freshness, PreparedStatement, RunUnit, TransactionState,
};

const READ: &str = "SELECT value FROM entries ORDER BY value";

fn statement(name: &str, text: &str) -> PreparedStatement {
    PreparedStatement {
        name: name.into(),
        text: text.into(),
        parameter_types: vec![],
    }
}

fn parse(statement: &PreparedStatement) -> PgWireFrontendMessage {
    let name = Some(statement.name.clone());
    PgWireFrontendMessage::Parse(Parse::new(name, statement.text.clone(), vec![]))
}

/// Binds, describes and executes a prepared statement.
fn execute(statement: &PreparedStatement) -> Vec<PgWireFrontendMessage> {
    let name = Some(statement.name.clone());
    vec![
        PgWireFrontendMessage::Bind(Bind::new(None, name, vec![], vec![], vec![])),
        PgWireFrontendMessage::Describe(Describe::new(TARGET_TYPE_BYTE_PORTAL, None)),
        PgWireFrontendMessage::Execute(Execute::new(None, 0)),
    ]
}

fn sync() -> PgWireFrontendMessage {
    PgWireFrontendMessage::Sync(Sync::new())
}

fn flush() -> PgWireFrontendMessage {
    PgWireFrontendMessage::Flush(Flush::new())
}

fn unit(
    access: Access,
    statements: &[&PreparedStatement],
    messages: Vec<PgWireFrontendMessage>,
) -> RunUnit {
    let mut payload = BytesMut::new();
    for message in messages {
        message.encode(&mut payload).expect("it encodes");
    }
    RunUnit {
        access,
        statements: statements
            .iter()
            .map(|statement| (*statement).clone())
            .collect(),
        payload: payload.to_vec(),
        ..write("")
    }
}

/// A unit that only names a statement prepared earlier, maybe on another connection.
fn execution(access: Access, statement: &PreparedStatement) -> RunUnit {
    let mut messages = execute(statement);
    messages.push(sync());
    unit(access, &[statement], messages)
}

/// The kinds of the messages of an answer, as their tags on the wire.
fn tags(answer: &Answer) -> String {
    let mut tags = String::new();
    for message in &answer.messages {
        let mut encoded = BytesMut::new();
        message.encode(&mut encoded).expect("it encodes");
        tags.push(char::from(encoded[0]));
    }
    tags
}

#[tokio::test]
async fn a_statement_prepared_once_is_executed_wherever_the_read_goes() {
    let harness = Harness::start().await;
    harness.run(insert("first")).await.done();
    let read = statement("read", READ);
    let access = Access::Read(Freshness::Barrier);
    let prepared = harness
        .run(unit(access, &[&read], vec![parse(&read), sync()]))
        .await;
    assert_eq!(tags(&prepared), "1Z");
    let mut exchanges: Vec<Exchange> = vec![];
    for _ in 0..6 {
        exchanges.push(harness.open().await);
    }
    for exchange in &mut exchanges {
        let answer = exchange.run(execution(access, &read)).await;
        assert_eq!(tags(&answer), "2TDCZ");
        assert_eq!(answer.first_column(), ["first"]);
    }
    let again = harness
        .run(unit(access, &[&read], vec![parse(&read), sync()]))
        .await;
    assert_eq!(tags(&again), "1Z");
}

#[tokio::test]
async fn a_prepared_write_is_confirmed() {
    let harness = Harness::start().await;
    let insert = statement("insert", "INSERT INTO entries VALUES ('first')");
    for _ in 0..3 {
        let answer = harness.run(execution(Access::Write, &insert)).await;
        assert!(answer.done().floor.is_some());
    }
    assert_eq!(harness.entries().await, ["first"; 3]);
}

/// A pipeline without Sync has committed nothing: its answer needs no confirmation,
/// and the Sync that commits it does.
#[tokio::test]
async fn a_flushed_write_is_confirmed_with_its_sync() {
    let harness = Harness::start().await;
    let insert = statement("insert", "INSERT INTO entries VALUES ('first')");
    let mut exchange = harness.open().await;
    let mut messages = execute(&insert);
    messages.push(flush());
    let flushed = exchange
        .run(unit(Access::Write, &[&insert], messages))
        .await;
    assert_eq!(tags(&flushed), "2nC");
    let done = flushed.done();
    assert_eq!(done.transaction, TransactionState::Unsynced);
    assert_eq!(done.floor, None);
    let synced = exchange.run(unit(Access::Write, &[], vec![sync()])).await;
    assert_eq!(tags(&synced), "Z");
    assert!(synced.done().floor.is_some());
    assert_eq!(harness.entries().await, ["first"]);
}

/// After an error the back end answers nothing before the next Sync, and the home
/// waits for nothing.
#[tokio::test]
async fn a_flushed_error_ends_the_unit() {
    let harness = Harness::start().await;
    let faulty = statement("faulty", "SELECT * FROM nowhere");
    let read = statement("read", READ);
    let mut exchange = harness.open().await;
    let messages = vec![parse(&faulty), flush()];
    let failed = exchange
        .run(unit(Access::Write, &[&faulty], messages))
        .await;
    assert_eq!(tags(&failed), "E");
    let mut messages = execute(&read);
    messages.push(flush());
    let skipped = exchange.run(unit(Access::Write, &[&read], messages)).await;
    assert_eq!(tags(&skipped), "");
    let synced = exchange.run(unit(Access::Write, &[], vec![sync()])).await;
    assert_eq!(tags(&synced), "Z");
    let answer = exchange.run(execution(Access::Write, &read)).await;
    assert_eq!(tags(&answer), "2TCZ");
}

#[tokio::test]
async fn deallocated_statements_are_prepared_again() {
    let harness = Harness::start().await;
    let read = statement("read", READ);
    let mut exchange = harness.open().await;
    exchange.run(execution(Access::Write, &read)).await.done();
    exchange.run(write("DEALLOCATE ALL")).await.done();
    let answer = exchange.run(execution(Access::Write, &read)).await;
    assert_eq!(tags(&answer), "2TCZ");
}

#[tokio::test]
async fn a_copy_from_the_caller_is_refused() {
    let harness = Harness::start().await;
    let answer = harness.run(write("COPY entries FROM STDIN")).await;
    assert!(answer.error_code().is_some());
    let ready = answer.messages.last();
    assert!(matches!(
        ready,
        Some(PgWireBackendMessage::ReadyForQuery(_))
    ));
}
