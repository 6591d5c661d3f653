//! Structured events: one for each decision that affects a request or changes the process's view
//! of the fleet.
//!
//! Events are logged through the `log` facade with the target [`TARGET`], as JSON objects. Their
//! rate is limited per [`EventClass`]. Events over the limit are counted, and the next event of
//! the class reports the count.

use crate::decoding::UndecodableKind;
use crate::directory::Role;
use crate::group::{Epoch, PositionSource};
use crate::leadership::record::TermPhase;
use crate::leadership::survey_events::{MemberAnswer, SurveyResult};
use crate::names::{DatabaseName, GroupName, MemberId, NodeName, RequestId, TenantName, ZoneName};
use crate::ports::MemberReport;
use crate::position::LogPosition;
use crate::verdict::{FailureReason, Verdict};
use log::Level;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Target of event records in the log.
pub const TARGET: &str = "stilequay::event";

/// The handling of one request.
#[derive(Debug, Clone, Serialize)]
pub struct RequestEvent {
    /// The request.
    pub id: RequestId,
    /// The caller's own key for the request, if it sent one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The session's database.
    pub database: DatabaseName,
    /// The tenant on whose behalf the request was sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<TenantName>,
    /// The group of the route.
    pub group: Option<GroupName>,
    /// The kind of statement.
    pub statement: &'static str,
    /// Version of the configuration that the route came from.
    pub configuration: u64,
    /// Age of the proof that this configuration is the newest, ms. Set if the request was refused
    /// because of this age, its credential or its tenant's rate limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub proof_age_ms: Option<u64>,
    /// Epoch of the leadership that the request relied on.
    pub epoch: Option<Epoch>,
    /// Age of the evidence for that leadership, ms.
    pub evidence_age_ms: Option<u64>,
    /// The log position that the member had to have reached.
    pub after: Option<LogPosition>,
    /// Where that position came from.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after_origin: Option<PositionOrigin>,
    /// The members tried, in order.
    pub attempts: Vec<AttemptEvent>,
    /// The outcome reported to the caller.
    pub outcome: OutcomeEvent,
    /// Time from reading the request to its answer, ms.
    pub elapsed_ms: u64,
    /// Whether that time exceeds the route's latency objective.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub late: bool,
}

/// Where the log position that a read required came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PositionOrigin {
    /// How the position was learned.
    pub source: PositionSource,
    /// Whether it is required for the session's own commits; `false` if the route's staleness
    /// bound requires it.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub session_floor: bool,
    /// Age of the moment that the position covers, when the read was given the requirement, ms.
    pub age_ms: u64,
    /// The epoch in which the position was learned.
    pub epoch: Epoch,
}

/// A promotion order that was sent to the promotion service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct OrderEvent {
    /// The fencing number that it carried.
    pub fencing: u64,
    /// Time until its result was known, ms.
    pub elapsed_ms: u64,
}

/// A survey of a group's members for a position that covers the moment at which it was sent.
#[derive(Debug, Clone, Serialize)]
pub struct PositionSurveyEvent {
    /// The group.
    pub group: GroupName,
    /// Its epoch.
    pub epoch: Epoch,
    /// What became of the position.
    pub result: SurveyResult,
    /// The highest position that a member has reported.
    pub position: Option<LogPosition>,
    /// The answers of the members.
    pub members: Vec<MemberAnswer>,
    /// The number of members whose logs may be unknown for the position to be taken.
    pub may_be_unknown: usize,
}

/// An attempt at one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AttemptEvent {
    /// The member.
    pub member: MemberId,
    /// The result of the attempt.
    pub result: String,
    /// When the attempt ended, ms after the request was read.
    pub ended_ms: u64,
}

/// The outcome reported to a caller.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeEvent {
    /// The request succeeded.
    Completed,
    /// The request failed.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// The reason.
        reason: FailureReason,
        /// How long to wait before a retry, ms.
        retry_after_ms: Option<u64>,
    },
}

/// An event.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A request was completed or refused.
    Request(Box<RequestEvent>),
    /// An answer could not be delivered because the caller has disconnected or doesn't read.
    AnswerUndelivered {
        /// The request.
        id: RequestId,
    },
    /// A caller's session was refused.
    SessionRefused {
        /// The requested database.
        database: DatabaseName,
        /// The reason.
        reason: FailureReason,
        /// Version of the configuration.
        configuration: u64,
        /// Age of the proof that it is the newest, ms; `None` if there never was one.
        #[serde(skip_serializing_if = "Option::is_none")]
        proof_age_ms: Option<u64>,
    },
    /// A statement forwarded by another process was not sent to its member, was lost there, or
    /// took too long.
    Forwarded {
        /// The request.
        id: RequestId,
        /// The member.
        member: MemberId,
        /// `not_sent`, `lost` or `late`.
        result: &'static str,
        /// The reason.
        reason: String,
        /// How long this process handled it, ms.
        elapsed_ms: u64,
    },
    /// A configuration was put into use.
    ConfigurationTaken {
        /// Its version.
        version: u64,
        /// Number of routes.
        routes: usize,
    },
    /// A changed set of evacuated zones was put into use.
    EvacuationsTaken {
        /// The store version of the newest evacuation request.
        version: u64,
        /// All evacuated zones.
        zones: BTreeSet<ZoneName>,
    },
    /// From now on nothing is sent to the members of an evacuated zone.
    ZoneClosed {
        /// The zone.
        zone: ZoneName,
        /// The version of the evacuations.
        version: u64,
        /// Time since this process learned of the request, ms.
        after_ms: u64,
    },
    /// A member's directory entry changed.
    MemberChanged {
        /// The member.
        member: MemberId,
        /// Its group.
        group: GroupName,
        /// Its state in the directory.
        state: crate::directory::MemberState,
        /// Its last reported role.
        role: Role,
        /// The directory's version.
        directory: u64,
    },
    /// This process learned of a new leader or a new phase of its promotion.
    LeaderChanged {
        /// The group.
        group: GroupName,
        /// Its epoch.
        epoch: Epoch,
        /// The leader, if any.
        leader: Option<MemberId>,
        /// Whether it is known to have become primary.
        confirmed: bool,
    },
    /// A leader is suspected.
    LeaderSuspected {
        /// The group.
        group: GroupName,
        /// Its epoch.
        epoch: Epoch,
        /// The leader.
        leader: MemberId,
        /// The evidence for the suspicion.
        evidence: &'static str,
        /// How long it has been suspected, ms.
        since_ms: u64,
    },
    /// A leader acknowledged a commit when the evidence for its term had expired here: another
    /// leader may have been chosen without that commit.
    UnconfirmedCommit {
        /// The group.
        group: GroupName,
        /// The epoch of the leadership.
        epoch: Epoch,
        /// The leader.
        leader: MemberId,
        /// The position of its log after the commit, if it reported one.
        position: Option<LogPosition>,
        /// Age of the newest evidence for its term, ms; `None` if there was none.
        evidence_age_ms: Option<u64>,
    },
    /// The members of a group were surveyed for a log position.
    PositionSurvey(PositionSurveyEvent),
    /// A step of a promotion was taken.
    PromotionStep {
        /// The group.
        group: GroupName,
        /// The new epoch.
        epoch: Epoch,
        /// The phase in which it was taken.
        phase: TermPhase,
        /// What was done.
        step: &'static str,
        /// The member that it concerns.
        member: Option<MemberId>,
        /// The member's report.
        report: Option<MemberReport>,
        /// The order that was sent.
        #[serde(skip_serializing_if = "Option::is_none")]
        order: Option<OrderEvent>,
        /// The result.
        result: String,
    },
    /// The promotion lease was acquired or lost.
    PromotionLease {
        /// Whether it is held now.
        held: bool,
        /// Its fencing number.
        fencing: u64,
        /// The reason.
        reason: String,
    },
    /// This process's share of the load on a member in slow start changed, or slow start ended.
    SlowStart {
        /// The member.
        member: MemberId,
        /// Its group.
        group: GroupName,
        /// Statements that this process may send per window; `None` if the member isn't in slow
        /// start.
        share: Option<usize>,
        /// Statements per second that it accepts from all processes; zero if it isn't in slow
        /// start.
        most: usize,
        /// Remaining slow-start time, ms.
        left_ms: u64,
    },
    /// This process started or stopped counting a shard of the rate limits.
    RateCounter {
        /// The shard.
        shard: usize,
        /// Whether this process counts it now.
        held: bool,
        /// The reason.
        reason: String,
    },
    /// Bytes of another process or of the store could not be decoded, and were dropped.
    Undecodable {
        /// What they were meant to be.
        what: UndecodableKind,
        /// The address of the peer or the key of the record.
        from: String,
        /// The name of the frame, if it can be told.
        #[serde(skip_serializing_if = "Option::is_none")]
        frame: Option<String>,
        /// The length of the frame.
        #[serde(skip_serializing_if = "Option::is_none")]
        bytes: Option<usize>,
        /// The error, without the decoded strings.
        error: String,
    },
    /// An external dependency became unavailable or available.
    Dependency {
        /// The dependency.
        name: &'static str,
        /// Whether it is available now.
        available: bool,
        /// The reason.
        reason: String,
    },
    /// The process starts, stops or reloads its settings.
    Lifecycle {
        /// The action.
        action: &'static str,
        /// Details.
        detail: String,
    },
}

/// Classes of events, each with its own rate limit. Failures and state changes have a higher limit
/// than successes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventClass {
    /// A request that succeeded in time.
    Success,
    /// A read that succeeded in time and whose required position was found by a survey of the
    /// members. It relies on every member with a newer log having been asked, so that it may have
    /// to be explained although it succeeded.
    SurveyedRead,
    /// A request that failed or was late, or a session that was refused.
    Failure,
    /// A survey of the members for a position.
    Survey,
    /// Bytes that could not be decoded.
    Undecodable,
    /// Everything else.
    StateChange,
}

/// All classes, in the order of their declaration.
const CLASSES: [EventClass; 6] = [
    EventClass::Success,
    EventClass::SurveyedRead,
    EventClass::Failure,
    EventClass::Survey,
    EventClass::Undecodable,
    EventClass::StateChange,
];

impl Event {
    /// The class whose rate limit applies to it.
    pub fn class(&self) -> EventClass {
        match self {
            Event::Request(request) => {
                let is_completed = matches!(request.outcome, OutcomeEvent::Completed);
                let succeeded = is_completed && !request.late;
                class_of_request(succeeded, request.after_origin.as_ref())
            }
            Event::PositionSurvey(_) => EventClass::Survey,
            Event::Undecodable { .. } => EventClass::Undecodable,
            Event::SessionRefused { .. }
            | Event::AnswerUndelivered { .. }
            | Event::UnconfirmedCommit { .. }
            | Event::Forwarded { .. } => EventClass::Failure,
            _ => EventClass::StateChange,
        }
    }
}

/// The class of a request's event. `succeeded` tells whether it was completed in time.
pub(crate) fn class_of_request(succeeded: bool, origin: Option<&PositionOrigin>) -> EventClass {
    match origin.map(|origin| origin.source) {
        _ if !succeeded => EventClass::Failure,
        Some(PositionSource::Survey) => EventClass::SurveyedRead,
        Some(PositionSource::Leader | PositionSource::Peer) | None => EventClass::Success,
    }
}

/// The rate limit of a class, in lines per second.
fn budget_per_second(class: EventClass) -> f64 {
    match class {
        EventClass::Success => 2.0,
        EventClass::SurveyedRead => 20.0,
        EventClass::Survey => 20.0,
        EventClass::Undecodable => 5.0,
        EventClass::Failure => 100.0,
        EventClass::StateChange => 60.0,
    }
}

/// Burst capacity of a class, in seconds of its rate.
const BURST_SECONDS: f64 = 3.0;

#[derive(Debug)]
struct ClassBudget {
    tokens: f64,
    refilled_at: Instant,
    suppressed: u64,
}

impl ClassBudget {
    fn new(class: EventClass, now: Instant) -> Self {
        Self {
            tokens: budget_per_second(class) * BURST_SECONDS,
            refilled_at: now,
            suppressed: 0,
        }
    }

    /// If the event may be written, returns the number of events suppressed before it.
    fn admit(&mut self, class: EventClass, now: Instant) -> Option<u64> {
        let rate = budget_per_second(class);
        let earned = now.duration_since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + earned).min(rate * BURST_SECONDS);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// The JSON object that is written for an event.
#[derive(Serialize)]
struct EventLine<'a> {
    #[serde(flatten)]
    event: &'a Event,
    #[serde(skip_serializing_if = "Option::is_none")]
    node: Option<&'a str>,
    #[serde(skip_serializing_if = "is_zero")]
    suppressed_before: u64,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// Writes events within the rate limits of their classes.
#[derive(Debug)]
pub struct EventLog {
    /// Included in each event if several nodes share one log.
    node: Option<NodeName>,
    budgets: Mutex<[ClassBudget; CLASSES.len()]>,
}

impl Default for EventLog {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            node: None,
            budgets: Mutex::new(CLASSES.map(|class| ClassBudget::new(class, now))),
        }
    }
}

impl EventLog {
    /// Creates a log whose events include `node`.
    pub fn for_node(node: NodeName) -> Self {
        Self {
            node: Some(node),
            ..Self::default()
        }
    }

    /// Writes `event` unless its class is over the rate limit.
    pub fn write(&self, event: &Event) {
        let class = event.class();
        let Some(suppressed_before) = self.admit(class) else {
            metrics::counter!("stilequay_events_suppressed_total").increment(1);
            return;
        };
        let written = EventLine {
            event,
            node: self.node.as_deref(),
            suppressed_before,
        };
        // Events contain only strings, numbers and booleans, so encoding can't fail.
        let line = serde_json::to_string(&written).unwrap_or_default();
        log::log!(target: TARGET, level(class), "{line}");
    }

    /// Whether an event of `class` would be written now; if not, it counts as suppressed. Lets
    /// callers skip building events that would be dropped.
    pub fn has_budget(&self, class: EventClass) -> bool {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = &mut budgets[class as usize];
        let earned = budget.refilled_at.elapsed().as_secs_f64() * budget_per_second(class);
        let available = budget.tokens + earned >= 1.0;
        if !available {
            budget.suppressed += 1;
        }
        available
    }

    fn admit(&self, class: EventClass) -> Option<u64> {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets[class as usize].admit(class, Instant::now())
    }
}

fn level(class: EventClass) -> Level {
    match class {
        EventClass::Failure | EventClass::Undecodable => Level::Warn,
        EventClass::Success
        | EventClass::SurveyedRead
        | EventClass::Survey
        | EventClass::StateChange => Level::Info,
    }
}

/// Writes an event each time a dependency becomes unavailable or available again.
#[derive(Debug)]
pub struct DependencyMonitor {
    name: &'static str,
    available: bool,
}

impl DependencyMonitor {
    /// Monitors the dependency `name`, initially assumed available.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            available: true,
        }
    }

    /// Records the outcome of the latest use; `failure` is the reason if it failed.
    pub fn record_outcome(&mut self, log: &EventLog, failure: Option<String>) {
        let available = failure.is_none();
        if self.available == available {
            return;
        }
        self.available = available;
        log.write(&Event::Dependency {
            name: self.name,
            available,
            reason: failure.unwrap_or_default(),
        });
    }
}

/// `duration` in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
