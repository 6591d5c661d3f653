//! Keeps one group's members in step with the configuration and its pools tidy.

use super::group::Group;
use super::state::{GroupState, wait_for_state};
use crate::domain::names::{GroupName, MemberName};
use crate::domain::resource::DatabaseGroupSpec;
use crate::ports::configuration::ConfigurationReceiver;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::position::Term;
use stilequay_engine::events::{Event, EventLog};
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// How often expired connections and idle groups are looked for.
const TIDY_INTERVAL: Duration = Duration::from_millis(250);

/// How long connections of an earlier term wait for their member to report the new one.
const REBIND_TIME: Duration = Duration::from_millis(500);

/// Runs until the group is no longer configured and used, or has been idle for long.
///
/// `retire` takes the group out of service; it refuses while exchanges are open.
pub async fn run_supervisor(
    group: Arc<Group>,
    mut configuration: ConfigurationReceiver,
    events: Arc<EventLog>,
    retire: impl Fn(&Arc<Group>) -> bool,
) {
    let mut state = group.watch_state();
    let mut terms = MemberTerms::new();
    let mut last_change = Instant::now();
    let mut tidy = interval(TIDY_INTERVAL);
    tidy.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let configured = configured_group(&configuration, group.name());
        let removed = configured.is_none();
        if let Some(spec) = configured {
            group.apply(spec);
        }
        if (group.is_idle() || removed && group.is_unused()) && retire(&group) {
            return;
        }
        tokio::select! {
            _ = tidy.tick() => tidy_pools(&group, last_change),
            () = configuration_change(&mut configuration) => {}
            changed = next_terms(&mut state, &terms) => {
                prepare_pools(&group, &terms, &changed);
                tell_primary(&group, &events);
                terms = changed;
                last_change = Instant::now();
            }
        }
    }
}

/// The highest term that each member has reported.
type MemberTerms = BTreeMap<MemberName, Term>;

/// Waits until a member has reported another term than in `known`.
async fn next_terms(state: &mut watch::Receiver<GroupState>, known: &MemberTerms) -> MemberTerms {
    wait_for_state(state, |state| {
        Some(state.member_terms()).filter(|terms| terms != known)
    })
    .await
}

/// Has the pools of members with a new term make connections ready.
///
/// Each is bound to a term that its own member has reported, never to one learnt from
/// others: the member may still follow, or be, a former primary.
fn prepare_pools(group: &Group, known: &MemberTerms, changed: &MemberTerms) {
    for (name, term) in changed {
        if known.get(name) == Some(term) {
            continue;
        }
        if let Some(pool) = group.pool(name) {
            let term = *term;
            tokio::spawn(async move { pool.prepare_for(term).await });
        }
    }
}

/// Tells who leads now.
fn tell_primary(group: &Group, events: &EventLog) {
    let state = group.watch_state();
    let state = state.borrow();
    let primary = state.primary();
    events.write(&Event::LeaderChanged {
        group: group.name().as_str().into(),
        epoch: state.highest_term().0.into(),
        confirmed: primary.is_some(),
        leader: primary.map(|primary| primary.member.as_str().into()),
    });
}

/// Closes idle connections that have expired, and those of earlier terms. The latter
/// run nothing any more, so that closing them can wait for members to catch up.
fn tidy_pools(group: &Group, last_change: Instant) {
    let highest = group.watch_state().borrow().highest_term();
    for pool in group.pools() {
        pool.close_expired();
        if last_change.elapsed() > REBIND_TIME {
            pool.close_before(highest);
        }
    }
}

/// Waits for the next configuration; for ever once there can be none.
async fn configuration_change(configuration: &mut ConfigurationReceiver) {
    if configuration.changed().await.is_err() {
        std::future::pending().await
    }
}

/// The group's resource in force, if it is still there.
pub fn configured_group(
    configuration: &ConfigurationReceiver,
    name: &GroupName,
) -> Option<Arc<DatabaseGroupSpec>> {
    let configuration = configuration.borrow();
    configuration.as_ref()?.groups.get(name).cloned()
}
