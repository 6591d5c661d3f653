//! Cold members: what the whole fleet sends to a member that has just come up is bounded.
//!
//! A member takes few statements a second until it is warm. Each process counts what it sends
//! to a cold member ([`window`]), and may send its share, which the store keeps
//! ([`allotment`], [`allot`]). So the sum holds however processes are cut off from one another:
//! nobody has a share who does not know by the store that it is his. Statements are counted
//! where they leave the process ([`guard`]), whatever they come from.
//!
//! | what happens | what comes of it |
//! | --- | --- |
//! | a home of the member is killed or frozen | its share is unused; the other one has as much |
//! | a process stood still, or is cut off from the store | its knowledge is old: it sends nothing to a cold member |
//! | all processes restart | what the store keeps holds; each waits for a window, since its earlier life may have sent its share |
//! | shares are divided anew | nobody has more before all have stopped to use the shares before |

pub mod allot;
pub mod allotment;
pub mod guard;
pub mod window;

use crate::configuration::{Configuration, SlowStart};
use crate::directory::Member;
use crate::engine::{Engine, SlowStartBounds};
use crate::evacuation::Evacuations;
use crate::names::{GroupName, MemberId, ZoneName};
use crate::pool::MemberPool;
use allotment::{Allotment, Allotments};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use window::{Allowance, SendPriority, StatementGate, WINDOW};

/// How old what a process knows of the records may be while it uses its share, in contact
/// times. One wait for changes, dated at its begin, and two relays fit into it.
const MAX_RECORD_AGE_CONTACTS: u32 = 2;
/// How much of a home's share counts as used where that is not known.
const ASSUMED_UTILIZATION: f64 = 0.5;

/// Statements that a cold member may get from all processes in any second.
///
/// ```
/// use std::time::Duration;
/// use stilequay_engine::configuration::SlowStart;
/// use stilequay_engine::engine::SlowStartBounds;
/// use stilequay_engine::slow_start::max_statements;
/// let slow_start = SlowStart { duration: Duration::from_secs(8), per_second: 20.0 };
/// let bounds = SlowStartBounds { excess: 1.5, slack: 5.0 };
/// assert_eq!(max_statements(slow_start, bounds), 35);
/// ```
pub fn max_statements(slow_start: SlowStart, bounds: SlowStartBounds) -> usize {
    let most = slow_start.per_second * bounds.excess + bounds.slack;
    // What is no number, or below zero, becomes zero.
    most.floor() as usize
}

/// A group's record as it was last seen.
#[derive(Debug)]
struct KnownRecord {
    version: u64,
    allotments: Allotments,
    /// Since when each member's allotment is known.
    since: HashMap<MemberId, Instant>,
}

/// What this process knows and has sent of cold members.
#[derive(Debug)]
pub struct SlowStarts {
    /// Whether any group has a slow start. Without one nothing here is looked at.
    enabled: AtomicBool,
    began: Instant,
    records_as_of: Mutex<Option<Instant>>,
    returned: Mutex<HashMap<ZoneName, Instant>>,
    known: Mutex<HashMap<GroupName, KnownRecord>>,
    gates: Mutex<HashMap<MemberId, Arc<StatementGate>>>,
}

impl Default for SlowStarts {
    fn default() -> Self {
        Self {
            enabled: AtomicBool::new(false),
            began: Instant::now(),
            records_as_of: Mutex::default(),
            returned: Mutex::default(),
            known: Mutex::default(),
            gates: Mutex::default(),
        }
    }
}

impl SlowStarts {
    /// Whether any group has a slow start.
    pub fn is_enabled(&self) -> bool {
        self.enabled.load(Ordering::Relaxed)
    }

    /// Takes a configuration that was just taken into use.
    pub(crate) fn apply_configuration(&self, configuration: &Configuration) {
        let mut groups = configuration.groups.values();
        let enabled = groups.any(|group| group.slow_start.is_some());
        self.enabled.store(enabled, Ordering::Relaxed);
    }

    /// Takes evacuations that were just taken into use in place of `before`.
    pub(crate) fn apply_evacuations(&self, before: &Evacuations, now: &Evacuations) {
        let mut returned = lock(&self.returned);
        for zone in before.zones.difference(&now.zones) {
            returned.insert(zone.clone(), Instant::now());
        }
    }

    /// Notes that the records are known as of `at`: the moment before the question was sent
    /// whose answer has told them, or what another process tells of such a moment. To be
    /// called once they are taken.
    pub fn advance_records_as_of(&self, at: Instant) {
        let mut as_of = lock(&self.records_as_of);
        *as_of = (*as_of).max(Some(at));
    }

    /// As of when the records are known.
    pub fn records_as_of(&self) -> Option<Instant> {
        *lock(&self.records_as_of)
    }

    /// Forgets members that are no longer there.
    pub(crate) fn retain_members(&self, is_known: impl Fn(&str) -> bool) {
        lock(&self.gates).retain(|id, _| is_known(id));
    }

    fn gate(&self, member: &MemberId) -> Arc<StatementGate> {
        let mut gates = lock(&self.gates);
        let gate = gates.entry(member.clone()).or_default();
        Arc::clone(gate)
    }

    /// Takes the record of `group` as the store has it, if it has changed.
    fn refresh_record(&self, engine: &Engine, group: &GroupName) {
        let others = engine.terms().subscribe_others();
        let records = others.borrow();
        let Some(record) = records.get(&Allotments::key(group)) else {
            return;
        };
        let mut known = lock(&self.known);
        let before = known.get(group);
        if before.is_some_and(|known| known.version >= record.version) {
            return;
        }
        let allotments = Allotments::decode(record).unwrap_or_default();
        let now = Instant::now();
        let since = allotments.members.iter().map(|(member, allotment)| {
            let same =
                |known: &&KnownRecord| known.allotments.members.get(member) == Some(allotment);
            let since = before
                .filter(same)
                .and_then(|known| known.since.get(member));
            (member.clone(), since.copied().unwrap_or(now))
        });
        let known_now = KnownRecord {
            version: record.version,
            since: since.collect(),
            allotments,
        };
        known.insert(group.clone(), known_now);
    }

    /// The allotment of `member`, and since when it is known.
    fn allotment(&self, engine: &Engine, member: &Member) -> Option<(Allotment, Instant)> {
        self.refresh_record(engine, &member.group);
        let known = lock(&self.known);
        let known = known.get(&member.group)?;
        let allotment = known.allotments.members.get(&member.id)?;
        Some((allotment.clone(), *known.since.get(&member.id)?))
    }
}

/// A cold member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ColdStart {
    /// Until when, as far as is known.
    pub until: Instant,
    /// Statements that it takes in a second.
    pub max_statements: usize,
    /// Whether its entry or its zone's return tells so. Otherwise it only may be cold: this
    /// process has not heard of the store for too long.
    pub is_reported: bool,
}

/// How `member` is cold at `now`; `None` where it is not.
pub(crate) fn cold_start(engine: &Engine, member: &Member, now: Instant) -> Option<ColdStart> {
    let configuration = engine.configuration()?;
    let slow_start = configuration.groups.get(&member.group)?.slow_start?;
    let returned = lock(&engine.slow_starts().returned)
        .get(&member.zone)
        .copied();
    let told = reported_until(member, slow_start, returned).filter(|until| now < *until);
    let unsure = may_have_missed_evacuation(engine, now).then(|| now + slow_start.duration);
    Some(ColdStart {
        until: told.max(unsure)?,
        max_statements: max_statements(slow_start, engine.settings().slow_start),
        is_reported: told.is_some(),
    })
}

/// Until when `member` is cold by its entry, or because its zone's evacuation was taken back at
/// `returned`: the entry may be told later than that.
fn reported_until(
    member: &Member,
    slow_start: SlowStart,
    returned: Option<Instant>,
) -> Option<Instant> {
    let by_return = returned.map(|at| at + slow_start.duration);
    member.cold_until.max(by_return)
}

/// Whether a zone may have been evacuated, and its members have turned cold, without this
/// process having heard of it by `now`.
fn may_have_missed_evacuation(engine: &Engine, now: Instant) -> bool {
    let Some(bound) = engine.settings().evacuation_bound else {
        return false;
    };
    let as_of = engine.following().configuration_complete_as_of();
    as_of.is_none_or(|at| now > at + bound)
}

/// How old what is known of the records may be while a share is used.
pub(crate) fn max_record_age(engine: &Engine) -> Duration {
    engine.settings().contact * MAX_RECORD_AGE_CONTACTS
}

/// Time after which an allotment that has replaced another is used by everybody, and the one
/// before by nobody.
pub(crate) fn settling_time(engine: &Engine) -> Duration {
    max_record_age(engine) + WINDOW
}

/// What this process may send to `member` in a window.
pub fn allowance(engine: &Engine, member: &Member, now: Instant) -> Allowance {
    match cold_start(engine, member, now) {
        None => Allowance::Unbounded,
        Some(cold) => Allowance::Share(share(engine, member, cold, now)),
    }
}

fn share(engine: &Engine, member: &Member, cold: ColdStart, now: Instant) -> usize {
    let starts = engine.slow_starts();
    // Before the allotment is looked up: that must be no older than this tells.
    let as_of = starts.records_as_of();
    let is_recent = as_of.is_some_and(|at| now <= at + max_record_age(engine));
    if !is_recent || now < starts.began + WINDOW {
        return 0;
    }
    let Some((allotment, since)) = starts.allotment(engine, member) else {
        return 0;
    };
    let settled = now >= since + settling_time(engine);
    allotment.share(&engine.settings().node, cold.max_statements, settled)
}

/// Waits until a statement may be sent to the member called `id`, and counts it: returns as of
/// when, or `None` where the member is not cold.
///
/// # Errors
///
/// The time until there is a place, where that comes too late: it has not been sent.
pub(crate) async fn admit_statement(
    engine: &Engine,
    id: &MemberId,
    turn: SendPriority,
) -> Result<Option<Instant>, Duration> {
    let allowance = |now| match engine.directory().member(id) {
        Some(member) => allowance(engine, member, now),
        // It has left; connections to it are being closed.
        None => Allowance::Unbounded,
    };
    if allowance(Instant::now()) == Allowance::Unbounded {
        return Ok(None);
    }
    let began = Instant::now();
    let passed = engine.slow_starts().gate(id).admit(turn, allowance).await;
    metrics::histogram!("stilequay_stage_seconds", "stage" => "slow_start").record(began.elapsed());
    let outcome = match passed {
        Ok(_) => "sent",
        Err(_) => "refused",
    };
    metrics::counter!("stilequay_slow_start_statements_total", "outcome" => outcome).increment(1);
    passed
}

/// Counts a report asked of the member called `id`: it takes a place there, and is not held
/// back.
pub(crate) fn count_report(engine: &Engine, id: &MemberId) {
    let directory = engine.directory();
    let member = directory.member(id);
    if member.is_some_and(|member| cold_start(engine, member, Instant::now()).is_some()) {
        engine.slow_starts().gate(id).record();
    }
}

/// How much of what may be sent to the member of `pool` at `now` is used; one where nothing is
/// left, zero where it is not cold. What its homes have sent is not known.
pub(crate) fn utilization(engine: &Engine, pool: &MemberPool, now: Instant) -> f64 {
    if !engine.slow_starts().is_enabled() {
        return 0.0;
    }
    let directory = engine.directory();
    // As it is by now, not as it was when the pool was made.
    let Some(member) = directory.member(&pool.member().id) else {
        return 0.0;
    };
    match cold_start(engine, member, now) {
        None => 0.0,
        Some(_) if pool.is_remote() => ASSUMED_UTILIZATION,
        Some(cold) => {
            let share = share(engine, member, cold, now);
            engine
                .slow_starts()
                .gate(&member.id)
                .utilization(share, now)
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
