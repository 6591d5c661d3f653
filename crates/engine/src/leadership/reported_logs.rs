//! Which logs a survey has reported in full, and which are missing.

use super::choice::FenceSurvey;
use super::survey::SurveyedMember;
use crate::directory::Role;
use crate::names::server_name;
use crate::ports::MemberReport;
use crate::position::LogPosition;
use std::collections::HashSet;
use tokio::time::Instant;

impl FenceSurvey<'_> {
    /// The reports of the members whose logs are known.
    pub(super) fn complete_reports(&self) -> impl Iterator<Item = MemberReport> {
        let members = self.members.iter();
        members.filter_map(|member| self.complete_report(member))
    }

    /// The positions of the logs that are known, and of what is left of the old leader's.
    pub(super) fn remaining_positions(&self) -> impl Iterator<Item = LogPosition> {
        let reports = self.members.iter().filter_map(|member| {
            let complete = self.complete_report(member);
            complete.or_else(|| {
                self.fenced_report(member)
                    .filter(|_| self.is_previous(member))
            })
        });
        reports.map(|report| report.received)
    }

    fn fenced_report(&self, member: &SurveyedMember) -> Option<MemberReport> {
        let report = member.response.report()?;
        self.is_fenced(member, report).then_some(*report)
    }

    /// The report of a member that is fenced and has the log that it had before.
    pub(super) fn complete_report(&self, member: &SurveyedMember) -> Option<MemberReport> {
        let report = member.response.report()?;
        let is_complete = match self.is_previous(member) {
            true => self.is_log_of_previous(member, report),
            false => self.has_log_of_target(member, report) && !self.may_have_lost_log(report),
        };
        self.fenced_report(member).filter(|_| is_complete)
    }

    /// Whether an empty log may be one that its server has lost in a restart that its entry doesn't
    /// show. There is no time by which an entry shows it.
    fn may_have_lost_log(&self, report: &MemberReport) -> bool {
        report.received.number == 0 && !self.is_group_empty()
    }

    /// Whether no member is known to have ever held a commit.
    fn is_group_empty(&self) -> bool {
        let reports = self.members.iter().filter_map(|m| m.response.report());
        let known = reports.map(|report| report.received).chain(self.known);
        known.into_iter().all(|position| position.number == 0)
    }

    /// Whether nobody can have further commits acknowledged through the member.
    pub(super) fn is_fenced(&self, member: &SurveyedMember, report: &MemberReport) -> bool {
        // After its demotion, no other leader is there to receive from.
        let led_alone = self.is_previous(member) && self.former_targets.is_empty();
        report.role == Role::Replica && (report.paused_for >= self.term || led_alone)
    }

    /// Whether a member that may have led since may still have commits acknowledged. Without
    /// synchronous replication no fence prevents that.
    pub(super) fn may_have_leader(&self, now: Instant) -> bool {
        if self.sync_replicas == 0 {
            return false;
        }
        let may_have_led = |m: &&SurveyedMember| self.is_previous(m) || self.is_former_target(m);
        let is_stopped =
            |member: &SurveyedMember| self.fenced_report(member).is_some() || member.has_left(now);
        let mut leaders = self.members.iter().filter(may_have_led);
        let is_unknown = !self.members.iter().any(|member| self.is_previous(member));
        is_unknown || leaders.any(|member| !is_stopped(member))
    }

    fn fenced_members(&self) -> impl Iterator<Item = &SurveyedMember> {
        let members = self.members.iter();
        members.filter(|member| self.fenced_report(member).is_some())
    }

    /// When the last of the fenced members answered.
    pub(super) fn last_fenced_at(&self) -> Option<Instant> {
        self.fenced_members().map(|member| member.answered_at).max()
    }

    /// Whether all members that are fenced now were fenced before, by the responses `before`.
    pub(super) fn were_fenced(&self, before: &[SurveyedMember]) -> bool {
        self.fenced_members().all(|member| {
            let known = before.iter().find(|m| m.member.id == member.member.id);
            known.is_some_and(|known| self.fenced_report(known).is_some())
        })
    }

    /// The position of the old leader's log, if it is fenced and has the log that it had as leader.
    pub(super) fn previous_log(&self) -> Option<LogPosition> {
        let mut old = self.members.iter().filter(|m| self.is_previous(m));
        let report = old.find_map(|member| self.complete_report(member))?;
        Some(report.received)
    }

    /// Whether the old leader reports the log that it had as leader. A log that is empty or shorter
    /// than another member's is not: its server has restarted without it.
    pub(super) fn is_log_of_previous(
        &self,
        member: &SurveyedMember,
        report: &MemberReport,
    ) -> bool {
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

    /// Logs that are lost because their servers have restarted or left, each with a position that
    /// covers all commits of which it may have been a copy; `None` if no position is known that a
    /// reported log reaches.
    pub(super) fn lost_logs(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&SurveyedMember, Option<LogPosition>)> {
        let members = self.members.iter();
        let lost = members.filter(move |member| member.has_left(now) && !self.is_previous(member));
        lost.map(|member| {
            let covering = member.ended_at.and_then(|at| self.samples.covering(at));
            let reached = covering.filter(|position| self.is_reached(*position));
            (member, reached)
        })
    }

    /// Whether a reported log reaches `position`.
    pub(super) fn is_reached(&self, position: LogPosition) -> bool {
        let mut reports = self.complete_reports();
        reports.any(|report| reaches(&report, position))
    }

    /// Number of logs that may hold acknowledged commits and are unknown, or through which commits
    /// may still be acknowledged. A server counts once, since at any time it has only one log.
    pub(super) fn missing_logs(&self, now: Instant) -> usize {
        let others = self.other_members(now);
        let unreported = others.filter(|member| self.complete_report(member).is_none());
        let lost = self.lost_logs(now);
        let lost = lost.filter_map(|(member, covering)| covering.is_none().then_some(member));
        let servers = unreported.chain(lost).map(|m| server_name(&m.member.id));
        let servers: HashSet<&str> = servers.collect();
        servers.len() + usize::from(self.is_previous_missing())
    }

    /// Whether a missing log may still be reported. It is of no use to wait for logs that are lost.
    pub(super) fn may_return(&self, now: Instant) -> bool {
        let mut others = self.other_members(now);
        others.any(|member| self.complete_report(member).is_none() && !self.is_log_empty(member))
            || (self.is_previous_missing() && !self.has_lost_previous(now))
    }

    /// Whether `member` is fenced and reports an empty log, which it can't fill any more.
    pub(super) fn is_log_empty(&self, member: &SurveyedMember) -> bool {
        let report = member.response.report();
        report.is_some_and(|report| report.received.number == 0 && self.is_fenced(member, report))
    }

    fn is_previous_missing(&self) -> bool {
        self.previous.id.is_some() && self.previous_log().is_none()
    }

    /// Whether no more can become known of the old leader's log. A server that has started again may
    /// have kept it, which its report shows.
    fn has_lost_previous(&self, now: Instant) -> bool {
        let mut old = self.members.iter().filter(|m| self.is_previous(m));
        old.all(|old| {
            let has_restarted = self.previous.is_later_incarnation(&old.member);
            old.has_left(now) || (has_restarted && self.fenced_report(old).is_some())
        })
    }

    /// Members other than the old leader, without those that have left.
    pub(super) fn other_members(&self, now: Instant) -> impl Iterator<Item = &SurveyedMember> {
        let members = self.members.iter();
        members.filter(move |member| !self.is_previous(member) && !member.has_left(now))
    }
}

/// Whether a member still has a log that reached `position`. In a later term its log may be shorter
/// because it follows the log with which that term began.
fn reaches(report: &MemberReport, position: LogPosition) -> bool {
    report.received >= position || report.term > position.term
}
