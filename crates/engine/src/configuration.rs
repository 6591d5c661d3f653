//! The configuration that an operator has declared, as a whole.

use crate::names::{DatabaseName, GroupName};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How fresh a session's reads are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Reads see every commit that was acknowledged before them, of any session.
    Leader,
    /// Reads see every commit acknowledged longer ago than the route's staleness.
    BoundedStaleness,
    /// As bounded staleness, and every commit of the same session.
    ReadYourWrites,
}

impl Consistency {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Consistency::Leader => "leader",
            Consistency::BoundedStaleness => "bounded_staleness",
            Consistency::ReadYourWrites => "read_your_writes",
        }
    }
}

/// How the sessions of one database are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The group that runs the statements.
    pub group: GroupName,
    /// How fresh reads are.
    pub consistency: Consistency,
    /// Age that reads may have; zero for [`Consistency::Leader`].
    pub max_staleness: Duration,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Latency that callers hope for.
    pub objective: Duration,
    /// Rank; 0 is highest.
    pub priority: u32,
}

/// What holds for one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSettings {
    /// Connections that one member accepts from all callers together.
    pub member_connections: usize,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
}

/// A configuration as of one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Rises with each change.
    pub version: u64,
    /// Routes by database.
    pub routes: HashMap<DatabaseName, Arc<Route>>,
    /// Groups.
    pub groups: HashMap<GroupName, GroupSettings>,
    /// Longest rest inside a transaction.
    pub transaction_idle: Option<Duration>,
}
