//! Tenants: authentication, isolation, and the time until a removed credential is refused.

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

/// Size of a fleet that uses homes.
const LARGE_FLEET: usize = 20;
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

/// Creates a configuration of `version` with `tenants` and their keys.
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

const TENANTS: &[(&str, &[&str])] = &[("one", &["key-1"]), ("two", &["key-2", "key-2b"])];

/// Starts a fleet whose configuration has two tenants.
async fn start_fleet(nodes: usize) -> Fleet {
    let fleet = Fleet::start_with(&["zone-a", "zone-b"], nodes, policy()).await;
    apply_configuration(&fleet, with_tenants(2, TENANTS)).await;
    fleet
}

/// Writes a configuration to the store and waits until every process uses it.
async fn apply_configuration(fleet: &Fleet, next: Configuration) {
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

/// Runs statements of both tenants at every process; returns how many of them were sent to a server
/// with the wrong tenant.
async fn count_wrong_tenants(fleet: &Fleet) -> usize {
    let mut statements: HashMap<String, &str> = HashMap::new();
    let nodes = fleet.nodes.len();
    for round in 0..4 {
        for node in 0..nodes {
            for (key, tenant) in [("key-1", "one"), ("key-2", "two"), ("key-2b", "two")] {
                let database =
                    [LEADER_DATABASE, BOUNDED_DATABASE, OWN_DATABASE][(round + node) % 3];
                let mut client = client(fleet, node, database, key);
                let (id, reply) = client.send_with_id(read("x")).await;
                assert!(reply.outcome.is_ok(), "{reply:?}");
                statements.insert(id, tenant);
                client.begin(false).await;
                let (id, reply) = client.send_with_id(write("x 1")).await;
                assert!(reply.outcome.is_ok(), "{reply:?}");
                statements.insert(id, tenant);
                assert!(client.commit().await.outcome.is_ok());
            }
        }
    }
    let is_wrong = |(id, tenant): &(&String, &&str)| {
        let received = fleet.world.tenant_received(id).expect("it has run");
        received.as_deref() != Some(**tenant)
    };
    statements.iter().filter(is_wrong).count()
}

/// Processes of a small fleet connect directly, those of a large one through homes.
#[rstest]
#[case::directly(3)]
#[case::through_homes(LARGE_FLEET)]
#[tokio::test(start_paused = true)]
async fn servers_are_told_the_tenant_of_each_statement(#[case] nodes: usize) {
    let fleet = start_fleet(nodes).await;
    assert_eq!(count_wrong_tenants(&fleet).await, 0);
}

#[tokio::test(start_paused = true)]
async fn a_home_that_confuses_tenants_is_detected() {
    let fleet = start_fleet(LARGE_FLEET).await;
    sleep(Duration::from_secs(2)).await;
    fleet
        .peers
        .swaps_tenant_names
        .store(true, Ordering::Relaxed);
    assert!(count_wrong_tenants(&fleet).await > 0);
}

#[tokio::test(start_paused = true)]
async fn an_unknown_credential_is_refused_without_a_retry_time() {
    let fleet = start_fleet(1).await;
    for shown in [None, Some(credential("key-3"))] {
        let engine = Arc::clone(&fleet.nodes[0].engine);
        let failure = Session::open(engine, LEADER_DATABASE.into(), shown).await;
        let failure = failure.expect_err("no tenant");
        assert_eq!(failure.reason, FailureReason::UnknownCredential);
        assert_eq!(failure.retry_after, None);
    }
}

#[tokio::test(start_paused = true)]
async fn sessions_wait_briefly_for_an_unknown_credential() {
    let fleet = start_fleet(1).await;
    let engine = Arc::clone(&fleet.nodes[0].engine);
    let next = with_tenants(3, &[("one", &["key-1", "key-new"])]);
    let opened = Session::open(engine, LEADER_DATABASE.into(), Some(credential("key-new")));
    fleet.configuration.send_replace(next);
    assert!(opened.await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_process_that_may_be_outdated_refuses_with_a_retry_time() {
    let fleet = start_fleet(1).await;
    fleet.records.set_fault(Fault::Refusing);
    // Longer than the time within which configuration changes must be applied.
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
    let fleet = start_fleet(1).await;
    let mut idle = client(&fleet, 0, LEADER_DATABASE, "key-1");
    let mut open = client(&fleet, 0, LEADER_DATABASE, "key-1");
    let mut kept = client(&fleet, 0, LEADER_DATABASE, "key-2");
    open.begin(false).await;
    assert!(open.write("x 1").await.outcome.is_ok());
    apply_configuration(&fleet, with_tenants(3, &TENANTS[1..])).await;
    let unknown = Some(FailureReason::UnknownCredential);
    assert_eq!(reason(&idle.read("x").await), unknown);
    assert_eq!(reason(&open.commit().await), unknown);
    assert!(kept.read("x").await.outcome.is_ok());
    assert!(fleet.world.server("a").log.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_transaction_does_not_pass_to_another_tenant() {
    let fleet = start_fleet(1).await;
    let mut client = client(&fleet, 0, LEADER_DATABASE, "key-1");
    client.begin(false).await;
    assert!(client.write("x 1").await.outcome.is_ok());
    let moved = with_tenants(3, &[("one", &[]), ("two", &["key-1", "key-2"])]);
    apply_configuration(&fleet, moved).await;
    let lost = Some(FailureReason::TransactionLost);
    assert_eq!(reason(&client.write("x 2").await), lost);
    assert!(fleet.world.server("a").log.is_empty());
}

/// After the revocation bound, no process runs statements with a removed credential, whatever keeps
/// it from learning of the removal. Until shortly before, clients with a valid credential are
/// served.
#[rstest]
#[case::refused_by_the_store(LARGE_FLEET, false)]
#[case::frozen_meanwhile(LARGE_FLEET, true)]
#[case::a_small_fleet_refused_by_the_store(3, false)]
#[tokio::test(start_paused = true)]
async fn a_process_without_updates_fails_closed(#[case] nodes: usize, #[case] frozen: bool) {
    let fleet = start_fleet(nodes).await;
    sleep(Duration::from_secs(2)).await;
    let mut clients: Vec<Client> = (0..nodes)
        .map(|node| client(&fleet, node, BOUNDED_DATABASE, "key-1"))
        .collect();
    let frozen_node = fleet.nodes[0].name.clone();
    fleet.records.set_fault(Fault::Refusing);
    fleet
        .configuration
        .send_replace(with_tenants(3, &TENANTS[1..]));
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

/// One store reader is killed and the store refuses another, so that neither has new proofs. The
/// other processes switch to other sources, and the age of their configuration stays well below the
/// bound.
#[tokio::test(start_paused = true)]
async fn proofs_stay_recent_while_store_readers_are_lost() {
    let mut fleet = start_fleet(LARGE_FLEET).await;
    sleep(Duration::from_secs(2)).await;
    let store_readers: Vec<usize> = (0..LARGE_FLEET)
        .filter(|node| fleet.nodes[*node].engine.following().is_direct())
        .collect();
    assert!(
        store_readers.len() >= 2 && store_readers.len() < LARGE_FLEET,
        "{store_readers:?}"
    );
    fleet.kill(store_readers[0]);
    fleet
        .records
        .refuse_node(&fleet.nodes[store_readers[1]].name.clone(), true);
    let lost: HashSet<usize> = store_readers[..2].iter().copied().collect();
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

/// The connections of all tenants together stay within the limit of the process.
#[tokio::test(start_paused = true)]
async fn connections_of_all_tenants_share_one_limit() {
    let tenants: Vec<String> = (0..40).map(|index| format!("tenant-{index}")).collect();
    let keys: Vec<[&str; 1]> = tenants.iter().map(|name| [name.as_str()]).collect();
    let declared: Vec<(&str, &[&str])> = tenants
        .iter()
        .zip(&keys)
        .map(|(name, keys)| (name.as_str(), keys.as_slice()))
        .collect();
    let fleet = Fleet::start_with(&["zone-a"], 1, policy()).await;
    apply_configuration(&fleet, with_tenants(2, &declared)).await;
    for name in &tenants {
        let mut client = client(&fleet, 0, LEADER_DATABASE, name);
        let (id, reply) = client.send_with_id(read("x")).await;
        assert!(reply.outcome.is_ok(), "{reply:?}");
        let received = fleet.world.tenant_received(&id).expect("it has run");
        assert_eq!(received.as_deref(), Some(name.as_str()));
        assert!(fleet.world.open_connections("a") <= 34);
    }
}
