//! A fleet in several regions: where reads go, and which processes are homes.

mod support;

use rstest::rstest;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::directory::{Departure, Member, MemberState, Role};
use stilequay_engine::evacuation::Evacuations;
use stilequay_engine::group::PositionSamples;
use stilequay_engine::home::placement::{
    CANDIDATES_PER_MEMBER, HOMES_PER_MEMBER, Peer, rank, rank_by_region,
};
use stilequay_engine::leadership::choice::{FenceSurvey, PreviousLeader};
use stilequay_engine::leadership::survey::{Response, SurveyedMember};
use stilequay_engine::names::{RegionName, ZoneName};
use stilequay_engine::ports::MemberReport;
use stilequay_engine::position::LogPosition;
use stilequay_engine::routing::MemberCost;
use stilequay_engine::topology::{Distance, Topology};
use stilequay_engine::verdict::Verdict;
use support::{BOUNDED_DATABASE, Fleet, LEADER_DATABASE, read_row, until};
use tokio::time::{Instant, sleep};

/// Zones of the processes, one process in each; the servers are in `zone-a`, `zone-b` and `zone-c`.
const ZONES: &[&str] = &["zone-a", "zone-b", "zone-c", "zone-d"];
/// The processes in the south.
const SOUTHERN: &[usize] = &[2, 3];

/// Two zones in each of two regions.
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

async fn start_fleet() -> Fleet {
    Fleet::start_in_regions(ZONES, ZONES.len(), None, regions).await
}

/// Returns the servers that run 40 bounded reads of one process. Between the reads are 100 ms, so
/// that measurements of the other servers expire.
async fn read_servers(fleet: &Fleet, node: usize) -> BTreeSet<String> {
    let mut client = fleet.session(node, BOUNDED_DATABASE);
    let mut servers = BTreeSet::new();
    for _ in 0..40 {
        servers.insert(read_row(&client.read("x").await).0);
        sleep(Duration::from_millis(100)).await;
    }
    servers
}

#[rstest]
#[case::in_the_zone_of_a_member(2, &["c"])]
#[case::in_a_zone_without_members(3, &["c"])]
#[case::in_the_leaders_zone(0, &["a", "b"])]
#[case::in_the_leaders_region(1, &["a", "b"])]
#[tokio::test(start_paused = true)]
async fn reads_stay_in_the_region(#[case] node: usize, #[case] allowed: &[&str]) {
    let fleet = start_fleet().await;
    // Slower than the default for members without measurements, so that those look better.
    for server in ["a", "b", "c"] {
        fleet.world.change(server, |server| server.slowdown = 8);
    }
    let servers = read_servers(&fleet, node).await;
    let outside = servers
        .iter()
        .any(|server| !allowed.contains(&server.as_str()));
    assert!(!outside, "{servers:?}");
}

/// If the region's member is slow, reads from the other zone of the region go to another region.
#[tokio::test(start_paused = true)]
async fn reads_leave_the_region_where_its_members_are_slow() {
    let fleet = start_fleet().await;
    fleet.world.change("c", |server| server.slowdown = 60);
    let servers = read_servers(&fleet, 3).await;
    assert!(
        servers.contains("a") || servers.contains("b"),
        "{servers:?}"
    );
}

#[rstest]
#[case::refuses(|server: &mut support::servers::Server| server.queue_full = true)]
#[case::is_silent(|server: &mut support::servers::Server| server.unresponsive = true)]
#[tokio::test(start_paused = true)]
async fn a_read_leaves_the_region_if_its_only_member(
    #[case] change: fn(&mut support::servers::Server),
) {
    let fleet = start_fleet().await;
    let mut client = fleet.session(2, BOUNDED_DATABASE);
    assert_eq!(read_row(&client.read("x").await).0, "c");
    fleet.world.change("c", change);
    assert_ne!(read_row(&client.read("x").await).0, "c");
}

/// While the regions are partitioned, reads continue as long as it is known which commits they must
/// show. After that they are refused as not run. No member is promoted.
#[tokio::test(start_paused = true)]
async fn a_region_that_is_cut_off_serves_reads_for_a_limited_time() {
    let fleet = start_fleet().await;
    let mut northern = fleet.session(0, LEADER_DATABASE);
    let mut southern = fleet.session(2, BOUNDED_DATABASE);
    assert!(northern.write("x 1").await.outcome.is_ok());
    assert!(southern.read("x").await.outcome.is_ok());
    let southern_nodes = SOUTHERN.iter().map(|node| fleet.nodes[*node].name.clone());
    for node in southern_nodes {
        fleet.records.refuse_node(&node, true);
        let northern_names = ["a", "b", "node-0", "node-1"];
        northern_names
            .iter()
            .for_each(|name| fleet.network().cut(&node, name));
    }
    ["a", "b"]
        .iter()
        .for_each(|server| fleet.network().cut(server, "c"));
    assert!(southern.read("x").await.outcome.is_ok());
    for _ in 0..30 {
        assert!(northern.write("x 1").await.outcome.is_ok());
        sleep(Duration::from_millis(100)).await;
    }
    let reply = southern.read("x").await;
    let failure = reply
        .outcome
        .expect_err("it is unknown which commits to show");
    assert_eq!(failure.verdict, Verdict::NotRun);
    fleet.network().heal();
    SOUTHERN
        .iter()
        .for_each(|node| fleet.records.refuse_node(&fleet.nodes[*node].name, false));
    sleep(Duration::from_secs(3)).await;
    assert!(southern.read("x").await.outcome.is_ok());
    assert!(fleet.world.promotions().is_empty());
}

fn member_in(zone: &str) -> Member {
    Member {
        id: Arc::from("i-1"),
        group: Arc::from("ledger"),
        address: SocketAddr::from(([10, 0, 0, 2], 5_432)),
        zone: Arc::from(zone),
        role: Role::Replica,
        slots: 3,
        cold_until: None,
        state: MemberState::Ready,
        changed: 0,
    }
}

/// Returns `count` processes in each of `zones`.
fn peers_in(zones: &[&str], count: usize) -> Vec<Peer> {
    let ids = zones
        .iter()
        .flat_map(|zone| (0..count).map(move |n| (*zone, n)));
    let peer = |(index, (zone, n)): (usize, (&str, usize))| Peer {
        node: Arc::from(format!("{zone}-{n}")),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(index).expect("few"))),
        zone: Arc::from(zone),
        weight: 1.0,
    };
    ids.enumerate().map(peer).collect()
}

fn topology() -> Topology {
    Topology::new(Arc::from("zone-a"), regions(""))
}

/// For 20 members of each zone, the last candidate is in the other zone of the same region.
#[test]
fn the_candidate_outside_the_zone_is_in_the_same_region() {
    let fleet = peers_in(ZONES, 6);
    for (zone, other) in [("zone-a", "zone-b"), ("zone-c", "zone-d")] {
        for number in 0..20 {
            let member = Member {
                id: Arc::from(format!("i-{number}")),
                ..member_in(zone)
            };
            let candidates = rank_by_region(&fleet, &member, &topology());
            let zones: Vec<&str> = candidates.iter().map(|peer| &*peer.zone).collect();
            assert_eq!(zones, [zone, zone, zone, other]);
        }
    }
}

/// If a member's region has no other zone, the last candidate is in another region. If the region
/// has no process, all candidates are.
#[test]
fn candidates_come_from_another_region_if_necessary() {
    let fleet = peers_in(&["zone-a", "zone-c"], 6);
    let candidates = rank_by_region(&fleet, &member_in("zone-a"), &topology());
    assert_eq!(&*candidates[CANDIDATES_PER_MEMBER - 1].zone, "zone-c");
    let fleet = peers_in(&["zone-c"], 6);
    let candidates = rank_by_region(&fleet, &member_in("zone-a"), &topology());
    assert_eq!(candidates.len(), CANDIDATES_PER_MEMBER);
}

/// Evidence readers are in the region of the members whose evidence they read, and so are the
/// candidates that replace them.
#[tokio::test(start_paused = true)]
async fn evidence_readers_are_in_the_region_of_the_members() {
    let fleet = start_fleet().await;
    let homes = fleet.nodes[0].engine.homes();
    until(|| homes.fleet_len() == ZONES.len()).await;
    for (region, zones) in [("north", &ZONES[..2]), ("south", &ZONES[2..])] {
        for block in 0..20 {
            let readers = homes.evidence_readers_near(block, Some(&Arc::from(region)));
            assert_eq!(readers.len(), HOMES_PER_MEMBER);
            assert!(readers.iter().all(|reader| zones.contains(&&*reader.zone)));
        }
    }
    let nowhere = homes.evidence_readers_near(0, Some(&Arc::from("nowhere")));
    assert_eq!(nowhere, homes.evidence_readers(0));
}

/// The previous leader `a` was in the north, as is `b`; `c` is in the south.
#[rstest]
#[case::the_same_region_for_equal_logs(7, 7, MemberState::Ready, "b")]
#[case::a_longer_log_first(7, 8, MemberState::Ready, "c")]
#[case::members_that_stay_first(7, 7, MemberState::Leaving(Departure::at(Instant::now())), "c")]
#[tokio::test(start_paused = true)]
async fn the_previous_leaders_region_breaks_ties_between_successors(
    #[case] northern: u64,
    #[case] southern: u64,
    #[case] northern_state: MemberState,
    #[case] expected: &str,
) {
    let member = |name: &str, state, response| SurveyedMember {
        member: Arc::new(Member {
            id: Arc::from(name),
            address: SocketAddr::from(([10, 0, 0, name.as_bytes()[0]], 5_432)),
            state,
            ..member_in(&format!("zone-{name}"))
        }),
        response,
        ended_at: None,
        answered_at: Instant::now(),
    };
    let paused = |received| {
        Response::Report(MemberReport {
            role: Role::Replica,
            term: 1,
            received: LogPosition::new(1, received),
            paused_for: 2,
        })
    };
    let members = [
        member(
            "a",
            MemberState::Ready,
            Response::Silent("no answer".to_owned()),
        ),
        member("b", northern_state, paused(northern)),
        member("c", MemberState::Ready, paused(southern)),
    ];
    let survey = FenceSurvey {
        members: &members,
        previous: &PreviousLeader {
            id: Some(Arc::from("a")),
            address: None,
        },
        former_targets: &[],
        term: 2,
        sync_replicas: 1,
        evacuations: &Evacuations::default(),
        known: None,
        samples: &PositionSamples::default(),
        topology: &topology(),
        are_entries_settled: true,
    };
    let chosen = survey.choose(Instant::now()).expect("one");
    assert_eq!(&*chosen, expected);
}

/// With a single region, or if none is known, candidates and costs are the same as without regions.
#[test]
fn a_single_region_has_no_effect() {
    let fleet = peers_in(ZONES, 6);
    let one = ZONES
        .iter()
        .map(|zone| (Arc::from(*zone), Arc::from("north")));
    let known = Topology::new(Arc::from("zone-a"), one.collect());
    let unknown = Topology::new(Arc::from("zone-a"), HashMap::new());
    for topology in [known, unknown] {
        for zone in ZONES {
            let member = member_in(zone);
            let plain = rank(&fleet, &member);
            assert_eq!(rank_by_region(&fleet, &member, &topology), plain);
        }
        assert_eq!(topology.distance("zone-b"), Distance::OwnRegion);
    }
    let cost = MemberCost {
        latency_ms: 15.0,
        distance: Distance::OwnRegion,
        ..MemberCost::default()
    };
    assert!((cost.total_ms() - 33.0).abs() < 1e-9);
}
