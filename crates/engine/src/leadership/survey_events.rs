//! Events written for surveys of a group's members for a log position.

use super::freshness::{is_replaced, is_unknown};
use super::survey::{Response, SurveyedMember};
use crate::engine::Engine;
use crate::events::{Event, EventClass, PositionSurveyEvent};
use crate::group::{Group, PositionOutcome};
use crate::names::MemberId;
use crate::position::LogPosition;
use serde::Serialize;
use tokio::time::Instant;

/// What became of the position that a survey found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SurveyResult {
    /// Reads may rely on it.
    Accepted,
    /// A position is known that covers the same time or a later one.
    Superseded,
    /// It was rejected because a higher position is known.
    BelowKnown {
        /// The known position.
        known: LogPosition,
    },
    /// No position was taken, because the state of too many members is unknown.
    TooManyUnknown,
}

impl From<PositionOutcome> for SurveyResult {
    fn from(outcome: PositionOutcome) -> Self {
        match outcome {
            PositionOutcome::Recorded => SurveyResult::Accepted,
            PositionOutcome::Superseded => SurveyResult::Superseded,
            PositionOutcome::BelowKnown(known) => SurveyResult::BelowKnown { known },
        }
    }
}

impl SurveyResult {
    /// The value of the `result` label in metrics.
    fn name(self) -> &'static str {
        match self {
            SurveyResult::Accepted => "accepted",
            SurveyResult::Superseded => "superseded",
            SurveyResult::BelowKnown { .. } => "below_known",
            SurveyResult::TooManyUnknown => "too_many_unknown",
        }
    }
}

/// How a survey counts the log of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberCounting {
    /// It has reported its position.
    Reported,
    /// It has left for good.
    Left,
    /// Another server has taken over its address and its log.
    Replaced,
    /// It may have received commits that no other member has.
    Unknown,
}

/// The answer of one member to a survey.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberAnswer {
    /// The member.
    pub member: MemberId,
    /// Its response.
    pub response: Response,
    /// How it is counted.
    pub counted: MemberCounting,
}

/// A completed survey.
pub(super) struct PositionSurvey<'a> {
    pub group: &'a Group,
    /// When the requests were sent.
    pub sent: Instant,
    pub members: &'a [SurveyedMember],
    /// The highest position that a member has reported.
    pub highest: Option<LogPosition>,
    /// The number of members that may be unknown.
    pub may_be_unknown: usize,
}

impl PositionSurvey<'_> {
    /// Counts the survey and writes its event.
    pub fn emit(&self, engine: &Engine, result: SurveyResult) {
        metrics::counter!("stilequay_position_surveys_total", "result" => result.name())
            .increment(1);
        if !engine.events().has_budget(EventClass::Survey) {
            return;
        }
        let members = self.members.iter().map(|member| self.answer(member));
        engine
            .events()
            .write(&Event::PositionSurvey(PositionSurveyEvent {
                group: self.group.name().clone(),
                epoch: self.group.view().epoch,
                result,
                position: self.highest,
                members: members.collect(),
                may_be_unknown: self.may_be_unknown,
            }));
    }

    fn answer(&self, surveyed: &SurveyedMember) -> MemberAnswer {
        MemberAnswer {
            member: surveyed.member.id.clone(),
            response: surveyed.response.clone(),
            counted: self.counting(surveyed),
        }
    }

    fn counting(&self, surveyed: &SurveyedMember) -> MemberCounting {
        if surveyed.response.report().is_some() {
            return MemberCounting::Reported;
        }
        match is_unknown(surveyed, self.members, self.sent) {
            true => MemberCounting::Unknown,
            false if is_replaced(surveyed, self.members) => MemberCounting::Replaced,
            false => MemberCounting::Left,
        }
    }
}
