//! Getting a unit to a home: the one that holds the caller's connection, or any of
//! the group's.

use super::attempt::{self, CallerLink, Interruption};
use super::caller::{Caller, ConnectionEnd, HeldExchange};
use super::relay::Relay;
use super::reply::{ErrorReply, Severity};
use super::retry::{RetryState, is_repeatable};
use super::unit::Unit;
use crate::domain::exchange::{Access, OpenExchange, RunUnit, UnitDone};
use crate::domain::names::RequestId;
use crate::domain::resource::SessionPolicySpec;
use crate::domain::verdict::{FailureKind, RequestFailure};
use crate::ports::exchange::HomeExchange;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::identity::NodeId;
use tokio::time::{Instant, sleep, timeout};

/// A request on its way: what one unit needs at each attempt.
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) unit: Unit,
    pub(super) access: Access,
    /// How long a home may send nothing.
    pub(super) silence: Duration,
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
pub(super) struct Completed {
    pub(super) done: UnitDone,
    pub(super) relay: Relay,
    pub(super) exchange: Box<dyn HomeExchange>,
}

impl Caller {
    /// Runs a unit on the exchange that its transaction or session state holds.
    pub(super) async fn run_held(
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
    pub(super) async fn run_shared(
        &mut self,
        request: Request,
        policy: &SessionPolicySpec,
    ) -> Result<(), ConnectionEnd> {
        let mut retries = RetryState::new(
            is_repeatable(&request.unit, self.session.repeat(), policy),
            Instant::now() + policy.request_timeout(),
            &self.shared.settings,
            Arc::clone(&self.shared.retry_budget),
        );
        loop {
            let homes = self.shared.homes.homes(&self.group, &request.access);
            let homes = self.shared.health.order(homes);
            let mut last = RequestFailure::not_run(
                FailureKind::HomeUnreachable,
                "no home of the database is known",
            );
            for home in homes {
                let mut relay = request.relay();
                match self.attempt(&home, &request, &mut relay, &retries).await {
                    Ok((done, exchange)) => {
                        self.shared.health.record_success(&home);
                        let completed = Completed {
                            done,
                            relay,
                            exchange,
                        };
                        return self.complete(request, completed, false).await;
                    }
                    Err(Interruption::CallerGone(error)) => return Err(error.into()),
                    Err(Interruption::Failed(failure)) => {
                        self.shared.health.record_failure(&home, &failure);
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
        let limit = time_left.min(self.shared.settings.open_timeout());
        let opening = timeout(limit, self.shared.connector.open(home, open));
        tokio::select! {
            opened = opening => opened.unwrap_or_else(|_| Err(RequestFailure::not_run(
                FailureKind::HomeUnreachable,
                "the home could not be reached in time",
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
