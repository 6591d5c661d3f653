//! The changes a node has applied: the latest in memory, the rest in the sink.

use super::config::DistributionConfig;
use super::port::{ApplyError, Change, ChangeSink, Snapshot};
use crate::membership::Membership;
use crate::revision::Revision;
use quick_error::quick_error;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

quick_error! {
    /// A change was not applied.
    #[derive(Debug)]
    pub enum StoreError {
        /// Changes before it are missing.
        Gap(expected: Revision, found: Revision) {
            display("change {expected} is missing before {found}")
        }
        /// The embedding program could not apply it.
        Apply(error: ApplyError) {
            display("{error}")
            from()
        }
    }
}

/// What to send to a node that has applied a revision.
#[derive(Debug)]
pub(super) enum Continuation {
    /// It has everything.
    Nothing,
    /// These changes, in order.
    Changes(Vec<Change>),
    /// A snapshot: the changes are no longer in memory.
    Snapshot,
}

/// Applies changes in order and keeps the latest for others.
pub(super) struct Store {
    sink: Arc<dyn ChangeSink>,
    membership: Membership,
    retained_changes: usize,
    retained_bytes: usize,
    /// Held while a change is applied: the sink is called for one at a time.
    applying: tokio::sync::Mutex<()>,
    retained: Mutex<Retained>,
    applied: watch::Sender<Revision>,
}

#[derive(Debug, Default)]
struct Retained {
    changes: VecDeque<Change>,
    bytes: usize,
}

impl Store {
    /// A store at revision 0.
    pub fn new(
        config: &DistributionConfig,
        membership: Membership,
        sink: Arc<dyn ChangeSink>,
    ) -> Self {
        Self {
            sink,
            membership,
            retained_changes: config.retained_changes,
            retained_bytes: config.retained_bytes,
            applying: tokio::sync::Mutex::new(()),
            retained: Mutex::default(),
            applied: watch::channel(Revision::default()).0,
        }
    }

    /// The last revision applied, and its changes.
    pub fn applied(&self) -> watch::Receiver<Revision> {
        self.applied.subscribe()
    }

    /// The last revision applied.
    pub fn revision(&self) -> Revision {
        *self.applied.borrow()
    }

    /// Applies `change` if it is the next one; does nothing if it is applied already.
    pub async fn apply(&self, change: Change) -> Result<(), StoreError> {
        let _applying = self.applying.lock().await;
        let expected = self.revision().next();
        if change.revision < expected {
            return Ok(());
        }
        if change.revision > expected {
            return Err(StoreError::Gap(expected, change.revision));
        }
        self.sink.apply(&change).await?;
        let revision = change.revision;
        self.retain(change);
        self.advance(revision);
        Ok(())
    }

    /// Replaces the whole state by a later one; does nothing if it is not later.
    pub async fn install(&self, snapshot: Snapshot) -> Result<(), StoreError> {
        let _applying = self.applying.lock().await;
        if snapshot.revision <= self.revision() {
            return Ok(());
        }
        self.sink.install(&snapshot).await?;
        *self.retained() = Retained::default();
        self.advance(snapshot.revision);
        Ok(())
    }

    /// The present whole state.
    pub async fn snapshot(&self) -> Snapshot {
        let _applying = self.applying.lock().await;
        self.sink.snapshot().await
    }

    /// What a node that has applied `from` needs next, at most `limit` changes.
    pub fn after(&self, from: Revision, limit: usize) -> Continuation {
        if from >= self.revision() {
            return Continuation::Nothing;
        }
        let retained = self.retained();
        let Some(first) = retained.changes.front().map(|change| change.revision) else {
            return Continuation::Snapshot;
        };
        if first > from.next() {
            return Continuation::Snapshot;
        }
        let known = (from.next().0 - first.0) as usize;
        let changes = retained
            .changes
            .iter()
            .skip(known)
            .take(limit)
            .cloned()
            .collect();
        Continuation::Changes(changes)
    }

    fn advance(&self, revision: Revision) {
        self.membership.report_revision(revision);
        self.applied.send_replace(revision);
    }

    fn retain(&self, change: Change) {
        let mut retained = self.retained();
        retained.bytes += change.body.len();
        retained.changes.push_back(change);
        while retained.changes.len() > self.retained_changes || retained.bytes > self.retained_bytes
        {
            let Some(dropped) = retained.changes.pop_front() else {
                return;
            };
            retained.bytes -= dropped.body.len();
        }
    }

    fn retained(&self) -> MutexGuard<'_, Retained> {
        self.retained.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
