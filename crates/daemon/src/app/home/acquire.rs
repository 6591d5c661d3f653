//! Finds a member for a unit and a connection to it.

use super::group::Group;
use super::pool::PooledConnection;
use super::routing::{Choice, Router};
use super::state::{GroupState, wait_for_state};
use crate::domain::exchange::Access;
use crate::domain::names::{MemberName, ServiceName};
use crate::domain::verdict::{FailureKind, RequestFailure};
use std::collections::BTreeSet;
use tokio::time::{Instant, sleep};

/// A connection to a member that may run a unit of `access`.
///
/// Nothing of the unit has been sent, so a member that fails here is passed over:
/// a write waits for the next primary, a read goes to another member. Every failure
/// is `NotRun`.
pub async fn acquire_connection(
    router: &Router<'_>,
    service: &ServiceName,
    access: Access,
    excluded: &mut BTreeSet<MemberName>,
) -> Result<(PooledConnection, Choice), RequestFailure> {
    loop {
        let choice = match access {
            Access::Write => router.choose_for_write().await?,
            Access::Read(freshness) => router.choose_for_read(freshness, excluded).await?,
        };
        let failure = match connect_to(router, service, &choice).await {
            Ok(connection) => return Ok((connection, choice)),
            Err(failure) => failure,
        };
        let has_time = Instant::now() < router.deadline;
        let other_may_serve = match failure.kind {
            FailureKind::BackEndUnreachable => true,
            FailureKind::Overloaded => access != Access::Write,
            _ => false,
        };
        if !(has_time && other_may_serve) {
            return Err(failure);
        }
        router.group.hint();
        if access != Access::Write {
            excluded.insert(choice.member);
            if all_members_in(router.group, excluded) {
                return Err(failure);
            }
        }
        sleep(router.group.settings().urgent_probe_interval()).await;
    }
}

/// A connection to the chosen member, given up once the choice no longer holds.
async fn connect_to(
    router: &Router<'_>,
    service: &ServiceName,
    choice: &Choice,
) -> Result<PooledConnection, RequestFailure> {
    let Some(pool) = router.group.pool(&choice.member) else {
        return Err(outdated(choice));
    };
    let mut state = router.group.watch_state();
    tokio::select! {
        biased;
        connection = pool.acquire(service, choice.term, router.deadline) => connection,
        failure = wait_for_state(&mut state, |state| outdated_in(state, choice)) => Err(failure),
    }
}

/// Set once the member no longer answers, or a later term is known.
fn outdated_in(state: &GroupState, choice: &Choice) -> Option<RequestFailure> {
    let answers = state
        .members()
        .get(&choice.member)
        .is_some_and(|member| member.live_report().is_some());
    let still_holds = answers && state.highest_term() <= choice.term;
    (!still_holds).then(|| outdated(choice))
}

fn outdated(choice: &Choice) -> RequestFailure {
    let message = format!("{} stopped answering or was replaced", choice.member);
    RequestFailure::not_run(FailureKind::BackEndUnreachable, message)
}

fn all_members_in(group: &Group, excluded: &BTreeSet<MemberName>) -> bool {
    let state = group.watch_state();
    let state = state.borrow();
    state.members().keys().all(|name| excluded.contains(name))
}
