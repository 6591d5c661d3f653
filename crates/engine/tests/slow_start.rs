//! Cold members: in no second do they get more than they take, whatever becomes of those who
//! send, and what others can run goes to others.

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

/// Processes of a fleet that connect by themselves.
const SMALL: usize = 6;
/// Processes of a fleet that needs homes.
const LARGE: usize = 20;
/// Statements that a cold member takes in a second.
const MOST: usize = 30;
/// How long a member is cold.
const COLD: Duration = Duration::from_secs(30);
/// Time after which processes with old knowledge send nothing: twice the contact time.
const KNOWLEDGE: Duration = Duration::from_secs(8);
const SECOND: Duration = Duration::from_secs(1);

fn slow_start(version: u64, per_second: f64) -> Configuration {
    let mut next = configuration(1);
    next.version = version;
    for group in next.groups.values_mut() {
        group.slow_start = Some(SlowStart {
            duration: COLD,
            per_second,
        });
    }
    next
}

async fn declare(fleet: &Fleet, next: Configuration) {
    let version = next.version;
    fleet.configuration.send_replace(next);
    until(|| {
        let known = fleet.nodes.iter().map(|node| node.engine.configuration());
        known.flatten().all(|known| known.version == version)
    })
    .await;
}

/// A fleet whose group has a slow start; no member is cold.
async fn fleet_of(nodes: usize) -> Fleet {
    let fleet = Fleet::start(nodes).await;
    let knows_all = |node: &support::Node| node.engine.homes().fleet().len() == nodes;
    until(|| fleet.nodes.iter().all(knows_all)).await;
    declare(&fleet, slow_start(2, MOST as f64)).await;
    // Connections that were opened before the fleet was known have ended.
    sleep(Duration::from_secs(3)).await;
    fleet
}

/// Lets the entry of `member` say that it is cold; returns once all processes know it.
async fn chill(fleet: &Fleet, member: &str) {
    let until_then = Instant::now() + COLD;
    fleet
        .world
        .change(member, |server| server.cold_until = Some(until_then));
    until(|| fleet.nodes.iter().all(|node| knows_cold(node, member))).await;
}

fn knows_cold(node: &support::Node, member: &str) -> bool {
    let directory = node.engine.directory();
    let known = directory.member(member);
    known.is_some_and(|member| member.cold_until.is_some_and(|at| at > Instant::now()))
}

/// The shares of `member` in the store.
fn shares(fleet: &Fleet, member: &str) -> Option<Shares> {
    let record = fleet.records.get(&Allotments::key(GROUP))?;
    let allotments = Allotments::decode(&record)?;
    let allotment = allotments.members.get(member)?;
    Some(allotment.shares.clone())
}

/// Makes the other servers so slow that reads prefer `member`.
fn slow_others(fleet: &Fleet, member: &str) {
    for other in ["a", "b", "c"].into_iter().filter(|name| *name != member) {
        fleet.world.change(other, |server| server.slowdown = 12);
    }
}

/// Waits until `member` has shares, and every process may have heard of them.
async fn allotted(fleet: &Fleet, member: &str) -> Shares {
    until(|| shares(fleet, member).is_some()).await;
    sleep(SECOND * 2).await;
    shares(fleet, member).expect("shares")
}

fn homes_of(fleet: &Fleet, member: &str) -> Vec<usize> {
    let directory = fleet.nodes[0].engine.directory();
    let member = directory.member(member).expect("a member");
    let candidates = fleet.nodes[0].engine.homes().candidates(member);
    let homes = candidates.iter().take(HOMES_PER_MEMBER);
    let place = |name: &NodeName| fleet.nodes.iter().position(|node| *node.name == **name);
    homes
        .map(|peer| place(&peer.node).expect("a process"))
        .collect()
}

/// When a server has run statements, to the millisecond.
struct Runs {
    at: Arc<Mutex<Vec<Instant>>>,
    task: JoinHandle<()>,
}

impl Runs {
    fn watch(world: &Arc<World>, server: &str) -> Self {
        let at: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (world, server, noted) = (Arc::clone(world), server.to_owned(), Arc::clone(&at));
        let task = tokio::spawn(async move {
            let mut known = world.server(&server).statements;
            loop {
                sleep(Duration::from_millis(1)).await;
                let now = world.server(&server).statements;
                let new = (known..now).map(|_| Instant::now());
                noted.lock().unwrap().extend(new);
                known = now;
            }
        });
        Self { at, task }
    }

    fn count(&self) -> usize {
        self.at.lock().unwrap().len()
    }

    /// The most in any second.
    fn most(&self) -> usize {
        most_in_a_second(&self.at.lock().unwrap())
    }
}

impl Drop for Runs {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn most_in_a_second(at: &[Instant]) -> usize {
    let within = |first: &Instant| {
        let until = *first + SECOND;
        at.iter().filter(|at| *at >= first && **at < until).count()
    };
    at.iter().map(within).max().unwrap_or(0)
}

/// Callers at every process that ask without a pause.
struct Load {
    tasks: Vec<JoinHandle<()>>,
    replies: Arc<Mutex<Vec<Reply>>>,
}

impl Load {
    /// `callers` at each of `nodes`; they write, or read.
    fn begin(fleet: &Fleet, nodes: &[usize], callers: usize, writes: bool) -> Self {
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

    fn end(self) -> Vec<Reply> {
        self.tasks.iter().for_each(|task| task.abort());
        std::mem::take(&mut self.replies.lock().unwrap())
    }
}

fn all(nodes: usize) -> Vec<usize> {
    (0..nodes).collect()
}

#[rstest]
#[case::small(SMALL)]
#[case::large(LARGE)]
#[tokio::test(start_paused = true)]
async fn a_cold_replica_gets_what_it_takes_and_nobody_is_refused(#[case] nodes: usize) {
    let fleet = fleet_of(nodes).await;
    slow_others(&fleet, "b");
    chill(&fleet, "b").await;
    let runs = Runs::watch(&fleet.world, "b");
    allotted(&fleet, "b").await;
    let load = Load::begin(&fleet, &all(nodes), 4, false);
    sleep(Duration::from_secs(8)).await;
    let replies = load.end();
    assert!(runs.most() <= MOST, "{} in a second", runs.most());
    assert!(runs.count() > 0, "it is not used at all");
    let refused = replies.iter().filter(|reply| reply.outcome.is_err());
    assert_eq!(refused.count(), 0, "of {}", replies.len());
}

#[rstest]
#[case::small(SMALL)]
#[case::large(LARGE)]
#[tokio::test(start_paused = true)]
async fn a_cold_leader_gets_what_it_takes_and_the_others_wait_or_are_told(#[case] nodes: usize) {
    let fleet = fleet_of(nodes).await;
    chill(&fleet, "a").await;
    allotted(&fleet, "a").await;
    let runs = Runs::watch(&fleet.world, "a");
    let load = Load::begin(&fleet, &all(nodes), 2, true);
    sleep(Duration::from_secs(6)).await;
    let replies = load.end();
    assert!(runs.most() <= MOST, "{} in a second", runs.most());
    // Most of what may be sent is.
    assert!(
        runs.count() >= 6 * MOST / 2,
        "{} in six seconds",
        runs.count()
    );
    assert!(fleet.world.promotions().is_empty(), "cold is not lost");
    let failures: Vec<_> = replies
        .iter()
        .filter_map(|r| r.outcome.as_ref().err())
        .collect();
    assert!(!failures.is_empty(), "more is asked than it takes");
    for failure in failures {
        assert_eq!(failure.verdict, Verdict::NotRun, "{failure:?}");
        let told = failure
            .retry_after
            .is_some_and(|wait| wait > Duration::ZERO);
        assert!(told, "{failure:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_write_waits_for_its_turn_while_that_comes_in_time() {
    let fleet = fleet_of(1).await;
    declare(&fleet, slow_start(3, 2.0)).await;
    chill(&fleet, "a").await;
    let shares = allotted(&fleet, "a").await;
    assert_eq!(shares.values().sum::<usize>(), 1, "one is left to orders");
    let mut client = fleet.session(0, LEADER_DATABASE);
    assert!(client.write("x").await.outcome.is_ok());
    // The next place is free a window later, and an offer may wait for 336 ms.
    let asked = Instant::now();
    let refused = client
        .write("x")
        .await
        .outcome
        .expect_err("no place in time");
    assert!(
        asked.elapsed() < Duration::from_millis(100),
        "refused at once"
    );
    assert_eq!(refused.verdict, Verdict::NotRun);
    let wait = refused.retry_after.expect("a time to come back");
    sleep(wait.saturating_sub(Duration::from_millis(200))).await;
    let asked = Instant::now();
    assert!(client.write("x").await.outcome.is_ok());
    assert!(
        asked.elapsed() > Duration::from_millis(100),
        "it has waited"
    );
}

#[tokio::test(start_paused = true)]
async fn a_transaction_that_is_open_goes_on() {
    let fleet = fleet_of(1).await;
    declare(&fleet, slow_start(3, 10.0)).await;
    chill(&fleet, "a").await;
    allotted(&fleet, "a").await;
    let mut client = fleet.session(0, LEADER_DATABASE);
    let load = Load::begin(&fleet, &[0], 4, true);
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
    load.end();
    assert!(committed > 0);
}

#[tokio::test(start_paused = true)]
async fn whoever_reaches_no_home_sends_nothing_to_a_cold_member() {
    let fleet = fleet_of(LARGE).await;
    chill(&fleet, "b").await;
    let shares = allotted(&fleet, "b").await;
    let node = (0..LARGE).find(|node| !shares.contains_key(fleet.nodes[*node].name.as_str()));
    let node = node.expect("one without a share");
    for other in &fleet.nodes {
        fleet.network().cut(&fleet.nodes[node].name, &other.name);
    }
    for server in ["a", "c"] {
        fleet.network().cut(&fleet.nodes[node].name, server);
    }
    let runs = Runs::watch(&fleet.world, "b");
    let load = Load::begin(&fleet, &[node], 4, false);
    sleep(Duration::from_secs(5)).await;
    let replies = load.end();
    assert_eq!(runs.count(), 0);
    assert!(!replies.is_empty());
}

#[tokio::test(start_paused = true)]
async fn homes_that_do_not_see_one_another_keep_the_sum() {
    let fleet = fleet_of(LARGE).await;
    chill(&fleet, "a").await;
    allotted(&fleet, "a").await;
    let homes = homes_of(&fleet, "a");
    // Half of the fleet sees the one home, half the other.
    for node in 0..LARGE {
        let lost = homes[node % 2];
        if lost != node {
            let (node, lost) = (&fleet.nodes[node].name, &fleet.nodes[lost].name);
            fleet.network().cut(node, lost);
        }
    }
    let runs = Runs::watch(&fleet.world, "a");
    let load = Load::begin(&fleet, &all(LARGE), 2, true);
    sleep(Duration::from_secs(6)).await;
    load.end();
    assert!(runs.most() <= MOST, "{} in a second", runs.most());
    assert!(runs.count() > 2 * MOST, "{} in six seconds", runs.count());
}

#[tokio::test(start_paused = true)]
async fn a_home_that_is_killed_and_started_anew_keeps_the_sum() {
    let mut fleet = fleet_of(LARGE).await;
    chill(&fleet, "a").await;
    allotted(&fleet, "a").await;
    let home = homes_of(&fleet, "a")[0];
    let others: Vec<usize> = all(LARGE)
        .into_iter()
        .filter(|node| *node != home)
        .collect();
    let runs = Runs::watch(&fleet.world, "a");
    let load = Load::begin(&fleet, &others, 2, true);
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
    load.end();
    assert!(runs.most() <= MOST, "{} in a second", runs.most());
    assert!(runs.count() > before, "the other home goes on");
}

#[tokio::test(start_paused = true)]
async fn a_restart_of_all_keeps_the_sum() {
    let mut fleet = fleet_of(SMALL).await;
    chill(&fleet, "a").await;
    allotted(&fleet, "a").await;
    let runs = Runs::watch(&fleet.world, "a");
    let load = Load::begin(&fleet, &all(SMALL), 4, true);
    sleep(SECOND * 2).await;
    load.end();
    (0..SMALL).for_each(|node| fleet.kill(node));
    let names: Vec<String> = fleet.nodes.iter().map(|node| node.name.clone()).collect();
    fleet.nodes = names.iter().map(|name| fleet.respawn_node(name)).collect();
    let before = runs.count();
    let load = Load::begin(&fleet, &all(SMALL), 4, true);
    sleep(SECOND * 5).await;
    load.end();
    assert!(runs.most() <= MOST, "{} in a second", runs.most());
    assert!(runs.count() > before, "the shares are in the store");
}

#[tokio::test(start_paused = true)]
async fn a_home_that_stood_still_sends_nothing_on_old_knowledge() {
    let fleet = fleet_of(LARGE).await;
    chill(&fleet, "a").await;
    allotted(&fleet, "a").await;
    let home = homes_of(&fleet, "a")[0];
    let name = fleet.nodes[home].name.clone();
    fleet.freeze(&name, true);
    fleet.records.refuse_node(&name, true);
    sleep(KNOWLEDGE + SECOND).await;
    let as_of = fleet.nodes[home].engine.slow_starts().records_as_of();
    assert!(as_of.expect("known before").elapsed() > KNOWLEDGE);
    // The store is cut off when it goes on: nothing tells it that its share still holds.
    for other in &fleet.nodes {
        fleet.network().cut(&name, &other.name);
    }
    fleet.freeze(&name, false);
    let runs = Runs::watch(&fleet.world, "a");
    let load = Load::begin(&fleet, &[home], 4, true);
    sleep(SECOND * 3).await;
    load.end();
    assert_eq!(runs.count(), 0);
}

#[tokio::test(start_paused = true)]
async fn shares_outlast_a_short_silence_of_the_store_and_no_long_one() {
    let fleet = fleet_of(SMALL).await;
    chill(&fleet, "b").await;
    allotted(&fleet, "b").await;
    slow_others(&fleet, "b");
    let runs = Runs::watch(&fleet.world, "b");
    let load = Load::begin(&fleet, &all(SMALL), 4, false);
    fleet.records.set_fault(Fault::Silent);
    sleep(SECOND * 3).await;
    let early = runs.count();
    assert!(early > 0, "what is known is recent enough");
    sleep(KNOWLEDGE).await;
    let late = runs.count();
    sleep(SECOND * 3).await;
    assert_eq!(runs.count(), late, "nothing on old knowledge");
    load.end();
    assert!(runs.most() <= MOST);
}

#[tokio::test(start_paused = true)]
async fn a_member_that_turns_cold_while_the_store_is_silent_gets_nothing() {
    let fleet = fleet_of(SMALL).await;
    fleet.records.set_fault(Fault::Silent);
    chill(&fleet, "b").await;
    let runs = Runs::watch(&fleet.world, "b");
    let load = Load::begin(&fleet, &all(SMALL), 2, false);
    sleep(SECOND * 3).await;
    let replies = load.end();
    assert_eq!(runs.count(), 0);
    assert!(
        replies.iter().any(|reply| reply.outcome.is_ok()),
        "others run reads"
    );
}

#[tokio::test(start_paused = true)]
async fn a_member_that_turns_cold_again_has_its_shares_at_once() {
    let fleet = fleet_of(SMALL).await;
    chill(&fleet, "b").await;
    let first = allotted(&fleet, "b").await;
    sleep(COLD).await;
    assert!(!knows_cold(&fleet.nodes[0], "b"));
    let calls = fleet
        .records
        .get(&Allotments::key(GROUP))
        .expect("shares")
        .version;
    chill(&fleet, "b").await;
    slow_others(&fleet, "b");
    let runs = Runs::watch(&fleet.world, "b");
    let load = Load::begin(&fleet, &all(SMALL), 4, false);
    sleep(SECOND * 3).await;
    load.end();
    assert!(runs.most() <= MOST, "{} in a second", runs.most());
    assert!(runs.count() > 0);
    assert_eq!(shares(&fleet, "b").as_ref(), Some(&first));
    let now = fleet
        .records
        .get(&Allotments::key(GROUP))
        .expect("shares")
        .version;
    assert_eq!(now, calls, "nothing is written anew");
}

#[tokio::test(start_paused = true)]
async fn the_next_candidate_writes_the_shares_where_the_first_is_gone() {
    let mut fleet = fleet_of(LARGE).await;
    let first = homes_of(&fleet, "b")[0];
    fleet.kill(first);
    let until_then = Instant::now() + COLD;
    fleet
        .world
        .change("b", |server| server.cold_until = Some(until_then));
    let shares = allotted(&fleet, "b").await;
    assert!(shares.len() > 1);
}

#[tokio::test(start_paused = true)]
async fn members_of_a_zone_that_is_used_again_are_cold() {
    let fleet = fleet_of(1).await;
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
    allotted(&fleet, "b").await;
    let runs = Runs::watch(&fleet.world, "b");
    // Nothing else can run it.
    fleet.network().cut(&fleet.nodes[0].name, "a");
    fleet.network().cut(&fleet.nodes[0].name, "c");
    let load = Load::begin(&fleet, &[0], 20, false);
    sleep(SECOND).await;
    load.end();
    assert!(runs.most() <= MOST, "{} in a second", runs.most());
    assert_eq!(shares(&fleet, "c"), None);
}

#[tokio::test(start_paused = true)]
async fn without_knowledge_of_evacuations_every_member_may_be_cold() {
    let mut fleet = fleet_of(1).await;
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
    // The store turns it away: a zone may be evacuated, and used again, without its knowledge.
    fleet.records.refuse_node(&name, true);
    sleep(Duration::from_secs(4)).await;
    assert!(client.write("x").await.outcome.is_ok());
    let runs = Runs::watch(&fleet.world, "a");
    sleep(Duration::from_secs(2)).await;
    let refused = client.write("x").await.outcome.expect_err("it may be cold");
    assert_eq!(refused.verdict, Verdict::NotRun);
    assert_eq!(runs.count(), 0);
    fleet.records.refuse_node(&name, false);
    sleep(SECOND * 2).await;
    assert!(client.write("x").await.outcome.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_member_is_not_told_to_be_warm_too_early() {
    // What is left is told by another process, over a link that takes its time.
    let fleet = fleet_of(LARGE).await;
    chill(&fleet, "b").await;
    let told = fleet.world.server("b").cold_until.expect("cold");
    for node in &fleet.nodes {
        let directory = node.engine.directory();
        let known = directory.member("b").expect("a member").cold_until;
        let early = told.saturating_duration_since(known.expect("cold"));
        assert!(
            early <= Duration::from_millis(1),
            "{}: {early:?}",
            node.name
        );
    }
}

#[tokio::test(start_paused = true)]
async fn deployments_without_slow_start_count_nothing() {
    let fleet = Fleet::start(SMALL).await;
    let until_then = Instant::now() + COLD;
    fleet
        .world
        .change("b", |server| server.cold_until = Some(until_then));
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

/// What operators read of a share.
#[test]
fn the_event_of_a_share_has_its_fields() {
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

/// What strikes a fleet while a member is cold.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    None,
    /// Two processes no longer see one another.
    Cut(usize, usize),
    /// A process is killed, and another life of it starts.
    Replace(usize),
    /// The store turns a process away.
    Refuse(usize),
    /// A process stands still for a while.
    Freeze(usize),
    /// The store says nothing.
    Silence,
    /// All of it is over.
    Heal,
}

fn trouble(rng: &mut StdRng) -> Trouble {
    let node = rng.random_range(0..LARGE);
    match rng.random_range(0..10) {
        0 => Trouble::None,
        1 | 2 => Trouble::Cut(node, rng.random_range(0..LARGE)),
        3 | 4 => Trouble::Replace(node),
        5 => Trouble::Refuse(node),
        6 | 7 => Trouble::Freeze(node),
        8 => Trouble::Silence,
        _ => Trouble::Heal,
    }
}

async fn strike(fleet: &mut Fleet, trouble: Trouble) {
    let name = |node: usize| fleet.nodes[node].name.clone();
    match trouble {
        Trouble::None => {}
        Trouble::Cut(one, other) => fleet.network().cut(&name(one), &name(other)),
        Trouble::Replace(node) => {
            let name = name(node);
            // What stands still on links of the earlier life would reach that one later.
            fleet.freeze(&name, false);
            fleet.kill(node);
            sleep(Duration::from_millis(20)).await;
            fleet.nodes[node] = fleet.respawn_node(&name);
        }
        Trouble::Refuse(node) => fleet.records.refuse_node(&name(node), true),
        Trouble::Freeze(node) => fleet.freeze(&name(node), true),
        Trouble::Silence => fleet.records.set_fault(Fault::Silent),
        Trouble::Heal => {
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
async fn no_second_has_more_whatever_strikes(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = fleet_of(LARGE).await;
    let cold: &[&str] = &["a", "b"];
    for member in cold {
        chill(&fleet, member).await;
    }
    // Half of the homes are struck in any case.
    let home = homes_of(&fleet, "a")[0];
    let runs: Vec<Runs> = cold
        .iter()
        .map(|server| Runs::watch(&fleet.world, server))
        .collect();
    for round in 0..24 {
        let struck = match round {
            6 => Trouble::Freeze(home),
            12 => Trouble::Replace(home),
            _ => trouble(&mut rng),
        };
        // Callers of a process that is killed end with it.
        strike(&mut fleet, struck).await;
        let writes = Load::begin(&fleet, &all(LARGE), 1, true);
        let reads = Load::begin(&fleet, &all(LARGE), 1, false);
        sleep(Duration::from_millis(rng.random_range(200..1_200))).await;
        writes.end();
        reads.end();
    }
    for (runs, member) in runs.iter().zip(cold) {
        assert!(runs.most() <= MOST, "{member}: {} in a second", runs.most());
        assert!(runs.count() > 0, "{member}: nothing at all");
    }
}
