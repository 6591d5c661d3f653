//! What is remembered of one request for its event.

use super::session::Request;
use crate::domain::names::{GroupName, ServiceName};
use crate::domain::verdict::RequestFailure;
use std::sync::Arc;
use stilequay_coordination::identity::NodeId;
use stilequay_engine::events::{
    AttemptEvent, Event, EventClass, EventLog, OutcomeEvent, RequestEvent, millis,
};
use tokio::time::Instant;

/// Attempts that one event tells, at the most.
const ATTEMPTS_TOLD: usize = 12;

/// Gathers what decides a request.
#[derive(Debug)]
pub(super) struct RequestTrace {
    received: Instant,
    configuration: u64,
    attempts: Vec<AttemptEvent>,
}

impl RequestTrace {
    /// A request that came in now, under the configuration of this revision.
    pub(super) fn new(configuration: u64) -> Self {
        Self {
            received: Instant::now(),
            configuration,
            attempts: Vec::new(),
        }
    }

    /// A home was tried.
    pub(super) fn attempted(&mut self, home: &NodeId, result: impl Into<String>) {
        if self.attempts.len() < ATTEMPTS_TOLD {
            self.attempts.push(AttemptEvent {
                member: Arc::from(home.as_str()),
                result: result.into(),
                ended_ms: millis(self.received.elapsed()),
            });
        }
    }

    /// Writes the event: `failure` is what the caller is told, if it failed.
    pub(super) fn finish(
        self,
        events: &EventLog,
        request: &Request,
        service: &ServiceName,
        group: &GroupName,
        failure: Option<&RequestFailure>,
    ) {
        let class = match failure {
            None => EventClass::Success,
            Some(_) => EventClass::Failure,
        };
        if !events.has_budget(class) {
            return;
        }
        events.write(&Event::Request(Box::new(RequestEvent {
            id: request.id.to_string().into(),
            key: request.unit.key.clone(),
            database: service.as_str().into(),
            tenant: None,
            group: Some(group.as_str().into()),
            statement: request.unit.access.name(),
            configuration: self.configuration,
            proof_age_ms: None,
            epoch: None,
            evidence_age_ms: None,
            after: None,
            after_origin: None,
            attempts: self.attempts,
            outcome: outcome(failure),
            elapsed_ms: millis(self.received.elapsed()),
            late: false,
        })));
    }
}

fn outcome(failure: Option<&RequestFailure>) -> OutcomeEvent {
    match failure {
        None => OutcomeEvent::Completed,
        Some(failure) => OutcomeEvent::Failed {
            verdict: failure.verdict,
            reason: failure.kind.reason(),
            retry_after_ms: failure.retry_after.map(millis),
        },
    }
}
