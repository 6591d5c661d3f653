//! Queries to peers while the store is unavailable.
//!
//! A process that can't reach the store, or whose calls the store refuses, queries a few peers for
//! the leadership records and for evidence that a leader's term continues. Peers gain such
//! evidence from the commits that pass through them. Peers aren't queried while the store answers.

pub mod declared;
pub mod message;
mod tcp;

pub use tcp::{TcpPeers, serve};

use crate::decoding::{DecodeError, UndecodableKind, report_undecodable};
use crate::engine::Engine;
use crate::events::millis;
use crate::group::{PositionSource, UsableLeader};
use crate::leadership::fleet;
use crate::leadership::follower::VersionedTerm;
use crate::leadership::record::TermRecord;
use crate::names::GroupName;
use crate::ports::{CoveringSnapshot, GroupSnapshot, LeaderSnapshot, PeerError, TermSnapshot};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use message::{Query, QueryAnswer};
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Maximum number of groups in one query.
const MAX_GROUPS: usize = 1_000;
/// Number of peers that one query is sent to.
const PEERS_PER_QUERY: usize = 3;
/// Timeout for their answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// This process's answer to `query`, which has just arrived. `None` if the query names too many
/// groups or opens a link.
pub fn answer(engine: &Engine, query: Query) -> Option<QueryAnswer> {
    match query {
        Query::Beliefs(groups) => {
            let group_snapshots = known_group_snapshots(engine, groups)?;
            Some(QueryAnswer::Beliefs(group_snapshots))
        }
        Query::Declared(versions) => {
            let newer = declared::newer(engine, versions, Instant::now());
            Some(QueryAnswer::Declared(Box::new(newer)))
        }
        Query::Link => None,
    }
}

/// Snapshots of those `groups` that are in the directory. Other names are ignored, so that a
/// query can't create groups.
fn known_group_snapshots(engine: &Engine, groups: Vec<GroupName>) -> Option<Vec<GroupSnapshot>> {
    if groups.len() > MAX_GROUPS {
        return None;
    }
    let known = engine.directory().groups();
    let named = groups.into_iter().filter(|group| known.contains(group));
    Some(group_snapshots(engine, &named.collect::<Vec<GroupName>>()))
}

/// This process's current view of `groups`.
pub fn group_snapshots(engine: &Engine, groups: &[GroupName]) -> Vec<GroupSnapshot> {
    groups.iter().map(|name| snapshot(engine, name)).collect()
}

fn snapshot(engine: &Engine, name: &GroupName) -> GroupSnapshot {
    let group = engine.group(name);
    let now = Instant::now();
    let age_ms = |at: Instant| millis(now.duration_since(at)) + 1;
    let (view, evidence) = group.view_with_evidence();
    let covering = group.samples_to_share().into_iter();
    let covering = covering.map(|sample| CoveringSnapshot {
        position: sample.position,
        age_ms: age_ms(sample.at),
    });
    let term = engine.terms().known(name).map(|term| term.to_snapshot());
    let leader = view.target().map(|member| LeaderSnapshot {
        member: member.clone(),
        confirmed: view.confirmed,
        evidence_age_ms: evidence.map(age_ms),
    });
    GroupSnapshot {
        group: name.clone(),
        epoch: view.epoch,
        leader,
        covering: covering.collect(),
        term,
    }
}

/// Queries a few peers about `groups` and applies their answers.
pub async fn query(engine: &Engine, groups: &[GroupName]) {
    let requested_at = Instant::now();
    let until = requested_at + ANSWER_TIMEOUT;
    let peers = choose_peers(engine);
    let queries = peers
        .iter()
        .map(async |peer| (*peer, engine.peers().query_groups(*peer, groups).await));
    let mut answers: FuturesUnordered<_> = queries.collect();
    while let Ok(Some((peer, answer))) = timeout_at(until, answers.next()).await {
        let Some(group_snapshots) = received(engine, peer, answer) else {
            continue;
        };
        group_snapshots
            .into_iter()
            .for_each(|snapshot| apply(engine, snapshot, requested_at));
    }
    count_queries("unanswered", answers.len());
}

/// The answer of `peer`, if it has sent one. Counts the query by its outcome, and reports an
/// answer that can't be used.
fn received<T>(engine: &Engine, peer: SocketAddr, answer: Result<T, PeerError>) -> Option<T> {
    match answer {
        Ok(answer) => {
            count_queries("answered", 1);
            metrics::counter!("stilequay_peer_answers_total").increment(1);
            return Some(answer);
        }
        Err(PeerError::Unreachable(_)) => count_queries("unreachable", 1),
        Err(PeerError::Protocol(error)) => {
            count_queries("undecodable", 1);
            let (events, kind) = (engine.events(), UndecodableKind::PeerAnswer);
            report_undecodable(events, kind, peer, None, &DecodeError::Answer(error));
        }
    }
    None
}

fn count_queries(outcome: &'static str, count: usize) {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    metrics::counter!("stilequay_peer_queries_total", "outcome" => outcome).increment(count);
}

fn choose_peers(engine: &Engine) -> Vec<SocketAddr> {
    let peers = fleet::peers(engine);
    let chosen = peers.sample(&mut rand::rng(), PEERS_PER_QUERY);
    chosen.copied().collect()
}

/// Applies a peer's term record of `group`. One that can't be decoded is ignored, since the rest of
/// the snapshot is only applied to the epoch that it belongs to.
fn apply_term(engine: &Engine, group: &str, term: &TermSnapshot) {
    match VersionedTerm::decode(&term.value, term.version) {
        Ok(term) => engine.terms().apply_one(engine, term, None),
        Err(error) => {
            let (events, kind) = (engine.events(), UndecodableKind::TermRecord);
            report_undecodable(events, kind, TermRecord::key(group), None, &error.into());
        }
    }
}

/// Applies a peer's snapshot of a group. `requested_at` is the time at which the query was sent.
pub(crate) fn apply(engine: &Engine, snapshot: GroupSnapshot, requested_at: Instant) {
    if let Some(term) = &snapshot.term {
        apply_term(engine, &snapshot.group, term);
    }
    let group = engine.group(&snapshot.group);
    let before = |age_ms: u64| requested_at.checked_sub(Duration::from_millis(age_ms));
    if let Some(LeaderSnapshot {
        member,
        confirmed,
        evidence_age_ms,
    }) = snapshot.leader
    {
        let epoch = snapshot.epoch;
        let leader = UsableLeader { member, epoch };
        if confirmed {
            group.confirm_leader(&leader);
        }
        if let Some(at) = evidence_age_ms.and_then(before) {
            group.record_evidence(&leader, at);
        }
    }
    for covering in snapshot.covering {
        if let Some(at) = before(covering.age_ms)
            && group.view().epoch == snapshot.epoch
        {
            group.record_covering_position(at, covering.position, PositionSource::Peer);
        }
    }
}
