//! Getting a connection to whichever of several members has one first.

use super::target::Target;
use super::trace::RequestTrace;
use super::write::shed;
use crate::engine::Engine;
use crate::names::MemberId;
use crate::pool::{AcquireError, AcquireRequest, PooledConnection};
use crate::verdict::{Failure, FailureReason};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long the better members are waited for before the next one is waited for too.
const HEAD_START: Duration = Duration::from_millis(30);

/// A member that has a connection.
#[derive(Debug)]
pub(super) struct Offer {
    /// Its place among the targets.
    pub index: usize,
    /// The connection.
    pub connection: PooledConnection,
}

/// A member that had none.
#[derive(Debug, Clone)]
pub(super) struct Declined {
    /// The member.
    pub member: MemberId,
    /// Why.
    pub error: AcquireError,
}

/// A connection to the first of `targets`, in their order, that has one by `until`; or why
/// none has. Once it waits at one, a request keeps its place there while it is offered to
/// the next. Members that are not likely to run it are asked only where no other can be
/// reached.
pub(super) async fn first_connection(
    engine: &Engine,
    targets: &[Target],
    acquire_request: &AcquireRequest,
    until: Instant,
) -> Result<Offer, Vec<Declined>> {
    let mut next = 0;
    let mut waiting = FuturesUnordered::new();
    let mut declined = Vec::new();
    let mut next_at = Instant::now();
    loop {
        if next < targets.len() && (waiting.is_empty() || Instant::now() >= next_at) {
            let index = next;
            let target = &targets[index];
            waiting
                .push(async move { (index, target.acquire(engine, acquire_request, until).await) });
            next += 1;
            next_at = Instant::now() + HEAD_START;
        }
        if waiting.is_empty() {
            return Err(declined);
        }
        let goes_on = next < targets.len() && targets[next].is_likely;
        tokio::select! {
            biased;
            Some((index, result)) = waiting.next() => match result {
                Ok(connection) => return Ok(Offer { index, connection }),
                Err(error) => {
                    let member = targets[index].pool().member().id.clone();
                    declined.push(Declined { member, error });
                    next_at = Instant::now();
                }
            },
            () = sleep_until(next_at), if goes_on => {}
        }
    }
}

/// Why no member had a connection, `unreachable` where none could be reached: a request may
/// then try again. Each is told in `trace`.
///
/// # Errors
///
/// The refusal, where more waiting makes no sense.
pub(super) fn why_declined(
    declined: &[Declined],
    unreachable: FailureReason,
    trace: &mut RequestTrace,
) -> Result<FailureReason, Failure> {
    for Declined { member, error } in declined {
        trace.attempted(member, error.to_string());
    }
    if let Some(retry_after) = shed_for(declined) {
        return Err(shed(retry_after));
    }
    let crowded = declined
        .iter()
        .any(|declined| matches!(declined.error, AcquireError::Exhausted));
    let outside = |declined: &Declined| declined.error == AcquireError::OutsideRegions;
    Ok(match crowded {
        true => FailureReason::Overloaded,
        false if declined.iter().all(outside) => FailureReason::OutsideHomeRegions,
        false => unreachable,
    })
}

/// When to come back, where members could be reached and all of these were too crowded.
fn shed_for(declined: &[Declined]) -> Option<Duration> {
    let mut soonest = None;
    for declined in declined {
        match declined.error {
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
