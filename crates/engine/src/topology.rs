//! Zones, regions and the distance of members and processes from this process.

use crate::names::{RegionName, ZoneName};
use std::collections::{BTreeSet, HashMap};

/// The distance of a member or process from this process.
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
    /// The name used in events and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Distance::OwnZone => "own_zone",
            Distance::OwnRegion => "own_region",
            Distance::OtherRegion => "other_region",
        }
    }
}

/// The regions of all zones, according to the settings of this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Topology {
    zone: ZoneName,
    regions: HashMap<ZoneName, RegionName>,
}

impl Topology {
    /// Creates the topology of a process in `zone`. Zones that are missing in `regions` belong to
    /// no region.
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

    /// The region of this process; `None` if its zone belongs to none.
    pub fn region(&self) -> Option<&RegionName> {
        self.regions.get(&self.zone)
    }

    /// The region of `zone`, if known.
    pub fn region_of(&self, zone: &str) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Whether any known zone belongs to `region`.
    pub fn has_region(&self, region: &str) -> bool {
        self.regions.values().any(|known| &**known == region)
    }

    /// The distance of `zone`. A zone of unknown region counts as in the same region.
    pub fn distance(&self, zone: &str) -> Distance {
        if zone == &*self.zone {
            return Distance::OwnZone;
        }
        match (self.region(), self.region_of(zone)) {
            (Some(own), Some(other)) if own != other => Distance::OtherRegion,
            _ => Distance::OwnRegion,
        }
    }

    /// Whether all known zones belong to one region.
    pub fn is_single_region(&self) -> bool {
        let regions: BTreeSet<&RegionName> = self.regions.values().collect();
        regions.len() <= 1
    }
}
