//! Evacuation of zones combined with home regions.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::configuration::{Configuration, Route};
use stilequay_engine::names::{RegionName, ZoneName};
use stilequay_engine::residency::Residency;
use stilequay_engine::verdict::{FailureReason, Verdict};
use support::{BOUNDED_DATABASE, Fleet, configuration};
use tokio::time::{Instant, sleep};

const BOUND: Duration = Duration::from_secs(5);
const ZONES: &[&str] = &["zone-a", "zone-b", "zone-c"];

/// Two of the three servers are in the north.
fn regions(_: &str) -> HashMap<ZoneName, RegionName> {
    let of_zone = [
        ("zone-a", "north"),
        ("zone-b", "north"),
        ("zone-c", "south"),
    ];
    let names = |(zone, region): &(&str, &str)| (Arc::from(*zone), Arc::from(*region));
    of_zone.iter().map(names).collect()
}

/// Creates a configuration that allows reads of one database only in the north.
fn restrict_reads_to_north() -> Configuration {
    let mut next = configuration(1);
    next.version = 2;
    let route = Route::clone(&next.routes[BOUNDED_DATABASE]);
    let route = Route {
        residency: Residency::in_regions([Arc::from("north")]),
        ..route
    };
    next.routes
        .insert(Arc::from(BOUNDED_DATABASE), Arc::new(route));
    next
}

/// If all zones of the home region are evacuated, reads are refused at once with the reason, even
/// though a member in another region is available.
#[tokio::test(start_paused = true)]
async fn reads_of_an_evacuated_home_region_are_refused_at_once() {
    let fleet = Fleet::start_with_options(ZONES, 3, None, Some(BOUND), regions).await;
    fleet.configuration.send_replace(restrict_reads_to_north());
    sleep(Duration::from_secs(1)).await;
    let mut client = fleet.session(2, BOUNDED_DATABASE);
    assert!(client.read("x").await.outcome.is_ok());
    fleet.evacuations.send_modify(|evacuations| {
        evacuations.version += 1;
        evacuations.zones = ["zone-a", "zone-b"].map(Arc::from).into();
    });
    sleep(BOUND).await;
    let requested_at = Instant::now();
    let failure = client
        .read("x")
        .await
        .outcome
        .expect_err("nobody may run it");
    assert_eq!(failure.verdict, Verdict::NotRun);
    assert_eq!(failure.reason, FailureReason::ZoneEvacuated);
    assert!(
        requested_at.elapsed() < Duration::from_millis(20),
        "{:?}",
        requested_at.elapsed()
    );
}
