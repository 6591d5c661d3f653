//! Checks that the simulated servers behave like the platform's servers where it matters.

mod support;

use stilequay_engine::ports::Control;
use support::{Fleet, LEADER_DATABASE};

/// Reads at a demoted server still see what it had committed, regardless of the apply lag of
/// replicas. Its log position is the same before and after the demotion.
#[tokio::test(start_paused = true)]
async fn demoted_server_still_shows_what_it_committed() {
    let fleet = Fleet::start(1).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    assert!(client.write("x 1").await.outcome.is_ok());
    let before = fleet.world.server("a");
    let pool = fleet.nodes[0].engine.pool_by_id("a").expect("known");
    let demoted = pool.control(Control::Demote(before.term + 1)).await;
    assert_eq!(demoted.expect("an answer").received, before.position());
    let shown = fleet.world.server("a").applied(tokio::time::Instant::now());
    assert_eq!(shown, before.log.len());
}
