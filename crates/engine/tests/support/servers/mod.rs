//! Servers in memory: a replicated log, roles, terms, and the orders about them.

mod connection;
mod network;
mod promoter;
mod slots;
mod world;

pub use connection::WorldBackEnd;
pub use network::Network;
pub use promoter::WorldPromoter;
pub use slots::Slots;
pub use world::World;

use std::time::Duration;
use stilequay_engine::directory::{MemberState, Role};
use stilequay_engine::position::LogPosition;
use tokio::time::Instant;

/// Time from a process to a server and back.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// One server.
#[derive(Debug, Clone)]
pub struct Server {
    pub role: Role,
    pub term: u64,
    /// The terms of the log's entries, with the ids of the requests that wrote them.
    pub log: Vec<(u64, String)>,
    pub paused_for: u64,
    /// Its life: the start that its entry tells, if it tells one.
    pub started_at: Option<u64>,
    /// Process is there.
    pub running: bool,
    /// Says nothing to anybody.
    pub unresponsive: bool,
    /// Receives nothing.
    pub not_receiving: bool,
    /// Refuses every new connection: it has too many.
    pub connections_exhausted: bool,
    /// Connections that it accepts; any number where there is none.
    pub max_connections: Option<usize>,
    /// Answers every statement and order that its queue is full.
    pub queue_full: bool,
    /// Runs statements and loses their answers.
    pub loses_answers: bool,
    /// Breaks connections off in place of an answer.
    pub closes_before_answer: bool,
    pub state: MemberState,
    /// How many times longer statements take.
    pub slowdown: u32,
    /// How far behind it applies what it has received.
    pub apply_lag: Duration,
    pub received_at: Vec<Instant>,
    /// Entries that it had as leader: it goes on showing them when it leads no more.
    pub applied_as_leader: usize,
    /// Says that it has paused, and goes on receiving: a planted mistake.
    pub ignores_pause: bool,
    pub statements: u64,
    /// When it was last sent a command of a session.
    pub last_command: Option<Instant>,
    /// Until when its entry says that it is cold.
    pub cold_until: Option<Instant>,
}

impl Server {
    pub fn position(&self) -> LogPosition {
        let term = self.log.last().map_or(self.term.min(1), |entry| entry.0);
        LogPosition::new(term, self.log.len() as u64)
    }

    /// Entries that reads see.
    pub fn applied(&self, now: Instant) -> usize {
        if self.role == Role::Primary {
            return self.log.len();
        }
        let applied = self
            .received_at
            .partition_point(|at| *at + self.apply_lag <= now);
        applied.max(self.applied_as_leader).min(self.log.len())
    }

    /// Starts it again under its name: it holds nothing of before, and knows of no lead.
    pub fn start_empty(&mut self) {
        self.started_at = Some(self.started_at.map_or(1, |started_at| started_at + 1));
        self.role = Role::Replica;
        self.term = 1;
        self.log.clear();
        self.received_at.clear();
        self.applied_as_leader = 0;
        self.paused_for = 0;
        self.running = true;
        self.unresponsive = false;
    }

    /// Takes the lead away from it: its log stays, and so does what reads see of it.
    pub fn step_down(&mut self) {
        if self.role == Role::Primary {
            self.applied_as_leader = self.log.len();
            self.role = Role::Replica;
        }
    }
}

/// What a connection needs to know of its server.
#[derive(Debug, Clone, Copy)]
pub struct ServerSnapshot {
    pub role: Role,
    pub term: u64,
    pub paused_for: u64,
    pub position: LogPosition,
    pub started_at: Option<u64>,
    pub running: bool,
    pub unresponsive: bool,
    pub connections_exhausted: bool,
    pub queue_full: bool,
    pub loses_answers: bool,
    pub closes_before_answer: bool,
    pub slowdown: u32,
}

impl ServerSnapshot {
    pub fn of(server: &Server) -> Self {
        Self {
            role: server.role,
            term: server.term,
            paused_for: server.paused_for,
            position: server.position(),
            started_at: server.started_at,
            running: server.running,
            unresponsive: server.unresponsive,
            connections_exhausted: server.connections_exhausted,
            queue_full: server.queue_full,
            loses_answers: server.loses_answers,
            closes_before_answer: server.closes_before_answer,
            slowdown: server.slowdown,
        }
    }
}

/// What a read saw: how many entries, and the last of them.
#[derive(Debug, Clone, Default)]
pub struct ReadLog {
    pub applied: usize,
    pub tail: Vec<String>,
}
