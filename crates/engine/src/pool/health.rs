//! Health of a member as observed from the traffic of this process.

use crate::position::LogPosition;
use std::time::Duration;
use tokio::time::Instant;

/// Latency assumed of a member without samples, in milliseconds.
const ASSUMED_LATENCY_MS: f64 = 15.0;
/// Weight of the newest sample in the exponentially weighted average.
const NEWEST_WEIGHT: f64 = 0.15;
/// Time in which the deviation from [`ASSUMED_LATENCY_MS`] decays by half.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);
/// Initial backoff after a failure to reach the member.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(100);
/// Upper bound of the backoff, which doubles with each failure.
const UNREACHABLE_PAUSE_MAX: Duration = Duration::from_millis(800);
/// How long a member is avoided after its queue was full.
const BUSY_PAUSE: Duration = Duration::from_millis(60);
/// How long a member is avoided for positions that it had not replayed.
const LAGGING_PAUSE: Duration = Duration::from_millis(120);

/// What is known about a member's latency, reachability and replication position.
#[derive(Debug, Clone)]
pub struct MemberHealth {
    latency_ms: f64,
    measured_at: Instant,
    unreachable: Option<Unreachable>,
    busy_until: Option<Instant>,
    slow_start_until: Option<Instant>,
    lacking_position: Option<(LogPosition, Instant)>,
    applied: Option<LogPosition>,
    unanswered_since: Option<Instant>,
    last_contact: Option<Instant>,
    down_since: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Unreachable {
    since: Instant,
    until: Instant,
    pause: Duration,
}

impl MemberHealth {
    /// State of a member without observations.
    pub fn new(now: Instant) -> Self {
        Self {
            latency_ms: ASSUMED_LATENCY_MS,
            measured_at: now,
            unreachable: None,
            busy_until: None,
            slow_start_until: None,
            lacking_position: None,
            applied: None,
            unanswered_since: None,
            last_contact: None,
            down_since: None,
        }
    }

    /// Records an answer that took `latency`.
    pub fn record_answer(&mut self, latency: Duration, now: Instant) {
        let latency_ms = latency.as_secs_f64() * 1000.0;
        let before = self.expected_latency_ms(now);
        self.latency_ms = before + (latency_ms - before) * NEWEST_WEIGHT;
        self.measured_at = now;
        self.record_contact(now);
    }

    /// When the member last sent anything.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact
    }

    /// Records that the member sent something.
    pub fn record_contact(&mut self, now: Instant) {
        self.last_contact = Some(now);
        self.unreachable = None;
        self.unanswered_since = None;
        self.down_since = None;
    }

    /// Records that the member was found not to be running.
    pub fn record_down(&mut self, now: Instant) {
        self.down_since.get_or_insert(now);
    }

    /// When the member was first found not to be running, if nothing was received from it since.
    pub fn down_since(&self) -> Option<Instant> {
        self.down_since
    }

    /// Records that something was sent to the member.
    pub fn record_sent(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Since when the member has sent nothing although a command is outstanding.
    pub fn unanswered_since(&self) -> Option<Instant> {
        self.unanswered_since
    }

    /// Records that a statement got no answer within `waited`.
    pub fn record_timeout(&mut self, waited: Duration, now: Instant) {
        let waited_ms = waited.as_secs_f64() * 1000.0;
        self.latency_ms = self.expected_latency_ms(now).max(waited_ms * 0.5);
        self.measured_at = now;
    }

    /// Records that a connection could not be opened or was lost.
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

    /// Records that the member's queue was full.
    pub fn record_busy(&mut self, now: Instant) {
        self.busy_until = Some(now + BUSY_PAUSE);
    }

    /// Records that the member is in slow start and accepts no further statement before `until`.
    pub fn record_slow_start(&mut self, until: Instant) {
        self.slow_start_until = Some(until);
    }

    /// Records that the member had not replayed `position` yet.
    pub fn record_lag(&mut self, position: LogPosition, now: Instant) {
        self.lacking_position = Some((position, now + LAGGING_PAUSE));
    }

    /// Records that the member has replayed the log up to `position`.
    pub fn record_applied(&mut self, position: LogPosition) {
        self.applied = self.applied.max(Some(position));
    }

    /// Expected latency of a statement on the unloaded member, in milliseconds.
    pub fn expected_latency_ms(&self, now: Instant) -> f64 {
        let halves =
            now.duration_since(self.measured_at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        ASSUMED_LATENCY_MS + (self.latency_ms - ASSUMED_LATENCY_MS) * 0.5_f64.powf(halves)
    }

    /// Whether the backoff after a failure to reach the member is still running.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable.is_some_and(|known| now < known.until)
    }

    /// Since when the member has been unreachable, if the last attempt failed.
    pub fn unreachable_since(&self) -> Option<Instant> {
        self.unreachable.map(|known| known.since)
    }

    /// Whether the member's queue was full recently.
    pub fn is_busy(&self, now: Instant) -> bool {
        self.busy_until.is_some_and(|until| now < until)
    }

    /// Whether the member is in slow start and accepts no further statement yet.
    pub fn is_slow_start_exhausted(&self, now: Instant) -> bool {
        self.slow_start_until.is_some_and(|until| now < until)
    }

    /// Whether the member recently lacked `position` or an earlier one.
    pub fn is_lagging(&self, position: LogPosition, now: Instant) -> bool {
        if self.applied.is_some_and(|applied| applied >= position) {
            return false;
        }
        self.lacking_position
            .is_some_and(|(lacked, until)| lacked <= position && now < until)
    }
}
