//! What callers ask for, and what they are answered.

use crate::names::RequestId;
use crate::verdict::Failure;
use bytes::Bytes;
use tokio::time::Instant;

/// Whether a statement can change data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// A caller's statement: its meaning is typed, its text is opaque and passed on unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// The transaction is not going to write.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads.
    Read {
        /// The whole text.
        text: Bytes,
    },
    /// Writes.
    Write {
        /// The whole text.
        text: Bytes,
    },
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The session's name for it.
        name: Bytes,
        /// What it does.
        prepared: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// The session's name for it.
        name: Bytes,
        /// Everything behind the name.
        arguments: Bytes,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The session's name for it.
        name: Bytes,
    },
}

/// A statement that was prepared: equal ones can share a name on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct PreparedStatement {
    /// Whether running it can change data.
    pub access: Access,
    /// Its shape, opaque.
    pub shape: Bytes,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The caller's name for it.
    pub id: RequestId,
    /// What is asked.
    pub statement: Statement,
    /// When it had been read in whole. Freshness is judged from here on.
    pub received: Instant,
}

/// Where a session or connection stands between two statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed; it can only be ended.
    Failed,
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Rows, byte for byte as a member sent them.
    pub rows: Vec<Bytes>,
    /// The member's signature (`None` where the engine answered itself), or the failure.
    pub outcome: Result<Option<Bytes>, Failure>,
    /// The session's state from here on.
    pub state: TransactionState,
}
