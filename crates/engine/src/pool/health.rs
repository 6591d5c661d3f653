//! What the traffic of this process has shown of a member.

use crate::position::LogPosition;
use std::time::Duration;
use tokio::time::Instant;

/// Latency assumed of a member of which nothing is known, milliseconds.
const ASSUMED_LATENCY_MS: f64 = 15.0;
/// Weight of the newest latency in the average.
const NEWEST_WEIGHT: f64 = 0.15;
/// Time in which half of a latency's excess is forgotten.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);
/// First pause before a member that can't be reached is tried again.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(100);
/// Longest such pause.
const UNREACHABLE_PAUSE_MAX: Duration = Duration::from_millis(800);
/// How long a member is passed over after its queue was full.
const BUSY_PAUSE: Duration = Duration::from_millis(60);
/// How long a member is passed over, for what it lacked, after it was found lagging.
const LAGGING_PAUSE: Duration = Duration::from_millis(120);

/// What is known of a member.
#[derive(Debug, Clone)]
pub struct MemberHealth {
    latency_ms: f64,
    measured_at: Instant,
    unreachable: Option<Unreachable>,
    busy_until: Option<Instant>,
    slow_start_until: Option<Instant>,
    lacks: Option<(LogPosition, Instant)>,
    applied: Option<LogPosition>,
    unanswered_since: Option<Instant>,
    last_contact: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Unreachable {
    since: Instant,
    until: Instant,
    pause: Duration,
}

impl MemberHealth {
    /// Nothing is known yet.
    pub fn new(now: Instant) -> Self {
        Self {
            latency_ms: ASSUMED_LATENCY_MS,
            measured_at: now,
            unreachable: None,
            busy_until: None,
            slow_start_until: None,
            lacks: None,
            applied: None,
            unanswered_since: None,
            last_contact: None,
        }
    }

    /// An answer came after `latency`.
    pub fn record_answer(&mut self, latency: Duration, now: Instant) {
        let latency_ms = latency.as_secs_f64() * 1000.0;
        let before = self.expected_latency_ms(now);
        self.latency_ms = before + (latency_ms - before) * NEWEST_WEIGHT;
        self.measured_at = now;
        self.record_contact(now);
    }

    /// When something was last heard of it.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact
    }

    /// Something was heard of it.
    pub fn record_contact(&mut self, now: Instant) {
        self.last_contact = Some(now);
        self.unreachable = None;
        self.unanswered_since = None;
    }

    /// Something was sent to it.
    pub fn record_sent(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Since when it has said nothing although something was sent to it.
    pub fn unanswered_since(&self) -> Option<Instant> {
        self.unanswered_since
    }

    /// A statement got no answer within `waited`.
    pub fn record_timeout(&mut self, waited: Duration, now: Instant) {
        let waited_ms = waited.as_secs_f64() * 1000.0;
        self.latency_ms = self.expected_latency_ms(now).max(waited_ms * 0.5);
        self.measured_at = now;
    }

    /// A connection could not be opened, or ended by itself.
    pub fn record_unreachable(&mut self, now: Instant) {
        let (since, pause) = match self.unreachable {
            Some(known) => (known.since, (known.pause * 2).min(UNREACHABLE_PAUSE_MAX)),
            None => (now, UNREACHABLE_PAUSE),
        };
        let until = now + pause;
        self.unreachable = Some(Unreachable {
            since,
            until,
            pause,
        });
    }

    /// Its queue was full.
    pub fn record_busy(&mut self, now: Instant) {
        self.busy_until = Some(now + BUSY_PAUSE);
    }

    /// It is cold, and takes no more before `until`.
    pub fn record_slow_start(&mut self, until: Instant) {
        self.slow_start_until = Some(until);
    }

    /// Its log lacked `position`.
    pub fn record_lag(&mut self, position: LogPosition, now: Instant) {
        self.lacks = Some((position, now + LAGGING_PAUSE));
    }

    /// Its log had come as far as `position`.
    pub fn record_applied(&mut self, position: LogPosition) {
        self.applied = self.applied.max(Some(position));
    }

    /// Latency to expect of an unloaded statement, milliseconds.
    pub fn expected_latency_ms(&self, now: Instant) -> f64 {
        let halves =
            now.duration_since(self.measured_at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        ASSUMED_LATENCY_MS + (self.latency_ms - ASSUMED_LATENCY_MS) * 0.5_f64.powf(halves)
    }

    /// Whether it is not to be tried yet.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable.is_some_and(|known| now < known.until)
    }

    /// Since when it could not be reached, if the last try failed.
    pub fn unreachable_since(&self) -> Option<Instant> {
        self.unreachable.map(|known| known.since)
    }

    /// Whether its queue was full a moment ago.
    pub fn is_busy(&self, now: Instant) -> bool {
        self.busy_until.is_some_and(|until| now < until)
    }

    /// Whether it is cold and takes no more yet.
    pub fn is_slow_start_exhausted(&self, now: Instant) -> bool {
        self.slow_start_until.is_some_and(|until| now < until)
    }

    /// Whether it lacked `position`, or an earlier one, a moment ago.
    pub fn is_lagging(&self, position: LogPosition, now: Instant) -> bool {
        if self.applied.is_some_and(|applied| applied >= position) {
            return false;
        }
        self.lacks
            .is_some_and(|(lacked, until)| lacked <= position && now < until)
    }
}
