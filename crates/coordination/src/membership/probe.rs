//! The task that probes the nodes of the zone, one in each interval.

use super::audience::Audience;
use super::datagram::{ProbeId, Purpose};
use super::merge::Spread;
use super::record::{Delta, MemberState, Status};
use super::shared::Shared;
use super::table::Entry;
use crate::identity::NodeId;
use rand::seq::{IndexedRandom, SliceRandom};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

/// Every so many probes go to a node that was given up, so that two halves of a
/// zone that were cut from each other meet again.
const PROBES_PER_DOWN_PROBE: u64 = 10;

/// A probe that took this much longer than it should says nothing: this process
/// did not get to run.
const LATENESS_TOLERATED: Duration = Duration::from_secs(1);

/// Probes until the membership is stopped.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(shared.timing.probe_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut round = Vec::new();
    let mut probes = 0;
    loop {
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            _ = ticks.tick() => {}
        }
        probes += 1;
        if probes % PROBES_PER_DOWN_PROBE == 0 {
            probe_one_down(&shared).await;
        }
        if let Some(target) = next_target(&shared, &mut round) {
            probe(&shared, &target).await;
        }
    }
}

/// The next node of the zone: every node once in each round, in random order.
fn next_target(shared: &Shared, round: &mut Vec<NodeId>) -> Option<MemberState> {
    if round.is_empty() {
        *round = neighbours(shared);
        round.shuffle(&mut rand::rng());
    }
    let state = shared.state();
    while let Some(node) = round.pop() {
        if let Some(entry) = state.table.get(&node)
            && is_neighbour(shared, entry)
        {
            return Some(entry.state.clone());
        }
    }
    None
}

fn neighbours(shared: &Shared) -> Vec<NodeId> {
    let view = shared.view.borrow().clone();
    view.zone_members(&shared.own.zone)
        .map(|member| member.record.node.clone())
        .collect()
}

fn is_neighbour(shared: &Shared, entry: &Entry) -> bool {
    let record = &entry.state.record;
    record.zone == shared.own.zone
        && record.node != shared.own.node
        && entry.state.status != Status::Down
}

async fn probe(shared: &Arc<Shared>, target: &MemberState) {
    let started = Instant::now();
    if answers(shared, target).await {
        return;
    }
    let late = started + shared.timing.probe_interval + LATENESS_TOLERATED;
    if Instant::now() > late {
        return;
    }
    suspect(shared, target);
}

/// Whether the node answers, directly or through others, within the interval.
async fn answers(shared: &Arc<Shared>, target: &MemberState) -> bool {
    let node = &target.record.node;
    let address = target.record.control_address;
    let (id, mut acknowledgement) = shared.expect_acknowledgement();
    // A suspected node hears of the suspicion with the probe.
    let doubted = target.status.is_doubted().then_some(node);
    shared
        .send(address, Purpose::Probe(id), &Audience::OwnZone, doubted)
        .await;
    let direct = within(shared.timing.probe_timeout, &mut acknowledgement).await;
    let answered = direct || {
        ask_others(shared, id, target).await;
        let rest = shared
            .timing
            .probe_interval
            .saturating_sub(shared.timing.probe_timeout);
        within(rest, &mut acknowledgement).await
    };
    shared.forget_probe(id);
    answered
}

async fn within(limit: Duration, acknowledgement: &mut oneshot::Receiver<()>) -> bool {
    matches!(
        tokio::time::timeout(limit, acknowledgement).await,
        Ok(Ok(()))
    )
}

async fn ask_others(shared: &Shared, id: ProbeId, target: &MemberState) {
    let view = shared.view.borrow().clone();
    let helpers: Vec<_> = view
        .zone_members(&shared.own.zone)
        .map(|member| &member.record)
        .filter(|record| record.node != shared.own.node && record.node != target.record.node)
        .map(|record| record.control_address)
        .collect();
    let count = shared.timing.indirect_probes;
    let chosen: Vec<_> = helpers.sample(&mut rand::rng(), count).copied().collect();
    for helper in chosen {
        let purpose = Purpose::ProbeFor(id, target.record.control_address);
        shared.send(helper, purpose, &Audience::OwnZone, None).await;
    }
}

/// Probes `target` and passes its answer on to the node that asked.
pub(super) async fn probe_for_another(
    shared: Arc<Shared>,
    asked: ProbeId,
    asker: SocketAddr,
    target: SocketAddr,
) {
    let (id, mut acknowledgement) = shared.expect_acknowledgement();
    shared
        .send(target, Purpose::Probe(id), &Audience::OwnZone, None)
        .await;
    if within(shared.timing.probe_interval, &mut acknowledgement).await {
        let answer = Purpose::Acknowledge(asked);
        shared.send(asker, answer, &Audience::OwnZone, None).await;
    }
    shared.forget_probe(id);
}

/// The node did not answer: raises a suspicion, unless this node hears nobody and
/// may itself be the one that is cut off.
fn suspect(shared: &Shared, target: &MemberState) {
    let now = Instant::now();
    let state = shared.state();
    if !shared.hears_others(&state, &target.record.node, now) {
        return;
    }
    let Some(known) = state.table.get(&target.record.node) else {
        return;
    };
    if known.state.version() != target.version() || known.state.status.is_doubted() {
        return;
    }
    let suspicion = MemberState {
        status: known.state.status.suspected(),
        ..known.state.clone()
    };
    drop(state);
    log::info!(node:% = target.record.node; "a node does not answer and is suspected");
    shared.merge([Delta::from(&suspicion)], Spread::News);
}

/// Probes a random node of the zone that was given up. If it lives, it hears that
/// it was given up and refutes it.
async fn probe_one_down(shared: &Arc<Shared>) {
    let down: Vec<_> = {
        let state = shared.state();
        state
            .table
            .entries()
            .filter(|entry| entry.state.status == Status::Down)
            .filter(|entry| entry.state.record.zone == shared.own.zone)
            .map(|entry| entry.state.record.clone())
            .collect()
    };
    let Some(record) = down.choose(&mut rand::rng()) else {
        return;
    };
    let (id, _) = shared.expect_acknowledgement();
    let purpose = Purpose::Probe(id);
    let address = record.control_address;
    shared
        .send(address, purpose, &Audience::OwnZone, Some(&record.node))
        .await;
    shared.forget_probe(id);
}
