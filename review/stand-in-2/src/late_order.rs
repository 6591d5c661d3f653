//! ONE: an order that a former holder sent before its path was cut arrives after the next holder's.

use crate::client::Client;
use crate::group::Group;
use crate::node::{Node, NodeSettings, wait_until};
use crate::path::NetworkPath;
use crate::store::Platform;
use crate::{Setup, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["thamel-hall", "lalitpur-depot", "bhaktapur-annex"];
const ROUNDS: usize = 11;
/// Time limit of the rounds.
const LIMIT: Duration = Duration::from_secs(80);
/// The longest cut.
const MAX_CUT: Duration = Duration::from_millis(1_400);
/// The cut begins after a renewal of the lease that is at least this old, so that the next holder
/// comes in time. Otherwise the round goes on without a cut.
const MIN_RENEWAL_AGE: Duration = Duration::from_millis(110);
/// Time after which a process has the answer of the platform.
const ANSWER_ARRIVES: Duration = Duration::from_millis(2);
const PATIENCE: Duration = Duration::from_millis(1_000);

const CONFIGURATION: &str = "{\"version\":1,\"routes\":[\
    {\"name\":\"r-2\",\"host\":\"lepu270\",\"route_kind\":\"primary\",\"timeout_ms\":800,\
    \"goal_ms\":150,\"priority\":1,\"service\":\"huvo11a\"}],\
    \"services\":[{\"name\":\"huvo11a\",\"max_conns\":34,\"sync_replicas\":1}],\
    \"limits\":{\"tx_idle_ms\":3000}}";

/// An order as the platform has seen it.
#[derive(Debug, Clone)]
struct Order {
    caller: usize,
    token: u64,
}

#[derive(Debug, Default)]
struct Seen {
    orders: Vec<Order>,
    /// Who renewed the lease last, and when.
    renewed: Option<(usize, Instant)>,
    /// Whether the next target that the holder records starts a cut.
    is_armed: bool,
    cut: Option<(usize, Instant)>,
    /// How often the record of the term became active.
    active: usize,
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let platform = Platform::new(Arc::clone(record));
    let group = Group::start("huvo11a", &ZONES, 0, record, &platform);
    platform.put("op", "config", CONFIGURATION);
    let mut nodes: Vec<Node> = Vec::new();
    let mut paths = Vec::new();
    for (number, zone) in (0..).zip(ZONES) {
        let served = platform.serve(&usize::from(number).to_string());
        let (store, cloud) = (NetworkPath::start(served), NetworkPath::start(served));
        let settings = NodeSettings {
            number,
            zone,
            store: store.address,
            cloud: cloud.address,
        };
        nodes.push(Node::start(setup, &settings));
        paths.push([store, cloud]);
    }
    let paths = Arc::new(paths);
    let seen = Arc::new(Mutex::new(Seen::default()));
    watch_writes(setup, &platform, &paths, &seen);
    let (ordered, promoting) = (Arc::clone(&seen), Arc::clone(&group));
    *platform.on_order.lock().unwrap() = Some(Box::new(move |caller, _, token, _, id| {
        let caller = caller.parse().unwrap_or(0);
        ordered.lock().unwrap().orders.push(Order { caller, token });
        promoting.promote(id)
    }));
    for node in &nodes {
        let is_open = wait_until(Duration::from_secs(10), || {
            Client::open(node.front, "lepu270", "u0", record).is_some()
        });
        if !is_open {
            return Verdict::CouldNotRun("no session".to_owned());
        }
    }
    let ends = Arc::new(AtomicBool::new(false));
    let traffic: Vec<thread::JoinHandle<()>> = nodes
        .iter()
        .map(|node| spawn_traffic(setup, node, &ends))
        .collect();
    thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    // The first change of leader leaves the holder with an open connection to the platform.
    let mut cuts = 0;
    for round in 0..=ROUNDS {
        if began.elapsed() > LIMIT {
            break;
        }
        seen.lock().unwrap().is_armed = setup.has_trouble && round > 0;
        let active = seen.lock().unwrap().active;
        let primary = group.primary();
        group.crash(primary);
        let is_cut = || seen.lock().unwrap().cut;
        let is_done = || seen.lock().unwrap().active > active;
        wait_until(Duration::from_secs(10), || is_done() || is_cut().is_some());
        if let Some((holder, at)) = is_cut() {
            cuts += 1;
            let others_ordered = || {
                let seen = seen.lock().unwrap();
                let last = seen.orders.last();
                last.is_some_and(|order| order.caller != holder)
            };
            let left = (at + MAX_CUT).saturating_duration_since(Instant::now());
            let has_ordered = wait_until(left, others_ordered);
            paths[holder].iter().for_each(NetworkPath::heal);
            record.line(&format!(
                "process {holder}: the cut has healed after {} ms; another one has ordered: {has_ordered}",
                at.elapsed().as_millis()
            ));
            thread::sleep(Duration::from_secs(2));
            let mut seen = seen.lock().unwrap();
            seen.cut = None;
        }
        seen.lock().unwrap().is_armed = false;
        wait_until(Duration::from_secs(5), is_done);
        thread::sleep(Duration::from_secs(1));
        group.revive(primary);
        if find_stale(&seen.lock().unwrap().orders).is_some() {
            break;
        }
        // The crashes come at different times after a renewal.
        thread::sleep(Duration::from_millis(3_500 + 67 * round as u64));
    }
    ends.store(true, Ordering::Relaxed);
    let all_run = nodes.iter_mut().all(Node::is_running);
    for thread in traffic {
        let _ = thread.join();
    }
    if !all_run {
        return Verdict::CouldNotRun("a process has ended".to_owned());
    }
    let orders = seen.lock().unwrap().orders.clone();
    let tokens: Vec<String> = orders
        .iter()
        .map(|order| format!("{} from process {}", order.token, order.caller))
        .collect();
    record.say(&format!("{cuts} cuts; tokens: {}", tokens.join(", ")));
    match (orders.is_empty(), find_stale(&orders)) {
        (true, _) => Verdict::CouldNotRun("no order".to_owned()),
        (false, Some((before, late))) => {
            record.say(&format!("token {late} arrived after token {before}"));
            Verdict::Broken
        }
        (false, None) if setup.has_trouble && cuts == 0 => {
            Verdict::CouldNotRun("no cut".to_owned())
        }
        (false, None) => Verdict::Held,
    }
}

/// The first token that is lower than one before it, with that one.
fn find_stale(orders: &[Order]) -> Option<(u64, u64)> {
    let mut highest = 0;
    for order in orders {
        if order.token < highest {
            return Some((highest, order.token));
        }
        highest = order.token;
    }
    None
}

/// Watches what the processes write, and cuts the holder off when it has recorded a target.
fn watch_writes(
    setup: &Setup,
    platform: &Arc<Platform>,
    paths: &Arc<Vec<[NetworkPath; 2]>>,
    seen: &Arc<Mutex<Seen>>,
) {
    let (record, paths, seen) = (
        Arc::clone(&setup.record),
        Arc::clone(paths),
        Arc::clone(seen),
    );
    *platform.on_write.lock().unwrap() = Some(Box::new(move |caller, table, key, value| {
        let caller: usize = caller.parse().unwrap_or(0);
        let mut seen = seen.lock().unwrap();
        let now = Instant::now();
        if table.contains("leases") {
            seen.renewed = Some((caller, now));
            return;
        }
        if !key.starts_with("term/") {
            return;
        }
        let phases = ["fencing", "promoting", "active"];
        let phase = phases.into_iter().find(|phase| value.contains(phase));
        record.line(&format!("process {caller}: records {key}, {phase:?}"));
        seen.active += usize::from(phase == Some("active"));
        let age = seen.renewed.filter(|(by, _)| *by == caller);
        let age = age.map(|(_, at)| now - at);
        let is_old = age.is_some_and(|age| age >= MIN_RENEWAL_AGE);
        if phase == Some("promoting") && seen.is_armed && seen.cut.is_none() && is_old {
            seen.is_armed = false;
            seen.cut = Some((caller, now));
            let (record, paths) = (Arc::clone(&record), Arc::clone(&paths));
            thread::spawn(move || {
                thread::sleep(ANSWER_ARRIVES);
                paths[caller].iter().for_each(NetworkPath::cut);
                record.line(&format!("process {caller}: cut off from the platform"));
            });
        }
    }));
}

/// Sessions that write all the time.
fn spawn_traffic(setup: &Setup, node: &Node, ends: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (front, record, ends) = (node.front, Arc::clone(&setup.record), Arc::clone(ends));
    let name = node.name.clone();
    thread::spawn(move || {
        let mut session = None;
        let mut count = 0;
        while !ends.load(Ordering::Relaxed) {
            count += 1;
            if session.is_none() {
                session = Client::open(front, "lepu270", &name, &record);
            }
            if let Some(open) = &mut session {
                let answer = open.ask(&format!("WRITE 9f{} x{count}", count % 50), PATIENCE);
                if answer.outcome.as_ref().is_err_and(|code| code == "NONE") {
                    session = None;
                }
            }
            thread::sleep(Duration::from_millis(30));
        }
    })
}
