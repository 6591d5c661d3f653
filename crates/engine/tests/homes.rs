//! Fleets with more processes than can connect to a member directly: homes, and following the
//! store through other processes.

mod support;

use rstest::rstest;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stilequay_engine::directory::{Departure, Directory, Member};
use stilequay_engine::engine::{Engine, StopPhase};
use stilequay_engine::home::placement::{
    CANDIDATES_PER_MEMBER, Capacity, HOMES_PER_MEMBER, Peer, StoreSource, block_of, rank,
};
use stilequay_engine::names::GroupName;
use stilequay_engine::pool::MemberPool;
use stilequay_engine::ports::{PutOutcome, RecordStore};
use stilequay_engine::residency::Residency;
use stilequay_engine::statement::{Access, Reply};
use stilequay_engine::verdict::Verdict;
use support::history::History;
use support::telemetry::Counters;
use support::{
    BOUNDED_DATABASE, Client, Fleet, GROUP, LEADER_DATABASE, Node, OWN_DATABASE, bytes,
    configuration, read_row, until,
};
use tokio::time::{Instant, sleep, timeout};

/// Fleet size at which the 34 connections that a member accepts are too few for direct connections.
const LARGE_FLEET: usize = 20;

/// Maximum number of requests for evidence on behalf of one write: one per pause of 40 ms within its
/// timeout of 800 ms.
const MAX_EVIDENCE_REQUESTS: u64 = 20;

async fn start_large_fleet() -> Fleet {
    start_large_fleet_in(&["zone-a"]).await
}

/// Waits until only the two processes assigned to read the store, and the holder of the promotion
/// lease, read it directly; returns the processes that do.
async fn wait_for_store_readers(fleet: &Fleet) -> Vec<usize> {
    let is_direct = |node: &Node| node.engine.following().is_direct();
    let role_of = |node: &Node| {
        let zone = &node.engine.settings().zone;
        let holds = fleet.lease().holder.as_str() == node.name;
        (
            node.engine.homes().store_source(zone) == StoreSource::Store,
            holds,
        )
    };
    until(|| {
        fleet.nodes.iter().all(|node| match role_of(node) {
            (true, _) => is_direct(node),
            (false, true) => true,
            (false, false) => !is_direct(node),
        })
    })
    .await;
    let store_readers = fleet.nodes.iter().filter(|node| role_of(node).0);
    assert_eq!(store_readers.count(), 2);
    let nodes = fleet.nodes.iter().enumerate();
    let direct = nodes.filter(|(_, node)| is_direct(node));
    direct.map(|(index, _)| index).collect()
}

/// Starts a large fleet whose processes are assigned to `zones` round-robin.
async fn start_large_fleet_in(zones: &'static [&'static str]) -> Fleet {
    let fleet = Fleet::start_in(zones, LARGE_FLEET).await;
    until(|| {
        fleet
            .nodes
            .iter()
            .all(|node| node.engine.processes() == LARGE_FLEET)
    })
    .await;
    until(|| {
        fleet
            .nodes
            .iter()
            .all(|node| node.engine.homes().fleet().len() == LARGE_FLEET)
    })
    .await;
    // Until direct connections opened before the fleet was known are closed.
    sleep(Duration::from_secs(3)).await;
    fleet
}

fn member(fleet: &Fleet, name: &str) -> Arc<Member> {
    let directory = fleet.nodes[0].engine.directory();
    Arc::clone(directory.member(name).expect("a member"))
}

/// Returns the indices of the homes of the member `name`.
fn homes_of(fleet: &Fleet, name: &str) -> Vec<usize> {
    let member = member(fleet, name);
    let candidates = fleet.nodes[0].engine.homes().candidates(&member);
    let homes = candidates.iter().take(HOMES_PER_MEMBER);
    let index = |peer: &Peer| fleet.nodes.iter().position(|node| *node.name == *peer.node);
    homes.map(|peer| index(peer).expect("a process")).collect()
}

/// Returns a process that is not a home of any member.
fn uninvolved_node(fleet: &Fleet) -> usize {
    let taken: HashSet<usize> = ["a", "b", "c"]
        .iter()
        .flat_map(|name| homes_of(fleet, name))
        .collect();
    (0..LARGE_FLEET)
        .find(|node| !taken.contains(node))
        .expect("one")
}

/// Returns the pool through which sessions without home regions reach `member`.
fn session_pool(engine: &Engine, member: &Arc<Member>) -> Arc<MemberPool> {
    let topology = &engine.settings().topology;
    let anywhere = Residency::ANYWHERE.admit(topology, Arc::clone(member));
    let pool = engine.session_pool(&anywhere.expect("allowed"));
    Arc::clone(pool.get())
}

fn verdict(reply: &Reply) -> Option<Verdict> {
    reply.outcome.as_ref().err().map(|failure| failure.verdict)
}

#[rstest]
#[case::six(16, Some(2), 6, true)]
#[case::eight(32, Some(2), 8, true)]
#[case::nine_with_few_connections(16, Some(2), 9, false)]
#[case::ninety(63, Some(3), 90, false)]
#[case::many_connections_and_few_slots(225, Some(3), 68, false)]
#[case::unknown_slots(225, None, 68, true)]
#[case::the_target(100, Some(8), 6_100, false)]
fn direct_connections_depend_on_the_capacity(
    #[case] connections: usize,
    #[case] slots: Option<usize>,
    #[case] processes: usize,
    #[case] suffices: bool,
) {
    let capacity = Capacity { connections, slots };
    assert_eq!(capacity.allows_direct_connections(processes), suffices);
}

#[rstest]
#[case::a_share_of_few(63, Some(3), 28)]
#[case::no_more_than_the_slots_need(225, Some(3), 30)]
#[case::never_less_than_two(7, Some(3), 2)]
fn connections_per_home_are_limited(
    #[case] connections: usize,
    #[case] slots: Option<usize>,
    #[case] share: usize,
) {
    assert_eq!(
        Capacity { connections, slots }.connections_per_home(),
        share
    );
}

/// A member that claims to run more statements than can be counted is limited by its connections.
#[rstest]
#[case::largest(usize::MAX)]
#[case::wraps_to_zero(1 << 63)]
#[case::just_overflows(usize::MAX / 6 + 1)]
fn a_number_of_slots_that_overflows_limits_nothing(#[case] slots: usize) {
    let capacity = Capacity {
        connections: 63,
        slots: Some(slots),
    };
    assert!(capacity.allows_direct_connections(31));
    assert!(!capacity.allows_direct_connections(32));
    assert_eq!(capacity.connections_per_home(), 28);
}

fn peers(count: usize) -> Vec<Peer> {
    let peer = |index: usize| Peer {
        node: Arc::from(format!("node-{index}")),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(index).expect("small"))),
        zone: Arc::from(format!("zone-{}", ["a", "b", "c"][index % 3])),
        weight: 1.0,
    };
    (0..count).map(peer).collect()
}

#[tokio::test(start_paused = true)]
async fn homes_are_near_their_member_and_change_little_with_the_fleet() {
    let fleet = Fleet::start(1).await;
    let member = member(&fleet, "a");
    let all = peers(90);
    let ranked = rank(&all, &member);
    assert_eq!(ranked.len(), CANDIDATES_PER_MEMBER);
    // The last candidate is in another zone and replaces the homes if the member's zone is cut off.
    let (outside, inside) = ranked.split_last().expect("candidates");
    assert!(inside.iter().all(|peer| peer.zone == member.zone));
    assert_ne!(outside.zone, member.zone);
    // The loss of a process that is not a candidate changes nothing.
    let others: Vec<Peer> = all
        .iter()
        .filter(|p| !ranked.contains(p))
        .cloned()
        .collect();
    for gone in &others {
        let left: Vec<Peer> = all.iter().filter(|p| *p != gone).cloned().collect();
        assert_eq!(rank(&left, &member), ranked);
    }
    // Without the first candidate, the others move up by one.
    let left: Vec<Peer> = all.iter().filter(|p| **p != ranked[0]).cloned().collect();
    let after = rank(&left, &member);
    assert_eq!(
        after[..CANDIDATES_PER_MEMBER - 2],
        ranked[1..CANDIDATES_PER_MEMBER - 1]
    );
    assert_eq!(after[CANDIDATES_PER_MEMBER - 1], *outside);
    // Missing candidates are taken from other zones, or from the member's zone.
    let of_zone = |zone: &str, count| {
        let peers = all.iter().filter(|peer| &*peer.zone == zone);
        peers.take(count).cloned().collect::<Vec<Peer>>()
    };
    let few = [of_zone("zone-a", 1), of_zone("zone-b", 9)].concat();
    let zones = |ranked: &[Peer]| {
        ranked
            .iter()
            .map(|p| p.zone.to_string())
            .collect::<Vec<_>>()
    };
    let helped = rank(&few, &member);
    assert_eq!(zones(&helped), ["zone-a", "zone-b", "zone-b", "zone-b"]);
    let alone = rank(&of_zone("zone-a", 9), &member);
    assert_eq!(zones(&alone), ["zone-a"; CANDIDATES_PER_MEMBER]);
    assert!(rank(&[], &member).is_empty());
}

/// Each group is in exactly one block. The groups of a block are adjacent in sorted order, so that
/// one store call returns all of them.
#[test]
fn each_group_is_in_one_block() {
    let mut names: Vec<GroupName> = (0..9_500)
        .map(|n| Arc::from(format!("group-{n}")))
        .collect();
    names.sort();
    let blocks = names.iter().map(|name| block_of(&names, name));
    let blocks: Vec<_> = blocks.map(|block| block.expect("one")).collect();
    for (name, block) in names.iter().zip(&blocks) {
        assert!(block.groups.contains(name) && block.groups.len() <= 64);
    }
    let indices: HashSet<usize> = blocks.iter().map(|block| block.index).collect();
    assert_eq!(indices.len(), 9_500_usize.div_ceil(64));
    assert_eq!(block_of(&names, "unknown"), None);
    assert_eq!(block_of(&[], "unknown"), None);
}

/// One store call refreshes the evidence of all groups of a block.
#[tokio::test(start_paused = true)]
async fn one_store_call_refreshes_the_evidence_of_a_block() {
    let fleet = Fleet::start(1).await;
    let engine = &fleet.nodes[0].engine;
    let leader = Member::clone(&member(&fleet, "a"));
    let leaders = (0..130).map(|n| Member {
        id: Arc::from(format!("leader-{n}")),
        group: Arc::from(format!("group-{n:03}")),
        ..leader.clone()
    });
    let now = Departure::at(Instant::now());
    let directory = Directory::default().with_entries(u64::MAX, leaders.collect(), now);
    let names = directory.group_names().clone();
    fleet.nodes[0].abort();
    engine.set_directory(directory);
    let calls = fleet.records.calls();
    let since = Instant::now();
    for name in names.iter() {
        let group = engine.group(name);
        let refreshed = engine.terms().refresh(engine, &group, since).await;
        assert_eq!(refreshed, Ok(()));
        assert!(group.evidence() >= Some(since));
    }
    assert_eq!(fleet.records.calls() - calls, 3);
}

/// A process with four times the cores is assigned four times as many tasks.
#[tokio::test(start_paused = true)]
async fn tasks_are_assigned_in_proportion_to_weight() {
    let fleet = Fleet::start(1).await;
    let member = member(&fleet, "a");
    let weighted = peers(90).into_iter().enumerate().map(|(index, peer)| Peer {
        weight: if index < 15 { 0.5 } else { 0.125 },
        ..peer
    });
    let weighted: Vec<Peer> = weighted.collect();
    let is_strong = |peer: &Peer| peer.weight > 0.3;
    let first = (0..4_000).map(|index| {
        let member = Member {
            id: Arc::from(format!("member-{index}")),
            ..Member::clone(&member)
        };
        rank(&weighted, &member)[0].clone()
    });
    let share = first.filter(is_strong).count() as f64 / 4_000.0;
    // Of the zone's 30 processes, 5 have four times the weight of the others: 20 of 45.
    assert!((share - 20.0 / 45.0).abs() < 0.03, "{share}");
}

#[tokio::test(start_paused = true)]
async fn a_large_fleet_is_served_through_a_few_connections() {
    let fleet = start_large_fleet().await;
    let homes: HashSet<usize> = ["a", "b", "c"]
        .iter()
        .flat_map(|name| homes_of(&fleet, name))
        .collect();
    for node in 0..LARGE_FLEET {
        let mut own = fleet.session(node, OWN_DATABASE);
        assert!(own.write("x 1").await.outcome.is_ok());
        assert!(own.read("x").await.outcome.is_ok());
        let mut leader = fleet.session(node, LEADER_DATABASE);
        assert_eq!(read_row(&leader.read("x").await).0, "a");
        let engine = &fleet.nodes[node].engine;
        let connected = engine.pools().iter().any(|pool| pool.load().in_use > 0);
        assert!(!connected || homes.contains(&node));
        if !homes.contains(&node) {
            let directory = engine.directory();
            let members = directory.members();
            assert!(
                members
                    .into_iter()
                    .all(|m| session_pool(engine, m).is_remote())
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn session_state_and_transactions_work_through_a_home() {
    let fleet = start_large_fleet().await;
    let node = uninvolved_node(&fleet);
    let mut first = fleet.session(node, LEADER_DATABASE);
    let mut second = fleet.session(node, LEADER_DATABASE);
    for (client, value) in [(&mut first, "one"), (&mut second, "two")] {
        assert!(client.set("colour", value).await.outcome.is_ok());
        let prepared = client
            .prepare("s", Access::Read, &format!("shape-{value}"))
            .await;
        assert!(prepared.outcome.is_ok());
    }
    for _ in 0..3 {
        for (client, value) in [(&mut first, "one"), (&mut second, "two")] {
            let reply = client.execute("s", "x").await;
            assert_eq!(read_row(&reply).0, "a");
            let expected = format!(" colour={value}");
            assert_eq!(reply.rows[1..], [support::bytes(&expected)]);
        }
    }
    // Writes of a transaction are not visible before its commit.
    let before = fleet.world.server("a").log.len();
    assert!(first.begin(false).await.outcome.is_ok());
    assert!(first.write("x 1").await.outcome.is_ok());
    assert!(first.set("colour", "three").await.outcome.is_ok());
    assert!(first.write("x 2").await.outcome.is_ok());
    assert_eq!(fleet.world.server("a").log.len(), before);
    assert!(second.write("x 3").await.outcome.is_ok());
    assert!(first.commit().await.outcome.is_ok());
    let after = fleet.world.server("a").log.len();
    assert!(after > before + 1);
    // A transaction that is rolled back, or whose client disconnects, has no effect.
    assert!(first.begin(false).await.outcome.is_ok());
    assert!(first.write("x 4").await.outcome.is_ok());
    assert!(first.rollback().await.outcome.is_ok());
    assert!(second.begin(false).await.outcome.is_ok());
    assert!(second.write("x 5").await.outcome.is_ok());
    drop(second);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.world.server("a").log.len(), after);
    assert!(first.write("x 6").await.outcome.is_ok());
}

/// How a home fails while it runs a write.
#[derive(Debug, Clone, Copy)]
enum Loss {
    Killed,
    Frozen,
    Cut,
}

/// A write forwarded to a home that fails is reported as `MayHaveRun` and is not retried.
#[rstest]
#[case::killed(Loss::Killed)]
#[case::frozen(Loss::Frozen)]
#[case::cut_off(Loss::Cut)]
#[tokio::test(start_paused = true)]
async fn a_write_forwarded_to_a_failed_home_may_have_run(#[case] loss: Loss) {
    let mut fleet = start_large_fleet().await;
    let node = uninvolved_node(&fleet);
    let homes = homes_of(&fleet, "a");
    let name = fleet.nodes[node].name.clone();
    let mut client = fleet.session(node, OWN_DATABASE);
    assert!(client.write("x 0").await.outcome.is_ok());
    let before = fleet.world.server("a").log.len();
    fleet.world.change("a", |server| server.slowdown = 50);
    let writing = tokio::spawn(async move {
        let reply = client.write("x 1").await;
        (client, reply)
    });
    sleep(Duration::from_millis(100)).await;
    for home in homes {
        let home_name = fleet.nodes[home].name.clone();
        match loss {
            Loss::Killed => fleet.kill(home),
            Loss::Frozen => fleet.freeze(&home_name, true),
            Loss::Cut => fleet.network().cut(&name, &home_name),
        }
    }
    let (mut client, reply) = writing.await.expect("the write ends");
    assert_eq!(verdict(&reply), Some(Verdict::MayHaveRun), "{reply:?}");
    fleet.world.change("a", |server| server.slowdown = 1);
    // Other processes are the homes now.
    let served = async {
        while client.write("x 2").await.outcome.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let served = timeout(Duration::from_secs(2), served).await;
    served.expect("a write is acknowledged");
    let log = fleet.world.server("a").log;
    let ids: HashSet<&String> = log.iter().map(|entry| &entry.1).collect();
    assert_eq!(ids.len(), log.len(), "a write took effect twice");
    assert!(log.len() > before);
}

/// A stopping home finishes its open transactions and receives no new statements.
#[tokio::test(start_paused = true)]
async fn a_stopping_home_hands_over_to_the_next() {
    let fleet = start_large_fleet().await;
    let node = uninvolved_node(&fleet);
    let mut open = fleet.session(node, OWN_DATABASE);
    assert!(open.begin(false).await.outcome.is_ok());
    assert!(open.write("x 1").await.outcome.is_ok());
    for home in homes_of(&fleet, "a") {
        fleet.nodes[home].engine.advance_stop(StopPhase::Leaving);
    }
    sleep(Duration::from_millis(50)).await;
    let mut other = fleet.session(node, OWN_DATABASE);
    let began = Instant::now();
    assert!(other.write("x 2").await.outcome.is_ok());
    assert!(began.elapsed() < Duration::from_millis(200));
    assert!(open.commit().await.outcome.is_ok());
}

/// A process that can't reach any other process connects to the member directly.
#[tokio::test(start_paused = true)]
async fn a_process_that_reaches_no_home_connects_directly() {
    let fleet = start_large_fleet().await;
    let node = uninvolved_node(&fleet);
    let name = fleet.nodes[node].name.clone();
    let others = fleet.nodes.iter().filter(|other| other.name != name);
    others.for_each(|other| fleet.network().cut(&name, &other.name));
    let mut client = fleet.session(node, OWN_DATABASE);
    let served = async {
        while client.write("x 1").await.outcome.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(3), served)
        .await
        .expect("a write is acknowledged");
}

/// Homes schedule the statements of all processes together: the highest rank first, and no more
/// than the member can run.
#[tokio::test(start_paused = true)]
async fn homes_limit_the_load_of_the_whole_fleet() {
    let fleet = start_large_fleet().await;
    fleet.world.set_slot_limits(3, 24);
    fleet.world.change("a", |server| server.slowdown = 10);
    let callers = fleet.nodes.iter().flat_map(|node| {
        (0..3).map(|_| {
            let mut client = Client::open(&node.engine, LEADER_DATABASE);
            tokio::spawn(async move {
                let mut served = 0;
                for _ in 0..10 {
                    served += usize::from(client.read("x").await.outcome.is_ok());
                }
                served
            })
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut served = 0;
    for caller in callers {
        served += caller.await.expect("it ends");
    }
    assert!(served > 0);
    // Statements beyond the member's capacity were not sent to it: its queue never filled up.
    let in_use = |node: usize| {
        let engine = &fleet.nodes[node].engine;
        let pool = engine.pool(&member(&fleet, "a"));
        pool.limit()
    };
    let limits: usize = homes_of(&fleet, "a").into_iter().map(in_use).sum();
    assert!(limits <= 28, "{limits}");
}

/// Most processes of a large fleet don't read the store, but learn of changes through others.
#[tokio::test(start_paused = true)]
async fn a_large_fleet_follows_the_store_through_a_few_processes() {
    let mut fleet = start_large_fleet().await;
    let direct = |fleet: &Fleet| -> Vec<usize> {
        let nodes = fleet.nodes.iter().enumerate();
        let direct = nodes.filter(|(_, node)| node.engine.following().is_direct());
        direct.map(|(index, _)| index).collect()
    };
    let store_readers = wait_for_store_readers(&fleet).await;
    let mut newer = configuration(1);
    newer.version = 7;
    for node in &store_readers {
        fleet.nodes[*node].engine.set_configuration(newer.clone());
    }
    let known = |fleet: &Fleet, version| {
        let versions = fleet.nodes.iter().map(|node| node.engine.configuration());
        versions.flatten().filter(|c| c.version == version).count()
    };
    let began = Instant::now();
    until(|| known(&fleet, 7) == LARGE_FLEET).await;
    assert!(began.elapsed() < Duration::from_millis(100));
    // The homes detect the crash, and all processes learn of the new leader.
    let history = Arc::new(History::default());
    let node = uninvolved_node(&fleet);
    history.spawn_caller(&fleet.nodes[node].engine, OWN_DATABASE, 0);
    sleep(Duration::from_secs(1)).await;
    fleet.world.crash("a");
    until(|| {
        let mut views = fleet
            .nodes
            .iter()
            .map(|n| n.engine.group(&Arc::from(GROUP)).view());
        views.all(|view| view.epoch == 1 && view.confirmed)
    })
    .await;
    // Without the store readers, the other processes read the store themselves.
    for node in &store_readers {
        fleet.kill(*node);
    }
    let others = LARGE_FLEET - store_readers.len();
    until(|| {
        direct(&fleet)
            .iter()
            .filter(|n| !store_readers.contains(n))
            .count()
            == others
    })
    .await;
}

/// Processes that the store refuses are soon no longer used as sources.
#[tokio::test(start_paused = true)]
async fn sources_refused_by_the_store_are_soon_abandoned() {
    let fleet = start_large_fleet().await;
    let is_direct = |node: usize| fleet.nodes[node].engine.following().is_direct();
    let store_readers = wait_for_store_readers(&fleet).await;
    for node in &store_readers {
        let name = &fleet.nodes[*node].name;
        fleet.records.refuse_node(name, true);
    }
    let began = Instant::now();
    until(|| (0..LARGE_FLEET).all(is_direct)).await;
    assert!(began.elapsed() < Duration::from_secs(4));
}

/// A home that is frozen during a change of leader and resumes with outdated state violates no
/// consistency guarantee.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_home_that_resumes_with_stale_state_breaks_no_guarantee(#[values(0, 1)] which: usize) {
    let fleet = start_large_fleet().await;
    let history = Arc::new(History::default());
    let node = uninvolved_node(&fleet);
    for (index, database) in [LEADER_DATABASE, OWN_DATABASE, BOUNDED_DATABASE]
        .iter()
        .enumerate()
    {
        history.spawn_caller(&fleet.nodes[node].engine, database, index);
        let other = homes_of(&fleet, "b")[0];
        history.spawn_caller(&fleet.nodes[other].engine, database, index + 3);
    }
    sleep(Duration::from_secs(1)).await;
    let home = fleet.nodes[homes_of(&fleet, "a")[which]].name.clone();
    fleet.freeze(&home, true);
    fleet.world.crash("a");
    until(|| !fleet.world.promotions().is_empty()).await;
    sleep(Duration::from_secs(2)).await;
    fleet.freeze(&home, false);
    fleet.world.restart("a");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(history.violations(&fleet.world), Vec::<String>::new());
    let (commits, reads) = history.counts();
    assert!(commits > 20 && reads > 20, "{commits} {reads}");
}

/// A leader that is cut off together with its whole zone, which includes its homes, is replaced
/// as quickly as one that crashes.
#[tokio::test(start_paused = true)]
async fn a_leader_that_is_cut_off_with_its_zone_is_replaced_quickly() {
    let fleet = start_large_fleet_in(&["zone-a", "zone-b", "zone-c"]).await;
    let history = Arc::new(History::default());
    let is_inside = |node: usize| fleet.nodes[node].engine.settings().zone.as_ref() == "zone-a";
    let outside: Vec<usize> = (0..LARGE_FLEET).filter(|node| !is_inside(*node)).collect();
    for (index, node) in outside.iter().enumerate() {
        history.spawn_caller(&fleet.nodes[*node].engine, OWN_DATABASE, index);
    }
    sleep(Duration::from_secs(1)).await;
    let zone: Vec<String> = (0..LARGE_FLEET)
        .filter(|node| is_inside(*node))
        .map(|node| fleet.nodes[node].name.clone())
        .chain(["a".to_owned()])
        .collect();
    let rest = outside.iter().map(|node| fleet.nodes[*node].name.clone());
    for other in rest.chain(["b".to_owned(), "c".to_owned()]) {
        zone.iter()
            .for_each(|inside| fleet.network().cut(inside, &other));
    }
    for name in zone.iter().filter(|name| *name != "a") {
        fleet.records.refuse_node(name, true);
    }
    let began = Instant::now();
    until(|| !fleet.world.promotions().is_empty()).await;
    let took = began.elapsed();
    assert!(took < Duration::from_secs(3), "{took:?}");
    assert_eq!(history.violations(&fleet.world), Vec::<String>::new());
}

/// After a restart of the whole fleet, the records that the processes wrote before remain valid:
/// none is written again, so no process is notified of changes.
#[tokio::test(start_paused = true)]
async fn a_fleet_restart_writes_no_records() {
    let mut fleet = start_large_fleet().await;
    let names: Vec<String> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    let versions = |fleet: &Fleet| -> Vec<u64> {
        let records = names
            .iter()
            .map(|name| fleet.records.get(&format!("node/{name}")));
        records.map(|record| record.expect("one").version).collect()
    };
    let before = versions(&fleet);
    (0..LARGE_FLEET).for_each(|node| fleet.kill(node));
    let calls = fleet.records.calls();
    for (index, name) in names.iter().enumerate() {
        fleet.nodes[index] = fleet.respawn_node(name);
    }
    let knows_fleet = |node: &Node| node.engine.processes() == LARGE_FLEET;
    until(|| fleet.nodes.iter().all(knows_fleet)).await;
    sleep(Duration::from_millis(900)).await;
    assert_eq!(versions(&fleet), before);
    // Each process reads the records once and watches them until it knows its sources.
    let each = (fleet.records.calls() - calls) / LARGE_FLEET as u64;
    assert!(each <= 4, "{each}");
}

/// A process that falls back to the store resumes from the version that it got from other
/// processes, without reading whole tables again.
#[tokio::test(start_paused = true)]
async fn falling_back_to_the_store_resumes_from_the_known_version() {
    let mut fleet = start_large_fleet().await;
    let is_direct = |fleet: &Fleet, node: usize| fleet.nodes[node].engine.following().is_direct();
    let store_readers = wait_for_store_readers(&fleet).await;
    let before = fleet.records.full_reads();
    store_readers.iter().for_each(|node| fleet.kill(*node));
    let others = (0..LARGE_FLEET).filter(|node| !store_readers.contains(node));
    let others: Vec<usize> = others.collect();
    until(|| others.iter().all(|node| is_direct(&fleet, *node))).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.records.full_reads(), before);
    // They learn of later writes.
    let key = "node/another";
    let store = fleet.records.for_node("another");
    let put = store.put_if(key, 0, bytes("x")).await;
    assert!(matches!(put, Ok(PutOutcome::Stored(_))));
    let knows = |node: &usize| {
        let others = fleet.nodes[*node].engine.terms().subscribe_other_records();
        others.borrow().contains_key(key)
    };
    until(|| others.iter().all(knows)).await;
}

/// A home that has just started and has no directory yet runs no statements for other processes.
/// They use the next candidate and don't count this as a failure of the member.
#[tokio::test(start_paused = true)]
async fn a_home_that_does_not_know_the_member_is_skipped() {
    let fleet = start_large_fleet().await;
    let new = homes_of(&fleet, "a")[0];
    fleet.nodes[new].abort();
    fleet.nodes[new].engine.set_directory(Directory::default());
    for node in (0..LARGE_FLEET).filter(|node| *node != new) {
        let mut client = fleet.session(node, OWN_DATABASE);
        for _ in 0..3 {
            let reply = client.write("x 1").await;
            assert!(reply.outcome.is_ok(), "{node}: {reply:?}");
        }
    }
}

/// An evidence reader that is cut off from all processes delays them only briefly: they switch to
/// the next candidate.
#[tokio::test(start_paused = true)]
async fn an_unreachable_evidence_reader_is_skipped() {
    let fleet = start_large_fleet().await;
    let reader = fleet.nodes[0].engine.homes().evidence_readers(0)[0]
        .node
        .to_string();
    let homes = homes_of(&fleet, "a");
    // A home of the leader, which has no other source of evidence to ask first.
    let home = homes.iter().find(|home| fleet.nodes[**home].name != reader);
    let mut client = fleet.session(*home.expect("one"), LEADER_DATABASE);
    // Without writes, all evidence comes from the store. The link to the reader is open by now.
    assert!(slow_reads(&mut client, 20).await <= 1);
    for other in fleet.nodes.iter().filter(|node| node.name != reader) {
        fleet.network().cut(&reader, &other.name);
    }
    fleet.records.refuse_node(&reader, true);
    let slow = slow_reads(&mut client, 60).await;
    assert!(slow <= 5, "{slow}");
}

/// Runs `count` reads with pauses of 100 ms; returns how many took longer than 60 ms.
async fn slow_reads(client: &mut Client, count: usize) -> usize {
    let mut slow = 0;
    for _ in 0..count {
        let began = Instant::now();
        assert!(client.read("x").await.outcome.is_ok());
        slow += usize::from(began.elapsed() > Duration::from_millis(60));
        sleep(Duration::from_millis(100)).await;
    }
    slow
}

/// An answer about the group must not close the link, which the transaction runs on.
#[tokio::test(start_paused = true)]
async fn a_transaction_through_a_home_outlives_answers_about_a_replaced_leader() {
    let fleet = start_large_fleet().await;
    fleet.world.crash("a");
    let node = uninvolved_node(&fleet);
    let engine = &fleet.nodes[node].engine;
    let group = engine.group(&Arc::from(GROUP));
    let mut writer = fleet.session(node, LEADER_DATABASE);
    writer
        .write_until_acknowledged(Duration::from_secs(10))
        .await;
    until(|| group.view().epoch == 1 && group.view().confirmed).await;
    let mut reader = fleet.session(node, LEADER_DATABASE);
    for _ in 0..5 {
        assert!(writer.begin(false).await.outcome.is_ok());
        assert!(writer.write("x 2").await.outcome.is_ok());
        for _ in 0..5 {
            sleep(Duration::from_millis(300)).await;
            let reply = reader.read("x").await;
            assert!(reply.outcome.is_ok(), "{:?}", reply.outcome);
        }
        let reply = writer.commit().await;
        assert!(reply.outcome.is_ok(), "{:?}", reply.outcome);
    }
}

/// A commit that a home has had acknowledged through a server that isn't listed must not allow the
/// next one that is forwarded to it.
#[tokio::test(start_paused = true)]
async fn forwarded_commit_renews_no_evidence() {
    let fleet = start_large_fleet().await;
    let history = Arc::new(History::default());
    let caller = (0..LARGE_FLEET).rev().find(|node| *node != fleet.holder());
    let caller = caller.expect("one");
    let mut inside = homes_of(&fleet, "a");
    inside.push(caller);
    inside.retain(|node| *node != fleet.holder());
    for (session, node) in [caller, fleet.holder()].into_iter().enumerate() {
        history.spawn_caller(&fleet.nodes[node].engine, OWN_DATABASE, session);
    }
    sleep(Duration::from_secs(1)).await;
    fleet.world.join_unlisted("d");
    let name = |node: usize| fleet.nodes[node].name.clone();
    let rest = (0..LARGE_FLEET).filter(|node| !inside.contains(node));
    let rest: Vec<String> = rest.map(name).chain(["b".into(), "c".into()]).collect();
    for node in &inside {
        fleet.records.refuse_node(&name(*node), true);
    }
    let cut_off = inside.iter().map(|node| name(*node));
    for server in cut_off.chain(["a".into(), "d".into()]) {
        rest.iter()
            .for_each(|other| fleet.network().cut(&server, other));
    }
    until(|| !fleet.world.promotions().is_empty()).await;
    let mut writer = fleet.session(caller, OWN_DATABASE);
    let reply = writer.write("x 1").await;
    assert!(reply.outcome.is_err());
}

/// A process that is asked as a home, since both homes have ended, must not ask another one.
#[tokio::test(start_paused = true)]
async fn process_that_is_asked_for_evidence_asks_no_home() {
    let mut fleet = start_large_fleet().await;
    let node = uninvolved_node(&fleet);
    for home in homes_of(&fleet, "a") {
        fleet.kill(home);
    }
    for node in &fleet.nodes {
        fleet.records.refuse_node(&node.name, true);
    }
    fleet.world.change("b", |server| server.queue_full = true);
    sleep(Duration::from_secs(2)).await;
    let mut writer = fleet.session(node, OWN_DATABASE);
    let before = fleet.peers.evidence_requests.load(Ordering::Relaxed);
    let _ = writer.write("x 1").await;
    sleep(Duration::from_secs(5)).await;
    let requests = fleet.peers.evidence_requests.load(Ordering::Relaxed) - before;
    assert!(requests <= MAX_EVIDENCE_REQUESTS, "{requests}");
}

/// Evidence that others have is some time old when it arrives, and must not be sought from the
/// members, which it would cost connections.
#[tokio::test(start_paused = true)]
async fn no_member_is_asked_for_evidence_that_others_have() {
    let counters = Counters::default();
    let _guard = counters.capture();
    let fleet = start_large_fleet().await;
    let history = Arc::new(History::default());
    fleet.spawn_callers(&history);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(counters.sum("stilequay_member_evidence_total", &[]), 0);
}
