//! How the counters of the shards answer this process.

use super::SHARD_COUNT;
use super::counter::Shard;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// First pause before a lost shard is asked for again: after a restart of all processes leases
/// are taken over within some 100 ms.
const LOST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause: what is left of a limit serves callers meanwhile.
const LOST_PAUSE_MAX: Duration = Duration::from_millis(400);

/// How one shard's counter answers.
#[derive(Debug, Clone, Copy, Default)]
enum CounterHealth {
    /// As it should.
    #[default]
    Answers,
    /// A question is under way for longer than it should; `pause` is the last one, if the shard
    /// was lost before.
    Late { pause: Option<Duration> },
    /// All candidates were asked, and none counts it.
    Lost { until: Instant, pause: Duration },
}

/// What an operation does about a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Action {
    /// It asks, and waits for the answer.
    Wait,
    /// It asks for the sake of those that follow, and waits for another shard's answer.
    Probe,
    /// It asks only where no other shard grants: somebody asks already.
    Skip,
    /// It does not ask.
    Ignore,
}

/// How all shards answer.
#[derive(Debug, Default)]
pub(super) struct ShardHealth {
    shards: Mutex<[CounterHealth; SHARD_COUNT]>,
}

impl ShardHealth {
    /// What to do about `shard` now. Only one operation is told to probe it.
    pub(super) fn next_action(&self, shard: Shard, now: Instant) -> Action {
        let mut shards = self.lock();
        match shards[shard] {
            CounterHealth::Answers => Action::Wait,
            CounterHealth::Late { .. } => Action::Skip,
            CounterHealth::Lost { until, .. } if now < until => Action::Ignore,
            CounterHealth::Lost { pause, .. } => {
                shards[shard] = CounterHealth::Late { pause: Some(pause) };
                Action::Probe
            }
        }
    }

    /// Notes that an answer takes longer than it should.
    pub(super) fn note_late(&self, shard: Shard) {
        let mut shards = self.lock();
        if let CounterHealth::Answers = shards[shard] {
            shards[shard] = CounterHealth::Late { pause: None };
        }
    }

    /// Notes that the counter has answered.
    pub(super) fn note_answer(&self, shard: Shard) {
        self.lock()[shard] = CounterHealth::Answers;
    }

    /// Notes that nobody was found that counts `shard`. The pause doubles while it stays lost.
    pub(super) fn note_lost(&self, shard: Shard, now: Instant) {
        let mut shards = self.lock();
        let pause = match shards[shard] {
            CounterHealth::Late { pause: Some(last) } => (last * 2).min(LOST_PAUSE_MAX),
            CounterHealth::Lost { pause, .. } => pause,
            CounterHealth::Answers | CounterHealth::Late { pause: None } => LOST_PAUSE,
        };
        let until = now + pause;
        shards[shard] = CounterHealth::Lost { until, pause };
    }

    fn lock(&self) -> MutexGuard<'_, [CounterHealth; SHARD_COUNT]> {
        self.shards.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
