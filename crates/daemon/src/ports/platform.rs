//! What the platform gives: a transactional table service, an object store and
//! a list of machines.

use crate::domain::names::Revision;
use async_trait::async_trait;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use stilequay_coordination::identity::{NodeId, RegionName, ZoneName};

quick_error! {
    /// Why a call of the platform gave no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// A condition of the call did not hold: nothing was changed.
        ConditionFailed {
            display("the condition did not hold")
        }
        /// The service refused the call for its rate: nothing was changed.
        Throttled(retry_after: Option<Duration>) {
            display("the platform throttled the call")
        }
        /// The service could not be reached or refused: nothing was changed.
        Unavailable(reason: String) {
            display("the platform is unavailable: {reason}")
        }
        /// The answer was lost: the call may have taken effect.
        OutcomeUnknown(reason: String) {
            display("the outcome of the call is unknown: {reason}")
        }
        /// The service answered something that makes no sense.
        Malformed(reason: String) {
            display("the platform's answer is malformed: {reason}")
        }
    }
}

/// One resource as the table service stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResource {
    /// `kind/name`.
    pub key: String,
    /// The revision of its last change.
    pub revision: Revision,
    /// The encoded resource; `None` in a change that deleted it.
    #[serde(with = "serde_bytes")]
    pub body: Option<Vec<u8>>,
}

/// A change as the log holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedChange {
    /// The change.
    pub change: StoredResource,
    /// Token of the call that made it.
    pub request_token: String,
}

/// What a transaction of one change demands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The resource does not exist.
    Absent,
    /// The resource's last change has this revision.
    AtRevision(Revision),
}

/// The table service: resources and the log of changes to them.
#[async_trait]
pub trait ResourceTable: Send + Sync + 'static {
    /// In one transaction: checks `precondition` on the resource and that the log
    /// ends at `previous`, then writes the resource and appends the change as
    /// revision `previous + 1`.
    ///
    /// `request_token` makes a repeated call take effect once.
    async fn commit(
        &self,
        change: StoredResource,
        precondition: Precondition,
        previous: Revision,
        request_token: &str,
    ) -> Result<(), PlatformError>;

    /// The last revision of the log.
    async fn head(&self) -> Result<Revision, PlatformError>;

    /// Changes after `after`, in order, without holes, at most `limit`.
    async fn changes(
        &self,
        after: Revision,
        limit: usize,
    ) -> Result<Vec<StoredResource>, PlatformError>;

    /// One resource, read consistently; `None` if absent.
    async fn get(&self, key: &str) -> Result<Option<StoredResource>, PlatformError>;

    /// The change of one revision, read consistently; `None` if the log has not
    /// reached it.
    async fn change(&self, revision: Revision) -> Result<Option<LoggedChange>, PlatformError>;
}

/// The object store: snapshots of the configuration.
#[async_trait]
pub trait SnapshotStore: Send + Sync + 'static {
    /// The latest snapshot, if there is one.
    async fn latest(&self) -> Result<Option<Snapshot>, PlatformError>;

    /// Stores a snapshot unless a later one is there.
    async fn store(&self, snapshot: Snapshot) -> Result<(), PlatformError>;
}

/// The configuration as of one revision, encoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The last change contained.
    pub revision: Revision,
    /// The encoded resources.
    pub body: Bytes,
}

/// The platform's list of machines; it lags behind reality.
#[async_trait]
pub trait MachineList: Send + Sync + 'static {
    /// All machines on the list.
    async fn machines(&self) -> Result<Vec<Machine>, PlatformError>;
}

/// A machine on the platform's list, as its JSON shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Machine {
    /// The daemon on it.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Address of the daemon's data-path listener.
    pub peer_address: String,
    /// Address of the daemon's control listener.
    pub control_address: String,
    /// Whether the platform is taking it away.
    #[serde(default)]
    pub leaving: bool,
}
