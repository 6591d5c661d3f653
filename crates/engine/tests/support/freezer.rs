//! Suspends simulated processes: answers reach a frozen process only after it resumes.

use std::collections::HashSet;
use std::sync::Mutex;
use tokio::sync::watch;

/// The set of processes that are frozen now.
#[derive(Debug)]
pub struct Freezer {
    frozen: Mutex<HashSet<String>>,
    changes: watch::Sender<u64>,
}

impl Default for Freezer {
    fn default() -> Self {
        Self {
            frozen: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl Freezer {
    /// Freezes a process, or resumes it.
    pub fn set(&self, node: &str, frozen: bool) {
        let mut nodes = self.frozen.lock().unwrap();
        match frozen {
            true => nodes.insert(node.to_owned()),
            false => nodes.remove(node),
        };
        drop(nodes);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether a process is frozen now.
    pub fn is_frozen(&self, node: &str) -> bool {
        self.frozen.lock().unwrap().contains(node)
    }

    /// Returns once `node` isn't frozen.
    pub async fn wait_until_resumed(&self, node: &str) {
        let mut changes = self.changes.subscribe();
        while self.is_frozen(node) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}
