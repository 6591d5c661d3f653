//! What reads see, and who answers them, when members lag or fail.

mod home_support;

use home_support::{Harness, PATIENCE, Setup, eventually, insert, insert_sql, read, write};
use rstest::rstest;
use std::time::Duration;
use stilequay_daemon::domain::exchange::Freshness;
use stilequay_daemon::domain::verdict::FailureKind;
use stilequay_standin::group::ReplicationLag;
use tokio_postgres::NoTls;

const COUNT: &str = "SELECT count(*) FROM entries";

fn replay_lag(millis: u64) -> ReplicationLag {
    ReplicationLag {
        receive_ms: 0,
        replay_ms: millis,
    }
}

fn bounded(max_age: Duration, answer_beyond: bool) -> Freshness {
    Freshness::BoundedStaleness {
        max_age,
        max_bytes: u64::MAX,
        answer_beyond,
    }
}

/// Replay lags of the two replicas in milliseconds, and who is to serve.
#[rstest]
#[case::none_lags([0, 0], Some(false))]
#[case::the_near_replica_lags([60_000, 0], Some(false))]
#[case::the_far_replica_lags([0, 60_000], Some(false))]
#[case::both_lag_far([60_000, 60_000], Some(true))]
#[case::both_lag_a_little([8, 8], None)]
#[tokio::test]
async fn a_consistent_read_sees_every_acknowledged_write(
    #[case] lags: [u64; 2],
    #[case] by_primary: Option<bool>,
) {
    let harness = Harness::start().await;
    for (name, lag) in harness.replicas().iter().zip(lags) {
        harness
            .group
            .set_lag(name, replay_lag(lag))
            .expect("it is a member");
    }
    for number in 1..=10 {
        harness.run(insert("value")).await.done();
        let answer = harness.run(read(COUNT, Freshness::Barrier)).await;
        assert_eq!(answer.first_column(), [number.to_string()]);
        let as_primary = answer.done().served_by.as_primary;
        assert_eq!(as_primary, by_primary.unwrap_or(as_primary));
    }
}

/// A cut-off primary goes on writing: its positions run ahead on a dead branch.
#[rstest]
#[case::by_a_barrier(false)]
#[case::by_a_floor(true)]
#[tokio::test]
async fn a_member_on_a_dead_branch_serves_no_consistent_read(#[case] by_floor: bool) {
    let harness = Harness::start().await;
    harness.run(insert("kept")).await.done();
    let former = harness.primary();
    harness.group.cut(&former).expect("it is a member");
    write_directly(&harness, &former, 50).await;
    harness.wait_for_primary_after(&former).await;
    // A read with a barrier is answered only once the home knows the new primary.
    assert_eq!(harness.entries().await, ["kept"]);
    let done = harness.run(insert("kept too")).await.done();
    let freshness = match (by_floor, done.floor) {
        (true, Some(floor)) => Freshness::AtLeast(floor),
        _ => Freshness::Barrier,
    };
    for _ in 0..10 {
        let answer = harness.run(read(COUNT, freshness)).await;
        assert_eq!(answer.first_column(), ["2"]);
        assert_ne!(answer.done().served_by.member.as_str(), former);
    }
}

async fn write_directly(harness: &Harness, member: &str, count: usize) {
    let address = harness.group.address(member).expect("it is a member");
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config
        .user("stilequay")
        .password("stilequay")
        .dbname("orders");
    let (client, connection) = config.connect(NoTls).await.expect("it accepts clients");
    tokio::spawn(connection);
    for _ in 0..count {
        let written = client.simple_query(&insert_sql("on a dead branch")).await;
        written.expect("it believes that it leads");
    }
}

#[tokio::test]
async fn a_read_whose_replica_dies_is_answered_by_another_member() {
    let harness = Harness::start().await;
    let mut exchange = harness.open().await;
    let sql = "SELECT 'answered' WHERE pg_sleep(0.4) IS NOT NULL";
    exchange.send(read(sql, Freshness::Barrier)).await;
    let busy = eventually(|| {
        harness
            .replicas()
            .into_iter()
            .find(|name| serves(&harness, name))
    });
    harness.group.kill(&busy.await).expect("it is a member");
    let answer = exchange.answer().await;
    assert_eq!(answer.first_column(), ["answered"]);
}

/// The home prefers the replica in its own zone.
fn serves(_harness: &Harness, name: &str) -> bool {
    name == "two"
}

/// No primary can be elected any more, and only the member in the home's zone is left.
fn leave_only_two(harness: &Harness) {
    for name in ["one", "three"] {
        harness.group.kill(name).expect("it is a member");
    }
}

#[tokio::test]
async fn a_stale_read_is_answered_while_there_is_no_primary() {
    let harness = Harness::start().await;
    harness.run(insert("value")).await.done();
    leave_only_two(&harness);
    for freshness in [bounded(PATIENCE, false), bounded(Duration::ZERO, true)] {
        let answer = harness.run(read(COUNT, freshness)).await;
        assert_eq!(answer.done().served_by.member.as_str(), "two");
    }
}

/// Without a primary, and with no member within the bounds.
#[rstest]
#[case::stale_beyond_the_bounds(bounded(Duration::ZERO, false), FailureKind::NoFreshMember)]
#[case::consistent(Freshness::Barrier, FailureKind::NoPrimary)]
#[tokio::test]
async fn a_read_that_no_member_may_answer_is_not_run(
    #[case] freshness: Freshness,
    #[case] kind: FailureKind,
) {
    let harness = Harness::start().await;
    leave_only_two(&harness);
    let failure = harness.refused(read(COUNT, freshness)).await;
    assert_eq!(failure.kind, kind);
}

#[tokio::test]
async fn a_write_without_a_primary_is_not_run() {
    let harness = Harness::start().await;
    leave_only_two(&harness);
    let failure = harness.refused(insert("value")).await;
    assert_eq!(failure.kind, FailureKind::NoPrimary);
}

#[tokio::test]
async fn a_guarantee_switched_off_is_noticed_by_the_same_check() {
    let mut setup = Setup::default();
    setup.home.mutants.skip_barrier = true;
    let harness = Harness::start_with(setup).await;
    for name in harness.replicas() {
        harness
            .group
            .set_lag(&name, replay_lag(60_000))
            .expect("it is a member");
    }
    harness.run(write("SELECT 1")).await.done();
    let mut stale = false;
    for number in 1..=50 {
        harness.run(insert("value")).await.done();
        let answer = harness.run(read(COUNT, Freshness::Barrier)).await;
        stale |= answer.first_column() != [number.to_string()];
    }
    assert!(stale, "the check must be able to fail");
}
