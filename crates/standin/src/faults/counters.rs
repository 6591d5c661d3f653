//! What has passed over a link.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};

/// What has passed over a link since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct LinkCounters {
    /// Connections accepted, or sources of datagrams seen.
    pub sources: u64,
    /// Connections open now, or sources of datagrams remembered.
    pub open: u64,
    /// Bytes delivered to the target.
    pub bytes_to_target: u64,
    /// Bytes delivered to the side that connected or sent first.
    pub bytes_to_source: u64,
    /// Bytes dropped by a cut or by chance.
    pub bytes_dropped: u64,
}

/// The counters of a running link.
#[derive(Debug, Default)]
pub(super) struct RunningCounters {
    sources: AtomicU64,
    open: AtomicU64,
    pub(super) bytes_to_target: AtomicU64,
    pub(super) bytes_to_source: AtomicU64,
    pub(super) bytes_dropped: AtomicU64,
}

/// Counts one source as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenSource<'a>(&'a RunningCounters);

impl RunningCounters {
    pub(super) fn opened(&self) -> OpenSource<'_> {
        self.sources.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenSource(self)
    }

    pub(super) fn snapshot(&self) -> LinkCounters {
        LinkCounters {
            sources: self.sources.load(Ordering::Relaxed),
            open: self.open.load(Ordering::Relaxed),
            bytes_to_target: self.bytes_to_target.load(Ordering::Relaxed),
            bytes_to_source: self.bytes_to_source.load(Ordering::Relaxed),
            bytes_dropped: self.bytes_dropped.load(Ordering::Relaxed),
        }
    }
}

impl Drop for OpenSource<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
