//! Exchange of declared state between peers: the configuration, the evacuated zones and the
//! members. Small fleets query it while the store is unavailable, relays pass it on at any time.

use super::{ANSWER_TIMEOUT, choose_peers, count_queries, received};
use crate::configuration::Configuration;
use crate::directory::{Departure, Directory, Member, MemberState};
use crate::engine::Engine;
use crate::evacuation::Evacuations;
use crate::events::millis;
use crate::following;
use crate::ports::{
    DeclaredConfiguration, DeclaredDeparture, DeclaredDirectory, DeclaredExtent, DeclaredMember,
    DeclaredState, DeclaredVersions,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The versions of the declared state that this process has.
pub fn known_versions(engine: &Engine) -> DeclaredVersions {
    DeclaredVersions {
        configuration: engine.configuration().map_or(0, |known| known.version),
        directory: engine.directory().version,
        evacuations: engine.evacuations().version,
    }
}

/// The declared state of this process that is newer than `known`, for a query received at
/// `arrived_at`.
pub fn newer(engine: &Engine, known: DeclaredVersions, arrived_at: Instant) -> DeclaredState {
    // Must be read before the configuration, which must not be older than this time claims.
    let complete_as_of = engine.following().configuration_complete_as_of();
    let configuration = engine.configuration();
    let configuration = configuration.filter(|newest| newest.version > known.configuration);
    let evacuations = engine.evacuations();
    let is_evacuation_newer = evacuations.version > known.evacuations;
    let directory = engine.directory();
    let is_newer = directory.version > known.directory;
    DeclaredState {
        configuration: configuration.map(|newest| declare_configuration(engine, &newest, known)),
        directory: is_newer.then(|| declare_directory(&directory, known.directory, Instant::now())),
        evacuations: is_evacuation_newer.then(|| Evacuations::clone(&evacuations)),
        complete_after_ms: complete_as_of.map(|at| signed_millis(arrived_at, at)),
    }
}

/// Whole milliseconds from `from` to `to`, rounded down; negative if `to` is earlier.
pub(crate) fn signed_millis(from: Instant, to: Instant) -> i64 {
    let millis = |duration: Duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX);
    match to.checked_duration_since(from) {
        Some(after) => millis(after),
        None => -millis(from.duration_since(to)) - 1,
    }
}

/// The time `millis` after `from`.
pub(crate) fn moment_after(from: Instant, millis: i64) -> Option<Instant> {
    let distance = Duration::from_millis(millis.unsigned_abs());
    match millis >= 0 {
        true => from.checked_add(distance),
        false => from.checked_sub(distance),
    }
}

fn declare_configuration(
    engine: &Engine,
    newest: &Configuration,
    known: DeclaredVersions,
) -> DeclaredConfiguration {
    match engine.recent_configuration(known.configuration) {
        Some(base) => DeclaredConfiguration::Changes(newest.changes_since(&base)),
        None => DeclaredConfiguration::Whole(newest.clone()),
    }
}

/// The changes in `directory` since the version `known`, or the whole directory if its history
/// doesn't reach back that far.
fn declare_directory(directory: &Directory, known: u64, now: Instant) -> DeclaredDirectory {
    let (extent, members) = match directory.changes_since(known) {
        Some(changed) => (
            DeclaredExtent::Changes,
            changed.map(|member| declare_member(member, now)).collect(),
        ),
        None => (
            DeclaredExtent::Whole,
            directory
                .members()
                .map(|member| declare_member(member, now))
                .collect(),
        ),
    };
    DeclaredDirectory {
        version: directory.version,
        extent,
        members,
    }
}

fn declare_member(member: &Member, now: Instant) -> DeclaredMember {
    let age_ms = |at: Instant| millis(now.saturating_duration_since(at));
    let left_ms = |until: Instant| millis(until.saturating_duration_since(now));
    let departure = |gone: bool, departure: Departure| DeclaredDeparture {
        gone,
        lapsed_left_ms: departure.lapsed_until.map(left_ms),
        learned_age_ms: age_ms(departure.learned_at),
        earliest_age_ms: departure.earliest.map(age_ms),
    };
    DeclaredMember {
        id: member.id.clone(),
        group: member.group.clone(),
        address: member.address,
        zone: member.zone.clone(),
        role: member.role,
        slots: member.slots,
        cold_left_ms: member.cold_until.map(left_ms).filter(|left| *left > 0),
        changed: member.changed,
        departure: match member.state {
            MemberState::Ready => None,
            MemberState::Leaving(known) => Some(departure(false, known)),
            MemberState::Lapsed(known) | MemberState::Gone(known) => Some(departure(true, known)),
        },
    }
}

/// Queries a few peers for newer declared state and applies it. Does nothing in a large fleet,
/// where [`following`] polls relays instead.
pub async fn query(engine: &Engine) {
    if following::uses_relays(engine) {
        return;
    }
    let requested_at = Instant::now();
    let versions = known_versions(engine);
    let peers = choose_peers(engine);
    let queries = peers
        .iter()
        .map(async |peer| (*peer, engine.peers().query_declared(*peer, versions).await));
    let mut answers: FuturesUnordered<_> = queries.collect();
    let until = requested_at + ANSWER_TIMEOUT;
    while let Ok(Some((peer, answer))) = timeout_at(until, answers.next()).await {
        if let Some(state) = received(engine, peer, answer) {
            apply(engine, state, requested_at);
        }
    }
    count_queries("unanswered", answers.len());
}

/// Applies the declared state of a peer that was queried at `requested_at`. Ages are counted back
/// from then, so transit time can make a departure look older than it is, but never younger.
pub(crate) fn apply(engine: &Engine, state: DeclaredState, requested_at: Instant) {
    let is_taken = match state.configuration {
        Some(configuration) => apply_configuration(engine, configuration),
        None => true,
    };
    if let Some(evacuations) = state.evacuations {
        engine.set_evacuations(evacuations);
    }
    let complete_as_of = state.complete_after_ms;
    if let (true, Some(at)) = (
        is_taken,
        complete_as_of.and_then(|ms| moment_after(requested_at, ms)),
    ) {
        engine.following().prove_configuration(at);
    }
    let Some(declared) = state.directory else {
        return;
    };
    if declared.version <= engine.directory().version {
        return;
    }
    let members = declared.members.into_iter();
    let members = members
        .map(|member| read_member(member, requested_at))
        .collect();
    let directory = engine.directory();
    let next = match declared.extent {
        DeclaredExtent::Whole => {
            directory.with_entries(declared.version, members, Departure::at(requested_at))
        }
        DeclaredExtent::Changes => directory.merged_with(declared.version, members, requested_at),
    };
    engine.set_directory(next);
}

/// Applies a configuration from a peer. Returns whether the configuration in use is now at least
/// as new. A delta whose base version is no longer in use can't be applied.
fn apply_configuration(engine: &Engine, declared: DeclaredConfiguration) -> bool {
    let configuration = match declared {
        DeclaredConfiguration::Whole(configuration) => Some(configuration),
        DeclaredConfiguration::Changes(changes) => {
            let known = engine.configuration();
            known.and_then(|known| known.apply(changes))
        }
    };
    match configuration {
        Some(configuration) => {
            engine.set_configuration(configuration);
            true
        }
        None => false,
    }
}

fn read_member(declared: DeclaredMember, requested_at: Instant) -> Member {
    let state = match declared.departure {
        None => MemberState::Ready,
        Some(departure) => read_departure(departure, requested_at),
    };
    Member {
        id: declared.id,
        group: declared.group,
        address: declared.address,
        zone: declared.zone,
        role: declared.role,
        slots: declared.slots,
        // The remaining time was measured after the query was sent; counted from `requested_at`,
        // slow start would end too early.
        cold_until: declared
            .cold_left_ms
            .map(|left_ms| Instant::now() + Duration::from_millis(left_ms)),
        state,
        changed: declared.changed,
    }
}

fn read_departure(declared: DeclaredDeparture, requested_at: Instant) -> MemberState {
    let before = |age_ms: u64| requested_at.checked_sub(Duration::from_millis(age_ms));
    let departure = Departure {
        learned_at: before(declared.learned_age_ms).unwrap_or(requested_at),
        earliest: declared.earliest_age_ms.and_then(before),
        lapsed_until: declared
            .lapsed_left_ms
            .map(|left_ms| requested_at + Duration::from_millis(left_ms)),
    };
    match (declared.gone, departure.lapsed_until) {
        (true, Some(_)) => MemberState::Lapsed(departure),
        (true, None) => MemberState::Gone(departure),
        (false, _) => MemberState::Leaving(departure),
    }
}
