//! A store that is restored from a backup: records that it lost are rewritten, versions that it
//! assigns again aren't confused with the earlier ones, and no epoch or fencing number is reused.

mod support;

use std::time::Duration;
use stilequay_engine::directory::{Departure, MemberState};
use stilequay_engine::leadership::record::{TermPhase, TermRecord};
use stilequay_engine::leadership::roster::Roster;
use stilequay_engine::version::{era_of, number_of, version};
use support::{Fleet, GROUP, LEADER_DATABASE, until};
use tokio::time::{Instant, sleep};

/// Maximum time until a fleet has rewritten lost records.
const MAX_REWRITE_TIME: Duration = Duration::from_secs(5);

fn stored_term(fleet: &Fleet) -> Option<TermRecord> {
    let record = fleet.records.get(&TermRecord::key(GROUP))?;
    TermRecord::decode(&record.value).ok()
}

async fn write(fleet: &Fleet) {
    let mut client = fleet.session(0, LEADER_DATABASE);
    client
        .write_until_acknowledged(Duration::from_secs(20))
        .await;
}

/// Replaces the leader; returns when the next one is in use.
async fn change_leader(fleet: &Fleet) {
    let leader = fleet.world.leader();
    let before = fleet.epoch(0);
    let leaving = MemberState::Leaving(Departure::at(Instant::now()));
    fleet.world.change(&leader, |server| server.state = leaving);
    let is_active = || {
        let term = stored_term(fleet);
        term.is_some_and(|term| term.epoch > before && term.phase == TermPhase::Active)
    };
    until(is_active).await;
    fleet
        .world
        .change(&leader, |server| server.state = MemberState::Ready);
    until(|| fleet.epoch(0) > before).await;
}

#[test]
fn version_of_a_later_era_is_newer() {
    let (before, after) = (version(3, 900), version(4, 17));
    assert!(before < after);
    assert_eq!((era_of(after), number_of(after)), (4, 17));
    assert_eq!(version(0, 17), 17);
}

#[tokio::test(start_paused = true)]
async fn promotion_that_the_store_lost_is_recorded_again() {
    let fleet = Fleet::start(3).await;
    write(&fleet).await;
    let backup = fleet.records.back_up();
    change_leader(&fleet).await;
    let promoted = stored_term(&fleet).expect("a record");
    fleet.records.restore(backup);
    assert_eq!(stored_term(&fleet), None);
    let began = Instant::now();
    until(|| stored_term(&fleet).as_ref() == Some(&promoted)).await;
    assert!(began.elapsed() < MAX_REWRITE_TIME, "{:?}", began.elapsed());
    write(&fleet).await;
}

#[tokio::test(start_paused = true)]
async fn newer_term_than_the_restored_one_is_kept_and_recorded_again() {
    let fleet = Fleet::start(3).await;
    write(&fleet).await;
    change_leader(&fleet).await;
    let backup = fleet.records.back_up();
    change_leader(&fleet).await;
    let promoted = stored_term(&fleet).expect("a record");
    let known = fleet.epoch(1);
    fleet.records.restore(backup);
    until(|| stored_term(&fleet).as_ref() == Some(&promoted)).await;
    assert!(fleet.epoch(1) >= known);
}

#[tokio::test(start_paused = true)]
async fn epochs_and_fencing_numbers_are_not_reused() {
    let fleet = Fleet::start(3).await;
    write(&fleet).await;
    let mut epochs = Vec::new();
    for _ in 0..3 {
        let backup = fleet.records.back_up();
        change_leader(&fleet).await;
        epochs.push(stored_term(&fleet).expect("a record").epoch);
        fleet.records.restore(backup);
        sleep(MAX_REWRITE_TIME).await;
    }
    change_leader(&fleet).await;
    epochs.push(stored_term(&fleet).expect("a record").epoch);
    assert!(epochs.is_sorted_by(|a, b| a < b), "{epochs:?}");
    let orders = fleet.world.promotions();
    let fencing: Vec<u64> = orders.iter().map(|order| order.fencing.0).collect();
    assert!(fencing.is_sorted(), "{fencing:?}");
    for pair in orders
        .windows(2)
        .filter(|pair| pair[0].holder != pair[1].holder)
    {
        assert_ne!(pair[0].fencing, pair[1].fencing);
    }
}

#[tokio::test(start_paused = true)]
async fn processes_rewrite_their_lost_records() {
    let fleet = Fleet::start(3).await;
    let backup = fleet.records.back_up();
    let late_node = fleet.spawn_node("node-9");
    until(|| fleet.records.get("node/node-9").is_some()).await;
    until(|| fleet.nodes[0].engine.processes() == 4).await;
    fleet.records.restore(backup);
    let began = Instant::now();
    until(|| fleet.records.get("node/node-9").is_some()).await;
    assert!(began.elapsed() < MAX_REWRITE_TIME, "{:?}", began.elapsed());
    until(|| fleet.nodes[0].engine.processes() == 4).await;
    drop(late_node);
}

#[tokio::test(start_paused = true)]
async fn lost_records_reach_a_large_fleet_again() {
    let fleet = Fleet::start(20).await;
    write(&fleet).await;
    let backup = fleet.records.back_up();
    change_leader(&fleet).await;
    let promoted = stored_term(&fleet).expect("a record");
    until(|| (0..20).all(|node| fleet.epoch(node) == promoted.epoch)).await;
    fleet.records.restore(backup);
    until(|| stored_term(&fleet).as_ref() == Some(&promoted)).await;
    sleep(MAX_REWRITE_TIME).await;
    let versions = (0..20).map(|node| fleet.nodes[node].engine.terms().version());
    assert!(versions.clone().all(|version| era_of(version) == 1));
    assert!((0..20).all(|node| fleet.epoch(node) == promoted.epoch));
    write(&fleet).await;
}

#[test]
fn leaving_member_stays_leaving_after_a_restore() {
    let world = support::servers::World::new(&["a", "b"]);
    let now = Instant::now();
    let departure = Departure::at(now);
    let known = stilequay_engine::directory::Directory::default();
    let known = known.with_entries(version(1, 4), world.entries(), departure);
    world.change("b", |server| server.state = MemberState::Leaving(departure));
    let known = known.with_entries(version(1, 5), world.entries(), departure);
    world.change("b", |server| server.state = MemberState::Ready);
    let restored = known.with_entries(version(2, 4), world.entries(), departure);
    let state = restored.member("b").expect("a member").state;
    assert_eq!(state, MemberState::Leaving(departure));
}

/// The members of a group are recorded even if its servers registered before the group was
/// configured, because a change of leader needs the record.
#[tokio::test(start_paused = true)]
async fn members_of_a_group_that_is_configured_later_are_recorded() {
    let fleet = Fleet::start(1).await;
    let mut without = support::configuration(1);
    without.version = 2;
    without.groups.clear();
    fleet.configuration.send_replace(without);
    let key = Roster::key(GROUP);
    sleep(Duration::from_secs(4)).await;
    assert_eq!(fleet.records.get(&key), None);
    let mut with = support::configuration(1);
    with.version = 3;
    fleet.configuration.send_replace(with);
    sleep(Duration::from_secs(4)).await;
    assert!(fleet.records.get(&key).is_some());
}
