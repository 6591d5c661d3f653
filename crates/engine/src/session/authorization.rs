//! Authorizes callers and determines their tenant.
//!
//! A newer configuration that this process does not know yet may have added or removed a database
//! or a credential. Each decision is therefore based on a proof of how old the configuration in
//! use may be ([`Following::configuration_complete_as_of`]):
//!
//! | credential or database | proof within its bound | older proof |
//! | --- | --- | --- |
//! | known | served | with a credential: not run, may be retried; public route or no tenants: served |
//! | unknown | rejected, after a short wait in which a change may still arrive | not run, may be retried |
//!
//! The bound for a known credential is the time within which its removal must take effect,
//! measured up to the time at which the statement was read: the caller sent it earlier.
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

/// Maximum wait before a caller with an unknown database or credential is rejected. A change
/// reaches every process through two others, each of which adds 5 to 60 ms in normal operation.
const UNKNOWN_NAME_WAIT: Duration = Duration::from_millis(250);

/// Tenant name sent to members for callers of public routes without a known credential.
const ANONYMOUS: &str = "-";

/// Returns the tenant of a caller that uses `database` at `now`; `None` if this deployment has no
/// tenants.
///
/// # Errors
///
/// [`Failure`] if the caller must not be served; nothing has run.
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

/// As [`authorize`], for a known route: a transaction keeps the route that it began with, while
/// its caller's credential may be removed.
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
    // Read before the configuration, so that the configuration is at least this recent.
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

/// As [`authorize`], for a new session: waits up to [`UNKNOWN_NAME_WAIT`] for a change that adds an
/// unknown database or credential.
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
            // `changed` cannot fail: the senders live as long as the engine.
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

/// Returns the failure for a database or credential that is not in the configuration. It is final
/// only if the proof rules out that a newer configuration that contains the name has been in force
/// for longer than the bound.
fn unknown_name_failure(engine: &Engine, reason: FailureReason, now: Instant) -> Failure {
    let complete_as_of = engine.following().configuration_complete_as_of();
    match is_within(complete_as_of, engine.settings().configuration_bound, now) {
        true => Failure::rejected(reason),
        false => Failure::not_run(FailureReason::ConfigurationOutdated),
    }
}

/// Returns the failure of a session whose database no longer has a route.
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

/// Returns the age of the proof that the configuration in use is the newest, for events.
pub(super) fn proof_age(engine: &Engine, now: Instant) -> Option<Duration> {
    let complete_as_of = engine.following().configuration_complete_as_of();
    complete_as_of.map(|at| now.saturating_duration_since(at))
}
