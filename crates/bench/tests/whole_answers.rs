//! A caller gets the whole answer to its own request, and only that answer.

mod support;

use futures::StreamExt;
use stilequay_bench::launch::Topology;
use stilequay_bench::launch::wait::until;
use stilequay_bench::load::connection::Connection;
use support::{connect, deployment, start};
use tokio_postgres::SimpleQueryMessage;

/// Rows of the large table.
const ROWS: usize = 60;
/// Bytes of one row's text: all rows together are far more than any buffer between.
const TEXT_BYTES: usize = 40_000;
/// Callers side by side.
const CALLERS: usize = 6;

async fn start_with_large_table() -> Topology {
    let topology = start(deployment(), None).await;
    let connection = connect(&topology, 0, "loader").await;
    let client = &connection.client;
    let created = client
        .simple_query("CREATE TABLE large (id BIGINT, body TEXT)")
        .await;
    created.expect("the table is made");
    let body = "x".repeat(TEXT_BYTES);
    for id in 0..ROWS {
        let text = format!("INSERT INTO large VALUES ({id}, '{body}')");
        client.simple_query(&text).await.expect("a row is added");
    }
    topology
}

/// What a caller got for its question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Whole,
    Error,
    /// Rows of others, or too few without an error.
    Wrong,
}

async fn ask(connection: &Connection, mark: usize) -> Answer {
    let text = format!("SELECT {mark} AS mark, id, body FROM large ORDER BY id");
    let Ok(messages) = connection.client.simple_query(&text).await else {
        return Answer::Error;
    };
    let rows: Vec<_> = messages
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(row),
            _ => None,
        })
        .collect();
    let is_right = |(id, row): (usize, &&tokio_postgres::SimpleQueryRow)| {
        row.get(0) == Some(mark.to_string().as_str())
            && row.get(1) == Some(id.to_string().as_str())
            && row.get(2).is_some_and(|body| body.len() == TEXT_BYTES)
    };
    match rows.len() == ROWS && rows.iter().enumerate().all(is_right) {
        true => Answer::Whole,
        false => Answer::Wrong,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_cut_in_mid_answer_gives_an_error_and_no_short_result() {
    let topology = start_with_large_table().await;
    let links: Vec<_> = topology.groups[0]
        .members
        .iter()
        .map(|member| &member.link)
        .collect();
    let all = (ROWS * TEXT_BYTES) as u64;
    for close_after in [all / 7, all / 3, all / 2, all - 100] {
        for link in &links {
            let cut = link
                .disturb(|faults| faults.to_source.close_after_bytes = Some(close_after))
                .await;
            cut.expect("answers will be cut");
        }
        let connection = connect(&topology, 1, "cut").await;
        let answer = ask(&connection, 7).await;
        assert_eq!(answer, Answer::Error, "cut after {close_after} bytes");
    }
    for link in &links {
        link.heal().await.expect("the link heals");
    }
    until("answers are whole again", || async {
        let connection = connect(&topology, 1, "healed").await;
        (ask(&connection, 8).await == Answer::Whole).then_some(())
    })
    .await
    .expect("answers are whole once the links are healed");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_left_half_read_does_not_reach_the_next_caller() {
    let topology = start_with_large_table().await;
    let callers = (0..CALLERS).map(|caller| {
        let topology = &topology;
        async move {
            let daemon = caller % topology.daemons.len();
            let leaver = connect(topology, daemon, "leaver").await;
            let text = format!("SELECT {caller} AS mark, id, body FROM large");
            let rows = leaver.client.simple_query_raw(&text).await.expect("rows");
            let mut rows = Box::pin(rows);
            let _ = rows.next().await;
            drop(rows);
            drop(leaver);
            let next = connect(topology, daemon, "next").await;
            ask(&next, 1_000 + caller).await
        }
    });
    let answers = futures::future::join_all(callers).await;
    assert_eq!(answers, vec![Answer::Whole; CALLERS]);
}
