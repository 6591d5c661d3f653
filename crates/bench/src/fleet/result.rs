//! The result of a run, as it is stored.

use super::message::Count;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Latencies in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Latency {
    /// Changes accepted.
    pub changes: u64,
    /// Applications observed: changes times daemons.
    pub observed: u64,
    /// Applications that should have been observed.
    pub expected: u64,
    /// Median over daemons and changes.
    pub p50: f64,
    /// 99th percentile over daemons and changes.
    pub p99: f64,
    /// The worst daemon at the worst change.
    pub worst: f64,
    /// Worst time from accepted until a daemon in each process knew the change to be
    /// in force on all daemons.
    pub known_in_force_worst: f64,
    /// Changes for which some process has not yet known that when the phase ended.
    pub not_known_in_force: u64,
}

/// What the daemons used over a time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Load {
    /// Length of the time, in seconds.
    pub seconds: f64,
    /// Daemons at its end.
    pub daemons: usize,
    /// Bytes of messages sent and received, per daemon and second, on average.
    pub bytes_per_second: f64,
    /// The same of the daemon with the most.
    pub bytes_per_second_highest: f64,
    /// Messages sent and received, per daemon and second, on average.
    pub messages_per_second: f64,
    /// Share of one processor core, per daemon, on average, in percent.
    pub processor_percent: f64,
    /// Resident memory beyond that of an empty process, per daemon, in bytes.
    pub resident_bytes: f64,
    /// Reads of the platform's log, per second, by the whole fleet.
    pub platform_reads_per_second: f64,
    /// Load average of the machine at the end: other work shared it.
    pub machine_load_average: f64,
    /// Messages and bytes by kind, per daemon and second.
    pub kinds: BTreeMap<String, KindLoad>,
    /// Daemons of the fleet suspected by others when the time ended.
    pub suspected_at_end: usize,
}

/// Messages and bytes of one kind, per daemon and second, both directions.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct KindLoad {
    /// Messages.
    pub messages_per_second: f64,
    /// Bytes.
    pub bytes_per_second: f64,
}

impl KindLoad {
    /// The rates of `count` over `daemon_seconds`.
    pub fn of(count: Count, daemon_seconds: f64) -> Self {
        let messages = count.messages_sent + count.messages_received;
        let bytes = count.bytes_sent + count.bytes_received;
        Self {
            messages_per_second: messages as f64 / daemon_seconds,
            bytes_per_second: bytes as f64 / daemon_seconds,
        }
    }
}

/// What followed the loss of a part of the fleet. Times in seconds; absent where it
/// did not happen before the phase ended.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Outage {
    /// Daemons lost.
    pub lost: usize,
    /// Until half of the lost daemons were seen by nobody as reachable.
    pub half_detected: Option<f64>,
    /// Until none of the lost daemons was seen by anybody as reachable.
    pub all_detected: Option<f64>,
    /// Until a change accepted right after the loss was known to be in force on all
    /// reachable daemons, by all of them.
    pub in_force_again: Option<f64>,
    /// Living daemons that were suspected by somebody at some look.
    pub falsely_suspected: usize,
    /// Living daemons that were given up by somebody at some look.
    pub falsely_given_up: usize,
    /// After the end of the outage, until all daemons saw exactly the living ones.
    pub healed: Option<f64>,
    /// What the daemons used meanwhile.
    pub load: Load,
}

/// Restarts of daemons, in good order.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Restarts {
    /// Daemons restarted.
    pub restarted: usize,
    /// Restarts per second.
    pub per_second: f64,
    /// How many times faster than the target's rate for this number of daemons.
    pub times_target: f64,
    /// Until all views were right and everything in force again, after the last one.
    pub settled: Option<f64>,
    /// What the daemons used meanwhile.
    pub load: Load,
    /// Latencies of changes accepted meanwhile.
    pub latency: Latency,
}

/// A phase with changes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Changes {
    /// Changes accepted per second.
    pub per_second: f64,
    /// How many times the target's rate that is.
    pub times_target: f64,
    /// Latencies.
    pub latency: Latency,
    /// What the daemons used.
    pub load: Load,
}

/// The platform's outage.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct PlatformOutage {
    /// Length of the outage in seconds.
    pub seconds: f64,
    /// Daemons restarted during it.
    pub restarted: usize,
    /// Of these, how many caught up with what other daemons had.
    pub caught_up_with_peers: usize,
    /// Latencies of the change accepted after the outage.
    pub latency: Latency,
}

/// The result of a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct FleetResult {
    /// The commit that was measured.
    pub commit: String,
    /// Daemons.
    pub daemons: usize,
    /// Processes they shared.
    pub processes: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
    /// Seconds from the start until every daemon saw every other one.
    pub met: Option<f64>,
    /// Nothing happens.
    pub steady: Option<Load>,
    /// Changes at a multiple of the target's rate, low enough to be apart.
    pub changes: Option<Changes>,
    /// Changes at a hundred times the target's rate.
    pub burst: Option<Changes>,
    /// Daemons restart.
    pub restarts: Option<Restarts>,
    /// A tenth of the daemons is killed at once.
    pub tenth_killed: Option<Outage>,
    /// Both relays of a zone are killed.
    pub relays_killed: Option<Outage>,
    /// A zone is lost.
    pub zone_lost: Option<Outage>,
    /// A region is cut off, and returns.
    pub region_cut: Option<Outage>,
    /// The platform is down.
    pub platform_down: Option<PlatformOutage>,
    /// Daemons whose configuration ever went back.
    pub reversions: usize,
    /// Highest resident memory of all processes together, in bytes.
    pub resident_bytes_all: u64,
}
