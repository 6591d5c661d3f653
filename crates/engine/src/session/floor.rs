//! What a session has written, as its next reads must see it.

use crate::group::{Epoch, Group};
use crate::names::GroupName;
use crate::position::LogPosition;
use tokio::time::Instant;

/// The session's newest acknowledged commit.
#[derive(Debug, Clone, Default)]
pub struct SessionFloor {
    commit: Option<SessionCommit>,
}

/// A commit of the session.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SessionCommit {
    group: GroupName,
    epoch: Epoch,
    position: Option<LogPosition>,
    acknowledged: Instant,
}

/// How far a log must have come for the session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloorRequirement {
    /// The session has written nothing there.
    Unconstrained,
    /// Anything at or above this position.
    Position(LogPosition),
    /// The leader's log alone is known to hold it.
    LeaderOnly,
}

impl SessionFloor {
    /// Takes a commit that the leader of `epoch` has acknowledged by now.
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

    /// What reads of `group` must see.
    ///
    /// The position told with a commit may count later commits too, and those may be
    /// lost with the leader: so after a change of leader another position is asked for,
    /// one that covers the moment of the acknowledgement.
    pub fn requirement(&self, group: &Group) -> FloorRequirement {
        let Some(commit) = self.commit.as_ref() else {
            return FloorRequirement::Unconstrained;
        };
        if commit.group != *group.name() {
            return FloorRequirement::Unconstrained;
        }
        let position = commit
            .position
            .filter(|_| commit.epoch == group.view().epoch);
        match position.or_else(|| group.covering_position(commit.acknowledged)) {
            Some(position) => FloorRequirement::Position(position),
            None => FloorRequirement::LeaderOnly,
        }
    }
}
