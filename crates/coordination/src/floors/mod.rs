//! Session floors, kept by a few homes in memory only.
//!
//! The floor of a session is the position that its next read must have reached to
//! see the session's own writes. It is stored at a majority of the homes of a group
//! after each commit, and read from a majority, so that a session can roam between
//! nodes. No home has a disk. What makes that safe:
//!
//! - **Loss of memory.** A home that starts first accepts floors, and then takes a
//!   *default floor* from a barrier: a position that covers all that was committed
//!   before the barrier began. It answers reads only then, and never below it.
//!   Whatever its earlier life had stored was committed before it was stored, so
//!   the default floor covers it.
//! - **Bounded memory.** A register keeps [`FloorRegisterSettings::capacity`]
//!   sessions. To evict one raises the default floor to its floor.
//! - **Change of the homes.** Each set of homes has an [`Epoch`]. A home refuses the
//!   calls of other epochs. A home serves an epoch only once that is *sealed*: a
//!   majority of the set before has acknowledged the new epoch, and refuses its own
//!   from then on. A home that did not serve the epoch before takes its default
//!   floor after that. Two majorities of different sets need not meet; a sealed
//!   epoch takes their place.
//!
//! A floor must be stored *after* the commit that it covers. A mark stored before it
//! is not enough: the home may lose the mark and take its default floor before the
//! commit happens.
//!
//! # Requirements on the embedding program
//!
//! - A home that starts is told a placement that was read *after* it started from
//!   where placements are decided, so that it can't go back behind an epoch that its
//!   earlier life had acknowledged.
//! - At most one set of homes has a given epoch, and a set's `previous` is the set of
//!   the epoch before. The next epoch should be decided only when the present one is
//!   sealed; until then its homes serve nothing, and callers use a barrier. A
//!   placement known to be sealed may be told with an empty `previous`.
//!   [`PlacementKeeper`] does all this over a store with conditional writes.
//! - [`BarrierSource::barrier`] covers everything acknowledged before it was called.
//!
//! # Example
//!
//! Three homes in one process; a program of several would carry the calls over its network.
//!
//! ```
//! use async_trait::async_trait;
//! use std::collections::BTreeMap;
//! use std::sync::{Arc, OnceLock};
//! use stilequay_coordination::floors::*;
//! use stilequay_coordination::identity::NodeId;
//! use stilequay_coordination::position::{Floor, LogPosition, Term};
//! use tokio::sync::watch;
//! use tokio_util::sync::CancellationToken;
//!
//! #[derive(Default)]
//! struct Local(OnceLock<BTreeMap<NodeId, Arc<FloorHome>>>);
//!
//! #[async_trait]
//! impl FloorTransport for Local {
//!     async fn call(
//!         &self,
//!         home: &NodeId,
//!         request: FloorRequest,
//!     ) -> Result<FloorReply, FloorTransportError> {
//!         let home = self.0.get().and_then(|homes| homes.get(home));
//!         let unreachable = || FloorTransportError::Unreachable("not started".to_owned());
//!         Ok(home.ok_or_else(unreachable)?.handle(request))
//!     }
//! }
//!
//! #[async_trait]
//! impl BarrierSource for Local {
//!     async fn barrier(&self) -> Result<Floor, BarrierError> {
//!         Ok(Floor::new(Term(1), LogPosition(100)))
//!     }
//! }
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() {
//! let names = ["a", "b", "c"].map(NodeId::new);
//! let placement = FloorPlacement {
//!     epoch: Epoch(1),
//!     homes: names.to_vec(),
//!     previous: Vec::new(),
//! };
//! let (_publish, placements) = watch::channel(Some(placement.clone()));
//! let network = Arc::new(Local::default());
//! let homes: BTreeMap<_, _> = names
//!     .map(|name| {
//!         let settings = FloorRegisterSettings::default();
//!         let home = FloorHome::new(name.clone(), settings, network.clone(), network.clone());
//!         (name, Arc::new(home))
//!     })
//!     .into();
//! for home in homes.values().cloned() {
//!     let placements = placements.clone();
//!     tokio::spawn(async move { home.follow(placements, CancellationToken::new()).await });
//! }
//! network.0.set(homes).unwrap();
//!
//! let client = FloorClient::new(network, FloorClientSettings::default());
//! let session = SessionKey::of("till 7");
//! let floor = Floor::new(Term(1), LogPosition(120));
//! // Until two homes are ready, calls fail and the caller uses a barrier.
//! while client.store(&placement, session, floor).await.is_err() {
//!     tokio::task::yield_now().await;
//! }
//! while client.load(&placement, session).await.is_err() {
//!     tokio::task::yield_now().await;
//! }
//! assert_eq!(client.load(&placement, session).await, Ok(floor));
//! # }
//! ```
//!
//! # Memory
//!
//! A session takes at most [`BYTES_PER_SESSION`] bytes at a home, whatever the length
//! of its name; what the allocator keeps back from the register's growth comes on top.
//! The example `floor_memory` measures it.

mod client;
mod home;
mod placements;
mod port;
mod register;
mod sessions;

pub use client::{FloorClient, FloorClientSettings, FloorError};
pub use home::FloorHome;
pub use placements::{HOMES, PlacementKeeper, PlacementStore, PlacementStoreError, PutOutcome};
pub use port::{BarrierError, BarrierSource, FloorTransport, FloorTransportError};
pub use register::{FloorRegister, FloorRegisterSettings, Readiness};
pub use sessions::BYTES_PER_SESSION;

use crate::identity::NodeId;
use crate::position::Floor;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_128;

/// The number of a set of homes; each change of the set raises it by one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch before this one.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// The epoch after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The homes that keep floors, as of one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FloorPlacement {
    /// The epoch of the set.
    pub epoch: Epoch,
    /// The homes.
    pub homes: Vec<NodeId>,
    /// The homes of the epoch before; empty where nothing before needs to be sealed.
    pub previous: Vec<NodeId>,
}

/// Names a session by a hash of fixed size.
///
/// Two sessions whose names collide share the higher floor of both, which is safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionKey {
    high: u64,
    low: u64,
}

impl SessionKey {
    /// The key of a session's name.
    pub fn of(name: &str) -> Self {
        let hash = xxh3_128(name.as_bytes());
        Self {
            high: (hash >> 64) as u64,
            low: hash as u64,
        }
    }
}

/// A call to a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FloorRequest {
    /// Keep a session's floor, for a commit that has happened.
    Store {
        /// The caller's epoch.
        epoch: Epoch,
        /// The session.
        session: SessionKey,
        /// Its floor.
        floor: Floor,
    },
    /// Tell a session's floor.
    Load {
        /// The caller's epoch.
        epoch: Epoch,
        /// The session.
        session: SessionKey,
    },
    /// Serve no epoch before this one any more.
    Acknowledge {
        /// The new epoch.
        epoch: Epoch,
    },
}

/// A home's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FloorReply {
    /// The floor is kept.
    Stored,
    /// The session's floor, or a higher one.
    Floor(Floor),
    /// The home serves no epoch before `epoch` any more.
    Acknowledged(Acknowledgement),
    /// The home did not serve the call.
    Refused(FloorRefusal),
}

/// A home's promise to serve no earlier epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The home serves no epoch before this one; at least the epoch asked for.
    pub epoch: Epoch,
    /// The highest epoch that the home knows to be sealed: no majority serves one before it.
    pub sealed: Epoch,
}

/// Why a home did not serve a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FloorRefusal {
    /// The call is of another epoch than the home's.
    OtherEpoch {
        /// The highest epoch that the home has heard of.
        current: Epoch,
    },
    /// The home does not serve its epoch yet.
    NotReady,
}

/// The number of homes that are more than half of `homes`.
pub(crate) fn majority(homes: usize) -> usize {
    homes / 2 + 1
}
