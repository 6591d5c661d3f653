//! The configuration as this daemon has it, for its readers.

use super::catalogue::{ApplyError, Catalogue, ChangeKind};
use super::snapshot;
use crate::domain::configuration::Configuration;
use crate::domain::document::VersionedResource;
use crate::domain::names::Revision;
use crate::ports::configuration::ConfigurationReceiver;
use crate::ports::platform::{Snapshot, StoredResource};
use std::sync::{Arc, PoisonError, RwLock};
use tokio::sync::watch;

/// Holds the catalogue and publishes the configuration made of it.
///
/// One task writes; any number reads. Nothing is published before the writer has
/// caught up, and revisions only rise.
#[derive(Debug)]
pub struct ConfigurationState {
    catalogue: RwLock<Catalogue>,
    /// Changed only with the catalogue's lock held for writing.
    published: watch::Sender<Option<Arc<Configuration>>>,
    applied: watch::Sender<Revision>,
}

impl ConfigurationState {
    /// An empty state that is not caught up; keeps `history_limit` changes for watches.
    pub fn new(history_limit: usize) -> Self {
        Self {
            catalogue: RwLock::new(Catalogue::new(history_limit)),
            published: watch::Sender::new(None),
            applied: watch::Sender::new(Revision(0)),
        }
    }

    /// Where the data path reads the configuration.
    pub fn receiver(&self) -> ConfigurationReceiver {
        self.published.subscribe()
    }

    /// The last change applied, and its successors.
    pub fn applied(&self) -> watch::Receiver<Revision> {
        self.applied.subscribe()
    }

    /// The last change applied.
    pub fn revision(&self) -> Revision {
        *self.applied.borrow()
    }

    /// Whether the daemon has caught up and may serve.
    pub fn is_caught_up(&self) -> bool {
        self.published.borrow().is_some()
    }

    /// Reads the catalogue; `read` must be short.
    pub fn read<R>(&self, read: impl FnOnce(&Catalogue) -> R) -> R {
        let catalogue = self
            .catalogue
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        read(&catalogue)
    }

    /// Everything as of one revision, encoded.
    pub fn snapshot(&self) -> Snapshot {
        self.read(snapshot::encode)
    }

    /// Applies the next changes in order; those already applied are passed over.
    ///
    /// # Errors
    /// Stops at a hole; what came before it stays applied.
    pub fn apply(&self, changes: &[StoredResource]) -> Result<(), ApplyError> {
        let mut catalogue = self
            .catalogue
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let before = catalogue.revision();
        let mut configuration = self.published.borrow().as_deref().cloned();
        let result = changes
            .iter()
            .filter(|change| change.revision > before)
            .try_for_each(|change| apply_one(&mut catalogue, configuration.as_mut(), change));
        if catalogue.revision() > before {
            self.publish(catalogue.revision(), configuration);
        }
        result
    }

    /// Replaces everything by a later picture; an earlier one is passed over.
    pub fn replace(&self, revision: Revision, resources: Vec<VersionedResource>) {
        let mut catalogue = self
            .catalogue
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if revision <= catalogue.revision() {
            return;
        }
        catalogue.replace(revision, resources);
        let configuration = self.is_caught_up().then(|| picture(&catalogue));
        self.publish(revision, configuration);
    }

    /// Declares that the state has caught up: from now on the configuration is in force.
    pub fn mark_caught_up(&self) {
        let catalogue = self
            .catalogue
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if !self.is_caught_up() {
            self.publish(catalogue.revision(), Some(picture(&catalogue)));
        }
    }

    fn publish(&self, revision: Revision, configuration: Option<Configuration>) {
        if let Some(mut configuration) = configuration {
            configuration.revision = revision;
            metrics::gauge!("stilequay_control_caught_up").set(1.0);
            self.published.send_replace(Some(Arc::new(configuration)));
        }
        metrics::gauge!("stilequay_control_revision").set(revision.0 as f64);
        self.applied.send_replace(revision);
    }
}

fn apply_one(
    catalogue: &mut Catalogue,
    configuration: Option<&mut Configuration>,
    stored: &StoredResource,
) -> Result<(), ApplyError> {
    let change = catalogue.apply(stored)?;
    let (Some(change), Some(configuration)) = (change, configuration) else {
        return Ok(());
    };
    let resource = &change.resource.resource;
    match change.kind {
        ChangeKind::Added | ChangeKind::Modified => {
            configuration.insert(&resource.metadata.name, &resource.spec);
        }
        ChangeKind::Deleted => configuration.remove(&resource.key()),
    }
    Ok(())
}

fn picture(catalogue: &Catalogue) -> Configuration {
    let mut configuration = Configuration {
        revision: catalogue.revision(),
        ..Configuration::default()
    };
    for resource in catalogue.all() {
        let resource = &resource.resource;
        configuration.insert(&resource.metadata.name, &resource.spec);
    }
    configuration
}
