//! The store load caused by the start of a new fleet, by its restart and by the restart of a single
//! process.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;
use stilequay_engine::home::placement::StoreSource;
use support::groups::{members_of_groups, with_groups};
use support::{Fleet, Node, OWN_DATABASE, until};
use tokio::time::{Instant, sleep};

/// Number of processes of the fleet, in five zones.
const PROCESSES: usize = 100;
const ZONES: &[&str] = &["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"];
/// Number of processes that may read whole tables: the first two of the fleet, the lease holder,
/// and two of each zone while the fleet is unknown.
const MAX_FULL_READS: u64 = 13;
/// Maximum store calls per process during a start: reads of the index and of the records, and the
/// write of its own record, with allowance for one retry.
const MAX_CALLS_PER_PROCESS: u64 = 6;
/// Number of groups, with three members each, whose data the processes of a large fleet receive.
const GROUPS: usize = 300;
/// Send rate, in bytes per second, at which the ten clients of a relay wait several seconds for
/// their data.
const SLOW_SEND_RATE: u64 = 1_000_000;
/// Maximum time from the start of all processes until each one serves.
const MAX_START_TIME: Duration = Duration::from_secs(4);

fn knows_fleet(node: &Node) -> bool {
    node.engine.processes() == PROCESSES && node.engine.terms().has_read()
}

async fn until_known(fleet: &Fleet) {
    until(|| fleet.nodes.iter().all(knows_fleet)).await;
}

/// The number of store calls and of full reads since `before`.
fn cost(fleet: &Fleet, before: (u64, u64)) -> (u64, u64) {
    let records = &fleet.records;
    (records.calls() - before.0, records.full_reads() - before.1)
}

/// Restarts all processes at once and returns when each knows the fleet. Checks that only a few of
/// them read whole tables, and that there are at most three store calls per process.
async fn restart_all(fleet: &mut Fleet) {
    (0..PROCESSES).for_each(|node| fleet.kill(node));
    let before = (fleet.records.calls(), fleet.records.full_reads());
    let names: Vec<String> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    for (index, name) in names.iter().enumerate() {
        fleet.nodes[index] = fleet.respawn_node(name);
    }
    until_known(fleet).await;
    let (calls, whole) = cost(fleet, before);
    assert!(whole <= MAX_FULL_READS, "{whole}");
    assert!(calls <= 3 * PROCESSES as u64, "{calls}");
}

async fn until_all_serve(fleet: &Fleet) {
    for node in 0..PROCESSES {
        let mut client = fleet.session(node, OWN_DATABASE);
        client
            .write_until_acknowledged(Duration::from_secs(30))
            .await;
    }
}

#[tokio::test(start_paused = true)]
async fn only_a_few_processes_of_a_new_fleet_read_whole_tables() {
    let fleet = Fleet::start_in(ZONES, PROCESSES).await;
    until_known(&fleet).await;
    let (calls, whole) = cost(&fleet, (0, 0));
    assert!(whole <= MAX_FULL_READS, "{whole}");
    assert!(calls <= MAX_CALLS_PER_PROCESS * PROCESSES as u64, "{calls}");
}

#[tokio::test(start_paused = true)]
async fn restarted_fleet_asks_the_processes_listed_in_its_index() {
    let mut fleet = Fleet::start_in(ZONES, PROCESSES).await;
    until_known(&fleet).await;
    until(|| fleet.records.get("fleet").is_some()).await;
    // Wait until the index lists the relays of the whole fleet.
    sleep(Duration::from_secs(3)).await;
    let began = Instant::now();
    restart_all(&mut fleet).await;
    until_all_serve(&fleet).await;
    assert!(began.elapsed() < MAX_START_TIME, "{:?}", began.elapsed());
}

/// So many processes get their initial data from a relay at once that sending it takes longer than
/// the timeout of an answer.
#[tokio::test(start_paused = true)]
async fn fleet_restarted_over_slow_links_does_not_fall_back_to_the_store() {
    let mut fleet = Fleet::start_in(ZONES, PROCESSES).await;
    until_known(&fleet).await;
    *fleet.world.other_members.lock().unwrap() = members_of_groups(GROUPS).collect();
    fleet.configuration.send_replace(with_groups(2, GROUPS));
    until(|| fleet.records.get("fleet").is_some()).await;
    sleep(Duration::from_secs(5)).await;
    fleet
        .peers
        .send_rate
        .store(SLOW_SEND_RATE, Ordering::Relaxed);
    restart_all(&mut fleet).await;
}

/// All processes listed in the index are permanently gone.
#[tokio::test(start_paused = true)]
async fn process_that_reaches_none_of_the_index_falls_back_to_the_store() {
    let mut fleet = Fleet::start_in(ZONES, PROCESSES).await;
    until_known(&fleet).await;
    sleep(Duration::from_secs(3)).await;
    (0..PROCESSES).for_each(|node| fleet.kill(node));
    let late = fleet.spawn_node("node-104");
    let began = Instant::now();
    until(|| late.engine.terms().has_read()).await;
    assert!(began.elapsed() < MAX_START_TIME, "{:?}", began.elapsed());
    assert!(late.engine.processes() > 16);
}

#[tokio::test(start_paused = true)]
async fn restart_of_a_single_process_reads_no_whole_tables() {
    let mut fleet = Fleet::start_in(ZONES, PROCESSES).await;
    until_known(&fleet).await;
    sleep(Duration::from_secs(3)).await;
    let is_bystander = |node: &Node| {
        let zone = &node.engine.settings().zone;
        let homes = node.engine.homes();
        homes.store_source(zone) != StoreSource::Store && !homes.is_follower(zone)
    };
    let node = fleet
        .nodes
        .iter()
        .rposition(is_bystander)
        .expect("a bystander");
    let name = fleet.nodes[node].name.clone();
    let whole = fleet.records.full_reads();
    fleet.kill(node);
    fleet.nodes[node] = fleet.respawn_node(&name);
    until(|| knows_fleet(&fleet.nodes[node])).await;
    assert_eq!(fleet.records.full_reads(), whole);
}
