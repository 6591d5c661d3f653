//! Processes that stand still: what they are answered reaches them only when they go on.

use std::collections::HashSet;
use std::sync::Mutex;
use tokio::sync::watch;

/// The processes that stand still now.
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
    /// Stops a process, or lets it go on.
    pub fn set(&self, node: &str, frozen: bool) {
        let mut nodes = self.frozen.lock().unwrap();
        match frozen {
            true => nodes.insert(node.to_owned()),
            false => nodes.remove(node),
        };
        drop(nodes);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether a process stands still now.
    pub fn is_frozen(&self, node: &str) -> bool {
        self.frozen.lock().unwrap().contains(node)
    }

    /// Returns while `node` goes on.
    pub async fn wait_until_resumed(&self, node: &str) {
        let mut changes = self.changes.subscribe();
        while self.is_frozen(node) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}
