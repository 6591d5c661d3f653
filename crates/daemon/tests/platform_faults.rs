//! Faults of the platform, by fault and by port.

mod platform_support;

use platform_support::{
    FOREVER_MILLIS, PATIENCE, Ports, create, kind, lose_next, outage, ports, snapshot,
};
use rstest::rstest;
use std::time::Duration;
use stilequay_daemon::domain::names::Revision;
use stilequay_daemon::ports::platform::{MachineList, ResourceTable, SnapshotStore};
use stilequay_standin::platform::{
    LossMoment, Outage, PlatformHandle, ServiceFaults, ServiceName, ThrottledLimit,
};

/// Timeout of calls that are meant to pass it.
const SHORT: Duration = Duration::from_millis(300);

fn slow() -> ServiceFaults {
    ServiceFaults {
        latency_millis: FOREVER_MILLIS,
        ..ServiceFaults::default()
    }
}

fn slow_answer() -> ServiceFaults {
    ServiceFaults {
        answer_latency_millis: FOREVER_MILLIS,
        ..ServiceFaults::default()
    }
}

fn account_throttled() -> ServiceFaults {
    ServiceFaults {
        throttled_limit: ThrottledLimit::Account,
        ..outage(Outage::Throttle)
    }
}

fn before_effect(count: u32) -> ServiceFaults {
    lose_next(count, LossMoment::BeforeEffect)
}

fn after_effect(count: u32) -> ServiceFaults {
    lose_next(count, LossMoment::AfterEffect)
}

/// Repeats the same commit until it is answered, as a caller that resolves a
/// lost answer does.
async fn resolve(ports: &Ports) {
    let resolved = async {
        while create(&ports.table, "group/a", 0, "token").await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(PATIENCE, resolved)
        .await
        .expect("resolved in time");
}

#[rstest]
#[case::no_fault(ServiceFaults::default(), PATIENCE, "ok")]
#[case::refused(outage(Outage::Refuse), PATIENCE, "unavailable")]
#[case::hung(outage(Outage::Hang), SHORT, "outcome unknown")]
#[case::failing(outage(Outage::Error), PATIENCE, "outcome unknown")]
#[case::throttled_table(outage(Outage::Throttle), PATIENCE, "throttled")]
#[case::throttled_account(account_throttled(), PATIENCE, "throttled")]
#[case::slow(slow(), SHORT, "outcome unknown")]
#[case::slow_answer(slow_answer(), SHORT, "outcome unknown")]
#[case::lost_before_effect(before_effect(1), PATIENCE, "outcome unknown")]
#[case::lost_after_effect(after_effect(1), PATIENCE, "outcome unknown")]
#[case::lost_twice(after_effect(2), PATIENCE, "outcome unknown")]
#[tokio::test]
async fn a_commit_tells_the_truth_and_takes_effect_once(
    #[case] faults: ServiceFaults,
    #[case] call_timeout: Duration,
    #[case] expected: &str,
) {
    let ports = ports(call_timeout).await;
    ports.platform.set_faults(ServiceName::Table, faults).await;
    let result = create(&ports.table, "group/a", 0, "token").await;
    assert_eq!(kind(&result), expected);
    ports.platform.clear_faults(ServiceName::Table).await;
    resolve(&ports).await;
    assert_eq!(ports.table.head().await, Ok(Revision(1)));
    let changes = ports.table.changes(Revision(0), 10).await.expect("read");
    assert_eq!(changes.len(), 1);
}

/// A commit that was refused, or that the service never ran, is not there.
#[rstest]
#[case::refused(outage(Outage::Refuse))]
#[case::failing(outage(Outage::Error))]
#[case::throttled(outage(Outage::Throttle))]
#[case::lost_before_effect(before_effect(1))]
#[tokio::test]
async fn a_commit_that_did_not_run_leaves_nothing(#[case] faults: ServiceFaults) {
    let ports = ports(PATIENCE).await;
    ports.platform.set_faults(ServiceName::Table, faults).await;
    create(&ports.table, "group/a", 0, "token")
        .await
        .expect_err("faulty");
    ports.platform.clear_faults(ServiceName::Table).await;
    assert_eq!(ports.table.head().await, Ok(Revision(0)));
}

/// After a lost answer the log tells by the token whose change took effect.
#[rstest]
#[case::own(LossMoment::AfterEffect, "lost")]
#[case::other(LossMoment::BeforeEffect, "other")]
#[tokio::test]
async fn the_log_tells_whose_change_took_effect(#[case] moment: LossMoment, #[case] by: &str) {
    let ports = ports(PATIENCE).await;
    let faults = lose_next(1, moment);
    ports.platform.set_faults(ServiceName::Table, faults).await;
    let lost = create(&ports.table, "group/a", 0, "lost").await;
    assert_eq!(kind(&lost), "outcome unknown");
    let other = create(&ports.table, "group/b", 0, "other").await;
    assert_eq!(other.is_ok(), by == "other");
    let logged = ports
        .table
        .change(Revision(1))
        .await
        .expect("read")
        .expect("there");
    assert_eq!(logged.request_token, by);
}

/// A commit that hangs and whose caller gives up still takes effect later, or
/// not at all when another change was first.
#[rstest]
#[case::alone(false, "token")]
#[case::overtaken(true, "other")]
#[tokio::test]
async fn a_late_commit_keeps_its_condition(#[case] overtaken: bool, #[case] by: &str) {
    let ports = ports(SHORT).await;
    let platform = &ports.platform;
    let hidden = match overtaken {
        true => slow(),
        false => outage(Outage::Hang),
    };
    platform.set_faults(ServiceName::Table, hidden).await;
    let given_up = create(&ports.table, "group/a", 0, "token").await;
    assert_eq!(kind(&given_up), "outcome unknown");
    platform.clear_faults(ServiceName::Table).await;
    if overtaken {
        let other = create(&ports.table, "group/a", 0, "other").await;
        assert_eq!(kind(&other), "ok");
    }
    let logged = tokio::time::timeout(PATIENCE, first_change(&ports.table));
    assert_eq!(logged.await.expect("in time"), by);
}

async fn first_change(table: &impl ResourceTable) -> String {
    loop {
        if let Ok(Some(logged)) = table.change(Revision(1)).await {
            return logged.request_token;
        }
    }
}

#[rstest]
#[case::refused(outage(Outage::Refuse), SHORT, "unavailable")]
#[case::hung(outage(Outage::Hang), SHORT, "unavailable")]
#[case::failing(outage(Outage::Error), SHORT, "unavailable")]
#[case::throttled(outage(Outage::Throttle), SHORT, "throttled")]
#[case::lost_once(before_effect(1), PATIENCE, "ok")]
#[case::lost_twice(after_effect(2), PATIENCE, "ok")]
#[tokio::test]
async fn reads_are_repeated_within_their_time(
    #[case] faults: ServiceFaults,
    #[case] call_timeout: Duration,
    #[case] expected: &str,
) {
    let ports = ports(call_timeout).await;
    for service in ServiceName::ALL {
        ports.platform.set_faults(service, faults.clone()).await;
    }
    let (head, latest, machines) = tokio::join!(
        ports.table.head(),
        ports.snapshots.latest(),
        ports.machines.machines(),
    );
    let kinds = [kind(&head), kind(&latest), kind(&machines)];
    assert_eq!(kinds, [expected; 3]);
}

#[rstest]
#[case::refused(outage(Outage::Refuse), SHORT, "unavailable")]
#[case::throttled(outage(Outage::Throttle), SHORT, "throttled")]
#[case::lost_before_effect(before_effect(2), PATIENCE, "ok")]
#[case::lost_after_effect(after_effect(2), PATIENCE, "ok")]
#[tokio::test]
async fn a_snapshot_is_stored_in_spite_of_lost_answers(
    #[case] faults: ServiceFaults,
    #[case] call_timeout: Duration,
    #[case] expected: &str,
) {
    let ports = ports(call_timeout).await;
    ports
        .platform
        .set_faults(ServiceName::Objects, faults)
        .await;
    assert_eq!(kind(&ports.snapshots.store(snapshot(1)).await), expected);
    ports.platform.clear_faults(ServiceName::Objects).await;
    if expected == "ok" {
        assert_eq!(ports.snapshots.latest().await, Ok(Some(snapshot(1))));
    }
}

#[tokio::test]
async fn storing_a_snapshot_in_a_hung_store_ends_in_time() {
    let ports = ports(SHORT).await;
    let faults = outage(Outage::Hang);
    ports
        .platform
        .set_faults(ServiceName::Objects, faults)
        .await;
    let stored = ports.snapshots.store(snapshot(1)).await;
    // Which of the two it is depends on whose timeout is noticed first.
    assert!(matches!(kind(&stored), "unavailable" | "outcome unknown"));
}

fn received(platform: &PlatformHandle) -> u64 {
    let counters = platform.counters(ServiceName::Table);
    counters.values().map(|operation| operation.received).sum()
}

#[tokio::test]
async fn an_open_circuit_spares_the_platform_until_it_answers_again() {
    let ports = ports(PATIENCE).await;
    ports
        .platform
        .set_faults(ServiceName::Table, outage(Outage::Error))
        .await;
    let mut results = Vec::new();
    for call in 0..20 {
        let key = format!("group/{call}");
        results.push(kind(&create(&ports.table, &key, 0, &key).await));
    }
    assert_eq!(results[..5], ["outcome unknown"; 5]);
    assert!(
        results[5..].contains(&"unavailable"),
        "the circuit refuses calls"
    );
    let sent = results
        .iter()
        .filter(|kind| **kind == "outcome unknown")
        .count();
    assert_eq!(received(&ports.platform), sent as u64);
    ports.platform.clear_faults(ServiceName::Table).await;
    resolve(&ports).await;
}
