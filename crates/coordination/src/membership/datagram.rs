//! The datagrams of the membership protocol and their encoding.
//!
//! A datagram is a header followed by any number of reports, each a MessagePack
//! value of its own, up to [`DATAGRAM_LIMIT`] bytes.

use super::contacts::ZoneContact;
use super::record::Delta;
use crate::identity::NodeId;
use crate::revision::Revision;
use crate::traffic::MessageKind;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The most bytes in a datagram, so that it fits one Ethernet frame.
pub(super) const DATAGRAM_LIMIT: usize = 1_400;

/// The version of the protocol.
pub(super) const VERSION: u8 = 1;

/// Pairs an acknowledgement with the probe it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(super) struct ProbeId(pub u64);

/// What a datagram asks or answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Purpose {
    /// Answer, please.
    #[serde(rename = "p")]
    Probe(ProbeId),
    /// The answer to a probe.
    #[serde(rename = "a")]
    Acknowledge(ProbeId),
    /// Probe the node at this address and answer if it answers.
    #[serde(rename = "i")]
    ProbeFor(ProbeId, SocketAddr),
    /// News only.
    #[serde(rename = "g")]
    Gossip,
    /// News from a representative of another zone, to be answered with news.
    #[serde(rename = "x")]
    Exchange,
    /// The answer to an exchange.
    #[serde(rename = "r")]
    ExchangeReply,
}

impl Purpose {
    /// How the datagram is counted.
    pub fn kind(&self) -> MessageKind {
        match self {
            Self::Probe(_) => MessageKind::Probe,
            Self::Acknowledge(_) => MessageKind::Acknowledgement,
            Self::ProbeFor(..) => MessageKind::IndirectProbe,
            Self::Gossip => MessageKind::Gossip,
            Self::Exchange | Self::ExchangeReply => MessageKind::Exchange,
        }
    }
}

/// The start of each datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Header {
    /// The version of the protocol, see [`VERSION`].
    pub version: u8,
    /// Who sent it.
    pub sender: NodeId,
    /// What the sender has applied of the distributed changes.
    pub revision: Revision,
    /// The digest of the sender's whole table.
    pub digest: u64,
    /// When the sender, or who told it, last heard of the zones.
    pub contacts: Vec<ZoneContact>,
    /// What it asks or answers.
    pub purpose: Purpose,
}

/// A datagram as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Datagram {
    /// Its start.
    pub header: Header,
    /// The reports it carries.
    pub deltas: Vec<Delta>,
}

quick_error! {
    /// A datagram that is not understood.
    #[derive(Debug)]
    pub enum DatagramError {
        /// It is not in the encoding of the protocol.
        Malformed(error: rmp_serde::decode::Error) {
            display("malformed datagram: {error}")
            from()
        }
        /// It has another version.
        Version(version: u8) {
            display("datagram of the unknown version {version}")
        }
    }
}

/// A datagram being filled.
pub(super) struct DatagramWriter {
    bytes: Vec<u8>,
}

impl DatagramWriter {
    /// A datagram without reports.
    pub fn new(header: &Header) -> Self {
        let mut bytes = Vec::with_capacity(DATAGRAM_LIMIT);
        append(&mut bytes, header);
        Self { bytes }
    }

    /// Adds a report if there is room for it.
    pub fn push(&mut self, delta: &Delta) -> bool {
        let before = self.bytes.len();
        append(&mut self.bytes, delta);
        if self.bytes.len() <= DATAGRAM_LIMIT {
            return true;
        }
        self.bytes.truncate(before);
        false
    }

    /// The encoded datagram.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}

fn append(bytes: &mut Vec<u8>, value: &impl Serialize) {
    rmp_serde::encode::write(bytes, value).expect("writing to memory does not fail");
}

/// Reads a datagram.
pub(super) fn decode(bytes: &[u8]) -> Result<Datagram, DatagramError> {
    let mut rest = bytes;
    let header: Header = read(&mut rest)?;
    if header.version != VERSION {
        return Err(DatagramError::Version(header.version));
    }
    let mut deltas = Vec::new();
    while !rest.is_empty() {
        deltas.push(read(&mut rest)?);
    }
    Ok(Datagram { header, deltas })
}

/// Reads one value and moves `rest` behind it.
fn read<T: DeserializeOwned>(rest: &mut &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_read(rest)
}
