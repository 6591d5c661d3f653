//! The side that asks: a permit for each operation that is sent to a member.

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

/// Pause before the counters are asked again, where none of them counts.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long an operation waits for a counter where none is reached: after a restart of all
/// processes leases are taken over within some 100 ms. Whoever waits longer is better off
/// elsewhere, or later.
const COUNTER_WAIT_MAX: Duration = Duration::from_millis(200);
/// Least time for counters to answer, one of them late: an operation that has found a member
/// at the end of its time is not refused because nobody was asked.
const COUNTER_WAIT_MIN: Duration = Duration::from_millis(30);
/// Least time told to callers who are refused: those who count in milliseconds read nothing
/// shorter as "at once".
const RETRY_AFTER_MIN: Duration = Duration::from_millis(1);
/// Tenants whose refusals are remembered; beyond it they are forgotten.
const EXHAUSTED_TENANTS_MAX: usize = 1_024;

/// Leave to send one operation to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Until when the operation must be sent; `None` where it may be sent at any time.
    pub until: Option<Instant>,
}

impl Permit {
    /// Of a tenant without a limit.
    pub const UNLIMITED: Self = Self { until: None };

    /// Whether it is good at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// Tenants that metrics tell by name.
const LABELLED_TENANTS_MAX: usize = 16;
/// What metrics call the others.
const OTHER_TENANTS_LABEL: &str = "other";

/// Until when each shard need not be asked.
type ShardDeadlines = [Option<Instant>; SHARD_COUNT];

/// What this process has found out of shards that have no permits for it.
#[derive(Debug, Default)]
pub struct Refusals {
    /// Those that have none left for a tenant.
    exhausted: Mutex<HashMap<TenantName, ShardDeadlines>>,
    /// Those whose counters don't answer.
    pub(super) health: ShardHealth,
    /// The tenants that metrics tell by name.
    labelled: Mutex<HashSet<TenantName>>,
}

impl Refusals {
    /// Until when `shard` has none for `tenant`, if that is after `now`.
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

    pub(super) fn note_exhausted(&self, tenant: &TenantName, shard: Shard, until: Instant) {
        let mut known = lock(&self.exhausted);
        if known.len() >= EXHAUSTED_TENANTS_MAX && !known.contains_key(tenant) {
            known.clear();
        }
        known.entry(tenant.clone()).or_default()[shard] = Some(until);
    }

    /// Counts an operation of `tenant` that was refused.
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

/// A permit for one operation of `tenant`, that is asked for until `deadline` where nobody
/// grants one.
///
/// # Errors
///
/// [`Failure`] where the tenant has none left, or no counter is reached: nothing has run.
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
