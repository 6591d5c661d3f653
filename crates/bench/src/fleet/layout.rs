//! Where each hollow daemon runs.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use stilequay_coordination::identity::{Incarnation, NodeId, RegionName, ZoneName};
use stilequay_coordination::membership::{MemberRecord, Seed};

/// How the daemons are spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// Zones.
    pub zones: usize,
    /// Regions, over which the zones are spread in turn.
    pub regions: usize,
}

impl Layout {
    /// The zone of daemon `number`, counted from 0.
    pub fn zone_of(self, number: usize) -> usize {
        number % self.zones
    }

    /// The region of a zone, counted from 0.
    pub fn region_of(self, zone: usize) -> usize {
        zone % self.regions
    }

    /// The address that the daemons of a zone bind: each zone has its own, so that a
    /// cut can be told from the address alone.
    pub fn address_of(zone: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 0, 1 + zone as u8, 1))
    }

    /// The zone that an address belongs to.
    pub fn zone_at(address: SocketAddr) -> Option<usize> {
        match address.ip() {
            IpAddr::V4(address) => usize::from(address.octets()[2]).checked_sub(1),
            IpAddr::V6(_) => None,
        }
    }

    /// The record of a daemon that listens at `address`.
    pub fn record(self, life: DaemonLife, address: SocketAddr) -> MemberRecord {
        let zone = self.zone_of(life.number);
        MemberRecord {
            node: node_name(life.number),
            incarnation: Incarnation(life.incarnation),
            zone: ZoneName::new(format!("zone-{zone}")),
            region: RegionName::new(format!("region-{}", self.region_of(zone))),
            control_address: address,
            data_address: address,
        }
    }
}

/// One life of one hollow daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonLife {
    /// Its number, counted from 0.
    pub number: usize,
    /// Which life it is.
    pub incarnation: u64,
}

/// The name of daemon `number`.
pub fn node_name(number: usize) -> NodeId {
    NodeId::new(format!("daemon-{number:05}"))
}

/// The entry of a daemon in the list of machines.
pub fn seed(record: &MemberRecord) -> Seed {
    Seed {
        node: record.node.clone(),
        zone: record.zone.clone(),
        region: record.region.clone(),
        control_address: record.control_address,
    }
}

/// The number of the daemon with this record.
pub fn number_of(record: &MemberRecord) -> Option<usize> {
    let name = record.node.as_str();
    name.rsplit('-').next()?.parse().ok()
}
