//! Home regions: which members statements reach and which processes forward them.

mod support;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stilequay_engine::configuration::{Configuration, Route};
use stilequay_engine::directory::Directory;
use stilequay_engine::home::placement::{CANDIDATES_PER_MEMBER, HOMES_PER_MEMBER, Peer};
use stilequay_engine::names::{RegionName, ZoneName};
use stilequay_engine::residency::Residency;
use stilequay_engine::statement::{Reply, Statement, TransactionState};
use stilequay_engine::tenant::{Credential, Tenant, TenantPolicy};
use stilequay_engine::verdict::{FailureReason, Verdict};
use support::records::Fault;
use support::{
    BOUNDED_DATABASE, Client, Fleet, LEADER_DATABASE, Node, OWN_DATABASE, configuration, read,
    read_row, until, write,
};
use tokio::time::{Instant, sleep};

/// Size of a fleet that uses homes.
const LARGE_FLEET: usize = 20;
/// Zones of the processes; the servers are in `zone-a`, `zone-b` and `zone-c`.
const ZONES: &[&str] = &["zone-a", "zone-b", "zone-c", "zone-d"];
/// Zones with only one in the north, so that the last candidate for its server is in the south.
const ONE_NORTHERN_ZONE: &[&str] = &["zone-a", "zone-c", "zone-d", "zone-d"];
const NORTH: &[&str] = &["north"];
const SOUTH: &[&str] = &["south"];
const BOTH: &[&str] = &["north", "south"];
/// Servers in the south.
const SOUTHERN: &[&str] = &["c"];
/// Servers in the north.
const NORTHERN: &[&str] = &["a", "b"];

/// The correct regions, with two zones in each.
fn regions(_: &str) -> HashMap<ZoneName, RegionName> {
    let of_zone = [
        ("zone-a", "north"),
        ("zone-b", "north"),
        ("zone-c", "south"),
        ("zone-d", "south"),
    ];
    let names = |(zone, region): &(&str, &str)| (Arc::from(*zone), Arc::from(*region));
    of_zone.iter().map(names).collect()
}

/// The same, except that a southern zone with a server is assigned to the north.
fn regions_with_misplaced_servers(node: &str) -> HashMap<ZoneName, RegionName> {
    let mut regions = regions(node);
    regions.insert(Arc::from("zone-c"), Arc::from("north"));
    regions
}

/// The same, except that a southern zone with processes only is assigned to the north.
fn regions_with_misplaced_processes(node: &str) -> HashMap<ZoneName, RegionName> {
    let mut regions = regions(node);
    regions.insert(Arc::from("zone-d"), Arc::from("north"));
    regions
}

fn residency(regions: &[&str]) -> Residency {
    Residency::in_regions(regions.iter().map(|region| Arc::from(*region)))
}

/// Creates a configuration of `version` with the home regions of each database in `homes`.
fn with_home_regions(version: u64, homes: &[(&str, &[&str])]) -> Configuration {
    let mut next = Configuration {
        version,
        ..configuration(1)
    };
    for (database, regions) in homes {
        let route = next.routes.get_mut(*database).expect("a route");
        *route = Arc::new(Route {
            residency: residency(regions),
            ..Route::clone(route)
        });
    }
    next
}

/// Creates a configuration that restricts all databases to the same home regions.
fn restrict_all_to(version: u64, regions: &'static [&'static str]) -> Configuration {
    let databases = [LEADER_DATABASE, BOUNDED_DATABASE, OWN_DATABASE];
    with_home_regions(version, &databases.map(|database| (database, regions)))
}

async fn start_fleet(nodes: usize, next: Configuration) -> Fleet {
    start_fleet_with_regions(ZONES, nodes, next, regions).await
}

/// Starts a fleet in `zones` whose processes are configured with `regions`, and applies `next`.
async fn start_fleet_with_regions(
    zones: &'static [&'static str],
    nodes: usize,
    next: Configuration,
    regions: fn(&str) -> HashMap<ZoneName, RegionName>,
) -> Fleet {
    let tenants = Some(TenantPolicy {
        revocation: Duration::from_secs(5),
        rates: None,
    });
    let tenants = tenants.filter(|_| !next.tenants.is_empty());
    let fleet = Fleet::start_in_regions(zones, nodes, tenants, regions).await;
    fleet.peers.records_frames.store(true, Ordering::Relaxed);
    until(|| {
        fleet.nodes.iter().all(|node| {
            let homes = node.engine.homes();
            homes.fleet_len() == nodes && node.engine.processes() == nodes
        })
    })
    .await;
    // Until direct connections opened before the fleet was known are closed.
    sleep(Duration::from_secs(3)).await;
    apply_configuration(&fleet, next).await;
    fleet
}

/// Writes a configuration to the store and waits until every process uses it.
async fn apply_configuration(fleet: &Fleet, next: Configuration) {
    let version = next.version;
    fleet.configuration.send_replace(next);
    let uses = |node: &Node| {
        let known = node.engine.configuration();
        known.is_some_and(|known| known.version == version)
    };
    until(|| fleet.nodes.iter().all(uses)).await;
}

/// Returns the reason if a request was refused; its verdict must be not run.
fn reason(reply: &Reply) -> Option<FailureReason> {
    let failure = reply.outcome.as_ref().err()?;
    assert_eq!(failure.verdict, Verdict::NotRun);
    Some(failure.reason.clone())
}

fn is_northern(zone: &str) -> bool {
    regions("")
        .get(zone)
        .is_some_and(|region| &**region == "north")
}

/// The index of the process to which the client was connected, and the ID of the statement.
type SentStatement = (usize, String);

/// Returns all servers and processes outside the north that received one of `statements`, except the
/// processes to which their clients were connected.
fn residency_violations(fleet: &Fleet, statements: &[SentStatement]) -> Vec<String> {
    let zone_of = |name: &str| {
        let node = fleet.nodes.iter().find(|node| node.name == name);
        node.expect("a process").engine.settings().zone.clone()
    };
    let mut found = Vec::new();
    for (node, id) in statements {
        let servers = fleet.world.servers_reached(id).into_iter();
        found.extend(servers.filter(|server| !NORTHERN.contains(&server.as_str())));
        let processes = fleet.peers.processes_reached(id).into_iter();
        let processes = processes.filter(|process| *process != fleet.nodes[*node].name);
        found.extend(processes.filter(|process| !is_northern(&zone_of(process))));
    }
    found
}

/// Returns the indices of the processes in southern zones.
fn southern_nodes(fleet: &Fleet) -> Vec<usize> {
    let is_southern = |node: &Node| !is_northern(&node.engine.settings().zone);
    let nodes = fleet.nodes.iter().enumerate();
    let southern = nodes.filter(|(_, node)| is_southern(node));
    southern.map(|(index, _)| index).collect()
}

/// Returns the indices of the candidates for the server `name`.
fn candidates_of(fleet: &Fleet, name: &str) -> Vec<usize> {
    let directory = fleet.nodes[0].engine.directory();
    let member = directory.member(name).expect("a member");
    let candidates = fleet.nodes[0].engine.homes().candidates(member);
    let index = |peer: &Peer| fleet.nodes.iter().position(|node| *node.name == *peer.node);
    let indices = candidates.iter().map(index);
    indices.map(|index| index.expect("a process")).collect()
}

/// Returns a southern process that is not a candidate for any server.
fn southern_uninvolved_node(fleet: &Fleet) -> usize {
    let taken: Vec<usize> = ["a", "b", "c"]
        .iter()
        .flat_map(|name| candidates_of(fleet, name))
        .collect();
    let mut southern = southern_nodes(fleet).into_iter();
    let uninvolved = southern.find(|node| !taken.contains(node));
    uninvolved.expect("one")
}

#[rstest]
#[case::a_small_fleet(4)]
#[case::a_large_fleet(LARGE_FLEET)]
#[tokio::test(start_paused = true)]
async fn statements_stay_in_the_home_region(#[case] nodes: usize) {
    let fleet = start_fleet(nodes, restrict_all_to(2, NORTH)).await;
    let mut ids = Vec::new();
    for node in 0..nodes {
        for database in [LEADER_DATABASE, BOUNDED_DATABASE, OWN_DATABASE] {
            let mut client = fleet.session(node, database);
            client.begin(false).await;
            let statements = [write("x 1"), read("x"), Statement::Commit, write("x 2")];
            for statement in statements.into_iter().chain([read("x"), read("x")]) {
                let (id, reply) = client.send_with_id(statement).await;
                assert!(reply.outcome.is_ok(), "{reply:?}");
                assert!(!fleet.world.servers_reached(&id).is_empty());
                ids.push((node, id));
            }
        }
    }
    assert_eq!(residency_violations(&fleet, &ids), Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn reads_go_to_the_only_member_of_a_home_region() {
    let fleet = start_fleet(4, restrict_all_to(2, SOUTH)).await;
    for node in 0..4 {
        let mut client = fleet.session(node, BOUNDED_DATABASE);
        assert_eq!(read_row(&client.read("x").await).0, "c");
    }
}

/// If the leader is outside the home regions, statements that only it can run are neither sent nor
/// queued.
#[rstest]
#[case::a_write(LEADER_DATABASE, write("x 1"))]
#[case::a_read_of_the_leader(LEADER_DATABASE, read("x"))]
#[case::a_write_where_replicas_read(OWN_DATABASE, write("x 1"))]
#[tokio::test(start_paused = true)]
async fn statements_for_a_leader_elsewhere_are_refused_at_once(
    #[case] database: &str,
    #[case] statement: Statement,
) {
    let fleet = start_fleet(4, restrict_all_to(2, SOUTH)).await;
    let mut client = fleet.session(0, database);
    let requested_at = Instant::now();
    let (id, reply) = client.send_with_id(statement.clone()).await;
    assert_eq!(reason(&reply), Some(FailureReason::OutsideHomeRegions));
    assert!(requested_at.elapsed() < Duration::from_millis(1));
    client.begin(false).await;
    let (in_transaction, reply) = client.send_with_id(statement).await;
    assert_eq!(reason(&reply), Some(FailureReason::OutsideHomeRegions));
    for id in [id, in_transaction] {
        assert!(fleet.world.servers_reached(&id).is_empty());
    }
}

/// A home region without zones excludes every member, and affects no other database.
#[tokio::test(start_paused = true)]
async fn an_unknown_region_affects_only_its_own_database() {
    let homes: &[(&str, &[&str])] = &[(BOUNDED_DATABASE, &["nowhere"])];
    let fleet = start_fleet(4, with_home_regions(2, homes)).await;
    let requested_at = Instant::now();
    let reply = fleet.session(0, BOUNDED_DATABASE).read("x").await;
    assert_eq!(reason(&reply), Some(FailureReason::OutsideHomeRegions));
    assert!(requested_at.elapsed() < Duration::from_millis(1));
    let reply = fleet.session(0, LEADER_DATABASE).read("x").await;
    assert!(reply.outcome.is_ok());
}

#[rstest]
#[case::of_the_route(NORTH, BOTH, Some(NORTHERN))]
#[case::of_the_tenant(&[], NORTH, Some(NORTHERN))]
#[case::of_both(BOTH, SOUTH, Some(SOUTHERN))]
#[case::without_a_common_region(NORTH, SOUTH, None)]
#[tokio::test(start_paused = true)]
async fn the_regions_of_route_and_tenant_are_intersected(
    #[case] route: &[&str],
    #[case] tenant: &[&str],
    #[case] allowed: Option<&[&str]>,
) {
    let mut next = with_home_regions(2, &[(BOUNDED_DATABASE, route)]);
    let credential = Credential::from_key(b"key");
    next.credentials.insert(credential, Arc::from("one"));
    let tenant = Tenant {
        name: Arc::from("one"),
        rate: None,
        residency: residency(tenant),
    };
    next.tenants.insert(Arc::from("one"), Arc::new(tenant));
    let fleet = start_fleet(4, next).await;
    for node in &fleet.nodes {
        let mut client = Client::open_with(&node.engine, BOUNDED_DATABASE, Some(credential));
        let (id, reply) = client.send_with_id(read("x")).await;
        let servers = fleet.world.servers_reached(&id);
        match allowed {
            Some(allowed) => {
                assert!(reply.outcome.is_ok());
                assert!(
                    servers
                        .iter()
                        .all(|server| allowed.contains(&server.as_str()))
                );
            }
            None => {
                assert_eq!(reason(&reply), Some(FailureReason::OutsideHomeRegions));
                assert!(servers.is_empty());
            }
        }
    }
}

/// If all processes in a member's zone are lost, its fourth candidate may be in another region. A
/// process that may not forward to any candidate connects directly.
#[tokio::test(start_paused = true)]
async fn no_candidate_elsewhere_replaces_lost_homes() {
    let next = restrict_all_to(2, NORTH);
    let mut fleet = start_fleet_with_regions(ONE_NORTHERN_ZONE, LARGE_FLEET, next, regions).await;
    let node = southern_uninvolved_node(&fleet);
    let northern: Vec<usize> = (0..LARGE_FLEET)
        .filter(|node| !southern_nodes(&fleet).contains(node))
        .collect();
    northern.into_iter().for_each(|node| fleet.kill(node));
    let mut client = fleet.session(node, LEADER_DATABASE);
    let mut ids = Vec::new();
    let mut completed = 0;
    for _ in 0..20 {
        let (id, reply) = client.send_with_id(read("x")).await;
        completed += usize::from(reply.outcome.is_ok());
        ids.push((node, id));
    }
    assert!(completed >= 18, "{completed}");
    assert_eq!(residency_violations(&fleet, &ids), Vec::<String>::new());
    for member in NORTHERN {
        assert!(fleet.world.open_connections(member) <= 2 * LARGE_FLEET);
    }
}

/// If no candidate in the home region knows the member yet, a statement is forwarded from one to
/// the next, but not to the candidate in another region.
#[tokio::test(start_paused = true)]
async fn no_candidate_elsewhere_replaces_homes_that_lack_the_member() {
    let next = restrict_all_to(2, NORTH);
    let fleet = start_fleet_with_regions(ONE_NORTHERN_ZONE, LARGE_FLEET, next, regions).await;
    let node = southern_uninvolved_node(&fleet);
    let southern = southern_nodes(&fleet);
    let candidates = candidates_of(&fleet, "a");
    let (elsewhere, northern): (Vec<usize>, Vec<usize>) = candidates
        .iter()
        .partition(|index| southern.contains(index));
    assert_eq!(
        (northern.len(), elsewhere.len()),
        (CANDIDATES_PER_MEMBER - 1, 1)
    );
    for candidate in &northern {
        fleet.nodes[*candidate].abort();
        let engine = &fleet.nodes[*candidate].engine;
        engine.set_directory(Directory::default());
    }
    let mut client = fleet.session(node, LEADER_DATABASE);
    let (id, reply) = client.send_with_id(read("x")).await;
    assert!(reply.outcome.is_ok() || reason(&reply).is_some());
    let forwarded_to = fleet.peers.processes_reached(&id);
    // One may be skipped, since it already failed for a request of the process itself.
    assert!(forwarded_to.len() > 1, "{forwarded_to:?}");
    assert_eq!(
        residency_violations(&fleet, &[(node, id)]),
        Vec::<String>::new()
    );
}

/// The next statement of an open session follows the newest regions.
#[tokio::test(start_paused = true)]
async fn a_change_binds_open_sessions() {
    let fleet = start_fleet(LARGE_FLEET, restrict_all_to(2, SOUTH)).await;
    let node = southern_uninvolved_node(&fleet);
    let mut client = fleet.session(node, BOUNDED_DATABASE);
    assert_eq!(read_row(&client.read("x").await).0, "c");
    apply_configuration(&fleet, restrict_all_to(3, NORTH)).await;
    let mut ids = Vec::new();
    for _ in 0..5 {
        let (id, reply) = client.send_with_id(read("x")).await;
        assert!(reply.outcome.is_ok(), "{reply:?}");
        ids.push((node, id));
    }
    assert_eq!(residency_violations(&fleet, &ids), Vec::<String>::new());
    apply_configuration(&fleet, restrict_all_to(4, BOTH)).await;
    assert!(client.read("x").await.outcome.is_ok());
}

/// An open transaction is lost if the region of its member is removed, whatever is sent next.
#[rstest]
#[case::a_statement(read("x"))]
#[case::the_commit(Statement::Commit)]
#[tokio::test(start_paused = true)]
async fn an_open_transaction_is_lost_if_its_region_is_removed(
    #[case] next: Statement,
    #[values(4, LARGE_FLEET)] nodes: usize,
) {
    let fleet = start_fleet(nodes, restrict_all_to(2, BOTH)).await;
    let mut client = fleet.session(nodes - 1, LEADER_DATABASE);
    client.begin(false).await;
    assert!(client.write("x 1").await.outcome.is_ok());
    apply_configuration(&fleet, restrict_all_to(3, SOUTH)).await;
    // The session value is not sent to the member on which the transaction is still open.
    client.set("region", "south").await;
    let (id, reply) = client.send_with_id(next).await;
    assert_eq!(reason(&reply), Some(FailureReason::OutsideHomeRegions));
    assert!(fleet.world.servers_reached(&id).is_empty());
    if client.session.state() != TransactionState::Idle {
        assert!(client.rollback().await.outcome.is_ok());
    }
    assert_eq!(client.session.state(), TransactionState::Idle);
    apply_configuration(&fleet, restrict_all_to(4, BOTH)).await;
    let (_, commits) = read_row(&client.read("x").await);
    assert_eq!(commits, 0, "the write was rolled back");
}

/// The member is still allowed, but processes that may have forwarded the transaction are not.
#[tokio::test(start_paused = true)]
async fn an_open_transaction_ends_if_its_homes_are_no_longer_allowed() {
    let fleet = start_fleet(LARGE_FLEET, restrict_all_to(2, BOTH)).await;
    let mut client = fleet.session(southern_uninvolved_node(&fleet), LEADER_DATABASE);
    client.begin(false).await;
    assert!(client.write("x 1").await.outcome.is_ok());
    apply_configuration(&fleet, restrict_all_to(3, NORTH)).await;
    let reply = client.read("x").await;
    assert_eq!(reason(&reply), Some(FailureReason::OutsideHomeRegions));
}

/// Opens transactions at `node` until a read has to wait for a connection; returns their clients.
async fn use_all_connections(fleet: &Fleet, node: usize) -> Vec<Client> {
    let mut open = Vec::new();
    for _ in 0..64 {
        let mut client = fleet.session(node, BOUNDED_DATABASE);
        client.begin(true).await;
        if client.read("x").await.outcome.is_err() {
            return open;
        }
        open.push(client);
    }
    panic!("reads never have to wait");
}

/// The regions change while a statement waits for a connection, at its process or at a home.
#[rstest]
#[case::here(4)]
#[case::at_a_home(LARGE_FLEET)]
#[tokio::test(start_paused = true)]
async fn a_waiting_statement_is_not_sent_to_a_removed_region(#[case] nodes: usize) {
    let fleet = start_fleet(nodes, restrict_all_to(2, SOUTH)).await;
    let node = 0;
    let open = use_all_connections(&fleet, node).await;
    let mut client = fleet.session(node, BOUNDED_DATABASE);
    let waiting = tokio::spawn(async move { client.send_with_id(read("x")).await });
    sleep(Duration::from_millis(40)).await;
    assert!(!waiting.is_finished());
    apply_configuration(&fleet, restrict_all_to(3, NORTH)).await;
    drop(open);
    let (id, reply) = waiting.await.expect("a reply");
    assert!(reply.outcome.is_ok(), "{reply:?}");
    // It waited at a southern home while the south was allowed.
    let servers = fleet.world.servers_reached(&id);
    let is_northern = |server: &String| NORTHERN.contains(&server.as_str());
    assert!(
        !servers.is_empty() && servers.iter().all(is_northern),
        "{servers:?}"
    );
}

/// After a restart of all processes, the regions are known only from the configuration.
#[tokio::test(start_paused = true)]
async fn statements_stay_in_the_home_region_after_a_fleet_restart() {
    let mut fleet = start_fleet(LARGE_FLEET, restrict_all_to(2, NORTH)).await;
    (0..LARGE_FLEET).for_each(|node| fleet.kill(node));
    sleep(Duration::from_secs(2)).await;
    let names: Vec<String> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    fleet.nodes = names.iter().map(|name| fleet.respawn_node(name)).collect();
    sleep(Duration::from_secs(5)).await;
    let mut ids = Vec::new();
    for node in 0..LARGE_FLEET {
        let mut client = fleet.session(node, BOUNDED_DATABASE);
        let (id, reply) = client.send_with_id(read("x")).await;
        assert!(reply.outcome.is_ok(), "{reply:?}");
        ids.push((node, id));
    }
    assert_eq!(residency_violations(&fleet, &ids), Vec::<String>::new());
}

/// While the store doesn't answer, processes apply the regions that they know.
#[tokio::test(start_paused = true)]
async fn regions_apply_while_the_store_is_silent() {
    let fleet = start_fleet(LARGE_FLEET, restrict_all_to(2, NORTH)).await;
    fleet.records.set_fault(Fault::Silent);
    let mut ids = Vec::new();
    for node in southern_nodes(&fleet) {
        let mut client = fleet.session(node, BOUNDED_DATABASE);
        let (id, reply) = client.send_with_id(read("x")).await;
        assert!(reply.outcome.is_ok(), "{reply:?}");
        ids.push((node, id));
    }
    assert_eq!(residency_violations(&fleet, &ids), Vec::<String>::new());
}

/// If a process has not learned that a region was removed, a home that has refuses its statements.
#[tokio::test(start_paused = true)]
async fn a_home_with_newer_regions_refuses_with_verdict_not_run() {
    let fleet = start_fleet(LARGE_FLEET, restrict_all_to(2, BOTH)).await;
    let node = southern_uninvolved_node(&fleet);
    let homes = &candidates_of(&fleet, "c")[..HOMES_PER_MEMBER];
    for home in homes {
        let engine = &fleet.nodes[*home].engine;
        assert!(engine.set_configuration(restrict_all_to(3, NORTH)));
    }
    let mut client = fleet.session(node, BOUNDED_DATABASE);
    let mut ids = Vec::new();
    for _ in 0..10 {
        let (id, reply) = client.send_with_id(read("x")).await;
        assert!(reply.outcome.is_ok() || reason(&reply).is_some());
        ids.push((node, id));
    }
    let servers = ids
        .iter()
        .flat_map(|(_, id)| fleet.world.servers_reached(id));
    assert!(
        servers
            .into_iter()
            .all(|server| NORTHERN.contains(&server.as_str()))
    );
}

/// Runs statements of all kinds while members and homes fail at random. Returns the residency
/// violations and the number of statements that succeeded.
async fn run_with_random_faults(fleet: &mut Fleet, seed: u64, kills: bool) -> (Vec<String>, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let callers = southern_nodes(fleet);
    let (mut ids, mut served) = (Vec::new(), 0);
    for round in 0..60 {
        let server = NORTHERN[rng.random_range(0..NORTHERN.len())];
        match rng.random_range(0..4) {
            0 => fleet.world.change(server, |s| s.unresponsive = true),
            1 => fleet.world.change(server, |s| s.queue_full = true),
            2 => fleet.world.change(server, |s| s.slowdown = 30),
            _ => {}
        }
        if kills && round % 20 == 10 {
            let homes = candidates_of(fleet, server);
            let home = homes[rng.random_range(0..HOMES_PER_MEMBER)];
            if !callers.contains(&home) {
                fleet.kill(home);
            }
        }
        let node = callers[rng.random_range(0..callers.len())];
        let database = [LEADER_DATABASE, BOUNDED_DATABASE, OWN_DATABASE][round % 3];
        let mut client = fleet.session(node, database);
        if rng.random_bool(0.3) {
            client.begin(rng.random_bool(0.5)).await;
        }
        for statement in [write("x 1"), read("x"), read("x"), Statement::Commit] {
            let (id, reply) = client.send_with_id(statement).await;
            served += usize::from(reply.outcome.is_ok());
            ids.push((node, id));
        }
        for server in NORTHERN {
            fleet.world.change(server, |s| {
                s.unresponsive = false;
                s.queue_full = false;
                s.slowdown = 1;
            });
        }
    }
    (residency_violations(fleet, &ids), served)
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn nothing_leaves_the_home_region_under_random_faults(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(4, LARGE_FLEET)] nodes: usize,
) {
    let zones = match nodes {
        LARGE_FLEET => ONE_NORTHERN_ZONE,
        _ => ZONES,
    };
    let mut fleet =
        start_fleet_with_regions(zones, nodes, restrict_all_to(2, NORTH), regions).await;
    let (violations, served) = run_with_random_faults(&mut fleet, seed, nodes == LARGE_FLEET).await;
    assert_eq!(violations, Vec::<String>::new());
    assert!(served > 40, "{served}");
}

/// Fault of the northern members before a read.
#[derive(Debug, Clone, Copy)]
enum MemberFault {
    /// The read goes to the nearest member.
    None,
    /// The members don't answer: the read is also sent to a second one.
    Silent,
    /// The members refuse: the read is retried at another one.
    Busy,
}

/// Injected bug: processes consider a member in another region to be in the home region. The
/// violation is detected on each path by which a read can get there.
#[rstest]
#[case::a_first_try(MemberFault::None, 2)]
#[case::a_second_try_of_a_silent_read(MemberFault::Silent, 0)]
#[case::a_retry(MemberFault::Busy, 0)]
#[tokio::test(start_paused = true)]
async fn a_member_outside_the_region_is_detected(#[case] fault: MemberFault, #[case] node: usize) {
    for (regions, is_injected) in [
        (regions as fn(&str) -> _, false),
        (regions_with_misplaced_servers, true),
    ] {
        let fleet = start_fleet_with_regions(ZONES, 4, restrict_all_to(2, NORTH), regions).await;
        let mut client = fleet.session(node, BOUNDED_DATABASE);
        assert!(client.read("x").await.outcome.is_ok());
        for server in NORTHERN {
            fleet.world.change(server, |server| match fault {
                MemberFault::None => {}
                MemberFault::Silent => server.unresponsive = true,
                MemberFault::Busy => server.queue_full = true,
            });
        }
        let (id, reply) = client.send_with_id(read("x")).await;
        let violations = residency_violations(&fleet, &[(node, id)]);
        assert_eq!(!violations.is_empty(), is_injected, "{fault:?}: {reply:?}");
    }
}

/// Injected bug: processes in another region are considered to be in the home region. The violation
/// is detected once these replace the homes.
#[tokio::test(start_paused = true)]
async fn a_home_outside_the_region_is_detected() {
    for (regions, is_injected) in [
        (regions as fn(&str) -> _, false),
        (regions_with_misplaced_processes, true),
    ] {
        let next = restrict_all_to(2, NORTH);
        let mut fleet =
            start_fleet_with_regions(ONE_NORTHERN_ZONE, LARGE_FLEET, next, regions).await;
        let node = southern_uninvolved_node(&fleet);
        let northern: Vec<usize> = (0..LARGE_FLEET)
            .filter(|node| !southern_nodes(&fleet).contains(node))
            .collect();
        northern.into_iter().for_each(|node| fleet.kill(node));
        let is_wrong = |node: &usize| &*fleet.nodes[*node].engine.settings().zone == "zone-d";
        let follow = |name: &&&str| candidates_of(&fleet, name).iter().any(is_wrong);
        let followed = NORTHERN.iter().find(follow);
        let followed = followed.expect("a server whose fourth candidate is of that zone");
        let others = NORTHERN.iter().filter(|name| *name != followed);
        others.for_each(|name| fleet.world.crash(name));
        let mut ids = Vec::new();
        for _ in 0..10 {
            let mut client = fleet.session(node, BOUNDED_DATABASE);
            ids.push((node, client.send_with_id(read("x")).await.0));
        }
        assert_eq!(!residency_violations(&fleet, &ids).is_empty(), is_injected);
    }
}
