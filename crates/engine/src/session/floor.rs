//! Read-your-writes consistency: the log position that the reads of a session must include.

use crate::group::{Epoch, Group, PositionSample, PositionSource};
use crate::names::GroupName;
use crate::position::LogPosition;
use tokio::time::Instant;

/// Maximum number of groups of which a session keeps its newest commit. A session writes to several
/// groups only if its route moves.
const MAX_GROUPS: usize = 8;

/// The newest acknowledged commit of a session in each group, which sets the lower bound for its
/// reads there.
///
/// The commits of at most [`MAX_GROUPS`] groups are kept. Of a group whose commit was dropped, only
/// an upper bound of the time of the acknowledgement is known, which gives a higher lower bound.
#[derive(Debug, Clone, Default)]
pub struct SessionFloor {
    commits: Vec<SessionCommit>,
    /// When the newest of the dropped commits was acknowledged.
    dropped_until: Option<Instant>,
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
        self.commits.retain(|commit| commit.group != *group);
        if self.commits.len() >= MAX_GROUPS {
            self.drop_oldest();
        }
        self.commits.push(SessionCommit {
            group: group.clone(),
            epoch,
            position,
            acknowledged: Instant::now(),
        });
    }

    fn drop_oldest(&mut self) {
        // They are in the order in which they were acknowledged.
        let oldest = self.commits.remove(0);
        self.dropped_until = Some(oldest.acknowledged);
    }

    /// Returns the log position that reads of `group` require.
    ///
    /// The position reported with a commit may include later commits, which may be lost together
    /// with the leader. After a change of leader it is therefore replaced by a position that covers
    /// the moment of the acknowledgement.
    pub fn requirement(&self, group: &Group) -> FloorRequirement {
        let Some(commit) = self.commits.iter().find(|c| c.group == *group.name()) else {
            return match self.dropped_until {
                Some(until) => covering_requirement(group, until),
                None => FloorRequirement::Unconstrained,
            };
        };
        let sample = commit
            .sample()
            .filter(|_| commit.epoch == group.view().epoch);
        match sample {
            Some(sample) => FloorRequirement::Position(sample),
            None => covering_requirement(group, commit.acknowledged),
        }
    }
}

/// Returns the requirement that covers every commit acknowledged until `until`.
fn covering_requirement(group: &Group, until: Instant) -> FloorRequirement {
    match group.covering_sample(until) {
        Some(sample) => FloorRequirement::Position(sample),
        None => FloorRequirement::LeaderOnly,
    }
}
