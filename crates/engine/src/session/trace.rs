//! What is remembered of one request for its event and for the metrics.

use crate::configuration::Route;
use crate::engine::Engine;
use crate::events::{AttemptEvent, Event, EventClass, OutcomeEvent, RequestEvent, millis};
use crate::group::Epoch;
use crate::names::{DatabaseName, GroupName, MemberId, RequestId, TenantName};
use crate::position::LogPosition;
use crate::session::{Completion, authorization};
use crate::statement::{Request, Statement};
use crate::verdict::{Failure, FailureReason};
use std::time::Duration;
use tokio::time::Instant;

/// Attempts that one event tells, at the most.
const MAX_ATTEMPTS: usize = 12;

/// Route of statements that need no member.
const NO_ROUTE: &str = "none";

/// Gathers what decides a request.
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
    after: Option<LogPosition>,
    attempts: Vec<AttemptEvent>,
}

impl RequestTrace {
    /// Nothing is decided yet.
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
            after: None,
            attempts: Vec::new(),
        }
    }

    /// It was found out on whose behalf the request is asked.
    pub fn set_tenant(&mut self, tenant: Option<&TenantName>) {
        self.tenant = tenant.cloned();
    }

    /// The route was chosen.
    pub fn set_route(&mut self, engine: &Engine, route: &Route) {
        let group = engine.group(&route.group);
        self.epoch = Some(group.view().epoch);
        let now = Instant::now();
        self.evidence_age_ms = group.evidence().map(|at| millis(now.duration_since(at)));
        self.group = Some(route.group.clone());
        self.route = route.consistency.name();
        self.objective = Some(route.objective);
    }

    /// The position was chosen that a member's log must hold.
    pub fn set_required_position(&mut self, after: Option<LogPosition>) {
        self.after = after;
    }

    /// A member was tried.
    pub fn record_attempt(&mut self, member: &MemberId, result: impl Into<String>) {
        if self.attempts.len() < MAX_ATTEMPTS {
            self.attempts.push(AttemptEvent {
                member: member.clone(),
                result: result.into(),
                ended_ms: millis(self.received.elapsed()),
            });
        }
    }

    /// Writes the event and counts the request.
    pub fn finish(self, engine: &Engine, outcome: &Result<Completion, Failure>) {
        self.count(outcome);
        let elapsed = self.received.elapsed();
        let late = self.objective.is_some_and(|objective| elapsed > objective);
        let class = match outcome {
            Ok(_) if !late => EventClass::Success,
            _ => EventClass::Failure,
        };
        if !engine.events().has_budget(class) {
            return;
        }
        engine.events().write(&Event::Request(RequestEvent {
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
            after: self.after,
            attempts: self.attempts,
            outcome: outcome_event(outcome),
        }));
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

/// The age of the proof of the configuration, where that is what decided.
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
