//! The directory of members: which servers there are, as of when.

use crate::names::{GroupName, MemberId, ZoneName};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Role that a member says it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It leads.
    Primary,
    /// It follows.
    Replica,
}

/// Whether a member is to get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It takes work.
    Ready,
    /// It has said that it is going to leave.
    Leaving {
        /// When this was learned.
        #[serde(skip)]
        since: Instant,
    },
    /// Its entry is no longer there; it may still serve.
    Gone {
        /// When this was learned.
        #[serde(skip)]
        since: Instant,
    },
}

/// One server of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its identity, for this life.
    pub id: MemberId,
    /// Its group.
    pub group: GroupName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// The role that it told last.
    pub role: Role,
    /// Statements that it runs at a time.
    pub slots: usize,
    /// Whether it is to get work.
    pub state: MemberState,
}

impl Member {
    /// Whether its entry has gone.
    pub fn is_gone(&self) -> bool {
        matches!(self.state, MemberState::Gone { .. })
    }
}

/// All members, as of one reading of their entries.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The entries' version.
    pub version: u64,
    members: HashMap<MemberId, Arc<Member>>,
}

/// How long an entry that went away is remembered.
pub const GONE_MEMORY: Duration = Duration::from_secs(60);

impl Directory {
    /// The members of `group`, in no order, gone ones included.
    pub fn members_of(&self, group: &str) -> Vec<Arc<Member>> {
        let members = self.members.values();
        members.filter(|m| &*m.group == group).cloned().collect()
    }

    /// The member called `id`, if its entry is there or was lately.
    pub fn member(&self, id: &str) -> Option<&Arc<Member>> {
        self.members.get(id)
    }

    /// The member that acts for `id`: itself while its entry is there, else a leader that
    /// has come back in its place, at `address` or where `id` was.
    pub fn acting_member(
        &self,
        group: &str,
        id: &str,
        address: Option<SocketAddr>,
    ) -> Option<&Arc<Member>> {
        let known = self.members.get(id);
        if known.is_some_and(|member| !member.is_gone()) {
            return known;
        }
        let address = known.map(|member| member.address).or(address);
        let successor = self.members.values().find(|member| {
            let in_place = Some(member.address) == address && &*member.group == group;
            in_place && member.role == Role::Primary && !member.is_gone()
        });
        successor.or(known)
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }

    /// The groups that have members.
    pub fn groups(&self) -> Vec<GroupName> {
        let mut groups: Vec<_> = self.members.values().map(|m| m.group.clone()).collect();
        groups.sort();
        groups.dedup();
        groups
    }

    /// The directory after the entries `present`, read in whole at `now`.
    pub fn replaced(&self, version: u64, present: Vec<Member>, now: Instant) -> Self {
        let mut next = Self {
            version,
            members: HashMap::new(),
        };
        for member in present {
            let member = self.keep_since(member);
            next.members.insert(member.id.clone(), Arc::new(member));
        }
        for (id, member) in &self.members {
            if !next.members.contains_key(id) {
                next.insert_gone(member, now);
            }
        }
        next
    }

    /// The directory after some entries have changed.
    pub fn updated(&self, version: u64, changes: Vec<DirectoryChange>, now: Instant) -> Self {
        let mut next = self.clone();
        next.version = version;
        for change in changes {
            match change {
                DirectoryChange::Present(member) => {
                    let member = self.keep_since(member);
                    next.members.insert(member.id.clone(), Arc::new(member));
                }
                DirectoryChange::Gone(id) => {
                    if let Some(member) = self.members.get(&id) {
                        next.insert_gone(member, now);
                    }
                }
            }
        }
        next
    }

    /// A member that was leaving already has been so since then.
    fn keep_since(&self, mut member: Member) -> Member {
        let before = self.members.get(&member.id).map(|known| known.state);
        if let (MemberState::Leaving { .. }, Some(known @ MemberState::Leaving { .. })) =
            (member.state, before)
        {
            member.state = known;
        }
        member
    }

    fn insert_gone(&mut self, member: &Arc<Member>, now: Instant) {
        let since = match member.state {
            MemberState::Gone { since } | MemberState::Leaving { since } => since,
            MemberState::Ready => now,
        };
        if now.duration_since(since) > GONE_MEMORY {
            self.members.remove(&member.id);
            return;
        }
        let gone = Member {
            state: MemberState::Gone { since },
            ..Member::clone(member)
        };
        self.members.insert(gone.id.clone(), Arc::new(gone));
    }
}

/// One change of the entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// An entry is there, new or changed.
    Present(Member),
    /// An entry has gone.
    Gone(MemberId),
}
