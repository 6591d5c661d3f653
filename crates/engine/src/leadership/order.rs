//! Orders the promotion of a chosen target and waits until it is primary.

use super::promotion::{Promotion, PromotionError};
use super::record::TermRecord;
use super::survey::{self, Response};
use crate::directory::Role;
use crate::names::MemberId;
use crate::ports::{Control, PromoteError, PromotionOrder};
use crate::verdict::Verdict;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which the target is asked whether it is primary.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Time after which an order that has shown no effect is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(900);
/// Time after which a target that has not become primary is given up.
const TARGET_TIMEOUT: Duration = Duration::from_millis(2_500);

impl Promotion {
    /// Orders the promotion, repeatedly if needed, until the target is primary. `orders` is the
    /// verdict on orders that were sent before.
    pub(super) async fn promote(
        &self,
        record: &TermRecord,
        mut orders: Verdict,
    ) -> Result<(), PromotionError> {
        let Some(target) = record.target.clone() else {
            return Err(PromotionError::TargetLost(orders));
        };
        let began = Instant::now();
        let mut last_order: Option<Instant> = None;
        while began.elapsed() < TARGET_TIMEOUT {
            if last_order.is_none_or(|at| at.elapsed() > ORDER_RETRY_INTERVAL) {
                if self.has_restarted(record, &target).await {
                    return Err(PromotionError::TargetLost(orders));
                }
                match self.send_promote_order(record, &target).await? {
                    Ok(()) | Err(PromoteError::Unknown(_)) => {
                        orders = Verdict::MayHaveRun;
                        last_order = Some(Instant::now());
                    }
                    Err(PromoteError::TargetDown) => {
                        return Err(PromotionError::TargetLost(orders));
                    }
                    Err(PromoteError::Fenced | PromoteError::Unavailable(_)) => {}
                }
            }
            sleep(TARGET_POLL_INTERVAL).await;
            if self.is_primary(&target).await {
                self.settle_others(&target);
                return Ok(());
            }
        }
        Err(PromotionError::TargetLost(orders))
    }

    /// Sends the order once, directly after checking the lease.
    async fn send_promote_order(
        &self,
        record: &TermRecord,
        target: &MemberId,
    ) -> Result<Result<(), PromoteError>, PromotionError> {
        let permit = self.lease.permit_order();
        let permit = permit.ok_or(PromotionError::LeaseLost)?;
        let order = PromotionOrder {
            group: self.group.clone(),
            target: target.clone(),
            holder: self.engine.settings().node.clone(),
            fencing: permit.fencing,
            deliver_by: permit.deliver_by,
        };
        let sent = Instant::now();
        let result = self.promoter.promote(&order).await;
        drop(permit);
        self.emit_order(record, &order, sent.elapsed(), &result);
        Ok(result)
    }

    async fn is_primary(&self, target: &MemberId) -> bool {
        let response = self.request_status(target).await;
        let report = response.as_ref().and_then(Response::report);
        report.is_some_and(|report| report.role == Role::Primary)
    }

    /// Whether the target has restarted since it was paused and may have lost the log that it was
    /// chosen for. An order names a server, not an incarnation of it: an empty server would become
    /// primary and make the other members discard their logs.
    async fn has_restarted(&self, record: &TermRecord, target: &MemberId) -> bool {
        // The old leader was demoted instead of being paused.
        let was_paused = record.previous.as_ref() != Some(target)
            && record.previous_address != record.target_address;
        match self.request_status(target).await {
            Some(Response::RestartedEmpty) => true,
            Some(Response::Report(report)) => {
                was_paused && report.role == Role::Replica && report.paused_for == 0
            }
            _ => false,
        }
    }

    async fn request_status(&self, target: &MemberId) -> Option<Response> {
        let directory = self.engine.directory();
        let member = directory.member(target)?;
        Some(survey::send_control(&self.engine, member, Control::Status).await)
    }
}
