//! Structured events: one for each decision that touches a request or changes what the
//! process believes.
//!
//! Events go through the `log` facade under the target [`TARGET`], as JSON objects. Their
//! volume is bounded for each [`EventClass`]: what is over the budget is counted, and the
//! count is told with the next event of the class.

use crate::directory::Role;
use crate::group::Epoch;
use crate::leadership::record::TermPhase;
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

/// What was done on behalf of one request.
#[derive(Debug, Clone, Serialize)]
pub struct RequestEvent {
    /// The request.
    pub id: RequestId,
    /// The caller's own key of it, where it gave one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The database that the session is for.
    pub database: DatabaseName,
    /// The tenant on whose behalf it was asked.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<TenantName>,
    /// The group that the route leads to.
    pub group: Option<GroupName>,
    /// Kind of statement.
    pub statement: &'static str,
    /// Version of the configuration that chose the route.
    pub configuration: u64,
    /// Age of the proof that it is the newest, ms, where the request was refused for that, for
    /// its credential, or for its tenant's rate.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub proof_age_ms: Option<u64>,
    /// Epoch of the leadership that was relied on.
    pub epoch: Option<Epoch>,
    /// Age of the evidence for that leadership, ms.
    pub evidence_age_ms: Option<u64>,
    /// Position that the member's log had to hold.
    pub after: Option<LogPosition>,
    /// Members tried, in order.
    pub attempts: Vec<AttemptEvent>,
    /// What the caller was told.
    pub outcome: OutcomeEvent,
    /// Time from reading the request to its answer, ms.
    pub elapsed_ms: u64,
    /// Whether that is longer than the route's objective.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub late: bool,
}

/// One member tried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AttemptEvent {
    /// The member.
    pub member: MemberId,
    /// What came of it.
    pub result: String,
    /// When it ended, ms after the request was read.
    pub ended_ms: u64,
}

/// What a caller was told.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeEvent {
    /// It succeeded.
    Completed,
    /// It did not.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// Why.
        reason: FailureReason,
        /// When to come back, ms.
        retry_after_ms: Option<u64>,
    },
}

/// An event.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A request was decided.
    Request(RequestEvent),
    /// An answer could not be given to its caller, who has left or does not read.
    AnswerUndelivered {
        /// The request.
        id: RequestId,
    },
    /// A caller's session was refused.
    SessionRefused {
        /// The database asked for.
        database: DatabaseName,
        /// Why.
        reason: FailureReason,
        /// Version of the configuration.
        configuration: u64,
        /// Age of the proof that it is the newest, ms; `None` where there never was one.
        #[serde(skip_serializing_if = "Option::is_none")]
        proof_age_ms: Option<u64>,
    },
    /// A statement that another process has forwarded was not sent to its member, was lost
    /// there, or took long.
    Forwarded {
        /// The request.
        id: RequestId,
        /// The member.
        member: MemberId,
        /// `not_sent`, `lost` or `late`.
        result: &'static str,
        /// Why.
        reason: String,
        /// Time for which it was here, ms.
        elapsed_ms: u64,
    },
    /// A configuration was taken into use.
    ConfigurationTaken {
        /// Its version.
        version: u64,
        /// Number of routes.
        routes: usize,
    },
    /// Evacuated zones were taken into use.
    EvacuationsTaken {
        /// The store's version of the newest request.
        version: u64,
        /// All evacuated zones.
        zones: BTreeSet<ZoneName>,
    },
    /// Nothing is sent to the members of an evacuated zone any more.
    ZoneClosed {
        /// The zone.
        zone: ZoneName,
        /// The version of the evacuations.
        version: u64,
        /// Time since this process had learned of the request, ms.
        after_ms: u64,
    },
    /// A member's entry has changed.
    MemberChanged {
        /// The member.
        member: MemberId,
        /// Its group.
        group: GroupName,
        /// Its state as told.
        state: crate::directory::MemberState,
        /// Its role as told.
        role: Role,
        /// The directory's version.
        directory: u64,
    },
    /// Another leader, or another phase of its promotion, was learned.
    LeaderChanged {
        /// The group.
        group: GroupName,
        /// Its epoch.
        epoch: Epoch,
        /// The leader, if any.
        leader: Option<MemberId>,
        /// Whether it has taken the lead.
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
        /// On which evidence.
        evidence: &'static str,
        /// For how long already, ms.
        since_ms: u64,
    },
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
        /// What the member told.
        report: Option<MemberReport>,
        /// What came of it.
        result: String,
    },
    /// The lease for promotions was gained, or is no longer held.
    PromotionLease {
        /// Whether it is held now.
        held: bool,
        /// Its fencing number.
        fencing: u64,
        /// Why.
        reason: String,
    },
    /// What this process may send to a cold member has changed, or the member is cold no more.
    SlowStart {
        /// The member.
        member: MemberId,
        /// Its group.
        group: GroupName,
        /// Statements of this process in a window; `None` where the member is not cold.
        share: Option<usize>,
        /// Statements that it takes in a second from all processes; zero where it is not cold.
        most: usize,
        /// For how much longer it is cold, ms.
        left_ms: u64,
    },
    /// A shard of the rate limits is counted here from now on, or no more.
    RateCounter {
        /// The shard.
        shard: usize,
        /// Whether it is counted here now.
        held: bool,
        /// Why.
        reason: String,
    },
    /// Something outside was lost or regained.
    Dependency {
        /// What.
        name: &'static str,
        /// Whether it is there now.
        available: bool,
        /// Why.
        reason: String,
    },
    /// The process starts, stops, or reads its settings again.
    Lifecycle {
        /// What it does.
        action: &'static str,
        /// Particulars.
        detail: String,
    },
}

/// Classes of events with a budget each. Failures and changes of belief have a larger one
/// than ordinary successes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventClass {
    /// A request that succeeded in time.
    Success,
    /// A request that failed or was late, or a session that was refused.
    Failure,
    /// Everything else.
    StateChange,
}

impl Event {
    /// The class whose budget it takes.
    pub fn class(&self) -> EventClass {
        match self {
            Event::Request(request) => match request.outcome {
                OutcomeEvent::Completed if !request.late => EventClass::Success,
                OutcomeEvent::Completed => EventClass::Failure,
                OutcomeEvent::Failed { .. } => EventClass::Failure,
            },
            Event::SessionRefused { .. }
            | Event::AnswerUndelivered { .. }
            | Event::Forwarded { .. } => EventClass::Failure,
            _ => EventClass::StateChange,
        }
    }
}

/// Lines of a class that are written in one second, and its burst.
fn budget_per_second(class: EventClass) -> f64 {
    match class {
        EventClass::Success => 2.0,
        EventClass::Failure => 100.0,
        EventClass::StateChange => 60.0,
    }
}

/// Seconds' worth of lines that a quiet class may save up.
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

    /// The number suppressed before, if the event may be written.
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

/// An event as it is written.
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

/// Writes events within their budgets.
#[derive(Debug)]
pub struct EventLog {
    /// Told with each event where several processes' parts share one log.
    node: Option<NodeName>,
    budgets: Mutex<[ClassBudget; 3]>,
}

impl Default for EventLog {
    fn default() -> Self {
        let now = Instant::now();
        let classes = [
            EventClass::Success,
            EventClass::Failure,
            EventClass::StateChange,
        ];
        Self {
            node: None,
            budgets: Mutex::new(classes.map(|class| ClassBudget::new(class, now))),
        }
    }
}

impl EventLog {
    /// A log whose events name `node`.
    pub fn for_node(node: NodeName) -> Self {
        Self {
            node: Some(node),
            ..Self::default()
        }
    }

    /// Writes `event` if its class has budget left.
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
        // Texts, numbers and flags only: encoding can't fail.
        let line = serde_json::to_string(&written).unwrap_or_default();
        log::log!(target: TARGET, level(class), "{line}");
    }

    /// Whether an event of `class` is going to be written if it comes now. Lets callers
    /// skip the making of events that would be dropped.
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
        EventClass::Failure => Level::Warn,
        EventClass::Success | EventClass::StateChange => Level::Info,
    }
}

/// Tells when something outside is lost, and when it is regained: once each time.
#[derive(Debug)]
pub struct DependencyMonitor {
    name: &'static str,
    available: bool,
}

impl DependencyMonitor {
    /// Watches what is called `name`, taken to be there.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            available: true,
        }
    }

    /// Takes what came of the latest use: nothing, or why it failed.
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

/// Whole milliseconds of `duration`.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
