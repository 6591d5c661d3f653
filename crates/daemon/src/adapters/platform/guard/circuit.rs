//! A circuit breaker: after several calls in a row without an answer, calls are
//! refused for a while, and then one at a time probes the service.

use super::settings::GuardSettings;
use crate::ports::platform::PlatformError;
use rand::RngExt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The circuit of one service.
#[derive(Debug)]
pub(super) struct Circuit {
    service: &'static str,
    failures_to_open: u32,
    open_for: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// Calls pass; so many in a row have had no answer.
    Closed { failures: u32 },
    /// No call passes before this time.
    Open { until: Instant },
    /// One call is under way to probe the service.
    Probing,
}

/// The permission for one call. Dropped without a verdict, as when the caller
/// gives up, it counts as no call; a probe that was dropped is made up for by
/// the next call.
#[derive(Debug)]
#[must_use]
pub(super) struct Admission<'a> {
    circuit: &'a Circuit,
    is_probe: bool,
    judged: bool,
}

impl Circuit {
    pub(super) fn new(service: &'static str, settings: &GuardSettings) -> Self {
        let circuit = Self {
            service,
            failures_to_open: settings.circuit_failures.get(),
            open_for: settings.circuit_open(),
            state: Mutex::new(State::Closed { failures: 0 }),
        };
        circuit.show_open(false);
        circuit
    }

    /// Admits a call, unless the circuit is open.
    pub(super) fn admit(&self) -> Result<Admission<'_>, PlatformError> {
        let mut state = self.state();
        let is_probe = match *state {
            State::Closed { .. } => false,
            State::Open { until } if until <= Instant::now() => {
                *state = State::Probing;
                true
            }
            State::Open { .. } | State::Probing => return Err(self.refusal()),
        };
        Ok(Admission {
            circuit: self,
            is_probe,
            judged: false,
        })
    }

    fn refusal(&self) -> PlatformError {
        let reason = format!(
            "{} has not answered lately, the circuit is open",
            self.service
        );
        PlatformError::Unavailable(reason)
    }

    fn answered(&self) {
        let before = std::mem::replace(&mut *self.state(), State::Closed { failures: 0 });
        if !matches!(before, State::Closed { .. }) {
            log::info!(service = self.service; "the platform answers again");
            self.show_open(false);
        }
    }

    fn failed(&self, is_probe: bool) {
        let mut state = self.state();
        match *state {
            State::Closed { failures } if failures + 1 < self.failures_to_open => {
                *state = State::Closed {
                    failures: failures + 1,
                };
            }
            State::Closed { .. } => {
                *state = self.open();
                log::warn!(service = self.service; "the platform does not answer, the circuit opens");
                self.show_open(true);
            }
            State::Probing if is_probe => *state = self.open(),
            // A call admitted before the circuit opened tells nothing new.
            State::Open { .. } | State::Probing => {}
        }
    }

    /// Lets the next call probe in place of a probe that was given up.
    fn probe_given_up(&self) {
        let mut state = self.state();
        if matches!(*state, State::Probing) {
            let until = Instant::now();
            *state = State::Open { until };
        }
    }

    /// Open for a random time around the set one, so that daemons do not probe
    /// all at once.
    fn open(&self) -> State {
        let factor = rand::rng().random_range(0.5..1.5);
        State::Open {
            until: Instant::now() + self.open_for.mul_f64(factor),
        }
    }

    fn show_open(&self, open: bool) {
        metrics::gauge!("stilequay_platform_circuit_open", "service" => self.service)
            .set(if open { 1.0 } else { 0.0 });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Admission<'_> {
    /// The service answered the call.
    pub(super) fn answered(mut self) {
        self.judged = true;
        self.circuit.answered();
    }

    /// The service did not answer, or said that it is out of order.
    pub(super) fn failed(mut self) {
        self.judged = true;
        self.circuit.failed(self.is_probe);
    }
}

impl Drop for Admission<'_> {
    fn drop(&mut self) {
        if self.is_probe && !self.judged {
            self.circuit.probe_given_up();
        }
    }
}
