//! The events of a promotion: one for each step.

use super::choice::Obstacle;
use super::promotion::Promotion;
use super::record::TermRecord;
use super::survey::{Response, SurveyedMember};
use crate::events::Event;
use crate::names::MemberId;
use crate::ports::MemberReport;

impl Promotion {
    pub(super) fn tell_fence(&self, record: &TermRecord, members: &[SurveyedMember]) {
        for surveyed in members {
            let id = &surveyed.member.id;
            self.tell_response(record, "fence", id, &surveyed.response);
        }
    }

    pub(super) fn tell_obstacle(&self, record: &TermRecord, obstacle: &Obstacle) {
        self.tell(record, "choose", None, None, format!("{obstacle:?}"));
    }

    pub(super) fn tell_response(
        &self,
        record: &TermRecord,
        step: &'static str,
        member: &MemberId,
        response: &Response,
    ) {
        let text = match response {
            Response::Report(_) => String::new(),
            Response::Down(reason) => format!("down: {reason}"),
            Response::Declined(reason) => format!("declined: {reason}"),
            Response::RestartedEmpty => "started again".to_owned(),
            Response::Silent(reason) => format!("silent: {reason}"),
        };
        let report = response.report().copied();
        self.tell(record, step, Some(member.clone()), report, text);
    }

    pub(super) fn tell(
        &self,
        record: &TermRecord,
        step: &'static str,
        member: Option<MemberId>,
        report: Option<MemberReport>,
        result: String,
    ) {
        self.engine.events().write(&Event::PromotionStep {
            group: self.group.clone(),
            epoch: record.epoch,
            phase: record.phase,
            step,
            member,
            report,
            result,
        });
    }
}
