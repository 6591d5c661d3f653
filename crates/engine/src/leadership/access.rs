//! Waiting for a leader that may be used.

use crate::engine::Engine;
use crate::following;
use crate::group::{Epoch, Group, UsableLeader};
use crate::home;
use crate::leadership::vouching;
use crate::peers;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Pause before the store is asked again for evidence.
const EVIDENCE_PAUSE: Duration = Duration::from_millis(40);
/// How long news of a change of leader that is under way are waited for before anybody is asked:
/// no evidence can be had before its end, which followers hear of within some 50 ms.
const CHANGE_PATIENCE: Duration = Duration::from_millis(400);
/// Age of the newest evidence from which on a process may be cut off.
const CUT_OFF_EVIDENCE: Duration = Duration::from_secs(1);
/// Wait for the store before other processes are asked.
const STORE_PATIENCE: Duration = Duration::from_millis(20);

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
    let mut commits = group.subscribe_evidence();
    loop {
        let mut refreshed = std::pin::pin!(refresh(engine, group, staleness));
        loop {
            commits.mark_unchanged();
            let now = Instant::now();
            if let Some(leader) = group.leased_leader(now, staleness) {
                return Some(leader);
            }
            if now >= until {
                return None;
            }
            // Whichever brings evidence first: who is asked, or a commit of another session.
            // A commit that a slow replica confirms late brings evidence that is too old, again
            // and again: it must not make the asking begin anew.
            tokio::select! {
                _ = commits.changed() => {}
                () = &mut refreshed => break,
                () = sleep_until(until) => {}
            }
        }
    }
}

/// Whether this process has heard neither of the leader nor of the store for so long that it
/// is not likely to learn of a leader soon.
pub fn is_cut_off(engine: &Engine, group: &Group, now: Instant) -> bool {
    let evidence = group.evidence();
    let is_old = evidence.is_none_or(|at| now > at + CUT_OFF_EVIDENCE);
    is_old && following::is_out_of_date(engine, now)
}

/// Asks a home of the leader for evidence, then the store, and other processes where it does
/// not answer soon; where none has brought any, waits a moment.
async fn refresh(engine: &Engine, group: &Group, staleness: Duration) {
    if following::uses_relays(engine) && hears_of_change(group).await {
        return;
    }
    if home::ask_for_evidence(engine, group).await
        && group.leased_leader(Instant::now(), staleness).is_some()
    {
        return;
    }
    renew_evidence(engine, group).await;
    if group.leased_leader(Instant::now(), staleness).is_none() {
        sleep(EVIDENCE_PAUSE).await;
    }
}

/// Waits while a change of leader is under way; returns whether it has gone on. In a large fleet
/// every process with a read for the leader would ask the store again and again: 242 calls in
/// the 3 s around a change with 24 processes, 52 with this wait, 39 without a change (in-memory
/// fleet, a read each 0.1 s at each process).
async fn hears_of_change(group: &Group) -> bool {
    let mut changes = group.subscribe();
    changes.mark_unchanged();
    let view = group.view();
    let is_changing = view.epoch > 0 && !view.confirmed;
    is_changing && timeout(CHANGE_PATIENCE, changes.changed()).await.is_ok()
}

/// Asks the keeper of the group's evidence, then the holder of the lease, the store, and other
/// processes.
pub async fn renew_evidence(engine: &Engine, group: &Group) {
    if home::ask_keeper(engine, group).await {
        return;
    }
    if vouching::renew(engine, group).await {
        return;
    }
    // A failure is told by the task that follows the records.
    let store = engine.terms().refresh(engine, group, Instant::now());
    let answered = timeout(STORE_PATIENCE, store).await;
    if !matches!(answered, Ok(Ok(()))) {
        peers::query(engine, std::slice::from_ref(group.name())).await;
    }
}

/// Resolves once the leadership of `epoch` is over: another leader is chosen.
pub async fn superseded(group: &Group, epoch: Epoch) {
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
