//! Keeps one group's members in step with the configuration and its pools tidy.

use super::group::Group;
use super::state::{GroupState, wait_for_state};
use crate::domain::names::GroupName;
use crate::domain::resource::DatabaseGroupSpec;
use crate::ports::configuration::ConfigurationReceiver;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::position::Term;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// How often expired connections and idle groups are looked for.
const TIDY_INTERVAL: Duration = Duration::from_millis(250);

/// Runs until the group is no longer configured and used, or has been idle for long.
///
/// `retire` takes the group out of service; it refuses while exchanges are open.
pub async fn run_supervisor(
    group: Arc<Group>,
    mut configuration: ConfigurationReceiver,
    retire: impl Fn(&Arc<Group>) -> bool,
) {
    let mut state = group.watch_state();
    let mut known = KnownTerms::default();
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
            _ = tidy.tick() => group.pools().iter().for_each(|pool| pool.close_expired()),
            () = configuration_change(&mut configuration) => {}
            terms = next_terms(&mut state, known) => {
                follow_terms(&group, known, terms);
                known = terms;
            }
        }
    }
}

/// The terms that the supervisor has acted on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct KnownTerms {
    /// The highest term that a member has reported.
    highest: Term,
    /// The term of the latest primary.
    of_primary: Term,
}

/// Waits until the group knows later terms than `known`.
async fn next_terms(state: &mut watch::Receiver<GroupState>, known: KnownTerms) -> KnownTerms {
    let terms_of = |state: &GroupState| KnownTerms {
        highest: state.highest_term().max(known.highest),
        of_primary: state.primary().map_or(known.of_primary, |primary| {
            primary.term.max(known.of_primary)
        }),
    };
    wait_for_state(state, |state| {
        Some(terms_of(state)).filter(|terms| *terms != known)
    })
    .await
}

/// Closes the connections of earlier terms, and opens some once there is a new primary.
fn follow_terms(group: &Arc<Group>, known: KnownTerms, terms: KnownTerms) {
    if terms.highest > known.highest {
        group.close_before(terms.highest);
    }
    if terms.of_primary > known.of_primary {
        log::info!(group:% = group.name(), term:% = terms.of_primary; "the group has a primary");
        warm_members_at(group, terms.of_primary);
    }
}

/// Opens connections to the members that have reported `term`. A connection must never
/// be bound to a term that its member does not know: that member may still follow, or
/// be, a former primary.
fn warm_members_at(group: &Arc<Group>, term: Term) {
    let members = group.watch_state().borrow().members_at(term);
    for pool in members.iter().filter_map(|name| group.pool(name)) {
        tokio::spawn(async move { pool.warm(term).await });
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
