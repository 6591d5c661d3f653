//! Slow start: limits what the whole fleet sends to a cold member, one that started recently or
//! whose zone was evacuated until recently.
//!
//! A cold member can run only few statements per second. Each process counts the statements that
//! it sends to a cold member ([`window`]) and sends no more than its share, which is kept in the
//! store ([`allotment`], [`allot`]). The total therefore holds under any network partition: a
//! process uses a share only while it knows from the store that the share is its own. Statements
//! of every origin are counted where they leave the process ([`back_end`]).
//!
//! | Event | Effect |
//! | --- | --- |
//! | a home of the member is killed or frozen | its share stays unused; the other home has an equal share |
//! | a process was paused, or is cut off from the store | its view of the records is too old: it sends nothing to a cold member |
//! | all processes restart | the shares in the store stay valid; each process first waits for one window, since its previous incarnation may have used its share |
//! | shares are redistributed | no share grows until all processes have stopped using the previous shares |

pub mod allot;
pub mod allotment;
pub mod back_end;
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

/// Maximum age of the known records while a process uses its share, as a multiple of the
/// propagation bound. This allows for one long poll for changes, dated at its start, and two
/// relays.
const MAX_RECORD_AGE_BOUNDS: u32 = 2;
/// Assumed utilization of a member that is reached through its homes, whose use is unknown.
const ASSUMED_UTILIZATION: f64 = 0.5;

/// Maximum number of statements that a cold member may receive from all processes in any second.
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
    // The cast turns NaN and negative values into zero.
    most.floor() as usize
}

/// The last known record of a group.
#[derive(Debug)]
struct KnownRecord {
    version: u64,
    allotments: Allotments,
    /// Since when the current allotment of each member has been known.
    since: HashMap<MemberId, Instant>,
}

/// Slow start state of this process: the known allotments and the statements sent.
#[derive(Debug)]
pub struct SlowStarts {
    /// Whether any group has a slow start. Otherwise the rest is unused.
    enabled: AtomicBool,
    started_at: Instant,
    records_as_of: Mutex<Option<Instant>>,
    /// Zones that are no longer evacuated, and since when.
    restored_zones: Mutex<HashMap<ZoneName, Instant>>,
    known: Mutex<HashMap<GroupName, KnownRecord>>,
    gates: Mutex<HashMap<MemberId, Arc<StatementGate>>>,
}

impl Default for SlowStarts {
    fn default() -> Self {
        Self {
            enabled: AtomicBool::new(false),
            started_at: Instant::now(),
            records_as_of: Mutex::default(),
            restored_zones: Mutex::default(),
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

    /// Applies a configuration that has just taken effect.
    pub(crate) fn apply_configuration(&self, configuration: &Configuration) {
        let mut groups = configuration.groups.values();
        let enabled = groups.any(|group| group.slow_start.is_some());
        self.enabled.store(enabled, Ordering::Relaxed);
    }

    /// Applies evacuations `now` that have just replaced `before`: members of zones that are no
    /// longer evacuated are cold.
    pub(crate) fn apply_evacuations(&self, before: &Evacuations, now: &Evacuations) {
        let mut restored_zones = lock(&self.restored_zones);
        for zone in before.zones.difference(&now.zones) {
            restored_zones.insert(zone.clone(), Instant::now());
        }
    }

    /// Records that the known records are complete as of `at`: the time just before the request
    /// was sent whose response contained them, or such a time reported by another process. To
    /// be called after the records have been applied.
    pub fn advance_records_as_of(&self, at: Instant) {
        let mut as_of = lock(&self.records_as_of);
        *as_of = (*as_of).max(Some(at));
    }

    /// The time as of which the known records are complete.
    pub fn records_as_of(&self) -> Option<Instant> {
        *lock(&self.records_as_of)
    }

    /// Drops the state of members that no longer exist.
    pub(crate) fn retain_members(&self, is_known: impl Fn(&str) -> bool) {
        lock(&self.gates).retain(|id, _| is_known(id));
    }

    fn gate(&self, member: &MemberId) -> Arc<StatementGate> {
        let mut gates = lock(&self.gates);
        let gate = gates.entry(member.clone()).or_default();
        Arc::clone(gate)
    }

    /// Decodes the newest known record of `group`, if it has changed.
    fn refresh_record(&self, engine: &Engine, group: &GroupName) {
        let others = engine.terms().subscribe_other_records();
        let records = others.borrow();
        let Some(record) = records.get(&Allotments::key(group)) else {
            return;
        };
        let mut known = lock(&self.known);
        let before = known.get(group);
        if before.is_some_and(|known| known.version >= record.version) {
            return;
        }
        let allotments = Allotments::decode_or_report(engine, record).unwrap_or_default();
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

    /// The allotment of `member`, and since when it has been known.
    fn allotment(&self, engine: &Engine, member: &Member) -> Option<(Allotment, Instant)> {
        self.refresh_record(engine, &member.group);
        let known = lock(&self.known);
        let known = known.get(&member.group)?;
        let allotment = known.allotments.members.get(&member.id)?;
        Some((allotment.clone(), *known.since.get(&member.id)?))
    }
}

/// Slow start of a cold member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ColdStart {
    /// Until when the member is cold, as far as is known.
    pub until: Instant,
    /// Maximum number of statements per second from all processes.
    pub max_statements: usize,
    /// Whether the member's entry or the end of its zone's evacuation says so. Otherwise the
    /// member only may be cold: this process has had no proof of the store's state for too long.
    pub is_reported: bool,
}

/// The slow start of `member` at `now`; `None` if it is not cold.
pub(crate) fn cold_start(engine: &Engine, member: &Member, now: Instant) -> Option<ColdStart> {
    let configuration = engine.configuration()?;
    let slow_start = configuration.groups.get(&member.group)?.slow_start?;
    let restored_at = lock(&engine.slow_starts().restored_zones)
        .get(&member.zone)
        .copied();
    let reported = reported_until(member, slow_start, restored_at).filter(|until| now < *until);
    let uncertain = may_have_missed_evacuation(engine, now).then(|| now + slow_start.duration);
    Some(ColdStart {
        until: reported.max(uncertain)?,
        max_statements: max_statements(slow_start, engine.settings().slow_start),
        is_reported: reported.is_some(),
    })
}

/// Until when `member` is cold according to its entry, or because the evacuation of its zone
/// ended at `restored_at`, which may become known earlier than the entry.
fn reported_until(
    member: &Member,
    slow_start: SlowStart,
    restored_at: Option<Instant>,
) -> Option<Instant> {
    let by_restoration = restored_at.map(|at| at + slow_start.duration);
    member.cold_until.max(by_restoration)
}

/// Whether this process may, by `now`, have missed that a zone was evacuated, which makes its
/// members cold.
fn may_have_missed_evacuation(engine: &Engine, now: Instant) -> bool {
    let Some(bound) = engine.settings().evacuation_bound else {
        return false;
    };
    let as_of = engine.following().configuration_complete_as_of();
    as_of.is_none_or(|at| now > at + bound)
}

/// Maximum age of the known records while a share is used.
pub(crate) fn max_record_age(engine: &Engine) -> Duration {
    engine.settings().propagation_bound * MAX_RECORD_AGE_BOUNDS
}

/// Time after a change of an allotment by which no process uses the previous one any longer.
pub(crate) fn settling_time(engine: &Engine) -> Duration {
    max_record_age(engine) + WINDOW
}

/// How many statements this process may send to `member` per window.
pub fn allowance(engine: &Engine, member: &Member, now: Instant) -> Allowance {
    match cold_start(engine, member, now) {
        None => Allowance::Unbounded,
        Some(cold) => Allowance::Share(share(engine, member, cold, now)),
    }
}

fn share(engine: &Engine, member: &Member, cold: ColdStart, now: Instant) -> usize {
    let starts = engine.slow_starts();
    // Read before the allotment, which must be at least this recent.
    let as_of = starts.records_as_of();
    let is_recent = as_of.is_some_and(|at| now <= at + max_record_age(engine));
    if !is_recent || now < starts.started_at + WINDOW {
        return 0;
    }
    let Some((allotment, since)) = starts.allotment(engine, member) else {
        return 0;
    };
    let settled = now >= since + settling_time(engine);
    allotment.share(&engine.settings().node, cold.max_statements, settled)
}

/// Waits until a statement may be sent to member `id`, and counts it. Returns when it was counted,
/// or `None` if the member is not cold.
///
/// # Errors
///
/// Returns the time until the statement could be sent, if it can't wait that long. It must not be
/// sent then.
pub(crate) async fn admit_statement(
    engine: &Engine,
    id: &MemberId,
    priority: SendPriority,
) -> Result<Option<Instant>, Duration> {
    let allowance = |now| match engine.directory().member(id) {
        Some(member) => allowance(engine, member, now),
        // The member has left; connections to it are being closed.
        None => Allowance::Unbounded,
    };
    if allowance(Instant::now()) == Allowance::Unbounded {
        return Ok(None);
    }
    let started_at = Instant::now();
    let passed = engine
        .slow_starts()
        .gate(id)
        .admit(priority, allowance)
        .await;
    metrics::histogram!("stilequay_stage_seconds", "stage" => "slow_start")
        .record(started_at.elapsed());
    let outcome = match passed {
        Ok(_) => "sent",
        Err(_) => "refused",
    };
    metrics::counter!("stilequay_slow_start_statements_total", "outcome" => outcome).increment(1);
    passed
}

/// Counts a status report requested from member `id`. It occupies the member like a statement, but
/// is never delayed.
pub(crate) fn count_report(engine: &Engine, id: &MemberId) {
    let directory = engine.directory();
    let member = directory.member(id);
    if member.is_some_and(|member| cold_start(engine, member, Instant::now()).is_some()) {
        engine.slow_starts().gate(id).record();
    }
}

/// Fraction of this process's share for the member of `pool` that is used at `now`: 1 if nothing is
/// left, 0 if the member is not cold. Assumed for a remote pool, since the use by the homes is
/// unknown.
pub(crate) fn utilization(engine: &Engine, pool: &MemberPool, now: Instant) -> f64 {
    if !engine.slow_starts().is_enabled() {
        return 0.0;
    }
    let directory = engine.directory();
    // The current entry, not the one that the pool was created with.
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
