//! The messages of the distribution.

use super::in_force::{InForce, Laggard, ZoneInForce};
use super::port::Change;
use crate::control::connection::ControlMessage;
use crate::identity::NodeId;
use crate::revision::Revision;
use crate::traffic::MessageKind;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The opening of a subscription.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SubscribeRequest {
    /// Who subscribes.
    pub node: NodeId,
    /// The last revision it has applied.
    pub from: Revision,
}

/// What a node sends to those that subscribe to it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ParentMessage {
    /// The next change.
    #[serde(rename = "c")]
    Change(Change),
    /// Part of a snapshot, in place of changes that are no longer kept.
    #[serde(rename = "s")]
    SnapshotPart(SnapshotPart),
    /// Nothing new; the node has applied this revision.
    #[serde(rename = "h")]
    Heartbeat(Revision),
    /// What is in force on the fleet.
    #[serde(rename = "i")]
    InForce(InForce),
    /// The node serves as many others as it can: try another one.
    #[serde(rename = "r")]
    Refused,
}

/// A piece of a snapshot. The pieces come in order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SnapshotPart {
    /// The revision of the whole snapshot.
    pub revision: Revision,
    /// Whether this is the last piece.
    pub last: bool,
    /// The bytes of the piece.
    pub body: Bytes,
}

/// What a node sends to the node that it subscribes to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ChildMessage {
    /// What the nodes of the subtree have applied.
    #[serde(rename = "r")]
    Report(SubtreeReport),
    /// The last report still holds.
    #[serde(rename = "h")]
    Heartbeat,
}

/// What the nodes of a subtree have applied.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct SubtreeReport {
    /// How many nodes are counted.
    pub counted: u32,
    /// How many of these are still starting and serve nobody yet.
    pub starting: u32,
    /// The sum of the fingerprints of the counted nodes: shows whether they are
    /// exactly those that should be counted, each once.
    pub fingerprint: u64,
    /// The least revision applied by a node that is not starting.
    pub least: Option<Revision>,
    /// The highest revision applied by a node.
    pub highest: Revision,
    /// The nodes furthest behind.
    pub laggards: Vec<Laggard>,
}

/// A message to a relay of another zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ZoneMessage {
    /// What is in force in the zone; repeated as a sign of life.
    #[serde(rename = "z")]
    InForce(ZoneInForce),
    /// The node is not a relay of its zone: ask another one.
    #[serde(rename = "n")]
    NotRelay,
}

/// The answer to the question for the highest revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HeadAnswer {
    /// The end of the log, read from the source after the question came.
    #[serde(rename = "r")]
    Read(Revision),
    /// What the node, which has caught up, has applied. It could not read the
    /// source or is not a relay.
    #[serde(rename = "a")]
    Applied(Revision),
    /// The node has not caught up itself.
    #[serde(rename = "s")]
    Starting,
}

impl ControlMessage for ParentMessage {
    fn kind(&self) -> MessageKind {
        match self {
            Self::Change(_) => MessageKind::Change,
            Self::SnapshotPart(_) => MessageKind::Snapshot,
            Self::Heartbeat(_) => MessageKind::Heartbeat,
            Self::InForce(_) => MessageKind::InForce,
            Self::Refused => MessageKind::Subscription,
        }
    }
}

impl ControlMessage for ChildMessage {
    fn kind(&self) -> MessageKind {
        match self {
            Self::Report(_) => MessageKind::Report,
            Self::Heartbeat => MessageKind::Heartbeat,
        }
    }
}

impl ControlMessage for ZoneMessage {
    fn kind(&self) -> MessageKind {
        MessageKind::InForce
    }
}

impl ControlMessage for HeadAnswer {
    fn kind(&self) -> MessageKind {
        MessageKind::Head
    }
}
