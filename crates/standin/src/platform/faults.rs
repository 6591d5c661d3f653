//! The faults of one service and the decision whether a call meets them.

use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;
use std::time::Duration;

/// How a service fails as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Outage {
    /// Connections are refused, existing ones are broken off.
    Refuse,
    /// Calls are accepted and wait; they are handled once the outage is over,
    /// also when their callers have left by then.
    Hang,
    /// Calls are answered with an internal server error and have no effect.
    Error,
    /// All calls are throttled.
    Throttle,
}

/// Which limit the table service names when it throttles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum ThrottledLimit {
    /// The provisioned throughput of the table.
    #[default]
    Resource,
    /// The rate of all requests of the account.
    Account,
}

/// When a call whose answer is lost is broken off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum LossMoment {
    /// The call never takes effect.
    BeforeEffect,
    /// The call has taken effect.
    #[default]
    AfterEffect,
}

/// Which calls lose their answers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum LossSelection {
    /// The next calls, so many.
    Next(u32),
    /// Each call with this probability, drawn from a generator with this seed.
    Random {
        /// From 0 to 1.
        probability: f64,
        /// Seed of the generator.
        seed: u64,
    },
}

/// Answers that are lost: the connection is closed in place of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct AnswerLoss {
    /// Which calls.
    pub selection: LossSelection,
    /// Before or after their effect.
    #[serde(default)]
    pub moment: LossMoment,
    /// Only calls of these operations; any if empty.
    #[serde(default)]
    pub operations: Vec<String>,
}

/// All faults of one service; the default is none.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// The service as a whole is out of order.
    pub outage: Option<Outage>,
    /// Calls over this rate are throttled; a burst of one second's calls is allowed.
    pub calls_per_second: Option<NonZeroU32>,
    /// Which limit throttled calls are told about.
    pub throttled_limit: ThrottledLimit,
    /// Time that each call waits before it takes effect.
    pub latency_millis: u64,
    /// Time that each answer waits after the call has taken effect.
    pub answer_latency_millis: u64,
    /// Answers that are lost.
    pub answer_loss: Option<AnswerLoss>,
}

impl ServiceFaults {
    /// The latency before the effect.
    pub fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_millis)
    }

    /// The latency after the effect.
    pub fn answer_latency(&self) -> Duration {
        Duration::from_millis(self.answer_latency_millis)
    }
}

/// Draws the fate of calls under one [`ServiceFaults`].
#[derive(Debug, Default)]
pub struct FaultDraw {
    limiter: Option<DefaultDirectRateLimiter>,
    loss: Option<LossDraw>,
}

#[derive(Debug)]
struct LossDraw {
    loss: AnswerLoss,
    remaining: u32,
    generator: StdRng,
}

impl FaultDraw {
    /// Begins drawing under `faults`.
    pub fn new(faults: &ServiceFaults) -> Self {
        let limiter = faults
            .calls_per_second
            .map(|rate| RateLimiter::direct(Quota::per_second(rate)));
        let loss = faults.answer_loss.clone().map(LossDraw::new);
        Self { limiter, loss }
    }

    /// Whether the call is over the rate.
    pub fn throttles(&self) -> bool {
        self.limiter
            .as_ref()
            .is_some_and(|limiter| limiter.check().is_err())
    }

    /// When the call of `operation` loses its answer, if it does.
    pub fn loses_answer(&mut self, operation: &str) -> Option<LossMoment> {
        self.loss.as_mut()?.draw(operation)
    }
}

impl LossDraw {
    fn new(loss: AnswerLoss) -> Self {
        let (remaining, seed) = match loss.selection {
            LossSelection::Next(count) => (count, 0),
            LossSelection::Random { seed, .. } => (0, seed),
        };
        let generator = StdRng::seed_from_u64(seed);
        Self {
            loss,
            remaining,
            generator,
        }
    }

    fn draw(&mut self, operation: &str) -> Option<LossMoment> {
        let operations = &self.loss.operations;
        if !operations.is_empty() && !operations.iter().any(|named| named == operation) {
            return None;
        }
        let lost = match self.loss.selection {
            LossSelection::Next(_) => self.take_one(),
            LossSelection::Random { probability, .. } => {
                self.generator.random_bool(probability.clamp(0.0, 1.0))
            }
        };
        lost.then_some(self.loss.moment)
    }

    fn take_one(&mut self) -> bool {
        let lost = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        lost
    }
}
