//! Steering over HTTP, and the delays that can be steered.

mod group_support;

use group_support::{connect, default_group, until, value};
use reqwest::{Client, StatusCode};
use rstest::rstest;
use std::time::{Duration, Instant};
use stilequay_standin::group::{Election, GroupHandle, MemberReport, router};
use tokio::net::TcpListener;

/// Serves the steering of `group`, and returns its address as a URL.
async fn steering(group: &GroupHandle) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("is bound");
    let router = router(group.clone());
    tokio::spawn(async move { axum::serve(listener, router).await });
    format!("http://{address}")
}

async fn post(url: &str, path: &str) -> StatusCode {
    Client::new()
        .post(format!("{url}{path}"))
        .send()
        .await
        .expect("answers")
        .status()
}

async fn put(url: &str, path: &str, body: &'static str) -> StatusCode {
    let request = Client::new().put(format!("{url}{path}")).body(body);
    let request = request.header("content-type", "application/json");
    request.send().await.expect("answers").status()
}

async fn get<T: serde::de::DeserializeOwned>(url: &str, path: &str) -> T {
    let response = Client::new()
        .get(format!("{url}{path}"))
        .send()
        .await
        .expect("answers");
    response.json().await.expect("is of the shape")
}

#[tokio::test]
async fn members_are_reported_and_steered() {
    let group = default_group().await;
    let url = steering(&group).await;
    let members: Vec<MemberReport> = get(&url, "/members").await;
    assert_eq!(members, group.reports());
    assert_eq!(
        post(&url, "/members/one/freeze").await,
        StatusCode::NO_CONTENT
    );
    assert!(group.report("one").expect("exists").condition.frozen);
    until("another member leads", || {
        group.primary().is_some_and(|name| name != "one")
    })
    .await;
    let elections: Vec<Election> = get(&url, "/elections").await;
    assert_eq!(elections, group.elections());
    assert_eq!(
        post(&url, "/members/one/thaw").await,
        StatusCode::NO_CONTENT
    );
    let one: MemberReport = get(&url, "/members/one").await;
    assert!(!one.condition.frozen);
}

#[rstest]
#[case::unknown_member("/members/four/cut", StatusCode::NOT_FOUND)]
#[case::unknown_step("/members/one/explode", StatusCode::BAD_REQUEST)]
#[case::not_killed("/members/one/restart", StatusCode::CONFLICT)]
#[tokio::test]
async fn impossible_steps_are_refused(#[case] path: &str, #[case] status: StatusCode) {
    let group = default_group().await;
    let url = steering(&group).await;
    assert_eq!(post(&url, path).await, status);
}

#[tokio::test]
async fn tunables_are_set() {
    let group = default_group().await;
    let url = steering(&group).await;
    let put = async |path, body| assert_eq!(put(&url, path, body).await, StatusCode::NO_CONTENT);
    put("/members/two/lag", r#"{"receiveMs": 5, "replayMs": 6}"#).await;
    put(
        "/members/two/delays",
        r#"{"connectionUs": 1, "networkUs": 2, "statementUs": 3}"#,
    )
    .await;
    put("/members/two/limits", r#"{"maxConnections": 7}"#).await;
    let tunables = group.report("two").expect("exists").tunables;
    assert_eq!((tunables.lag.receive_ms, tunables.lag.replay_ms), (5, 6));
    assert_eq!(tunables.delays.network_us, 2);
    assert_eq!(tunables.limits.max_connections, 7);
}

#[rstest]
#[case::network(r#"{"networkUs": 20000}"#, 40)]
#[case::statement(r#"{"statementUs": 40000}"#, 40)]
#[tokio::test]
async fn delays_take_at_least_their_time(#[case] delays: &'static str, #[case] least_ms: u64) {
    let group = default_group().await;
    let url = steering(&group).await;
    let client = connect(&group, "one").await;
    let statement = client.prepare("SELECT 1").await.expect("prepares");
    assert_eq!(
        put(&url, "/members/one/delays", delays).await,
        StatusCode::NO_CONTENT
    );
    let least = Duration::from_millis(least_ms);
    let began = Instant::now();
    value(&client, "SELECT 1").await;
    assert!(began.elapsed() >= least);
    let began = Instant::now();
    client.query_one(&statement, &[]).await.expect("selects");
    assert!(began.elapsed() >= least);
}

#[tokio::test]
async fn opening_a_connection_takes_at_least_its_cost() {
    let group = default_group().await;
    let url = steering(&group).await;
    let delays = r#"{"connectionUs": 30000}"#;
    assert_eq!(
        put(&url, "/members/one/delays", delays).await,
        StatusCode::NO_CONTENT
    );
    let began = Instant::now();
    connect(&group, "one").await;
    assert!(began.elapsed() >= Duration::from_millis(30));
}
