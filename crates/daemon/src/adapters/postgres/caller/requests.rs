//! A caller's units from their beginning to their answer.

use super::caller::{Caller, ConnectionEnd};
use super::link::UnitLink;
use super::parameters::{self, FLOOR_PARAMETER};
use super::relay::Relay;
use super::reply::{ErrorReply, Severity, parameter_status};
use super::unit::{Unit, UnitEnd, undo_all};
use crate::app::front::{self, RunError, UnitRun};
use crate::domain::exchange::TransactionState;
use crate::domain::verdict::RequestFailure;

/// The answer to a unit that the application has run, and what is left to tell.
struct Answered {
    relay: Relay,
    outcome: Result<UnitRun, RunError>,
}

impl Caller {
    /// Runs one unit and answers it.
    pub(super) async fn run_unit(&mut self, mut unit: Unit) -> Result<(), ConnectionEnd> {
        self.cancel.reset();
        let front = self.session.front();
        let configuration = front::configuration(front.configuration())?;
        let (service, group) = (self.session.service(), self.session.group());
        let policy = front::policy_for(&configuration, service, group)?;
        if let Err(reply) = self.apply_settings(&unit) {
            return self.answer_error(unit, &reply).await;
        }
        if let Some(refusal) = unit.refusal.clone() {
            return self.refuse(unit, refusal).await;
        }
        if unit.is_local() && self.session.transaction() != TransactionState::Unsynced {
            return self.answer_locally(unit).await;
        }
        let steps = unit.steps.clone();
        let mut link = UnitLink::new(&mut self.socket, &mut self.cancel, unit.end, steps);
        let request = unit.take_request();
        let outcome = self.session.run(request, &policy, &mut link).await;
        let relay = link.relay;
        self.answer(unit, Answered { relay, outcome }).await
    }

    fn apply_settings(&mut self, unit: &Unit) -> Result<(), ErrorReply> {
        let session = &mut self.session;
        unit.settings.iter().try_for_each(|setting| {
            parameters::apply(setting, &mut session.freshness, &mut session.repeat)
        })
    }

    async fn answer(&mut self, unit: Unit, answered: Answered) -> Result<(), ConnectionEnd> {
        let Answered { relay, outcome } = answered;
        match outcome {
            Ok(run) => self.complete(&unit, run, relay).await,
            Err(RunError::CallerGone) => Err(ConnectionEnd::Gone),
            Err(RunError::Failed(failure)) => self.fail(unit, relay, failure).await,
            Err(RunError::SessionLost(failure)) => {
                self.write_whole_messages(relay).await?;
                Err(ErrorReply::of_failure(Severity::Fatal, &failure).into())
            }
        }
    }

    /// Ends the answer to a unit that ran, and shares or holds its connection.
    async fn complete(
        &mut self,
        unit: &Unit,
        run: UnitRun,
        mut relay: Relay,
    ) -> Result<(), ConnectionEnd> {
        if let Some(floor) = run.floor {
            relay.add(&parameter_status(FLOOR_PARAMETER, &floor.to_string()));
        }
        relay.add_ready(run.transaction);
        let written = relay.write(&mut self.socket).await;
        self.skips_to_sync = relay.has_error() && unit.end == UnitEnd::Flush;
        if run.transaction == TransactionState::Idle {
            self.statements.forget_portals();
        }
        undo_all(relay.into_steps(), &mut self.statements);
        self.session.keep(run).await;
        Ok(written?)
    }

    /// Tells the caller of a failed request; the connection goes on where the
    /// protocol allows it.
    async fn fail(
        &mut self,
        unit: Unit,
        relay: Relay,
        failure: RequestFailure,
    ) -> Result<(), ConnectionEnd> {
        if relay.has_written() {
            self.write_whole_messages(relay).await?;
        }
        let reply = ErrorReply::of_failure(Severity::Error, &failure);
        self.answer_error(unit, &reply).await
    }

    /// Writes what came of an answer that has ended early, if it ends with a message.
    async fn write_whole_messages(&mut self, mut relay: Relay) -> Result<(), ConnectionEnd> {
        if !relay.is_between_messages() {
            return Err(ConnectionEnd::Gone);
        }
        Ok(relay.write(&mut self.socket).await?)
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
        if self.session.transaction() != TransactionState::Idle {
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
        relay.add_ready(self.session.transaction());
        Ok(relay.write(&mut self.socket).await?)
    }
}
