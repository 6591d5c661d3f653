//! Counts of the messages and bytes that a node sends and receives for control.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kinds of messages that are counted apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// A probe of another node of the zone.
    Probe,
    /// The answer to a probe or an exchange.
    Acknowledgement,
    /// A request to probe a third node.
    IndirectProbe,
    /// News of the membership.
    Gossip,
    /// News between the representatives of zones.
    Exchange,
    /// Comparison of the whole membership.
    Sync,
    /// Opening of a subscription to changes.
    Subscription,
    /// A change of the configuration.
    Change,
    /// A snapshot of the configuration.
    Snapshot,
    /// A sign of life on a subscription.
    Heartbeat,
    /// What the nodes of a subtree have applied.
    Report,
    /// What is in force on the fleet.
    InForce,
    /// A question for the highest revision, and its answer.
    Head,
}

impl MessageKind {
    /// All kinds.
    pub const ALL: [Self; 13] = [
        Self::Probe,
        Self::Acknowledgement,
        Self::IndirectProbe,
        Self::Gossip,
        Self::Exchange,
        Self::Sync,
        Self::Subscription,
        Self::Change,
        Self::Snapshot,
        Self::Heartbeat,
        Self::Report,
        Self::InForce,
        Self::Head,
    ];

    /// The name of the kind in metrics and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::Acknowledgement => "acknowledgement",
            Self::IndirectProbe => "indirect_probe",
            Self::Gossip => "gossip",
            Self::Exchange => "exchange",
            Self::Sync => "sync",
            Self::Subscription => "subscription",
            Self::Change => "change",
            Self::Snapshot => "snapshot",
            Self::Heartbeat => "heartbeat",
            Self::Report => "report",
            Self::InForce => "in_force",
            Self::Head => "head",
        }
    }
}

/// Messages and bytes, as counted by one node. The bytes are those of the
/// encoded messages, without the headers of UDP, TCP and IP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MessageCount {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

/// The counters of one node.
#[derive(Debug, Default)]
pub struct Traffic {
    counters: [Counter; MessageKind::ALL.len()],
}

#[derive(Debug, Default)]
struct Counter {
    messages_sent: AtomicU64,
    bytes_sent: AtomicU64,
    messages_received: AtomicU64,
    bytes_received: AtomicU64,
}

impl Traffic {
    /// Counts a message of `bytes` that was sent.
    pub fn sent(&self, kind: MessageKind, bytes: usize) {
        let counter = &self.counters[kind as usize];
        counter.messages_sent.fetch_add(1, Ordering::Relaxed);
        counter
            .bytes_sent
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a message of `bytes` that was received.
    pub fn received(&self, kind: MessageKind, bytes: usize) {
        let counter = &self.counters[kind as usize];
        counter.messages_received.fetch_add(1, Ordering::Relaxed);
        counter
            .bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// What has been counted of `kind` since the start.
    pub fn count(&self, kind: MessageKind) -> MessageCount {
        let counter = &self.counters[kind as usize];
        MessageCount {
            messages_sent: counter.messages_sent.load(Ordering::Relaxed),
            bytes_sent: counter.bytes_sent.load(Ordering::Relaxed),
            messages_received: counter.messages_received.load(Ordering::Relaxed),
            bytes_received: counter.bytes_received.load(Ordering::Relaxed),
        }
    }
}
