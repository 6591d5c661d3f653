//! The members of each group, as recorded in the store.
//!
//! A change of leader must consider every member that can hold an acknowledged commit. The
//! directory entries are not enough for that: the entry of a server that is away expires.
//! Processes remember such a server for a while, but if all of them restart at once, the next
//! lease holder would take the members present for all members. So the holder keeps a record of
//! each group's members, gone ones included for as long as they are remembered, and a promotion
//! reads it before it surveys the members.

use super::promotion_lease::PromotionLease;
use crate::decoding::{UndecodableKind, decode_record};
use crate::directory::{Departure, Member, MemberState, Role};
use crate::encoding;
use crate::engine::Engine;
use crate::names::{GroupName, MemberId, ZoneName};
use crate::ports::{MAX_PUTS_PER_CALL, PutOutcome, Record, RecordPut, RecordStoreError};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Prefix of the keys of these records.
const KEY_PREFIX: &str = "roster/";
/// Interval at which the lease holder compares the records with the directory entries.
const COMPARE_INTERVAL: Duration = Duration::from_millis(150);
/// Time without a new member after which a group that has no record counts as complete: the
/// servers of one group start together.
const JOIN_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// What a change of leader has to know of a member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RosterMember {
    /// Its id.
    pub id: MemberId,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

/// The members of a group, sorted by id.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The members.
    pub members: Vec<RosterMember>,
}

impl Roster {
    /// The key of the record of `group`.
    pub fn key(group: &str) -> String {
        format!("{KEY_PREFIX}{group}")
    }

    /// The members of `group` in this process's directory.
    fn of(engine: &Engine, group: &str) -> Self {
        let members = engine.directory().members_of(group);
        let members = members.iter().map(|member| RosterMember {
            id: member.id.clone(),
            address: member.address,
            zone: member.zone.clone(),
        });
        let mut members: Vec<RosterMember> = members.collect();
        members.sort();
        Self { members }
    }

    fn decode(engine: &Engine, record: &Record) -> Option<Self> {
        let kind = UndecodableKind::RosterRecord;
        decode_record(engine.events(), kind, &record.key, &record.value)
    }
}

/// Groups without a record, with their members and the time since which those are unchanged.
type NewGroups = HashMap<GroupName, (Roster, Instant)>;

/// Keeps the records up to date while this process holds the lease.
pub async fn maintain(engine: &Engine, lease: &PromotionLease) {
    let mut new_groups = NewGroups::new();
    let mut compared = None;
    loop {
        sleep(COMPARE_INTERVAL).await;
        if lease.check().is_none() {
            continue;
        }
        let versions = (
            engine.configuration().map(|known| known.version),
            engine.directory().version,
            engine.terms().version(),
        );
        if compared == Some(versions) {
            continue;
        }
        let mut is_complete = true;
        let mut puts_due = Vec::new();
        for group in engine.configured_groups() {
            match compare(engine, &group, &mut new_groups) {
                Comparison::Same => {}
                Comparison::Joining => is_complete = false,
                Comparison::Due(put) => puts_due.push(put),
            }
        }
        for puts in puts_due.chunks(MAX_PUTS_PER_CALL) {
            if let Err(error) = write_records(engine, puts).await {
                is_complete = false;
                log::warn!(
                    "failed to record the members of {} groups: {error}",
                    puts.len()
                );
                sleep(RETRY_PAUSE).await;
            }
        }
        compared = is_complete.then_some(versions);
    }
}

/// Result of comparing the record of a group with the directory entries.
enum Comparison {
    Same,
    /// There is no record yet, and members are still joining.
    Joining,
    /// The record has to be written.
    Due(RecordPut),
}

fn compare(engine: &Engine, group: &GroupName, new_groups: &mut NewGroups) -> Comparison {
    let key = Roster::key(group);
    let others = engine.terms().subscribe_other_records();
    let known = others.borrow().get(&key).cloned();
    let current = Roster::of(engine, group);
    if known
        .as_ref()
        .and_then(|known| Roster::decode(engine, known))
        .as_ref()
        == Some(&current)
    {
        return Comparison::Same;
    }
    if known.is_none() && is_joining(group, &current, new_groups) {
        return Comparison::Joining;
    }
    new_groups.remove(group);
    Comparison::Due(RecordPut {
        key,
        expected: known.map_or(0, |known| known.version),
        value: encoding::with_names(&current),
    })
}

/// Writes the records of several groups in one call, because the servers of the whole fleet
/// register when it starts. If another process has written one of them meanwhile, each record is
/// written by itself, and the conflicting one is left to the next comparison.
async fn write_records(engine: &Engine, puts: &[RecordPut]) -> Result<(), RecordStoreError> {
    let terms = engine.terms();
    if terms.put_other_records(puts.to_vec()).await? == PutOutcome::Conflict && puts.len() > 1 {
        for put in puts {
            terms.put_other_records(vec![put.clone()]).await?;
        }
    }
    Ok(())
}

/// Whether members are still joining a group without a record. Its servers have just started, and
/// each of them would cost another write.
fn is_joining(group: &GroupName, current: &Roster, new_groups: &mut NewGroups) -> bool {
    let now = Instant::now();
    let first = (Roster::default(), now);
    let (members, since) = new_groups.entry(group.clone()).or_insert(first);
    if members != current {
        (*members, *since) = (current.clone(), now);
    }
    now.duration_since(*since) < JOIN_SETTLE_TIME
}

/// Applies a record that was read or has changed, if it is a roster. Its members are known from
/// then on, for as long as gone members are remembered.
pub fn apply_record(engine: &Engine, record: &Record) {
    let Some(group) = record.key.strip_prefix(KEY_PREFIX) else {
        return;
    };
    if let Some(roster) = Roster::decode(engine, record) {
        add_missing_as_gone(engine, &GroupName::from(group), roster);
    }
}

/// Reads the record of `group` now and adds its members to the directory.
///
/// # Errors
///
/// [`RecordStoreError`] if the store did not answer.
pub async fn load(engine: &Engine, group: &GroupName) -> Result<(), RecordStoreError> {
    let key = Roster::key(group);
    let read = engine.terms().store().read(&key).await?;
    let record = read.written.iter().find(|record| record.key == key);
    if let Some(roster) = record.and_then(|record| Roster::decode(engine, record)) {
        add_missing_as_gone(engine, group, roster);
    }
    Ok(())
}

/// Adds recorded members that have no entry to the directory, as gone from now on.
fn add_missing_as_gone(engine: &Engine, group: &GroupName, roster: Roster) {
    let departure = Departure {
        learned_at: Instant::now(),
        earliest: None,
        lapsed_until: None,
    };
    let members = roster.members.into_iter().map(|known| Member {
        id: known.id,
        group: group.clone(),
        address: known.address,
        zone: known.zone,
        role: Role::Replica,
        slots: 0,
        cold_until: None,
        state: MemberState::Gone(departure),
        changed: 0,
    });
    engine.add_missing_members(members.collect());
}
