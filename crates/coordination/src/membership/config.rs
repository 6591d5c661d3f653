//! Settings of the membership protocol.

use super::record::MemberRecord;
use crate::control::{LinkPolicy, PermitAll};
use crate::identity::{NodeId, RegionName, ZoneName};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Probe intervals that a suspicion stands at least.
const LEAST_SUSPICION_INTERVALS: f64 = 3.0;

/// What a node needs to take part in the membership of its fleet.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// This node.
    pub own: MemberRecord,
    /// Intervals and limits.
    pub timing: MembershipTiming,
    /// Which links to other nodes there are.
    pub links: Arc<dyn LinkPolicy>,
}

impl MembershipConfig {
    /// The default settings for the node `own`.
    pub fn new(own: MemberRecord) -> Self {
        Self {
            own,
            timing: MembershipTiming::default(),
            links: Arc::new(PermitAll),
        }
    }
}

/// Intervals and limits of the membership protocol; equal on all nodes.
#[derive(Debug, Clone)]
pub struct MembershipTiming {
    /// Between two probes by one node, each of one other node in its zone.
    pub probe_interval: Duration,
    /// How long a probe waits for the direct answer before others are asked.
    pub probe_timeout: Duration,
    /// How many other nodes are asked to probe a node that did not answer.
    pub indirect_probes: usize,
    /// A suspicion becomes final after this many probe intervals, times the
    /// binary logarithm of the number of nodes in the zone.
    pub suspicion_factor: f64,
    /// Between two rounds of spreading reports; nothing is sent without news.
    pub gossip_interval: Duration,
    /// How many nodes are sent the news in each round.
    pub gossip_targets: usize,
    /// Between two exchanges of a representative with other zones.
    pub exchange_interval: Duration,
    /// How long a zone may go unheard before its nodes count as unreachable.
    pub zone_timeout: Duration,
    /// Between two comparisons of the whole state with one other node.
    pub sync_interval: Duration,
    /// How long connecting and each step of a comparison may take.
    pub sync_timeout: Duration,
    /// How long a node that is down is remembered, so that late reports of its
    /// life can't bring it back.
    pub down_retention: Duration,
    /// Least time between two published views.
    pub publish_interval: Duration,
}

impl MembershipTiming {
    /// How long a suspicion stands before it becomes final in a zone of `zone_size`
    /// nodes: long enough for the suspected node to hear of it and refute it.
    pub fn suspicion_timeout(&self, zone_size: usize) -> Duration {
        let logarithm = (zone_size.max(2) as f64 + 1.0).log2();
        let intervals = (self.suspicion_factor * logarithm).max(LEAST_SUSPICION_INTERVALS);
        self.probe_interval.mul_f64(intervals)
    }
}

impl Default for MembershipTiming {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            indirect_probes: 3,
            suspicion_factor: 0.7,
            gossip_interval: Duration::from_millis(200),
            gossip_targets: 2,
            exchange_interval: Duration::from_secs(1),
            zone_timeout: Duration::from_secs(20),
            sync_interval: Duration::from_secs(30),
            sync_timeout: Duration::from_secs(5),
            down_retention: Duration::from_secs(600),
            publish_interval: Duration::from_millis(100),
        }
    }
}

/// A first contact: a node that is said to exist, from a list that may be late.
///
/// Seeds only open the way into the fleet. They neither add a node to the view
/// nor remove one from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// The node.
    pub node: NodeId,
    /// The zone it is said to run in.
    pub zone: ZoneName,
    /// The region of that zone.
    pub region: RegionName,
    /// Where it listens for the coordination protocols.
    pub control_address: SocketAddr,
}
