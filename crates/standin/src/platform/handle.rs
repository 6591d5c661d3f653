//! Starting and steering the platform from within a process.

use super::faults::ServiceFaults;
use super::machines::{Machine, MachineList};
use super::objects::ObjectStore;
use super::service::{RunningService, ServiceCounters};
use super::steering;
use super::table::{TableSchema, TableService, default_tables};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Any free port of the loopback interface.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Where the services listen and which tables there are.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the machine list.
    pub machines: SocketAddr,
    /// Address of the HTTP interface for steering.
    pub control: SocketAddr,
    /// The tables of the table service.
    pub tables: Vec<TableSchema>,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            table: ANY_PORT,
            objects: ANY_PORT,
            machines: ANY_PORT,
            control: ANY_PORT,
            tables: default_tables(),
        }
    }
}

/// One of the platform's services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum ServiceName {
    /// The table service.
    Table,
    /// The object store.
    Objects,
    /// The machine list.
    Machines,
}

impl ServiceName {
    /// All services.
    pub const ALL: [Self; 3] = [Self::Table, Self::Objects, Self::Machines];
}

/// The running services.
#[derive(Debug)]
pub(super) struct Services {
    table: RunningService,
    objects: RunningService,
    machines: RunningService,
    machine_list: Arc<MachineList>,
}

/// A running platform; it stops when the handle is dropped.
#[derive(Debug)]
pub struct PlatformHandle {
    services: Arc<Services>,
    control: SocketAddr,
    control_server: JoinHandle<()>,
}

/// Starts the platform.
pub async fn start(settings: PlatformSettings) -> io::Result<PlatformHandle> {
    let machine_list = Arc::new(MachineList::default());
    let table = Arc::new(TableService::new(&settings.tables));
    let services = Arc::new(Services {
        table: RunningService::start(table, settings.table)?,
        objects: RunningService::start(Arc::new(ObjectStore::default()), settings.objects)?,
        machines: RunningService::start(Arc::clone(&machine_list), settings.machines)?,
        machine_list,
    });
    let listener = TcpListener::bind(settings.control).await?;
    let control = listener.local_addr()?;
    let control_server = tokio::spawn(steering::serve(listener, Arc::clone(&services)));
    Ok(PlatformHandle {
        services,
        control,
        control_server,
    })
}

impl Services {
    pub(super) fn service(&self, name: ServiceName) -> &RunningService {
        match name {
            ServiceName::Table => &self.table,
            ServiceName::Objects => &self.objects,
            ServiceName::Machines => &self.machines,
        }
    }

    pub(super) fn machine_list(&self) -> &MachineList {
        &self.machine_list
    }
}

impl PlatformHandle {
    /// URL of the table service.
    pub fn table_url(&self) -> String {
        self.url(ServiceName::Table)
    }

    /// URL of the object store, without a bucket.
    pub fn objects_url(&self) -> String {
        self.url(ServiceName::Objects)
    }

    /// URL of the machine list's server; the list is at `/machines`.
    pub fn machines_url(&self) -> String {
        self.url(ServiceName::Machines)
    }

    /// Address of a service.
    pub fn address(&self, service: ServiceName) -> SocketAddr {
        self.services.service(service).address()
    }

    /// Address of the HTTP interface for steering.
    pub fn control_address(&self) -> SocketAddr {
        self.control
    }

    /// The faults of a service.
    pub fn faults(&self, service: ServiceName) -> ServiceFaults {
        self.services.service(service).faults()
    }

    /// Replaces the faults of a service; they are in effect once this returns.
    pub async fn set_faults(&self, service: ServiceName, faults: ServiceFaults) {
        self.services.service(service).set_faults(faults).await;
    }

    /// Ends all faults of a service.
    pub async fn clear_faults(&self, service: ServiceName) {
        self.set_faults(service, ServiceFaults::default()).await;
    }

    /// How many calls a service has seen, by operation.
    pub fn counters(&self, service: ServiceName) -> ServiceCounters {
        self.services.service(service).counters()
    }

    /// Sets the counters of a service to zero.
    pub fn reset_counters(&self, service: ServiceName) {
        self.services.service(service).reset_counters();
    }

    /// Replaces the machine list; readers see it after the lag.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        self.services.machine_list.replace(machines);
    }

    /// Sets how long changes of the machine list made from now on stay invisible.
    pub fn set_machines_lag(&self, lag: Duration) {
        self.services.machine_list.set_lag(lag);
    }

    fn url(&self, service: ServiceName) -> String {
        format!("http://{}", self.address(service))
    }
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.control_server.abort();
    }
}
