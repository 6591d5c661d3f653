//! Fleet-wide rate limits: they are exceeded by no more than the permitted excess, and no tenant
//! below its limit is refused.

mod support;

use proptest::prelude::*;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::configuration::Configuration;
use stilequay_engine::engine::Engine;
use stilequay_engine::rate::{BucketShare, RateBounds, SHARD_COUNT, TokenBucket};
use stilequay_engine::residency::Residency;
use stilequay_engine::tenant::{Credential, RateLimit, Tenant, TenantPolicy};
use stilequay_engine::verdict::{FailureReason, Verdict};
use support::records::Fault;
use support::{Client, Fleet, LEADER_DATABASE, configuration, until};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const BOUNDS: RateBounds = RateBounds {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};
/// Size of a fleet that uses homes, in three zones.
const LARGE_FLEET: usize = 21;
const ZONES: &[&str] = &["zone-a", "zone-b", "zone-c"];
const TENANT: &str = "busy";
const KEY: &[u8] = b"key-busy";

fn with_limit(version: u64, limit: RateLimit) -> Configuration {
    let tenant = Tenant {
        name: TENANT.into(),
        rate: Some(limit),
        residency: Residency::ANYWHERE,
    };
    let mut next = configuration(1);
    next.version = version;
    next.tenants.insert(TENANT.into(), Arc::new(tenant));
    next.credentials
        .insert(Credential::from_key(KEY), TENANT.into());
    next
}

async fn start_fleet(nodes: usize, limit: RateLimit) -> Fleet {
    let policy = TenantPolicy {
        revocation: Duration::from_secs(5),
        rates: Some(BOUNDS),
    };
    let fleet = Fleet::start_with(ZONES, nodes, Some(policy)).await;
    apply_configuration(&fleet, with_limit(2, limit)).await;
    let counted = |shard| fleet.records.get(&format!("lease/rate-{shard}")).is_some();
    until(|| (0..SHARD_COUNT).all(counted)).await;
    // Until the buckets are full.
    sleep(Duration::from_secs(4)).await;
    fleet
}

async fn apply_configuration(fleet: &Fleet, next: Configuration) {
    let version = next.version;
    fleet.configuration.send_replace(next);
    until(|| {
        let versions = fleet.nodes.iter().map(|node| node.engine.configuration());
        versions
            .flatten()
            .all(|configuration| configuration.version == version)
    })
    .await;
}

/// Returns the processes that currently hold a counter lease.
fn counter_nodes(fleet: &Fleet) -> Vec<usize> {
    let lease = |shard: usize| {
        let record = fleet.records.get(&format!("lease/rate-{shard}"));
        let value = record.expect("a lease").value;
        String::from_utf8_lossy(&value).into_owned()
    };
    let leases: Vec<String> = (0..SHARD_COUNT).map(lease).collect();
    let holds_lease = |name: &str| {
        let is_named = |lease: &String| {
            let mut matches = lease.match_indices(name);
            // "node-1" must not match "node-11".
            matches.any(|(at, _)| {
                let next = lease.as_bytes().get(at + name.len());
                next.is_none_or(|byte| !byte.is_ascii_digit())
            })
        };
        leases.iter().any(is_named)
    };
    (0..fleet.nodes.len())
        .filter(|node| holds_lease(&fleet.nodes[*node].name))
        .collect()
}

/// Maximum number of statements in any time span as long as the window.
fn busiest_window(runs: &[Instant], window: Duration) -> usize {
    let mut most = 0;
    let mut first = 0;
    for (last, at) in runs.iter().enumerate() {
        while *at - runs[first] >= window {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

/// Clients that send a read to each process every `pause`. Those of a process end when it is
/// killed.
struct Load {
    pause: Duration,
    callers: Vec<JoinSet<()>>,
}

impl Load {
    fn spawn(fleet: &Fleet, pause: Duration) -> Self {
        let callers = (0..fleet.nodes.len()).map(|_| JoinSet::new()).collect();
        let mut load = Self { pause, callers };
        (0..fleet.nodes.len()).for_each(|node| load.start(fleet, node));
        load
    }

    fn start(&mut self, fleet: &Fleet, node: usize) {
        let engine = Arc::clone(&fleet.nodes[node].engine);
        self.callers[node].spawn(request_continuously(engine, self.pause));
    }

    fn kill(&mut self, fleet: &mut Fleet, node: usize) {
        fleet.kill(node);
        self.callers[node].abort_all();
    }
}

async fn request_continuously(engine: Arc<Engine>, pause: Duration) {
    let mut requests = JoinSet::new();
    loop {
        let engine = Arc::clone(&engine);
        requests.spawn(async move {
            let credential = Some(Credential::from_key(KEY));
            let database = LEADER_DATABASE.into();
            let opened = stilequay_engine::session::Session::open(engine, database, credential);
            let Ok(session) = opened.await else { return };
            let mut client = Client { session, next: 0 };
            client.read("x").await;
        });
        while requests.try_join_next().is_some() {}
        sleep(pause).await;
    }
}

/// Disruption of the fleet while a tenant requests many times its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Disruption {
    Nothing,
    CountersKilled,
    CountersFrozen,
    StoreLost,
    AllRestarted,
    LimitLowered,
}

#[rstest]
#[case::nothing(Disruption::Nothing)]
#[case::counters_killed(Disruption::CountersKilled)]
#[case::counters_frozen(Disruption::CountersFrozen)]
#[case::store_lost(Disruption::StoreLost)]
#[case::all_restarted(Disruption::AllRestarted)]
#[case::limit_lowered(Disruption::LimitLowered)]
#[tokio::test(start_paused = true)]
async fn no_window_exceeds_the_limit_by_more_than_the_excess(#[case] disruption: Disruption) {
    let limit = RateLimit {
        per_second: 30.0,
        burst: 30.0,
    };
    let mut fleet = start_fleet(LARGE_FLEET, limit).await;
    let mut load = Load::spawn(&fleet, Duration::from_millis(150));
    sleep(Duration::from_secs(4)).await;
    disrupt(&mut fleet, &mut load, disruption).await;
    sleep(Duration::from_secs(8)).await;
    let runs = fleet.world.run_times(TENANT);
    let busiest = busiest_window(&runs, BOUNDS.window);
    let most = BOUNDS.max_operations(limit);
    assert!(busiest as f64 <= most, "{busiest} of {most}");
    // The tenant can also use its whole limit.
    let least = limit.per_second * BOUNDS.window.as_secs_f64();
    assert!(busiest as f64 > least, "{busiest} of {least}");
}

async fn disrupt(fleet: &mut Fleet, load: &mut Load, disruption: Disruption) {
    match disruption {
        Disruption::Nothing => {}
        Disruption::CountersKilled => {
            for node in counter_nodes(fleet) {
                load.kill(fleet, node);
            }
        }
        Disruption::CountersFrozen => {
            let frozen = counter_nodes(fleet);
            let names: Vec<String> = frozen
                .iter()
                .map(|node| fleet.nodes[*node].name.clone())
                .collect();
            names.iter().for_each(|name| fleet.freeze(name, true));
            sleep(Duration::from_secs(6)).await;
            names.iter().for_each(|name| fleet.freeze(name, false));
        }
        Disruption::StoreLost => {
            fleet.records.set_fault(Fault::Refusing);
            sleep(Duration::from_secs(7)).await;
            fleet.records.set_fault(Fault::None);
        }
        Disruption::AllRestarted => {
            for node in 0..fleet.nodes.len() {
                load.kill(fleet, node);
            }
            for node in 0..fleet.nodes.len() {
                let name = fleet.nodes[node].name.clone();
                fleet.nodes[node] = fleet.respawn_node(&name);
                load.start(fleet, node);
            }
        }
        Disruption::LimitLowered => {
            let lower = RateLimit {
                per_second: 6.0,
                burst: 6.0,
            };
            let lowered = Instant::now();
            apply_configuration(fleet, with_limit(3, lower)).await;
            // Time within which configuration changes apply, plus the lifetime of a permit.
            sleep(Duration::from_millis(3_200)).await;
            let from = Instant::now();
            sleep(Duration::from_secs(10)).await;
            let runs = fleet.world.run_times(TENANT);
            let since: Vec<Instant> = runs.into_iter().filter(|at| *at >= from).collect();
            let busiest = busiest_window(&since, BOUNDS.window);
            let most = BOUNDS.max_operations(lower);
            let after = lowered.elapsed();
            assert!(busiest as f64 <= most, "{busiest} of {most}, {after:?}");
        }
    }
}

/// A tenant at five eighths of its limit, spread over all processes, is never refused, even if
/// one of the counters fails.
#[rstest]
#[case::all_counters(false)]
#[case::one_is_lost(true)]
#[tokio::test(start_paused = true)]
async fn nobody_is_refused_below_the_limit(#[case] one_is_lost: bool) {
    let limit = RateLimit {
        per_second: 32.0,
        burst: 32.0,
    };
    let mut fleet = start_fleet(LARGE_FLEET, limit).await;
    let lost = counter_nodes(&fleet)[0];
    let remaining: Vec<usize> = (0..LARGE_FLEET).filter(|node| *node != lost).collect();
    let mut refused = Vec::new();
    for round in 0..200 {
        if round == 40 && one_is_lost {
            fleet.kill(lost);
        }
        let node = remaining[round % remaining.len()];
        let engine = &fleet.nodes[node].engine;
        let credential = Some(Credential::from_key(KEY));
        let mut client = Client::open_with(engine, LEADER_DATABASE, credential);
        let began = Instant::now();
        if let Err(failure) = client.read("x").await.outcome
            && failure.reason == FailureReason::RateLimited
        {
            refused.push(round);
        }
        sleep(Duration::from_millis(50).saturating_sub(began.elapsed())).await;
    }
    assert!(refused.is_empty(), "{refused:?}");
}

/// Requests beyond the limit are refused immediately, with a time to retry after.
#[tokio::test(start_paused = true)]
async fn a_refusal_is_immediate_and_has_a_retry_time() {
    let limit = RateLimit {
        per_second: 3.0,
        burst: 3.0,
    };
    let fleet = start_fleet(3, limit).await;
    let credential = Some(Credential::from_key(KEY));
    let mut client = Client::open_with(&fleet.nodes[0].engine, LEADER_DATABASE, credential);
    for _ in 0..40 {
        let began = Instant::now();
        let Err(failure) = client.read("x").await.outcome else {
            continue;
        };
        assert_eq!(failure.reason, FailureReason::RateLimited);
        assert_eq!(failure.verdict, Verdict::NotRun);
        assert!(
            failure
                .retry_after
                .is_some_and(|wait| wait > Duration::ZERO)
        );
        assert!(began.elapsed() < Duration::from_millis(50));
        return;
    }
    panic!("nothing was refused");
}

fn share(per_second: f64, capacity: f64, initial: f64) -> BucketShare {
    BucketShare {
        per_second,
        capacity,
        initial,
    }
}

#[tokio::test(start_paused = true)]
async fn a_lower_share_takes_effect_at_its_time() {
    let began = Instant::now();
    let mut bucket = TokenBucket::new(share(10.0, 10.0, 10.0), began);
    let lower_at = began + Duration::from_secs(4);
    bucket.set_share(share(1.0, 1.0, 0.0), began, lower_at);
    let taken_at = |bucket: &mut TokenBucket, at: Instant| {
        let mut taken = 0;
        while bucket.take(at).is_ok() {
            taken += 1;
        }
        taken
    };
    assert_eq!(taken_at(&mut bucket, began), 10);
    assert_eq!(taken_at(&mut bucket, began + Duration::from_secs(2)), 10);
    assert_eq!(taken_at(&mut bucket, began + Duration::from_secs(5)), 1);
    assert_eq!(taken_at(&mut bucket, began + Duration::from_secs(6)), 1);
    // An increase takes effect immediately.
    let now = began + Duration::from_secs(6);
    bucket.set_share(share(10.0, 10.0, 0.0), now, now + Duration::from_secs(9));
    assert_eq!(taken_at(&mut bucket, now + Duration::from_secs(1)), 10);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of requests, no time span contains more tokens than the bucket allows.
    #[test]
    fn no_span_of_a_bucket_has_more_than_it_allows(
        pauses_ms in prop::collection::vec(0_u64..400, 1..300),
        rate in 0.5_f64..50.0,
        capacity in 1.0_f64..30.0,
    ) {
        let began = Instant::now();
        let mut bucket = TokenBucket::new(share(rate, capacity, capacity), began);
        let mut now = began;
        let mut taken = Vec::new();
        for pause in pauses_ms {
            now += Duration::from_millis(pause);
            if bucket.take(now).is_ok() {
                taken.push(now);
            }
        }
        for (index, from) in taken.iter().enumerate() {
            for (count, to) in taken[index..].iter().enumerate() {
                let span = (*to - *from).as_secs_f64();
                prop_assert!((count + 1) as f64 <= capacity + rate * span + 1e-6);
            }
        }
    }
}

/// Simulates the counters of all shards with takeovers and with permits that are used as late as
/// possible, for a tenant that takes every available token. Returns the maximum per window.
fn busiest_window_of_model(
    limit: RateLimit,
    permit_lifetime: Duration,
    takeovers: &[u64],
    always_initial: bool,
) -> f64 {
    let step = Duration::from_millis(5);
    let began = Instant::now();
    let window = BOUNDS.window;
    let shares = BOUNDS.share(limit);
    let without_initial = BucketShare {
        initial: 0.0,
        ..shares
    };
    let mut buckets: Vec<TokenBucket> = (0..SHARD_COUNT)
        .map(|_| TokenBucket::new(shares, began))
        .collect();
    let mut runs = Vec::new();
    for count in 0..3_200_u64 {
        let now = began + step * u32::try_from(count).expect("small");
        if let Some(position) = takeovers.iter().position(|at| *at == count) {
            // Of several takeovers in quick succession, only the first has initial tokens.
            let new_share = match position == 0 || always_initial {
                true => shares,
                false => without_initial,
            };
            buckets = (0..SHARD_COUNT)
                .map(|_| TokenBucket::new(new_share, now))
                .collect();
        }
        // After an idle time the tenant takes all available tokens. Permits granted in the first
        // lifetime are all used at its end.
        let is_requesting = count >= 1_600;
        for bucket in &mut buckets {
            while is_requesting && bucket.take(now).is_ok() {
                let held_back = now < began + step * 1_600 + permit_lifetime;
                runs.push(match held_back {
                    true => now + permit_lifetime,
                    false => now,
                });
            }
        }
    }
    runs.sort();
    busiest_window(&runs, window) as f64
}

#[rstest]
#[case::small(3.0, 3.0)]
#[case::slow_with_a_burst(2.0, 40.0)]
#[case::large(196.0, 196.0)]
fn the_limit_holds_with_takeovers_in_a_window(#[case] per_second: f64, #[case] burst: f64) {
    let limit = RateLimit { per_second, burst };
    let busiest = busiest_window_of_model(
        limit,
        BOUNDS.permit_lifetime(),
        &[1_700, 1_900, 2_100],
        false,
    );
    assert!(busiest <= BOUNDS.max_operations(limit), "{busiest}");
}

/// The simulation detects injected bugs: permits that are valid for too long, and takeovers that
/// always have initial tokens, however short the previous one lasted.
#[rstest]
#[case::takeovers_always_have_initial_tokens(true, 1)]
#[case::permits_are_valid_for_long(false, 12)]
fn injected_bugs_exceed_the_limit(#[case] always_initial: bool, #[case] lifetimes: u32) {
    let limit = RateLimit {
        per_second: 196.0,
        burst: 196.0,
    };
    let permit_lifetime = BOUNDS.permit_lifetime() * lifetimes;
    let busiest = busiest_window_of_model(
        limit,
        permit_lifetime,
        &[1_700, 1_900, 2_100],
        always_initial,
    );
    assert!(busiest > BOUNDS.max_operations(limit), "{busiest}");
}

/// The store refuses all counters, or doesn't answer them, but serves the other processes. The
/// counters are replaced shortly after their leases expire, and no request waits for long until
/// then.
#[rstest]
#[case::refused(false)]
#[case::not_answered(true)]
#[tokio::test(start_paused = true)]
async fn counters_refused_by_the_store_are_replaced(#[case] is_silent: bool) {
    let limit = RateLimit {
        per_second: 90.0,
        burst: 90.0,
    };
    let fleet = start_fleet(LARGE_FLEET, limit).await;
    let lost = counter_nodes(&fleet);
    assert_eq!(lost.len(), SHARD_COUNT);
    for node in &lost {
        let name = &fleet.nodes[*node].name;
        match is_silent {
            true => fleet.records.ignore_node(name),
            false => fleet.records.refuse_node(name, true),
        }
    }
    let remaining: Vec<usize> = (0..LARGE_FLEET)
        .filter(|node| !lost.contains(node))
        .collect();
    let mut unserved = Duration::ZERO;
    let mut last = Instant::now();
    for round in 0..300 {
        let engine = &fleet.nodes[remaining[round % remaining.len()]].engine;
        let credential = Some(Credential::from_key(KEY));
        let mut client = Client::open_with(engine, LEADER_DATABASE, credential);
        let began = Instant::now();
        if let Err(failure) = client.read("x").await.outcome {
            let by_rate = [FailureReason::RateUnknown, FailureReason::RateLimited];
            assert!(by_rate.contains(&failure.reason), "{failure}");
            assert!(began.elapsed() < Duration::from_millis(300));
            unserved += last.elapsed();
        }
        last = Instant::now();
        sleep(Duration::from_millis(40)).await;
    }
    assert!(unserved < Duration::from_millis(2_000), "{unserved:?}");
}
