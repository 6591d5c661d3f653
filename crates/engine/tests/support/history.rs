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
struct AcknowledgedCommit {
    id: String,
    at: Instant,
    session: usize,
}

/// A read that was answered.
#[derive(Debug, Clone)]
struct AnsweredRead {
    id: String,
    requested_at: Instant,
    session: usize,
    staleness: Option<Duration>,
    /// Whether it must see its session's commits.
    reads_own_writes: bool,
}

/// Everything that callers saw.
#[derive(Debug, Default)]
pub struct History {
    commits: Mutex<Vec<AcknowledgedCommit>>,
    reads: Mutex<Vec<AnsweredRead>>,
}

impl History {
    /// A caller that writes and reads by turns until it is aborted. Staleness is `None`
    /// where its reads must see every commit.
    pub fn spawn_caller(self: &Arc<Self>, engine: &Arc<Engine>, database: &str, session: usize) {
        let history = Arc::clone(self);
        let engine = Arc::clone(engine);
        let staleness = (database != LEADER_DATABASE).then_some(STALENESS);
        let reads_own_writes = database != BOUNDED_DATABASE;
        let database = database.to_owned();
        tokio::spawn(async move {
            let mut client = Client::open(&engine, &database);
            loop {
                let (id, reply) = client.send_with_id(write("x")).await;
                if reply.outcome.is_ok() {
                    history.commits.lock().unwrap().push(AcknowledgedCommit {
                        id,
                        at: Instant::now(),
                        session,
                    });
                }
                history
                    .read(&mut client, staleness, reads_own_writes, session)
                    .await;
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
        reads_own_writes: bool,
        session: usize,
    ) {
        let requested_at = Instant::now();
        let (id, reply) = client.send_with_id(read("x")).await;
        if reply.outcome.is_ok() {
            self.reads.lock().unwrap().push(AnsweredRead {
                id,
                requested_at,
                session,
                staleness,
                reads_own_writes,
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
        let indices: HashMap<&String, usize> = ids.enumerate().map(|(at, id)| (id, at)).collect();
        let mut commits = self.commits.lock().unwrap().clone();
        commits.sort_by_key(|commit| commit.at);
        let lost = commits
            .iter()
            .filter(|commit| !indices.contains_key(&commit.id));
        let mut violations: Vec<String> =
            lost.map(|commit| format!("lost: {}", commit.id)).collect();
        if indices.len() != leader.log.len() {
            violations.push("a write took effect twice".to_owned());
        }
        let positions: Vec<(Instant, usize, usize)> = commits
            .iter()
            .filter_map(|commit| Some((commit.at, commit.session, *indices.get(&commit.id)?)))
            .collect();
        for answered in self.reads.lock().unwrap().iter() {
            let entries_seen = entries_seen(&world.log_read_by(&answered.id), &indices);
            let missing = positions.iter().filter(|(_, _, at)| *at >= entries_seen);
            let mut missing = missing.filter(|(at, session, _)| {
                let bound = answered
                    .requested_at
                    .checked_sub(answered.staleness.unwrap_or_default());
                let old_enough = bound.is_some_and(|bound| *at < bound);
                let reads_own_writes = answered.reads_own_writes
                    && *session == answered.session
                    && *at < answered.requested_at;
                old_enough || reads_own_writes
            });
            if missing.next().is_some() {
                violations.push(format!("stale: {answered:?}"));
            }
        }
        violations
    }
}

/// How many entries of the log that was kept a read has seen.
fn entries_seen(read: &ReadLog, indices: &HashMap<&String, usize>) -> usize {
    let last = read.tail.iter().rev().find_map(|id| indices.get(id));
    last.map_or(0, |at| at + 1)
}
