//! After a promotion, makes the other members follow the new leader.

use super::promotion::Promotion;
use super::survey::{self, Response, StragglerPolicy};
use crate::directory::{Member, Role};
use crate::names::MemberId;
use crate::ports::Control;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Pause between checks whether the other members follow the new leader.
const SETTLING_PAUSE: Duration = Duration::from_millis(400);
/// Maximum number of such checks.
const MAX_SETTLING_ROUNDS: usize = 12;

impl Promotion {
    /// Makes the other members follow the new leader, in a separate task.
    ///
    /// A promotion ends the pause of every replica that learns of it. One that has not learned of
    /// it is resumed only once the old leader is known to be primary no longer: until then, the
    /// replica could receive its log, and so let it acknowledge commits.
    pub(super) fn settle_others(&self, target: &MemberId) {
        let this = self.clone();
        let target = target.clone();
        tokio::spawn(async move {
            for _ in 0..MAX_SETTLING_ROUNDS {
                if this.lease.check().is_none() || this.settle_once(&target).await {
                    return;
                }
                sleep(SETTLING_PAUSE).await;
            }
        });
    }

    /// Checks the members once and sends the commands they need. Returns whether all is done.
    async fn settle_once(&self, target: &MemberId) -> bool {
        let stragglers = StragglerPolicy::WAIT_FOR_ALL;
        let surveyed =
            survey::survey(&self.engine, &self.group, |_| Control::Status, stragglers).await;
        let leader = surveyed.iter().find(|known| known.member.id == *target);
        let Some(leader) = leader.and_then(|known| known.response.report()) else {
            return false;
        };
        let others = || surveyed.iter().filter(|known| known.member.id != *target);
        let mut is_settled = true;
        for known in others() {
            let report = known.response.report();
            if report.is_some_and(|report| report.role == Role::Primary) {
                is_settled = false;
                self.send_control(&known.member, Control::Demote(leader.term))
                    .await;
            }
        }
        let has_unknown = others().any(|known| matches!(known.response, Response::Silent(_)));
        if !is_settled || has_unknown {
            return false;
        }
        for known in others() {
            let report = known.response.report();
            if report.is_some_and(|report| report.paused_for > 0) {
                self.send_control(&known.member, Control::Resume).await;
            }
        }
        true
    }

    /// Sends a command after the promotion, if the lease is still held.
    async fn send_control(&self, member: &Arc<Member>, control: Control) {
        let (Some(term), true) = (
            self.engine.terms().known(&self.group),
            self.lease.check().is_some(),
        ) else {
            return;
        };
        let response = survey::send_control(&self.engine, member, control).await;
        self.emit_response(&term.record, "settle", &member.id, &response);
    }
}
