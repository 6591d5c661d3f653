//! Closes idle connections to evacuated zones and writes an event for each zone.

use super::schedule::Sender;
use crate::engine::Engine;
use crate::events::{Event, millis};
use crate::names::ZoneName;
use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use tokio::time::{Instant, sleep_until};

/// Closes idle connections to the members of each evacuated zone once its deadline for sending has
/// passed. Runs until the process ends.
pub(crate) async fn close_evacuated_zones(engine: &Engine) {
    let mut evacuations = engine.subscribe_evacuations();
    let mut known: BTreeMap<ZoneName, Instant> = BTreeMap::new();
    let mut closed: BTreeSet<ZoneName> = BTreeSet::new();
    loop {
        let current = evacuations.borrow_and_update().clone();
        let now = Instant::now();
        known.retain(|zone, _| current.contains(zone));
        closed.retain(|zone| current.contains(zone));
        for zone in &current.zones {
            if !known.contains_key(zone) {
                known.insert(zone.clone(), now);
                warn_about_unknown_zone(engine, zone);
            }
        }
        let deadlines = known.keys().filter(|zone| !closed.contains(*zone));
        let deadlines = deadlines.filter_map(|zone| {
            let at = engine.evacuation_schedule().closes_at(zone, Sender::Home)?;
            Some((at, zone.clone()))
        });
        let next = deadlines.min();
        let deadline_reached = async {
            match &next {
                Some((at, _)) => sleep_until(*at).await,
                None => pending().await,
            }
        };
        tokio::select! {
            changed = evacuations.changed() => if changed.is_err() { return },
            () = deadline_reached => {
                if let Some((_, zone)) = next {
                    close_connections(engine, &zone, known.get(&zone).copied());
                    closed.insert(zone);
                }
            }
        }
    }
}

fn close_connections(engine: &Engine, zone: &ZoneName, learned: Option<Instant>) {
    engine.close_idle_connections_in(zone);
    engine.events().write(&Event::ZoneClosed {
        zone: zone.clone(),
        version: engine.evacuations().version,
        after_ms: learned.map_or(0, |at| millis(at.elapsed())),
    });
}

/// Warns if `zone` contains no member and is unknown to the settings, since the request is most
/// likely a mistake.
fn warn_about_unknown_zone(engine: &Engine, zone: &ZoneName) {
    let has_members = engine.directory().members().any(|m| m.zone == *zone);
    let is_known = has_members || engine.settings().topology.region_of(zone).is_some();
    if !is_known {
        log::warn!("evacuation of unknown zone {zone}: it has no members and is not configured");
    }
}
