//! Events written for surveys of a group's members for a log position.

use super::survey::{Response, SurveyedMember};
use super::surveyed_logs::{MemberCounting, SurveyedLogs};
use crate::engine::Engine;
use crate::events::{Event, EventClass, PositionSurveyEvent};
use crate::group::{Group, PositionOutcome};
use crate::names::MemberId;
use crate::position::LogPosition;
use serde::Serialize;

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
    /// No position was taken, because the state of too many members is unknown, or because a silent
    /// member may lead.
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
    pub logs: SurveyedLogs<'a>,
}

impl PositionSurvey<'_> {
    /// Counts the survey and writes its event.
    pub fn emit(&self, engine: &Engine, result: SurveyResult) {
        metrics::counter!("stilequay_position_surveys_total", "result" => result.name())
            .increment(1);
        if !engine.events().has_budget(EventClass::Survey) {
            return;
        }
        let members = self.logs.members.iter().map(|member| self.answer(member));
        engine
            .events()
            .write(&Event::PositionSurvey(PositionSurveyEvent {
                group: self.group.name().clone(),
                epoch: self.group.view().epoch,
                result,
                position: self.logs.highest(),
                members: members.collect(),
                may_be_unknown: self.logs.sync_replicas,
            }));
    }

    fn answer(&self, surveyed: &SurveyedMember) -> MemberAnswer {
        MemberAnswer {
            member: surveyed.member.id.clone(),
            response: surveyed.response.clone(),
            counted: self.logs.counting(surveyed),
        }
    }
}
