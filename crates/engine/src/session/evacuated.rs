//! Refusing at once what no member may be sent.

use crate::configuration::Consistency;
use crate::engine::Engine;
use crate::evacuation::{MayNotSend, Sender};
use crate::group::Group;
use crate::leadership::leader_evacuation;
use crate::residency::Residency;
use crate::verdict::{Failure, FailureReason};
use tokio::time::Instant;

/// Whether a statement of a route of `consistency` to `group` can be sent to any member, now
/// or once another one leads.
///
/// # Errors
///
/// The refusal of one that can't; nothing has run.
pub(super) fn check_route(
    engine: &Engine,
    group: &Group,
    consistency: Consistency,
    residency: &Residency,
) -> Result<(), Failure> {
    match consistency {
        Consistency::Leader => check_leader(engine, group),
        _ => check_any_member(engine, group, residency),
    }
}

/// The same for what only the leader can run. Where another member can take the lead, it is
/// waited for.
///
/// # Errors
///
/// As for [`check_route`].
pub(super) fn check_leader(engine: &Engine, group: &Group) -> Result<(), Failure> {
    let Some(leader) = group.view().leader else {
        return Ok(());
    };
    let directory = engine.directory();
    let Some(member) = directory.member(&leader) else {
        return Ok(());
    };
    let schedule = engine.evacuation_schedule();
    match schedule.check(&member.zone, Sender::Session, Instant::now()) {
        Ok(()) => Ok(()),
        Err(MayNotSend::Unproven) => Err(refusal(MayNotSend::Unproven)),
        Err(MayNotSend::Evacuated) => match leader_evacuation::has_successor(engine, member) {
            true => Ok(()),
            false => Err(refusal(MayNotSend::Evacuated)),
        },
    }
}

fn check_any_member(engine: &Engine, group: &Group, residency: &Residency) -> Result<(), Failure> {
    let schedule = engine.evacuation_schedule();
    let now = Instant::now();
    let mut refused = None;
    let topology = &engine.settings().topology;
    let members = engine.directory().members_of(group.name());
    for member in residency.select(topology, members) {
        match schedule.check(&member.get().zone, Sender::Session, now) {
            Ok(()) => return Ok(()),
            Err(reason) => refused = Some(reason),
        }
    }
    refused.map_or(Ok(()), |reason| Err(refusal(reason)))
}

fn refusal(reason: MayNotSend) -> Failure {
    Failure::not_run(match reason {
        MayNotSend::Evacuated => FailureReason::ZoneEvacuated,
        MayNotSend::Unproven => FailureReason::ConfigurationOutdated,
    })
}
