//! Questions to other processes of the fleet.

use crate::configuration::{Configuration, ConfigurationChanges};
use crate::directory::Role;
use crate::evacuation::Evacuations;
use crate::group::Epoch;
use crate::leadership::record::TermRecord;
use crate::names::{GroupName, MemberId, ZoneName};
use crate::position::LogPosition;
use async_trait::async_trait;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// What a process believes of one group. Ages are counted when the answer is made: whoever
/// asked takes them from before the question was sent, so they only grow on the way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSnapshot {
    /// The group.
    pub group: GroupName,
    /// The epoch of its leadership.
    pub epoch: Epoch,
    /// Its leader. `None` while one is fenced off: what is believed of that one says
    /// nothing of the next, although both belong to one epoch.
    pub leader: Option<LeaderSnapshot>,
    /// Positions known to cover moments, and the ages of these; oldest first.
    pub covering: Vec<CoveringSnapshot>,
    /// The record of the leadership, if there was ever a promotion.
    pub term: Option<TermSnapshot>,
}

/// What a process believes of the leader of an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderSnapshot {
    /// The leader, or the member that is being promoted.
    pub member: MemberId,
    /// Whether it is known to have taken the lead.
    pub confirmed: bool,
    /// Age of the newest evidence for its term, ms.
    pub evidence_age_ms: Option<u64>,
}

/// A position that covers a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoveringSnapshot {
    /// The position.
    pub position: LogPosition,
    /// Age of the moment, ms.
    pub age_ms: u64,
}

/// A record as the store had it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermSnapshot {
    /// The record.
    pub record: TermRecord,
    /// Its version in the store.
    pub version: u64,
}

/// Versions of what operators and servers have declared, as one process knows them; zero
/// where it knows nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredVersions {
    /// Of the configuration.
    pub configuration: u64,
    /// Of the directory of members.
    pub directory: u64,
    /// Of the evacuated zones.
    #[serde(default)]
    pub evacuations: u64,
}

/// What a process knows that is newer than it was asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeclaredState {
    /// The configuration.
    pub configuration: Option<DeclaredConfiguration>,
    /// The members.
    pub directory: Option<DeclaredDirectory>,
    /// The evacuated zones.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
    /// The moment as of which the configuration and the evacuations that are known, told
    /// here or not, were the newest: in ms after the question came, below zero where it was before. `None` where
    /// that is not known. Whoever asked counts it from before the question was sent.
    pub complete_after_ms: Option<i64>,
}

/// A configuration that is newer than the one that was asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DeclaredConfiguration {
    /// All of it.
    Whole(Configuration),
    /// What has changed since the version that was asked for.
    Changes(ConfigurationChanges),
}

/// Members as of one version of their entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredDirectory {
    /// The version.
    pub version: u64,
    /// Which members these are.
    pub extent: DeclaredExtent,
    /// The members, gone ones included.
    pub members: Vec<DeclaredMember>,
}

/// What a [`DeclaredDirectory`] holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeclaredExtent {
    /// All members.
    Whole,
    /// Those that have changed after the version that was asked for.
    Changes,
}

/// A member, on its way to another process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredMember {
    /// Its identity.
    pub id: MemberId,
    /// Its group.
    pub group: GroupName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// The role that it told last.
    pub role: Role,
    /// Statements that it runs at a time.
    pub slots: usize,
    /// For how long it is still slow from its start, ms.
    #[serde(default)]
    pub cold_left_ms: Option<u64>,
    /// Set where it leaves or has left.
    pub departure: Option<DeclaredDeparture>,
    /// The store's version of its last change.
    pub changed: u64,
}

/// A member's departure, in ages at the time of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredDeparture {
    /// Its entry has gone.
    pub gone: bool,
    /// For how long its entry is still expected back, ms, where it has lapsed.
    pub lapsed_left_ms: Option<u64>,
    /// Since it was learned of, ms.
    pub learned_age_ms: u64,
    /// Since it may have been known to others, ms; `None` where that is not known.
    pub earliest_age_ms: Option<u64>,
}

quick_error! {
    /// A process did not answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PeerError {
        /// It was not reached, or broke off.
        Unreachable(reason: String) {
            display("unreachable: {reason}")
        }
        /// It answered what makes no sense.
        Protocol(reason: String) {
            display("protocol violation: {reason}")
        }
    }
}

/// A link between two processes: frames both ways, in order. It ends where one side drops
/// it or can't be reached any more.
#[derive(Debug)]
pub struct PeerLink {
    /// Frames to the other side.
    pub tx: mpsc::Sender<Bytes>,
    /// Frames from there.
    pub rx: mpsc::Receiver<Bytes>,
}

/// Asks other processes.
#[async_trait]
pub trait PeerNetwork: Debug + Send + Sync + 'static {
    /// What the process at `peer` believes of `groups`.
    async fn query_groups(
        &self,
        peer: SocketAddr,
        groups: &[GroupName],
    ) -> Result<Vec<GroupSnapshot>, PeerError>;

    /// What the process at `peer` knows of configuration and members that is newer than
    /// `known`.
    async fn query_declared(
        &self,
        peer: SocketAddr,
        known: DeclaredVersions,
    ) -> Result<DeclaredState, PeerError>;

    /// Opens a link to the process at `peer`, which [serves](crate::serving::serve) it.
    async fn open_link(&self, peer: SocketAddr) -> Result<PeerLink, PeerError>;
}
