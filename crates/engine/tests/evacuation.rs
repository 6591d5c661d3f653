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
    BOUNDED_DATABASE, Client, Fleet, GROUP, LEADER_DATABASE, OWN_DATABASE, read, read_row, until,
    write,
};
use tokio::time::{Instant, sleep, sleep_until};

const BOUND: Duration = Duration::from_secs(5);
/// Zones of processes; servers `a`, `b`, `c` stand in those of their names.
const ZONES: &[&str] = &["zone-a", "zone-b", "zone-c"];
/// Processes of a fleet that needs homes, and follows the store through a few.
const LARGE: usize = 24;

fn zones(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

async fn fleet_of(nodes: usize) -> Fleet {
    let fleet = Fleet::start_with_evacuation_bound(BOUND, ZONES, nodes).await;
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
fn keep_busy(fleet: &Fleet, node: usize) {
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

/// Waits well past the bound of a request acknowledged at `acked`; when the last command has
/// come to `server` after that.
async fn last_after(fleet: &Fleet, server: &str, acked: Instant) -> Duration {
    sleep_until(acked + BOUND * 2).await;
    last_command(fleet, server).map_or(Duration::ZERO, |at| at.saturating_duration_since(acked))
}

fn refusal(reply: &Reply) -> FailureReason {
    let failure = reply.outcome.as_ref().expect_err("it is refused");
    assert_eq!(failure.verdict, Verdict::NotRun);
    failure.reason.clone()
}

async fn write_until_done(fleet: &Fleet, node: usize) {
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
async fn a_leader_moves_out_and_nothing_comes_after_the_bound() {
    let fleet = fleet_of(4).await;
    (0..4).for_each(|node| keep_busy(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    let acked = evacuate(&fleet, &["zone-a"]);
    let group = fleet.nodes[0].engine.group(&Arc::from(GROUP));
    until(|| group.view().epoch == 1 && group.view().confirmed).await;
    let moved = acked.elapsed();
    assert!(moved < BOUND.mul_f64(0.5), "{moved:?}");
    let last = last_after(&fleet, "a", acked).await;
    assert!(last < BOUND.mul_f64(0.75), "{last:?}");
    assert_eq!(fleet.world.promotions().len(), 1);
    let (old, new) = (
        fleet.world.server("a"),
        fleet.world.server(&fleet.world.leader()),
    );
    let held: BTreeSet<&String> = new.log.iter().map(|entry| &entry.1).collect();
    assert!(old.log.iter().all(|entry| held.contains(&entry.1)));
    assert_eq!(fleet.world.open_connections("a"), 0);
    write_until_done(&fleet, 1).await;
}

/// Reads leave the zone by degrees: not at once, and all of them in time.
#[tokio::test(start_paused = true)]
async fn reads_leave_by_degrees() {
    let fleet = fleet_of(3).await;
    write_until_done(&fleet, 0).await;
    sleep(Duration::from_millis(100)).await;
    // The process in the zone of `b` reads there.
    let mut client = fleet.session(1, BOUNDED_DATABASE);
    let mut there = async |reads: usize| {
        let mut count = 0;
        for _ in 0..reads {
            count += usize::from(read_row(&client.read("x").await).0 == "b");
            sleep(Duration::from_millis(5)).await;
        }
        count
    };
    assert_eq!(there(20).await, 20);
    let acked = evacuate(&fleet, &["zone-b"]);
    sleep(Duration::from_millis(100)).await;
    let early = there(40).await;
    sleep_until(acked + BOUND.mul_f64(0.25)).await;
    let late = there(40).await;
    sleep_until(acked + BOUND.mul_f64(0.52)).await;
    assert!(early > 20, "{early} of 40");
    assert!((1..40).contains(&late), "{late} of 40");
    assert_eq!(there(20).await, 0);
}

/// Reads that wait for the new leader don't make their processes ask the store.
#[tokio::test(start_paused = true)]
async fn a_move_of_a_leader_costs_the_store_few_calls() {
    let fleet = fleet_of(LARGE).await;
    (0..LARGE).for_each(|node| keep_busy(&fleet, node));
    for node in 0..LARGE {
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
    assert!(moving < usual + LARGE as u64, "{usual}, then {moving}");
}

/// The holder of the lease dies after it has recorded the change: the next completes it.
#[tokio::test(start_paused = true)]
async fn a_change_whose_holder_dies_is_completed() {
    let mut fleet = fleet_of(4).await;
    (0..4).for_each(|node| keep_busy(&fleet, node));
    let holder = fleet.holder();
    let acked = evacuate(&fleet, &["zone-a"]);
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
    let last = last_after(&fleet, "a", acked).await;
    assert!(last < BOUND, "{last:?}");
    let other = (0..4).find(|node| *node != holder).expect("another");
    let known = fleet.nodes[other].engine.terms().known(&Arc::from(GROUP));
    assert_eq!(known.map(|term| term.record.phase), Some(TermPhase::Active));
    assert_ne!(fleet.world.leader(), "a");
    write_until_done(&fleet, other).await;
}

/// The process that tells another is cut off from it: it hears from others, in time.
#[tokio::test(start_paused = true)]
async fn a_process_whose_followers_are_cut_off_learns_in_time() {
    let fleet = fleet_of(LARGE).await;
    (0..LARGE).for_each(|node| keep_busy(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    let listener = (0..LARGE).rev().find(|node| {
        let following = fleet.nodes[*node].engine.following();
        !following.is_direct()
    });
    let listener = &fleet.nodes[listener.expect("one that follows others")];
    for node in &fleet.nodes {
        let tells = node.engine.following().is_direct();
        if tells && node.engine.settings().zone == listener.engine.settings().zone {
            fleet.network().cut(&listener.name, &node.name);
        }
    }
    let acked = evacuate(&fleet, &["zone-a"]);
    until(|| listener.engine.evacuations().contains("zone-a")).await;
    assert!(
        acked.elapsed() < BOUND.mul_f64(0.6),
        "{:?}",
        acked.elapsed()
    );
    let last = last_after(&fleet, "a", acked).await;
    assert!(last < BOUND, "{last:?}");
    let mut client = Client::open(&listener.engine, BOUNDED_DATABASE);
    assert_ne!(read_row(&client.read("x").await).0, "a");
}

/// The store answers a third of the processes no more: others tell them.
#[tokio::test(start_paused = true)]
async fn processes_that_the_store_does_not_answer_learn_from_others() {
    let fleet = fleet_of(LARGE).await;
    (0..LARGE).for_each(|node| keep_busy(&fleet, node));
    for node in fleet.nodes.iter().step_by(3) {
        fleet.records.ignore_node(&node.name);
    }
    let acked = evacuate(&fleet, &["zone-a"]);
    let last = last_after(&fleet, "a", acked).await;
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
async fn while_the_store_answers_nobody_all_refuse_in_time() {
    let fleet = fleet_of(3).await;
    write_until_done(&fleet, 0).await;
    fleet.records.set_fault(Fault::Silent);
    let silent = Instant::now();
    sleep_until(silent + BOUND.mul_f64(0.8)).await;
    let mut client = fleet.session(1, BOUNDED_DATABASE);
    assert!(client.read("x").await.outcome.is_ok());
    sleep_until(silent + BOUND.mul_f64(0.92)).await;
    let outdated = FailureReason::ConfigurationOutdated;
    assert_eq!(refusal(&client.read("x").await), outdated);
    assert_eq!(refusal(&client.write("x 1").await), outdated);
    fleet.records.set_fault(Fault::None);
    sleep(Duration::from_secs(1)).await;
    assert!(client.read("x").await.outcome.is_ok());
    write_until_done(&fleet, 1).await;
}

/// A process that stands still over the bound sends nothing there when it goes on.
#[tokio::test(start_paused = true)]
async fn a_process_that_stood_still_over_the_bound_sends_nothing_there() {
    let fleet = fleet_of(4).await;
    write_until_done(&fleet, 0).await;
    let mut resting = fleet.session(3, OWN_DATABASE);
    assert!(resting.begin(false).await.outcome.is_ok());
    assert!(resting.write("x 1").await.outcome.is_ok());
    fleet.freeze("node-3", true);
    let acked = evacuate(&fleet, &["zone-a"]);
    sleep_until(acked + BOUND * 2).await;
    // It goes on, and has not heard of anything yet.
    fleet.freeze("node-3", false);
    assert!(!fleet.nodes[3].engine.evacuations().contains("zone-a"));
    let mut fresh = fleet.session(3, BOUNDED_DATABASE);
    let outdated = FailureReason::ConfigurationOutdated;
    assert_eq!(refusal(&fresh.read("x").await), outdated);
    assert_eq!(
        refusal(&resting.commit().await),
        FailureReason::TransactionLost
    );
    sleep(Duration::from_secs(1)).await;
    let last = last_after(&fleet, "a", acked).await;
    assert!(last < BOUND, "{last:?}");
    assert_ne!(read_row(&fresh.read("x").await).0, "a");
    write_until_done(&fleet, 3).await;
}

/// The zone is lost while it is evacuated: its leader is replaced as one that is lost.
#[tokio::test(start_paused = true)]
async fn a_zone_that_is_lost_while_it_is_evacuated_loses_no_lead() {
    let mut fleet = fleet_of(4).await;
    (0..4).for_each(|node| keep_busy(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    evacuate(&fleet, &["zone-a"]);
    sleep(Duration::from_millis(30)).await;
    fleet.world.crash("a");
    // Processes stand in the zones in turn.
    [0, 3].into_iter().for_each(|node| fleet.kill(node));
    sleep(Duration::from_secs(4)).await;
    assert_ne!(fleet.world.leader(), "a");
    write_until_done(&fleet, 1).await;
}

/// All processes start anew while a zone is evacuated: the set is read before anything is sent.
#[tokio::test(start_paused = true)]
async fn after_a_restart_of_all_nothing_is_sent_there() {
    let mut fleet = fleet_of(3).await;
    write_until_done(&fleet, 0).await;
    (0..3).for_each(|node| fleet.kill(node));
    let acked = evacuate(&fleet, &["zone-a", "zone-b"]);
    sleep(BOUND).await;
    let names: Vec<String> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    fleet.nodes = names.iter().map(|name| fleet.respawn_node(name)).collect();
    (0..3).for_each(|node| keep_busy(&fleet, node));
    sleep(Duration::from_secs(3)).await;
    for server in ["a", "b"] {
        let last = last_command(&fleet, server);
        assert!(last.is_none_or(|at| at <= acked), "{server}");
    }
    assert_eq!(fleet.world.leader(), "c");
    write_until_done(&fleet, 2).await;
}

/// Taken back halfway: reads return, the lead is where it is, and nobody is refused.
#[tokio::test(start_paused = true)]
async fn what_is_taken_back_halfway_serves_again() {
    let fleet = fleet_of(3).await;
    write_until_done(&fleet, 0).await;
    sleep(Duration::from_millis(100)).await;
    let acked = evacuate(&fleet, &["zone-b"]);
    sleep_until(acked + BOUND.mul_f64(0.4)).await;
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

/// Two zones at once leave one member, which then leads and serves.
#[rstest]
#[case::the_first_two("b", "c")]
#[case::the_outer_two("c", "b")]
#[tokio::test(start_paused = true)]
async fn two_zones_at_once_leave_the_third(#[case] other: &str, #[case] left: &str) {
    let fleet = fleet_of(4).await;
    (0..4).for_each(|node| keep_busy(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    let other_zone = format!("zone-{other}");
    let acked = evacuate(&fleet, &["zone-a", &other_zone]);
    for server in ["a", other] {
        let last = last_after(&fleet, server, acked).await;
        assert!(last < BOUND, "{server}: {last:?}");
    }
    assert_eq!(fleet.world.leader(), left);
    assert_eq!(fleet.world.promotions().len(), 1);
    write_until_done(&fleet, 0).await;
}

/// A home that hears of nothing sends nothing: what was forwarded to it goes to the next one.
#[rstest]
#[case::the_first_home(0)]
#[case::the_second_home(1)]
#[tokio::test(start_paused = true)]
async fn what_a_home_may_not_send_goes_to_the_next_one(#[case] rank: usize) {
    let fleet = fleet_of(LARGE).await;
    write_until_done(&fleet, 0).await;
    let directory = fleet.nodes[0].engine.directory();
    let member = Arc::clone(directory.member("a").expect("a member"));
    let candidates = fleet.nodes[0].engine.homes().candidates(&member);
    let home = candidates[rank].node.to_string();
    let is_away = |node: &&support::Node| !node.engine.connects_directly(&member);
    let front = fleet.nodes.iter().rev().find(is_away).expect("a process");
    fleet.records.ignore_node(&home);
    for node in &fleet.nodes {
        if node.name != home && node.name != front.name {
            fleet.network().cut(&home, &node.name);
        }
    }
    sleep(BOUND).await;
    let mut client = Client::open(&front.engine, LEADER_DATABASE);
    for _ in 0..10 {
        assert_eq!(read_row(&client.read("x").await).0, "a");
    }
}

/// Where no member may be used, or only the leader of an evacuated zone could, callers hear so
/// at once.
#[tokio::test(start_paused = true)]
async fn what_nobody_may_run_is_refused_at_once() {
    let fleet = fleet_of(3).await;
    write_until_done(&fleet, 0).await;
    evacuate(&fleet, &["zone-a", "zone-b", "zone-c"]);
    sleep(BOUND).await;
    assert!(fleet.world.promotions().is_empty());
    let asked = Instant::now();
    for statement in [read("x"), write("x 1")] {
        for database in [LEADER_DATABASE, BOUNDED_DATABASE, OWN_DATABASE] {
            let reply = fleet.session(0, database).send(statement.clone()).await;
            assert_eq!(refusal(&reply), FailureReason::ZoneEvacuated, "{database}");
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
    write_until_done(&fleet, 0).await;
    assert_eq!(fleet.world.leader(), "c");
}

/// A lead does not move to a member that lacks commits: it would come back into the zone.
#[tokio::test(start_paused = true)]
async fn a_successor_that_is_behind_is_waited_for() {
    let fleet = fleet_of(3).await;
    write_until_done(&fleet, 0).await;
    fleet
        .world
        .change("c", |server| server.not_receiving = true);
    write_until_done(&fleet, 0).await;
    evacuate(&fleet, &["zone-a", "zone-b"]);
    sleep(Duration::from_secs(2)).await;
    assert!(fleet.world.promotions().is_empty());
    fleet
        .world
        .change("c", |server| server.not_receiving = false);
    write_until_done(&fleet, 0).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.world.leader(), "c");
}

/// A transaction that is open there is lost at the bound: it is told as not run, and is not.
#[tokio::test(start_paused = true)]
async fn an_open_transaction_is_lost_and_told_so() {
    let fleet = fleet_of(3).await;
    write_until_done(&fleet, 0).await;
    let acked = evacuate(&fleet, &["zone-a", "zone-b", "zone-c"]);
    let mut client = fleet.session(0, OWN_DATABASE);
    assert!(client.begin(false).await.outcome.is_ok());
    let mut ids = Vec::new();
    while acked.elapsed() < BOUND.mul_f64(0.55) {
        let (id, reply) = client.send_with_id(write("x 1")).await;
        assert!(reply.outcome.is_ok(), "{reply:?}");
        ids.push(id);
        sleep(Duration::from_millis(100)).await;
    }
    sleep_until(acked + BOUND.mul_f64(0.8)).await;
    let reply = client.commit().await;
    assert_eq!(refusal(&reply), FailureReason::TransactionLost);
    let log = fleet.world.server("a").log;
    assert!(!log.iter().any(|entry| ids.contains(&entry.1)));
    let last = last_after(&fleet, "a", acked).await;
    assert!(last < BOUND.mul_f64(0.75), "{last:?}");
}

/// A third of a large fleet hears of nobody any more, and reaches the servers still: nothing
/// comes to the zone after the bound, from nobody.
#[tokio::test(start_paused = true)]
async fn a_third_of_the_fleet_that_is_cut_off_keeps_the_bound() {
    let fleet = fleet_of(LARGE).await;
    (0..LARGE).for_each(|node| keep_busy(&fleet, node));
    sleep(Duration::from_secs(1)).await;
    // Some of each zone.
    let is_cut = |index: usize| (index / ZONES.len()) % 3 == 2;
    for (index, node) in fleet.nodes.iter().enumerate().filter(|(i, _)| is_cut(*i)) {
        fleet.records.ignore_node(&node.name);
        let others = fleet.nodes.iter().enumerate().filter(|(i, _)| *i != index);
        others.for_each(|(_, other)| fleet.network().cut(&node.name, &other.name));
    }
    let acked = evacuate(&fleet, &["zone-a"]);
    let mut clients: Vec<Client> = (0..LARGE)
        .filter(|index| !is_cut(*index))
        .map(|index| fleet.session(index, BOUNDED_DATABASE))
        .collect();
    let (mut asked, mut refused) = (0, 0);
    while acked.elapsed() < BOUND * 2 {
        for client in &mut clients {
            asked += 1;
            refused += usize::from(client.read("x").await.outcome.is_err());
        }
        sleep(Duration::from_millis(50)).await;
    }
    let last = last_after(&fleet, "a", acked).await;
    println!("last command {last:?} after the acknowledgement; refused {refused} of {asked}");
    assert!(last < BOUND, "{last:?}");
    assert!(refused * 100 <= asked, "{refused} of {asked}");
}
