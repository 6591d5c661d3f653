//! Settings of the home side of the data path.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a home treats back ends and exchanges.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HomeSettings {
    /// Greatest time to open a connection to a back end, milliseconds.
    pub connect_timeout_millis: u64,
    /// Time after which a member that has not answered a probe gets no new work, milliseconds.
    pub late_probe_millis: u64,
    /// Time after which the connection of an unanswered probe is given up, milliseconds.
    pub probe_timeout_millis: u64,
    /// Interval between probes while no primary is known, milliseconds.
    pub urgent_probe_interval_millis: u64,
    /// How long a read waits for a replica to reach its floor before the primary
    /// serves it, milliseconds.
    pub replay_wait_millis: u64,
    /// Time after which an idle back-end connection is closed, milliseconds.
    pub idle_connection_millis: u64,
    /// Idle connections to a member that are kept open however long they idle.
    pub warm_connections: usize,
    /// Time without exchanges after which a group is no longer probed, milliseconds.
    pub idle_group_millis: u64,
    /// Greatest number of prepared statements kept on one back-end connection.
    pub prepared_statements_per_connection: usize,
    /// Greatest number of bytes of an answer held back until its write is confirmed.
    pub held_back_bytes: usize,
    /// Greatest number of units in flight at this home.
    pub units_in_flight: usize,
    /// Greatest number of units that wait for admission or for a member's connection.
    pub queued_units: usize,
    /// Greatest number of units of one service that wait.
    pub queued_units_per_service: usize,
    /// Longest time that a unit waits for admission or for a connection, milliseconds.
    pub queue_time_millis: u64,
    /// Greatest size of a frame between daemons, bytes.
    pub frame_bytes: usize,
    /// Time after which an idle transport connection to another daemon is closed, milliseconds.
    pub idle_transport_millis: u64,
    /// Guarantees switched off on purpose; see [`HomeMutants`].
    pub mutants: HomeMutants,
}

impl Default for HomeSettings {
    fn default() -> Self {
        Self {
            connect_timeout_millis: 1_000,
            late_probe_millis: 100,
            probe_timeout_millis: 1_000,
            urgent_probe_interval_millis: 15,
            replay_wait_millis: 20,
            idle_connection_millis: 10_000,
            warm_connections: 2,
            idle_group_millis: 60_000,
            prepared_statements_per_connection: 200,
            held_back_bytes: 4 << 20,
            units_in_flight: 4_096,
            queued_units: 8_192,
            queued_units_per_service: 256,
            queue_time_millis: 2_000,
            frame_bytes: 64 << 20,
            idle_transport_millis: 10_000,
            mutants: HomeMutants::default(),
        }
    }
}

impl HomeSettings {
    /// Greatest time to open a connection to a back end.
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_millis)
    }

    /// Time after which a member that has not answered a probe gets no new work.
    pub fn late_probe(&self) -> Duration {
        Duration::from_millis(self.late_probe_millis)
    }

    /// Time after which the connection of an unanswered probe is given up.
    pub fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.probe_timeout_millis)
    }

    /// Interval between probes while no primary is known.
    pub fn urgent_probe_interval(&self) -> Duration {
        Duration::from_millis(self.urgent_probe_interval_millis)
    }

    /// How long a read waits for a replica before the primary serves it.
    pub fn replay_wait(&self) -> Duration {
        Duration::from_millis(self.replay_wait_millis)
    }

    /// Time after which an idle back-end connection is closed.
    pub fn idle_connection(&self) -> Duration {
        Duration::from_millis(self.idle_connection_millis)
    }

    /// Time without exchanges after which a group is no longer probed.
    pub fn idle_group(&self) -> Duration {
        Duration::from_millis(self.idle_group_millis)
    }

    /// Longest time that a unit waits for admission or for a connection.
    pub fn queue_time(&self) -> Duration {
        Duration::from_millis(self.queue_time_millis)
    }

    /// Time after which an idle transport connection is closed.
    pub fn idle_transport(&self) -> Duration {
        Duration::from_millis(self.idle_transport_millis)
    }
}

/// Guarantees switched off on purpose, so that a checker can be shown to notice.
///
/// For tests only: a daemon refuses to start with any of these set unless it was
/// told to allow mutants.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HomeMutants {
    /// Acknowledge writes without confirming the term.
    pub skip_confirmation: bool,
    /// Serve reads from any member without a barrier.
    pub skip_barrier: bool,
    /// Share connections again although a transaction is open on them.
    pub return_dirty_connections: bool,
    /// Repeat writes that may have run.
    pub retry_unsafe: bool,
}

impl HomeMutants {
    /// Whether any guarantee is switched off.
    pub fn any(&self) -> bool {
        *self != Self::default()
    }
}
