//! What the tests of control share: a platform, daemons in this process, operators.
#![allow(dead_code)]

pub mod documents;
pub mod fleet;
pub mod operator;

use std::future::Future;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time that a condition may take to come true; generous, for busy machines.
const PATIENCE: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `look` finds something.
///
/// # Panics
/// Panics where it finds nothing for very long.
pub async fn eventually<T, F>(what: &str, mut look: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(Instant::now() < deadline, "{what}: not within {PATIENCE:?}");
        sleep(LOOK_INTERVAL).await;
    }
}
