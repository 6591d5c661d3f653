//! History of log positions known to cover points in time.

use crate::group::Epoch;
use crate::position::LogPosition;
use serde::Serialize;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// How a covering position was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PositionSource {
    /// From an answer of the leader.
    Leader,
    /// From the snapshot of another process.
    Peer,
    /// From the answers of the group's members, as the highest position received.
    Survey,
}

impl PositionSource {
    /// The value of the `source` label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            PositionSource::Leader => "leader",
            PositionSource::Peer => "peer",
            PositionSource::Survey => "survey",
        }
    }
}

/// The result of recording a reported position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PositionOutcome {
    /// It was added.
    Recorded,
    /// A position is known that covers the same time or a later one.
    Superseded,
    /// It is lower than this known position.
    BelowKnown(LogPosition),
}

/// States that every commit acknowledged before `at` is at or below `position`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionSample {
    /// The log position.
    pub position: LogPosition,
    /// The covered point in time.
    pub at: Instant,
    /// The epoch in which the position was learned.
    pub epoch: Epoch,
    /// How the position was learned.
    pub source: PositionSource,
}

/// Minimum interval between stored samples.
const SPACING: Duration = Duration::from_millis(60);
/// Minimum interval between samples that are shared with other processes, and their maximum
/// number.
const SHARED_SPACING: Duration = Duration::from_millis(300);
const MAX_SHARED: usize = 10;
/// Maximum number of stored samples, more than needed for the largest staleness that routes
/// allow.
const CAPACITY: usize = 96;

/// Bounded history of samples, oldest first.
#[derive(Debug, Clone, Default)]
pub struct PositionSamples {
    kept: VecDeque<PositionSample>,
    newest: Option<PositionSample>,
}

impl PositionSamples {
    /// Adds a sample, unless it covers no later time than the newest one. Returns whether it was
    /// added.
    pub fn record(&mut self, sample: PositionSample) -> bool {
        let adds = self
            .newest
            .is_none_or(|newest| (sample.at, sample.epoch) > (newest.at, newest.epoch));
        if !adds {
            return false;
        }
        self.newest = Some(sample);
        let spaced = self
            .kept
            .back()
            .is_none_or(|last| sample.at >= last.at + SPACING || sample.epoch > last.epoch);
        if spaced {
            self.kept.push_back(sample);
            if self.kept.len() > CAPACITY {
                self.kept.pop_front();
            }
        }
        true
    }

    /// Samples to share with another process, oldest first: the newest one, and earlier ones of
    /// its epoch at intervals of at least `SHARED_SPACING`.
    pub fn samples_to_share(&self) -> Vec<PositionSample> {
        let Some(newest) = self.newest else {
            return Vec::new();
        };
        let mut shared = vec![newest];
        for sample in self.kept.iter().rev() {
            let earlier = shared
                .last()
                .is_some_and(|last| sample.at + SHARED_SPACING <= last.at);
            if earlier && sample.epoch == newest.epoch && shared.len() < MAX_SHARED {
                shared.push(*sample);
            }
        }
        shared.reverse();
        shared
    }

    /// The sample that covers the latest time.
    pub fn newest(&self) -> Option<PositionSample> {
        self.newest
    }

    /// The oldest position that covers `moment`, preferably one of the newest epoch, since the
    /// tail of an earlier epoch's log may have been lost with its leader.
    pub fn covering(&self, moment: Instant) -> Option<LogPosition> {
        self.covering_sample(moment).map(|sample| sample.position)
    }

    /// The sample of [`PositionSamples::covering`].
    pub fn covering_sample(&self, moment: Instant) -> Option<PositionSample> {
        let newest = self.newest.filter(|sample| sample.at >= moment)?;
        let covering = self.kept.partition_point(|sample| sample.at < moment);
        let epoch_start = self
            .kept
            .partition_point(|sample| sample.epoch < newest.epoch);
        let oldest = self.kept.get(covering.max(epoch_start));
        Some(*oldest.unwrap_or(&newest))
    }
}
