//! The state that all sessions share.

use crate::configuration::{Configuration, Route};
use crate::directory::{Directory, Member};
use crate::evacuation::{Evacuations, Gate, Schedule, Sender};
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

/// Share of the contact time for which a call waits for changes: entries, configuration,
/// records.
const FEED_PROPAGATION_SHARE: f64 = 0.4;
/// The same where others learn of the changes from this process: they wait too.
const RELAYED_FEED_PROPAGATION_SHARE: f64 = 0.3;
/// Processes assumed before the fleet is known.
const INITIAL_PROCESSES: usize = 9;
/// Configurations that are remembered, to tell others what has changed since: changes come
/// some sixteen a second at the most, and others ask at least once a second.
const CONFIGURATION_HISTORY: usize = 16;
/// Connections that a member is assumed to accept before the configuration is known.
const INITIAL_MEMBER_CONNECTIONS: usize = 30;

/// Reads that may be sent to a second member because the first is silent.
const HEDGE_BUDGET: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.15,
    reserve_per_second: 2.0,
    capacity: 20.0,
};

/// Who and where this process is, and the bounds it keeps.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Its name.
    pub node: NodeName,
    /// Its zone.
    pub zone: ZoneName,
    /// The regions of all zones.
    pub topology: Topology,
    /// Where this process answers others.
    pub peer_address: Option<SocketAddr>,
    /// Cores that it may use: its share of the work that processes do for one another.
    pub weight: f64,
    /// Time within which a change in the store must be learned of, also where the call that
    /// was to tell it is never answered.
    pub propagation_bound: Duration,
    /// How long a member that leaves, or has left, may still be given work.
    pub departure_grace: Duration,
    /// Time within which a change of the configuration must be acted on.
    pub configuration_bound: Duration,
    /// Time within which an evacuation must be acted on; `None` where zones are not evacuated.
    pub evacuation_bound: Option<Duration>,
    /// How exactly the limits of cold members are kept.
    pub slow_start: SlowStartBounds,
    /// How callers prove on whose behalf they ask; `None` where they need not.
    pub tenants: Option<TenantPolicy>,
}

/// What a cold member may get beyond what it takes, in any second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartBounds {
    /// Multiple of what it takes in a second.
    pub excess: f64,
    /// Statements besides.
    pub slack: f64,
}

/// The stores of records. Every process follows the shared ones; leases change often and
/// concern few, so they are kept apart.
#[derive(Debug, Clone)]
pub struct EngineRecords {
    /// Leaderships, processes, suspicions.
    pub shared: Arc<dyn RecordStore>,
    /// Leases.
    pub leases: Arc<dyn RecordStore>,
}

/// How far the process has come towards its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// It serves.
    Serving,
    /// It is told not ready, and serves on.
    Leaving,
    /// Idle sessions are closed.
    ClosingIdle,
    /// Open transactions are ended.
    EndingTransactions,
    /// Everything is closed.
    Closing,
}

/// The shared state.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    back_end: Arc<dyn BackEnd>,
    peers: Arc<dyn PeerNetwork>,
    configuration: watch::Sender<Option<Arc<Configuration>>>,
    /// The configurations used last, the newest at the end.
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
    /// The lease for promotions as its holder has told it last.
    announced_promotion_lease: watch::Sender<Option<LeaseRecord>>,
    following: Following,
    counters: Counters,
    refusals: Refusals,
    slow_starts: SlowStarts,
    terms: TermFollower,
    lease_records: Arc<dyn RecordStore>,
    stop: watch::Sender<StopPhase>,
    events: EventLog,
    hedges: RetryBudget,
    processes: AtomicUsize,
}

impl Engine {
    /// An engine that knows nothing yet.
    pub fn new(
        settings: EngineSettings,
        back_end: Arc<dyn BackEnd>,
        records: EngineRecords,
        peers: Arc<dyn PeerNetwork>,
    ) -> Arc<Self> {
        let (node, topology) = (settings.node.clone(), settings.topology.clone());
        let homes = Homes::new(node, topology, Arc::clone(&peers));
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
            events: EventLog::default(),
            hedges: RetryBudget::new(HEDGE_BUDGET),
            processes: AtomicUsize::new(INITIAL_PROCESSES),
        })
    }

    /// Who this process is, and its bounds.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// The log of decisions.
    pub fn events(&self) -> &EventLog {
        &self.events
    }

    /// Bounds the reads that are sent to a second member.
    pub fn hedges(&self) -> &RetryBudget {
        &self.hedges
    }

    /// Where leases are kept.
    pub fn lease_records(&self) -> &Arc<dyn RecordStore> {
        &self.lease_records
    }

    /// The other processes.
    pub fn peers(&self) -> &Arc<dyn PeerNetwork> {
        &self.peers
    }

    /// The records of leaderships.
    pub fn terms(&self) -> &TermFollower {
        &self.terms
    }

    /// The configuration in use.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// The route of `database` as of now.
    pub fn route(&self, database: &str) -> Option<Arc<Route>> {
        self.configuration()?.routes.get(database).cloned()
    }

    /// Takes a configuration into use, unless a later one is. Returns whether it was taken.
    pub fn set_configuration(&self, configuration: Configuration) -> bool {
        let version = configuration.version;
        let routes = configuration.routes.len();
        let configuration = Arc::new(configuration);
        let taken = self.configuration.send_if_modified(|current| {
            let later = current.as_ref().is_none_or(|known| known.version < version);
            if later {
                // Before anybody learns of it: cold members are counted from then on.
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

    /// The configuration of `version`, if it was used lately.
    pub fn recent_configuration(&self, version: u64) -> Option<Arc<Configuration>> {
        let recent = lock(&self.recent_configurations);
        let mut recent = recent.iter();
        recent.find(|known| known.version == version).cloned()
    }

    /// Tells of changes of the configuration.
    pub fn subscribe_configuration(&self) -> watch::Receiver<Option<Arc<Configuration>>> {
        self.configuration.subscribe()
    }

    /// The zones whose servers are to get no more work.
    pub fn evacuations(&self) -> Arc<Evacuations> {
        self.evacuations.borrow().clone()
    }

    /// Tells of changes of these.
    pub fn subscribe_evacuations(&self) -> watch::Receiver<Arc<Evacuations>> {
        self.evacuations.subscribe()
    }

    /// Takes evacuations into use, unless later ones are. Returns whether they were taken.
    pub fn set_evacuations(&self, evacuations: Evacuations) -> bool {
        let (version, zones) = (evacuations.version, evacuations.zones.clone());
        let mut changed = false;
        let taken = self.evacuations.send_if_modified(|current| {
            let later = current.version < version;
            if later {
                changed = current.zones != zones;
                // First: the zone's members are cold by the moment at which it is open again.
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

    /// When nothing more is sent to which evacuated zone.
    pub fn evacuation_schedule(&self) -> &Schedule {
        &self.evacuation_schedule
    }

    /// The check before each command to `member`.
    fn gate(&self, member: &Member, sender: Sender) -> Gate {
        let schedule = Arc::clone(&self.evacuation_schedule);
        Gate::new(schedule, member.zone.clone(), sender)
    }

    /// The directory of members.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.borrow().clone()
    }

    /// Tells of changes of the directory.
    pub fn subscribe_directory(&self) -> watch::Receiver<Arc<Directory>> {
        self.directory.subscribe()
    }

    /// Takes a directory into use.
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

    /// Takes members for gone whose entries have lapsed for too long.
    pub fn expire_lapsed_members(&self) {
        if let Some(next) = self.directory().without_expired_lapses(Instant::now()) {
            self.set_directory(next);
        }
    }

    /// Takes `members` into the directory, those of them whose entries it does not know.
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

    /// Whether a session can be served: the configuration and the members are known.
    pub fn is_started(&self) -> bool {
        self.configuration.borrow().is_some() && self.directory.borrow().members().next().is_some()
    }

    /// Resolves once a session can be served.
    pub async fn started(&self) {
        let mut configuration = self.configuration.subscribe();
        let mut directory = self.directory.subscribe();
        while !self.is_started() {
            // The senders live as long as this does.
            tokio::select! {
                _ = configuration.changed() => {}
                _ = directory.changed() => {}
            }
        }
    }

    /// The group called `name`; made when first asked for.
    pub fn group(&self, name: &GroupName) -> Arc<Group> {
        let mut groups = lock(&self.groups);
        if let Some(group) = groups.get(name) {
            return Arc::clone(group);
        }
        let group = Arc::new(Group::new(name.clone()));
        groups.insert(name.clone(), Arc::clone(&group));
        group
    }

    /// The groups that have members and are configured. Entries may name others, which nobody
    /// asks for and which may never have a leader.
    pub fn configured_groups(&self) -> Vec<GroupName> {
        let Some(configuration) = self.configuration() else {
            return Vec::new();
        };
        let mut names = self.directory().groups();
        names.retain(|name| configuration.groups.contains_key(name));
        names
    }

    /// Replicas that must have received a commit of `group` before its acknowledgement.
    pub fn sync_replicas(&self, group: &str) -> usize {
        let configuration = self.configuration.borrow();
        let settings = configuration.as_ref().and_then(|c| c.groups.get(group));
        settings.map_or(0, |settings| settings.sync_replicas)
    }

    /// Takes the number of processes in the fleet, and divides the members' connections.
    pub fn set_processes(&self, processes: usize) {
        self.processes.store(processes, Ordering::Relaxed);
        self.update_connection_limits();
    }

    /// How long one call that waits for changes in the store may wait: short enough that a
    /// call that is never answered is noticed in time, by those too that learn of changes
    /// from others.
    pub fn watch_timeout(&self) -> Duration {
        let share = match following::uses_relays(self) {
            true => RELAYED_FEED_PROPAGATION_SHARE,
            false => FEED_PROPAGATION_SHARE,
        };
        self.settings.propagation_bound.mul_f64(share)
    }

    /// Processes in the fleet, as far as is known.
    pub fn processes(&self) -> usize {
        self.processes.load(Ordering::Relaxed)
    }

    /// How this process follows the store.
    pub fn following(&self) -> &Following {
        &self.following
    }

    /// The shards of rate limits that are counted here.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Tenants that were told to have no permits left.
    pub fn refusals(&self) -> &Refusals {
        &self.refusals
    }

    /// What this process knows and has sent of cold members.
    pub fn slow_starts(&self) -> &SlowStarts {
        &self.slow_starts
    }

    /// The lease for promotions as far as this process holds it.
    pub(crate) fn promotion_lease(&self) -> &Arc<PromotionLease> {
        &self.promotion_lease
    }

    /// What vouching for the terms of leaders needs.
    pub(crate) fn term_confirmation(&self) -> &TermConfirmation {
        &self.term_confirmation
    }

    /// The lease for promotions as its holder has told this process last.
    pub fn announced_promotion_lease(&self) -> &watch::Sender<Option<LeaseRecord>> {
        &self.announced_promotion_lease
    }

    /// The homes of the members.
    pub fn homes(&self) -> &Arc<Homes> {
        &self.homes
    }

    fn update_connection_limits(&self) {
        for pool in lock(&self.pools).values() {
            pool.set_limit(self.connection_share(pool.member()));
        }
    }

    /// What `member` offers all processes together.
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

    /// Whether this process runs its sessions' statements at `member` over connections of
    /// its own: it is one of its homes, or the fleet is so small that it needs none.
    pub fn connects_directly(&self, member: &Member) -> bool {
        self.all_connect_directly(member) || self.homes.is_home(member)
    }

    /// Whether all processes run their sessions' statements at `member` over connections of
    /// their own.
    pub fn all_connect_directly(&self, member: &Member) -> bool {
        self.capacity(member)
            .allows_direct_connections(self.processes())
    }

    /// Whether this process may have connections to the member called `id`, so that its
    /// traffic tells whether the member answers.
    pub fn monitors_member(&self, id: &str) -> bool {
        let directory = self.directory();
        let member = directory.member(id);
        member
            .is_none_or(|member| self.connects_directly(member) || self.homes.is_candidate(member))
    }

    /// Processes that watch each member of `group`.
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

    /// What sessions reach `allowed` with. Connections that lead through other processes are
    /// apart for each set of regions: each goes through one process for a while.
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

    /// Forgets the connections of sets of regions, which may never be asked for again.
    fn clear_restricted_pools(&self) {
        lock(&self.remote_pools).retain(|(_, residency), _| residency.is_anywhere());
    }

    /// The regions in which statements for `database` on behalf of `tenant` may run, by the
    /// newest configuration. What that does not name binds nothing.
    pub fn residency(&self, database: &str, tenant: Option<&TenantName>) -> Residency {
        let configuration = self.configuration.borrow();
        let configuration = configuration.as_ref();
        configuration.map_or(Residency::ANYWHERE, |c| c.residency(database, tenant))
    }

    /// This process's own connections to `member`: its sessions' where it
    /// [connects itself](Self::connects_itself), those of others if it is a home, and for
    /// orders.
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

    /// The connections to the member called `id`, if it is known.
    pub fn pool_by_id(&self, id: &str) -> Option<Arc<MemberPool>> {
        let directory = self.directory();
        directory.member(id).map(|member| self.pool(member))
    }

    /// This process's own connections to the member called `id`, if it was ever used.
    pub fn existing_pool(&self, id: &str) -> Option<Arc<MemberPool>> {
        lock(&self.pools).get(id).cloned()
    }

    /// The connections to all members that were used.
    pub fn pools(&self) -> Vec<Arc<MemberPool>> {
        lock(&self.pools).values().cloned().collect()
    }

    /// Closes resting connections to the members of `zone`, those made while no home was
    /// reached included.
    pub fn close_idle_connections_in(&self, zone: &ZoneName) {
        let mut pools = self.pools();
        pools.extend(lock(&self.remote_pools).values().cloned());
        let there = pools.iter().filter(|pool| pool.member().zone == *zone);
        there.for_each(|pool| pool.close_idle_connections());
    }

    /// How far the process is from its end.
    pub fn stop_phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// Tells of steps towards the end.
    pub fn subscribe_stop(&self) -> watch::Receiver<StopPhase> {
        self.stop.subscribe()
    }

    /// Goes on to `phase`, never back.
    pub fn advance_stop(&self, phase: StopPhase) {
        self.stop.send_if_modified(|current| {
            let later = *current < phase;
            if later {
                *current = phase;
            }
            later
        });
    }

    /// Closes connections that have not been used for long.
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
