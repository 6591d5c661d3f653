//! The sequences of messages that a member answers with, as PostgreSQL documents them.

mod group_support;

use futures::{SinkExt, StreamExt};
use group_support::{connect, default_group};
use pgwire::api::client::auth::DefaultStartupHandler;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Parse, Sync};
use pgwire::messages::simplequery::Query;
use pgwire::messages::{PgWireBackendMessage as Backend, PgWireFrontendMessage as Frontend};
use pgwire::tokio::client::PgWireClient;
use rstest::rstest;
use std::sync::Arc;
use stilequay_standin::group::GroupHandle;

async fn raw_client(group: &GroupHandle) -> PgWireClient {
    let address = group.address("one").expect("exists");
    let config = format!(
        "host={} port={} user=stilequay password=stilequay dbname=orders sslmode=disable",
        address.ip(),
        address.port()
    );
    let config = Arc::new(config.parse().expect("is a configuration"));
    let connected = PgWireClient::connect(config, DefaultStartupHandler::new(), None).await;
    connected.expect("the member accepts the client")
}

fn parse(name: &str, sql: &str) -> Frontend {
    Frontend::Parse(Parse::new(Some(name.to_owned()), sql.to_owned(), vec![]))
}

fn bind(statement: &str) -> Frontend {
    Frontend::Bind(Bind::new(
        None,
        Some(statement.to_owned()),
        vec![],
        vec![],
        vec![],
    ))
}

fn describe(statement: &str) -> Frontend {
    Frontend::Describe(Describe::new(b'S', Some(statement.to_owned())))
}

fn execute(max_rows: i32) -> Frontend {
    Frontend::Execute(Execute::new(None, max_rows))
}

fn close(statement: &str) -> Frontend {
    Frontend::Close(Close::new(b'S', Some(statement.to_owned())))
}

fn sync() -> Frontend {
    Frontend::Sync(Sync::new())
}

fn query(sql: &str) -> Frontend {
    Frontend::Query(Query::new(sql.to_owned()))
}

/// A short text for each kind of message.
fn summary(message: Backend) -> String {
    match message {
        Backend::ParseComplete(_) => "parsed".to_owned(),
        Backend::BindComplete(_) => "bound".to_owned(),
        Backend::CloseComplete(_) => "closed".to_owned(),
        Backend::ParameterDescription(description) => {
            format!("parameters {}", description.types.len())
        }
        Backend::RowDescription(description) => format!("columns {}", description.fields.len()),
        Backend::NoData(_) => "no data".to_owned(),
        Backend::DataRow(_) => "row".to_owned(),
        Backend::PortalSuspended(_) => "suspended".to_owned(),
        Backend::EmptyQueryResponse(_) => "empty".to_owned(),
        Backend::CommandComplete(complete) => complete.tag,
        Backend::ErrorResponse(error) => {
            let code = error.fields.into_iter().find(|(field, _)| *field == b'C');
            format!("error {}", code.map(|(_, code)| code).unwrap_or_default())
        }
        Backend::ReadyForQuery(ready) => format!("ready {:?}", ready.status),
        other => format!("{other:?}"),
    }
}

/// Sends `messages`, and returns what comes up to the last ReadyForQuery that is due.
async fn exchange(client: &mut PgWireClient, messages: Vec<Frontend>) -> Vec<String> {
    let asks = |message: &&Frontend| matches!(message, Frontend::Sync(_) | Frontend::Query(_));
    let mut due = messages.iter().filter(asks).count();
    for message in messages {
        client.feed(message).await.expect("is sent");
    }
    client.flush().await.expect("is sent");
    let mut answers = Vec::new();
    while due > 0 {
        let message = client
            .next()
            .await
            .expect("the connection is open")
            .expect("is a message");
        due -= usize::from(matches!(message, Backend::ReadyForQuery(_)));
        answers.push(summary(message));
    }
    answers
}

#[rstest]
#[case::statement_without_rows(
    vec![parse("s", "DELETE FROM t WHERE k = $1"), describe("s"), sync()],
    &["parsed", "parameters 1", "no data", "ready Idle"]
)]
#[case::portal_in_parts(
    vec![parse("s", "SELECT k FROM t"), bind("s"), execute(1), execute(0), sync()],
    &["parsed", "bound", "row", "suspended", "row", "SELECT 1", "ready Idle"]
)]
#[case::rest_of_a_failed_batch_is_skipped(
    vec![parse("s", "SELECT * FROM nowhere"), bind("s"), execute(0), sync()],
    &["error 42P01", "ready Idle"]
)]
#[case::name_taken(
    vec![parse("s", "SELECT 1"), parse("s", "SELECT 2"), sync()],
    &["parsed", "error 42P05", "ready Idle"]
)]
#[case::name_free_after_close(
    vec![parse("s", "SELECT 1"), close("s"), parse("s", "SELECT 2"), sync()],
    &["parsed", "closed", "parsed", "ready Idle"]
)]
#[case::name_free_after_discard(
    vec![parse("s", "SELECT 1"), sync(), query("DISCARD ALL"), bind("s"), sync()],
    &["parsed", "ready Idle", "DISCARD ALL", "ready Idle", "error 26000", "ready Idle"]
)]
#[case::unnamed_is_replaced(
    vec![parse("", "SELECT 1"), parse("", "SELECT 2"), sync()],
    &["parsed", "parsed", "ready Idle"]
)]
#[case::block(
    vec![query("BEGIN"), query("SELECT * FROM nowhere"), query("SELECT 1"), query("COMMIT")],
    &[
        "BEGIN", "ready Transaction", "error 42P01", "ready Error", "error 25P02", "ready Error",
        "ROLLBACK", "ready Idle",
    ]
)]
#[case::extended_block(
    vec![parse("b", "BEGIN"), bind("b"), execute(0), sync(), parse("e", "SELEC"), sync(), query("ROLLBACK")],
    &["parsed", "bound", "BEGIN", "ready Transaction", "error 42601", "ready Error", "ROLLBACK", "ready Idle"]
)]
#[case::failed_by_the_protocol(
    vec![query("BEGIN"), bind("missing"), sync(), query("SELECT 1"), query("ROLLBACK")],
    &[
        "BEGIN", "ready Transaction", "error 26000", "ready Error", "error 25P02", "ready Error",
        "ROLLBACK", "ready Idle",
    ]
)]
#[case::empty(vec![query(" ; "), query("-- nothing")], &["empty", "ready Idle", "empty", "ready Idle"])]
#[case::script_in_a_block(
    vec![query("SELECT k FROM t; BEGIN; INSERT INTO t VALUES (3); COMMIT; DELETE FROM t")],
    &["columns 1", "row", "row", "SELECT 2", "BEGIN", "INSERT 0 1", "COMMIT", "DELETE 3", "ready Idle"]
)]
#[tokio::test]
async fn messages_are_answered_in_sequence(
    #[case] messages: Vec<Frontend>,
    #[case] expected: &[&str],
) {
    let group = default_group().await;
    let setup = connect(&group, "one").await;
    let table = "CREATE TABLE t (k int PRIMARY KEY); INSERT INTO t VALUES (1), (2)";
    setup.batch_execute(table).await.expect("the table is made");
    let mut client = raw_client(&group).await;
    assert_eq!(exchange(&mut client, messages).await, expected);
}

#[tokio::test]
async fn a_commit_that_fails_ends_its_block() {
    let group = default_group().await;
    let setup = connect(&group, "one").await;
    setup
        .batch_execute("CREATE TABLE t (k int PRIMARY KEY)")
        .await
        .expect("the table is made");
    let mut client = raw_client(&group).await;
    let begin = vec![query("BEGIN; INSERT INTO t VALUES (1)")];
    exchange(&mut client, begin).await;
    setup
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("inserts");
    let commit = vec![parse("", "COMMIT"), bind(""), execute(0), sync()];
    let answers = exchange(&mut client, commit).await;
    assert_eq!(answers, ["parsed", "bound", "error 23505", "ready Idle"]);
}
