//! A daemon as a whole: wires adapters to ports, starts it, stops it.

use crate::adapters::api::{self, ApiContext};
use crate::adapters::exchange::{self, ExchangeConnector};
use crate::adapters::platform::{DynamoTable, HttpMachineList, S3SnapshotStore};
use crate::app::control::acceptance::Acceptor;
use crate::app::control::in_force::InForceHistory;
use crate::app::control::source::{PlatformSource, StateSink};
use crate::app::control::state::ConfigurationState;
use crate::app::control::{fleet, snapshot};
use crate::app::front::{self, FrontContext};
use crate::app::home::{HomeContext, HomeService};
use crate::app::homes::PlacedHomes;
use crate::ports::configuration::ConfigurationReceiver;
use crate::ports::fleet::FleetReceiver;
use crate::ports::platform::{MachineList, PlatformError, ResourceTable, SnapshotStore};
use crate::settings::Settings;
use crate::telemetry;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use stilequay_coordination::control::{self, ControlSockets};
use stilequay_coordination::distribution::Distribution;
use stilequay_coordination::identity::{Incarnation, NodeId};
use stilequay_coordination::membership::{MemberRecord, Membership, MembershipConfig};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time that control gets to end its tasks at a planned stop.
const CONTROL_STOP_TIMEOUT: Duration = Duration::from_secs(5);

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
    state: Arc<ConfigurationState>,
    membership: Membership,
    distribution: Distribution,
    front: Stage,
    exchanges: Stage,
    background: Stage,
    drain_timeout: Duration,
}

/// A part of the daemon that is stopped on its own.
struct Stage {
    leaving: CancellationToken,
    tasks: TaskTracker,
}

impl Stage {
    fn new() -> Self {
        Self {
            leaving: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Stops it and waits until it has ended.
    async fn stop(&self) {
        self.leaving.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// The listeners of a daemon.
struct Listeners {
    callers: TcpListener,
    peer: TcpListener,
    control: ControlSockets,
    api: TcpListener,
    addresses: DaemonAddresses,
}

/// Clients of the platform.
struct Platform {
    table: Arc<dyn ResourceTable>,
    snapshots: Arc<dyn SnapshotStore>,
    machines: Arc<dyn MachineList>,
}

/// Starts a daemon. It listens when this returns; whether it serves tells
/// [`RunningDaemon::ready`].
///
/// # Errors
/// Fails where an address can't be listened on; nothing runs then.
pub async fn start(settings: Settings) -> Result<RunningDaemon, StartError> {
    let platform = connect(&settings)?;
    let listeners = bind(&settings).await?;
    let addresses = listeners.addresses;
    let state = Arc::new(ConfigurationState::new(settings.api.watch_history));
    let background = Stage::new();
    let own = own_record(&settings, addresses);
    let membership = start_membership(
        own,
        listeners.control.datagrams,
        &platform,
        &background,
        &settings,
    );
    let distribution = start_distribution(&settings, &platform, &membership, &state);
    background.tasks.spawn(control::serve(
        listeners.control.listener,
        membership.clone(),
        distribution.clone(),
        background.leaving.clone(),
    ));
    background.tasks.spawn(open_when_caught_up(
        distribution.clone(),
        state.clone(),
        background.leaving.clone(),
    ));
    background.tasks.spawn(snapshot::keep(
        platform.snapshots.clone(),
        state.clone(),
        distribution.clone(),
        background.leaving.clone(),
    ));
    let fleet =
        fleet::follow_membership(&membership, &background.tasks, background.leaving.clone());
    let data_path = start_data_path(
        &settings,
        &state,
        fleet.clone(),
        listeners.callers,
        listeners.peer,
    );
    start_api(
        &settings,
        &state,
        &platform,
        &distribution,
        fleet,
        listeners.api,
        &background,
    );
    log::info!(
        node = settings.node.id.as_str(), callers:% = addresses.callers,
        peer:% = addresses.peer, control:% = addresses.control, api:% = addresses.api;
        "listening"
    );
    Ok(RunningDaemon {
        node: settings.node.id.clone(),
        addresses,
        state,
        membership,
        distribution,
        front: data_path.front,
        exchanges: data_path.exchanges,
        background,
        drain_timeout: settings.control.drain_timeout(),
    })
}

fn connect(settings: &Settings) -> Result<Platform, PlatformError> {
    let platform = &settings.platform;
    let timeout = platform.call_timeout();
    Ok(Platform {
        table: Arc::new(DynamoTable::new(&platform.table, timeout)),
        snapshots: Arc::new(S3SnapshotStore::new(&platform.objects, timeout)?),
        machines: Arc::new(HttpMachineList::new(&platform.machines, timeout)?),
    })
}

async fn bind(settings: &Settings) -> Result<Listeners, StartError> {
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

/// What the daemon tells the fleet of itself. The wall clock in milliseconds makes
/// each life's incarnation higher than the one before.
fn own_record(settings: &Settings, addresses: DaemonAddresses) -> MemberRecord {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    MemberRecord {
        node: settings.node.id.clone(),
        incarnation: Incarnation(millis),
        zone: settings.node.zone.clone(),
        region: settings.node.region.clone(),
        control_address: settings.advertise.control.unwrap_or(addresses.control),
        data_address: settings.advertise.peer.unwrap_or(addresses.peer),
    }
}

fn start_membership(
    own: MemberRecord,
    datagrams: UdpSocket,
    platform: &Platform,
    background: &Stage,
    settings: &Settings,
) -> Membership {
    let (seeds, seeds_receiver) = watch::channel(Vec::new());
    background.tasks.spawn(fleet::follow_list(
        platform.machines.clone(),
        seeds,
        settings.control.list_interval(),
        background.leaving.clone(),
    ));
    let config = MembershipConfig {
        own,
        timing: settings.control.membership_timing(),
    };
    Membership::start(config, datagrams, seeds_receiver)
}

fn start_distribution(
    settings: &Settings,
    platform: &Platform,
    membership: &Membership,
    state: &Arc<ConfigurationState>,
) -> Distribution {
    let source = PlatformSource::new(platform.table.clone(), platform.snapshots.clone());
    Distribution::start(
        settings.control.distribution_config(),
        membership.clone(),
        Arc::new(source),
        Arc::new(StateSink::new(state.clone())),
    )
}

/// Puts the configuration in force once the daemon has caught up.
async fn open_when_caught_up(
    distribution: Distribution,
    state: Arc<ConfigurationState>,
    leaving: CancellationToken,
) {
    let mut caught_up = distribution.caught_up();
    tokio::select! {
        Ok(_) = caught_up.wait_for(Option::is_some) => state.mark_caught_up(),
        () = leaving.cancelled() => {}
    }
}

/// The data path: callers' side, and exchanges with other daemons.
struct DataPath {
    front: Stage,
    exchanges: Stage,
}

/// Neither side takes a connection before the configuration is in force.
fn start_data_path(
    settings: &Settings,
    state: &Arc<ConfigurationState>,
    fleet: FleetReceiver,
    callers: TcpListener,
    peer: TcpListener,
) -> DataPath {
    let home = HomeService::new(HomeContext {
        node: settings.node.id.clone(),
        zone: settings.node.zone.clone(),
        configuration: state.receiver(),
        settings: settings.home.clone(),
    });
    let connector = ExchangeConnector::new(settings.node.id.clone(), fleet.clone(), home.clone());
    let context = FrontContext {
        configuration: state.receiver(),
        homes: Arc::new(PlacedHomes::new(settings.node.zone.clone(), fleet)),
        connector: Arc::new(connector),
        settings: settings.front.clone(),
    };
    let front = Stage::new();
    let leaving = front.leaving.clone();
    front.tasks.spawn(once_in_force(
        state.receiver(),
        leaving.clone(),
        front::serve(callers, context, leaving),
    ));
    let exchanges = Stage::new();
    let leaving = exchanges.leaving.clone();
    exchanges.tasks.spawn(once_in_force(
        state.receiver(),
        leaving.clone(),
        exchange::listen(peer, home, leaving),
    ));
    DataPath { front, exchanges }
}

/// Runs `serve` from the moment when a configuration is in force.
async fn once_in_force(
    mut configuration: ConfigurationReceiver,
    leaving: CancellationToken,
    serve: impl Future<Output = ()>,
) {
    tokio::select! {
        Ok(_) = configuration.wait_for(Option::is_some) => {}
        () = leaving.cancelled() => return,
    }
    serve.await;
}

fn start_api(
    settings: &Settings,
    state: &Arc<ConfigurationState>,
    platform: &Platform,
    distribution: &Distribution,
    fleet: FleetReceiver,
    listener: TcpListener,
    background: &Stage,
) {
    let reports =
        fleet::follow_in_force(distribution, &background.tasks, background.leaving.clone());
    let in_force = Arc::new(InForceHistory::new(reports));
    let history = in_force.clone();
    let leaving = background.leaving.clone();
    background
        .tasks
        .spawn(async move { history.follow(leaving).await });
    let hastened = distribution.clone();
    let context = ApiContext {
        node: settings.node.id.clone(),
        state: state.clone(),
        acceptor: Acceptor::new(platform.table.clone(), settings.api.request_timeout()),
        in_force,
        fleet,
        metrics: telemetry::metrics(),
        hasten: Arc::new(move || hastened.hasten()),
        settings: settings.api.clone(),
    };
    background
        .tasks
        .spawn(api::serve(listener, context, background.leaving.clone()));
}

impl RunningDaemon {
    /// Returns once the daemon has caught up with the configuration and serves.
    pub async fn ready(&self) {
        let mut configuration = self.state.receiver();
        // The sender lives as long as this daemon.
        let _ = configuration.wait_for(Option::is_some).await;
    }

    /// Planned stop: tells the fleet, then ends callers' requests, then those of
    /// other daemons, then control.
    pub async fn stop(self) -> StopOutcome {
        log::info!(node = self.node.as_str(); "planned stop begins");
        self.membership.leave();
        self.front.stop().await;
        let drained = timeout(self.drain_timeout, self.exchanges.stop()).await;
        self.distribution.stop().await;
        self.membership.depart().await;
        if timeout(CONTROL_STOP_TIMEOUT, self.background.stop())
            .await
            .is_err()
        {
            log::warn!("control tasks did not end in time");
        }
        let outcome = match drained {
            Ok(()) => StopOutcome::Drained,
            Err(_) => StopOutcome::Cut,
        };
        log::info!(node = self.node.as_str(); "planned stop has ended: {outcome:?}");
        outcome
    }
}
