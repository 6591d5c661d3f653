//! Control of a daemon: the platform, membership, distribution, operators' API.

use super::listeners::DaemonAddresses;
use super::stage::Stage;
use crate::adapters::api::{self, ApiContext};
use crate::adapters::platform::guard::{
    GuardedMachineList, GuardedResourceTable, GuardedSnapshotStore,
};
use crate::adapters::platform::{DynamoTable, HttpMachineList, S3SnapshotStore};
use crate::app::control::acceptance::Acceptor;
use crate::app::control::in_force::InForceHistory;
use crate::app::control::source::{PlatformSource, StateSink};
use crate::app::control::state::ConfigurationState;
use crate::app::control::{fleet, snapshot};
use crate::ports::fleet::FleetReceiver;
use crate::ports::platform::{MachineList, PlatformError, ResourceTable, SnapshotStore};
use crate::settings::Settings;
use crate::telemetry;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use stilequay_coordination::control::{self, ControlSockets};
use stilequay_coordination::distribution::Distribution;
use stilequay_coordination::identity::Incarnation;
use stilequay_coordination::membership::{MemberRecord, Membership, MembershipConfig};
use tokio::net::{TcpListener, UdpSocket};

use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Clients of the platform.
pub(super) struct Platform {
    pub table: Arc<dyn ResourceTable>,
    pub snapshots: Arc<dyn SnapshotStore>,
    pub machines: Arc<dyn MachineList>,
}

/// Sets the clients up; they connect when they are used.
pub(super) fn connect(settings: &Settings) -> Result<Platform, PlatformError> {
    let platform = &settings.platform;
    let guard = &platform.guard;
    let timeout = platform.call_timeout();
    let table = DynamoTable::new(&platform.table, timeout);
    let snapshots = S3SnapshotStore::new(&platform.objects, timeout)?;
    let machines = HttpMachineList::new(&platform.machines, timeout)?;
    Ok(Platform {
        table: Arc::new(GuardedResourceTable::new(table, timeout, guard.clone())),
        snapshots: Arc::new(GuardedSnapshotStore::new(snapshots, timeout, guard.clone())),
        machines: Arc::new(GuardedMachineList::new(machines, timeout, guard.clone())),
    })
}

/// Time that control gets to end its tasks at a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// The running control of a daemon.
pub(super) struct Control {
    /// The configuration.
    pub state: Arc<ConfigurationState>,
    /// The fleet.
    pub fleet: FleetReceiver,
    membership: Membership,
    distribution: Distribution,
    table: Arc<dyn ResourceTable>,
    stage: Stage,
}

impl Control {
    /// Starts membership and distribution.
    pub fn start(
        settings: &Settings,
        platform: &Platform,
        sockets: ControlSockets,
        addresses: DaemonAddresses,
    ) -> Self {
        let stage = Stage::new();
        let leaving = stage.leaving.clone();
        let state = Arc::new(ConfigurationState::new(settings.api.watch_history));
        let own = own_record(settings, addresses);
        let membership = start_membership(settings, platform, own, sockets.datagrams, &stage);
        let distribution = start_distribution(settings, platform, &membership, &state);
        stage.tasks.spawn(telemetry::keep(leaving.clone()));
        stage.tasks.spawn(control::serve(
            sockets.listener,
            membership.clone(),
            distribution.clone(),
            leaving.clone(),
        ));
        stage.tasks.spawn(open_when_caught_up(
            distribution.clone(),
            state.clone(),
            leaving.clone(),
        ));
        stage.tasks.spawn(snapshot::keep(
            platform.snapshots.clone(),
            state.clone(),
            distribution.clone(),
            leaving.clone(),
        ));
        Self {
            fleet: fleet::follow_membership(&membership, &stage.tasks, leaving),
            state,
            membership,
            distribution,
            table: platform.table.clone(),
            stage,
        }
    }

    /// Starts the operators' API.
    pub fn start_api(&self, settings: &Settings, listener: TcpListener) {
        let Stage { leaving, tasks } = &self.stage;
        let reports = fleet::follow_in_force(&self.distribution, tasks, leaving.clone());
        let in_force = Arc::new(InForceHistory::new(reports));
        let history = in_force.clone();
        let until = leaving.clone();
        tasks.spawn(async move { history.follow(until).await });
        let hastened = self.distribution.clone();
        let context = ApiContext {
            node: settings.node.id.clone(),
            state: self.state.clone(),
            acceptor: Acceptor::new(self.table.clone(), settings.api.request_timeout()),
            in_force,
            fleet: self.fleet.clone(),
            metrics: telemetry::metrics(),
            hasten: Arc::new(move || hastened.hasten()),
            settings: settings.api.clone(),
        };
        tasks.spawn(api::serve(listener, context, leaving.clone()));
    }

    /// Tells the fleet that this daemon leaves, so that it gets no new work.
    pub fn announce_leaving(&self) {
        self.membership.leave();
    }

    /// Ends everything, and tells the fleet that this daemon is gone.
    pub async fn stop(&self) {
        self.distribution.stop().await;
        self.membership.depart().await;
        if timeout(STOP_TIMEOUT, self.stage.stop()).await.is_err() {
            log::warn!("control tasks did not end in time");
        }
    }
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

/// Starts the membership, with first contacts from the platform's list.
fn start_membership(
    settings: &Settings,
    platform: &Platform,
    own: MemberRecord,
    datagrams: UdpSocket,
    stage: &Stage,
) -> Membership {
    let (seeds, seeds_receiver) = watch::channel(Vec::new());
    stage.tasks.spawn(fleet::follow_list(
        platform.machines.clone(),
        seeds,
        settings.control.list_interval(),
        stage.leaving.clone(),
    ));
    let config = MembershipConfig {
        timing: settings.control.membership_timing(),
        ..MembershipConfig::new(own)
    };
    Membership::start(config, datagrams, seeds_receiver)
}

/// Starts the distribution from the platform's log into `state`.
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
