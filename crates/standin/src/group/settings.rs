//! Settings of the group.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Everything that [`start`](super::start) needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GroupSettings {
    /// The name of the group, shown in the ready line.
    pub name: String,
    /// The members; the first is the primary at the start. Empty means three with default names.
    pub members: Vec<MemberSettings>,
    /// The user that may connect.
    pub user: String,
    /// The password of that user.
    pub password: String,
    /// Where the HTTP steering listens when the group runs as a process.
    pub control: SocketAddr,
    /// When and how a new primary is elected.
    pub election: ElectionSettings,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            name: "group".to_owned(),
            members: DEFAULT_MEMBERS
                .iter()
                .map(|name| MemberSettings::named(name))
                .collect(),
            user: "stilequay".to_owned(),
            password: "stilequay".to_owned(),
            control: any_local_port(),
            election: ElectionSettings::default(),
        }
    }
}

const DEFAULT_MEMBERS: [&str; 3] = ["one", "two", "three"];

fn any_local_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// One member of the group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// The name used for steering.
    pub name: String,
    /// The address it listens on.
    #[serde(default = "any_local_port")]
    pub listen: SocketAddr,
    /// How far it lags when it is a replica.
    #[serde(default)]
    pub lag: ReplicationLag,
    /// The delays its clients see.
    #[serde(default)]
    pub delays: Delays,
    /// Its limits.
    #[serde(default)]
    pub limits: Limits,
}

impl MemberSettings {
    /// A member with defaults for everything but the name.
    pub fn named(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            listen: any_local_port(),
            lag: ReplicationLag::default(),
            delays: Delays::default(),
            limits: Limits::default(),
        }
    }
}

/// The delays of a replica behind its primary.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct ReplicationLag {
    /// From the commit on the primary until the replica has received it, in milliseconds.
    #[serde(alias = "receive_ms")]
    pub receive_ms: u64,
    /// From the receipt until the replica has replayed it, in milliseconds.
    #[serde(alias = "replay_ms")]
    pub replay_ms: u64,
}

/// The delays a member's clients see; the timer's granularity is one millisecond.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Delays {
    /// Added to the authentication of a new connection, in microseconds.
    #[serde(alias = "connection_us")]
    pub connection_us: u64,
    /// One-way network delay, applied to requests and to answers, in microseconds.
    #[serde(alias = "network_us")]
    pub network_us: u64,
    /// Processing time of each statement, in microseconds.
    #[serde(alias = "statement_us")]
    pub statement_us: u64,
}

/// The limits of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Limits {
    /// Connections beyond this many are refused with SQLSTATE 53300.
    #[serde(alias = "max_connections")]
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: DEFAULT_MAX_CONNECTIONS,
        }
    }
}

/// As PostgreSQL is shipped.
const DEFAULT_MAX_CONNECTIONS: usize = 100;

/// When and how a new primary is elected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ElectionSettings {
    /// How long replicas go without a primary before they elect one, in milliseconds.
    pub timeout_ms: u64,
    /// The most that is added to the timeout at random, in milliseconds.
    pub jitter_ms: u64,
    /// How often each member looks at the others, in milliseconds.
    pub heartbeat_ms: u64,
    /// From the vote until the winner accepts writes, in milliseconds.
    pub promotion_ms: u64,
}

impl Default for ElectionSettings {
    fn default() -> Self {
        Self {
            timeout_ms: 300,
            jitter_ms: 50,
            heartbeat_ms: 20,
            promotion_ms: 0,
        }
    }
}
