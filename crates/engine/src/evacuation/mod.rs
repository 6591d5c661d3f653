//! Evacuation of zones: on an operator's request, the zone's servers receive no more work.
//!
//! Each process maintains a [`Schedule`] with the time from which it sends nothing more to each
//! evacuated zone, and checks it at a [`EvacuationGate`] directly before each command.

mod connection_closer;
mod gate;
mod schedule;

pub(crate) use connection_closer::close_evacuated_zones;
pub use gate::EvacuationGate;
pub use schedule::{MayNotSend, Schedule, Sender, ramp_share};

use crate::names::ZoneName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Set of evacuated zones as of one store version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Evacuations {
    /// Store version as of which the zones were learned; zero if nothing is known. Processes that
    /// know the same zones may have different versions.
    pub version: u64,
    /// Names of the evacuated zones.
    pub zones: BTreeSet<ZoneName>,
}

impl Evacuations {
    /// Whether `zone` is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }
}
