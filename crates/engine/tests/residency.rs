//! Home regions: at which members statements arrive, and through which processes they pass.

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

/// Processes of a fleet that needs homes.
const LARGE: usize = 20;
/// Zones of the processes; servers stand in `zone-a`, `zone-b` and `zone-c`.
const ZONES: &[&str] = &["zone-a", "zone-b", "zone-c", "zone-d"];
/// Zones of which the north has one only: the last candidate for its server is elsewhere.
const ONE_NORTHERN_ZONE: &[&str] = &["zone-a", "zone-c", "zone-d", "zone-d"];
const NORTH: &[&str] = &["north"];
const SOUTH: &[&str] = &["south"];
const BOTH: &[&str] = &["north", "south"];
/// The server in the south.
const SOUTHERN: &[&str] = &["c"];
/// Servers in the north.
const NORTHERN: &[&str] = &["a", "b"];

/// The regions as they are: two zones in each.
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

/// The same, but for a zone of servers that every process takes for a northern one.
fn regions_with_a_wrong_member(node: &str) -> HashMap<ZoneName, RegionName> {
    let mut regions = regions(node);
    regions.insert(Arc::from("zone-c"), Arc::from("north"));
    regions
}

/// The same, but for a zone of processes only.
fn regions_with_a_wrong_process(node: &str) -> HashMap<ZoneName, RegionName> {
    let mut regions = regions(node);
    regions.insert(Arc::from("zone-d"), Arc::from("north"));
    regions
}

fn residency(regions: &[&str]) -> Residency {
    Residency::in_regions(regions.iter().map(|region| Arc::from(*region)))
}

/// A configuration of `version` whose databases have these home regions.
fn with_homes(version: u64, homes: &[(&str, &[&str])]) -> Configuration {
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

/// All databases with the same home regions.
fn all_in(version: u64, regions: &'static [&'static str]) -> Configuration {
    let databases = [LEADER_DATABASE, BOUNDED_DATABASE, OWN_DATABASE];
    with_homes(version, &databases.map(|database| (database, regions)))
}

async fn fleet_of(nodes: usize, next: Configuration) -> Fleet {
    fleet_that_knows(ZONES, nodes, next, regions).await
}

/// A fleet in `zones` whose processes are told `regions`, with the configuration `next`.
async fn fleet_that_knows(
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
    // Connections that were opened before the fleet was known have ended.
    sleep(Duration::from_secs(3)).await;
    declare(&fleet, next).await;
    fleet
}

/// Puts a configuration into the store and waits until every process uses it.
async fn declare(fleet: &Fleet, next: Configuration) {
    let version = next.version;
    fleet.configuration.send_replace(next);
    let uses = |node: &Node| {
        let known = node.engine.configuration();
        known.is_some_and(|known| known.version == version)
    };
    until(|| fleet.nodes.iter().all(uses)).await;
}

/// The reason for which a request was refused that has not run.
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

/// A statement and the process to which its caller was connected.
type Asked = (usize, String);

/// Where statements that the north alone may see have been elsewhere: arrivals at servers, and
/// frames to processes other than the one that was asked.
fn outside(fleet: &Fleet, asked: &[Asked]) -> Vec<String> {
    let zone_of = |name: &str| {
        let node = fleet.nodes.iter().find(|node| node.name == name);
        node.expect("a process").engine.settings().zone.clone()
    };
    let mut found = Vec::new();
    for (node, id) in asked {
        let servers = fleet.world.servers_reached(id).into_iter();
        found.extend(servers.filter(|server| !NORTHERN.contains(&server.as_str())));
        let processes = fleet.peers.processes_reached(id).into_iter();
        let processes = processes.filter(|process| *process != fleet.nodes[*node].name);
        found.extend(processes.filter(|process| !is_northern(&zone_of(process))));
    }
    found
}

/// Processes of southern zones, by their place in the fleet.
fn southern(fleet: &Fleet) -> Vec<usize> {
    let is_southern = |node: &Node| !is_northern(&node.engine.settings().zone);
    let nodes = fleet.nodes.iter().enumerate();
    let southern = nodes.filter(|(_, node)| is_southern(node));
    southern.map(|(place, _)| place).collect()
}

/// The candidates for the server called `name`, by their place in the fleet.
fn candidates_of(fleet: &Fleet, name: &str) -> Vec<usize> {
    let directory = fleet.nodes[0].engine.directory();
    let member = directory.member(name).expect("a member");
    let candidates = fleet.nodes[0].engine.homes().candidates(member);
    let place = |peer: &Peer| fleet.nodes.iter().position(|node| *node.name == *peer.node);
    let places = candidates.iter().map(place);
    places.map(|place| place.expect("a process")).collect()
}

/// A southern process that is a candidate for no server.
fn southern_bystander(fleet: &Fleet) -> usize {
    let taken: Vec<usize> = ["a", "b", "c"]
        .iter()
        .flat_map(|name| candidates_of(fleet, name))
        .collect();
    let mut southern = southern(fleet).into_iter();
    let bystander = southern.find(|node| !taken.contains(node));
    bystander.expect("one")
}

#[rstest]
#[case::a_small_fleet(4)]
#[case::a_large_fleet(LARGE)]
#[tokio::test(start_paused = true)]
async fn statements_stay_in_the_home_region(#[case] nodes: usize) {
    let fleet = fleet_of(nodes, all_in(2, NORTH)).await;
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
    assert_eq!(outside(&fleet, &ids), Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn reads_go_to_the_only_member_of_a_home_region() {
    let fleet = fleet_of(4, all_in(2, SOUTH)).await;
    for node in 0..4 {
        let mut client = fleet.session(node, BOUNDED_DATABASE);
        assert_eq!(read_row(&client.read("x").await).0, "c");
    }
}

/// The leader stands elsewhere: nothing that only it can run is waited for, or sent.
#[rstest]
#[case::a_write(LEADER_DATABASE, write("x 1"))]
#[case::a_read_of_the_leader(LEADER_DATABASE, read("x"))]
#[case::a_write_where_replicas_read(OWN_DATABASE, write("x 1"))]
#[tokio::test(start_paused = true)]
async fn what_only_a_leader_elsewhere_can_run_is_refused_at_once(
    #[case] database: &str,
    #[case] statement: Statement,
) {
    let fleet = fleet_of(4, all_in(2, SOUTH)).await;
    let mut client = fleet.session(0, database);
    let asked = Instant::now();
    let (id, reply) = client.send_with_id(statement.clone()).await;
    assert_eq!(reason(&reply), Some(FailureReason::OutsideHomeRegions));
    assert!(asked.elapsed() < Duration::from_millis(1));
    client.begin(false).await;
    let (in_transaction, reply) = client.send_with_id(statement).await;
    assert_eq!(reason(&reply), Some(FailureReason::OutsideHomeRegions));
    for id in [id, in_transaction] {
        assert!(fleet.world.servers_reached(&id).is_empty());
    }
}

/// A region that no zone belongs to rules every member out, and nothing else is lost.
#[tokio::test(start_paused = true)]
async fn an_unknown_region_rules_out_its_own_database_only() {
    let homes: &[(&str, &[&str])] = &[(BOUNDED_DATABASE, &["nowhere"])];
    let fleet = fleet_of(4, with_homes(2, homes)).await;
    let asked = Instant::now();
    let reply = fleet.session(0, BOUNDED_DATABASE).read("x").await;
    assert_eq!(reason(&reply), Some(FailureReason::OutsideHomeRegions));
    assert!(asked.elapsed() < Duration::from_millis(1));
    let reply = fleet.session(0, LEADER_DATABASE).read("x").await;
    assert!(reply.outcome.is_ok());
}

#[rstest]
#[case::of_the_route(NORTH, BOTH, Some(NORTHERN))]
#[case::of_the_tenant(&[], NORTH, Some(NORTHERN))]
#[case::of_both(BOTH, SOUTH, Some(SOUTHERN))]
#[case::that_no_region_meets(NORTH, SOUTH, None)]
#[tokio::test(start_paused = true)]
async fn the_regions_of_route_and_tenant_bind_together(
    #[case] route: &[&str],
    #[case] tenant: &[&str],
    #[case] allowed: Option<&[&str]>,
) {
    let mut next = with_homes(2, &[(BOUNDED_DATABASE, route)]);
    let credential = Credential::from_key(b"key");
    next.credentials.insert(credential, Arc::from("one"));
    let tenant = Tenant {
        name: Arc::from("one"),
        rate: None,
        residency: residency(tenant),
    };
    next.tenants.insert(Arc::from("one"), Arc::new(tenant));
    let fleet = fleet_of(4, next).await;
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

/// All processes of the zone of a member are lost: its fourth candidate may stand elsewhere.
/// A process that may pass nothing on connects itself.
#[tokio::test(start_paused = true)]
async fn no_candidate_elsewhere_follows_where_homes_are_lost() {
    let next = all_in(2, NORTH);
    let mut fleet = fleet_that_knows(ONE_NORTHERN_ZONE, LARGE, next, regions).await;
    let node = southern_bystander(&fleet);
    let northern: Vec<usize> = (0..LARGE)
        .filter(|node| !southern(&fleet).contains(node))
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
    assert_eq!(outside(&fleet, &ids), Vec::<String>::new());
    for member in NORTHERN {
        assert!(fleet.world.open_connections(member) <= 2 * LARGE);
    }
}

/// Each candidate in the home region knows nothing of the member yet: a statement goes from one
/// to the next, and not on to the one elsewhere.
#[tokio::test(start_paused = true)]
async fn homes_that_do_not_know_the_member_are_not_followed_by_one_elsewhere() {
    let next = all_in(2, NORTH);
    let fleet = fleet_that_knows(ONE_NORTHERN_ZONE, LARGE, next, regions).await;
    let node = southern_bystander(&fleet);
    let southern = southern(&fleet);
    let candidates = candidates_of(&fleet, "a");
    let (elsewhere, northern): (Vec<usize>, Vec<usize>) = candidates
        .iter()
        .partition(|place| southern.contains(place));
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
    let asked = fleet.peers.processes_reached(&id);
    // One may have been passed over before, for a question of the process itself.
    assert!(asked.len() > 1, "{asked:?}");
    assert_eq!(outside(&fleet, &[(node, id)]), Vec::<String>::new());
}

/// A session is open: its next statement goes by the newest regions, wherever it stands.
#[tokio::test(start_paused = true)]
async fn a_change_binds_open_sessions() {
    let fleet = fleet_of(LARGE, all_in(2, SOUTH)).await;
    let node = southern_bystander(&fleet);
    let mut client = fleet.session(node, BOUNDED_DATABASE);
    assert_eq!(read_row(&client.read("x").await).0, "c");
    declare(&fleet, all_in(3, NORTH)).await;
    let mut ids = Vec::new();
    for _ in 0..5 {
        let (id, reply) = client.send_with_id(read("x")).await;
        assert!(reply.outcome.is_ok(), "{reply:?}");
        ids.push((node, id));
    }
    assert_eq!(outside(&fleet, &ids), Vec::<String>::new());
    declare(&fleet, all_in(4, BOTH)).await;
    assert!(client.read("x").await.outcome.is_ok());
}

/// What comes next in a transaction whose member's region was taken away.
#[rstest]
#[case::a_statement(read("x"))]
#[case::the_commit(Statement::Commit)]
#[tokio::test(start_paused = true)]
async fn an_open_transaction_ends_where_its_region_is_taken_away(
    #[case] next: Statement,
    #[values(4, LARGE)] nodes: usize,
) {
    let fleet = fleet_of(nodes, all_in(2, BOTH)).await;
    let mut client = fleet.session(nodes - 1, LEADER_DATABASE);
    client.begin(false).await;
    assert!(client.write("x 1").await.outcome.is_ok());
    declare(&fleet, all_in(3, SOUTH)).await;
    // It is not sent where the transaction is still open.
    client.set("region", "south").await;
    let (id, reply) = client.send_with_id(next).await;
    assert_eq!(reason(&reply), Some(FailureReason::OutsideHomeRegions));
    assert!(fleet.world.servers_reached(&id).is_empty());
    if client.session.state() != TransactionState::Idle {
        assert!(client.rollback().await.outcome.is_ok());
    }
    assert_eq!(client.session.state(), TransactionState::Idle);
    declare(&fleet, all_in(4, BOTH)).await;
    let (_, commits) = read_row(&client.read("x").await);
    assert_eq!(commits, 0, "the write was rolled back");
}

/// The member stays allowed, and the processes that the transaction may have gone through
/// do not.
#[tokio::test(start_paused = true)]
async fn an_open_transaction_ends_where_it_may_have_passed_a_region_taken_away() {
    let fleet = fleet_of(LARGE, all_in(2, BOTH)).await;
    let mut client = fleet.session(southern_bystander(&fleet), LEADER_DATABASE);
    client.begin(false).await;
    assert!(client.write("x 1").await.outcome.is_ok());
    declare(&fleet, all_in(3, NORTH)).await;
    let reply = client.read("x").await;
    assert_eq!(reason(&reply), Some(FailureReason::OutsideHomeRegions));
}

/// Opens transactions at `client`'s process until a read there has to wait; returns them.
async fn fill(fleet: &Fleet, node: usize) -> Vec<Client> {
    let mut open = Vec::new();
    for _ in 0..64 {
        let mut client = fleet.session(node, BOUNDED_DATABASE);
        client.begin(true).await;
        if client.read("x").await.outcome.is_err() {
            return open;
        }
        open.push(client);
    }
    panic!("connections do not end");
}

/// A statement waits for a connection, here or at a home, while the regions change.
#[rstest]
#[case::here(4)]
#[case::at_a_home(LARGE)]
#[tokio::test(start_paused = true)]
async fn a_statement_that_waits_is_not_sent_where_its_region_is_taken_away(#[case] nodes: usize) {
    let fleet = fleet_of(nodes, all_in(2, SOUTH)).await;
    let node = 0;
    let open = fill(&fleet, node).await;
    let mut client = fleet.session(node, BOUNDED_DATABASE);
    let waiting = tokio::spawn(async move { client.send_with_id(read("x")).await });
    sleep(Duration::from_millis(40)).await;
    assert!(!waiting.is_finished());
    declare(&fleet, all_in(3, NORTH)).await;
    drop(open);
    let (id, reply) = waiting.await.expect("a reply");
    assert!(reply.outcome.is_ok(), "{reply:?}");
    // It waited at a southern home while that was one.
    let servers = fleet.world.servers_reached(&id);
    let is_northern = |server: &String| NORTHERN.contains(&server.as_str());
    assert!(
        !servers.is_empty() && servers.iter().all(is_northern),
        "{servers:?}"
    );
}

/// All processes end and start anew: the regions are in the configuration, and nothing else.
#[tokio::test(start_paused = true)]
async fn statements_stay_in_the_home_region_after_a_restart_of_all() {
    let mut fleet = fleet_of(LARGE, all_in(2, NORTH)).await;
    (0..LARGE).for_each(|node| fleet.kill(node));
    sleep(Duration::from_secs(2)).await;
    let names: Vec<String> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    fleet.nodes = names.iter().map(|name| fleet.respawn_node(name)).collect();
    sleep(Duration::from_secs(5)).await;
    let mut ids = Vec::new();
    for node in 0..LARGE {
        let mut client = fleet.session(node, BOUNDED_DATABASE);
        let (id, reply) = client.send_with_id(read("x")).await;
        assert!(reply.outcome.is_ok(), "{reply:?}");
        ids.push((node, id));
    }
    assert_eq!(outside(&fleet, &ids), Vec::<String>::new());
}

/// The store is silent: processes go on with the regions that they know.
#[tokio::test(start_paused = true)]
async fn regions_bind_while_the_store_is_silent() {
    let fleet = fleet_of(LARGE, all_in(2, NORTH)).await;
    fleet.records.set_fault(Fault::Silent);
    let mut ids = Vec::new();
    for node in southern(&fleet) {
        let mut client = fleet.session(node, BOUNDED_DATABASE);
        let (id, reply) = client.send_with_id(read("x")).await;
        assert!(reply.outcome.is_ok(), "{reply:?}");
        ids.push((node, id));
    }
    assert_eq!(outside(&fleet, &ids), Vec::<String>::new());
}

/// A process that has not heard of a region's removal: the home that knows it refuses.
#[tokio::test(start_paused = true)]
async fn a_home_that_knows_newer_regions_refuses_as_not_run() {
    let fleet = fleet_of(LARGE, all_in(2, BOTH)).await;
    let node = southern_bystander(&fleet);
    let homes = &candidates_of(&fleet, "c")[..HOMES_PER_MEMBER];
    for home in homes {
        let engine = &fleet.nodes[*home].engine;
        assert!(engine.set_configuration(all_in(3, NORTH)));
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

/// Statements of all kinds, while members and homes fail at random; where they have been
/// outside the north, and how many were served.
async fn ask_under_faults(fleet: &mut Fleet, seed: u64, kills: bool) -> (Vec<String>, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let callers = southern(fleet);
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
    (outside(fleet, &ids), served)
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn nothing_leaves_the_home_region_under_random_faults(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(4, LARGE)] nodes: usize,
) {
    let zones = match nodes {
        LARGE => ONE_NORTHERN_ZONE,
        _ => ZONES,
    };
    let mut fleet = fleet_that_knows(zones, nodes, all_in(2, NORTH), regions).await;
    let (outside, served) = ask_under_faults(&mut fleet, seed, nodes == LARGE).await;
    assert_eq!(outside, Vec::<String>::new());
    assert!(served > 40, "{served}");
}

/// What happens to the members in the north before a read.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// None: the read goes to the nearest.
    Nothing,
    /// The first that is asked is silent: the read is sent to a second one.
    Silence,
    /// They refuse: the read goes on to another.
    Refusals,
}

/// Planted mistake: processes take a member elsewhere for one in the home region. It is found
/// by whichever way leads there.
#[rstest]
#[case::a_first_try(Trouble::Nothing, 2)]
#[case::a_second_try_of_a_silent_read(Trouble::Silence, 0)]
#[case::a_retry(Trouble::Refusals, 0)]
#[tokio::test(start_paused = true)]
async fn a_member_that_is_wrongly_allowed_is_found(#[case] trouble: Trouble, #[case] node: usize) {
    for (regions, is_planted) in [
        (regions as fn(&str) -> _, false),
        (regions_with_a_wrong_member, true),
    ] {
        let fleet = fleet_that_knows(ZONES, 4, all_in(2, NORTH), regions).await;
        let mut client = fleet.session(node, BOUNDED_DATABASE);
        assert!(client.read("x").await.outcome.is_ok());
        for server in NORTHERN {
            fleet.world.change(server, |server| match trouble {
                Trouble::Nothing => {}
                Trouble::Silence => server.unresponsive = true,
                Trouble::Refusals => server.queue_full = true,
            });
        }
        let (id, reply) = client.send_with_id(read("x")).await;
        let outside = outside(&fleet, &[(node, id)]);
        assert_eq!(!outside.is_empty(), is_planted, "{trouble:?}: {reply:?}");
    }
}

/// Planted mistake: a process takes others for ones in the home region. It is found once these
/// follow as homes.
#[tokio::test(start_paused = true)]
async fn a_home_that_is_wrongly_allowed_is_found() {
    for (regions, is_planted) in [
        (regions as fn(&str) -> _, false),
        (regions_with_a_wrong_process, true),
    ] {
        let next = all_in(2, NORTH);
        let mut fleet = fleet_that_knows(ONE_NORTHERN_ZONE, LARGE, next, regions).await;
        let node = southern_bystander(&fleet);
        let northern: Vec<usize> = (0..LARGE)
            .filter(|node| !southern(&fleet).contains(node))
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
        assert_eq!(!outside(&fleet, &ids).is_empty(), is_planted);
    }
}
