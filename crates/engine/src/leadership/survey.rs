//! Asking the members of a group about themselves, and giving them orders.

use crate::directory::{Member, MemberState, Role};
use crate::engine::Engine;
use crate::names::GroupName;
use crate::pool::{AcquireError, OrderError};
use crate::ports::{ConnectError, Control, MemberReport};
use futures::future::join_all;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

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
    /// It runs, and accepts no more connections.
    Full,
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
        let MemberState::Gone { since } = self.member.state else {
            return false;
        };
        matches!(self.response, Response::Down(_)) && now.duration_since(since) > GONE_WAIT
    }

    /// Whether it answered as a replica.
    pub fn is_replica(&self) -> bool {
        let report = self.response.report();
        report.is_some_and(|report| report.role == Role::Replica)
    }
}

/// Gives `control` to one member.
pub async fn order(engine: &Engine, member: &Arc<Member>, control: Control) -> Response {
    let pool = engine.pool(member);
    match timeout(ORDER_TIMEOUT, pool.order(control)).await {
        Ok(Ok(report)) => {
            pool.note(|health| health.heard(Instant::now()));
            Response::Report(report)
        }
        Ok(Err(error)) => failure(&error),
        Err(_) => Response::Silent("no answer in time".to_owned()),
    }
}

/// Gives each member of `group` the order that `control_for` names for it, all at once.
pub async fn survey(
    engine: &Engine,
    group: &GroupName,
    control_for: impl Fn(&Member) -> Control,
) -> Vec<Surveyed> {
    let members = engine.directory().members_of(group);
    let orders = members.into_iter().map(|member| {
        let control = control_for(&member);
        async move {
            let response = order(engine, &member, control).await;
            Surveyed { member, response }
        }
    });
    join_all(orders).await
}

fn failure(error: &OrderError) -> Response {
    let reason = error.to_string();
    match error {
        OrderError::Connect(ConnectError::Refused(_) | ConnectError::WrongMember) => {
            Response::Down(reason)
        }
        OrderError::Connect(ConnectError::TooManyConnections)
        | OrderError::Acquire(AcquireError::Exhausted) => Response::Full,
        _ => Response::Silent(reason),
    }
}
