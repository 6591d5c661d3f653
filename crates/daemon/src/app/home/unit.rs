//! Runs one unit on a back-end connection and forwards the answer.

use super::answer::AnswerBuffer;
use super::backend::{BackEndConnection, BackEndError};
use super::link::{FrontLink, LinkClosed};
use super::plan::UnitPlan;
use super::state::{GroupState, Primary, wait_for_state};
use crate::domain::exchange::{FrontMessage, HomeMessage, RunUnit, TransactionState};
use crate::domain::names::RequestId;
use bytes::BytesMut;
use futures::{FutureExt, SinkExt};
use pgwire::messages::copy::CopyFail;
use pgwire::messages::extendedquery::Sync;
use pgwire::messages::response::{ErrorResponse, TransactionStatus};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use stilequay_coordination::position::Term;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Told to a back end that asks for copy data.
const COPY_REFUSAL: &str = "COPY FROM STDIN is not supported through the proxy";
/// A parameter that changes with the member's role and not by what a session does.
const PARAMETER_IN_HOT_STANDBY: &str = "in_hot_standby";
/// Field of an error response: the severity, never translated.
const FIELD_SEVERITY: u8 = b'V';
/// Field of an error response: the SQLSTATE.
const FIELD_CODE: u8 = b'C';

/// How to run a unit.
pub struct UnitRun<'a, L> {
    /// The front's end of the exchange.
    pub link: &'a mut L,
    /// Where the unit runs.
    pub connection: &'a mut BackEndConnection,
    /// The unit.
    pub unit: &'a RunUnit,
    /// When the unit must be given up.
    pub deadline: Instant,
    /// Where the unit may write: the primary whose replacement ends it at once.
    pub primary: Option<Primary>,
    /// The group's state and its changes.
    pub state: watch::Receiver<GroupState>,
    /// Whether an earlier unit of the exchange ended without Sync.
    pub unsynced: Unsynced,
    /// Greatest number of bytes to hold back until a write is confirmed.
    pub held_back_bytes: usize,
}

/// What units without Sync have left open on a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Unsynced {
    /// A command has completed, and commits with the next Sync.
    pub completed_command: bool,
    /// An error makes the back end ignore everything before the next Sync.
    pub skipping: bool,
}

/// The end of a unit that the back end has answered to the end.
#[derive(Debug)]
pub struct UnitAnswer {
    /// The back end's transaction state.
    pub transaction: TransactionState,
    /// Whether the unit may have committed something.
    pub may_have_committed: bool,
    /// What the caller must not see before the write is confirmed.
    pub held_back: BytesMut,
    /// When the whole answer was in.
    pub answered: Instant,
    /// What the unit leaves open.
    pub unsynced: Unsynced,
}

/// Why a unit has no whole answer, and how far it had come.
#[derive(Debug)]
pub struct UnitFailure {
    /// What went wrong.
    pub cause: UnitFailureCause,
    /// Whether a byte of the unit may have reached the back end.
    pub sent: bool,
    /// Whether a part of the answer has been forwarded.
    pub forwarded: bool,
}

/// What kept a unit from being answered.
#[derive(Debug)]
pub enum UnitFailureCause {
    /// The unit itself is malformed.
    Malformed(String),
    /// The connection to the back end broke, or the back end is going away.
    BackEndLost(String),
    /// A term after the connection's was seen.
    Replaced(Term),
    /// The deadline passed.
    DeadlineExceeded,
    /// The answer is longer than what may be held back.
    TooLongToHoldBack,
    /// The front went away.
    FrontLost,
    /// The front sent what the protocol does not allow.
    FrontProtocol,
}

impl<L: FrontLink> UnitRun<'_, L> {
    /// Sends the unit and forwards its answer, except what must be held back.
    pub async fn run(mut self) -> Result<UnitAnswer, UnitFailure> {
        let mut answer = AnswerBuffer::new(self.primary.is_some());
        let mut progress = Progress::default();
        match self.exchange_messages(&mut answer, &mut progress).await {
            Ok(plan_end) => Ok(self.finish(answer, plan_end)),
            Err(cause) => Err(UnitFailure {
                cause,
                sent: progress.sent,
                forwarded: answer.has_forwarded(),
            }),
        }
    }

    async fn exchange_messages(
        &mut self,
        answer: &mut AnswerBuffer,
        progress: &mut Progress,
    ) -> Result<PlanEnd, UnitFailureCause> {
        let mut plan = UnitPlan::new(
            &self.unit.payload,
            &self.unit.statements,
            &mut self.connection.prepared,
            self.unsynced.skipping,
        )
        .map_err(|error| UnitFailureCause::Malformed(error.to_string()))?;
        progress.sent = true;
        self.send_messages(&mut plan).await?;
        let mut end = PlanEnd {
            transaction: None,
            skipping: self.unsynced.skipping,
        };
        loop {
            while let Some(message) = plan.synthesized() {
                self.push(answer, message)?;
            }
            if plan.is_finished() {
                return Ok(end);
            }
            let message = self.next_message(answer).await?;
            self.take_message(message, &mut plan, answer, &mut end)
                .await?;
            if answer.is_chunk_full() {
                self.forward(answer).await?;
            }
        }
    }

    async fn send_messages(&mut self, plan: &mut UnitPlan) -> Result<(), UnitFailureCause> {
        let client = &mut self.connection.client;
        let messages = plan.take_messages();
        let sending = async {
            for message in messages {
                client.feed(message).await?;
            }
            client.flush().await
        };
        tokio::select! {
            result = sending => result.map_err(|error| UnitFailureCause::BackEndLost(error.to_string())),
            () = sleep_until(self.deadline) => Err(UnitFailureCause::DeadlineExceeded),
        }
    }

    /// The next message of the back end, which is waited for only after what the
    /// caller may see has been forwarded.
    async fn next_message(
        &mut self,
        answer: &mut AnswerBuffer,
    ) -> Result<PgWireBackendMessage, UnitFailureCause> {
        if let Some(message) = self.connection.next_message().now_or_never() {
            return message.map_err(lost);
        }
        self.forward(answer).await?;
        loop {
            let event = self.next_event().await;
            match event {
                Event::BackEnd(message) => return (*message).map_err(lost),
                Event::Front(Ok(FrontMessage::Cancel { request })) => self.cancel(request).await,
                Event::Front(Ok(_)) => return Err(UnitFailureCause::FrontProtocol),
                Event::Front(Err(LinkClosed)) => return Err(UnitFailureCause::FrontLost),
                Event::Replaced(term) => return Err(UnitFailureCause::Replaced(term)),
                Event::Deadline => return Err(UnitFailureCause::DeadlineExceeded),
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let term = self.primary.as_ref().map(|primary| primary.term);
        tokio::select! {
            biased;
            message = self.connection.next_message() => Event::BackEnd(Box::new(message)),
            message = self.link.receive() => Event::Front(message),
            later = later_term(&mut self.state, term) => Event::Replaced(later),
            () = sleep_until(self.deadline) => Event::Deadline,
        }
    }

    async fn cancel(&self, request: RequestId) {
        if request == self.unit.request {
            self.connection.cancel().await;
        }
    }

    async fn take_message(
        &mut self,
        message: PgWireBackendMessage,
        plan: &mut UnitPlan,
        answer: &mut AnswerBuffer,
        end: &mut PlanEnd,
    ) -> Result<(), UnitFailureCause> {
        match &message {
            PgWireBackendMessage::ErrorResponse(error) if is_fatal(error) => {
                return Err(UnitFailureCause::BackEndLost(describe(error)));
            }
            PgWireBackendMessage::ErrorResponse(_) => end.skipping = true,
            PgWireBackendMessage::ReadyForQuery(ready) => {
                end.transaction = Some(transaction_state(ready.status));
                end.skipping = false;
            }
            PgWireBackendMessage::ParameterStatus(status) => {
                self.connection.has_session_state |= status.name != PARAMETER_IN_HOT_STANDBY;
            }
            PgWireBackendMessage::CopyInResponse(_) => return self.refuse_copy(plan).await,
            PgWireBackendMessage::CopyBothResponse(_) => {
                return Err(UnitFailureCause::BackEndLost(
                    "replication is not supported".into(),
                ));
            }
            _ => {}
        }
        match plan.accept(message, &mut self.connection.prepared) {
            Some(message) => self.push(answer, message),
            None => Ok(()),
        }
    }

    fn push(
        &mut self,
        answer: &mut AnswerBuffer,
        message: PgWireBackendMessage,
    ) -> Result<(), UnitFailureCause> {
        if answer.deallocates(&message) {
            self.connection.prepared.clear();
            self.connection.has_session_state = true;
        }
        answer
            .push(&message)
            .map_err(|error| UnitFailureCause::BackEndLost(error.to_string()))?;
        if answer.held_back_len() > self.held_back_bytes {
            return Err(UnitFailureCause::TooLongToHoldBack);
        }
        Ok(())
    }

    /// Answers a request for copy data with a refusal. The Sync that an extended
    /// query has sent is lost in copy mode, so another one is needed.
    async fn refuse_copy(&mut self, plan: &mut UnitPlan) -> Result<(), UnitFailureCause> {
        let refusal = CopyFail::new(COPY_REFUSAL.to_owned());
        let mut messages = vec![PgWireFrontendMessage::CopyFail(refusal)];
        if plan.ends_with_sync() {
            messages.push(PgWireFrontendMessage::Sync(Sync::new()));
        }
        for message in messages {
            let sent = self.connection.client.send(message).await;
            sent.map_err(|error| UnitFailureCause::BackEndLost(error.to_string()))?;
        }
        Ok(())
    }

    async fn forward(&mut self, answer: &mut AnswerBuffer) -> Result<(), UnitFailureCause> {
        let Some(payload) = answer.take_forwardable() else {
            return Ok(());
        };
        let chunk = HomeMessage::Chunk {
            request: self.unit.request,
            payload: payload.to_vec(),
        };
        tokio::select! {
            sent = self.link.send(chunk) => sent.map_err(|LinkClosed| UnitFailureCause::FrontLost),
            () = sleep_until(self.deadline) => Err(UnitFailureCause::DeadlineExceeded),
        }
    }

    fn finish(&self, mut answer: AnswerBuffer, end: PlanEnd) -> UnitAnswer {
        let synced = end.transaction.is_some();
        let completed = answer.completed_command() || self.unsynced.completed_command;
        let transaction = end.transaction.unwrap_or(TransactionState::Unsynced);
        let rolled_back = answer.rolled_back() && !self.unsynced.completed_command;
        let ended_transaction = transaction == TransactionState::Idle && completed;
        UnitAnswer {
            transaction,
            may_have_committed: answer.committed_inside() || ended_transaction && !rolled_back,
            held_back: answer.take_rest(),
            answered: Instant::now(),
            unsynced: Unsynced {
                completed_command: !synced && completed,
                skipping: end.skipping,
            },
        }
    }
}

/// What a running unit waits for.
enum Event {
    BackEnd(Box<Result<PgWireBackendMessage, BackEndError>>),
    Front(Result<FrontMessage, LinkClosed>),
    Replaced(Term),
    Deadline,
}

#[derive(Debug, Default)]
struct Progress {
    sent: bool,
}

struct PlanEnd {
    transaction: Option<TransactionState>,
    skipping: bool,
}

/// Resolves once a term after `term` is known; never where there is none to watch.
async fn later_term(state: &mut watch::Receiver<GroupState>, term: Option<Term>) -> Term {
    let Some(term) = term else {
        return std::future::pending().await;
    };
    wait_for_state(state, |state| {
        Some(state.highest_term()).filter(|highest| *highest > term)
    })
    .await
}

fn transaction_state(status: TransactionStatus) -> TransactionState {
    match status {
        TransactionStatus::Idle => TransactionState::Idle,
        TransactionStatus::Transaction => TransactionState::InTransaction,
        TransactionStatus::Error => TransactionState::Failed,
    }
}

fn lost(error: BackEndError) -> UnitFailureCause {
    UnitFailureCause::BackEndLost(error.to_string())
}

/// Whether the back end ends the connection with this error, so that what it was
/// doing may or may not have been done.
fn is_fatal(error: &ErrorResponse) -> bool {
    let severity = field(error, FIELD_SEVERITY).or_else(|| field(error, b'S'));
    matches!(severity, Some("FATAL" | "PANIC"))
}

fn describe(error: &ErrorResponse) -> String {
    let code = field(error, FIELD_CODE).unwrap_or("unknown");
    let message = field(error, b'M').unwrap_or("no message");
    format!("{message} ({code})")
}

fn field(error: &ErrorResponse, name: u8) -> Option<&str> {
    let mut fields = error.fields.iter();
    fields
        .find(|(field, _)| *field == name)
        .map(|(_, text)| text.as_str())
}
