//! Settings of the distribution.

use std::time::Duration;

/// Intervals and limits of the distribution; equal on all nodes.
#[derive(Debug, Clone)]
pub struct DistributionConfig {
    /// Nodes that a node of the fan-out tree serves, on average.
    pub degree: usize,
    /// Between two reads of the source by the first relay of a zone.
    pub poll_interval: Duration,
    /// Between two reads of the source by the second relay of a zone.
    pub standby_poll_interval: Duration,
    /// The longest that one read of the source may take.
    pub poll_timeout: Duration,
    /// Changes asked for in one read of the source.
    pub poll_limit: usize,
    /// Changes kept in memory for nodes that are behind; a node further behind is
    /// given a snapshot.
    pub retained_changes: usize,
    /// The most bytes of changes kept in memory.
    pub retained_bytes: usize,
    /// Between two signs of life on a quiet connection.
    pub heartbeat_interval: Duration,
    /// A connection that is silent for so long is given up.
    pub silence_timeout: Duration,
    /// The longest that connecting to another node may take.
    pub connect_timeout: Duration,
    /// Least time between two reports of one node to its parent.
    pub report_interval: Duration,
}

impl Default for DistributionConfig {
    fn default() -> Self {
        Self {
            degree: 8,
            poll_interval: Duration::from_millis(500),
            standby_poll_interval: Duration::from_secs(2),
            poll_timeout: Duration::from_secs(3),
            poll_limit: 100,
            retained_changes: 1_024,
            retained_bytes: 4 * 1_024 * 1_024,
            heartbeat_interval: Duration::from_secs(2),
            silence_timeout: Duration::from_secs(7),
            connect_timeout: Duration::from_secs(2),
            report_interval: Duration::from_millis(50),
        }
    }
}
