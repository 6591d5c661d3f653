//! Cancel requests: which connection a key belongs to.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// Connections that can be cancelled, by process id as callers are told it.
#[derive(Default)]
pub(super) struct CancelRegistry {
    entries: Mutex<HashMap<i32, Entry>>,
}

struct Entry {
    secret: i32,
    signal: watch::Sender<()>,
}

/// The key of one connection; frees it when dropped.
pub(super) struct CancelHandle {
    pub(super) process_id: i32,
    pub(super) secret: i32,
    registry: Arc<CancelRegistry>,
    signal: watch::Receiver<()>,
}

impl CancelRegistry {
    /// A key for a new connection.
    pub(super) fn register(self: &Arc<Self>) -> CancelHandle {
        let (sender, signal) = watch::channel(());
        let secret = rand::random();
        let mut entries = self.lock();
        let process_id = free_process_id(&entries);
        entries.insert(
            process_id,
            Entry {
                secret,
                signal: sender,
            },
        );
        CancelHandle {
            process_id,
            secret,
            registry: Arc::clone(self),
            signal,
        }
    }

    /// Cancels what the connection of this key runs now; a wrong key does nothing.
    pub(super) fn cancel(&self, process_id: i32, secret: i32) {
        let entries = self.lock();
        if let Some(entry) = entries.get(&process_id).filter(|it| it.secret == secret) {
            // No receiver means that the connection is just ending.
            let _ = entry.signal.send(());
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<i32, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn free_process_id(entries: &HashMap<i32, Entry>) -> i32 {
    loop {
        let candidate = rand::random::<i32>() & i32::MAX;
        if candidate != 0 && !entries.contains_key(&candidate) {
            return candidate;
        }
    }
}

impl CancelHandle {
    /// Forgets requests that came before the unit that now begins.
    pub(super) fn reset(&mut self) {
        self.signal.mark_unchanged();
    }

    /// Returns when a cancel request for this connection arrives; cancel-safe.
    pub(super) async fn requested(&mut self) {
        if self.signal.changed().await.is_err() {
            std::future::pending().await
        }
    }
}

impl Drop for CancelHandle {
    fn drop(&mut self) {
        self.registry.lock().remove(&self.process_id);
    }
}
