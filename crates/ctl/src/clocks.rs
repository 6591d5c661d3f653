//! Putting lines of several processes in order although times of day jump.
//!
//! A line tells the machine's time of day and the time since its process began, by a steady
//! clock. The difference of the two is the same for all lines of one life of a process, but
//! for those written while the time of day was off: the middle of all differences tells when
//! the process began, and a line's time is that plus its steady time.

use std::collections::HashMap;
use std::time::{Duration, UNIX_EPOCH};

/// Milliseconds since 1970.
type UnixMillis = u64;

/// When a line was written, as far as the line itself tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SteadyTime {
    /// Some time after its process began.
    Since(LifeNumber, Duration),
    /// The time of day alone is known.
    TimeOfDay(UnixMillis),
}

/// Which of the lives that [`Clocks`] has seen.
pub type LifeNumber = usize;

/// What the lines of one life tell.
#[derive(Debug, Default)]
struct LifeClock {
    latest: Duration,
    /// When the process began, by each line.
    began: Vec<UnixMillis>,
}

/// The clocks of all processes whose lines were read.
#[derive(Debug, Default)]
pub struct Clocks {
    lives: Vec<LifeClock>,
    newest: HashMap<String, LifeNumber>,
}

impl Clocks {
    /// Takes note of a line of `node`, whose lines come in the order in which they were
    /// written.
    ///
    /// ```
    /// use stilequay_ctl::clocks::Clocks;
    /// let mut clocks = Clocks::default();
    /// let first = clocks.read("a", "2026-01-01T00:00:09.000Z", Some(1_000));
    /// // The time of day jumps back by five seconds.
    /// let second = clocks.read("a", "2026-01-01T00:00:05.000Z", Some(2_000));
    /// let third = clocks.read("a", "2026-01-01T00:00:11.000Z", Some(3_000));
    /// let starts = clocks.starts();
    /// assert!(starts.time_of(&first) < starts.time_of(&second));
    /// assert!(starts.time_of(&second) < starts.time_of(&third));
    /// ```
    pub fn read(&mut self, node: &str, time: &str, uptime_ms: Option<u64>) -> SteadyTime {
        let time = unix_millis(time);
        let Some(uptime_ms) = uptime_ms else {
            return SteadyTime::TimeOfDay(time);
        };
        let uptime = Duration::from_millis(uptime_ms);
        let life = self.life_of(node, uptime);
        let clock = &mut self.lives[life];
        clock.latest = uptime;
        clock.began.push(time.saturating_sub(uptime_ms));
        SteadyTime::Since(life, uptime)
    }

    /// The life of `node` that a line at `uptime` belongs to: a new one where the steady clock
    /// has gone back.
    fn life_of(&mut self, node: &str, uptime: Duration) -> LifeNumber {
        if let Some(known) = self.newest.get(node)
            && self.lives[*known].latest <= uptime
        {
            return *known;
        }
        self.lives.push(LifeClock::default());
        let number = self.lives.len() - 1;
        self.newest.insert(node.to_owned(), number);
        number
    }

    /// When each life began, by the clock that most of its lines agree on.
    pub fn starts(&self) -> Starts {
        let lives = self.lives.iter();
        Starts(lives.map(|life| middle(&life.began)).collect())
    }
}

/// When each life of the processes began.
#[derive(Debug, Default)]
pub struct Starts(Vec<UnixMillis>);

impl Starts {
    /// When a line was written, ms since 1970. Lines that were read after these were told may
    /// be of a life that is not known: they stand before all others.
    pub fn time_of(&self, at: &SteadyTime) -> UnixMillis {
        match at {
            SteadyTime::TimeOfDay(time) => *time,
            SteadyTime::Since(life, uptime) => {
                let began = self.0.get(*life).copied().unwrap_or_default();
                began + u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX)
            }
        }
    }
}

fn middle(values: &[UnixMillis]) -> UnixMillis {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

/// A line without a readable time stands before all others.
fn unix_millis(time: &str) -> UnixMillis {
    let time = humantime::parse_rfc3339_weak(time).unwrap_or(UNIX_EPOCH);
    let since = time.duration_since(UNIX_EPOCH);
    let since = since.unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
