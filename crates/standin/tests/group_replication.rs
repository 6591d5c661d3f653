//! Replication, lag, elections, and members that are cut off, frozen or killed.

mod group_support;

use group_support::{
    PROBE, code, connect, default_group, eventually, rows, sql_state, try_connect, until, value,
};
use rstest::rstest;
use stilequay_standin::group::{
    ElectionSettings, GroupHandle, GroupSettings, MemberReport, ReplicationLag, Role, start,
};
use tokio_postgres::{Client, Error};

const COUNT: &str = "SELECT count(*) FROM orders";

async fn group_with_table() -> GroupHandle {
    let group = default_group().await;
    let client = connect(&group, "one").await;
    client
        .batch_execute("CREATE TABLE orders (id bigint PRIMARY KEY, note text)")
        .await
        .unwrap();
    insert(&group, "one", 0).await;
    replicated(&group).await;
    group
}

async fn insert(group: &GroupHandle, member: &str, id: i64) {
    let client = connect(group, member).await;
    let insert = "INSERT INTO orders VALUES ($1, 'note')";
    client.execute(insert, &[&id]).await.expect("inserts");
}

fn report(group: &GroupHandle, member: &str) -> MemberReport {
    group.report(member).expect("the member exists")
}

/// Waits until every member has replayed the primary's log.
async fn replicated(group: &GroupHandle) {
    until("all members have the same log", || {
        let reports = group.reports();
        let written = &reports[0].received;
        reports
            .iter()
            .all(|report| &report.replayed == written && report.term == reports[0].term)
    })
    .await;
}

async fn new_primary(group: &GroupHandle, old: &str) -> String {
    let found = || async { group.primary().filter(|primary| primary != old) };
    eventually("another member leads", found).await
}

#[tokio::test]
async fn replicas_replay_what_the_primary_commits() {
    let group = group_with_table().await;
    for member in ["two", "three"] {
        let client = connect(&group, member).await;
        assert_eq!(value(&client, COUNT).await.as_deref(), Some("1"));
        assert_eq!(sql_state(&client, "DELETE FROM orders").await, "25006");
        let locking = "SELECT * FROM orders FOR UPDATE";
        assert_eq!(sql_state(&client, locking).await, "25006");
    }
}

#[tokio::test]
async fn non_deterministic_values_are_the_same_on_all_members() {
    let group = group_with_table().await;
    let primary = connect(&group, "one").await;
    let insert = "INSERT INTO orders VALUES (1, now()), (2, random()), (3, gen_random_uuid()), \
                  (4, gen_random_uuid())";
    primary.batch_execute(insert).await.expect("inserts");
    replicated(&group).await;
    let all = "SELECT id, note FROM orders ORDER BY id";
    let written = rows(&primary, all).await;
    assert_ne!(written[3], written[4]);
    assert_eq!(rows(&connect(&group, "two").await, all).await, written);
}

#[tokio::test]
async fn lag_holds_back_receipt_and_replay() {
    let group = group_with_table().await;
    let hour = 3_600_000;
    group
        .set_lag(
            "two",
            ReplicationLag {
                receive_ms: hour,
                replay_ms: 0,
            },
        )
        .expect("exists");
    group
        .set_lag(
            "three",
            ReplicationLag {
                receive_ms: 0,
                replay_ms: hour,
            },
        )
        .expect("exists");
    let before = report(&group, "one").received;
    insert(&group, "one", 1).await;
    let written = report(&group, "one").received;
    until("three has received", || {
        report(&group, "three").received == written
    })
    .await;
    assert_eq!(report(&group, "three").replayed, before);
    assert_eq!(report(&group, "two").received, before);
    let lagging = connect(&group, "three").await;
    assert_eq!(value(&lagging, COUNT).await.as_deref(), Some("1"));
    for member in ["two", "three"] {
        group
            .set_lag(member, ReplicationLag::default())
            .expect("exists");
    }
    replicated(&group).await;
    assert_eq!(value(&lagging, COUNT).await.as_deref(), Some("2"));
}

#[rstest]
#[case::kill(GroupHandle::kill)]
#[case::freeze(GroupHandle::freeze)]
#[case::cut(GroupHandle::cut)]
#[tokio::test]
async fn a_lost_primary_is_replaced_by_the_longest_log(
    #[case] lose: fn(&GroupHandle, &str) -> Result<(), stilequay_standin::group::GroupError>,
) {
    let group = group_with_table().await;
    let hour = ReplicationLag {
        receive_ms: 3_600_000,
        replay_ms: 0,
    };
    group.set_lag("two", hour).expect("exists");
    insert(&group, "one", 1).await;
    let written = report(&group, "one").received;
    until("three has received", || {
        report(&group, "three").received == written
    })
    .await;
    lose(&group, "one").expect("exists");
    assert_eq!(new_primary(&group, "one").await, "three");
    let client = connect(&group, "three").await;
    assert_eq!(value(&client, COUNT).await.as_deref(), Some("2"));
    insert(&group, "three", 2).await;
    let elections = group.elections();
    assert_eq!(elections.len(), 1);
    assert_eq!(
        (elections[0].term, elections[0].primary.as_str()),
        (2, "three")
    );
    assert!(elections[0].missed_us >= 300_000);
    assert!(elections[0].accepting_at_us >= Some(elections[0].voted_at_us));
}

#[tokio::test]
async fn a_cut_off_primary_goes_on_at_its_old_term_and_loses_its_branch_when_healed() {
    let group = group_with_table().await;
    group.cut("one").expect("exists");
    let primary = new_primary(&group, "one").await;
    let stale = connect(&group, "one").await;
    stale
        .batch_execute("INSERT INTO orders VALUES (100, 'dead branch')")
        .await
        .expect("accepts");
    let probe = rows(&stale, PROBE).await;
    assert_eq!(probe[0][0].as_deref(), Some("f"));
    assert_eq!(probe[0][1].as_deref(), Some("1"));
    insert(&group, &primary, 1).await;
    group.heal("one").expect("exists");
    replicated(&group).await;
    until("the stale client is closed", || stale.is_closed()).await;
    let healed = report(&group, "one");
    assert_eq!((healed.role, healed.term), (Role::Replica, 2));
    let client = connect(&group, "one").await;
    let ids = rows(&client, "SELECT id FROM orders ORDER BY id").await;
    assert_eq!(ids, [[Some("0".to_owned())], [Some("1".to_owned())]]);
}

#[tokio::test]
async fn a_thawed_primary_becomes_a_replica() {
    let group = group_with_table().await;
    group.freeze("one").expect("exists");
    let primary = new_primary(&group, "one").await;
    insert(&group, &primary, 1).await;
    group.thaw("one").expect("exists");
    replicated(&group).await;
    assert_eq!(report(&group, "one").role, Role::Replica);
}

#[tokio::test]
async fn a_killed_member_refuses_clients_and_loses_nothing() {
    let group = group_with_table().await;
    let client = connect(&group, "two").await;
    group.kill("two").expect("exists");
    until("the client is closed", || client.is_closed()).await;
    assert!(try_connect(&group, "two").await.is_err());
    insert(&group, "one", 1).await;
    group.restart("two").await.expect("restarts");
    replicated(&group).await;
    let client = connect(&group, "two").await;
    assert_eq!(value(&client, COUNT).await.as_deref(), Some("2"));
    assert_eq!(group.elections().len(), 0);
}

#[tokio::test]
async fn a_member_can_be_restarted_at_once_where_it_was() {
    let group = group_with_table().await;
    let address = group.address("two").expect("exists");
    for _ in 0..20 {
        group.kill("two").expect("exists");
        group.restart("two").await.expect("restarts");
        connect(&group, "two").await;
    }
    assert_eq!(group.address("two").expect("exists"), address);
}

#[tokio::test]
async fn a_vote_shows_in_the_probe_before_the_winner_accepts_writes() {
    let election = ElectionSettings {
        promotion_ms: 3_600_000,
        ..ElectionSettings::default()
    };
    let group = start(GroupSettings {
        election,
        ..GroupSettings::default()
    })
    .await
    .unwrap();
    let (two, three) = (connect(&group, "two").await, connect(&group, "three").await);
    group.kill("one").expect("exists");
    until("a vote was held", || !group.elections().is_empty()).await;
    for client in [two, three] {
        let probe = rows(&client, PROBE).await;
        assert_eq!(probe[0][0].as_deref(), Some("t"));
        assert_eq!(probe[0][1].as_deref(), Some("2"));
        assert_eq!(sql_state(&client, "CREATE TABLE t (k int)").await, "25006");
    }
    assert_eq!(group.elections()[0].accepting_at_us, None);
}

#[tokio::test]
async fn a_minority_elects_nobody() {
    let group = group_with_table().await;
    group.kill("one").expect("exists");
    group.cut("two").expect("exists");
    group.cut("three").expect("exists");
    let three = connect(&group, "three").await;
    // Longer than any election timeout: what did not happen by then will not happen.
    three
        .batch_execute("SELECT pg_sleep(1)")
        .await
        .expect("sleeps");
    assert_eq!(group.elections().len(), 0);
    assert_eq!(report(&group, "three").term, 1);
    group.heal("two").expect("exists");
    group.heal("three").expect("exists");
    new_primary(&group, "one").await;
}

#[tokio::test]
async fn a_leaving_primary_hands_over_without_loss() {
    let group = group_with_table().await;
    let hour = ReplicationLag {
        receive_ms: 3_600_000,
        replay_ms: 3_600_000,
    };
    group.set_lag("two", hour).expect("exists");
    group.set_lag("three", hour).expect("exists");
    insert(&group, "one", 1).await;
    group.leave("one").expect("exists");
    let primary = new_primary(&group, "one").await;
    let client = connect(&group, &primary).await;
    assert_eq!(value(&client, COUNT).await.as_deref(), Some("2"));
}

#[tokio::test]
async fn connections_beyond_the_limit_are_refused() {
    let group = default_group().await;
    let limits = stilequay_standin::group::Limits { max_connections: 2 };
    group.set_limits("one", limits).expect("exists");
    let first = connect(&group, "one").await;
    let _second = connect(&group, "one").await;
    let error = try_connect(&group, "one").await.expect_err("is refused");
    assert_eq!(code(&error), "53300");
    drop(first);
    until("a place is free", || {
        report(&group, "one").open_connections < 2
    })
    .await;
    connect(&group, "one").await;
}

/// Moves one unit between two accounts, again and again until it commits.
async fn transfer(client: &mut Client, from: i64, to: i64) {
    loop {
        match try_transfer(client, from, to).await {
            Ok(()) => return,
            Err(error) => assert_eq!(code(&error), "40001"),
        }
    }
}

async fn try_transfer(client: &mut Client, from: i64, to: i64) -> Result<(), Error> {
    let transaction = client.transaction().await?;
    let read = "SELECT amount FROM accounts WHERE id = $1 FOR UPDATE";
    let write = "UPDATE accounts SET amount = $1 WHERE id = $2";
    for (account, change) in [(from, -1), (to, 1)] {
        let amount: i64 = transaction.query_one(read, &[&account]).await?.get(0);
        transaction
            .execute(write, &[&(amount + change), &account])
            .await?;
    }
    transaction.commit().await
}

#[tokio::test]
async fn concurrent_transfers_lose_nothing() {
    let group = default_group().await;
    let setup = connect(&group, "one").await;
    let table = "CREATE TABLE accounts (id bigint PRIMARY KEY, amount bigint); \
                 INSERT INTO accounts VALUES (0, 0), (1, 0), (2, 0)";
    setup.batch_execute(table).await.expect("the table is made");
    let callers = (0..4).map(|caller| {
        let group = group.clone();
        tokio::spawn(async move {
            let mut client = connect(&group, "one").await;
            for round in 0..25 {
                transfer(&mut client, round % 2, caller % 2 + 1).await;
            }
        })
    });
    futures::future::try_join_all(callers)
        .await
        .expect("all callers end");
    replicated(&group).await;
    let sums = "SELECT sum(amount), max(CASE WHEN id = 0 THEN amount END) FROM accounts";
    for member in group.names() {
        let sums = rows(&connect(&group, &member).await, sums).await;
        assert_eq!(sums, [[Some("0".to_owned()), Some("-52".to_owned())]]);
    }
}
