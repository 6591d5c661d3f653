//! Evacuated zones: what is sent there, until when, who leads, and what callers are told,
//! under one failure at a time.

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
    BOUNDED_DATABASE, Client, Fleet, GROUP, LEADER_DATABASE, OWN_DATABASE, read, seen, until, write,
};
use tokio::time::{Instant, sleep, sleep_until};

const BOUND: Duration = Duration::from_secs(5);
/// Zones of processes; servers `a`, `b`, `c` stand in those of their names.
const ZONES: &[&str] = &["zone-a", "zone-b", "zone-c"];
/// Processes of a fleet that needs homes, and follows the store through a few.
const LARGE_FLEET: usize = 24;

fn zones(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

async fn start_fleet(nodes: usize) -> Fleet {
    let fleet = Fleet::start_evacuated_within(BOUND, ZONES, nodes).await;
    let is_known = |node: &support::Node| node.engine.homes().fleet().len() == nodes;
    until(|| fleet.nodes.iter().all(is_known)).await;
    sleep(Duration::from_secs(3)).await;
    fleet
}

/// Lets the store acknowledge that exactly `names` are evacuated.
fn evacuate(fleet: &Fleet, names: &[&str]) -> Instant {
    fleet.evacuations.send_modify(|evacuations| {
        evacuations.version += 1;
        evacuations.zones = zones(names);
    });
    Instant::now()
}

/// Reads and writes at one process, again and again.
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

/// Waits well past the bound of a request acknowledged at `acknowledged`; when the last command has
/// come to `server` after that.
async fn last_command_after(fleet: &Fleet, server: &str, acknowledged: Instant) -> Duration {
    sleep_until(acknowledged + BOUND * 2).await;
    last_command(fleet, server).map_or(Duration::ZERO, |at| {
        at.saturating_duration_since(acknowledged)
    })
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
    panic!("no write succeeds");
}

/// A leader that is well hands over, no commit is lost, and its server gets nothing more.
#[tokio::test(start_paused = true)]
async fn leadership_moves_and_nothing_is_sent_after_the_bound() {
    let fleet = start_fleet(4).await;
    (0..4).for_each(|node| spawn_load(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    let acknowledged = evacuate(&fleet, &["zone-a"]);
    let group = fleet.nodes[0].engine.group(&Arc::from(GROUP));
    until(|| group.view().epoch == 1 && group.view().confirmed).await;
    let moved = acknowledged.elapsed();
    assert!(moved < BOUND.mul_f64(0.5), "{moved:?}");
    let last = last_command_after(&fleet, "a", acknowledged).await;
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

/// Reads leave the zone by degrees: not at once, and all of them in time.
#[tokio::test(start_paused = true)]
async fn reads_leave_an_evacuated_zone_gradually() {
    let fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    sleep(Duration::from_millis(100)).await;
    // The process in the zone of `b` reads there.
    let mut client = fleet.session(1, BOUNDED_DATABASE);
    let mut count_reads_at_b = async |reads: usize| {
        let mut count = 0;
        for _ in 0..reads {
            count += usize::from(seen(&client.read("x").await).0 == "b");
            sleep(Duration::from_millis(5)).await;
        }
        count
    };
    assert_eq!(count_reads_at_b(20).await, 20);
    let acknowledged = evacuate(&fleet, &["zone-b"]);
    sleep(Duration::from_millis(100)).await;
    let early = count_reads_at_b(40).await;
    sleep_until(acknowledged + BOUND.mul_f64(0.25)).await;
    let late = count_reads_at_b(40).await;
    sleep_until(acknowledged + BOUND.mul_f64(0.52)).await;
    assert!(early > 20, "{early} of 40");
    assert!((1..40).contains(&late), "{late} of 40");
    assert_eq!(count_reads_at_b(20).await, 0);
}

/// Reads that wait for the new leader don't make their processes ask the store.
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

/// The holder of the lease dies after it has recorded the change: the next completes it.
#[tokio::test(start_paused = true)]
async fn a_change_whose_holder_dies_is_completed() {
    let mut fleet = start_fleet(4).await;
    (0..4).for_each(|node| spawn_load(&fleet, node));
    let holder = fleet.holder();
    let acknowledged = evacuate(&fleet, &["zone-a"]);
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
    let last = last_command_after(&fleet, "a", acknowledged).await;
    assert!(last < BOUND, "{last:?}");
    let other = (0..4).find(|node| *node != holder).expect("another");
    let known = fleet.nodes[other].engine.terms().known(&Arc::from(GROUP));
    assert_eq!(known.map(|term| term.record.phase), Some(TermPhase::Active));
    assert_ne!(fleet.world.leader(), "a");
    retry_write(&fleet, other).await;
}

/// The process that tells another is cut off from it: it hears from others, in time.
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
    let acknowledged = evacuate(&fleet, &["zone-a"]);
    until(|| downstream.engine.evacuations().contains("zone-a")).await;
    assert!(
        acknowledged.elapsed() < BOUND.mul_f64(0.6),
        "{:?}",
        acknowledged.elapsed()
    );
    let last = last_command_after(&fleet, "a", acknowledged).await;
    assert!(last < BOUND, "{last:?}");
    let mut client = Client::open(&downstream.engine, BOUNDED_DATABASE);
    assert_ne!(seen(&client.read("x").await).0, "a");
}

/// The store answers a third of the processes no more: others tell them.
#[tokio::test(start_paused = true)]
async fn processes_without_access_to_the_store_learn_from_others() {
    let fleet = start_fleet(LARGE_FLEET).await;
    (0..LARGE_FLEET).for_each(|node| spawn_load(&fleet, node));
    for node in fleet.nodes.iter().step_by(3) {
        fleet.records.ignore_node(&node.name);
    }
    let acknowledged = evacuate(&fleet, &["zone-a"]);
    let last = last_command_after(&fleet, "a", acknowledged).await;
    assert!(last < BOUND, "{last:?}");
    for node in &fleet.nodes {
        assert!(
            node.engine.evacuations().contains("zone-a"),
            "{}",
            node.name
        );
    }
}

/// The store answers nobody: nobody can tell what is evacuated, and all refuse before the
/// bound; they serve again with the store.
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

/// A process that stands still over the bound sends nothing there when it goes on.
#[tokio::test(start_paused = true)]
async fn a_process_that_stood_still_over_the_bound_sends_nothing_there() {
    let fleet = start_fleet(4).await;
    retry_write(&fleet, 0).await;
    let mut resting = fleet.session(3, OWN_DATABASE);
    assert!(resting.begin(false).await.outcome.is_ok());
    assert!(resting.write("x 1").await.outcome.is_ok());
    fleet.freeze("node-3", true);
    let acknowledged = evacuate(&fleet, &["zone-a"]);
    sleep_until(acknowledged + BOUND * 2).await;
    // It goes on, and has not heard of anything yet.
    fleet.freeze("node-3", false);
    assert!(!fleet.nodes[3].engine.evacuations().contains("zone-a"));
    let mut fresh = fleet.session(3, BOUNDED_DATABASE);
    let outdated = FailureReason::ConfigurationOutdated;
    assert_eq!(refusal_reason(&fresh.read("x").await), outdated);
    assert_eq!(
        refusal_reason(&resting.commit().await),
        FailureReason::TransactionLost
    );
    sleep(Duration::from_secs(1)).await;
    let last = last_command_after(&fleet, "a", acknowledged).await;
    assert!(last < BOUND, "{last:?}");
    assert_ne!(seen(&fresh.read("x").await).0, "a");
    retry_write(&fleet, 3).await;
}

/// The zone is lost while it is evacuated: its leader is replaced as one that is lost.
#[tokio::test(start_paused = true)]
async fn a_leader_that_crashes_during_its_evacuation_is_replaced() {
    let mut fleet = start_fleet(4).await;
    (0..4).for_each(|node| spawn_load(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    evacuate(&fleet, &["zone-a"]);
    sleep(Duration::from_millis(30)).await;
    fleet.world.crash("a");
    // Processes stand in the zones in turn.
    [0, 3].into_iter().for_each(|node| fleet.kill(node));
    sleep(Duration::from_secs(4)).await;
    assert_ne!(fleet.world.leader(), "a");
    retry_write(&fleet, 1).await;
}

/// All processes start anew while a zone is evacuated: the set is read before anything is sent.
#[tokio::test(start_paused = true)]
async fn after_a_restart_of_all_nothing_is_sent_there() {
    let mut fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    (0..3).for_each(|node| fleet.kill(node));
    let acknowledged = evacuate(&fleet, &["zone-a", "zone-b"]);
    sleep(BOUND).await;
    let names: Vec<String> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    fleet.nodes = names.iter().map(|name| fleet.respawn_node(name)).collect();
    (0..3).for_each(|node| spawn_load(&fleet, node));
    sleep(Duration::from_secs(3)).await;
    for server in ["a", "b"] {
        let last = last_command(&fleet, server);
        assert!(last.is_none_or(|at| at <= acknowledged), "{server}");
    }
    assert_eq!(fleet.world.leader(), "c");
    retry_write(&fleet, 2).await;
}

/// Taken back halfway: reads return, the lead is where it is, and nobody is refused.
#[tokio::test(start_paused = true)]
async fn a_zone_serves_again_after_a_cancelled_evacuation() {
    let fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    sleep(Duration::from_millis(100)).await;
    let acknowledged = evacuate(&fleet, &["zone-b"]);
    sleep_until(acknowledged + BOUND.mul_f64(0.4)).await;
    evacuate(&fleet, &[]);
    let engine = &fleet.nodes[1].engine;
    until(|| engine.evacuations().zones.is_empty()).await;
    assert!(engine.evacuation_schedule().restored_at("zone-b").is_some());
    sleep(BOUND).await;
    let mut client = fleet.session(1, BOUNDED_DATABASE);
    for _ in 0..10 {
        assert_eq!(seen(&client.read("x").await).0, "b");
    }
    assert_eq!(fleet.world.leader(), "a");
    assert!(fleet.world.promotions().is_empty());
}

/// Two zones at once leave one member, which then leads and serves.
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
    let acknowledged = evacuate(&fleet, &["zone-a", &other_zone]);
    for server in ["a", other] {
        let last = last_command_after(&fleet, server, acknowledged).await;
        assert!(last < BOUND, "{server}: {last:?}");
    }
    assert_eq!(fleet.world.leader(), left);
    assert_eq!(fleet.world.promotions().len(), 1);
    retry_write(&fleet, 0).await;
}

/// A home that hears of nothing sends nothing: what was forwarded to it goes to the next one.
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
        assert_eq!(seen(&client.read("x").await).0, "a");
    }
}

/// Where no member may be used, or only the leader of an evacuated zone could, callers hear so
/// at once.
#[tokio::test(start_paused = true)]
async fn statements_without_an_eligible_member_are_refused_at_once() {
    let fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    evacuate(&fleet, &["zone-a", "zone-b", "zone-c"]);
    sleep(BOUND).await;
    assert!(fleet.world.promotions().is_empty());
    let asked = Instant::now();
    for statement in [read("x"), write("x 1")] {
        for database in [LEADER_DATABASE, BOUNDED_DATABASE, OWN_DATABASE] {
            let reply = fleet.session(0, database).ask(statement.clone()).await;
            assert_eq!(
                refusal_reason(&reply),
                FailureReason::ZoneEvacuated,
                "{database}"
            );
        }
    }
    assert!(
        asked.elapsed() < Duration::from_millis(20),
        "{:?}",
        asked.elapsed()
    );
    // A member elsewhere that can't lead yet is waited for.
    evacuate(&fleet, &["zone-a", "zone-b"]);
    sleep(Duration::from_secs(3)).await;
    retry_write(&fleet, 0).await;
    assert_eq!(fleet.world.leader(), "c");
}

/// A lead does not move to a member that lacks commits: it would come back into the zone.
#[tokio::test(start_paused = true)]
async fn leadership_waits_for_a_replica_that_is_behind() {
    let fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    fleet.world.change("c", |server| server.deaf = true);
    retry_write(&fleet, 0).await;
    evacuate(&fleet, &["zone-a", "zone-b"]);
    sleep(Duration::from_secs(2)).await;
    assert!(fleet.world.promotions().is_empty());
    fleet.world.change("c", |server| server.deaf = false);
    retry_write(&fleet, 0).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.world.leader(), "c");
}

/// A transaction that is open there is lost at the bound: it is told as not run, and is not.
#[tokio::test(start_paused = true)]
async fn an_open_transaction_is_lost_and_told_so() {
    let fleet = start_fleet(3).await;
    retry_write(&fleet, 0).await;
    let acknowledged = evacuate(&fleet, &["zone-a", "zone-b", "zone-c"]);
    let mut client = fleet.session(0, OWN_DATABASE);
    assert!(client.begin(false).await.outcome.is_ok());
    let mut ids = Vec::new();
    while acknowledged.elapsed() < BOUND.mul_f64(0.55) {
        let (id, reply) = client.ask_as(write("x 1")).await;
        assert!(reply.outcome.is_ok(), "{reply:?}");
        ids.push(id);
        sleep(Duration::from_millis(100)).await;
    }
    sleep_until(acknowledged + BOUND.mul_f64(0.8)).await;
    let reply = client.commit().await;
    assert_eq!(refusal_reason(&reply), FailureReason::TransactionLost);
    let log = fleet.world.server("a").log;
    assert!(!log.iter().any(|entry| ids.contains(&entry.1)));
    let last = last_command_after(&fleet, "a", acknowledged).await;
    assert!(last < BOUND.mul_f64(0.75), "{last:?}");
}

/// A third of a large fleet hears of nobody any more, and reaches the servers still: nothing
/// comes to the zone after the bound, from nobody.
#[tokio::test(start_paused = true)]
async fn a_third_of_the_fleet_that_is_cut_off_keeps_the_bound() {
    let fleet = start_fleet(LARGE_FLEET).await;
    (0..LARGE_FLEET).for_each(|node| spawn_load(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    // Some of each zone.
    let is_cut = |index: usize| (index / ZONES.len()) % 3 == 2;
    for (index, node) in fleet.nodes.iter().enumerate().filter(|(i, _)| is_cut(*i)) {
        fleet.records.ignore_node(&node.name);
        let others = fleet.nodes.iter().enumerate().filter(|(i, _)| *i != index);
        others.for_each(|(_, other)| fleet.network().cut(&node.name, &other.name));
    }
    let acknowledged = evacuate(&fleet, &["zone-a"]);
    let mut clients: Vec<Client> = (0..LARGE_FLEET)
        .filter(|index| !is_cut(*index))
        .map(|index| fleet.session(index, BOUNDED_DATABASE))
        .collect();
    let (mut asked, mut refused) = (0, 0);
    while acknowledged.elapsed() < BOUND * 2 {
        for client in &mut clients {
            asked += 1;
            refused += usize::from(client.read("x").await.outcome.is_err());
        }
        sleep(Duration::from_millis(50)).await;
    }
    let last = last_command_after(&fleet, "a", acknowledged).await;
    println!("last command {last:?} after the acknowledgement; refused {refused} of {asked}");
    assert!(last < BOUND, "{last:?}");
    assert!(refused * 100 <= asked, "{refused} of {asked}");
}
