//! Data collected while a request runs, for its event and for the metrics.

use crate::configuration::Route;
use crate::engine::Engine;
use crate::events::{
    AttemptEvent, Event, OutcomeEvent, PositionOrigin, RequestEvent, class_of_request, millis,
};
use crate::group::{Epoch, PositionSample};
use crate::names::{DatabaseName, GroupName, MemberId, RequestId, TenantName};
use crate::position::LogPosition;
use crate::session::{Completion, authorization};
use crate::statement::{Request, Statement};
use crate::verdict::{Failure, FailureReason};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of attempts that one event lists.
const MAX_ATTEMPTS: usize = 12;

/// Route label of statements that need no member.
const NO_ROUTE: &str = "none";

/// The log position that a member must have reached to serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequiredPosition {
    position: LogPosition,
    origin: PositionOrigin,
}

impl RequiredPosition {
    /// A position that covers what was acknowledged before the oldest moment that the read may show.
    pub fn covering(sample: PositionSample) -> Self {
        Self::from_sample(sample, false)
    }

    /// The position that includes the session's own commits.
    pub fn session_floor(sample: PositionSample) -> Self {
        Self::from_sample(sample, true)
    }

    fn from_sample(sample: PositionSample, is_session_floor: bool) -> Self {
        Self {
            position: sample.position,
            origin: PositionOrigin {
                source: sample.source,
                session_floor: is_session_floor,
                age_ms: millis(sample.at.elapsed()),
                epoch: sample.epoch,
            },
        }
    }

    /// The log position.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    fn count(&self) {
        let bound = match self.origin.session_floor {
            true => "session",
            false => "staleness",
        };
        metrics::counter!(
            "stilequay_required_positions_total",
            "source" => self.origin.source.name(),
            "bound" => bound
        )
        .increment(1);
    }
}

/// Collects what determined the outcome of a request.
#[derive(Debug)]
pub struct RequestTrace {
    id: RequestId,
    database: DatabaseName,
    statement: &'static str,
    received: Instant,
    configuration: u64,
    tenant: Option<TenantName>,
    group: Option<GroupName>,
    route: &'static str,
    objective: Option<Duration>,
    epoch: Option<Epoch>,
    evidence_age_ms: Option<u64>,
    required: Option<RequiredPosition>,
    attempts: Vec<AttemptEvent>,
}

impl RequestTrace {
    /// Creates the trace of a request that has not been routed yet.
    pub fn new(engine: &Engine, database: &DatabaseName, request: &Request) -> Self {
        Self {
            id: request.id.clone(),
            database: database.clone(),
            statement: statement_name(&request.statement),
            received: request.received,
            configuration: engine.configuration().map_or(0, |c| c.version),
            tenant: None,
            group: None,
            route: NO_ROUTE,
            objective: None,
            epoch: None,
            evidence_age_ms: None,
            required: None,
            attempts: Vec::new(),
        }
    }

    /// Sets the tenant on whose behalf the request runs.
    pub fn set_tenant(&mut self, tenant: Option<&TenantName>) {
        self.tenant = tenant.cloned();
    }

    /// Sets the route, and the state of its group at this time.
    pub fn set_route(&mut self, engine: &Engine, route: &Route) {
        let group = engine.group(&route.group);
        self.epoch = Some(group.view().epoch);
        let now = Instant::now();
        self.evidence_age_ms = group.evidence().map(|at| millis(now.duration_since(at)));
        self.group = Some(route.group.clone());
        self.route = route.consistency.name();
        self.objective = Some(route.objective);
    }

    /// Sets the log position that a member must have reached.
    pub fn set_required_position(&mut self, required: Option<RequiredPosition>) {
        self.required = required;
    }

    /// The log position that a member must have reached.
    pub fn required_position(&self) -> Option<RequiredPosition> {
        self.required
    }

    /// Records the result of an attempt at a member.
    pub fn record_attempt(&mut self, member: &MemberId, result: impl Into<String>) {
        if self.attempts.len() < MAX_ATTEMPTS {
            self.attempts.push(AttemptEvent {
                member: member.clone(),
                result: result.into(),
                ended_ms: millis(self.received.elapsed()),
            });
        }
    }

    /// Updates the metrics and writes the event, if the event budget allows it.
    pub fn finish(self, engine: &Engine, outcome: &Result<Completion, Failure>) {
        self.count(outcome);
        if let Some(required) = &self.required {
            required.count();
        }
        let elapsed = self.received.elapsed();
        let late = self.objective.is_some_and(|objective| elapsed > objective);
        let origin = self.required.map(|required| required.origin);
        let class = class_of_request(outcome.is_ok() && !late, origin.as_ref());
        if !engine.events().has_budget(class) {
            return;
        }
        let event = RequestEvent {
            elapsed_ms: millis(elapsed),
            late,
            id: self.id,
            key: None,
            database: self.database,
            tenant: self.tenant,
            group: self.group,
            statement: self.statement,
            configuration: self.configuration,
            proof_age_ms: relevant_proof_age(engine, outcome),
            epoch: self.epoch,
            evidence_age_ms: self.evidence_age_ms,
            after: self.required.map(|required| required.position),
            after_origin: origin,
            attempts: self.attempts,
            outcome: outcome_event(outcome),
        };
        engine.events().write(&Event::Request(Box::new(event)));
    }

    fn count(&self, outcome: &Result<Completion, Failure>) {
        let (result, reason) = match outcome {
            Ok(_) => ("completed", ""),
            Err(failure) => (failure.verdict.name(), failure.reason.name()),
        };
        metrics::counter!(
            "stilequay_requests_total",
            "statement" => self.statement,
            "route" => self.route,
            "outcome" => result,
            "reason" => reason
        )
        .increment(1);
        metrics::histogram!(
            "stilequay_request_seconds", "statement" => self.statement, "route" => self.route
        )
        .record(self.received.elapsed());
    }
}

/// Returns the age of the proof of the configuration if the failure may be due to an outdated
/// configuration.
fn relevant_proof_age(engine: &Engine, outcome: &Result<Completion, Failure>) -> Option<u64> {
    let is_relevant = matches!(
        outcome.as_ref().err()?.reason,
        FailureReason::UnknownCredential
            | FailureReason::UnknownDatabase
            | FailureReason::ConfigurationOutdated
            | FailureReason::ZoneEvacuated
            | FailureReason::RateLimited
            | FailureReason::RateUnknown
    );
    let age = authorization::proof_age(engine, Instant::now());
    age.filter(|_| is_relevant).map(millis)
}

fn outcome_event(outcome: &Result<Completion, Failure>) -> OutcomeEvent {
    match outcome {
        Ok(_) => OutcomeEvent::Completed,
        Err(failure) => OutcomeEvent::Failed {
            verdict: failure.verdict,
            reason: failure.reason.clone(),
            retry_after_ms: failure.retry_after.map(millis),
        },
    }
}

fn statement_name(statement: &Statement) -> &'static str {
    match statement {
        Statement::Begin { .. } => "begin",
        Statement::Commit => "commit",
        Statement::Rollback => "rollback",
        Statement::Read { .. } => "read",
        Statement::Write { .. } => "write",
        Statement::Set { .. } => "set",
        Statement::Prepare { .. } => "prepare",
        Statement::Execute { .. } => "execute",
        Statement::Deallocate { .. } => "deallocate",
    }
}
