//! What is told to be in force is in force on every daemon.

mod support;

use serde_json::Value;
use support::documents::{group, service};
use support::eventually;
use support::fleet::Fleet;

fn condition<'a>(document: &'a Value, name: &str) -> &'a Value {
    let conditions = document["status"]["conditions"].as_array();
    let mut conditions = conditions.into_iter().flatten();
    conditions
        .find(|condition| condition["type"] == name)
        .unwrap_or(&Value::Null)
}

#[tokio::test]
async fn an_accepted_change_comes_into_force_on_every_daemon() {
    let fleet = Fleet::start(3, &[]).await;
    let created = fleet.writer(0).post("/v1/services", &service("shop")).await;
    let version = created.version();
    assert_eq!(condition(&created.body, "Accepted")["status"], "True");
    for daemon in 0..3 {
        let operator = fleet.writer(daemon);
        let document = eventually("the change is in force everywhere", || async {
            let answer = operator.get("/v1/services/shop").await;
            let in_force = condition(&answer.body, "InForce")["status"] == "True";
            let counted = answer.body["status"]["daemonsInForce"] == 3;
            (in_force && counted).then_some(answer.body)
        })
        .await;
        assert_eq!(document["status"]["daemonsTotal"], 3);
        assert!(condition(&document, "InForce")["since"].is_string());
        let path = format!("/v1/services/shop?resourceVersion={version}");
        assert_eq!(operator.get(&path).await.version(), version);
    }
    fleet.stop().await;
}

#[tokio::test]
async fn a_daemon_that_starts_late_has_everything_before_it_serves() {
    let mut fleet = Fleet::start(2, &[]).await;
    fleet
        .writer(0)
        .post("/v1/databasegroups", &group("orders"))
        .await;
    let created = fleet.writer(1).post("/v1/services", &service("shop")).await;
    fleet.add_daemon(&[]).await;
    let status = fleet.writer(2).get("/v1/status").await.body;
    assert_eq!(status["resourceVersion"], created.version().to_string());
    let found = fleet.writer(2).get("/v1/databasegroups/orders").await;
    assert_eq!(found.version(), 1);
    fleet.stop().await;
}

#[tokio::test]
async fn the_status_tells_the_fleet() {
    let fleet = Fleet::start(3, &[]).await;
    let operator = fleet.writer(0);
    let status = eventually("all daemons are known", || async {
        let status = operator.get("/v1/status").await.body;
        let daemons = status["daemons"].as_array().map(Vec::len);
        (daemons == Some(3)).then_some(status)
    })
    .await;
    assert_eq!(status["node"], "daemon-0");
    assert_eq!(status["caughtUp"], true);
    fleet.stop().await;
}
