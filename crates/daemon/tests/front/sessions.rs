//! Session names, floors and marks.

use super::home::Fault;
use super::proxy::{Proxy, Setup, connect, sqlstate};
use rstest::rstest;
use stilequay_coordination::position::{Floor, LogPosition, Term};
use stilequay_daemon::domain::exchange::{Access, Freshness};
use stilequay_daemon::domain::resource::{Consistency, SessionPolicySpec};

const READ: &str = "SELECT name FROM kits";
const WRITE: &str = "INSERT INTO kits VALUES (1)";

fn floor(term: u32, position: u64) -> Floor {
    Floor::new(Term(term), LogPosition(position))
}

async fn start(consistency: Consistency, faults: Vec<Option<Fault>>) -> Proxy {
    let policy = SessionPolicySpec {
        consistency,
        ..SessionPolicySpec::default()
    };
    let setup = Setup {
        faults,
        policy,
        ..Setup::default()
    };
    setup.start().await
}

/// Freshness of the last unit after these statements.
async fn freshness_after(proxy: &Proxy, options: &str, statements: &[&str]) -> Freshness {
    let mut config = proxy.client_config();
    config.options(options);
    let client = connect(&config).await.unwrap();
    for statement in statements {
        // Some of them are meant to fail.
        let _ = client.batch_execute(statement).await;
    }
    match proxy.homes.record().runs.last().unwrap().access {
        Access::Read(freshness) => freshness,
        Access::Write => panic!("the last statement is not a read"),
    }
}

#[rstest]
#[case::strong(Consistency::Strong, "", &[WRITE, READ], Freshness::Barrier)]
#[case::strong_with_token(
    Consistency::Strong, "-c stilequay.floor=1:5", &[READ], Freshness::Barrier
)]
#[case::no_write_yet(Consistency::Session, "", &[READ], Freshness::Barrier)]
#[case::own_write(
    Consistency::Session, "", &[WRITE, READ], Freshness::AtLeast(floor(3, 1))
)]
#[case::token(
    Consistency::Session, "-c stilequay.floor=4:5", &[READ], Freshness::AtLeast(floor(4, 5))
)]
#[case::token_and_own_write(
    Consistency::Session, "-c stilequay.floor=2:50", &[WRITE, READ],
    Freshness::AtLeast(floor(3, 1))
)]
#[case::token_by_set(
    Consistency::Session, "", &["SET stilequay.floor = '4:5'", READ],
    Freshness::AtLeast(floor(4, 5))
)]
#[case::named(
    Consistency::Session, "-c stilequay.session=till-1", &[READ], Freshness::SessionFloor
)]
#[case::named_may_have_written_elsewhere(
    Consistency::Session, "--stilequay.session=till-1", &[WRITE, READ], Freshness::SessionFloor
)]
#[tokio::test]
async fn a_read_is_as_fresh_as_its_session_asks(
    #[case] consistency: Consistency,
    #[case] options: &str,
    #[case] statements: &[&str],
    #[case] expected: Freshness,
) {
    let proxy = start(consistency, vec![]).await;
    assert_eq!(freshness_after(&proxy, options, statements).await, expected);
}

#[tokio::test]
async fn after_a_write_with_unknown_outcome_a_read_takes_a_barrier() {
    let faults = vec![None, Some(Fault::LostBeforeAnswer)];
    let proxy = start(Consistency::Session, faults).await;
    let freshness = freshness_after(&proxy, "", &[WRITE, WRITE, READ]).await;
    assert_eq!(freshness, Freshness::Barrier);
}

#[tokio::test]
async fn bounded_staleness_carries_its_bounds() {
    let proxy = start(Consistency::BoundedStaleness, vec![]).await;
    let policy = SessionPolicySpec::default();
    let expected = Freshness::BoundedStaleness {
        max_age: std::time::Duration::from_millis(policy.max_staleness_millis),
        max_bytes: policy.max_staleness_bytes,
        answer_beyond: policy.answer_beyond_bounds,
    };
    assert_eq!(freshness_after(&proxy, "", &[READ]).await, expected);
}

#[rstest]
#[case::floor("SET stilequay.floor = 'yesterday'", "22023")]
#[case::repeat("SET stilequay.repeat = 'perhaps'", "22023")]
#[case::unknown("SET stilequay.colour = 'saffron'", "42704")]
#[tokio::test]
async fn a_wrong_setting_is_an_error(#[case] statement: &str, #[case] expected: &str) {
    let proxy = start(Consistency::Session, vec![]).await;
    let client = proxy.connect().await;
    let error = client.batch_execute(statement).await.unwrap_err();
    assert_eq!(sqlstate(&error), expected);
    client.batch_execute(READ).await.unwrap();
}

#[rstest]
#[case::search_path("-c search_path=ledger", "0A000")]
#[case::floor("-c stilequay.floor=none", "22023")]
#[tokio::test]
async fn a_wrong_startup_option_is_refused(#[case] options: &str, #[case] expected: &str) {
    let proxy = start(Consistency::Session, vec![]).await;
    let mut config = proxy.client_config();
    config.options(options);
    let error = connect(&config).await.expect_err("refused");
    assert_eq!(sqlstate(&error), expected);
}

#[tokio::test]
async fn a_session_marked_safe_has_its_writes_repeated() {
    let faults = vec![Some(Fault::LostBeforeAnswer)];
    let proxy = start(Consistency::Strong, faults).await;
    let client = proxy.connect().await;
    client
        .batch_execute("SET stilequay.repeat = safe")
        .await
        .unwrap();
    client.batch_execute(WRITE).await.unwrap();
    assert_eq!(proxy.homes.record().runs.len(), 2);
}

#[tokio::test]
async fn session_state_holds_the_exchange_at_the_primary() {
    let proxy = start(Consistency::Session, vec![]).await;
    let client = proxy.connect().await;
    client
        .batch_execute("SET search_path = ledger")
        .await
        .unwrap();
    client.batch_execute(READ).await.unwrap();
    let record = proxy.homes.record();
    assert_eq!(record.opens.len(), 1);
    assert_eq!(record.runs[0].access, Access::Write);
    assert!(record.runs[0].makes_session_state);
    drop(client);
    proxy.homes.wait_for(|it| it.releases + it.drops == 1).await;
}

#[tokio::test]
async fn a_read_only_transaction_may_run_at_a_replica() {
    let proxy = start(Consistency::Strong, vec![]).await;
    let client = proxy.connect().await;
    for statement in ["BEGIN READ ONLY", READ, "COMMIT"] {
        client.batch_execute(statement).await.unwrap();
    }
    let runs = proxy.homes.record().runs;
    let reads = runs
        .iter()
        .filter(|it| it.access == Access::Read(Freshness::Barrier));
    assert_eq!(reads.count(), 3);
}
