//! Evacuation of zones under single failures: when the last statement is sent to the zone, which
//! member leads, and what clients receive.

mod support;

use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::leadership::record::{TermPhase, TermRecord};
use stilequay_engine::statement::Reply;
use stilequay_engine::verdict::{FailureReason, Verdict};
use support::records::Fault;
use support::{
    BOUNDED_DATABASE, Client, Fleet, GROUP, LEADER_DATABASE, OWN_DATABASE, read, read_row, until,
    write,
};
use tokio::time::{Instant, sleep, sleep_until};

const BOUND: Duration = Duration::from_secs(5);
/// Zones of the processes; the servers `a`, `b` and `c` are in the zones named after them.
const ZONES: &[&str] = &["zone-a", "zone-b", "zone-c"];
/// Size of a fleet that uses homes and follows the store through a few processes.
const LARGE_FLEET: usize = 24;

fn zones(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

async fn start_fleet(nodes: usize) -> Fleet {
    let fleet = Fleet::start_with_evacuation_bound(BOUND, ZONES, nodes).await;
    let is_known = |node: &support::Node| node.engine.homes().fleet().len() == nodes;
    until(|| fleet.nodes.iter().all(is_known)).await;
    sleep(Duration::from_secs(3)).await;
    fleet
}

/// Sets the evacuated zones in the store to `names`; returns when the store acknowledged that.
fn evacuate(fleet: &Fleet, names: &[&str]) -> Instant {
    fleet.evacuations.send_modify(|evacuations| {
        evacuations.version += 1;
        evacuations.zones = zones(names);
    });
    Instant::now()
}

/// Spawns clients of one process that read and write continuously.
fn spawn_load(fleet: &Fleet, node: usize) {
    let engine = Arc::clone(&fleet.nodes[node].engine);
    for database in [BOUNDED_DATABASE, OWN_DATABASE] {
        let mut client = Client::open(&engine, database);
        tokio::spawn(async move {
            loop {
                if database == OWN_DATABASE {
                    let _ = client.write("x 1").await;
                }
                let _ = client.read("x").await;
                sleep(Duration::from_millis(90)).await;
            }
        });
    }
}

fn last_command(fleet: &Fleet, server: &str) -> Option<Instant> {
    fleet.world.server(server).last_command
}

/// Waits until well after the bound of a request acknowledged at `acked_at`; returns the time from
/// then to the last command that reached `server`.
async fn last_command_after(fleet: &Fleet, server: &str, acked_at: Instant) -> Duration {
    sleep_until(acked_at + BOUND * 2).await;
    last_command(fleet, server).map_or(Duration::ZERO, |at| at.saturating_duration_since(acked_at))
}

fn refusal_reason(reply: &Reply) -> FailureReason {
    let failure = reply.outcome.as_ref().expect_err("it is refused");
    assert_eq!(failure.verdict, Verdict::NotRun);
    failure.reason.clone()
}

async fn retry_write(fleet: &Fleet, node: usize) {
    let mut client = fleet.session(node, OWN_DATABASE);
    for _ in 0..20 {
        if client.write("x 1").await.outcome.is_ok() {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("no write succeeded");
}

/// A healthy leader hands over without losing commits, and its server receives nothing more.
#[tokio::test(start_paused = true)]
async fn leadership_moves_and_nothing_is_sent_after_the_bound() {
    let fleet = start_fleet(4).await;
    (0..4).for_each(|node| spawn_load(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    let acked_at = evacuate(&fleet, &["zone-a"]);
    let group = fleet.nodes[0].engine.group(&Arc::from(GROUP));
    until(|| group.view().epoch == 1 && group.view().confirmed).await;
    let moved = acked_at.elapsed();
    assert!(moved < BOUND.mul_f64(0.5), "{moved:?}");
    let last = last_command_after(&fleet, "a", acked_at).await;
    assert!(last < BOUND.mul_f64(0.75), "{last:?}");
    assert_eq!(fleet.world.promotions().len(), 1);
    let (old, new) = (
        fleet.world.server("a"),
        fleet.world.server(&fleet.world.leader()),
    );
    let held: BTreeSet<&String> = new.log.iter().map(|entry| &entry.1).collect();
    assert!(old.log.iter().all(|entry| held.contains(&entry.1)));
    assert_eq!(fleet.world.open_connections("a"), 0);
    retry_write(&fleet, 1).await;
}

/// Reads leave the zone gradually, and all of them in time.
#[tokio::test(start_paused = true)]
async fn reads_leave_an_evacuated_zone_gradually() {
    let fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    sleep(Duration::from_millis(100)).await;
    // The process in the zone of `b` reads from `b`.
    let mut client = fleet.session(1, BOUNDED_DATABASE);
    let mut count_reads_at_b = async |reads: usize| {
        let mut count = 0;
        for _ in 0..reads {
            count += usize::from(read_row(&client.read("x").await).0 == "b");
            sleep(Duration::from_millis(5)).await;
        }
        count
    };
    assert_eq!(count_reads_at_b(20).await, 20);
    let acked_at = evacuate(&fleet, &["zone-b"]);
    sleep(Duration::from_millis(100)).await;
    let early = count_reads_at_b(40).await;
    sleep_until(acked_at + BOUND.mul_f64(0.25)).await;
    let late = count_reads_at_b(40).await;
    sleep_until(acked_at + BOUND.mul_f64(0.52)).await;
    assert!(early > 20, "{early} of 40");
    assert!((1..40).contains(&late), "{late} of 40");
    assert_eq!(count_reads_at_b(20).await, 0);
}

/// Reads that wait for the new leader don't make their processes query the store.
#[tokio::test(start_paused = true)]
async fn a_leader_evacuation_causes_few_store_calls() {
    let fleet = start_fleet(LARGE_FLEET).await;
    (0..LARGE_FLEET).for_each(|node| spawn_load(&fleet, node));
    for node in 0..LARGE_FLEET {
        let mut client = fleet.session(node, LEADER_DATABASE);
        tokio::spawn(async move {
            loop {
                let _ = client.read("x").await;
                sleep(Duration::from_millis(100)).await;
            }
        });
    }
    sleep(Duration::from_secs(1)).await;
    let calls_of = async |seconds: u64| {
        let before = fleet.records.calls();
        sleep(Duration::from_secs(seconds)).await;
        fleet.records.calls() - before
    };
    let usual = calls_of(3).await;
    evacuate(&fleet, &["zone-a"]);
    let moving = calls_of(3).await;
    assert_eq!(fleet.world.promotions().len(), 1);
    println!("{usual} calls in 3 s, {moving} with a move");
    assert!(
        moving < usual + LARGE_FLEET as u64,
        "{usual}, then {moving}"
    );
}

/// If the holder of the promotion lease dies after recording a change of leader, the next holder
/// completes it.
#[tokio::test(start_paused = true)]
async fn a_leader_change_is_completed_by_the_next_lease_holder() {
    let mut fleet = start_fleet(4).await;
    (0..4).for_each(|node| spawn_load(&fleet, node));
    let holder = fleet.holder();
    let acked_at = evacuate(&fleet, &["zone-a"]);
    let key = TermRecord::key(&Arc::from(GROUP));
    until(|| {
        fleet
            .records
            .get(&key)
            .is_some_and(|record| record.version > 0)
    })
    .await;
    assert!(fleet.world.promotions().is_empty());
    fleet.kill(holder);
    let last = last_command_after(&fleet, "a", acked_at).await;
    assert!(last < BOUND, "{last:?}");
    let other = (0..4).find(|node| *node != holder).expect("another");
    let known = fleet.nodes[other].engine.terms().known(&Arc::from(GROUP));
    assert_eq!(known.map(|term| term.record.phase), Some(TermPhase::Active));
    assert_ne!(fleet.world.leader(), "a");
    retry_write(&fleet, other).await;
}

/// A process that is cut off from those that it polls learns of the evacuation from others in time.
#[tokio::test(start_paused = true)]
async fn a_process_that_is_cut_off_from_its_relays_learns_in_time() {
    let fleet = start_fleet(LARGE_FLEET).await;
    (0..LARGE_FLEET).for_each(|node| spawn_load(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    let downstream = (0..LARGE_FLEET).rev().find(|node| {
        let following = fleet.nodes[*node].engine.following();
        !following.is_direct()
    });
    let downstream = &fleet.nodes[downstream.expect("one that follows others")];
    for node in &fleet.nodes {
        let serves_others = node.engine.following().is_direct();
        if serves_others && node.engine.settings().zone == downstream.engine.settings().zone {
            fleet.network().cut(&downstream.name, &node.name);
        }
    }
    let acked_at = evacuate(&fleet, &["zone-a"]);
    until(|| downstream.engine.evacuations().contains("zone-a")).await;
    assert!(
        acked_at.elapsed() < BOUND.mul_f64(0.6),
        "{:?}",
        acked_at.elapsed()
    );
    let last = last_command_after(&fleet, "a", acked_at).await;
    assert!(last < BOUND, "{last:?}");
    let mut client = Client::open(&downstream.engine, BOUNDED_DATABASE);
    assert_ne!(read_row(&client.read("x").await).0, "a");
}

/// Processes that the store no longer answers, a third of all, learn from the others.
#[tokio::test(start_paused = true)]
async fn processes_without_access_to_the_store_learn_from_others() {
    let fleet = start_fleet(LARGE_FLEET).await;
    (0..LARGE_FLEET).for_each(|node| spawn_load(&fleet, node));
    for node in fleet.nodes.iter().step_by(3) {
        fleet.records.ignore_node(&node.name);
    }
    let acked_at = evacuate(&fleet, &["zone-a"]);
    let last = last_command_after(&fleet, "a", acked_at).await;
    assert!(last < BOUND, "{last:?}");
    for node in &fleet.nodes {
        assert!(
            node.engine.evacuations().contains("zone-a"),
            "{}",
            node.name
        );
    }
}

/// While the store doesn't answer, no process can know whether a zone is evacuated, so all refuse
/// statements before the bound. They serve again once the store answers.
#[tokio::test(start_paused = true)]
async fn all_processes_refuse_in_time_while_the_store_is_silent() {
    let fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    fleet.records.set_fault(Fault::Silent);
    let silent = Instant::now();
    sleep_until(silent + BOUND.mul_f64(0.8)).await;
    let mut client = fleet.session(1, BOUNDED_DATABASE);
    assert!(client.read("x").await.outcome.is_ok());
    sleep_until(silent + BOUND.mul_f64(0.92)).await;
    let outdated = FailureReason::ConfigurationOutdated;
    assert_eq!(refusal_reason(&client.read("x").await), outdated);
    assert_eq!(refusal_reason(&client.write("x 1").await), outdated);
    fleet.records.set_fault(Fault::None);
    sleep(Duration::from_secs(1)).await;
    assert!(client.read("x").await.outcome.is_ok());
    retry_write(&fleet, 1).await;
}

/// A process that is frozen beyond the bound sends nothing to the zone when it resumes.
#[tokio::test(start_paused = true)]
async fn a_process_resumed_after_the_bound_sends_nothing_to_the_zone() {
    let fleet = start_fleet(4).await;
    retry_write(&fleet, 0).await;
    let mut idle = fleet.session(3, OWN_DATABASE);
    assert!(idle.begin(false).await.outcome.is_ok());
    assert!(idle.write("x 1").await.outcome.is_ok());
    fleet.freeze("node-3", true);
    let acked_at = evacuate(&fleet, &["zone-a"]);
    sleep_until(acked_at + BOUND * 2).await;
    // It resumes and has not learned of the evacuation yet.
    fleet.freeze("node-3", false);
    assert!(!fleet.nodes[3].engine.evacuations().contains("zone-a"));
    let mut new_client = fleet.session(3, BOUNDED_DATABASE);
    let outdated = FailureReason::ConfigurationOutdated;
    assert_eq!(refusal_reason(&new_client.read("x").await), outdated);
    assert_eq!(
        refusal_reason(&idle.commit().await),
        FailureReason::TransactionLost
    );
    sleep(Duration::from_secs(1)).await;
    let last = last_command_after(&fleet, "a", acked_at).await;
    assert!(last < BOUND, "{last:?}");
    assert_ne!(read_row(&new_client.read("x").await).0, "a");
    retry_write(&fleet, 3).await;
}

/// If the zone fails during its evacuation, its leader is replaced like any failed leader.
#[tokio::test(start_paused = true)]
async fn a_leader_that_crashes_during_its_evacuation_is_replaced() {
    let mut fleet = start_fleet(4).await;
    (0..4).for_each(|node| spawn_load(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    evacuate(&fleet, &["zone-a"]);
    sleep(Duration::from_millis(30)).await;
    fleet.world.crash("a");
    // Processes are assigned to the zones round-robin: these are in `zone-a`.
    [0, 3].into_iter().for_each(|node| fleet.kill(node));
    sleep(Duration::from_secs(4)).await;
    assert_ne!(fleet.world.leader(), "a");
    retry_write(&fleet, 1).await;
}

/// After a restart of all processes, the evacuated zones are read before any statement is sent.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_to_an_evacuated_zone_after_a_fleet_restart() {
    let mut fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    (0..3).for_each(|node| fleet.kill(node));
    let acked_at = evacuate(&fleet, &["zone-a", "zone-b"]);
    sleep(BOUND).await;
    let names: Vec<String> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    fleet.nodes = names.iter().map(|name| fleet.respawn_node(name)).collect();
    (0..3).for_each(|node| spawn_load(&fleet, node));
    sleep(Duration::from_secs(3)).await;
    for server in ["a", "b"] {
        let last = last_command(&fleet, server);
        assert!(last.is_none_or(|at| at <= acked_at), "{server}");
    }
    assert_eq!(fleet.world.leader(), "c");
    retry_write(&fleet, 2).await;
}

/// If an evacuation is cancelled halfway, reads return, the leader stays and nothing is refused.
#[tokio::test(start_paused = true)]
async fn a_zone_serves_again_after_a_cancelled_evacuation() {
    let fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    sleep(Duration::from_millis(100)).await;
    let acked_at = evacuate(&fleet, &["zone-b"]);
    sleep_until(acked_at + BOUND.mul_f64(0.4)).await;
    evacuate(&fleet, &[]);
    let engine = &fleet.nodes[1].engine;
    until(|| engine.evacuations().zones.is_empty()).await;
    assert!(engine.evacuation_schedule().restored_at("zone-b").is_some());
    sleep(BOUND).await;
    let mut client = fleet.session(1, BOUNDED_DATABASE);
    for _ in 0..10 {
        assert_eq!(read_row(&client.read("x").await).0, "b");
    }
    assert_eq!(fleet.world.leader(), "a");
    assert!(fleet.world.promotions().is_empty());
}

/// If two zones are evacuated at once, the member in the third leads and serves.
#[rstest]
#[case::the_first_two("b", "c")]
#[case::the_outer_two("c", "b")]
#[tokio::test(start_paused = true)]
async fn evacuating_two_zones_moves_everything_to_the_third(
    #[case] other: &str,
    #[case] left: &str,
) {
    let fleet = start_fleet(4).await;
    (0..4).for_each(|node| spawn_load(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    let other_zone = format!("zone-{other}");
    let acked_at = evacuate(&fleet, &["zone-a", &other_zone]);
    for server in ["a", other] {
        let last = last_command_after(&fleet, server, acked_at).await;
        assert!(last < BOUND, "{server}: {last:?}");
    }
    assert_eq!(fleet.world.leader(), left);
    assert_eq!(fleet.world.promotions().len(), 1);
    retry_write(&fleet, 0).await;
}

/// A home without recent updates sends nothing; statements forwarded to it go to the next one.
#[rstest]
#[case::the_first_home(0)]
#[case::the_second_home(1)]
#[tokio::test(start_paused = true)]
async fn statements_refused_by_a_home_go_to_the_next_one(#[case] rank: usize) {
    let fleet = start_fleet(LARGE_FLEET).await;
    retry_write(&fleet, 0).await;
    let directory = fleet.nodes[0].engine.directory();
    let member = Arc::clone(directory.member("a").expect("a member"));
    let candidates = fleet.nodes[0].engine.homes().candidates(&member);
    let home = candidates[rank].node.to_string();
    let is_remote = |node: &&support::Node| !node.engine.connects_directly(&member);
    let entry = fleet.nodes.iter().rev().find(is_remote).expect("a process");
    fleet.records.ignore_node(&home);
    for node in &fleet.nodes {
        if node.name != home && node.name != entry.name {
            fleet.network().cut(&home, &node.name);
        }
    }
    sleep(BOUND).await;
    let mut client = Client::open(&entry.engine, LEADER_DATABASE);
    for _ in 0..10 {
        assert_eq!(read_row(&client.read("x").await).0, "a");
    }
}

/// Statements are refused at once if no member may be used, or only a leader in an evacuated zone
/// could run them.
#[tokio::test(start_paused = true)]
async fn statements_without_an_eligible_member_are_refused_at_once() {
    let fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    evacuate(&fleet, &["zone-a", "zone-b", "zone-c"]);
    sleep(BOUND).await;
    assert!(fleet.world.promotions().is_empty());
    let requested_at = Instant::now();
    for statement in [read("x"), write("x 1")] {
        for database in [LEADER_DATABASE, BOUNDED_DATABASE, OWN_DATABASE] {
            let reply = fleet.session(0, database).send(statement.clone()).await;
            assert_eq!(
                refusal_reason(&reply),
                FailureReason::ZoneEvacuated,
                "{database}"
            );
        }
    }
    assert!(
        requested_at.elapsed() < Duration::from_millis(20),
        "{:?}",
        requested_at.elapsed()
    );
    // Statements wait for a member elsewhere that can't lead yet.
    evacuate(&fleet, &["zone-a", "zone-b"]);
    sleep(Duration::from_secs(3)).await;
    retry_write(&fleet, 0).await;
    assert_eq!(fleet.world.leader(), "c");
}

/// Leadership does not move to a member that lacks commits, since it would return to the zone.
#[tokio::test(start_paused = true)]
async fn leadership_waits_for_a_replica_that_is_behind() {
    let fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    fleet
        .world
        .change("c", |server| server.not_receiving = true);
    retry_write(&fleet, 0).await;
    evacuate(&fleet, &["zone-a", "zone-b"]);
    sleep(Duration::from_secs(2)).await;
    assert!(fleet.world.promotions().is_empty());
    fleet
        .world
        .change("c", |server| server.not_receiving = false);
    retry_write(&fleet, 0).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.world.leader(), "c");
}

/// A transaction that is open on an evacuated server is lost at the bound: it is reported as not
/// run, and has not run.
#[tokio::test(start_paused = true)]
async fn an_open_transaction_is_lost_at_the_bound_and_reported_as_not_run() {
    let fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    let acked_at = evacuate(&fleet, &["zone-a", "zone-b", "zone-c"]);
    let mut client = fleet.session(0, OWN_DATABASE);
    assert!(client.begin(false).await.outcome.is_ok());
    let mut ids = Vec::new();
    while acked_at.elapsed() < BOUND.mul_f64(0.55) {
        let (id, reply) = client.send_with_id(write("x 1")).await;
        assert!(reply.outcome.is_ok(), "{reply:?}");
        ids.push(id);
        sleep(Duration::from_millis(100)).await;
    }
    sleep_until(acked_at + BOUND.mul_f64(0.8)).await;
    let reply = client.commit().await;
    assert_eq!(refusal_reason(&reply), FailureReason::TransactionLost);
    let log = fleet.world.server("a").log;
    assert!(!log.iter().any(|entry| ids.contains(&entry.1)));
    let last = last_command_after(&fleet, "a", acked_at).await;
    assert!(last < BOUND.mul_f64(0.75), "{last:?}");
}

/// A third of a large fleet is cut off from the store and all other processes but still reaches the
/// servers: nothing is sent to the zone after the bound.
#[tokio::test(start_paused = true)]
async fn the_bound_holds_while_a_third_of_the_fleet_is_cut_off() {
    let fleet = start_fleet(LARGE_FLEET).await;
    (0..LARGE_FLEET).for_each(|node| spawn_load(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    // Some processes of each zone.
    let is_cut = |index: usize| (index / ZONES.len()) % 3 == 2;
    for (index, node) in fleet.nodes.iter().enumerate().filter(|(i, _)| is_cut(*i)) {
        fleet.records.ignore_node(&node.name);
        let others = fleet.nodes.iter().enumerate().filter(|(i, _)| *i != index);
        others.for_each(|(_, other)| fleet.network().cut(&node.name, &other.name));
    }
    let acked_at = evacuate(&fleet, &["zone-a"]);
    let mut clients: Vec<Client> = (0..LARGE_FLEET)
        .filter(|index| !is_cut(*index))
        .map(|index| fleet.session(index, BOUNDED_DATABASE))
        .collect();
    let (mut requests, mut refused) = (0, 0);
    while acked_at.elapsed() < BOUND * 2 {
        for client in &mut clients {
            requests += 1;
            refused += usize::from(client.read("x").await.outcome.is_err());
        }
        sleep(Duration::from_millis(50)).await;
    }
    let last = last_command_after(&fleet, "a", acked_at).await;
    println!("last command {last:?} after the acknowledgement; refused {refused} of {requests}");
    assert!(last < BOUND, "{last:?}");
    assert!(refused * 100 <= requests, "{refused} of {requests}");
}
