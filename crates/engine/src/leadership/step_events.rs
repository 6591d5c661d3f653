//! Events written for the steps of a promotion.

use super::choice::{FenceSurvey, Obstacle, RequiredLog};
use super::promotion::Promotion;
use super::record::{TermPhase, TermRecord};
use super::survey::{Response, SurveyedMember};
use crate::events::{Event, OrderEvent, millis};
use crate::names::MemberId;
use crate::ports::{MemberReport, PromoteError, PromotionOrder};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// What the event of a step tells besides the change of leader that it belongs to.
#[derive(Debug, Default)]
struct Step {
    name: &'static str,
    member: Option<MemberId>,
    report: Option<MemberReport>,
    order: Option<OrderEvent>,
    result: String,
}

/// What one round of the fence has shown.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Round {
    responses: Vec<(MemberId, Response)>,
    required: RequiredLog,
    choice: Result<MemberId, Obstacle>,
}

fn response_of(surveyed: &SurveyedMember) -> (MemberId, Response) {
    (surveyed.member.id.clone(), surveyed.response.clone())
}

impl fmt::Display for RequiredLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("required: ")?;
        match self.of_leaders {
            Some(position) => write!(f, "{position} by the leaders' logs, ")?,
            None => f.write_str("unknown by the leaders' logs, ")?,
        }
        match &self.of_quorum {
            Ok(position) => write!(f, "{position} by a quorum")?,
            Err(obstacle) => write!(f, "unknown by a quorum ({obstacle:?})")?,
        }
        write!(f, "; missing logs: {}", self.missing)
    }
}

impl Promotion {
    /// Writes the responses of one round of the fence, and which member was chosen or why none was,
    /// if that differs from the round before.
    pub(super) fn emit_round(
        &self,
        record: &TermRecord,
        survey: &FenceSurvey<'_>,
        now: Instant,
        choice: &Result<MemberId, Obstacle>,
        last: &mut Option<Round>,
    ) {
        let round = Round {
            responses: survey.members.iter().map(response_of).collect(),
            required: survey.required_log(now),
            choice: choice.clone(),
        };
        if last.as_ref() == Some(&round) {
            return;
        }
        for (id, response) in &round.responses {
            self.emit_response(record, "fence", id, response);
        }
        let result = match choice {
            Ok(_) => round.required.to_string(),
            Err(obstacle) => format!("{obstacle:?}; {}", round.required),
        };
        self.emit_step(
            record,
            Step {
                name: "choose",
                member: choice.as_ref().ok().cloned(),
                result,
                ..Step::default()
            },
        );
        *last = Some(round);
    }

    /// Writes that `record` was stored. The first record of a change names the members to replace.
    pub(super) fn emit_recorded(&self, record: &TermRecord) {
        let result = match record.phase {
            TermPhase::Fencing => members_to_replace(record),
            TermPhase::Promoting | TermPhase::Active => String::new(),
        };
        self.emit_step(
            record,
            Step {
                name: "recorded",
                member: record.target.clone(),
                result,
                ..Step::default()
            },
        );
    }

    pub(super) fn emit_response(
        &self,
        record: &TermRecord,
        step: &'static str,
        member: &MemberId,
        response: &Response,
    ) {
        let result = match response {
            Response::Report(_) => String::new(),
            Response::Down(reason) => format!("down: {reason}"),
            Response::Declined(reason) => format!("declined: {reason}"),
            Response::RestartedEmpty => "started again".to_owned(),
            Response::Silent(reason) => format!("silent: {reason}"),
        };
        self.emit_step(
            record,
            Step {
                name: step,
                member: Some(member.clone()),
                report: response.report().copied(),
                result,
                ..Step::default()
            },
        );
    }

    /// Writes the result of `order`, which came after `elapsed`.
    pub(super) fn emit_order(
        &self,
        record: &TermRecord,
        order: &PromotionOrder,
        elapsed: Duration,
        result: &Result<(), PromoteError>,
    ) {
        let result = match result {
            Ok(()) => "accepted".to_owned(),
            Err(error) => error.to_string(),
        };
        let sent = OrderEvent {
            fencing: order.fencing.0,
            elapsed_ms: millis(elapsed),
        };
        self.emit_step(
            record,
            Step {
                name: "order",
                member: Some(order.target.clone()),
                order: Some(sent),
                result,
                ..Step::default()
            },
        );
    }

    fn emit_step(&self, record: &TermRecord, step: Step) {
        self.engine.events().write(&Event::PromotionStep {
            group: self.group.clone(),
            epoch: record.epoch,
            phase: record.phase,
            step: step.name,
            member: step.member,
            report: step.report,
            order: step.order,
            result: step.result,
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
