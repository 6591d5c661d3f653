//! The share of reads that replicas served, from the daemons' metrics.

use crate::launch::{LaunchError, Topology};

/// The counter of units that homes have run, by access and by the member's role.
const UNITS_COUNTER: &str = "stilequay_home_units_total";

/// Reads that the homes have had served so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// By replicas.
    pub by_replicas: u64,
    /// By primaries.
    pub by_primaries: u64,
}

impl ReadCounts {
    /// Counts of all daemons of `topology`.
    pub async fn collect(topology: &Topology) -> Result<Self, LaunchError> {
        let mut counts = Self::default();
        for daemon in &topology.daemons {
            counts.add(&daemon.operator().metrics().await?);
        }
        Ok(counts)
    }

    /// Adds what one daemon's metrics tell.
    pub fn add(&mut self, metrics: &str) {
        for line in metrics
            .lines()
            .filter(|line| line.starts_with(UNITS_COUNTER))
        {
            let Some((labels, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let Ok(value) = value.parse::<u64>() else {
                continue;
            };
            match (
                labels.contains(r#"access="read""#),
                labels.contains(r#"role="replica""#),
            ) {
                (true, true) => self.by_replicas += value,
                (true, false) => self.by_primaries += value,
                (false, _) => {}
            }
        }
    }

    /// The share of replicas in the reads since `before`; `None` without reads.
    pub fn share_since(&self, before: &Self) -> Option<f64> {
        let by_replicas = self.by_replicas.saturating_sub(before.by_replicas);
        let by_primaries = self.by_primaries.saturating_sub(before.by_primaries);
        let all = by_replicas + by_primaries;
        (all > 0).then(|| by_replicas as f64 / all as f64)
    }
}
