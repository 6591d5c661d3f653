//! Members to which the statements of a session may be sent.
//!
//! A [`Target`] can be created only for a member in the home regions of the statement, and a
//! session acquires connections only through targets. Every way to send a statement, including
//! hedged reads and the opening of transactions, is thus restricted to these regions.

use super::Session;
use crate::configuration::Route;
use crate::directory::Member;
use crate::engine::Engine;
use crate::group::{Group, UsableLeader};
use crate::pool::{AcquireError, AcquireRequest, MemberPool, PooledConnection};
use crate::position::LogPosition;
use crate::residency::{Allowed, Residency};
use crate::routing::{ReadCandidate, is_usable, is_use_expired};
use crate::verdict::{Failure, FailureReason};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Retry delay for a statement that has no member in its home regions. Only a promotion or a change
/// of the configuration can provide one, and either takes about this long.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A member that may run a statement.
#[derive(Debug, Clone)]
pub(super) struct Target {
    /// The connection pool of the member, from which only [`Target::acquire`] takes connections.
    pool: Allowed<Arc<MemberPool>>,
    /// The position that the member's log must have reached; `None` for a leader of whose log no
    /// position is known.
    pub after: Option<LogPosition>,
    /// Whether the member is expected to run the statement at once.
    pub is_preferred: bool,
}

impl Target {
    /// Creates the target of a read for a candidate whose log must have reached `after`.
    pub(super) fn from_candidate(candidate: ReadCandidate, after: LogPosition) -> Self {
        Self {
            pool: candidate.pool,
            after: Some(after),
            is_preferred: candidate.is_preferred,
        }
    }

    /// Returns a target that sends the statement to the same member a second time.
    pub(super) fn for_retry(&self) -> Self {
        Self {
            is_preferred: false,
            ..self.clone()
        }
    }

    /// Returns the connection pool of the member.
    pub(super) fn pool(&self) -> &MemberPool {
        self.pool.get()
    }

    /// Returns the home regions for which the member was chosen.
    pub(super) fn residency(&self) -> &Residency {
        self.pool.residency()
    }

    /// Acquires a connection to the member by `until`, and checks that the member is then still in
    /// a home region.
    ///
    /// # Errors
    ///
    /// [`AcquireError`] if no connection is available or the member is outside the home regions.
    pub(super) async fn acquire(
        &self,
        engine: &Engine,
        acquire_request: &AcquireRequest,
        until: Instant,
    ) -> Result<PooledConnection, AcquireError> {
        let connection = self.pool.get().acquire(acquire_request, until).await?;
        let now = engine.residency(&acquire_request.database, acquire_request.tenant.as_ref());
        if !is_still_allowed(engine, self.pool(), self.residency(), &now) {
            return Err(AcquireError::OutsideRegions);
        }
        let distance = engine
            .settings()
            .topology
            .distance(&self.pool().member().zone);
        metrics::counter!("stilequay_placements_total", "distance" => distance.name()).increment(1);
        Ok(connection)
    }
}

/// Returns whether `pool`, which was chosen for the regions `chosen`, may be used under the current
/// home regions `now`. A remote pool goes through another process, which may be in any of the
/// `chosen` regions, so all of these must still be allowed.
pub(super) fn is_still_allowed(
    engine: &Engine,
    pool: &MemberPool,
    chosen: &Residency,
    now: &Residency,
) -> bool {
    if now.is_superset_of(chosen) {
        return true;
    }
    let topology = &engine.settings().topology;
    !pool.is_remote() && now.admit(topology, pool.member()).is_some()
}

/// Returns the target for the leader, or `None` if the leader can no longer be used. Its log must
/// have reached what is known of it: the server may have restarted without its log, and refuses
/// then instead of running a statement on another one.
///
/// # Errors
///
/// [`Failure`] if the leader is outside the home regions.
pub(super) fn leader_target(
    engine: &Engine,
    leader: &UsableLeader,
    residency: &Residency,
) -> Result<Option<Target>, Failure> {
    let directory = engine.directory();
    let Some(member) = directory.member(&leader.member) else {
        return Ok(None);
    };
    if !is_usable(engine, member, Instant::now()) {
        return Ok(None);
    }
    let after = engine.group(&member.group).known_position(leader);
    let topology = &engine.settings().topology;
    let member = residency.admit(topology, Arc::clone(member));
    let member = member.ok_or_else(outside_home_regions)?;
    Ok(Some(Target {
        pool: engine.session_pool(&member),
        after,
        is_preferred: true,
    }))
}

/// Checks that at least one usable member of `group` is in a home region. Passes if the group has
/// no usable member.
///
/// # Errors
///
/// [`Failure`] if all usable members are outside the home regions.
pub(super) fn check_home_regions(
    engine: &Engine,
    group: &Group,
    residency: &Residency,
) -> Result<(), Failure> {
    if residency.is_anywhere() {
        return Ok(());
    }
    let now = Instant::now();
    let members = engine.directory().members_of(group.name());
    let usable: Vec<Arc<Member>> = members
        .into_iter()
        .filter(|member| !is_use_expired(engine, member.state, now))
        .collect();
    let topology = &engine.settings().topology;
    let mut allowed = residency.select(topology, &usable);
    match usable.is_empty() || allowed.next().is_some() {
        true => Ok(()),
        false => Err(outside_home_regions()),
    }
}

/// As [`check_home_regions`], for statements that only the leader can run: callers need not wait
/// for evidence of a leader that is outside the home regions. During a replacement the chosen
/// successor is checked; until it is chosen, any member in a home region suffices.
///
/// # Errors
///
/// [`Failure`] if the leader is known to be outside the home regions.
pub(super) fn check_leader_region(
    engine: &Engine,
    group: &Group,
    residency: &Residency,
) -> Result<(), Failure> {
    let view = group.view();
    let directory = engine.directory();
    let leader = view.target().and_then(|leader| directory.member(leader));
    let topology = &engine.settings().topology;
    match leader.is_none_or(|leader| residency.admit(topology, leader).is_some()) {
        true => check_home_regions(engine, group, residency),
        false => Err(outside_home_regions()),
    }
}

/// Returns the failure of a statement that no member in a home region can run.
pub(super) fn outside_home_regions() -> Failure {
    Failure::not_run(FailureReason::OutsideHomeRegions).with_retry_after(RETRY_AFTER)
}

impl Session {
    /// Returns the regions in which a statement of `bound` may run: those in the newest
    /// configuration, or the last known ones if it no longer contains the route or the tenant.
    pub(super) fn residency(&self, bound: &Route) -> Residency {
        let configuration = self.engine.configuration();
        let configuration = configuration.as_ref();
        let route = configuration.and_then(|c| c.routes.get(&self.database));
        let route = route.map_or(&bound.residency, |route| &route.residency);
        let Some(tenant) = &self.tenant else {
            return route.clone();
        };
        let newest = configuration.and_then(|c| c.tenants.get(&tenant.name));
        route.intersection(&newest.unwrap_or(tenant).residency)
    }
}
