//! Open connections that stop delivering data without being closed, while new ones work.

mod support;

use std::time::Duration;
use support::{BOUNDED_DATABASE, Fleet, LEADER_DATABASE, until};
use tokio::time::{Instant, sleep};

/// Number of processes of a fleet that needs homes.
const LARGE: usize = 20;

async fn large_fleet() -> Fleet {
    let fleet = Fleet::start_in(&["zone-a", "zone-b"], LARGE).await;
    let knows_all = |node: &support::Node| node.engine.homes().fleet().len() == LARGE;
    until(|| fleet.nodes.iter().all(knows_all)).await;
    sleep(Duration::from_secs(3)).await;
    fleet
}

/// Silent links between processes are detected by pings and replaced by new ones.
#[tokio::test(start_paused = true)]
async fn silent_links_are_replaced() {
    let fleet = large_fleet().await;
    for node in 0..LARGE {
        let read = fleet.session(node, BOUNDED_DATABASE).read("x").await;
        assert!(read.outcome.is_ok(), "{read:?}");
    }
    fleet.peers.silence_links();
    let silenced = Instant::now();
    // One request of each process may be delayed until the failure is detected.
    for node in 0..LARGE {
        fleet.session(node, BOUNDED_DATABASE).read("x").await;
    }
    sleep(Duration::from_millis(500)).await;
    for node in 0..LARGE {
        let began = Instant::now();
        let read = fleet.session(node, BOUNDED_DATABASE).read("x").await;
        assert!(read.outcome.is_ok(), "{read:?}");
        assert!(began.elapsed() < Duration::from_millis(150), "{node}");
    }
    // Updates from the store reach all processes again.
    sleep(Duration::from_secs(3)).await;
    for node in &fleet.nodes {
        let known = node.engine.following().current_as_of().expect("known");
        assert!(
            known > silenced + Duration::from_millis(200),
            "{}",
            node.name
        );
    }
}

/// All connections to a server go silent together. One request is enough to detect it for all of
/// them.
#[tokio::test(start_paused = true)]
async fn idle_connections_to_a_silent_server_are_closed_together() {
    let fleet = Fleet::start(1).await;
    let mut clients: Vec<_> = (0..3).map(|_| fleet.session(0, LEADER_DATABASE)).collect();
    let reads = clients.iter_mut().map(|client| client.read("x"));
    for read in futures::future::join_all(reads).await {
        assert!(read.outcome.is_ok(), "{read:?}");
    }
    fleet.world.silence_connections();
    let mut lost = 0;
    for _ in 0..6 {
        let read = fleet.session(0, LEADER_DATABASE).read("x").await;
        lost += usize::from(read.outcome.is_err());
    }
    assert!(lost <= 1, "{lost} reads were lost");
}
