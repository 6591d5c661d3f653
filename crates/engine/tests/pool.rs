//! Connection pool of one member.

mod support;

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::directory::{Departure, Directory, Member};
use stilequay_engine::leadership::fleet::connection_share;
use stilequay_engine::names::TenantName;
use stilequay_engine::pool::{AcquireError, AcquireRequest, MemberPool};
use stilequay_engine::ports::{BackEnd, BackEndConnection, Command, ConnectError};
use support::servers::{World, WorldBackEnd};
use tokio::time::{Instant, sleep};

/// Back end that connects after a delay and counts its attempts.
#[derive(Debug)]
struct SlowBackEnd {
    inner: WorldBackEnd,
    delay: Duration,
    opened: std::sync::atomic::AtomicUsize,
}

#[async_trait::async_trait]
impl BackEnd for SlowBackEnd {
    async fn connect(
        &self,
        member: &Member,
        tenant: Option<&TenantName>,
    ) -> Result<Box<dyn BackEndConnection>, ConnectError> {
        sleep(self.delay).await;
        self.opened
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        self.inner.connect(member, tenant).await
    }
}

fn pool(delay: Duration) -> (Arc<World>, Arc<SlowBackEnd>, Arc<MemberPool>) {
    let world = World::new(&["a", "b", "c"]);
    let back_end = Arc::new(SlowBackEnd {
        inner: WorldBackEnd {
            world: Arc::clone(&world),
            node: "node-0".to_owned(),
        },
        delay,
        opened: Default::default(),
    });
    let directory =
        Directory::default().with_entries(1, world.entries(), Departure::at(Instant::now()));
    let member = directory.member("a").expect("a member").clone();
    let pool = Arc::new(MemberPool::new(member, back_end.clone()));
    (world, back_end, pool)
}

fn deadline_in(millis: u64) -> Instant {
    Instant::now() + Duration::from_millis(millis)
}

fn opened(back_end: &SlowBackEnd) -> usize {
    back_end.opened.load(std::sync::atomic::Ordering::Relaxed)
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_connection_attempt_is_kept_for_the_next_request() {
    let (_world, back_end, pool) = pool(Duration::from_millis(100));
    let acquire_request = AcquireRequest::internal();
    let given_up = pool.acquire(&acquire_request, deadline_in(40)).await;
    assert_eq!(given_up.err(), Some(AcquireError::Exhausted));
    sleep(Duration::from_millis(100)).await;
    assert!(pool.acquire(&acquire_request, deadline_in(5)).await.is_ok());
    assert_eq!(opened(&back_end), 1);
    // It does not count as a failure of the member either.
    assert_eq!(pool.health().unreachable_since(), None);
}

#[tokio::test(start_paused = true)]
async fn the_connection_limit_holds_and_waiting_requests_are_served() {
    let (_world, back_end, pool) = pool(Duration::ZERO);
    pool.set_limit(2);
    let acquire_request = AcquireRequest::internal();
    let first = pool
        .acquire(&acquire_request, deadline_in(50))
        .await
        .expect("free");
    let second = pool
        .acquire(&acquire_request, deadline_in(50))
        .await
        .expect("free");
    let third = pool.acquire(&acquire_request, deadline_in(50)).await;
    assert_eq!(third.err(), Some(AcquireError::Exhausted));
    let waiting = pool.acquire(&acquire_request, deadline_in(500));
    let release = async {
        sleep(Duration::from_millis(100)).await;
        drop(first);
    };
    let (third, ()) = tokio::join!(waiting, release);
    assert!(third.is_ok());
    assert_eq!(opened(&back_end), 2);
    drop(second);
}

#[tokio::test(start_paused = true)]
async fn a_connection_inside_a_transaction_is_closed_when_it_is_dropped() {
    let (_world, back_end, pool) = pool(Duration::ZERO);
    let acquire_request = AcquireRequest::internal();
    let mut connection = pool
        .acquire(&acquire_request, deadline_in(50))
        .await
        .expect("free");
    let begin = Command::Begin {
        read_only: false,
        after: None,
    };
    connection.run(&begin).await.expect("begun");
    drop(connection);
    drop(
        pool.acquire(&acquire_request, deadline_in(50))
            .await
            .expect("free"),
    );
    assert_eq!(opened(&back_end), 2);
}

#[tokio::test(start_paused = true)]
async fn a_rolled_back_connection_is_used_again() {
    let (_world, back_end, pool) = pool(Duration::ZERO);
    let acquire_request = AcquireRequest::internal();
    let mut connection = pool
        .acquire(&acquire_request, deadline_in(50))
        .await
        .expect("free");
    let begin = Command::Begin {
        read_only: false,
        after: None,
    };
    connection.run(&begin).await.expect("begun");
    connection.roll_back();
    sleep(Duration::from_millis(50)).await;
    drop(
        pool.acquire(&acquire_request, deadline_in(50))
            .await
            .expect("free"),
    );
    assert_eq!(opened(&back_end), 1);
}

#[tokio::test(start_paused = true)]
async fn connections_that_are_idle_for_long_are_closed() {
    let (_world, back_end, pool) = pool(Duration::ZERO);
    let acquire_request = AcquireRequest::internal();
    drop(
        pool.acquire(&acquire_request, deadline_in(50))
            .await
            .expect("free"),
    );
    sleep(Duration::from_secs(1)).await;
    pool.close_expired();
    drop(
        pool.acquire(&acquire_request, deadline_in(50))
            .await
            .expect("free"),
    );
    assert_eq!(opened(&back_end), 1);
    sleep(Duration::from_secs(3)).await;
    pool.close_expired();
    drop(
        pool.acquire(&acquire_request, deadline_in(50))
            .await
            .expect("free"),
    );
    assert_eq!(opened(&back_end), 2);
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_member_is_reported_without_a_new_attempt() {
    let (world, back_end, pool) = pool(Duration::ZERO);
    world.crash("a");
    let acquire_request = AcquireRequest::internal();
    for _ in 0..5 {
        let refused = pool.acquire(&acquire_request, deadline_in(50)).await;
        assert!(matches!(refused, Err(AcquireError::Unreachable(_))));
    }
    assert_eq!(opened(&back_end), 1);
}

#[rstest]
#[case::the_first_deployment(34, 6, 4)]
#[case::the_second(32, 8, 3)]
#[case::one_process_alone(34, 1, 6)]
#[case::more_processes_than_connections(34, 700, 2)]
#[case::a_member_with_few_connections(4, 1, 2)]
#[case::a_fleet_not_counted_yet(34, 0, 6)]
fn a_members_connections_are_divided(
    #[case] accepted: usize,
    #[case] processes: usize,
    #[case] share: usize,
) {
    assert_eq!(connection_share(accepted, processes), share);
}

/// Requests that wait for a connection are served by the rank of their route, then fairly between
/// databases.
#[tokio::test(start_paused = true)]
async fn a_released_connection_goes_to_the_highest_rank() {
    let (_world, _back_end, pool) = pool(Duration::ZERO);
    pool.set_limit(1);
    let held = pool
        .acquire(&AcquireRequest::internal(), deadline_in(50))
        .await
        .expect("free");
    let (sender, mut served) = tokio::sync::mpsc::unbounded_channel();
    for (database, rank) in [("low", 2), ("low", 2), ("high", 1), ("also low", 2)] {
        let acquire_request = AcquireRequest {
            database: database.into(),
            rank,
            ..AcquireRequest::internal()
        };
        let (pool, sender) = (Arc::clone(&pool), sender.clone());
        tokio::spawn(async move {
            let connection = pool
                .acquire(&acquire_request, deadline_in(500))
                .await
                .expect("served");
            let _ = sender.send(database);
            sleep(Duration::from_millis(10)).await;
            drop(connection);
        });
        sleep(Duration::from_millis(1)).await;
    }
    drop(held);
    drop(sender);
    let mut order = Vec::new();
    while let Some(database) = served.recv().await {
        order.push(database);
    }
    assert_eq!(order, ["high", "low", "also low", "low"]);
}

/// If the member accepts no further connection, the pool closes an idle one of another tenant, so
/// that the next request can connect.
#[tokio::test(start_paused = true)]
async fn an_idle_connection_is_closed_for_a_new_one_at_the_members_limit() {
    let (world, _back_end, pool) = pool(Duration::ZERO);
    pool.set_limit(10);
    world.change("a", |server| server.max_connections = Some(3));
    let acquire_request = |tenant: &str| AcquireRequest {
        tenant: Some(tenant.into()),
        ..AcquireRequest::internal()
    };
    let mut held = Vec::new();
    for _ in 0..3 {
        held.push(
            pool.acquire(&acquire_request("one"), deadline_in(50))
                .await
                .expect("room"),
        );
    }
    held.clear();
    let refused = pool.acquire(&acquire_request("two"), deadline_in(50)).await;
    assert_eq!(refused.err(), Some(AcquireError::Exhausted));
    let connection = pool.acquire(&acquire_request("two"), deadline_in(50)).await;
    assert!(connection.is_ok(), "{connection:?}");
    assert_eq!(world.open_connections("a"), 3);
}
