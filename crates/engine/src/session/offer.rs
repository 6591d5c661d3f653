//! Getting a connection to whichever of several members has one first.

use super::target::Target;
use super::trace::RequestTrace;
use super::write::shed_failure;
use crate::engine::Engine;
use crate::names::MemberId;
use crate::pool::{AcquireError, AcquireRequest, PooledConnection};
use crate::verdict::{Failure, FailureReason};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long the better members are waited for before the next one is waited for too.
const NEXT_MEMBER_DELAY: Duration = Duration::from_millis(30);

/// A member that has a connection.
#[derive(Debug)]
pub(super) struct AcquiredConnection {
    /// Its place among the targets.
    pub index: usize,
    /// The connection.
    pub connection: PooledConnection,
}

/// A member that had none.
#[derive(Debug, Clone)]
pub(super) struct FailedAcquire {
    /// The member.
    pub member: MemberId,
    /// Why.
    pub error: AcquireError,
}

/// A connection to the first of `targets`, in their order, that has one by `until`; or why
/// none has. Once it waits at one, a request keeps its place there while it is offered to
/// the next. Members that are not likely to run it are asked only where no other can be
/// reached.
pub(super) async fn acquire_first(
    engine: &Engine,
    targets: &[Target],
    acquire_request: &AcquireRequest,
    until: Instant,
) -> Result<AcquiredConnection, Vec<FailedAcquire>> {
    let mut next = 0;
    let mut acquiring = FuturesUnordered::new();
    let mut failures = Vec::new();
    let mut next_at = Instant::now();
    loop {
        if next < targets.len() && (acquiring.is_empty() || Instant::now() >= next_at) {
            let index = next;
            let target = &targets[index];
            acquiring
                .push(async move { (index, target.acquire(engine, acquire_request, until).await) });
            next += 1;
            next_at = Instant::now() + NEXT_MEMBER_DELAY;
        }
        if acquiring.is_empty() {
            return Err(failures);
        }
        let may_try_next = next < targets.len() && targets[next].is_preferred;
        tokio::select! {
            biased;
            Some((index, result)) = acquiring.next() => match result {
                Ok(connection) => return Ok(AcquiredConnection { index, connection }),
                Err(error) => {
                    let member = targets[index].pool().member().id.clone();
                    failures.push(FailedAcquire { member, error });
                    next_at = Instant::now();
                }
            },
            () = sleep_until(next_at), if may_try_next => {}
        }
    }
}

/// Why no member had a connection, `unreachable` where none could be reached: a request may
/// then try again. Each is told in `trace`.
///
/// # Errors
///
/// The refusal, where more waiting makes no sense.
pub(super) fn acquire_failure_reason(
    failures: &[FailedAcquire],
    unreachable: FailureReason,
    trace: &mut RequestTrace,
) -> Result<FailureReason, Failure> {
    for FailedAcquire { member, error } in failures {
        trace.record_attempt(member, error.to_string());
    }
    if let Some(retry_after) = shed_retry_after(failures) {
        return Err(shed_failure(retry_after));
    }
    let is_exhausted = failures
        .iter()
        .any(|failure| matches!(failure.error, AcquireError::Exhausted));
    let outside = |failure: &FailedAcquire| failure.error == AcquireError::OutsideRegions;
    Ok(match is_exhausted {
        true => FailureReason::Overloaded,
        false if failures.iter().all(outside) => FailureReason::OutsideHomeRegions,
        false => unreachable,
    })
}

/// When to come back, where members could be reached and all of these were too crowded.
fn shed_retry_after(failures: &[FailedAcquire]) -> Option<Duration> {
    let mut soonest = None;
    for failure in failures {
        match failure.error {
            AcquireError::Shed(wait) | AcquireError::SlowStart(wait) => {
                soonest = Some(soonest.unwrap_or(wait).min(wait))
            }
            AcquireError::Exhausted => return None,
            AcquireError::Unreachable(_)
            | AcquireError::WrongMember
            | AcquireError::MayNotSend(_)
            | AcquireError::OutsideRegions => {}
        }
    }
    soonest
}
