//! The node's one address for coordination: its sockets and the server on them.

pub(crate) mod connection;
mod links;

use crate::distribution::message::SubscribeRequest;
use crate::distribution::{Distribution, serve as distribution_serve};
use crate::membership::Membership;
use crate::membership::sync::{self, SyncRequest};
use crate::traffic::MessageKind;
pub(crate) use links::Links;
pub use links::{LinkPolicy, PermitAll};

use connection::{ConnectionError, ControlMessage, split};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The version of the protocol over TCP.
pub(crate) const PROTOCOL_VERSION: u8 = 1;

/// How long a new connection may take to say what it is for.
const OPENING_LIMIT: Duration = Duration::from_secs(5);

/// How long to wait after a failed accept, for example for lack of descriptors.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(50);

/// Attempts to find a port that is free for both UDP and TCP.
const BIND_ATTEMPTS: usize = 20;

/// The sockets of one control address: UDP and TCP on the same port.
#[derive(Debug)]
pub struct ControlSockets {
    /// For [`Membership::start`].
    pub datagrams: UdpSocket,
    /// For [`serve`].
    pub listener: TcpListener,
}

impl ControlSockets {
    /// Binds both sockets to `address`. With port 0, a port is taken that is free
    /// for both.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let mut attempt = 1;
        loop {
            let listener = TcpListener::bind(address).await?;
            match UdpSocket::bind(listener.local_addr()?).await {
                Ok(datagrams) => {
                    return Ok(Self {
                        datagrams,
                        listener,
                    });
                }
                Err(error) if address.port() != 0 || attempt == BIND_ATTEMPTS => {
                    return Err(error);
                }
                Err(_) => attempt += 1,
            }
        }
    }

    /// The address that both are bound to.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// The first message on a connection: what it is for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Opening {
    /// A comparison of the membership.
    Sync {
        /// The version of the protocol.
        version: u8,
        /// What the asker has.
        request: SyncRequest,
    },
    /// A subscription to changes.
    Subscribe {
        /// The version of the protocol.
        version: u8,
        /// Who subscribes, from where.
        request: SubscribeRequest,
    },
    /// A subscription of another zone's relay to what is in force in this zone.
    ZoneInForce {
        /// The version of the protocol.
        version: u8,
    },
    /// The question for the highest revision that the node knows or can read.
    Head {
        /// The version of the protocol.
        version: u8,
    },
}

impl Opening {
    fn version(&self) -> u8 {
        match self {
            Self::Sync { version, .. }
            | Self::Subscribe { version, .. }
            | Self::ZoneInForce { version }
            | Self::Head { version } => *version,
        }
    }
}

impl ControlMessage for Opening {
    fn kind(&self) -> MessageKind {
        match self {
            Self::Sync { .. } => MessageKind::Sync,
            Self::Subscribe { .. } => MessageKind::Subscription,
            Self::ZoneInForce { .. } => MessageKind::InForce,
            Self::Head { .. } => MessageKind::Head,
        }
    }
}

/// Serves the TCP side of the membership and of the distribution until `leaving`
/// is cancelled; then closes all connections and returns.
pub async fn serve(
    listener: TcpListener,
    membership: Membership,
    distribution: Distribution,
    leaving: CancellationToken,
) {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = leaving.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, source)) => {
                let membership = membership.clone();
                let distribution = distribution.clone();
                let leaving = leaving.clone();
                connections.spawn(async move {
                    tokio::select! {
                        () = leaving.cancelled() => {}
                        result = serve_connection(stream, membership, distribution) => {
                            note_end(source, result);
                        }
                    }
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "accepting a control connection failed");
                tokio::time::sleep(PAUSE_AFTER_ERROR).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

fn note_end(source: SocketAddr, result: Result<(), ConnectionError>) {
    if let Err(error) = result {
        log::debug!(source:% = source, error:% = error; "a control connection ended");
    }
}

async fn serve_connection(
    stream: TcpStream,
    membership: Membership,
    distribution: Distribution,
) -> Result<(), ConnectionError> {
    let (sender, mut receiver) = split(stream, None, membership.links())?;
    let opening: Opening = receiver.receive_within(OPENING_LIMIT).await?;
    if opening.version() != PROTOCOL_VERSION {
        return Err(ConnectionError::Protocol("unknown version of the protocol"));
    }
    match opening {
        Opening::Sync { request, .. } => sync::serve(&membership, request, sender, receiver).await,
        Opening::Subscribe { request, .. } => {
            distribution_serve::subscription(&distribution, request, sender, receiver).await
        }
        Opening::ZoneInForce { .. } => {
            distribution_serve::zone_in_force(&distribution, sender).await
        }
        Opening::Head { .. } => distribution_serve::head(&distribution, sender).await,
    }
}
