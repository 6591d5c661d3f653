//! Waiting for a usable leader.

use crate::engine::Engine;
use crate::following;
use crate::group::{Epoch, Group, UsableLeader};
use crate::home;
use crate::leadership::member_evidence;
use crate::leadership::term_confirmation;
use crate::peers;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Pause before evidence is requested again.
const EVIDENCE_RETRY_PAUSE: Duration = Duration::from_millis(40);
/// How long to wait for the end of a change of leader before requesting evidence. There is no
/// evidence before its end, and processes that follow the records learn of that within about 50 ms.
const CHANGE_WAIT: Duration = Duration::from_millis(400);
/// Age of the newest evidence after which a process may count as cut off.
const CUT_OFF_AFTER: Duration = Duration::from_secs(1);
/// How long to wait for the store before asking other processes.
const STORE_WAIT: Duration = Duration::from_millis(20);

/// Whether there is evidence for the term of `leader`, so that no successor of it can have been
/// chosen without what it has acknowledged until now. Requests evidence by `until` if it is missing.
///
/// Without synchronous replication commits aren't kept by a fence, and no evidence is required.
pub async fn has_lease_for_writes(
    engine: &Engine,
    group: &Group,
    leader: &UsableLeader,
    until: Instant,
) -> bool {
    if engine.sync_replicas(group.name()) == 0 {
        return true;
    }
    let mut evidence = group.subscribe_evidence();
    loop {
        let mut renewal = std::pin::pin!(renew_for_writes(engine, group, leader));
        loop {
            evidence.mark_unchanged();
            let now = Instant::now();
            if group.is_leased_by(leader, now) {
                return true;
            }
            if now >= until || group.as_leader(&leader.member).as_ref() != Some(leader) {
                return false;
            }
            tokio::select! {
                _ = evidence.changed() => {}
                () = &mut renewal => break,
                () = sleep_until(until) => {}
            }
        }
    }
}

/// Like [`refresh`], and asks the members if nothing else has brought evidence. While the store is
/// unavailable, they answer sooner than other processes.
async fn renew_for_writes(engine: &Engine, group: &Group, leader: &UsableLeader) {
    let is_leased = || group.is_leased_by(leader, Instant::now());
    if home::ask_for_evidence(engine, group).await && is_leased() {
        return;
    }
    let asks_members_first = following::is_out_of_date(engine, Instant::now());
    if asks_members_first && member_evidence::renew(engine, group, leader).await {
        return;
    }
    renew_evidence(engine, group).await;
    if is_leased() || (!asks_members_first && member_evidence::renew(engine, group, leader).await) {
        return;
    }
    sleep(EVIDENCE_RETRY_PAUSE).await;
}

/// The leader that accepts writes, or `None` if there is none by `until`.
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
        let wake_at = usable_at.unwrap_or(until).min(until);
        let _ = timeout_at(wake_at, changes.changed()).await;
    }
}

/// The leader whose log holds, according to the evidence for its term, every commit acknowledged
/// more than `staleness` ago. Requests evidence if it is missing.
pub async fn leased_leader(
    engine: &Engine,
    group: &Group,
    staleness: Duration,
    until: Instant,
) -> Option<UsableLeader> {
    let mut evidence = group.subscribe_evidence();
    loop {
        let mut evidence_refresh = std::pin::pin!(refresh(engine, group, staleness));
        loop {
            evidence.mark_unchanged();
            let now = Instant::now();
            if let Some(leader) = group.leased_leader(now, staleness) {
                return Some(leader);
            }
            if now >= until {
                return None;
            }
            // Evidence comes from this request or from another session's, whichever is first. Some that
            // is too old must not restart the request.
            tokio::select! {
                _ = evidence.changed() => {}
                () = &mut evidence_refresh => break,
                () = sleep_until(until) => {}
            }
        }
    }
}

/// Whether this process has heard from neither the leader nor the store for so long that it is
/// unlikely to find a leader soon.
pub fn is_cut_off(engine: &Engine, group: &Group, now: Instant) -> bool {
    let evidence = group.evidence();
    let is_old = evidence.is_none_or(|at| now > at + CUT_OFF_AFTER);
    is_old && following::is_out_of_date(engine, now)
}

/// Requests evidence from a home of the leader, then from the store, and from other processes if
/// the store doesn't answer soon. Pauses if none of them had any.
async fn refresh(engine: &Engine, group: &Group, staleness: Duration) {
    if following::uses_relays(engine) && wait_for_change(group).await {
        return;
    }
    if home::ask_for_evidence(engine, group).await
        && group.leased_leader(Instant::now(), staleness).is_some()
    {
        return;
    }
    renew_evidence(engine, group).await;
    if group.leased_leader(Instant::now(), staleness).is_none() {
        sleep(EVIDENCE_RETRY_PAUSE).await;
    }
}

/// Waits for the next step of a change of leader, if one is in progress; returns whether it came.
/// In a large fleet, every process with a read for the leader would otherwise query the store
/// repeatedly: 242 calls in the 3 s around a change with 24 processes, 52 with this wait, 39
/// without a change (in-memory fleet, a read every 0.1 s in each process).
async fn wait_for_change(group: &Group) -> bool {
    let mut changes = group.subscribe();
    changes.mark_unchanged();
    let view = group.view();
    // A leader that is being fenced has no evidence either.
    let is_changing = view.epoch > 0 && (!view.confirmed || view.target().is_none());
    is_changing && timeout(CHANGE_WAIT, changes.changed()).await.is_ok()
}

/// Renews the group's evidence from its evidence reader, or else from the lease holder, the store
/// or other processes, in this order.
pub async fn renew_evidence(engine: &Engine, group: &Group) {
    if home::ask_evidence_reader(engine, group).await {
        return;
    }
    if term_confirmation::renew(engine, group).await {
        return;
    }
    // The task that follows the records reports failures.
    let store = engine.terms().refresh(engine, group, Instant::now());
    let answered = timeout(STORE_WAIT, store).await;
    if !matches!(answered, Ok(Ok(()))) {
        peers::query(engine, std::slice::from_ref(group.name())).await;
    }
}

/// Resolves once the leader of `epoch` is superseded by another usable leader.
pub async fn wait_until_superseded(group: &Group, epoch: Epoch) {
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
