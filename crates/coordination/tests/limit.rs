//! Admission: limits, fairness between tenants, refusals and cancellation.

use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::time::Duration;
use stilequay_coordination::limit::{
    Limiter, LimiterSettings, Permit, RejectReason, Rejected, TenantLimits,
};
use tokio::time::Instant;

type Tenant = &'static str;
type Waiting = Pin<Box<dyn Future<Output = Result<Permit<Tenant>, Rejected>>>>;

const GREEDY: Tenant = "greedy";
const SMALL: Tenant = "small";

fn limiter(slots: usize, queue_length: usize, tenant: TenantLimits) -> Limiter<Tenant> {
    Limiter::new(LimiterSettings {
        slots,
        queue_length,
        queue_time: Duration::from_secs(1),
        tenant,
    })
}

fn tenant_limits(in_flight: usize, queue_length: usize) -> TenantLimits {
    TenantLimits {
        in_flight,
        queue_length,
        rank: 0,
    }
}

fn in_a_minute() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

/// A request that has entered the queue.
async fn enqueue(limiter: &Limiter<Tenant>, tenant: Tenant) -> Waiting {
    let limiter = limiter.clone();
    let mut waiting: Waiting =
        Box::pin(async move { limiter.acquire(tenant, in_a_minute()).await });
    assert!(futures::poll!(&mut waiting).is_pending());
    waiting
}

/// The permit of a request that has been granted, if it has.
async fn granted(waiting: &mut Waiting) -> Option<Permit<Tenant>> {
    match futures::poll!(waiting) {
        std::task::Poll::Ready(outcome) => Some(outcome.expect("not rejected")),
        std::task::Poll::Pending => None,
    }
}

#[rstest]
#[case::no_room_of_its_own(2, 10, tenant_limits(1, 0), RejectReason::TenantQueueFull)]
#[case::no_slot_and_no_room(1, 10, tenant_limits(9, 0), RejectReason::TenantQueueFull)]
#[case::no_room_for_any(1, 0, tenant_limits(9, 9), RejectReason::QueueFull)]
#[case::waited_long_enough(1, 10, tenant_limits(9, 9), RejectReason::QueueTime)]
#[tokio::test(start_paused = true)]
async fn refuses_with_the_reason(
    #[case] slots: usize,
    #[case] queue_length: usize,
    #[case] tenant: TenantLimits,
    #[case] reason: RejectReason,
) {
    let limiter = limiter(slots, queue_length, tenant);
    let held = limiter.acquire(SMALL, in_a_minute()).await.unwrap();
    let rejected = limiter.acquire(SMALL, in_a_minute()).await.unwrap_err();
    assert_eq!(rejected.reason, reason);
    assert!(rejected.retry_after > Duration::ZERO);
    drop(held);
    assert_eq!(limiter.load().tenants, 0);
}

#[tokio::test(start_paused = true)]
async fn a_passed_deadline_is_refused_at_once_and_a_passing_one_in_the_queue() {
    let limiter = limiter(1, 10, tenant_limits(1, 10));
    let rejected = limiter.acquire(SMALL, Instant::now()).await.unwrap_err();
    assert_eq!(rejected.reason, RejectReason::Deadline);

    let _held = limiter.acquire(SMALL, in_a_minute()).await.unwrap();
    let deadline = Instant::now() + Duration::from_millis(300);
    let rejected = limiter.acquire(SMALL, deadline).await.unwrap_err();
    assert_eq!(rejected.reason, RejectReason::Deadline);
    assert_eq!(Instant::now(), deadline);
    assert_eq!(limiter.load().waiting, 0);
}

#[tokio::test(start_paused = true)]
async fn a_greedy_tenants_queue_does_not_delay_a_small_one() {
    let limiter = limiter(2, 1_000, tenant_limits(10, 1_000));
    let first = limiter.acquire(GREEDY, in_a_minute()).await.unwrap();
    let _second = limiter.acquire(GREEDY, in_a_minute()).await.unwrap();
    let mut greedy = Vec::new();
    for _ in 0..100 {
        greedy.push(enqueue(&limiter, GREEDY).await);
    }
    let mut small = enqueue(&limiter, SMALL).await;
    drop(first);
    assert!(granted(&mut small).await.is_some());
}

/// Enters the queue under `limits`.
async fn enqueue_within(
    limiter: &Limiter<Tenant>,
    tenant: Tenant,
    limits: TenantLimits,
) -> Waiting {
    let limiter = limiter.clone();
    let mut waiting: Waiting = Box::pin(async move {
        let deadline = in_a_minute();
        limiter.acquire_within(tenant, limits, deadline).await
    });
    assert!(futures::poll!(&mut waiting).is_pending());
    waiting
}

#[tokio::test(start_paused = true)]
async fn a_free_slot_goes_to_the_highest_rank_that_waits() {
    let ranked = |rank| TenantLimits {
        rank,
        ..tenant_limits(10, 10)
    };
    let limiter = limiter(1, 100, ranked(0));
    let held = limiter.acquire("holder", in_a_minute()).await.unwrap();
    let mut low = enqueue_within(&limiter, "low", ranked(2)).await;
    let mut high = enqueue_within(&limiter, "high", ranked(1)).await;
    let mut also_high = enqueue_within(&limiter, "high", ranked(1)).await;
    drop(held);
    let first = granted(&mut high).await.expect("the highest rank");
    assert!(granted(&mut low).await.is_none());
    drop(first);
    // Although its tenant had the last turn.
    drop(granted(&mut also_high).await.expect("still a higher rank"));
    assert!(granted(&mut low).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_full_queue_gives_up_the_lowest_rank() {
    let ranked = |rank| TenantLimits {
        rank,
        ..tenant_limits(10, 10)
    };
    let limiter = limiter(1, 1, ranked(0));
    let _held = limiter.acquire("holder", in_a_minute()).await.unwrap();
    let low = enqueue_within(&limiter, "low", ranked(2)).await;
    let _high = enqueue_within(&limiter, "high", ranked(1)).await;
    assert_eq!(low.await.unwrap_err().reason, RejectReason::QueueFull);
    // One of a lower rank finds no room.
    let lower = limiter.acquire_within("lower", ranked(3), in_a_minute());
    assert_eq!(lower.await.unwrap_err().reason, RejectReason::QueueFull);
}

#[tokio::test(start_paused = true)]
async fn a_tenant_with_long_requests_holds_no_more_slots_than_the_others() {
    let limiter = limiter(4, 1_000, tenant_limits(4, 1_000));
    let mut long = Vec::new();
    for _ in 0..4 {
        long.push(limiter.acquire(GREEDY, in_a_minute()).await.unwrap());
    }
    let mut _more_long = Vec::new();
    let mut short = Vec::new();
    for _ in 0..10 {
        _more_long.push(enqueue(&limiter, GREEDY).await);
        short.push(enqueue(&limiter, SMALL).await);
    }
    // As the first long requests end, the short ones take slots until both hold two;
    // then every release of a short one goes to the short ones.
    long.truncate(2);
    let mut held = Vec::new();
    for request in short.iter_mut().take(2) {
        held.push(granted(request).await.expect("a slot for a short request"));
    }
    for request in short.iter_mut().skip(2) {
        drop(held.remove(0));
        held.push(granted(request).await.expect("the slot released"));
    }
}

#[tokio::test(start_paused = true)]
async fn tenants_that_hold_equally_many_take_turns() {
    let limiter = limiter(1, 100, tenant_limits(1, 100));
    let mut held = Some(limiter.acquire("holder", in_a_minute()).await.unwrap());
    let mut requests = Vec::new();
    for tenant in ["a", "a", "a", "b", "b", "c"] {
        requests.push((tenant, enqueue(&limiter, tenant).await));
    }
    let mut order = String::new();
    while !requests.is_empty() {
        held = None;
        for index in 0..requests.len() {
            held = granted(&mut requests[index].1).await;
            if held.is_some() {
                order.push_str(requests.remove(index).0);
                break;
            }
        }
        assert!(held.is_some(), "the slot went to nobody after {order}");
    }
    assert_eq!(order, "abcaba");
    drop(held);
}

#[tokio::test(start_paused = true)]
async fn a_full_queue_takes_from_the_longest() {
    let limiter = limiter(1, 4, tenant_limits(1, 100));
    let _held = limiter.acquire(GREEDY, in_a_minute()).await.unwrap();
    let mut greedy = Vec::new();
    for _ in 0..4 {
        greedy.push(enqueue(&limiter, GREEDY).await);
    }
    let rejected = limiter.acquire(GREEDY, in_a_minute()).await.unwrap_err();
    assert_eq!(rejected.reason, RejectReason::QueueFull);
    let _small = enqueue(&limiter, SMALL).await;
    let newest = greedy.pop().unwrap().await.unwrap_err();
    assert_eq!(newest.reason, RejectReason::QueueFull);
    assert!(granted(&mut greedy[0]).await.is_none());
    assert_eq!(limiter.load().waiting, 4);
}

#[tokio::test(start_paused = true)]
async fn a_wait_expected_too_long_is_refused_before_it_begins() {
    let limiter = limiter(1, 100, tenant_limits(1, 100));
    let held = limiter.acquire(GREEDY, in_a_minute()).await.unwrap();
    tokio::time::advance(Duration::from_millis(400)).await;
    drop(held);
    let _held = limiter.acquire(GREEDY, in_a_minute()).await.unwrap();
    // Each waits 400 ms for each one before it; the queue time is 1 s.
    let _first = enqueue(&limiter, GREEDY).await;
    let _second = enqueue(&limiter, GREEDY).await;
    let before = Instant::now();
    let rejected = limiter.acquire(GREEDY, in_a_minute()).await.unwrap_err();
    assert_eq!(rejected.reason, RejectReason::ExpectedWait);
    assert_eq!(rejected.retry_after, Duration::from_millis(1_200));
    assert_eq!(Instant::now(), before);
    // A tenant with nothing waiting is not refused on an estimate.
    let _small = enqueue(&limiter, SMALL).await;
}

#[tokio::test(start_paused = true)]
async fn a_dropped_request_leaves_the_queue_and_gives_back_its_slot() {
    let limiter = limiter(1, 10, tenant_limits(1, 10));
    let held = limiter.acquire(SMALL, in_a_minute()).await.unwrap();
    let waiting = enqueue(&limiter, SMALL).await;
    let granted_unseen = enqueue(&limiter, GREEDY).await;
    drop(waiting);
    assert_eq!(limiter.load().waiting, 1);
    drop(held);
    assert_eq!(limiter.load().in_use, 1);
    drop(granted_unseen);
    assert_eq!((limiter.load().in_use, limiter.load().tenants), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn new_limits_and_slots_hold_for_those_that_wait() {
    let limiter = limiter(1, 10, tenant_limits(1, 10));
    let _held = limiter.acquire(SMALL, in_a_minute()).await.unwrap();
    let mut waiting = enqueue(&limiter, SMALL).await;
    limiter.set_slots(3);
    assert!(granted(&mut waiting).await.is_none());
    let limits = tenant_limits(3, 10);
    let _third = limiter.acquire_within(SMALL, limits, in_a_minute()).await;
    assert!(granted(&mut waiting).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn closing_refuses_those_that_wait_and_keeps_permits() {
    let limiter = limiter(1, 10, tenant_limits(1, 10));
    let held = limiter.acquire(SMALL, in_a_minute()).await.unwrap();
    let waiting = enqueue(&limiter, SMALL).await;
    limiter.close();
    assert_eq!(waiting.await.unwrap_err().reason, RejectReason::Closed);
    let late = limiter.acquire(SMALL, in_a_minute()).await.unwrap_err();
    assert_eq!(late.reason, RejectReason::Closed);
    assert_eq!(limiter.load().in_use, 1);
    drop(held);
    assert_eq!(limiter.load().in_use, 0);
}

#[derive(Debug, Clone)]
enum Step {
    Enter(Tenant),
    Cancel(usize),
    Release(usize),
    Slots(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let tenant = prop::sample::select(vec!["a", "b", "c", "d"]);
    prop_oneof![
        4 => tenant.prop_map(Step::Enter),
        1 => any::<usize>().prop_map(Step::Cancel),
        3 => any::<usize>().prop_map(Step::Release),
        1 => (0..5usize).prop_map(Step::Slots),
    ]
}

proptest! {
    #[test]
    fn no_slot_is_lost_doubled_or_left_free_while_one_may_have_it(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(check_steps(steps));
    }
}

async fn check_steps(steps: Vec<Step>) {
    const IN_FLIGHT: usize = 2;
    let mut slots = 3;
    let limiter = limiter(slots, 8, tenant_limits(IN_FLIGHT, 4));
    let mut waiting: Vec<(Tenant, Waiting)> = Vec::new();
    let mut held: Vec<Permit<Tenant>> = Vec::new();
    for step in steps {
        match step {
            Step::Enter(tenant) => {
                let limiter = limiter.clone();
                let request = async move { limiter.acquire(tenant, in_a_minute()).await };
                waiting.push((tenant, Box::pin(request)));
            }
            Step::Cancel(index) if !waiting.is_empty() => {
                drop(waiting.remove(index % waiting.len()));
            }
            Step::Release(index) if !held.is_empty() => {
                drop(held.remove(index % held.len()));
            }
            Step::Slots(count) => {
                slots = count;
                limiter.set_slots(count);
            }
            Step::Cancel(_) | Step::Release(_) => {}
        }
        let held_before = held.len();
        // Twice: the request that entered last may have taken the place of one before it.
        collect_outcomes(&mut waiting, &mut held).await;
        collect_outcomes(&mut waiting, &mut held).await;

        let mut by_tenant: BTreeMap<Tenant, usize> = BTreeMap::new();
        for permit in &held {
            *by_tenant.entry(permit.tenant()).or_default() += 1;
        }
        assert!(held.len() <= slots.max(held_before));
        assert!(by_tenant.values().all(|count| *count <= IN_FLIGHT));
        assert_eq!(limiter.load().in_use, held.len());
        assert_eq!(limiter.load().waiting, waiting.len());
        if held.len() < slots {
            let may_start = |tenant| by_tenant.get(tenant).copied().unwrap_or(0) < IN_FLIGHT;
            assert!(!waiting.iter().any(|(tenant, _)| may_start(*tenant)));
        }
    }
    drop(waiting);
    drop(held);
    assert_eq!(limiter.load().in_use, 0);
    assert_eq!(limiter.load().tenants, 0);
}

async fn collect_outcomes(waiting: &mut Vec<(Tenant, Waiting)>, held: &mut Vec<Permit<Tenant>>) {
    let mut still_waiting = Vec::new();
    for (tenant, mut request) in waiting.drain(..) {
        match futures::poll!(&mut request) {
            std::task::Poll::Ready(Ok(permit)) => held.push(permit),
            std::task::Poll::Ready(Err(_)) => {}
            std::task::Poll::Pending => still_waiting.push((tenant, request)),
        }
    }
    *waiting = still_waiting;
}
