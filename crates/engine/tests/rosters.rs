//! Roster records of many groups, as written by the lease holder.

mod support;

use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::leadership::roster::Roster;
use support::Fleet;
use support::groups::{group_name, members_of_groups, with_groups};
use tokio::time::sleep;

/// Number of groups that are configured at the same time, with three servers each.
const GROUPS: usize = 300;
/// Minimum average number of records per write call when many groups are recorded: at most a
/// tenth of the calls that single writes would take.
const MIN_RECORDS_PER_CALL: usize = 10;
/// Time after which all groups must be recorded.
const RECORDED_WITHIN: Duration = Duration::from_secs(5);

async fn configure(fleet: &Fleet) {
    *fleet.world.other_members.lock().unwrap() = members_of_groups(GROUPS).collect();
    fleet.configuration.send_replace(with_groups(2, GROUPS));
    sleep(RECORDED_WITHIN).await;
}

fn recorded(fleet: &Fleet) -> usize {
    let is_recorded = |index: &usize| {
        let key = Roster::key(&group_name(*index));
        fleet.records.get(&key).is_some()
    };
    (0..GROUPS).filter(is_recorded).count()
}

#[tokio::test(start_paused = true)]
async fn members_of_many_groups_are_recorded_in_few_calls() {
    let fleet = Fleet::start(3).await;
    configure(&fleet).await;
    assert_eq!(recorded(&fleet), GROUPS);
    let calls = fleet.records.roster_puts();
    assert!(calls <= (GROUPS / MIN_RECORDS_PER_CALL) as u64, "{calls}");
}

/// A record that another process has already written doesn't prevent the other records of the
/// same call from being written.
#[tokio::test(start_paused = true)]
async fn conflict_on_one_group_does_not_block_the_others() {
    let fleet = Fleet::start(1).await;
    fleet
        .records
        .put_without_notification(&Roster::key(&group_name(7)));
    configure(&fleet).await;
    assert_eq!(recorded(&fleet), GROUPS);
    let group = Arc::from(group_name(7));
    let members = fleet.nodes[0].engine.directory().members_of(&group);
    assert_eq!(members.len(), 3);
}
