//! A daemon as a whole: wires adapters to ports, starts it, stops it.

mod control;
mod data_path;
mod listeners;
mod stage;

pub use listeners::DaemonAddresses;

use crate::ports::platform::PlatformError;
use crate::settings::Settings;
use control::{Control, connect};
use data_path::{DataPath, start_data_path};
use quick_error::quick_error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use stilequay_coordination::identity::NodeId;
use tokio::time::timeout;

quick_error! {
    /// Why a daemon did not start.
    #[derive(Debug)]
    pub enum StartError {
        /// An address can't be listened on.
        Bind(listener: &'static str, address: SocketAddr, error: io::Error) {
            display("can't listen for {listener} on {address}: {error}")
        }
        /// A client of the platform can't be set up.
        Platform(error: PlatformError) {
            from()
            display("{error}")
        }
    }
}

/// How a planned stop has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// All work has ended.
    Drained,
    /// Work of other daemons was cut at the end of its time.
    Cut,
}

/// A daemon that runs.
pub struct RunningDaemon {
    /// Its name.
    pub node: NodeId,
    /// Where it listens.
    pub addresses: DaemonAddresses,
    control: Control,
    data_path: DataPath,
    leave_notice: Duration,
    drain_timeout: Duration,
}

/// Starts a daemon. It listens when this returns; whether it serves tells
/// [`RunningDaemon::ready`].
///
/// # Errors
/// Fails where an address can't be listened on; nothing runs then.
pub async fn start(settings: Settings) -> Result<RunningDaemon, StartError> {
    let platform = connect(&settings)?;
    let listeners = listeners::bind(&settings).await?;
    let addresses = listeners.addresses;
    let control = Control::start(&settings, &platform, listeners.control, addresses);
    let data_path = start_data_path(
        &settings,
        &control.state,
        control.fleet.clone(),
        listeners.callers,
        listeners.peer,
    );
    control.start_api(&settings, listeners.api);
    log::info!(
        node = settings.node.id.as_str(), callers:% = addresses.callers,
        peer:% = addresses.peer, control:% = addresses.control, api:% = addresses.api;
        "listening"
    );
    Ok(RunningDaemon {
        node: settings.node.id.clone(),
        addresses,
        control,
        data_path,
        leave_notice: settings.control.leave_notice(),
        drain_timeout: settings.control.drain_timeout(),
    })
}

impl RunningDaemon {
    /// Returns once the daemon has caught up with the configuration and serves.
    pub async fn ready(&self) {
        let mut configuration = self.control.state.receiver();
        // The sender lives as long as this daemon.
        let _ = configuration.wait_for(Option::is_some).await;
    }

    /// Planned stop: tells the fleet, then ends callers' requests, then those of
    /// other daemons, then control.
    pub async fn stop(self) -> StopOutcome {
        log::info!(node = self.node.as_str(); "planned stop begins");
        self.control.announce_leaving();
        let noticed = tokio::time::sleep(self.leave_notice);
        tokio::join!(noticed, self.data_path.front.stop());
        let drained = timeout(self.drain_timeout, self.data_path.exchanges.stop()).await;
        self.control.stop().await;
        let outcome = match drained {
            Ok(()) => StopOutcome::Drained,
            Err(_) => StopOutcome::Cut,
        };
        log::info!(node = self.node.as_str(); "planned stop has ended: {outcome:?}");
        outcome
    }
}
