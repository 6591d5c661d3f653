//! A greedy tenant and a small one before four slots.
//!
//! `cargo run --release -p stilequay-coordination --example fair_limits -- [LOAD]`
//!
//! The greedy tenant's requests arrive at `LOAD` times the rate that the slots can
//! serve (5 if not given), whether earlier ones are answered or not; the small tenant
//! sends one request at a time. Prints one JSON line for each: what was served and
//! rejected, and how long the served ones waited.

use serde::Serialize;
use std::error::Error;
use std::time::Duration;
use stilequay_coordination::limit::{Limiter, LimiterSettings, TenantLimits};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

const SLOTS: usize = 4;
const WORK_TIME: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_secs(1);
const LONGEST_WAIT: Duration = Duration::from_secs(10);
const DEFAULT_LOAD: f64 = 5.0;

/// What became of one tenant's requests.
#[derive(Debug, Default, Serialize)]
struct Report {
    tenant: &'static str,
    served: usize,
    rejected: usize,
    median_wait_millis: f64,
    p99_wait_millis: f64,
    worst_wait_millis: f64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let load = match std::env::args().nth(1) {
        Some(text) => text.parse()?,
        None => DEFAULT_LOAD,
    };
    let limiter = Limiter::new(LimiterSettings {
        slots: SLOTS,
        queue_length: 150,
        queue_time: LONGEST_WAIT,
        tenant: TenantLimits {
            in_flight: SLOTS,
            queue_length: 1_000,
            rank: 0,
        },
    });
    let end = Instant::now() + RUN_TIME;
    let small = run_one_at_a_time(limiter.clone(), "small", end);
    let greedy = run_at_rate(limiter, "greedy", load, end);
    let (small, greedy) = tokio::join!(small, greedy);
    println!("{}", serde_json::to_string(&report("small", small))?);
    println!("{}", serde_json::to_string(&report("greedy", greedy))?);
    Ok(())
}

/// One request after the other, until `end`: the time each waited, or nothing if it was rejected.
async fn run_one_at_a_time(
    limiter: Limiter<&'static str>,
    tenant: &'static str,
    end: Instant,
) -> Vec<Option<Duration>> {
    let mut waits = Vec::new();
    while Instant::now() < end {
        waits.push(run_request(limiter.clone(), tenant).await);
    }
    waits
}

/// Requests at `load` times what the slots can serve, until `end`.
async fn run_at_rate(
    limiter: Limiter<&'static str>,
    tenant: &'static str,
    load: f64,
    end: Instant,
) -> Vec<Option<Duration>> {
    let interval = WORK_TIME.div_f64(SLOTS as f64 * load);
    let mut requests = JoinSet::new();
    let mut next = Instant::now();
    while next < end {
        sleep_until(next).await;
        requests.spawn(run_request(limiter.clone(), tenant));
        next += interval;
    }
    requests.join_all().await
}

async fn run_request(limiter: Limiter<&'static str>, tenant: &'static str) -> Option<Duration> {
    let began = Instant::now();
    let permit = limiter.acquire(tenant, began + LONGEST_WAIT).await.ok()?;
    let waited = began.elapsed();
    sleep(WORK_TIME).await;
    drop(permit);
    Some(waited)
}

fn report(tenant: &'static str, requests: Vec<Option<Duration>>) -> Report {
    let sent = requests.len();
    let mut waits: Vec<_> = requests.into_iter().flatten().collect();
    waits.sort();
    Report {
        tenant,
        served: waits.len(),
        rejected: sent - waits.len(),
        median_wait_millis: quantile_millis(&waits, 0.5),
        p99_wait_millis: quantile_millis(&waits, 0.99),
        worst_wait_millis: quantile_millis(&waits, 1.0),
    }
}

fn quantile_millis(sorted: &[Duration], quantile: f64) -> f64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    let wait = sorted.get(index.min(sorted.len().saturating_sub(1)));
    wait.map_or(0.0, |wait| wait.as_secs_f64() * 1_000.0)
}
