//! What a large fleet knows of the store while a part of it is cut off.

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
/// Processes of the fleet.
const NODES: usize = 21;
/// Processes of a larger one.
const LARGE: usize = 200;
/// Time within which a removed credential must be refused.
const REVOCATION_BOUND: Duration = Duration::from_secs(5);
/// Greatest age of a proof while somebody who follows the store is reached.
const MAX_PROOF_AGE: Duration = Duration::from_millis(2_500);
/// Longest time after the cut in which a caller of a process that is not cut may be refused.
const MAX_GAP: Duration = Duration::from_millis(1_500);
/// Interval in which all are looked at.
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

/// The processes that follow the store, and those of each zone that the others ask.
struct Roles {
    roots: Vec<usize>,
    followers: Vec<usize>,
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
        let is_root = |place: &usize| source(&fleet.nodes[*place]) == StoreSource::Store;
        let is_follower = |place: &usize| {
            let engine = &fleet.nodes[*place].engine;
            engine.homes().is_follower(&engine.settings().zone)
        };
        let lease = fleet.lease();
        let mut nodes = fleet.nodes.iter();
        let holder = nodes.position(|node| node.name == lease.holder.as_str());
        Self {
            roots: all.clone().filter(is_root).collect(),
            followers: all.filter(is_follower).collect(),
            holder: holder.expect("the holder"),
        }
    }

    fn has_role(&self, place: usize) -> bool {
        self.roots.contains(&place) || self.followers.contains(&place) || place == self.holder
    }
}

/// Cuts `one` of the fleet from the rest of it; the servers stay in reach.
fn partition(fleet: &Fleet, one: &HashSet<usize>) {
    for here in one {
        for there in (0..fleet.nodes.len()).filter(|place| !one.contains(place)) {
            let (here, there) = (&fleet.nodes[*here].name, &fleet.nodes[there].name);
            fleet.network().cut(here, there);
        }
    }
}

fn proof_age(node: &Node) -> Duration {
    let proof = node.engine.following().configuration_complete_as_of();
    proof.expect("a proof").elapsed()
}

/// The oldest proof of `places` within `time`.
async fn oldest_proof(fleet: &Fleet, places: &[usize], time: Duration) -> Duration {
    let until = Instant::now() + time;
    let mut oldest = Duration::ZERO;
    while Instant::now() < until {
        let ages = places.iter().map(|place| proof_age(&fleet.nodes[*place]));
        oldest = oldest.max(ages.max().unwrap_or_default());
        sleep(CHECK_INTERVAL).await;
    }
    oldest
}

/// Asks once at each of `places`; why callers were refused.
async fn refusals(fleet: &Fleet, places: &[usize]) -> Vec<FailureReason> {
    let mut reasons = Vec::new();
    for place in places {
        let engine = &fleet.nodes[*place].engine;
        let mut client = Client::open_with(engine, BOUNDED_DATABASE, Some(credential()));
        let reply = client.send(read("x")).await;
        reasons.extend(reply.outcome.err().map(|failure| failure.reason));
    }
    reasons
}

/// A third of the fleet loses the store and all others at once, whoever is among it: some of
/// those that follow the store, of those that others ask, and the holder of the lease.
#[rstest]
#[tokio::test(start_paused = true)]
async fn proofs_stay_recent_when_a_third_of_the_fleet_is_cut_off(
    #[values(0, 1, 2)] roots: usize,
    #[values(0, 2, 4)] followers: usize,
    #[values(false, true)] holder: bool,
) {
    let fleet = fleet().await;
    let roles = Roles::of(&fleet);
    let others = roles.followers.iter().filter(|f| !roles.roots.contains(f));
    let mut cut: HashSet<usize> = roles.roots.iter().take(roots).copied().collect();
    cut.extend(others.take(followers));
    cut.extend(holder.then_some(roles.holder));
    let bystanders = (0..NODES).filter(|place| !roles.has_role(*place));
    let missing = (NODES / 3).saturating_sub(cut.len());
    cut.extend(bystanders.take(missing));
    let left: Vec<usize> = (0..NODES).filter(|place| !cut.contains(place)).collect();
    partition(&fleet, &cut);
    for place in &cut {
        fleet.records.ignore_node(&fleet.nodes[*place].name);
    }
    let began = Instant::now();
    let oldest = oldest_proof(&fleet, &left, Duration::from_secs(8)).await;
    assert!(oldest < MAX_PROOF_AGE, "a proof was {oldest:?} old");
    assert!(began.elapsed() > MAX_GAP);
    assert_eq!(refusals(&fleet, &left).await, Vec::new());
}

/// The store answers only some processes that nobody asks, and all that are asked stand on the
/// other side of a split.
#[tokio::test(start_paused = true)]
async fn side_of_a_partition_learns_from_any_informed_process() {
    let fleet = fleet().await;
    let roles = Roles::of(&fleet);
    let side: Vec<usize> = (0..NODES).filter(|place| !roles.has_role(*place)).collect();
    let here: HashSet<usize> = side.iter().copied().collect();
    let informed = &side[..side.len() / 3];
    partition(&fleet, &here);
    let uninformed = (0..NODES).filter(|place| !informed.contains(place));
    for place in uninformed {
        fleet.records.refuse_node(&fleet.nodes[place].name, true);
    }
    sleep(MAX_GAP).await;
    let oldest = oldest_proof(&fleet, &side, Duration::from_secs(12)).await;
    assert!(oldest < REVOCATION_BOUND, "a proof was {oldest:?} old");
    let reasons = refusals(&fleet, &side).await;
    assert!(!reasons.contains(&FailureReason::ConfigurationOutdated));
    // The others know nothing until the network is whole again, and then soon.
    fleet.network().heal();
    sleep(MAX_GAP).await;
    let oldest = fleet.nodes.iter().map(proof_age).max();
    assert!(
        oldest < Some(REVOCATION_BOUND),
        "a proof was {oldest:?} old"
    );
}

/// The store goes silent to a third of the fleet, those that follow it among them.
#[tokio::test(start_paused = true)]
async fn proofs_stay_recent_when_the_store_ignores_a_third_of_the_fleet() {
    let fleet = fleet().await;
    let roles = Roles::of(&fleet);
    let bystanders = (0..NODES).filter(|place| !roles.has_role(*place));
    let mut ignored: HashSet<usize> = roles.roots.iter().copied().collect();
    ignored.extend(bystanders.take(NODES / 3 - ignored.len()));
    for place in &ignored {
        fleet.records.ignore_node(&fleet.nodes[*place].name);
    }
    let all: Vec<usize> = (0..NODES).collect();
    let oldest = oldest_proof(&fleet, &all, Duration::from_secs(10)).await;
    assert!(oldest < REVOCATION_BOUND, "a proof was {oldest:?} old");
    assert_eq!(refusals(&fleet, &all).await, Vec::new());
}

/// A process that is cut goes on without a source; the store is not asked more by the others
/// than by those that take its place.
#[tokio::test(start_paused = true)]
async fn few_processes_replace_cut_off_relays_at_the_store() {
    let fleet = fleet().await;
    let roles = Roles::of(&fleet);
    let cut: HashSet<usize> = roles.roots.iter().copied().collect();
    partition(&fleet, &cut);
    for place in &cut {
        fleet.records.ignore_node(&fleet.nodes[*place].name);
    }
    sleep(Duration::from_secs(4)).await;
    let is_direct = |place: &usize| fleet.nodes[*place].engine.following().is_direct();
    let left = (0..NODES).filter(|place| !cut.contains(place));
    let direct: HashSet<usize> = left.filter(is_direct).collect();
    let allowed: HashSet<usize> = roles.followers.iter().copied().collect();
    let unexpected: Vec<&usize> = direct
        .difference(&allowed)
        .filter(|p| **p != roles.holder)
        .collect();
    assert!(unexpected.len() <= 1, "{unexpected:?}");
    assert!(!direct.is_empty());
}

/// Hundreds of processes that lose a third of the fleet at once ask hardly more than is answered:
/// what asks again and again is a load of its own.
#[tokio::test(start_paused = true)]
async fn update_requests_are_not_repeated_excessively() {
    let fleet = fleet_of(LARGE).await;
    let roles = Roles::of(&fleet);
    let bystanders = (0..LARGE).filter(|place| !roles.has_role(*place));
    let mut cut: HashSet<usize> = roles.roots.iter().copied().collect();
    cut.extend(bystanders.take(LARGE / 3 - cut.len()));
    partition(&fleet, &cut);
    for place in &cut {
        fleet.records.ignore_node(&fleet.nodes[*place].name);
    }
    // Those that are cut ask their own side in vain; only the others count.
    cut.iter().for_each(|place| fleet.nodes[*place].abort());
    let counts = || {
        let asked = fleet.peers.update_requests.load(Ordering::Relaxed);
        (asked, fleet.peers.update_replies.load(Ordering::Relaxed))
    };
    let before = counts();
    sleep(Duration::from_secs(6)).await;
    let after = counts();
    let (asked, told) = (after.0 - before.0, after.1 - before.1);
    assert!(told > LARGE as u64, "{told}");
    assert!(asked * 10 <= told * 13, "{asked} asked, {told} answered");
}

/// All processes end and start anew at once: each knows the configuration and whom to ask within
/// the bound, and reads each table in whole once at the most.
#[tokio::test(start_paused = true)]
async fn simultaneous_restart_of_all_processes_is_fast() {
    let mut fleet = fleet().await;
    let reads = fleet.records.full_reads();
    (0..NODES).for_each(|place| fleet.kill(place));
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
