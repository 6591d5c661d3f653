//! For whom the news in a datagram is.

use super::record::MemberRecord;
use crate::identity::{RegionName, ZoneName};

/// Nodes that receive news together, as seen from one node.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Audience {
    /// The own zone.
    OwnZone,
    /// Another zone of the own region.
    Zone(ZoneName),
    /// Another region.
    Region(RegionName),
}

impl Audience {
    /// The audience to which a node in `zone` of `region` belongs, as seen from `own`.
    pub fn of(own: &MemberRecord, zone: &ZoneName, region: &RegionName) -> Self {
        if *zone == own.zone {
            Self::OwnZone
        } else if *region == own.region {
            Self::Zone(zone.clone())
        } else {
            Self::Region(region.clone())
        }
    }
}
