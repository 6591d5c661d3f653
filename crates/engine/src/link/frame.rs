//! What goes over a link: to the process that serves it, and back.

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

/// One question and its answer, on one link.
pub type ExchangeId = u64;
/// What runs on one of the member's connections without a pause in which another may use
/// it: a single statement, or a transaction. Counted on each link.
pub type UnitId = u64;

/// To a home.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToHome {
    /// Run a command.
    Run(Box<RunRequest>),
    /// Nobody waits for the unit any more: roll back what is open.
    Close(UnitId),
    /// Tell what is believed of a group.
    Ask {
        /// The question.
        exchange: ExchangeId,
        /// The group.
        group: GroupName,
        /// What is to be recent.
        wanted: RequiredFreshness,
    },
    /// Tell what is newer.
    Follow {
        /// The question.
        exchange: ExchangeId,
        /// Than this.
        known: FollowedVersions,
        /// How long to wait for it.
        wait: Duration,
    },
    /// Grant a permit for one operation.
    Draw {
        /// The question.
        exchange: ExchangeId,
        /// The shard of the tenant's limit.
        shard: Shard,
        /// The tenant.
        tenant: TenantName,
        /// Whether a permit is taken; else it is asked only whether the shard is counted.
        takes: bool,
    },
    /// Be ready to count a shard of the rate limits: its counter is going to be lost.
    Want(Shard),
    /// Know the lease of a shard of the rate limits, which its counter has just written.
    CounterLease {
        /// The shard.
        shard: Shard,
        /// What the store holds of it.
        record: Box<LeaseRecord>,
    },
    /// Know the lease for promotions, which its holder has just written.
    PromotionLease(Box<LeaseRecord>),
    /// Vouch, as the holder of that lease, that no record of a term is newer than which version.
    AskNewestTerm {
        /// The question.
        exchange: ExchangeId,
    },
    /// Say something.
    Ping,
}

/// What a process needs to be recent in a home's belief.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequiredFreshness {
    /// Evidence for the leader's term.
    Evidence,
    /// The same, from the store if need be, asked of its keeper.
    StoreEvidence,
    /// A position that covers a recent moment.
    Position,
}

/// A command and for whom it is run.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunRequest {
    /// The unit: a new number begins one.
    pub unit: UnitId,
    /// The question.
    pub exchange: ExchangeId,
    /// The member that is to run it.
    pub member: MemberId,
    /// The session's database.
    pub database: DatabaseName,
    /// On whose behalf it is run; the member is told this one.
    pub tenant: Option<TenantName>,
    /// The route's rank.
    pub rank: u32,
    /// How long it may wait in a queue that stands.
    pub patience: Duration,
    /// How long it may wait for a connection at all.
    pub wait: Duration,
    /// The session's values.
    pub values: BTreeMap<Bytes, Bytes>,
    /// The command.
    pub command: HomeCommand,
}

/// A command as a home gets it: whole, so that any connection will do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeCommand {
    /// Opens a transaction.
    Begin {
        /// It is not going to write.
        read_only: bool,
        /// What the member's log must hold.
        after: Option<LogPosition>,
    },
    /// Commits.
    Commit {
        /// The caller's request.
        id: RequestId,
    },
    /// Rolls back.
    Rollback,
    /// Runs a text.
    Run {
        /// The caller's request.
        id: RequestId,
        /// The whole text.
        text: Bytes,
        /// Whether it can change data.
        access: Access,
        /// What the member's log must hold.
        after: Option<LogPosition>,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's request.
        id: RequestId,
        /// The statement.
        prepared: PreparedStatement,
        /// The caller's arguments unchanged.
        arguments: Bytes,
        /// What the member's log must hold.
        after: Option<LogPosition>,
    },
}

/// Versions of what processes follow at the store; zero where nothing is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowedVersions {
    /// What operators and servers declare.
    pub declared: DeclaredVersions,
    /// The fleet's records.
    pub records: u64,
}

/// The store's versions as of which a process knows everything that its feeds hold; zero
/// where one was never read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FeedVersions {
    /// Of the operator's documents.
    pub configuration: u64,
    /// Of the members' entries.
    pub directory: u64,
    /// Of the fleet's records.
    pub records: u64,
}

/// What a process that follows the store knows that is newer.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoreUpdates {
    /// Since when something may have changed that it does not know; `None` where it does not
    /// reach the store now. Counted when the question came, which is after it was sent.
    pub age: Option<Duration>,
    /// Whether it has started a short while ago, and is learning everything.
    pub is_starting: bool,
    /// The versions of the store as of which everything is told.
    pub feeds: FeedVersions,
    /// What operators and servers declare.
    pub declared: DeclaredState,
    /// The fleet's records that have changed.
    pub records: Vec<Record>,
    /// The version as of which these are.
    pub records_version: u64,
    /// As of when they are known, ms after the question came; below zero before it.
    pub records_complete_after_ms: Option<i64>,
}

impl HomeCommand {
    /// The caller's request, where it is one.
    pub fn id(&self) -> Option<&RequestId> {
        match self {
            HomeCommand::Begin { .. } | HomeCommand::Rollback => None,
            HomeCommand::Commit { id }
            | HomeCommand::Run { id, .. }
            | HomeCommand::Execute { id, .. } => Some(id),
        }
    }
}

/// From a home.
#[derive(Debug, Serialize, Deserialize)]
pub enum FromHome {
    /// What came of a command.
    Ran {
        /// The question.
        exchange: ExchangeId,
        /// What came of it.
        outcome: HomeOutcome,
    },
    /// What is believed.
    Beliefs {
        /// The question.
        exchange: ExchangeId,
        /// The beliefs; none where the group is not known.
        beliefs: Vec<GroupSnapshot>,
    },
    /// What is newer.
    News {
        /// The question.
        exchange: ExchangeId,
        /// The news.
        news: Box<StoreUpdates>,
    },
    /// What came of asking for a permit.
    Drawn {
        /// The question.
        exchange: ExchangeId,
        /// What came of it.
        drawn: PermitReply,
    },
    /// What the holder of the lease for promotions vouches for.
    NewestTerm {
        /// The question.
        exchange: ExchangeId,
        /// The version of the newest record of a term; none where the lease is not held there.
        version: Option<StoreVersion>,
    },
    /// A part of the encoded frame that answers a question.
    Part {
        /// The question.
        exchange: ExchangeId,
        /// The bytes.
        bytes: Bytes,
        /// Whether these are the last.
        is_last: bool,
    },
    /// Something is said.
    Pong,
    /// The home is going to stop: units that begin later go elsewhere.
    Leaving,
}

/// What came of a command at a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeOutcome {
    /// The member answered.
    Answered(Answer),
    /// It was not sent to the member.
    NotSent(NotSent),
    /// The connection failed after it had been sent.
    Lost(String),
}

/// Why a command was not sent to the member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotSent {
    /// No connection was free in time.
    Exhausted,
    /// Requests wait for so long that more of them would all be late.
    Shed {
        /// When to come back.
        retry_after: Duration,
    },
    /// The member is cold, and takes no more for a while.
    SlowStart {
        /// When to come back.
        retry_after: Duration,
    },
    /// The member can't be reached, or must not be used any more.
    Unreachable(String),
    /// The home does not know the member: it has just started, or knows less of the store.
    UnknownMember,
    /// The home must not send to the member, or can't tell whether it may.
    MayNotSend(String),
    /// The home's configuration rules the member's region out.
    OutsideRegions,
}

/// What goes over a link one way.
pub trait Frame: Serialize {
    /// What kind of frame it is, as metrics tell of it.
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

/// Bytes of a long answer that are sent at once: what a slow machine's link takes in some 15 ms, so
/// that whoever waits sees that more comes, and other answers pass between.
const PART_BYTES: usize = 32 * 1_024;

/// The frames in which the answer to `exchange` is sent: several, where it is long.
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

/// A frame's bytes, which are counted by its kind.
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

/// Reads a frame; `None` where it makes no sense.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a Bytes) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}
