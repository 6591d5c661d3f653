//! A log of changes in memory, which can fail, and a sink that remembers.

use async_trait::async_trait;
use bytes::Bytes;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use stilequay_coordination::distribution::{
    ApplyError, Change, ChangeSink, ChangeSource, Snapshot, SourceError,
};
use stilequay_coordination::revision::Revision;

/// The log of accepted changes.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: Mutex<Vec<Change>>,
    down: AtomicBool,
    reads: AtomicU64,
}

impl ChangeLog {
    /// Accepts `count` changes and returns the last revision.
    pub fn accept(&self, count: u64) -> Revision {
        let mut changes = self.changes.lock().unwrap();
        for _ in 0..count {
            let revision = Revision(changes.len() as u64 + 1);
            let body = Bytes::from(format!("change {revision}"));
            changes.push(Change { revision, body });
        }
        Revision(changes.len() as u64)
    }

    /// Whether the log refuses all reads.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// How often the log was read.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::SeqCst)
    }
}

#[async_trait]
impl ChangeSource for ChangeLog {
    async fn changes(&self, after: Revision, limit: usize) -> Result<Vec<Change>, SourceError> {
        self.reads.fetch_add(1, Ordering::SeqCst);
        if self.down.load(Ordering::SeqCst) {
            return Err(SourceError::Unavailable("switched off".into()));
        }
        let changes = self.changes.lock().unwrap();
        let from = (after.0 as usize).min(changes.len());
        Ok(changes[from..].iter().take(limit).cloned().collect())
    }

    async fn snapshot(&self) -> Result<Option<Snapshot>, SourceError> {
        Ok(None)
    }
}

/// Remembers what was applied, and in which order.
#[derive(Debug, Default)]
pub struct AppliedChanges {
    revisions: Mutex<Vec<Revision>>,
}

impl AppliedChanges {
    /// The revisions that the state went through.
    pub fn revisions(&self) -> Vec<Revision> {
        self.revisions.lock().unwrap().clone()
    }

    /// Whether the state only ever went forward.
    pub fn never_went_back(&self) -> bool {
        self.revisions().is_sorted_by(|one, next| one < next)
    }
}

#[async_trait]
impl ChangeSink for AppliedChanges {
    async fn apply(&self, change: &Change) -> Result<(), ApplyError> {
        let expected = format!("change {}", change.revision);
        assert_eq!(change.body, expected.as_bytes());
        self.revisions.lock().unwrap().push(change.revision);
        Ok(())
    }

    async fn install(&self, snapshot: &Snapshot) -> Result<(), ApplyError> {
        assert_eq!(snapshot.body, snapshot_body(snapshot.revision));
        self.revisions.lock().unwrap().push(snapshot.revision);
        Ok(())
    }

    async fn snapshot(&self) -> Snapshot {
        let last = self.revisions.lock().unwrap().last().copied();
        let revision = last.unwrap_or_default();
        Snapshot {
            revision,
            body: snapshot_body(revision),
        }
    }
}

/// More than fits into one message.
fn snapshot_body(revision: Revision) -> Bytes {
    format!("snapshot {revision} ").repeat(50_000).into()
}
