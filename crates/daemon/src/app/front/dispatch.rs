//! Getting a unit to a home: the one that holds the session's connection, or any of
//! the group's.

use super::attempt::{self, AttemptError};
use super::retry::{RetryState, is_repeatable};
use super::session::{CallerSession, HeldExchange, Request, RunError, UnitRun};
use super::trace::RequestTrace;
use crate::domain::exchange::{OpenExchange, RunUnit, UnitDone};
use crate::domain::resource::SessionPolicySpec;
use crate::domain::verdict::{FailureKind, RequestFailure};
use crate::ports::caller::{CallerLink, Interruption};
use crate::ports::exchange::HomeExchange;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::identity::NodeId;
use tokio::time::{Instant, sleep, timeout};

impl Request {
    fn run_unit(&self, time_left: Duration) -> RunUnit {
        RunUnit {
            request: self.id,
            access: self.access,
            time_left,
            makes_session_state: self.unit.makes_session_state,
            statements: self.unit.statements.clone(),
            payload: self.unit.payload.clone(),
        }
    }
}

impl CallerSession {
    /// Runs a unit on the exchange that its transaction or session state holds.
    pub(super) async fn run_held(
        &mut self,
        mut held: HeldExchange,
        request: &Request,
        policy: &SessionPolicySpec,
        caller: &mut dyn CallerLink,
    ) -> Result<UnitRun, RunError> {
        caller.begin_answer();
        let run = request.run_unit(policy.request_timeout());
        let exchange = held.exchange.as_mut();
        let silence = request.silence;
        match attempt::run(exchange, run, caller, &self.front.cut, silence).await {
            Ok(done) => Ok(self.done(request, done, held.exchange, held.has_session_state)),
            Err(AttemptError::CallerGone) => Err(RunError::CallerGone),
            // The transaction or the session state is lost with its connection. To go
            // on would run the rest of the transaction outside of it.
            Err(AttemptError::Failed(failure)) => Err(RunError::SessionLost(failure)),
        }
    }

    fn done(
        &mut self,
        request: &Request,
        done: UnitDone,
        exchange: Box<dyn HomeExchange>,
        had_session_state: bool,
    ) -> UnitRun {
        let held = HeldExchange {
            exchange,
            access: request.access,
            transaction: done.transaction,
            has_session_state: had_session_state || request.unit.makes_session_state,
        };
        self.completed(done.floor, held)
    }

    /// Runs a unit on any home, trying again where that is harmless.
    pub(super) async fn run_shared(
        &mut self,
        request: &Request,
        policy: &SessionPolicySpec,
        caller: &mut dyn CallerLink,
        trace: &mut RequestTrace,
    ) -> Result<UnitRun, RunError> {
        let mut retries = RetryState::new(
            is_repeatable(&request.unit, self.repeat, policy),
            Instant::now() + policy.request_timeout(),
            &self.front.settings,
            Arc::clone(&self.front.retry_budget),
        );
        loop {
            let homes = self.front.homes.homes(&self.group, &request.access);
            let homes = self.front.health.order(homes);
            let mut last = RequestFailure::not_run(
                FailureKind::HomeUnreachable,
                "no home of the database is known",
            );
            for home in homes {
                caller.begin_answer();
                match self.attempt(&home, request, caller, &retries).await {
                    Ok((done, exchange)) => {
                        self.front.health.record_success(&home);
                        trace.attempted(&home, "completed");
                        return Ok(self.done(request, done, exchange, false));
                    }
                    Err(AttemptError::CallerGone) => return Err(RunError::CallerGone),
                    Err(AttemptError::Failed(failure)) => {
                        self.front.health.record_failure(&home, &failure);
                        trace.attempted(&home, failure.to_string());
                        if !retries.may_retry(&failure, caller.has_passed_on()) {
                            return Err(self.failed(request, failure));
                        }
                        metrics::counter!("stilequay_front_retries_total").increment(1);
                        last = failure;
                    }
                }
            }
            let Some(pause) = retries.begin_round(&last) else {
                return Err(self.failed(request, last));
            };
            match unless_interrupted(caller, sleep(pause)).await {
                Ok(()) => {}
                Err(AttemptError::CallerGone) => return Err(RunError::CallerGone),
                Err(AttemptError::Failed(failure)) => return Err(self.failed(request, failure)),
            }
        }
    }

    async fn attempt(
        &mut self,
        home: &NodeId,
        request: &Request,
        caller: &mut dyn CallerLink,
        retries: &RetryState,
    ) -> Result<(UnitDone, Box<dyn HomeExchange>), AttemptError> {
        let mut exchange = self
            .open_exchange(home, retries.time_left(), caller)
            .await?;
        let run = request.run_unit(retries.time_left());
        let silence = request.silence;
        let running = attempt::run(exchange.as_mut(), run, caller, &self.front.cut, silence);
        let done = running.await?;
        Ok((done, exchange))
    }

    /// Opens an exchange; whatever goes wrong here, nothing has been run.
    async fn open_exchange(
        &mut self,
        home: &NodeId,
        time_left: Duration,
        caller: &mut dyn CallerLink,
    ) -> Result<Box<dyn HomeExchange>, AttemptError> {
        let open = OpenExchange {
            group: self.group.clone(),
            service: self.service.clone(),
            session: self.freshness.name().cloned(),
        };
        let limit = time_left.min(self.front.settings.open_timeout());
        let opening = timeout(limit, self.front.connector.open(home, open));
        let opened = unless_interrupted(caller, opening).await?;
        let opened = opened.unwrap_or_else(|_| {
            Err(RequestFailure::not_run(
                FailureKind::HomeUnreachable,
                "the home could not be reached in time",
            ))
        });
        opened.map_err(AttemptError::Failed)
    }
}

/// Waits for `work`, before which nothing of the unit has been sent, unless the caller
/// asks to cancel or is gone.
async fn unless_interrupted<T>(
    caller: &mut dyn CallerLink,
    work: impl Future<Output = T>,
) -> Result<T, AttemptError> {
    tokio::select! {
        output = work => Ok(output),
        interruption = caller.interrupted() => Err(match interruption {
            Interruption::CancelRequested => AttemptError::Failed(cancelled()),
            Interruption::Gone => AttemptError::CallerGone,
        }),
    }
}

fn cancelled() -> RequestFailure {
    RequestFailure::not_run(
        FailureKind::Cancelled,
        "canceling statement due to user request",
    )
}
