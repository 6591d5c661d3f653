//! LOST: the only replica that has some commits leaves as planned, and the primary crashes for a
//! while. The other replica, which received nothing meanwhile, is promoted.

use crate::client::Client;
use crate::group::Group;
use crate::node::{Node, NodeSettings, wait_until};
use crate::store::Platform;
use crate::{Setup, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["thamel-hall", "lalitpur-depot", "bhaktapur-annex"];
const PRIMARY: usize = 0;
const LEAVING: usize = 1;
const DEAF: usize = 2;
/// How long the leaving server serves on after its entry has gone: `drain_ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(9_000);
/// How long the other replica receives nothing.
const DEAF_TIME: Duration = Duration::from_millis(6_500);
/// How long before the end of the leaving server that begins.
const DEAF_BEFORE: Duration = Duration::from_millis(4_500);
/// How long before that a client of the holder rests, if it has one.
const REST_BEFORE: Duration = Duration::from_millis(500);
/// How long the primary is down.
const DOWN: Duration = Duration::from_millis(7_000);
const PATIENCE: Duration = Duration::from_millis(1_000);
const WRITERS: usize = 3;

const CONFIGURATION: &str = "{\"version\":1,\"routes\":[\
    {\"name\":\"r-2\",\"host\":\"lepu270\",\"route_kind\":\"primary\",\"timeout_ms\":800,\
    \"goal_ms\":150,\"priority\":1,\"service\":\"huvo11a\"}],\
    \"services\":[{\"name\":\"huvo11a\",\"max_conns\":34,\"sync_replicas\":1}],\
    \"limits\":{\"tx_idle_ms\":3000}}";

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let platform = Platform::new(Arc::clone(record));
    let group = Group::start("huvo11a", &ZONES, PRIMARY, record, &platform);
    platform.put("op", "config", CONFIGURATION);
    let holder: Arc<Mutex<Option<usize>>> = Arc::default();
    let (seen, writes) = (Arc::clone(&holder), Arc::clone(record));
    *platform.on_write.lock().unwrap() = Some(Box::new(move |caller, table, key, value| {
        if table.contains("leases") {
            *seen.lock().unwrap() = caller.parse().ok();
        } else if key.starts_with("term/") {
            let phases = ["fencing", "promoting", "active"];
            let phase = phases.into_iter().find(|phase| value.contains(phase));
            writes.line(&format!("process {caller}: records {key}, {phase:?}"));
        }
    }));
    let promoting = Arc::clone(&group);
    *platform.on_order.lock().unwrap() =
        Some(Box::new(move |_, _, _, _, id| promoting.promote(id)));
    let mut nodes: Vec<Node> = Vec::new();
    for (number, zone) in (0..).zip(ZONES) {
        let store = platform.serve(&usize::from(number).to_string());
        let settings = NodeSettings {
            number,
            zone,
            store,
            cloud: store,
        };
        nodes.push(Node::start(setup, &settings));
    }
    if !wait_until(Duration::from_secs(10), || holder.lock().unwrap().is_some()) {
        return Verdict::CouldNotRun("no process holds the lease".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    // The clients of this database are in the zones of the other processes.
    let holding = holder.lock().unwrap().unwrap_or(0);
    record.line(&format!("process {holding}: holds the promotion lease"));
    let others: Vec<SocketAddr> = nodes
        .iter()
        .enumerate()
        .filter(|(number, _)| *number != holding)
        .map(|(_, node)| node.front)
        .collect();
    let ends = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<Vec<String>>> = Arc::default();
    let writers: Vec<thread::JoinHandle<()>> = (0..WRITERS)
        .map(|number| {
            let front = others[number % others.len()];
            spawn_writer(setup, front, number, &ends, &acknowledged)
        })
        .collect();
    // With HOLDER=rests, the holder has a client too, which rests before the replica turns deaf.
    let rests = Arc::new(AtomicBool::new(false));
    let has_client = std::env::var("HOLDER").as_deref() == Ok("rests");
    let resting = has_client.then(|| {
        let front = nodes[holding].front;
        spawn_writer(setup, front, WRITERS, &rests, &acknowledged)
    });
    thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    group.unlist(LEAVING);
    thread::sleep(SERVES_ON - DEAF_BEFORE - REST_BEFORE);
    rests.store(true, Ordering::Relaxed);
    thread::sleep(REST_BEFORE);
    if setup.has_trouble {
        record.line("server i-huvo11a2: receives nothing for 6500 ms");
        group.deafen(DEAF, DEAF_TIME);
    }
    thread::sleep((began + SERVES_ON).saturating_duration_since(Instant::now()));
    group.crash(LEAVING);
    thread::sleep(Duration::from_millis(200));
    if setup.has_trouble {
        group.crash(PRIMARY);
        thread::sleep(DOWN);
        group.revive(PRIMARY);
    }
    thread::sleep(Duration::from_secs(6));
    ends.store(true, Ordering::Relaxed);
    let all_run = nodes.iter_mut().all(Node::is_running);
    for writer in writers.into_iter().chain(resting) {
        let _ = writer.join();
    }
    if !all_run {
        return Verdict::CouldNotRun("a process has ended".to_owned());
    }
    judge(
        setup,
        &group,
        &acknowledged.lock().unwrap(),
        holding,
        &holder,
    )
}

fn judge(
    setup: &Setup,
    group: &Group,
    acknowledged: &[String],
    holding: usize,
    holder: &Mutex<Option<usize>>,
) -> Verdict {
    let record = &setup.record;
    let state = group.lock();
    if acknowledged.is_empty() {
        return Verdict::CouldNotRun("nothing was acknowledged".to_owned());
    }
    let Some((id, log)) = state.promoted.first() else {
        record.say(&format!(
            "{} commits acknowledged; no server was promoted",
            acknowledged.len()
        ));
        return Verdict::Held;
    };
    // Those that were acknowledged before the promotion; later ones carry on its log.
    let primary = &state.servers[group_leader(&state.servers)];
    let lost: Vec<&String> = acknowledged
        .iter()
        .filter(|data| !log.contains(*data) && !primary.holds(data))
        .collect();
    for data in &lost {
        record.line(&format!("LOST: the commit of {data} was acknowledged"));
    }
    let same = *holder.lock().unwrap() == Some(holding);
    record.say(&format!(
        "{} commits acknowledged, {} of them not in the log of {id}, which was promoted; the holder \
         of the lease stayed the same: {same}",
        acknowledged.len(),
        lost.len()
    ));
    match lost.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

fn group_leader(servers: &[crate::group::Server]) -> usize {
    let leaders = servers.iter().enumerate();
    let leaders = leaders.filter(|(_, server)| server.is_primary);
    leaders.map(|(index, _)| index).next().unwrap_or(0)
}

/// A session that writes all the time, each time other data.
fn spawn_writer(
    setup: &Setup,
    front: SocketAddr,
    number: usize,
    ends: &Arc<AtomicBool>,
    acknowledged: &Arc<Mutex<Vec<String>>>,
) -> thread::JoinHandle<()> {
    let (record, ends) = (Arc::clone(&setup.record), Arc::clone(ends));
    let acknowledged = Arc::clone(acknowledged);
    thread::spawn(move || {
        let mut session = None;
        let mut count = 0;
        while !ends.load(Ordering::Relaxed) {
            count += 1;
            if session.is_none() {
                session = Client::open(front, "lepu270", &format!("u{number}"), &record);
            }
            if let Some(open) = &mut session {
                let data = format!("d{number}x{count}");
                let answer = open.ask(&format!("WRITE 9f{} {data}", count % 50), PATIENCE);
                match answer.outcome {
                    Ok(_) => acknowledged.lock().unwrap().push(data),
                    Err(code) if code == "NONE" => session = None,
                    Err(_) => {}
                }
            }
            thread::sleep(Duration::from_millis(35));
        }
    })
}
