//! Waiting for conditions.

use super::error::LaunchError;
use std::future::Future;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time a condition may take to come true; generous, for busy machines.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Looks at `look` until it gives a value.
///
/// # Errors
/// The condition did not come true within a minute.
pub async fn until<T, F>(condition: &str, look: impl Fn() -> F) -> Result<T, LaunchError>
where
    F: Future<Output = Option<T>>,
{
    let started = Instant::now();
    loop {
        if let Some(value) = look().await {
            return Ok(value);
        }
        if started.elapsed() > CONDITION_TIMEOUT {
            let condition = condition.to_owned();
            return Err(LaunchError::NeverCameTrue(condition, CONDITION_TIMEOUT));
        }
        sleep(LOOK_INTERVAL).await;
    }
}
