//! Which member is to lead next, and whether the fence before it is complete.
//!
//! With synchronous replication, an acknowledged commit lies in the leader's log and in at
//! least one replica's. So once no replica receives from the old leader any more, the
//! replica that has received most holds every acknowledged commit, provided that all of
//! them were read; and a replica that has received as much as the old leader does so in
//! any case.

use super::survey::{Response, Surveyed};
use crate::directory::{Member, Role};
use crate::evacuation::Evacuations;
use crate::names::{MemberId, are_lives_of_one};
use crate::position::{LogPosition, Term};
use crate::topology::Topology;
use std::collections::HashSet;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Why no member can be promoted yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Obstacle {
    /// The old leader may still have commits acknowledged through this replica.
    NotFenced(MemberId),
    /// This member may hold acknowledged commits that no other has.
    MayHoldMore(MemberId),
    /// So few other members are known that there may be one that nobody knows, with acknowledged
    /// commits that no other has.
    TooFewKnown,
    /// No member that could lead has answered.
    NoCandidate,
}

/// The leader that is to be replaced.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PreviousLeader {
    /// The member, if there was one.
    pub id: Option<MemberId>,
    /// Where it listens: a server that comes back there under another name has its log.
    pub address: Option<SocketAddr>,
}

impl PreviousLeader {
    /// Whether `member` is the old leader, or has come back in its place.
    pub fn is(&self, member: &Member) -> bool {
        self.id.as_ref() == Some(&member.id) || self.address == Some(member.address)
    }

    /// Whether `member` is a later life of the old leader's server.
    fn has_restarted(&self, member: &Member) -> bool {
        let id = self.id.as_ref();
        id.is_some_and(|id| are_lives_of_one(id, &member.id))
    }
}

/// What the members told after they were paused and the old leader demoted.
#[derive(Debug)]
pub struct FenceSurvey<'a> {
    /// All members.
    pub members: &'a [Surveyed],
    /// The old leader.
    pub previous: &'a PreviousLeader,
    /// The term in whose name the others were paused.
    pub term: Term,
    /// Replicas that must receive a commit before its acknowledgement.
    pub sync_replicas: usize,
    /// The highest position that the old leader's log is known to have had.
    pub known: Option<LogPosition>,
    /// Zones whose members are to lead only where no other holds everything.
    pub evacuations: &'a Evacuations,
    /// The regions of zones.
    pub topology: &'a Topology,
}

impl FenceSurvey<'_> {
    /// The member to promote.
    ///
    /// # Errors
    ///
    /// The [`Obstacle`] that keeps acknowledged commits from being safe.
    pub fn choose(&self, now: Instant) -> Result<MemberId, Obstacle> {
        let old_log = self.demoted_log();
        if old_log.is_none() && self.sync_replicas > 0 {
            self.check_fence(now)?;
        }
        match self.choose_other(old_log, now) {
            // The old leader itself holds everything, and leads nobody any more.
            Err(obstacle) if old_log.is_some() => self.staying_previous().ok_or(obstacle),
            chosen => chosen,
        }
    }

    fn choose_other(
        &self,
        old_log: Option<LogPosition>,
        now: Instant,
    ) -> Result<MemberId, Obstacle> {
        let (member, received) = self.best_other().ok_or(Obstacle::NoCandidate)?;
        if self.sync_replicas > 0 {
            self.check_complete(received, old_log, now)?;
            self.check_known(received, old_log)?;
        }
        Ok(member)
    }

    fn staying_previous(&self) -> Option<MemberId> {
        let mut old = self.members.iter().filter(|m| self.is_previous(m));
        let staying = old.find(|m| m.member.state.takes_work())?;
        Some(staying.member.id.clone())
    }

    /// The old leader's log, if it has given up the lead: nothing more is acknowledged. A log
    /// shorter than what others have, or empty, is not the one that it led with: its server has
    /// started again and holds nothing of before.
    fn demoted_log(&self) -> Option<LogPosition> {
        let old = self.members.iter().filter(|m| self.is_previous(m));
        let old = old.filter(|member| !self.previous.has_restarted(&member.member));
        let mut reports = old.filter_map(|member| member.response.report());
        let report = reports.next()?;
        let is_whole = report.received.number > 0
            && self.known.is_none_or(|known| report.received >= known)
            && self
                .best_other()
                .is_none_or(|(_, other)| report.received >= other);
        (report.role == Role::Replica && is_whole).then_some(report.received)
    }

    /// Every other member is paused, does not run, or has left.
    fn check_fence(&self, now: Instant) -> Result<(), Obstacle> {
        let unfenced = self.others(now).find(|member| match &member.response {
            Response::Report(report) => report.paused_for < self.term,
            Response::Down(_) | Response::Ended => false,
            Response::Declined(_) | Response::Silent(_) => true,
        });
        match unfenced {
            Some(member) => Err(Obstacle::NotFenced(member.member.id.clone())),
            None => Ok(()),
        }
    }

    /// No acknowledged commit can lie above `received`, the log of the best candidate.
    fn check_complete(
        &self,
        received: LogPosition,
        old_log: Option<LogPosition>,
        now: Instant,
    ) -> Result<(), Obstacle> {
        if old_log.is_some_and(|old| received >= old) {
            return Ok(());
        }
        let unread = self
            .others(now)
            .find(|member| member.response.report().is_none());
        // What has left took its log along. The others hold that too once they have
        // received as much as the leader is known to have had.
        let left = self.members.iter().find(|member| member.has_left(now));
        let left = left.filter(|_| self.known.is_some_and(|known| received < known));
        match unread.or(left) {
            Some(member) => Err(Obstacle::MayHoldMore(member.member.id.clone())),
            None => Ok(()),
        }
    }

    /// The leader may have had commits acknowledged through a replica that is not known here: at a
    /// start the store may take a server's first entry many seconds late. With as few replicas as a
    /// commit needs, the next leader could have none acknowledged anyway.
    fn check_known(
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

    /// The replica that has received most; among equals one outside evacuated zones and one that
    /// stays, and then one of the old leader's region, where those that write have been near it.
    fn best_other(&self) -> Option<(MemberId, LogPosition)> {
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

    /// Members other than the old leader that have not left.
    fn others(&self, now: Instant) -> impl Iterator<Item = &Surveyed> {
        let members = self.members.iter();
        members.filter(move |member| !self.is_previous(member) && !member.has_left(now))
    }

    /// Whether `member` stands in the old leader's region, as far as that is known.
    fn is_near_previous(&self, member: &Surveyed) -> bool {
        let region = |member: &Surveyed| self.topology.region_of(&member.member.zone);
        let mut old = self.members.iter().filter(|other| self.is_previous(other));
        old.any(|old| region(old).is_some() && region(old) == region(member))
    }

    fn is_previous(&self, member: &Surveyed) -> bool {
        self.previous.is(&member.member)
    }
}

/// A term above every one that any member has told of: orders in its name are heeded.
/// A fence that was begun before is completed in the same name.
pub fn fencing_term(members: &[Surveyed]) -> Term {
    let reports = members.iter().filter_map(|member| member.response.report());
    let terms = reports.map(|report| (report.term + 1).max(report.paused_for));
    terms.max().unwrap_or(1)
}
