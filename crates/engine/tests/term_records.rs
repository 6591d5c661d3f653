//! Term records in the store, which other versions read and write too.

use rstest::rstest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use stilequay_engine::leadership::record::{FormerTarget, TermPhase, TermRecord};
use stilequay_engine::position::LogPosition;

/// The record as written by the versions that know no former targets.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierRecord {
    group: String,
    epoch: u64,
    phase: TermPhase,
    target: Option<String>,
    target_address: Option<SocketAddr>,
    target_received: Option<LogPosition>,
    previous: Option<String>,
    previous_address: Option<SocketAddr>,
    holder: String,
}

fn earlier_record() -> EarlierRecord {
    EarlierRecord {
        group: "ledger".to_owned(),
        epoch: 3,
        phase: TermPhase::Promoting,
        target: Some("b".to_owned()),
        target_address: Some(([10, 0, 0, 2], 5_432).into()),
        target_received: Some(LogPosition::new(2, 41)),
        previous: Some("a".to_owned()),
        previous_address: Some(([10, 0, 0, 1], 5_432).into()),
        holder: "node-0".to_owned(),
    }
}

fn record(former_targets: Vec<FormerTarget>) -> TermRecord {
    TermRecord {
        group: "ledger".into(),
        epoch: 3,
        phase: TermPhase::Promoting,
        target: Some("b".into()),
        target_address: Some(([10, 0, 0, 2], 5_432).into()),
        target_received: Some(LogPosition::new(2, 41)),
        previous: Some("a".into()),
        previous_address: Some(([10, 0, 0, 1], 5_432).into()),
        former_targets,
        holder: "node-0".into(),
    }
}

fn former_target() -> FormerTarget {
    FormerTarget {
        id: "c".into(),
        address: Some(([10, 0, 0, 3], 5_432).into()),
        received: Some(LogPosition::new(1, 7)),
    }
}

#[rstest]
#[case::with_former_targets(vec![former_target()])]
#[case::without_former_targets(Vec::new())]
fn stored_record_is_decodable_by_all_versions(#[case] former_targets: Vec<FormerTarget>) {
    let record = record(former_targets);
    let stored = record.encode();
    assert_eq!(TermRecord::decode(&stored).expect("decodable"), record);
    let earlier: EarlierRecord = rmp_serde::from_slice(&stored).expect("decodable");
    assert_eq!(earlier, earlier_record());
}

#[test]
fn record_of_an_earlier_version_is_decodable() {
    let stored = rmp_serde::to_vec_named(&earlier_record()).expect("encoded");
    let decoded = TermRecord::decode(&stored).expect("decodable");
    assert_eq!(decoded, record(Vec::new()));
    assert_eq!(decoded.encode(), stored);
}
