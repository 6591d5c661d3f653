//! Cases `lost` and `empty`: a replica receives nothing for a while, and the primary crashes
//! meanwhile and returns. In `lost` the promotion service is down during that time, in `empty` the
//! other replica starts again and holds nothing of before.

use crate::client::{Answer, Session};
use crate::group::Lag;
use crate::nodes::ZONES;
use crate::record::Record;
use crate::world::{DEADLINE, Failure, Plan, Route, World, configuration};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "kitchen-ledger-1";
const DATABASE: &str = "orders";
const WRITERS: usize = 3;
const PAUSE: Duration = Duration::from_millis(35);
/// How long one replica receives nothing, and when in that time the primary crashes.
const DEAF_TIME: Duration = Duration::from_millis(6_500);
const CRASH_AT: Duration = Duration::from_millis(1_500);
/// How long the primary is down, and the promotion service, from the crash on.
const CRASH_TIME: Duration = Duration::from_millis(2_000);
const OUTAGE_TIME: Duration = Duration::from_millis(4_500);
/// How long the other replica takes to start again.
const RESTART_TIME: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Second {
    /// The promotion service is down.
    Outage,
    /// The other replica starts again empty.
    Empty,
}

pub fn run(
    program: &Path,
    record: &Arc<Record>,
    trouble: &str,
    second: Second,
) -> Result<(), Failure> {
    let plan = Plan {
        program,
        services: &[SERVICE],
        nodes: 6,
        lag: Lag {
            mean_ms: 8.0,
            spread: 0.6,
            max_ms: 48.0,
        },
        tells_born: second == Second::Empty,
    };
    let world = World::start(&plan, Arc::clone(record))?;
    let route = Route {
        database: DATABASE,
        service: SERVICE,
        kind: "primary",
        timeout_ms: 800,
        staleness_ms: 0,
    };
    world
        .store
        .put("op", "config", &configuration(1, &[route], &[SERVICE]));
    world.start_nodes(DATABASE)?;
    let nodes = nodes_of_clients(&world, second)?;
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        for writer in 0..WRITERS {
            let (world, stopped, nodes) = (&world, &stopped, &nodes);
            scope.spawn(move || write_until(world, nodes, writer, stopped));
        }
        let outcome = play(&world, trouble, second);
        stopped.store(true, Ordering::SeqCst);
        outcome
    })?;
    check_final_log(&world);
    Ok(())
}

/// The processes that clients connect to: in `empty` those of one zone, where the holder of the
/// promotion lease isn't.
fn nodes_of_clients(world: &World, second: Second) -> Result<Vec<usize>, Failure> {
    let all = 0..world.nodes.len();
    if second == Second::Outage {
        return Ok(all.collect());
    }
    let until = Instant::now() + Duration::from_secs(5);
    loop {
        if let Some(holder) = world.holder() {
            let zone = (holder + 1) % ZONES.len();
            world.record.say(&format!(
                "{} holds the promotion lease; the clients are in {}",
                world.nodes[holder].name, ZONES[zone]
            ));
            return Ok(all.filter(|node| node % ZONES.len() == zone).collect());
        }
        if Instant::now() > until {
            return Err("no process holds the promotion lease".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn play(world: &World, trouble: &str, second: Second) -> Result<(), Failure> {
    let (record, group) = (&world.record, &world.groups[0]);
    thread::sleep(Duration::from_secs(3));
    let primary = group.primary().ok_or("there is no primary")?;
    let (deaf, other) = ((primary + 2) % 3, (primary + 1) % 3);
    // `TROUBLE=crash` leaves out the second disruption.
    let has_lag = trouble != "0";
    let has_outage = trouble == "1" && second == Second::Outage;
    let has_empty = trouble == "1" && second == Second::Empty;
    let crash_time = match second {
        Second::Outage => CRASH_TIME,
        Second::Empty => CRASH_TIME * 2,
    };
    let began = Instant::now();
    let at = |time: Duration| thread::sleep(time.saturating_sub(began.elapsed()));
    if has_lag {
        record.say(&format!("server {deaf} receives nothing from now on"));
        group.set_deaf(deaf, true);
    }
    at(CRASH_AT);
    if has_outage {
        world.promotion.down();
        record.say("the promotion service is down");
    }
    if has_lag {
        record.say(&format!(
            "the primary crashes; the servers hold {}, {} and {} entries",
            group.log_length(primary),
            group.log_length(other),
            group.log_length(deaf)
        ));
        group.crash(primary);
    }
    if has_empty {
        group.crash(other);
        thread::sleep(RESTART_TIME);
        group.return_empty(other);
        record.say(&format!(
            "server {other} has started again and holds nothing of before"
        ));
    }
    at(CRASH_AT + crash_time);
    if has_lag {
        group.return_server(primary);
    }
    at(CRASH_AT + OUTAGE_TIME);
    if has_outage {
        world.promotion.up()?;
        record.say("the promotion service is back");
    }
    at(DEAF_TIME);
    if has_lag {
        group.set_deaf(deaf, false);
        record.say(&format!("server {deaf} receives again"));
    }
    at(DEAF_TIME + Duration::from_secs(8));
    let id = world.id("last");
    let until = Instant::now() + Duration::from_secs(12);
    while Instant::now() < until {
        for node in &world.nodes {
            if write(world, node.front, &id) {
                record.say("writes are served at the end");
                return Ok(());
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.say("no write is served at the end");
    Ok(())
}

fn write(world: &World, front: std::net::SocketAddr, id: &str) -> bool {
    let Some(mut session) = Session::open(front, DATABASE, DEADLINE) else {
        return false;
    };
    let own = world.id(id);
    let done = matches!(
        session.ask(&own, &format!("WRITE 1a4 {own}")),
        Answer::Complete { .. }
    );
    if done {
        world.groups[0].note_acknowledged(&own);
    }
    session.end();
    done
}

/// A client that writes one row after the other, each with a new id.
fn write_until(world: &World, nodes: &[usize], writer: usize, stopped: &AtomicBool) {
    let mut turn = writer;
    while !stopped.load(Ordering::SeqCst) {
        turn += 1;
        let node = &world.nodes[nodes[turn % nodes.len()]];
        let Some(mut session) = Session::open(node.front, DATABASE, DEADLINE) else {
            thread::sleep(PAUSE * 4);
            continue;
        };
        for _ in 0..20 {
            if stopped.load(Ordering::SeqCst) {
                break;
            }
            let id = world.id("w");
            world.record.line(&format!(
                "client {writer} sends {id} WRITE to {}",
                node.name
            ));
            let answer = session.ask(&id, &format!("WRITE 1a4 {id}"));
            if matches!(answer, Answer::Complete { .. }) {
                world.groups[0].note_acknowledged(&id);
            }
            world
                .record
                .line(&format!("client {writer} gets for {id} {answer:?}"));
            if answer == Answer::Missing {
                break;
            }
            thread::sleep(PAUSE);
        }
        session.end();
    }
}

fn check_final_log(world: &World) {
    let group = &world.groups[0];
    let kept: std::collections::HashSet<String> = group.final_writes().into_iter().collect();
    let acknowledged = group.acknowledged.lock().unwrap();
    let lost = acknowledged.iter().filter(|id| !kept.contains(*id)).count();
    let told = acknowledged.len();
    drop(acknowledged);
    world.record.say(&format!(
        "{told} commits acknowledged, {lost} of them absent at the end"
    ));
    if lost > 0 {
        let seen = format!("{lost} acknowledged commits are absent from the log at the end");
        world.record.violation("LOST", &seen);
    }
}
