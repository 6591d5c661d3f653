//! A fault-injecting proxy: TCP links and UDP links, each from an address of its
//! own to one target, with faults for each direction.

pub mod command;
mod counters;
pub mod handle;
mod pipe;
pub mod steering;
pub mod switches;
pub mod tcp;
pub mod udp;

pub use counters::LinkCounters;
pub use handle::{FaultsHandle, FaultsSettings, start};
pub use switches::{DatagramFaults, DatagramLinkFaults, StreamFaults, StreamLinkFaults};
pub use tcp::TcpLink;
pub use udp::UdpLink;
