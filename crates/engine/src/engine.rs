//! The state shared by all sessions of a process.

use crate::configuration::{Configuration, Route};
use crate::directory::{Directory, Member};
use crate::evacuation::{EvacuationGate, Evacuations, Schedule, Sender};
use crate::events::{Event, EventLog};
use crate::following::{self, Following};
use crate::group::Group;
use crate::home::placement::Capacity;
use crate::home::{Homes, RemoteBackEnd, placement};
use crate::leadership::fleet::connection_share;
use crate::leadership::follower::TermFollower;
use crate::leadership::promotion_lease::PromotionLease;
use crate::leadership::term_confirmation::TermConfirmation;
use crate::names::{GroupName, MemberId, NodeName, TenantName, ZoneName};
use crate::pool::MemberPool;
use crate::ports::{BackEnd, PeerNetwork, RecordStore};
use crate::rate::Counters;
use crate::rate::permit::Refusals;
use crate::residency::{Allowed, Residency, report_unknown_regions};
use crate::slow_start::SlowStarts;
use crate::slow_start::back_end::SlowStartBackEnd;
use crate::telemetry;
use crate::tenant::TenantPolicy;
use crate::topology::Topology;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use stilequay_coordination::lease::LeaseRecord;
use stilequay_coordination::retry::{RetryBudget, RetryBudgetSettings};
use tokio::sync::watch;
use tokio::time::Instant;

/// Timeout of a store call that watches for changes of entries, configuration or records, as a
/// share of the propagation bound.
const FEED_PROPAGATION_SHARE: f64 = 0.4;
/// The same in a fleet that uses relays, where the clients' long polls add to the delay.
const RELAYED_FEED_PROPAGATION_SHARE: f64 = 0.3;
/// Fleet size assumed before the fleet is known.
const INITIAL_PROCESSES: usize = 9;
/// Number of recent configurations kept to compute deltas for peers. There are at most about 16
/// changes per second, and peers ask at least once per second.
const CONFIGURATION_HISTORY: usize = 16;
/// Connection limit of a member assumed before the configuration is known.
const INITIAL_MEMBER_CONNECTIONS: usize = 30;

/// Budget for hedged reads, which are sent to a second member because the first is slow.
const HEDGE_BUDGET: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.15,
    reserve_per_second: 2.0,
    capacity: 20.0,
};

/// The identity and location of this process, and the time bounds that it keeps.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Its name.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// The regions of all zones.
    pub topology: Topology,
    /// The address at which it serves peers.
    pub peer_address: Option<SocketAddr>,
    /// The number of cores that it may use, which weights its share of the work that processes do
    /// for one another.
    pub weight: f64,
    /// Time within which a change in the store must be noticed, even if the call that should
    /// report it is never answered.
    pub propagation_bound: Duration,
    /// How long a member that is leaving or has left may still get work.
    pub departure_grace: Duration,
    /// Time within which a configuration change must take effect.
    pub configuration_bound: Duration,
    /// Time within which an evacuation must take effect; `None` if evacuations aren't used.
    pub evacuation_bound: Option<Duration>,
    /// How strictly the limits of members in slow start are kept.
    pub slow_start: SlowStartBounds,
    /// How callers authenticate as tenants; `None` if they don't.
    pub tenants: Option<TenantPolicy>,
}

/// By how much the load of a member in slow start may exceed its limit in any second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartBounds {
    /// Excess as a multiple of the limit per second.
    pub excess: f64,
    /// Additional statements.
    pub slack: f64,
}

/// The record stores. Every process follows the shared records. Leases are kept separately because
/// they change often and concern few processes.
#[derive(Debug, Clone)]
pub struct EngineRecords {
    /// Leadership records, process records and suspicion reports.
    pub shared: Arc<dyn RecordStore>,
    /// Leases.
    pub leases: Arc<dyn RecordStore>,
}

/// The phases of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The process serves normally.
    Serving,
    /// It reports not ready, but continues to serve.
    Leaving,
    /// Idle sessions are being closed.
    ClosingIdle,
    /// Open transactions are being ended.
    EndingTransactions,
    /// Everything is being closed.
    Closing,
}

/// The shared state of a process.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    back_end: Arc<dyn BackEnd>,
    peers: Arc<dyn PeerNetwork>,
    configuration: watch::Sender<Option<Arc<Configuration>>>,
    /// Recently used configurations, newest last.
    recent_configurations: Mutex<VecDeque<Arc<Configuration>>>,
    evacuations: watch::Sender<Arc<Evacuations>>,
    evacuation_schedule: Arc<Schedule>,
    directory: watch::Sender<Arc<Directory>>,
    groups: Mutex<HashMap<GroupName, Arc<Group>>>,
    pools: Mutex<HashMap<MemberId, Arc<MemberPool>>>,
    remote_pools: Mutex<HashMap<(MemberId, Residency), Arc<MemberPool>>>,
    homes: Arc<Homes>,
    promotion_lease: Arc<PromotionLease>,
    term_confirmation: TermConfirmation,
    /// The promotion lease as last announced by its holder.
    announced_promotion_lease: watch::Sender<Option<LeaseRecord>>,
    following: Following,
    counters: Counters,
    refusals: Refusals,
    slow_starts: SlowStarts,
    terms: TermFollower,
    lease_records: Arc<dyn RecordStore>,
    stop: watch::Sender<StopPhase>,
    events: Arc<EventLog>,
    hedges: RetryBudget,
    processes: AtomicUsize,
}

impl Engine {
    /// Creates an engine without any configuration or members.
    pub fn new(
        settings: EngineSettings,
        back_end: Arc<dyn BackEnd>,
        records: EngineRecords,
        peers: Arc<dyn PeerNetwork>,
    ) -> Arc<Self> {
        let (node, topology) = (settings.node.clone(), settings.topology.clone());
        let events = Arc::new(EventLog::default());
        let homes = Homes::new(node, topology, Arc::clone(&peers), Arc::clone(&events));
        let following = Following::default();
        let schedule = Schedule::new(settings.evacuation_bound, following.subscribe_proof());
        Arc::new_cyclic(|engine| Self {
            settings,
            back_end: Arc::new(SlowStartBackEnd::new(Weak::clone(engine), back_end)),
            peers,
            remote_pools: Mutex::default(),
            homes: Arc::new(homes),
            following,
            promotion_lease: Arc::default(),
            term_confirmation: TermConfirmation::default(),
            announced_promotion_lease: watch::Sender::new(None),
            counters: Counters::default(),
            refusals: Refusals::default(),
            slow_starts: SlowStarts::default(),
            configuration: watch::Sender::new(None),
            recent_configurations: Mutex::default(),
            evacuations: watch::Sender::new(Arc::default()),
            evacuation_schedule: Arc::new(schedule),
            directory: watch::Sender::new(Arc::default()),
            groups: Mutex::default(),
            pools: Mutex::default(),
            terms: TermFollower::new(records.shared),
            lease_records: records.leases,
            stop: watch::Sender::new(StopPhase::Serving),
            events,
            hedges: RetryBudget::new(HEDGE_BUDGET),
            processes: AtomicUsize::new(INITIAL_PROCESSES),
        })
    }

    /// The settings of this process.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// The event log.
    pub fn events(&self) -> &Arc<EventLog> {
        &self.events
    }

    /// The budget for hedged reads.
    pub fn hedges(&self) -> &RetryBudget {
        &self.hedges
    }

    /// The store that holds the leases.
    pub fn lease_records(&self) -> &Arc<dyn RecordStore> {
        &self.lease_records
    }

    /// The network to the other processes.
    pub fn peers(&self) -> &Arc<dyn PeerNetwork> {
        &self.peers
    }

    /// The leadership records.
    pub fn terms(&self) -> &TermFollower {
        &self.terms
    }

    /// The configuration in use.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// The current route of `database`.
    pub fn route(&self, database: &str) -> Option<Arc<Route>> {
        self.configuration()?.routes.get(database).cloned()
    }

    /// Puts a configuration into use unless the current one is at least as new. Returns whether it
    /// was put into use.
    pub fn set_configuration(&self, configuration: Configuration) -> bool {
        let version = configuration.version;
        let routes = configuration.routes.len();
        let configuration = Arc::new(configuration);
        let taken = self.configuration.send_if_modified(|current| {
            let later = current.as_ref().is_none_or(|known| known.version < version);
            if later {
                // Must happen before the configuration is visible: from then on statements to
                // members in slow start are counted.
                self.slow_starts.apply_configuration(&configuration);
                *current = Some(Arc::clone(&configuration));
            }
            later
        });
        if taken {
            report_unknown_regions(&self.settings.topology, &configuration);
            self.clear_restricted_pools();
            self.counters.apply_configuration(self, &configuration);
            self.retain_configuration(configuration);
            self.update_connection_limits();
            self.events
                .write(&Event::ConfigurationTaken { version, routes });
        }
        taken
    }

    fn retain_configuration(&self, configuration: Arc<Configuration>) {
        let mut recent = lock(&self.recent_configurations);
        recent.push_back(configuration);
        if recent.len() > CONFIGURATION_HISTORY {
            recent.pop_front();
        }
    }

    /// The configuration of `version`, if it is among the recent ones.
    pub fn recent_configuration(&self, version: u64) -> Option<Arc<Configuration>> {
        let recent = lock(&self.recent_configurations);
        let mut recent = recent.iter();
        recent.find(|known| known.version == version).cloned()
    }

    /// Subscribes to configuration changes.
    pub fn subscribe_configuration(&self) -> watch::Receiver<Option<Arc<Configuration>>> {
        self.configuration.subscribe()
    }

    /// The evacuated zones, whose servers get no new work.
    pub fn evacuations(&self) -> Arc<Evacuations> {
        self.evacuations.borrow().clone()
    }

    /// Subscribes to changes of the evacuated zones.
    pub fn subscribe_evacuations(&self) -> watch::Receiver<Arc<Evacuations>> {
        self.evacuations.subscribe()
    }

    /// Puts evacuations into use unless the current ones are at least as new. Returns whether they
    /// were put into use.
    pub fn set_evacuations(&self, evacuations: Evacuations) -> bool {
        let (version, zones) = (evacuations.version, evacuations.zones.clone());
        let mut changed = false;
        let taken = self.evacuations.send_if_modified(|current| {
            let later = current.version < version;
            if later {
                changed = current.zones != zones;
                // Must come first: a zone's members must be in slow start before the zone reopens.
                self.slow_starts.apply_evacuations(current, &evacuations);
                self.evacuation_schedule
                    .set_evacuated(&zones, Instant::now());
                *current = Arc::new(evacuations);
            }
            later
        });
        if changed {
            self.events
                .write(&Event::EvacuationsTaken { version, zones });
        }
        taken
    }

    /// The schedule by which commands to evacuated zones stop.
    pub fn evacuation_schedule(&self) -> &Schedule {
        &self.evacuation_schedule
    }

    /// Creates the check that runs before each command to `member`.
    fn gate(&self, member: &Member, sender: Sender) -> EvacuationGate {
        let schedule = Arc::clone(&self.evacuation_schedule);
        EvacuationGate::new(schedule, member.zone.clone(), sender)
    }

    /// The current member directory.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.borrow().clone()
    }

    /// Subscribes to directory changes.
    pub fn subscribe_directory(&self) -> watch::Receiver<Arc<Directory>> {
        self.directory.subscribe()
    }

    /// Puts a directory into use.
    pub fn set_directory(&self, directory: Directory) {
        let before = self.directory();
        for member in directory.members() {
            let known = before.member(&member.id);
            let same = known.is_some_and(|k| k.state == member.state && k.role == member.role);
            if !same {
                self.events.write(&Event::MemberChanged {
                    member: member.id.clone(),
                    group: member.group.clone(),
                    state: member.state,
                    role: member.role,
                    directory: directory.version,
                });
            }
        }
        self.close_obsolete_pools(&directory);
        self.directory.send_replace(Arc::new(directory));
    }

    /// Marks members as gone whose entries have been lapsed for too long.
    pub fn expire_lapsed_members(&self) {
        if let Some(next) = self.directory().without_expired_lapses(Instant::now()) {
            self.set_directory(next);
        }
    }

    /// Adds those of `members` to the directory that it doesn't contain.
    pub fn add_missing_members(&self, members: Vec<Member>) {
        self.directory.send_if_modified(|directory| {
            let next = directory.with_unknown(members);
            let changed = next.is_some();
            if let Some(next) = next {
                *directory = Arc::new(next);
            }
            changed
        });
    }

    /// Whether sessions can be served, because the configuration and at least one member are known.
    pub fn is_started(&self) -> bool {
        self.configuration.borrow().is_some() && self.directory.borrow().members().next().is_some()
    }

    /// Waits until sessions can be served.
    pub async fn started(&self) {
        let mut configuration = self.configuration.subscribe();
        let mut directory = self.directory.subscribe();
        while !self.is_started() {
            // `changed` can't fail: `self` owns the senders.
            tokio::select! {
                _ = configuration.changed() => {}
                _ = directory.changed() => {}
            }
        }
    }

    /// The group `name`, created on first use.
    pub fn group(&self, name: &GroupName) -> Arc<Group> {
        let mut groups = lock(&self.groups);
        if let Some(group) = groups.get(name) {
            return Arc::clone(group);
        }
        let group = Arc::new(Group::new(name.clone()));
        groups.insert(name.clone(), Arc::clone(&group));
        group
    }

    /// The configured groups that have members. Directory entries may name other groups, which get
    /// no requests and may never have a leader.
    pub fn configured_groups(&self) -> Vec<GroupName> {
        let Some(configuration) = self.configuration() else {
            return Vec::new();
        };
        let mut names = self.directory().groups();
        names.retain(|name| configuration.groups.contains_key(name));
        names
    }

    /// The number of replicas that must have received a commit of `group` before it is
    /// acknowledged.
    pub fn sync_replicas(&self, group: &str) -> usize {
        let configuration = self.configuration.borrow();
        let settings = configuration.as_ref().and_then(|c| c.groups.get(group));
        settings.map_or(0, |settings| settings.sync_replicas)
    }

    /// Sets the number of processes in the fleet and redistributes the members' connections.
    pub fn set_processes(&self, processes: usize) {
        self.processes.store(processes, Ordering::Relaxed);
        self.update_connection_limits();
    }

    /// The timeout of one store call that watches for changes. Short enough that a call that is
    /// never answered is noticed in time, also by processes that get their updates through relays.
    pub fn watch_timeout(&self) -> Duration {
        let share = match following::uses_relays(self) {
            true => RELAYED_FEED_PROPAGATION_SHARE,
            false => FEED_PROPAGATION_SHARE,
        };
        self.settings.propagation_bound.mul_f64(share)
    }

    /// The known number of processes in the fleet.
    pub fn processes(&self) -> usize {
        self.processes.load(Ordering::Relaxed)
    }

    /// Where this process gets the store's updates from, and how current its data is.
    pub fn following(&self) -> &Following {
        &self.following
    }

    /// The rate-limit shards that this process counts.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Recent permit refusals by tenant.
    pub fn refusals(&self) -> &Refusals {
        &self.refusals
    }

    /// The slow-start state of members.
    pub fn slow_starts(&self) -> &SlowStarts {
        &self.slow_starts
    }

    /// The promotion lease, as far as this process holds it.
    pub(crate) fn promotion_lease(&self) -> &Arc<PromotionLease> {
        &self.promotion_lease
    }

    /// The state for confirming leaders' terms.
    pub(crate) fn term_confirmation(&self) -> &TermConfirmation {
        &self.term_confirmation
    }

    /// The promotion lease as last announced to this process by its holder.
    pub fn announced_promotion_lease(&self) -> &watch::Sender<Option<LeaseRecord>> {
        &self.announced_promotion_lease
    }

    /// The assignment of homes and other tasks to the processes of the fleet.
    pub fn homes(&self) -> &Arc<Homes> {
        &self.homes
    }

    fn update_connection_limits(&self) {
        for pool in lock(&self.pools).values() {
            pool.set_limit(self.connection_share(pool.member()));
        }
    }

    /// The total capacity of `member` for all processes.
    fn capacity(&self, member: &Member) -> Capacity {
        let configuration = self.configuration.borrow();
        let settings = configuration.as_ref();
        let settings = settings.and_then(|c| c.groups.get(&member.group));
        Capacity {
            connections: settings.map_or(INITIAL_MEMBER_CONNECTIONS, |s| s.member_connections),
            slots: Some(member.slots).filter(|slots| *slots > 0),
        }
    }

    fn connection_share(&self, member: &Member) -> usize {
        let capacity = self.capacity(member);
        let processes = self.processes();
        if capacity.allows_direct_connections(processes) {
            return connection_share(capacity.connections, processes);
        }
        match self.homes.is_candidate(member) {
            true => capacity.connections_per_home(),
            false => placement::MIN_PROCESS_CONNECTIONS,
        }
    }

    /// Whether this process uses its own connections to `member` for its sessions, because it is
    /// one of the member's homes or the fleet is small enough to need none.
    pub fn connects_directly(&self, member: &Member) -> bool {
        self.all_connect_directly(member) || self.homes.is_home(member)
    }

    /// Whether every process uses its own connections to `member`.
    pub fn all_connect_directly(&self, member: &Member) -> bool {
        self.capacity(member)
            .allows_direct_connections(self.processes())
    }

    /// Whether this process may have connections to the member `id`, so that its traffic shows
    /// whether the member answers.
    pub fn monitors_member(&self, id: &str) -> bool {
        let directory = self.directory();
        let member = directory.member(id);
        member
            .is_none_or(|member| self.connects_directly(member) || self.homes.is_candidate(member))
    }

    /// The number of processes that monitor each member of `group`.
    pub fn monitor_count(&self, group: &str) -> usize {
        let directory = self.directory();
        let members = directory.members_of(group);
        let capacity = members.first().map(|member| self.capacity(member));
        let processes = self.processes();
        match capacity.is_none_or(|capacity| capacity.allows_direct_connections(processes)) {
            true => processes,
            false => placement::HOMES_PER_MEMBER,
        }
    }

    /// The pool through which sessions reach the member `allowed`. Connections through homes have a
    /// separate pool for each set of allowed regions, because such a connection stays with one home
    /// for a while.
    pub fn session_pool(&self, allowed: &Allowed<Arc<Member>>) -> Allowed<Arc<MemberPool>> {
        let member = allowed.get();
        if self.connects_directly(member) {
            return allowed.with(self.pool(member));
        }
        let residency = allowed.residency();
        let mut pools = lock(&self.remote_pools);
        let pool = pools
            .entry((member.id.clone(), residency.clone()))
            .or_insert_with(|| {
                let homes = Arc::clone(&self.homes);
                let direct = Arc::clone(&self.back_end);
                let back_end = RemoteBackEnd::new(homes, direct, residency.clone());
                let pool = MemberPool::remote(Arc::clone(member), Arc::new(back_end));
                Arc::new(pool.with_gate(self.gate(member, Sender::Session)))
            });
        allowed.with(Arc::clone(pool))
    }

    /// Drops the pools of restricted sets of regions, which may never be used again.
    fn clear_restricted_pools(&self) {
        lock(&self.remote_pools).retain(|(_, residency), _| residency.is_anywhere());
    }

    /// The regions in which statements for `database` on behalf of `tenant` may run according to
    /// the newest configuration. An unknown database or tenant adds no restriction.
    pub fn residency(&self, database: &str, tenant: Option<&TenantName>) -> Residency {
        let configuration = self.configuration.borrow();
        let configuration = configuration.as_ref();
        configuration.map_or(Residency::ANYWHERE, |c| c.residency(database, tenant))
    }

    /// The pool of this process's own connections to `member`. It serves the process's own sessions
    /// if it [connects directly](Self::connects_directly), other processes if it is a home of the
    /// member, and control commands.
    pub fn pool(&self, member: &Arc<Member>) -> Arc<MemberPool> {
        let mut pools = lock(&self.pools);
        if let Some(pool) = pools.get(&member.id) {
            return Arc::clone(pool);
        }
        let pool = MemberPool::new(Arc::clone(member), Arc::clone(&self.back_end));
        let pool = Arc::new(pool.with_gate(self.gate(member, Sender::Home)));
        pool.set_limit(self.connection_share(member));
        if self.directory().has_restarted(member) {
            pool.retire();
        }
        pools.insert(member.id.clone(), Arc::clone(&pool));
        pool
    }

    /// The pool of the member `id`, if it is in the directory.
    pub fn pool_by_id(&self, id: &str) -> Option<Arc<MemberPool>> {
        let directory = self.directory();
        directory.member(id).map(|member| self.pool(member))
    }

    /// The pool of the member `id`, if it was used before.
    pub fn existing_pool(&self, id: &str) -> Option<Arc<MemberPool>> {
        lock(&self.pools).get(id).cloned()
    }

    /// The pools of all members that were used.
    pub fn pools(&self) -> Vec<Arc<MemberPool>> {
        lock(&self.pools).values().cloned().collect()
    }

    /// Closes idle connections to the members of `zone`, including direct ones that were opened
    /// while no home was reachable.
    pub fn close_idle_connections_in(&self, zone: &ZoneName) {
        let mut pools = self.pools();
        pools.extend(lock(&self.remote_pools).values().cloned());
        let there = pools.iter().filter(|pool| pool.member().zone == *zone);
        there.for_each(|pool| pool.close_idle_connections());
    }

    /// The current shutdown phase.
    pub fn stop_phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// Subscribes to shutdown phases.
    pub fn subscribe_stop(&self) -> watch::Receiver<StopPhase> {
        self.stop.subscribe()
    }

    /// Advances to `phase`; never goes back.
    pub fn advance_stop(&self, phase: StopPhase) {
        self.stop.send_if_modified(|current| {
            let later = *current < phase;
            if later {
                *current = phase;
            }
            later
        });
    }

    /// Closes connections that have been idle for a long time.
    pub fn close_unused_connections(&self) {
        lock(&self.pools)
            .values()
            .for_each(|pool| pool.close_expired());
        lock(&self.remote_pools)
            .values()
            .for_each(|pool| pool.close_expired());
    }

    fn close_obsolete_pools(&self, directory: &Directory) {
        let is_known = |id: &str| directory.member(id).is_some();
        self.homes.retain_members(is_known);
        lock(&self.remote_pools).retain(|(id, _), _| is_known(id));
        self.slow_starts.retain_members(is_known);
        let mut pools = lock(&self.pools);
        pools.retain(|id, pool| {
            let known = is_known(id);
            if !known {
                pool.close();
                telemetry::reset_member_gauges(id);
            } else if directory.has_restarted(pool.member()) {
                pool.retire();
            }
            known
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
