//! The faults of links.

use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;
use std::time::Duration;

/// Faults of one direction of a TCP link; the default is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct StreamFaults {
    /// Bytes are dropped, and the end of the stream is kept back. A connection
    /// that lost bytes is reset when the cut ends, so that no stream with a hole
    /// goes on.
    pub cut: bool,
    /// Nothing is read: bytes wait with their sender and arrive later.
    pub freeze: bool,
    /// Time that bytes take, one way.
    pub delay_micros: u64,
    /// Greatest random addition to the delay; bytes stay in order.
    pub jitter_micros: u64,
    /// Rate at which bytes are read.
    pub bytes_per_second: Option<NonZeroU32>,
    /// A connection is closed after so many bytes, counted from its start.
    pub close_after_bytes: Option<u64>,
}

/// Faults of a TCP link; the default is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct StreamLinkFaults {
    /// New connections are refused.
    pub refuse: bool,
    /// New connections are accepted and never answered; they are reset once this
    /// ends. A cut of either direction does the same, except that the connections
    /// go on once it ends.
    pub half_open: bool,
    /// From the side that connected to the target.
    pub to_target: StreamFaults,
    /// From the target to the side that connected.
    pub to_source: StreamFaults,
}

/// Faults of one direction of a UDP link; the default is none.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct DatagramFaults {
    /// All datagrams are dropped.
    pub cut: bool,
    /// Time that a datagram takes, one way.
    pub delay_micros: u64,
    /// Greatest random addition to the delay; datagrams may overtake each other.
    pub jitter_micros: u64,
    /// Share of datagrams dropped, from 0 to 1.
    pub drop_probability: f64,
    /// Seed of the generator that decides which datagrams are dropped.
    pub seed: u64,
}

/// Faults of a UDP link; the default is none.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct DatagramLinkFaults {
    /// From the side that sent first to the target.
    pub to_target: DatagramFaults,
    /// From the target to the side that sent first.
    pub to_source: DatagramFaults,
}

impl StreamFaults {
    /// A delay for the next bytes.
    pub fn draw_delay(&self) -> Duration {
        draw_delay(self.delay_micros, self.jitter_micros)
    }
}

impl StreamLinkFaults {
    /// Whether either direction is cut.
    pub fn any_cut(&self) -> bool {
        self.to_target.cut || self.to_source.cut
    }

    /// Both directions cut.
    pub fn cut_both_ways() -> Self {
        let cut = StreamFaults {
            cut: true,
            ..StreamFaults::default()
        };
        Self {
            to_target: cut,
            to_source: cut,
            ..Self::default()
        }
    }
}

impl DatagramFaults {
    /// A delay for the next datagram.
    pub fn draw_delay(&self) -> Duration {
        draw_delay(self.delay_micros, self.jitter_micros)
    }
}

fn draw_delay(delay_micros: u64, jitter_micros: u64) -> Duration {
    let jitter = match jitter_micros {
        0 => 0,
        most => rand::rng().random_range(0..=most),
    };
    Duration::from_micros(delay_micros.saturating_add(jitter))
}
