//! A greedy tenant and a small one before four slots.
//!
//! `cargo run --release -p stilequay-coordination --example fair_limits`
//!
//! The greedy tenant keeps 200 requests coming; the small one sends one at a time.
//! Prints one JSON line for each: what was served and rejected, and how long the
//! served ones waited.

use serde::Serialize;
use std::time::Duration;
use stilequay_coordination::limit::{Limiter, LimiterSettings, TenantLimits};
use tokio::task::JoinSet;
use tokio::time::Instant;

const SLOTS: usize = 4;
const WORK_TIME: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_secs(1);
const LONGEST_WAIT: Duration = Duration::from_secs(10);
const GREEDY_CLIENTS: usize = 200;

/// What became of one tenant's requests.
#[derive(Debug, Default, Serialize)]
struct Report {
    tenant: &'static str,
    served: usize,
    rejected: usize,
    median_wait_millis: f64,
    worst_wait_millis: f64,
}

#[derive(Debug, Default)]
struct Tally {
    waits: Vec<Duration>,
    rejected: usize,
}

#[tokio::main]
async fn main() -> Result<(), serde_json::Error> {
    let limiter = Limiter::new(LimiterSettings {
        slots: SLOTS,
        queue_length: 150,
        queue_time: LONGEST_WAIT,
        tenant: TenantLimits {
            in_flight: SLOTS,
            queue_length: 1_000,
        },
    });
    let end = Instant::now() + RUN_TIME;
    let mut greedy = JoinSet::new();
    for _ in 0..GREEDY_CLIENTS {
        greedy.spawn(run_client(limiter.clone(), "greedy", end));
    }
    let small = run_client(limiter.clone(), "small", end).await;
    println!("{}", serde_json::to_string(&report("small", vec![small]))?);
    let greedy = greedy.join_all().await;
    println!("{}", serde_json::to_string(&report("greedy", greedy))?);
    Ok(())
}

/// One request after the other, until `end`.
async fn run_client(limiter: Limiter<&'static str>, tenant: &'static str, end: Instant) -> Tally {
    let mut tally = Tally::default();
    while Instant::now() < end {
        let began = Instant::now();
        match limiter.acquire(tenant, began + LONGEST_WAIT).await {
            Ok(permit) => {
                tally.waits.push(began.elapsed());
                tokio::time::sleep(WORK_TIME).await;
                drop(permit);
            }
            Err(rejected) => {
                tally.rejected += 1;
                let again = Instant::now() + rejected.retry_after;
                tokio::time::sleep_until(again.min(end)).await;
            }
        }
    }
    tally
}

fn report(tenant: &'static str, tallies: Vec<Tally>) -> Report {
    let rejected = tallies.iter().map(|tally| tally.rejected).sum();
    let mut waits: Vec<_> = tallies.into_iter().flat_map(|tally| tally.waits).collect();
    waits.sort();
    Report {
        tenant,
        served: waits.len(),
        rejected,
        median_wait_millis: millis(waits.get(waits.len() / 2)),
        worst_wait_millis: millis(waits.last()),
    }
}

fn millis(wait: Option<&Duration>) -> f64 {
    wait.map_or(0.0, |wait| wait.as_secs_f64() * 1_000.0)
}
