//! Positions that are known to cover moments.

use crate::group::Epoch;
use crate::position::LogPosition;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Every commit acknowledged before `at` lies at or below `position`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PositionSample {
    /// The position.
    pub position: LogPosition,
    /// The moment.
    pub at: Instant,
    /// The epoch in which the position was learned.
    pub epoch: Epoch,
}

/// Least time between two samples that are kept.
const SPACING: Duration = Duration::from_millis(60);
/// The same for samples that are told to other processes, and how many these are.
const SHARED_SPACING: Duration = Duration::from_millis(300);
const MAX_SHARED: usize = 10;
/// Greatest number of samples kept: more than any staleness that routes allow needs.
const CAPACITY: usize = 96;

/// A bounded history of samples, oldest first.
#[derive(Debug, Default)]
pub struct PositionSamples {
    kept: VecDeque<PositionSample>,
    newest: Option<PositionSample>,
}

impl PositionSamples {
    /// Adds a sample. One that covers no later moment than the newest adds nothing.
    pub fn record(&mut self, sample: PositionSample) {
        let adds = self
            .newest
            .is_none_or(|newest| (sample.at, sample.epoch) > (newest.at, newest.epoch));
        if !adds {
            return;
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
    }

    /// Samples for another process, oldest first: the newest, and earlier ones of its epoch
    /// some time apart.
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

    /// The sample that covers the latest moment.
    pub fn newest(&self) -> Option<PositionSample> {
        self.newest
    }

    /// The oldest position that covers `moment`; one of the newest epoch if there is any,
    /// since the end of an earlier epoch's log may have been lost with its leader.
    pub fn covering(&self, moment: Instant) -> Option<LogPosition> {
        let newest = self.newest.filter(|sample| sample.at >= moment)?;
        let covering = self.kept.partition_point(|sample| sample.at < moment);
        let epoch_start = self
            .kept
            .partition_point(|sample| sample.epoch < newest.epoch);
        let oldest = self.kept.get(covering.max(epoch_start)).unwrap_or(&newest);
        Some(oldest.position)
    }
}
