//! How long calls that wait for changes in the store may wait.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::Fleet;

#[rstest]
#[case::one_process(1, 1_600)]
#[case::the_first_deployment(6, 1_600)]
#[case::the_grown_one(67, 1_600)]
#[case::the_target(6_100, 20_000)]
#[tokio::test(start_paused = true)]
async fn a_call_for_changes_is_short_and_leaves_the_store_room(
    #[case] processes: usize,
    #[case] expected_ms: u64,
) {
    let fleet = Fleet::start(1).await;
    let engine = &fleet.nodes[0].engine;
    engine.set_processes(processes);
    assert_eq!(engine.feed_wait(), Duration::from_millis(expected_ms));
}
