//! Where statements may run: routes and tenants may name their home regions.

use crate::names::RegionName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The regions in which statements may run and through whose processes they may pass.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Residency {
    /// `None` for any region.
    regions: Option<BTreeSet<RegionName>>,
}

impl Residency {
    /// Any region will do.
    pub const ANYWHERE: Self = Self { regions: None };

    /// Only `regions`; any region where there are none.
    ///
    /// ```
    /// use stilequay_engine::residency::Residency;
    /// let north = Residency::in_regions(["north".into(), "west".into()]);
    /// assert!(north.allows(Some("north")));
    /// assert!(!north.allows(Some("south")));
    /// assert!(!north.allows(None));
    /// assert!(Residency::in_regions([]).allows(None));
    /// ```
    pub fn in_regions(regions: impl IntoIterator<Item = RegionName>) -> Self {
        let regions: BTreeSet<RegionName> = regions.into_iter().collect();
        Self {
            regions: (!regions.is_empty()).then_some(regions),
        }
    }

    /// Whether statements may run in `region`; `None` stands for a region that is not known.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(regions) = &self.regions else {
            return true;
        };
        region.is_some_and(|region| regions.contains(region))
    }

    /// Whether any region will do.
    pub fn is_anywhere(&self) -> bool {
        self.regions.is_none()
    }

    /// The regions that both allow, which may be none at all.
    pub fn and(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (Some(own), Some(others)) => Some(own.intersection(others).cloned().collect()),
            (Some(one), None) | (None, Some(one)) => Some(one.clone()),
            (None, None) => None,
        };
        Self { regions }
    }
}
