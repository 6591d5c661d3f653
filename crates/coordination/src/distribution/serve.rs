//! The server side of the distribution: subscriptions and questions of others.

use super::Distribution;
use super::message::{
    ChildMessage, HeadAnswer, ParentMessage, SnapshotPart, SubscribeRequest, ZoneMessage,
};
use super::shared::Shared;
use super::store::Continuation;
use super::tree::Role;
use crate::control::connection::{ConnectionError, ControlMessage, MessageReceiver, MessageSender};
use crate::revision::Revision;
use std::sync::atomic::Ordering;
use tokio::time::{Instant, MissedTickBehavior};

/// Changes taken from memory at a time.
const CHANGES_AT_A_TIME: usize = 64;

/// Bytes in each piece of a snapshot.
const SNAPSHOT_PART_BYTES: usize = 256 * 1_024;

/// A node serves at most this many times the average number of subscribers.
const MOST_CHILDREN_FACTOR: usize = 4;

/// Serves a node that subscribes, until either side ends the connection.
pub(crate) async fn subscription(
    distribution: &Distribution,
    request: SubscribeRequest,
    mut sender: MessageSender,
    mut receiver: MessageReceiver,
) -> Result<(), ConnectionError> {
    let shared = &distribution.shared;
    let most = shared.config.degree * MOST_CHILDREN_FACTOR;
    let child = ChildCount::new(shared);
    if child.number > most {
        return send(shared, &mut sender, &ParentMessage::Refused).await;
    }
    tokio::select! {
        () = shared.stopped.cancelled() => Ok(()),
        result = feed(shared, request.from, &mut sender) => result,
        result = listen(shared, &mut receiver) => result,
    }
}

/// One of the node's children, counted while it lives.
struct ChildCount<'a> {
    shared: &'a Shared,
    number: usize,
}

impl<'a> ChildCount<'a> {
    fn new(shared: &'a Shared) -> Self {
        let number = shared.children.fetch_add(1, Ordering::SeqCst) + 1;
        Self { shared, number }
    }
}

impl Drop for ChildCount<'_> {
    fn drop(&mut self) {
        self.shared.children.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Takes in the child's reports; ends when it is silent.
async fn listen(shared: &Shared, receiver: &mut MessageReceiver) -> Result<(), ConnectionError> {
    let child = shared.reports.child();
    loop {
        let limit = shared.config.silence_timeout;
        match receiver.receive_within(limit).await? {
            ChildMessage::Report(report) => child.set(report),
            ChildMessage::Heartbeat => {}
        }
    }
}

/// Sends the changes after `from`, and those to come, in order.
async fn feed(
    shared: &Shared,
    from: Revision,
    sender: &mut MessageSender,
) -> Result<(), ConnectionError> {
    let mut applied = shared.store.applied();
    let mut in_force = shared.in_force.subscribe();
    in_force.mark_changed();
    let mut heartbeats = tokio::time::interval(shared.config.heartbeat_interval);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sent = from;
    loop {
        applied.mark_unchanged();
        sent = send_new(shared, sent, sender).await?;
        tokio::select! {
            _ = applied.changed() => {}
            _ = in_force.changed() => {
                let message = ParentMessage::InForce((**in_force.borrow_and_update()).clone());
                send(shared, sender, &message).await?;
            }
            _ = heartbeats.tick() => {
                let message = ParentMessage::Heartbeat(shared.store.revision());
                send(shared, sender, &message).await?;
            }
        }
    }
}

/// Sends everything after `sent` and returns the last revision sent.
async fn send_new(
    shared: &Shared,
    mut sent: Revision,
    sender: &mut MessageSender,
) -> Result<Revision, ConnectionError> {
    loop {
        match shared.store.after(sent, CHANGES_AT_A_TIME) {
            Continuation::Nothing => return Ok(sent),
            Continuation::Changes(changes) => {
                for change in changes {
                    sent = change.revision;
                    send(shared, sender, &ParentMessage::Change(change)).await?;
                }
            }
            Continuation::Snapshot => sent = send_snapshot(shared, sender).await?,
        }
    }
}

async fn send_snapshot(
    shared: &Shared,
    sender: &mut MessageSender,
) -> Result<Revision, ConnectionError> {
    let snapshot = shared.store.snapshot().await;
    let mut rest = snapshot.body;
    loop {
        let body = rest.split_to(rest.len().min(SNAPSHOT_PART_BYTES));
        let part = SnapshotPart {
            revision: snapshot.revision,
            last: rest.is_empty(),
            body,
        };
        let last = part.last;
        send(shared, sender, &ParentMessage::SnapshotPart(part)).await?;
        if last {
            return Ok(snapshot.revision);
        }
    }
}

/// Tells a relay of another zone what is in force in this one, as long as this
/// node is a relay.
pub(crate) async fn zone_in_force(
    distribution: &Distribution,
    mut sender: MessageSender,
) -> Result<(), ConnectionError> {
    let shared = &distribution.shared;
    let mut report = shared.own_zone.subscribe();
    loop {
        let message = match report.borrow_and_update().clone() {
            Some(in_force) => ZoneMessage::InForce(in_force),
            None => ZoneMessage::NotRelay,
        };
        send(shared, &mut sender, &message).await?;
        if matches!(message, ZoneMessage::NotRelay) {
            return Ok(());
        }
        let quiet_until = Instant::now() + shared.config.heartbeat_interval;
        tokio::select! {
            () = shared.stopped.cancelled() => return Ok(()),
            _ = report.changed() => {}
            () = tokio::time::sleep_until(quiet_until) => {}
        }
    }
}

/// Answers the question for the highest revision.
pub(crate) async fn head(
    distribution: &Distribution,
    mut sender: MessageSender,
) -> Result<(), ConnectionError> {
    let shared = &distribution.shared;
    let answer = head_answer(shared).await;
    send(shared, &mut sender, &answer).await
}

/// What this node knows of the highest revision.
pub(super) async fn head_answer(shared: &Shared) -> HeadAnswer {
    let is_relay = shared.place.borrow().role != Role::Subscriber;
    if is_relay
        && let Ok(Some(head)) =
            tokio::time::timeout(shared.config.poll_timeout, shared.reads.fresh_head()).await
    {
        return HeadAnswer::Read(head);
    }
    if shared.caught_up.borrow().is_some() {
        HeadAnswer::Applied(shared.store.revision())
    } else {
        HeadAnswer::Starting
    }
}

async fn send<M: ControlMessage>(
    shared: &Shared,
    sender: &mut MessageSender,
    message: &M,
) -> Result<(), ConnectionError> {
    tokio::time::timeout(shared.config.silence_timeout, sender.send(message))
        .await
        .map_err(|_| ConnectionError::Silent)?
}
