//! Messages between processes: what is sent arrives.

mod support;

use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use stilequay_engine::engine::Engine;
use stilequay_engine::group::PositionSource;
use stilequay_engine::leadership::follower::VersionedTerm;
use stilequay_engine::leadership::record::{FormerTarget, TermPhase, TermRecord};
use stilequay_engine::link::frame::{FromHome, decode, encode};
use stilequay_engine::peers::{TcpPeers, group_snapshots, query, serve};
use stilequay_engine::ports::{GroupSnapshot, PeerNetwork, TermSnapshot};
use stilequay_engine::position::LogPosition;
use support::{Fleet, GROUP};
use tokio::net::TcpListener;
use tokio::time::Instant;

fn former_target() -> FormerTarget {
    FormerTarget {
        id: "c".into(),
        address: Some(([10, 0, 0, 3], 5_432).into()),
        received: Some(LogPosition::new(1, 7)),
    }
}

fn term(former_targets: Vec<FormerTarget>) -> VersionedTerm {
    let record = TermRecord {
        group: GROUP.into(),
        epoch: 1,
        phase: TermPhase::Promoting,
        target: Some("b".into()),
        target_address: None,
        target_received: None,
        previous: Some("a".into()),
        previous_address: None,
        former_targets,
        holder: "node-0".into(),
    };
    VersionedTerm {
        record,
        version: 1 << 40,
    }
}

/// Makes `term` known to the process, and returns its view of the group.
fn snapshot_with(engine: &Engine, term: &VersionedTerm) -> GroupSnapshot {
    engine.terms().apply_one(engine, term.clone(), None);
    let mut snapshots = group_snapshots(engine, &[GROUP.into()]);
    let snapshot = snapshots.pop().expect("a snapshot");
    assert!(snapshot.term.is_some());
    snapshot
}

fn decoded_terms(snapshots: &[GroupSnapshot]) -> Vec<Option<VersionedTerm>> {
    let terms = snapshots.iter().map(|snapshot| snapshot.term.as_ref());
    let decode = |term: &TermSnapshot| VersionedTerm::decode(&term.value, term.version);
    terms
        .map(|term| term.map(|term| decode(term).expect("a term record")))
        .collect()
}

/// A term record whose encoding leaves a field out makes the whole frame undecodable, and the
/// receiver closes the link.
#[rstest]
#[case::with_former_targets(vec![former_target()])]
#[case::without_former_targets(Vec::new())]
#[tokio::test(start_paused = true)]
async fn link_frame_with_a_term_record_is_decodable(#[case] former_targets: Vec<FormerTarget>) {
    let fleet = Fleet::start(1).await;
    let term = term(former_targets);
    let sent = snapshot_with(&fleet.nodes[0].engine, &term);
    let frame = encode(&FromHome::Beliefs {
        exchange: 7,
        beliefs: vec![sent.clone()],
    });
    let Some(FromHome::Beliefs { exchange, beliefs }) = decode(&frame) else {
        panic!("undecodable frame");
    };
    assert_eq!(decoded_terms(&beliefs), [Some(term)]);
    assert_eq!((exchange, beliefs), (7, vec![sent]));
}

#[rstest]
#[case::with_former_targets(vec![former_target()])]
#[case::without_former_targets(Vec::new())]
#[tokio::test]
async fn query_answer_with_a_term_record_is_decodable(#[case] former_targets: Vec<FormerTarget>) {
    tokio::time::pause();
    let fleet = Fleet::start(1).await;
    tokio::time::resume();
    let engine = Arc::clone(&fleet.nodes[0].engine);
    let term = term(former_targets);
    let known = snapshot_with(&engine, &term);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve(engine, listener));
    let answer = TcpPeers.query_groups(address, &[GROUP.into()]).await;
    let answer = answer.expect("a decodable answer");
    assert_eq!(decoded_terms(&answer), [Some(term)]);
    let terms: Vec<_> = answer.into_iter().map(|snapshot| snapshot.term).collect();
    assert_eq!(terms, [known.term]);
}

#[rstest]
#[case::with_former_targets(vec![former_target()])]
#[case::without_former_targets(Vec::new())]
#[tokio::test(start_paused = true)]
async fn term_record_of_a_peer_is_learned(#[case] former_targets: Vec<FormerTarget>) {
    let fleet = Fleet::start(2).await;
    let [informed, asking] = [&fleet.nodes[0].engine, &fleet.nodes[1].engine];
    support::until(|| asking.processes() == 2).await;
    let term = term(former_targets);
    informed.terms().apply_one(informed, term.clone(), None);
    query(asking, &[GROUP.into()]).await;
    assert_eq!(asking.terms().known(GROUP), Some(term));
}

#[tokio::test(start_paused = true)]
async fn undecodable_term_record_of_a_peer_costs_only_itself() {
    let fleet = Fleet::start(2).await;
    let [informed, asking] = [&fleet.nodes[0].engine, &fleet.nodes[1].engine];
    support::until(|| asking.processes() == 2).await;
    let (known, mut later) = (term(Vec::new()), term(vec![former_target()]));
    later.version += 1;
    let now = Instant::now();
    for engine in [informed, asking] {
        engine.terms().apply_one(engine, known.clone(), None);
    }
    informed.terms().apply_one(informed, later, None);
    let position = LogPosition::new(9, 9);
    let group = informed.group(&GROUP.into());
    group.record_covering_position(now, position, PositionSource::Survey);
    fleet
        .peers
        .corrupts_term_records
        .store(true, Ordering::Relaxed);
    query(asking, &[GROUP.into()]).await;
    assert_eq!(asking.terms().known(GROUP), Some(known));
    let group = asking.group(&GROUP.into());
    assert_eq!(group.newest_position(), Some(position));
}
