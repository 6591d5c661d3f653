//! Whether a request that can't be offered to a member now waits for what it lacks, or is
//! refused at once with a time to come back.
//!
//! Nothing here asks anybody or waits itself: whoever does tells when what the request lacks can
//! be there at the earliest, and asks again whenever that changes.

use std::time::Duration;
use tokio::time::Instant;

/// Least time for which a leader that may be used must be there before the offer limit: a
/// request takes a connection, and its session's values, first.
const SEND_TIME: Duration = Duration::from_millis(10);
/// Part of the time to come back that is added by chance: callers that were refused together
/// don't come back together.
const SPREAD: f64 = 0.25;
/// Most that is added: callers of one group are served within a fraction of a second once it
/// has a leader.
const SPREAD_MAX: Duration = Duration::from_millis(250);

/// When what a request lacks can be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hope {
    /// Not before a moment, whatever goes well.
    NotBefore(Instant),
    /// At any time.
    Unknown,
}

/// What a request is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Wait until this moment at the most; it is to be decided anew when the hope changes.
    WaitUntil(Instant),
    /// Tell its caller to come back after this time.
    Refuse(Duration),
}

/// Whether a request that must be offered by `offer` waits at `now`. `chance` is a number from
/// zero to one, another one for each request.
///
/// ```
/// use std::time::Duration;
/// use stilequay_engine::waiting::{Decision, Hope, decide};
/// use tokio::time::Instant;
/// let now = Instant::now();
/// let offer = now + Duration::from_millis(300);
/// let soon = Hope::NotBefore(now + Duration::from_millis(200));
/// assert_eq!(decide(soon, offer, now, 0.0), Decision::WaitUntil(offer));
/// let late = Hope::NotBefore(now + Duration::from_millis(400));
/// assert_eq!(decide(late, offer, now, 0.0), Decision::Refuse(Duration::from_millis(400)));
/// ```
pub fn decide(hope: Hope, offer: Instant, now: Instant, chance: f64) -> Decision {
    match hope {
        Hope::NotBefore(at) if at > now && at + SEND_TIME > offer => {
            Decision::Refuse(spread(at.duration_since(now), chance))
        }
        _ => Decision::WaitUntil(offer),
    }
}

fn spread(wait: Duration, chance: f64) -> Duration {
    let added = wait.mul_f64(SPREAD).min(SPREAD_MAX);
    wait + added.mul_f64(chance.clamp(0.0, 1.0))
}
