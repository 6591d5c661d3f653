//! Which members' logs a survey has reported, and which may hold commits that no answer shows.

use super::survey::{Response, SurveyedMember};
use crate::directory::Role;
use crate::group::PositionSamples;
use crate::names::are_incarnations_of_same_server;
use crate::ports::MemberReport;
use crate::position::LogPosition;
use serde::Serialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use tokio::time::Instant;

/// How a survey counts the log of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberCounting {
    /// It has reported its position.
    Reported,
    /// It has left for good, and a reported log holds every commit that it can have received.
    Left,
    /// Another server has taken over its address and its log.
    Replaced,
    /// It may have received commits that no other member has.
    Unknown,
}

/// The logs of the members that were asked in a survey.
#[derive(Debug)]
pub(super) struct SurveyedLogs<'a> {
    /// All members, including gone ones.
    pub members: &'a [SurveyedMember],
    /// Positions that cover every commit acknowledged before a point in time.
    pub samples: &'a PositionSamples,
    /// Number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// When the survey was started.
    pub sent: Instant,
}

impl SurveyedLogs<'_> {
    /// The highest position that a member has reported.
    pub fn highest(&self) -> Option<LogPosition> {
        let reports = self.members.iter().filter_map(|m| m.response.report());
        reports.map(|report| report.received).max()
    }

    /// Whether the reported logs hold every acknowledged commit: no more logs are unknown than
    /// replicas had to receive a commit, and no leader may be acknowledging commits unseen.
    pub fn are_sufficient(&self) -> bool {
        let unknown = self.unknown_count() + self.unlisted_count();
        unknown <= self.sync_replicas && !self.may_lead_unseen()
    }

    /// Whether a member is silent and none has answered as the leader. The silent one may lead, cut
    /// off together with a server that has joined it and isn't listed here, through which it has
    /// commits acknowledged.
    fn may_lead_unseen(&self) -> bool {
        let mut members = self.members.iter();
        let mut reports = self.members.iter().filter_map(|m| m.response.report());
        members.any(|member| self.is_silent(member))
            && reports.all(|report| report.role == Role::Replica)
    }

    /// Whether a member may be running and has not reported.
    fn is_silent(&self, member: &SurveyedMember) -> bool {
        let response = &member.response;
        let has_no_answer = matches!(response, Response::Silent(_) | Response::Declined(_));
        has_no_answer && self.counting(member) == MemberCounting::Unknown
    }

    /// Number of servers that are missing among the known ones: commits need one server more than
    /// hold a copy, to be acknowledged while one is away. Its entry may have expired, or not have
    /// been accepted yet.
    fn unlisted_count(&self) -> usize {
        let addresses = self.members.iter().map(|member| member.member.address);
        let known: HashSet<SocketAddr> = addresses.collect();
        let expected = match self.sync_replicas {
            0 => 1,
            replicas => replicas + 2,
        };
        expected.saturating_sub(known.len())
    }

    /// Number of servers whose logs are unknown. All members at one address count once, since a
    /// server has only one log at any time.
    fn unknown_count(&self) -> usize {
        let unknown = self
            .members
            .iter()
            .filter(|member| self.counting(member) == MemberCounting::Unknown);
        let servers: HashSet<SocketAddr> = unknown.map(|m| m.member.address).collect();
        servers.len()
    }

    /// How the log of `member` counts.
    pub fn counting(&self, member: &SurveyedMember) -> MemberCounting {
        match &member.response {
            Response::Report(report) if self.may_have_lost_log(report) => MemberCounting::Unknown,
            Response::Report(_) => MemberCounting::Reported,
            Response::RestartedEmpty => MemberCounting::Unknown,
            _ if self.is_replaced(member) => MemberCounting::Replaced,
            _ if self.is_covered_departure(member) => MemberCounting::Left,
            _ => MemberCounting::Unknown,
        }
    }

    /// Whether an empty log may be that of a server that has restarted without its log, which its
    /// entry doesn't show yet. The group is empty only if all members say so.
    fn may_have_lost_log(&self, report: &MemberReport) -> bool {
        let mut reports = self.members.iter().map(|member| member.response.report());
        let is_group_empty =
            reports.all(|report| report.is_some_and(|report| report.received.number == 0));
        report.received.number == 0 && !is_group_empty
    }

    /// Whether another server has taken over the member's address, with its log. A gone member
    /// that doesn't answer has taken over nothing: it may have been there before.
    fn is_replaced(&self, member: &SurveyedMember) -> bool {
        let is_successor = |other: &SurveyedMember| {
            other.member.id != member.member.id
                && other.member.address == member.member.address
                && !are_incarnations_of_same_server(&other.member.id, &member.member.id)
                && (!other.member.is_gone() || other.response.report().is_some())
        };
        member.member.is_gone() && self.members.iter().any(is_successor)
    }

    /// Whether the member has left for good and a reported log reaches a position that covers all
    /// commits acknowledged before it was found to have ended. It takes its log with it, which may
    /// have been the only copy beside the leader's, and receives commits until its end.
    fn is_covered_departure(&self, member: &SurveyedMember) -> bool {
        let ended_at = member.ended_at.filter(|_| member.has_left(self.sent));
        let covering = ended_at.and_then(|at| self.samples.covering(at));
        covering.is_some_and(|position| self.highest() >= Some(position))
    }
}
