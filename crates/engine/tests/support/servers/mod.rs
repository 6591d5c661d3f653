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
    pub born: Option<u64>,
    /// Process is there.
    pub running: bool,
    /// Says nothing to anybody.
    pub dark: bool,
    /// Receives nothing.
    pub deaf: bool,
    /// Refuses every new connection: it has too many.
    pub full: bool,
    /// Connections that it accepts; any number where there is none.
    pub accepts: Option<usize>,
    /// Answers every statement and order that its queue is full.
    pub busy: bool,
    /// Runs statements and loses their answers.
    pub loses_answers: bool,
    /// Breaks connections off in place of an answer.
    pub breaks_off: bool,
    pub state: MemberState,
    /// How many times longer statements take.
    pub slowness: u32,
    /// How far behind it applies what it has received.
    pub apply_lag: Duration,
    pub received_at: Vec<Instant>,
    /// Entries that it had as leader: it goes on showing them when it leads no more.
    pub shown: usize,
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
        applied.max(self.shown).min(self.log.len())
    }

    /// Starts it again under its name: it holds nothing of before, and knows of no lead.
    pub fn start_anew(&mut self) {
        self.born = Some(self.born.map_or(1, |born| born + 1));
        self.role = Role::Replica;
        self.term = 1;
        self.log.clear();
        self.received_at.clear();
        self.shown = 0;
        self.paused_for = 0;
        self.running = true;
        self.dark = false;
    }

    /// Takes the lead away from it: its log stays, and so does what reads see of it.
    pub fn step_down(&mut self) {
        if self.role == Role::Primary {
            self.shown = self.log.len();
            self.role = Role::Replica;
        }
    }
}

/// What a connection needs to know of its server.
#[derive(Debug, Clone, Copy)]
pub struct Glimpse {
    pub role: Role,
    pub term: u64,
    pub paused_for: u64,
    pub position: LogPosition,
    pub born: Option<u64>,
    pub running: bool,
    pub dark: bool,
    pub full: bool,
    pub busy: bool,
    pub loses_answers: bool,
    pub breaks_off: bool,
    pub slowness: u32,
}

impl Glimpse {
    pub fn of(server: &Server) -> Self {
        Self {
            role: server.role,
            term: server.term,
            paused_for: server.paused_for,
            position: server.position(),
            born: server.born,
            running: server.running,
            dark: server.dark,
            full: server.full,
            busy: server.busy,
            loses_answers: server.loses_answers,
            breaks_off: server.breaks_off,
            slowness: server.slowness,
        }
    }
}

/// What a read saw: how many entries, and the last of them.
#[derive(Debug, Clone, Default)]
pub struct ReadLog {
    pub applied: usize,
    pub tail: Vec<String>,
}
