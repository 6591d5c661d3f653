//! The members together: who reaches whom, and who leads.

use super::member::{Member, lock};
use super::settings::ElectionSettings;
use super::state::Role;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard};

/// An election, with times in microseconds since the epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Election {
    /// The term the members voted for.
    pub term: u32,
    /// The name of the winner.
    pub primary: String,
    /// How long the member that called the election had missed a primary, in microseconds.
    pub missed_us: u64,
    /// When the members voted.
    pub voted_at_us: u64,
    /// When the winner began to accept writes; none while it prepares.
    pub accepting_at_us: Option<u64>,
}

/// All members, and the elections so far.
pub(crate) struct Cluster {
    pub(crate) members: Vec<Arc<Member>>,
    pub(crate) election: ElectionSettings,
    /// Held while members look at each other, so that each step sees one state of the group.
    coordination: Mutex<()>,
    elections: Mutex<Vec<Election>>,
}

impl Cluster {
    /// A cluster of `members`.
    pub(crate) fn new(members: Vec<Arc<Member>>, election: ElectionSettings) -> Self {
        Self {
            members,
            election,
            coordination: Mutex::default(),
            elections: Mutex::default(),
        }
    }

    /// Keeps other members from voting or following while the guard lives.
    pub(crate) fn coordinate(&self) -> MutexGuard<'_, ()> {
        lock(&self.coordination)
    }

    /// The elections so far.
    pub(crate) fn elections(&self) -> MutexGuard<'_, Vec<Election>> {
        lock(&self.elections)
    }

    /// The members that `member` exchanges messages with now.
    pub(crate) fn peers<'a>(&'a self, member: &'a Member) -> impl Iterator<Item = &'a Arc<Member>> {
        let own = member.condition();
        self.members.iter().filter(move |peer| {
            let other = peer.condition();
            let both_act = own.acts() && other.acts();
            peer.name != member.name && both_act && !own.cut && !other.cut
        })
    }

    /// How many votes win an election.
    pub(crate) fn majority(&self) -> usize {
        let voting = self
            .members
            .iter()
            .filter(|member| !member.condition().leaving);
        voting.count() / 2 + 1
    }

    /// The primary that `member` follows, if it reaches it.
    pub(crate) fn primary_within_reach(&self, member: &Member) -> Option<Arc<Member>> {
        let term = member.state().term;
        let leads = |peer: &&Arc<Member>| {
            let state = peer.state();
            state.role == Role::Primary && state.term == term
        };
        self.peers(member).find(leads).cloned()
    }
}
