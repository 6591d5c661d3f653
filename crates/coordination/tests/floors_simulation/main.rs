//! Session floors under reordering, loss, repetition, restarts without memory and
//! changes of the homes: a read never returns a floor lower than that of a write
//! acknowledged before the read began.

mod world;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::floors::{FloorClient, FloorClientSettings, SessionKey};
use stilequay_coordination::position::{Floor, LogPosition};
use world::{HOMES, Link, NODES, Outcome, Rules, TERM, World, change_homes, floor_at, start_node};

const SESSIONS: u8 = 4;

/// A mark that covers whatever position a commit will have.
const BEYOND_ALL_COMMITS: Floor = Floor {
    term: TERM,
    position: LogPosition(u64::MAX),
};

#[derive(Debug, Clone)]
enum Event {
    /// `behind` is the number of placements by which the caller is out of date.
    Write {
        session: u8,
        behind: usize,
    },
    Read {
        session: u8,
        behind: usize,
    },
    Restart {
        node: usize,
    },
    ChangeHomes {
        homes: Vec<usize>,
    },
}

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    /// Each with the time since the one before, milliseconds.
    events: Vec<(u64, Event)>,
}

fn schedules() -> impl Strategy<Value = Schedule> {
    let homes = Just((0..NODES).collect::<Vec<_>>()).prop_shuffle();
    let event = prop_oneof![
        6 => (0..SESSIONS, 0..3usize)
            .prop_map(|(session, behind)| Event::Write { session, behind }),
        6 => (0..SESSIONS, 0..3usize)
            .prop_map(|(session, behind)| Event::Read { session, behind }),
        2 => (0..NODES).prop_map(|node| Event::Restart { node }),
        1 => homes.prop_map(|nodes| Event::ChangeHomes { homes: nodes[..HOMES].to_vec() }),
    ];
    let events = prop::collection::vec((0..150u64, event), 1..80);
    (any::<u64>(), events).prop_map(|(seed, events)| Schedule { seed, events })
}

fn session_key(session: u8) -> SessionKey {
    SessionKey::of(&session.to_string())
}

async fn write(world: Arc<World>, session: u8, behind: usize) {
    let placement = world.placement(behind);
    let client = FloorClient::new(
        Arc::new(Link(world.clone())),
        FloorClientSettings::default(),
    );
    let key = session_key(session);
    let (position, stored) = if world.rules == Rules::MarkBeforeCommit {
        let stored = client.store(&placement, key, BEYOND_ALL_COMMITS).await;
        world.pass(500).await;
        (world.commit(), stored)
    } else {
        let position = world.commit();
        let stored = client.store(&placement, key, floor_at(position)).await;
        (position, stored)
    };
    if stored.is_ok() {
        let mut acknowledged = world.acknowledged.lock().unwrap();
        let latest = acknowledged.entry(session).or_default();
        *latest = position.max(*latest);
        world.outcome.lock().unwrap().acknowledged += 1;
    }
}

async fn read(world: Arc<World>, session: u8, behind: usize) {
    let acknowledged = world.acknowledged.lock().unwrap().get(&session).copied();
    let required = floor_at(acknowledged.unwrap_or_default());
    let placement = world.placement(behind);
    let client = FloorClient::new(
        Arc::new(Link(world.clone())),
        FloorClientSettings::default(),
    );
    let Ok(floor) = client.load(&placement, session_key(session)).await else {
        return;
    };
    let mut outcome = world.outcome.lock().unwrap();
    outcome.read += 1;
    if floor < required {
        let epoch = placement.epoch;
        outcome.violations.push(format!(
            "session {session} read {floor} in epoch {epoch}, {required} was acknowledged"
        ));
    }
}

async fn run(schedule: Schedule, rules: Rules) -> Outcome {
    let world = Arc::new(World::new(schedule.seed, rules));
    (0..NODES).for_each(|index| start_node(&world, index));
    let mut calls = tokio::task::JoinSet::new();
    for (millis, event) in schedule.events {
        tokio::time::sleep(Duration::from_millis(millis)).await;
        match event {
            Event::Write { session, behind } => {
                calls.spawn(write(world.clone(), session, behind));
            }
            Event::Read { session, behind } => {
                calls.spawn(read(world.clone(), session, behind));
            }
            Event::Restart { node } => start_node(&world, node),
            Event::ChangeHomes { homes } => change_homes(&world, &homes),
        }
    }
    calls.join_all().await;
    std::mem::take(&mut *world.outcome.lock().unwrap())
}

fn simulate(schedule: Schedule, rules: Rules) -> Outcome {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(run(schedule, rules))
}

proptest! {
    #[test]
    fn no_read_returns_less_than_an_acknowledged_write(schedule in schedules()) {
        let outcome = simulate(schedule, Rules::All);
        prop_assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    }
}

/// Outcomes of the same schedules each run.
fn outcomes(rules: Rules, count: usize) -> impl Iterator<Item = Outcome> {
    let mut runner = TestRunner::deterministic();
    std::iter::repeat_with(move || {
        let schedule = schedules().new_tree(&mut runner).unwrap().current();
        simulate(schedule, rules)
    })
    .take(count)
}

#[test]
fn most_calls_succeed_so_that_the_property_is_not_empty() {
    let total = outcomes(Rules::All, 100).fold(Outcome::default(), |mut total, outcome| {
        total.acknowledged += outcome.acknowledged;
        total.read += outcome.read;
        total
    });
    assert!(total.acknowledged > 300, "{total:?}");
    assert!(total.read > 300, "{total:?}");
}

#[rstest::rstest]
#[case(Rules::NoEpochs)]
#[case(Rules::MarkBeforeCommit)]
#[case(Rules::StalePlacementAtStart)]
fn the_simulation_finds_a_broken_rule(#[case] rules: Rules) {
    let found = outcomes(rules, 1_000).any(|outcome| !outcome.violations.is_empty());
    assert!(found, "no schedule showed the fault");
}
