//! Which evidence a process may rely on for which knowledge of a group, and for how long.

use proptest::prelude::*;
use std::time::Duration;
use stilequay_engine::group::{
    Epoch, Group, PositionOutcome, PositionSample, PositionSamples, PositionSource, TERM_LEASE,
    UsableLeader,
};
use stilequay_engine::leadership::record::{TermPhase, TermRecord};
use stilequay_engine::position::LogPosition;
use tokio::time::{Instant, advance};

fn group() -> Group {
    Group::new("ledger".into())
}

fn usable_leader(member: &str, epoch: Epoch) -> UsableLeader {
    UsableLeader {
        member: member.into(),
        epoch,
    }
}

fn record(epoch: u64, phase: TermPhase, target: Option<&str>) -> TermRecord {
    TermRecord {
        group: "ledger".into(),
        epoch,
        phase,
        target: target.map(Into::into),
        target_received: None,
        target_address: None,
        previous: Some("a".into()),
        previous_address: None,
        former_targets: Vec::new(),
        holder: "node-0".into(),
    }
}

fn leader(group: &Group, staleness: Duration) -> Option<String> {
    let leader = group.leased_leader(Instant::now(), staleness);
    leader.map(|leader| leader.member.to_string())
}

fn writable(group: &Group) -> Option<String> {
    let leader = group.writable_leader(Instant::now());
    leader.map(|leader| leader.member.to_string())
}

#[tokio::test(start_paused = true)]
async fn store_read_is_evidence_from_its_start() {
    let group = group();
    let begun = Instant::now();
    advance(Duration::from_millis(150)).await;
    group.apply_initial_leader(Some("a".into()), Some(begun));
    assert_eq!(leader(&group, Duration::ZERO).as_deref(), Some("a"));
    advance(TERM_LEASE - Duration::from_millis(150)).await;
    assert_eq!(leader(&group, Duration::ZERO), None);
    // Reads that allow staleness may rely on the evidence for that much longer.
    assert_eq!(leader(&group, Duration::from_secs(1)).as_deref(), Some("a"));
}

/// It may have been acknowledged through a server that the next leader's choice doesn't wait for.
#[tokio::test(start_paused = true)]
async fn commit_is_no_evidence() {
    let group = group();
    group.apply_initial_leader(Some("a".into()), Some(Instant::now()));
    let usable = usable_leader("a", 0);
    advance(TERM_LEASE / 2).await;
    assert!(group.is_leased_by(&usable, Instant::now()));
    let sent = Instant::now();
    group.record_commit(&usable, sent, Some(LogPosition::new(1, 5)));
    assert!(group.covering_position(sent).is_some());
    advance(TERM_LEASE / 2).await;
    assert!(!group.is_leased_by(&usable, Instant::now()));
    assert_eq!(leader(&group, Duration::ZERO), None);
    let sent = Instant::now();
    group.record_commit(&usable, sent, Some(LogPosition::new(1, 6)));
    assert_eq!(leader(&group, Duration::ZERO), None);
    assert_eq!(group.covering_position(sent), None);
}

#[tokio::test(start_paused = true)]
async fn commit_of_an_earlier_epoch_is_no_evidence_for_the_next() {
    let group = group();
    group.apply_initial_leader(Some("a".into()), Some(Instant::now()));
    group.apply_record(
        &record(1, TermPhase::Promoting, Some("b")),
        None,
        Instant::now(),
    );
    group.record_commit(
        &usable_leader("a", 0),
        Instant::now(),
        Some(LogPosition::new(1, 5)),
    );
    assert_eq!(leader(&group, Duration::ZERO), None);
}

#[tokio::test(start_paused = true)]
async fn fence_stops_writes_immediately_and_reads_when_the_evidence_expires() {
    let group = group();
    group.apply_initial_leader(Some("a".into()), Some(Instant::now()));
    let fencing = record(1, TermPhase::Fencing, None);
    let begun = Some(Instant::now());
    group.apply_record(&fencing, begun, Instant::now());
    assert_eq!(writable(&group), None);
    assert_eq!(leader(&group, Duration::ZERO).as_deref(), Some("a"));
    advance(TERM_LEASE).await;
    group.apply_record(&fencing, Some(Instant::now()), Instant::now());
    assert_eq!(leader(&group, Duration::ZERO), None);
}

#[tokio::test(start_paused = true)]
async fn new_leader_is_used_one_term_lease_after_learning_of_the_fence() {
    let group = group();
    group.apply_initial_leader(Some("a".into()), Some(Instant::now()));
    let promoting = record(1, TermPhase::Promoting, Some("b"));
    group.apply_record(&promoting, Some(Instant::now()), Instant::now());
    assert_eq!(writable(&group), None);
    advance(TERM_LEASE / 2).await;
    // Applying the record again doesn't restart the wait.
    group.apply_record(&promoting, Some(Instant::now()), Instant::now());
    advance(TERM_LEASE / 2 + Duration::from_millis(30)).await;
    assert_eq!(writable(&group).as_deref(), Some("b"));
    // The target may not have taken over yet. It gets writes, which it would refuse, but no reads.
    assert_eq!(leader(&group, Duration::from_secs(9)), None);
    group.confirm_leader(&usable_leader("b", 1));
    assert_eq!(leader(&group, Duration::from_secs(9)).as_deref(), Some("b"));
}

#[tokio::test(start_paused = true)]
async fn active_leader_is_used_immediately_and_older_epochs_are_ignored() {
    let group = group();
    group.apply_initial_leader(Some("a".into()), Some(Instant::now()));
    let active = record(2, TermPhase::Active, Some("c"));
    group.apply_record(&active, Some(Instant::now()), Instant::now());
    assert_eq!(writable(&group).as_deref(), Some("c"));
    assert_eq!(leader(&group, Duration::ZERO).as_deref(), Some("c"));
    let older = record(1, TermPhase::Active, Some("b"));
    assert!(!group.apply_record(&older, Some(Instant::now()), Instant::now()));
    assert!(!group.apply_initial_leader(Some("a".into()), Some(Instant::now())));
    assert_eq!(writable(&group).as_deref(), Some("c"));
}

#[tokio::test(start_paused = true)]
async fn watch_that_may_be_delayed_is_no_evidence() {
    let group = group();
    let active = record(1, TermPhase::Active, Some("b"));
    group.apply_record(&active, None, Instant::now());
    assert_eq!(writable(&group).as_deref(), Some("b"));
    assert_eq!(leader(&group, Duration::ZERO), None);
}

#[tokio::test(start_paused = true)]
async fn position_without_evidence_covers_nothing() {
    let group = group();
    group.apply_initial_leader(Some("a".into()), Some(Instant::now()));
    advance(TERM_LEASE * 2).await;
    let sent = Instant::now();
    group.record_leader_position(&usable_leader("a", 0), sent, LogPosition::new(1, 5));
    assert_eq!(group.covering_position(sent), None);
}

/// The old leader still leads in the epoch that fences it, and may answer late.
#[tokio::test(start_paused = true)]
async fn position_of_the_old_leader_covers_nothing_once_another_is_chosen() {
    let group = group();
    group.apply_initial_leader(Some("a".into()), Some(Instant::now()));
    let fencing = record(1, TermPhase::Fencing, None);
    group.apply_record(&fencing, None, Instant::now());
    let old = group.as_leader(&"a".into()).expect("still the leader");
    advance(TERM_LEASE).await;
    let sent = Instant::now();
    let active = record(1, TermPhase::Active, Some("b"));
    group.apply_record(&active, Some(Instant::now()), Instant::now());
    group.record_leader_position(&old, sent, LogPosition::new(1, 5));
    assert_eq!(group.covering_position(sent), None);
    group.record_leader_position(&usable_leader("b", 1), sent, LogPosition::new(2, 6));
    assert_eq!(group.covering_position(sent), Some(LogPosition::new(2, 6)));
}

/// A leader that restarts without its log while it is being fenced must not serve reads.
#[tokio::test(start_paused = true)]
async fn position_of_a_leader_stays_known_while_it_is_fenced() {
    let group = group();
    let position = LogPosition::new(1, 5);
    group.apply_initial_leader(Some("a".into()), Some(Instant::now()));
    group.record_leader_position(&usable_leader("a", 0), Instant::now(), position);
    group.apply_record(&record(1, TermPhase::Fencing, None), None, Instant::now());
    let fenced = usable_leader("a", 1);
    assert_eq!(group.known_position(&fenced), Some(position));
}

/// The answer of a leader that has restarted without its log says nothing about its earlier commits.
#[tokio::test(start_paused = true)]
async fn lower_position_of_a_leader_covers_nothing() {
    let group = group();
    let position = LogPosition::new(1, 5);
    let leader = usable_leader("a", 0);
    group.apply_initial_leader(Some("a".into()), Some(Instant::now()));
    group.record_leader_position(&leader, Instant::now(), position);
    advance(Duration::from_millis(1)).await;
    group.record_leader_position(&leader, Instant::now(), LogPosition::new(1, 2));
    assert_eq!(group.known_position(&leader), Some(position));
    assert_eq!(group.covering_position(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn lower_position_cannot_cover_a_later_moment() {
    let group = group();
    group.apply_initial_leader(Some("a".into()), Some(Instant::now()));
    group.record_leader_position(
        &usable_leader("a", 0),
        Instant::now(),
        LogPosition::new(1, 255),
    );
    advance(Duration::from_millis(200)).await;
    let later = Instant::now();
    let known = LogPosition::new(1, 255);
    let record = |number| {
        let position = LogPosition::new(1, number);
        group.record_covering_position(later, position, PositionSource::Survey)
    };
    assert_eq!(record(231), PositionOutcome::BelowKnown(known));
    assert_eq!(group.covering_position(later), None);
    assert_eq!(record(255), PositionOutcome::Recorded);
    let sample = group.covering_sample(later).expect("a sample");
    assert_eq!(
        (sample.position, sample.source),
        (known, PositionSource::Survey)
    );
    assert_eq!(record(255), PositionOutcome::Superseded);
}

proptest! {
    /// For any samples, the chosen position covers the given time and belongs to the latest epoch.
    /// It is the lowest such position among the samples kept: samples close to another are dropped.
    #[test]
    fn the_position_chosen_covers_the_moment(
        steps in prop::collection::vec((0_u64..200, 0_u64..9, 0_u64..2), 1..200),
        asked_ms in 0_u64..6_000,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let _entered = runtime.enter();
        let origin = Instant::now();
        let mut samples = PositionSamples::default();
        let (mut at, mut number, mut epoch) = (origin, 0, 0);
        let mut all = Vec::new();
        for (pause, commits, changes) in steps {
            at += Duration::from_millis(pause);
            number += commits;
            epoch += changes;
            let position = LogPosition::new(epoch + 1, number);
            let source = PositionSource::Leader;
            let sample = PositionSample { position, at, epoch, source };
            samples.record(sample);
            all.push(sample);
        }
        let moment = origin + Duration::from_millis(asked_ms);
        match samples.covering(moment) {
            Some(position) => {
                let chosen = all.iter().filter(|s| s.position == position);
                prop_assert!(chosen.clone().any(|s| s.at >= moment));
                prop_assert!(chosen.clone().any(|s| s.epoch == epoch));
            }
            None => prop_assert!(all.iter().all(|s| s.at < moment)),
        }
    }
}
