//! Settings of the caller side, with checked values.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use stilequay_coordination::retry::RetryBudgetSettings;

/// Settings of the section `[front]`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FrontSettings {
    /// Greatest number of caller connections at this daemon.
    pub max_connections: u32,
    /// Greatest size of one frame from a caller, bytes.
    pub max_frame_bytes: usize,
    /// Greatest size of the frames that a caller sends before Sync or Flush, bytes.
    pub max_unit_bytes: usize,
    /// Greatest size of a frame before authentication, bytes.
    pub max_startup_bytes: usize,
    /// Time from accepting a connection to the end of its authentication, milliseconds.
    pub startup_timeout_millis: u64,
    /// Greatest number of named prepared statements of one connection.
    pub max_prepared_statements: usize,
    /// Greatest number of times a request is sent to a home.
    pub max_attempts: u32,
    /// Greatest first pause before homes are tried once more, milliseconds; it grows from round
    /// to round.
    pub retry_pause_millis: u64,
    /// Retries of all callers together, as a share of their requests, percent.
    pub retry_percent: u32,
    /// Retries of all callers together beyond that share, in a burst.
    pub retry_burst: u32,
    /// Time to begin with a home before the next one is tried, milliseconds.
    pub open_timeout_millis: u64,
    /// Time for which a home that failed is tried after the others, milliseconds.
    pub home_avoidance_millis: u64,
    /// Time without any message from a home, beyond the time of the request, after
    /// which the home counts as lost, milliseconds.
    pub home_grace_millis: u64,
    /// Time for which a caller may leave a written answer unread, milliseconds.
    pub write_stall_millis: u64,
    /// Time for which a caller may leave a transaction idle, milliseconds.
    pub idle_in_transaction_millis: u64,
    /// Time that a planned stop gives units and transactions in progress, milliseconds.
    pub drain_millis: u64,
    /// Texts in one generation of the cache of classifications.
    pub classification_cache: usize,
    /// The server version that callers are told.
    pub server_version: String,
}

impl Default for FrontSettings {
    fn default() -> Self {
        Self {
            max_connections: 10_000,
            max_frame_bytes: 16 << 20,
            max_unit_bytes: 32 << 20,
            max_startup_bytes: 10_000,
            startup_timeout_millis: 10_000,
            max_prepared_statements: 1_000,
            max_attempts: 6,
            retry_pause_millis: 20,
            retry_percent: 20,
            retry_burst: 200,
            open_timeout_millis: 1_000,
            home_avoidance_millis: 1_000,
            home_grace_millis: 2_000,
            write_stall_millis: 60_000,
            idle_in_transaction_millis: 60_000,
            drain_millis: 30_000,
            classification_cache: 4_096,
            server_version: "17.0".to_owned(),
        }
    }
}

/// A value of the settings that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FrontSettingFault {
    /// Key within the section.
    pub key: &'static str,
    /// What is wrong with the value.
    pub reason: String,
}

/// Greatest startup frame that the protocol's codec reads, bytes.
const CODEC_STARTUP_BYTES: u64 = 10_000;

impl FrontSettings {
    /// All faults of the values; empty where the settings can be used.
    pub fn faults(&self) -> Vec<FrontSettingFault> {
        let day_millis = 24 * 60 * 60 * 1_000;
        let ranges = [
            (
                "max_connections",
                u64::from(self.max_connections),
                1,
                1_000_000,
            ),
            (
                "max_frame_bytes",
                self.max_frame_bytes as u64,
                1_024,
                1 << 29,
            ),
            ("max_unit_bytes", self.max_unit_bytes as u64, 1_024, 1 << 30),
            (
                "max_startup_bytes",
                self.max_startup_bytes as u64,
                512,
                CODEC_STARTUP_BYTES,
            ),
            (
                "startup_timeout_millis",
                self.startup_timeout_millis,
                1,
                day_millis,
            ),
            (
                "max_prepared_statements",
                self.max_prepared_statements as u64,
                1,
                1_000_000,
            ),
            ("max_attempts", u64::from(self.max_attempts), 1, 100),
            ("retry_pause_millis", self.retry_pause_millis, 1, 60_000),
            ("retry_percent", u64::from(self.retry_percent), 0, 100),
            ("retry_burst", u64::from(self.retry_burst), 1, 1_000_000),
            (
                "open_timeout_millis",
                self.open_timeout_millis,
                1,
                day_millis,
            ),
            (
                "home_avoidance_millis",
                self.home_avoidance_millis,
                0,
                day_millis,
            ),
            ("home_grace_millis", self.home_grace_millis, 1, day_millis),
            ("write_stall_millis", self.write_stall_millis, 1, day_millis),
            (
                "idle_in_transaction_millis",
                self.idle_in_transaction_millis,
                1,
                day_millis,
            ),
            ("drain_millis", self.drain_millis, 0, day_millis),
            (
                "classification_cache",
                self.classification_cache as u64,
                1,
                1_000_000,
            ),
        ];
        let mut faults: Vec<_> = ranges
            .into_iter()
            .filter(|(_, value, least, greatest)| value < least || value > greatest)
            .map(|(key, value, least, greatest)| FrontSettingFault {
                key,
                reason: format!("{value} is not between {least} and {greatest}"),
            })
            .collect();
        if self.max_unit_bytes < self.max_frame_bytes {
            faults.push(FrontSettingFault {
                key: "max_unit_bytes",
                reason: "is less than max_frame_bytes".to_owned(),
            });
        }
        if !self
            .server_version
            .starts_with(|first: char| first.is_ascii_digit())
        {
            faults.push(FrontSettingFault {
                key: "server_version",
                reason: "does not begin with a number".to_owned(),
            });
        }
        faults
    }

    pub(crate) fn startup_timeout(&self) -> Duration {
        Duration::from_millis(self.startup_timeout_millis)
    }

    pub(crate) fn retry_pause(&self) -> Duration {
        Duration::from_millis(self.retry_pause_millis)
    }

    pub(crate) fn retry_budget(&self) -> RetryBudgetSettings {
        RetryBudgetSettings {
            ratio: f64::from(self.retry_percent) / 100.0,
            capacity: f64::from(self.retry_burst),
            ..RetryBudgetSettings::default()
        }
    }

    pub(crate) fn open_timeout(&self) -> Duration {
        Duration::from_millis(self.open_timeout_millis)
    }

    pub(crate) fn home_avoidance(&self) -> Duration {
        Duration::from_millis(self.home_avoidance_millis)
    }

    pub(crate) fn home_grace(&self) -> Duration {
        Duration::from_millis(self.home_grace_millis)
    }

    pub(crate) fn write_stall(&self) -> Duration {
        Duration::from_millis(self.write_stall_millis)
    }

    pub(crate) fn idle_in_transaction(&self) -> Duration {
        Duration::from_millis(self.idle_in_transaction_millis)
    }

    pub(crate) fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_millis)
    }
}
