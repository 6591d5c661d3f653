//! The side that asks: a permit for each operation that is sent to a member.

use super::asking::{Asked, ask_all};
use super::counter::{Shard, rate_bounds};
use super::reach::ShardReach;
use super::{RateBounds, SHARDS};
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
const COUNTER_PATIENCE: Duration = Duration::from_millis(200);
/// Least time for counters to answer, one of them late: an operation that has found a member
/// at the end of its time is not refused because nobody was asked.
const LEAST_PATIENCE: Duration = Duration::from_millis(30);
/// Least time told to callers who are refused: those who count in milliseconds read nothing
/// shorter as "at once".
const LEAST_WAIT: Duration = Duration::from_millis(1);
/// Tenants whose refusals are remembered; beyond it they are forgotten.
const REMEMBERED_TENANTS: usize = 1_024;

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
    pub fn is_good(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

/// Tenants that metrics tell by name.
const TOLD_TENANTS: usize = 16;
/// What metrics call the others.
const OTHER_TENANTS: &str = "other";

/// Until when each shard need not be asked.
type ShardMoments = [Option<Instant>; SHARDS];

/// What this process has found out of shards that have no permits for it.
#[derive(Debug, Default)]
pub struct Refusals {
    /// Those that have none left for a tenant.
    until: Mutex<HashMap<TenantName, ShardMoments>>,
    /// Those whose counters don't answer.
    pub(super) reach: ShardReach,
    /// The tenants that metrics tell by name.
    told: Mutex<HashSet<TenantName>>,
}

impl Refusals {
    /// Until when `shard` has none for `tenant`, if that is after `now`.
    pub(super) fn of(&self, tenant: &TenantName, shard: Shard, now: Instant) -> Option<Instant> {
        let known = lock(&self.until).get(tenant).and_then(|known| known[shard]);
        known.filter(|until| *until > now)
    }

    pub(super) fn note(&self, tenant: &TenantName, shard: Shard, until: Instant) {
        let mut known = lock(&self.until);
        if known.len() >= REMEMBERED_TENANTS && !known.contains_key(tenant) {
            known.clear();
        }
        known.entry(tenant.clone()).or_default()[shard] = Some(until);
    }

    /// Counts an operation of `tenant` that was refused.
    fn count(&self, tenant: &TenantName, reason: &FailureReason) {
        let mut told = lock(&self.told);
        if told.len() < TOLD_TENANTS {
            told.insert(tenant.clone());
        }
        let name = match told.contains(tenant) {
            true => tenant.to_string(),
            false => OTHER_TENANTS.to_owned(),
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
pub async fn draw(
    engine: &Arc<Engine>,
    tenant: &Tenant,
    deadline: Instant,
) -> Result<Permit, Failure> {
    let (Some(bounds), Some(_)) = (rate_bounds(engine), tenant.rate) else {
        return Ok(Permit::UNLIMITED);
    };
    let began = Instant::now();
    let drawn = draw_limited(engine, bounds, tenant, deadline).await;
    metrics::histogram!("stilequay_stage_seconds", "stage" => "permit").record(began.elapsed());
    if let Err(failure) = &drawn {
        engine.refusals().count(&tenant.name, &failure.reason);
    }
    drawn
}

async fn draw_limited(
    engine: &Arc<Engine>,
    bounds: RateBounds,
    tenant: &Tenant,
    deadline: Instant,
) -> Result<Permit, Failure> {
    let now = Instant::now();
    let deadline = deadline.clamp(now + LEAST_PATIENCE, now + COUNTER_PATIENCE);
    let life = bounds.permit_life();
    loop {
        match ask_all(engine, &tenant.name, life, deadline).await {
            Asked::Granted(permit) => return Ok(permit),
            Asked::Exhausted(wait) => {
                let wait = wait.max(LEAST_WAIT);
                return Err(Failure::not_run(FailureReason::RateLimited).with_retry_after(wait));
            }
            Asked::Unknown if Instant::now() + RETRY_PAUSE >= deadline => {
                return Err(Failure::not_run(FailureReason::RateUnknown));
            }
            Asked::Unknown => sleep(RETRY_PAUSE).await,
        }
    }
}
