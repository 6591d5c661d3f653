//! Latencies by kind of operation.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest latency told apart, microseconds: one minute.
const MAX_MICROS: u64 = 60_000_000;
/// Significant decimal digits kept.
const DIGITS: u8 = 3;

/// The latencies of one kind of operation.
#[derive(Debug, Clone)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_MICROS, DIGITS);
        Self(histogram.expect("the bounds are valid constants"))
    }
}

impl Latencies {
    /// Adds one operation.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_MICROS);
        self.0.saturating_record(micros.max(1));
    }

    /// Adds all operations of `other`.
    pub fn add(&mut self, other: &Self) {
        // Both have the same bounds, so no value can be out of range.
        let _ = self.0.add(&other.0);
    }

    /// The figures to report.
    pub fn summary(&self) -> LatencySummary {
        let at = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1_000.0;
        LatencySummary {
            count: self.0.len(),
            p50_millis: at(0.5),
            p99_millis: at(0.99),
            max_millis: self.0.max() as f64 / 1_000.0,
        }
    }
}

/// Latencies as reported.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct LatencySummary {
    /// Operations measured.
    pub count: u64,
    /// Median, milliseconds.
    pub p50_millis: f64,
    /// 99th percentile, milliseconds.
    pub p99_millis: f64,
    /// Longest, milliseconds.
    pub max_millis: f64,
}

/// Latencies of reads, writes and transactions that were answered.
#[derive(Debug, Clone, Default)]
pub struct LatenciesByKind {
    /// Reads.
    pub reads: Latencies,
    /// Writes of a single statement.
    pub writes: Latencies,
    /// Transactions, from BEGIN to the answer to COMMIT.
    pub transactions: Latencies,
}

impl LatenciesByKind {
    /// Adds all operations of `other`.
    pub fn add(&mut self, other: &Self) {
        self.reads.add(&other.reads);
        self.writes.add(&other.writes);
        self.transactions.add(&other.transactions);
    }
}
