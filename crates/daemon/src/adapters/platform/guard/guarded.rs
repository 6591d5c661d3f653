//! The ports of the platform with a guard before each.

use super::{Guard, GuardSettings};
use crate::domain::names::Revision;
use crate::ports::platform::{
    LoggedChange, Machine, MachineList, PlatformError, Precondition, ResourceTable, Snapshot,
    SnapshotStore, StoredResource,
};
use async_trait::async_trait;
use std::time::Duration;

/// A table service behind a guard. Reads are repeated; a commit is sent once,
/// since whoever calls decides how to resolve a lost answer.
#[derive(Debug)]
pub struct GuardedResourceTable<T> {
    inner: T,
    guard: Guard,
}

/// An object store behind a guard. Storing is repeated too: it never replaces a
/// later snapshot.
#[derive(Debug)]
pub struct GuardedSnapshotStore<S> {
    inner: S,
    guard: Guard,
}

/// A list of machines behind a guard.
#[derive(Debug)]
pub struct GuardedMachineList<M> {
    inner: M,
    guard: Guard,
}

impl<T: ResourceTable> GuardedResourceTable<T> {
    /// Puts a guard before `inner`; one call may take `call_timeout`.
    pub fn new(inner: T, call_timeout: Duration, settings: GuardSettings) -> Self {
        let guard = Guard::new("table", call_timeout, settings);
        Self { inner, guard }
    }
}

impl<S: SnapshotStore> GuardedSnapshotStore<S> {
    /// Puts a guard before `inner`; one call may take `call_timeout`.
    pub fn new(inner: S, call_timeout: Duration, settings: GuardSettings) -> Self {
        let guard = Guard::new("objects", call_timeout, settings);
        Self { inner, guard }
    }
}

impl<M: MachineList> GuardedMachineList<M> {
    /// Puts a guard before `inner`; one call may take `call_timeout`.
    pub fn new(inner: M, call_timeout: Duration, settings: GuardSettings) -> Self {
        let guard = Guard::new("machines", call_timeout, settings);
        Self { inner, guard }
    }
}

#[async_trait]
impl<T: ResourceTable> ResourceTable for GuardedResourceTable<T> {
    async fn commit(
        &self,
        change: StoredResource,
        precondition: Precondition,
        previous: Revision,
        request_token: &str,
    ) -> Result<(), PlatformError> {
        let commit = self
            .inner
            .commit(change, precondition, previous, request_token);
        self.guard.once("commit", commit).await
    }

    async fn head(&self) -> Result<Revision, PlatformError> {
        self.guard.read("head", || self.inner.head()).await
    }

    async fn changes(
        &self,
        after: Revision,
        limit: usize,
    ) -> Result<Vec<StoredResource>, PlatformError> {
        let changes = || self.inner.changes(after, limit);
        self.guard.read("changes", changes).await
    }

    async fn get(&self, key: &str) -> Result<Option<StoredResource>, PlatformError> {
        self.guard.read("get", || self.inner.get(key)).await
    }

    async fn change(&self, revision: Revision) -> Result<Option<LoggedChange>, PlatformError> {
        let change = || self.inner.change(revision);
        self.guard.read("change", change).await
    }
}

#[async_trait]
impl<S: SnapshotStore> SnapshotStore for GuardedSnapshotStore<S> {
    async fn latest(&self) -> Result<Option<Snapshot>, PlatformError> {
        self.guard.read("latest", || self.inner.latest()).await
    }

    async fn store(&self, snapshot: Snapshot) -> Result<(), PlatformError> {
        let store = || self.inner.store(snapshot.clone());
        self.guard.repeat("store", store).await
    }
}

#[async_trait]
impl<M: MachineList> MachineList for GuardedMachineList<M> {
    async fn machines(&self) -> Result<Vec<Machine>, PlatformError> {
        self.guard.read("machines", || self.inner.machines()).await
    }
}
