//! What one home keeps, and which calls it serves.

use super::sessions::SessionFloors;
use super::{
    Acknowledgement, Epoch, FloorPlacement, FloorRefusal, FloorReply, FloorRequest, SessionKey,
    majority,
};
use crate::identity::NodeId;
use crate::position::Floor;
use std::collections::BTreeSet;

/// Size of a register.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FloorRegisterSettings {
    /// Greatest number of sessions kept.
    pub capacity: usize,
}

impl Default for FloorRegisterSettings {
    fn default() -> Self {
        Self { capacity: 100_000 }
    }
}

/// Which calls a register serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// None: its epoch is not sealed, or it has no placement, or a later epoch was acknowledged.
    Refusing,
    /// It keeps floors but doesn't tell any: it has no default floor yet.
    Storing,
    /// All.
    Ready,
}

/// The floors that one home keeps for one group. Starts without memory.
///
/// [`super::FloorHome`] drives it; use the register itself only to drive it otherwise.
#[derive(Debug)]
pub struct FloorRegister {
    own: NodeId,
    placement: Option<FloorPlacement>,
    /// No epoch before this one is served.
    acknowledged: Epoch,
    /// The highest epoch known to be sealed.
    sealed: Epoch,
    /// Homes of the previous set that have acknowledged the placement's epoch.
    acknowledged_by: BTreeSet<NodeId>,
    default_floor: Option<Floor>,
    sessions: SessionFloors,
    /// Highest floor that was evicted.
    evicted: Floor,
}

impl FloorRegister {
    /// A register that has just started and serves nothing yet.
    pub fn new(own: NodeId, settings: FloorRegisterSettings) -> Self {
        Self {
            own,
            placement: None,
            acknowledged: Epoch::default(),
            sealed: Epoch::default(),
            acknowledged_by: BTreeSet::new(),
            default_floor: None,
            sessions: SessionFloors::new(settings.capacity),
            evicted: Floor::default(),
        }
    }

    /// Begins to take part in `placement`, or learns that the present one is sealed;
    /// does nothing where it is earlier than the present one.
    pub fn begin(&mut self, placement: FloorPlacement) {
        if placement.previous.is_empty() {
            self.sealed = self.sealed.max(placement.epoch);
        }
        let present = self.epoch();
        if self.placement.is_some() && placement.epoch <= present {
            return;
        }
        // A home that served the epoch before keeps what it has: its floors and its
        // default floor cover that epoch as far as any majority with it does. Any
        // other home needs a default floor taken once the new epoch is sealed.
        let served_before = self.default_floor.is_some()
            && self.sealed >= present
            && placement.epoch == present.next()
            && placement.previous.contains(&self.own);
        if !served_before {
            self.default_floor = None;
        }
        self.acknowledged = self.acknowledged.max(placement.epoch);
        self.acknowledged_by.clear();
        self.placement = Some(placement);
    }

    /// Answers a call.
    pub fn handle(&mut self, request: FloorRequest) -> FloorReply {
        match request {
            FloorRequest::Store {
                epoch,
                session,
                floor,
            } => self.store(epoch, session, floor),
            FloorRequest::Load { epoch, session } => self.load(epoch, session),
            FloorRequest::Acknowledge { epoch } => {
                FloorReply::Acknowledged(self.acknowledge(epoch))
            }
        }
    }

    /// Takes note of another home's acknowledgement.
    pub fn acknowledged_by(&mut self, home: &NodeId, acknowledgement: Acknowledgement) {
        self.sealed = self.sealed.max(acknowledgement.sealed);
        let Some(placement) = &self.placement else {
            return;
        };
        if acknowledgement.epoch >= placement.epoch && placement.previous.contains(home) {
            self.acknowledged_by.insert(home.clone());
        }
        // That a majority of the set before has acknowledged this epoch seals it only
        // if that epoch was sealed itself: otherwise a set before may still serve.
        let enough = self.acknowledged_by.len() >= majority(placement.previous.len());
        if enough && self.sealed >= placement.epoch.previous() {
            self.sealed = self.sealed.max(placement.epoch);
        }
    }

    /// Sets the default floor, from a barrier that began when the register was
    /// [`Readiness::Storing`] in `epoch`. Ignored where the epoch has changed since.
    pub fn set_default_floor(&mut self, epoch: Epoch, floor: Floor) {
        if epoch == self.epoch() && self.readiness() == Readiness::Storing {
            self.default_floor = Some(floor);
        }
    }

    /// Which calls are served.
    pub fn readiness(&self) -> Readiness {
        let epoch = self.epoch();
        if self.placement.is_none() || self.acknowledged > epoch || self.sealed < epoch {
            return Readiness::Refusing;
        }
        match self.default_floor {
            None => Readiness::Storing,
            Some(_) => Readiness::Ready,
        }
    }

    /// The epoch of the present placement; zero where there is none.
    pub fn epoch(&self) -> Epoch {
        self.placement
            .as_ref()
            .map_or_else(Epoch::default, |placement| placement.epoch)
    }

    /// The highest epoch known to be sealed.
    pub fn sealed(&self) -> Epoch {
        self.sealed
    }

    /// Number of sessions kept.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    fn store(&mut self, epoch: Epoch, session: SessionKey, floor: Floor) -> FloorReply {
        if let Err(refusal) = self.check(epoch, Readiness::Storing) {
            return FloorReply::Refused(refusal);
        }
        if floor > self.floor_of_any() {
            let evicted = self.sessions.raise(session, floor);
            self.evicted = self.evicted.max(evicted.unwrap_or_default());
        }
        FloorReply::Stored
    }

    fn load(&self, epoch: Epoch, session: SessionKey) -> FloorReply {
        if let Err(refusal) = self.check(epoch, Readiness::Ready) {
            return FloorReply::Refused(refusal);
        }
        let stored = self.sessions.get(&session).unwrap_or_default();
        FloorReply::Floor(stored.max(self.floor_of_any()))
    }

    fn acknowledge(&mut self, epoch: Epoch) -> Acknowledgement {
        self.acknowledged = self.acknowledged.max(epoch);
        Acknowledgement {
            epoch: self.acknowledged,
            sealed: self.sealed,
        }
    }

    /// The floor below which no session is answered.
    fn floor_of_any(&self) -> Floor {
        self.default_floor.unwrap_or_default().max(self.evicted)
    }

    fn check(&self, epoch: Epoch, needed: Readiness) -> Result<(), FloorRefusal> {
        if epoch != self.epoch() || self.acknowledged > epoch {
            return Err(FloorRefusal::OtherEpoch {
                current: self.acknowledged,
            });
        }
        if self.readiness() < needed {
            return Err(FloorRefusal::NotReady);
        }
        Ok(())
    }
}
