//! The interface to other processes of the fleet.

use crate::configuration::{Configuration, ConfigurationChanges};
use crate::directory::Role;
use crate::evacuation::Evacuations;
use crate::group::Epoch;
use crate::names::{GroupName, MemberId, ZoneName};
use crate::position::LogPosition;
use crate::version::StoreVersion;
use async_trait::async_trait;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// A process's view of one group. Ages are measured when the answer is created. The receiver
/// counts them back from the time at which it sent the query, so transit time can only make
/// them larger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSnapshot {
    /// The group.
    pub group: GroupName,
    /// The epoch of its leadership.
    pub epoch: Epoch,
    /// Its leader; `None` while the previous leader is being fenced. Both leaders belong to the
    /// same epoch, so what is known about the fenced one must not be attributed to its successor.
    pub leader: Option<LeaderSnapshot>,
    /// Known covering positions with their ages, oldest first.
    pub covering: Vec<CoveringSnapshot>,
    /// The leadership record; `None` if there was never a promotion.
    pub term: Option<TermSnapshot>,
}

/// A process's view of the leader of an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderSnapshot {
    /// The leader, or the member that is being promoted.
    pub member: MemberId,
    /// Whether it is known to have become primary.
    pub confirmed: bool,
    /// Age of the newest evidence for its term, ms.
    pub evidence_age_ms: Option<u64>,
}

/// A log position that covers all commits up to some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoveringSnapshot {
    /// The position.
    pub position: LogPosition,
    /// Age of that time, ms.
    pub age_ms: u64,
}

/// A leadership record as read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermSnapshot {
    /// The record in its stored encoding, which differs from that of messages.
    pub value: Bytes,
    /// Its version in the store.
    pub version: StoreVersion,
}

/// Versions of the declared state that a process has; zero for state that it doesn't have. Declared
/// is what operators and servers have written: the configuration, the members' directory entries
/// and the evacuated zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredVersions {
    /// Version of the configuration.
    pub configuration: u64,
    /// Version of the member directory.
    pub directory: u64,
    /// Version of the evacuated zones.
    #[serde(default)]
    pub evacuations: u64,
}

/// Declared state that is newer than the versions in the query; `None` for parts that aren't.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeclaredState {
    /// The configuration.
    pub configuration: Option<DeclaredConfiguration>,
    /// The members.
    pub directory: Option<DeclaredDirectory>,
    /// The evacuated zones.
    #[serde(default)]
    pub evacuations: Option<Evacuations>,
    /// The time as of which the sender's configuration and evacuations, included here or not, were
    /// the newest: in ms after the query arrived, negative if before; `None` if unknown. The
    /// receiver counts it from the time at which it sent the query.
    pub complete_after_ms: Option<i64>,
}

/// A configuration that is newer than the version in the query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DeclaredConfiguration {
    /// The full configuration.
    Whole(Configuration),
    /// The changes since the version in the query.
    Changes(ConfigurationChanges),
}

/// Members of one version of the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredDirectory {
    /// The version.
    pub version: u64,
    /// Which members are included.
    pub extent: DeclaredExtent,
    /// The members, including those that are gone.
    pub members: Vec<DeclaredMember>,
}

/// Which members a [`DeclaredDirectory`] includes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeclaredExtent {
    /// All members.
    Whole,
    /// Members that changed after the version in the query.
    Changes,
}

/// A directory member in its exchange format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredMember {
    /// Its id.
    pub id: MemberId,
    /// Its group.
    pub group: GroupName,
    /// Its listen address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its last reported role.
    pub role: Role,
    /// Number of statements that it runs concurrently.
    pub slots: usize,
    /// Remaining slow-start time, ms.
    #[serde(default)]
    pub cold_left_ms: Option<u64>,
    /// Set if it is leaving or has left.
    pub departure: Option<DeclaredDeparture>,
    /// The store version of its last change.
    pub changed: u64,
}

/// A member's departure. Ages are relative to the time of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredDeparture {
    /// Whether its entry is gone.
    pub gone: bool,
    /// If its entry has lapsed: how much longer it is expected to come back, ms.
    pub lapsed_left_ms: Option<u64>,
    /// Time since the sender learned of the departure, ms.
    pub learned_age_ms: u64,
    /// Time since the earliest moment at which other processes may have known of it, ms; `None` if
    /// unknown.
    pub earliest_age_ms: Option<u64>,
}

quick_error! {
    /// Why a query to a peer failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PeerError {
        /// The peer could not be reached or closed the connection.
        Unreachable(reason: String) {
            display("unreachable: {reason}")
        }
        /// The answer was malformed or didn't match the query.
        Protocol(reason: String) {
            display("protocol violation: {reason}")
        }
    }
}

/// A bidirectional, ordered stream of frames between two processes. It closes when either side
/// drops it or becomes unreachable.
#[derive(Debug)]
pub struct PeerLink {
    /// Outgoing frames.
    pub tx: mpsc::Sender<Bytes>,
    /// Incoming frames.
    pub rx: mpsc::Receiver<Bytes>,
}

/// Queries other processes and opens links to them.
#[async_trait]
pub trait PeerNetwork: Debug + Send + Sync + 'static {
    /// Queries the view of `groups` of the process at `peer`.
    async fn query_groups(
        &self,
        peer: SocketAddr,
        groups: &[GroupName],
    ) -> Result<Vec<GroupSnapshot>, PeerError>;

    /// Queries the declared state of the process at `peer` that is newer than `known`.
    async fn query_declared(
        &self,
        peer: SocketAddr,
        known: DeclaredVersions,
    ) -> Result<DeclaredState, PeerError>;

    /// Opens a link to the process at `peer`, which handles it with
    /// [`serving::serve`](crate::serving::serve).
    async fn open_link(&self, peer: SocketAddr) -> Result<PeerLink, PeerError>;
}
