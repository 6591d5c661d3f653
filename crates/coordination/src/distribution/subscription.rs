//! The tasks that hold this node's subscriptions to its parents.

use super::in_force::InForce;
use super::message::{ChildMessage, ParentMessage, SnapshotPart, SubscribeRequest, SubtreeReport};
use super::port::Snapshot;
use super::shared::Shared;
use super::store::StoreError;
use super::tree::Role;
use crate::control::connection::{ConnectionError, MessageReceiver, MessageSender, connect};
use crate::control::{Opening, PROTOCOL_VERSION};
use crate::identity::NodeId;
use quick_error::quick_error;
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Pause after none of the candidates could be subscribed to.
const PAUSE_BETWEEN_ROUNDS: Duration = Duration::from_millis(300);

/// A node that had to take another than its best parent tries again after so long.
const RETURN_AFTER: Duration = Duration::from_secs(10);

/// The most bytes of a snapshot that are taken in.
const SNAPSHOT_LIMIT: usize = 256 * 1_024 * 1_024;

quick_error! {
    /// Why a subscription ended.
    #[derive(Debug)]
    pub enum SubscriptionError {
        /// The connection failed.
        Connection(error: ConnectionError) {
            display("{error}")
            from()
        }
        /// What came could not be applied.
        Store(error: StoreError) {
            display("{error}")
            from()
        }
        /// The parent serves enough others.
        Refused {
            display("the node serves enough others")
        }
    }
}

/// Holds subscription number `slot` of this node's place in the tree.
pub(super) async fn run(shared: Arc<Shared>, slot: usize) {
    let mut place = shared.place.subscribe();
    loop {
        let candidates = candidates(&shared, &mut place, slot);
        if candidates.is_empty() {
            tokio::select! {
                () = shared.stopped.cancelled() => return,
                _ = place.changed() => continue,
            }
        }
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            () = one_round(&shared, slot, &candidates) => {}
        }
        shared.in_force.withdraw(slot);
        let pause = PAUSE_BETWEEN_ROUNDS.mul_f64(rand::rng().random_range(0.5..1.5));
        tokio::time::sleep(pause).await;
    }
}

fn candidates(
    shared: &Shared,
    place: &mut watch::Receiver<super::tree::Place>,
    slot: usize,
) -> Vec<NodeId> {
    let place = place.borrow_and_update();
    let all = place.subscriptions.get(slot).cloned().unwrap_or_default();
    all.into_iter()
        .filter(|node| *node != shared.own().node)
        .collect()
}

/// Subscribes to the first candidate that serves, until the subscription ends.
async fn one_round(shared: &Arc<Shared>, slot: usize, candidates: &[NodeId]) {
    for (index, parent) in candidates.iter().enumerate() {
        let Some(address) = shared.address_of(parent) else {
            continue;
        };
        let started = Instant::now();
        tokio::select! {
            result = subscribe(shared, slot, address) => {
                if let Err(error) = result {
                    log::debug!(parent:% = parent, error:% = error; "a subscription ended");
                }
            }
            () = better_parent(shared, slot, parent, index) => return,
        }
        if started.elapsed() > RETURN_AFTER {
            return;
        }
    }
}

/// Returns when the subscription should move from `parent` to a better one.
async fn better_parent(shared: &Shared, slot: usize, parent: &NodeId, index: usize) {
    let moved = async {
        let mut place = shared.place.subscribe();
        let changed = place.wait_for(|place| {
            let best = place.subscriptions.get(slot).and_then(|all| all.first());
            best != Some(parent) && index == 0
        });
        if changed.await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    let time_to_return = async {
        if index == 0 {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(RETURN_AFTER).await;
    };
    tokio::select! {
        () = moved => {}
        () = time_to_return => {}
    }
}

/// Subscribes to the node at `address` and applies what it sends.
async fn subscribe(
    shared: &Arc<Shared>,
    slot: usize,
    address: SocketAddr,
) -> Result<(), SubscriptionError> {
    let (mut sender, mut receiver) = open(shared, address).await?;
    tokio::select! {
        result = report(shared, &mut sender) => result,
        result = receive(shared, Some(slot), &mut receiver) => result,
    }
}

/// Subscribes to the node at `address` until this node has applied what it has;
/// mends what the regular subscriptions failed to bring.
pub(super) async fn catch_up_from(
    shared: &Arc<Shared>,
    address: SocketAddr,
) -> Result<(), SubscriptionError> {
    let (_sender, mut receiver) = open(shared, address).await?;
    receive(shared, None, &mut receiver).await
}

async fn open(
    shared: &Shared,
    address: SocketAddr,
) -> Result<(MessageSender, MessageReceiver), SubscriptionError> {
    let links = shared.membership.links();
    let (mut sender, receiver) = connect(address, shared.config.connect_timeout, links).await?;
    let request = SubscribeRequest {
        node: shared.own().node.clone(),
        from: shared.store.revision(),
    };
    let opening = Opening::Subscribe {
        version: PROTOCOL_VERSION,
        request,
    };
    sender.send(&opening).await?;
    Ok((sender, receiver))
}

async fn receive(
    shared: &Shared,
    slot: Option<usize>,
    receiver: &mut MessageReceiver,
) -> Result<(), SubscriptionError> {
    let mut snapshot = Vec::new();
    loop {
        let limit = shared.config.silence_timeout;
        match receiver.receive_within(limit).await? {
            ParentMessage::Change(change) => shared.store.apply(change).await?,
            ParentMessage::SnapshotPart(part) => take_part(shared, &mut snapshot, part).await?,
            ParentMessage::Heartbeat(revision) => {
                if slot.is_none() && revision <= shared.store.revision() {
                    return Ok(());
                }
            }
            ParentMessage::InForce(in_force) => keep_in_force(shared, slot, in_force),
            ParentMessage::Refused => return Err(SubscriptionError::Refused),
        }
    }
}

fn keep_in_force(shared: &Shared, slot: Option<usize>, in_force: InForce) {
    if let Some(slot) = slot {
        shared.in_force.told(slot, in_force);
    }
}

async fn take_part(
    shared: &Shared,
    collected: &mut Vec<u8>,
    part: SnapshotPart,
) -> Result<(), SubscriptionError> {
    if collected.len() + part.body.len() > SNAPSHOT_LIMIT {
        return Err(ConnectionError::Protocol("the snapshot is too large").into());
    }
    collected.extend_from_slice(&part.body);
    if part.last {
        let snapshot = Snapshot {
            revision: part.revision,
            body: std::mem::take(collected).into(),
        };
        shared.store.install(snapshot).await?;
    }
    Ok(())
}

/// Reports what the subtree has applied, at each change and as a sign of life.
async fn report(shared: &Shared, sender: &mut MessageSender) -> Result<(), SubscriptionError> {
    let mut children = shared.reports.changed();
    let mut applied = shared.store.applied();
    let mut caught_up = shared.caught_up.subscribe();
    let mut sent = None;
    loop {
        children.mark_unchanged();
        applied.mark_unchanged();
        caught_up.mark_unchanged();
        let report = own_report(shared);
        if sent.as_ref() == Some(&report) {
            send(shared, sender, &ChildMessage::Heartbeat).await?;
        } else {
            send(shared, sender, &ChildMessage::Report(report.clone())).await?;
            sent = Some(report);
        }
        tokio::time::sleep(shared.config.report_interval).await;
        let quiet_until = Instant::now() + shared.config.heartbeat_interval;
        tokio::select! {
            _ = children.changed() => {}
            _ = applied.changed() => {}
            _ = caught_up.changed() => {}
            () = tokio::time::sleep_until(quiet_until) => {}
        }
    }
}

/// A relay reports only itself: its parent is the other relay, to which the nodes
/// of the zone report as well.
fn own_report(shared: &Shared) -> SubtreeReport {
    let own = shared.own_state();
    if shared.place.borrow().role == Role::Subscriber {
        shared.reports.subtree(&own)
    } else {
        own.report()
    }
}

async fn send(
    shared: &Shared,
    sender: &mut MessageSender,
    message: &ChildMessage,
) -> Result<(), SubscriptionError> {
    tokio::time::timeout(shared.config.silence_timeout, sender.send(message))
        .await
        .map_err(|_| ConnectionError::Silent)??;
    Ok(())
}
