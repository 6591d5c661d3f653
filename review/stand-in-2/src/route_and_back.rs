//! STALE: a session that reads its own writes writes to one service, then to another one after a
//! change of its route, and reads at the first one after the route was changed back.

use crate::client::Client;
use crate::group::Group;
use crate::node::{Node, NodeSettings, wait_until};
use crate::store::Platform;
use crate::{Setup, Verdict};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["thamel-hall", "lalitpur-depot", "bhaktapur-annex"];
/// The largest staleness of the route.
const MAX_STALENESS: Duration = Duration::from_millis(2_500);
/// How long the replica in the zone of the process receives nothing.
const DEAF_TIME: Duration = Duration::from_millis(6_500);
const PATIENCE: Duration = Duration::from_millis(1_000);
const ROUNDS: usize = 4;

fn configuration(version: u64, service: &str) -> String {
    let services = ["huvo11a", "kafi81c"]
        .map(|name| format!("{{\"name\":\"{name}\",\"max_conns\":34,\"sync_replicas\":1}}"));
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-1\",\"host\":\"fiti832\",\"route_kind\":\"read_your_writes\",\"timeout_ms\":800,\
         \"goal_ms\":250,\"priority\":2,\"service\":\"{service}\",\"max_staleness_ms\":2500}},\
         {{\"name\":\"r-2\",\"host\":\"lepu270\",\"route_kind\":\"primary\",\"timeout_ms\":800,\
         \"goal_ms\":150,\"priority\":1,\"service\":\"huvo11a\"}}],\
         \"services\":[{}],\"limits\":{{\"tx_idle_ms\":3000}}}}",
        services.join(",")
    )
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let platform = Platform::new(Arc::clone(record));
    // The leaders are in another zone than the process.
    let first = Group::start("huvo11a", &ZONES, 1, record, &platform);
    let second = Group::start("kafi81c", &ZONES, 1, record, &platform);
    platform.put("op", "config", &configuration(1, "huvo11a"));
    let store = platform.serve("front-1");
    let settings = NodeSettings {
        number: 1,
        zone: ZONES[0],
        store,
        cloud: store,
    };
    let mut node = Node::start(setup, &settings);
    let mut session = None;
    let is_open = wait_until(Duration::from_secs(10), || {
        session = Client::open(node.front, "fiti832", "u3f1", record);
        session.is_some()
    });
    let Some(mut session) = session.filter(|_| is_open) else {
        return Verdict::CouldNotRun("no session".to_owned());
    };
    let ends = Arc::new(AtomicBool::new(false));
    let traffic = spawn_traffic(setup, &node, &ends);
    // Longer than the staleness, so that the process knows positions of the log that old.
    thread::sleep(Duration::from_secs(4));
    let mut version = 1;
    let mut stale = 0;
    let mut reads = 0;
    let mut rounds = 0;
    for round in 0..ROUNDS {
        let began = Instant::now();
        if setup.has_trouble {
            record.line("server i-huvo11a0: receives nothing for 6500 ms");
            first.deafen(0, DEAF_TIME);
        }
        thread::sleep(Duration::from_millis(100));
        let thing = format!("1a{round}");
        let written = session.ask(&format!("WRITE {thing} own{round}"), PATIENCE);
        if written.outcome.is_err() || entry_of(&first, &written.id).is_none() {
            record.line("round left out: the write was not acknowledged");
            thread::sleep(DEAF_TIME);
            continue;
        }
        let mut acknowledged = vec![written.id];
        version += 3;
        platform.put("op", "config", &configuration(version, "kafi81c"));
        record.line(&format!(
            "operator: version {version}: fiti832 goes to kafi81c"
        ));
        let mut has_moved = false;
        wait_until(Duration::from_secs(1), || {
            let moved = session.ask(&format!("WRITE {thing} there{round}"), PATIENCE);
            has_moved = moved.outcome.is_ok() && entry_of(&second, &moved.id).is_some();
            if moved.outcome.is_ok() {
                acknowledged.push(moved.id);
            }
            has_moved
        });
        version += 2;
        platform.put("op", "config", &configuration(version, "huvo11a"));
        record.line(&format!(
            "operator: version {version}: fiti832 goes to huvo11a"
        ));
        if !has_moved {
            record.line("round left out: the change did not take effect in time");
            thread::sleep(DEAF_TIME);
            continue;
        }
        // The last acknowledged write at the first service is the one that later reads have to see.
        let own = acknowledged.iter().filter_map(|id| entry_of(&first, id));
        let entry = own.max().unwrap_or(0);
        rounds += 1;
        while began.elapsed() < MAX_STALENESS {
            let read = session.ask(&format!("READ {thing}"), PATIENCE);
            if read.outcome.is_ok() {
                reads += 1;
                stale += usize::from(is_stale(setup, &first, &read.id, entry));
            }
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep((began + DEAF_TIME + Duration::from_secs(3)) - Instant::now());
    }
    ends.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    if !node.is_running() {
        return Verdict::CouldNotRun("the process has ended".to_owned());
    }
    record.say(&format!(
        "{rounds} rounds, {reads} reads after the route had come back, {stale} of them stale"
    ));
    match (rounds, stale) {
        (0, _) => Verdict::CouldNotRun("no round".to_owned()),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Other sessions, which read and write at the first service all the time.
fn spawn_traffic(setup: &Setup, node: &Node, ends: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (front, record, ends) = (node.front, Arc::clone(&setup.record), Arc::clone(ends));
    thread::spawn(move || {
        let mut session = None;
        let mut count = 0;
        while !ends.load(Ordering::Relaxed) {
            count += 1;
            if session.is_none() {
                session = Client::open(front, "lepu270", "u7k2", &record);
            }
            if let Some(other) = &mut session {
                let answer = other.ask(&format!("WRITE 9f{} x{count}", count % 50), PATIENCE);
                if answer.outcome.as_ref().is_err_and(|code| code == "NONE") {
                    session = None;
                }
            }
            thread::sleep(Duration::from_millis(40));
        }
    })
}

/// The index in the log of the commit with this id, if a server of `group` ran it.
fn entry_of(group: &Group, id: &str) -> Option<usize> {
    let state = group.lock();
    let runs = state.runs.get(id)?;
    runs.iter().map(|run| run.entry).max()
}

/// Whether the read ran at a server of `group` whose log lacked the entry.
fn is_stale(setup: &Setup, group: &Group, id: &str, entry: usize) -> bool {
    let state = group.lock();
    let Some(runs) = state.runs.get(id) else {
        return false;
    };
    let stale = runs.iter().find(|run| run.applied < entry);
    if let Some(run) = stale {
        setup.record.line(&format!(
            "STALE: {id} ran at {} whose log had {} entries; the session's own write is entry {entry}",
            run.server, run.applied
        ));
    }
    stale.is_some()
}
