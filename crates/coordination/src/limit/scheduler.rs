//! Who gets the next slot: the state of a limiter, changed under its lock.

use super::{LimiterSettings, Load, Permit, RejectReason, Rejected, TenantKey, TenantLimits};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Bounds of what a rejected request is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What a rejected request is told before any slot has been released.
const INITIAL_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Weight of the newest observation in the mean time for which a slot is held.
const HOLD_TIME_WEIGHT: f64 = 0.125;

type Reply<T> = oneshot::Sender<Result<Permit<T>, Rejected>>;

/// What became of a request that entered.
#[derive(Debug)]
pub(super) enum Admission {
    Granted,
    Queued { waiter: u64, give_up: Instant },
    Rejected(Rejected),
}

/// What a waiter is to be told, once the lock is released.
#[derive(Debug)]
pub(super) struct Decision<T: TenantKey> {
    pub(super) tenant: T,
    pub(super) reply: Reply<T>,
    pub(super) verdict: Verdict,
}

#[derive(Debug)]
pub(super) enum Verdict {
    Granted,
    Rejected(Rejected),
}

#[derive(Debug)]
struct Waiter<T: TenantKey> {
    id: u64,
    reply: Reply<T>,
}

#[derive(Debug)]
struct Tenant<T: TenantKey> {
    limits: TenantLimits,
    in_flight: usize,
    turn: u64,
    queue: VecDeque<Waiter<T>>,
}

impl<T: TenantKey> Tenant<T> {
    fn is_ready(&self) -> bool {
        !self.queue.is_empty() && self.in_flight < self.limits.in_flight
    }

    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight == 0
    }
}

/// Order of service: the highest rank, the fewest slots held, then the longest since its
/// last turn.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Place<T> {
    rank: u32,
    in_flight: usize,
    turn: u64,
    tenant: T,
}

/// Order of giving up waiting requests: the lowest rank first, then the longest queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct QueueLength<T> {
    rank: u32,
    waiting: usize,
    tenant: T,
}

/// The state of a limiter. After every call, either all slots are in use or no
/// tenant is ready for one.
#[derive(Debug)]
pub(super) struct Scheduler<T: TenantKey> {
    settings: LimiterSettings,
    closed: bool,
    in_use: usize,
    waiting: usize,
    next_waiter: u64,
    next_turn: u64,
    tenants: BTreeMap<T, Tenant<T>>,
    ready: BTreeSet<Place<T>>,
    queue_lengths: BTreeSet<QueueLength<T>>,
    mean_hold_time: Option<Duration>,
}

impl<T: TenantKey> Scheduler<T> {
    pub(super) fn new(settings: LimiterSettings) -> Self {
        Self {
            settings,
            closed: false,
            in_use: 0,
            waiting: 0,
            next_waiter: 0,
            next_turn: 0,
            tenants: BTreeMap::new(),
            ready: BTreeSet::new(),
            queue_lengths: BTreeSet::new(),
            mean_hold_time: None,
        }
    }

    pub(super) fn settings(&self) -> &LimiterSettings {
        &self.settings
    }

    pub(super) fn load(&self) -> Load {
        Load {
            in_use: self.in_use,
            waiting: self.waiting,
            tenants: self.tenants.len(),
        }
    }

    /// Admits a request, queues it or refuses it.
    pub(super) fn enter(
        &mut self,
        tenant: &T,
        limits: TenantLimits,
        reply: Reply<T>,
        now: Instant,
        deadline: Instant,
    ) -> (Admission, Vec<Decision<T>>) {
        if self.closed {
            return self.refuse(RejectReason::Closed);
        }
        if deadline <= now {
            return self.refuse(RejectReason::Deadline);
        }
        self.update(tenant, |state| state.limits = limits);
        // Higher limits can make waiting requests of the tenant ready.
        let mut decisions = self.dispatch();
        if self.can_start(tenant, limits) {
            self.grant(tenant);
            return (Admission::Granted, decisions);
        }
        let give_up = deadline.min(now + self.settings.queue_time);
        let admission = match self.make_room(tenant, limits, give_up - now) {
            Err(reason) => Admission::Rejected(self.reject(reason)),
            Ok(evicted) => {
                decisions.extend(evicted);
                let waiter = self.enqueue(tenant, reply);
                Admission::Queued { waiter, give_up }
            }
        };
        self.forget_if_idle(tenant);
        (admission, decisions)
    }

    /// Takes a waiter out of its queue, if it is still there.
    pub(super) fn leave(&mut self, tenant: &T, waiter: u64) -> Vec<Decision<T>> {
        let Some(state) = self.tenants.get(tenant) else {
            return Vec::new();
        };
        // Identifiers rise along a queue.
        let Ok(index) = state.queue.binary_search_by_key(&waiter, |each| each.id) else {
            return Vec::new();
        };
        self.waiting -= 1;
        self.update(tenant, |state| drop(state.queue.remove(index)));
        self.forget_if_idle(tenant);
        self.dispatch()
    }

    /// Gives back a slot that was held for `held`.
    pub(super) fn release(&mut self, tenant: &T, held: Duration) -> Vec<Decision<T>> {
        self.in_use -= 1;
        self.observe_hold_time(held);
        self.update(tenant, |state| state.in_flight -= 1);
        self.forget_if_idle(tenant);
        self.dispatch()
    }

    pub(super) fn set_slots(&mut self, slots: usize) -> Vec<Decision<T>> {
        self.settings.slots = slots;
        self.dispatch()
    }

    pub(super) fn close(&mut self) -> Vec<Decision<T>> {
        self.closed = true;
        let rejected = self.reject(RejectReason::Closed);
        let mut decisions = Vec::new();
        while let Some(tenant) = self.longest_queue() {
            decisions.extend(self.evict_newest(&tenant, rejected));
        }
        decisions
    }

    /// The rejection for `reason`: its time to come back is when what waits now would be through.
    pub(super) fn reject(&self, reason: RejectReason) -> Rejected {
        let drained = self
            .time_for_grants(self.waiting + 1)
            .unwrap_or(INITIAL_RETRY_AFTER);
        Rejected {
            reason,
            retry_after: drained.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    fn refuse(&self, reason: RejectReason) -> (Admission, Vec<Decision<T>>) {
        (Admission::Rejected(self.reject(reason)), Vec::new())
    }

    fn can_start(&self, tenant: &T, limits: TenantLimits) -> bool {
        let in_flight = self.tenants.get(tenant).map_or(0, |state| state.in_flight);
        let is_first = self.queued(tenant) == 0;
        self.in_use < self.settings.slots && in_flight < limits.in_flight && is_first
    }

    /// Makes sure that one more request of `tenant` may wait. Where the queue of all is
    /// full, the tenant of the lowest rank that has most of it gives up its newest request.
    fn make_room(
        &mut self,
        tenant: &T,
        limits: TenantLimits,
        time_left: Duration,
    ) -> Result<Option<Decision<T>>, RejectReason> {
        let queued = self.queued(tenant);
        if queued >= limits.queue_length {
            return Err(RejectReason::TenantQueueFull);
        }
        // A tenant with nothing waiting is never refused on an estimate: the order of
        // service puts it before the queues that the estimate is made of.
        if queued > 0 && self.expected_wait(queued, limits) > time_left {
            return Err(RejectReason::ExpectedWait);
        }
        if self.waiting < self.settings.queue_length {
            return Ok(None);
        }
        let longest = self.queue_lengths.last().cloned();
        let yielding = longest.filter(|longest| {
            longest.rank > limits.rank
                || longest.rank == limits.rank && longest.waiting > queued + 1
        });
        let Some(yielding) = yielding else {
            return Err(RejectReason::QueueFull);
        };
        let rejected = self.reject(RejectReason::QueueFull);
        Ok(self.evict_newest(&yielding.tenant, rejected))
    }

    fn enqueue(&mut self, tenant: &T, reply: Reply<T>) -> u64 {
        let id = self.next_waiter;
        self.next_waiter += 1;
        self.waiting += 1;
        let turn = self.take_turn();
        self.update(tenant, |state| {
            if state.queue.is_empty() {
                state.turn = turn;
            }
            state.queue.push_back(Waiter { id, reply });
        });
        id
    }

    /// Grants free slots, in the order of service.
    fn dispatch(&mut self) -> Vec<Decision<T>> {
        let mut decisions = Vec::new();
        while self.in_use < self.settings.slots {
            let Some(tenant) = self.ready.first().map(|place| place.tenant.clone()) else {
                break;
            };
            let waiter = self.update(&tenant, |state| state.queue.pop_front());
            let Some(waiter) = waiter else {
                break;
            };
            self.waiting -= 1;
            self.grant(&tenant);
            decisions.push(Decision {
                tenant,
                reply: waiter.reply,
                verdict: Verdict::Granted,
            });
        }
        decisions
    }

    fn grant(&mut self, tenant: &T) {
        self.in_use += 1;
        let turn = self.take_turn();
        self.update(tenant, |state| {
            state.in_flight += 1;
            state.turn = turn;
        });
    }

    fn evict_newest(&mut self, tenant: &T, rejected: Rejected) -> Option<Decision<T>> {
        let waiter = self.update(tenant, |state| state.queue.pop_back())?;
        self.waiting -= 1;
        self.forget_if_idle(tenant);
        Some(Decision {
            tenant: tenant.clone(),
            reply: waiter.reply,
            verdict: Verdict::Rejected(rejected),
        })
    }

    fn longest_queue(&self) -> Option<T> {
        let longest = self.queue_lengths.last()?;
        Some(longest.tenant.clone())
    }

    fn queued(&self, tenant: &T) -> usize {
        self.tenants
            .get(tenant)
            .map_or(0, |state| state.queue.len())
    }

    /// Estimate for a request behind `ahead` others of its tenant: each of them
    /// waits for one turn of all tenants that are ready, and for the tenant's own slots.
    fn expected_wait(&self, ahead: usize, limits: TenantLimits) -> Duration {
        let Some(hold_time) = self.mean_hold_time else {
            return Duration::ZERO;
        };
        let rounds = ahead + 1;
        let grants = rounds
            .saturating_mul(self.ready.len().max(1))
            .min(self.waiting + 1);
        let shared = self.time_for_grants(grants).unwrap_or_default();
        let own = hold_time.mul_f64(rounds as f64 / limits.in_flight.max(1) as f64);
        shared.max(own)
    }

    fn time_for_grants(&self, grants: usize) -> Option<Duration> {
        let slots = self.settings.slots.max(1) as f64;
        let hold_time = self.mean_hold_time?;
        Some(hold_time.mul_f64(grants as f64 / slots))
    }

    fn observe_hold_time(&mut self, held: Duration) {
        let mean = match self.mean_hold_time {
            None => held,
            Some(mean) => mean.mul_f64(1.0 - HOLD_TIME_WEIGHT) + held.mul_f64(HOLD_TIME_WEIGHT),
        };
        self.mean_hold_time = Some(mean);
    }

    fn take_turn(&mut self) -> u64 {
        self.next_turn += 1;
        self.next_turn
    }

    /// Changes a tenant's state and keeps the two indexes in step with it.
    fn update<R>(&mut self, tenant: &T, change: impl FnOnce(&mut Tenant<T>) -> R) -> R {
        let limits = self.settings.tenant;
        let state = self
            .tenants
            .entry(tenant.clone())
            .or_insert_with(|| Tenant {
                limits,
                in_flight: 0,
                turn: 0,
                queue: VecDeque::new(),
            });
        self.ready.remove(&place(tenant, state));
        self.queue_lengths.remove(&queue_length(tenant, state));
        let result = change(state);
        if state.is_ready() {
            self.ready.insert(place(tenant, state));
        }
        if !state.queue.is_empty() {
            self.queue_lengths.insert(queue_length(tenant, state));
        }
        result
    }

    fn forget_if_idle(&mut self, tenant: &T) {
        if self.tenants.get(tenant).is_some_and(Tenant::is_idle) {
            self.tenants.remove(tenant);
        }
    }
}

fn place<T: TenantKey>(tenant: &T, state: &Tenant<T>) -> Place<T> {
    Place {
        rank: state.limits.rank,
        in_flight: state.in_flight,
        turn: state.turn,
        tenant: tenant.clone(),
    }
}

fn queue_length<T: TenantKey>(tenant: &T, state: &Tenant<T>) -> QueueLength<T> {
    QueueLength {
        rank: state.limits.rank,
        waiting: state.queue.len(),
        tenant: tenant.clone(),
    }
}
