//! Runs one unit on a back-end connection and forwards the answer.

use super::answer::AnswerBuffer;
use super::link::{FrontLink, LinkClosed};
use super::pool::TermConnection;
use super::state::{GroupState, Primary, wait_for_state};
use crate::domain::exchange::{FrontMessage, HomeMessage, RunUnit, TransactionState};
use crate::domain::names::RequestId;
use crate::ports::back_end::{AnswerPart, BackEndError, SendError};
use bytes::BytesMut;
use futures::FutureExt;
use stilequay_coordination::position::Term;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// How to run a unit.
pub struct UnitRun<'a, L> {
    /// The front's end of the exchange.
    pub link: &'a mut L,
    /// Where the unit runs.
    pub connection: &'a mut TermConnection,
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

impl UnitFailureCause {
    /// Whether nothing of the unit was sent.
    fn is_before_sending(&self) -> bool {
        matches!(self, Self::Malformed(_))
    }
}

impl<L: FrontLink> UnitRun<'_, L> {
    /// Sends the unit and forwards its answer, except what must be held back.
    pub async fn run(mut self) -> Result<UnitAnswer, UnitFailure> {
        let mut answer = AnswerBuffer::new(self.primary.is_some());
        match self.exchange_messages(&mut answer).await {
            Ok(end) => Ok(self.finish(answer, end)),
            Err(cause) => Err(UnitFailure {
                sent: !cause.is_before_sending(),
                cause,
                forwarded: answer.has_forwarded(),
            }),
        }
    }

    async fn exchange_messages(
        &mut self,
        answer: &mut AnswerBuffer,
    ) -> Result<AnswerEnd, UnitFailureCause> {
        self.send_unit().await?;
        loop {
            match self.next_part(answer).await? {
                AnswerPart::Message { payload, command } => answer.push(&payload, command),
                AnswerPart::End {
                    transaction,
                    skipping,
                } => {
                    return Ok(AnswerEnd {
                        transaction,
                        skipping,
                    });
                }
            }
            if answer.held_back_len() > self.held_back_bytes {
                return Err(UnitFailureCause::TooLongToHoldBack);
            }
            if answer.is_chunk_full() {
                self.forward(answer).await?;
            }
        }
    }

    async fn send_unit(&mut self) -> Result<(), UnitFailureCause> {
        let sending = self
            .connection
            .back_end
            .send(self.unit, self.unsynced.skipping);
        tokio::select! {
            result = sending => result.map_err(UnitFailureCause::from),
            () = sleep_until(self.deadline) => Err(UnitFailureCause::DeadlineExceeded),
        }
    }

    /// The next part of the answer, which is waited for only after what the caller may
    /// see has been forwarded.
    async fn next_part(
        &mut self,
        answer: &mut AnswerBuffer,
    ) -> Result<AnswerPart, UnitFailureCause> {
        if let Some(part) = self.connection.back_end.receive().now_or_never() {
            return Ok(part?);
        }
        self.forward(answer).await?;
        loop {
            match self.next_event().await {
                Event::BackEnd(part) => return Ok(part?),
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
            part = self.connection.back_end.receive() => Event::BackEnd(part),
            message = self.link.receive() => Event::Front(message),
            later = later_term(&mut self.state, term) => Event::Replaced(later),
            () = sleep_until(self.deadline) => Event::Deadline,
        }
    }

    async fn cancel(&self, request: RequestId) {
        if request == self.unit.request {
            self.connection.back_end.cancel().await;
        }
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

    fn finish(&self, mut answer: AnswerBuffer, end: AnswerEnd) -> UnitAnswer {
        let synced = end.transaction != TransactionState::Unsynced;
        let completed = answer.completed_command() || self.unsynced.completed_command;
        let rolled_back = answer.rolled_back() && !self.unsynced.completed_command;
        let ended_transaction = end.transaction == TransactionState::Idle && completed;
        UnitAnswer {
            transaction: end.transaction,
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
    BackEnd(Result<AnswerPart, BackEndError>),
    Front(Result<FrontMessage, LinkClosed>),
    Replaced(Term),
    Deadline,
}

/// What the end of an answer tells.
struct AnswerEnd {
    transaction: TransactionState,
    skipping: bool,
}

impl From<BackEndError> for UnitFailureCause {
    fn from(error: BackEndError) -> Self {
        Self::BackEndLost(error.to_string())
    }
}

impl From<SendError> for UnitFailureCause {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Malformed(reason) => Self::Malformed(reason),
            SendError::Lost(reason) => Self::BackEndLost(reason),
        }
    }
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
