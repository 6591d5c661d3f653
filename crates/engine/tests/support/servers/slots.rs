//! Limits on the statements that a server runs concurrently and on those that wait.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The execution slots and the wait queue of one server.
#[derive(Debug)]
pub struct Slots {
    running: Arc<Semaphore>,
    waiting: AtomicUsize,
    queue: usize,
}

impl Slots {
    /// Creates `running` slots and a queue for `queue` waiting statements.
    pub fn new(running: usize, queue: usize) -> Arc<Self> {
        Arc::new(Self {
            running: Arc::new(Semaphore::new(running)),
            waiting: AtomicUsize::new(0),
            queue,
        })
    }

    /// Waits for a slot; `None` if the queue is full.
    pub async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        let running = Arc::clone(&self.running);
        if let Ok(permit) = Arc::clone(&running).try_acquire_owned() {
            return Some(permit);
        }
        if self.waiting.load(Ordering::SeqCst) >= self.queue {
            return None;
        }
        let _waiting = Waiting::enter(&self.waiting);
        running.acquire_owned().await.ok()
    }
}

/// Counts a waiting statement until it is dropped, so also if the wait is cancelled.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn enter(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
