//! Writes the allotments of cold members to the store, and events about this process's shares.

use super::allotment::{Allotment, Allotments, Senders, divide};
use super::{ColdStart, cold_start, settling_time, share};
use crate::directory::Member;
use crate::encoding;
use crate::engine::Engine;
use crate::events::{Event, millis};
use crate::home::placement::{CANDIDATES_PER_MEMBER, Peer};
use crate::leadership::fleet;
use crate::names::{MemberId, NodeName};
use crate::ports::RecordStoreError;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval of checks while any member is cold.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of checks while no member is cold but a group has a slow start. A member that becomes
/// cold is noticed sooner, by the change of its entry.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of an allotment's write per rank of the candidate, so that candidates write one after
/// another. A write takes some tens of ms.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Delay at the first start of a fleet, while its processes discover one another: until then each
/// would consider itself the first candidate.
const FIRST_START_DELAY: Duration = Duration::from_secs(2);
/// Number of departed members whose allotments a record may keep. No member comes back under the
/// same identity, so they need not be removed at once.
const MAX_DEPARTED_MEMBERS: usize = 8;

/// Share and limit last reported for each cold member.
type Reported = HashMap<MemberId, (usize, usize)>;

/// Maintains the allotments until the process ends; idle while no group has a slow start.
pub async fn run(engine: &Engine) {
    let mut configuration = engine.subscribe_configuration();
    let mut directory = engine.subscribe_directory();
    let mut records = engine.terms().subscribe_other_records();
    engine.terms().wait_until_read().await;
    if !fleet::is_registered(engine) {
        sleep(FIRST_START_DELAY).await;
    }
    let mut missing_since = HashMap::new();
    let mut reported = Reported::new();
    loop {
        if !engine.slow_starts().is_enabled() {
            report_warm_members(engine, &[], &mut reported);
            metrics::gauge!("stilequay_cold_members").set(0.0);
            // The sender outlives this task, so this cannot fail.
            let _ = configuration.changed().await;
            continue;
        }
        directory.mark_unchanged();
        records.mark_unchanged();
        let any = check_members(engine, &mut missing_since, &mut reported).await;
        let pause = match any {
            true => CHECK_INTERVAL,
            false => IDLE_INTERVAL,
        };
        tokio::select! {
            _ = directory.changed() => {}
            _ = records.changed() => {}
            () = sleep(pause) => {}
        }
    }
}

/// Checks all members once; returns whether any is cold.
async fn check_members(
    engine: &Engine,
    missing_since: &mut HashMap<MemberId, Instant>,
    reported: &mut Reported,
) -> bool {
    let now = Instant::now();
    let directory = engine.directory();
    let members = directory.members().filter_map(|member| {
        let cold = cold_start(engine, member, now)?;
        Some((Arc::clone(member), cold))
    });
    let members: Vec<(Arc<Member>, ColdStart)> = members.collect();
    missing_since.retain(|id, _| members.iter().any(|(member, _)| member.id == *id));
    for (member, cold) in &members {
        if cold.is_reported {
            update_allotment(engine, member, *cold, missing_since).await;
        }
        report_share(engine, member, *cold, reported);
    }
    report_warm_members(engine, &members, reported);
    metrics::gauge!("stilequay_cold_members").set(members.len() as f64);
    !members.is_empty()
}

/// Writes the allotment of `member` if it is missing or outdated and the delay of this process's
/// rank has passed.
async fn update_allotment(
    engine: &Engine,
    member: &Member,
    cold: ColdStart,
    missing_since: &mut HashMap<MemberId, Instant>,
) {
    let rank = rank(engine, member);
    let present = engine.slow_starts().allotment(engine, member);
    let desired = desired_allotment(engine, member, cold, present.as_ref());
    let (Some(rank), Some(allotment)) = (rank, desired) else {
        missing_since.remove(&member.id);
        return;
    };
    let since = *missing_since
        .entry(member.id.clone())
        .or_insert_with(Instant::now);
    let wait = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
    if Instant::now() < since + wait {
        return;
    }
    let present = present.map(|(allotment, _)| allotment);
    if let Err(error) = write(engine, member, present, allotment).await {
        log::warn!(
            "failed to write the slow start allotment of {}: {error}",
            member.id
        );
        // Leaves time for the next candidate to write before this one retries.
        missing_since.insert(member.id.clone(), Instant::now() + RANK_DELAY);
    }
}

/// This process's rank among the candidates that write the allotment of `member`. A process that
/// knows no candidate is the first.
fn rank(engine: &Engine, member: &Member) -> Option<usize> {
    let candidates = engine.homes().candidates(member);
    let own = &engine.settings().node;
    match candidates.is_empty() {
        true => Some(0),
        false => candidates.iter().position(|peer| peer.node == *own),
    }
}

/// The allotment that is to replace the `present` one of `member`, given with the time since when
/// it is known. `None` if the present one is up to date, or if other processes may not have
/// learned of it yet.
fn desired_allotment(
    engine: &Engine,
    member: &Member,
    cold: ColdStart,
    present: Option<&(Allotment, Instant)>,
) -> Option<Allotment> {
    let shares = divide(cold.max_statements, &senders(engine, member));
    let Some((present, since)) = present else {
        return Some(Allotment {
            most: cold.max_statements,
            shares,
            before: None,
        });
    };
    let same = present.most == cold.max_statements && present.shares == shares;
    let settled = since.elapsed() >= settling_time(engine);
    (settled && !same).then(|| Allotment {
        most: cold.max_statements,
        shares,
        before: Some(present.shares.clone()),
    })
}

/// The processes that send statements to `member`, candidates for its homes first.
fn senders(engine: &Engine, member: &Member) -> Senders {
    let candidates = engine.homes().candidates(member);
    let names = |peers: &[Peer]| -> Vec<NodeName> {
        let names = peers.iter().map(|peer| peer.node.clone());
        names.collect()
    };
    let mut first = names(&candidates);
    if first.is_empty() {
        return Senders::All(vec![engine.settings().node.clone()]);
    }
    if !engine.all_connect_directly(member) {
        first.truncate(CANDIDATES_PER_MEMBER);
        return Senders::Candidates(first);
    }
    let all = names(&engine.homes().fleet());
    let others = all.into_iter().filter(|node| !first.contains(node));
    let others: Vec<NodeName> = others.collect();
    first.extend(others);
    Senders::All(first)
}

/// Writes the group's record with the `allotment` of `member` in place of the `seen` one, unless
/// another process has changed it meanwhile.
async fn write(
    engine: &Engine,
    member: &Member,
    seen: Option<Allotment>,
    allotment: Allotment,
) -> Result<(), RecordStoreError> {
    let key = Allotments::key(&member.group);
    let known = engine
        .terms()
        .subscribe_other_records()
        .borrow()
        .get(&key)
        .cloned();
    let mut next = match known
        .as_ref()
        .map(|record| Allotments::decode_or_report(engine, record))
    {
        None => Allotments::default(),
        Some(Some(present)) => present,
        Some(None) => {
            // Not overwritten: processes of another release may be able to read it and use its
            // shares.
            log::error!(
                "invalid slow start allotments of group {}; the record is left unchanged",
                member.group
            );
            return Ok(());
        }
    };
    if next.members.get(&member.id) != seen.as_ref() {
        return Ok(());
    }
    next.members.insert(member.id.clone(), allotment);
    prune_departed(engine, &mut next);
    let value = encoding::with_names(&next);
    let put = engine.terms().put_other_record(key, known.as_ref(), value);
    put.await.map(drop)
}

/// Removes the allotments of departed members if there are many.
fn prune_departed(engine: &Engine, allotments: &mut Allotments) {
    let directory = engine.directory();
    let has_left = |id: &MemberId| directory.member(id).is_none();
    let left = allotments.members.keys().filter(|id| has_left(id)).count();
    if left > MAX_DEPARTED_MEMBERS {
        allotments.members.retain(|id, _| !has_left(id));
    }
}

/// Writes an event if this process's share for a cold member has changed.
fn report_share(engine: &Engine, member: &Member, cold: ColdStart, reported: &mut Reported) {
    let now = Instant::now();
    let share = share(engine, member, cold, now);
    let before = reported.insert(member.id.clone(), (share, cold.max_statements));
    if before != Some((share, cold.max_statements)) {
        engine.events().write(&Event::SlowStart {
            member: member.id.clone(),
            group: member.group.clone(),
            share: Some(share),
            most: cold.max_statements,
            left_ms: millis(cold.until.saturating_duration_since(now)),
        });
    }
}

/// Writes an event for each member that is no longer cold.
fn report_warm_members(
    engine: &Engine,
    cold: &[(Arc<Member>, ColdStart)],
    reported: &mut Reported,
) {
    let directory = engine.directory();
    reported.retain(|id, _| {
        let is_cold = cold.iter().any(|(member, _)| member.id == *id);
        if !is_cold && let Some(member) = directory.member(id) {
            engine.events().write(&Event::SlowStart {
                member: id.clone(),
                group: member.group.clone(),
                share: None,
                most: 0,
                left_ms: 0,
            });
        }
        is_cold
    });
}
