//! The tasks of a relay that sum up what is in force: in its own zone from the
//! reports of the tree, on the fleet from the relays of the other zones.

use super::in_force::{InForce, ZoneInForce};
use super::message::ZoneMessage;
use super::report::fingerprint;
use super::shared::Shared;
use super::tree::{Role, relays};
use crate::control::connection::{ConnectionError, connect};
use crate::control::{Opening, PROTOCOL_VERSION};
use crate::identity::ZoneName;
use crate::membership::{Member, MembershipView};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Least time between two sums.
const LEAST_INTERVAL: Duration = Duration::from_millis(100);

/// Pause before the relays of a zone are tried again.
const PAUSE_BETWEEN_ROUNDS: Duration = Duration::from_millis(500);

/// Keeps a connection to a relay of each other zone while this node is a relay.
pub(super) async fn run_links(shared: Arc<Shared>) {
    let mut view = shared.membership.view();
    let mut place = shared.place.subscribe();
    let mut links: BTreeMap<ZoneName, DropGuard> = BTreeMap::new();
    loop {
        let wanted = wanted_zones(&shared, &view.borrow_and_update());
        place.mark_unchanged();
        links.retain(|zone, _| wanted.contains(zone));
        for zone in wanted {
            links
                .entry(zone.clone())
                .or_insert_with(|| spawn_link(&shared, zone));
        }
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            _ = view.changed() => {}
            _ = place.changed() => {}
        }
    }
}

fn wanted_zones(shared: &Shared, view: &MembershipView) -> Vec<ZoneName> {
    if shared.place.borrow().role == Role::Subscriber {
        return Vec::new();
    }
    let own = &shared.own().zone;
    view.zones()
        .filter(|zone| *zone != own && reachable(view, zone).next().is_some())
        .cloned()
        .collect()
}

fn reachable<'a>(view: &'a MembershipView, zone: &ZoneName) -> impl Iterator<Item = &'a Member> {
    view.zone_members(zone)
        .filter(|member| member.is_reachable())
}

/// Starts the link to `zone`; it ends when the guard is dropped.
fn spawn_link(shared: &Arc<Shared>, zone: ZoneName) -> DropGuard {
    let ended = CancellationToken::new();
    let guard = ended.clone().drop_guard();
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = ended.cancelled() => {}
            () = shared.stopped.cancelled() => {}
            () = link(&shared, &zone) => {}
        }
        shared.other_zones.remove(&zone);
    });
    guard
}

async fn link(shared: &Shared, zone: &ZoneName) {
    loop {
        let view = shared.membership.current();
        for relay in relays(zone, &view) {
            let Some(address) = shared.address_of(&relay) else {
                continue;
            };
            if let Err(error) = follow(shared, zone, address).await {
                log::debug!(relay:% = relay, error:% = error; "a relay's reports ended");
            }
            shared.other_zones.remove(zone);
        }
        tokio::time::sleep(PAUSE_BETWEEN_ROUNDS).await;
    }
}

async fn follow(
    shared: &Shared,
    zone: &ZoneName,
    address: SocketAddr,
) -> Result<(), ConnectionError> {
    let links = shared.membership.links();
    let limit = shared.config.connect_timeout;
    let (mut sender, mut receiver) = connect(address, limit, links).await?;
    let opening = Opening::ZoneInForce {
        version: PROTOCOL_VERSION,
    };
    sender.send(&opening).await?;
    loop {
        let limit = shared.config.silence_timeout;
        match receiver.receive_within(limit).await? {
            ZoneMessage::InForce(report) => shared.other_zones.set(zone, report),
            ZoneMessage::NotRelay => return Ok(()),
        }
    }
}

/// Sums up while this node is a relay.
pub(super) async fn run_sums(shared: Arc<Shared>) {
    let mut view = shared.membership.view();
    let mut place = shared.place.subscribe();
    let mut reports = shared.reports.changed();
    let mut zones = shared.other_zones.changed();
    let mut applied = shared.store.applied();
    let mut caught_up = shared.caught_up.subscribe();
    loop {
        reports.mark_unchanged();
        zones.mark_unchanged();
        applied.mark_unchanged();
        caught_up.mark_unchanged();
        let is_relay = place.borrow_and_update().role != Role::Subscriber;
        let latest = view.borrow_and_update().clone();
        if is_relay {
            sum_up(&shared, &latest);
        } else {
            shared
                .own_zone
                .send_if_modified(|zone| zone.take().is_some());
            shared.in_force.worked_out(None);
        }
        tokio::time::sleep(LEAST_INTERVAL).await;
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            _ = view.changed() => {}
            _ = place.changed() => {}
            _ = reports.changed(), if is_relay => {}
            _ = zones.changed(), if is_relay => {}
            _ = applied.changed(), if is_relay => {}
            _ = caught_up.changed(), if is_relay => {}
        }
    }
}

fn sum_up(shared: &Shared, view: &MembershipView) {
    let own = own_zone(shared, view);
    let mut zones = vec![own.clone()];
    let mut unreachable = 0;
    for zone in view.zones().filter(|zone| **zone != own.zone) {
        let expected = reachable(view, zone).count();
        if expected == 0 {
            unreachable += view.zone_size(zone);
            continue;
        }
        let report = shared.other_zones.get(zone);
        let none = || ZoneInForce::unreported(zone.clone(), expected as u32);
        zones.push(report.unwrap_or_else(none));
    }
    shared.own_zone.send_if_modified(|known| {
        let differs = known.as_ref() != Some(&own);
        if differs {
            *known = Some(own);
        }
        differs
    });
    let sum = InForce::of_zones(&zones, unreachable as u32);
    shared.in_force.worked_out(Some(sum));
}

/// What is in force in the own zone. It is complete if the nodes that report are
/// exactly those that are believed to live.
fn own_zone(shared: &Shared, view: &MembershipView) -> ZoneInForce {
    let zone = &shared.own().zone;
    let report = shared.reports.subtree(&shared.own_state());
    let live = view
        .zone_members(zone)
        .map(|member| fingerprint(&member.record.node, member.record.incarnation));
    let expected = view.zone_size(zone) as u32;
    let fingerprints = live.fold(0u64, u64::wrapping_add);
    ZoneInForce {
        zone: zone.clone(),
        revision: report.least,
        counted: report.counted,
        starting: report.starting,
        expected,
        complete: report.counted == expected && report.fingerprint == fingerprints,
        laggards: report
            .laggards
            .into_iter()
            .filter(|laggard| laggard.revision < report.highest)
            .collect(),
    }
}
