//! Confirmation of a write: that its primary has not been replaced, and that a
//! majority of the members has received it.
//!
//! The members are asked after the commit's answer is in. A later primary needs the
//! votes of a majority, and a member reports a term from the moment it votes for
//! it. So if a majority reports no higher term, no later primary existed when the
//! commit was answered; and if a majority has received the commit's position, each
//! later primary will have it.

use super::group::Group;
use super::state::{GroupState, Primary, TermCheck};
use crate::domain::resource::Durability;
use crate::domain::verdict::{FailureKind, RequestFailure};
use stilequay_coordination::position::{Floor, Term};
use tokio::time::{Instant, timeout_at};

/// Waits until a write that `primary` answered at `answered` may be acknowledged.
///
/// Returns the floor for the session's next reads. Every failure is `MayHaveRun`.
pub async fn confirm_write(
    group: &Group,
    primary: &Primary,
    answered: Instant,
    deadline: Instant,
) -> Result<Floor, RequestFailure> {
    let mut confirmation = Confirmation {
        primary,
        answered,
        durability: group.durability(),
        floor: None,
        replaced_by: None,
    };
    let mut state = group.watch_state();
    let demand = group.demand_probes();
    let decided = state.wait_for(|state| confirmation.is_decided(state));
    let in_time = timeout_at(deadline, decided).await.is_ok();
    drop(demand);
    metrics::histogram!("stilequay_home_confirmation_seconds")
        .record(answered.elapsed().as_secs_f64());
    confirmation.into_result(in_time)
}

struct Confirmation<'a> {
    primary: &'a Primary,
    answered: Instant,
    durability: Durability,
    /// The primary's position at some moment after the commit.
    floor: Option<Floor>,
    replaced_by: Option<Term>,
}

impl Confirmation<'_> {
    fn is_decided(&mut self, state: &GroupState) -> bool {
        let term = self.primary.term;
        let check = state.check_term(term, self.answered);
        if let TermCheck::Replaced(later) = check {
            self.replaced_by = Some(later);
            return true;
        }
        if self.floor.is_none() {
            self.floor = state
                .primary_position_after(self.primary, self.answered)
                .map(|position| Floor::new(term, position));
        }
        let Some(floor) = self.floor else {
            return false;
        };
        check == TermCheck::Confirmed && self.is_durable(state, floor)
    }

    fn is_durable(&self, state: &GroupState, floor: Floor) -> bool {
        match self.durability {
            Durability::Majority => state.is_held_by_majority(floor),
            Durability::Primary => true,
        }
    }

    fn into_result(self, in_time: bool) -> Result<Floor, RequestFailure> {
        if let Some(later) = self.replaced_by {
            return Err(replaced(self.primary, later));
        }
        match self.floor {
            Some(floor) if in_time => Ok(floor),
            _ => Err(RequestFailure::may_have_run(
                FailureKind::DeadlineExceeded,
                format!(
                    "the write at {} was not confirmed in time",
                    self.primary.member
                ),
            )),
        }
    }
}

/// The failure of a write whose primary a later term has replaced.
pub fn replaced(primary: &Primary, later: Term) -> RequestFailure {
    let Primary { member, term } = primary;
    RequestFailure::may_have_run(
        FailureKind::PrimaryReplaced,
        format!(
            "{member} led in term {term}, and term {later} was seen before the outcome was confirmed"
        ),
    )
}
