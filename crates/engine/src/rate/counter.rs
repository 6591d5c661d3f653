//! The side that grants: one process for each shard counts what the fleet runs.

use super::{RateBounds, SHARD_COUNT, TokenBucket};
use crate::configuration::Configuration;
use crate::engine::Engine;
use crate::names::TenantName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stilequay_coordination::lease::{Lease, LeaseRecord};
use tokio::time::Instant;

/// One of the parts into which each limit is divided, below [`SHARD_COUNT`].
pub type Shard = usize;

/// How long a process goes on pursuing a shard after it was asked for permits of it.
const REQUEST_LIFETIME: Duration = Duration::from_secs(6);

/// Share of the time in which changes of the configuration must be acted on, after which a
/// lowered limit holds. What was granted before is used by then, and queues are short.
const LOWERED_LIMIT_DELAY_SHARE: f64 = 0.8;

/// What came of asking for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The operation may be sent.
    Granted,
    /// The tenant has none left; the time until the next one.
    Exhausted(Duration),
    /// The shard is counted here; no permit was taken, as none was asked for.
    Counted,
    /// Another process counts this shard, or none does; or this one does not know the tenant.
    NotCounted,
}

/// A shard that this process counts.
#[derive(Debug)]
struct HeldShard {
    lease: Lease,
    /// From when on buckets are filled: until then another may still be filling its own.
    fills_from: Instant,
    /// Whether buckets begin with tokens.
    has_initial: bool,
    buckets: HashMap<TenantName, TokenBucket>,
}

#[derive(Debug, Default)]
struct ShardState {
    held: Option<HeldShard>,
    requested_until: Option<Instant>,
    /// The lease of another as its counter has told it last.
    announced: Option<LeaseRecord>,
}

/// The shards as far as this process counts them.
#[derive(Debug)]
pub struct Counters {
    origin: Instant,
    shards: [Mutex<ShardState>; SHARD_COUNT],
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            shards: Default::default(),
        }
    }
}

impl Counters {
    /// The clock of the leases: time since this was made.
    pub fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Takes one permit of `tenant` from `shard`.
    pub fn acquire(&self, engine: &Engine, shard: Shard, tenant: &TenantName) -> PermitReply {
        let Some(bounds) = rate_bounds(engine) else {
            return PermitReply::NotCounted;
        };
        let configuration = engine.configuration();
        let known = configuration.as_ref().and_then(|c| c.tenants.get(tenant));
        let Some(limit) = known.and_then(|tenant| tenant.rate) else {
            return PermitReply::NotCounted;
        };
        let Some(mut state) = self.lock(shard) else {
            return PermitReply::NotCounted;
        };
        let now = Instant::now();
        let elapsed = self.elapsed();
        let held = state.held.as_mut();
        let Some(held) = held.filter(|held| held.lease.check(elapsed).is_ok()) else {
            return PermitReply::NotCounted;
        };
        let (fills_from, has_initial) = (held.fills_from, held.has_initial);
        let bucket = held.buckets.entry(tenant.clone()).or_insert_with(|| {
            let mut share = bounds.share(limit);
            if !has_initial {
                share.initial = 0.0;
            }
            TokenBucket::new(share, fills_from)
        });
        match bucket.take(now) {
            Ok(()) => PermitReply::Granted,
            Err(wait) => PermitReply::Exhausted(wait),
        }
    }

    /// Whether `shard` is counted here, told as an answer to a process that needs no permit.
    pub fn status(&self, shard: Shard) -> PermitReply {
        match self.counted_shards().any(|counted| counted == shard) {
            true => PermitReply::Counted,
            false => PermitReply::NotCounted,
        }
    }

    /// Notes that a process lacks a counter of `shard`: this one is to become it.
    pub fn request_counter(&self, shard: Shard) {
        if let Some(mut state) = self.lock(shard) {
            state.requested_until = Some(Instant::now() + REQUEST_LIFETIME);
        }
    }

    /// Notes a lease that its counter has told of, which has just been written.
    pub fn note_announced(&self, shard: Shard, record: LeaseRecord) {
        if let Some(mut state) = self.lock(shard) {
            state.announced = Some(record);
        }
    }

    /// The lease that was told of last, once.
    pub(super) fn take_announced(&self, shard: Shard) -> Option<LeaseRecord> {
        self.lock(shard)?.announced.take()
    }

    /// Takes the limits of a configuration that has just been learned of. Tenants keep what is
    /// taken away from them for most of the time that changes of the configuration may take:
    /// they can't know of it sooner, and are owed it until then.
    pub(crate) fn apply_configuration(&self, engine: &Engine, configuration: &Configuration) {
        let Some(bounds) = rate_bounds(engine) else {
            return;
        };
        let now = Instant::now();
        let lower_at = now
            + engine
                .settings()
                .configuration_bound
                .mul_f64(LOWERED_LIMIT_DELAY_SHARE);
        for shard in 0..SHARD_COUNT {
            let Some(mut state) = self.lock(shard) else {
                continue;
            };
            let Some(held) = &mut state.held else {
                continue;
            };
            held.buckets.retain(|name, bucket| {
                let tenant = configuration.tenants.get(name);
                let Some(limit) = tenant.and_then(|tenant| tenant.rate) else {
                    return false;
                };
                bucket.set_share(bounds.share(limit), now, lower_at);
                true
            });
        }
    }

    /// The shards that are counted here now.
    pub fn counted_shards(&self) -> impl Iterator<Item = Shard> {
        let now = self.elapsed();
        let holds = move |shard: &Shard| {
            let lease = self.lease(*shard);
            lease.is_some_and(|lease| lease.check(now).is_ok())
        };
        (0..SHARD_COUNT).filter(holds)
    }

    /// The lease of `shard`, held still or not.
    pub(super) fn lease(&self, shard: Shard) -> Option<Lease> {
        let state = self.lock(shard)?;
        state.held.as_ref().map(|held| held.lease.clone())
    }

    /// Whether processes have asked for permits of `shard` lately that it could not give.
    pub(super) fn is_requested(&self, shard: Shard, now: Instant) -> bool {
        let state = self.lock(shard);
        let until = state.and_then(|state| state.requested_until);
        until.is_some_and(|until| now < until)
    }

    /// Takes a lease that was acquired: what was counted before it is not known. The buckets
    /// begin with tokens only if `has_initial`, and are filled from `fills_from` on, a moment on
    /// the clock of the leases.
    pub(super) fn start(
        &self,
        shard: Shard,
        lease: Lease,
        has_initial: bool,
        fills_from: Duration,
    ) {
        if let Some(mut state) = self.lock(shard) {
            state.held = Some(HeldShard {
                lease,
                fills_from: self.origin + fills_from,
                has_initial,
                buckets: HashMap::new(),
            });
        }
    }

    /// Takes a lease that was renewed: nobody has counted meanwhile, even if it had lapsed.
    pub(super) fn renew(&self, shard: Shard, lease: Lease) {
        if let Some(mut state) = self.lock(shard)
            && let Some(held) = &mut state.held
        {
            held.lease = lease;
        }
    }

    /// Counts no more.
    pub(super) fn stop(&self, shard: Shard) {
        if let Some(mut state) = self.lock(shard) {
            state.held = None;
        }
    }

    /// `None` where there is no such shard: another process has asked for it.
    fn lock(&self, shard: Shard) -> Option<MutexGuard<'_, ShardState>> {
        let state = self.shards.get(shard)?;
        Some(state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// How exactly rate limits are kept here; `None` where they are not.
pub(super) fn rate_bounds(engine: &Engine) -> Option<RateBounds> {
    engine.settings().tenants.as_ref()?.rates
}
