//! What stands before every call of the platform: a deadline, a limit on the
//! rate of calls, a circuit breaker, repetition with jittered backoff where
//! that is safe, and metrics.
//!
//! A call that the guard refuses has not been sent, so that nothing was changed.

mod circuit;
mod guarded;
mod settings;

pub use guarded::{GuardedMachineList, GuardedResourceTable, GuardedSnapshotStore};
pub use settings::GuardSettings;

use crate::ports::platform::PlatformError;
use circuit::{Admission, Circuit};
use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use rand::RngExt;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The guard of one service of the platform.
#[derive(Debug)]
pub struct Guard {
    service: &'static str,
    /// Time that one call may take, its wait under the rate limit included.
    call_timeout: Duration,
    settings: GuardSettings,
    circuit: Circuit,
    limiter: DefaultDirectRateLimiter,
}

impl Guard {
    /// A guard with its circuit closed; `service` names the service in metrics
    /// and errors, and one call may take `call_timeout`.
    pub fn new(service: &'static str, call_timeout: Duration, settings: GuardSettings) -> Self {
        let quota = Quota::per_second(settings.calls_per_second).allow_burst(settings.burst);
        Self {
            service,
            call_timeout,
            circuit: Circuit::new(service, &settings),
            limiter: RateLimiter::direct(quota),
            settings,
        }
    }

    /// Runs `attempt` once, within the timeout of a call.
    ///
    /// The timeout begins before the call waits for its turn under the rate limit.
    pub async fn once<T>(
        &self,
        call: &'static str,
        attempt: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let deadline = Instant::now() + self.call_timeout;
        self.attempt(call, deadline, attempt).await
    }

    /// Runs a call that changes nothing as [`Self::repeat`] does. A lost answer is
    /// `Unavailable`: it means no more than that there is none.
    pub async fn read<T, F>(
        &self,
        call: &'static str,
        attempt: impl Fn() -> F,
    ) -> Result<T, PlatformError>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        let result = self.repeat(call, attempt).await;
        result.map_err(nothing_changed)
    }

    /// Runs `attempt` until it succeeds, fails for good, or the time in which
    /// repetitions may begin is over. Only for calls that are safe to repeat.
    ///
    /// Once the outcome of one attempt is unknown, an attempt that was refused
    /// does not make it known.
    pub async fn repeat<T, F>(
        &self,
        call: &'static str,
        attempt: impl Fn() -> F,
    ) -> Result<T, PlatformError>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        let end = Instant::now() + self.settings.repeat_within();
        let mut pause = self.settings.shortest_pause();
        let mut unknown = None;
        loop {
            let deadline = Instant::now() + self.call_timeout;
            let error = match self.attempt(call, deadline, attempt()).await {
                Ok(value) => return Ok(value),
                Err(error) if !may_pass(&error) => return Err(error),
                Err(error) => error,
            };
            let wait = jittered(pause.max(asked_pause(&error)));
            if matches!(error, PlatformError::OutcomeUnknown(_)) {
                unknown = Some(error.clone());
            }
            if Instant::now() + wait >= end {
                return Err(unknown.unwrap_or(error));
            }
            tokio::time::sleep(wait).await;
            pause = (pause * 2).min(self.settings.longest_pause());
        }
    }

    async fn attempt<T>(
        &self,
        call: &'static str,
        deadline: Instant,
        attempt: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let result = self.admitted(call, deadline, attempt).await;
        let outcome = outcome_label(&result);
        metrics::counter!(
            "stilequay_platform_calls_total",
            "service" => self.service, "call" => call, "outcome" => outcome
        )
        .increment(1);
        result
    }

    async fn admitted<T>(
        &self,
        call: &'static str,
        deadline: Instant,
        attempt: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let admission = self.circuit.admit()?;
        self.wait_for_turn(deadline).await?;
        let sent = Instant::now();
        let result = timeout_at(deadline, attempt).await;
        metrics::histogram!(
            "stilequay_platform_call_duration_seconds",
            "service" => self.service, "call" => call
        )
        .record(sent.elapsed());
        let result = result.unwrap_or_else(|_| Err(self.no_answer()));
        record(admission, &result);
        result
    }

    async fn wait_for_turn(&self, deadline: Instant) -> Result<(), PlatformError> {
        timeout_at(deadline, self.limiter.until_ready())
            .await
            .map_err(|_| PlatformError::Throttled(None))
    }

    fn no_answer(&self) -> PlatformError {
        PlatformError::OutcomeUnknown(format!("no answer from {} in time", self.service))
    }
}

/// Tells the circuit how the call went. A service that answers is in order,
/// also where it refuses.
fn record<T>(admission: Admission<'_>, result: &Result<T, PlatformError>) {
    match result {
        Err(PlatformError::Unavailable(_) | PlatformError::OutcomeUnknown(_)) => {
            admission.failed();
        }
        Ok(_)
        | Err(
            PlatformError::ConditionFailed
            | PlatformError::Throttled(_)
            | PlatformError::Malformed(_),
        ) => admission.answered(),
    }
}

/// The error of a call that changes nothing: a lost answer means no more than
/// that there is none.
fn nothing_changed(error: PlatformError) -> PlatformError {
    match error {
        PlatformError::OutcomeUnknown(reason) => PlatformError::Unavailable(reason),
        other => other,
    }
}

/// Whether the cause of the error may pass by itself.
fn may_pass(error: &PlatformError) -> bool {
    match error {
        PlatformError::Throttled(_)
        | PlatformError::Unavailable(_)
        | PlatformError::OutcomeUnknown(_) => true,
        PlatformError::ConditionFailed | PlatformError::Malformed(_) => false,
    }
}

/// The pause that the service asked for.
fn asked_pause(error: &PlatformError) -> Duration {
    match error {
        PlatformError::Throttled(Some(retry_after)) => *retry_after,
        _ => Duration::ZERO,
    }
}

/// Between one and one and a half times `pause`: never less than asked for.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(1.0..1.5))
}

fn outcome_label<T>(result: &Result<T, PlatformError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(PlatformError::ConditionFailed) => "condition_failed",
        Err(PlatformError::Throttled(_)) => "throttled",
        Err(PlatformError::Unavailable(_)) => "unavailable",
        Err(PlatformError::OutcomeUnknown(_)) => "outcome_unknown",
        Err(PlatformError::Malformed(_)) => "malformed",
    }
}
