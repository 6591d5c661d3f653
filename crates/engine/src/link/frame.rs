//! The frames of the link protocol between processes.

use crate::decoding::{self, DecodeError};
use crate::encoding;
use crate::names::{DatabaseName, GroupName, MemberId, RequestId, TenantName};
use crate::ports::{Answer, DeclaredState, DeclaredVersions, GroupSnapshot, Record};
use crate::position::LogPosition;
use crate::rate::counter::{PermitReply, Shard};
use crate::statement::{Access, PreparedStatement};
use crate::version::StoreVersion;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use stilequay_coordination::lease::LeaseRecord;

/// Identifies a request and its answer; unique on one link.
pub type ExchangeId = u64;
/// Identifies a unit: a single statement or a transaction, which holds one connection to the
/// member until it ends. Unique on one link.
pub type UnitId = u64;

/// A frame from the process that opened the link to the process that serves it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToHome {
    /// Runs a command on a member.
    Run(Box<RunRequest>),
    /// Abandons a unit; an open transaction is rolled back.
    Close(UnitId),
    /// Queries the peer's view of a group.
    Ask {
        /// The request.
        exchange: ExchangeId,
        /// The group.
        group: GroupName,
        /// Which part of the view has to be fresh.
        wanted: RequiredFreshness,
    },
    /// Long-polls for updates from the store.
    Follow {
        /// The request.
        exchange: ExchangeId,
        /// The versions that the requester has.
        known: FollowedVersions,
        /// How long the peer may hold the request while there is nothing newer.
        wait: Duration,
    },
    /// Requests a permit for one operation.
    Draw {
        /// The request.
        exchange: ExchangeId,
        /// The shard of the tenant's limit.
        shard: Shard,
        /// The tenant.
        tenant: TenantName,
        /// Whether to consume a permit; otherwise only asks whether the peer counts the shard.
        takes: bool,
    },
    /// Asks the peer to prepare to count a shard of the rate limits, because its current counter
    /// is about to go away.
    Want(Shard),
    /// Announces the lease of a shard of the rate limits that its counter has just written.
    CounterLease {
        /// The shard.
        shard: Shard,
        /// The lease as stored.
        record: Box<LeaseRecord>,
    },
    /// Announces the promotion lease that its holder has just written.
    PromotionLease(Box<LeaseRecord>),
    /// Asks the holder of the promotion lease for the version of the newest term record.
    AskNewestTerm {
        /// The request.
        exchange: ExchangeId,
    },
    /// Checks that the peer is alive.
    Ping,
}

/// Which part of a group's state has to be fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequiredFreshness {
    /// Evidence for the leader's term.
    Evidence,
    /// Evidence for the leader's term that the home may fetch from the store if it has to.
    StoreEvidence,
    /// A log position that covers all commits up to a recent time.
    Position,
}

/// A command with its routing and admission parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The unit; an id that was not used before begins a new one.
    pub unit: UnitId,
    /// The request.
    pub exchange: ExchangeId,
    /// The member that runs it.
    pub member: MemberId,
    /// The session's database.
    pub database: DatabaseName,
    /// The tenant on whose behalf it runs; passed on to the member.
    pub tenant: Option<TenantName>,
    /// The route's priority; 0 is the highest.
    pub rank: u32,
    /// How long it may wait in a standing queue, one that doesn't drain.
    pub patience: Duration,
    /// Upper bound of the wait for a connection.
    pub wait: Duration,
    /// The session variables.
    pub values: BTreeMap<Bytes, Bytes>,
    /// The command.
    pub command: HomeCommand,
}

/// A self-contained command: a home can run it on any of its connections to the member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeCommand {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
        /// The log position that the member must have reached.
        after: Option<LogPosition>,
    },
    /// Commits.
    Commit {
        /// The caller's request.
        id: RequestId,
    },
    /// Rolls back.
    Rollback,
    /// Runs a statement text.
    Run {
        /// The caller's request.
        id: RequestId,
        /// The complete text.
        text: Bytes,
        /// Whether it can change data.
        access: Access,
        /// The log position that the member must have reached.
        after: Option<LogPosition>,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's request.
        id: RequestId,
        /// The statement.
        prepared: PreparedStatement,
        /// The caller's arguments, unchanged.
        arguments: Bytes,
        /// The log position that the member must have reached.
        after: Option<LogPosition>,
    },
}

/// Versions of the store's data that a process has; zero for data that it doesn't have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowedVersions {
    /// The versions of the configuration, the member directory and the evacuated zones.
    pub declared: DeclaredVersions,
    /// The fleet's records.
    pub records: u64,
}

/// The store's version up to which a process has all changes of each feed; zero for a feed that
/// was never read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FeedVersions {
    /// The version of the operator's documents.
    pub configuration: u64,
    /// The version of the members' directory entries.
    pub directory: u64,
    /// The version of the fleet's records.
    pub records: u64,
}

/// Updates from the store, relayed by a process that has them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreUpdates {
    /// Age of the time as of which the relaying process had all changes; `None` if it can't reach
    /// the store at the moment. Measured when the request arrived, which is after it was sent.
    pub age: Option<Duration>,
    /// Whether the relaying process has just started and is still loading its state.
    pub is_starting: bool,
    /// The store's versions as of which the updates are complete.
    pub feeds: FeedVersions,
    /// The changed configuration, members and evacuated zones.
    pub declared: DeclaredState,
    /// The changed records of the fleet.
    pub records: Vec<Record>,
    /// The version of the records.
    pub records_version: u64,
    /// The time as of which the records are complete, in ms after the request arrived; negative
    /// if before.
    pub records_complete_after_ms: Option<i64>,
}

impl HomeCommand {
    /// The caller's request, if the command belongs to one.
    pub fn id(&self) -> Option<&RequestId> {
        match self {
            HomeCommand::Begin { .. } | HomeCommand::Rollback => None,
            HomeCommand::Commit { id }
            | HomeCommand::Run { id, .. }
            | HomeCommand::Execute { id, .. } => Some(id),
        }
    }
}

/// A frame from the process that serves the link to the process that opened it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromHome {
    /// The outcome of a command.
    Ran {
        /// The request.
        exchange: ExchangeId,
        /// The outcome.
        outcome: HomeOutcome,
    },
    /// The peer's view of a group.
    Beliefs {
        /// The request.
        exchange: ExchangeId,
        /// A snapshot of the group; empty if the group is unknown.
        beliefs: Vec<GroupSnapshot>,
    },
    /// Updates from the store.
    News {
        /// The request.
        exchange: ExchangeId,
        /// The updates.
        news: Box<StoreUpdates>,
    },
    /// The answer to a permit request.
    Drawn {
        /// The request.
        exchange: ExchangeId,
        /// Whether the permit was granted, and if not, why.
        drawn: PermitReply,
    },
    /// The version of the newest term record, as known by the holder of the promotion lease.
    NewestTerm {
        /// The request.
        exchange: ExchangeId,
        /// The version of the newest term record; `None` if the peer doesn't hold the lease.
        version: Option<StoreVersion>,
    },
    /// A part of an encoded answer that is too long for one frame.
    Part {
        /// The request.
        exchange: ExchangeId,
        /// The bytes of this part.
        bytes: Bytes,
        /// Whether this is the last part.
        is_last: bool,
    },
    /// The answer to a ping.
    Pong,
    /// The peer is shutting down and accepts no new units.
    Leaving,
}

/// The outcome of a command at a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeOutcome {
    /// The member answered.
    Answered(Answer),
    /// The command was not sent to the member.
    NotSent(NotSent),
    /// The connection failed after the command was sent.
    Lost(String),
}

/// Why a command was not sent to the member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotSent {
    /// No connection became free in time.
    Exhausted,
    /// The queue is so long that another request would miss its deadline.
    Shed {
        /// How long to wait before a retry.
        retry_after: Duration,
    },
    /// The member is in slow start and its current budget is used up.
    SlowStart {
        /// How long to wait before a retry.
        retry_after: Duration,
    },
    /// The member is unreachable or must no longer be used.
    Unreachable(String),
    /// The home doesn't know the member, because it has just started or lags behind the store.
    UnknownMember,
    /// The home must not send to the member, or can't determine whether it may.
    MayNotSend(String),
    /// The home's configuration excludes the member's region.
    OutsideRegions,
}

/// A frame of one direction of a link.
pub trait Frame: Serialize {
    /// The value of the `frame` label in metrics.
    fn kind(&self) -> &'static str;
}

impl Frame for ToHome {
    fn kind(&self) -> &'static str {
        match self {
            ToHome::Run(_) => "run",
            ToHome::Close(_) => "close",
            ToHome::Ask { .. } => "ask",
            ToHome::Follow { .. } => "follow",
            ToHome::Draw { .. } => "draw",
            ToHome::Want(_) => "want",
            ToHome::CounterLease { .. } => "counter_lease",
            ToHome::PromotionLease(_) => "promotion_lease",
            ToHome::AskNewestTerm { .. } => "ask_newest_term",
            ToHome::Ping => "ping",
        }
    }
}

impl Frame for FromHome {
    fn kind(&self) -> &'static str {
        match self {
            FromHome::Ran { .. } => "ran",
            FromHome::Beliefs { .. } => "beliefs",
            FromHome::News { .. } => "news",
            FromHome::Drawn { .. } => "drawn",
            FromHome::NewestTerm { .. } => "newest_term",
            FromHome::Part { .. } => "part",
            FromHome::Pong => "pong",
            FromHome::Leaving => "leaving",
        }
    }
}

/// Maximum number of bytes of an answer in one frame. The link of a slow machine transfers this
/// much in about 15 ms, so the requester sees progress and other answers can be interleaved.
const PART_BYTES: usize = 32 * 1_024;

/// Encodes the answer to `exchange`, split into [`FromHome::Part`] frames if it is long.
pub fn encode_in_parts(exchange: ExchangeId, answer: &FromHome) -> Vec<Bytes> {
    let whole = to_bytes(answer);
    if whole.len() <= PART_BYTES {
        count(answer, &whole);
        return vec![whole];
    }
    let count = whole.len().div_ceil(PART_BYTES);
    let parts = (0..count).map(|index| {
        let start = index * PART_BYTES;
        let end = whole.len().min(start + PART_BYTES);
        encode(&FromHome::Part {
            exchange,
            bytes: whole.slice(start..end),
            is_last: index + 1 == count,
        })
    });
    parts.collect()
}

/// Encodes a frame and adds its size to the link metrics.
pub fn encode<T: Frame>(frame: &T) -> Bytes {
    let encoded = to_bytes(frame);
    count(frame, &encoded);
    encoded
}

fn to_bytes<T: Frame>(frame: &T) -> Bytes {
    encoding::without_names(frame)
}

fn count<T: Frame>(frame: &T, encoded: &Bytes) {
    let bytes = u64::try_from(encoded.len()).unwrap_or(u64::MAX);
    metrics::counter!("stilequay_link_bytes_total", "frame" => frame.kind()).increment(bytes);
}

/// Decodes a frame.
///
/// # Errors
///
/// [`DecodeError`] if it is malformed.
pub fn decode_frame<'a, T: Deserialize<'a>>(bytes: &'a Bytes) -> Result<T, DecodeError> {
    decoding::decode(bytes)
}

/// Decodes a frame; returns `None` if it is malformed.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a Bytes) -> Option<T> {
    decode_frame(bytes).ok()
}
