//! Status requests and control commands to the members of a group.

use crate::directory::{Member, MemberState, Role};
use crate::engine::Engine;
use crate::names::GroupName;
use crate::pool::{AcquireError, ControlError};
use crate::ports::{BackEndConnectionError, ConnectError, Control, MemberReport};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Timeout of one control command, including the connection setup.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(450);
/// How long after its entry has gone a member may still return. A member that refuses
/// connections after that time has left.
const GONE_MEMBER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a survey waits for the last member after all others have answered.
pub const STRAGGLER_GRACE: Duration = Duration::from_millis(50);

/// Result of sending a control command to a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// It answered.
    Report(MemberReport),
    /// The member isn't running: nothing listens on its address, or another member does.
    Down(String),
    /// It is running but did not carry out the command: it is too busy, accepts no more
    /// connections, or has refused.
    Declined(String),
    /// Its server has restarted without its log.
    RestartedEmpty,
    /// No answer: its state is unknown.
    Silent(String),
}

impl Response {
    /// Its report, if it answered.
    pub fn report(&self) -> Option<&MemberReport> {
        match self {
            Response::Report(report) => Some(report),
            _ => None,
        }
    }
}

/// A member and its response.
#[derive(Debug, Clone)]
pub struct SurveyedMember {
    /// The member.
    pub member: Arc<Member>,
    /// Its response.
    pub response: Response,
    /// The result of [`ended_at`] after the response.
    pub ended_at: Option<Instant>,
    /// When the response was received, or when it was no longer waited for.
    pub answered_at: Instant,
}

impl SurveyedMember {
    /// A member of which `response` was received, or is missing.
    pub fn new(engine: &Engine, member: Arc<Member>, response: Response) -> Self {
        Self {
            ended_at: ended_at(engine, &member),
            member,
            response,
            answered_at: Instant::now(),
        }
    }

    /// Whether the member counts as having left for good.
    pub fn has_left(&self, now: Instant) -> bool {
        let MemberState::Gone(departure) = self.member.state else {
            return false;
        };
        match self.response {
            Response::RestartedEmpty => true,
            Response::Down(_) => now.duration_since(departure.learned_at) > GONE_MEMBER_TIMEOUT,
            _ => false,
        }
    }

    /// Whether it answered as a replica.
    pub fn is_replica(&self) -> bool {
        let report = self.response.report();
        report.is_some_and(|report| report.role == Role::Replica)
    }
}

/// The earliest time from which on a member without an entry is known not to be running. A server
/// may receive commits for long after its entry has gone.
pub fn ended_at(engine: &Engine, member: &Member) -> Option<Instant> {
    let MemberState::Gone(departure) = member.state else {
        return None;
    };
    let down_since = engine.existing_pool(&member.id)?.health().down_since()?;
    Some(down_since.max(departure.learned_at))
}

/// Sends `control` to one member.
pub async fn send_control(engine: &Engine, member: &Arc<Member>, control: Control) -> Response {
    let pool = engine.pool(member);
    if engine.directory().has_restarted(member) {
        pool.update_health(|health| health.record_down(Instant::now()));
        return Response::RestartedEmpty;
    }
    match timeout(CONTROL_TIMEOUT, pool.control(control)).await {
        Ok(Ok(report)) => {
            pool.update_health(|health| health.record_contact(Instant::now()));
            Response::Report(report)
        }
        Ok(Err(error)) => {
            let response = response_to_error(&error);
            if matches!(response, Response::Down(_)) {
                pool.update_health(|health| health.record_down(Instant::now()));
            }
            response
        }
        Err(_) => Response::Silent("no answer in time".to_owned()),
    }
}

/// How long a survey waits for the last members to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StragglerPolicy {
    /// Number of members whose answers may be missing.
    max_stragglers: usize,
    /// How long to wait for them after all others have answered.
    grace: Duration,
}

impl StragglerPolicy {
    /// Waits for every member.
    pub const WAIT_FOR_ALL: Self = Self {
        max_stragglers: 0,
        grace: Duration::ZERO,
    };
    /// Waits for the last member, which has likely failed, only briefly after all others.
    pub const SKIP_ONE_STRAGGLER: Self = Self {
        max_stragglers: 1,
        grace: STRAGGLER_GRACE,
    };
}

/// Sends each member of `group` the command that `control_for` returns for it, all concurrently.
pub async fn survey(
    engine: &Engine,
    group: &GroupName,
    control_for: impl Fn(&Member) -> Control,
    stragglers: StragglerPolicy,
) -> Vec<SurveyedMember> {
    let members = engine.directory().members_of(group);
    survey_members(engine, members, control_for, stragglers).await
}

/// Like [`survey`], for `members` only.
pub async fn survey_members(
    engine: &Engine,
    members: Vec<Arc<Member>>,
    control_for: impl Fn(&Member) -> Control,
    stragglers: StragglerPolicy,
) -> Vec<SurveyedMember> {
    let controls = members.iter().map(|member| {
        let control = control_for(member);
        async move {
            let response = send_control(engine, member, control).await;
            let member = Arc::clone(member);
            SurveyedMember::new(engine, member, response)
        }
    });
    let mut running: FuturesUnordered<_> = controls.collect();
    let mut surveyed: Vec<SurveyedMember> = Vec::new();
    let mut until = Instant::now() + CONTROL_TIMEOUT + CONTROL_TIMEOUT;
    while let Ok(Some(next)) = timeout_at(until, running.next()).await {
        surveyed.push(next);
        if running.len() <= stragglers.max_stragglers {
            until = until.min(Instant::now() + stragglers.grace);
        }
    }
    drop(running);
    let silent = members.into_iter().filter(|member| {
        let has_answered = surveyed.iter().any(|known| known.member.id == member.id);
        !has_answered
    });
    let silent: Vec<SurveyedMember> = silent
        .map(|member| {
            let response = Response::Silent("not waited for".to_owned());
            SurveyedMember::new(engine, member, response)
        })
        .collect();
    surveyed.extend(silent);
    surveyed
}

fn response_to_error(error: &ControlError) -> Response {
    let reason = error.to_string();
    match error {
        ControlError::Connect(ConnectError::Refused(_) | ConnectError::WrongMember) => {
            Response::Down(reason)
        }
        ControlError::Connect(ConnectError::TooManyConnections | ConnectError::Busy)
        | ControlError::Acquire(
            AcquireError::Exhausted | AcquireError::Shed(_) | AcquireError::SlowStart(_),
        )
        | ControlError::Link(BackEndConnectionError::Refused(_)) => Response::Declined(reason),
        _ => Response::Silent(reason),
    }
}
