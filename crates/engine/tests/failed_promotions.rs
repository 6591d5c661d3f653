//! Promotions that fail: the next attempt replaces the leader that was to be replaced, whether or
//! not the target of the failed one has led in the meantime.

mod support;

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::leadership::record::{TermPhase, TermRecord};
use support::history::History;
use support::records::Fault;
use support::servers::PromoterFault;
use support::{Fleet, GROUP, LEADER_DATABASE, until};
use tokio::time::sleep;

/// How long the leader is down.
const CRASH_TIME: Duration = Duration::from_secs(2);
/// How long the promotion service is unavailable: several attempts fail in this time.
const OUTAGE: Duration = Duration::from_secs(8);
/// Time from the end of the last fault to the first write.
const RECOVERY: Duration = Duration::from_secs(6);

/// A fleet under load in which `c` receives nothing, so every commit is acknowledged through `b`.
async fn fleet_with_one_lagging_replica(history: &Arc<History>) -> Fleet {
    let fleet = Fleet::start(3).await;
    fleet.spawn_callers(history);
    sleep(Duration::from_secs(1)).await;
    fleet.world.change("c", |s| s.not_receiving = true);
    sleep(Duration::from_secs(1)).await;
    fleet
}

/// Waits for a write, and checks what callers have observed.
async fn check(fleet: &Fleet, history: &History) {
    let mut client = fleet.session(0, LEADER_DATABASE);
    client.write_until_acknowledged(RECOVERY).await;
    let violations = history.violations(&fleet.world);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// The leader crashes and returns while orders fail. A lagging replica must not be promoted because
/// the target of the failed attempt is taken for the leader.
#[rstest]
#[case::orders_are_refused(PromoterFault::Down)]
#[case::orders_are_lost(PromoterFault::LosingOrders)]
#[case::orders_are_executed_late(PromoterFault::Silent(Duration::from_millis(2_700)))]
#[tokio::test(start_paused = true)]
async fn commits_survive_failed_promotions(#[case] fault: PromoterFault) {
    let history = Arc::new(History::default());
    let fleet = fleet_with_one_lagging_replica(&history).await;
    fleet.world.set_promoter_fault(fault);
    fleet.world.crash("a");
    sleep(CRASH_TIME).await;
    fleet.world.restart("a");
    sleep(OUTAGE - CRASH_TIME).await;
    fleet.world.set_promoter_fault(PromoterFault::None);
    check(&fleet, &history).await;
    fleet.world.change("c", |s| s.not_receiving = false);
    sleep(Duration::from_secs(3)).await;
    check(&fleet, &history).await;
}

/// The leader had more than was acknowledged when it crashed, and a process has seen its position.
/// No later attempt may wait for the leader to be paused, which a primary never is.
#[tokio::test(start_paused = true)]
async fn unacknowledged_commits_of_the_leader_are_no_obstacle() {
    let history = Arc::new(History::default());
    let fleet = fleet_with_one_lagging_replica(&history).await;
    fleet.world.change("b", |s| s.not_receiving = true);
    sleep(Duration::from_millis(100)).await;
    fleet.world.set_promoter_fault(PromoterFault::Down);
    fleet.world.crash("a");
    fleet.world.change("b", |s| s.not_receiving = false);
    sleep(CRASH_TIME).await;
    fleet.world.restart("a");
    sleep(OUTAGE - CRASH_TIME).await;
    fleet.world.set_promoter_fault(PromoterFault::None);
    check(&fleet, &history).await;
}

/// The holder of the lease dies after a target has failed; the next one continues from the record.
#[rstest]
#[case::while_fencing_again(TermPhase::Fencing)]
#[case::while_promoting_again(TermPhase::Promoting)]
#[tokio::test(start_paused = true)]
async fn next_lease_holder_continues_after_a_failed_attempt(#[case] phase: TermPhase) {
    let history = Arc::new(History::default());
    let mut fleet = fleet_with_one_lagging_replica(&history).await;
    fleet.world.set_promoter_fault(PromoterFault::LosingOrders);
    fleet.world.crash("a");
    let records = Arc::clone(&fleet.records);
    let recorded = || {
        let record = records.get(&TermRecord::key(GROUP))?;
        TermRecord::decode(&record.value).ok()
    };
    until(|| recorded().is_some_and(|term| term.epoch == 2 && term.phase == phase)).await;
    let holder = fleet.holder();
    fleet.kill(holder);
    fleet.world.restart("a");
    sleep(OUTAGE).await;
    fleet.world.set_promoter_fault(PromoterFault::None);
    let survivor = (holder + 1) % fleet.nodes.len();
    let mut client = fleet.session(survivor, LEADER_DATABASE);
    client.write_until_acknowledged(RECOVERY).await;
    let violations = history.violations(&fleet.world);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// The store loses answers while promotions fail: a change that was recorded is continued.
#[tokio::test(start_paused = true)]
async fn commits_survive_failed_promotions_while_the_store_loses_answers() {
    let history = Arc::new(History::default());
    let fleet = fleet_with_one_lagging_replica(&history).await;
    fleet.world.set_promoter_fault(PromoterFault::LosingOrders);
    fleet.records.set_fault(Fault::LosingAnswers);
    fleet.world.crash("a");
    sleep(CRASH_TIME).await;
    fleet.world.restart("a");
    sleep(OUTAGE - CRASH_TIME).await;
    fleet.records.set_fault(Fault::None);
    fleet.world.set_promoter_fault(PromoterFault::None);
    check(&fleet, &history).await;
}
