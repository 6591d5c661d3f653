//! What callers are told of writes when the group fails: fault, moment, expected verdict.
//!
//! Each row also checks the verdict against the group afterwards: what was acknowledged
//! is there once, what was not run is not there, and nothing is there twice.

mod home_support;

use home_support::{Harness, Setup, eventually, insert, write};
use rstest::rstest;
use std::time::Duration;
use stilequay_daemon::domain::exchange::RunUnit;
use stilequay_daemon::domain::verdict::{FailureKind, Verdict};
use stilequay_standin::group::{Delays, ReplicationLag};

/// Longer than any test takes.
const FOREVER_MILLIS: u64 = 600_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The primary's listener and connections close.
    Kill,
    /// The primary is cut off from the other members, and not from the home.
    Cut,
    /// The primary answers nothing.
    Freeze,
    /// Two at once: the primary closes while a replica lags far behind.
    KillWithLaggingReplica,
    /// Two at once: both replicas close, so that there is no majority.
    KillReplicas,
}

/// The fault strikes before this.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Before {
    /// The write is sent to the home.
    Send,
    /// The primary's answer arrives, and after it has committed.
    Answer,
    /// A majority has received the write, and after the answer is in.
    Confirmation,
    /// COMMIT is sent to the home, and after the transaction has run the write.
    Commit,
}

/// What the caller may be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Acknowledged,
    MayHaveRun(FailureKind),
    /// The home may or may not have noticed the fault in time; it tells the truth.
    AcknowledgedOrMayHaveRun,
    /// As above, for a connection that may or may not be known to be lost.
    Unacknowledged,
}

impl Fault {
    async fn strike(self, harness: &Harness) {
        let primary = harness.primary();
        let replicas = harness.replicas();
        let struck = match self {
            Self::Kill => harness.group.kill(&primary),
            Self::Cut => harness.group.cut(&primary),
            Self::Freeze => harness.group.freeze(&primary),
            Self::KillWithLaggingReplica => {
                let lag = ReplicationLag {
                    receive_ms: 500,
                    replay_ms: 0,
                };
                harness
                    .group
                    .set_lag(&replicas[0], lag)
                    .expect("it is a member");
                harness.run(insert("before")).await.done();
                harness.group.kill(&primary)
            }
            Self::KillReplicas => {
                harness.group.kill(&replicas[0]).expect("it is a member");
                harness.group.kill(&replicas[1])
            }
        };
        struck.expect("it is a member");
    }

    async fn end(self, harness: &Harness) {
        for name in harness.group.names() {
            let _ = harness.group.restart(&name).await;
            harness.group.heal(&name).expect("it is a member");
            harness.group.thaw(&name).expect("it is a member");
            harness
                .group
                .set_lag(&name, ReplicationLag::default())
                .expect("it is a member");
            harness
                .group
                .set_delays(&name, Delays::default())
                .expect("it is a member");
        }
    }
}

fn far_behind() -> ReplicationLag {
    ReplicationLag {
        receive_ms: FOREVER_MILLIS,
        replay_ms: 0,
    }
}

fn committed_writes(harness: &Harness, name: &str) -> u64 {
    let report = harness.group.report(name);
    report.expect("it is a member").committed_writes
}

/// Sends a write, has the fault strike at `moment`, and returns the answer.
async fn write_through(
    harness: &Harness,
    fault: Fault,
    moment: Before,
    time_left: Duration,
) -> home_support::Answer {
    let mut exchange = harness.open().await;
    let primary = harness.primary();
    let committed = committed_writes(harness, &primary);
    let unit = |unit: RunUnit| RunUnit { time_left, ..unit };
    match moment {
        Before::Send => {
            fault.strike(harness).await;
            exchange.send(unit(insert("value"))).await;
        }
        Before::Answer => {
            let delays = Delays {
                network_us: 400_000,
                ..Delays::default()
            };
            harness
                .group
                .set_delays(&primary, delays)
                .expect("it is a member");
            exchange.send(unit(insert("value"))).await;
            eventually(|| (committed_writes(harness, &primary) > committed).then_some(())).await;
            fault.strike(harness).await;
        }
        Before::Confirmation => {
            for replica in harness.replicas() {
                harness
                    .group
                    .set_lag(&replica, far_behind())
                    .expect("it is a member");
            }
            exchange.send(unit(insert("value"))).await;
            eventually(|| (committed_writes(harness, &primary) > committed).then_some(())).await;
            fault.strike(harness).await;
        }
        Before::Commit => {
            exchange.run(write("BEGIN")).await.done();
            exchange.run(insert("value")).await.done();
            fault.strike(harness).await;
            exchange.send(unit(write("COMMIT"))).await;
        }
    }
    exchange.answer().await
}

const LONG: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_millis(1_500);

#[rstest]
#[case(Fault::Kill, Before::Send, LONG, Expected::Acknowledged)]
#[case(
    Fault::Kill,
    Before::Answer,
    LONG,
    Expected::MayHaveRun(FailureKind::BackEndUnreachable)
)]
#[case(
    Fault::Kill,
    Before::Confirmation,
    LONG,
    Expected::MayHaveRun(FailureKind::PrimaryReplaced)
)]
#[case(Fault::Kill, Before::Commit, LONG, Expected::Unacknowledged)]
#[case(
    Fault::Cut,
    Before::Send,
    LONG,
    Expected::MayHaveRun(FailureKind::PrimaryReplaced)
)]
#[case(
    Fault::Cut,
    Before::Answer,
    LONG,
    Expected::MayHaveRun(FailureKind::PrimaryReplaced)
)]
#[case(
    Fault::Cut,
    Before::Confirmation,
    LONG,
    Expected::MayHaveRun(FailureKind::PrimaryReplaced)
)]
#[case(
    Fault::Cut,
    Before::Commit,
    LONG,
    Expected::MayHaveRun(FailureKind::PrimaryReplaced)
)]
#[case(Fault::Freeze, Before::Send, LONG, Expected::AcknowledgedOrMayHaveRun)]
#[case(
    Fault::Freeze,
    Before::Answer,
    LONG,
    Expected::MayHaveRun(FailureKind::PrimaryReplaced)
)]
#[case(
    Fault::Freeze,
    Before::Confirmation,
    LONG,
    Expected::MayHaveRun(FailureKind::PrimaryReplaced)
)]
#[case(
    Fault::Freeze,
    Before::Commit,
    LONG,
    Expected::MayHaveRun(FailureKind::PrimaryReplaced)
)]
#[case(
    Fault::KillWithLaggingReplica,
    Before::Send,
    LONG,
    Expected::Acknowledged
)]
#[case(
    Fault::KillWithLaggingReplica,
    Before::Commit,
    LONG,
    Expected::Unacknowledged
)]
#[case(
    Fault::KillReplicas,
    Before::Answer,
    SHORT,
    Expected::MayHaveRun(FailureKind::DeadlineExceeded)
)]
#[case(
    Fault::KillReplicas,
    Before::Confirmation,
    SHORT,
    Expected::MayHaveRun(FailureKind::DeadlineExceeded)
)]
#[case(
    Fault::KillReplicas,
    Before::Commit,
    SHORT,
    Expected::MayHaveRun(FailureKind::DeadlineExceeded)
)]
#[tokio::test]
async fn a_caller_is_told_the_truth_about_a_write(
    #[case] fault: Fault,
    #[case] moment: Before,
    #[case] time_left: Duration,
    #[case] expected: Expected,
) {
    let harness = Harness::start().await;
    let answer = write_through(&harness, fault, moment, time_left).await;
    let error = answer.error_code();
    let told = answer
        .outcome
        .map(|_| ())
        .map_err(|failure| (failure.verdict, failure.kind));
    match expected {
        Expected::Acknowledged => assert_eq!(told, Ok(())),
        Expected::MayHaveRun(kind) => assert_eq!(told, Err((Verdict::MayHaveRun, kind))),
        Expected::AcknowledgedOrMayHaveRun => {
            assert!(!matches!(told, Err((Verdict::NotRun, _))), "{told:?}");
        }
        Expected::Unacknowledged => assert!(told.is_err(), "{told:?}"),
    }
    assert_eq!(error, None);
    fault.end(&harness).await;
    let count = harness
        .entries()
        .await
        .iter()
        .filter(|value| *value == "value")
        .count();
    match told {
        Ok(()) => assert_eq!(count, 1),
        Err((Verdict::NotRun, _)) => assert_eq!(count, 0),
        Err(_) => assert!(count <= 1, "{count}"),
    }
}

/// The same check notices a home that acknowledges without confirmation: a cut-off
/// primary's write is acknowledged and lost.
#[tokio::test]
async fn an_unconfirmed_acknowledgement_is_noticed() {
    let mut setup = Setup::default();
    setup.home.mutants.skip_confirmation = true;
    let harness = Harness::start_with(setup).await;
    let answer = write_through(&harness, Fault::Cut, Before::Send, LONG).await;
    assert!(answer.outcome.is_ok(), "the check must be able to fail");
    harness.wait_for_primary_after("one").await;
    Fault::Cut.end(&harness).await;
    assert_eq!(harness.entries().await, [""; 0]);
}
