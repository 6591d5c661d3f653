//! Client side of the rate limits: acquires a permit for each operation sent to a member.

use super::counter::{Shard, rate_bounds};
use super::permit_request::{PermitOutcome, request_permit};
use super::shard_health::ShardHealth;
use super::{RateBounds, SHARD_COUNT};
use crate::engine::Engine;
use crate::names::TenantName;
use crate::tenant::Tenant;
use crate::verdict::{Failure, FailureReason};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause before the counters are queried again if no shard could be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum time an operation waits while no counter is reachable. After a restart of all
/// processes, leases are taken over within about 100 ms; a caller that would have to wait longer
/// should retry elsewhere or later.
const COUNTER_WAIT_MAX: Duration = Duration::from_millis(200);
/// Minimum time given to the counters, enough for one late reply. An operation that found a member
/// only shortly before its deadline is not refused without having queried any counter.
const COUNTER_WAIT_MIN: Duration = Duration::from_millis(30);
/// Minimum retry delay reported to refused callers. Callers with millisecond resolution would
/// read a shorter one as zero and retry immediately.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(1);
/// Maximum number of tenants whose exhausted shards are cached; the cache is cleared when it is
/// full.
const EXHAUSTED_TENANTS_MAX: usize = 1_024;

/// Permission to send one operation to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Time by which the operation must be sent; `None` if the permit does not expire.
    pub until: Option<Instant>,
}

impl Permit {
    /// Permit of a tenant without a rate limit.
    pub const UNLIMITED: Self = Self { until: None };

    /// Whether the permit is valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// Maximum number of tenants that have their own metric label, which bounds the label's
/// cardinality.
const LABELLED_TENANTS_MAX: usize = 16;
/// Metric label of all other tenants.
const OTHER_TENANTS_LABEL: &str = "other";

/// For each shard, the time until which it need not be queried.
type ShardDeadlines = [Option<Instant>; SHARD_COUNT];

/// Cached state of the shards that granted this process no permit, and the refusal metrics.
#[derive(Debug, Default)]
pub struct Refusals {
    /// Exhausted shards by tenant.
    exhausted: Mutex<HashMap<TenantName, ShardDeadlines>>,
    /// Health of the shards' counters.
    pub(super) health: ShardHealth,
    /// Tenants with their own metric label.
    labelled: Mutex<HashSet<TenantName>>,
}

impl Refusals {
    /// Returns the time until which `shard` has no permit for `tenant`, if that is after `now`.
    pub(super) fn exhausted_until(
        &self,
        tenant: &TenantName,
        shard: Shard,
        now: Instant,
    ) -> Option<Instant> {
        let known = lock(&self.exhausted)
            .get(tenant)
            .and_then(|known| known[shard]);
        known.filter(|until| *until > now)
    }

    pub(super) fn record_exhausted(&self, tenant: &TenantName, shard: Shard, until: Instant) {
        let mut known = lock(&self.exhausted);
        if known.len() >= EXHAUSTED_TENANTS_MAX && !known.contains_key(tenant) {
            known.clear();
        }
        known.entry(tenant.clone()).or_default()[shard] = Some(until);
    }

    /// Increments the refusal metric for `tenant`.
    fn count_refusal(&self, tenant: &TenantName, reason: &FailureReason) {
        let mut labelled = lock(&self.labelled);
        if labelled.len() < LABELLED_TENANTS_MAX {
            labelled.insert(tenant.clone());
        }
        let name = match labelled.contains(tenant) {
            true => tenant.to_string(),
            false => OTHER_TENANTS_LABEL.to_owned(),
        };
        metrics::counter!(
            "stilequay_rate_refusals_total", "reason" => reason.name(), "tenant" => name
        )
        .increment(1);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Acquires a permit for one operation of `tenant`, retrying until `deadline` while no counter is
/// reachable.
///
/// # Errors
///
/// Returns [`Failure`] if the tenant's limit is exhausted or no counter is reachable. The
/// operation has not run in either case.
pub async fn acquire(
    engine: &Arc<Engine>,
    tenant: &Tenant,
    deadline: Instant,
) -> Result<Permit, Failure> {
    let (Some(bounds), Some(_)) = (rate_bounds(engine), tenant.rate) else {
        return Ok(Permit::UNLIMITED);
    };
    let began = Instant::now();
    let result = acquire_limited(engine, bounds, tenant, deadline).await;
    metrics::histogram!("stilequay_stage_seconds", "stage" => "permit").record(began.elapsed());
    if let Err(failure) = &result {
        engine
            .refusals()
            .count_refusal(&tenant.name, &failure.reason);
    }
    result
}

async fn acquire_limited(
    engine: &Arc<Engine>,
    bounds: RateBounds,
    tenant: &Tenant,
    deadline: Instant,
) -> Result<Permit, Failure> {
    let now = Instant::now();
    let deadline = deadline.clamp(now + COUNTER_WAIT_MIN, now + COUNTER_WAIT_MAX);
    let lifetime = bounds.permit_lifetime();
    loop {
        match request_permit(engine, &tenant.name, lifetime, deadline).await {
            PermitOutcome::Granted(permit) => return Ok(permit),
            PermitOutcome::Exhausted(wait) => {
                let wait = wait.max(RETRY_AFTER_MIN);
                return Err(Failure::not_run(FailureReason::RateLimited).with_retry_after(wait));
            }
            PermitOutcome::Unknown if Instant::now() + RETRY_PAUSE >= deadline => {
                return Err(Failure::not_run(FailureReason::RateUnknown));
            }
            PermitOutcome::Unknown => sleep(RETRY_PAUSE).await,
        }
    }
}
