//! Members that a session's statements may be given to.
//!
//! A [`Target`] is made of a member that the statement's home regions allow, and a session
//! acquires connections through targets only. So each way to send a statement, the second
//! try of a read and the opening of a transaction included, keeps to these regions.

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

/// When a caller is to come back whose statement has no member in its home regions: a
/// promotion or a change of the configuration, which alone can bring one, takes about that long.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A member that may run a statement.
#[derive(Debug, Clone)]
pub(super) struct Target {
    /// Its connections. They are acquired in [`Target::acquire`] only.
    pool: Allowed<Arc<MemberPool>>,
    /// The position that its log must hold; `None` at a leader whose term is leased.
    pub after: Option<LogPosition>,
    /// Whether nothing speaks against its running the statement at once.
    pub is_preferred: bool,
}

impl Target {
    /// A candidate for a read whose log must hold `after`.
    pub(super) fn from_candidate(candidate: ReadCandidate, after: LogPosition) -> Self {
        Self {
            pool: candidate.pool,
            after: Some(after),
            is_preferred: candidate.is_preferred,
        }
    }

    /// The same member, where it is asked again.
    pub(super) fn for_retry(&self) -> Self {
        Self {
            is_preferred: false,
            ..self.clone()
        }
    }

    /// What is known of the member.
    pub(super) fn pool(&self) -> &MemberPool {
        self.pool.get()
    }

    /// The regions that it was allowed for.
    pub(super) fn residency(&self) -> &Residency {
        self.pool.residency()
    }

    /// A connection to it by `until`, if it is still in a home region by then.
    ///
    /// # Errors
    ///
    /// [`AcquireError`] where there is none.
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

/// Whether `pool`, chosen for the regions `chosen`, may be used where `now` are the regions
/// that bind. A connection that leads through another process may do so in any chosen one.
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

/// The leader, unless it must not be used any more.
///
/// # Errors
///
/// [`Failure`] where it stands in no home region.
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
    let topology = &engine.settings().topology;
    let member = residency.admit(topology, Arc::clone(member));
    let member = member.ok_or_else(outside_home_regions)?;
    Ok(Some(Target {
        pool: engine.session_pool(&member),
        after: None,
        is_preferred: true,
    }))
}

/// Looks whether any member of `group` that is in use stands in a home region.
///
/// # Errors
///
/// [`Failure`] where all stand elsewhere.
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

/// As [`check_home_regions`], for what only the leader can run, so that nobody waits for
/// evidence of a leader that won't do. While one is being replaced the next may do.
///
/// # Errors
///
/// [`Failure`] where it is known to stand elsewhere.
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

/// The refusal of a statement for which no member stands in a home region.
pub(super) fn outside_home_regions() -> Failure {
    Failure::not_run(FailureReason::OutsideHomeRegions).with_retry_after(RETRY_AFTER)
}

impl Session {
    /// The regions in which a statement of `bound` may run: those of the newest configuration,
    /// or those that were known when the route or the tenant was still in it.
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
