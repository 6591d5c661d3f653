//! Waiting for a leader that may be used.

use crate::engine::Engine;
use crate::group::{Group, TERM_LEASE, UsableLeader};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Pause before the store is asked again for evidence.
const EVIDENCE_PAUSE: Duration = Duration::from_millis(40);
/// Evidence with less time left than this is renewed ahead of need.
const RENEW_AHEAD: Duration = Duration::from_millis(150);

/// The leader that may be given writes, if there is one by `until`.
pub async fn writable_leader(group: &Group, until: Instant) -> Option<UsableLeader> {
    let mut changes = group.subscribe();
    loop {
        changes.mark_unchanged();
        let now = Instant::now();
        if let Some(leader) = group.writable_leader(now) {
            return Some(leader);
        }
        if now >= until {
            return None;
        }
        let usable_at = group.view().writable_from.filter(|from| *from > now);
        let wake = usable_at.unwrap_or(until).min(until);
        let _ = timeout_at(wake, changes.changed()).await;
    }
}

/// The leader whose log holds, by the evidence for its term, every commit acknowledged
/// longer than `staleness` ago; the store is asked where evidence is lacking.
pub async fn leased_leader(
    engine: &Engine,
    group: &Group,
    staleness: Duration,
    until: Instant,
) -> Option<UsableLeader> {
    loop {
        let now = Instant::now();
        if let Some(leader) = group.leased_leader(now, staleness) {
            return Some(leader);
        }
        if now >= until {
            return None;
        }
        let refreshed = timeout_at(until, engine.terms().refresh(engine, now)).await;
        let leased = group.leased_leader(Instant::now(), staleness);
        if leased.is_some() {
            return leased;
        }
        if refreshed.is_ok() {
            let pause = Instant::now() + EVIDENCE_PAUSE;
            sleep(pause.min(until).duration_since(Instant::now())).await;
        }
    }
}

/// Whether the evidence for the leader's term is to be renewed before it lapses.
pub fn renewal_is_due(group: &Group, now: Instant) -> bool {
    group
        .evidence()
        .is_some_and(|at| now + RENEW_AHEAD > at + TERM_LEASE)
}

/// Resolves once the leadership of `epoch` is over: another leader is chosen.
pub async fn superseded(group: &Group, epoch: crate::group::Epoch) {
    let mut changes = group.subscribe();
    loop {
        changes.mark_unchanged();
        let view = group.view();
        if view.epoch > epoch && view.writable_from.is_some() {
            return;
        }
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
