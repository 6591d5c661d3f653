//! What a home knows of a database group: the latest report of each member.

pub use crate::domain::member::{MemberReport, Role};
use crate::domain::names::MemberName;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use stilequay_coordination::identity::ZoneName;
use stilequay_coordination::position::{Floor, LogPosition, Term};
use tokio::sync::watch;
use tokio::time::Instant;

/// Primary positions remembered to tell the age of replicas.
const PRIMARY_SAMPLES: usize = 1_024;
/// Least time between remembered primary positions.
const SAMPLE_DISTANCE: Duration = Duration::from_millis(50);

/// A member of a group as a home knows it.
#[derive(Debug, Clone)]
pub struct MemberState {
    /// The zone it runs in.
    pub zone: ZoneName,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Whether the latest probe was answered.
    pub reachable: bool,
    /// The latest answer, also of a member that no longer answers.
    pub report: Option<MemberReport>,
    /// The latest moment at which the member is known to have had everything
    /// that the primary had then.
    pub caught_up: Option<Instant>,
}

impl MemberState {
    /// A member that has not been probed yet.
    pub fn unknown(zone: ZoneName, leaving: bool) -> Self {
        Self {
            zone,
            leaving,
            reachable: false,
            report: None,
            caught_up: None,
        }
    }

    /// The latest answer of a member that still answers.
    pub fn live_report(&self) -> Option<&MemberReport> {
        self.report.as_ref().filter(|_| self.reachable)
    }
}

/// The primary of a group and its term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Primary {
    /// The member.
    pub member: MemberName,
    /// Its term.
    pub term: Term,
}

/// Where the primary's log ended at a moment.
#[derive(Debug, Clone, Copy)]
struct PrimarySample {
    at: Instant,
    floor: Floor,
}

/// The outcome of asking the members whether a term still stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TermCheck {
    /// A majority reported no higher term.
    Confirmed,
    /// A member reported this higher term.
    Replaced(Term),
    /// Reports are still missing.
    Pending,
}

/// What a home knows of a group.
#[derive(Debug, Clone, Default)]
pub struct GroupState {
    members: BTreeMap<MemberName, MemberState>,
    primary_samples: VecDeque<PrimarySample>,
}

impl GroupState {
    /// The members by name.
    pub fn members(&self) -> &BTreeMap<MemberName, MemberState> {
        &self.members
    }

    /// Takes in a member that operators have added or changed.
    pub fn set_member(&mut self, name: &MemberName, zone: &ZoneName, leaving: bool) {
        let member = self
            .members
            .entry(name.clone())
            .or_insert_with(|| MemberState::unknown(zone.clone(), leaving));
        member.zone = zone.clone();
        member.leaving = leaving;
    }

    /// Forgets the members for which `keep` is false.
    pub fn retain_members(&mut self, keep: impl Fn(&MemberName) -> bool) {
        self.members.retain(|name, _| keep(name));
    }

    /// Takes in a member's answer.
    pub fn record_report(&mut self, name: &MemberName, report: MemberReport) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.reachable = true;
        member.report = Some(report);
        if self
            .primary()
            .is_some_and(|primary| primary.member == *name)
        {
            self.record_primary_sample(report);
        }
        self.update_caught_up(name);
    }

    /// Notes that a member did not answer.
    pub fn record_failure(&mut self, name: &MemberName) {
        if let Some(member) = self.members.get_mut(name) {
            member.reachable = false;
        }
    }

    fn record_primary_sample(&mut self, report: MemberReport) {
        self.thin_latest_samples(report.started);
        if self.primary_samples.len() == PRIMARY_SAMPLES {
            self.primary_samples.pop_front();
        }
        self.primary_samples.push_back(PrimarySample {
            at: report.started,
            floor: Floor::new(report.term, report.replayed),
        });
    }

    /// Keeps samples apart, so that frequent probes don't shorten the time they cover.
    fn thin_latest_samples(&mut self, next: Instant) {
        let count = self.primary_samples.len();
        let last_but_one = count
            .checked_sub(2)
            .map(|index| self.primary_samples[index]);
        if last_but_one.is_some_and(|sample| next < sample.at + SAMPLE_DISTANCE) {
            self.primary_samples.pop_back();
        }
    }

    fn update_caught_up(&mut self, name: &MemberName) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let Some(report) = member.report else { return };
        let reached = |sample: &&PrimarySample| {
            sample.floor.term == report.term && sample.floor.position <= report.replayed
        };
        if let Some(sample) = self.primary_samples.iter().rev().find(reached) {
            member.caught_up = member.caught_up.max(Some(sample.at));
        }
    }

    /// How many members are more than half.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The highest term that any member has reported.
    pub fn highest_term(&self) -> Term {
        let terms = self.members.values().filter_map(|member| member.report);
        terms.map(|report| report.term).max().unwrap_or_default()
    }

    /// The highest term that each member has reported.
    pub fn member_terms(&self) -> BTreeMap<MemberName, Term> {
        let members = self.members.iter();
        let reports = members.filter_map(|(name, member)| Some((name, member.report?)));
        reports
            .map(|(name, report)| (name.clone(), report.term))
            .collect()
    }

    /// The member that claims to lead at the highest term, where a majority knows that term.
    ///
    /// This only says where to send work. That the primary has not been replaced
    /// since is proved by [`GroupState::check_term`] after the work.
    pub fn primary(&self) -> Option<Primary> {
        let term = self.highest_term();
        let knowing = self.members.values().filter(|member| is_at(member, term));
        if knowing.count() < self.majority() {
            return None;
        }
        let leads = |member: &MemberState| {
            member
                .live_report()
                .is_some_and(|report| report.term == term && report.role == Role::Primary)
        };
        let (name, _) = self.members.iter().find(|(_, member)| leads(member))?;
        Some(Primary {
            member: name.clone(),
            term,
        })
    }

    /// Whether a majority of the members, asked after `since`, reported no term above `term`.
    pub fn check_term(&self, term: Term, since: Instant) -> TermCheck {
        let highest = self.highest_term();
        if highest > term {
            return TermCheck::Replaced(highest);
        }
        let asked_since = |member: &&MemberState| {
            member
                .live_report()
                .is_some_and(|report| report.started >= since)
        };
        if self.members.values().filter(asked_since).count() >= self.majority() {
            TermCheck::Confirmed
        } else {
            TermCheck::Pending
        }
    }

    /// Where the log of `primary` ended at some moment after `since`.
    pub fn primary_position_after(&self, primary: &Primary, since: Instant) -> Option<LogPosition> {
        let report = self.members.get(&primary.member)?.live_report()?;
        let is_answer =
            report.role == Role::Primary && report.term == primary.term && report.started >= since;
        is_answer.then_some(report.replayed)
    }

    /// Whether a majority of the members has stored the log of the floor's term up to it.
    ///
    /// A member at another term does not count, however long its log: its end may
    /// lie on a branch that the floor's primary never wrote.
    pub fn is_held_by_majority(&self, floor: Floor) -> bool {
        let holds = |member: &&MemberState| {
            member.report.is_some_and(|report| {
                report.term == floor.term && report.received >= floor.position
            })
        };
        self.members.values().filter(holds).count() >= self.majority()
    }

    /// Whether `name` is known to have replayed the log of the floor's term up to it.
    pub fn has_replayed(&self, name: &MemberName, floor: Floor) -> bool {
        self.members
            .get(name)
            .and_then(MemberState::live_report)
            .is_some_and(|report| report.term == floor.term && report.replayed >= floor.position)
    }

    /// How far behind the primary a member may be, as far as known.
    pub fn staleness(&self, name: &MemberName, now: Instant) -> Option<Staleness> {
        let member = self.members.get(name)?;
        let report = member.live_report()?;
        let caught_up = member.caught_up?;
        let latest = self.primary_samples.back()?;
        let behind = latest.floor.position.0.saturating_sub(report.replayed.0);
        Some(Staleness {
            age: now.saturating_duration_since(caught_up),
            bytes: behind,
        })
    }
}

fn is_at(member: &MemberState, term: Term) -> bool {
    let report = member.live_report();
    report.is_some_and(|report| report.term == term)
}

/// Waits until `choose` finds something in the state; for ever once the group is gone.
pub async fn wait_for_state<T>(
    receiver: &mut watch::Receiver<GroupState>,
    mut choose: impl FnMut(&GroupState) -> Option<T>,
) -> T {
    let mut chosen = None;
    let decide = |state: &GroupState| {
        chosen = choose(state);
        chosen.is_some()
    };
    let _ = receiver.wait_for(decide).await.is_ok();
    match chosen {
        Some(chosen) => chosen,
        None => std::future::pending().await,
    }
}

/// How far a member's state may be behind the primary's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Staleness {
    /// Time since the member is known to have had everything.
    pub age: Duration,
    /// Bytes of log that the member has not replayed.
    pub bytes: u64,
}
