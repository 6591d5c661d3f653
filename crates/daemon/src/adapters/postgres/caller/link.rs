//! The caller's end of one unit, as the application sees it.

use super::cancel::CancelHandle;
use super::relay::{AnswerFault, Relay};
use super::socket::CallerSocket;
use super::unit::{Step, UnitEnd};
use crate::domain::verdict::{FailureKind, RequestFailure};
use crate::ports::caller::{AnswerError, CallerLink, Interruption};
use async_trait::async_trait;
use std::collections::VecDeque;

/// Passes the answer to one unit on to its caller.
pub(super) struct UnitLink<'a> {
    pub(super) socket: &'a mut CallerSocket,
    pub(super) cancel: &'a mut CancelHandle,
    /// The answer of the attempt in progress.
    pub(super) relay: Relay,
    end: UnitEnd,
    steps: VecDeque<Step>,
}

impl<'a> UnitLink<'a> {
    /// A link for a unit that ends with `end` and whose messages are answered by `steps`.
    pub(super) fn new(
        socket: &'a mut CallerSocket,
        cancel: &'a mut CancelHandle,
        end: UnitEnd,
        steps: VecDeque<Step>,
    ) -> Self {
        Self {
            socket,
            cancel,
            relay: Relay::new(end, steps.clone()),
            end,
            steps,
        }
    }
}

#[async_trait]
impl CallerLink for UnitLink<'_> {
    fn begin_answer(&mut self) {
        self.relay = Relay::new(self.end, self.steps.clone());
    }

    async fn take(&mut self, part: &[u8]) -> Result<(), AnswerError> {
        self.relay.take(part)?;
        let written = self.relay.write_if_large(self.socket).await;
        written.map_err(|_| AnswerError::CallerGone)
    }

    fn complete(&mut self) -> Result<(), AnswerError> {
        Ok(self.relay.complete()?)
    }

    fn has_passed_on(&self) -> bool {
        self.relay.has_written()
    }

    async fn interrupted(&mut self) -> Interruption {
        tokio::select! {
            () = self.cancel.requested() => Interruption::CancelRequested,
            () = self.socket.closed() => Interruption::Gone,
        }
    }
}

impl From<AnswerFault> for AnswerError {
    fn from(fault: AnswerFault) -> Self {
        let (kind, text) = match fault {
            AnswerFault::Copy => (FailureKind::Unsupported, "COPY is not supported"),
            AnswerFault::Malformed => (FailureKind::ProtocolViolation, "the answer is malformed"),
            AnswerFault::Short => (FailureKind::ProtocolViolation, "the answer is incomplete"),
        };
        Self::Invalid(RequestFailure::may_have_run(kind, text))
    }
}
