//! How the counters of the shards answer this process.

use super::SHARDS;
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
enum Reach {
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
pub(super) enum Look {
    /// It asks, and waits for the answer.
    Ask,
    /// It asks for the sake of those that follow, and waits for another shard's answer.
    Probe,
    /// It asks only where no other shard grants: somebody asks already.
    Late,
    /// It does not ask.
    Lost,
}

/// How all shards answer.
#[derive(Debug, Default)]
pub(super) struct ShardReach {
    shards: Mutex<[Reach; SHARDS]>,
}

impl ShardReach {
    /// What to do about `shard` now. Only one operation is told to probe it.
    pub(super) fn look(&self, shard: Shard, now: Instant) -> Look {
        let mut shards = self.lock();
        match shards[shard] {
            Reach::Answers => Look::Ask,
            Reach::Late { .. } => Look::Late,
            Reach::Lost { until, .. } if now < until => Look::Lost,
            Reach::Lost { pause, .. } => {
                shards[shard] = Reach::Late { pause: Some(pause) };
                Look::Probe
            }
        }
    }

    /// Notes that an answer takes longer than it should.
    pub(super) fn note_late(&self, shard: Shard) {
        let mut shards = self.lock();
        if let Reach::Answers = shards[shard] {
            shards[shard] = Reach::Late { pause: None };
        }
    }

    /// Notes that the counter has answered.
    pub(super) fn note_answer(&self, shard: Shard) {
        self.lock()[shard] = Reach::Answers;
    }

    /// Notes that nobody was found that counts `shard`. The pause doubles while it stays lost.
    pub(super) fn note_lost(&self, shard: Shard, now: Instant) {
        let mut shards = self.lock();
        let pause = match shards[shard] {
            Reach::Late { pause: Some(last) } => (last * 2).min(LOST_PAUSE_MAX),
            Reach::Lost { pause, .. } => pause,
            Reach::Answers | Reach::Late { pause: None } => LOST_PAUSE,
        };
        let until = now + pause;
        shards[shard] = Reach::Lost { until, pause };
    }

    fn lock(&self) -> MutexGuard<'_, [Reach; SHARDS]> {
        self.shards.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
