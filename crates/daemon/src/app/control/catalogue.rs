//! All resources as of one revision, with the latest changes.

use crate::domain::document::{
    Resource, ResourceKey, ResourceKeyError, ResourceKind, VersionedResource,
};
use crate::domain::names::Revision;
use crate::ports::platform::StoredResource;
use quick_error::quick_error;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a change did to a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// The resource was not there before.
    Added,
    /// The resource was replaced.
    Modified,
    /// The resource is gone.
    Deleted,
}

/// One change that was applied.
#[derive(Debug, Clone)]
pub struct AppliedChange {
    /// Its revision.
    pub revision: Revision,
    /// What it did.
    pub kind: ChangeKind,
    /// The resource after the change; its last state where it was deleted.
    pub resource: Arc<VersionedResource>,
}

quick_error! {
    /// Why a change can't be applied.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ApplyError {
        /// A revision is missing, or comes again.
        OutOfOrder(expected: Revision, found: Revision) {
            display("expected revision {expected}, found {found}")
        }
    }
}

quick_error! {
    /// Why a stored resource can't be read.
    #[derive(Debug)]
    pub enum ReadError {
        /// The key names no resource.
        Key(error: ResourceKeyError) {
            from()
            display("{error}")
        }
        /// The body is no resource of a known kind.
        Body(error: serde_json::Error) {
            from()
            display("{error}")
        }
    }
}

/// All resources as of one revision, and the changes that led there.
#[derive(Debug)]
pub struct Catalogue {
    revision: Revision,
    resources: BTreeMap<ResourceKey, Arc<VersionedResource>>,
    history: VecDeque<AppliedChange>,
    history_limit: usize,
    /// Changes up to and with this revision are no longer in the history.
    forgotten: Revision,
}

impl Catalogue {
    /// An empty catalogue that keeps `history_limit` changes.
    pub fn new(history_limit: usize) -> Self {
        Self {
            revision: Revision(0),
            resources: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit,
            forgotten: Revision(0),
        }
    }

    /// The last change contained.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// One resource.
    pub fn get(&self, key: &ResourceKey) -> Option<Arc<VersionedResource>> {
        self.resources.get(key).cloned()
    }

    /// At most `limit` resources of `kind` whose names come after `after`, by name.
    pub fn list(
        &self,
        kind: ResourceKind,
        after: Option<&str>,
        limit: usize,
    ) -> Vec<Arc<VersionedResource>> {
        let first = ResourceKey {
            kind,
            name: after.unwrap_or_default().to_owned(),
        };
        self.resources
            .range(&first..)
            .take_while(|(key, _)| key.kind == kind)
            .filter(|(key, _)| after.is_none_or(|after| key.name != after))
            .take(limit)
            .map(|(_, resource)| resource.clone())
            .collect()
    }

    /// All resources.
    pub fn all(&self) -> impl Iterator<Item = &Arc<VersionedResource>> {
        self.resources.values()
    }

    /// Changes after `after`, in order; `None` where some of them are forgotten.
    pub fn changes_after(&self, after: Revision) -> Option<Vec<AppliedChange>> {
        if after < self.forgotten {
            return None;
        }
        let start = self
            .history
            .partition_point(|change| change.revision <= after);
        Some(self.history.range(start..).cloned().collect())
    }

    /// Applies the next change. A body that can't be read leaves the resource as
    /// it was: a later version of the program may have written it.
    ///
    /// # Errors
    /// Refuses any revision but the next one, and changes nothing then.
    pub fn apply(&mut self, stored: &StoredResource) -> Result<Option<AppliedChange>, ApplyError> {
        let expected = Revision(self.revision.0 + 1);
        if stored.revision != expected {
            return Err(ApplyError::OutOfOrder(expected, stored.revision));
        }
        self.revision = expected;
        let change = match self.applied(stored) {
            Ok(change) => change,
            Err(error) => {
                metrics::counter!("stilequay_control_unreadable_changes_total").increment(1);
                log::error!(revision = stored.revision.0, key = stored.key.as_str(); "change can't be read: {error}");
                None
            }
        };
        if let Some(change) = &change {
            self.remember(change.clone());
        }
        Ok(change)
    }

    fn applied(&mut self, stored: &StoredResource) -> Result<Option<AppliedChange>, ReadError> {
        let key: ResourceKey = stored.key.parse()?;
        let Some(body) = &stored.body else {
            let removed = self.resources.remove(&key);
            return Ok(removed.map(|resource| AppliedChange {
                revision: stored.revision,
                kind: ChangeKind::Deleted,
                resource,
            }));
        };
        let resource = Arc::new(VersionedResource {
            resource: read_body(body)?,
            version: stored.revision,
        });
        let kind = match self.resources.insert(key, resource.clone()) {
            None => ChangeKind::Added,
            Some(_) => ChangeKind::Modified,
        };
        Ok(Some(AppliedChange {
            revision: stored.revision,
            kind,
            resource,
        }))
    }

    fn remember(&mut self, change: AppliedChange) {
        self.history.push_back(change);
        while self.history.len() > self.history_limit {
            if let Some(oldest) = self.history.pop_front() {
                self.forgotten = oldest.revision;
            }
        }
    }

    /// Replaces everything by a later picture; the changes in between are forgotten.
    pub fn replace(&mut self, revision: Revision, resources: Vec<VersionedResource>) {
        self.resources = resources
            .into_iter()
            .map(|resource| (resource.resource.key(), Arc::new(resource)))
            .collect();
        self.history.clear();
        self.forgotten = revision;
        self.revision = revision;
    }
}

/// Encodes a resource for the platform.
pub fn write_body(resource: &Resource) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(resource)
}

/// Decodes a resource from the platform.
pub fn read_body(body: &[u8]) -> Result<Resource, serde_json::Error> {
    serde_json::from_slice(body)
}
