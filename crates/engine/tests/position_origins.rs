//! What events and metrics tell about where the log position that a read required came from.

mod support;

use serde_json::{Value, json};
use std::time::Duration;
use support::records::Fault;
use support::telemetry::{Counters, capture_log, events};
use support::{BOUNDED_DATABASE, Fleet, OWN_DATABASE, STALENESS};
use tokio::time::sleep;

fn origins() -> Vec<Value> {
    let requests = events("request").into_iter();
    let reads = requests.filter(|request| request["statement"] == "read");
    reads.map(|read| read["after_origin"].clone()).collect()
}

#[tokio::test(start_paused = true)]
async fn read_at_a_position_of_the_leader_names_it_and_the_session_floor() {
    let fleet = Fleet::start(1).await;
    let mut own = fleet.session(0, OWN_DATABASE);
    let mut bounded = fleet.session(0, BOUNDED_DATABASE);
    own.write("x 1").await;
    capture_log();
    bounded.read("x").await;
    own.write("x 2").await;
    own.read("x").await;
    let origins = origins();
    assert_eq!(origins[0]["source"], "leader", "{origins:?}");
    assert_eq!(origins[0]["session_floor"], Value::Null);
    assert_eq!(origins[1]["source"], "leader");
    assert_eq!(origins[1]["session_floor"], true);
    assert_eq!(origins[1]["epoch"], 0);
    assert!(origins[1]["age_ms"].as_u64().expect("an age") < 100);
}

#[tokio::test(start_paused = true)]
async fn read_at_a_surveyed_position_is_written_with_the_answers_behind_it() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, BOUNDED_DATABASE);
    fleet.session(0, OWN_DATABASE).write("x 1").await;
    // Without the store, no member can be promoted.
    fleet.records.set_fault(Fault::Refusing);
    fleet.world.crash("a");
    sleep(STALENESS * 2).await;
    capture_log();
    let counters = Counters::default();
    let _captured = counters.capture();
    for _ in 0..40 {
        client.read("x").await.outcome.expect("rows");
    }
    let origins = origins();
    assert_eq!(origins.len(), 40);
    assert!(origins.iter().all(|origin| origin["source"] == "survey"));
    let labels = [("source", "survey"), ("bound", "staleness")];
    assert_eq!(
        counters.sum("stilequay_required_positions_total", &labels),
        40
    );
    let surveys = events("position_survey");
    let survey = &surveys[0];
    assert_eq!(survey["result"], "accepted");
    assert_eq!(
        (&survey["group"], &survey["epoch"]),
        (&json!("ledger"), &json!(0))
    );
    assert_eq!(survey["may_be_unknown"], 1);
    let member = |id: &str| {
        let members = survey["members"].as_array().expect("members").iter();
        let mut members = members.filter(|member| member["member"] == id);
        members.next().expect("the member")
    };
    assert_eq!(member("a")["counted"], "unknown");
    assert_eq!(member("b")["counted"], "reported");
    assert_eq!(
        member("b")["response"]["report"]["received"],
        survey["position"]
    );
    let accepted = [("result", "accepted")];
    let accepted = counters.sum("stilequay_position_surveys_total", &accepted);
    assert_eq!(accepted, surveys.len() as u64);
}

#[tokio::test(start_paused = true)]
async fn statements_of_a_transaction_name_the_position_with_which_it_was_opened() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, BOUNDED_DATABASE);
    fleet.session(0, OWN_DATABASE).write("x 1").await;
    capture_log();
    client.begin(true).await;
    client.read("x").await;
    client.read("y").await;
    let origins = origins();
    assert_eq!(origins.len(), 2);
    assert_eq!(origins[0]["source"], "leader");
    assert_eq!(origins[0], origins[1]);
}

#[tokio::test(start_paused = true)]
async fn rejected_survey_names_the_higher_known_position() {
    let fleet = Fleet::start(1).await;
    let mut writer = fleet.session(0, OWN_DATABASE);
    let mut client = fleet.session(0, BOUNDED_DATABASE);
    writer.write("x 1").await;
    fleet
        .world
        .change("c", |server| server.not_receiving = true);
    writer.write("x 2").await;
    fleet.records.set_fault(Fault::Refusing);
    fleet.world.crash("a");
    // By then it counts as having left.
    sleep(Duration::from_secs(15)).await;
    // It has received a part of the log again.
    let received = fleet.world.server("c");
    fleet.world.start_empty("b");
    fleet.world.change("b", |server| {
        server.started_at = None;
        server.log = received.log;
        server.received_at = received.received_at;
    });
    capture_log();
    let _ = client.read("x").await;
    let surveys = events("position_survey");
    assert!(!surveys.is_empty());
    let rejected = surveys
        .iter()
        .find(|survey| survey["result"]["below_known"].is_object());
    let rejected = rejected.unwrap_or_else(|| panic!("{surveys:?}"));
    assert!(
        rejected["position"]["number"].as_u64()
            < rejected["result"]["below_known"]["known"]["number"].as_u64()
    );
}
