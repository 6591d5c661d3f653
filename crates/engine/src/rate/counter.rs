//! Server side of the rate limits: one process per shard grants permits to the whole fleet.

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

/// Index of one of the parts into which each limit is divided, below [`SHARD_COUNT`].
pub type Shard = usize;

/// How long a process keeps trying to acquire a shard after a permit of it was requested.
const REQUEST_LIFETIME: Duration = Duration::from_secs(6);

/// Delay before a lowered limit takes effect, as a share of the bound within which configuration
/// changes must be applied. The remainder is enough for permits granted before to be used, and for
/// the short queues to drain.
const LOWERED_LIMIT_DELAY_SHARE: f64 = 0.8;

/// Reply to a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The operation may be sent.
    Granted,
    /// The tenant has no permit left; the time until the next one.
    Exhausted(Duration),
    /// This process counts the shard; no permit was taken because none was requested.
    Counted,
    /// This process does not count the shard, or does not know the tenant.
    NotCounted,
}

/// A shard whose lease this process holds.
#[derive(Debug)]
struct HeldShard {
    lease: Lease,
    /// Time from which buckets are refilled. Until then the previous holder may still be refilling
    /// its own.
    fills_from: Instant,
    /// Whether new buckets start with initial tokens.
    has_initial: bool,
    buckets: HashMap<TenantName, TokenBucket>,
}

#[derive(Debug, Default)]
struct ShardState {
    held: Option<HeldShard>,
    requested_until: Option<Instant>,
    /// Lease most recently announced by another holder, until it is read.
    announced: Option<LeaseRecord>,
}

/// State of all shards as seen by this process, including the buckets of those it counts.
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
    /// Clock by which the leases are dated: time since this value was created.
    pub fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Takes one permit for `tenant` from `shard`, if this process counts it.
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

    /// Reports whether this process counts `shard`, as a reply to a process that needs no permit.
    pub fn status(&self, shard: Shard) -> PermitReply {
        match self.counted_shards().any(|counted| counted == shard) {
            true => PermitReply::Counted,
            false => PermitReply::NotCounted,
        }
    }

    /// Records that another process found no counter for `shard`, so that this process tries to
    /// become it.
    pub fn request_counter(&self, shard: Shard) {
        if let Some(mut state) = self.lock(shard) {
            state.requested_until = Some(Instant::now() + REQUEST_LIFETIME);
        }
    }

    /// Records a lease that its holder has just written and announced.
    pub fn record_announced(&self, shard: Shard, record: LeaseRecord) {
        if let Some(mut state) = self.lock(shard) {
            state.announced = Some(record);
        }
    }

    /// Removes and returns the most recently announced lease.
    pub(super) fn take_announced(&self, shard: Shard) -> Option<LeaseRecord> {
        self.lock(shard)?.announced.take()
    }

    /// Applies the limits of a new configuration. A lowered limit takes effect only after most of
    /// the bound within which configuration changes must be applied: tenants can't know of the
    /// change sooner and are entitled to the old limit until then.
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

    /// Returns the shards that this process currently counts.
    pub fn counted_shards(&self) -> impl Iterator<Item = Shard> {
        let now = self.elapsed();
        let holds = move |shard: &Shard| {
            let lease = self.lease(*shard);
            lease.is_some_and(|lease| lease.check(now).is_ok())
        };
        (0..SHARD_COUNT).filter(holds)
    }

    /// Returns the lease of `shard` if this process has acquired it, even if it has expired.
    pub(super) fn lease(&self, shard: Shard) -> Option<Lease> {
        let state = self.lock(shard)?;
        state.held.as_ref().map(|held| held.lease.clone())
    }

    /// Whether other processes have recently found no counter for `shard`.
    pub(super) fn is_requested(&self, shard: Shard, now: Instant) -> bool {
        let state = self.lock(shard);
        let until = state.and_then(|state| state.requested_until);
        until.is_some_and(|until| now < until)
    }

    /// Starts counting under a newly acquired lease, without any knowledge of permits granted
    /// before. Buckets start with initial tokens only if `has_initial`, and are refilled from
    /// `fills_from` on, a time on the lease clock.
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

    /// Continues counting under a renewed lease and keeps the buckets: no other process has
    /// counted in the meantime, even if the lease had expired.
    pub(super) fn renew(&self, shard: Shard, lease: Lease) {
        if let Some(mut state) = self.lock(shard)
            && let Some(held) = &mut state.held
        {
            held.lease = lease;
        }
    }

    /// Stops counting `shard` and drops its buckets.
    pub(super) fn stop(&self, shard: Shard) {
        if let Some(mut state) = self.lock(shard) {
            state.held = None;
        }
    }

    /// Locks the state of `shard`. `None` if there is no such shard, since shard numbers arrive
    /// from other processes.
    fn lock(&self, shard: Shard) -> Option<MutexGuard<'_, ShardState>> {
        let state = self.shards.get(shard)?;
        Some(state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Accuracy settings of the rate limits; `None` if rate limiting is disabled.
pub(super) fn rate_bounds(engine: &Engine) -> Option<RateBounds> {
    engine.settings().tenants.as_ref()?.rates
}
