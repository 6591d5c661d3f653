//! The task that settles what time decides and publishes the view.

use super::audience::Audience;
use super::merge::Spread;
use super::record::{Delta, MemberState, Status};
use super::shared::{Shared, State};
use super::table::Entry;
use super::view::{Liveness, Member, MembershipView};
use crate::identity::ZoneName;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Between two looks at what time decides.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);

/// Between two looks for nodes that need no longer be remembered.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// A look that comes so much too late shows that this process did not run.
const PAUSE_NOTICED: Duration = Duration::from_secs(1);

/// Publishes views until the membership is stopped.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut unreachable = BTreeSet::new();
    let mut looked = Instant::now();
    let mut forgot = looked;
    loop {
        let changed = tokio::select! {
            () = shared.stopped.cancelled() => return,
            () = shared.changed.notified() => true,
            () = tokio::time::sleep(HOUSEKEEPING_INTERVAL) => false,
        };
        let now = Instant::now();
        let pause = now.saturating_duration_since(looked);
        looked = now;
        if pause > HOUSEKEEPING_INTERVAL + PAUSE_NOTICED {
            postpone(&shared, pause - HOUSEKEEPING_INTERVAL, now);
        }
        settle_suspicions(&shared, now);
        if now.saturating_duration_since(forgot) > FORGET_INTERVAL {
            forgot = now;
            forget_down(&shared, now);
        }
        let still_unreachable = unreachable_zones(&shared, now);
        if changed || still_unreachable != unreachable {
            unreachable = still_unreachable;
            publish(&shared, &unreachable);
            // Bounds the work that a burst of reports causes.
            tokio::time::sleep(shared.timing.publish_interval).await;
        }
    }
}

/// What others did while this process was paused could not be heard: no deadline
/// may pass because of it.
fn postpone(shared: &Shared, pause: Duration, now: Instant) {
    let mut state = shared.state();
    state.contacts.postpone(pause, now);
    for end in state.suspicions.values_mut() {
        *end += pause;
    }
}

fn settle_suspicions(shared: &Shared, now: Instant) {
    let given_up = ended_suspicions(shared, now);
    for state in given_up {
        log::info!(node:% = state.record.node; "a node is given up");
        shared.merge([Delta::from(&state)], Spread::News);
    }
}

/// The reports that give up nodes whose suspicion has ended. A node that hears
/// nobody lets all suspicions stand: once it hears of the others again, they must
/// have time to refute.
fn ended_suspicions(shared: &Shared, now: Instant) -> Vec<MemberState> {
    let timeout = shared.timing.suspicion_timeout(shared.zone_size());
    let mut guard = shared.state();
    let state = &mut *guard;
    let ended: Vec<_> = state
        .suspicions
        .iter()
        .filter(|(_, end)| **end <= now)
        .map(|(node, _)| node.clone())
        .collect();
    let mut given_up = Vec::new();
    for node in ended {
        if !shared.hears_others(state, &node, now) {
            state.suspicions.insert(node, now + timeout);
        } else if let Some(entry) = state.table.get(&node) {
            given_up.push(MemberState {
                status: Status::Down,
                ..entry.state.clone()
            });
        }
    }
    given_up
}

fn forget_down(shared: &Shared, now: Instant) {
    let retention = shared.timing.down_retention;
    let outdated = |entry: &Entry| {
        entry.state.status == Status::Down && now.saturating_duration_since(entry.since) > retention
    };
    shared.state().table.forget(outdated);
}

/// The zones of which nothing has been heard for too long.
fn unreachable_zones(shared: &Shared, now: Instant) -> BTreeSet<ZoneName> {
    let view = shared.view.borrow().clone();
    let mut state = shared.state();
    state.contacts.retain(|zone| view.zone_size(zone) > 0);
    view.zones()
        .filter(|zone| **zone != shared.own.zone)
        .filter(|zone| state.contacts.age(zone, now) > shared.timing.zone_timeout)
        .cloned()
        .collect()
}

/// Publishes the table as a view.
pub(super) fn publish(shared: &Shared, unreachable: &BTreeSet<ZoneName>) {
    let members = members(&shared.state(), unreachable);
    let view = MembershipView::new(members);
    keep_audiences(shared, &view);
    shared.view.send_replace(Arc::new(view));
}

/// Keeps a queue of news for each other zone and region that there is.
fn keep_audiences(shared: &Shared, view: &MembershipView) {
    let audiences: BTreeSet<_> = view
        .zones()
        .filter_map(|zone| Some(Audience::of(&shared.own, zone, view.region_of(zone)?)))
        .filter(|audience| *audience != Audience::OwnZone)
        .collect();
    let mut state = shared.state();
    state
        .wide_news
        .retain(|audience, _| audiences.contains(audience));
    for audience in audiences {
        state.wide_news.entry(audience).or_default();
    }
}

fn members(state: &State, unreachable: &BTreeSet<ZoneName>) -> Vec<Member> {
    state
        .table
        .entries()
        .filter_map(|entry| {
            let liveness = liveness(&entry.state, unreachable)?;
            Some(Member {
                record: entry.state.record.clone(),
                liveness,
            })
        })
        .collect()
}

fn liveness(state: &MemberState, unreachable: &BTreeSet<ZoneName>) -> Option<Liveness> {
    if state.status == Status::Down {
        return None;
    }
    if unreachable.contains(&state.record.zone) {
        return Some(Liveness::Unreachable);
    }
    let liveness = match state.status {
        Status::Alive => Liveness::Alive,
        Status::Suspected => Liveness::Suspected,
        _ => Liveness::Leaving,
    };
    Some(liveness)
}
