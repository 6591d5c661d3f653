//! The addresses that a daemon listens on.

use super::StartError;
use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use stilequay_coordination::control::ControlSockets;
use tokio::net::TcpListener;

/// Addresses that a daemon listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// Callers, PostgreSQL protocol.
    pub callers: SocketAddr,
    /// Other daemons, data path.
    pub peer: SocketAddr,
    /// Other daemons, control.
    pub control: SocketAddr,
    /// Operators, HTTP.
    pub api: SocketAddr,
}

/// The listeners of a daemon.
pub(super) struct Listeners {
    pub callers: TcpListener,
    pub peer: TcpListener,
    pub control: ControlSockets,
    pub api: TcpListener,
    pub addresses: DaemonAddresses,
}

/// Binds all listeners.
pub(super) async fn bind(settings: &Settings) -> Result<Listeners, StartError> {
    let listen = &settings.listen;
    let callers = bind_tcp("callers", listen.callers).await?;
    let peer = bind_tcp("peer", listen.peer).await?;
    let api = bind_tcp("api", listen.api).await?;
    let control = ControlSockets::bind(listen.control)
        .await
        .map_err(|error| StartError::Bind("control", listen.control, error))?;
    let addresses = DaemonAddresses {
        callers: local_address("callers", listen.callers, callers.local_addr())?,
        peer: local_address("peer", listen.peer, peer.local_addr())?,
        control: local_address("control", listen.control, control.local_address())?,
        api: local_address("api", listen.api, api.local_addr())?,
    };
    Ok(Listeners {
        callers,
        peer,
        control,
        api,
        addresses,
    })
}

async fn bind_tcp(listener: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Bind(listener, address, error))
}

fn local_address(
    listener: &'static str,
    address: SocketAddr,
    bound: io::Result<SocketAddr>,
) -> Result<SocketAddr, StartError> {
    bound.map_err(|error| StartError::Bind(listener, address, error))
}
