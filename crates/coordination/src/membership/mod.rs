//! Membership: which nodes of the fleet live, as every node sees it.
//!
//! # Protocol
//!
//! - Each node probes one node of its zone in each interval, over UDP. A node that
//!   does not answer is probed through others, then suspected, and given up when
//!   it has not refuted the suspicion in time.
//! - News travels with the probes and, while there is news, by gossip in the zone.
//! - Two representatives of each zone carry news to the other zones of the region,
//!   two of each region to the other regions. Nobody outside a zone gives up its
//!   nodes one by one: a zone that was not heard of for long is unreachable as a
//!   whole, and its nodes come back with the first news of it.
//! - Nodes compare digests of their tables and mend differences over TCP.
//!
//! # Guarantees
//!
//! - A node never accepts a report that is older than the one it holds, and
//!   refutes what others say wrongly of it.
//! - What a node sends in quiet times does not depend on the size of the fleet.
//! - The list of seeds opens the way into the fleet, and never overrules reports.
//! - Views are hints: two nodes may differ for some seconds. What needs agreement
//!   must not rest on them alone.

mod audience;
mod config;
mod contacts;
mod datagram;
mod exchange;
mod gossip;
mod merge;
mod news;
mod probe;
mod publish;
mod receive;
mod record;
mod shared;
pub(crate) mod sync;
mod table;
mod view;

pub use config::{MembershipConfig, MembershipTiming, Seed};
pub use record::MemberRecord;
pub use view::{Liveness, Member, MembershipView};

use crate::control::Links;
use crate::identity::NodeId;
use crate::revision::Revision;
use crate::traffic::Traffic;
use audience::Audience;
use datagram::Purpose;
use record::{MemberState, Status};
use shared::Shared;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

/// Nodes that are told directly that this node is gone.
const TOLD_OF_DEPARTURE: usize = 5;

/// A node's part in the membership of its fleet. Clones are handles of one part.
#[derive(Debug, Clone)]
pub struct Membership {
    shared: Arc<Shared>,
    tasks: TaskTracker,
}

impl Membership {
    /// Starts to take part, over `socket`, whose port must be that of the control
    /// address in the configuration. The TCP side of the protocol is served by
    /// [`crate::control::serve`].
    pub fn start(
        config: MembershipConfig,
        socket: UdpSocket,
        seeds: watch::Receiver<Vec<Seed>>,
    ) -> Self {
        let shared = Arc::new(Shared::new(config, socket));
        publish::publish(&shared, &BTreeSet::new());
        {
            let mut state = shared.state();
            let own = state.table.own_state().clone();
            shared.publish_own(&mut state, own, Instant::now());
        }
        let tasks = TaskTracker::new();
        tasks.spawn(receive::run(shared.clone()));
        tasks.spawn(probe::run(shared.clone()));
        tasks.spawn(gossip::run(shared.clone()));
        tasks.spawn(exchange::run(shared.clone()));
        tasks.spawn(publish::run(shared.clone()));
        tasks.spawn(sync::run(shared.clone(), seeds));
        tasks.close();
        Self { shared, tasks }
    }

    /// This node's record, as it was started.
    pub fn own(&self) -> &MemberRecord {
        &self.shared.own
    }

    /// The fleet as this node sees it, and its changes.
    pub fn view(&self) -> watch::Receiver<Arc<MembershipView>> {
        self.shared.view.subscribe()
    }

    /// The fleet as this node sees it at this moment.
    pub fn current(&self) -> Arc<MembershipView> {
        self.shared.view.borrow().clone()
    }

    /// Becomes true once this node has met another one, or the list of seeds was
    /// given and names no other. Before that the view is of no use.
    pub fn joined(&self) -> watch::Receiver<bool> {
        self.shared.joined.subscribe()
    }

    /// Tells the fleet that this node leaves, so that it is given no new work. It
    /// stays a member until [`Membership::depart`].
    pub fn leave(&self) {
        self.renew(Status::Leaving);
    }

    /// Tells the fleet that this node is gone, and stops.
    pub async fn depart(&self) {
        self.renew(Status::Down);
        let view = self.shared.view.borrow().clone();
        let neighbours = view
            .zone_members(&self.shared.own.zone)
            .filter(|member| member.record.node != self.shared.own.node)
            .take(TOLD_OF_DEPARTURE);
        let own = &self.shared.own.node;
        for member in neighbours {
            let address = member.record.control_address;
            self.shared
                .send(address, Purpose::Gossip, &Audience::OwnZone, Some(own))
                .await;
        }
        self.stop().await;
    }

    /// Stops without telling anybody, as a crash would.
    pub async fn stop(&self) {
        self.shared.stopped.cancel();
        self.tasks.wait().await;
    }

    /// Sets the revision that this node has applied; it travels with the probes.
    pub fn report_revision(&self, revision: Revision) {
        self.shared.revision.store(revision.0, Ordering::Relaxed);
    }

    /// The highest revision that another node was heard to have applied.
    pub fn highest_revision(&self) -> watch::Receiver<Revision> {
        self.shared.highest_revision.subscribe()
    }

    /// What `node` was last heard to have applied.
    pub fn revision_of(&self, node: &NodeId) -> Option<Revision> {
        self.shared.state().revisions.get(node).copied()
    }

    /// The node's counters, shared with the distribution.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.shared.links.traffic
    }

    /// What the node's links have in common, shared with the distribution.
    pub(crate) fn links(&self) -> &Links {
        &self.shared.links
    }

    fn renew(&self, status: Status) {
        let mut state = self.shared.state();
        let known = state.table.own_state().clone();
        let own = MemberState {
            renewal: known.renewal + 1,
            status,
            ..known
        };
        self.shared.publish_own(&mut state, own, Instant::now());
    }
}
