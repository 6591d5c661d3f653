//! One database group at a home: its members' pools, probes and known state.

use super::pool::MemberPool;
use super::prober::run_prober;
use super::settings::HomeSettings;
use super::state::{GroupState, Primary};
use crate::domain::names::{GroupName, MemberName};
use crate::domain::resource::{DatabaseGroupSpec, Durability, GroupMemberSpec};
use crate::ports::back_end::{BackEnd, BackEndTarget};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A group that this home serves.
pub struct Group {
    name: GroupName,
    back_end: Arc<dyn BackEnd>,
    settings: Arc<HomeSettings>,
    spec: Mutex<Option<Arc<DatabaseGroupSpec>>>,
    state: watch::Sender<GroupState>,
    demand: watch::Sender<usize>,
    hint: Notify,
    pools: Mutex<BTreeMap<MemberName, RunningMember>>,
    open_exchanges: AtomicUsize,
    last_used: Mutex<Instant>,
}

struct RunningMember {
    pool: Arc<MemberPool>,
    stop: CancellationToken,
}

impl Group {
    /// A group whose members are not probed yet.
    pub fn new(
        name: GroupName,
        back_end: Arc<dyn BackEnd>,
        settings: Arc<HomeSettings>,
    ) -> Arc<Self> {
        Arc::new(Self {
            name,
            back_end,
            settings,
            spec: Mutex::new(None),
            state: watch::Sender::new(GroupState::default()),
            demand: watch::Sender::new(0),
            hint: Notify::new(),
            pools: Mutex::new(BTreeMap::new()),
            open_exchanges: AtomicUsize::new(0),
            last_used: Mutex::new(Instant::now()),
        })
    }

    /// The group's name.
    pub fn name(&self) -> &GroupName {
        &self.name
    }

    /// The home's settings.
    pub fn settings(&self) -> &Arc<HomeSettings> {
        &self.settings
    }

    /// What a write must have reached before it is acknowledged.
    pub fn durability(&self) -> Durability {
        let spec = lock(&self.spec);
        spec.as_ref()
            .map(|spec| spec.durability)
            .unwrap_or_default()
    }

    /// The state and its changes.
    pub fn watch_state(&self) -> watch::Receiver<GroupState> {
        self.state.subscribe()
    }

    /// Changes the state and wakes who waits for it.
    pub fn update_state(&self, change: impl FnOnce(&mut GroupState)) {
        self.state.send_modify(change);
    }

    /// Whether a primary is known.
    pub fn has_primary(&self) -> bool {
        self.state.borrow().primary().is_some()
    }

    /// The primary, as far as known.
    pub fn primary(&self) -> Option<Primary> {
        self.state.borrow().primary()
    }

    /// How many wait for probes that start after they began to wait.
    pub fn probe_demand(&self) -> watch::Receiver<usize> {
        self.demand.subscribe()
    }

    /// Has members probed one time after another until the guard is dropped.
    ///
    /// One probe serves all who began to wait before it started.
    pub fn demand_probes(&self) -> ProbeDemand<'_> {
        self.demand.send_modify(|waiting| *waiting += 1);
        ProbeDemand { group: self }
    }

    /// Has all members probed at once: a connection failed, so something may have changed.
    pub fn hint(&self) {
        self.hint.notify_waiters();
    }

    /// Resolves at the next [`Group::hint`].
    pub async fn hinted(&self) {
        self.hint.notified().await;
    }

    /// The connections to a member.
    pub fn pool(&self, member: &MemberName) -> Option<Arc<MemberPool>> {
        lock(&self.pools).get(member).map(|m| m.pool.clone())
    }

    /// All pools.
    pub fn pools(&self) -> Vec<Arc<MemberPool>> {
        lock(&self.pools).values().map(|m| m.pool.clone()).collect()
    }

    /// Brings members, pools and probers to what `spec` says.
    pub fn apply(self: &Arc<Self>, spec: Arc<DatabaseGroupSpec>) {
        if !self.take_spec(&spec) {
            return;
        }
        let targets: BTreeMap<MemberName, BackEndTarget> = spec
            .members
            .iter()
            .map(|member| (member.name.clone(), target_of(member, &spec)))
            .collect();
        let mut running = lock(&self.pools);
        running.retain(|name, member| {
            let unchanged = targets
                .get(name)
                .is_some_and(|t| same_login(t, member.pool.target()));
            if !unchanged {
                member.stop.cancel();
            }
            unchanged
        });
        self.update_state(|state| {
            state.retain_members(|name| targets.contains_key(name));
            for member in &spec.members {
                state.set_member(&member.name, &member.zone, member.leaving);
            }
        });
        for (name, target) in targets {
            running
                .entry(name)
                .or_insert_with(|| self.start_member(target));
        }
    }

    /// Whether `spec` differs from the one that is applied.
    fn take_spec(&self, spec: &Arc<DatabaseGroupSpec>) -> bool {
        let mut applied = lock(&self.spec);
        if applied.as_ref() == Some(spec) {
            return false;
        }
        *applied = Some(spec.clone());
        true
    }

    fn start_member(self: &Arc<Self>, target: BackEndTarget) -> RunningMember {
        let back_end = Arc::clone(&self.back_end);
        let pool = Arc::new(MemberPool::new(target, back_end, self.settings.clone()));
        let stop = CancellationToken::new();
        tokio::spawn(run_prober(self.clone(), pool.clone(), stop.clone()));
        RunningMember { pool, stop }
    }

    /// Stops all probers and forgets the pools.
    pub fn stop(&self) {
        let mut running = lock(&self.pools);
        for member in running.values() {
            member.stop.cancel();
        }
        running.clear();
    }

    /// Counts an exchange for as long as the guard lives.
    pub fn begin_exchange(self: &Arc<Self>) -> OpenExchangeGuard {
        self.open_exchanges.fetch_add(1, Ordering::SeqCst);
        OpenExchangeGuard {
            group: self.clone(),
        }
    }

    /// Whether no exchange is open.
    pub fn is_unused(&self) -> bool {
        self.open_exchanges.load(Ordering::SeqCst) == 0
    }

    /// Whether no exchange is open and none has been for the idle time.
    pub fn is_idle(&self) -> bool {
        self.is_unused() && lock(&self.last_used).elapsed() > self.settings.idle_group()
    }
}

fn target_of(member: &GroupMemberSpec, spec: &Arc<DatabaseGroupSpec>) -> BackEndTarget {
    BackEndTarget {
        member: member.name.clone(),
        address: member.address.clone(),
        group: spec.clone(),
    }
}

/// Whether connections opened for one target serve for the other.
fn same_login(one: &BackEndTarget, other: &BackEndTarget) -> bool {
    one.address == other.address
        && one.group.database == other.group.database
        && one.group.user == other.group.user
        && one.group.password == other.group.password
        && one.group.connections_per_member == other.group.connections_per_member
        && one.group.probe_interval_millis == other.group.probe_interval_millis
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps members probed; see [`Group::demand_probes`].
pub struct ProbeDemand<'a> {
    group: &'a Group,
}

impl Drop for ProbeDemand<'_> {
    fn drop(&mut self) {
        self.group.demand.send_modify(|waiting| *waiting -= 1);
    }
}

/// Counts an open exchange; see [`Group::begin_exchange`].
pub struct OpenExchangeGuard {
    group: Arc<Group>,
}

impl OpenExchangeGuard {
    /// The group that the exchange belongs to.
    pub fn group(&self) -> &Arc<Group> {
        &self.group
    }
}

impl Drop for OpenExchangeGuard {
    fn drop(&mut self) {
        *lock(&self.group.last_used) = Instant::now();
        self.group.open_exchanges.fetch_sub(1, Ordering::SeqCst);
    }
}
