//! A process that stops serving writes: a server loses some answers for a few seconds, among them
//! those to the settings of sessions (SET) that the process sends before a write.

use crate::client::Client;
use crate::group::Group;
use crate::node::{Node, NodeSettings, wait_until};
use crate::store::Platform;
use crate::{Setup, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 3] = ["thamel-hall", "lalitpur-depot", "bhaktapur-annex"];
/// The largest dose of the site: a fifth of the answers, for 4 s.
const LOST_OF_HUNDRED: u64 = 20;
const LOSS_TIME: Duration = Duration::from_secs(4);
/// How long the run goes on after the disruption.
const REST: Duration = Duration::from_secs(55);
/// What a client waits for an answer: its deadline.
const DEADLINE: Duration = Duration::from_millis(1_000);
/// Pause of a session between two writes.
const PAUSE: Duration = Duration::from_millis(600);
/// Sessions with values of their own.
const SESSIONS: usize = 120;

#[derive(Default)]
struct Tally {
    asked: u64,
    served: u64,
    refused: u64,
    unanswered: u64,
    /// Those of the last seconds of the run.
    late: u64,
    late_served: u64,
}

const CONFIGURATION: &str = "{\"version\":1,\"routes\":[\
    {\"name\":\"r-2\",\"host\":\"lepu270\",\"route_kind\":\"primary\",\"timeout_ms\":800,\
    \"goal_ms\":150,\"priority\":1,\"service\":\"huvo11a\"}],\
    \"services\":[{\"name\":\"huvo11a\",\"max_conns\":34,\"sync_replicas\":1}],\
    \"limits\":{\"tx_idle_ms\":3000}}";

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let platform = Platform::new(Arc::clone(record));
    let group = Group::start("huvo11a", &ZONES, 0, record, &platform);
    platform.put("op", "config", CONFIGURATION);
    let mut nodes: Vec<Node> = Vec::new();
    for (number, zone) in (1..).zip(ZONES) {
        let store = platform.serve(&format!("front-{number}"));
        let cloud = store;
        let settings = NodeSettings {
            number,
            zone,
            store,
            cloud,
        };
        nodes.push(Node::start(setup, &settings));
    }
    for node in &nodes {
        let is_open = wait_until(Duration::from_secs(10), || {
            Client::open(node.front, "lepu270", "u0", record).is_some()
        });
        if !is_open {
            return Verdict::CouldNotRun("no session".to_owned());
        }
    }
    let is_losing = Arc::new(AtomicBool::new(false));
    let losing = Arc::clone(&is_losing);
    let draws = AtomicU64::new(0x2545_f491_4f6c_dd1d);
    let primary = group.lock().servers[0].id.clone();
    *group.loses_answer.lock().unwrap() = Some(Box::new(move |server, _| {
        let is_struck = losing.load(Ordering::Relaxed) && server == primary;
        is_struck && next_draw(&draws) % 100 < LOST_OF_HUNDRED
    }));
    let tally = Arc::new(Mutex::new(Tally::default()));
    let is_late = Arc::new(AtomicBool::new(false));
    let ends = Arc::new(AtomicBool::new(false));
    let mut sessions = Vec::new();
    for number in 0..SESSIONS {
        let front = nodes[number % nodes.len()].front;
        let (record, tally) = (Arc::clone(record), Arc::clone(&tally));
        let (is_late, ends) = (Arc::clone(&is_late), Arc::clone(&ends));
        sessions.push(thread::spawn(move || {
            let mut client = None;
            let mut count = 0;
            while !ends.load(Ordering::Relaxed) {
                count += 1;
                let name = format!("u{number}");
                let late = is_late.load(Ordering::Relaxed);
                let served = operate(&mut client, front, &name, count, &record);
                let mut tally = tally.lock().unwrap();
                tally.asked += 1;
                match served {
                    Served::Yes => tally.served += 1,
                    Served::Refused => tally.refused += 1,
                    Served::NoAnswer => tally.unanswered += 1,
                }
                if late {
                    tally.late += 1;
                    tally.late_served += u64::from(matches!(served, Served::Yes));
                }
                drop(tally);
                thread::sleep(PAUSE);
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    if setup.has_trouble {
        record.line("server i-huvo11a0: loses a fifth of its answers for 4 s");
        is_losing.store(true, Ordering::Relaxed);
    }
    thread::sleep(LOSS_TIME);
    is_losing.store(false, Ordering::Relaxed);
    record.line("server i-huvo11a0: loses no more answers");
    thread::sleep(REST / 2);
    is_late.store(true, Ordering::Relaxed);
    thread::sleep(REST / 2);
    ends.store(true, Ordering::Relaxed);
    let all_run = nodes.iter_mut().all(Node::is_running);
    for session in sessions {
        let _ = session.join();
    }
    if !all_run {
        return Verdict::CouldNotRun("a process has ended".to_owned());
    }
    let tally = tally.lock().unwrap();
    record.say(&format!(
        "{} writes asked, {} served, {} refused, {} without an answer; of {} in the last {} ms, {} \
         were served",
        tally.asked,
        tally.served,
        tally.refused,
        tally.unanswered,
        tally.late,
        (REST / 2).as_millis(),
        tally.late_served
    ));
    let failed = tally.refused + tally.unanswered;
    match (tally.asked, failed * 10 > tally.asked * 6) {
        (0, _) => Verdict::CouldNotRun("nothing was asked".to_owned()),
        (_, true) => Verdict::Broken,
        (_, false) => Verdict::Held,
    }
}

/// The next of a sequence of random numbers (xorshift).
fn next_draw(draws: &AtomicU64) -> u64 {
    let mut draw = draws.load(Ordering::Relaxed);
    draw ^= draw << 13;
    draw ^= draw >> 7;
    draw ^= draw << 17;
    draws.store(draw, Ordering::Relaxed);
    draw >> 20
}

enum Served {
    Yes,
    Refused,
    NoAnswer,
}

/// One write of a session that has a value of its own.
fn operate(
    client: &mut Option<Client>,
    front: SocketAddr,
    name: &str,
    count: u64,
    record: &Arc<crate::record::Record>,
) -> Served {
    if client.is_none() {
        let mut opened = Client::open(front, "lepu270", name, record);
        if let Some(opened) = &mut opened {
            opened.ask(&format!("SET tag {name}"), DEADLINE);
        }
        *client = opened;
    }
    let Some(session) = client else {
        return Served::NoAnswer;
    };
    let answer = session.ask(&format!("WRITE 4c{name} d{count}"), DEADLINE);
    match answer.outcome {
        Ok(_) => Served::Yes,
        Err(code) if code == "NONE" => {
            *client = None;
            Served::NoAnswer
        }
        Err(_) => Served::Refused,
    }
}
