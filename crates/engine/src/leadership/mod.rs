//! Leadership of groups: following the term records, detecting failed leaders and promoting
//! replacements.
//!
//! Every process follows the term records ([`follower`]) and monitors the leaders that it uses
//! ([`suspicion`]). One process holds the promotion lease ([`promotion_lease`]). It acts on its
//! own suspicions and on those that other processes have recorded, and replaces a leader by the
//! steps of [`promotion`].

pub mod access;
pub mod choice;
mod evidence_expiry;
pub mod fleet;
mod fleet_index;
pub mod follower;
pub mod freshness;
pub mod leader_evacuation;
pub(crate) mod lease_records;
mod lost_logs;
pub mod member_evidence;
mod order;
mod orders_in_flight;
pub mod promotion;
pub mod promotion_lease;
pub mod record;
mod report;
mod reported_logs;
pub mod roster;
mod settling;
mod step_events;
pub mod survey;
pub mod survey_events;
pub mod surveyed_logs;
pub mod suspicion;
pub(crate) mod term_confirmation;
mod term_recovery;
mod watcher;

use crate::engine::Engine;
use crate::evacuation;
use crate::following;
use crate::group::Group;
use crate::ports::Promoter;
use crate::rate;
use crate::slow_start;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval between checks for lapsed directory entries.
const LAPSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between store reads while the leader of a group that was never promoted is unknown.
const INITIAL_LEADER_PAUSE: Duration = Duration::from_millis(100);

/// Runs all leadership tasks of this process until it ends.
pub async fn run(engine: Arc<Engine>, promoter: Arc<dyn Promoter>) {
    let lease = Arc::clone(engine.promotion_lease());
    tokio::join!(
        engine.terms().follow(&engine),
        discover_initial_leaders(&engine),
        lease.run(&engine),
        watcher::watch(&engine, &promoter, &lease),
        fleet::register(&engine),
        term_recovery::rewrite_lost_terms(&engine),
        roster::maintain(&engine, &lease),
        lost_logs::cover(&engine, &lease),
        fleet::update_fleet(&engine),
        fleet_index::maintain(&engine, &lease),
        term_confirmation::maintain(&engine),
        following::follow(&engine, &lease),
        follow_directory(&engine),
        expire_lapsed_members(&engine),
        rate::run(&engine),
        evacuation::close_evacuated_zones(&engine),
        slow_start::allot::run(&engine),
    );
}

/// Periodically marks members as gone whose lapsed entries have not returned in time.
async fn expire_lapsed_members(engine: &Engine) {
    loop {
        sleep(LAPSE_CHECK_INTERVAL).await;
        engine.expire_lapsed_members();
    }
}

/// Applies directory changes to the groups: a leader may return under another member id.
async fn follow_directory(engine: &Engine) {
    let mut directory = engine.subscribe_directory();
    while directory.changed().await.is_ok() {
        engine.terms().directory_changed(engine);
    }
}

/// Rereads the term records while the directory lists a group whose leader is unknown, if this
/// process watches the store itself.
async fn discover_initial_leaders(engine: &Engine) {
    let mut directory = engine.subscribe_directory();
    let mut configuration = engine.subscribe_configuration();
    loop {
        while let Some(group) = group_without_leader(engine)
            && engine.following().is_direct()
        {
            // The task that follows the records reports failures.
            let _ = engine.terms().refresh(engine, &group, Instant::now()).await;
            sleep(INITIAL_LEADER_PAUSE).await;
        }
        // The senders live as long as the engine, so `changed` can't fail.
        tokio::select! {
            _ = directory.changed() => {}
            _ = configuration.changed() => {}
        }
    }
}

fn group_without_leader(engine: &Engine) -> Option<Arc<Group>> {
    let names = engine.configured_groups();
    let mut groups = names.iter().map(|name| engine.group(name));
    groups.find(|group| {
        let view = group.view();
        view.epoch == 0 && view.leader.is_none()
    })
}
