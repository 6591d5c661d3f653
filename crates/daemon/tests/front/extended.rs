//! Extended queries and prepared statements over shared connections.

use super::home::Fault;
use super::proxy::{Proxy, Setup, sqlstate};
use stilequay_daemon::domain::exchange::{Access, RunUnit};

fn statement_names(runs: &[RunUnit]) -> Vec<String> {
    let statements = runs.iter().flat_map(|run| &run.statements);
    statements.map(|it| it.name.clone()).collect()
}

#[tokio::test]
async fn a_statement_has_the_same_name_for_all_callers() {
    let proxy = Proxy::start().await;
    let text = "SELECT name FROM kits WHERE id = $1";
    for _ in 0..2 {
        let client = proxy.connect().await;
        let statement = client.prepare(text).await.unwrap();
        let row = client.query_one(&statement, &[&"1"]).await.unwrap();
        assert_eq!(row.get::<_, &str>(0), "executed");
    }
    let record = proxy.homes.wait_for(|it| it.releases == 4).await;
    let names = statement_names(&record.runs);
    assert_eq!(names.len(), 4);
    assert!(names[0].starts_with("stilequay_"));
    assert!(names.iter().all(|name| *name == names[0]));
    let statement = &record.runs[0].statements[0];
    assert_eq!(statement.text, text);
}

#[tokio::test]
async fn units_are_classified_by_the_statements_they_run() {
    let proxy = Proxy::start().await;
    let client = proxy.connect().await;
    let write = client
        .prepare("INSERT INTO kits VALUES ($1)")
        .await
        .unwrap();
    let read = client
        .prepare("SELECT name FROM kits WHERE id = $1")
        .await
        .unwrap();
    client.query(&write, &[&"1"]).await.unwrap();
    client.query(&read, &[&"1"]).await.unwrap();
    let runs = proxy.homes.record().runs;
    let writes: Vec<_> = runs.iter().map(|run| run.access == Access::Write).collect();
    assert_eq!(writes, [false, false, true, false]);
}

#[tokio::test]
async fn closing_a_statement_asks_no_home() {
    let proxy = Proxy::start().await;
    let client = proxy.connect().await;
    drop(client.prepare("SELECT $1").await.unwrap());
    client.batch_execute("SELECT 1").await.unwrap();
    assert_eq!(proxy.homes.record().runs.len(), 2);
}

#[tokio::test]
async fn a_statement_that_fails_to_parse_is_not_kept() {
    let proxy = Proxy::start().await;
    let client = proxy.connect().await;
    let error = client.prepare("SELECT syntax error").await.unwrap_err();
    assert_eq!(sqlstate(&error), "42601");
    let statement = client.prepare("SELECT $1").await.unwrap();
    client.query_one(&statement, &[&"1"]).await.unwrap();
}

#[tokio::test]
async fn a_prepared_read_is_run_at_another_home_when_one_is_lost() {
    let setup = Setup {
        faults: vec![None, Some(Fault::LostBeforeAnswer)],
        ..Setup::default()
    };
    let proxy = setup.start().await;
    let client = proxy.connect().await;
    let statement = client.prepare("SELECT $1").await.unwrap();
    client.query_one(&statement, &[&"1"]).await.unwrap();
    let record = proxy.homes.record();
    assert_eq!(record.runs.len(), 3);
    assert_eq!(record.runs[1].payload, record.runs[2].payload);
}

#[tokio::test]
async fn copy_is_refused_when_it_is_prepared() {
    let proxy = Proxy::start().await;
    let client = proxy.connect().await;
    let error = client.prepare("COPY kits TO STDOUT").await.unwrap_err();
    assert_eq!(sqlstate(&error), "0A000");
    client.batch_execute("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn settings_of_the_proxy_can_be_changed_by_extended_queries() {
    let proxy = Proxy::start().await;
    let client = proxy.connect().await;
    client
        .execute("SET stilequay.session = 'rider-7'", &[])
        .await
        .unwrap();
    assert_eq!(proxy.homes.record().opens.len(), 0);
    client.batch_execute("SELECT 1").await.unwrap();
    let opens = proxy.homes.record().opens;
    assert_eq!(opens[0].1.session, Some("rider-7".into()));
}

#[tokio::test]
async fn many_clients_share_prepared_statements_without_an_error() {
    let proxy = std::sync::Arc::new(Proxy::start().await);
    let clients = (0..20).map(|_| {
        let proxy = proxy.clone();
        tokio::spawn(async move {
            let client = proxy.connect().await;
            let statement = client.prepare("SELECT $1").await.unwrap();
            for _ in 0..20 {
                client.query_one(&statement, &[&"1"]).await.unwrap();
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        client.await.unwrap();
    }
    let record = proxy.homes.wait_for(|it| it.releases == 20 * 21).await;
    assert_eq!(record.drops, 0);
}
