//! One attempt to run a unit through an open exchange with a home.

use crate::domain::exchange::{FrontMessage, HomeMessage, RunUnit, UnitDone};
use crate::domain::names::RequestId;
use crate::domain::verdict::{FailureKind, RequestFailure};
use crate::ports::caller::{AnswerError, CallerLink, Interruption};
use crate::ports::exchange::{ExchangeLost, HomeExchange};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// Why an attempt did not end well.
pub(super) enum AttemptError {
    /// The request failed; the exchange is over.
    Failed(RequestFailure),
    /// Nobody waits for the answer any more.
    CallerGone,
}

impl From<AnswerError> for AttemptError {
    fn from(error: AnswerError) -> Self {
        match error {
            AnswerError::Invalid(failure) => Self::Failed(failure),
            AnswerError::CallerGone => Self::CallerGone,
        }
    }
}

impl From<ExchangeLost> for AttemptError {
    /// The unit has been sent, or part of it: nobody here knows what became of it.
    fn from(lost: ExchangeLost) -> Self {
        Self::Failed(RequestFailure::may_have_run(
            FailureKind::HomeUnreachable,
            lost.to_string(),
        ))
    }
}

/// What woke an attempt that waits for its home.
enum Event {
    Message(Result<HomeMessage, ExchangeLost>),
    Interrupted(Interruption),
    Cut,
    Silence,
}

/// Sends the unit and passes its answer on, up to but without its end.
///
/// `cut` is cancelled when a planned stop can't wait any longer. `silence` is how long the
/// home may send nothing, from now and from each message on, before it counts as lost.
pub(super) async fn run(
    exchange: &mut dyn HomeExchange,
    unit: RunUnit,
    caller: &mut dyn CallerLink,
    cut: &CancellationToken,
    silence: Duration,
) -> Result<UnitDone, AttemptError> {
    let request = unit.request;
    send(exchange, FrontMessage::Run(unit), silence).await?;
    loop {
        match next_event(exchange, caller, cut, silence).await {
            Event::Message(message) => {
                if let Some(done) = take_message(message?, request, caller).await? {
                    return Ok(done);
                }
            }
            Event::Interrupted(Interruption::CancelRequested) => {
                send(exchange, FrontMessage::Cancel { request }, silence).await?;
            }
            Event::Interrupted(Interruption::Gone) => return Err(AttemptError::CallerGone),
            Event::Cut => return Err(failed(FailureKind::ShuttingDown, "the proxy stops")),
            Event::Silence => return Err(silent()),
        }
    }
}

async fn send(
    exchange: &mut dyn HomeExchange,
    message: FrontMessage,
    silence: Duration,
) -> Result<(), AttemptError> {
    match tokio::time::timeout(silence, exchange.send(message)).await {
        Ok(sent) => Ok(sent?),
        Err(_) => Err(silent()),
    }
}

async fn next_event(
    exchange: &mut dyn HomeExchange,
    caller: &mut dyn CallerLink,
    cut: &CancellationToken,
    silence: Duration,
) -> Event {
    tokio::select! {
        message = exchange.receive() => Event::Message(message),
        interruption = caller.interrupted() => Event::Interrupted(interruption),
        () = cut.cancelled() => Event::Cut,
        () = sleep_until(Instant::now() + silence) => Event::Silence,
    }
}

/// Takes one message; gives the end of the unit once it is there. An answer to
/// another request is never passed on.
async fn take_message(
    message: HomeMessage,
    request: RequestId,
    caller: &mut dyn CallerLink,
) -> Result<Option<UnitDone>, AttemptError> {
    match message {
        HomeMessage::Chunk {
            request: answered,
            payload,
        } if answered == request => {
            caller.take(&payload).await?;
            Ok(None)
        }
        HomeMessage::Done(done) if done.request == request => {
            caller.complete()?;
            Ok(Some(done))
        }
        HomeMessage::Failed {
            request: answered,
            failure,
        } if answered == request => Err(AttemptError::Failed(failure)),
        _ => Err(failed(
            FailureKind::ProtocolViolation,
            "the home answered another request",
        )),
    }
}

fn silent() -> AttemptError {
    failed(
        FailureKind::HomeUnreachable,
        "the home did not answer in time",
    )
}

fn failed(kind: FailureKind, text: &str) -> AttemptError {
    AttemptError::Failed(RequestFailure::may_have_run(kind, text))
}
