//! What callers saw, and the promises checked against it.

use super::servers::{ReadLog, World};
use super::{BOUNDED_DATABASE, Client, LEADER_DATABASE, STALENESS, read, write};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stilequay_engine::engine::Engine;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Pause of a caller between two rounds.
const CALLER_PAUSE: Duration = Duration::from_millis(60);

/// An acknowledged commit.
#[derive(Debug, Clone)]
struct Acknowledged {
    id: String,
    at: Instant,
    session: usize,
}

/// A read that was answered.
#[derive(Debug, Clone)]
struct Answered {
    id: String,
    asked: Instant,
    session: usize,
    staleness: Option<Duration>,
    /// Whether it must see its session's commits.
    own: bool,
}

/// Everything that callers saw.
#[derive(Debug, Default)]
pub struct History {
    commits: Mutex<Vec<Acknowledged>>,
    reads: Mutex<Vec<Answered>>,
}

impl History {
    /// A caller that writes and reads by turns until it is aborted. Staleness is `None`
    /// where its reads must see every commit.
    pub fn spawn_caller(self: &Arc<Self>, engine: &Arc<Engine>, database: &str, session: usize) {
        let history = Arc::clone(self);
        let engine = Arc::clone(engine);
        let staleness = (database != LEADER_DATABASE).then_some(STALENESS);
        let own = database != BOUNDED_DATABASE;
        let database = database.to_owned();
        tokio::spawn(async move {
            let mut client = Client::open(&engine, &database);
            loop {
                let (id, reply) = client.ask_as(write("x")).await;
                if reply.outcome.is_ok() {
                    history.commits.lock().unwrap().push(Acknowledged {
                        id,
                        at: Instant::now(),
                        session,
                    });
                }
                history.read(&mut client, staleness, own, session).await;
                sleep(CALLER_PAUSE).await;
            }
        });
    }

    /// A caller that only reads, and must see every commit, until it is aborted.
    pub fn spawn_reader(self: &Arc<Self>, engine: &Arc<Engine>, session: usize) -> JoinHandle<()> {
        let history = Arc::clone(self);
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            let mut client = Client::open(&engine, LEADER_DATABASE);
            loop {
                history.read(&mut client, None, true, session).await;
                sleep(CALLER_PAUSE).await;
            }
        })
    }

    /// Reads once, and remembers what was answered.
    async fn read(
        &self,
        client: &mut Client,
        staleness: Option<Duration>,
        own: bool,
        session: usize,
    ) {
        let asked = Instant::now();
        let (id, reply) = client.ask_as(read("x")).await;
        if reply.outcome.is_ok() {
            self.reads.lock().unwrap().push(Answered {
                id,
                asked,
                session,
                staleness,
                own,
            });
        }
    }

    /// Commits that were acknowledged, and reads that were answered.
    pub fn counts(&self) -> (usize, usize) {
        let commits = self.commits.lock().unwrap().len();
        (commits, self.reads.lock().unwrap().len())
    }

    /// Broken promises, each in words.
    pub fn violations(&self, world: &World) -> Vec<String> {
        let leader = world.server(&world.leader());
        let ids = leader.log.iter().map(|entry| &entry.1);
        let kept: HashMap<&String, usize> = ids.enumerate().map(|(at, id)| (id, at)).collect();
        let mut commits = self.commits.lock().unwrap().clone();
        commits.sort_by_key(|commit| commit.at);
        let lost = commits
            .iter()
            .filter(|commit| !kept.contains_key(&commit.id));
        let mut violations: Vec<String> =
            lost.map(|commit| format!("lost: {}", commit.id)).collect();
        if kept.len() != leader.log.len() {
            violations.push("a write took effect twice".to_owned());
        }
        let positions: Vec<(Instant, usize, usize)> = commits
            .iter()
            .filter_map(|commit| Some((commit.at, commit.session, *kept.get(&commit.id)?)))
            .collect();
        for answered in self.reads.lock().unwrap().iter() {
            let covered = covered(&world.log_read_by(&answered.id), &kept);
            let missing = positions.iter().filter(|(_, _, at)| *at >= covered);
            let mut missing = missing.filter(|(at, session, _)| {
                let bound = answered
                    .asked
                    .checked_sub(answered.staleness.unwrap_or_default());
                let old_enough = bound.is_some_and(|bound| *at < bound);
                let own = answered.own && *session == answered.session && *at < answered.asked;
                old_enough || own
            });
            if missing.next().is_some() {
                violations.push(format!("stale: {answered:?}"));
            }
        }
        violations
    }
}

/// How many entries of the log that was kept a read has seen.
fn covered(read: &ReadLog, kept: &HashMap<&String, usize>) -> usize {
    let last = read.tail.iter().rev().find_map(|id| kept.get(id));
    last.map_or(0, |at| at + 1)
}
