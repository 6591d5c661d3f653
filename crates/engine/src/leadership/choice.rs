//! Choice of the next leader, and the check that the fence before it is complete.
//!
//! With synchronous replication, an acknowledged commit is in the log of the leader and of at
//! least one replica. So once no replica receives from the old leader any longer, the replica that
//! has received the most holds every acknowledged commit, provided that all replicas have
//! reported. A replica that has received as much as the old leader holds them in any case.

use super::survey::{Response, SurveyedMember};
use crate::directory::{Member, Role};
use crate::evacuation::Evacuations;
use crate::names::{MemberId, are_incarnations_of_same_server};
use crate::position::{LogPosition, Term};
use crate::topology::Topology;
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

/// The members' responses after the replicas were paused and the old leader demoted.
#[derive(Debug)]
pub struct FenceSurvey<'a> {
    /// All members.
    pub members: &'a [SurveyedMember],
    /// The old leader.
    pub previous: &'a PreviousLeader,
    /// The term for which the other members were paused.
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
        let old_log = self.demoted_log();
        if old_log.is_none() && self.sync_replicas > 0 {
            self.check_fence(now)?;
        }
        match self.choose_replica(old_log, now) {
            // The demoted leader itself holds every acknowledged commit.
            Err(obstacle) if old_log.is_some() => self.previous_if_staying().ok_or(obstacle),
            chosen => chosen,
        }
    }

    fn choose_replica(
        &self,
        old_log: Option<LogPosition>,
        now: Instant,
    ) -> Result<MemberId, Obstacle> {
        let (member, received) = self.best_replica().ok_or(Obstacle::NoCandidate)?;
        if self.sync_replicas > 0 {
            self.check_complete(received, old_log, now)?;
            self.check_known_members(received, old_log)?;
        }
        Ok(member)
    }

    fn previous_if_staying(&self) -> Option<MemberId> {
        let mut old = self.members.iter().filter(|m| self.is_previous(m));
        let staying = old.find(|m| m.member.state.takes_work())?;
        Some(staying.member.id.clone())
    }

    /// The old leader's log position, if it was demoted and acknowledges nothing more. A log that
    /// is empty or shorter than another member's is not the one that it had as leader: its server
    /// has restarted without it.
    fn demoted_log(&self) -> Option<LogPosition> {
        let old = self.members.iter().filter(|m| self.is_previous(m));
        let old = old.filter(|member| !self.previous.is_later_incarnation(&member.member));
        let mut reports = old.filter_map(|member| member.response.report());
        let report = reports.next()?;
        let is_complete = report.received.number > 0
            && self.known.is_none_or(|known| report.received >= known)
            && self
                .best_replica()
                .is_none_or(|(_, other)| report.received >= other);
        (report.role == Role::Replica && is_complete).then_some(report.received)
    }

    /// Checks that every other member is paused, isn't running, or has left.
    fn check_fence(&self, now: Instant) -> Result<(), Obstacle> {
        let unfenced = self
            .other_members(now)
            .find(|member| match &member.response {
                Response::Report(report) => report.paused_for < self.term,
                Response::Down(_) | Response::RestartedEmpty => false,
                Response::Declined(_) | Response::Silent(_) => true,
            });
        match unfenced {
            Some(member) => Err(Obstacle::NotFenced(member.member.id.clone())),
            None => Ok(()),
        }
    }

    /// Checks that no acknowledged commit can lie beyond `received`, the log position of the best
    /// candidate.
    fn check_complete(
        &self,
        received: LogPosition,
        old_log: Option<LogPosition>,
        now: Instant,
    ) -> Result<(), Obstacle> {
        if old_log.is_some_and(|old| received >= old) {
            return Ok(());
        }
        let unanswered = self
            .other_members(now)
            .find(|member| member.response.report().is_none());
        // The log of a member that has left is gone. The remaining members hold its commits too
        // if they have received as much as the leader is known to have had.
        let departed = self.members.iter().find(|member| member.has_left(now));
        let departed = departed.filter(|_| self.known.is_some_and(|known| received < known));
        match unanswered.or(departed) {
            Some(member) => Err(Obstacle::MayHoldMore(member.member.id.clone())),
            None => Ok(()),
        }
    }

    /// Checks that enough other members are known. The leader may have had commits acknowledged
    /// through a replica that is unknown here: at a start, the store may accept a server's first
    /// entry many seconds late. With no more members than a commit needs replicas, the next leader
    /// could not have commits acknowledged anyway.
    fn check_known_members(
        &self,
        received: LogPosition,
        old_log: Option<LogPosition>,
    ) -> Result<(), Obstacle> {
        if old_log.is_some_and(|old| received >= old) {
            return Ok(());
        }
        let others = self.members.iter().filter(|m| !self.is_previous(m));
        let addresses: HashSet<SocketAddr> = others.map(|m| m.member.address).collect();
        match addresses.len() > self.sync_replicas {
            true => Ok(()),
            false => Err(Obstacle::TooFewKnown),
        }
    }

    /// The replica that has received the most. Among equals, it prefers one outside evacuated zones
    /// that isn't leaving, and then one in the old leader's region, which is near the writers.
    fn best_replica(&self) -> Option<(MemberId, LogPosition)> {
        let candidates = self.members.iter().filter_map(|member| {
            let report = member.response.report()?;
            let stays = member.member.state.takes_work();
            let eligible = report.role == Role::Replica && !self.is_previous(member);
            let is_outside = !self.evacuations.contains(&member.member.zone);
            let is_near = self.is_near_previous(member);
            let rank = (
                report.received,
                is_outside && stays,
                is_outside,
                stays,
                is_near,
            );
            eligible.then(|| (rank, member.member.id.clone()))
        });
        let (rank, id) = candidates.max()?;
        Some((id, rank.0))
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
}

/// A term higher than that of every report, so that members obey commands sent with it. A fence
/// that was begun before keeps its term.
pub fn fencing_term(members: &[SurveyedMember]) -> Term {
    let reports = members.iter().filter_map(|member| member.response.report());
    let terms = reports.map(|report| (report.term + 1).max(report.paused_for));
    terms.max().unwrap_or(1)
}
