//! Data residency: restricts where statements may run to the home regions of routes and tenants.
//!
//! A member or process that receives a statement is wrapped in [`Allowed`]. Only
//! [`Residency::admit`] and [`Residency::select`] create such a value, and all code that forwards
//! a caller's statement accepts nothing else.

use crate::configuration::Configuration;
use crate::directory::Member;
use crate::home::placement::Peer;
use crate::names::RegionName;
use crate::topology::Topology;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// The regions in which statements may run and whose processes may forward them.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Residency {
    /// `None` allows any region.
    regions: Option<Arc<BTreeSet<RegionName>>>,
}

impl Residency {
    /// Allows any region.
    pub const ANYWHERE: Self = Self { regions: None };

    /// Allows only `regions`, or any region if `regions` is empty.
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
            regions: (!regions.is_empty()).then(|| Arc::new(regions)),
        }
    }

    /// Whether statements may run in `region`; `None` stands for an unknown region.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(regions) = &self.regions else {
            return true;
        };
        region.is_some_and(|region| regions.contains(region))
    }

    /// Whether any region is allowed.
    pub fn is_anywhere(&self) -> bool {
        self.regions.is_none()
    }

    /// The regions that both allow. They may be none, in which case no region is allowed.
    pub fn intersection(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (Some(own), Some(others)) => {
                Some(Arc::new(own.intersection(others).cloned().collect()))
            }
            (Some(one), None) | (None, Some(one)) => Some(Arc::clone(one)),
            (None, None) => None,
        };
        Self { regions }
    }

    /// Whether this allows every region that `other` allows.
    ///
    /// ```
    /// use stilequay_engine::residency::Residency;
    /// let north = Residency::in_regions(["north".into()]);
    /// let both = Residency::in_regions(["north".into(), "west".into()]);
    /// assert!(both.is_superset_of(&north) && !north.is_superset_of(&both));
    /// assert!(Residency::ANYWHERE.is_superset_of(&both));
    /// assert!(!both.is_superset_of(&Residency::ANYWHERE));
    /// ```
    pub fn is_superset_of(&self, other: &Self) -> bool {
        match (&self.regions, &other.regions) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(own), Some(others)) => others.is_subset(own),
        }
    }

    /// Wraps `place` if its region is allowed.
    pub fn admit<T: Zoned>(&self, topology: &Topology, place: T) -> Option<Allowed<T>> {
        let region = || topology.region_of(place.zone()).map(AsRef::as_ref);
        let allowed = self.is_anywhere() || self.allows(region());
        allowed.then(|| Allowed {
            inner: place,
            residency: self.clone(),
        })
    }

    /// Wraps those of `places` whose region is allowed, keeping their order.
    pub fn select<T: Zoned>(
        &self,
        topology: &Topology,
        places: impl IntoIterator<Item = T>,
    ) -> impl Iterator<Item = Allowed<T>> {
        let places = places.into_iter();
        places.filter_map(|place| self.admit(topology, place))
    }

    /// The allowed regions to which no known zone belongs.
    fn unknown_regions(&self, topology: &Topology) -> Vec<RegionName> {
        let regions = self.regions.iter().flat_map(|regions| regions.iter());
        let unknown = regions.filter(|region| !topology.has_region(region));
        unknown.cloned().collect()
    }
}

/// Something located in a zone.
pub trait Zoned {
    /// The zone.
    fn zone(&self) -> &str;
}

impl Zoned for Member {
    fn zone(&self) -> &str {
        &self.zone
    }
}

impl Zoned for Peer {
    fn zone(&self) -> &str {
        &self.zone
    }
}

impl<T: Zoned> Zoned for &T {
    fn zone(&self) -> &str {
        (**self).zone()
    }
}

impl<T: Zoned> Zoned for Arc<T> {
    fn zone(&self) -> &str {
        (**self).zone()
    }
}

/// A member, a process or a path to one to which statements may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allowed<T> {
    inner: T,
    residency: Residency,
}

impl<T> Allowed<T> {
    /// The wrapped value.
    pub fn get(&self) -> &T {
        &self.inner
    }

    /// The regions under which it was allowed.
    pub fn residency(&self) -> &Residency {
        &self.residency
    }

    /// Wraps `inner`, which must lead to this place and nowhere else.
    pub(crate) fn with<U>(&self, inner: U) -> Allowed<U> {
        Allowed {
            inner,
            residency: self.residency.clone(),
        }
    }
}

/// Warns about home regions in `configuration` to which no zone belongs: nothing can run there.
/// They are enforced nevertheless, since allowing no region is safer than allowing any.
pub(crate) fn report_unknown_regions(topology: &Topology, configuration: &Configuration) {
    let routes = configuration.routes.iter();
    let routes = routes.map(|(name, route)| ("database", name, &route.residency));
    let tenants = configuration.tenants.iter();
    let tenants = tenants.map(|(name, tenant)| ("tenant", name, &tenant.residency));
    for (kind, name, residency) in routes.chain(tenants) {
        let unknown = residency.unknown_regions(topology);
        if !unknown.is_empty() {
            log::warn!(
                "{kind} {name} has home regions {unknown:?} to which no zone in the settings \
                 belongs: none of its statements can run there"
            );
        }
    }
}
