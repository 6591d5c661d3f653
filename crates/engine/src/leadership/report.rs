//! Suspicions that processes record for the lease holder.

use super::suspicion::Suspicion;
use crate::decoding::{UndecodableKind, decode_record};
use crate::encoding;
use crate::engine::Engine;
use crate::group::Epoch;
use crate::names::{GroupName, NodeName};
use crate::ports::Record;
use serde::{Deserialize, Serialize};

/// Prefix of the keys of these records.
const KEY_PREFIX: &str = "suspicion/";

/// One process's suspicion of a leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// The group.
    pub group: GroupName,
    /// The epoch of the leader.
    pub epoch: Epoch,
    /// The process that suspects it.
    pub reporter: NodeName,
    /// Name of the suspicion.
    pub evidence: String,
    /// Differs between two reports of the same suspicion.
    pub nonce: u64,
}

/// Records a suspicion. A failed write is not retried: the next suspicion records another.
pub async fn record(engine: &Engine, group: &GroupName, epoch: Epoch, suspicion: Suspicion) {
    let reporter = engine.settings().node.clone();
    let key = format!("{KEY_PREFIX}{group}/{reporter}");
    let report = SuspicionReport {
        group: group.clone(),
        epoch,
        reporter,
        evidence: suspicion.name().to_owned(),
        nonce: rand::random(),
    };
    let others = engine.terms().subscribe_other_records();
    let version = others.borrow().get(&key).map_or(0, |known| known.version);
    let value = encoding::with_names(&report);
    let _ = engine.terms().store().put_if(&key, version, value).await;
}

/// Decodes a record, if it is a suspicion.
pub fn decode(engine: &Engine, record: &Record) -> Option<SuspicionReport> {
    let is_report = record.key.starts_with(KEY_PREFIX);
    let kind = UndecodableKind::SuspicionRecord;
    is_report.then(|| decode_record(engine.events(), kind, &record.key, &record.value))?
}
