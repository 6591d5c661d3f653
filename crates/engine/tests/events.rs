//! The fields of events, which readers of logs rely on.

use insta::assert_json_snapshot;
use serde_json::Value;
use std::time::Duration;
use stilequay_engine::decoding::UndecodableKind;
use stilequay_engine::directory::{Departure, MemberState, Role};
use stilequay_engine::events::{
    AttemptEvent, Event, EventClass, EventLog, OrderEvent, OutcomeEvent, PositionOrigin,
    PositionSurveyEvent, RequestEvent,
};
use stilequay_engine::group::PositionSource;
use stilequay_engine::leadership::record::TermPhase;
use stilequay_engine::leadership::survey::Response;
use stilequay_engine::leadership::survey_events::{MemberAnswer, SurveyResult};
use stilequay_engine::leadership::surveyed_logs::MemberCounting;
use stilequay_engine::ports::MemberReport;
use stilequay_engine::position::LogPosition;
use stilequay_engine::verdict::{FailureReason, Verdict};
use tokio::time::advance;

fn request(outcome: OutcomeEvent) -> Event {
    request_from(PositionSource::Leader, outcome)
}

fn request_from(source: PositionSource, outcome: OutcomeEvent) -> Event {
    Event::Request(Box::new(RequestEvent {
        id: "5c0e".into(),
        key: None,
        database: "orders".into(),
        tenant: None,
        group: Some("ledger".into()),
        statement: "write",
        configuration: 7,
        proof_age_ms: None,
        epoch: Some(2),
        evidence_age_ms: Some(120),
        after: Some(LogPosition::new(3, 1207)),
        after_origin: Some(PositionOrigin {
            source,
            session_floor: true,
            age_ms: 31,
            epoch: 2,
        }),
        attempts: vec![AttemptEvent {
            member: "i-7f".into(),
            result: "no answer in time".to_owned(),
            ended_ms: 464,
        }],
        outcome,
        late: false,
        elapsed_ms: 465,
    }))
}

fn failed() -> OutcomeEvent {
    OutcomeEvent::Failed {
        verdict: Verdict::MayHaveRun,
        reason: FailureReason::AnswerTimedOut,
        retry_after_ms: None,
    }
}

fn survey(result: SurveyResult, answers: &[(Response, MemberCounting)]) -> Event {
    let members = answers
        .iter()
        .enumerate()
        .map(|(index, (response, counted))| MemberAnswer {
            member: format!("i-{index}").into(),
            response: response.clone(),
            counted: *counted,
        });
    Event::PositionSurvey(PositionSurveyEvent {
        group: "ledger".into(),
        epoch: 2,
        result,
        position: Some(LogPosition::new(3, 1207)),
        members: members.collect(),
        may_be_unknown: 1,
    })
}

#[tokio::test(start_paused = true)]
async fn every_event_has_its_fields() {
    let since = tokio::time::Instant::now();
    let report = MemberReport {
        role: Role::Replica,
        term: 3,
        received: LogPosition::new(3, 1207),
        paused_for: 4,
    };
    let events = [
        request(OutcomeEvent::Completed),
        request(failed()),
        Event::SessionRefused {
            database: "nowhere".into(),
            reason: FailureReason::UnknownDatabase,
            configuration: 7,
            proof_age_ms: None,
        },
        Event::ConfigurationTaken {
            version: 7,
            routes: 3,
        },
        Event::MemberChanged {
            member: "i-7f".into(),
            group: "ledger".into(),
            state: MemberState::Leaving(Departure::at(since)),
            role: Role::Primary,
            directory: 55,
        },
        Event::LeaderChanged {
            group: "ledger".into(),
            epoch: 2,
            leader: Some("i-7f".into()),
            confirmed: true,
        },
        Event::UnconfirmedCommit {
            group: "ledger".into(),
            epoch: 2,
            leader: "i-7f".into(),
            position: Some(LogPosition::new(2, 41)),
            evidence_age_ms: Some(512),
        },
        Event::LeaderSuspected {
            group: "ledger".into(),
            epoch: 2,
            leader: "i-7f".into(),
            evidence: "unreachable",
            since_ms: 104,
        },
        survey(
            SurveyResult::Accepted,
            &[
                (Response::Report(report), MemberCounting::Reported),
                (
                    Response::Silent("no answer in time".to_owned()),
                    MemberCounting::Unknown,
                ),
                (Response::RestartedEmpty, MemberCounting::Unknown),
                (
                    Response::Down("connection refused".to_owned()),
                    MemberCounting::Left,
                ),
                (
                    Response::Declined("busy".to_owned()),
                    MemberCounting::Replaced,
                ),
            ],
        ),
        survey(
            SurveyResult::BelowKnown {
                known: LogPosition::new(3, 1208),
            },
            &[],
        ),
        Event::PromotionStep {
            group: "ledger".into(),
            epoch: 3,
            phase: TermPhase::Fencing,
            step: "fence",
            member: Some("i-80".into()),
            report: Some(report),
            order: None,
            result: String::new(),
        },
        Event::PromotionStep {
            group: "ledger".into(),
            epoch: 3,
            phase: TermPhase::Promoting,
            step: "order",
            member: Some("i-80".into()),
            report: None,
            order: Some(OrderEvent {
                fencing: 4,
                elapsed_ms: 12,
            }),
            result: "accepted".to_owned(),
        },
        Event::PromotionLease {
            held: true,
            fencing: 4,
            reason: "acquired".to_owned(),
        },
        Event::Undecodable {
            what: UndecodableKind::LinkAnswer,
            from: "10.0.0.7:7000".to_owned(),
            frame: Some("Beliefs".to_owned()),
            bytes: Some(312),
            error: "missing field `target`".to_owned(),
        },
        Event::Undecodable {
            what: UndecodableKind::TermRecord,
            from: "term/ledger".to_owned(),
            frame: None,
            bytes: None,
            error: "missing field `target`".to_owned(),
        },
        Event::Dependency {
            name: "term_records",
            available: false,
            reason: "no answer".to_owned(),
        },
        Event::Lifecycle {
            action: "start",
            detail: "version 0.1.0".to_owned(),
        },
    ];
    let written: Vec<Value> = events
        .iter()
        .map(|event| serde_json::to_value(event).expect("JSON"))
        .collect();
    assert_json_snapshot!(written);
}

#[tokio::test(start_paused = true)]
async fn many_successes_do_not_use_up_the_budget_of_failures() {
    let log = EventLog::default();
    let mut written = 0;
    for _ in 0..10_000 {
        if log.has_budget(EventClass::Success) {
            log.write(&request(OutcomeEvent::Completed));
            written += 1;
        }
    }
    assert!((1..50).contains(&written), "{written}");
    assert!(log.has_budget(EventClass::Failure));
    assert!(!log.has_budget(EventClass::Success));
    advance(Duration::from_secs(2)).await;
    assert!(log.has_budget(EventClass::Success));
}

#[tokio::test(start_paused = true)]
async fn reads_at_a_surveyed_position_are_written_beside_many_other_successes() {
    let log = EventLog::default();
    while log.has_budget(EventClass::Success) {
        log.write(&request(OutcomeEvent::Completed));
    }
    let read = request_from(PositionSource::Survey, OutcomeEvent::Completed);
    assert_eq!(read.class(), EventClass::SurveyedRead);
    assert!(log.has_budget(read.class()));
    let failed_read = request_from(PositionSource::Survey, failed());
    assert_eq!(failed_read.class(), EventClass::Failure);
}
