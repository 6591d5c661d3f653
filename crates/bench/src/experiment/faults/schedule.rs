//! Schedules of faults: each a function of its seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::time::Duration;

/// Shortest and longest pause before the next fault, milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 200..1_500;
/// Shortest and longest duration of a fault, milliseconds.
const DURATION_MILLIS: std::ops::Range<u64> = 300..4_000;
/// Shortest and longest lag of a replica, milliseconds.
const LAG_MILLIS: std::ops::Range<u64> = 20..800;

/// What is there to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Targets {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of database groups.
    pub groups: usize,
    /// Members of each group.
    pub members: usize,
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum Fault {
    /// A daemon is killed, and started again at the end.
    KillDaemon(usize),
    /// A daemon is stopped where it stands, and goes on at the end.
    FreezeDaemon(usize),
    /// A daemon is asked to stop, and started again at the end.
    StopDaemon(usize),
    /// A daemon can't be reached by the others.
    CutDaemon(usize),
    /// All connections to a daemon are reset once.
    ResetDaemon(usize),
    /// The primary is cut off from the other members; clients still reach it.
    CutPrimary(usize),
    /// The primary answers nothing.
    FreezePrimary(usize),
    /// The primary's process ends, and starts again at the end.
    KillPrimary(usize),
    /// Daemons don't reach a member.
    CutMember(usize, usize),
    /// Answers of the primary are lost after their effect.
    LoseAnswers(usize),
    /// All connections to a member are reset once.
    ResetMember(usize, usize),
    /// A member lags by so many milliseconds.
    Lag(usize, usize, u64),
    /// The table service answers nothing.
    HangTable,
    /// The table service refuses connections.
    RefuseTable,
    /// Every service of the platform refuses connections.
    RefusePlatform,
}

/// What a fault affects: one thing has one fault at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Affected {
    /// A daemon.
    Daemon(usize),
    /// The members of a group.
    Group(usize),
    /// The replication of a group.
    Replication(usize),
    /// The platform.
    Platform,
}

impl Fault {
    /// What the fault affects.
    pub fn affected(self) -> Affected {
        match self {
            Self::KillDaemon(daemon)
            | Self::FreezeDaemon(daemon)
            | Self::StopDaemon(daemon)
            | Self::CutDaemon(daemon)
            | Self::ResetDaemon(daemon) => Affected::Daemon(daemon),
            Self::CutPrimary(group)
            | Self::FreezePrimary(group)
            | Self::KillPrimary(group)
            | Self::CutMember(group, _)
            | Self::LoseAnswers(group)
            | Self::ResetMember(group, _) => Affected::Group(group),
            Self::Lag(group, ..) => Affected::Replication(group),
            Self::HangTable | Self::RefuseTable | Self::RefusePlatform => Affected::Platform,
        }
    }
}

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ScheduledFault {
    /// When it begins, since the start of the run.
    pub begins: Duration,
    /// When it ends, since the start of the run.
    pub ends: Duration,
    /// What happens.
    pub fault: Fault,
}

/// The faults of a run of `length`, in the order in which they begin. Two things
/// may fail at once, but each has one fault at a time, and one daemon at most is
/// down so that the others can be asked.
pub fn schedule(seed: u64, length: Duration, targets: Targets) -> Vec<ScheduledFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults: Vec<ScheduledFault> = Vec::new();
    let mut now = Duration::ZERO;
    loop {
        now += Duration::from_millis(random.random_range(PAUSE_MILLIS));
        if now >= length {
            return faults;
        }
        let fault = draw(&mut random, targets);
        let lasts = Duration::from_millis(random.random_range(DURATION_MILLIS));
        let is_free = faults
            .iter()
            .filter(|other| other.ends >= now)
            .all(|other| !excludes(other.fault, fault));
        if is_free {
            faults.push(ScheduledFault {
                begins: now,
                ends: (now + lasts).min(length),
                fault,
            });
        }
    }
}

fn excludes(present: Fault, new: Fault) -> bool {
    match (present.affected(), new.affected()) {
        (Affected::Daemon(_), Affected::Daemon(_)) => true,
        (present, new) => present == new,
    }
}

fn draw(random: &mut StdRng, targets: Targets) -> Fault {
    let daemon = random.random_range(0..targets.daemons);
    let group = random.random_range(0..targets.groups);
    let member = random.random_range(0..targets.members);
    let lag_millis = random.random_range(LAG_MILLIS);
    let faults = [
        Fault::KillDaemon(daemon),
        Fault::FreezeDaemon(daemon),
        Fault::StopDaemon(daemon),
        Fault::CutDaemon(daemon),
        Fault::ResetDaemon(daemon),
        Fault::CutPrimary(group),
        Fault::FreezePrimary(group),
        Fault::KillPrimary(group),
        Fault::CutMember(group, member),
        Fault::LoseAnswers(group),
        Fault::ResetMember(group, member),
        Fault::Lag(group, member, lag_millis),
        Fault::HangTable,
        Fault::RefuseTable,
        Fault::RefusePlatform,
    ];
    faults[random.random_range(0..faults.len())]
}
