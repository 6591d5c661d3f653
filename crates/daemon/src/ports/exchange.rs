//! How a front reaches the homes of a group.

use crate::domain::exchange::{FrontMessage, HomeMessage, OpenExchange};
use crate::domain::verdict::RequestFailure;
use async_trait::async_trait;
use quick_error::quick_error;
use stilequay_coordination::identity::NodeId;

/// Opens exchanges with homes: over the network, or within this process where
/// the daemon is itself the home.
#[async_trait]
pub trait HomeConnector: Send + Sync + 'static {
    /// Begins an exchange with `home`.
    ///
    /// An error is always `NotRun`: nothing of a request has been sent yet.
    async fn open(
        &self,
        home: &NodeId,
        open: OpenExchange,
    ) -> Result<Box<dyn HomeExchange>, RequestFailure>;
}

/// The front's end of an exchange. Dropping it without [`HomeExchange::release`]
/// closes the back-end connection, as a caller that vanished would.
#[async_trait]
pub trait HomeExchange: Send {
    /// Sends one message. After an error the exchange is of no more use; whether a
    /// unit may have run is for the caller of this method to judge from what it sent.
    async fn send(&mut self, message: FrontMessage) -> Result<(), ExchangeLost>;

    /// The next message from the home; cancel-safe.
    async fn receive(&mut self) -> Result<HomeMessage, ExchangeLost>;

    /// Ends the exchange in good order, so that its connections can be shared again.
    async fn release(self: Box<Self>);
}

quick_error! {
    /// The exchange broke: the home or the network to it is gone.
    #[derive(Debug, Clone)]
    pub enum ExchangeLost {
        /// The connection was closed or reset.
        Closed {
            display("the connection to the home was closed")
        }
        /// The home sent what the protocol does not allow.
        Protocol(reason: String) {
            display("the home broke the protocol: {reason}")
        }
    }
}
