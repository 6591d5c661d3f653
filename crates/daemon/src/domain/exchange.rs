//! Messages of the data path between the daemon that a caller asked (the front)
//! and the daemon that holds the back-end connections of a group (the home).
//!
//! One exchange serves one caller at a time. It carries any number of units, one
//! at a time: a unit is a simple query, or extended-query messages up to and
//! with Sync or Flush. Between [`FrontMessage::Open`] and
//! [`FrontMessage::Release`] the home may keep one back-end connection for the
//! exchange; after `Release` the same transport connection can carry another.

use super::names::{GroupName, MemberName, RequestId, ServiceName, SessionName};
use super::verdict::RequestFailure;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use stilequay_coordination::position::Floor;

/// Version of the messages; both sides must have the same one.
pub const EXCHANGE_VERSION: u16 = 2;

/// What a front sends to a home.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FrontMessage {
    /// First message on a transport connection.
    Hello {
        /// [`EXCHANGE_VERSION`] of the sender.
        version: u16,
    },
    /// Begins an exchange for one caller.
    Open(OpenExchange),
    /// Runs one unit.
    Run(RunUnit),
    /// Asks the back end to cancel the unit in progress.
    Cancel {
        /// The unit's request.
        request: RequestId,
    },
    /// Ends the exchange; the back-end connection may be shared again if it is clean.
    Release,
}

/// Begins an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenExchange {
    /// The database group asked for.
    pub group: GroupName,
    /// The service the caller authenticated as.
    pub service: ServiceName,
    /// The session, where the caller named one.
    pub session: Option<SessionName>,
}

/// One unit to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunUnit {
    /// The caller's request.
    pub request: RequestId,
    /// What the unit needs of a member.
    pub access: Access,
    /// How long the home may spend, from receipt.
    pub time_left: Duration,
    /// Whether the unit makes session state, so that the connection must be held
    /// until the exchange is released, and closed then.
    pub makes_session_state: bool,
    /// Statements that the payload refers to by name; the home prepares those
    /// that its connection lacks.
    pub statements: Vec<PreparedStatement>,
    /// Encoded PostgreSQL front-end messages.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}

/// What a unit needs of the member that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// Only reads: any member that is fresh enough.
    Read(Freshness),
    /// May write: the primary of the highest confirmed term.
    Write,
}

/// How fresh a member must be for a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// Everything acknowledged before the read arrived.
    Barrier,
    /// At least this floor.
    AtLeast(Floor),
    /// The floor that the homes keep for the named session, else a barrier.
    SessionFloor,
    /// Any member within the bounds, also while there is no primary.
    BoundedStaleness {
        /// Greatest age of the member's state.
        max_age: Duration,
        /// Greatest distance in log bytes.
        max_bytes: u64,
        /// Answer although no member is within the bounds.
        answer_beyond: bool,
    },
}

/// A prepared statement, named by a hash of its content so that connections can be shared.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PreparedStatement {
    /// The name used in the payload.
    pub name: String,
    /// The statement's text.
    pub text: String,
    /// Type object ids of the parameters as the caller gave them.
    pub parameter_types: Vec<u32>,
}

/// What a home sends to a front.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HomeMessage {
    /// Answer to [`FrontMessage::Hello`].
    Hello {
        /// [`EXCHANGE_VERSION`] of the sender.
        version: u16,
    },
    /// Part of a unit's answer, in order.
    Chunk {
        /// The unit's request.
        request: RequestId,
        /// Encoded PostgreSQL back-end messages.
        #[serde(with = "serde_bytes")]
        payload: Vec<u8>,
    },
    /// The unit's whole answer has been sent, and a write is confirmed.
    Done(UnitDone),
    /// The unit failed outside of the back end. The exchange is over: the home
    /// has closed or returned the back-end connection.
    Failed {
        /// The unit's request.
        request: RequestId,
        /// What became of it.
        failure: RequestFailure,
    },
}

/// The end of a unit's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitDone {
    /// The unit's request.
    pub request: RequestId,
    /// The back end's transaction state after the unit.
    pub transaction: TransactionState,
    /// The floor after a write, for the session's next reads.
    pub floor: Option<Floor>,
    /// The member that ran the unit.
    pub served_by: ServedBy,
}

/// A back end's transaction state, as its ReadyForQuery tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionState {
    /// Not in a transaction.
    Idle,
    /// In a transaction.
    InTransaction,
    /// In a failed transaction.
    Failed,
    /// The unit ended without Sync: the state is not known.
    Unsynced,
}

/// The member that ran a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedBy {
    /// The member.
    pub member: MemberName,
    /// Whether it ran the unit as the primary.
    pub as_primary: bool,
}
