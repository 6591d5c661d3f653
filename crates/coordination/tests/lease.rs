//! Leases: who holds one when, lost answers, pauses and fencing.

use async_trait::async_trait;
use rstest::rstest;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stilequay_coordination::clock::{Clock, ManualClock};
use stilequay_coordination::identity::{Incarnation, NodeId};
use stilequay_coordination::lease::{
    Acquisition, FencingGuard, FencingNumber, Lease, LeaseCandidate, LeaseError, LeaseName,
    LeaseRecord, LeaseSettings, LeaseStore, LeaseStoreError, PutOutcome,
};

const SETTINGS: LeaseSettings = LeaseSettings {
    duration: Duration::from_secs(10),
    margin: Duration::from_secs(1),
};

/// What befalls the next write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Refused,
    LostBeforeEffect,
    LostAfterEffect,
    /// The answer takes as long as this.
    Slow(Duration),
}

struct MemoryStore {
    record: Mutex<Option<LeaseRecord>>,
    fault: Mutex<Fault>,
    era: Mutex<Option<u64>>,
    clock: Arc<ManualClock>,
}

impl MemoryStore {
    /// Goes back to `copy`: what was acknowledged since is lost.
    fn restore(&self, copy: Option<LeaseRecord>) {
        *self.record.lock().unwrap() = copy;
        let mut era = self.era.lock().unwrap();
        *era = Some(era.unwrap_or(0) + 1);
    }

    fn copy(&self) -> Option<LeaseRecord> {
        self.record.lock().unwrap().clone()
    }

    fn fail_next_write(&self, fault: Fault) {
        *self.fault.lock().unwrap() = fault;
    }
}

#[async_trait]
impl LeaseStore for MemoryStore {
    fn era(&self) -> Option<u64> {
        *self.era.lock().unwrap()
    }

    async fn get(&self, _: &LeaseName) -> Result<Option<LeaseRecord>, LeaseStoreError> {
        Ok(self.record.lock().unwrap().clone())
    }

    async fn put_if(
        &self,
        _: &LeaseName,
        expected: Option<&LeaseRecord>,
        record: &LeaseRecord,
    ) -> Result<PutOutcome, LeaseStoreError> {
        let fault = std::mem::replace(&mut *self.fault.lock().unwrap(), Fault::None);
        let lost = || LeaseStoreError::Unknown("timed out".to_owned());
        match fault {
            Fault::Refused => return Err(LeaseStoreError::Unavailable("throttled".to_owned())),
            Fault::LostBeforeEffect => return Err(lost()),
            _ => {}
        }
        let mut current = self.record.lock().unwrap();
        if current.as_ref() != expected {
            return Ok(PutOutcome::Conflict);
        }
        *current = Some(record.clone());
        match fault {
            Fault::LostAfterEffect => return Err(lost()),
            Fault::Slow(time) => self.clock.advance(time),
            _ => {}
        }
        Ok(PutOutcome::Stored)
    }
}

fn store() -> (Arc<MemoryStore>, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::new());
    let store = MemoryStore {
        record: Mutex::default(),
        fault: Mutex::new(Fault::None),
        era: Mutex::new(Some(0)),
        clock: clock.clone(),
    };
    (Arc::new(store), clock)
}

fn candidate(name: &str, store: &Arc<MemoryStore>) -> LeaseCandidate {
    let (node, clock) = (NodeId::new(name), store.clock.clone());
    let lease = LeaseName::new("relay");
    LeaseCandidate::new(lease, node, Incarnation(1), SETTINGS, store.clone(), clock)
}

async fn acquire(candidate: &mut LeaseCandidate) -> Lease {
    match candidate.try_acquire().await.expect("the store answers") {
        Acquisition::Held(lease) => lease,
        taken => panic!("{taken:?}"),
    }
}

async fn assert_taken(candidate: &mut LeaseCandidate, seconds: u64) {
    let retry_after = Duration::from_secs(seconds);
    let acquisition = candidate.try_acquire().await.expect("the store answers");
    assert_eq!(acquisition, Acquisition::Taken { retry_after });
}

#[tokio::test]
async fn a_holder_that_is_paused_lapses_unaware_and_is_fenced_off() {
    let (store, clock) = store();
    let (mut a, mut b) = (candidate("a", &store), candidate("b", &store));
    let mut resource = FencingGuard::default();

    let lease = acquire(&mut a).await;
    assert_taken(&mut b, 10).await;
    let number = lease.check(clock.now()).expect("held");
    // Here the holder is paused: it has checked, and not yet acted.
    clock.advance(Duration::from_secs(10));
    let later = acquire(&mut b).await;
    resource.admit(later.check(clock.now()).unwrap()).unwrap();
    // It goes on, still believing in its check: only the fencing number helps.
    assert!(resource.admit(number).is_err());
    // Where it checks again after the wait, it learns of its end.
    assert_eq!(lease.check(clock.now()), Err(LeaseError::Lapsed));
    assert_eq!(a.renew(&lease).await, Err(LeaseError::Lost));
}

#[tokio::test]
async fn the_holder_ends_before_another_may_begin() {
    let (store, clock) = store();
    let (mut a, mut b) = (candidate("a", &store), candidate("b", &store));
    let lease = acquire(&mut a).await;
    clock.advance(Duration::from_secs(3));
    assert_taken(&mut b, 10).await;
    clock.advance(Duration::from_secs(6));
    assert!(
        lease.check(clock.now()).is_err(),
        "9 of 10 s, less the margin"
    );
    assert_taken(&mut b, 4).await;
    clock.advance(Duration::from_secs(4));
    assert_eq!(
        acquire(&mut b).await.check(clock.now()),
        Ok(FencingNumber(2))
    );
}

#[tokio::test]
async fn a_renewed_lease_is_not_taken_and_keeps_its_number() {
    let (store, clock) = store();
    let (mut a, mut b) = (candidate("a", &store), candidate("b", &store));
    let mut lease = acquire(&mut a).await;
    for _ in 0..5 {
        assert_taken(&mut b, 10).await;
        clock.advance(Duration::from_secs(8));
        lease = a.renew(&lease).await.expect("renewed");
        assert_eq!(lease.check(clock.now()), Ok(FencingNumber(1)));
    }
}

#[tokio::test]
async fn a_lease_given_back_is_free_at_once_and_numbers_go_on() {
    let (store, clock) = store();
    let (mut a, mut b) = (candidate("a", &store), candidate("b", &store));
    let lease = acquire(&mut a).await;
    a.release(lease.clone()).await.expect("released");
    assert_eq!(a.renew(&lease).await, Err(LeaseError::Lost));
    assert_eq!(
        acquire(&mut b).await.check(clock.now()),
        Ok(FencingNumber(2))
    );
}

#[tokio::test]
async fn a_restarted_holder_waits_like_any_other() {
    let (store, clock) = store();
    acquire(&mut candidate("a", &store)).await;
    let mut restarted = LeaseCandidate::new(
        LeaseName::new("relay"),
        NodeId::new("a"),
        Incarnation(2),
        SETTINGS,
        store.clone(),
        clock.clone(),
    );
    assert_taken(&mut restarted, 10).await;
}

#[rstest]
#[case::answered(Fault::None, None)]
#[case::refused(Fault::Refused, Some("unavailable"))]
#[case::lost_before_its_effect(Fault::LostBeforeEffect, Some("lost"))]
#[case::lost_after_its_effect(Fault::LostAfterEffect, None)]
#[case::answered_within_the_lease(Fault::Slow(Duration::from_secs(8)), None)]
#[case::answered_after_its_end(Fault::Slow(Duration::from_secs(9)), Some("lapsed"))]
#[tokio::test]
async fn a_write_counts_from_before_it_was_sent_and_as_what_became_of_it(
    #[case] fault: Fault,
    #[case] error: Option<&str>,
    #[values(false, true)] renewal: bool,
) {
    let (store, clock) = store();
    let mut a = candidate("a", &store);
    let outcome = if renewal {
        let lease = acquire(&mut a).await;
        clock.advance(Duration::from_secs(5));
        store.fail_next_write(fault);
        a.renew(&lease).await
    } else {
        store.fail_next_write(fault);
        match a.try_acquire().await {
            Ok(Acquisition::Held(lease)) => Ok(lease),
            Ok(taken) => panic!("{taken:?}"),
            Err(error) => Err(error),
        }
    };
    let sent = Duration::from_secs(if renewal { 5 } else { 0 });
    match (outcome, error) {
        (Ok(lease), None) => assert_eq!(lease.ends(), sent + Duration::from_secs(9)),
        (Err(found), Some(text)) => assert!(found.to_string().contains(text), "{found}"),
        (outcome, expected) => panic!("{outcome:?}, expected {expected:?}"),
    }
}

#[tokio::test]
async fn a_lease_of_an_earlier_era_is_not_renewed() {
    let (store, clock) = store();
    let mut a = candidate("a", &store);
    let lease = acquire(&mut a).await;
    let copy = store.copy();
    let lease = a.renew(&lease).await.expect("a renewal");
    store.restore(copy);
    assert_eq!(a.renew(&lease).await, Err(LeaseError::Lost));
    // Nor is it taken again before every holder that the store may have forgotten has ended.
    assert_taken(&mut a, 10).await;
    clock.advance(Duration::from_secs(10));
    let again = acquire(&mut a).await;
    assert!(again.fencing() > lease.fencing());
}

#[tokio::test]
async fn a_number_that_the_store_has_forgotten_is_not_given_out_again() {
    let (store, clock) = store();
    let (mut a, mut b) = (candidate("a", &store), candidate("b", &store));
    let copy = store.copy();
    let forgotten = acquire(&mut a).await.fencing();
    store.restore(copy);
    let mut highest = forgotten;
    for _ in 0..3 {
        let copy = store.copy();
        clock.advance(Duration::from_secs(10));
        let lease = acquire(&mut b).await;
        assert!(lease.fencing() > highest);
        highest = lease.fencing();
        b.release(lease).await.expect("given back");
        store.restore(copy);
    }
}

#[tokio::test]
async fn a_record_is_watched_anew_in_a_later_era() {
    let (store, clock) = store();
    let (mut a, mut b) = (candidate("a", &store), candidate("b", &store));
    let lease = acquire(&mut a).await;
    assert_taken(&mut b, 10).await;
    let copy = store.copy();
    clock.advance(Duration::from_secs(9));
    // Renewed without notice of `b`, and lost with the store.
    a.renew(&lease).await.expect("a renewal");
    store.restore(copy);
    clock.advance(Duration::from_secs(1));
    assert_taken(&mut b, 10).await;
}

#[tokio::test]
async fn a_record_that_was_told_before_the_store_answered_counts_from_then() {
    let (store, clock) = store();
    let (mut a, mut b) = (candidate("a", &store), candidate("b", &store));
    *store.era.lock().unwrap() = None;
    let lease = acquire(&mut a).await;
    b.observe(lease.record());
    *store.era.lock().unwrap() = Some(3);
    clock.advance(Duration::from_secs(10));
    acquire(&mut b).await;
}
