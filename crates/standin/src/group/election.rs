//! Terms and elections.
//!
//! Each member looks at those within its reach at every heartbeat. A member that reaches the
//! primary of a higher term follows it; a primary that sees any higher term steps down. A
//! replica that missed a primary for the election timeout calls an election: all within reach
//! vote, and the one with the longest received log wins if they are a majority. A member's log
//! is made a prefix of the new primary's at the moment it takes the new term, so that a position
//! reported in a term always belongs to that term's history.

use super::cluster::{Cluster, Election};
use super::member::{Member, lock};
use super::state::Role;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Lets `member` take part in elections for as long as it is served.
pub(crate) async fn take_part(cluster: Arc<Cluster>, member: Arc<Member>) {
    let interval = Duration::from_millis(cluster.election.heartbeat_ms.max(1));
    loop {
        tokio::time::sleep(interval).await;
        heartbeat(&cluster, &member);
    }
}

fn heartbeat(cluster: &Cluster, member: &Arc<Member>) {
    let coordination = cluster.coordinate();
    if !member.condition().acts() {
        lock(&member.watch).unreachable_since = None;
        return;
    }
    // In this order, so that a winner that was away does not begin in a term that has passed.
    follow_higher_term(cluster, member);
    promote_if_due(cluster, member);
    if misses_primary(cluster, member) {
        elect(cluster, member);
    }
    drop(coordination);
}

/// Makes the winner of a vote accept writes, once it has prepared for it.
fn promote_if_due(cluster: &Cluster, member: &Member) {
    let due = lock(&member.watch)
        .promotion_at
        .take_if(|at| *at <= Instant::now());
    if due.is_none() {
        return;
    }
    let term = {
        let mut state = member.state();
        state.promote();
        state.term
    };
    let mut elections = cluster.elections();
    if let Some(election) = elections.iter_mut().rfind(|election| election.term == term) {
        election.accepting_at_us = Some(now_us());
    }
    log::info!(member:% = member.name, term; "accepts writes");
    drop(elections);
    member.notify();
}

fn follow_higher_term(cluster: &Cluster, member: &Arc<Member>) {
    let own_term = member.state().term;
    let mut highest: Option<(u32, Arc<Member>)> = None;
    let mut seen = own_term;
    for peer in cluster.peers(member) {
        let (role, term) = {
            let state = peer.state();
            (state.role, state.term)
        };
        seen = seen.max(term);
        if role == Role::Primary && highest.as_ref().is_none_or(|(found, _)| term > *found) {
            highest = Some((term, peer.clone()));
        }
    }
    if seen > own_term {
        step_down(member);
        lock(&member.watch).promotion_at = None;
    }
    if let Some((term, primary)) = highest
        && term > own_term
    {
        take_term(member, term, &primary);
    }
}

/// Turns a primary into a replica, and closes its clients' connections.
pub(crate) fn step_down(member: &Member) {
    let mut state = member.state();
    if state.role == Role::Replica {
        return;
    }
    state.role = Role::Replica;
    let term = state.term;
    drop(state);
    member.close_clients();
    member.notify();
    log::info!(member:% = member.name, term; "steps down");
}

/// Makes `member`, a replica, take `term` and continue the log of `leader`.
fn take_term(member: &Member, term: u32, leader: &Member) {
    let tip = member.state().log.tip();
    let copy = {
        let state = leader.state();
        (!state.log.contains(&tip)).then(|| state.copy())
    };
    let mut state = member.state();
    match copy {
        Some(Ok((engine, log))) => {
            let dropped = state.log.end();
            state.rebuild(engine, log);
            log::info!(member:% = member.name, term, dropped; "rebuilt from the primary");
        }
        Some(Err(error)) => {
            log::error!(member:% = member.name, error:% = error; "cannot be rebuilt");
            return;
        }
        None => {}
    }
    state.term = term;
    drop(state);
    lock(&member.watch).promotion_at = None;
    member.notify();
}

/// Whether `member`, a replica, has missed a primary for the election timeout.
fn misses_primary(cluster: &Cluster, member: &Member) -> bool {
    let is_primary = member.state().role == Role::Primary;
    let promises = |other: &Member| lock(&other.watch).promotion_at.is_some();
    let served = is_primary
        || promises(member)
        || cluster.primary_within_reach(member).is_some()
        || cluster.peers(member).any(|peer| promises(peer));
    let mut watch = lock(&member.watch);
    if served {
        watch.unreachable_since = None;
        return false;
    }
    let now = Instant::now();
    match watch.unreachable_since {
        Some(since) => now.duration_since(since) >= watch.timeout,
        None => {
            watch.unreachable_since = Some(now);
            watch.timeout = election_timeout(cluster);
            false
        }
    }
}

fn election_timeout(cluster: &Cluster) -> Duration {
    let jitter = rand::random_range(0..=cluster.election.jitter_ms);
    Duration::from_millis(cluster.election.timeout_ms + jitter)
}

/// Lets everybody within reach of `caller` vote, if they are a majority.
fn elect(cluster: &Cluster, caller: &Arc<Member>) {
    let mut voters: Vec<Arc<Member>> = cluster.peers(caller).cloned().collect();
    voters.push(caller.clone());
    voters.retain(|voter| !voter.condition().leaving);
    if voters.len() < cluster.majority() {
        return;
    }
    let missed = lock(&caller.watch)
        .unreachable_since
        .map(|since| since.elapsed());
    let highest = voters
        .iter()
        .map(|voter| voter.state().term)
        .max()
        .unwrap_or_default();
    let length = |voter: &Arc<Member>| {
        let state = voter.state();
        (state.log.last_term(), state.log.end())
    };
    if let Some(winner) = voters.iter().max_by_key(|voter| length(voter)).cloned() {
        vote(
            cluster,
            &voters,
            &winner,
            highest + 1,
            missed.unwrap_or_default(),
        );
    }
}

/// Makes `voters` take `term` with `winner` as its primary.
pub(crate) fn vote(
    cluster: &Cluster,
    voters: &[Arc<Member>],
    winner: &Arc<Member>,
    term: u32,
    missed: Duration,
) {
    winner.state().replay_all();
    for voter in voters {
        step_down(voter);
        take_term(voter, term, winner);
        lock(&voter.watch).unreachable_since = None;
    }
    cluster.elections().push(Election {
        term,
        primary: winner.name.clone(),
        missed_us: missed.as_micros().try_into().unwrap_or(u64::MAX),
        voted_at_us: now_us(),
        accepting_at_us: None,
    });
    log::info!(winner:% = winner.name, term; "elected");
    let preparation = Duration::from_millis(cluster.election.promotion_ms);
    lock(&winner.watch).promotion_at = Some(Instant::now() + preparation);
    promote_if_due(cluster, winner);
}

/// Makes a member that was not running come back without a claim to lead.
pub(crate) fn stop_leading(member: &Member) {
    step_down(member);
    let mut watch = lock(&member.watch);
    watch.promotion_at = None;
    watch.unreachable_since = None;
}

/// Moves the role of a leaving primary to another member, which first receives its whole log.
pub(crate) fn hand_over(cluster: &Cluster, leaving: &Arc<Member>) {
    let _coordination = cluster.coordinate();
    if leaving.state().role == Role::Replica || !leaving.condition().acts() {
        return;
    }
    let mut voters: Vec<Arc<Member>> = cluster.peers(leaving).cloned().collect();
    voters.retain(|voter| !voter.condition().leaving);
    let Some(successor) = voters.first().cloned() else {
        return;
    };
    if voters.len() < cluster.majority() {
        return;
    }
    step_down(leaving);
    let (log, term) = {
        let state = leaving.state();
        (state.log.clone(), state.term)
    };
    {
        let mut state = successor.state();
        let received = state.log.len();
        log.since(received)
            .iter()
            .for_each(|entry| state.receive(entry.clone()));
    }
    voters.push(leaving.clone());
    vote(cluster, &voters, &successor, term + 1, Duration::ZERO);
}

fn now_us() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_micros().try_into().unwrap_or(u64::MAX)
}
