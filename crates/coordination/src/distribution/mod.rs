//! Distribution of numbered changes to all nodes, and the count of what is in force.
//!
//! # How it works
//!
//! Two relays in each zone read the [`ChangeSource`]; a fan-out tree takes the
//! changes to the other nodes of the zone over TCP. What the nodes have applied is
//! summed up in the same tree, and between the relays of the zones. A node whose
//! parent is lost takes another one and goes on from the revision it has; a node
//! that is too far behind is given a snapshot.
//!
//! # Guarantees
//!
//! - A [`ChangeSink`] is given every change once, in order, without holes, or a
//!   snapshot that is later than its state. It never goes back.
//! - [`Distribution::caught_up`] becomes set only once the node has applied every
//!   change that was accepted before the node started, or, while the source can't
//!   be read, every change that any of several other nodes has applied. A node that
//!   serves nobody before that never serves older content than in an earlier life.
//! - How often the source is read depends on the number of zones, not of nodes.

mod catch_up;
mod config;
mod in_force;
pub(crate) mod message;
mod port;
mod relay;
mod report;
pub(crate) mod serve;
mod shared;
mod store;
mod subscription;
mod tree;
mod zones;

pub use config::DistributionConfig;
pub use in_force::{InForce, LAGGARDS_NAMED, Laggard, ZoneInForce};
pub use port::{ApplyError, Change, ChangeSink, ChangeSource, Snapshot, SourceError};
pub use tree::Role;

use crate::membership::Membership;
use crate::revision::Revision;
use shared::Shared;
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;
use tree::{Place, RELAYS};

/// On what ground a node holds that it has everything.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CaughtUp {
    /// It reached the end of the log, read from the source after it started.
    WithSource,
    /// The source could not be read; it reached the highest revision that several
    /// other nodes had applied.
    WithPeers,
}

/// A node's part in the distribution. Clones are handles of one part.
#[derive(Clone)]
pub struct Distribution {
    shared: Arc<Shared>,
    tasks: TaskTracker,
}

impl Distribution {
    /// Starts to take part. The connections of other nodes are served by
    /// [`crate::control::serve`].
    pub fn start(
        config: DistributionConfig,
        membership: Membership,
        source: Arc<dyn ChangeSource>,
        sink: Arc<dyn ChangeSink>,
    ) -> Self {
        let shared = Arc::new(Shared::new(config, membership, source, sink));
        let tasks = TaskTracker::new();
        tasks.spawn(keep_place(shared.clone()));
        tasks.spawn(relay::run(shared.clone()));
        for slot in 0..RELAYS {
            tasks.spawn(subscription::run(shared.clone(), slot));
        }
        tasks.spawn(zones::run_links(shared.clone()));
        tasks.spawn(zones::run_sums(shared.clone()));
        tasks.spawn(catch_up::run_start(shared.clone()));
        tasks.spawn(catch_up::run_repair(shared.clone()));
        tasks.close();
        Self { shared, tasks }
    }

    /// The last revision applied, and its changes. Only ever rises.
    pub fn applied(&self) -> watch::Receiver<Revision> {
        self.shared.store.applied()
    }

    /// Set once the node has everything; it must serve nobody before.
    pub fn caught_up(&self) -> watch::Receiver<Option<CaughtUp>> {
        self.shared.caught_up.subscribe()
    }

    /// What is in force on the fleet, as the relays count it, and its changes.
    pub fn in_force(&self) -> watch::Receiver<Arc<InForce>> {
        self.shared.in_force.subscribe()
    }

    /// The node's role in its zone.
    pub fn role(&self) -> Role {
        self.shared.place.borrow().role
    }

    /// Tells the relay of the zone that a change was accepted, so that it reads the
    /// source at once. Only a hint: the relays find the change in any case.
    pub fn hasten(&self) {
        self.tasks.spawn(catch_up::hasten(self.shared.clone()));
    }

    /// Stops all tasks.
    pub async fn stop(&self) {
        self.shared.stopped.cancel();
        self.tasks.wait().await;
    }
}

/// Works out the node's place anew at each change of the membership.
async fn keep_place(shared: Arc<Shared>) {
    let mut view = shared.membership.view();
    let own = shared.own().clone();
    loop {
        let latest = view.borrow_and_update().clone();
        let place = Place::of(&own.node, &own.zone, &latest, shared.config.degree);
        shared.place.send_if_modified(|known| {
            let differs = *known != place;
            if differs {
                *known = place;
            }
            differs
        });
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            _ = view.changed() => {}
        }
    }
}
