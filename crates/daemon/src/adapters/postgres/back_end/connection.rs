//! One connection to a PostgreSQL server: sends units as planned and reads their answers.

use super::plan::UnitPlan;
use super::prepared::PreparedStatements;
use super::probe::probe;
use crate::domain::exchange::{RunUnit, TransactionState};
use crate::domain::member::MemberReport;
use crate::domain::names::MemberName;
use crate::ports::back_end::{AnswerPart, BackEndConnection, BackEndError, CommandEnd, SendError};
use async_trait::async_trait;
use bytes::BytesMut;
use futures::{FutureExt, SinkExt, StreamExt};
use pgwire::error::PgWireClientError;
use pgwire::messages::copy::CopyFail;
use pgwire::messages::extendedquery::Sync;
use pgwire::messages::response::{CommandComplete, ErrorResponse, TransactionStatus};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use pgwire::tokio::client::PgWireClient;
use std::collections::VecDeque;
use std::fmt;
use std::future::poll_fn;
use std::time::Duration;
use tokio::time::timeout;

/// Told to a back end that asks for copy data.
const COPY_REFUSAL: &str = "COPY FROM STDIN is not supported through the proxy";
/// A parameter that changes with the member's role and not by what a session does.
const PARAMETER_IN_HOT_STANDBY: &str = "in_hot_standby";
/// Field of an error response: the severity, never translated.
const FIELD_SEVERITY: u8 = b'V';
/// Field of an error response: the severity, perhaps translated.
const FIELD_LOCAL_SEVERITY: u8 = b'S';
/// Field of an error response: the SQLSTATE.
const FIELD_CODE: u8 = b'C';
/// Field of an error response: the text for people.
const FIELD_MESSAGE: u8 = b'M';
/// Greatest time spent on asking a back end to cancel a statement.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that runs units.
pub(super) struct PostgresConnection {
    member: MemberName,
    client: PgWireClient,
    prepared: PreparedStatements,
    has_session_state: bool,
    /// What is still to be sent while an answer is read.
    pending: VecDeque<PgWireFrontendMessage>,
    needs_flush: bool,
    answer: ExpectedAnswer,
}

/// The answer to the unit in progress, as far as it has come.
#[derive(Debug)]
struct ExpectedAnswer {
    plan: UnitPlan,
    transaction: Option<TransactionState>,
    skipping: bool,
}

impl ExpectedAnswer {
    fn new(plan: UnitPlan, skipping: bool) -> Self {
        Self {
            plan,
            transaction: None,
            skipping,
        }
    }

    fn end(&self) -> AnswerPart {
        AnswerPart::End {
            transaction: self.transaction.unwrap_or(TransactionState::Unsynced),
            skipping: self.skipping,
        }
    }
}

impl fmt::Debug for PostgresConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PostgresConnection")
            .field("member", &self.member)
            .field("has_session_state", &self.has_session_state)
            .finish_non_exhaustive()
    }
}

impl PostgresConnection {
    pub(super) fn new(member: MemberName, client: PgWireClient, statements: usize) -> Self {
        Self {
            member,
            client,
            prepared: PreparedStatements::new(statements),
            has_session_state: false,
            pending: VecDeque::new(),
            needs_flush: false,
            answer: ExpectedAnswer::new(UnitPlan::empty(), false),
        }
    }

    /// Sends what is pending; cancel-safe.
    async fn send_pending(&mut self) -> Result<(), PgWireClientError> {
        while !self.pending.is_empty() {
            poll_fn(|cx| self.client.poll_ready_unpin(cx)).await?;
            if let Some(message) = self.pending.pop_front() {
                self.client.start_send_unpin(message)?;
            }
            self.needs_flush = true;
        }
        if self.needs_flush {
            self.client.flush().await?;
            self.needs_flush = false;
        }
        Ok(())
    }

    /// The next message of the back end; cancel-safe.
    async fn next_message(&mut self) -> Result<PgWireBackendMessage, BackEndError> {
        self.send_pending().await.map_err(|e| super::lost(&e))?;
        match self.client.next().await {
            Some(Ok(message)) => Ok(message),
            Some(Err(error)) => Err(super::lost(&error.into())),
            None => Err(super::lost(&PgWireClientError::UnexpectedEOF)),
        }
    }

    /// Takes a message in; gives it back encoded if it belongs to the caller.
    fn take(&mut self, message: PgWireBackendMessage) -> Result<Option<AnswerPart>, BackEndError> {
        match &message {
            PgWireBackendMessage::ErrorResponse(error) if is_fatal(error) => {
                return Err(BackEndError::Lost(describe(error)));
            }
            PgWireBackendMessage::ErrorResponse(_) => self.answer.skipping = true,
            PgWireBackendMessage::ReadyForQuery(ready) => {
                self.answer.transaction = Some(transaction_state(ready.status));
                self.answer.skipping = false;
            }
            PgWireBackendMessage::ParameterStatus(status) => {
                self.has_session_state |= status.name != PARAMETER_IN_HOT_STANDBY;
            }
            PgWireBackendMessage::CopyInResponse(_) => {
                self.refuse_copy();
                return Ok(None);
            }
            PgWireBackendMessage::CopyBothResponse(_) => {
                let reason = "replication is not supported".to_owned();
                return Err(BackEndError::Lost(reason));
            }
            _ => {}
        }
        match self.answer.plan.accept(message, &mut self.prepared) {
            Some(message) => self.part(&message).map(Some),
            None => Ok(None),
        }
    }

    /// Answers a request for copy data with a refusal. The Sync that an extended
    /// query has sent is lost in copy mode, so another one is needed.
    fn refuse_copy(&mut self) {
        let refusal = CopyFail::new(COPY_REFUSAL.to_owned());
        self.pending
            .push_back(PgWireFrontendMessage::CopyFail(refusal));
        if self.answer.plan.ends_with_sync() {
            self.pending
                .push_back(PgWireFrontendMessage::Sync(Sync::new()));
        }
    }

    fn part(&mut self, message: &PgWireBackendMessage) -> Result<AnswerPart, BackEndError> {
        let command = match message {
            PgWireBackendMessage::CommandComplete(complete) => {
                self.note_deallocation(complete);
                Some(command_end(complete))
            }
            _ => None,
        };
        let mut payload = BytesMut::new();
        let encoded = message.encode(&mut payload);
        encoded.map_err(|error| BackEndError::Lost(error.to_string()))?;
        let payload = payload.freeze();
        Ok(AnswerPart::Message { payload, command })
    }

    /// Prepared statements may be gone, others' too.
    fn note_deallocation(&mut self, complete: &CommandComplete) {
        if complete.tag.starts_with("DEALLOCATE") || complete.tag.starts_with("DISCARD") {
            self.prepared.clear();
            self.has_session_state = true;
        }
    }
}

#[async_trait]
impl BackEndConnection for PostgresConnection {
    /// An idle back end says nothing, so any message or the end of the stream means that
    /// it is going away.
    fn is_quiet(&mut self) -> bool {
        self.client.next().now_or_never().is_none()
    }

    async fn probe(&mut self) -> Result<MemberReport, BackEndError> {
        probe(&mut self.client).await
    }

    async fn send(&mut self, unit: &RunUnit, skipping: bool) -> Result<(), SendError> {
        let planned = UnitPlan::new(
            &unit.payload,
            &unit.statements,
            &mut self.prepared,
            skipping,
        );
        let mut plan = planned.map_err(|error| SendError::Malformed(error.to_string()))?;
        self.pending = plan.take_messages().into();
        self.answer = ExpectedAnswer::new(plan, skipping);
        let sent = self.send_pending().await;
        sent.map_err(|error| SendError::Lost(error.to_string()))
    }

    async fn receive(&mut self) -> Result<AnswerPart, BackEndError> {
        loop {
            if let Some(message) = self.answer.plan.synthesized() {
                return self.part(&message);
            }
            if self.answer.plan.is_finished() {
                return Ok(self.answer.end());
            }
            let message = self.next_message().await?;
            if let Some(part) = self.take(message)? {
                return Ok(part);
            }
        }
    }

    fn has_session_state(&self) -> bool {
        self.has_session_state
    }

    async fn cancel(&self) {
        match timeout(CANCEL_TIMEOUT, self.client.cancel()).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::debug!(member:% = self.member; "cancel failed: {error}"),
            Err(_) => log::debug!(member:% = self.member; "cancel timed out"),
        }
    }
}

fn transaction_state(status: TransactionStatus) -> TransactionState {
    match status {
        TransactionStatus::Idle => TransactionState::Idle,
        TransactionStatus::Transaction => TransactionState::InTransaction,
        TransactionStatus::Error => TransactionState::Failed,
    }
}

fn command_end(complete: &CommandComplete) -> CommandEnd {
    match complete.tag.as_str() {
        "COMMIT" | "COMMIT PREPARED" | "PREPARE TRANSACTION" => CommandEnd::Committed,
        "ROLLBACK" => CommandEnd::RolledBack,
        _ => CommandEnd::Other,
    }
}

/// Whether the back end ends the connection with this error, so that what it was
/// doing may or may not have been done.
fn is_fatal(error: &ErrorResponse) -> bool {
    let severity = field(error, FIELD_SEVERITY).or_else(|| field(error, FIELD_LOCAL_SEVERITY));
    matches!(severity, Some("FATAL" | "PANIC"))
}

fn describe(error: &ErrorResponse) -> String {
    let code = field(error, FIELD_CODE).unwrap_or("unknown");
    let message = field(error, FIELD_MESSAGE).unwrap_or("no message");
    format!("{message} ({code})")
}

fn field(error: &ErrorResponse, name: u8) -> Option<&str> {
    let mut fields = error.fields.iter();
    fields
        .find(|(field, _)| *field == name)
        .map(|(_, text)| text.as_str())
}
