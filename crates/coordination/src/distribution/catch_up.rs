//! The tasks that see to it that a node has all changes: when it starts, and when
//! its subscriptions fail to bring what others have.

use super::CaughtUp;
use super::message::HeadAnswer;
use super::serve::head_answer;
use super::shared::Shared;
use super::subscription::catch_up_from;
use crate::control::connection::{ConnectionError, connect};
use crate::control::{Opening, PROTOCOL_VERSION};
use crate::identity::NodeId;
use crate::membership::MembershipView;
use crate::revision::Revision;
use futures::future::join_all;
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How many nodes are asked when the source can't be read.
const PEERS_ASKED: usize = 9;

/// How many of them must have caught up and answer, if there are so many.
const PEERS_NEEDED: usize = 3;

/// How long a node tries to meet another one before it reads the source itself.
const JOIN_PATIENCE: Duration = Duration::from_secs(2);

/// Pause between two attempts to learn the highest revision.
const PAUSE: Duration = Duration::from_millis(250);

/// How long a node waits for the revision that it must reach before it asks anew.
const PATIENCE: Duration = Duration::from_secs(10);

/// How long others may be ahead before a node asks one of them directly.
const LAG_TOLERATED: Duration = Duration::from_secs(3);

/// Declares the node caught up once it has applied what it can learn of.
///
/// What the source says must have been read after this node started: so it holds
/// every change that an earlier life of the node can have served.
pub(super) async fn run_start(shared: Arc<Shared>) {
    let mut joined = shared.membership.joined();
    // Where nobody that the list names can be met, the source alone tells enough:
    // to be met is only needed to learn from others instead of from the source.
    let met = tokio::time::timeout(JOIN_PATIENCE, joined.wait_for(|joined| *joined));
    tokio::select! {
        () = shared.stopped.cancelled() => return,
        _ = met => {}
    }
    loop {
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            done = attempt(&shared) => if done { return },
        }
        let pause = PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
        tokio::time::sleep(pause).await;
    }
}

async fn attempt(shared: &Shared) -> bool {
    let Some((target, ground)) = target(shared).await else {
        return false;
    };
    let mut applied = shared.store.applied();
    let reached = applied.wait_for(|applied| *applied >= target);
    if !matches!(tokio::time::timeout(PATIENCE, reached).await, Ok(Ok(_))) {
        return false;
    }
    log::info!(revision:% = target, ground:? = ground; "the node has caught up");
    shared.caught_up.send_replace(Some(ground));
    true
}

/// The revision to reach: the end of the log, or, if no relay can read that, the
/// highest that several others have applied.
async fn target(shared: &Shared) -> Option<(Revision, CaughtUp)> {
    let view = shared.membership.current();
    let relays = shared.place.borrow().relays.clone();
    for relay in &relays {
        if let Ok(HeadAnswer::Read(head)) = ask(shared, &view, relay).await {
            return Some((head, CaughtUp::WithSource));
        }
    }
    let highest = highest_of_peers(shared, &view).await?;
    Some((highest, CaughtUp::WithPeers))
}

async fn highest_of_peers(shared: &Shared, view: &MembershipView) -> Option<Revision> {
    let others: Vec<_> = view
        .members()
        .iter()
        .filter(|member| member.is_reachable() && member.record.node != shared.own().node)
        .map(|member| member.record.node.clone())
        .collect();
    let asked: Vec<_> = others
        .sample(&mut rand::rng(), PEERS_ASKED)
        .cloned()
        .collect();
    let answers = join_all(asked.iter().map(|node| ask(shared, view, node))).await;
    let known: Vec<_> = answers
        .into_iter()
        .filter_map(|answer| match answer {
            Ok(HeadAnswer::Read(revision) | HeadAnswer::Applied(revision)) => Some(revision),
            _ => None,
        })
        .collect();
    let needed = PEERS_NEEDED.min(others.len()).max(1);
    (known.len() >= needed)
        .then(|| known.into_iter().max())
        .flatten()
}

async fn ask(
    shared: &Shared,
    view: &MembershipView,
    node: &NodeId,
) -> Result<HeadAnswer, ConnectionError> {
    if *node == shared.own().node {
        return Ok(head_answer(shared).await);
    }
    let member = view.get(node).ok_or(ConnectionError::Closed)?;
    ask_at(shared, member.record.control_address).await
}

async fn ask_at(shared: &Shared, address: SocketAddr) -> Result<HeadAnswer, ConnectionError> {
    let limit = shared.config.connect_timeout;
    let links = shared.membership.links();
    let (mut sender, mut receiver) = connect(address, limit, links).await?;
    let opening = Opening::Head {
        version: PROTOCOL_VERSION,
    };
    sender.send(&opening).await?;
    receiver
        .receive_within(shared.config.poll_timeout + limit)
        .await
}

/// Asks all relays to read the source now, because a change was accepted here.
pub(super) async fn hasten(shared: Arc<Shared>) {
    let relays = shared.place.borrow().relays.clone();
    let view = shared.membership.current();
    if let Some(first) = relays.first() {
        // The relays read at their own pace should this fail.
        let _ = ask(&shared, &view, first).await;
    }
}

/// Mends a lag that the subscriptions leave: heartbeats tell what others have.
pub(super) async fn run_repair(shared: Arc<Shared>) {
    let mut highest = shared.membership.highest_revision();
    loop {
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            () = lagging(&shared, &mut highest) => {}
        }
        let Some(address) = somebody_ahead(&shared) else {
            continue;
        };
        tokio::select! {
            () = shared.stopped.cancelled() => return,
            result = catch_up_from(&shared, address) => {
                if let Err(error) = result {
                    log::debug!(address:% = address, error:% = error; "catching up failed");
                }
            }
        }
    }
}

/// Returns once others have been ahead for [`LAG_TOLERATED`] without any progress
/// of this node.
async fn lagging(shared: &Shared, highest: &mut tokio::sync::watch::Receiver<Revision>) {
    loop {
        let before = shared.store.revision();
        if highest.wait_for(|highest| *highest > before).await.is_err() {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(LAG_TOLERATED).await;
        if shared.store.revision() == before {
            return;
        }
    }
}

fn somebody_ahead(shared: &Shared) -> Option<SocketAddr> {
    let own = shared.store.revision();
    let view = shared.membership.current();
    let ahead: Vec<_> = view
        .members()
        .iter()
        .filter(|member| {
            let revision = shared.membership.revision_of(&member.record.node);
            revision.is_some_and(|revision| revision > own)
        })
        .map(|member| member.record.control_address)
        .collect();
    ahead.choose(&mut rand::rng()).copied()
}
