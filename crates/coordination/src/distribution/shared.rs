//! What the tasks of one node's distribution share.

use super::config::DistributionConfig;
use super::in_force::{InForce, ZoneInForce};
use super::port::{ChangeSink, ChangeSource};
use super::relay::Reads;
use super::report::{OwnState, Reports};
use super::store::Store;
use super::tree::Place;
use super::{CaughtUp, Role};
use crate::identity::{NodeId, ZoneName};
use crate::membership::{MemberRecord, Membership};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Everything the tasks share.
pub(super) struct Shared {
    /// Intervals and limits.
    pub config: DistributionConfig,
    /// The fleet.
    pub membership: Membership,
    /// Where relays read the changes.
    pub source: Arc<dyn ChangeSource>,
    /// What was applied.
    pub store: Store,
    /// This node's place in the tree of its zone.
    pub place: watch::Sender<Place>,
    /// The reads of the source.
    pub reads: Reads,
    /// The reports of the children.
    pub reports: Arc<Reports>,
    /// What is in force on the fleet.
    pub in_force: InForceKeeper,
    /// What is in force in the own zone, on a relay.
    pub own_zone: watch::Sender<Option<ZoneInForce>>,
    /// What is in force in other zones, on a relay.
    pub other_zones: OtherZones,
    /// Whether the node may serve, and on what ground.
    pub caught_up: watch::Sender<Option<CaughtUp>>,
    /// How many nodes subscribe to this one.
    pub children: AtomicUsize,
    /// Ends all tasks.
    pub stopped: CancellationToken,
}

impl Shared {
    /// The state of a node that starts.
    pub fn new(
        config: DistributionConfig,
        membership: Membership,
        source: Arc<dyn ChangeSource>,
        sink: Arc<dyn ChangeSink>,
    ) -> Self {
        let place = Place {
            role: Role::Subscriber,
            relays: Vec::new(),
            subscriptions: Vec::new(),
        };
        Self {
            store: Store::new(&config, membership.clone(), sink),
            config,
            membership,
            source,
            place: watch::channel(place).0,
            reads: Reads::new(),
            reports: Reports::new(),
            in_force: InForceKeeper::default(),
            own_zone: watch::channel(None).0,
            other_zones: OtherZones::default(),
            caught_up: watch::channel(None).0,
            children: AtomicUsize::new(0),
            stopped: CancellationToken::new(),
        }
    }

    /// This node's record.
    pub fn own(&self) -> &MemberRecord {
        self.membership.own()
    }

    /// What this node reports of itself.
    pub fn own_state(&self) -> OwnState {
        OwnState {
            node: self.own().node.clone(),
            incarnation: self.own().incarnation,
            applied: self.store.revision(),
            starting: self.caught_up.borrow().is_none(),
        }
    }

    /// Where `node` listens.
    pub fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        let view = self.membership.current();
        Some(view.get(node)?.record.control_address)
    }
}

/// Who said what is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Teller {
    /// This node worked it out, as a relay.
    Own,
    /// The parent of this subscription.
    Parent(usize),
}

/// What is in force on the fleet, by the best teller there is.
#[derive(Debug, Default)]
pub(super) struct InForceKeeper {
    told: Mutex<BTreeMap<Teller, InForce>>,
    current: watch::Sender<Arc<InForce>>,
}

impl InForceKeeper {
    /// The latest, and its changes.
    pub fn subscribe(&self) -> watch::Receiver<Arc<InForce>> {
        self.current.subscribe()
    }

    /// The parent of subscription `slot` told of `in_force`.
    pub fn told(&self, slot: usize, in_force: InForce) {
        self.update(|told| told.insert(Teller::Parent(slot), in_force));
    }

    /// The parent of subscription `slot` is lost.
    pub fn withdraw(&self, slot: usize) {
        self.update(|told| told.remove(&Teller::Parent(slot)));
    }

    /// This node worked it out, or can no longer do so.
    pub fn worked_out(&self, in_force: Option<InForce>) {
        self.update(|told| match in_force {
            Some(in_force) => told.insert(Teller::Own, in_force),
            None => told.remove(&Teller::Own),
        });
    }

    fn update(&self, change: impl FnOnce(&mut BTreeMap<Teller, InForce>) -> Option<InForce>) {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut told);
        let best = told.values().next().cloned();
        self.current.send_if_modified(|current| {
            // Without a teller the last word stands, but no longer for all nodes.
            let next = best.unwrap_or_else(|| InForce {
                complete: false,
                ..(**current).clone()
            });
            let differs = **current != next;
            if differs {
                *current = Arc::new(next);
            }
            differs
        });
    }
}

/// What is in force in the other zones, as their relays say.
#[derive(Debug, Default)]
pub(super) struct OtherZones {
    reports: Mutex<BTreeMap<ZoneName, ZoneInForce>>,
    changed: watch::Sender<()>,
}

impl OtherZones {
    /// Told at each change.
    pub fn changed(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// A relay of `zone` reports.
    pub fn set(&self, zone: &ZoneName, report: ZoneInForce) {
        self.reports().insert(zone.clone(), report);
        self.changed.send_replace(());
    }

    /// No relay of `zone` can be asked any more.
    pub fn remove(&self, zone: &ZoneName) {
        self.reports().remove(zone);
        self.changed.send_replace(());
    }

    /// The report on `zone`.
    pub fn get(&self, zone: &ZoneName) -> Option<ZoneInForce> {
        self.reports().get(zone).cloned()
    }

    fn reports(&self) -> MutexGuard<'_, BTreeMap<ZoneName, ZoneInForce>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
