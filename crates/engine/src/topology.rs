//! Zones and regions: how far a member or a process is from this one.

use crate::names::{RegionName, ZoneName};
use std::collections::{BTreeSet, HashMap};

/// How far something is from this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Distance {
    /// In the same zone.
    #[default]
    OwnZone,
    /// In another zone of the same region.
    OwnRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Its name in events and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Distance::OwnZone => "own_zone",
            Distance::OwnRegion => "own_region",
            Distance::OtherRegion => "other_region",
        }
    }
}

/// The regions of all zones, as the settings of this process tell them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    zone: ZoneName,
    regions: HashMap<ZoneName, RegionName>,
}

impl Topology {
    /// Of a process in `zone`. Zones that `regions` does not name belong to no region.
    ///
    /// ```
    /// use std::collections::HashMap;
    /// use stilequay_engine::topology::{Distance, Topology};
    /// let zones = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    /// let regions = zones.map(|(zone, region)| (zone.into(), region.into()));
    /// let topology = Topology::new("a1".into(), HashMap::from(regions));
    /// assert_eq!(topology.distance("a2"), Distance::OwnRegion);
    /// assert_eq!(topology.distance("b1"), Distance::OtherRegion);
    /// assert_eq!(topology.region_of("b1"), Some(&"b".into()));
    /// ```
    pub fn new(zone: ZoneName, regions: HashMap<ZoneName, RegionName>) -> Self {
        Self { zone, regions }
    }

    /// The zone of this process.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// The region of this process; `None` where its zone belongs to none.
    pub fn region(&self) -> Option<&RegionName> {
        self.regions.get(&self.zone)
    }

    /// The region of `zone`, if it is known.
    pub fn region_of(&self, zone: &str) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Whether a zone is known that belongs to `region`.
    pub fn has_region(&self, region: &str) -> bool {
        self.regions.values().any(|known| &**known == region)
    }

    /// How far `zone` is. Zones whose regions are not known count as of one region.
    pub fn distance(&self, zone: &str) -> Distance {
        if zone == &*self.zone {
            return Distance::OwnZone;
        }
        match (self.region(), self.region_of(zone)) {
            (Some(own), Some(other)) if own != other => Distance::OtherRegion,
            _ => Distance::OwnRegion,
        }
    }

    /// Whether all zones that are known belong to one region.
    pub fn is_single_region(&self) -> bool {
        let regions: BTreeSet<&RegionName> = self.regions.values().collect();
        regions.len() <= 1
    }
}
