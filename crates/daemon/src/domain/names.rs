//! Names of what operators declare and of what callers send.

use serde::{Deserialize, Serialize};
use std::fmt;
use stilequay_coordination::name_type;

name_type!(
    /// A database group: one primary and its replicas. Callers give it as the database name.
    GroupName
);
name_type!(
    /// A database server of a group.
    MemberName
);
name_type!(
    /// A service: the callers that share one credential. Callers give it as the user name.
    ServiceName
);
name_type!(
    /// A session policy.
    PolicyName
);
name_type!(
    /// A session that a caller named itself, so that it may roam between daemons.
    SessionName
);

/// One request of a caller; carried between daemons and into every log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Revision of the whole configuration: the number of the last change applied.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
