//! Connections to members.

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

/// What a connection is asked to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Opens a transaction.
    Begin {
        /// It is not going to write.
        read_only: bool,
        /// What the member's log must hold, else it refuses.
        after: Option<LogPosition>,
    },
    /// Commits, for a caller.
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
        /// The whole text.
        text: Bytes,
        /// Whether it can change data.
        access: Access,
        /// What the member's log must hold, else it refuses.
        after: Option<LogPosition>,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's request.
        id: RequestId,
        /// The statement's name on the connection.
        name: Bytes,
        /// The caller's arguments unchanged.
        arguments: Bytes,
        /// What the member's log must hold, else it refuses.
        after: Option<LogPosition>,
    },
    /// Sets a session value.
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
    /// Drops all session values and prepared statements.
    Reset,
}

impl Command {
    /// Whether it is a caller's statement, which a member puts in its queue.
    pub fn is_statement(&self) -> bool {
        matches!(
            self,
            Command::Run { .. } | Command::Execute { .. } | Command::Commit { .. }
        )
    }
}

/// Orders about replication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Control {
    /// Report only.
    Status,
    /// Stop receiving, in the name of a term above the newest.
    Pause(Term),
    /// Receive again.
    Resume,
    /// Give up the lead of any lower term.
    Demote(Term),
}

/// A member's answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// Rows, byte for byte.
    pub rows: Vec<Bytes>,
    /// The signature, or why the member did not complete it.
    pub outcome: Result<Bytes, Refusal>,
    /// The connection's state from here on.
    pub state: TransactionState,
    /// How far the member's log had come, if it told.
    pub position: Option<LogPosition>,
}

/// Why a member did not complete a command.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Refusal {
    /// What kind of refusal it is.
    pub kind: RefusalKind,
    /// The member's code.
    pub code: Bytes,
    /// The member's text.
    pub text: Bytes,
}

/// Kinds of refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// Its queue is full. Not run.
    Busy,
    /// The prepared name is not known on this connection. Not run.
    UnknownPrepared,
    /// Its log lacks the position asked for. Not run.
    Lagging,
    /// It does not lead. Not run.
    NotLeader,
    /// So many requests wait before it that another would be late; when to come back. Not
    /// run.
    Shed(Duration),
    /// The member is cold and takes no more now; the time until it does. Not run.
    SlowStart(Duration),
    /// Whoever was to pass it on could not reach the member. Not run.
    Unreachable,
    /// Anything else. May have run.
    Failed,
    /// Whoever was to pass it on knows of home regions that rule the member out. Not run.
    OutsideRegions,
}

/// What a member tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct MemberReport {
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// How far it has received the log.
    pub received: LogPosition,
    /// The term in whose name it is paused; zero while it receives.
    pub paused_for: Term,
}

quick_error! {
    /// A connection could not be opened. Nothing has run.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConnectError {
        /// Nobody listens there.
        Refused(reason: String) {
            display("refused: {reason}")
        }
        /// Nothing was heard in time.
        TimedOut {
            display("timed out")
        }
        /// Another member listens there, or one of another group.
        WrongMember {
            display("another member listens there")
        }
        /// It runs, and its queue is full: even a new connection takes a place there.
        Busy {
            display("its queue is full")
        }
        /// The member has all the connections that it accepts.
        TooManyConnections {
            display("too many connections")
        }
    }
}

quick_error! {
    /// A connection ended, or said what makes no sense, before the answer was complete.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BackEndConnectionError {
        /// It ended.
        Closed(reason: String) {
            display("closed: {reason}")
        }
        /// The answer breaks the protocol.
        Protocol(reason: String) {
            display("protocol violation: {reason}")
        }
        /// The member refused an order.
        Refused(reason: String) {
            display("refused: {reason}")
        }
    }
}

/// Opens connections to members.
#[async_trait]
pub trait BackEnd: Debug + Send + Sync + 'static {
    /// Connects to `member`, and to no other that may listen at its address by now. All that
    /// is asked over the connection is asked on behalf of `tenant`; without one, on behalf of
    /// this system itself or of callers of whom no tenant is known.
    async fn connect(
        &self,
        member: &Member,
        tenant: Option<&TenantName>,
    ) -> Result<Box<dyn BackEndConnection>, ConnectError>;
}

/// For whom a connection is used next, for those who put the fleet's requests in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The session's database.
    pub database: DatabaseName,
    /// The route's rank; 0 is the highest.
    pub rank: u32,
    /// How long a request may wait in a queue that stands.
    pub patience: Duration,
    /// Until when a request may wait at all.
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

/// One connection. A call that is dropped before it ends leaves the connection unusable;
/// whoever drops it must drop the connection too.
#[async_trait]
pub trait BackEndConnection: Debug + Send + Sync + 'static {
    /// Runs one command and reads its answer to the end.
    async fn run(&mut self, command: &Command) -> Result<Answer, BackEndConnectionError>;
    /// Carries out an order about replication.
    async fn control(&mut self, control: Control) -> Result<MemberReport, BackEndConnectionError>;
    /// Whether the far end has neither closed it nor said anything unasked.
    fn is_open(&mut self) -> bool;
    /// Takes for whom it is used next. A connection of this process's own needs not know.
    fn admit(&mut self, _admission: Admission) {}
    /// Waits until the next statement may be sent, where the member is cold. Where it is not
    /// sent soon after, or this is not called, sending it may wait.
    ///
    /// # Errors
    ///
    /// The time until one may be sent, where that is after `until`.
    async fn pace(&mut self, _until: Instant) -> Result<(), Duration> {
        Ok(())
    }
}
