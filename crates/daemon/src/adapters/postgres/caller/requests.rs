//! A caller's units from their beginning to their answer.

use super::caller::{Caller, ConnectionEnd, HeldExchange};
use super::dispatch::{Completed, Request};
use super::relay::Relay;
use super::reply::{ErrorReply, Severity, parameter_status};
use super::retry::with_return_time;
use super::rights;
use super::session::FLOOR_PARAMETER;
use super::telemetry::RequestTimer;
use super::unit::{Unit, UnitEnd, undo_all};
use crate::adapters::postgres::classify::StatementAccess;
use crate::domain::exchange::{Access, TransactionState};
use crate::domain::names::RequestId;
use crate::domain::resource::SessionPolicySpec;
use crate::domain::verdict::{RequestFailure, Verdict};

impl Caller {
    /// Runs one unit and answers it.
    pub(super) async fn run_unit(&mut self, unit: Unit) -> Result<(), ConnectionEnd> {
        self.cancel.reset();
        let configuration = rights::configuration(&self.shared.configuration)?;
        let policy = rights::policy_for(&configuration, &self.service, &self.group)?;
        if let Err(reply) = self.apply_settings(&unit) {
            return self.answer_error(unit, &reply).await;
        }
        if let Some(refusal) = unit.refusal.clone() {
            return self.refuse(unit, refusal).await;
        }
        if unit.is_local() && self.transaction() != TransactionState::Unsynced {
            return self.answer_locally(unit).await;
        }
        let timer = RequestTimer::start(&unit);
        let request = self.request(unit, &policy);
        let outcome = match self.held.take() {
            Some(held) => self.run_held(held, request, &policy).await,
            None => self.run_shared(request, &policy).await,
        };
        timer.finish(outcome.is_ok());
        outcome
    }

    fn apply_settings(&mut self, unit: &Unit) -> Result<(), ErrorReply> {
        unit.settings
            .iter()
            .try_for_each(|setting| self.session.apply(setting))
    }

    fn request(&self, unit: Unit, policy: &SessionPolicySpec) -> Request {
        // What follows a Flush is not known yet and may write.
        let reads = unit.access == StatementAccess::Read && unit.end != UnitEnd::Flush;
        let by_unit = if reads && !unit.makes_session_state {
            Access::Read(self.session.freshness(policy))
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
            silence: policy.request_timeout() + self.shared.settings.home_grace(),
        }
    }

    /// Ends a unit that ran: answers it, and shares or holds its connection.
    pub(super) async fn complete(
        &mut self,
        request: Request,
        completed: Completed,
        had_session_state: bool,
    ) -> Result<(), ConnectionEnd> {
        let Completed {
            done,
            mut relay,
            exchange,
        } = completed;
        if let Some(floor) = done.floor {
            self.session.record_write(floor);
            if let Some(floor) = self.session.reported_floor() {
                relay.add(&parameter_status(FLOOR_PARAMETER, &floor.to_string()));
            }
        }
        relay.add_ready(done.transaction);
        let written = relay.write(&mut self.socket).await;
        self.skips_to_sync = relay.has_error() && request.unit.end == UnitEnd::Flush;
        if done.transaction == TransactionState::Idle {
            self.statements.forget_portals();
        }
        undo_all(relay.into_steps(), &mut self.statements);
        let held = HeldExchange {
            exchange,
            access: request.access,
            transaction: done.transaction,
            has_session_state: had_session_state || request.unit.makes_session_state,
        };
        self.share_or_hold(held).await;
        Ok(written?)
    }

    async fn share_or_hold(&mut self, held: HeldExchange) {
        if held.transaction == TransactionState::Idle && !held.has_session_state {
            held.exchange.release().await;
        } else {
            self.held = Some(held);
        }
    }

    /// Tells the caller of a failed request; the connection goes on where the
    /// protocol allows it.
    pub(super) async fn fail(
        &mut self,
        request: Request,
        mut relay: Relay,
        failure: RequestFailure,
    ) -> Result<(), ConnectionEnd> {
        let failure = with_return_time(failure);
        self.log_failure(&request, &failure);
        if failure.verdict != Verdict::NotRun && request.access == Access::Write {
            self.session.record_unknown_outcome();
        }
        if relay.has_written() {
            if !relay.is_between_messages() {
                return Err(ConnectionEnd::Gone);
            }
            relay.write(&mut self.socket).await?;
        }
        let reply = ErrorReply::of_failure(Severity::Error, &failure);
        self.answer_error(request.unit, &reply).await
    }

    /// Refuses a unit before anything of it has been run.
    async fn refuse(&mut self, unit: Unit, failure: RequestFailure) -> Result<(), ConnectionEnd> {
        let reply = ErrorReply::of_failure(Severity::Error, &failure);
        self.answer_error(unit, &reply).await
    }

    /// Answers a unit that was not run with an error. Within a transaction the
    /// connection ends: the back end does not know that the transaction has failed.
    async fn answer_error(&mut self, unit: Unit, reply: &ErrorReply) -> Result<(), ConnectionEnd> {
        undo_all(unit.steps, &mut self.statements);
        if self.transaction() != TransactionState::Idle {
            return Err(ConnectionEnd::Fatal(ErrorReply {
                severity: Severity::Fatal,
                ..reply.clone()
            }));
        }
        let mut relay = Relay::new(unit.end, Default::default());
        relay.add(&reply.encode());
        relay.add_ready(TransactionState::Idle);
        self.skips_to_sync = unit.end == UnitEnd::Flush;
        Ok(relay.write(&mut self.socket).await?)
    }

    /// Answers a unit in which no back end has a part.
    async fn answer_locally(&mut self, unit: Unit) -> Result<(), ConnectionEnd> {
        let mut relay = Relay::new(unit.end, unit.steps);
        relay.complete_locally();
        relay.add_ready(self.transaction());
        Ok(relay.write(&mut self.socket).await?)
    }

    pub(super) fn log_failure(&self, request: &Request, failure: &RequestFailure) {
        log::warn!(
            request:% = request.id, service:% = self.service, group:% = self.group,
            key = request.unit.key.as_deref().unwrap_or_default(),
            sqlstate = failure.sqlstate();
            "request failed: {failure}"
        );
    }
}
