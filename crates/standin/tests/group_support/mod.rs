//! What the tests of the group share.
#![allow(dead_code)]

use std::future::Future;
use std::time::Duration;
use stilequay_standin::group::{GroupHandle, GroupSettings, start};
use tokio_postgres::{Client, Config, Error, NoTls, SimpleQueryMessage};

/// The probe of a member's role, term and positions.
pub const PROBE: &str = "SELECT pg_is_in_recovery(), \
     (SELECT timeline_id FROM pg_control_checkpoint()), \
     pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn(), \
     CASE WHEN pg_is_in_recovery() THEN NULL ELSE pg_current_wal_lsn() END";

/// Long enough for any condition under load.
const PATIENCE: Duration = Duration::from_secs(60);

/// A group with default settings.
pub async fn default_group() -> GroupHandle {
    start(GroupSettings::default())
        .await
        .expect("the group starts")
}

/// The configuration of a client of `member`.
pub fn config(group: &GroupHandle, member: &str) -> Config {
    let address = group.address(member).expect("the member exists");
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config
        .user("stilequay")
        .password("stilequay")
        .dbname("orders");
    config
}

/// A client of `member`.
pub async fn try_connect(group: &GroupHandle, member: &str) -> Result<Client, Error> {
    let (client, connection) = config(group, member).connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// A client of `member`.
pub async fn connect(group: &GroupHandle, member: &str) -> Client {
    try_connect(group, member)
        .await
        .expect("the member accepts the client")
}

/// The texts of the rows that `sql` returns.
pub async fn rows(client: &Client, sql: &str) -> Vec<Vec<Option<String>>> {
    let messages = client.simple_query(sql).await.expect("the query runs");
    let texts = messages.into_iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(
            (0..row.len())
                .map(|index| row.get(index).map(str::to_owned))
                .collect(),
        ),
        _ => None,
    });
    texts.collect()
}

/// The text of the first value that `sql` returns.
pub async fn value(client: &Client, sql: &str) -> Option<String> {
    rows(client, sql)
        .await
        .into_iter()
        .next()
        .and_then(|row| row.into_iter().next())
        .flatten()
}

/// The SQLSTATE that `sql` fails with.
pub async fn sql_state(client: &Client, sql: &str) -> String {
    code(
        &client
            .simple_query(sql)
            .await
            .expect_err("the statement fails"),
    )
}

/// The SQLSTATE of `error`.
pub fn code(error: &Error) -> String {
    let code = error
        .code()
        .unwrap_or_else(|| panic!("not an answer of the server: {error:?}"));
    code.code().to_owned()
}

/// Waits until `condition` gives a value.
pub async fn eventually<T, F>(what: &str, mut condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let attempts = async {
        loop {
            if let Some(found) = condition().await {
                return found;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let found = tokio::time::timeout(PATIENCE, attempts).await;
    found.unwrap_or_else(|_| panic!("never came about: {what}"))
}

/// Waits until `condition` holds.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    eventually(what, || std::future::ready(condition().then_some(()))).await;
}
