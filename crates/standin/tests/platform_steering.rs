//! The machine list, and steering over HTTP.

mod support;

use serde_json::json;
use std::time::Duration;
use stilequay_standin::platform::steering::ServiceStatus;
use stilequay_standin::platform::{Machine, PlatformHandle};
use support::platform;

fn machine(node: &str) -> Machine {
    Machine {
        node: node.to_owned(),
        zone: "zone".to_owned(),
        region: "region".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        control_address: "127.0.0.1:2".to_owned(),
        leaving: false,
    }
}

async fn machines(platform: &PlatformHandle) -> Vec<Machine> {
    let url = format!("{}/machines", platform.machines_url());
    let answer = reqwest::get(url).await.expect("answered");
    answer.json().await.expect("machines")
}

fn control_url(platform: &PlatformHandle, path: &str) -> String {
    format!("http://{}{path}", platform.control_address())
}

#[tokio::test]
async fn a_put_list_is_seen_at_once_without_lag() {
    let platform = platform().await;
    let url = format!("{}/machines", platform.machines_url());
    let put = reqwest::Client::new().put(&url).json(&[machine("one")]);
    assert_eq!(put.send().await.expect("answered").status(), 204);
    assert_eq!(machines(&platform).await, [machine("one")]);
    let wrong = reqwest::Client::new().put(&url).json(&json!([{"node": 1}]));
    assert_eq!(wrong.send().await.expect("answered").status(), 400);
}

#[tokio::test]
async fn a_change_under_lag_is_seen_late() {
    let platform = platform().await;
    platform.set_machines(vec![machine("one")]);
    platform.set_machines_lag(Duration::from_secs(3600));
    platform.set_machines(vec![machine("two")]);
    assert_eq!(machines(&platform).await, [machine("one")]);
}

#[tokio::test]
async fn faults_are_set_and_shown_over_http() {
    let platform = platform().await;
    let client = reqwest::Client::new();
    let faults = json!({
        "outage": "error",
        "answerLoss": {"selection": {"random": {"probability": 0.5, "seed": 7}}},
    });
    let set = client.put(control_url(&platform, "/services/machines/faults"));
    let answer = set.json(&faults).send().await.expect("answered");
    assert_eq!(answer.status(), 204);
    let url = format!("{}/machines", platform.machines_url());
    assert_eq!(reqwest::get(&url).await.expect("answered").status(), 500);

    let shown = reqwest::get(control_url(&platform, "/services"))
        .await
        .expect("answered");
    let shown: Vec<ServiceStatus> = shown.json().await.expect("statuses");
    assert_eq!(shown[2].counters["GET"].failed, 1);
    let clear = client.delete(control_url(&platform, "/services/machines/faults"));
    assert_eq!(clear.send().await.expect("answered").status(), 204);
    assert_eq!(reqwest::get(&url).await.expect("answered").status(), 200);
}

#[tokio::test]
async fn unknown_faults_are_refused() {
    let platform = platform().await;
    let set = reqwest::Client::new().put(control_url(&platform, "/services/table/faults"));
    let answer = set.json(&json!({"latencySeconds": 1})).send().await;
    assert_eq!(answer.expect("answered").status(), 422);
}
