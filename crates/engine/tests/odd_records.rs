//! Records of this system that another writer has overwritten with values that it never writes.

mod support;

use bytes::Bytes;
use rstest::rstest;
use serde::Serialize;
use std::time::Duration;
use stilequay_coordination::identity::NodeId;
use stilequay_coordination::lease::{FencingNumber, LeaseRecord};
use stilequay_engine::directory::{Departure, MemberState};
use stilequay_engine::leadership::record::{TermPhase, TermRecord};
use support::{Fleet, GROUP, LEADER_DATABASE, until};
use tokio::time::{Instant, sleep};

/// Number of processes.
const NODES: usize = 3;
/// Time in which all processes come across an odd record.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time within which a write is acknowledged.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// The keys of records that processes read.
const KEYS: [&str; 7] = [
    "fleet",
    "lease/promotion",
    "node/another",
    "roster/ledger",
    "slow-start/ledger",
    "suspicion/ledger/another",
    "unknown/record",
];

fn encoded<T: Serialize>(value: &T) -> Bytes {
    rmp_serde::to_vec_named(value).expect("encoded").into()
}

fn stored_term(fleet: &Fleet) -> Option<TermRecord> {
    let record = fleet.records.get(&TermRecord::key(GROUP))?;
    TermRecord::decode(&record.value).ok()
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
}

async fn write(fleet: &Fleet) {
    for node in 0..NODES {
        let mut client = fleet.session(node, LEADER_DATABASE);
        client.write_until_acknowledged(WRITE_TIMEOUT).await;
    }
}

fn assert_running(fleet: &Fleet) {
    assert!(fleet.nodes.iter().all(|node| node.is_running()));
}

/// Records that can't be decoded end no task, also not of processes that start with them, and the
/// leader can still be replaced.
#[rstest]
#[case::empty(b"".to_vec())]
#[case::text(b"not a record".to_vec())]
#[case::deep(vec![0x91; 200_000])]
#[case::long_array(vec![0xdd, 0xff, 0xff, 0xff, 0xff])]
#[case::long_map(vec![0xdf, 0xff, 0xff, 0xff, 0xff, 0xa7])]
#[case::long_text(vec![0xdb, 0xff, 0xff, 0xff, 0xff])]
#[case::number(vec![0xcf, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff])]
#[tokio::test(start_paused = true)]
async fn records_that_cannot_be_decoded_end_no_task(#[case] value: Vec<u8>) {
    let mut fleet = Fleet::start(NODES).await;
    for key in KEYS {
        fleet.records.overwrite(key, Bytes::from(value.clone()));
    }
    sleep(SETTLE_TIME).await;
    let late = fleet.spawn_node("node-3");
    fleet.nodes.push(late);
    write(&fleet).await;
    change_leader(&fleet).await;
    write(&fleet).await;
    assert_running(&fleet);
}

/// A term record with the greatest epoch is no later term: the leader stays in use.
#[tokio::test(start_paused = true)]
async fn a_term_record_with_the_greatest_epoch_ends_no_task() {
    let fleet = Fleet::start(NODES).await;
    overwrite_term(&fleet).await;
    let leader = fleet.world.leader();
    let leaving = MemberState::Leaving(Departure::at(Instant::now()));
    fleet.world.change(&leader, |server| server.state = leaving);
    sleep(4 * SETTLE_TIME).await;
    assert_running(&fleet);
    assert!((0..NODES).all(|node| fleet.epoch(node) < u64::MAX));
    write(&fleet).await;
}

/// Replaces the group's term record by one with the greatest epoch, after a change of leader.
async fn overwrite_term(fleet: &Fleet) {
    change_leader(fleet).await;
    write(fleet).await;
    let known = stored_term(fleet).expect("a record");
    let odd = TermRecord {
        epoch: u64::MAX,
        ..known
    };
    let key = TermRecord::key(GROUP);
    fleet.records.overwrite(&key, odd.encode());
    sleep(SETTLE_TIME).await;
}

/// The known leader stays in use, and a process that starts then doesn't apply the record either.
#[tokio::test(start_paused = true)]
async fn a_term_record_with_the_greatest_epoch_is_not_applied() {
    let mut fleet = Fleet::start(NODES).await;
    overwrite_term(&fleet).await;
    write(&fleet).await;
    let late = fleet.spawn_node("node-3");
    fleet.nodes.push(late);
    sleep(SETTLE_TIME).await;
    assert!((0..=NODES).all(|node| fleet.epoch(node) < u64::MAX));
    write(&fleet).await;
    assert_running(&fleet);
}

/// A lease with numbers that no holder reaches ends no task, and the lease is acquired again.
#[rstest]
#[case::renewal(|lease: &mut LeaseRecord| lease.renewal = u64::MAX)]
#[case::fencing(|lease: &mut LeaseRecord| lease.fencing = FencingNumber(u64::MAX))]
#[case::duration(|lease: &mut LeaseRecord| lease.duration = Duration::MAX)]
#[case::duration_of_a_lost_holder(|lease: &mut LeaseRecord| {
    lease.holder = NodeId::from("another");
    lease.duration = Duration::MAX;
})]
#[case::held(|lease: &mut LeaseRecord| lease.held = Duration::MAX)]
#[tokio::test(start_paused = true)]
async fn a_lease_with_a_number_out_of_range_is_acquired_again(
    #[case] change: fn(&mut LeaseRecord),
) {
    let fleet = Fleet::start(NODES).await;
    write(&fleet).await;
    let mut odd = fleet.lease();
    change(&mut odd);
    fleet.records.overwrite("lease/promotion", encoded(&odd));
    sleep(SETTLE_TIME).await;
    assert_running(&fleet);
    change_leader(&fleet).await;
    write(&fleet).await;
    assert_running(&fleet);
}
