//! Case `stale`: a database moves to another service and back in quick succession, and a session
//! that has written to both reads where its first commit isn't applied yet.

use crate::client::{Answer, Session};
use crate::group::{Lag, READS};
use crate::record::Record;
use crate::world::{DEADLINE, Failure, Plan, Route, World, configuration};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SERVICES: [&str; 2] = ["member-ledger-1", "member-ledger-2"];
const DATABASE: &str = "prices";
/// Another database of each service, whose clients keep both busy.
const OTHERS: [&str; 2] = ["tills-1", "tills-2"];
/// How far the replicas are behind, as the site file has it.
const LAG: Lag = Lag {
    mean_ms: 60.0,
    spread: 0.6,
    max_ms: 360.0,
};
const STALENESS_MS: u64 = 2_500;
/// Time between two configurations.
const GAP: Duration = Duration::from_millis(80);
const ROUNDS: usize = 50;
/// Time until a configuration is known everywhere.
const KNOWN: Duration = Duration::from_millis(6);

pub fn run(program: &Path, record: &Arc<Record>, trouble: &str) -> Result<(), Failure> {
    let plan = Plan {
        program,
        services: &SERVICES,
        nodes: 6,
        lag: LAG,
    };
    let world = World::start(&plan, Arc::clone(record))?;
    let mut version = 1;
    write_configuration(&world, version, 0);
    world.start_nodes(DATABASE)?;
    let stopped = std::sync::atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        for (number, other) in OTHERS.iter().enumerate() {
            let (world, stopped) = (&world, &stopped);
            scope.spawn(move || keep_busy(world, other, number, stopped));
        }
        thread::sleep(Duration::from_secs(3));
        for round in 0..ROUNDS {
            play(&world, round, &mut version, trouble != "0");
            thread::sleep(Duration::from_millis(400));
        }
        stopped.store(true, std::sync::atomic::Ordering::SeqCst);
    });
    Ok(())
}

fn write_configuration(world: &World, version: u64, service: usize) {
    let route = |database, service| Route {
        database,
        service,
        kind: "read_your_writes",
        timeout_ms: 800,
        staleness_ms: STALENESS_MS,
    };
    let routes = [
        route(DATABASE, SERVICES[service]),
        route(OTHERS[0], SERVICES[0]),
        route(OTHERS[1], SERVICES[1]),
    ];
    world.record.line(&format!(
        "configuration {version}: {DATABASE} is at {}",
        SERVICES[service]
    ));
    world
        .store
        .put("op", "config", &configuration(version, &routes, &SERVICES));
}

/// Clients of another database, which read and write now and then.
fn keep_busy(
    world: &World,
    database: &str,
    number: usize,
    stopped: &std::sync::atomic::AtomicBool,
) {
    let mut turn = number;
    while !stopped.load(std::sync::atomic::Ordering::SeqCst) {
        turn += 1;
        let node = &world.nodes[turn % world.nodes.len()];
        if let Some(mut session) = Session::open(node.front, database, DEADLINE) {
            for _ in 0..5 {
                let id = world.id("b");
                session.ask(&id, &format!("WRITE 1a4 {id}"));
                thread::sleep(Duration::from_millis(20));
                let id = world.id("b");
                session.ask(&id, "READ 1a4");
                thread::sleep(Duration::from_millis(20));
            }
            session.end();
        }
    }
}

/// One session: a write at the first service, one at the second, and a read back at the first.
fn play(world: &World, round: usize, version: &mut u64, moves: bool) {
    let node = &world.nodes[round % world.nodes.len()];
    let Some(mut session) = Session::open(node.front, DATABASE, DEADLINE) else {
        return world.record.say("the session isn't served");
    };
    let mut ask = |text: &str, word: &str| {
        let id = world.id(word);
        let text = if text == "WRITE" {
            format!("WRITE 1a4 {id}")
        } else {
            text.to_owned()
        };
        world
            .record
            .line(&format!("client sends {id} {text} to {}", node.name));
        let answer = session.ask(&id, &text);
        world
            .record
            .line(&format!("client gets for {id} {answer:?}"));
        (id, answer)
    };
    let (first, told) = ask("WRITE", "first");
    if !matches!(told, Answer::Complete { .. }) {
        return world
            .record
            .say(&format!("round {round}: the first write got {told:?}"));
    }
    let acknowledged = Instant::now();
    let until = |time: Duration| thread::sleep(time.saturating_sub(acknowledged.elapsed()));
    if moves {
        *version += 1;
        write_configuration(world, *version, 1);
    }
    until(GAP / 4);
    let (_, second) = ask("WRITE", "second");
    until(GAP);
    if moves {
        *version += 1;
        write_configuration(world, *version, 0);
    }
    until(GAP + KNOWN);
    let (read, rows) = ask("READ 1a4", "read");
    let age = acknowledged.elapsed().as_millis();
    let Some((server, seen)) = READS.lock().unwrap().remove(&read) else {
        let text = format!("round {round}: the second write got {second:?}, the read {rows:?}");
        return world.record.say(&text);
    };
    let own = server.starts_with(&format!("i-{}-", SERVICES[0]));
    let text = format!(
        "round {round}: {read} ran at {server} {age} ms after {first} was acknowledged, {}",
        if seen.contains(&first) {
            "and saw it"
        } else {
            "and didn't see it"
        }
    );
    world.record.say(&text);
    if own && !seen.contains(&first) && matches!(rows, Answer::Complete { .. }) {
        world.record.violation(
            "STALE",
            &format!("{read} lacked {first} of the same session"),
        );
    }
}
