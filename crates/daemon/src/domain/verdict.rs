//! Whether a request may have run, and how that is told to a caller.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;
use stilequay_engine::verdict::FailureReason;

pub use stilequay_engine::verdict::Verdict;

/// Why a request got no regular answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FailureKind {
    /// No primary is known, or none confirmed itself in time.
    NoPrimary,
    /// No member is fresh enough for the session within the deadline.
    NoFreshMember,
    /// A limit was reached: connections, requests in flight, queue length or time.
    Overloaded,
    /// The daemon or the home is leaving.
    ShuttingDown,
    /// The home of the group can't be reached.
    HomeUnreachable,
    /// The back-end connection was lost or could not be opened.
    BackEndUnreachable,
    /// A later term was seen before the outcome was confirmed.
    PrimaryReplaced,
    /// The deadline passed.
    DeadlineExceeded,
    /// The group, service or right asked for does not exist.
    NotPermitted,
    /// The request asks for what the proxy does not do.
    Unsupported,
    /// The other side broke the protocol, or a frame was over its limit.
    ProtocolViolation,
    /// The caller asked for cancellation.
    Cancelled,
}

impl FailureKind {
    /// The engine's name for it, in events.
    pub fn reason(self) -> FailureReason {
        match self {
            Self::NoPrimary => FailureReason::NoLeader,
            Self::NoFreshMember => FailureReason::NoFreshMember,
            Self::Overloaded => FailureReason::Overloaded,
            Self::ShuttingDown => FailureReason::ShuttingDown,
            Self::HomeUnreachable => FailureReason::HomeUnreachable,
            Self::BackEndUnreachable => FailureReason::ConnectionLost,
            Self::PrimaryReplaced => FailureReason::LeaderReplaced,
            Self::DeadlineExceeded => FailureReason::AnswerTimedOut,
            Self::NotPermitted => FailureReason::NotPermitted,
            Self::Unsupported => FailureReason::Unsupported,
            Self::ProtocolViolation => FailureReason::ProtocolViolation,
            Self::Cancelled => FailureReason::Cancelled,
        }
    }
}

/// A request's failure, as carried between daemons and shown to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestFailure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it failed.
    pub kind: FailureKind,
    /// Text for people, without secrets.
    pub message: String,
    /// When to come back, where that can be told.
    pub retry_after: Option<Duration>,
}

/// SQLSTATE for an outcome that is not known: `transaction_resolution_unknown`.
pub const SQLSTATE_MAY_HAVE_RUN: &str = "08007";

impl RequestFailure {
    /// A failure of a request that was not run.
    pub fn not_run(kind: FailureKind, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// A failure of a request whose outcome is not known.
    pub fn may_have_run(kind: FailureKind, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Adds when to come back.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// The SQLSTATE shown to the caller.
    ///
    /// `08007` whenever the request may have run; otherwise a code that says the
    /// request was not run.
    pub fn sqlstate(&self) -> &'static str {
        if self.verdict != Verdict::NotRun {
            return SQLSTATE_MAY_HAVE_RUN;
        }
        match self.kind {
            FailureKind::NoPrimary | FailureKind::NoFreshMember => "57P03",
            FailureKind::PrimaryReplaced | FailureKind::BackEndUnreachable => "57P03",
            FailureKind::HomeUnreachable => "57P03",
            FailureKind::Overloaded => "53300",
            FailureKind::ShuttingDown => "57P01",
            FailureKind::DeadlineExceeded | FailureKind::Cancelled => "57014",
            FailureKind::NotPermitted => "42501",
            FailureKind::Unsupported => "0A000",
            FailureKind::ProtocolViolation => "08P01",
        }
    }
}

impl fmt::Display for RequestFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?} ({:?}): {}",
            self.verdict, self.kind, self.message
        )
    }
}

impl std::error::Error for RequestFailure {}
