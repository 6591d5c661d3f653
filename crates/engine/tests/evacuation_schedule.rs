//! Evacuation without a fleet: deadlines of the schedule, number of concurrent leader changes, and
//! fields of the events.

use rstest::rstest;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::evacuation::{MayNotSend, Schedule, Sender};
use stilequay_engine::events::Event;
use stilequay_engine::leadership::leader_evacuation::required_concurrency;
use tokio::sync::watch;
use tokio::time::{Instant, advance};

const BOUND: Duration = Duration::from_secs(5);

fn zones(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

/// Creates a schedule, and the sender that sets the time of its last proof.
fn schedule() -> (Schedule, watch::Sender<Option<Instant>>) {
    let proof = watch::Sender::new(None);
    (Schedule::new(Some(BOUND), proof.subscribe()), proof)
}

#[rstest]
#[case::learned_at_once(0, 2_990, 3_010)]
#[case::learned_late(1_500, 1_490, 1_510)]
#[tokio::test(start_paused = true)]
async fn the_deadline_is_computed_from_the_last_proof(
    #[case] unproven_ms: u64,
    #[case] open_ms: u64,
    #[case] closed_ms: u64,
) {
    let (schedule, proof) = schedule();
    proof.send_replace(Some(Instant::now()));
    advance(Duration::from_millis(unproven_ms)).await;
    let learned = Instant::now();
    schedule.set_evacuated(&zones(&["zone-a"]), learned);
    proof.send_replace(Some(learned));
    let at = |ms: u64| learned + Duration::from_millis(ms);
    let check = |ms| schedule.check("zone-a", Sender::Session, at(ms));
    assert_eq!(check(open_ms), Ok(()));
    assert_eq!(check(closed_ms), Err(MayNotSend::Evacuated));
    assert_eq!(
        schedule.check("zone-a", Sender::Home, at(closed_ms)),
        Ok(())
    );
    assert_eq!(
        schedule.check("zone-b", Sender::Session, at(closed_ms)),
        Ok(())
    );
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_without_a_recent_proof() {
    let (schedule, proof) = schedule();
    let now = Instant::now();
    let check = |zone, at| schedule.check(zone, Sender::Home, at);
    assert_eq!(check("zone-b", now), Err(MayNotSend::Unproven));
    schedule.set_evacuated(&zones(&["zone-a"]), now);
    proof.send_replace(Some(now));
    assert_eq!(check("zone-a", now), Err(MayNotSend::Evacuated));
    assert_eq!(schedule.diverted_share("zone-a", now), 1.0);
    assert_eq!(check("zone-b", now + BOUND.mul_f64(0.89)), Ok(()));
    let late = now + BOUND.mul_f64(0.91);
    assert_eq!(check("zone-b", late), Err(MayNotSend::Unproven));
}

#[tokio::test(start_paused = true)]
async fn restored_zones_report_the_time_of_their_return() {
    let (schedule, proof) = schedule();
    proof.send_replace(Some(Instant::now()));
    schedule.set_evacuated(&zones(&["zone-a", "zone-b"]), Instant::now());
    advance(Duration::from_secs(1)).await;
    let back = Instant::now();
    schedule.set_evacuated(&zones(&["zone-b"]), back);
    assert_eq!(schedule.restored_at("zone-a"), Some(back));
    assert_eq!(schedule.restored_at("zone-b"), None);
    assert!(!schedule.is_evacuated("zone-a"));
    assert_eq!(schedule.check("zone-a", Sender::Session, back), Ok(()));
    schedule.set_evacuated(&zones(&["zone-a", "zone-b"]), back);
    assert_eq!(schedule.restored_at("zone-a"), None);
}

/// Leaders are moved only as concurrently as needed for the last change to start in time.
#[rstest]
#[case::none(0, 3_000, 0)]
#[case::one(1, 3_000, 1)]
#[case::time_for_one_round(3, 1_200, 3)]
#[case::time_for_two_rounds(3, 2_500, 2)]
#[case::time_for_three_rounds(8, 2_700, 3)]
#[case::time_for_many(9, 16_000, 1)]
#[case::too_late(3, 0, 3)]
fn concurrent_leader_changes_depend_on_the_time_left(
    #[case] changes: usize,
    #[case] left_ms: u64,
    #[case] expected: usize,
) {
    assert_eq!(
        required_concurrency(changes, Duration::from_millis(left_ms)),
        expected
    );
}

/// Readers of logs rely on these fields.
#[test]
fn evacuation_events_have_their_fields() {
    let taken = Event::EvacuationsTaken {
        version: 7,
        zones: zones(&["zone-a", "zone-b"]),
    };
    let closed = Event::ZoneClosed {
        zone: "zone-a".into(),
        version: 7,
        after_ms: 2_600,
    };
    let written = [taken, closed].map(|event| serde_json::to_value(event).expect("JSON"));
    let expected = [
        json!({"event": "evacuations_taken", "version": 7, "zones": ["zone-a", "zone-b"]}),
        json!({"event": "zone_closed", "zone": "zone-a", "version": 7, "after_ms": 2600}),
    ];
    assert_eq!(written, expected);
}
