//! Settings of the guard.

use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;
use std::time::Duration;

/// How hard one service of the platform may be asked, and when to leave it alone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GuardSettings {
    /// Time within which repetitions of a read begin, milliseconds; each may take
    /// the time of a call.
    pub repeat_within_millis: u64,
    /// Pause before the first repetition, milliseconds; it doubles with each.
    pub shortest_pause_millis: u64,
    /// Longest pause between repetitions, milliseconds.
    pub longest_pause_millis: u64,
    /// Calls a second.
    pub calls_per_second: NonZeroU32,
    /// Calls that may follow each other at once.
    pub burst: NonZeroU32,
    /// Calls in a row without an answer that open the circuit.
    pub circuit_failures: NonZeroU32,
    /// Time that the circuit stays open before a call probes the service,
    /// milliseconds.
    pub circuit_open_millis: u64,
}

impl Default for GuardSettings {
    fn default() -> Self {
        Self {
            repeat_within_millis: 3_000,
            shortest_pause_millis: 20,
            longest_pause_millis: 500,
            calls_per_second: NonZeroU32::MIN.saturating_add(99),
            burst: NonZeroU32::MIN.saturating_add(49),
            circuit_failures: NonZeroU32::MIN.saturating_add(4),
            circuit_open_millis: 500,
        }
    }
}

impl GuardSettings {
    /// Time within which repetitions of a read begin.
    pub fn repeat_within(&self) -> Duration {
        Duration::from_millis(self.repeat_within_millis)
    }

    /// Pause before the first repetition.
    pub fn shortest_pause(&self) -> Duration {
        Duration::from_millis(self.shortest_pause_millis)
    }

    /// Longest pause between repetitions.
    pub fn longest_pause(&self) -> Duration {
        Duration::from_millis(self.longest_pause_millis)
    }

    /// Time that the circuit stays open before a probe.
    pub fn circuit_open(&self) -> Duration {
        Duration::from_millis(self.circuit_open_millis)
    }
}
