//! What the coordinator of a run and its worker processes tell each other: one line
//! of JSON for each request on the worker's input, one for each answer on its output.

use super::layout::{DaemonLife, Layout};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use stilequay_coordination::membership::MemberRecord;
use stilequay_coordination::traffic::MessageCount;

/// A request to a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Start daemons in `layout`, which read changes at `platform`.
    Start {
        layout: Layout,
        lives: Vec<DaemonLife>,
        platform: SocketAddr,
    },
    /// The list of machines has changed.
    Machines(Vec<MemberRecord>),
    /// Kill these daemons, without a word to the others.
    Kill(Vec<usize>),
    /// Let these daemons leave in good order.
    Leave(Vec<usize>),
    /// Cut these regions from the others.
    Cut(BTreeSet<usize>),
    /// What the process and its daemons have used.
    Usage,
    /// Compare the views of the daemons with the truth.
    Views(Truth),
    /// The latencies since the last such request.
    Latencies,
    /// Which daemons are relays.
    Relays,
    /// How far the daemons have come.
    Progress,
}

/// What the daemons should see.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Truth {
    /// Daemons that are alive.
    pub living: BTreeSet<usize>,
}

/// An answer of a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Answer {
    /// The daemons listen.
    Started(Vec<MemberRecord>),
    /// Done.
    Done,
    /// See [`Request::Usage`].
    Usage(WorkerUsage),
    /// See [`Request::Views`].
    Views(Views),
    /// See [`Request::Latencies`].
    Latencies(Latencies),
    /// See [`Request::Relays`].
    Relays(Vec<Relay>),
    /// See [`Request::Progress`].
    Progress(Progress),
}

/// What a worker process and its daemons have used since they started.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WorkerUsage {
    /// Daemons alive in the process.
    pub daemons: usize,
    /// Processor time of the process, in seconds.
    pub processor_seconds: f64,
    /// Resident memory of the process, in bytes.
    pub resident_bytes: u64,
    /// Resident memory before the first daemon started, in bytes.
    pub resident_bytes_empty: u64,
    /// Bytes sent and received by each daemon.
    pub daemon_bytes: BTreeMap<usize, u64>,
    /// Messages and bytes of all daemons, by kind.
    pub traffic: BTreeMap<String, Count>,
}

/// Messages and bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Count {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

impl Count {
    /// Adds what another daemon, or an earlier life, has counted.
    pub fn add(&mut self, other: Count) {
        self.messages_sent += other.messages_sent;
        self.bytes_sent += other.bytes_sent;
        self.messages_received += other.messages_received;
        self.bytes_received += other.bytes_received;
    }
}

impl Count {
    /// What was counted since `before`.
    pub fn since(self, before: Count) -> Count {
        Count {
            messages_sent: self.messages_sent - before.messages_sent,
            bytes_sent: self.bytes_sent - before.bytes_sent,
            messages_received: self.messages_received - before.messages_received,
            bytes_received: self.bytes_received - before.bytes_received,
        }
    }
}

impl From<MessageCount> for Count {
    fn from(count: MessageCount) -> Self {
        Self {
            messages_sent: count.messages_sent,
            bytes_sent: count.bytes_sent,
            messages_received: count.messages_received,
            bytes_received: count.bytes_received,
        }
    }
}

/// How the views of a worker's daemons compare with the truth.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Views {
    /// Daemons asked.
    pub daemons: usize,
    /// Daemons that see exactly the living ones as reachable.
    pub right: usize,
    /// Daemons that still see a dead one as reachable.
    pub with_dead: usize,
    /// Dead daemons that some daemon still sees as reachable.
    pub dead_seen: BTreeSet<usize>,
    /// Living daemons that some daemon sees as unreachable.
    pub unreachable: BTreeSet<usize>,
    /// Living daemons that some daemon suspects.
    pub suspected: BTreeSet<usize>,
    /// Living daemons that some daemon has given up.
    pub given_up: BTreeSet<usize>,
}

impl Views {
    /// Adds what another process's daemons see.
    pub fn add(&mut self, part: Views) {
        self.daemons += part.daemons;
        self.right += part.right;
        self.with_dead += part.with_dead;
        self.dead_seen.extend(part.dead_seen);
        self.unreachable.extend(part.unreachable);
        self.suspected.extend(part.suspected);
        self.given_up.extend(part.given_up);
    }
}

/// Latencies since the last request.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Latencies {
    /// From accepted to applied, in microseconds, over daemons and changes: how
    /// often each rounded value was found.
    pub applied: Vec<(u64, u64)>,
    /// The worst by revision, in microseconds.
    pub worst: BTreeMap<u64, u64>,
    /// How many daemons applied each revision.
    pub count: BTreeMap<u64, u64>,
    /// By revision, when one daemon of the process learnt that it was in force on
    /// all reachable daemons, in microseconds after it was accepted.
    pub known_in_force: BTreeMap<u64, u64>,
}

/// A relay of a zone.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Relay {
    /// The daemon.
    pub number: usize,
    /// Whether it is the first relay.
    pub first: bool,
}

/// How far the daemons of a worker have come.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Daemons in the process.
    pub daemons: usize,
    /// Daemons that caught up with the platform's log.
    pub caught_up_with_source: usize,
    /// Daemons that caught up with what other daemons had.
    pub caught_up_with_peers: usize,
    /// The lowest revision applied.
    pub lowest: u64,
    /// Daemons that see everything complete and in force up to this revision.
    pub in_force_complete: usize,
    /// The lowest revision that a daemon with a complete count sees in force.
    pub in_force_revision: u64,
    /// Daemons whose state ever went back, or that were older after a restart than
    /// the log was when the restart began.
    pub reversions: usize,
}

impl Progress {
    /// Adds what another process's daemons have come to.
    pub fn add(&mut self, part: Progress) {
        self.daemons += part.daemons;
        self.caught_up_with_source += part.caught_up_with_source;
        self.caught_up_with_peers += part.caught_up_with_peers;
        self.lowest = self.lowest.min(part.lowest);
        self.in_force_complete += part.in_force_complete;
        self.in_force_revision = self.in_force_revision.min(part.in_force_revision);
        self.reversions += part.reversions;
    }

    /// Whether every daemon knows that `revision` is in force everywhere.
    pub fn all_in_force(&self, revision: u64) -> bool {
        self.in_force_complete == self.daemons && self.in_force_revision >= revision
    }
}
