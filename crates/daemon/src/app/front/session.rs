//! A caller's session: what it may do, what it has seen, and the exchange that it holds.

use super::Front;
use super::freshness::SessionFreshness;
use super::retry::with_return_time;
use super::telemetry::RequestTimer;
use super::trace::RequestTrace;
use crate::domain::exchange::{Access, PreparedStatement, TransactionState};
use crate::domain::names::{GroupName, RequestId, ServiceName};
use crate::domain::resource::SessionPolicySpec;
use crate::domain::statement::{Repeat, StatementAccess};
use crate::domain::verdict::{RequestFailure, Verdict};
use crate::ports::caller::CallerLink;
use crate::ports::exchange::HomeExchange;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::position::Floor;

/// A unit ready to be run: its meaning is typed, its payload is for the protocol's adapter.
#[derive(Debug)]
pub struct Unit {
    /// Encoded messages for the back end.
    pub payload: Vec<u8>,
    /// Statements that the payload refers to.
    pub statements: Vec<PreparedStatement>,
    /// Whether it may write.
    pub access: StatementAccess,
    /// Whether it leaves state behind in its connection.
    pub makes_session_state: bool,
    /// Whether more of the same series follows, which may write.
    pub is_open_ended: bool,
    /// What the caller said of repeating it.
    pub repeat: Option<Repeat>,
    /// The caller's own key of the request, shown in logs.
    pub key: Option<String>,
}

/// A unit that ran.
pub struct UnitRun {
    /// The transaction's state after it.
    pub transaction: TransactionState,
    /// The session's floor, where the unit has raised it.
    pub floor: Option<Floor>,
    held: HeldExchange,
}

/// A unit that got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunError {
    /// The caller is gone.
    CallerGone,
    /// The unit failed, and the session goes on.
    Failed(RequestFailure),
    /// The unit failed, and with it the transaction or the state that the session held.
    SessionLost(RequestFailure),
}

/// A caller's session.
pub struct CallerSession {
    pub(super) front: Arc<Front>,
    pub(super) service: ServiceName,
    pub(super) group: GroupName,
    /// What its reads must see.
    pub freshness: SessionFreshness,
    /// Whether its requests may be repeated, where it said so.
    pub repeat: Option<Repeat>,
    /// The exchange that a transaction or session state holds.
    held: Option<HeldExchange>,
}

/// An exchange that can't be shared between units.
pub(super) struct HeldExchange {
    pub(super) exchange: Box<dyn HomeExchange>,
    /// What the units of the transaction in progress ask for.
    pub(super) access: Access,
    pub(super) transaction: TransactionState,
    pub(super) has_session_state: bool,
}

/// A request on its way: what one unit needs at each attempt.
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) unit: Unit,
    pub(super) access: Access,
    /// How long a home may send nothing.
    pub(super) silence: Duration,
}

impl CallerSession {
    /// A session of `service` with the database of `group`.
    pub fn open(
        front: Arc<Front>,
        service: ServiceName,
        group: GroupName,
        freshness: SessionFreshness,
        repeat: Option<Repeat>,
    ) -> Self {
        Self {
            front,
            service,
            group,
            freshness,
            repeat,
            held: None,
        }
    }

    /// The front that it belongs to.
    pub fn front(&self) -> &Arc<Front> {
        &self.front
    }

    /// Who authenticated.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The database group asked for.
    pub fn group(&self) -> &GroupName {
        &self.group
    }

    /// The transaction state as the caller knows it.
    pub fn transaction(&self) -> TransactionState {
        self.held
            .as_ref()
            .map_or(TransactionState::Idle, |held| held.transaction)
    }

    /// Runs one unit under `policy`; its answer goes to `caller`. To be followed by
    /// [`CallerSession::keep`] once the caller has been told the end.
    ///
    /// # Errors
    ///
    /// [`RunError`] tells what is left of the session.
    pub async fn run(
        &mut self,
        unit: Unit,
        policy: &SessionPolicySpec,
        caller: &mut dyn CallerLink,
    ) -> Result<UnitRun, RunError> {
        let timer = RequestTimer::start(unit.access);
        let request = self.request(unit, policy);
        let mut trace = RequestTrace::new(self.configuration_revision());
        let outcome = match self.held.take() {
            Some(held) => self.run_held(held, &request, policy, caller).await,
            None => self.run_shared(&request, policy, caller, &mut trace).await,
        };
        let failure = outcome.as_ref().err().and_then(RunError::failure);
        let (service, group) = (&self.service, &self.group);
        trace.finish(&self.front.events, &request, service, group, failure);
        timer.finish(!matches!(
            outcome,
            Err(RunError::CallerGone | RunError::SessionLost(_))
        ));
        outcome
    }

    fn configuration_revision(&self) -> u64 {
        let configuration = self.front.configuration.borrow();
        configuration.as_ref().map_or(0, |known| known.revision.0)
    }

    fn request(&self, unit: Unit, policy: &SessionPolicySpec) -> Request {
        // What follows an open-ended unit is not known yet and may write.
        let reads = unit.access == StatementAccess::Read && !unit.is_open_ended;
        let by_unit = if reads && !unit.makes_session_state {
            Access::Read(self.freshness.required(policy))
        } else {
            Access::Write
        };
        let access = match &self.held {
            Some(held) if held.transaction != TransactionState::Idle => held.access,
            _ => by_unit,
        };
        Request {
            id: RequestId(rand::random()),
            unit,
            access,
            silence: policy.request_timeout() + self.front.settings.home_grace(),
        }
    }

    /// A unit that has run to its end: what it wrote is in the session's floor from now on.
    pub(super) fn completed(&mut self, floor: Option<Floor>, held: HeldExchange) -> UnitRun {
        let reported = floor.and_then(|floor| {
            self.freshness.record_write(floor);
            self.freshness.reported_floor()
        });
        UnitRun {
            transaction: held.transaction,
            floor: reported,
            held,
        }
    }

    /// Shares the exchange of a unit that ran, or holds it for the next one.
    pub async fn keep(&mut self, run: UnitRun) {
        let held = run.held;
        if held.transaction == TransactionState::Idle && !held.has_session_state {
            held.exchange.release().await;
        } else {
            self.held = Some(held);
        }
    }

    /// A failed request, as the caller is told it.
    pub(super) fn failed(&mut self, request: &Request, failure: RequestFailure) -> RunError {
        let failure = with_return_time(failure);
        if failure.verdict != Verdict::NotRun && request.access == Access::Write {
            self.freshness.record_unknown_outcome();
        }
        RunError::Failed(failure)
    }

    /// Ends the session in good order: a connection that is between transactions can be
    /// shared again; one within a transaction is dropped, which undoes the transaction.
    pub async fn close(mut self) {
        if let Some(held) = self.held.take()
            && held.transaction == TransactionState::Idle
        {
            held.exchange.release().await;
        }
    }
}

impl RunError {
    fn failure(&self) -> Option<&RequestFailure> {
        match self {
            RunError::CallerGone => None,
            RunError::Failed(failure) | RunError::SessionLost(failure) => Some(failure),
        }
    }
}
