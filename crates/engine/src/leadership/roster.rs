//! The members of each group, as they are kept in the store.
//!
//! A change of leader must hear of every member that can hold an acknowledged commit. The
//! servers' entries don't tell that: the entry of one that is away goes. Processes remember
//! it for a while, but all of them may end at once, and then the next holder of the lease
//! would take the members that are there for all of them. So the holder keeps a record of
//! each group's members, gone ones included for as long as they are remembered, and a
//! promotion reads it before it asks the members.

use super::duty::Duty;
use crate::directory::{Departure, Member, MemberState, Role};
use crate::encoding;
use crate::engine::Engine;
use crate::names::{GroupName, MemberId, ZoneName};
use crate::ports::{PUTS_AT_ONCE, PutOutcome, Record, RecordPut, RecordStoreError};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Prefix of the keys of these records.
const KEY_PREFIX: &str = "roster/";
/// Interval in which the holder of the lease compares the records with the entries.
const COMPARE_INTERVAL: Duration = Duration::from_millis(150);
/// Time without a further member after which a group that has no record is complete: servers of
/// one group start together.
const JOINING: Duration = Duration::from_secs(1);
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// A member, as far as a change of leader has to know it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RosterMember {
    /// Its identity.
    pub id: MemberId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

/// The members of a group, by their ids.
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

    /// The members of `group` as this process knows them.
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

    fn decode(record: &Record) -> Option<Self> {
        rmp_serde::from_slice(&record.value).ok()
    }
}

/// Groups without a record, and since when their members are what they are.
type NewGroups = HashMap<GroupName, (Roster, Instant)>;

/// Keeps the records while this process holds the lease.
pub async fn keep(engine: &Engine, duty: &Duty) {
    let mut new_groups = NewGroups::new();
    let mut compared = None;
    loop {
        sleep(COMPARE_INTERVAL).await;
        if duty.check().is_none() {
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
        let mut is_done = true;
        let mut due = Vec::new();
        for group in engine.configured_groups() {
            match comparison(engine, &group, &mut new_groups) {
                Comparison::Same => {}
                Comparison::Joining => is_done = false,
                Comparison::Due(put) => due.push(put),
            }
        }
        for puts in due.chunks(PUTS_AT_ONCE) {
            if let Err(error) = write(engine, puts).await {
                is_done = false;
                log::warn!(
                    "the members of {} groups were not recorded: {error}",
                    puts.len()
                );
                sleep(RETRY_PAUSE).await;
            }
        }
        compared = is_done.then_some(versions);
    }
}

/// How the record of a group compares with the entries.
enum Comparison {
    Same,
    /// There is none yet, and members still join.
    Joining,
    /// It is to be written.
    Due(RecordPut),
}

fn comparison(engine: &Engine, group: &GroupName, new_groups: &mut NewGroups) -> Comparison {
    let key = Roster::key(group);
    let others = engine.terms().subscribe_others();
    let known = others.borrow().get(&key).cloned();
    let current = Roster::of(engine, group);
    if known.as_ref().and_then(Roster::decode).as_ref() == Some(&current) {
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

/// Writes the records of several groups in one call: the servers of a whole fleet register at its
/// start. Where another process has written one of them meanwhile, each is written by itself, and
/// that one is left to the next comparison.
async fn write(engine: &Engine, puts: &[RecordPut]) -> Result<(), RecordStoreError> {
    let terms = engine.terms();
    if terms.put_others(puts.to_vec()).await? == PutOutcome::Conflict && puts.len() > 1 {
        for put in puts {
            terms.put_others(vec![put.clone()]).await?;
        }
    }
    Ok(())
}

/// Whether the members of a group without a record still join it: its servers have just started,
/// and each of them would cost a further record.
fn is_joining(group: &GroupName, current: &Roster, new_groups: &mut NewGroups) -> bool {
    let now = Instant::now();
    let first = (Roster::default(), now);
    let (members, since) = new_groups.entry(group.clone()).or_insert(first);
    if members != current {
        (*members, *since) = (current.clone(), now);
    }
    now.duration_since(*since) < JOINING
}

/// Takes a record that was read or has changed, if it is a roster: its members are known
/// from then on, for as long as gone members are remembered.
pub fn take(engine: &Engine, record: &Record) {
    let Some(group) = record.key.strip_prefix(KEY_PREFIX) else {
        return;
    };
    if let Some(roster) = Roster::decode(record) {
        remember(engine, &GroupName::from(group), roster);
    }
}

/// Reads the record of `group` now, and remembers its members.
///
/// # Errors
///
/// [`RecordStoreError`] where the store gave no answer.
pub async fn recall(engine: &Engine, group: &GroupName) -> Result<(), RecordStoreError> {
    let key = Roster::key(group);
    let read = engine.terms().store().read(&key).await?;
    let record = read.written.iter().find(|record| record.key == key);
    if let Some(roster) = record.and_then(Roster::decode) {
        remember(engine, group, roster);
    }
    Ok(())
}

/// Takes members whose entries are not there for gone, from now on.
fn remember(engine: &Engine, group: &GroupName, roster: Roster) {
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
    engine.remember_members(members.collect());
}
