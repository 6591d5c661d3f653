//! How a replica receives and replays the log of its primary.

use super::cluster::Cluster;
use super::log::LogEntry;
use super::member::Member;
use super::state::Role;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{Instant as TimerInstant, sleep_until};

/// How often a replica without news looks for a primary.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);

/// What a replica takes from its primary at one moment.
struct Delivery {
    /// The primary's term.
    term: u32,
    /// How many entries come before these.
    start: usize,
    entries: Vec<Arc<LogEntry>>,
    /// When the next one is due.
    next_due: Option<Instant>,
}

/// Receives the primary's log for as long as the member is served.
pub(crate) async fn receive(cluster: Arc<Cluster>, member: Arc<Member>) {
    loop {
        member.acting().await;
        let Some(primary) = cluster.primary_within_reach(&member) else {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        };
        let mut primary_changes = primary.changes();
        let mut own_changes = member.changes();
        own_changes.mark_unchanged();
        let delivery = collect(&member, &primary);
        accept(&member, &delivery);
        let wake = delivery
            .next_due
            .unwrap_or_else(|| Instant::now() + IDLE_INTERVAL);
        tokio::select! {
            _ = primary_changes.changed() => {}
            _ = own_changes.changed() => {}
            () = sleep_until(TimerInstant::from_std(wake)) => {}
        }
    }
}

fn collect(member: &Member, primary: &Member) -> Delivery {
    let delay = Duration::from_millis(member.tunables().lag.receive_ms);
    let start = member.state().log.len();
    let now = Instant::now();
    let state = primary.state();
    let waiting = state.log.since(start);
    let due = |entry: &&Arc<LogEntry>| entry.committed_at + delay <= now;
    let entries: Vec<_> = waiting.iter().take_while(due).cloned().collect();
    let next_due = waiting
        .get(entries.len())
        .map(|entry| entry.committed_at + delay);
    Delivery {
        term: state.term,
        start,
        entries,
        next_due,
    }
}

/// Appends a delivery, unless an election or a rebuild came in between.
fn accept(member: &Member, delivery: &Delivery) {
    let mut state = member.state();
    let fits = state.role == Role::Replica
        && state.term == delivery.term
        && state.log.len() == delivery.start;
    if !fits || delivery.entries.is_empty() {
        return;
    }
    for entry in &delivery.entries {
        state.receive(entry.clone());
    }
    drop(state);
    member.notify();
}

/// Replays what was received for as long as the member is served.
pub(crate) async fn replay(member: Arc<Member>) {
    let mut changes = member.changes();
    loop {
        member.acting().await;
        changes.mark_unchanged();
        match replay_due(&member) {
            Some(due) => {
                tokio::select! {
                    _ = changes.changed() => {}
                    () = sleep_until(TimerInstant::from_std(due)) => {}
                }
            }
            None => {
                let _ = changes.changed().await;
            }
        }
    }
}

/// Replays what is due, and returns when the next entry will be.
fn replay_due(member: &Member) -> Option<Instant> {
    loop {
        let lag = Duration::from_millis(member.tunables().lag.replay_ms);
        let mut state = member.state();
        let due = state.next_received_at()? + lag;
        if due > Instant::now() {
            return Some(due);
        }
        state.replay_next();
    }
}
