//! What session floors need of the embedding program.

use super::{FloorReply, FloorRequest};
use crate::identity::NodeId;
use crate::position::Floor;
use async_trait::async_trait;
use quick_error::quick_error;

quick_error! {
    /// A call to a home got no answer. Whether the home has served it is not known.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum FloorTransportError {
        /// The home can't be reached, or the connection to it broke.
        Unreachable(reason: String) {
            display("the home can't be reached: {reason}")
        }
    }
}

/// Carries calls to the homes of one group.
///
/// Calls may be lost, repeated and reordered; they need not be answered. A home that
/// is this node may be answered without the network.
#[async_trait]
pub trait FloorTransport: Send + Sync + 'static {
    /// Calls `home` and waits for its answer. The caller bounds the time.
    async fn call(
        &self,
        home: &NodeId,
        request: FloorRequest,
    ) -> Result<FloorReply, FloorTransportError>;
}

quick_error! {
    /// The barrier gave no position.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BarrierError {
        /// No primary is confirmed at the moment.
        Unavailable(reason: String) {
            display("no barrier can be taken: {reason}")
        }
    }
}

/// Takes barriers of one group.
#[async_trait]
pub trait BarrierSource: Send + Sync + 'static {
    /// A position that covers every commit acknowledged, by anyone, before this call
    /// began: read from the primary and confirmed to be of the latest term, both
    /// after the call began.
    async fn barrier(&self) -> Result<Floor, BarrierError>;
}
