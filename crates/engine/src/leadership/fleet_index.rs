//! The index of a large fleet: the processes that a starting process asks for everything else.
//!
//! For a starting process, reading the records of all processes costs more than all its other
//! store reads together, and after a power failure hundreds of processes would do so at once. So
//! the holder of the promotion lease keeps one record with the relays, the few processes that
//! forward the store's updates, and with its own address. A starting process reads only this record
//! and gets the rest from those processes.

use super::promotion_lease::PromotionLease;
use crate::decoding::{UndecodableKind, decode_record};
use crate::encoding;
use crate::engine::Engine;
use crate::following;
use crate::home::placement::Peer;
use crate::ports::Record;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Key of the record.
pub(super) const KEY: &str = "fleet";
/// Interval at which the lease holder compares the record with the fleet. A process that starts
/// meanwhile asks those listed before; any one of them suffices.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// What a starting process learns about the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct FleetIndex {
    /// Number of processes in the fleet.
    pub processes: usize,
    /// Address of the holder of the promotion lease.
    #[serde(default)]
    pub holder: Option<SocketAddr>,
    /// The relays, from which the other processes get the store's updates.
    pub followers: Vec<Peer>,
}

impl FleetIndex {
    fn of(engine: &Engine) -> Self {
        let mut followers = engine.homes().all_followers();
        followers.sort_by(|left, right| left.node.cmp(&right.node));
        Self {
            processes: engine.processes(),
            // Only the lease holder writes the index.
            holder: engine.settings().peer_address,
            followers,
        }
    }

    /// Decodes the index from `records`, if they contain one.
    pub fn from_records(engine: &Engine, records: &HashMap<String, Record>) -> Option<Self> {
        Self::decode(engine, records.get(KEY)?)
    }

    fn decode(engine: &Engine, record: &Record) -> Option<Self> {
        let kind = UndecodableKind::FleetIndexRecord;
        decode_record(engine.events(), kind, &record.key, &record.value)
    }
}

/// Keeps the record up to date while this process holds the promotion lease.
pub async fn maintain(engine: &Engine, lease: &PromotionLease) {
    loop {
        sleep(COMPARE_INTERVAL).await;
        if lease.check().is_none() || !following::uses_relays(engine) {
            continue;
        }
        let others = engine.terms().subscribe_other_records();
        let known = others.borrow().get(KEY).cloned();
        let current = FleetIndex::of(engine);
        let decoded = known.as_ref();
        let decoded = decoded.and_then(|known| FleetIndex::decode(engine, known));
        if decoded.as_ref() == Some(&current) {
            continue;
        }
        let value = encoding::with_names(&current);
        let put = engine
            .terms()
            .put_other_record(KEY.to_owned(), known.as_ref(), value);
        if let Err(error) = put.await {
            log::warn!("failed to write the fleet index: {error}");
        }
    }
}
