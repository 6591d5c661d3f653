//! Parts of a daemon that are stopped one after another.

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A part of the daemon that is stopped on its own.
pub(super) struct Stage {
    pub leaving: CancellationToken,
    pub tasks: TaskTracker,
}

impl Stage {
    /// A part without tasks.
    pub fn new() -> Self {
        Self {
            leaving: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Stops it and waits until it has ended.
    pub async fn stop(&self) {
        self.leaving.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
