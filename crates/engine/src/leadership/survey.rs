//! Asking the members of a group about themselves, and giving them orders.

use crate::directory::{Member, MemberState, Role};
use crate::engine::Engine;
use crate::names::GroupName;
use crate::pool::{AcquireError, ControlError};
use crate::ports::{ConnectError, Control, LinkError, MemberReport};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Longest time for one order, its connection included.
const ORDER_TIMEOUT: Duration = Duration::from_millis(450);
/// How long a member whose entry has gone is still asked for. One that refuses
/// connections for all that time has left.
const GONE_WAIT: Duration = Duration::from_secs(10);

/// What came of asking a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// It answered.
    Report(MemberReport),
    /// Nobody listens at its address, or another does: it does not run now.
    Down(String),
    /// It runs, and did not take the order: it is too busy, accepts no more connections, or
    /// has refused.
    Declined(String),
    /// Its server has started again without its log.
    Ended,
    /// Nothing is known.
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

/// A member and what came of asking it.
#[derive(Debug, Clone)]
pub struct Surveyed {
    /// The member.
    pub member: Arc<Member>,
    /// What came of it.
    pub response: Response,
}

impl Surveyed {
    /// Whether it has left for good, as far as can be known.
    pub fn has_left(&self, now: Instant) -> bool {
        let MemberState::Gone(departure) = self.member.state else {
            return false;
        };
        match self.response {
            Response::Ended => true,
            Response::Down(_) => now.duration_since(departure.learned_at) > GONE_WAIT,
            _ => false,
        }
    }

    /// Whether it answered as a replica.
    pub fn is_replica(&self) -> bool {
        let report = self.response.report();
        report.is_some_and(|report| report.role == Role::Replica)
    }
}

/// Gives `control` to one member.
pub async fn order(engine: &Engine, member: &Arc<Member>, control: Control) -> Response {
    if engine.directory().has_restarted(member) {
        return Response::Ended;
    }
    let pool = engine.pool(member);
    match timeout(ORDER_TIMEOUT, pool.control(control)).await {
        Ok(Ok(report)) => {
            pool.update_health(|health| health.record_contact(Instant::now()));
            Response::Report(report)
        }
        Ok(Err(error)) => failure(&error),
        Err(_) => Response::Silent("no answer in time".to_owned()),
    }
}

/// How long a survey waits for the last members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Members that may be left out.
    may_miss: usize,
    /// Wait for them after all others have answered.
    wait: Duration,
}

impl Patience {
    /// Every member is waited for.
    pub const WHOLE: Self = Self {
        may_miss: 0,
        wait: Duration::ZERO,
    };
    /// One member, which is likely lost, is waited for only a moment longer than the rest.
    pub const ONE_LIKELY_LOST: Self = Self {
        may_miss: 1,
        wait: Duration::from_millis(50),
    };
}

/// Gives each member of `group` the order that `control_for` names for it, all at once.
pub async fn survey(
    engine: &Engine,
    group: &GroupName,
    control_for: impl Fn(&Member) -> Control,
    patience: Patience,
) -> Vec<Surveyed> {
    let members = engine.directory().members_of(group);
    survey_members(engine, members, control_for, patience).await
}

/// The same for `members` only.
pub async fn survey_members(
    engine: &Engine,
    members: Vec<Arc<Member>>,
    control_for: impl Fn(&Member) -> Control,
    patience: Patience,
) -> Vec<Surveyed> {
    let orders = members.iter().map(|member| {
        let control = control_for(member);
        async move {
            let response = order(engine, member, control).await;
            let member = Arc::clone(member);
            Surveyed { member, response }
        }
    });
    let mut running: FuturesUnordered<_> = orders.collect();
    let mut surveyed: Vec<Surveyed> = Vec::new();
    let mut until = Instant::now() + ORDER_TIMEOUT + ORDER_TIMEOUT;
    while let Ok(Some(next)) = timeout_at(until, running.next()).await {
        surveyed.push(next);
        if running.len() <= patience.may_miss {
            until = until.min(Instant::now() + patience.wait);
        }
    }
    drop(running);
    let silent = members.into_iter().filter(|member| {
        let heard = surveyed.iter().any(|known| known.member.id == member.id);
        !heard
    });
    let silent: Vec<Surveyed> = silent
        .map(|member| Surveyed {
            member,
            response: Response::Silent("not waited for".to_owned()),
        })
        .collect();
    surveyed.extend(silent);
    surveyed
}

fn failure(error: &ControlError) -> Response {
    let reason = error.to_string();
    match error {
        ControlError::Connect(ConnectError::Refused(_) | ConnectError::WrongMember) => {
            Response::Down(reason)
        }
        ControlError::Connect(ConnectError::TooManyConnections | ConnectError::Busy)
        | ControlError::Acquire(
            AcquireError::Exhausted | AcquireError::Shed(_) | AcquireError::SlowStart(_),
        )
        | ControlError::Link(LinkError::Refused(_)) => Response::Declined(reason),
        _ => Response::Silent(reason),
    }
}
