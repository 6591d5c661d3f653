//! Who leads a group: following the records of it, suspecting a leader, and promoting
//! another.

pub mod access;
pub mod follower;
pub mod freshness;
pub mod record;

use crate::engine::Engine;
use crate::ports::Promoter;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause before the store is asked again who leads a group that was never promoted.
const FIRST_LEADER_PAUSE: Duration = Duration::from_millis(100);

/// Follows the records of leaderships until the process ends.
pub async fn run(engine: Arc<Engine>, _promoter: Arc<dyn Promoter>) {
    tokio::join!(engine.terms().follow(&engine), learn_first_leaders(&engine),);
}

/// Reads the records anew while the directory knows a group whose leader is not known.
async fn learn_first_leaders(engine: &Engine) {
    let mut directory = engine.subscribe_directory();
    loop {
        while lacks_leader(engine) {
            // A failure is told by the task that follows the records.
            let _ = engine.terms().refresh(engine, Instant::now()).await;
            sleep(FIRST_LEADER_PAUSE).await;
        }
        if directory.changed().await.is_err() {
            return;
        }
    }
}

fn lacks_leader(engine: &Engine) -> bool {
    let groups = engine.directory().groups();
    let views = groups.iter().map(|name| engine.group(name).view());
    views
        .into_iter()
        .any(|view| view.epoch == 0 && view.leader.is_none())
}
