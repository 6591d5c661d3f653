//! Slow start: a cold member never receives more than its limit per second, whatever failures occur
//! among the processes that send to it, and statements that other members can run go to those.

mod support;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stilequay_engine::configuration::{Configuration, SlowStart};
use stilequay_engine::evacuation::Evacuations;
use stilequay_engine::events::Event;
use stilequay_engine::home::placement::HOMES_PER_MEMBER;
use stilequay_engine::names::NodeName;
use stilequay_engine::slow_start::allotment::{Allotments, Shares};
use stilequay_engine::statement::Reply;
use stilequay_engine::verdict::Verdict;
use support::records::Fault;
use support::servers::World;
use support::{
    BOUNDED_DATABASE, Client, Fleet, GROUP, LEADER_DATABASE, configuration, read_row, until,
};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Size of a fleet whose processes connect directly.
const SMALL_FLEET: usize = 6;
/// Size of a fleet that uses homes.
const LARGE_FLEET: usize = 20;
/// Maximum number of statements per second to a cold member.
const LIMIT: usize = 30;
/// How long a member stays cold.
const COLD_DURATION: Duration = Duration::from_secs(30);
/// Age of its view of the records beyond which a process sends nothing: twice the contact time.
const MAX_RECORD_AGE: Duration = Duration::from_secs(8);
const SECOND: Duration = Duration::from_secs(1);

fn slow_start(version: u64, per_second: f64) -> Configuration {
    let mut next = configuration(1);
    next.version = version;
    for group in next.groups.values_mut() {
        group.slow_start = Some(SlowStart {
            duration: COLD_DURATION,
            per_second,
        });
    }
    next
}

async fn apply_configuration(fleet: &Fleet, next: Configuration) {
    let version = next.version;
    fleet.configuration.send_replace(next);
    until(|| {
        let known = fleet.nodes.iter().map(|node| node.engine.configuration());
        known.flatten().all(|known| known.version == version)
    })
    .await;
}

/// Starts a fleet whose group has a slow start; no member is cold.
async fn start_fleet(nodes: usize) -> Fleet {
    let fleet = Fleet::start(nodes).await;
    let knows_all = |node: &support::Node| node.engine.homes().fleet().len() == nodes;
    until(|| fleet.nodes.iter().all(knows_all)).await;
    apply_configuration(&fleet, slow_start(2, LIMIT as f64)).await;
    // Until direct connections opened before the fleet was known are closed.
    sleep(Duration::from_secs(3)).await;
    fleet
}

/// Marks `member` as cold in its directory entry, and waits until all processes know it.
async fn make_cold(fleet: &Fleet, member: &str) {
    let cold_until = Instant::now() + COLD_DURATION;
    fleet
        .world
        .change(member, |server| server.cold_until = Some(cold_until));
    until(|| fleet.nodes.iter().all(|node| knows_cold(node, member))).await;
}

fn knows_cold(node: &support::Node, member: &str) -> bool {
    let directory = node.engine.directory();
    let known = directory.member(member);
    known.is_some_and(|member| member.cold_until.is_some_and(|at| at > Instant::now()))
}

/// Returns the shares of `member` from the store.
fn shares(fleet: &Fleet, member: &str) -> Option<Shares> {
    let record = fleet.records.get(&Allotments::key(GROUP))?;
    let allotments = Allotments::decode(&record).ok()?;
    let allotment = allotments.members.get(member)?;
    Some(allotment.shares.clone())
}

/// Slows down the other servers so that reads prefer `member`.
fn slow_down_others(fleet: &Fleet, member: &str) {
    for other in ["a", "b", "c"].into_iter().filter(|name| *name != member) {
        fleet.world.change(other, |server| server.slowdown = 12);
    }
}

/// Waits until `member` has shares and every process has had time to learn of them.
async fn wait_for_shares(fleet: &Fleet, member: &str) -> Shares {
    until(|| shares(fleet, member).is_some()).await;
    sleep(SECOND * 2).await;
    shares(fleet, member).expect("shares")
}

fn homes_of(fleet: &Fleet, member: &str) -> Vec<usize> {
    let directory = fleet.nodes[0].engine.directory();
    let member = directory.member(member).expect("a member");
    let candidates = fleet.nodes[0].engine.homes().candidates(member);
    let homes = candidates.iter().take(HOMES_PER_MEMBER);
    let index = |name: &NodeName| fleet.nodes.iter().position(|node| *node.name == **name);
    homes
        .map(|peer| index(&peer.node).expect("a process"))
        .collect()
}

/// Records when a server ran statements, with a resolution of a millisecond.
struct StatementTimes {
    at: Arc<Mutex<Vec<Instant>>>,
    task: JoinHandle<()>,
}

impl StatementTimes {
    fn record(world: &Arc<World>, server: &str) -> Self {
        let at: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (world, server, times) = (Arc::clone(world), server.to_owned(), Arc::clone(&at));
        let task = tokio::spawn(async move {
            let mut known = world.server(&server).statements;
            loop {
                sleep(Duration::from_millis(1)).await;
                let now = world.server(&server).statements;
                let new = (known..now).map(|_| Instant::now());
                times.lock().unwrap().extend(new);
                known = now;
            }
        });
        Self { at, task }
    }

    fn count(&self) -> usize {
        self.at.lock().unwrap().len()
    }

    /// Maximum number of statements in any second.
    fn max_per_second(&self) -> usize {
        max_per_second(&self.at.lock().unwrap())
    }
}

impl Drop for StatementTimes {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn max_per_second(at: &[Instant]) -> usize {
    let within = |first: &Instant| {
        let until = *first + SECOND;
        at.iter().filter(|at| *at >= first && **at < until).count()
    };
    at.iter().map(within).max().unwrap_or(0)
}

/// Clients that send statements with pauses of 5 ms.
struct Load {
    tasks: Vec<JoinHandle<()>>,
    replies: Arc<Mutex<Vec<Reply>>>,
}

impl Load {
    /// Starts `callers` clients at each of `nodes`, which either all write or all read.
    fn start(fleet: &Fleet, nodes: &[usize], callers: usize, writes: bool) -> Self {
        let replies: Arc<Mutex<Vec<Reply>>> = Arc::default();
        let database = match writes {
            true => LEADER_DATABASE,
            false => BOUNDED_DATABASE,
        };
        let callers = nodes.iter().flat_map(|node| vec![*node; callers]);
        let tasks = callers.map(|node| {
            let mut client = Client::open(&fleet.nodes[node].engine, database);
            let replies = Arc::clone(&replies);
            tokio::spawn(async move {
                loop {
                    let reply = match writes {
                        true => client.write("x").await,
                        false => client.read("x").await,
                    };
                    replies.lock().unwrap().push(reply);
                    sleep(Duration::from_millis(5)).await;
                }
            })
        });
        Self {
            tasks: tasks.collect(),
            replies,
        }
    }

    fn stop(self) -> Vec<Reply> {
        self.tasks.iter().for_each(|task| task.abort());
        std::mem::take(&mut self.replies.lock().unwrap())
    }
}

fn all_nodes(nodes: usize) -> Vec<usize> {
    (0..nodes).collect()
}

#[rstest]
#[case::small(SMALL_FLEET)]
#[case::large(LARGE_FLEET)]
#[tokio::test(start_paused = true)]
async fn a_cold_replica_stays_within_its_limit_and_no_read_is_refused(#[case] nodes: usize) {
    let fleet = start_fleet(nodes).await;
    slow_down_others(&fleet, "b");
    make_cold(&fleet, "b").await;
    let runs = StatementTimes::record(&fleet.world, "b");
    wait_for_shares(&fleet, "b").await;
    let load = Load::start(&fleet, &all_nodes(nodes), 4, false);
    sleep(Duration::from_secs(8)).await;
    let replies = load.stop();
    assert!(
        runs.max_per_second() <= LIMIT,
        "{} in a second",
        runs.max_per_second()
    );
    assert!(runs.count() > 0, "the cold member is not used at all");
    let refused = replies.iter().filter(|reply| reply.outcome.is_err());
    assert_eq!(refused.count(), 0, "of {}", replies.len());
}

#[rstest]
#[case::small(SMALL_FLEET)]
#[case::large(LARGE_FLEET)]
#[tokio::test(start_paused = true)]
async fn a_cold_leader_stays_within_its_limit_and_other_writes_wait_or_are_refused(
    #[case] nodes: usize,
) {
    let fleet = start_fleet(nodes).await;
    make_cold(&fleet, "a").await;
    wait_for_shares(&fleet, "a").await;
    let runs = StatementTimes::record(&fleet.world, "a");
    let load = Load::start(&fleet, &all_nodes(nodes), 2, true);
    sleep(Duration::from_secs(6)).await;
    let replies = load.stop();
    assert!(
        runs.max_per_second() <= LIMIT,
        "{} in a second",
        runs.max_per_second()
    );
    // At least half of the permitted statements are sent.
    assert!(
        runs.count() >= 6 * LIMIT / 2,
        "{} in six seconds",
        runs.count()
    );
    assert!(
        fleet.world.promotions().is_empty(),
        "a cold leader was replaced"
    );
    let failures: Vec<_> = replies
        .iter()
        .filter_map(|r| r.outcome.as_ref().err())
        .collect();
    assert!(!failures.is_empty(), "the load does not exceed the limit");
    for failure in failures {
        assert_eq!(failure.verdict, Verdict::NotRun, "{failure:?}");
        let has_retry_time = failure
            .retry_after
            .is_some_and(|wait| wait > Duration::ZERO);
        assert!(has_retry_time, "{failure:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_write_waits_only_if_it_can_be_sent_in_time() {
    let fleet = start_fleet(1).await;
    apply_configuration(&fleet, slow_start(3, 2.0)).await;
    make_cold(&fleet, "a").await;
    let shares = wait_for_shares(&fleet, "a").await;
    assert_eq!(
        shares.values().sum::<usize>(),
        1,
        "one is reserved for control commands"
    );
    let mut client = fleet.session(0, LEADER_DATABASE);
    assert!(client.write("x").await.outcome.is_ok());
    // The next statement is allowed one window later, but a statement may wait for only 336 ms.
    let requested_at = Instant::now();
    let refused = client
        .write("x")
        .await
        .outcome
        .expect_err("no place in time");
    assert!(
        requested_at.elapsed() < Duration::from_millis(100),
        "refused at once"
    );
    assert_eq!(refused.verdict, Verdict::NotRun);
    let wait = refused.retry_after.expect("a retry time");
    sleep(wait.saturating_sub(Duration::from_millis(200))).await;
    let requested_at = Instant::now();
    assert!(client.write("x").await.outcome.is_ok());
    assert!(
        requested_at.elapsed() > Duration::from_millis(100),
        "the write did not wait"
    );
}

#[tokio::test(start_paused = true)]
async fn open_transactions_on_a_cold_member_can_finish() {
    let fleet = start_fleet(1).await;
    apply_configuration(&fleet, slow_start(3, 10.0)).await;
    make_cold(&fleet, "a").await;
    wait_for_shares(&fleet, "a").await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    let load = Load::start(&fleet, &[0], 4, true);
    let mut committed = 0;
    for _ in 0..20 {
        assert!(client.begin(false).await.outcome.is_ok());
        let opened = client.write("x").await;
        let Ok(_) = opened.outcome else {
            client.rollback().await;
            continue;
        };
        assert!(client.write("y").await.outcome.is_ok());
        assert!(client.commit().await.outcome.is_ok());
        committed += 1;
    }
    load.stop();
    assert!(committed > 0);
}

#[tokio::test(start_paused = true)]
async fn a_process_that_reaches_no_home_sends_nothing_to_a_cold_member() {
    let fleet = start_fleet(LARGE_FLEET).await;
    make_cold(&fleet, "b").await;
    let shares = wait_for_shares(&fleet, "b").await;
    let node = (0..LARGE_FLEET).find(|node| !shares.contains_key(fleet.nodes[*node].name.as_str()));
    let node = node.expect("one without a share");
    for other in &fleet.nodes {
        fleet.network().cut(&fleet.nodes[node].name, &other.name);
    }
    for server in ["a", "c"] {
        fleet.network().cut(&fleet.nodes[node].name, server);
    }
    let runs = StatementTimes::record(&fleet.world, "b");
    let load = Load::start(&fleet, &[node], 4, false);
    sleep(Duration::from_secs(5)).await;
    let replies = load.stop();
    assert_eq!(runs.count(), 0);
    assert!(!replies.is_empty());
}

#[tokio::test(start_paused = true)]
async fn the_limit_holds_while_homes_cannot_reach_each_other() {
    let fleet = start_fleet(LARGE_FLEET).await;
    make_cold(&fleet, "a").await;
    wait_for_shares(&fleet, "a").await;
    let homes = homes_of(&fleet, "a");
    // Half of the fleet reaches only one home, the other half only the other.
    for node in 0..LARGE_FLEET {
        let lost = homes[node % 2];
        if lost != node {
            let (node, lost) = (&fleet.nodes[node].name, &fleet.nodes[lost].name);
            fleet.network().cut(node, lost);
        }
    }
    let runs = StatementTimes::record(&fleet.world, "a");
    let load = Load::start(&fleet, &all_nodes(LARGE_FLEET), 2, true);
    sleep(Duration::from_secs(6)).await;
    load.stop();
    assert!(
        runs.max_per_second() <= LIMIT,
        "{} in a second",
        runs.max_per_second()
    );
    assert!(runs.count() > 2 * LIMIT, "{} in six seconds", runs.count());
}

#[tokio::test(start_paused = true)]
async fn the_limit_holds_when_a_home_is_killed_and_restarted() {
    let mut fleet = start_fleet(LARGE_FLEET).await;
    make_cold(&fleet, "a").await;
    wait_for_shares(&fleet, "a").await;
    let home = homes_of(&fleet, "a")[0];
    let others: Vec<usize> = all_nodes(LARGE_FLEET)
        .into_iter()
        .filter(|node| *node != home)
        .collect();
    let runs = StatementTimes::record(&fleet.world, "a");
    let load = Load::start(&fleet, &others, 2, true);
    sleep(SECOND).await;
    for _ in 0..3 {
        fleet.kill(home);
        let name = fleet.nodes[home].name.clone();
        sleep(Duration::from_millis(150)).await;
        fleet.nodes[home] = fleet.respawn_node(&name);
        sleep(Duration::from_millis(600)).await;
    }
    let before = runs.count();
    sleep(SECOND * 4).await;
    load.stop();
    assert!(
        runs.max_per_second() <= LIMIT,
        "{} in a second",
        runs.max_per_second()
    );
    assert!(runs.count() > before, "the other home stopped sending");
}

#[tokio::test(start_paused = true)]
async fn the_limit_holds_across_a_fleet_restart() {
    let mut fleet = start_fleet(SMALL_FLEET).await;
    make_cold(&fleet, "a").await;
    wait_for_shares(&fleet, "a").await;
    let runs = StatementTimes::record(&fleet.world, "a");
    let load = Load::start(&fleet, &all_nodes(SMALL_FLEET), 4, true);
    sleep(SECOND * 2).await;
    load.stop();
    (0..SMALL_FLEET).for_each(|node| fleet.kill(node));
    let names: Vec<String> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    fleet.nodes = names.iter().map(|name| fleet.respawn_node(name)).collect();
    let before = runs.count();
    let load = Load::start(&fleet, &all_nodes(SMALL_FLEET), 4, true);
    sleep(SECOND * 5).await;
    load.stop();
    assert!(
        runs.max_per_second() <= LIMIT,
        "{} in a second",
        runs.max_per_second()
    );
    assert!(
        runs.count() > before,
        "the shares were not restored from the store"
    );
}

#[tokio::test(start_paused = true)]
async fn a_resumed_home_sends_nothing_based_on_outdated_records() {
    let fleet = start_fleet(LARGE_FLEET).await;
    make_cold(&fleet, "a").await;
    wait_for_shares(&fleet, "a").await;
    let home = homes_of(&fleet, "a")[0];
    let name = fleet.nodes[home].name.clone();
    fleet.freeze(&name, true);
    fleet.records.refuse_node(&name, true);
    sleep(MAX_RECORD_AGE + SECOND).await;
    let as_of = fleet.nodes[home].engine.slow_starts().records_as_of();
    assert!(as_of.expect("known before").elapsed() > MAX_RECORD_AGE);
    // It is cut off from the store when it resumes and can't confirm that its share is still valid.
    for other in &fleet.nodes {
        fleet.network().cut(&name, &other.name);
    }
    fleet.freeze(&name, false);
    let runs = StatementTimes::record(&fleet.world, "a");
    let load = Load::start(&fleet, &[home], 4, true);
    sleep(SECOND * 3).await;
    load.stop();
    assert_eq!(runs.count(), 0);
}

#[tokio::test(start_paused = true)]
async fn shares_stay_valid_only_during_a_short_store_outage() {
    let fleet = start_fleet(SMALL_FLEET).await;
    make_cold(&fleet, "b").await;
    wait_for_shares(&fleet, "b").await;
    slow_down_others(&fleet, "b");
    let runs = StatementTimes::record(&fleet.world, "b");
    let load = Load::start(&fleet, &all_nodes(SMALL_FLEET), 4, false);
    fleet.records.set_fault(Fault::Silent);
    sleep(SECOND * 3).await;
    let early = runs.count();
    assert!(early > 0, "recent records were not used");
    sleep(MAX_RECORD_AGE).await;
    let late = runs.count();
    sleep(SECOND * 3).await;
    assert_eq!(
        runs.count(),
        late,
        "statements were sent based on outdated records"
    );
    load.stop();
    assert!(runs.max_per_second() <= LIMIT);
}

#[tokio::test(start_paused = true)]
async fn a_member_that_becomes_cold_while_the_store_is_silent_gets_nothing() {
    let fleet = start_fleet(SMALL_FLEET).await;
    fleet.records.set_fault(Fault::Silent);
    make_cold(&fleet, "b").await;
    let runs = StatementTimes::record(&fleet.world, "b");
    let load = Load::start(&fleet, &all_nodes(SMALL_FLEET), 2, false);
    sleep(SECOND * 3).await;
    let replies = load.stop();
    assert_eq!(runs.count(), 0);
    assert!(
        replies.iter().any(|reply| reply.outcome.is_ok()),
        "no read succeeded on the other members"
    );
}

#[tokio::test(start_paused = true)]
async fn a_member_that_becomes_cold_again_keeps_its_shares() {
    let fleet = start_fleet(SMALL_FLEET).await;
    make_cold(&fleet, "b").await;
    let first = wait_for_shares(&fleet, "b").await;
    sleep(COLD_DURATION).await;
    assert!(!knows_cold(&fleet.nodes[0], "b"));
    let calls = fleet
        .records
        .get(&Allotments::key(GROUP))
        .expect("shares")
        .version;
    make_cold(&fleet, "b").await;
    slow_down_others(&fleet, "b");
    let runs = StatementTimes::record(&fleet.world, "b");
    let load = Load::start(&fleet, &all_nodes(SMALL_FLEET), 4, false);
    sleep(SECOND * 3).await;
    load.stop();
    assert!(
        runs.max_per_second() <= LIMIT,
        "{} in a second",
        runs.max_per_second()
    );
    assert!(runs.count() > 0);
    assert_eq!(shares(&fleet, "b").as_ref(), Some(&first));
    let now = fleet
        .records
        .get(&Allotments::key(GROUP))
        .expect("shares")
        .version;
    assert_eq!(now, calls, "the shares were written again");
}

#[tokio::test(start_paused = true)]
async fn the_next_candidate_writes_the_shares_if_the_first_has_failed() {
    let mut fleet = start_fleet(LARGE_FLEET).await;
    let first = homes_of(&fleet, "b")[0];
    fleet.kill(first);
    let cold_until = Instant::now() + COLD_DURATION;
    fleet
        .world
        .change("b", |server| server.cold_until = Some(cold_until));
    let shares = wait_for_shares(&fleet, "b").await;
    assert!(shares.len() > 1);
}

#[tokio::test(start_paused = true)]
async fn members_of_a_restored_zone_are_cold() {
    let fleet = start_fleet(1).await;
    let engine = &fleet.nodes[0].engine;
    let evacuations = |version, zones: &[&str]| Evacuations {
        version,
        zones: zones
            .iter()
            .map(|zone| Arc::from(*zone))
            .collect::<BTreeSet<_>>(),
    };
    engine.set_evacuations(evacuations(5, &["zone-b"]));
    engine.set_evacuations(evacuations(6, &[]));
    wait_for_shares(&fleet, "b").await;
    let runs = StatementTimes::record(&fleet.world, "b");
    // No other member is reachable.
    fleet.network().cut(&fleet.nodes[0].name, "a");
    fleet.network().cut(&fleet.nodes[0].name, "c");
    let load = Load::start(&fleet, &[0], 20, false);
    sleep(SECOND).await;
    load.stop();
    assert!(
        runs.max_per_second() <= LIMIT,
        "{} in a second",
        runs.max_per_second()
    );
    assert_eq!(shares(&fleet, "c"), None);
}

#[tokio::test(start_paused = true)]
async fn members_count_as_cold_while_evacuations_are_unknown() {
    let mut fleet = start_fleet(1).await;
    let name = fleet.nodes[0].name.clone();
    fleet.kill(0);
    fleet.evacuation_bound = Some(Duration::from_secs(5));
    fleet.nodes[0] = fleet.respawn_node(&name);
    until(|| {
        fleet.nodes[0]
            .engine
            .group(&Arc::from(GROUP))
            .view()
            .leader
            .is_some()
    })
    .await;
    sleep(SECOND * 2).await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    assert!(client.write("x").await.outcome.is_ok());
    // While the store refuses it, a zone may be evacuated and restored without its knowledge.
    fleet.records.refuse_node(&name, true);
    sleep(Duration::from_secs(4)).await;
    assert!(client.write("x").await.outcome.is_ok());
    let runs = StatementTimes::record(&fleet.world, "a");
    sleep(Duration::from_secs(2)).await;
    let refused = client
        .write("x")
        .await
        .outcome
        .expect_err("the leader may be cold");
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert_eq!(runs.count(), 0);
    fleet.records.refuse_node(&name, false);
    sleep(SECOND * 2).await;
    assert!(client.write("x").await.outcome.is_ok());
}

#[tokio::test(start_paused = true)]
async fn no_process_considers_a_cold_member_warm_too_early() {
    // The remaining time is sent by another process, over a link with latency.
    let fleet = start_fleet(LARGE_FLEET).await;
    make_cold(&fleet, "b").await;
    let expected = fleet.world.server("b").cold_until.expect("cold");
    for node in &fleet.nodes {
        let directory = node.engine.directory();
        let known = directory.member("b").expect("a member").cold_until;
        let early = expected.saturating_duration_since(known.expect("cold"));
        assert!(
            early <= Duration::from_millis(1),
            "{}: {early:?}",
            node.name
        );
    }
}

#[tokio::test(start_paused = true)]
async fn groups_without_slow_start_have_no_shares() {
    let fleet = Fleet::start(SMALL_FLEET).await;
    let cold_until = Instant::now() + COLD_DURATION;
    fleet
        .world
        .change("b", |server| server.cold_until = Some(cold_until));
    sleep(SECOND * 3).await;
    let starts = fleet
        .nodes
        .iter()
        .map(|node| node.engine.slow_starts().is_enabled());
    assert!(starts.into_iter().all(|used| !used));
    assert_eq!(shares(&fleet, "b"), None);
    let mut client = fleet.session(0, BOUNDED_DATABASE);
    let (server, _) = read_row(&client.read("x").await);
    assert!(["a", "b", "c"].contains(&server.as_str()));
}

/// Operators rely on these fields.
#[test]
fn the_slow_start_event_has_its_fields() {
    let event = Event::SlowStart {
        member: "i-7f".into(),
        group: "ledger".into(),
        share: Some(11),
        most: 30,
        left_ms: 7_200,
    };
    let written = serde_json::to_value(&event).expect("JSON");
    let expected = serde_json::json!({"event": "slow_start", "member": "i-7f",
        "group": "ledger", "share": 11, "most": 30, "left_ms": 7_200});
    assert_eq!(written, expected);
}

/// Disruption of the fleet while a member is cold.
#[derive(Debug, Clone, Copy)]
enum Disruption {
    None,
    /// Two processes can't reach each other.
    Cut(usize, usize),
    /// A process is killed and restarted.
    Replace(usize),
    /// The store refuses a process.
    Refuse(usize),
    /// A process is frozen for a while.
    Freeze(usize),
    /// The store doesn't answer.
    Silence,
    /// All disruptions end.
    Heal,
}

fn random_disruption(rng: &mut StdRng) -> Disruption {
    let node = rng.random_range(0..LARGE_FLEET);
    match rng.random_range(0..10) {
        0 => Disruption::None,
        1 | 2 => Disruption::Cut(node, rng.random_range(0..LARGE_FLEET)),
        3 | 4 => Disruption::Replace(node),
        5 => Disruption::Refuse(node),
        6 | 7 => Disruption::Freeze(node),
        8 => Disruption::Silence,
        _ => Disruption::Heal,
    }
}

async fn disrupt(fleet: &mut Fleet, disruption: Disruption) {
    let name = |node: usize| fleet.nodes[node].name.clone();
    match disruption {
        Disruption::None => {}
        Disruption::Cut(one, other) => fleet.network().cut(&name(one), &name(other)),
        Disruption::Replace(node) => {
            let name = name(node);
            // Frames held back on the links of the killed process would reach it later.
            fleet.freeze(&name, false);
            fleet.kill(node);
            sleep(Duration::from_millis(20)).await;
            fleet.nodes[node] = fleet.respawn_node(&name);
        }
        Disruption::Refuse(node) => fleet.records.refuse_node(&name(node), true),
        Disruption::Freeze(node) => fleet.freeze(&name(node), true),
        Disruption::Silence => fleet.records.set_fault(Fault::Silent),
        Disruption::Heal => {
            fleet.records.set_fault(Fault::None);
            fleet.network().heal();
            for node in &fleet.nodes {
                fleet.records.refuse_node(&node.name, false);
                fleet.freeze(&node.name, false);
            }
        }
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn no_second_exceeds_the_limit_under_random_failures(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = start_fleet(LARGE_FLEET).await;
    let cold: &[&str] = &["a", "b"];
    for member in cold {
        make_cold(&fleet, member).await;
    }
    // One of the two homes is disrupted with every seed.
    let home = homes_of(&fleet, "a")[0];
    let runs: Vec<StatementTimes> = cold
        .iter()
        .map(|server| StatementTimes::record(&fleet.world, server))
        .collect();
    for round in 0..24 {
        let disruption = match round {
            6 => Disruption::Freeze(home),
            12 => Disruption::Replace(home),
            _ => random_disruption(&mut rng),
        };
        // Clients are started in each round, since those of a killed process end with it.
        disrupt(&mut fleet, disruption).await;
        let writes = Load::start(&fleet, &all_nodes(LARGE_FLEET), 1, true);
        let reads = Load::start(&fleet, &all_nodes(LARGE_FLEET), 1, false);
        sleep(Duration::from_millis(rng.random_range(200..1_200))).await;
        writes.stop();
        reads.stop();
    }
    for (runs, member) in runs.iter().zip(cold) {
        assert!(
            runs.max_per_second() <= LIMIT,
            "{member}: {} in a second",
            runs.max_per_second()
        );
        assert!(runs.count() > 0, "{member}: no statements at all");
    }
}
