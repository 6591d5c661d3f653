//! Tracks which shards' counters respond to this process.

use super::SHARD_COUNT;
use super::counter::Shard;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Initial pause before a lost shard is probed again. After a restart of all processes, leases are
/// taken over within about 100 ms.
const LOST_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause. Meanwhile callers are served from the shares of the other shards.
const LOST_PAUSE_MAX: Duration = Duration::from_millis(400);

/// Health of one shard's counter.
#[derive(Debug, Clone, Copy, Default)]
enum CounterHealth {
    /// It responds in time.
    #[default]
    Answers,
    /// A request is pending for longer than expected. `pause` is the previous pause if the shard
    /// was lost before.
    Late { pause: Option<Duration> },
    /// All candidates were queried, and none of them counts the shard.
    Lost { until: Instant, pause: Duration },
}

/// How an operation treats a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Action {
    /// Sends a request and waits for the reply.
    Wait,
    /// Sends a request to update the shard's health for later operations, but goes on to another
    /// shard without waiting.
    Probe,
    /// Sends a request only if no other shard grants a permit, because another operation's request
    /// is already pending.
    Skip,
    /// Sends no request.
    Ignore,
}

/// Health of all shards' counters.
#[derive(Debug, Default)]
pub(super) struct ShardHealth {
    shards: Mutex<[CounterHealth; SHARD_COUNT]>,
}

impl ShardHealth {
    /// Returns how an operation treats `shard` now. Only one operation at a time probes a lost
    /// shard.
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

    /// Records that a reply takes longer than expected.
    pub(super) fn record_late(&self, shard: Shard) {
        let mut shards = self.lock();
        if let CounterHealth::Answers = shards[shard] {
            shards[shard] = CounterHealth::Late { pause: None };
        }
    }

    /// Records that the counter has replied.
    pub(super) fn record_answer(&self, shard: Shard) {
        self.lock()[shard] = CounterHealth::Answers;
    }

    /// Records that no process was found that counts `shard`. The pause doubles while the shard
    /// stays lost.
    pub(super) fn record_lost(&self, shard: Shard, now: Instant) {
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
