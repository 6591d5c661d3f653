//! A write without a mark runs at most once: its answer is lost after its effect,
//! and nobody runs it again.

mod support;

use stilequay_bench::experiment::faults::Mutant;
use stilequay_bench::experiment::final_states;
use stilequay_bench::history::WriteOutcome;
use stilequay_bench::launch::Topology;
use stilequay_bench::launch::wait::until;
use support::{connect, deployment, row, rows_at_primary, start, write};

/// Sends a write whose answer the primary's link loses; returns what the caller
/// was told and how often the row is there.
async fn write_with_a_lost_answer(topology: &Topology) -> (WriteOutcome, usize) {
    let group = &topology.groups[0];
    let primary = group.primary().await.expect("a primary");
    let link = &group.member(&primary.name).expect("its link").link;
    let connection = connect(topology, 0, "payer").await;
    assert_eq!(
        write(&connection, &row(1)).await,
        WriteOutcome::Acknowledged
    );
    let cut = link.disturb(|faults| faults.to_source.cut = true).await;
    cut.expect("answers are lost");
    let payment = row(2);
    let written = write(&connection, &payment);
    let heal_after_effect = async {
        until("the write has taken effect", || async {
            let rows = final_states::rows_at(group, &primary.name).await.ok()?;
            rows.contains(&payment).then_some(())
        })
        .await
        .expect("the write takes effect");
        link.heal().await.expect("the link heals");
    };
    let (outcome, ()) = tokio::join!(written, heal_after_effect);
    topology.serves().await.expect("the topology serves again");
    let rows = rows_at_primary(topology).await;
    (outcome, rows.iter().filter(|row| **row == payment).count())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_answer_was_lost_is_not_run_again() {
    let topology = start(deployment(), None).await;
    let (outcome, count) = write_with_a_lost_answer(&topology).await;
    assert_eq!(count, 1);
    assert_ne!(outcome, WriteOutcome::NotRun);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_repeats_unsafe_writes_is_noticed() {
    let topology = start(deployment(), Some(Mutant::RetryUnsafe)).await;
    let (_, count) = write_with_a_lost_answer(&topology).await;
    assert!(count > 1, "the row is there {count} times");
}
