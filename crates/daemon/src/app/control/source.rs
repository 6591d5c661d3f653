//! The platform's log of changes, as the distribution reads and applies it.

use super::snapshot;
use super::state::ConfigurationState;
use crate::domain::names;
use crate::ports::platform::{PlatformError, ResourceTable, SnapshotStore, StoredResource};
use async_trait::async_trait;
use bytes::Bytes;
use std::sync::Arc;
use stilequay_coordination::distribution::{
    ApplyError, Change, ChangeSink, ChangeSource, Snapshot, SourceError,
};
use stilequay_coordination::revision::Revision;

/// Changes behind from which a stored snapshot is taken instead of the log.
const SNAPSHOT_DISTANCE: u64 = 1_000;

/// Reads the log from the table service, and snapshots from the object store.
pub struct PlatformSource {
    table: Arc<dyn ResourceTable>,
    snapshots: Arc<dyn SnapshotStore>,
}

impl PlatformSource {
    /// A source over both services.
    pub fn new(table: Arc<dyn ResourceTable>, snapshots: Arc<dyn SnapshotStore>) -> Self {
        Self { table, snapshots }
    }

    /// Whether a snapshot saves reading a long part of the log. A store that gives
    /// no answer doesn't matter: the log has everything.
    async fn snapshot_is_shorter(&self, after: Revision) -> bool {
        match self.snapshots.latest().await {
            Ok(Some(snapshot)) => snapshot.revision.0 >= after.0 + SNAPSHOT_DISTANCE,
            Ok(None) => false,
            Err(error) => {
                log::warn!("the object store gives no snapshot: {error}");
                false
            }
        }
    }
}

#[async_trait]
impl ChangeSource for PlatformSource {
    async fn changes(&self, after: Revision, limit: usize) -> Result<Vec<Change>, SourceError> {
        let stored = self
            .table
            .changes(names::Revision(after.0), limit)
            .await
            .map_err(unavailable)?;
        let follows = stored
            .first()
            .is_none_or(|first| first.revision.0 == after.0 + 1);
        if !follows {
            return Err(SourceError::Compacted);
        }
        if stored.len() == limit && self.snapshot_is_shorter(after).await {
            return Err(SourceError::Compacted);
        }
        stored.iter().map(encode).collect()
    }

    async fn snapshot(&self) -> Result<Option<Snapshot>, SourceError> {
        let latest = self.snapshots.latest().await.map_err(unavailable)?;
        Ok(latest.map(|latest| Snapshot {
            revision: Revision(latest.revision.0),
            body: latest.body,
        }))
    }
}

fn unavailable(error: PlatformError) -> SourceError {
    metrics::counter!("stilequay_control_source_errors_total").increment(1);
    SourceError::Unavailable(error.to_string())
}

fn encode(stored: &StoredResource) -> Result<Change, SourceError> {
    let body = rmp_serde::to_vec(stored)
        .map_err(|error| SourceError::Unavailable(format!("a change can't be encoded: {error}")))?;
    Ok(Change {
        revision: Revision(stored.revision.0),
        body: Bytes::from(body),
    })
}

/// Applies what the distribution brings to the state of this daemon.
pub struct StateSink {
    state: Arc<ConfigurationState>,
}

impl StateSink {
    /// A sink into `state`.
    pub fn new(state: Arc<ConfigurationState>) -> Self {
        Self { state }
    }
}

#[async_trait]
impl ChangeSink for StateSink {
    async fn apply(&self, change: &Change) -> Result<(), ApplyError> {
        let stored: StoredResource = rmp_serde::from_slice(&change.body).map_err(malformed)?;
        if stored.revision.0 != change.revision.0 {
            let reason = format!("it says that it is revision {}", stored.revision);
            return Err(ApplyError::Malformed(reason));
        }
        self.state.apply(&[stored]).map_err(malformed)
    }

    async fn install(&self, snapshot: &Snapshot) -> Result<(), ApplyError> {
        let resources = snapshot::decode(&snapshot.body).map_err(malformed)?;
        self.state
            .replace(names::Revision(snapshot.revision.0), resources);
        Ok(())
    }

    async fn snapshot(&self) -> Snapshot {
        let picture = self.state.snapshot();
        Snapshot {
            revision: Revision(picture.revision.0),
            body: picture.body,
        }
    }
}

fn malformed(error: impl std::fmt::Display) -> ApplyError {
    ApplyError::Malformed(error.to_string())
}
