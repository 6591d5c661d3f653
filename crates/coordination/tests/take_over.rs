//! A lease that is taken from a holder which is believed to be lost, before it has lapsed.

use async_trait::async_trait;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stilequay_coordination::clock::{Clock, ManualClock};
use stilequay_coordination::identity::{Incarnation, NodeId};
use stilequay_coordination::lease::{
    Acquisition, Lease, LeaseCandidate, LeaseError, LeaseName, LeaseRecord, LeaseSettings,
    LeaseStore, LeaseStoreError, PutOutcome,
};

const SETTINGS: LeaseSettings = LeaseSettings {
    duration: Duration::from_secs(10),
    margin: Duration::from_secs(1),
};

#[derive(Default)]
struct MemoryStore {
    record: Mutex<Option<LeaseRecord>>,
}

#[async_trait]
impl LeaseStore for MemoryStore {
    async fn get(&self, _: &LeaseName) -> Result<Option<LeaseRecord>, LeaseStoreError> {
        Ok(self.record.lock().unwrap().clone())
    }

    async fn put_if(
        &self,
        _: &LeaseName,
        expected: Option<&LeaseRecord>,
        record: &LeaseRecord,
    ) -> Result<PutOutcome, LeaseStoreError> {
        let mut current = self.record.lock().unwrap();
        if current.as_ref() != expected {
            return Ok(PutOutcome::Conflict);
        }
        *current = Some(record.clone());
        Ok(PutOutcome::Stored)
    }
}

fn candidate(store: &Arc<MemoryStore>, clock: &Arc<ManualClock>, node: &str) -> LeaseCandidate {
    LeaseCandidate::new(
        LeaseName::new("shard"),
        NodeId::new(node),
        Incarnation(1),
        SETTINGS,
        Arc::clone(store) as Arc<dyn LeaseStore>,
        Arc::clone(clock) as Arc<dyn Clock>,
    )
}

async fn acquire(candidate: &mut LeaseCandidate) -> Lease {
    match candidate.try_acquire().await {
        Ok(Acquisition::Held(lease)) => lease,
        other => panic!("not held: {other:?}"),
    }
}

#[tokio::test]
async fn whoever_is_replaced_has_stopped_by_the_end_that_is_told() {
    let (store, clock) = (Arc::default(), Arc::new(ManualClock::new()));
    let mut first = candidate(&store, &clock, "first");
    let mut second = candidate(&store, &clock, "second");
    let lease = acquire(&mut first).await;
    let lease = first.renew(&lease).await.expect("renewed");
    clock.advance(Duration::from_secs(2));
    second.observe(lease.record());
    clock.advance(Duration::from_secs(3));

    let taken = second.take_over(lease.record()).await.expect("an answer");
    let taken = taken.expect("taken");
    assert!(taken.lease.check(clock.now()).is_ok());
    assert!(taken.lease.fencing() > lease.fencing());
    // It counts from when it was told of the lease, later than its holder does.
    assert_eq!(taken.shared_until, Duration::from_secs(12));
    assert!(lease.ends() <= taken.shared_until);
    let renewed = first.renew(&lease).await;
    assert_eq!(renewed, Err(LeaseError::Lost));
}

/// A lease that was never heard of before is shared for its whole duration.
#[tokio::test]
async fn a_lease_seen_for_the_first_time_is_shared_for_its_whole_duration() {
    let (store, clock) = (Arc::default(), Arc::new(ManualClock::new()));
    let mut first = candidate(&store, &clock, "first");
    let mut second = candidate(&store, &clock, "second");
    let lease = acquire(&mut first).await;
    clock.advance(Duration::from_secs(4));
    let taken = second.take_over(lease.record()).await.expect("an answer");
    assert_eq!(
        taken.expect("taken").shared_until,
        Duration::from_secs(4) + SETTINGS.duration
    );
}

#[tokio::test]
async fn a_lease_that_another_has_taken_since_is_left_alone() {
    let (store, clock) = (Arc::default(), Arc::new(ManualClock::new()));
    let mut first = candidate(&store, &clock, "first");
    let mut second = candidate(&store, &clock, "second");
    let mut third = candidate(&store, &clock, "third");
    let lease = acquire(&mut first).await;
    let taken = second.take_over(lease.record()).await.expect("an answer");
    assert!(taken.is_some());
    let late = third.take_over(lease.record()).await.expect("an answer");
    assert_eq!(late, None);
}

/// How long a holding has lasted is told by its holder's clock, not by how often it was renewed:
/// a renewal whose answer was lost comes again at once.
#[tokio::test]
async fn a_record_tells_how_long_its_holding_has_lasted() {
    let (store, clock) = (Arc::default(), Arc::new(ManualClock::new()));
    let mut first = candidate(&store, &clock, "first");
    clock.advance(Duration::from_secs(100));
    let lease = acquire(&mut first).await;
    assert_eq!(lease.record().held, Duration::ZERO);
    clock.advance(Duration::from_secs(4));
    let lease = first.renew(&lease).await.expect("renewed");
    assert_eq!(lease.record().held, Duration::from_secs(4));
    let lease = first.renew(&lease).await.expect("renewed");
    let lease = first.renew(&lease).await.expect("renewed");
    assert_eq!(lease.record().held, Duration::from_secs(4));
    clock.advance(Duration::from_secs(3));
    let lease = first.renew(&lease).await.expect("renewed");
    assert_eq!(lease.record().held, Duration::from_secs(7));

    clock.advance(Duration::from_secs(1));
    let mut second = candidate(&store, &clock, "second");
    let taken = second.take_over(lease.record()).await.expect("an answer");
    let record = taken.expect("taken").lease.record().clone();
    assert_eq!((record.held, record.taken_early), (Duration::ZERO, true));
}
