//! Which other nodes a node exchanges messages with.

use crate::traffic::Traffic;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;

/// Decides with whom a node exchanges messages.
///
/// The usual policy is [`PermitAll`]. Tests and experiments use another one to cut
/// nodes from each other: what is sent over a link that is not permitted is lost,
/// as in a network that drops packets.
pub trait LinkPolicy: Debug + Send + Sync + 'static {
    /// Whether messages to and from the node at the control address `peer` pass.
    fn permits(&self, peer: SocketAddr) -> bool;
}

/// Every link is permitted.
#[derive(Debug, Clone, Copy, Default)]
pub struct PermitAll;

impl LinkPolicy for PermitAll {
    fn permits(&self, _peer: SocketAddr) -> bool {
        true
    }
}

/// What all links of one node have in common.
#[derive(Debug, Clone)]
pub(crate) struct Links {
    /// Counters.
    pub traffic: Arc<Traffic>,
    /// Which links there are.
    pub policy: Arc<dyn LinkPolicy>,
}

impl Links {
    /// Links by `policy`, with fresh counters.
    pub fn new(policy: Arc<dyn LinkPolicy>) -> Self {
        Self {
            traffic: Arc::default(),
            policy,
        }
    }
}
