//! What the application relies on at each port of the platform, shown by the
//! real adapters against the stand-in.

mod platform_support;

use platform_support::{PATIENCE, Ports, change, create, ports, snapshot};
use rstest::rstest;
use std::time::Duration;
use stilequay_coordination::identity::{NodeId, RegionName, ZoneName};
use stilequay_daemon::domain::names::Revision;
use stilequay_daemon::ports::platform::{
    Machine, MachineList, PlatformError, Precondition, ResourceTable, SnapshotStore, StoredResource,
};
use stilequay_standin::platform as standin;

async fn patient_ports() -> Ports {
    ports(PATIENCE).await
}

#[tokio::test]
async fn an_empty_table_is_at_revision_zero() {
    let table = &patient_ports().await.table;
    assert_eq!(table.head().await, Ok(Revision(0)));
    assert_eq!(table.changes(Revision(0), 10).await, Ok(vec![]));
    assert_eq!(table.get("group/a").await, Ok(None));
    assert_eq!(table.change(Revision(1)).await, Ok(None));
}

#[tokio::test]
async fn a_commit_is_seen_by_every_read() {
    let table = &patient_ports().await.table;
    create(table, "group/a", 0, "token").await.expect("absent");
    let stored = change("group/a", 1, b"group/a");
    assert_eq!(table.head().await, Ok(Revision(1)));
    assert_eq!(table.get("group/a").await, Ok(Some(stored.clone())));
    assert_eq!(
        table.changes(Revision(0), 10).await,
        Ok(vec![stored.clone()])
    );
    let logged = table
        .change(Revision(1))
        .await
        .expect("read")
        .expect("there");
    assert_eq!(logged.change, stored);
    assert_eq!(logged.request_token, "token");
}

#[rstest]
#[case::absent_but_there(Precondition::Absent, 1, "group/a")]
#[case::older_revision(Precondition::AtRevision(Revision(0)), 1, "group/a")]
#[case::never_was(Precondition::AtRevision(Revision(1)), 1, "group/b")]
#[case::log_behind(Precondition::AtRevision(Revision(1)), 0, "group/a")]
#[case::log_ahead(Precondition::AtRevision(Revision(1)), 2, "group/a")]
#[tokio::test]
async fn a_commit_whose_condition_fails_changes_nothing(
    #[case] precondition: Precondition,
    #[case] previous: u64,
    #[case] key: &str,
) {
    let table = &patient_ports().await.table;
    create(table, "group/a", 0, "first").await.expect("absent");
    let change = change(key, previous + 1, b"new");
    let result = table
        .commit(change, precondition, Revision(previous), "second")
        .await;
    assert_eq!(result, Err(PlatformError::ConditionFailed));
    assert_eq!(table.head().await, Ok(Revision(1)));
    assert_eq!(table.changes(Revision(1), 10).await, Ok(vec![]));
    assert_eq!(table.get("group/b").await, Ok(None));
}

#[tokio::test]
async fn a_deleted_resource_is_absent_and_its_deletion_logged() {
    let table = &patient_ports().await.table;
    create(table, "group/a", 0, "first").await.expect("absent");
    let deletion = StoredResource {
        body: None,
        ..change("group/a", 2, b"")
    };
    let precondition = Precondition::AtRevision(Revision(1));
    let deleted = table
        .commit(deletion.clone(), precondition, Revision(1), "second")
        .await;
    assert_eq!(deleted, Ok(()));
    assert_eq!(table.get("group/a").await, Ok(None));
    assert_eq!(table.changes(Revision(1), 10).await, Ok(vec![deletion]));
    create(table, "group/a", 2, "third")
        .await
        .expect("absent again");
}

#[tokio::test]
async fn changes_come_in_order_and_in_pages() {
    let table = &patient_ports().await.table;
    for previous in 0..12 {
        let key = format!("group/{previous}");
        create(table, &key, previous, &key).await.expect("absent");
    }
    let page = table.changes(Revision(8), 3).await.expect("read");
    let revisions: Vec<_> = page.iter().map(|change| change.revision.0).collect();
    assert_eq!(revisions, [9, 10, 11]);
}

#[tokio::test]
async fn a_repeated_commit_takes_effect_once() {
    let table = &patient_ports().await.table;
    for _ in 0..3 {
        create(table, "group/a", 0, "token")
            .await
            .expect("the same commit");
    }
    assert_eq!(table.head().await, Ok(Revision(1)));
}

#[tokio::test]
async fn of_racing_commits_one_takes_effect() {
    let table = &patient_ports().await.table;
    let races = (0..8).map(|racer| async move {
        let key = format!("group/{racer}");
        create(table, &key, 0, &key).await
    });
    let results = futures::future::join_all(races).await;
    let won = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(won, 1);
    let lost = Err(PlatformError::ConditionFailed);
    assert_eq!(results.iter().filter(|result| **result == lost).count(), 7);
    assert_eq!(table.head().await, Ok(Revision(1)));
}

#[tokio::test]
async fn an_older_snapshot_never_replaces_a_later_one() {
    let snapshots = &patient_ports().await.snapshots;
    assert_eq!(snapshots.latest().await, Ok(None));
    for revision in [3, 7, 5] {
        snapshots
            .store(snapshot(revision))
            .await
            .expect("stored or passed over");
    }
    assert_eq!(snapshots.latest().await, Ok(Some(snapshot(7))));
}

#[tokio::test]
async fn the_latest_of_racing_snapshots_stays() {
    let snapshots = &patient_ports().await.snapshots;
    let races = (1..=4).map(|revision| snapshots.store(snapshot(revision)));
    let results = futures::future::join_all(races).await;
    assert_eq!(results, vec![Ok(()); 4]);
    assert_eq!(snapshots.latest().await, Ok(Some(snapshot(4))));
}

#[tokio::test]
async fn machines_are_read_as_the_platform_lists_them() {
    let ports = patient_ports().await;
    assert_eq!(ports.machines.machines().await, Ok(vec![]));
    ports.platform.set_machines(vec![standin::Machine {
        node: "one".to_owned(),
        zone: "east".to_owned(),
        region: "home".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        control_address: "127.0.0.1:2".to_owned(),
        leaving: true,
    }]);
    ports.platform.set_machines_lag(Duration::from_secs(3600));
    ports.platform.set_machines(vec![]);
    let machine = Machine {
        node: NodeId::from("one"),
        zone: ZoneName::from("east"),
        region: RegionName::from("home"),
        peer_address: "127.0.0.1:1".to_owned(),
        control_address: "127.0.0.1:2".to_owned(),
        leaving: true,
    };
    assert_eq!(ports.machines.machines().await, Ok(vec![machine]));
}
