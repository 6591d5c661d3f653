//! Which daemons are the homes of a group.

use crate::domain::exchange::Access;
use crate::domain::names::GroupName;
use stilequay_coordination::identity::NodeId;

/// Chooses homes from the fleet as this daemon sees it.
pub trait HomeSelector: Send + Sync + 'static {
    /// The homes of `group`, in the order in which to try them for `access`.
    fn homes(&self, group: &GroupName, access: &Access) -> Vec<NodeId>;
}
