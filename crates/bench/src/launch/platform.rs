//! The platform's stand-in as a process.

use super::binaries::Binary;
use super::error::LaunchError;
use super::http::HttpClient;
use super::process::Process;
use serde::Deserialize;
use std::net::SocketAddr;
use stilequay_daemon::ports::platform::Machine;
use stilequay_standin::platform::faults::ServiceFaults;
use stilequay_standin::platform::handle::ServiceName;
use stilequay_standin::platform::steering::ServiceStatus;

#[derive(Debug, Deserialize)]
struct Ready {
    table: SocketAddr,
    objects: SocketAddr,
    machines: SocketAddr,
    control: SocketAddr,
}

/// The running platform.
#[derive(Debug)]
pub struct Platform {
    ready: Ready,
    steering: HttpClient,
    machines: HttpClient,
    _process: Process,
}

impl Platform {
    /// Starts the platform, with an empty list of machines.
    pub async fn start() -> Result<Self, LaunchError> {
        let arguments = ["platform".into()];
        let (process, ready): (_, Ready) =
            Process::start(Binary::StandIn, "platform", &arguments).await?;
        Ok(Self {
            steering: HttpClient::new(ready.control),
            machines: HttpClient::new(ready.machines),
            ready,
            _process: process,
        })
    }

    /// The settings by which a daemon finds the platform, as `section.key=value`.
    pub fn daemon_settings(&self) -> [String; 3] {
        [
            format!("platform.table=http://{}", self.ready.table),
            format!("platform.objects=http://{}", self.ready.objects),
            format!("platform.machines=http://{}", self.ready.machines),
        ]
    }

    /// Replaces the list of machines.
    pub async fn set_machines(&self, machines: &[Machine]) -> Result<(), LaunchError> {
        self.machines.set("/machines", &machines).await
    }

    /// Replaces the faults of a service.
    pub async fn set_faults(
        &self,
        service: ServiceName,
        faults: &ServiceFaults,
    ) -> Result<(), LaunchError> {
        self.steering.set(&faults_path(service), faults).await
    }

    /// How many calls of a service have lost their answers.
    pub async fn answers_lost(&self, service: ServiceName) -> Result<u64, LaunchError> {
        let shown: Vec<ServiceStatus> = self.steering.get("/services").await?;
        let status = shown.iter().filter(|status| status.service == service);
        let counters = status.flat_map(|status| status.counters.values());
        Ok(counters.map(|operation| operation.answers_lost).sum())
    }

    /// Ends all faults of all services.
    pub async fn heal(&self) -> Result<(), LaunchError> {
        for service in ServiceName::ALL {
            self.steering.delete(&faults_path(service)).await?;
        }
        Ok(())
    }
}

fn faults_path(service: ServiceName) -> String {
    let name = match service {
        ServiceName::Table => "table",
        ServiceName::Objects => "objects",
        ServiceName::Machines => "machines",
    };
    format!("/services/{name}/faults")
}
