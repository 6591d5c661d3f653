//! Servers that join, restart or receive commits unseen during a change of leader.

mod support;

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::directory::{Departure, MemberState};
use stilequay_engine::leadership::record::{TermPhase, TermRecord};
use support::history::History;
use support::{Fleet, GROUP, OWN_DATABASE, until};
use tokio::time::{Instant, sleep};

/// Time in which the old leader could have commits acknowledged after the other was promoted.
const CUT_TIME: Duration = Duration::from_secs(3);
/// Time in which everybody learns of the new leader after the network has healed.
const HEAL_TIME: Duration = Duration::from_secs(5);
/// Time from a server's start until its entry is listed.
const ENTRY_DELAY: Duration = Duration::from_millis(600);

fn recorded_term(fleet: &Fleet) -> Option<TermRecord> {
    let record = fleet.records.get(&TermRecord::key(GROUP))?;
    TermRecord::decode(&record.value).ok()
}

/// Waits until a target has been chosen; returns it.
async fn wait_for_target(fleet: &Fleet) -> String {
    let is_chosen = || recorded_term(fleet).is_some_and(|term| term.phase == TermPhase::Promoting);
    until(is_chosen).await;
    let target = recorded_term(fleet).and_then(|term| term.target);
    target.expect("a target").to_string()
}

/// Cuts the process that doesn't hold the lease, and the leader with it, off from the lease holder
/// and the store.
fn cut_off_with_leader(fleet: &Fleet) {
    let holder = &fleet.nodes[fleet.holder()].name;
    let other = &fleet.nodes[1 - fleet.holder()].name;
    fleet.network().cut("a", holder);
    fleet.records.refuse_node(other, true);
    fleet.peers.set_isolated(true);
}

async fn heal(fleet: &Fleet) {
    fleet.network().heal();
    for node in &fleet.nodes {
        fleet.records.refuse_node(&node.name, false);
    }
    fleet.peers.set_isolated(false);
    sleep(HEAL_TIME).await;
}

/// A fleet of two processes under load.
async fn fleet_under_load() -> (Fleet, Arc<History>) {
    let history = Arc::new(History::default());
    let fleet = Fleet::start(2).await;
    fleet.spawn_callers(&history);
    sleep(Duration::from_secs(1)).await;
    (fleet, history)
}

fn assert_no_violation(fleet: &Fleet, history: &History) {
    let violations = history.violations(&fleet.world);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// The old leader can't be reached by the process that replaces it. Commits that are acknowledged
/// through a server that joins it after the fence are lost.
#[tokio::test(start_paused = true)]
async fn no_commit_is_acknowledged_through_a_server_that_joins_after_the_fence() {
    let (fleet, history) = fleet_under_load().await;
    cut_off_with_leader(&fleet);
    fleet.network().cut("a", "b");
    fleet.network().cut("a", "c");
    wait_for_target(&fleet).await;
    fleet.world.join_unlisted("d");
    fleet.network().cut("d", "b");
    fleet.network().cut("d", "c");
    sleep(CUT_TIME).await;
    heal(&fleet).await;
    assert_no_violation(&fleet, &history);
}

/// A server has joined the old leader just before the fence and isn't listed. Each commit that is
/// acknowledged through it must not allow the next one.
#[tokio::test(start_paused = true)]
async fn commits_through_an_unlisted_server_renew_no_evidence() {
    let (fleet, _) = fleet_under_load().await;
    fleet.world.join_unlisted("d");
    cut_off_with_leader(&fleet);
    for server in ["b", "c"] {
        fleet.network().cut("a", server);
        fleet.network().cut("d", server);
    }
    wait_for_target(&fleet).await;
    let mut writer = fleet.session(1 - fleet.holder(), OWN_DATABASE);
    let reply = writer.write("x 1").await;
    assert!(reply.outcome.is_err());
}

/// A paused replica that restarts receives from the old leader again.
#[tokio::test(start_paused = true)]
async fn no_commit_is_acknowledged_through_a_replica_that_restarts_after_the_fence() {
    let (fleet, history) = fleet_under_load().await;
    cut_off_with_leader(&fleet);
    let target = wait_for_target(&fleet).await;
    let other = if target == "b" { "c" } else { "b" };
    fleet.network().cut(&target, "a");
    fleet.network().cut(&target, other);
    fleet.world.crash(other);
    fleet.world.restart(other);
    sleep(CUT_TIME).await;
    heal(&fleet).await;
    assert_no_violation(&fleet, &history);
}

/// Commits were acknowledged through a server whose entry isn't listed yet, while the others lag.
/// The old leader reports them when it is replaced.
#[rstest]
#[case::is_listed_soon(true)]
#[case::is_never_listed(false)]
#[tokio::test(start_paused = true)]
async fn commit_that_only_an_unlisted_server_has_received_is_in_the_next_leaders_log(
    #[case] is_listed: bool,
) {
    let fleet = Fleet::start(2).await;
    let mut writer = fleet.session(0, OWN_DATABASE);
    writer.write("x 1").await.outcome.expect("written");
    fleet.world.join_unlisted("d");
    writer.write("x 2").await.outcome.expect("written");
    for lagging in ["b", "c"] {
        fleet
            .world
            .change(lagging, |server| server.not_receiving = true);
    }
    for _ in 0..3 {
        writer.write("x 3").await.outcome.expect("written");
    }
    let acknowledged = fleet.world.server("a").log;
    fleet.world.change("a", |server| {
        server.state = MemberState::Leaving(Departure::at(Instant::now()));
    });
    sleep(ENTRY_DELAY).await;
    if is_listed {
        fleet.world.unlisted.lock().unwrap().remove("d");
    }
    until(|| recorded_term(&fleet).is_some_and(|term| term.phase == TermPhase::Active)).await;
    let leader = fleet.world.server(&fleet.world.leader());
    assert!(leader.log.starts_with(&acknowledged));
}
