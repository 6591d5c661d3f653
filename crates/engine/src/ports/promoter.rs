//! The interface to the external service that carries out promotions.

use crate::names::{GroupName, MemberId, NodeName};
use async_trait::async_trait;
use quick_error::quick_error;
use std::fmt::Debug;
use stilequay_coordination::lease::FencingNumber;
use tokio::time::Instant;

/// An order to make a member the leader of its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The group.
    pub group: GroupName,
    /// The member to promote.
    pub target: MemberId,
    /// The lease holder that gives the order.
    pub holder: NodeName,
    /// The fencing number of its lease.
    pub fencing: FencingNumber,
    /// The time after which the order must not arrive any more, because another process may hold
    /// the lease and give orders.
    pub deliver_by: Instant,
}

quick_error! {
    /// Why a promotion order failed, or may have failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PromoteError {
        /// The target is not running.
        TargetDown {
            display("the target does not run")
        }
        /// A later lease holder has given orders.
        Fenced {
            display("fenced off by a later holder")
        }
        /// Temporarily refused; the order had no effect.
        Unavailable(reason: String) {
            display("unavailable: {reason}")
        }
        /// No answer; the order may have taken effect.
        Unknown(reason: String) {
            display("no answer: {reason}")
        }
    }
}

/// Sends promotion orders.
#[async_trait]
pub trait Promoter: Debug + Send + Sync + 'static {
    /// Orders a promotion. It takes effect asynchronously, some time after the answer.
    ///
    /// Returns at [`PromotionOrder::deliver_by`] at the latest. Nothing of the order may be on its
    /// way any more once this future has completed or was dropped.
    async fn promote(&self, order: &PromotionOrder) -> Result<(), PromoteError>;
}
