//! The platform away: what daemons have stays in force, and none goes back.

mod support;

use reqwest::StatusCode;
use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use stilequay_standin::platform::{Outage, ServiceFaults, ServiceName};
use support::documents::service;
use support::eventually;
use support::fleet::Fleet;

async fn go_away(fleet: &Fleet, outage: Outage) {
    for service in ServiceName::ALL {
        let faults = ServiceFaults {
            outage: Some(outage),
            ..ServiceFaults::default()
        };
        fleet.platform.set_faults(service, faults).await;
    }
}

async fn come_back(fleet: &Fleet) {
    for service in ServiceName::ALL {
        fleet.platform.clear_faults(service).await;
    }
}

/// Waits until every daemon has applied `version`.
async fn in_force_everywhere(fleet: &Fleet, version: u64) {
    for daemon in 0..fleet.daemons.len() {
        let path = format!("/v1/services?resourceVersion={version}");
        let operator = fleet.writer(daemon);
        eventually("the change is in force", || async {
            (operator.get(&path).await.status == StatusCode::OK).then_some(())
        })
        .await;
    }
}

#[rstest]
#[case::down(Outage::Refuse)]
#[case::hanging(Outage::Hang)]
#[case::internal_errors(Outage::Error)]
#[tokio::test]
async fn an_outage_leaves_the_configuration_in_force(#[case] outage: Outage) {
    let fleet = Fleet::start(2, &["api.request_timeout_millis=1000"]).await;
    let version = fleet
        .writer(0)
        .post("/v1/services", &service("shop"))
        .await
        .version();
    in_force_everywhere(&fleet, version).await;
    go_away(&fleet, outage).await;
    let refused = fleet.writer(0).post("/v1/services", &service("late")).await;
    assert_eq!(refused.code(), "Unavailable", "{refused:?}");
    for daemon in 0..2 {
        let operator = fleet.writer(daemon);
        assert_eq!(operator.get("/readyz").await.status, StatusCode::OK);
        assert_eq!(operator.get("/v1/services/shop").await.version(), version);
    }
    come_back(&fleet).await;
    let accepted = eventually("a change is accepted again", || async {
        let answer = fleet
            .writer(1)
            .post("/v1/services", &service("after"))
            .await;
        (answer.status == StatusCode::CREATED).then_some(answer)
    })
    .await;
    assert_eq!(
        accepted.version(),
        version + 1,
        "the refused change is not there"
    );
    in_force_everywhere(&fleet, accepted.version()).await;
    fleet.stop().await;
}

#[tokio::test]
async fn a_daemon_restarted_in_an_outage_has_what_its_peers_have() {
    let mut fleet = Fleet::start(4, &[]).await;
    let created = fleet.writer(0).post("/v1/services", &service("shop")).await;
    let patch = json!({ "spec": { "maxInFlight": 9 } });
    let patched = fleet.writer(1).patch("/v1/services/shop", &patch).await;
    assert!(patched.version() > created.version());
    in_force_everywhere(&fleet, patched.version()).await;
    for service in [ServiceName::Table, ServiceName::Objects] {
        let faults = ServiceFaults {
            outage: Some(Outage::Refuse),
            ..ServiceFaults::default()
        };
        fleet.platform.set_faults(service, faults).await;
    }
    let last = fleet.daemons.pop().expect("a daemon");
    last.stop().await;
    fleet.add_daemon(&[]).await;
    let found = fleet.writer(3).get("/v1/services/shop").await;
    assert_eq!(found.version(), patched.version());
    assert_eq!(found.body["spec"]["maxInFlight"], 9);
    come_back(&fleet).await;
    fleet.stop().await;
}

#[tokio::test]
async fn a_daemon_without_platform_and_peers_serves_nobody() {
    let mut fleet = Fleet::start(1, &[]).await;
    let version = fleet
        .writer(0)
        .post("/v1/services", &service("shop"))
        .await
        .version();
    let only = fleet.daemons.pop().expect("a daemon");
    only.stop().await;
    let down = ServiceFaults {
        outage: Some(Outage::Error),
        ..ServiceFaults::default()
    };
    fleet.platform.set_faults(ServiceName::Table, down).await;
    fleet.platform.reset_counters(ServiceName::Table);
    fleet.start_daemon(&[]).await;
    fleet.list_machines();
    eventually("the daemon has asked the table service in vain", || async {
        let counters = fleet.platform.counters(ServiceName::Table);
        let failed: u64 = counters.values().map(|counters| counters.failed).sum();
        (failed >= 5).then_some(())
    })
    .await;
    let operator = fleet.writer(0);
    assert_eq!(
        operator.get("/readyz").await.status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(operator.get("/healthz").await.status, StatusCode::OK);
    assert_eq!(
        operator.get("/v1/services/shop").await.code(),
        "Unavailable"
    );
    let ready = tokio::time::timeout(Duration::ZERO, fleet.daemons[0].ready()).await;
    assert!(ready.is_err(), "it must not serve");

    come_back(&fleet).await;
    fleet.daemons[0].ready().await;
    assert_eq!(operator.get("/v1/services/shop").await.version(), version);
    fleet.stop().await;
}

#[tokio::test]
async fn a_fleet_that_was_replaced_as_a_whole_has_everything() {
    let mut fleet = Fleet::start(2, &[]).await;
    let mut version = 0;
    for name in ["a", "b", "c"] {
        version = fleet
            .writer(0)
            .post("/v1/services", &service(name))
            .await
            .version();
    }
    fleet.writer(1).delete("/v1/services/b").await;
    while let Some(daemon) = fleet.daemons.pop() {
        daemon.stop().await;
    }
    fleet.start_daemon(&[]).await;
    fleet.start_daemon(&[]).await;
    fleet.list_machines();
    for daemon in &fleet.daemons {
        daemon.ready().await;
    }
    let list = fleet.writer(1).get("/v1/services").await.body;
    assert_eq!(list["resourceVersion"], (version + 1).to_string());
    let names = list["items"].as_array().expect("items").iter();
    let names: Vec<_> = names.map(|item| &item["metadata"]["name"]).collect();
    assert_eq!(names, ["a", "c"]);
    fleet.stop().await;
}

/// The platform's list names machines that are long gone.
#[tokio::test]
async fn a_daemon_whose_listed_peers_are_gone_still_starts() {
    let mut fleet = Fleet::start(2, &[]).await;
    let version = fleet
        .writer(0)
        .post("/v1/services", &service("shop"))
        .await
        .version();
    for daemon in std::mem::take(&mut fleet.daemons) {
        daemon.stop().await;
    }
    // The list still has the two that were stopped; it lags behind.
    fleet.start_daemon(&["node.id=newcomer"]).await;
    fleet.daemons[0].ready().await;
    assert_eq!(
        fleet.writer(0).get("/v1/services/shop").await.version(),
        version
    );
    fleet.stop().await;
}
