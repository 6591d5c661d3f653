//! The task that reads the source of changes, on the relays of a zone.
//!
//! The first relay reads often; the second seldom, which is enough to notice that
//! the first one is cut off from the source while its neighbours still hear it.
//! The nodes next to the relays subscribe to both, so that either suffices.

use super::port::{Change, SourceError};
use super::shared::Shared;
use super::store::StoreError;
use super::tree::Role;
use crate::revision::Revision;
use quick_error::quick_error;
use rand::RngExt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Least time between two reads, also when many ask for a fresh one.
const LEAST_INTERVAL: Duration = Duration::from_millis(50);

/// The interval grows up to this many times after failed reads.
const LONGEST_BACKOFF: u32 = 4;

quick_error! {
    /// A read of the source failed.
    #[derive(Debug)]
    enum ReadError {
        /// The source gave no answer in time.
        Timeout {
            display("the source of changes did not answer in time")
        }
        /// The source refused.
        Source(error: SourceError) {
            display("{error}")
            from()
        }
        /// What was read could not be applied.
        Store(error: StoreError) {
            display("{error}")
            from()
        }
    }
}

/// How a read ended.
#[derive(Debug, Clone, Copy, Default)]
struct Finished {
    sequence: u64,
    head: Option<Revision>,
}

/// The reads of a relay, and those who wait for one.
#[derive(Debug)]
pub(super) struct Reads {
    begun: AtomicU64,
    finished: watch::Sender<Finished>,
    wanted: Notify,
}

impl Reads {
    /// No reads yet.
    pub fn new() -> Self {
        Self {
            begun: AtomicU64::new(0),
            finished: watch::channel(Finished::default()).0,
            wanted: Notify::new(),
        }
    }

    /// The end of the log by a read that begins after this call; `None` if that
    /// read fails. All callers that wait at one time share one read.
    pub async fn fresh_head(&self) -> Option<Revision> {
        let begun = self.begun.load(Ordering::SeqCst);
        let mut finished = self.finished.subscribe();
        self.wanted.notify_one();
        let finished = finished
            .wait_for(|finished| finished.sequence > begun)
            .await
            .ok()?;
        finished.head
    }
}

/// Reads the source while this node is a relay.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut place = shared.place.subscribe();
    let mut backoff = 1;
    loop {
        let role = place.borrow_and_update().role;
        let interval = match role {
            Role::FirstRelay => shared.config.poll_interval,
            Role::SecondRelay => shared.config.standby_poll_interval,
            Role::Subscriber => {
                tokio::select! {
                    () = shared.stopped.cancelled() => return,
                    _ = place.changed() => continue,
                }
            }
        };
        let interval = interval.mul_f64(rand::rng().random_range(0.8..1.2)) * backoff;
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            () = tokio::time::sleep(interval) => {}
            () = shared.reads.wanted.notified() => tokio::time::sleep(LEAST_INTERVAL).await,
            _ = place.changed() => continue,
        }
        backoff = if read(&shared).await {
            1
        } else {
            (backoff * 2).min(LONGEST_BACKOFF)
        };
    }
}

/// Reads to the end of the log; whether that succeeded.
async fn read(shared: &Shared) -> bool {
    let sequence = shared.reads.begun.fetch_add(1, Ordering::SeqCst) + 1;
    let result = tokio::time::timeout(shared.config.poll_timeout, read_to_end(shared))
        .await
        .unwrap_or(Err(ReadError::Timeout));
    if let Err(error) = &result {
        log::info!(error:% = error; "reading the log of changes failed");
    }
    let head = result.ok();
    shared
        .reads
        .finished
        .send_replace(Finished { sequence, head });
    head.is_some()
}

async fn read_to_end(shared: &Shared) -> Result<Revision, ReadError> {
    let limit = shared.config.poll_limit;
    loop {
        let applied = shared.store.revision();
        let changes = match shared.source.changes(applied, limit).await {
            Err(SourceError::Compacted) => {
                install_snapshot(shared).await?;
                continue;
            }
            other => other?,
        };
        let complete = changes.len() < limit;
        let head = apply_all(shared, changes).await?.max(applied);
        if complete {
            return Ok(head);
        }
    }
}

async fn apply_all(shared: &Shared, changes: Vec<Change>) -> Result<Revision, ReadError> {
    let mut last = Revision::default();
    for change in changes {
        last = change.revision;
        shared.store.apply(change).await?;
    }
    Ok(last)
}

async fn install_snapshot(shared: &Shared) -> Result<(), ReadError> {
    let before = shared.store.revision();
    let snapshot = shared.source.snapshot().await?;
    let later = snapshot.filter(|snapshot| snapshot.revision > before);
    let Some(snapshot) = later else {
        return Err(ReadError::Source(SourceError::Compacted));
    };
    shared.store.install(snapshot).await?;
    Ok(())
}
