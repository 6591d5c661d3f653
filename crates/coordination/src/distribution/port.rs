//! What the distribution needs of the embedding program.

use crate::revision::Revision;
use async_trait::async_trait;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// One numbered change; its content is opaque here.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its number.
    pub revision: Revision,
    /// The content.
    pub body: Bytes,
}

/// The whole state as of one revision; its content is opaque here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The last change contained.
    pub revision: Revision,
    /// The content.
    pub body: Bytes,
}

quick_error! {
    /// Why the source of changes gave no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SourceError {
        /// The source can't be reached, is slow or refuses.
        Unavailable(reason: String) {
            display("the source of changes is unavailable: {reason}")
        }
        /// The changes asked for are no longer kept; a snapshot is needed.
        Compacted {
            display("the changes asked for are no longer kept")
        }
    }
}

/// The log of accepted changes. Called by the relays of a zone only, so that its
/// load follows the number of zones and not that of nodes.
#[async_trait]
pub trait ChangeSource: Send + Sync + 'static {
    /// The changes after `after`, in order and without holes, at most `limit`;
    /// none when `after` is the end of the log.
    ///
    /// The read must be consistent: it contains every change that was accepted
    /// before the call began. A node that starts relies on it.
    async fn changes(&self, after: Revision, limit: usize) -> Result<Vec<Change>, SourceError>;

    /// The latest stored snapshot, if there is one.
    async fn snapshot(&self) -> Result<Option<Snapshot>, SourceError>;
}

quick_error! {
    /// A change or a snapshot could not be applied.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ApplyError {
        /// The content is not understood. It is tried again later, and nothing that
        /// follows is applied before it.
        Malformed(reason: String) {
            display("the content could not be applied: {reason}")
        }
    }
}

/// What a node does with the changes. Calls come one at a time.
#[async_trait]
pub trait ChangeSink: Send + Sync + 'static {
    /// Applies `change`. Called in the order of revisions, without holes.
    async fn apply(&self, change: &Change) -> Result<(), ApplyError>;

    /// Replaces the whole state by `snapshot`, which is later than the present one.
    async fn install(&self, snapshot: &Snapshot) -> Result<(), ApplyError>;

    /// The present whole state, for a node that is too far behind for changes.
    /// Its revision is that of the last change applied.
    async fn snapshot(&self) -> Snapshot;
}
