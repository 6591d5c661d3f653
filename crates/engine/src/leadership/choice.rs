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
use crate::names::{MemberId, are_incarnations_of_same_server};
use crate::ports::MemberReport;
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
    /// No eligible replica has answered.
    NoCandidate,
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
    fn is_later_incarnation(&self, member: &Member) -> bool {
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
    /// Zones whose members become leader only if no other member holds every commit.
    pub evacuations: &'a Evacuations,
    /// Maps zones to regions.
    pub topology: &'a Topology,
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
        let by_quorum = self.quorum_position(now);
        let bounds = [self.leaders_position(), by_quorum.as_ref().ok().copied()];
        let lowest = bounds.into_iter().flatten().min();
        let chosen = lowest.and_then(|required| self.best_candidate(required));
        chosen.ok_or(by_quorum.err().unwrap_or(Obstacle::NoCandidate))
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
        let allowed = self.sync_replicas.checked_sub(missing);
        let allowed = allowed.ok_or_else(|| self.obstacle_to_quorum(now))?;
        self.check_known_members()?;
        let reports = self.members.iter().filter_map(|m| self.complete_report(m));
        let mut positions: Vec<LogPosition> = reports.map(|report| report.received).collect();
        positions.sort_by_key(|position| Reverse(*position));
        let position = positions.get(allowed).ok_or(Obstacle::TooFewKnown)?;
        self.covering_departed(*position, positions[0], now)
    }

    /// Raises `position` if a member that has left for good may have held more. Its log is gone;
    /// another member holds its commits too if its log, the `longest`, reaches what the leader is
    /// known to have had.
    fn covering_departed(
        &self,
        position: LogPosition,
        longest: LogPosition,
        now: Instant,
    ) -> Result<LogPosition, Obstacle> {
        let departed = self.members.iter().find(|member| member.has_left(now));
        match (departed, self.known) {
            (Some(departed), Some(known)) if known > longest => {
                Err(Obstacle::MayHoldMore(departed.member.id.clone()))
            }
            (Some(_), Some(known)) => Ok(position.max(known)),
            _ => Ok(position),
        }
    }

    /// Number of logs that may hold acknowledged commits and are unknown, or through which commits
    /// may still be acknowledged.
    fn missing_logs(&self, now: Instant) -> usize {
        let others = self.other_members(now);
        let missing = others.filter(|member| self.complete_report(member).is_none());
        let is_previous_missing = self.previous.id.is_some() && self.previous_log().is_none();
        missing.count() + usize::from(is_previous_missing)
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
        let mut others = self.other_members(now);
        let missing = others.find(|member| self.complete_report(member).is_none());
        let missing = missing.map(|member| Obstacle::MayHoldMore(member.member.id.clone()));
        missing.unwrap_or(Obstacle::NoCandidate)
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

    /// The report of a member that is fenced and has the log that it had before.
    fn complete_report(&self, member: &SurveyedMember) -> Option<MemberReport> {
        let report = member.response.report()?;
        let is_complete = match self.is_previous(member) {
            true => self.is_log_of_previous(member, report),
            false => self.has_log_of_target(member, report),
        };
        (is_complete && self.is_fenced(member, report)).then_some(*report)
    }

    /// Whether nobody can have further commits acknowledged through the member.
    fn is_fenced(&self, member: &SurveyedMember, report: &MemberReport) -> bool {
        // After its demotion, no other leader is there to receive from.
        let led_alone = self.is_previous(member) && self.former_targets.is_empty();
        report.role == Role::Replica && (report.paused_for >= self.term || led_alone)
    }

    /// The position of the old leader's log, if it is fenced and has the log that it had as leader.
    fn previous_log(&self) -> Option<LogPosition> {
        let mut old = self.members.iter().filter(|m| self.is_previous(m));
        let report = old.find_map(|member| self.complete_report(member))?;
        Some(report.received)
    }

    /// Whether the old leader reports the log that it had as leader. A log that is empty or shorter
    /// than another member's is not: its server has restarted without it.
    fn is_log_of_previous(&self, member: &SurveyedMember, report: &MemberReport) -> bool {
        !self.previous.is_later_incarnation(&member.member)
            && report.received.number > 0
            && self.known.is_none_or(|known| reaches(report, known))
            && self.followers_reach_at_most(report)
    }

    /// Whether `member` has the log for which it was chosen, if it is a former target.
    fn has_log_of_target(&self, member: &SurveyedMember, report: &MemberReport) -> bool {
        let mut targets = self.former_targets.iter();
        let target = targets.find(|target| target.matches(&member.member));
        target.is_none_or(|target| target.received.is_none_or(|had| reaches(report, had)))
    }

    /// Whether no replica that can't have led has a longer log than `leader` in its term, or a later
    /// one.
    fn followers_reach_at_most(&self, leader: &MemberReport) -> bool {
        let followers = self.members.iter();
        let followers = followers.filter(|m| !self.is_previous(m) && !self.is_former_target(m));
        let reports = followers.filter_map(|member| member.response.report());
        let mut replicas =
            reports.filter(|report| report.role == Role::Replica && report.term >= leader.term);
        replicas.all(|report| report.received <= leader.received)
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
                true => stays && self.is_log_of_previous(member, report),
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

    /// Members other than the old leader, without those that have left.
    fn other_members(&self, now: Instant) -> impl Iterator<Item = &SurveyedMember> {
        let members = self.members.iter();
        members.filter(move |member| !self.is_previous(member) && !member.has_left(now))
    }

    /// Whether `member` is known to be in the old leader's region.
    fn is_near_previous(&self, member: &SurveyedMember) -> bool {
        let region = |member: &SurveyedMember| self.topology.region_of(&member.member.zone);
        let mut old = self.members.iter().filter(|other| self.is_previous(other));
        old.any(|old| region(old).is_some() && region(old) == region(member))
    }

    fn is_previous(&self, member: &SurveyedMember) -> bool {
        self.previous.matches(&member.member)
    }

    fn is_former_target(&self, member: &SurveyedMember) -> bool {
        self.former_target_index(member).is_some()
    }

    /// The place of `member` among the former targets, which are in the order of their attempts.
    fn former_target_index(&self, member: &SurveyedMember) -> Option<usize> {
        let mut targets = self.former_targets.iter();
        targets.rposition(|target| target.matches(&member.member))
    }
}

/// Whether a member still has a log that reached `position`. In a later term its log may be shorter
/// because it follows the log with which that term began.
fn reaches(report: &MemberReport, position: LogPosition) -> bool {
    report.received >= position || report.term > position.term
}

/// A term higher than that of every report, so that members obey commands sent with it. A fence
/// that was begun before keeps its term.
pub fn fencing_term(members: &[SurveyedMember]) -> Term {
    let reports = members.iter().filter_map(|member| member.response.report());
    let terms = reports.map(|report| (report.term + 1).max(report.paused_for));
    terms.max().unwrap_or(1)
}
