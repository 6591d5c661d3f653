//! Settings of control: membership, distribution, planned stop.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use stilequay_coordination::distribution::DistributionConfig;
use stilequay_coordination::membership::MembershipTiming;

/// Membership, distribution of the configuration, and planned stop. The intervals
/// should be equal on all daemons of a fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Interval between reads of the log of changes by a zone's first relay, milliseconds.
    pub poll_interval_millis: u64,
    /// The same by a zone's second relay, milliseconds.
    pub standby_poll_interval_millis: u64,
    /// Daemons that a daemon of the fan-out tree serves, on average.
    pub fan_out: usize,
    /// Interval between reads of the platform's list of machines, milliseconds.
    pub list_interval_millis: u64,
    /// Interval between probes of another daemon of the zone, milliseconds.
    pub probe_interval_millis: u64,
    /// Time that a probed daemon has to answer, milliseconds.
    pub probe_timeout_millis: u64,
    /// Interval between comparisons of the whole membership with another daemon, milliseconds.
    pub sync_interval_millis: u64,
    /// Time from the announcement of a planned stop until exchanges of other daemons
    /// are refused: long enough for the news to reach the other zones, milliseconds.
    pub leave_notice_millis: u64,
    /// Time that exchanges of other daemons get at a planned stop, after this
    /// daemon's own callers are done, milliseconds.
    pub drain_timeout_millis: u64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        let distribution = DistributionConfig::default();
        let membership = MembershipTiming::default();
        Self {
            poll_interval_millis: millis(distribution.poll_interval),
            standby_poll_interval_millis: millis(distribution.standby_poll_interval),
            fan_out: distribution.degree,
            list_interval_millis: 5_000,
            probe_interval_millis: millis(membership.probe_interval),
            probe_timeout_millis: millis(membership.probe_timeout),
            sync_interval_millis: millis(membership.sync_interval),
            leave_notice_millis: 3_000,
            drain_timeout_millis: 30_000,
        }
    }
}

/// The library's intervals are far below the range of 64 bits.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl ControlSettings {
    /// Interval between reads of the list of machines.
    pub fn list_interval(&self) -> Duration {
        Duration::from_millis(self.list_interval_millis)
    }

    /// Time from the announcement of a planned stop until exchanges are refused.
    pub fn leave_notice(&self) -> Duration {
        Duration::from_millis(self.leave_notice_millis)
    }

    /// Time that exchanges of other daemons get at a planned stop.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_timeout_millis)
    }

    /// Settings of the distribution.
    pub fn distribution_config(&self) -> DistributionConfig {
        DistributionConfig {
            degree: self.fan_out,
            poll_interval: Duration::from_millis(self.poll_interval_millis),
            standby_poll_interval: Duration::from_millis(self.standby_poll_interval_millis),
            ..DistributionConfig::default()
        }
    }

    /// Settings of the membership.
    pub fn membership_timing(&self) -> MembershipTiming {
        MembershipTiming {
            probe_interval: Duration::from_millis(self.probe_interval_millis),
            probe_timeout: Duration::from_millis(self.probe_timeout_millis),
            sync_interval: Duration::from_millis(self.sync_interval_millis),
            ..MembershipTiming::default()
        }
    }

    /// All numbers that must not be zero, with their keys.
    pub(super) fn at_least_one(&self) -> [(&'static str, u64); 7] {
        [
            ("control.poll_interval_millis", self.poll_interval_millis),
            (
                "control.standby_poll_interval_millis",
                self.standby_poll_interval_millis,
            ),
            ("control.fan_out", self.fan_out as u64),
            ("control.list_interval_millis", self.list_interval_millis),
            ("control.probe_interval_millis", self.probe_interval_millis),
            ("control.probe_timeout_millis", self.probe_timeout_millis),
            ("control.sync_interval_millis", self.sync_interval_millis),
        ]
    }
}
