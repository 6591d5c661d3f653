//! Reads whose position rests on a survey while members are absent.

mod support;

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::directory::{GONE_RETENTION, Member, Role};
use support::servers::PromoterFault;
use support::{BOUNDED_DATABASE, Client, Fleet, GROUP, OWN_DATABASE, until};
use tokio::time::sleep;

/// Time after which a member whose entry has gone and that is down counts as having left.
const DEPARTURE_TIME: Duration = Duration::from_secs(11);

/// The entry of a server that was at the address of `name` before it.
fn predecessor(fleet: &Fleet, name: &str) -> Member {
    let entries = fleet.world.entries().into_iter();
    let mut current = entries.filter(|member| &*member.id == name);
    Member {
        id: Arc::from(format!("former-{name}")),
        role: Role::Replica,
        ..current.next().expect("the member")
    }
}

/// Removes the entry of a server.
fn unlist(fleet: &Fleet, name: &str) {
    fleet.world.unlisted.lock().unwrap().insert(name.to_owned());
}

/// Writes until the commits are on `a` and `b` only; `c` lags.
async fn write_with_lagging_replica(fleet: &Fleet) {
    let mut writer = fleet.session(0, OWN_DATABASE);
    for _ in 0..3 {
        writer.write("x 1").await.outcome.expect("written");
    }
    fleet
        .world
        .change("c", |server| server.not_receiving = true);
    for _ in 0..3 {
        writer.write("x 2").await.outcome.expect("written");
    }
}

/// Waits until the entry of `name` has gone in the process 0.
async fn wait_until_gone(fleet: &Fleet, name: &str) {
    let is_gone = || {
        let directory = fleet.nodes[0].engine.directory();
        directory.member(name).is_none_or(|member| member.is_gone())
    };
    until(is_gone).await;
}

/// Replaces all processes by a new one, which knows no position yet.
async fn restart_processes(fleet: &mut Fleet) {
    for node in 0..fleet.nodes.len() {
        fleet.kill(node);
    }
    fleet.nodes = vec![fleet.spawn_node("later-9")];
    until(|| fleet.nodes[0].engine.is_started()).await;
}

/// Reads for some seconds; returns the number of reads that were answered.
async fn count_answered_reads(reader: &mut Client) -> usize {
    let mut answered = 0;
    for _ in 0..10 {
        answered += usize::from(reader.read("x").await.outcome.is_ok());
        sleep(Duration::from_millis(300)).await;
    }
    answered
}

/// A gone predecessor at a member's address must not count as its successor: the member's log would
/// be left out of account.
#[rstest]
#[tokio::test(start_paused = true)]
async fn absent_members_are_not_replaced_by_their_predecessors(
    #[values(BOUNDED_DATABASE, OWN_DATABASE)] database: &str,
    #[values(false, true)] has_predecessors: bool,
) {
    let mut fleet = Fleet::start(2).await;
    if has_predecessors {
        let former = ["a", "b"].map(|name| predecessor(&fleet, name));
        fleet.world.other_members.lock().unwrap().extend(former);
        sleep(Duration::from_secs(2)).await;
        fleet.world.other_members.lock().unwrap().clear();
        wait_until_gone(&fleet, "former-a").await;
    }
    write_with_lagging_replica(&fleet).await;
    fleet.world.crash("a");
    fleet.world.change("b", |server| server.unresponsive = true);
    unlist(&fleet, "a");
    unlist(&fleet, "b");
    wait_until_gone(&fleet, "a").await;
    wait_until_gone(&fleet, "b").await;
    sleep(Duration::from_secs(1)).await;
    restart_processes(&mut fleet).await;
    let mut reader = Client::open(&fleet.nodes[0].engine, database);
    assert_eq!(count_answered_reads(&mut reader).await, 0);
    // The replica that returns holds the acknowledged commits.
    fleet
        .world
        .change("b", |server| server.unresponsive = false);
    fleet.world.unlisted.lock().unwrap().remove("b");
    sleep(Duration::from_secs(4)).await;
    assert!(reader.read("x").await.outcome.is_ok());
}

/// A replica that has left took its log along, which may have been the only copy beside the absent
/// leader's.
#[tokio::test(start_paused = true)]
async fn log_of_a_departed_replica_is_unknown_to_a_new_process() {
    let mut fleet = Fleet::start(2).await;
    write_with_lagging_replica(&fleet).await;
    fleet.world.crash("b");
    unlist(&fleet, "b");
    wait_until_gone(&fleet, "b").await;
    sleep(Duration::from_secs(1)).await;
    fleet.world.set_promoter_fault(PromoterFault::Down);
    fleet.world.crash("a");
    restart_processes(&mut fleet).await;
    sleep(DEPARTURE_TIME).await;
    let mut reader = Client::open(&fleet.nodes[0].engine, BOUNDED_DATABASE);
    assert_eq!(count_answered_reads(&mut reader).await, 0);
    fleet.world.restart("a");
    sleep(Duration::from_secs(2)).await;
    assert!(reader.read("x").await.outcome.is_ok());
}

/// The entry may show a restart late. A log that is empty beside others isn't the one that the
/// server had.
#[tokio::test(start_paused = true)]
async fn empty_log_of_a_restarted_replica_covers_nothing() {
    let mut fleet = Fleet::start(2).await;
    write_with_lagging_replica(&fleet).await;
    fleet.world.crash("a");
    fleet.world.start_empty("b");
    // Its entry doesn't show the restart.
    fleet.world.change("b", |server| server.started_at = None);
    fleet.world.set_promoter_fault(PromoterFault::Down);
    restart_processes(&mut fleet).await;
    let mut reader = Client::open(&fleet.nodes[0].engine, BOUNDED_DATABASE);
    assert_eq!(count_answered_reads(&mut reader).await, 0);
}

/// Servers that have left for good don't keep a new process from serving a group without traffic.
#[tokio::test(start_paused = true)]
async fn quiet_group_with_departed_servers_is_read_at_its_leader() {
    let mut fleet = Fleet::start(2).await;
    let departed = ["x", "y"].map(|name| Member {
        address: ([10, 0, 0, name.as_bytes()[0]], 5000).into(),
        ..predecessor(&fleet, "c")
    });
    let departed = departed.into_iter().zip(["former-x", "former-y"]);
    let departed = departed.map(|(member, id)| Member {
        id: Arc::from(id),
        ..member
    });
    fleet.world.other_members.lock().unwrap().extend(departed);
    sleep(Duration::from_secs(2)).await;
    fleet.world.other_members.lock().unwrap().clear();
    write_with_lagging_replica(&fleet).await;
    restart_processes(&mut fleet).await;
    assert!(fleet.nodes[0].engine.directory().has_group(GROUP));
    let mut reader = Client::open(&fleet.nodes[0].engine, BOUNDED_DATABASE);
    for _ in 0..10 {
        assert!(reader.read("x").await.outcome.is_ok());
        sleep(GONE_RETENTION / 10).await;
    }
}
