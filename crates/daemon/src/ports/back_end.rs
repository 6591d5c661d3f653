//! How a home reaches the members of a group.
//!
//! What a unit says is for the adapter alone: the application passes its payload on, and
//! learns of the answer what it has to decide on.

use crate::domain::exchange::{RunUnit, TransactionState};
use crate::domain::member::MemberReport;
use crate::domain::names::MemberName;
use crate::domain::resource::DatabaseGroupSpec;
use async_trait::async_trait;
use bytes::Bytes;
use quick_error::quick_error;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

/// Where and how to log in to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEndTarget {
    /// The member.
    pub member: MemberName,
    /// `ip:port`.
    pub address: String,
    /// The group that the member belongs to.
    pub group: Arc<DatabaseGroupSpec>,
}

quick_error! {
    /// Why a member could not be connected to or asked.
    #[derive(Debug)]
    pub enum BackEndError {
        /// The server's connections are all in use.
        TooManyConnections {
            display("the server has no connection left")
        }
        /// No answer in time.
        Timeout {
            display("the server did not answer in time")
        }
        /// The address in the group's resource is not one.
        InvalidAddress(address: String) {
            display("{address} is not an address")
        }
        /// The server refused, or the connection broke.
        Lost(reason: String) {
            display("{reason}")
        }
        /// The server answered something that makes no sense.
        Malformed(reason: String) {
            display("the server's answer is malformed: {reason}")
        }
    }
}

quick_error! {
    /// A unit could not be sent.
    #[derive(Debug)]
    pub enum SendError {
        /// The unit itself is malformed. Nothing of it was sent.
        Malformed(reason: String) {
            display("{reason}")
        }
        /// The connection broke. Parts of the unit may have been sent.
        Lost(reason: String) {
            display("{reason}")
        }
    }
}

/// What a completed command of a unit has done to its transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandEnd {
    /// Committed it, or prepared it for a commit in two phases.
    Committed,
    /// Rolled it back.
    RolledBack,
    /// Neither.
    Other,
}

/// A part of a unit's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerPart {
    /// Something for the caller.
    Message {
        /// Encoded for the caller.
        payload: Bytes,
        /// Set where a command has completed with it.
        command: Option<CommandEnd>,
    },
    /// The answer is whole.
    End {
        /// The transaction's state from here on.
        transaction: TransactionState,
        /// Whether the member ignores everything up to the next unit that ends in order.
        skipping: bool,
    },
}

/// Opens connections to members.
#[async_trait]
pub trait BackEnd: Debug + Send + Sync + 'static {
    /// Connects and logs in within `limit`.
    async fn connect(
        &self,
        target: &BackEndTarget,
        limit: Duration,
    ) -> Result<Box<dyn BackEndConnection>, BackEndError>;
}

/// One connection. After an error, and after a unit whose answer was not read to its
/// end, it is of no more use.
#[async_trait]
pub trait BackEndConnection: Debug + Send + Sync + 'static {
    /// Whether an idle connection still stands, as far as can be told without asking.
    fn is_quiet(&mut self) -> bool;

    /// Asks the member about itself.
    async fn probe(&mut self) -> Result<MemberReport, BackEndError>;

    /// Sends a unit. `skipping` says that an earlier one has failed without its end.
    async fn send(&mut self, unit: &RunUnit, skipping: bool) -> Result<(), SendError>;

    /// The next part of the answer to the unit sent last; cancel-safe.
    async fn receive(&mut self) -> Result<AnswerPart, BackEndError>;

    /// Whether units have left a state of their session on it.
    fn has_session_state(&self) -> bool;

    /// Asks the member, over another connection, to give up the unit in progress.
    async fn cancel(&self);
}
