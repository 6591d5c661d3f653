//! The interface to back ends: connections to the members of groups.

use crate::directory::{Member, Role};
use crate::names::{DatabaseName, RequestId, TenantName};
use crate::position::{LogPosition, Term};
use crate::statement::{Access, PreparedStatement, TransactionState};
use async_trait::async_trait;
use bytes::Bytes;
use quick_error::quick_error;
use std::fmt::Debug;
use std::time::Duration;
use tokio::time::Instant;

/// A command for a connection to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
        /// The log position that the member must have reached; otherwise it refuses.
        after: Option<LogPosition>,
    },
    /// Commits on behalf of a caller.
    Commit {
        /// The caller's request.
        id: RequestId,
    },
    /// Rolls back.
    Rollback,
    /// Runs a caller's text unchanged.
    Run {
        /// The caller's request.
        id: RequestId,
        /// The complete text.
        text: Bytes,
        /// Whether it can change data.
        access: Access,
        /// The log position that the member must have reached; otherwise it refuses.
        after: Option<LogPosition>,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's request.
        id: RequestId,
        /// The statement's name on the connection.
        name: Bytes,
        /// The caller's arguments, unchanged.
        arguments: Bytes,
        /// The log position that the member must have reached; otherwise it refuses.
        after: Option<LogPosition>,
    },
    /// Sets a session variable.
    Set {
        /// Its name.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// Its name on the connection.
        name: Bytes,
        /// The statement.
        prepared: PreparedStatement,
    },
    /// Drops all session variables and prepared statements.
    Reset,
}

impl Command {
    /// Whether it is a caller's statement, which the member queues.
    pub fn is_statement(&self) -> bool {
        matches!(
            self,
            Command::Run { .. } | Command::Execute { .. } | Command::Commit { .. }
        )
    }
}

/// Replication control commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Control {
    /// Only report the status.
    Status,
    /// Stop receiving the log on behalf of this term, which is above the newest one.
    Pause(Term),
    /// Resume receiving the log.
    Resume,
    /// Step down as leader of any term below this one.
    Demote(Term),
}

/// A member's answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// The rows, unchanged.
    pub rows: Vec<Bytes>,
    /// The signature, or why the member did not complete the command.
    pub outcome: Result<Bytes, Refusal>,
    /// The transaction state of the connection after the command.
    pub state: TransactionState,
    /// The member's log position, if reported.
    pub position: Option<LogPosition>,
}

/// Why a member did not complete a command.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Refusal {
    /// The kind of refusal.
    pub kind: RefusalKind,
    /// The member's error code.
    pub code: Bytes,
    /// The member's error text.
    pub text: Bytes,
}

/// Kinds of refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The member's queue is full. Not run.
    Busy,
    /// The prepared statement is unknown on this connection. Not run.
    UnknownPrepared,
    /// The member's log has not reached the requested position. Not run.
    Lagging,
    /// The member is not the leader. Not run.
    NotLeader,
    /// The queue is so long that the request would miss its deadline; carries the time to wait
    /// before a retry. Not run.
    Shed(Duration),
    /// The member is in slow start and its budget is used up; carries the time until more is
    /// available. Not run.
    SlowStart(Duration),
    /// The forwarding process could not reach the member. Not run.
    Unreachable,
    /// Any other failure. May have run.
    Failed,
    /// The forwarding process knows home regions that exclude the member. Not run.
    OutsideRegions,
}

/// A member's status report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct MemberReport {
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The last log position that it has received.
    pub received: LogPosition,
    /// The term on whose behalf it is paused; zero while it receives.
    pub paused_for: Term,
}

quick_error! {
    /// Why a connection could not be opened. Nothing has run.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConnectError {
        /// The connection was refused.
        Refused(reason: String) {
            display("refused: {reason}")
        }
        /// The attempt timed out.
        TimedOut {
            display("timed out")
        }
        /// A different member listens at the address, possibly of another group.
        WrongMember {
            display("another member listens there")
        }
        /// The member is running, but its queue is full. Opening a connection takes a queue slot
        /// too.
        Busy {
            display("its queue is full")
        }
        /// The member has reached its connection limit.
        TooManyConnections {
            display("too many connections")
        }
    }
}

quick_error! {
    /// Why a connection failed before the answer was complete.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BackEndConnectionError {
        /// The connection was closed.
        Closed(reason: String) {
            display("closed: {reason}")
        }
        /// The answer violates the protocol.
        Protocol(reason: String) {
            display("protocol violation: {reason}")
        }
        /// The command was refused by the member, or may not be sent to it.
        Refused(reason: String) {
            display("refused: {reason}")
        }
    }
}

/// Opens connections to members.
#[async_trait]
pub trait BackEnd: Debug + Send + Sync + 'static {
    /// Connects to `member`; fails if a different member listens at its address by now. All
    /// commands on the connection run on behalf of `tenant`. Without a tenant they run on behalf of
    /// the proxy itself or of callers without a known tenant.
    async fn connect(
        &self,
        member: &Member,
        tenant: Option<&TenantName>,
    ) -> Result<Box<dyn BackEndConnection>, ConnectError>;
}

/// Parameters of the next use of a connection, for scheduling among the requests of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The session's database.
    pub database: DatabaseName,
    /// The route's priority; 0 is the highest.
    pub rank: u32,
    /// How long a request may wait in a standing queue, one that doesn't drain.
    pub patience: Duration,
    /// Latest time until which a request may wait.
    pub until: Instant,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            database: DatabaseName::from(""),
            rank: 0,
            patience: Duration::ZERO,
            until: Instant::now(),
        }
    }
}

/// A connection to a member. Dropping a call before it completes leaves the connection unusable;
/// the caller must then drop the connection too.
#[async_trait]
pub trait BackEndConnection: Debug + Send + Sync + 'static {
    /// Runs one command and reads its complete answer.
    async fn run(&mut self, command: &Command) -> Result<Answer, BackEndConnectionError>;
    /// Runs a replication control command.
    async fn control(&mut self, control: Control) -> Result<MemberReport, BackEndConnectionError>;
    /// Whether the connection is usable: the member has neither closed it nor sent unsolicited
    /// data.
    fn is_open(&mut self) -> bool;
    /// Sets the parameters of the next use. Direct connections ignore them, since they concern only
    /// the queue at a home.
    fn admit(&mut self, _admission: Admission) {}
    /// Waits until the next statement may be sent to a member in slow start. If the statement isn't
    /// sent soon afterwards, or this wasn't called, sending it may wait instead.
    ///
    /// # Errors
    ///
    /// Returns the time until a statement may be sent if that is after `until`.
    async fn pace(&mut self, _until: Instant) -> Result<(), Duration> {
        Ok(())
    }
}
