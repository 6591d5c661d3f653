//! The processes of the fleet, from the record that each keeps of itself.
//!
//! A member accepts a limited number of connections from all processes together. The share of each
//! process follows from their number.

use super::fleet_index::FleetIndex;
use crate::decoding::{self, UndecodableKind, decode_record};
use crate::encoding;
use crate::engine::Engine;
use crate::home::placement::{MIN_PROCESS_CONNECTIONS, Peer, RESERVED_CONNECTIONS};
use crate::names::{NodeName, ZoneName};
use crate::ports::{PutOutcome, Record};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Prefix of the keys of these records.
pub(super) const KEY_PREFIX: &str = "node/";
/// Interval at which a process renews its record.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(120);
/// Time after which a process whose record was not renewed is no longer counted.
const RECORD_TTL: Duration = Duration::from_secs(400);
/// Weight of a process whose record doesn't state how many cores it may use.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Pause after a failed write, doubled after each further failure up to [`MAX_PAUSE_DOUBLINGS`]
/// times: a fleet that starts writes more records at once than the store accepts in a second.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Maximum number of times that [`RETRY_PAUSE`] is doubled.
const MAX_PAUSE_DOUBLINGS: u32 = 2;
/// Maximum share: further connections would only wait in the member's queue.
const MAX_SHARE: usize = 6;

/// The record that a process keeps of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct NodeRecord {
    /// The address on which it answers other processes.
    address: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    zone: Option<ZoneName>,
    /// Number of cores that it may use.
    #[serde(default)]
    weight: Option<f64>,
    /// Differs between two writes of the same content.
    nonce: u64,
}

/// The known addresses of the other processes.
pub fn peers(engine: &Engine) -> Vec<SocketAddr> {
    let own = engine.settings().peer_address;
    let others = engine.terms().subscribe_other_records();
    let records = others.borrow();
    let nodes = records.values().filter(|r| r.key.starts_with(KEY_PREFIX));
    nodes
        // Malformed records are reported when they are first read.
        .filter_map(|record| decoding::decode::<NodeRecord>(&record.value).ok())
        .filter_map(|node| node.address)
        .filter(|address| Some(*address) != own)
        .collect()
}

/// Rank of this process in an order that is the same in all processes; zero is first. A process
/// that isn't registered yet ranks last.
pub fn rank(engine: &Engine) -> usize {
    let rank = engine.homes().lease_rank();
    let rank = rank.filter(|_| is_registered(engine));
    rank.unwrap_or(usize::MAX)
}

/// Number of connections that one of `processes` may open to a member that accepts `accepted`.
pub fn connection_share(accepted: usize, processes: usize) -> usize {
    let share = accepted.saturating_sub(RESERVED_CONNECTIONS) / processes.max(1);
    share.clamp(MIN_PROCESS_CONNECTIONS, MAX_SHARE)
}

impl NodeRecord {
    /// The current record of this process.
    fn of(engine: &Engine) -> Self {
        let settings = engine.settings();
        Self {
            address: settings.peer_address,
            zone: Some(settings.zone.clone()),
            weight: Some(settings.weight),
            nonce: rand::random(),
        }
    }

    /// Whether both are equal apart from the nonce.
    fn has_same_content(&self, other: &Self) -> bool {
        let nonce = other.nonce;
        Self {
            nonce,
            ..self.clone()
        } == *other
    }
}

/// Writes and renews this process's record. One that was written before a restart and is still
/// accurate is kept for a while, so that a restart of the whole fleet causes no writes.
pub async fn register(engine: &Engine) {
    engine.terms().wait_until_own_known().await;
    let key = format!("{KEY_PREFIX}{}", engine.settings().node);
    if let Some(known) = own_record(engine, &key)
        && let Ok(stored) = decoding::decode::<NodeRecord>(&known.value)
        && stored.has_same_content(&NodeRecord::of(engine))
    {
        let pause = RENEWAL_INTERVAL.mul_f64(0.5 + rand::random::<f64>() / 2.0);
        wait_until_due(engine, &key, pause).await;
    }
    let mut failures = 0;
    loop {
        let known = own_record(engine, &key);
        let value = encoding::with_names(&NodeRecord::of(engine));
        let put = engine
            .terms()
            .put_other_record(key.clone(), known.as_ref(), value);
        match put.await {
            Ok(PutOutcome::Stored(_)) => {
                failures = 0;
                wait_until_due(engine, &key, RENEWAL_INTERVAL).await;
            }
            _ => {
                let pause = RETRY_PAUSE * 2_u32.pow(failures.min(MAX_PAUSE_DOUBLINGS));
                failures += 1;
                sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }
}

/// Returns after `pause`, or soon after the store has lost the record `key`: a process without a
/// record gets no work from others.
async fn wait_until_due(engine: &Engine, key: &str, pause: Duration) {
    let mut records = engine.terms().subscribe_other_records();
    let record_is_lost = records.wait_for(|records| !records.contains_key(key));
    if timeout(pause, record_is_lost).await.is_ok() {
        sleep(RETRY_PAUSE.mul_f64(rand::random())).await;
    }
}

/// Number of processes in the fleet, from the known records or the fleet index.
pub fn count(engine: &Engine) -> usize {
    let others = engine.terms().subscribe_other_records();
    let records = others.borrow();
    let nodes = records.keys().filter(|key| key.starts_with(KEY_PREFIX));
    match nodes.count() {
        0 => FleetIndex::from_records(engine, &records).map_or(0, |index| index.processes),
        known => known,
    }
}

/// Whether a record of this process exists, written by it now or before a restart.
pub fn is_registered(engine: &Engine) -> bool {
    let key = format!("{KEY_PREFIX}{}", engine.settings().node);
    own_record(engine, &key).is_some()
}

fn own_record(engine: &Engine, key: &str) -> Option<Record> {
    engine
        .terms()
        .subscribe_other_records()
        .borrow()
        .get(key)
        .cloned()
}

/// A process whose record was seen.
#[derive(Debug)]
struct KnownProcess {
    version: u64,
    seen_at: Instant,
    /// `None` if it has no address for other processes, or its record is malformed.
    peer: Option<Peer>,
}

/// Updates the peers and the number of processes whenever the fleet changes.
pub async fn update_fleet(engine: &Engine) {
    let mut records = engine.terms().subscribe_other_records();
    let mut known_processes = HashMap::new();
    loop {
        update_processes(
            engine,
            &records.borrow_and_update(),
            &mut known_processes,
            Instant::now(),
        );
        let index = match known_processes.is_empty() {
            true => FleetIndex::from_records(engine, &records.borrow()),
            false => None,
        };
        let (peers, processes) = match index {
            Some(index) => (index.followers, index.processes),
            None => (peers_of(&known_processes), known_processes.len()),
        };
        engine
            .homes()
            .set_fleet(with_own_process(engine, peers), processes);
        engine.set_processes(processes.max(1));
        if records.changed().await.is_err() {
            return;
        }
    }
}

/// The processes that can be homes, including this one, sorted by node name.
fn with_own_process(engine: &Engine, peers: Vec<Peer>) -> Vec<Peer> {
    let own = engine.settings().peer_address.map(|address| Peer {
        node: engine.settings().node.clone(),
        address,
        zone: engine.settings().zone.clone(),
        weight: engine.settings().weight,
    });
    let others = peers.into_iter();
    let others = others.filter(|peer| peer.node != engine.settings().node);
    let mut peers: Vec<Peer> = others.chain(own).collect();
    peers.sort_by(|left, right| left.node.cmp(&right.node));
    peers
}

fn peers_of(known_processes: &HashMap<String, KnownProcess>) -> Vec<Peer> {
    let peers = known_processes
        .values()
        .filter_map(|process| process.peer.clone());
    peers.collect()
}

/// Records the processes whose record has changed recently, and drops the others.
fn update_processes(
    engine: &Engine,
    records: &HashMap<String, Record>,
    known_processes: &mut HashMap<String, KnownProcess>,
    now: Instant,
) {
    let processes = records.values().filter(|r| r.key.starts_with(KEY_PREFIX));
    for record in processes {
        let version = record.version;
        let known = known_processes
            .get(&record.key)
            .map(|process| process.version);
        if known != Some(version) {
            let peer = read_peer(engine, record);
            let process = KnownProcess {
                version,
                seen_at: now,
                peer,
            };
            known_processes.insert(record.key.clone(), process);
        }
    }
    known_processes.retain(|_, process| now.duration_since(process.seen_at) < RECORD_TTL);
}

fn read_record(engine: &Engine, record: &Record) -> Option<NodeRecord> {
    let kind = UndecodableKind::NodeRecord;
    decode_record(engine.events(), kind, &record.key, &record.value)
}

fn read_peer(engine: &Engine, record: &Record) -> Option<Peer> {
    let node = NodeName::from(record.key.strip_prefix(KEY_PREFIX)?);
    let read = read_record(engine, record)?;
    Some(Peer {
        node,
        address: read.address?,
        zone: read.zone?,
        weight: read.weight.unwrap_or(DEFAULT_WEIGHT),
    })
}
