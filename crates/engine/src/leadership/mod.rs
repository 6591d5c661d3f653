//! Who leads a group: following the records of it, suspecting a leader, and promoting
//! another.
//!
//! Every process follows the records ([`follower`]) and watches the leaders that it uses
//! ([`suspicion`]). One of them holds the lease for promotions ([`duty`]); it acts on its
//! own suspicions and on those that the others have recorded, and changes a leader by the
//! steps of [`promotion`].

pub mod access;
pub mod choice;
pub mod duty;
pub mod evacuating;
pub mod fleet;
mod fleet_index;
pub mod follower;
pub mod freshness;
pub(crate) mod lease_records;
pub mod promotion;
pub mod record;
mod report;
mod rewriting;
pub mod roster;
mod settling;
pub mod survey;
pub mod suspicion;
mod telling;
pub(crate) mod vouching;
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

/// Interval in which lapsed entries are looked at.
const LAPSE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before the store is asked again who leads a group that was never promoted.
const FIRST_LEADER_PAUSE: Duration = Duration::from_millis(100);

/// Follows, watches and changes leaderships until the process ends.
pub async fn run(engine: Arc<Engine>, promoter: Arc<dyn Promoter>) {
    let duty = Arc::clone(engine.duty());
    tokio::join!(
        engine.terms().follow(&engine),
        learn_first_leaders(&engine),
        duty.pursue(&engine),
        watcher::watch(&engine, &promoter, &duty),
        fleet::register(&engine),
        rewriting::rewrite_lost(&engine),
        roster::keep(&engine, &duty),
        fleet::follow(&engine),
        fleet_index::keep(&engine, &duty),
        vouching::keep(&engine),
        following::follow(&engine, &duty),
        follow_directory(&engine),
        end_lapses(&engine),
        rate::run(&engine),
        evacuation::keep(&engine),
        slow_start::allot::run(&engine),
    );
}

/// Looks for entries that were expected back and have not come.
async fn end_lapses(engine: &Engine) {
    loop {
        sleep(LAPSE_INTERVAL).await;
        engine.expire_lapsed_members();
    }
}

/// A leader may come back under another name.
async fn follow_directory(engine: &Engine) {
    let mut directory = engine.subscribe_directory();
    while directory.changed().await.is_ok() {
        engine.terms().directory_changed(engine);
    }
}

/// Reads the records anew while the directory knows a group whose leader is not known.
async fn learn_first_leaders(engine: &Engine) {
    let mut directory = engine.subscribe_directory();
    let mut configuration = engine.subscribe_configuration();
    loop {
        while let Some(group) = group_without_leader(engine)
            && engine.following().is_direct()
        {
            // A failure is told by the task that follows the records.
            let _ = engine.terms().refresh(engine, &group, Instant::now()).await;
            sleep(FIRST_LEADER_PAUSE).await;
        }
        // The senders live as long as the engine does.
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
