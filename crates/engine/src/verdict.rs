//! Failures of requests as they are reported to callers.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Whether a request that did not succeed has been run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request has had no effect and will have none. This is a guarantee: no byte of it
    /// reached a member, or the member refused it before running it.
    NotRun,
    /// The request may have run, or may still run.
    MayHaveRun,
    /// The request has run, but its answer is not available.
    Ran,
}

impl Verdict {
    /// Returns the name in metrics and events.
    pub fn name(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }
}

/// Why a request has not succeeded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// The configuration has no route for the requested database.
    UnknownDatabase,
    /// This process has not read a configuration yet.
    NotStarted,
    /// The credential does not belong to any tenant.
    UnknownCredential,
    /// The configuration in use may be outdated: for too long this process has had no proof from
    /// the store that it is the newest.
    ConfigurationOutdated,
    /// The tenant has used up its rate limit.
    RateLimited,
    /// No process that counts the tenant's requests could be reached.
    RateUnknown,
    /// No leader is known, or the known leader cannot be used.
    NoLeader,
    /// All members of the group are in evacuated zones; or the leader is, the request needs it, and
    /// no other member can take the lead.
    ZoneEvacuated,
    /// No member that could run the request is in a home region of its route and tenant.
    OutsideHomeRegions,
    /// No replica receives commits, so a commit would not be acknowledged.
    NoReplica,
    /// No reachable member is fresh enough.
    NoFreshMember,
    /// The members or the queues in front of them are full.
    Overloaded,
    /// The transaction could not continue and was rolled back.
    TransactionLost,
    /// The transaction was idle for longer than allowed and was rolled back.
    IdleTransaction,
    /// This process is shutting down.
    ShuttingDown,
    /// The member did not answer in time.
    AnswerTimedOut,
    /// The connection was lost before the member answered.
    ConnectionLost,
    /// The session has no prepared statement of this name.
    UnknownPrepared,
    /// The statement is not valid in the transaction state of the session.
    OutOfPlace,
    /// The leader was replaced before the outcome was confirmed.
    LeaderReplaced,
    /// The process that holds the connections to the group's members cannot be reached.
    HomeUnreachable,
    /// The requested group, service or permission does not exist.
    NotPermitted,
    /// The proxy does not support the request.
    Unsupported,
    /// The peer violated the protocol, or a message exceeded its size limit.
    ProtocolViolation,
    /// The caller cancelled the request.
    Cancelled,
    /// The member began to run the statement and reported an error.
    #[serde(serialize_with = "serialize_member_failure")]
    Member(MemberFailure),
}

impl FailureReason {
    /// Returns the name in metrics. Events use the same name, except for an error of a member,
    /// which is written as the member's error code.
    pub fn name(&self) -> &'static str {
        match self {
            FailureReason::UnknownDatabase => "unknown_database",
            FailureReason::NotStarted => "not_started",
            FailureReason::UnknownCredential => "unknown_credential",
            FailureReason::ConfigurationOutdated => "configuration_outdated",
            FailureReason::RateLimited => "rate_limited",
            FailureReason::RateUnknown => "rate_unknown",
            FailureReason::NoLeader => "no_leader",
            FailureReason::ZoneEvacuated => "zone_evacuated",
            FailureReason::OutsideHomeRegions => "outside_home_regions",
            FailureReason::NoReplica => "no_replica",
            FailureReason::NoFreshMember => "no_fresh_member",
            FailureReason::Overloaded => "overloaded",
            FailureReason::TransactionLost => "transaction_lost",
            FailureReason::IdleTransaction => "idle_transaction",
            FailureReason::ShuttingDown => "shutting_down",
            FailureReason::AnswerTimedOut => "answer_timed_out",
            FailureReason::ConnectionLost => "connection_lost",
            FailureReason::UnknownPrepared => "unknown_prepared",
            FailureReason::OutOfPlace => "out_of_place",
            FailureReason::LeaderReplaced => "leader_replaced",
            FailureReason::HomeUnreachable => "home_unreachable",
            FailureReason::NotPermitted => "not_permitted",
            FailureReason::Unsupported => "unsupported",
            FailureReason::ProtocolViolation => "protocol_violation",
            FailureReason::Cancelled => "cancelled",
            FailureReason::Member(_) => "member",
        }
    }
}

/// An error that a member reported for a statement, forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberFailure {
    /// The error code.
    pub code: Bytes,
    /// The error message.
    pub text: Bytes,
}

fn serialize_member_failure<S: serde::Serializer>(
    failure: &MemberFailure,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&String::from_utf8_lossy(&failure.code))
}

/// The failure of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The cause of the failure.
    pub reason: FailureReason,
    /// Delay after which to retry, for a request that has not run.
    pub retry_after: Option<Duration>,
}

/// Retry delay for requests that failed on a condition which is expected to pass soon.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Failure {
    /// Creates the failure of a request that has had no effect and may be retried after
    /// [`DEFAULT_RETRY_AFTER`].
    pub fn not_run(reason: FailureReason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: Some(DEFAULT_RETRY_AFTER),
        }
    }

    /// Creates the failure of an invalid request, which a retry would not help.
    pub fn rejected(reason: FailureReason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// Creates the failure of a request whose outcome is unknown.
    pub fn may_have_run(reason: FailureReason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// Sets the delay after which to retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {:?}", self.verdict, self.reason)
    }
}

impl std::error::Error for Failure {}
