//! Directory of members, built from the entries in the store. Each server keeps an entry of itself
//! there, which expires unless it is renewed.

use crate::names::{GroupName, MemberId, ZoneName, are_incarnations_of_same_server};
use crate::version::{StoreVersion, era_of};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Role that a member reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Leads the group.
    Primary,
    /// Follows the leader.
    Replica,
}

/// When a member's departure became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// When this process learned of it.
    pub learned_at: Instant,
    /// The earliest time at which other processes may have learned of it: when the entries were
    /// last known not to contain it. `None` if they had never been read before.
    pub earliest: Option<Instant>,
    /// Until when a missing entry is expected to reappear: entries lapse while the store is
    /// unavailable, and running servers write theirs again soon after it has returned. `None`
    /// if the store was available.
    pub lapsed_until: Option<Instant>,
}

impl Departure {
    /// A departure that no process can have known of before `now`.
    pub fn at(now: Instant) -> Self {
        Self {
            learned_at: now,
            earliest: Some(now),
            lapsed_until: None,
        }
    }

    /// The same departure, with entries that may have lapsed because the store was unavailable
    /// until `returned`.
    pub fn lapsing(self, returned: Option<Instant>) -> Self {
        Self {
            lapsed_until: returned.map(|returned| returned + LAPSE_GRACE),
            ..self
        }
    }

    /// Whether the entry is still expected to reappear.
    pub fn is_lapse(&self, now: Instant) -> bool {
        self.lapsed_until.is_some_and(|until| now < until)
    }

    /// Whether other processes may have known of it for more than `limit`.
    pub fn may_be_older_than(&self, limit: Duration, now: Instant) -> bool {
        self.earliest
            .is_none_or(|earliest| now.duration_since(earliest) > limit)
    }
}

/// Time after the store's return within which running servers have written their entries again:
/// about two seconds, plus the time until this process learns of them.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// Whether statements are sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Accepts statements.
    Ready,
    /// Has announced that it is going to leave.
    Leaving(Departure),
    /// Its entry is missing because the store was unavailable, and is expected to reappear. The
    /// member is used as before.
    Lapsed(Departure),
    /// Its entry has been removed; it may still be serving.
    Gone(Departure),
}

impl MemberState {
    /// The name of the state in events.
    pub fn name(self) -> &'static str {
        match self {
            MemberState::Ready => "ready",
            MemberState::Leaving(_) => "leaving",
            MemberState::Lapsed(_) => "lapsed",
            MemberState::Gone(_) => "gone",
        }
    }

    /// Whether the state permits new statements.
    pub fn takes_work(&self) -> bool {
        matches!(self, MemberState::Ready | MemberState::Lapsed(_))
    }
}

impl serde::Serialize for MemberState {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

/// One server of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identity of this incarnation of the server.
    pub id: MemberId,
    /// Its group.
    pub group: GroupName,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// The role that it last reported.
    pub role: Role,
    /// Number of statements that it runs concurrently.
    pub slots: usize,
    /// Until when it is cold after its start, as far as it has reported; `None` if it is not.
    pub cold_until: Option<Instant>,
    /// Whether statements are sent to it.
    pub state: MemberState,
    /// The store's version of the last change included here, which is the same in all processes;
    /// zero if unknown.
    pub changed: StoreVersion,
}

impl Member {
    /// Whether both are equal except for the version of the last change.
    fn same_except_version(&self, other: &Self) -> bool {
        let changed = other.changed;
        *other
            == Self {
                changed,
                ..self.clone()
            }
    }

    /// Whether its entry is present.
    pub fn has_entry(&self) -> bool {
        matches!(self.state, MemberState::Ready | MemberState::Leaving(_))
    }

    /// Whether its entry has been removed.
    pub fn is_gone(&self) -> bool {
        matches!(self.state, MemberState::Gone(_))
    }
}

/// All members, as of one version of their entries.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The newest version of a change included here.
    pub version: StoreVersion,
    members: HashMap<MemberId, Arc<Member>>,
    /// Members by group; rebuilt after each change.
    groups: BTreeMap<GroupName, Vec<Arc<Member>>>,
    /// The names of the groups, sorted.
    sorted_groups: Arc<[GroupName]>,
    /// The newest version of a change that this directory no longer contains, because the member
    /// was removed. The changes since an older version are not known completely.
    forgotten_version: StoreVersion,
}

/// How long a removed entry is kept as gone.
pub const GONE_RETENTION: Duration = Duration::from_secs(60);

impl Directory {
    /// The members of `group` in no particular order, including gone ones.
    pub fn members_of(&self, group: &str) -> Vec<Arc<Member>> {
        self.groups.get(group).cloned().unwrap_or_default()
    }

    /// The member `id`, if its entry is present or was removed recently.
    pub fn member(&self, id: &str) -> Option<&Arc<Member>> {
        self.members.get(id)
    }

    /// The member that acts for `id`: itself while its entry is present, otherwise a primary that
    /// reappeared in its place, at `address` or at the last address of `id`.
    pub fn acting_member(
        &self,
        group: &str,
        id: &str,
        address: Option<SocketAddr>,
    ) -> Option<&Arc<Member>> {
        let known = self.members.get(id);
        if known.is_some_and(|member| member.has_entry()) {
            return known;
        }
        let address = known.map(|member| member.address).or(address);
        let id = known.map(|member| &member.id);
        let successor = self.members.values().find(|member| {
            let in_place = Some(member.address) == address && &*member.group == group;
            let has_log = id.is_none_or(|id| !are_incarnations_of_same_server(id, &member.id));
            in_place && has_log && member.role == Role::Primary && member.has_entry()
        });
        successor.or(known)
    }

    /// Whether the server of `member` has restarted: a later incarnation answers there now, which
    /// has none of the state of this one.
    pub fn has_restarted(&self, member: &Member) -> bool {
        let group = self.groups.get(&member.group);
        let mut others = group.into_iter().flatten();
        others.any(|other| {
            other.has_entry() && are_incarnations_of_same_server(&member.id, &other.id)
        })
    }

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values()
    }

    /// The members that have changed after `version`; `None` if the directory no longer contains
    /// some of these changes.
    pub fn changes_since(&self, version: u64) -> Option<impl Iterator<Item = &Arc<Member>>> {
        let members = self.members.values();
        let changed = members.filter(move |member| member.changed > version);
        (version >= self.forgotten_version).then_some(changed)
    }

    /// The groups that have members.
    pub fn groups(&self) -> Vec<GroupName> {
        self.groups.keys().cloned().collect()
    }

    /// The groups that have members, sorted.
    pub fn group_names(&self) -> &Arc<[GroupName]> {
        &self.sorted_groups
    }

    /// Whether `group` has members.
    pub fn has_group(&self, group: &str) -> bool {
        self.groups.contains_key(group)
    }

    /// Rebuilds the groups after a change.
    fn regrouped(mut self) -> Self {
        self.groups.clear();
        for member in self.members.values() {
            let group = self.groups.entry(member.group.clone()).or_default();
            group.push(Arc::clone(member));
        }
        self.sorted_groups = self.groups.keys().cloned().collect();
        self
    }

    /// The directory extended by those of `members` that it does not know; `None` if it knows them
    /// all.
    pub fn with_unknown(&self, members: Vec<Member>) -> Option<Self> {
        let unknown = members.into_iter();
        let unknown = unknown.filter(|member| !self.members.contains_key(&member.id));
        let unknown: Vec<Member> = unknown.collect();
        if unknown.is_empty() {
            return None;
        }
        let mut next = self.clone();
        let added = unknown.into_iter();
        next.members
            .extend(added.map(|member| (member.id.clone(), Arc::new(member))));
        Some(next.regrouped())
    }

    /// The directory after a complete read of the entries `present` as of `version`. Members
    /// without an entry have gone, with `departure`.
    pub fn with_entries(&self, version: u64, present: Vec<Member>, departure: Departure) -> Self {
        let mut next = Self {
            version: self.version,
            forgotten_version: self.forgotten_version,
            ..Self::default()
        };
        let restored = era_of(version) > era_of(self.version);
        for member in present {
            next.insert(
                self.with_change_version(self.with_kept_departure(member, restored), version),
            );
        }
        for (id, member) in &self.members {
            if !next.members.contains_key(id) {
                next.record_gone(member, departure, version);
            }
        }
        next.regrouped()
    }

    /// The directory after `changes` of entries, the last of them with `version`.
    pub fn with_changes(
        &self,
        version: u64,
        changes: Vec<DirectoryChange>,
        departure: Departure,
    ) -> Self {
        let mut next = self.clone();
        for change in changes {
            match change {
                DirectoryChange::Present(member) => {
                    next.insert(
                        self.with_change_version(self.with_kept_departure(member, false), version),
                    );
                }
                DirectoryChange::Gone { id, changed } => {
                    if let Some(member) = self.members.get(&id) {
                        next.record_gone(member, departure, changed);
                    }
                }
            }
        }
        next.remove_expired_gone(departure.learned_at);
        next.regrouped()
    }

    /// The directory as of `version`, given all members `changed` since this one.
    pub fn merged_with(&self, version: u64, changed: Vec<Member>, now: Instant) -> Self {
        let mut next = self.clone();
        for member in changed {
            next.insert(self.with_kept_departure(member, false));
        }
        next.version = next.version.max(version);
        next.remove_expired_gone(now);
        next.regrouped()
    }

    /// Inserts or replaces a member as it is.
    fn insert(&mut self, member: Member) {
        self.version = self.version.max(member.changed);
        self.members.insert(member.id.clone(), Arc::new(member));
    }

    /// The member with the version of its last change: that of the known member if nothing has
    /// changed, otherwise its own if that is newer, otherwise `read`.
    fn with_change_version(&self, member: Member, read: u64) -> Member {
        let known = self.members.get(&member.id);
        let before = known.map_or(0, |known| known.changed);
        let same = known.is_some_and(|known| known.same_except_version(&member));
        let changed = match same {
            true => before,
            false if member.changed > before => member.changed,
            false => read,
        };
        Member { changed, ..member }
    }

    /// Removes a member and records the version of its last change in `forgotten_version`.
    fn remove(&mut self, id: &str) {
        let removed = self.members.remove(id);
        let changed = removed.map_or(0, |member| member.changed);
        self.forgotten_version = self.forgotten_version.max(changed);
    }

    /// Removes members that have been gone for longer than [`GONE_RETENTION`]: no task waits for
    /// them any longer.
    fn remove_expired_gone(&mut self, now: Instant) {
        let is_expired = |member: &Member| match member.state {
            MemberState::Gone(known) => now.duration_since(known.learned_at) > GONE_RETENTION,
            _ => false,
        };
        let members = self.members.values();
        let expired = members.filter(|member| is_expired(member));
        let expired: Vec<MemberId> = expired.map(|member| member.id.clone()).collect();
        expired.iter().for_each(|id| self.remove(id));
    }

    /// Keeps the departure of a member that was already leaving. If the store was `restored` from a
    /// backup, the member stays leaving even if its entry no longer says so.
    fn with_kept_departure(&self, mut member: Member, restored: bool) -> Member {
        let before = self.members.get(&member.id).map(|known| known.state);
        let leaves = matches!(member.state, MemberState::Leaving(_));
        if let Some(known @ MemberState::Leaving(_)) = before
            && (leaves || restored)
        {
            member.state = known;
        }
        member
    }

    /// Whether another server has an entry with the address of `member`.
    fn is_replaced(&self, member: &Member) -> bool {
        let mut others = self.members.values();
        others.any(|other| {
            other.id != member.id && other.address == member.address && other.has_entry()
        })
    }

    /// The directory with members whose lapse has lasted too long by `now` marked as gone; `None`
    /// if there are none.
    pub fn without_expired_lapses(&self, now: Instant) -> Option<Self> {
        let is_expired = |member: &&Arc<Member>| match member.state {
            MemberState::Lapsed(departure) => !departure.is_lapse(now),
            _ => false,
        };
        let expired: Vec<Arc<Member>> = self.members.values().filter(is_expired).cloned().collect();
        if expired.is_empty() {
            return None;
        }
        let mut next = self.clone();
        for member in expired {
            // Keeps the version: the lapse was recorded as a change, and every process detects its
            // expiry by itself.
            next.record_gone(&member, Departure::at(now), member.changed);
        }
        Some(next.regrouped())
    }

    /// Records that the entry of `member` was removed in the version `changed`.
    fn record_gone(&mut self, member: &Arc<Member>, departure: Departure, changed: u64) {
        let now = departure.learned_at;
        let departure = match member.state {
            MemberState::Gone(known) | MemberState::Leaving(known) => known,
            MemberState::Lapsed(known) if known.is_lapse(now) => known,
            MemberState::Lapsed(known) => Departure {
                lapsed_until: None,
                ..known
            },
            MemberState::Ready => departure,
        };
        let changed = match member.has_entry() {
            true => changed,
            // It was missing already, so this is no change.
            false => member.changed,
        };
        if departure.is_lapse(now) && !self.is_replaced(member) {
            let lapsed = Member {
                state: MemberState::Lapsed(departure),
                changed,
                ..Member::clone(member)
            };
            self.insert(lapsed);
            return;
        }
        if now.duration_since(departure.learned_at) > GONE_RETENTION {
            self.members.remove(&member.id);
            self.forgotten_version = self.forgotten_version.max(changed);
            return;
        }
        let gone = Member {
            state: MemberState::Gone(departure),
            changed,
            ..Member::clone(member)
        };
        self.insert(gone);
    }
}

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// An entry was added or changed.
    Present(Member),
    /// An entry was removed.
    Gone {
        /// The member whose entry it was.
        id: MemberId,
        /// The store's version of the removal.
        changed: StoreVersion,
    },
}
