//! Events written for the steps of a promotion.

use super::choice::Obstacle;
use super::promotion::Promotion;
use super::record::{TermPhase, TermRecord};
use super::survey::{Response, SurveyedMember};
use crate::events::Event;
use crate::names::MemberId;
use crate::ports::MemberReport;

impl Promotion {
    pub(super) fn emit_fence(&self, record: &TermRecord, members: &[SurveyedMember]) {
        for surveyed in members {
            let id = &surveyed.member.id;
            self.emit_response(record, "fence", id, &surveyed.response);
        }
    }

    /// Writes that `record` was stored. The first record of a change names the members to replace.
    pub(super) fn emit_recorded(&self, record: &TermRecord) {
        let result = match record.phase {
            TermPhase::Fencing => members_to_replace(record),
            TermPhase::Promoting | TermPhase::Active => String::new(),
        };
        self.emit_step(record, "recorded", record.target.clone(), None, result);
    }

    pub(super) fn emit_obstacle(&self, record: &TermRecord, obstacle: &Obstacle) {
        self.emit_step(record, "choose", None, None, format!("{obstacle:?}"));
    }

    pub(super) fn emit_response(
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
        self.emit_step(record, step, Some(member.clone()), report, text);
    }

    pub(super) fn emit_step(
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

/// The members that may have led before the change of leader that `record` begins.
fn members_to_replace(record: &TermRecord) -> String {
    let previous = record.previous.as_deref().unwrap_or("none");
    let targets = record.former_targets.iter().map(|target| &*target.id);
    let targets: Vec<&str> = targets.collect();
    match targets.is_empty() {
        true => format!("replaces {previous}"),
        false => format!(
            "replaces {previous}, and {} if promoted",
            targets.join(", ")
        ),
    }
}
