//! The side that asks: a permit for each operation that is sent to a member.

use super::counter::{Draw, Shard, rate_bounds};
use super::{RateBounds, SHARDS};
use crate::engine::Engine;
use crate::names::TenantName;
use crate::tenant::Tenant;
use crate::verdict::{Failure, FailureReason};
use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Longest wait for one counter's answer: many times what one takes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);
/// Pause before the counters are asked again, where none of them counts.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long an operation waits for a counter where none is reached: after a restart of all
/// processes leases are taken over within some 100 ms. Whoever waits longer is better off
/// elsewhere, or later.
const COUNTER_PATIENCE: Duration = Duration::from_millis(200);
/// How long a shard is not asked for after nobody was found that counts it.
const LOST_PAUSE: Duration = Duration::from_millis(100);
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
    /// Those that nobody counts.
    lost: Mutex<ShardMoments>,
    /// The tenants that metrics tell by name.
    told: Mutex<HashSet<TenantName>>,
}

impl Refusals {
    /// Until when `shard` has none for `tenant`, if that is after `now`.
    fn of(&self, tenant: &TenantName, shard: Shard, now: Instant) -> Option<Instant> {
        let known = lock(&self.until).get(tenant).and_then(|known| known[shard]);
        known.filter(|until| *until > now)
    }

    fn note(&self, tenant: &TenantName, shard: Shard, until: Instant) {
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

    fn is_lost(&self, shard: Shard, now: Instant) -> bool {
        lock(&self.lost)[shard].is_some_and(|until| until > now)
    }

    fn note_lost(&self, shard: Shard, now: Instant) {
        lock(&self.lost)[shard] = Some(now + LOST_PAUSE);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What all shards together have said.
enum Asked {
    Granted(Instant),
    /// Those that could be asked have none left, the first of them for this long.
    Exhausted(Duration),
    /// None could be asked.
    Unknown,
}

/// A permit for one operation of `tenant`, that is asked for until `deadline` where nobody
/// grants one.
///
/// # Errors
///
/// [`Failure`] where the tenant has none left, or no counter is reached: nothing has run.
pub async fn draw(engine: &Engine, tenant: &Tenant, deadline: Instant) -> Result<Permit, Failure> {
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
    engine: &Engine,
    bounds: RateBounds,
    tenant: &Tenant,
    deadline: Instant,
) -> Result<Permit, Failure> {
    let deadline = deadline.min(Instant::now() + COUNTER_PATIENCE);
    loop {
        let asked = timeout_at(deadline, ask_all(engine, &tenant.name)).await;
        match asked.unwrap_or(Asked::Unknown) {
            Asked::Granted(asked) => {
                let until = Some(asked + bounds.permit_life());
                return Ok(Permit { until });
            }
            Asked::Exhausted(wait) => {
                return Err(Failure::not_run(FailureReason::RateLimited).with_retry_after(wait));
            }
            Asked::Unknown if Instant::now() + RETRY_PAUSE >= deadline => {
                return Err(Failure::not_run(FailureReason::RateUnknown));
            }
            Asked::Unknown => sleep(RETRY_PAUSE).await,
        }
    }
}

/// Asks the counters, the one of this process's zone first.
async fn ask_all(engine: &Engine, tenant: &TenantName) -> Asked {
    let mut soonest: Option<Duration> = None;
    for shard in engine.homes().shards_by_distance(&engine.settings().zone) {
        let now = Instant::now();
        let drawn = match engine.refusals().of(tenant, shard, now) {
            Some(until) => Draw::Exhausted(until.duration_since(now)),
            None if engine.refusals().is_lost(shard, now) => Draw::NotCounted,
            None => ask(engine, shard, tenant).await,
        };
        match drawn {
            Draw::Granted => return Asked::Granted(now),
            Draw::Exhausted(wait) => {
                engine.refusals().note(tenant, shard, now + wait);
                soonest = Some(soonest.unwrap_or(wait).min(wait));
            }
            Draw::NotCounted => {}
        }
    }
    soonest.map_or(Asked::Unknown, Asked::Exhausted)
}

/// Asks the process that counts `shard`.
async fn ask(engine: &Engine, shard: Shard, tenant: &TenantName) -> Draw {
    let homes = engine.homes();
    let drawn = engine.counters().draw(engine, shard, tenant);
    if drawn != Draw::NotCounted {
        return drawn;
    }
    for address in homes.counter_addresses(shard) {
        let Some(link) = homes.links().first_usable(&[address]).await else {
            continue;
        };
        let asked = Instant::now();
        match timeout(ANSWER_TIMEOUT, link.draw(shard, tenant)).await {
            Ok(Some(Draw::NotCounted)) | Ok(None) => {}
            Err(_) => link.note_silence(asked),
            Ok(Some(drawn)) => {
                homes.note_counter(shard, address);
                return drawn;
            }
        }
    }
    if homes.counter_rank(shard).is_some() {
        engine.counters().want(shard);
    }
    engine.refusals().note_lost(shard, Instant::now());
    Draw::NotCounted
}
