//! Records what callers observed, and checks the consistency guarantees against it.

use super::servers::{ReadLog, World};
use super::{BOUNDED_DATABASE, Client, LEADER_DATABASE, STALENESS, read, write};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stilequay_engine::engine::Engine;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Pause of a caller between two iterations.
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
    /// Whether the read must see the earlier commits of its session.
    reads_own_writes: bool,
}

/// All acknowledged commits and answered reads.
#[derive(Debug, Default)]
pub struct History {
    commits: Mutex<Vec<AcknowledgedCommit>>,
    reads: Mutex<Vec<AnsweredRead>>,
}

impl History {
    /// Spawns a caller that alternates writes and reads for the rest of the test. The staleness of
    /// its reads is `None` if they must see every commit.
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

    /// Spawns a caller that commits transactions of one write for the rest of the test.
    pub fn spawn_transaction_caller(
        self: &Arc<Self>,
        engine: &Arc<Engine>,
        database: &str,
        session: usize,
    ) {
        let history = Arc::clone(self);
        let mut client = Client::open(engine, database);
        tokio::spawn(async move {
            loop {
                if let Some(id) = client.commit_transaction().await {
                    history.commits.lock().unwrap().push(AcknowledgedCommit {
                        id,
                        at: Instant::now(),
                        session,
                    });
                }
                sleep(CALLER_PAUSE).await;
            }
        });
    }

    /// Spawns a caller that reads until it is aborted. Its reads must see every commit.
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

    /// Sends one read, and records it if it is answered.
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

    /// The number of acknowledged commits and of answered reads.
    pub fn counts(&self) -> (usize, usize) {
        let commits = self.commits.lock().unwrap().len();
        (commits, self.reads.lock().unwrap().len())
    }

    /// Descriptions of all violated guarantees.
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

/// How many entries of the surviving log a read has seen.
fn entries_seen(read: &ReadLog, indices: &HashMap<&String, usize>) -> usize {
    let last = read.tail.iter().rev().find_map(|id| indices.get(id));
    last.map_or(0, |at| at + 1)
}
