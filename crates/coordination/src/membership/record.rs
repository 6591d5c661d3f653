//! What the fleet knows of one node, and which of two reports is the later.

use crate::identity::{Incarnation, NodeId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Who a node is and where it is reached. Fixed for one life of the node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The node.
    pub node: NodeId,
    /// Its life; a restarted node must take a higher one, for example the wall
    /// clock in milliseconds.
    pub incarnation: Incarnation,
    /// The zone it runs in.
    pub zone: ZoneName,
    /// The region of that zone.
    pub region: RegionName,
    /// Where it listens for the coordination protocols: UDP and TCP on one port.
    pub control_address: SocketAddr,
    /// Where it serves the embedding program's own protocol.
    pub data_address: SocketAddr,
}

/// Orders the reports about one node: the life first, then the number of times
/// the node itself has renewed its report in that life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct MemberVersion {
    /// The life of the node.
    pub incarnation: Incarnation,
    /// Raised by the node alone, to refute a suspicion or to announce its leaving.
    pub renewal: u32,
}

/// What is reported of a node. At equal versions the higher status wins, so a
/// suspicion stands until the node itself refutes it with a higher version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub(crate) enum Status {
    /// Answers.
    Alive = 0,
    /// Answers, but has announced that it leaves.
    Leaving = 1,
    /// Has not answered a probe; not yet given up.
    Suspected = 2,
    /// Suspected after it had announced that it leaves.
    SuspectedLeaving = 3,
    /// Given up, or gone by its own word.
    Down = 4,
}

impl Status {
    /// Whether the node has not answered its neighbours.
    pub fn is_suspected(self) -> bool {
        matches!(self, Self::Suspected | Self::SuspectedLeaving)
    }

    /// Whether the node should hear of this status, to refute it if it lives.
    pub fn is_doubted(self) -> bool {
        self.is_suspected() || self == Self::Down
    }

    /// This status once a probe was not answered.
    pub fn suspected(self) -> Self {
        match self {
            Self::Alive => Self::Suspected,
            Self::Leaving => Self::SuspectedLeaving,
            other => other,
        }
    }
}

impl From<Status> for u8 {
    fn from(status: Status) -> u8 {
        status as u8
    }
}

impl TryFrom<u8> for Status {
    type Error = String;

    fn try_from(number: u8) -> Result<Self, Self::Error> {
        match number {
            0 => Ok(Self::Alive),
            1 => Ok(Self::Leaving),
            2 => Ok(Self::Suspected),
            3 => Ok(Self::SuspectedLeaving),
            4 => Ok(Self::Down),
            other => Err(format!("unknown member status {other}")),
        }
    }
}

/// A report about one node, whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberState {
    /// The node.
    pub record: Arc<MemberRecord>,
    /// Raised by the node to outdate earlier reports of this life.
    pub renewal: u32,
    /// What is reported.
    pub status: Status,
}

impl MemberState {
    /// The version of this report.
    pub fn version(&self) -> MemberVersion {
        MemberVersion {
            incarnation: self.record.incarnation,
            renewal: self.renewal,
        }
    }

    /// Whether this report replaces `other`, a report about the same node.
    pub fn supersedes(&self, other: &MemberState) -> bool {
        (self.version(), self.status) > (other.version(), other.status)
    }
}

/// A report as it travels with other messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Delta {
    /// The first report of a life, which tells where the node is.
    #[serde(rename = "f")]
    Full(MemberState),
    /// A later report of a life that most nodes know.
    #[serde(rename = "b")]
    Brief(BriefState),
}

/// A report without the node's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BriefState {
    /// The node.
    pub node: NodeId,
    /// Its life and renewal.
    pub version: MemberVersion,
    /// What is reported.
    pub status: Status,
}

impl Delta {
    /// The node that is reported on.
    pub fn node(&self) -> &NodeId {
        match self {
            Self::Full(state) => &state.record.node,
            Self::Brief(brief) => &brief.node,
        }
    }

    /// The version of the report.
    pub fn version(&self) -> MemberVersion {
        match self {
            Self::Full(state) => state.version(),
            Self::Brief(brief) => brief.version,
        }
    }

    /// What is reported.
    pub fn status(&self) -> Status {
        match self {
            Self::Full(state) => state.status,
            Self::Brief(brief) => brief.status,
        }
    }
}

impl From<&MemberState> for Delta {
    /// The shortest form in which nodes that missed nothing understand `state`.
    fn from(state: &MemberState) -> Self {
        if state.renewal == 0 && state.status == Status::Alive {
            return Self::Full(state.clone());
        }
        Self::Brief(BriefState {
            node: state.record.node.clone(),
            version: state.version(),
            status: state.status,
        })
    }
}
