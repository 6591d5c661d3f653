//! Many groups, of three members each, that receive no requests.

use super::configuration;
use std::sync::Arc;
use stilequay_engine::configuration::{Configuration, GroupSettings};
use stilequay_engine::directory::{Member, MemberState, Role};

/// The name of the group with this index.
pub fn group_name(index: usize) -> String {
    format!("group-{index}")
}

/// The members of the first `count` groups.
pub fn members_of_groups(count: usize) -> impl Iterator<Item = Member> {
    (0..count).flat_map(members)
}

fn members(index: usize) -> impl Iterator<Item = Member> {
    let roles = [Role::Primary, Role::Replica, Role::Replica];
    roles.into_iter().enumerate().map(move |(offset, role)| {
        let number = u16::try_from(3 * index + offset).expect("few members");
        Member {
            id: Arc::from(format!("member-{number}")),
            group: Arc::from(group_name(index)),
            address: ([10, 9, 0, 1], 10_000 + number).into(),
            zone: Arc::from("zone-a"),
            role,
            slots: 3,
            cold_until: None,
            state: MemberState::Ready,
            changed: 0,
        }
    })
}

/// The default test configuration plus the first `count` groups, as version `version`.
pub fn with_groups(version: u64, count: usize) -> Configuration {
    let mut configuration = configuration(1);
    configuration.version = version;
    let settings = GroupSettings {
        member_connections: 34,
        sync_replicas: 1,
        slow_start: None,
    };
    for index in 0..count {
        let name = Arc::from(group_name(index));
        configuration.groups.insert(name, settings.clone());
    }
    configuration
}
