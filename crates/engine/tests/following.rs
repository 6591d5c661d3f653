//! What a large fleet knows of the store while some of its processes are cut off.

mod support;

use rstest::rstest;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stilequay_engine::configuration::Configuration;
use stilequay_engine::home::placement::StoreSource;
use stilequay_engine::names::TenantName;
use stilequay_engine::residency::Residency;
use stilequay_engine::tenant::{Credential, Tenant, TenantPolicy};
use stilequay_engine::verdict::FailureReason;
use support::{BOUNDED_DATABASE, Client, Fleet, Node, configuration, read, until};
use tokio::time::{Instant, sleep};

const ZONES: &[&str] = &["zone-a", "zone-b", "zone-c"];
/// Number of processes of the fleet.
const NODES: usize = 21;
/// Number of processes of a larger fleet.
const LARGE: usize = 200;
/// Time within which a removed credential must be refused everywhere.
const REVOCATION_BOUND: Duration = Duration::from_secs(5);
/// Maximum age of a configuration proof while a process that watches the store is reachable.
const MAX_PROOF_AGE: Duration = Duration::from_millis(2_500);
/// Maximum time after a cut during which callers of the connected processes may be refused.
const MAX_GAP: Duration = Duration::from_millis(1_500);
/// Interval between checks of the proofs.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

fn credential() -> Credential {
    Credential::from_key(b"key-1")
}

fn with_tenant() -> Configuration {
    let mut configuration = Configuration {
        version: 2,
        ..configuration(1)
    };
    let name: TenantName = Arc::from("one");
    let tenant = Tenant {
        name: Arc::clone(&name),
        rate: None,
        residency: Residency::ANYWHERE,
    };
    configuration
        .tenants
        .insert(Arc::clone(&name), Arc::new(tenant));
    configuration.credentials.insert(credential(), name);
    configuration
}

async fn fleet() -> Fleet {
    fleet_of(NODES).await
}

async fn fleet_of(nodes: usize) -> Fleet {
    let policy = TenantPolicy {
        revocation: REVOCATION_BOUND,
        rates: None,
    };
    let fleet = Fleet::start_with(ZONES, nodes, Some(policy)).await;
    fleet.configuration.send_replace(with_tenant());
    let is_ready = |node: &Node| {
        let known = node.engine.configuration();
        let knows = known.is_some_and(|known| known.version == 2);
        knows && node.engine.homes().fleet_len() == nodes
    };
    until(|| fleet.nodes.iter().all(is_ready)).await;
    sleep(Duration::from_secs(4)).await;
    fleet
}

/// The processes that watch the store, the relays of the zones, and the lease holder.
struct Roles {
    watchers: Vec<usize>,
    relays: Vec<usize>,
    holder: usize,
}

impl Roles {
    fn of(fleet: &Fleet) -> Self {
        let source = |node: &Node| {
            node.engine
                .homes()
                .store_source(&node.engine.settings().zone)
        };
        let all = 0..fleet.nodes.len();
        let is_watcher = |index: &usize| source(&fleet.nodes[*index]) == StoreSource::Store;
        let is_follower = |index: &usize| {
            let engine = &fleet.nodes[*index].engine;
            engine.homes().is_follower(&engine.settings().zone)
        };
        let lease = fleet.lease();
        let mut nodes = fleet.nodes.iter();
        let holder = nodes.position(|node| node.name == lease.holder.as_str());
        Self {
            watchers: all.clone().filter(is_watcher).collect(),
            relays: all.filter(is_follower).collect(),
            holder: holder.expect("the holder"),
        }
    }

    fn has_role(&self, index: usize) -> bool {
        self.watchers.contains(&index) || self.relays.contains(&index) || index == self.holder
    }
}

/// Cuts the processes `one` off from the rest of the fleet. All can still reach the servers.
fn partition(fleet: &Fleet, one: &HashSet<usize>) {
    for here in one {
        for there in (0..fleet.nodes.len()).filter(|index| !one.contains(index)) {
            let (here, there) = (&fleet.nodes[*here].name, &fleet.nodes[there].name);
            fleet.network().cut(here, there);
        }
    }
}

fn proof_age(node: &Node) -> Duration {
    let proof = node.engine.following().configuration_complete_as_of();
    proof.expect("a proof").elapsed()
}

/// The greatest age that any configuration proof of the processes `indices` has during `time`.
async fn oldest_proof(fleet: &Fleet, indices: &[usize], time: Duration) -> Duration {
    let until = Instant::now() + time;
    let mut oldest = Duration::ZERO;
    while Instant::now() < until {
        let ages = indices.iter().map(|index| proof_age(&fleet.nodes[*index]));
        oldest = oldest.max(ages.max().unwrap_or_default());
        sleep(CHECK_INTERVAL).await;
    }
    oldest
}

/// Sends one read to each of the processes `indices`; returns the reasons of those that failed.
async fn refusals(fleet: &Fleet, indices: &[usize]) -> Vec<FailureReason> {
    let mut reasons = Vec::new();
    for index in indices {
        let engine = &fleet.nodes[*index].engine;
        let mut client = Client::open_with(engine, BOUNDED_DATABASE, Some(credential()));
        let reply = client.send(read("x")).await;
        reasons.extend(reply.outcome.err().map(|failure| failure.reason));
    }
    reasons
}

/// A third of the fleet is cut off from the store and from the other processes at once, with any
/// combination of processes that watch the store, relays and the lease holder among it.
#[rstest]
#[tokio::test(start_paused = true)]
async fn proofs_stay_recent_when_a_third_of_the_fleet_is_cut_off(
    #[values(0, 1, 2)] watchers: usize,
    #[values(0, 2, 4)] relays: usize,
    #[values(false, true)] holder: bool,
) {
    let fleet = fleet().await;
    let roles = Roles::of(&fleet);
    let others = roles.relays.iter().filter(|f| !roles.watchers.contains(f));
    let mut cut: HashSet<usize> = roles.watchers.iter().take(watchers).copied().collect();
    cut.extend(others.take(relays));
    cut.extend(holder.then_some(roles.holder));
    let bystanders = (0..NODES).filter(|index| !roles.has_role(*index));
    let missing = (NODES / 3).saturating_sub(cut.len());
    cut.extend(bystanders.take(missing));
    let left: Vec<usize> = (0..NODES).filter(|index| !cut.contains(index)).collect();
    partition(&fleet, &cut);
    for index in &cut {
        fleet.records.ignore_node(&fleet.nodes[*index].name);
    }
    let began = Instant::now();
    let oldest = oldest_proof(&fleet, &left, Duration::from_secs(8)).await;
    assert!(oldest < MAX_PROOF_AGE, "a proof was {oldest:?} old");
    assert!(began.elapsed() > MAX_GAP);
    assert_eq!(refusals(&fleet, &left).await, Vec::new());
}

/// The store answers only some processes that aren't relays, and all relays are on the other side
/// of a network partition.
#[tokio::test(start_paused = true)]
async fn side_of_a_partition_learns_from_any_informed_process() {
    let fleet = fleet().await;
    let roles = Roles::of(&fleet);
    let side: Vec<usize> = (0..NODES).filter(|index| !roles.has_role(*index)).collect();
    let here: HashSet<usize> = side.iter().copied().collect();
    let informed = &side[..side.len() / 3];
    partition(&fleet, &here);
    let uninformed = (0..NODES).filter(|index| !informed.contains(index));
    for index in uninformed {
        fleet.records.refuse_node(&fleet.nodes[index].name, true);
    }
    sleep(MAX_GAP).await;
    let oldest = oldest_proof(&fleet, &side, Duration::from_secs(12)).await;
    assert!(oldest < REVOCATION_BOUND, "a proof was {oldest:?} old");
    let reasons = refusals(&fleet, &side).await;
    assert!(!reasons.contains(&FailureReason::ConfigurationOutdated));
    // The other side learns nothing until the network heals, and then catches up soon.
    fleet.network().heal();
    sleep(MAX_GAP).await;
    let oldest = fleet.nodes.iter().map(proof_age).max();
    assert!(
        oldest < Some(REVOCATION_BOUND),
        "a proof was {oldest:?} old"
    );
}

/// The store stops answering a third of the fleet, including the processes that watch it.
#[tokio::test(start_paused = true)]
async fn proofs_stay_recent_when_the_store_ignores_a_third_of_the_fleet() {
    let fleet = fleet().await;
    let roles = Roles::of(&fleet);
    let bystanders = (0..NODES).filter(|index| !roles.has_role(*index));
    let mut ignored: HashSet<usize> = roles.watchers.iter().copied().collect();
    ignored.extend(bystanders.take(NODES / 3 - ignored.len()));
    for index in &ignored {
        fleet.records.ignore_node(&fleet.nodes[*index].name);
    }
    let all: Vec<usize> = (0..NODES).collect();
    let oldest = oldest_proof(&fleet, &all, Duration::from_secs(10)).await;
    assert!(oldest < REVOCATION_BOUND, "a proof was {oldest:?} old");
    assert_eq!(refusals(&fleet, &all).await, Vec::new());
}

/// The processes that watch the store are cut off. Among the others, only relays, the lease holder
/// and at most one more process may turn to the store in their place.
#[tokio::test(start_paused = true)]
async fn few_processes_replace_cut_off_relays_at_the_store() {
    let fleet = fleet().await;
    let roles = Roles::of(&fleet);
    let cut: HashSet<usize> = roles.watchers.iter().copied().collect();
    partition(&fleet, &cut);
    for index in &cut {
        fleet.records.ignore_node(&fleet.nodes[*index].name);
    }
    sleep(Duration::from_secs(4)).await;
    let is_direct = |index: &usize| fleet.nodes[*index].engine.following().is_direct();
    let left = (0..NODES).filter(|index| !cut.contains(index));
    let direct: HashSet<usize> = left.filter(is_direct).collect();
    let allowed: HashSet<usize> = roles.relays.iter().copied().collect();
    let unexpected: Vec<&usize> = direct
        .difference(&allowed)
        .filter(|p| **p != roles.holder)
        .collect();
    assert!(unexpected.len() <= 1, "{unexpected:?}");
    assert!(!direct.is_empty());
}

/// When hundreds of processes lose a third of the fleet at once, they must send hardly more update
/// requests than are answered, because repeated requests are a load of their own.
#[tokio::test(start_paused = true)]
async fn update_requests_are_not_repeated_excessively() {
    let fleet = fleet_of(LARGE).await;
    let roles = Roles::of(&fleet);
    let bystanders = (0..LARGE).filter(|index| !roles.has_role(*index));
    let mut cut: HashSet<usize> = roles.watchers.iter().copied().collect();
    cut.extend(bystanders.take(LARGE / 3 - cut.len()));
    partition(&fleet, &cut);
    for index in &cut {
        fleet.records.ignore_node(&fleet.nodes[*index].name);
    }
    // The processes that are cut off send requests to their own side in vain. They are stopped, so
    // that only the others are counted.
    cut.iter().for_each(|index| fleet.nodes[*index].abort());
    let counts = || {
        let sent = fleet.peers.update_requests.load(Ordering::Relaxed);
        (sent, fleet.peers.update_replies.load(Ordering::Relaxed))
    };
    let before = counts();
    sleep(Duration::from_secs(6)).await;
    let after = counts();
    let (sent, answered) = (after.0 - before.0, after.1 - before.1);
    assert!(answered > LARGE as u64, "{answered}");
    assert!(
        sent * 10 <= answered * 13,
        "{sent} sent, {answered} answered"
    );
}

/// All processes restart at once. Each must have a configuration proof and know the fleet within
/// the limit, and there may be at most one full read of the store per process.
#[tokio::test(start_paused = true)]
async fn simultaneous_restart_of_all_processes_is_fast() {
    let mut fleet = fleet().await;
    let reads = fleet.records.full_reads();
    (0..NODES).for_each(|index| fleet.kill(index));
    sleep(Duration::from_millis(500)).await;
    let names: Vec<String> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    fleet.nodes = names.iter().map(|name| fleet.respawn_node(name)).collect();
    let began = Instant::now();
    let knows = |node: &Node| {
        let engine = &node.engine;
        let proof = engine.following().configuration_complete_as_of();
        proof.is_some() && engine.homes().fleet_len() == NODES
    };
    until(|| fleet.nodes.iter().all(knows)).await;
    assert!(began.elapsed() < MAX_GAP, "{:?}", began.elapsed());
    assert!(fleet.records.full_reads() - reads <= NODES as u64);
}
