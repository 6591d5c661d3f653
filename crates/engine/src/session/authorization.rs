//! Whether a caller may ask, and on whose behalf.
//!
//! A configuration that this process does not know yet may have added a database or a
//! credential, or removed one. So each answer rests on a proof of how old the configuration
//! may be ([`Following::configuration_complete_as_of`]):
//!
//! | the caller's credential, or database | proof within its bound | older proof |
//! | --- | --- | --- |
//! | known | served | with a credential: not run, to come back; public, or without tenants: served |
//! | not known | refused for good, after a moment in which a change may still arrive | not run, to come back |
//!
//! The bound for a known credential is the time in which its removal must be acted on,
//! counted to when the statement was read: the caller has sent it before.
//!
//! [`Following::configuration_complete_as_of`]: crate::following::Following::configuration_complete_as_of

use crate::configuration::Route;
use crate::engine::Engine;
use crate::names::DatabaseName;
use crate::residency::Residency;
use crate::tenant::{Credential, Tenant};
use crate::verdict::{Failure, FailureReason};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long a caller is held whose database or credential is not known: a change reaches all
/// processes by way of two others, at 5 to 60 ms each while nothing is amiss.
const UNKNOWN_NAME_WAIT: Duration = Duration::from_millis(250);

/// The name told to members for callers of public routes without a known credential.
const ANONYMOUS: &str = "-";

/// On whose behalf a caller asks for `database` at `now`; `None` where this deployment has
/// no tenants.
///
/// # Errors
///
/// [`Failure`] where the caller must not be served; nothing has run.
pub(super) fn authorize(
    engine: &Engine,
    database: &DatabaseName,
    credential: Option<&Credential>,
    now: Instant,
) -> Result<Option<Arc<Tenant>>, Failure> {
    let Some(route) = engine.route(database) else {
        return Err(unknown_name_failure(
            engine,
            FailureReason::UnknownDatabase,
            now,
        ));
    };
    authorize_for_route(engine, &route, credential, now)
}

/// As [`authorize`], under a route that was chosen before: a transaction keeps the one that
/// it was begun with, and its caller's credential may go meanwhile.
///
/// # Errors
///
/// As for [`authorize`].
pub(super) fn authorize_for_route(
    engine: &Engine,
    route: &Route,
    credential: Option<&Credential>,
    now: Instant,
) -> Result<Option<Arc<Tenant>>, Failure> {
    let Some(policy) = &engine.settings().tenants else {
        return Ok(None);
    };
    // Before the configuration is looked up, which is then no older than this tells.
    let complete_as_of = engine.following().configuration_complete_as_of();
    let Some(configuration) = engine.configuration() else {
        return Err(Failure::not_run(FailureReason::NotStarted));
    };
    let tenant = credential.and_then(|credential| configuration.tenant_of(credential));
    if route.is_public {
        return Ok(Some(tenant.cloned().unwrap_or_else(anonymous)));
    }
    if !is_within(complete_as_of, policy.revocation, now) {
        return Err(Failure::not_run(FailureReason::ConfigurationOutdated));
    }
    match tenant {
        Some(tenant) => Ok(Some(Arc::clone(tenant))),
        None => Err(unknown_name_failure(
            engine,
            FailureReason::UnknownCredential,
            now,
        )),
    }
}

/// As [`authorize`], for a session that opens: what is not known is waited for a moment.
///
/// # Errors
///
/// As for [`authorize`].
pub(super) async fn admit(
    engine: &Engine,
    database: &DatabaseName,
    credential: Option<&Credential>,
) -> Result<(), Failure> {
    if !engine.is_started() {
        return Err(Failure::not_run(FailureReason::NotStarted));
    }
    let asked = Instant::now();
    let until = asked + UNKNOWN_NAME_WAIT;
    let mut proof = engine.following().subscribe_proof();
    let mut configuration = engine.subscribe_configuration();
    loop {
        proof.mark_unchanged();
        configuration.mark_unchanged();
        let Err(failure) = authorize(engine, database, credential, Instant::now()) else {
            return Ok(());
        };
        let proven = proof.borrow().is_some_and(|at| at >= asked);
        if proven || !is_unknown_name(&failure.reason) {
            return Err(failure);
        }
        let changed = async {
            // The senders live as long as the engine.
            tokio::select! {
                _ = proof.changed() => {}
                _ = configuration.changed() => {}
            }
        };
        if timeout_at(until, changed).await.is_err() {
            return Err(failure);
        }
    }
}

/// The refusal of what the configuration does not name; for good only where a configuration
/// that names it could not have been in force for long.
fn unknown_name_failure(engine: &Engine, reason: FailureReason, now: Instant) -> Failure {
    let complete_as_of = engine.following().configuration_complete_as_of();
    match is_within(complete_as_of, engine.settings().configuration_bound, now) {
        true => Failure::rejected(reason),
        false => Failure::not_run(FailureReason::ConfigurationOutdated),
    }
}

/// The refusal of a session whose database has no route any more.
pub(super) fn unknown_database(engine: &Engine) -> Failure {
    unknown_name_failure(engine, FailureReason::UnknownDatabase, Instant::now())
}

fn is_unknown_name(reason: &FailureReason) -> bool {
    matches!(
        reason,
        FailureReason::UnknownDatabase | FailureReason::UnknownCredential
    )
}

fn is_within(complete_as_of: Option<Instant>, bound: Duration, now: Instant) -> bool {
    complete_as_of.is_some_and(|at| now.saturating_duration_since(at) < bound)
}

fn anonymous() -> Arc<Tenant> {
    Arc::new(Tenant {
        name: ANONYMOUS.into(),
        rate: None,
        residency: Residency::ANYWHERE,
    })
}

/// Age of the proof that the configuration in use is the newest, for events.
pub(super) fn proof_age(engine: &Engine, now: Instant) -> Option<Duration> {
    let complete_as_of = engine.following().configuration_complete_as_of();
    complete_as_of.map(|at| now.saturating_duration_since(at))
}
