//! Ways in which a change of leader may lose an acknowledged commit. Each test loads a fleet,
//! injects a fault, lets the leader change and heals, then requires that the next leader's log
//! holds what was acknowledged. `docs/incidents/ways-to-lose-a-commit.md` lists the ways.

mod support;

use rstest::rstest;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::directory::{Departure, MemberState};
use stilequay_engine::home::placement::HOMES_PER_MEMBER;
use stilequay_engine::leadership::record::{TermPhase, TermRecord};
use support::history::History;
use support::servers::PromoterFault;
use support::{Client, Fleet, GROUP, LEADER_DATABASE, OWN_DATABASE, until};
use tokio::time::{Instant, sleep};

/// Time under load before the fault.
const LOAD_TIME: Duration = Duration::from_secs(1);
/// Time in which the old leader could have commits acknowledged after another was chosen.
const CUT_TIME: Duration = Duration::from_secs(3);
/// Time in which everybody learns of the new leader after the faults have ended.
const HEAL_TIME: Duration = Duration::from_secs(5);
/// Longest time from the healing to an acknowledged write.
const RECOVERY: Duration = Duration::from_secs(6);
/// Callers at each process that commit transactions, if no others do.
const TRANSACTION_CALLERS: usize = 3;
/// Time after the record of the fence in which the members that are reached are fenced.
const FENCE_TIME: Duration = Duration::from_millis(100);
/// How long a process is frozen or cut off: longer than its lease.
const LEASE_LOSS: Duration = Duration::from_secs(4);
/// The bound within which the processes learn the configuration.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(3);
/// Fleet size at which most processes reach the members through homes.
const LARGE_FLEET: usize = 20;

/// How callers commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    Writes,
    Transactions,
    Both,
}

impl Load {
    fn spawn(self, fleet: &Fleet, history: &Arc<History>) {
        if self != Load::Transactions {
            fleet.spawn_callers(history);
        }
        // More would leave more commits unacknowledged than a read records.
        let callers = match self {
            Load::Writes => 0,
            Load::Transactions => TRANSACTION_CALLERS,
            Load::Both => 1,
        };
        for (index, node) in fleet.nodes.iter().enumerate() {
            for caller in 0..callers {
                let session = 1_000 + index * TRANSACTION_CALLERS + caller;
                history.spawn_transaction_caller(&node.engine, OWN_DATABASE, session);
            }
        }
    }
}

/// What becomes of a server that was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Return {
    WithLog,
    Empty,
}

impl Return {
    fn apply(self, fleet: &Fleet, server: &str) {
        match self {
            Return::WithLog => fleet.world.restart(server),
            Return::Empty => fleet.world.start_empty(server),
        }
    }
}

fn recorded_term(fleet: &Fleet) -> Option<TermRecord> {
    let record = fleet.records.get(&TermRecord::key(GROUP))?;
    TermRecord::decode(&record.value).ok()
}

async fn wait_for_phase(fleet: &Fleet, phase: TermPhase) {
    until(|| recorded_term(fleet).is_some_and(|term| term.phase == phase)).await;
}

/// Waits until a target has been recorded; returns it.
async fn wait_for_target(fleet: &Fleet) -> String {
    wait_for_phase(fleet, TermPhase::Promoting).await;
    let target = recorded_term(fleet).and_then(|term| term.target);
    target.expect("a target").to_string()
}

/// A fleet under load.
async fn fleet_under_load(processes: usize, load: Load) -> (Fleet, Arc<History>) {
    let fleet = Fleet::start(processes).await;
    let history = Arc::new(History::default());
    load.spawn(&fleet, &history);
    sleep(LOAD_TIME).await;
    (fleet, history)
}

/// Like [`fleet_under_load`]; all recent commits were acknowledged through `b`.
async fn fleet_with_one_lagging_replica(load: Load) -> (Fleet, Arc<History>) {
    let (fleet, history) = fleet_under_load(3, load).await;
    set_receiving(&fleet, "c", false);
    sleep(LOAD_TIME).await;
    (fleet, history)
}

fn set_receiving(fleet: &Fleet, server: &str, receives: bool) {
    let change = |server: &mut support::servers::Server| server.not_receiving = !receives;
    fleet.world.change(server, change);
}

fn set_silent(fleet: &Fleet, server: &str, silent: bool) {
    let change = |server: &mut support::servers::Server| server.unresponsive = silent;
    fleet.world.change(server, change);
}

/// Cuts all processes but the lease holder off from it and the store, together with the leader.
fn cut_off_with_leader(fleet: &Fleet) {
    let holder = fleet.nodes[fleet.holder()].name.clone();
    let names = fleet.nodes.iter().map(|node| node.name.clone());
    cut_off(fleet, &names.filter(|name| *name != holder).collect());
}

/// Cuts the processes `names` off from all others and the store, together with the leader.
fn cut_off(fleet: &Fleet, names: &HashSet<String>) {
    for node in &fleet.nodes {
        match names.contains(&node.name) {
            true => fleet.records.refuse_node(&node.name, true),
            false => fleet.network().cut("a", &node.name),
        }
    }
    fleet.peers.set_apart(names.iter().cloned());
}

/// Ends the faults of the network, the store, the processes and the servers.
async fn heal(fleet: &Fleet) {
    fleet.network().heal();
    fleet.peers.set_apart([]);
    for node in &fleet.nodes {
        fleet.records.refuse_node(&node.name, false);
        fleet.freeze(&node.name, false);
    }
    for name in ["a", "b", "c"] {
        set_receiving(fleet, name, true);
        set_silent(fleet, name, false);
    }
    sleep(HEAL_TIME).await;
    // The simulated servers replicate only while a commit waits.
    fleet.world.replicate(&fleet.world.leader());
}

/// Requires that the leader has changed, that writes go on, and that no guarantee was violated.
async fn check(fleet: &Fleet, history: &History) {
    let mut client = fleet.session(fleet.holder(), LEADER_DATABASE);
    client.write_until_acknowledged(RECOVERY).await;
    assert_nothing_lost(fleet, history);
}

fn assert_nothing_lost(fleet: &Fleet, history: &History) {
    let (commits, _) = history.counts();
    assert!(commits > 0, "no load");
    assert!(recorded_term(fleet).is_some(), "no change of leader");
    let violations = history.violations(&fleet.world);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// When a server joins a leader that is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Join {
    /// Once the fence is recorded, while the evidence for the leader's term is still valid.
    AsTheFenceBegins,
    /// Once a successor was recorded.
    AfterTheChoice,
}

/// Commits that are acknowledged through an unlisted server would be evidence for further ones.
#[rstest]
#[tokio::test(start_paused = true)]
async fn server_that_joins_the_leader_after_the_fence(
    #[values(Some(300), Some(600), Some(900), None)] listed_after_ms: Option<u64>,
    #[values(Join::AsTheFenceBegins, Join::AfterTheChoice)] join: Join,
    #[values(Load::Writes, Load::Transactions)] load: Load,
) {
    let (fleet, history) = fleet_under_load(2, load).await;
    cut_off_with_leader(&fleet);
    wait_for_phase(&fleet, TermPhase::Fencing).await;
    if join == Join::AfterTheChoice {
        wait_for_target(&fleet).await;
    }
    for name in ["a", "d"] {
        fleet.network().cut(name, "b");
        fleet.network().cut(name, "c");
    }
    let before = fleet.world.server("a").log.len();
    fleet.world.join_unlisted("d");
    if let Some(delay) = listed_after_ms {
        sleep(Duration::from_millis(delay)).await;
        fleet.world.unlisted.lock().unwrap().remove("d");
    }
    sleep(CUT_TIME).await;
    if join == Join::AsTheFenceBegins {
        let after = fleet.world.server("a").log.len();
        assert!(after > before, "no commit through the server");
    }
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// The members that are fenced go down, and a server that joins takes their place in the evidence.
#[rstest]
#[tokio::test(start_paused = true)]
async fn members_that_go_down_after_the_fence(#[values(false, true)] is_listed: bool) {
    let (fleet, history) = fleet_under_load(2, Load::Both).await;
    cut_off_with_leader(&fleet);
    wait_for_target(&fleet).await;
    for name in ["a", "d"] {
        fleet.network().cut(name, "b");
        fleet.network().cut(name, "c");
    }
    fleet.network().cut("d", &fleet.nodes[fleet.holder()].name);
    fleet.world.join_unlisted("d");
    if is_listed {
        fleet.world.unlisted.lock().unwrap().remove("d");
    }
    for name in ["b", "c"] {
        fleet.world.crash(name);
    }
    sleep(CUT_TIME).await;
    for name in ["b", "c"] {
        fleet.world.restart(name);
    }
    sleep(CUT_TIME).await;
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// The leader leaves while an unlisted server has the only other copy of its latest commits.
#[rstest]
#[case::listed_after_300_ms(Some(300))]
#[case::listed_after_600_ms(Some(600))]
#[case::listed_after_900_ms(Some(900))]
#[case::never_listed(None)]
#[tokio::test(start_paused = true)]
async fn leader_that_leaves_an_unlisted_server(#[case] listed_after_ms: Option<u64>) {
    let (fleet, history) = fleet_under_load(2, Load::Both).await;
    fleet.world.join_unlisted("d");
    sleep(Duration::from_millis(200)).await;
    for lagging in ["b", "c"] {
        set_receiving(&fleet, lagging, false);
    }
    sleep(Duration::from_millis(200)).await;
    fleet.world.change("a", |server| {
        server.state = MemberState::Leaving(Departure::at(Instant::now()));
    });
    if let Some(delay) = listed_after_ms {
        sleep(Duration::from_millis(delay)).await;
        fleet.world.unlisted.lock().unwrap().remove("d");
    }
    wait_for_phase(&fleet, TermPhase::Active).await;
    assert_nothing_lost(&fleet, &history);
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// How a paused replica receives again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unpause {
    Restarted,
    RestartedEmpty,
    Resumed,
}

/// A fenced replica receives from a leader that is cut off again.
#[rstest]
#[tokio::test(start_paused = true)]
async fn replica_that_receives_again_after_the_fence(
    #[values(Unpause::Restarted, Unpause::RestartedEmpty, Unpause::Resumed)] how: Unpause,
    #[values(TermPhase::Fencing, TermPhase::Promoting)] phase: TermPhase,
) {
    let (fleet, history) = fleet_under_load(2, Load::Both).await;
    cut_off_with_leader(&fleet);
    wait_for_phase(&fleet, phase).await;
    sleep(FENCE_TIME).await;
    let target = recorded_term(&fleet).and_then(|term| term.target);
    let (target, other) = match target.is_some_and(|target| target.starts_with('b')) {
        true => ("b", "c"),
        false => ("c", "b"),
    };
    fleet.network().cut(target, "a");
    fleet.network().cut(target, other);
    match how {
        Unpause::Restarted => {
            fleet.world.crash(other);
            fleet.world.restart(other);
        }
        Unpause::RestartedEmpty => {
            fleet.world.crash(other);
            fleet.world.start_empty(other);
        }
        Unpause::Resumed => fleet.world.change(other, |server| server.paused_for = 0),
    }
    sleep(CUT_TIME).await;
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// How the lease holder loses its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HolderLoss {
    Frozen,
    CutOffFromStore,
    CutOffFromAll,
}

/// A process that has lost the lease goes on with its fence or its orders.
#[rstest]
#[tokio::test(start_paused = true)]
async fn lease_holder_that_is_replaced(
    #[values(
        HolderLoss::Frozen,
        HolderLoss::CutOffFromStore,
        HolderLoss::CutOffFromAll
    )]
    loss: HolderLoss,
    #[values(TermPhase::Fencing, TermPhase::Promoting)] phase: TermPhase,
    #[values(
        PromoterFault::None,
        PromoterFault::Late(Duration::from_millis(300)),
        PromoterFault::Silent(Duration::from_millis(2_000))
    )]
    orders: PromoterFault,
) {
    let (fleet, history) = fleet_with_one_lagging_replica(Load::Both).await;
    fleet.world.set_promoter_fault(orders);
    set_silent(&fleet, "a", true);
    wait_for_phase(&fleet, phase).await;
    let holder = fleet.holder();
    let name = fleet.nodes[holder].name.clone();
    match loss {
        HolderLoss::Frozen => fleet.freeze(&name, true),
        HolderLoss::CutOffFromStore => fleet.records.refuse_node(&name, true),
        HolderLoss::CutOffFromAll => {
            fleet.records.refuse_node(&name, true);
            fleet.peers.set_apart([name.clone()]);
            for member in ["b", "c"] {
                fleet.network().cut(&name, member);
            }
        }
    }
    sleep(LEASE_LOSS).await;
    assert_ne!(fleet.holder(), holder);
    fleet.world.set_promoter_fault(PromoterFault::None);
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// Commands that had reached an old leader before it was frozen run after it was replaced.
#[rstest]
#[case::while_it_is_fenced(TermPhase::Fencing, Duration::ZERO)]
#[case::once_another_is_chosen(TermPhase::Promoting, Duration::ZERO)]
#[case::once_another_leads(TermPhase::Active, Duration::ZERO)]
#[case::long_after(TermPhase::Active, Duration::from_secs(3))]
#[tokio::test(start_paused = true)]
async fn old_leader_that_thaws(
    #[case] phase: TermPhase,
    #[case] after: Duration,
    #[values(false, true)] reaches_others: bool,
) {
    let (fleet, history) = fleet_with_one_lagging_replica(Load::Both).await;
    set_silent(&fleet, "a", true);
    if !reaches_others {
        fleet.network().cut("a", "b");
    }
    wait_for_phase(&fleet, phase).await;
    sleep(after).await;
    set_receiving(&fleet, "c", true);
    set_silent(&fleet, "a", false);
    sleep(CUT_TIME).await;
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// The log that the old leader has after a restart is taken for the one that it had as leader.
#[rstest]
#[tokio::test(start_paused = true)]
async fn old_leader_that_restarts_during_the_fence(
    #[values(Return::WithLog, Return::Empty)] log: Return,
    #[values(false, true)] is_listed: bool,
) {
    let (fleet, history) = fleet_with_one_lagging_replica(Load::Both).await;
    fleet.world.crash("a");
    set_silent(&fleet, "b", true);
    wait_for_phase(&fleet, TermPhase::Fencing).await;
    sleep(FENCE_TIME).await;
    log.apply(&fleet, "a");
    if !is_listed {
        fleet.world.change("a", |server| server.started_at = None);
    }
    sleep(CUT_TIME).await;
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// The target had the only copy that is reached when it was chosen.
#[rstest]
#[tokio::test(start_paused = true)]
async fn target_that_crashes_after_the_choice(
    #[values(false, true)] is_recorded: bool,
    #[values(Return::WithLog, Return::Empty)] log: Return,
) {
    let (fleet, history) = fleet_with_one_lagging_replica(Load::Both).await;
    set_silent(&fleet, "a", true);
    if is_recorded {
        assert_eq!(wait_for_target(&fleet).await, "b");
        fleet.world.crash("b");
    } else {
        wait_for_phase(&fleet, TermPhase::Fencing).await;
        let holder = fleet.nodes[fleet.holder()].name.clone();
        sleep(Duration::from_millis(350)).await;
        fleet.records.refuse_node(&holder, true);
        sleep(Duration::from_millis(300)).await;
        fleet.world.crash("b");
        fleet.records.refuse_node(&holder, false);
        assert_eq!(wait_for_target(&fleet).await, "b");
    }
    sleep(Duration::from_secs(1)).await;
    log.apply(&fleet, "b");
    sleep(CUT_TIME).await;
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// A leader that has just been promoted fails when only one other member has its first commits.
#[rstest]
#[case::crashes(false)]
#[case::falls_silent(true)]
#[tokio::test(start_paused = true)]
async fn leader_that_fails_right_after_its_promotion(#[case] is_silent: bool) {
    let (fleet, history) = fleet_with_one_lagging_replica(Load::Both).await;
    fleet.world.crash("a");
    assert_eq!(wait_for_target(&fleet).await, "b");
    fleet.world.restart("a");
    wait_for_phase(&fleet, TermPhase::Active).await;
    let mut client = fleet.session(fleet.holder(), LEADER_DATABASE);
    client.write_until_acknowledged(RECOVERY).await;
    match is_silent {
        true => set_silent(&fleet, "b", true),
        false => fleet.world.crash("b"),
    }
    sleep(CUT_TIME).await;
    fleet.world.restart("b");
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// Sets the number of replicas that must receive a commit.
fn set_sync_replicas(fleet: &Fleet, count: usize) {
    fleet.configuration.send_modify(|configuration| {
        configuration.version += 1;
        let group = configuration.groups.get_mut(GROUP);
        group.expect("a group").sync_replicas = count;
    });
}

/// The choice counts copies by another number than the one by which commits were acknowledged.
#[rstest]
#[case::raised_before_the_fence(2, None)]
#[case::raised_during_the_fence(2, Some(TermPhase::Fencing))]
#[case::raised_after_the_choice(2, Some(TermPhase::Promoting))]
#[case::lowered_before_the_fence(0, None)]
#[case::lowered_during_the_fence(0, Some(TermPhase::Fencing))]
#[case::lowered_after_the_choice(0, Some(TermPhase::Promoting))]
#[tokio::test(start_paused = true)]
async fn sync_replicas_that_change_with_the_leader(
    #[case] count: usize,
    #[case] after: Option<TermPhase>,
    #[values(false, true)] is_replica_silent: bool,
) {
    let (fleet, history) = fleet_with_one_lagging_replica(Load::Both).await;
    set_silent(&fleet, "a", true);
    set_silent(&fleet, "b", is_replica_silent);
    match after {
        Some(TermPhase::Promoting) if is_replica_silent => {
            // No target can be chosen.
            wait_for_phase(&fleet, TermPhase::Fencing).await;
            sleep(Duration::from_secs(1)).await;
        }
        Some(phase) => wait_for_phase(&fleet, phase).await,
        None => {}
    }
    set_sync_replicas(&fleet, count);
    sleep(CUT_TIME).await;
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// A process that is cut off from the configuration goes on without evidence for the term.
#[tokio::test(start_paused = true)]
async fn sync_replicas_that_are_raised_unknown_to_a_process_that_is_cut_off() {
    let (fleet, _) = fleet_under_load(2, Load::Writes).await;
    set_sync_replicas(&fleet, 0);
    sleep(LOAD_TIME).await;
    cut_off_with_leader(&fleet);
    set_sync_replicas(&fleet, 1);
    wait_for_target(&fleet).await;
    for name in ["a", "d"] {
        fleet.network().cut(name, "b");
        fleet.network().cut(name, "c");
    }
    fleet.world.join_unlisted("d");
    sleep(CONFIGURATION_BOUND).await;
    let history = Arc::new(History::default());
    Load::Both.spawn(&fleet, &history);
    sleep(CUT_TIME).await;
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// The processes that are homes of the server `name`.
fn homes_of(fleet: &Fleet, name: &str) -> HashSet<String> {
    let engine = &fleet.nodes[0].engine;
    let directory = engine.directory();
    let member = directory
        .members_of(GROUP)
        .into_iter()
        .find(|member| member.id.starts_with(name));
    let candidates = engine.homes().candidates(&member.expect("a member"));
    let homes = candidates.iter().take(HOMES_PER_MEMBER);
    homes.map(|peer| peer.node.to_string()).collect()
}

/// A commit that is forwarded to a home would confirm itself at the process that forwarded it.
#[rstest]
#[tokio::test(start_paused = true)]
async fn commits_forwarded_by_a_process_that_is_cut_off(
    #[values(Join::AsTheFenceBegins, Join::AfterTheChoice)] join: Join,
    #[values(Some(600), None)] listed_after_ms: Option<u64>,
) {
    let fleet = Fleet::start(LARGE_FLEET).await;
    let knows_fleet = |node: &support::Node| node.engine.homes().fleet().len() == LARGE_FLEET;
    until(|| fleet.nodes.iter().all(knows_fleet)).await;
    // Until direct connections opened before the fleet was known are closed.
    sleep(Duration::from_secs(3)).await;
    let history = Arc::new(History::default());
    let holder = fleet.nodes[fleet.holder()].name.clone();
    let mut homes = homes_of(&fleet, "a");
    homes.remove(&holder);
    let is_forwarding = |name: &String| !homes.contains(name) && *name != holder;
    let names = fleet.nodes.iter().map(|node| node.name.clone());
    let forwarding: HashSet<String> = names.filter(is_forwarding).take(4).collect();
    let nodes = fleet.nodes.iter().enumerate();
    // The holder needs requests of its own to notice that the leader is away.
    let is_used = |name: &String| forwarding.contains(name) || *name == holder;
    for (index, node) in nodes.filter(|(_, node)| is_used(&node.name)) {
        history.spawn_caller(&node.engine, OWN_DATABASE, index);
        history.spawn_transaction_caller(&node.engine, OWN_DATABASE, 1_000 + index);
    }
    sleep(LOAD_TIME).await;
    cut_off(&fleet, &(&homes | &forwarding));
    wait_for_phase(&fleet, TermPhase::Fencing).await;
    if join == Join::AfterTheChoice {
        wait_for_target(&fleet).await;
    }
    for name in ["a", "d"] {
        fleet.network().cut(name, "b");
        fleet.network().cut(name, "c");
    }
    fleet.world.join_unlisted("d");
    if let Some(delay) = listed_after_ms {
        sleep(Duration::from_millis(delay)).await;
        fleet.world.unlisted.lock().unwrap().remove("d");
    }
    sleep(CUT_TIME).await;
    heal(&fleet).await;
    check(&fleet, &history).await;
}

/// Without synchronous replication commits may be lost; writes go on, and no write runs twice.
#[rstest]
#[tokio::test(start_paused = true)]
async fn commits_without_synchronous_replication_may_be_lost(
    #[values(Load::Writes, Load::Transactions)] load: Load,
) {
    let (fleet, history) = fleet_under_load(2, load).await;
    set_sync_replicas(&fleet, 0);
    sleep(LOAD_TIME).await;
    cut_off_with_leader(&fleet);
    wait_for_target(&fleet).await;
    for name in ["a", "d"] {
        fleet.network().cut(name, "b");
        fleet.network().cut(name, "c");
    }
    fleet.world.join_unlisted("d");
    sleep(CUT_TIME).await;
    heal(&fleet).await;
    let mut client = Client::open(&fleet.nodes[fleet.holder()].engine, LEADER_DATABASE);
    client.write_until_acknowledged(RECOVERY).await;
    let mut others = history.violations(&fleet.world);
    others.retain(|violation| !violation.starts_with("lost: "));
    assert!(others.is_empty(), "{others:#?}");
}
