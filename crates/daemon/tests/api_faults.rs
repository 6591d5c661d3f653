//! Fault table of changes: what the platform does, and what the operator is told.
//!
//! Whatever is told must be true afterwards: an accepted change is there once, a
//! refused one is not, and an unknown one can be asked for.

mod support;

use reqwest::StatusCode;
use rstest::rstest;
use serde_json::json;
use std::num::NonZeroU32;
use stilequay_standin::platform::{
    AnswerLoss, LossMoment, LossSelection, Outage, ServiceFaults, ServiceName,
};
use support::documents::service;
use support::eventually;
use support::fleet::Fleet;
use support::operator::{Answer, Operator};

/// The operation that commits a change.
const COMMIT: &str = "TransactWriteItems";
/// The operation that reads one item.
const READ: &str = "GetItem";
/// Time for changes that must succeed in spite of faults; generous, for busy machines.
const LONG: u64 = 60_000;
/// Time for changes that can't succeed.
const SHORT: u64 = 2_000;

/// What the operator must be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    /// The change is accepted.
    Accepted,
    /// Nothing was changed.
    Refused,
    /// Either, but the truth.
    Truth,
}

fn outage(outage: Outage) -> ServiceFaults {
    ServiceFaults {
        outage: Some(outage),
        ..ServiceFaults::default()
    }
}

fn lost(count: u32, moment: LossMoment, operation: &str) -> ServiceFaults {
    ServiceFaults {
        answer_loss: Some(AnswerLoss {
            selection: LossSelection::Next(count),
            moment,
            operations: vec![operation.to_owned()],
        }),
        ..ServiceFaults::default()
    }
}

fn lost_at_random(probability: f64, moment: LossMoment) -> ServiceFaults {
    ServiceFaults {
        answer_loss: Some(AnswerLoss {
            selection: LossSelection::Random {
                probability,
                seed: 11,
            },
            moment,
            operations: Vec::new(),
        }),
        ..ServiceFaults::default()
    }
}

fn slow(before_millis: u64, after_millis: u64) -> ServiceFaults {
    ServiceFaults {
        latency_millis: before_millis,
        answer_latency_millis: after_millis,
        ..ServiceFaults::default()
    }
}

fn throttled(calls_per_second: u32) -> ServiceFaults {
    ServiceFaults {
        calls_per_second: NonZeroU32::new(calls_per_second),
        ..ServiceFaults::default()
    }
}

#[rstest]
#[case::no_fault(ServiceFaults::default(), LONG, Told::Accepted)]
#[case::down(outage(Outage::Refuse), SHORT, Told::Refused)]
#[case::internal_errors(outage(Outage::Error), SHORT, Told::Refused)]
#[case::hanging(outage(Outage::Hang), SHORT, Told::Refused)]
#[case::slow_to_act(slow(300, 0), LONG, Told::Accepted)]
#[case::slow_to_answer(slow(0, 300), LONG, Told::Accepted)]
#[case::throttled(throttled(1), SHORT, Told::Truth)]
#[case::read_answer_lost(lost(1, LossMoment::AfterEffect, READ), LONG, Told::Accepted)]
#[case::lost_before_effect(lost(1, LossMoment::BeforeEffect, COMMIT), LONG, Told::Accepted)]
#[case::lost_after_effect(lost(1, LossMoment::AfterEffect, COMMIT), LONG, Told::Accepted)]
#[case::lost_thrice(lost(3, LossMoment::BeforeEffect, COMMIT), LONG, Told::Accepted)]
#[case::never_answered(lost(u32::MAX, LossMoment::AfterEffect, COMMIT), LONG, Told::Accepted)]
#[case::half_of_all_lost(lost_at_random(0.5, LossMoment::AfterEffect), LONG, Told::Accepted)]
#[case::half_of_all_dropped(lost_at_random(0.5, LossMoment::BeforeEffect), LONG, Told::Accepted)]
#[tokio::test]
async fn a_creation_under_a_fault_is_told_truly(
    #[case] faults: ServiceFaults,
    #[case] timeout_millis: u64,
    #[case] expected: Told,
) {
    let timeout = format!("api.request_timeout_millis={timeout_millis}");
    let fleet = Fleet::start(1, &[&timeout]).await;
    let operator = fleet.writer(0);
    fleet.platform.set_faults(ServiceName::Table, faults).await;
    let answer = operator.post("/v1/services", &service("shop")).await;
    fleet.platform.clear_faults(ServiceName::Table).await;

    let accepted = answer.status == StatusCode::CREATED;
    match expected {
        Told::Accepted => assert!(accepted, "{answer:?}"),
        Told::Refused => assert_refused_for_now(&answer),
        Told::Truth if !accepted => assert_refused_for_now(&answer),
        Told::Truth => {}
    }
    let changes = u64::from(accepted);
    assert_eq!(changes_until_now(&operator).await, changes, "{answer:?}");
    let found = operator.get("/v1/services/shop").await;
    assert_eq!(found.status == StatusCode::OK, accepted, "{answer:?}");
    fleet.stop().await;
}

/// Refused for the moment, with when to come back.
fn assert_refused_for_now(answer: &Answer) {
    let codes = ["Unavailable", "Throttled"];
    assert!(codes.contains(&answer.code()), "{answer:?}");
    assert!(answer.retry_after.is_some(), "{answer:?}");
}

/// How many changes were made before this one, which marks the end of the log.
async fn changes_until_now(operator: &Operator) -> u64 {
    let marker = eventually("a marker is accepted", || async {
        let answer = operator.post("/v1/services", &service("marker")).await;
        (answer.status == StatusCode::CREATED).then_some(answer)
    })
    .await;
    let version = marker.version();
    let path = format!("/v1/services/marker?resourceVersion={version}");
    assert_eq!(operator.get(&path).await.status, StatusCode::OK);
    version - 1
}

/// The commit's answer is lost and the platform goes down before it can be asked.
#[rstest]
#[case::after_effect(LossMoment::AfterEffect, "accepted")]
#[case::before_effect(LossMoment::BeforeEffect, "refused")]
#[tokio::test]
async fn an_unknown_outcome_is_told_as_such_and_can_be_asked_for(
    #[case] moment: LossMoment,
    #[case] expected: &str,
) {
    let settings = [
        "api.request_timeout_millis=10000",
        "platform.call_timeout_millis=30000",
    ];
    let fleet = Fleet::start(1, &settings).await;
    let operator = fleet.writer(0);
    fleet.platform.reset_counters(ServiceName::Table);
    // Slow enough for the platform to go down between the commit and the question for it.
    let faults = ServiceFaults {
        latency_millis: 4_000,
        ..lost(u32::MAX, moment, COMMIT)
    };
    fleet.platform.set_faults(ServiceName::Table, faults).await;
    let writer = operator.clone();
    let change = tokio::spawn(async move { writer.post("/v1/services", &service("shop")).await });
    eventually("the commit's answer is lost", || async {
        let counters = fleet.platform.counters(ServiceName::Table);
        counters
            .get(COMMIT)
            .filter(|counters| counters.answers_lost > 0)
            .map(|_| ())
    })
    .await;
    let down = outage(Outage::Refuse);
    fleet.platform.set_faults(ServiceName::Table, down).await;
    let answer = change.await.expect("an answer");
    assert_eq!(answer.code(), "OutcomeUnknown", "{answer:?}");
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    let ask = answer.body["error"]["ask"].as_str().expect("where to ask");
    assert_eq!(operator.get(ask).await.code(), "Unavailable");

    fleet.platform.clear_faults(ServiceName::Table).await;
    let accepted = expected == "accepted";
    if !accepted {
        let open = eventually("the platform answers", || async {
            let answer = operator.get(ask).await;
            (answer.status == StatusCode::OK).then_some(answer)
        })
        .await;
        assert_eq!(
            open.body["outcome"], "open",
            "nothing has taken its version"
        );
    }
    assert_eq!(changes_until_now(&operator).await, u64::from(accepted));
    assert_eq!(operator.get(ask).await.body["outcome"], expected);
    let found = operator.get("/v1/services/shop").await;
    assert_eq!(found.status == StatusCode::OK, accepted);
    fleet.stop().await;
}

/// What one of two operators does.
#[derive(Debug, Clone, Copy)]
enum Action {
    Create(&'static str),
    Replace,
    Patch(&'static str),
    Delete,
}

async fn act(operator: Operator, action: Action, seen: serde_json::Value) -> Answer {
    let path = "/v1/services/shop";
    match action {
        Action::Create(name) => operator.post("/v1/services", &service(name)).await,
        Action::Replace => {
            let mut document = seen;
            document["spec"]["maxInFlight"] = json!(7);
            operator.put(path, &document).await
        }
        Action::Patch(field) => {
            let patch = json!({ "spec": { field: 7 } });
            operator.patch(path, &patch).await
        }
        Action::Delete => operator.delete(path).await,
    }
}

fn answers_sometimes_lost() -> ServiceFaults {
    lost_at_random(0.3, LossMoment::AfterEffect)
}

/// Two operators at two daemons at the same moment. Each row: what they do, how
/// many are accepted (least and most), and what the other may be told.
#[rstest]
#[case::one_name(Action::Create("new"), Action::Create("new"), 1, 1, &["AlreadyExists"])]
#[case::two_names(Action::Create("new"), Action::Create("other"), 2, 2, &[])]
#[case::one_version(Action::Replace, Action::Replace, 1, 1, &["Conflict"])]
#[case::two_fields(Action::Patch("maxInFlight"), Action::Patch("maxConnections"), 2, 2, &[])]
#[case::both_delete(Action::Delete, Action::Delete, 1, 1, &["NotFound"])]
#[case::patch_and_delete(Action::Patch("maxInFlight"), Action::Delete, 1, 2, &["NotFound"])]
#[case::replace_and_patch(Action::Replace, Action::Patch("maxConnections"), 1, 2, &["Conflict"])]
#[tokio::test]
async fn two_operators_at_once_both_get_the_truth(
    #[case] first: Action,
    #[case] second: Action,
    #[case] least: usize,
    #[case] most: usize,
    #[case] refusals: &[&str],
    #[values(ServiceFaults::default(), answers_sometimes_lost())] faults: ServiceFaults,
) {
    let fleet = Fleet::start(2, &["api.request_timeout_millis=60000"]).await;
    let operators = [fleet.writer(0), fleet.writer(1)];
    let base = operators[0].post("/v1/services", &service("shop")).await;
    fleet.platform.set_faults(ServiceName::Table, faults).await;
    let [one, other] = operators.clone();
    let (one, other) = tokio::join!(
        act(one, first, base.body.clone()),
        act(other, second, base.body.clone()),
    );
    fleet.platform.clear_faults(ServiceName::Table).await;

    let answers = [one, other];
    let (accepted, refused): (Vec<_>, Vec<_>) = answers
        .iter()
        .partition(|answer| answer.status.is_success());
    assert!((least..=most).contains(&accepted.len()), "{answers:?}");
    for answer in refused {
        assert!(refusals.contains(&answer.code()), "{answer:?}");
    }
    let changes = 1 + accepted.len() as u64;
    assert_eq!(
        changes_until_now(&operators[0]).await,
        changes,
        "{answers:?}"
    );
    if accepted.len() == 2 && matches!((first, second), (Action::Patch(_), Action::Patch(_))) {
        let found = operators[0].get("/v1/services/shop").await.body;
        assert_eq!(found["spec"]["maxInFlight"], 7, "the first change is kept");
        assert_eq!(
            found["spec"]["maxConnections"], 7,
            "the second change is kept"
        );
    }
    fleet.stop().await;
}
