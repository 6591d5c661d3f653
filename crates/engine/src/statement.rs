//! The protocol-independent requests of callers and the replies to them.

use crate::names::RequestId;
use crate::verdict::Failure;
use bytes::Bytes;
use tokio::time::Instant;

/// Whether a statement can change data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// The statement only reads.
    Read,
    /// The statement may write.
    Write,
}

/// A caller's statement. Its kind is parsed; its text is opaque and forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the caller has declared that the transaction will not write.
        read_only: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls back the open transaction.
    Rollback,
    /// Runs a query that only reads.
    Read {
        /// The full text of the statement.
        text: Bytes,
    },
    /// Runs a statement that may write.
    Write {
        /// The full text of the statement.
        text: Bytes,
    },
    /// Sets a session variable.
    Set {
        /// The name of the variable.
        name: Bytes,
        /// The value of the variable.
        value: Bytes,
    },
    /// Prepares a statement under a name that is local to the session.
    Prepare {
        /// The session-local name.
        name: Bytes,
        /// The statement to prepare.
        prepared: PreparedStatement,
    },
    /// Runs a prepared statement.
    Execute {
        /// The session-local name.
        name: Bytes,
        /// The rest of the request after the name.
        arguments: Bytes,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// The session-local name.
        name: Bytes,
    },
}

/// A prepared statement. Sessions with equal ones share a single server-side name on a pooled
/// connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct PreparedStatement {
    /// Whether executing the statement can change data.
    pub access: Access,
    /// The text of the statement without arguments, opaque to the engine.
    pub shape: Bytes,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The caller's identifier for the request.
    pub id: RequestId,
    /// The statement to run.
    pub statement: Statement,
    /// When the request was completely read. Staleness and deadlines are measured from here.
    pub received: Instant,
}

/// The transaction state of a session or a connection between two statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed; it can only be ended.
    Failed,
}

/// The reply to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The rows, byte for byte as the member sent them.
    pub rows: Vec<Bytes>,
    /// The member's signature, `None` if the engine answered without a member; or the failure.
    pub outcome: Result<Option<Bytes>, Failure>,
    /// The transaction state of the session after the request.
    pub state: TransactionState,
}
