//! The task that reads datagrams.

use super::audience::Audience;
use super::datagram::{Datagram, Header, ProbeId, Purpose, decode};
use super::merge::Spread;
use super::probe::probe_for_another;
use super::shared::Shared;
use crate::identity::NodeId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The largest datagram that UDP can carry.
const RECEIVE_BUFFER: usize = 65_536;

/// How long to wait after a failed read of the socket.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(20);

/// Reads datagrams until the membership is stopped.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut buffer = vec![0; RECEIVE_BUFFER];
    loop {
        let received = tokio::select! {
            () = shared.stopped.cancelled() => return,
            received = shared.socket.recv_from(&mut buffer) => received,
        };
        match received {
            Ok((length, source)) => take(&shared, &buffer[..length], source).await,
            Err(error) => {
                // For example an ICMP error caused by a datagram sent earlier.
                log::debug!(error:% = error; "reading a datagram failed");
                tokio::time::sleep(PAUSE_AFTER_ERROR).await;
            }
        }
    }
}

async fn take(shared: &Arc<Shared>, bytes: &[u8], source: SocketAddr) {
    if !shared.links.policy.permits(source) {
        return;
    }
    let Datagram { header, deltas } = match decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::debug!(source:% = source, error:% = error; "a datagram was dropped");
            return;
        }
    };
    if header.sender == shared.own.node {
        return;
    }
    shared
        .links
        .traffic
        .received(header.purpose.kind(), bytes.len());
    shared.merge(deltas, Spread::News);
    note_sender(shared, &header);
    answer(shared, header, source).await;
}

/// Takes in what the header says of its sender and of the zones.
fn note_sender(shared: &Shared, header: &Header) {
    let now = Instant::now();
    let mut guard = shared.state();
    let state = &mut *guard;
    state.contacts.told(&header.contacts, now);
    state.last_heard = Some((now, header.sender.clone()));
    if let Some(entry) = state.table.get(&header.sender) {
        state.contacts.heard(&entry.state.record.zone, now);
        if entry.state.record.zone == shared.own.zone {
            state.heard_digest = header.digest;
        }
        match state.revisions.get_mut(&header.sender) {
            Some(revision) => *revision = header.revision,
            None => {
                state
                    .revisions
                    .insert(header.sender.clone(), header.revision);
            }
        }
    }
    drop(guard);
    shared.highest_revision.send_if_modified(|highest| {
        let higher = header.revision > *highest;
        if higher {
            *highest = header.revision;
        }
        higher
    });
}

async fn answer(shared: &Arc<Shared>, header: Header, source: SocketAddr) {
    match header.purpose {
        Purpose::Probe(id) => acknowledge(shared, id, &header.sender, source).await,
        Purpose::Acknowledge(id) => shared.acknowledged(id),
        Purpose::ProbeFor(id, target) => {
            let shared = shared.clone();
            tokio::spawn(probe_for_another(shared, id, source, target));
        }
        Purpose::Exchange => {
            reply_to_exchange(shared, &header.sender, source).await;
        }
        Purpose::Gossip | Purpose::ExchangeReply => {}
    }
}

async fn reply_to_exchange(shared: &Shared, sender: &NodeId, source: SocketAddr) {
    let record = {
        let state = shared.state();
        let entry = state.table.get(sender);
        entry.map(|entry| entry.state.record.clone())
    };
    if let Some(record) = record {
        let audience = Audience::of(&shared.own, &record.zone, &record.region);
        let reply = Purpose::ExchangeReply;
        shared.send(source, reply, &audience, None).await;
    }
}

async fn acknowledge(shared: &Shared, id: ProbeId, sender: &NodeId, source: SocketAddr) {
    // A node that was given up here learns of it, so that it can refute.
    let outdated = is_doubted(shared, sender).then_some(sender);
    let acknowledgement = Purpose::Acknowledge(id);
    shared
        .send(source, acknowledgement, &Audience::OwnZone, outdated)
        .await;
}

fn is_doubted(shared: &Shared, node: &NodeId) -> bool {
    let state = shared.state();
    state
        .table
        .get(node)
        .is_some_and(|entry| entry.state.status.is_doubted())
}
