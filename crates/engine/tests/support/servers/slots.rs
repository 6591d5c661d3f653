//! How many statements a server runs at a time, and how many wait.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The places at one server.
#[derive(Debug)]
pub struct Slots {
    running: Arc<Semaphore>,
    waiting: AtomicUsize,
    queue: usize,
}

impl Slots {
    /// Room for `running` statements, and for `queue` that wait.
    pub fn new(running: usize, queue: usize) -> Arc<Self> {
        Arc::new(Self {
            running: Arc::new(Semaphore::new(running)),
            waiting: AtomicUsize::new(0),
            queue,
        })
    }

    /// Waits for a place to run; none where the queue is full.
    pub async fn enter(&self) -> Option<OwnedSemaphorePermit> {
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

/// Counts one that waits, also where it gives up.
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
