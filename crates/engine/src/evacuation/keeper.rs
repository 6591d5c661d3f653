//! Closes what rests in evacuated zones, and tells of it.

use super::schedule::Sender;
use crate::engine::Engine;
use crate::events::{Event, millis};
use crate::names::ZoneName;
use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use tokio::time::{Instant, sleep_until};

/// Closes resting connections to the members of evacuated zones once nothing more is sent
/// there, until the process ends.
pub(crate) async fn keep(engine: &Engine) {
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
                warn_if_unknown(engine, zone);
            }
        }
        let closings = known.keys().filter(|zone| !closed.contains(*zone));
        let closings = closings.filter_map(|zone| {
            let at = engine.evacuation_schedule().closes_at(zone, Sender::Home)?;
            Some((at, zone.clone()))
        });
        let next = closings.min();
        let reached = async {
            match &next {
                Some((at, _)) => sleep_until(*at).await,
                None => pending().await,
            }
        };
        tokio::select! {
            changed = evacuations.changed() => if changed.is_err() { return },
            () = reached => {
                if let Some((_, zone)) = next {
                    close(engine, &zone, known.get(&zone).copied());
                    closed.insert(zone);
                }
            }
        }
    }
}

fn close(engine: &Engine, zone: &ZoneName, learned: Option<Instant>) {
    engine.close_idle_connections_in(zone);
    engine.events().write(&Event::ZoneClosed {
        zone: zone.clone(),
        version: engine.evacuations().version,
        after_ms: learned.map_or(0, |at| millis(at.elapsed())),
    });
}

/// A request for a zone where no member and no process stands is most likely a mistake.
fn warn_if_unknown(engine: &Engine, zone: &ZoneName) {
    let has_members = engine.directory().members().any(|m| m.zone == *zone);
    let is_known = has_members || engine.settings().topology.region_of(zone).is_some();
    if !is_known {
        log::warn!("evacuation of {zone}: no member stands there, and no settings name it");
    }
}
