//! What operators and servers have declared, learned from other processes while the store
//! does not tell it: the configuration and the members.

use super::{ANSWER_TIMEOUT, choose_peers};
use crate::directory::{Departure, Directory, Member, MemberState};
use crate::engine::Engine;
use crate::events::millis;
use crate::ports::{
    DeclaredDeparture, DeclaredDirectory, DeclaredMember, DeclaredState, DeclaredVersions,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The versions that this process knows.
pub fn known_versions(engine: &Engine) -> DeclaredVersions {
    DeclaredVersions {
        configuration: engine.configuration().map_or(0, |known| known.version),
        directory: engine.directory().version,
    }
}

/// What this process knows that is newer than `asked`.
pub fn newer(engine: &Engine, asked: DeclaredVersions) -> DeclaredState {
    let configuration = engine.configuration();
    let configuration = configuration.filter(|known| known.version > asked.configuration);
    let directory = engine.directory();
    let is_newer = directory.version > asked.directory;
    DeclaredState {
        configuration: configuration.map(|known| known.as_ref().clone()),
        directory: is_newer.then(|| declare(&directory, Instant::now())),
    }
}

fn declare(directory: &Directory, now: Instant) -> DeclaredDirectory {
    let age_ms = |at: Instant| millis(now.saturating_duration_since(at));
    let left_ms = |until: Instant| millis(until.saturating_duration_since(now));
    let departure = |gone: bool, departure: Departure| DeclaredDeparture {
        gone,
        lapsed_left_ms: departure.lapsed_until.map(left_ms),
        learned_age_ms: age_ms(departure.learned),
        earliest_age_ms: departure.earliest.map(age_ms),
    };
    let members = directory.members().map(|member| DeclaredMember {
        id: member.id.clone(),
        group: member.group.clone(),
        address: member.address,
        zone: member.zone.clone(),
        role: member.role,
        slots: member.slots,
        departure: match member.state {
            MemberState::Ready => None,
            MemberState::Leaving(known) => Some(departure(false, known)),
            MemberState::Lapsed(known) | MemberState::Gone(known) => Some(departure(true, known)),
        },
    });
    DeclaredDirectory {
        version: directory.version,
        members: members.collect(),
    }
}

/// Asks a few processes for what is newer than what this one knows, and takes it.
pub async fn ask(engine: &Engine) {
    let asked = Instant::now();
    let versions = known_versions(engine);
    let peers = choose_peers(engine);
    let questions = peers
        .iter()
        .map(|peer| engine.peers().ask_declared(*peer, versions));
    let mut answers: FuturesUnordered<_> = questions.collect();
    while let Ok(Some(answer)) = timeout_at(asked + ANSWER_TIMEOUT, answers.next()).await {
        let Ok(state) = answer else { continue };
        metrics::counter!("stilequay_peer_answers_total").increment(1);
        take(engine, state, asked);
    }
}

/// Takes what another process knew when it was asked at `asked`: ages only grow on the way,
/// so a departure is taken to be older than it is, never younger.
pub(crate) fn take(engine: &Engine, state: DeclaredState, asked: Instant) {
    if let Some(configuration) = state.configuration {
        engine.set_configuration(configuration);
    }
    let Some(declared) = state.directory else {
        return;
    };
    if declared.version <= engine.directory().version {
        return;
    }
    let members = declared.members.into_iter();
    let members = members.map(|member| read_member(member, asked));
    let departure = Departure::at(asked);
    let directory = engine.directory();
    let next = directory.replaced(declared.version, members.collect(), departure);
    engine.set_directory(next);
}

fn read_member(declared: DeclaredMember, asked: Instant) -> Member {
    let state = match declared.departure {
        None => MemberState::Ready,
        Some(departure) => read_departure(departure, asked),
    };
    Member {
        id: declared.id,
        group: declared.group,
        address: declared.address,
        zone: declared.zone,
        role: declared.role,
        slots: declared.slots,
        state,
    }
}

fn read_departure(declared: DeclaredDeparture, asked: Instant) -> MemberState {
    let before = |age_ms: u64| asked.checked_sub(Duration::from_millis(age_ms));
    let departure = Departure {
        learned: before(declared.learned_age_ms).unwrap_or(asked),
        earliest: declared.earliest_age_ms.and_then(before),
        lapsed_until: declared
            .lapsed_left_ms
            .map(|left_ms| asked + Duration::from_millis(left_ms)),
    };
    match (declared.gone, departure.lapsed_until) {
        (true, Some(_)) => MemberState::Lapsed(departure),
        (true, None) => MemberState::Gone(departure),
        (false, _) => MemberState::Leaving(departure),
    }
}
