//! Read-your-writes consistency: the log position that the reads of a session must include.

use crate::group::{Epoch, Group, PositionSample, PositionSource};
use crate::names::GroupName;
use crate::position::LogPosition;
use tokio::time::Instant;

/// The newest acknowledged commit of a session, which sets the lower bound for its reads.
#[derive(Debug, Clone, Default)]
pub struct SessionFloor {
    commit: Option<SessionCommit>,
}

/// An acknowledged commit of the session.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SessionCommit {
    group: GroupName,
    epoch: Epoch,
    position: Option<LogPosition>,
    acknowledged: Instant,
}

impl SessionCommit {
    /// The position that the leader reported with the commit.
    fn sample(&self) -> Option<PositionSample> {
        Some(PositionSample {
            position: self.position?,
            at: self.acknowledged,
            epoch: self.epoch,
            source: PositionSource::Leader,
        })
    }
}

/// The log position that a member needs to serve reads of the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloorRequirement {
    /// The session has not written to the group, so any position will do.
    Unconstrained,
    /// The log must have reached the position of this sample.
    Position(PositionSample),
    /// Only the leader is known to have the commit.
    LeaderOnly,
}

impl SessionFloor {
    /// Records a commit that the leader of `epoch` has just acknowledged.
    pub fn record_commit(
        &mut self,
        group: &GroupName,
        epoch: Epoch,
        position: Option<LogPosition>,
    ) {
        self.commit = Some(SessionCommit {
            group: group.clone(),
            epoch,
            position,
            acknowledged: Instant::now(),
        });
    }

    /// Returns the log position that reads of `group` require.
    ///
    /// The position reported with a commit may include later commits, which may be lost together
    /// with the leader. After a change of leader it is therefore replaced by a position that covers
    /// the moment of the acknowledgement.
    pub fn requirement(&self, group: &Group) -> FloorRequirement {
        let Some(commit) = self.commit.as_ref() else {
            return FloorRequirement::Unconstrained;
        };
        if commit.group != *group.name() {
            return FloorRequirement::Unconstrained;
        }
        let sample = commit
            .sample()
            .filter(|_| commit.epoch == group.view().epoch);
        match sample.or_else(|| group.covering_sample(commit.acknowledged)) {
            Some(sample) => FloorRequirement::Position(sample),
            None => FloorRequirement::LeaderOnly,
        }
    }
}
