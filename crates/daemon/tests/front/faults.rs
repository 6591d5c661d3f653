//! Faults of homes, by moment, and what the caller is told.

use super::home::{Fault, Record};
use super::proxy::{PATIENCE, Setup, detail, sqlstate};
use rstest::rstest;
use stilequay_daemon::app::front::FrontSettings;
use stilequay_daemon::domain::resource::SessionPolicySpec;
use stilequay_daemon::domain::verdict::{FailureKind, RequestFailure, Verdict};

const READ: &str = "SELECT name FROM kits";
const WRITE: &str = "INSERT INTO kits VALUES (1)";
const SAFE_WRITE: &str = "/* stilequay_repeat='safe' */ INSERT INTO kits VALUES (1)";
const UNSAFE_WRITE: &str = "INSERT INTO kits VALUES (1) -- stilequay_repeat='unsafe'";

/// What the caller is told.
#[derive(Debug, PartialEq, Eq)]
enum Told {
    /// The whole answer.
    Answer,
    /// An error, with this SQLSTATE and verdict; the connection goes on.
    Error(&'static str, &'static str),
    /// Nothing but the end of the connection.
    Closed,
}

fn not_run(kind: FailureKind) -> RequestFailure {
    RequestFailure::not_run(kind, "as scripted")
}

fn may_have_run(kind: FailureKind) -> RequestFailure {
    RequestFailure::may_have_run(kind, "as scripted")
}

fn ran() -> RequestFailure {
    RequestFailure {
        verdict: Verdict::Ran,
        ..may_have_run(FailureKind::BackEndUnreachable)
    }
}

/// Limits short enough for a home that says nothing.
fn short_limits(faults: Vec<Fault>) -> Setup {
    Setup {
        policy: SessionPolicySpec {
            request_timeout_millis: 400,
            ..SessionPolicySpec::default()
        },
        settings: FrontSettings {
            home_grace_millis: 100,
            ..FrontSettings::default()
        },
        ..Setup::with_faults(faults)
    }
}

use FailureKind::{
    BackEndUnreachable, Cancelled, HomeUnreachable, NoFreshMember, NoPrimary, NotPermitted,
    Overloaded, PrimaryReplaced, ShuttingDown,
};
use Fault::{Fails, FailsAfterRows, OpenFails};
use Told::{Answer, Closed, Error};

/// Fault, statement, what the caller is told, exchanges opened, units sent.
#[rstest]
// Before the unit is sent.
#[case::home_unreachable(vec![OpenFails(not_run(HomeUnreachable))], WRITE, Answer, 2, 1)]
#[case::home_stopping(vec![OpenFails(not_run(ShuttingDown))], WRITE, Answer, 2, 1)]
#[case::two_homes_unreachable(
    vec![OpenFails(not_run(HomeUnreachable)), OpenFails(not_run(HomeUnreachable))],
    WRITE, Answer, 3, 1
)]
#[case::all_homes_unreachable_at_first(
    vec![
        OpenFails(not_run(HomeUnreachable)),
        OpenFails(not_run(HomeUnreachable)),
        OpenFails(not_run(HomeUnreachable)),
    ],
    WRITE, Answer, 4, 1
)]
#[case::overloaded_home(vec![OpenFails(not_run(Overloaded))], WRITE, Answer, 2, 1)]
#[case::overloaded_homes(
    vec![
        OpenFails(not_run(Overloaded)),
        OpenFails(not_run(Overloaded)),
        OpenFails(not_run(Overloaded)),
    ],
    WRITE, Error("53300", "verdict=NotRun retry_after_ms=250"), 3, 0
)]
#[case::not_permitted(
    vec![OpenFails(not_run(NotPermitted))], WRITE, Error("42501", "verdict=NotRun"), 1, 0
)]
#[case::copy(vec![], "COPY kits FROM STDIN", Error("0A000", "verdict=NotRun"), 0, 0)]
// While the unit is sent: it may have arrived.
#[case::write_lost_on_send(
    vec![Fault::LostOnSend], WRITE, Error("08007", "verdict=MayHaveRun"), 1, 1
)]
#[case::read_lost_on_send(vec![Fault::LostOnSend], READ, Answer, 2, 2)]
#[case::safe_write_lost_on_send(vec![Fault::LostOnSend], SAFE_WRITE, Answer, 2, 2)]
// After the unit was sent, before any answer.
#[case::write_not_run(vec![Fails(not_run(BackEndUnreachable))], WRITE, Answer, 2, 2)]
#[case::write_without_primary(vec![Fails(not_run(NoPrimary))], WRITE, Answer, 2, 2)]
#[case::read_without_fresh_member(vec![Fails(not_run(NoFreshMember))], READ, Answer, 2, 2)]
#[case::cancelled(
    vec![Fails(not_run(Cancelled))], WRITE, Error("57014", "verdict=NotRun"), 1, 1
)]
#[case::write_lost(
    vec![Fault::LostBeforeAnswer], WRITE, Error("08007", "verdict=MayHaveRun"), 1, 1
)]
#[case::unsafe_write_lost(
    vec![Fault::LostBeforeAnswer], UNSAFE_WRITE, Error("08007", "verdict=MayHaveRun"), 1, 1
)]
#[case::safe_write_lost(vec![Fault::LostBeforeAnswer], SAFE_WRITE, Answer, 2, 2)]
#[case::read_lost(vec![Fault::LostBeforeAnswer], READ, Answer, 2, 2)]
#[case::write_at_replaced_primary(
    vec![Fails(may_have_run(PrimaryReplaced))], WRITE, Error("08007", "verdict=MayHaveRun"), 1, 1
)]
#[case::write_ran(vec![Fails(ran())], WRITE, Error("08007", "verdict=Ran"), 1, 1)]
#[case::safe_write_at_replaced_primary(
    vec![Fails(may_have_run(PrimaryReplaced))], SAFE_WRITE, Answer, 2, 2
)]
#[case::unparsable_is_a_write(
    vec![Fault::LostBeforeAnswer], "FROBNICATE kits", Error("08007", "verdict=MayHaveRun"), 1, 1
)]
#[case::locking_read_is_a_write(
    vec![Fault::LostBeforeAnswer], "SELECT name FROM kits FOR UPDATE",
    Error("08007", "verdict=MayHaveRun"), 1, 1
)]
#[case::silent_home(
    vec![Fault::Silent], WRITE, Error("08007", "verdict=MayHaveRun"), 1, 1
)]
// Within the answer.
#[case::read_lost_after_rows(
    vec![Fault::LostAfterRows], READ, Error("08007", "verdict=MayHaveRun"), 1, 1
)]
#[case::read_failed_after_rows(
    vec![FailsAfterRows(not_run(BackEndUnreachable))], READ,
    Error("57P03", "verdict=NotRun retry_after_ms=250"), 1, 1
)]
#[case::read_lost_within_a_message(vec![Fault::LostWithinMessage], READ, Closed, 1, 1)]
#[case::short_answer(
    vec![Fault::EndsShort], READ, Error("08007", "verdict=MayHaveRun"), 1, 1
)]
#[case::answer_to_another_request(
    vec![Fault::AnswersAnother], READ, Error("08007", "verdict=MayHaveRun"), 1, 1
)]
#[case::copy_begun(
    vec![Fault::BeginsCopy], WRITE, Error("08007", "verdict=MayHaveRun"), 1, 1
)]
// Two faults.
#[case::unreachable_then_lost(
    vec![OpenFails(not_run(HomeUnreachable)), Fault::LostBeforeAnswer], WRITE,
    Error("08007", "verdict=MayHaveRun"), 2, 1
)]
#[case::no_primary_then_replaced(
    vec![Fails(not_run(NoPrimary)), Fails(may_have_run(PrimaryReplaced))], WRITE,
    Error("08007", "verdict=MayHaveRun"), 2, 2
)]
#[case::read_lost_twice(
    vec![Fault::LostBeforeAnswer, Fault::LostOnSend], READ, Answer, 3, 3
)]
#[tokio::test]
async fn a_fault_outside_of_a_transaction(
    #[case] faults: Vec<Fault>,
    #[case] statement: &str,
    #[case] expected: Told,
    #[case] opens: usize,
    #[case] runs: usize,
) {
    let is_silent = matches!(faults[..], [Fault::Silent]);
    let setup = match is_silent {
        true => short_limits(faults),
        false => Setup::with_faults(faults),
    };
    let proxy = setup.start().await;
    let client = proxy.connect().await;
    let answer = tokio::time::timeout(PATIENCE, client.simple_query(statement)).await;
    let record = proxy.homes.record();
    assert_eq!((record.opens.len(), record.runs.len()), (opens, runs));
    let told = answer.expect("a request that is given up is answered");
    match (&told, &expected) {
        (Ok(_), Answer) => {}
        (Err(error), Error(state, verdict)) => {
            assert_eq!((sqlstate(error), detail(error)), (*state, *verdict));
        }
        (Err(error), Closed) => assert_eq!(sqlstate(error), "none"),
        _ => panic!("{told:?} instead of {expected:?}"),
    }
    if expected != Closed {
        client
            .batch_execute(READ)
            .await
            .expect("the connection goes on");
    }
}

/// A lost transaction ends its connection: its later statements must not run outside of it.
#[rstest]
#[case::lost_at_a_statement(Fault::LostBeforeAnswer, WRITE, "08007")]
#[case::lost_at_a_read(Fault::LostBeforeAnswer, READ, "08007")]
#[case::lost_on_send(Fault::LostOnSend, WRITE, "08007")]
#[case::lost_at_commit(Fault::LostBeforeAnswer, "COMMIT", "08007")]
#[case::replaced_at_commit(Fails(may_have_run(PrimaryReplaced)), "COMMIT", "08007")]
#[case::not_run(Fails(not_run(BackEndUnreachable)), WRITE, "57P03")]
#[case::lost_after_rows(Fault::LostAfterRows, READ, "08007")]
#[tokio::test]
async fn a_fault_within_a_transaction(
    #[case] fault: Fault,
    #[case] statement: &str,
    #[case] expected: &str,
) {
    let setup = Setup {
        faults: vec![None, Some(fault)],
        ..Setup::default()
    };
    let proxy = setup.start().await;
    let client = proxy.connect().await;
    client.batch_execute("BEGIN").await.unwrap();
    let error = client.simple_query(statement).await.unwrap_err();
    assert_eq!(sqlstate(&error), expected);
    assert_eq!(error.as_db_error().unwrap().severity(), "FATAL");
    client
        .batch_execute(WRITE)
        .await
        .expect_err("the connection is closed");
    let record = proxy.homes.wait_for(|it| it.drops == 1).await;
    assert_eq!((record.opens.len(), record.runs.len()), (1, 2));
    assert_eq!(record.releases, 0);
}

#[tokio::test]
async fn copy_within_a_transaction_ends_it() {
    let proxy = Setup::default().start().await;
    let client = proxy.connect().await;
    client.batch_execute("BEGIN").await.unwrap();
    let error = client
        .batch_execute("COPY kits TO STDOUT")
        .await
        .unwrap_err();
    assert_eq!(
        (sqlstate(&error), detail(&error)),
        ("0A000", "verdict=NotRun")
    );
    let record = proxy.homes.wait_for(|it| it.drops == 1).await;
    assert_eq!(record.runs.len(), 1);
}

#[tokio::test]
async fn retries_are_bounded() {
    let failures = (0..100).map(|_| Fails(not_run(NoPrimary)));
    let proxy = Setup::with_faults(failures).start().await;
    let client = proxy.connect().await;
    let error = client.batch_execute(WRITE).await.unwrap_err();
    assert_eq!(sqlstate(&error), "57P03");
    let attempts = FrontSettings::default().max_attempts as usize;
    assert_eq!(proxy.homes.record().runs.len(), attempts);
}

#[tokio::test]
async fn retries_keep_within_the_budget_of_all_callers() {
    let setup = Setup {
        settings: FrontSettings {
            retry_percent: 0,
            retry_burst: 2,
            ..FrontSettings::default()
        },
        ..Setup::with_faults((0..5).map(|_| Fails(not_run(BackEndUnreachable))))
    };
    let proxy = setup.start().await;
    let client = proxy.connect().await;
    let error = client.batch_execute(WRITE).await.unwrap_err();
    assert_eq!(sqlstate(&error), "57P03");
    assert_eq!(proxy.homes.record().runs.len(), 3);
}

#[tokio::test]
async fn a_home_that_stays_down_is_passed_over_and_uses_up_no_budget() {
    let settings = FrontSettings {
        retry_percent: 0,
        retry_burst: 1,
        home_avoidance_millis: 24 * 60 * 60 * 1_000,
        ..FrontSettings::default()
    };
    let proxy = Setup::with_settings(settings).start().await;
    proxy.homes.take_down(Some("home-1"));
    let client = proxy.connect().await;
    for _ in 0..50 {
        client.batch_execute(WRITE).await.unwrap();
    }
    let record = proxy.homes.record();
    assert_eq!(record.runs.len(), 50);
    assert_eq!(asked(&record, "home-1"), 1);
}

#[tokio::test]
async fn a_home_that_is_up_again_is_asked_again() {
    let settings = FrontSettings {
        home_avoidance_millis: 1,
        ..FrontSettings::default()
    };
    let proxy = Setup::with_settings(settings).start().await;
    proxy.homes.take_down(Some("home-1"));
    let client = proxy.connect().await;
    client.batch_execute(WRITE).await.unwrap();
    proxy.homes.take_down(None);
    while asked(&proxy.homes.record(), "home-1") < 2 {
        client.batch_execute(WRITE).await.unwrap();
    }
}

fn asked(record: &Record, home: &str) -> usize {
    let opens = record.opens.iter();
    opens.filter(|(asked, _)| asked.as_str() == home).count()
}

#[tokio::test]
async fn a_caller_that_leaves_takes_its_exchange_along() {
    let proxy = Setup::with_faults([Fault::Silent]).start().await;
    let client = proxy.connect().await;
    let waiting = tokio::spawn(async move { client.batch_execute(WRITE).await });
    proxy.homes.wait_for(|it| it.runs.len() == 1).await;
    waiting.abort();
    let record = proxy.homes.wait_for(|it| it.drops == 1).await;
    assert_eq!(record.releases, 0);
}

#[tokio::test]
async fn cancel_reaches_the_home_of_the_unit_in_progress() {
    let proxy = Setup::with_faults([Fault::UntilCancelled]).start().await;
    let client = proxy.connect().await;
    let token = client.cancel_token();
    let query = tokio::spawn(async move { client.batch_execute(READ).await });
    proxy.homes.wait_for(|it| it.runs.len() == 1).await;
    token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    let error = query.await.unwrap().unwrap_err();
    assert_eq!(sqlstate(&error), "57014");
    assert_eq!(proxy.homes.record().cancels, 1);
}

#[tokio::test]
async fn an_idle_transaction_is_ended() {
    let settings = FrontSettings {
        idle_in_transaction_millis: 50,
        ..FrontSettings::default()
    };
    let proxy = Setup::with_settings(settings).start().await;
    let client = proxy.connect().await;
    client.batch_execute("BEGIN").await.unwrap();
    proxy.homes.wait_for(|it| it.drops == 1).await;
    client
        .batch_execute(WRITE)
        .await
        .expect_err("the connection is closed");
}
