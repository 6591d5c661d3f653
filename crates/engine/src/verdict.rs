//! What a caller is told of a request that has not succeeded.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Whether a request that got no regular answer has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Nothing of it is kept, and nothing will be. This is a promise: no byte of it reached
    /// a member, or the member itself refused it before running it.
    NotRun,
    /// It may have run, or may still run.
    MayHaveRun,
    /// It has run; its answer is not available.
    Ran,
}

impl Verdict {
    /// Its name in metrics and events.
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
    /// No route leads from the database that was asked for.
    UnknownDatabase,
    /// No configuration has been read yet.
    NotStarted,
    /// The credential is no tenant's.
    UnknownCredential,
    /// The configuration in use may no longer be the newest: this process has not heard of the
    /// store for too long to serve by it.
    ConfigurationOutdated,
    /// The tenant has asked for as much as it may.
    RateLimited,
    /// No process that counts the tenant's requests could be asked.
    RateUnknown,
    /// No leader is known or usable now.
    NoLeader,
    /// The group's servers stand in zones that are evacuated, or the one that would have to run
    /// it does and no other can lead.
    ZoneEvacuated,
    /// No member that could run it stands in a home region of its route and tenant.
    OutsideHomeRegions,
    /// No replica receives commits: none would be acknowledged.
    NoReplica,
    /// No member that is fresh enough can be reached.
    NoFreshMember,
    /// Members or the queue before them are full.
    Overloaded,
    /// The transaction could not go on and was rolled back.
    TransactionLost,
    /// A transaction rested for longer than allowed and was rolled back.
    IdleTransaction,
    /// This process is stopping.
    ShuttingDown,
    /// The member's answer did not come in time.
    AnswerTimedOut,
    /// The connection ended before the member's answer.
    ConnectionLost,
    /// The name was never prepared in this session.
    UnknownPrepared,
    /// The statement makes no sense in the session's state.
    OutOfPlace,
    /// Another leader was seen before the outcome was confirmed.
    LeaderReplaced,
    /// The process that holds the group's connections can't be reached.
    HomeUnreachable,
    /// The group, service or right asked for does not exist.
    NotPermitted,
    /// The request asks for what the proxy does not do.
    Unsupported,
    /// The other side broke the protocol, or a message was over its limit.
    ProtocolViolation,
    /// The caller asked to give the request up.
    Cancelled,
    /// The member itself failed the statement after beginning to run it.
    #[serde(serialize_with = "serialize_member_failure")]
    Member(MemberFailure),
}

impl FailureReason {
    /// Its name in metrics; in events it is the same, but for a member's own failure, which
    /// is told by its code.
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

/// A member's own failure of a statement, to be passed on as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberFailure {
    /// The member's code.
    pub code: Bytes,
    /// The member's text.
    pub text: Bytes,
}

fn serialize_member_failure<S: serde::Serializer>(
    failure: &MemberFailure,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&String::from_utf8_lossy(&failure.code))
}

/// A request's failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why.
    pub reason: FailureReason,
    /// When to come back, for a request that has not run.
    pub retry_after: Option<Duration>,
}

/// Told to callers whose request met a condition that passes soon.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Failure {
    /// A failure of a request of which nothing is kept, with a time to come back.
    pub fn not_run(reason: FailureReason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: Some(DEFAULT_RETRY_AFTER),
        }
    }

    /// A failure of a request that was wrong: to repeat it makes no sense.
    pub fn rejected(reason: FailureReason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// A failure of a request whose outcome is not known.
    pub fn may_have_run(reason: FailureReason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// Sets when to come back.
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
