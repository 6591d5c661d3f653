//! The home's end of an exchange.

use crate::domain::exchange::{FrontMessage, HomeMessage};
use async_trait::async_trait;

/// The front, or the network to it, is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkClosed;

/// Carries the messages of one front, over the network or within this process.
#[async_trait]
pub trait FrontLink: Send {
    /// The next message from the front; cancel-safe.
    async fn receive(&mut self) -> Result<FrontMessage, LinkClosed>;

    /// Sends a message to the front, and waits while the front takes none.
    async fn send(&mut self, message: HomeMessage) -> Result<(), LinkClosed>;
}
