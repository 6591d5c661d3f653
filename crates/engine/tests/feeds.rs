//! The timeout of calls that wait for changes in the store.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::{Fleet, until};

/// In a large fleet, two processes watch the store and the others get updates through them. Watch
/// timeouts are shorter there, so that a call that is never answered is detected in time for all.
#[rstest]
#[case::one_process(1, 1_600)]
#[case::small_fleet(6, 1_600)]
#[case::a_large_fleet(20, 1_200)]
#[tokio::test(start_paused = true)]
async fn watch_timeout_depends_on_fleet_size(#[case] processes: usize, #[case] expected_ms: u64) {
    let fleet = Fleet::start(processes).await;
    let engine = &fleet.nodes[0].engine;
    until(|| engine.homes().fleet_len() == processes).await;
    assert_eq!(engine.watch_timeout(), Duration::from_millis(expected_ms));
}
