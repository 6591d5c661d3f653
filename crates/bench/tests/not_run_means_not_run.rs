//! What a caller is told was not run was not run.

mod support;

use rstest::rstest;
use stilequay_bench::history::WriteOutcome;
use stilequay_bench::launch::Topology;
use stilequay_bench::launch::group::MemberFault;
use support::{connect, deployment, row, rows_at_primary, start, write};

/// Time a request may take in these tests, so that one without a primary ends soon.
const REQUEST_TIMEOUT_MILLIS: u64 = 1_500;
/// Writes while the fault lasts.
const WRITES: u64 = 6;

/// Does `fault` to so many members, the primary first.
async fn hit(topology: &Topology, fault: MemberFault, members: usize) {
    let group = &topology.groups[0];
    let primary = group.primary().await.expect("a primary").name;
    let mut names: Vec<&str> = group
        .members
        .iter()
        .map(|member| member.name.as_str())
        .collect();
    names.sort_by_key(|name| *name != primary);
    for name in names.into_iter().take(members) {
        group.fault(name, fault).await.expect("the fault begins");
    }
}

/// No majority is left, so no write may be acknowledged.
#[rstest]
#[case::killed(MemberFault::Kill)]
#[case::frozen(MemberFault::Freeze)]
#[tokio::test(flavor = "multi_thread")]
async fn writes_without_a_majority_are_told_as_they_are(#[case] fault: MemberFault) {
    let mut deployment = deployment();
    deployment.policy.request_timeout_millis = REQUEST_TIMEOUT_MILLIS;
    let topology = start(deployment, None).await;
    let connection = connect(&topology, 0, "before").await;
    assert_eq!(
        write(&connection, &row(1)).await,
        WriteOutcome::Acknowledged
    );
    hit(&topology, fault, 2).await;
    let mut told = Vec::new();
    for number in 2..2 + WRITES {
        let daemon = number as usize % topology.daemons.len();
        let connection = connect(&topology, daemon, "during").await;
        told.push((row(number), write(&connection, &row(number)).await));
    }
    topology.groups[0].heal().await.expect("the group heals");
    topology.serves().await.expect("the topology serves again");
    let rows = rows_at_primary(&topology).await;
    for (row, outcome) in &told {
        let kept = match outcome {
            WriteOutcome::NotRun => !rows.contains(row),
            WriteOutcome::MayHaveRun => true,
            _ => false,
        };
        assert!(kept, "{row:?} was told {outcome:?}; all: {told:?}");
    }
    let not_run = told
        .iter()
        .filter(|(_, outcome)| *outcome == WriteOutcome::NotRun);
    assert!(not_run.count() > 0, "{told:?}");
}
