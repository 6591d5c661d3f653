//! The index of a large fleet: whom a process that starts is to ask for all else.
//!
//! Reading the records of all processes costs each that starts more than everything else that it
//! asks the store; after a loss of all power hundreds would read them in one moment. So whoever
//! holds the lease for promotions keeps one record with the few that follow the store and tell
//! the others, and with where the holder itself answers. A process that starts reads only that, and
//! learns of the rest from these.

use super::duty::Duty;
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

/// The key of the record.
pub(super) const KEY: &str = "fleet";
/// Interval in which the holder of the lease compares the record with the fleet. A process that
/// starts meanwhile asks those that were listed before, and any of them will do.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// What a process that starts is told of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct FleetIndex {
    /// Processes that the fleet has.
    pub processes: usize,
    /// Where the holder of the lease for promotions answers.
    #[serde(default)]
    pub holder: Option<SocketAddr>,
    /// Those that others ask.
    pub followers: Vec<Peer>,
}

impl FleetIndex {
    fn of(engine: &Engine) -> Self {
        let mut followers = engine.homes().all_followers();
        followers.sort_by(|left, right| left.node.cmp(&right.node));
        Self {
            processes: engine.processes(),
            // Its holder is who writes the index.
            holder: engine.settings().peer_address,
            followers,
        }
    }

    /// The index among `records`, if there is one.
    pub fn among(records: &HashMap<String, Record>) -> Option<Self> {
        Self::decode(records.get(KEY)?)
    }

    fn decode(record: &Record) -> Option<Self> {
        let decoded = rmp_serde::from_slice(&record.value);
        decoded
            .inspect_err(|error| log::error!("record {}: {error}", record.key))
            .ok()
    }
}

/// Keeps the record while this process holds the lease for promotions.
pub async fn keep(engine: &Engine, duty: &Duty) {
    loop {
        sleep(COMPARE_INTERVAL).await;
        if duty.check().is_none() || !following::uses_relays(engine) {
            continue;
        }
        let others = engine.terms().subscribe_others();
        let known = others.borrow().get(KEY).cloned();
        let current = FleetIndex::of(engine);
        if known.as_ref().and_then(FleetIndex::decode).as_ref() == Some(&current) {
            continue;
        }
        let value = encoding::with_names(&current);
        let put = engine
            .terms()
            .put_other(KEY.to_owned(), known.as_ref(), value);
        if let Err(error) = put.await {
            log::warn!("the index of the fleet was not written: {error}");
        }
    }
}
