//! Who may ask, on whose behalf, and for how long after a credential was removed.

mod support;

use rstest::rstest;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stilequay_engine::configuration::Configuration;
use stilequay_engine::names::TenantName;
use stilequay_engine::residency::Residency;
use stilequay_engine::session::Session;
use stilequay_engine::statement::Reply;
use stilequay_engine::tenant::{Credential, Tenant, TenantPolicy};
use stilequay_engine::verdict::{FailureReason, Verdict};
use support::records::Fault;
use support::{
    BOUNDED_DATABASE, Client, Fleet, LEADER_DATABASE, OWN_DATABASE, configuration, read, until,
    write,
};
use tokio::time::{Instant, sleep};

/// Processes of a fleet that needs homes.
const LARGE: usize = 20;
/// Time within which a removed credential must be refused.
const REVOCATION: Duration = Duration::from_secs(5);

fn policy() -> Option<TenantPolicy> {
    Some(TenantPolicy {
        revocation: REVOCATION,
        rates: None,
    })
}

fn credential(key: &str) -> Credential {
    Credential::from_key(key.as_bytes())
}

/// A configuration of `version` with tenants and their keys.
fn with_tenants(version: u64, tenants: &[(&str, &[&str])]) -> Configuration {
    let mut configuration = Configuration {
        version,
        ..configuration(1)
    };
    for (name, keys) in tenants {
        let name: TenantName = Arc::from(*name);
        let tenant = Tenant {
            name: Arc::clone(&name),
            rate: None,
            residency: Residency::ANYWHERE,
        };
        configuration
            .tenants
            .insert(Arc::clone(&name), Arc::new(tenant));
        for key in *keys {
            let credentials = &mut configuration.credentials;
            credentials.insert(credential(key), Arc::clone(&name));
        }
    }
    configuration
}

const BOTH: &[(&str, &[&str])] = &[("one", &["key-1"]), ("two", &["key-2", "key-2b"])];

/// A fleet whose configuration has two tenants.
async fn fleet_of(nodes: usize) -> Fleet {
    let fleet = Fleet::start_with(&["zone-a", "zone-b"], nodes, policy()).await;
    declare(&fleet, with_tenants(2, BOTH)).await;
    fleet
}

/// Puts a configuration into the store and waits until every process uses it.
async fn declare(fleet: &Fleet, next: Configuration) {
    let version = next.version;
    fleet.configuration.send_replace(next);
    let uses = |node: &support::Node| {
        let known = node.engine.configuration();
        known.is_some_and(|known| known.version == version)
    };
    until(|| fleet.nodes.iter().all(uses)).await;
}

fn client(fleet: &Fleet, node: usize, database: &str, key: &str) -> Client {
    Client::open_with(&fleet.nodes[node].engine, database, Some(credential(key)))
}

fn reason(reply: &Reply) -> Option<FailureReason> {
    let failure = reply.outcome.as_ref().err()?;
    assert_eq!(failure.verdict, Verdict::NotRun);
    Some(failure.reason.clone())
}

/// Asks at every process on behalf of both tenants; how many statements a server was told
/// another tenant for than the one that asked.
async fn mixed_up(fleet: &Fleet) -> usize {
    let mut asked: HashMap<String, &str> = HashMap::new();
    let nodes = fleet.nodes.len();
    for round in 0..4 {
        for node in 0..nodes {
            for (key, tenant) in [("key-1", "one"), ("key-2", "two"), ("key-2b", "two")] {
                let database =
                    [LEADER_DATABASE, BOUNDED_DATABASE, OWN_DATABASE][(round + node) % 3];
                let mut client = client(fleet, node, database, key);
                let (id, reply) = client.send_with_id(read("x")).await;
                assert!(reply.outcome.is_ok(), "{reply:?}");
                asked.insert(id, tenant);
                client.begin(false).await;
                let (id, reply) = client.send_with_id(write("x 1")).await;
                assert!(reply.outcome.is_ok(), "{reply:?}");
                asked.insert(id, tenant);
                assert!(client.commit().await.outcome.is_ok());
            }
        }
    }
    let is_wrong = |(id, tenant): &(&String, &&str)| {
        let told = fleet.world.tenant_received(id).expect("it has run");
        told.as_deref() != Some(**tenant)
    };
    asked.iter().filter(is_wrong).count()
}

/// A small fleet connects by itself, a large one by way of homes.
#[rstest]
#[case::by_itself(3)]
#[case::by_way_of_homes(LARGE)]
#[tokio::test(start_paused = true)]
async fn servers_are_told_the_tenant_of_each_statement(#[case] nodes: usize) {
    let fleet = fleet_of(nodes).await;
    assert_eq!(mixed_up(&fleet).await, 0);
}

#[tokio::test(start_paused = true)]
async fn a_home_that_mixes_tenants_up_is_found() {
    let fleet = fleet_of(LARGE).await;
    sleep(Duration::from_secs(2)).await;
    fleet
        .peers
        .swaps_tenant_names
        .store(true, Ordering::Relaxed);
    assert!(mixed_up(&fleet).await > 0);
}

#[tokio::test(start_paused = true)]
async fn an_unknown_credential_is_refused_for_good() {
    let fleet = fleet_of(1).await;
    for shown in [None, Some(credential("key-3"))] {
        let engine = Arc::clone(&fleet.nodes[0].engine);
        let failure = Session::open(engine, LEADER_DATABASE.into(), shown).await;
        let failure = failure.expect_err("no tenant");
        assert_eq!(failure.reason, FailureReason::UnknownCredential);
        assert_eq!(failure.retry_after, None);
    }
}

#[tokio::test(start_paused = true)]
async fn a_credential_that_arrives_in_a_moment_is_waited_for() {
    let fleet = fleet_of(1).await;
    let engine = Arc::clone(&fleet.nodes[0].engine);
    let next = with_tenants(3, &[("one", &["key-1", "key-new"])]);
    let opened = Session::open(engine, LEADER_DATABASE.into(), Some(credential("key-new")));
    fleet.configuration.send_replace(next);
    assert!(opened.await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_process_that_may_be_behind_refuses_nobody_for_good() {
    let fleet = fleet_of(1).await;
    fleet.records.set_fault(Fault::Refusing);
    // Longer than changes of the configuration may take.
    sleep(Duration::from_millis(3_200)).await;
    for (database, key) in [(LEADER_DATABASE, "key-3"), ("nowhere", "key-1")] {
        let engine = Arc::clone(&fleet.nodes[0].engine);
        let opened = Session::open(engine, database.into(), Some(credential(key))).await;
        let failure = opened.expect_err("not known");
        assert_eq!(failure.reason, FailureReason::ConfigurationOutdated);
        assert!(failure.retry_after.is_some());
    }
}

#[tokio::test(start_paused = true)]
async fn a_removed_credential_ends_sessions_and_transactions() {
    let fleet = fleet_of(1).await;
    let mut resting = client(&fleet, 0, LEADER_DATABASE, "key-1");
    let mut open = client(&fleet, 0, LEADER_DATABASE, "key-1");
    let mut kept = client(&fleet, 0, LEADER_DATABASE, "key-2");
    open.begin(false).await;
    assert!(open.write("x 1").await.outcome.is_ok());
    declare(&fleet, with_tenants(3, &BOTH[1..])).await;
    let unknown = Some(FailureReason::UnknownCredential);
    assert_eq!(reason(&resting.read("x").await), unknown);
    assert_eq!(reason(&open.commit().await), unknown);
    assert!(kept.read("x").await.outcome.is_ok());
    assert!(fleet.world.server("a").log.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_transaction_does_not_pass_to_another_tenant() {
    let fleet = fleet_of(1).await;
    let mut client = client(&fleet, 0, LEADER_DATABASE, "key-1");
    client.begin(false).await;
    assert!(client.write("x 1").await.outcome.is_ok());
    let moved = with_tenants(3, &[("one", &[]), ("two", &["key-1", "key-2"])]);
    declare(&fleet, moved).await;
    let lost = Some(FailureReason::TransactionLost);
    assert_eq!(reason(&client.write("x 2").await), lost);
    assert!(fleet.world.server("a").log.is_empty());
}

/// Nothing runs with a removed credential that is sent later than the bound, on whichever
/// process, whatever keeps it from hearing of the removal; and until shortly before, callers
/// whose credential is good are served.
#[rstest]
#[case::turned_away_by_the_store(LARGE, false)]
#[case::frozen_meanwhile(LARGE, true)]
#[case::a_small_fleet_turned_away(3, false)]
#[tokio::test(start_paused = true)]
async fn a_process_that_hears_of_nothing_fails_closed(#[case] nodes: usize, #[case] frozen: bool) {
    let fleet = fleet_of(nodes).await;
    sleep(Duration::from_secs(2)).await;
    let mut clients: Vec<Client> = (0..nodes)
        .map(|node| client(&fleet, node, BOUNDED_DATABASE, "key-1"))
        .collect();
    let frozen_node = fleet.nodes[0].name.clone();
    fleet.records.set_fault(Fault::Refusing);
    fleet
        .configuration
        .send_replace(with_tenants(3, &BOTH[1..]));
    let removed = Instant::now();
    if frozen {
        fleet.freeze(&frozen_node, true);
    }
    sleep(REVOCATION.mul_f64(0.4)).await;
    let served = clients[nodes - 1].read("x").await;
    assert!(served.outcome.is_ok(), "{served:?}");
    sleep_until(removed + REVOCATION + Duration::from_millis(1)).await;
    if frozen {
        fleet.freeze(&frozen_node, false);
    }
    for client in &mut clients {
        let (id, reply) = client.send_with_id(read("x")).await;
        assert_eq!(reason(&reply), Some(FailureReason::ConfigurationOutdated));
        assert_eq!(fleet.world.tenant_received(&id), None);
    }
}

async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at).await;
}

/// One process hears of the store no more, by any way: it proves nothing, and the others go
/// on. Those that asked it go elsewhere.
#[tokio::test(start_paused = true)]
async fn proofs_stay_young_while_followers_are_lost() {
    let mut fleet = fleet_of(LARGE).await;
    sleep(Duration::from_secs(2)).await;
    let roots: Vec<usize> = (0..LARGE)
        .filter(|node| fleet.nodes[*node].engine.following().is_direct())
        .collect();
    assert!(roots.len() >= 2 && roots.len() < LARGE, "{roots:?}");
    fleet.kill(roots[0]);
    fleet
        .records
        .refuse_node(&fleet.nodes[roots[1]].name.clone(), true);
    let lost: HashSet<usize> = roots[..2].iter().copied().collect();
    let mut worst = Duration::ZERO;
    for _ in 0..400 {
        sleep(Duration::from_millis(20)).await;
        for (index, node) in fleet.nodes.iter().enumerate() {
            let proof = node.engine.following().configuration_complete_as_of();
            let age = proof.expect("proven once").elapsed();
            if !lost.contains(&index) {
                worst = worst.max(age);
            }
        }
    }
    assert!(worst < REVOCATION.mul_f64(0.6), "{worst:?}");
}

/// Connections of all tenants together stay within the share of their process.
#[tokio::test(start_paused = true)]
async fn connections_make_room_for_those_of_other_tenants() {
    let tenants: Vec<String> = (0..40).map(|index| format!("tenant-{index}")).collect();
    let keys: Vec<[&str; 1]> = tenants.iter().map(|name| [name.as_str()]).collect();
    let declared: Vec<(&str, &[&str])> = tenants
        .iter()
        .zip(&keys)
        .map(|(name, keys)| (name.as_str(), keys.as_slice()))
        .collect();
    let fleet = Fleet::start_with(&["zone-a"], 1, policy()).await;
    declare(&fleet, with_tenants(2, &declared)).await;
    for name in &tenants {
        let mut client = client(&fleet, 0, LEADER_DATABASE, name);
        let (id, reply) = client.send_with_id(read("x")).await;
        assert!(reply.outcome.is_ok(), "{reply:?}");
        let told = fleet.world.tenant_received(&id).expect("it has run");
        assert_eq!(told.as_deref(), Some(name.as_str()));
        assert!(fleet.world.open_connections("a") <= 34);
    }
}
