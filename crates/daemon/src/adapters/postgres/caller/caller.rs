//! One authenticated caller: reads its messages and runs its units, one at a time.

use super::builder::UnitBuilder;
use super::cancel::CancelHandle;
use super::reply::ErrorReply;
use super::socket::{CallerSocket, SocketError};
use super::statements::StatementStore;
use super::unit::{LIMIT_EXCEEDED, PROTOCOL_VIOLATION};
use crate::app::front::{AccessError, CallerSession, ServicePermit, with_return_time};
use crate::domain::exchange::TransactionState;
use crate::domain::verdict::{FailureKind, RequestFailure};
use pgwire::messages::PgWireFrontendMessage;
use std::sync::Arc;
use tokio::time::sleep;

/// SQLSTATE `idle_in_transaction_session_timeout`.
const IDLE_IN_TRANSACTION: &str = "25P03";

/// A caller's connection after its authentication.
pub(super) struct Caller {
    pub(super) socket: CallerSocket,
    pub(super) session: CallerSession,
    pub(super) statements: StatementStore,
    pub(super) builder: UnitBuilder,
    pub(super) cancel: CancelHandle,
    /// An error was answered before its Sync came: what comes until then is dropped.
    pub(super) skips_to_sync: bool,
    pub(super) _permit: ServicePermit,
}

/// How a caller's connection ends.
pub(super) enum ConnectionEnd {
    /// The caller said so.
    Terminated,
    /// The connection broke, or is not fit to say anything more.
    Gone,
    /// The caller is told why.
    Fatal(ErrorReply),
}

impl From<ErrorReply> for ConnectionEnd {
    fn from(reply: ErrorReply) -> Self {
        Self::Fatal(reply)
    }
}

impl From<AccessError> for ConnectionEnd {
    fn from(error: AccessError) -> Self {
        Self::Fatal(error.into())
    }
}

impl From<SocketError> for ConnectionEnd {
    fn from(error: SocketError) -> Self {
        let sqlstate = match &error {
            SocketError::Gone(_) => return Self::Gone,
            SocketError::Malformed(_) => PROTOCOL_VIOLATION,
            SocketError::TooLarge { .. } => LIMIT_EXCEEDED,
        };
        Self::Fatal(ErrorReply::fatal(sqlstate, error.to_string()))
    }
}

/// What woke a caller's task.
enum Event {
    Message(Result<PgWireFrontendMessage, SocketError>),
    Leaving,
    IdleInTransaction,
}

impl Caller {
    /// Serves the caller until its connection ends.
    pub(super) async fn serve(mut self: Box<Self>) {
        let end = self.run().await;
        match end {
            ConnectionEnd::Terminated => Box::pin(self.session.close()).await,
            ConnectionEnd::Gone => {}
            ConnectionEnd::Fatal(reply) => {
                log::info!(
                    service:% = self.session.service(), group:% = self.session.group(), sqlstate = reply.sqlstate;
                    "closing a caller's connection: {}", reply.message
                );
                // The held exchange is dropped first, so that its work is undone at once.
                drop(self.session);
                let message = reply.encode();
                Box::pin(self.socket.close_with(&message)).await;
            }
        }
    }

    async fn run(&mut self) -> ConnectionEnd {
        loop {
            let step = match self.next_event().await {
                // Boxed, so that the state of a running unit takes no memory while idle.
                Event::Message(Ok(message)) => Box::pin(self.take(message)).await,
                Event::Message(Err(error)) => Err(error.into()),
                Event::Leaving => Err(leaving().into()),
                Event::IdleInTransaction => Err(ErrorReply::fatal(
                    IDLE_IN_TRANSACTION,
                    "the transaction was idle for too long",
                )
                .into()),
            };
            if let Err(end) = step {
                return end;
            }
        }
    }

    /// Waits for the caller. A transaction in progress is let go on during a
    /// planned stop, but not for ever.
    async fn next_event(&mut self) -> Event {
        let in_transaction = self.session.transaction() != TransactionState::Idle;
        let front = Arc::clone(self.session.front());
        let stop = if in_transaction {
            front.cut()
        } else {
            front.leaving()
        };
        tokio::select! {
            // A stop comes first: what arrives after it is answered as not run.
            biased;
            () = stop.cancelled() => Event::Leaving,
            message = self.socket.next_message() => Event::Message(message),
            () = sleep(front.settings().idle_in_transaction()), if in_transaction => {
                Event::IdleInTransaction
            }
        }
    }

    async fn take(&mut self, message: PgWireFrontendMessage) -> Result<(), ConnectionEnd> {
        if matches!(message, PgWireFrontendMessage::Terminate(_)) {
            return Err(ConnectionEnd::Terminated);
        }
        if self.skips_to_sync && !matches!(message, PgWireFrontendMessage::Sync(_)) {
            return Ok(());
        }
        self.skips_to_sync = false;
        match self.builder.push(message, &mut self.statements)? {
            Some(unit) => self.run_unit(unit).await,
            None => Ok(()),
        }
    }
}

/// What callers are told at a planned stop; it also answers whatever they send
/// from then on.
fn leaving() -> ErrorReply {
    let failure = RequestFailure::not_run(
        FailureKind::ShuttingDown,
        "terminating connection: the proxy is being stopped",
    );
    let failure = with_return_time(failure);
    ErrorReply::of_failure(super::reply::Severity::Fatal, &failure)
}
