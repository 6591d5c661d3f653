//! Rate limits over the whole fleet: never exceeded by more than they may be, and nobody
//! refused below them.

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
/// Processes of a fleet that needs homes, in three zones.
const LARGE: usize = 21;
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

async fn fleet_with(nodes: usize, limit: RateLimit) -> Fleet {
    let policy = TenantPolicy {
        revocation: Duration::from_secs(5),
        rates: Some(BOUNDS),
    };
    let fleet = Fleet::start_with(ZONES, nodes, Some(policy)).await;
    declare(&fleet, with_limit(2, limit)).await;
    let counted = |shard| fleet.records.get(&format!("lease/rate-{shard}")).is_some();
    until(|| (0..SHARD_COUNT).all(counted)).await;
    // Buckets fill up to what they hold.
    sleep(Duration::from_secs(4)).await;
    fleet
}

async fn declare(fleet: &Fleet, next: Configuration) {
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

/// The processes that count a shard now.
fn counters(fleet: &Fleet) -> Vec<usize> {
    let lease = |shard: usize| {
        let record = fleet.records.get(&format!("lease/rate-{shard}"));
        let value = record.expect("a lease").value;
        String::from_utf8_lossy(&value).into_owned()
    };
    let leases: Vec<String> = (0..SHARD_COUNT).map(lease).collect();
    let holds = |name: &str| {
        let is_named = |lease: &String| {
            let mut matches = lease.match_indices(name);
            // "node-1" is not "node-11".
            matches.any(|(at, _)| {
                let next = lease.as_bytes().get(at + name.len());
                next.is_none_or(|byte| !byte.is_ascii_digit())
            })
        };
        leases.iter().any(is_named)
    };
    (0..fleet.nodes.len())
        .filter(|node| holds(&fleet.nodes[*node].name))
        .collect()
}

/// Most runs in any span of the window's length.
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

/// Callers that ask at each process every `pause`, over and over. Those of a process end with
/// it.
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
        self.callers[node].spawn(ask_for_ever(engine, self.pause));
    }

    fn kill(&mut self, fleet: &mut Fleet, node: usize) {
        fleet.kill(node);
        self.callers[node].abort_all();
    }
}

async fn ask_for_ever(engine: Arc<Engine>, pause: Duration) {
    let mut asking = JoinSet::new();
    loop {
        let engine = Arc::clone(&engine);
        asking.spawn(async move {
            let credential = Some(Credential::from_key(KEY));
            let database = LEADER_DATABASE.into();
            let opened = stilequay_engine::session::Session::open(engine, database, credential);
            let Ok(session) = opened.await else { return };
            let mut client = Client { session, next: 0 };
            client.read("x").await;
        });
        while asking.try_join_next().is_some() {}
        sleep(pause).await;
    }
}

/// What strikes the fleet while a tenant asks for many times its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Blow {
    Nothing,
    CountersKilled,
    CountersFrozen,
    StoreLost,
    AllRestarted,
    Lowered,
}

#[rstest]
#[case::nothing(Blow::Nothing)]
#[case::counters_killed(Blow::CountersKilled)]
#[case::counters_frozen(Blow::CountersFrozen)]
#[case::store_lost(Blow::StoreLost)]
#[case::all_restarted(Blow::AllRestarted)]
#[case::limit_lowered(Blow::Lowered)]
#[tokio::test(start_paused = true)]
async fn no_window_exceeds_the_limit_by_more_than_it_may(#[case] blow: Blow) {
    let limit = RateLimit {
        per_second: 30.0,
        burst: 30.0,
    };
    let mut fleet = fleet_with(LARGE, limit).await;
    let mut load = Load::spawn(&fleet, Duration::from_millis(150));
    sleep(Duration::from_secs(4)).await;
    strike(&mut fleet, &mut load, blow).await;
    sleep(Duration::from_secs(8)).await;
    let runs = fleet.world.run_times(TENANT);
    let busiest = busiest_window(&runs, BOUNDS.window);
    let most = BOUNDS.max_operations(limit);
    assert!(busiest as f64 <= most, "{busiest} of {most}");
    // The tenant has what it may have, where nothing keeps it from that.
    let least = limit.per_second * BOUNDS.window.as_secs_f64();
    assert!(busiest as f64 > least, "{busiest} of {least}");
}

async fn strike(fleet: &mut Fleet, load: &mut Load, blow: Blow) {
    match blow {
        Blow::Nothing => {}
        Blow::CountersKilled => {
            for node in counters(fleet) {
                load.kill(fleet, node);
            }
        }
        Blow::CountersFrozen => {
            let frozen = counters(fleet);
            let names: Vec<String> = frozen
                .iter()
                .map(|node| fleet.nodes[*node].name.clone())
                .collect();
            names.iter().for_each(|name| fleet.freeze(name, true));
            sleep(Duration::from_secs(6)).await;
            names.iter().for_each(|name| fleet.freeze(name, false));
        }
        Blow::StoreLost => {
            fleet.records.set_fault(Fault::Refusing);
            sleep(Duration::from_secs(7)).await;
            fleet.records.set_fault(Fault::None);
        }
        Blow::AllRestarted => {
            for node in 0..fleet.nodes.len() {
                load.kill(fleet, node);
            }
            for node in 0..fleet.nodes.len() {
                let name = fleet.nodes[node].name.clone();
                fleet.nodes[node] = fleet.respawn_node(&name);
                load.start(fleet, node);
            }
        }
        Blow::Lowered => {
            let lower = RateLimit {
                per_second: 6.0,
                burst: 6.0,
            };
            let lowered = Instant::now();
            declare(fleet, with_limit(3, lower)).await;
            // The time in which changes of the configuration may take, and a permit's life.
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

/// A tenant that asks for five eighths of its limit, from all processes, with and without one
/// of the counters.
#[rstest]
#[case::all_counters(false)]
#[case::one_is_lost(true)]
#[tokio::test(start_paused = true)]
async fn nobody_is_refused_below_the_limit(#[case] one_is_lost: bool) {
    let limit = RateLimit {
        per_second: 32.0,
        burst: 32.0,
    };
    let mut fleet = fleet_with(LARGE, limit).await;
    let lost = counters(&fleet)[0];
    let asking: Vec<usize> = (0..LARGE).filter(|node| *node != lost).collect();
    let mut refused = Vec::new();
    for round in 0..200 {
        if round == 40 && one_is_lost {
            fleet.kill(lost);
        }
        let node = asking[round % asking.len()];
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

/// Beyond the limit a request is refused at once, with the time to come back.
#[tokio::test(start_paused = true)]
async fn a_refusal_comes_at_once_and_tells_when_to_come_back() {
    let limit = RateLimit {
        per_second: 3.0,
        burst: 3.0,
    };
    let fleet = fleet_with(3, limit).await;
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
async fn a_lower_share_holds_from_its_moment_on() {
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
    // More holds at once.
    let now = began + Duration::from_secs(6);
    bucket.set_share(share(10.0, 10.0, 0.0), now, now + Duration::from_secs(9));
    assert_eq!(taken_at(&mut bucket, now + Duration::from_secs(1)), 10);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// However tokens are asked for, no span has more of them than the bucket allows.
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

/// The fleet's side of the sum, with counters that take over and permits that are used as late
/// as they may be. What the buckets grant is asked for at every moment.
fn busiest_of_model(limit: RateLimit, life: Duration, takeovers: &[u64], firsts: bool) -> f64 {
    let step = Duration::from_millis(5);
    let began = Instant::now();
    let window = BOUNDS.window;
    let shares = BOUNDS.share(limit);
    let without_first = BucketShare {
        initial: 0.0,
        ..shares
    };
    let mut buckets: Vec<TokenBucket> = (0..SHARD_COUNT)
        .map(|_| TokenBucket::new(shares, began))
        .collect();
    let mut runs = Vec::new();
    for count in 0..3_200_u64 {
        let now = began + step * u32::try_from(count).expect("small");
        if let Some(place) = takeovers.iter().position(|at| *at == count) {
            // Only the first of those that come together begins with tokens.
            let begins_with = match place == 0 || firsts {
                true => shares,
                false => without_first,
            };
            buckets = (0..SHARD_COUNT)
                .map(|_| TokenBucket::new(begins_with, now))
                .collect();
        }
        // After a rest the tenant asks for all that there is; permits granted in the last
        // life are all used at its end.
        let asks = count >= 1_600;
        for bucket in &mut buckets {
            while asks && bucket.take(now).is_ok() {
                let held_back = now < began + step * 1_600 + life;
                runs.push(match held_back {
                    true => now + life,
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
fn the_sum_holds_with_takeovers_in_a_window(#[case] per_second: f64, #[case] burst: f64) {
    let limit = RateLimit { per_second, burst };
    let busiest = busiest_of_model(
        limit,
        BOUNDS.permit_lifetime(),
        &[1_700, 1_900, 2_100],
        false,
    );
    assert!(busiest <= BOUNDS.max_operations(limit), "{busiest}");
}

/// Mistakes that the sum must show: permits that last for long, and counters that all begin
/// with tokens, however short the one before has counted.
#[rstest]
#[case::all_begin_with_tokens(true, 1)]
#[case::permits_last_for_long(false, 12)]
fn planted_mistakes_break_the_sum(#[case] firsts: bool, #[case] lives: u32) {
    let limit = RateLimit {
        per_second: 196.0,
        burst: 196.0,
    };
    let life = BOUNDS.permit_lifetime() * lives;
    let busiest = busiest_of_model(limit, life, &[1_700, 1_900, 2_100], firsts);
    assert!(busiest > BOUNDS.max_operations(limit), "{busiest}");
}

/// All counters are turned away by the store, or hear nothing of it, while it serves the
/// others: they are replaced little later than their leases lapse, and nobody waits for long
/// meanwhile.
#[rstest]
#[case::refused(false)]
#[case::not_answered(true)]
#[tokio::test(start_paused = true)]
async fn counters_that_the_store_turns_away_are_replaced(#[case] silent: bool) {
    let limit = RateLimit {
        per_second: 90.0,
        burst: 90.0,
    };
    let fleet = fleet_with(LARGE, limit).await;
    let lost = counters(&fleet);
    assert_eq!(lost.len(), SHARD_COUNT);
    for node in &lost {
        let name = &fleet.nodes[*node].name;
        match silent {
            true => fleet.records.ignore_node(name),
            false => fleet.records.refuse_node(name, true),
        }
    }
    let asking: Vec<usize> = (0..LARGE).filter(|node| !lost.contains(node)).collect();
    let mut unserved = Duration::ZERO;
    let mut last = Instant::now();
    for round in 0..300 {
        let engine = &fleet.nodes[asking[round % asking.len()]].engine;
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
