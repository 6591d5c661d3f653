//! One attempt to run a unit through an open exchange with a home.

use super::cancel::CancelHandle;
use super::relay::{AnswerFault, Relay};
use super::socket::{CallerSocket, SocketError};
use crate::domain::exchange::{FrontMessage, HomeMessage, RunUnit, UnitDone};
use crate::domain::names::RequestId;
use crate::domain::verdict::{FailureKind, RequestFailure};
use crate::ports::exchange::{ExchangeLost, HomeExchange};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// The caller's side of an attempt.
pub(super) struct CallerLink<'a> {
    pub(super) socket: &'a mut CallerSocket,
    pub(super) cancel: &'a mut CancelHandle,
    /// Cancelled when a planned stop can't wait any longer.
    pub(super) cut: &'a CancellationToken,
}

/// Why an attempt did not end well.
pub(super) enum Interruption {
    /// The request failed; the exchange is over.
    Failed(RequestFailure),
    /// Nobody waits for the answer any more.
    CallerGone(SocketError),
}

impl From<SocketError> for Interruption {
    fn from(error: SocketError) -> Self {
        Self::CallerGone(error)
    }
}

impl From<ExchangeLost> for Interruption {
    /// The unit has been sent, or part of it: nobody here knows what became of it.
    fn from(lost: ExchangeLost) -> Self {
        Self::Failed(RequestFailure::may_have_run(
            FailureKind::HomeUnreachable,
            lost.to_string(),
        ))
    }
}

impl From<AnswerFault> for Interruption {
    fn from(fault: AnswerFault) -> Self {
        let (kind, text) = match fault {
            AnswerFault::Copy => (FailureKind::Unsupported, "COPY is not supported"),
            AnswerFault::Malformed => (FailureKind::ProtocolViolation, "the answer is malformed"),
            AnswerFault::Short => (FailureKind::ProtocolViolation, "the answer is incomplete"),
        };
        Self::Failed(RequestFailure::may_have_run(kind, text))
    }
}

/// What woke an attempt that waits for its home.
enum Event {
    Message(Result<HomeMessage, ExchangeLost>),
    CancelRequested,
    CallerGone,
    Cut,
    Silence,
}

/// Sends the unit and passes its answer on, up to but without ReadyForQuery.
///
/// `silence` is how long the home may send nothing, from now and from each
/// message on, before it counts as lost.
pub(super) async fn run(
    exchange: &mut dyn HomeExchange,
    unit: RunUnit,
    relay: &mut Relay,
    caller: &mut CallerLink<'_>,
    silence: Duration,
) -> Result<UnitDone, Interruption> {
    let request = unit.request;
    send(exchange, FrontMessage::Run(unit), silence).await?;
    loop {
        match next_event(exchange, caller, silence).await {
            Event::Message(message) => {
                if let Some(done) = take_message(message?, request, relay)? {
                    return Ok(done);
                }
                relay.write_if_large(caller.socket).await?;
            }
            Event::CancelRequested => {
                send(exchange, FrontMessage::Cancel { request }, silence).await?;
            }
            Event::CallerGone => {
                let error = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
                return Err(SocketError::from(error).into());
            }
            Event::Cut => return Err(failed(FailureKind::ShuttingDown, "the proxy stops")),
            Event::Silence => return Err(silent()),
        }
    }
}

async fn send(
    exchange: &mut dyn HomeExchange,
    message: FrontMessage,
    silence: Duration,
) -> Result<(), Interruption> {
    match tokio::time::timeout(silence, exchange.send(message)).await {
        Ok(sent) => Ok(sent?),
        Err(_) => Err(silent()),
    }
}

async fn next_event(
    exchange: &mut dyn HomeExchange,
    caller: &mut CallerLink<'_>,
    silence: Duration,
) -> Event {
    tokio::select! {
        message = exchange.receive() => Event::Message(message),
        () = caller.cancel.requested() => Event::CancelRequested,
        () = caller.socket.closed() => Event::CallerGone,
        () = caller.cut.cancelled() => Event::Cut,
        () = sleep_until(Instant::now() + silence) => Event::Silence,
    }
}

/// Takes one message; gives the end of the unit once it is there. An answer to
/// another request is never passed on.
fn take_message(
    message: HomeMessage,
    request: RequestId,
    relay: &mut Relay,
) -> Result<Option<UnitDone>, Interruption> {
    match message {
        HomeMessage::Chunk {
            request: answered,
            payload,
        } if answered == request => {
            relay.take(&payload)?;
            Ok(None)
        }
        HomeMessage::Done(done) if done.request == request => {
            relay.complete()?;
            Ok(Some(done))
        }
        HomeMessage::Failed {
            request: answered,
            failure,
        } if answered == request => Err(Interruption::Failed(failure)),
        _ => Err(failed(
            FailureKind::ProtocolViolation,
            "the home answered another request",
        )),
    }
}

fn silent() -> Interruption {
    failed(
        FailureKind::HomeUnreachable,
        "the home did not answer in time",
    )
}

fn failed(kind: FailureKind, text: &str) -> Interruption {
    Interruption::Failed(RequestFailure::may_have_run(kind, text))
}
