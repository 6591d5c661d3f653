//! Zones whose servers are to get no more work, as operators have requested.
//!
//! Each process keeps a [`Schedule`] of when it sends nothing more to which zone, and checks it
//! at a [`Gate`] directly before each command.

mod connection_closer;
mod gate;
mod schedule;

pub(crate) use connection_closer::close_evacuated_zones;
pub use gate::Gate;
pub use schedule::{MayNotSend, Schedule, Sender, ramp_share};

use crate::names::ZoneName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The zones that are evacuated, as of one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Evacuations {
    /// The store's version as of which these were learned; zero where nothing is known.
    /// Processes that know the same zones may differ in it.
    pub version: u64,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
}

impl Evacuations {
    /// Whether nothing more may be sent to the servers of `zone`.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }
}
