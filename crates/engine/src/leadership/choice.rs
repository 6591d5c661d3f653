//! Choice of the next leader, and the check that the fence before it is complete.
//!
//! With synchronous replication, a commit is acknowledged only once the leader and a number of
//! replicas hold it. Two bounds on the position of acknowledged commits follow from that, and a
//! member whose log reaches the lower of them holds every acknowledged commit:
//!
//! - Of the members that hold a commit, at most as many as are missing in the survey are unknown.
//!   So the commit is in the logs of all the others that hold it, which is a quorum of the logs
//!   reported (`quorum_position`). It doesn't matter which member led.
//! - Every member that may have led holds what it has acknowledged, so the longest of their logs is
//!   a bound if all of them have reported (`leaders_position`).
//!
//! Both hold only for members that are fenced: those that have been demoted or paused, so that no
//! leader can have further commits acknowledged through them.

use super::record::FormerTarget;
use super::survey::{Response, SurveyedMember};
use crate::directory::{Member, Role};
use crate::evacuation::Evacuations;
use crate::group::PositionSamples;
use crate::names::{MemberId, are_incarnations_of_same_server};
use crate::position::{LogPosition, Term};
use crate::topology::Topology;
use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Why no member can be promoted yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Obstacle {
    /// This replica isn't fenced: the old leader may still have commits acknowledged through it.
    NotFenced(MemberId),
    /// This member may hold acknowledged commits that no other member holds.
    MayHoldMore(MemberId),
    /// So few other members are known that an unknown one may hold acknowledged commits that no
    /// other member holds.
    TooFewKnown,
    /// The old leader has more than any other member, and a server that isn't listed yet may have
    /// received it.
    MayBeUnlisted,
    /// No eligible replica has answered.
    NoCandidate,
}

/// What a survey says of the position up to which the next leader's log must reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequiredLog {
    /// The longest log of the members that may have led, if all of them are known.
    pub of_leaders: Option<LogPosition>,
    /// The position that a quorum of the reported logs reaches.
    pub of_quorum: Result<LogPosition, Obstacle>,
    /// Number of logs that may hold acknowledged commits and are unknown.
    pub missing: usize,
}

impl RequiredLog {
    /// The lower of the two positions.
    fn lowest(&self) -> Option<LogPosition> {
        let bounds = [self.of_leaders, self.of_quorum.as_ref().ok().copied()];
        bounds.into_iter().flatten().min()
    }
}

/// The leader to be replaced.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PreviousLeader {
    /// The member, if there was one.
    pub id: Option<MemberId>,
    /// Its address: a server that returns there under another id has its log.
    pub address: Option<SocketAddr>,
}

impl PreviousLeader {
    /// Whether `member` is the old leader, or has returned at its address.
    pub fn matches(&self, member: &Member) -> bool {
        self.id.as_ref() == Some(&member.id) || self.address == Some(member.address)
    }

    /// Whether `member` is a later incarnation of the old leader's server.
    pub(super) fn is_later_incarnation(&self, member: &Member) -> bool {
        let id = self.id.as_ref();
        id.is_some_and(|id| are_incarnations_of_same_server(id, &member.id))
    }
}

/// The members' responses after the replicas were paused and the primaries demoted.
#[derive(Debug)]
pub struct FenceSurvey<'a> {
    /// All members.
    pub members: &'a [SurveyedMember],
    /// The old leader.
    pub previous: &'a PreviousLeader,
    /// Targets of earlier attempts to replace the old leader, which may have led since, in the order
    /// of the attempts.
    pub former_targets: &'a [FormerTarget],
    /// The term for which members were paused.
    pub term: Term,
    /// Number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// The highest known position of the old leader's log.
    pub known: Option<LogPosition>,
    /// Positions that cover every commit acknowledged before a point in time.
    pub samples: &'a PositionSamples,
    /// Zones whose members become leader only if no other member holds every commit.
    pub evacuations: &'a Evacuations,
    /// Maps zones to regions.
    pub topology: &'a Topology,
    /// Whether every server that had joined before the fence has had the time to be listed.
    pub are_entries_settled: bool,
}

impl FenceSurvey<'_> {
    /// The member to promote.
    ///
    /// # Errors
    ///
    /// The [`Obstacle`] because of which acknowledged commits could be lost.
    pub fn choose(&self, now: Instant) -> Result<MemberId, Obstacle> {
        if self.sync_replicas == 0 {
            let anywhere = LogPosition::default();
            return self.best_candidate(anywhere).ok_or(Obstacle::NoCandidate);
        }
        let required = self.required_log(now);
        let lowest = required.lowest();
        let chosen = lowest.and_then(|lowest| self.best_candidate(lowest));
        let chosen = chosen.ok_or(required.of_quorum.err().unwrap_or(Obstacle::NoCandidate))?;
        match self.are_entries_settled || self.reaches_leaders(&chosen, required.of_leaders) {
            true => Ok(chosen),
            false => Err(Obstacle::MayBeUnlisted),
        }
    }

    /// Whether the log of `member` is known to reach `of_leaders`, the longest log of those that may
    /// have led. It holds every acknowledged commit then, whoever else has received them. Nothing is
    /// known to be missing if these logs are unknown.
    fn reaches_leaders(&self, member: &MemberId, of_leaders: Option<LogPosition>) -> bool {
        let mut members = self.members.iter();
        let chosen = members.find(|surveyed| surveyed.member.id == *member);
        let report = chosen.and_then(|surveyed| surveyed.response.report());
        of_leaders.is_none_or(|longest| report.is_some_and(|r| r.received >= longest))
    }

    /// What the next leader's log must reach.
    pub fn required_log(&self, now: Instant) -> RequiredLog {
        RequiredLog {
            of_leaders: self.leaders_position(),
            of_quorum: self.quorum_position(now),
            missing: self.missing_logs(now),
        }
    }

    /// The longest log of the members that may have led; `None` if the log of one of them is
    /// unknown.
    fn leaders_position(&self) -> Option<LogPosition> {
        let mut position = self.previous_log()?;
        for target in self.former_targets {
            let mut reports = self.members.iter().filter(|m| target.matches(&m.member));
            let report = reports.find_map(|member| self.complete_report(member))?;
            position = position.max(report.received);
        }
        Some(position)
    }

    /// A position that covers every acknowledged commit, from the number of logs that reach it.
    fn quorum_position(&self, now: Instant) -> Result<LogPosition, Obstacle> {
        let missing = self.missing_logs(now);
        if missing > self.sync_replicas && self.may_return(now) {
            return Err(self.obstacle_to_quorum(now));
        }
        self.check_known_members()?;
        let mut positions: Vec<LogPosition> = match missing > self.sync_replicas {
            // No number of copies is certain, so the longest log that is left is required.
            true => self.remaining_positions().collect(),
            false => self.complete_reports().map(|r| r.received).collect(),
        };
        positions.sort_by_key(|position| Reverse(*position));
        // Every acknowledged commit is in at least this many of the reported logs.
        let needed = self.sync_replicas.saturating_add(1);
        let copies = needed.saturating_sub(missing).max(1);
        let position = positions.get(copies - 1).ok_or(Obstacle::NoCandidate)?;
        let lost = self.lost_logs(now).filter_map(|(_, covering)| covering);
        let required = lost.fold(*position, LogPosition::max);
        // The end of a log that a later term has shortened isn't required.
        Ok(required.min(positions[0]))
    }

    /// The obstacle to be removed first if too many logs are missing.
    fn obstacle_to_quorum(&self, now: Instant) -> Obstacle {
        let mut others = self.other_members(now);
        let unfenced = others.find(|member| match &member.response {
            Response::Report(report) => !self.is_fenced(member, report),
            Response::Down(_) | Response::RestartedEmpty => false,
            Response::Declined(_) | Response::Silent(_) => true,
        });
        if let Some(member) = unfenced {
            return Obstacle::NotFenced(member.member.id.clone());
        }
        if self.best_candidate(LogPosition::default()).is_none() {
            return Obstacle::NoCandidate;
        }
        let unreported = || {
            let others = self.other_members(now);
            others.filter(|member| self.complete_report(member).is_none())
        };
        let returning = unreported().find(|member| !self.is_log_empty(member));
        let lost = || {
            let mut lost = self.lost_logs(now);
            let uncovered = lost.find(|(_, covering)| covering.is_none());
            uncovered.map(|(member, _)| member)
        };
        let missing = returning.or_else(lost).or_else(|| unreported().next());
        missing.map_or(Obstacle::NoCandidate, |member| {
            Obstacle::MayHoldMore(member.member.id.clone())
        })
    }

    /// Checks that enough members are known. The leader may have had commits acknowledged through a
    /// replica that is unknown here: at a start, the store may accept a server's first entry many
    /// seconds late. With no more members than a commit needs, the next leader could not have
    /// commits acknowledged anyway.
    fn check_known_members(&self) -> Result<(), Obstacle> {
        let others = self.members.iter().filter(|m| !self.is_previous(m));
        let addresses: HashSet<SocketAddr> = others.map(|m| m.member.address).collect();
        match addresses.len() > self.sync_replicas {
            true => Ok(()),
            false => Err(Obstacle::TooFewKnown),
        }
    }

    /// The best member whose log reaches `required`. It prefers, in this order: members other than
    /// the old leader; the latest former target, since an order to promote it may still be carried
    /// out, and would depose another leader; the longest log; members outside evacuated zones that
    /// aren't leaving; and the old leader's region, which is near the writers.
    fn best_candidate(&self, required: LogPosition) -> Option<MemberId> {
        let candidates = self.members.iter().filter_map(|member| {
            let report = member.response.report()?;
            let is_previous = self.is_previous(member);
            let stays = member.member.state.takes_work();
            let may_lead = match is_previous {
                true => report.received.number > 0,
                false => true,
            };
            let reaches = report.role == Role::Replica && report.received >= required;
            let is_outside = !self.evacuations.contains(&member.member.zone);
            let rank = (
                !is_previous,
                self.former_target_index(member),
                report.received,
                is_outside && stays,
                is_outside,
                stays,
                self.is_near_previous(member),
            );
            (may_lead && reaches).then(|| (rank, member.member.id.clone()))
        });
        candidates.max().map(|(_, id)| id)
    }

    /// Whether `member` is known to be in the old leader's region.
    fn is_near_previous(&self, member: &SurveyedMember) -> bool {
        let region = |member: &SurveyedMember| self.topology.region_of(&member.member.zone);
        let mut old = self.members.iter().filter(|other| self.is_previous(other));
        old.any(|old| region(old).is_some() && region(old) == region(member))
    }

    pub(super) fn is_previous(&self, member: &SurveyedMember) -> bool {
        self.previous.matches(&member.member)
    }

    pub(super) fn is_former_target(&self, member: &SurveyedMember) -> bool {
        self.former_target_index(member).is_some()
    }

    /// The place of `member` among the former targets, which are in the order of their attempts.
    fn former_target_index(&self, member: &SurveyedMember) -> Option<usize> {
        let mut targets = self.former_targets.iter();
        targets.rposition(|target| target.matches(&member.member))
    }
}

/// A term higher than that of every report, so that members obey commands sent with it. A fence
/// that was begun before keeps its term.
pub fn fencing_term(members: &[SurveyedMember]) -> Term {
    let reports = members.iter().filter_map(|member| member.response.report());
    let terms = reports.map(|report| report.term.saturating_add(1).max(report.paused_for));
    terms.max().unwrap_or(1)
}
