//! Passes a unit's answer on to the caller: whole messages of the back end, with
//! the front's own answers in their places, and ReadyForQuery at the end.

use super::reply;
use super::socket::{CallerSocket, SocketError};
use super::unit::{Step, StepAnswer, UnitEnd};
use crate::domain::exchange::TransactionState;
use bytes::{Buf, BytesMut};
use pgwire::messages::copy::{
    MESSAGE_TYPE_BYTE_COPY_BOTH_RESPONSE, MESSAGE_TYPE_BYTE_COPY_IN_RESPONSE,
    MESSAGE_TYPE_BYTE_COPY_OUT_RESPONSE,
};
use pgwire::messages::response::{
    MESSAGE_TYPE_BYTE_COMMAND_COMPLETE, MESSAGE_TYPE_BYTE_EMPTY_QUERY_RESPONSE,
    MESSAGE_TYPE_BYTE_ERROR_RESPONSE, MESSAGE_TYPE_BYTE_NOTICE_RESPONSE,
    MESSAGE_TYPE_BYTE_NOTIFICATION_RESPONSE, MESSAGE_TYPE_BYTE_READY_FOR_QUERY,
};
use pgwire::messages::startup::MESSAGE_TYPE_BYTE_PARAMETER_STATUS;
use std::collections::VecDeque;

/// Type byte and length of a message.
const HEADER_BYTES: usize = 5;
/// The length field counts itself.
const LENGTH_BYTES: usize = 4;
/// Bytes gathered before they are written: a short answer is written whole, with
/// its ReadyForQuery, and can still be had from another home when it breaks off.
const GATHER_BYTES: usize = 8 << 10;

/// Messages that a back end may send at any time.
const ASYNCHRONOUS: &[u8] = &[
    MESSAGE_TYPE_BYTE_NOTICE_RESPONSE,
    MESSAGE_TYPE_BYTE_NOTIFICATION_RESPONSE,
    MESSAGE_TYPE_BYTE_PARAMETER_STATUS,
];

const COPY_RESPONSES: &[u8] = &[
    MESSAGE_TYPE_BYTE_COPY_IN_RESPONSE,
    MESSAGE_TYPE_BYTE_COPY_OUT_RESPONSE,
    MESSAGE_TYPE_BYTE_COPY_BOTH_RESPONSE,
];

/// Ends of a simple query's answers.
const QUERY_ENDS: &[u8] = &[
    MESSAGE_TYPE_BYTE_COMMAND_COMPLETE,
    MESSAGE_TYPE_BYTE_EMPTY_QUERY_RESPONSE,
    MESSAGE_TYPE_BYTE_ERROR_RESPONSE,
];

/// The answer is not what the protocol allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerFault {
    /// A length that can't be.
    Malformed,
    /// The back end began COPY.
    Copy,
    /// The answer ended before its end.
    Short,
}

/// The answer to one unit, on its way to the caller.
pub(super) struct Relay {
    end: UnitEnd,
    steps: VecDeque<Step>,
    header: [u8; HEADER_BYTES],
    header_length: usize,
    body_left: usize,
    gathered: BytesMut,
    has_written: bool,
    has_error: bool,
    query_answered: bool,
}

impl Relay {
    pub(super) fn new(end: UnitEnd, steps: VecDeque<Step>) -> Self {
        Self {
            end,
            steps,
            header: [0; HEADER_BYTES],
            header_length: 0,
            body_left: 0,
            gathered: BytesMut::new(),
            has_written: false,
            has_error: false,
            query_answered: false,
        }
    }

    /// Whether anything of the answer has gone to the caller.
    pub(super) fn has_written(&self) -> bool {
        self.has_written
    }

    /// Whether the back end answered with an error.
    pub(super) fn has_error(&self) -> bool {
        self.has_error
    }

    /// Whether all that came was whole messages.
    pub(super) fn is_between_messages(&self) -> bool {
        self.header_length == 0 && self.body_left == 0
    }

    /// The answers that were not given.
    pub(super) fn into_steps(self) -> VecDeque<Step> {
        self.steps
    }

    /// Takes a part of the answer.
    pub(super) fn take(&mut self, mut part: &[u8]) -> Result<(), AnswerFault> {
        while !part.is_empty() {
            if self.body_left > 0 {
                self.take_body(&mut part);
            } else {
                self.take_header(&mut part)?;
            }
            if self.header_length == HEADER_BYTES && self.body_left == 0 {
                self.end_message();
            }
        }
        Ok(())
    }

    fn message_type(&self) -> u8 {
        self.header[0]
    }

    fn take_header(&mut self, part: &mut &[u8]) -> Result<(), AnswerFault> {
        let length = part.len().min(HEADER_BYTES - self.header_length);
        let target = &mut self.header[self.header_length..self.header_length + length];
        part.copy_to_slice(target);
        self.header_length += length;
        if self.header_length < HEADER_BYTES {
            return Ok(());
        }
        let mut field = &self.header[1..];
        let length = field.get_u32() as usize;
        self.body_left = length
            .checked_sub(LENGTH_BYTES)
            .ok_or(AnswerFault::Malformed)?;
        self.begin_message()
    }

    fn begin_message(&mut self) -> Result<(), AnswerFault> {
        let message_type = self.message_type();
        if COPY_RESPONSES.contains(&message_type) {
            return Err(AnswerFault::Copy);
        }
        if message_type == MESSAGE_TYPE_BYTE_ERROR_RESPONSE {
            self.has_error = true;
        } else if !ASYNCHRONOUS.contains(&message_type) && !self.has_error {
            self.answer_local_steps();
        }
        if message_type != MESSAGE_TYPE_BYTE_READY_FOR_QUERY {
            self.gathered.extend_from_slice(&self.header);
        }
        Ok(())
    }

    fn take_body(&mut self, part: &mut &[u8]) {
        let length = part.len().min(self.body_left);
        if self.message_type() != MESSAGE_TYPE_BYTE_READY_FOR_QUERY {
            self.gathered.extend_from_slice(&part[..length]);
        }
        part.advance(length);
        self.body_left -= length;
    }

    fn end_message(&mut self) {
        self.header_length = 0;
        let message_type = self.message_type();
        self.query_answered |= QUERY_ENDS.contains(&message_type);
        let ends_step = match self.steps.front().map(|step| &step.answer) {
            Some(StepAnswer::BackEnd(ends)) => ends.contains(&message_type),
            _ => false,
        };
        if ends_step {
            self.steps.pop_front();
        }
    }

    fn answer_local_steps(&mut self) {
        while let Some(StepAnswer::Local(answer)) = self.steps.front().map(|step| &step.answer) {
            self.gathered.extend_from_slice(answer);
            self.steps.pop_front();
        }
    }

    /// Ends the answer: what the front still has to say, and nothing missing.
    pub(super) fn complete(&mut self) -> Result<(), AnswerFault> {
        if !self.is_between_messages() {
            return Err(AnswerFault::Short);
        }
        if self.has_error {
            return Ok(());
        }
        self.answer_local_steps();
        let query_missing = self.end == UnitEnd::Query && !self.query_answered;
        if !self.steps.is_empty() || query_missing {
            return Err(AnswerFault::Short);
        }
        Ok(())
    }

    /// Ends an answer that only the front gives.
    pub(super) fn complete_locally(&mut self) {
        self.answer_local_steps();
    }

    /// Adds a message of the proxy's own.
    pub(super) fn add(&mut self, message: &[u8]) {
        self.gathered.extend_from_slice(message);
    }

    /// Adds ReadyForQuery where the unit asks for it.
    pub(super) fn add_ready(&mut self, state: TransactionState) {
        if self.end != UnitEnd::Flush {
            self.gathered
                .extend_from_slice(&reply::ready_for_query(state));
        }
    }

    /// Writes what has been gathered once it is worth a write.
    pub(super) async fn write_if_large(
        &mut self,
        socket: &mut CallerSocket,
    ) -> Result<(), SocketError> {
        if self.gathered.len() < GATHER_BYTES {
            return Ok(());
        }
        self.write(socket).await
    }

    /// Writes all that has been gathered.
    pub(super) async fn write(&mut self, socket: &mut CallerSocket) -> Result<(), SocketError> {
        if self.gathered.is_empty() {
            return Ok(());
        }
        self.has_written = true;
        socket.write(&self.gathered).await?;
        self.gathered.clear();
        Ok(())
    }
}
