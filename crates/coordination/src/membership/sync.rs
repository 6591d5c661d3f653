//! Comparison of the whole state with another node, over TCP: when joining, and
//! from time to time to mend what the datagrams missed.

use super::Membership;
use super::config::Seed;
use super::exchange::duties_of;
use super::merge::Spread;
use super::record::{Delta, MemberState};
use super::shared::Shared;
use crate::control::connection::{
    ConnectionError, ControlMessage, MessageReceiver, MessageSender, connect,
};
use crate::control::{Opening, PROTOCOL_VERSION};
use crate::traffic::MessageKind;
use rand::RngExt;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Reports in one message of a comparison.
const STATES_PER_MESSAGE: usize = 500;

/// First pause between two attempts to join.
const FIRST_JOIN_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause between two attempts to join.
const LONGEST_JOIN_PAUSE: Duration = Duration::from_secs(5);

/// First interval between two comparisons. A fleet that starts all at once learns
/// little by joining, as nobody knows much yet.
const FIRST_SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// A round of comparisons that brings more new reports than this is soon repeated.
const MUCH_LEARNT: usize = 32;

/// The messages of a comparison, after the opening with the asker's digests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SyncMessage {
    /// Reports that the other side may lack.
    States(Vec<MemberState>),
    /// No more reports follow in this direction. The answering side ends with the
    /// digests of its table, the asking side has sent its own with the opening.
    End(Vec<u64>),
}

impl ControlMessage for SyncMessage {
    fn kind(&self) -> MessageKind {
        MessageKind::Sync
    }
}

/// The opening of a comparison.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SyncRequest {
    /// The asker's report of itself.
    pub own: MemberState,
    /// The digests of the asker's table.
    pub digests: Vec<u64>,
}

/// Joins the fleet, then compares until the membership is stopped.
pub(super) async fn run(shared: Arc<Shared>, mut seeds: watch::Receiver<Vec<Seed>>) {
    tokio::select! {
        () = shared.stopped.cancelled() => return,
        () = join(&shared, &mut seeds) => {}
    }
    shared.joined.send_replace(true);
    let first_interval = FIRST_SYNC_INTERVAL.min(shared.timing.sync_interval);
    let mut interval = first_interval;
    loop {
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            () = tokio::time::sleep(jittered(interval)) => {}
        }
        let seeds = seeds.borrow().clone();
        let learnt = compare_with_neighbour(&shared).await
            + compare_with_other_zones(&shared).await
            + compare_with_unknown_seed(&shared, &seeds).await;
        // Where there was much to learn, there is probably more.
        interval = if learnt > MUCH_LEARNT {
            first_interval
        } else {
            (interval * 2).min(shared.timing.sync_interval)
        };
    }
}

/// Returns once one other node was met, or the list names no other.
async fn join(shared: &Arc<Shared>, seeds: &mut watch::Receiver<Vec<Seed>>) {
    let mut pause = FIRST_JOIN_PAUSE;
    loop {
        let others = other_seeds(shared, &seeds.borrow_and_update());
        if let Some(seed) = choose(shared, &others) {
            match compare(shared, seed.control_address, Spread::Nothing).await {
                Ok(_) => return,
                Err(error) => {
                    log::debug!(node:% = seed.node, error:% = error; "a seed could not be met");
                }
            }
        } else if !seeds.borrow().is_empty() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(jittered(pause)) => {}
            Ok(()) = seeds.changed() => {}
        }
        pause = (pause * 2).min(LONGEST_JOIN_PAUSE);
    }
}

fn other_seeds(shared: &Shared, seeds: &[Seed]) -> Vec<Seed> {
    seeds
        .iter()
        .filter(|seed| seed.node != shared.own.node)
        .cloned()
        .collect()
}

/// A seed at random, more often one of the own zone than not.
fn choose(shared: &Shared, seeds: &[Seed]) -> Option<Seed> {
    let mut random = rand::rng();
    let near: Vec<_> = seeds
        .iter()
        .filter(|seed| seed.zone == shared.own.zone)
        .collect();
    if random.random_bool(0.75)
        && let Some(seed) = near.choose(&mut random)
    {
        return Some((*seed).clone());
    }
    seeds.choose(&mut random).cloned()
}

async fn compare_with_neighbour(shared: &Arc<Shared>) -> usize {
    let differs = {
        let state = shared.state();
        state.heard_digest != state.table.digest()
    };
    if !differs {
        return 0;
    }
    let address = {
        let view = shared.view.borrow();
        let neighbours: Vec<_> = view
            .zone_members(&shared.own.zone)
            .filter(|member| member.record.node != shared.own.node)
            .map(|member| member.record.control_address)
            .collect();
        neighbours.choose(&mut rand::rng()).copied()
    };
    compare_if_some(shared, address).await
}

/// A representative also compares with another zone or region, one at a time.
async fn compare_with_other_zones(shared: &Arc<Shared>) -> usize {
    let view = shared.view.borrow().clone();
    let duties = duties_of(shared, &view);
    let groups: Vec<_> = duties.zones.iter().chain(&duties.regions).collect();
    let address = groups
        .choose(&mut rand::rng())
        .and_then(|group| group.any_node());
    compare_if_some(shared, address).await
}

/// Meets a node that the list names and nobody has told of: perhaps a part of the
/// fleet that was cut off.
async fn compare_with_unknown_seed(shared: &Arc<Shared>, seeds: &[Seed]) -> usize {
    let address = {
        let view = shared.view.borrow();
        let unknown: Vec<_> = seeds
            .iter()
            .filter(|seed| view.get(&seed.node).is_none())
            .map(|seed| seed.control_address)
            .collect();
        unknown.choose(&mut rand::rng()).copied()
    };
    compare_if_some(shared, address).await
}

async fn compare_if_some(shared: &Arc<Shared>, address: Option<SocketAddr>) -> usize {
    let Some(address) = address else {
        return 0;
    };
    match compare(shared, address, Spread::Few).await {
        Ok(learnt) => learnt,
        Err(error) => {
            log::debug!(address:% = address, error:% = error; "comparing the membership failed");
            0
        }
    }
}

/// Compares with the node at `address`; both sides end with the later reports.
/// Returns how many were new here.
async fn compare(
    shared: &Arc<Shared>,
    address: SocketAddr,
    spread: Spread,
) -> Result<usize, ConnectionError> {
    let limit = shared.timing.sync_timeout;
    let (mut sender, mut receiver) = connect(address, limit, &shared.links).await?;
    let request = {
        let state = shared.state();
        SyncRequest {
            own: state.table.own_state().clone(),
            digests: state.table.digests().to_vec(),
        }
    };
    let opening = Opening::Sync {
        version: PROTOCOL_VERSION,
        request,
    };
    sender.send(&opening).await?;
    let theirs = receive_states(&mut receiver, limit).await?;
    let newer_here = newer_here(shared, &theirs);
    let learnt = merge(shared, theirs, spread);
    send_states(&mut sender, Vec::new(), newer_here).await?;
    Ok(learnt)
}

/// Serves a comparison that another node has opened.
pub(crate) async fn serve(
    membership: &Membership,
    request: SyncRequest,
    mut sender: MessageSender,
    mut receiver: MessageReceiver,
) -> Result<(), ConnectionError> {
    let shared = &membership.shared;
    let (digests, differing) = {
        let state = shared.state();
        let digests = state.table.digests().to_vec();
        (digests, state.table.differing(&request.digests))
    };
    shared.merge([Delta::Full(request.own)], Spread::News);
    send_states(&mut sender, digests, differing).await?;
    let theirs = receive_states(&mut receiver, shared.timing.sync_timeout).await?;
    merge(shared, theirs, Spread::Few);
    Ok(())
}

/// What this node knows better, in the parts of the table that differ.
fn newer_here(shared: &Shared, theirs: &Part) -> Vec<MemberState> {
    let known_there: HashMap<_, _> = theirs
        .states
        .iter()
        .map(|state| (&state.record.node, state))
        .collect();
    let mut own = shared.state().table.differing(&theirs.digests);
    own.retain(|state| {
        known_there
            .get(&state.record.node)
            .is_none_or(|known| state.supersedes(known))
    });
    own
}

fn merge(shared: &Shared, part: Part, spread: Spread) -> usize {
    shared.merge(part.states.into_iter().map(Delta::Full), spread)
}

async fn send_states(
    sender: &mut MessageSender,
    digests: Vec<u64>,
    states: Vec<MemberState>,
) -> Result<(), ConnectionError> {
    for part in states.chunks(STATES_PER_MESSAGE) {
        sender.send(&SyncMessage::States(part.to_vec())).await?;
    }
    sender.send(&SyncMessage::End(digests)).await
}

/// What one side of a comparison has sent.
#[derive(Debug, Default)]
struct Part {
    digests: Vec<u64>,
    states: Vec<MemberState>,
}

async fn receive_states(
    receiver: &mut MessageReceiver,
    limit: Duration,
) -> Result<Part, ConnectionError> {
    let mut part = Part::default();
    loop {
        match receiver.receive_within(limit).await? {
            SyncMessage::States(states) => part.states.extend(states),
            SyncMessage::End(digests) => {
                part.digests = digests;
                return Ok(part);
            }
        }
    }
}

/// Between a half and one and a half of `interval`.
fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.5..1.5))
}
