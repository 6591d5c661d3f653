//! Snapshots: the encoding of all resources, and their keeping in the object store.

use super::catalogue::Catalogue;
use super::state::ConfigurationState;
use crate::domain::document::{Resource, VersionedResource};
use crate::domain::names::Revision;
use crate::ports::platform::{Snapshot, SnapshotStore};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::distribution::{Distribution, Role};
use tokio_util::sync::CancellationToken;

/// Changes after which a relay stores another snapshot.
const CHANGES_PER_SNAPSHOT: u64 = 500;
/// Interval between looks at whether one is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// One resource in a snapshot.
#[derive(Serialize, Deserialize)]
struct SnapshotEntry {
    version: Revision,
    /// JSON, as in the table service.
    #[serde(with = "serde_bytes")]
    body: Vec<u8>,
}

/// Encodes all resources of a catalogue.
pub fn encode(catalogue: &Catalogue) -> Snapshot {
    let entries: Vec<_> = catalogue.all().filter_map(|r| entry(r)).collect();
    let body = rmp_serde::to_vec(&entries).unwrap_or_default();
    Snapshot {
        revision: catalogue.revision(),
        body: Bytes::from(body),
    }
}

/// A resource that was read from JSON can always be written as such again.
fn entry(resource: &VersionedResource) -> Option<SnapshotEntry> {
    let body = serde_json::to_vec(&resource.resource).ok()?;
    Some(SnapshotEntry {
        version: resource.version,
        body,
    })
}

/// Decodes the resources of a snapshot.
///
/// # Errors
/// Fails as a whole where one resource can't be read: a daemon must not begin
/// with a part of the configuration.
pub fn decode(body: &[u8]) -> Result<Vec<VersionedResource>, String> {
    let entries: Vec<SnapshotEntry> =
        rmp_serde::from_slice(body).map_err(|error| error.to_string())?;
    entries
        .into_iter()
        .map(|entry| {
            let resource: Resource =
                serde_json::from_slice(&entry.body).map_err(|error| error.to_string())?;
            Ok(VersionedResource {
                resource,
                version: entry.version,
            })
        })
        .collect()
}

/// Stores a snapshot from time to time while this daemon is a relay, until
/// `leaving` is cancelled. Whichever relay gets there first has done the work:
/// the store keeps the latest.
pub async fn keep(
    store: Arc<dyn SnapshotStore>,
    state: Arc<ConfigurationState>,
    distribution: Distribution,
    leaving: CancellationToken,
) {
    let mut stored = Revision(0);
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = leaving.cancelled() => return,
        }
        let is_relay = distribution.role() != Role::Subscriber;
        let due = state.revision().0 >= stored.0 + CHANGES_PER_SNAPSHOT;
        if !is_relay || !due {
            continue;
        }
        let snapshot = state.snapshot();
        let revision = snapshot.revision;
        match store.store(snapshot).await {
            Ok(()) => {
                stored = revision;
                log::info!(revision = revision.0; "snapshot stored");
            }
            Err(error) => log::warn!("the snapshot was not stored: {error}"),
        }
    }
}
