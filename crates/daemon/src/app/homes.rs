//! Homes of a group, placed over the live daemons of the fleet.

use crate::domain::exchange::Access;
use crate::domain::membership::{FleetMember, Liveness};
use crate::domain::names::GroupName;
use crate::ports::fleet::FleetReceiver;
use crate::ports::homes::HomeSelector;
use stilequay_coordination::identity::{NodeId, ZoneName};
use stilequay_coordination::placement::{Candidate, place};

/// Daemons that hold the connections of one group.
pub const HOMES_PER_GROUP: usize = 3;

/// Places homes over the daemons that are alive.
pub struct PlacedHomes {
    own_zone: ZoneName,
    fleet: FleetReceiver,
}

impl PlacedHomes {
    /// Homes as `fleet` shows them, for a daemon in `own_zone`.
    pub fn new(own_zone: ZoneName, fleet: FleetReceiver) -> Self {
        Self { own_zone, fleet }
    }
}

impl HomeSelector for PlacedHomes {
    fn homes(&self, group: &GroupName, access: &Access) -> Vec<NodeId> {
        let view = self.fleet.borrow().clone();
        let candidates = view
            .members
            .values()
            .filter(|member| accepts_work(member))
            .map(|member| Candidate {
                node: &member.node,
                zone: &member.zone,
            });
        let mut homes = place(group.as_str(), candidates, HOMES_PER_GROUP);
        if matches!(access, Access::Read(_)) {
            let in_own_zone = |node: &NodeId| {
                view.members
                    .get(node)
                    .is_some_and(|m| m.zone == self.own_zone)
            };
            homes.sort_by_key(|node| !in_own_zone(node));
        }
        homes
    }
}

/// A suspected daemon keeps its place: suspicion often passes, and moving homes costs connections.
fn accepts_work(member: &FleetMember) -> bool {
    member.liveness != Liveness::Leaving
}
