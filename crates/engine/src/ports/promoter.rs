//! Promotions are carried out by a service outside.

use crate::names::{GroupName, MemberId, NodeName};
use async_trait::async_trait;
use quick_error::quick_error;
use std::fmt::Debug;
use stilequay_coordination::lease::FencingNumber;

/// An order to make a member the leader of its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromotionOrder {
    /// The group.
    pub group: GroupName,
    /// The member that is to lead.
    pub target: MemberId,
    /// Who gives the order.
    pub holder: NodeName,
    /// The number of the lease under which it is given.
    pub fencing: FencingNumber,
}

quick_error! {
    /// An order has not been accepted, as far as is known.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PromoteError {
        /// The target does not run.
        TargetDown {
            display("the target does not run")
        }
        /// A later holder has given orders.
        Fenced {
            display("fenced off by a later holder")
        }
        /// Refused for now. Nothing was done.
        Unavailable(reason: String) {
            display("unavailable: {reason}")
        }
        /// There was no answer: it may have been done.
        Unknown(reason: String) {
            display("no answer: {reason}")
        }
    }
}

/// Gives promotion orders.
#[async_trait]
pub trait Promoter: Debug + Send + Sync + 'static {
    /// Orders a promotion. It takes effect some time after the answer.
    async fn promote(&self, order: &PromotionOrder) -> Result<(), PromoteError>;
}
