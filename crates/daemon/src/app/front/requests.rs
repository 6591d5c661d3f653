//! Running a caller's units: locally, on the held exchange, or on one of the homes.

use super::attempt::{self, CallerLink, Interruption};
use super::caller::{Caller, ConnectionEnd, HeldExchange};
use super::relay::Relay;
use super::reply::{ErrorReply, Severity, parameter_status};
use super::retry::{RetryState, is_repeatable, with_return_time};
use super::rights;
use super::session::FLOOR_PARAMETER;
use super::telemetry::RequestTimer;
use super::unit::{Unit, UnitEnd, undo_all};
use crate::domain::classify::StatementAccess;
use crate::domain::exchange::{Access, OpenExchange, RunUnit, TransactionState, UnitDone};
use crate::domain::names::RequestId;
use crate::domain::resource::SessionPolicySpec;
use crate::domain::verdict::{FailureKind, RequestFailure, Verdict};
use crate::ports::exchange::HomeExchange;
use std::time::Duration;
use stilequay_coordination::identity::NodeId;
use tokio::time::{Instant, sleep, timeout};

/// A request on its way: what one unit needs at each attempt.
struct Request {
    id: RequestId,
    unit: Unit,
    access: Access,
    /// How long a home may send nothing.
    silence: Duration,
}

impl Request {
    fn run_unit(&self, time_left: Duration) -> RunUnit {
        RunUnit {
            request: self.id,
            access: self.access,
            time_left,
            makes_session_state: self.unit.makes_session_state,
            statements: self.unit.statements.clone(),
            payload: self.unit.payload.to_vec(),
        }
    }

    fn relay(&self) -> Relay {
        Relay::new(self.unit.end, self.unit.steps.clone())
    }
}

/// A unit that ran, and the exchange it ran on.
struct Completed {
    done: UnitDone,
    relay: Relay,
    exchange: Box<dyn HomeExchange>,
}

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

    /// Runs a unit on the exchange that its transaction or session state holds.
    async fn run_held(
        &mut self,
        mut held: HeldExchange,
        request: Request,
        policy: &SessionPolicySpec,
    ) -> Result<(), ConnectionEnd> {
        let mut relay = request.relay();
        let run = request.run_unit(policy.request_timeout());
        let mut link = CallerLink {
            socket: &mut self.socket,
            cancel: &mut self.cancel,
            cut: &self.shared.cut,
        };
        let attempt = attempt::run(
            held.exchange.as_mut(),
            run,
            &mut relay,
            &mut link,
            request.silence,
        );
        match attempt.await {
            Ok(done) => {
                let completed = Completed {
                    done,
                    relay,
                    exchange: held.exchange,
                };
                self.complete(request, completed, held.has_session_state)
                    .await
            }
            Err(Interruption::CallerGone(error)) => Err(error.into()),
            // The transaction or the session state is lost with its connection. To go
            // on would run the rest of the transaction outside of it.
            Err(Interruption::Failed(failure)) => {
                self.log_failure(&request, &failure);
                if !relay.is_between_messages() {
                    return Err(ConnectionEnd::Gone);
                }
                relay.write(&mut self.socket).await?;
                Err(ErrorReply::of_failure(Severity::Fatal, &failure).into())
            }
        }
    }

    /// Runs a unit on any home, trying again where that is harmless.
    async fn run_shared(
        &mut self,
        request: Request,
        policy: &SessionPolicySpec,
    ) -> Result<(), ConnectionEnd> {
        let settings = &self.shared.settings;
        let mut retries = RetryState::new(
            is_repeatable(&request.unit, self.session.repeat(), policy),
            Instant::now() + policy.request_timeout(),
            settings.max_attempts,
            Duration::from_millis(settings.retry_pause_millis),
        );
        loop {
            let homes = self.shared.homes.homes(&self.group, &request.access);
            let mut last = RequestFailure::not_run(
                FailureKind::HomeUnreachable,
                "no home of the database is known",
            );
            for home in homes {
                let mut relay = request.relay();
                match self.attempt(&home, &request, &mut relay, &retries).await {
                    Ok((done, exchange)) => {
                        let completed = Completed {
                            done,
                            relay,
                            exchange,
                        };
                        return self.complete(request, completed, false).await;
                    }
                    Err(Interruption::CallerGone(error)) => return Err(error.into()),
                    Err(Interruption::Failed(failure)) => {
                        if !retries.may_retry(&failure, relay.has_written()) {
                            return self.fail(request, relay, failure).await;
                        }
                        self.log_retry(&request, &home, &failure);
                        last = failure;
                    }
                }
            }
            let Some(pause) = retries.begin_round(&last) else {
                let relay = request.relay();
                return self.fail(request, relay, last).await;
            };
            if let Some(cancelled) = self.pause(pause).await {
                let relay = request.relay();
                return self.fail(request, relay, cancelled).await;
            }
        }
    }

    async fn attempt(
        &mut self,
        home: &NodeId,
        request: &Request,
        relay: &mut Relay,
        retries: &RetryState,
    ) -> Result<(UnitDone, Box<dyn HomeExchange>), Interruption> {
        let mut exchange = self
            .open(home, retries.time_left())
            .await
            .map_err(Interruption::Failed)?;
        let time_left = retries.time_left();
        let mut link = CallerLink {
            socket: &mut self.socket,
            cancel: &mut self.cancel,
            cut: &self.shared.cut,
        };
        let run = request.run_unit(time_left);
        let silence = request.silence;
        let done = attempt::run(exchange.as_mut(), run, relay, &mut link, silence).await?;
        Ok((done, exchange))
    }

    /// Opens an exchange; whatever goes wrong here, nothing has been run.
    async fn open(
        &mut self,
        home: &NodeId,
        time_left: Duration,
    ) -> Result<Box<dyn HomeExchange>, RequestFailure> {
        let open = OpenExchange {
            group: self.group.clone(),
            service: self.service.clone(),
            session: self.session.name().cloned(),
        };
        let opening = timeout(time_left, self.shared.connector.open(home, open));
        tokio::select! {
            opened = opening => opened.unwrap_or_else(|_| Err(RequestFailure::not_run(
                FailureKind::DeadlineExceeded,
                "no home could be reached in time",
            ))),
            () = self.cancel.requested() => Err(cancelled()),
        }
    }

    /// Waits before another round; a failure where the caller asked to cancel.
    async fn pause(&mut self, pause: Duration) -> Option<RequestFailure> {
        tokio::select! {
            () = sleep(pause) => None,
            () = self.cancel.requested() => Some(cancelled()),
        }
    }

    /// Ends a unit that ran: answers it, and shares or holds its connection.
    async fn complete(
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
    async fn fail(
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

    fn log_failure(&self, request: &Request, failure: &RequestFailure) {
        log::warn!(
            request:% = request.id, service:% = self.service, group:% = self.group,
            key = request.unit.key.as_deref().unwrap_or_default(),
            sqlstate = failure.sqlstate();
            "request failed: {failure}"
        );
    }

    fn log_retry(&self, request: &Request, home: &NodeId, failure: &RequestFailure) {
        metrics::counter!("stilequay_front_retries_total").increment(1);
        log::info!(
            request:% = request.id, group:% = self.group, home:% = home;
            "trying another home: {failure}"
        );
    }
}

fn cancelled() -> RequestFailure {
    RequestFailure::not_run(
        FailureKind::Cancelled,
        "canceling statement due to user request",
    )
}
