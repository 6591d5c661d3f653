//! Steering over HTTP:
//!
//! - `GET /services` shows faults and counters of all services;
//! - `PUT /services/{service}/faults` replaces the faults of one, `DELETE` ends them;
//! - `DELETE /services/{service}/counters` sets its counters to zero;
//! - `PUT /machines/lag` sets the lag of the machine list.

use super::faults::ServiceFaults;
use super::handle::{ServiceName, Services};
use super::service::ServiceCounters;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::{delete, get, put};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// One service as `GET /services` shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceStatus {
    /// Which service.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its faults.
    pub faults: ServiceFaults,
    /// Its counters by operation.
    pub counters: ServiceCounters,
}

/// Body of `PUT /machines/lag`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct MachinesLag {
    /// How long changes stay invisible, in milliseconds.
    pub lag_millis: u64,
}

/// Serves the steering interface.
pub(super) async fn serve(listener: TcpListener, services: Arc<Services>) {
    let router = Router::new()
        .route("/services", get(show))
        .route("/services/{service}/faults", put(set_faults))
        .route("/services/{service}/faults", delete(clear_faults))
        .route("/services/{service}/counters", delete(reset_counters))
        .route("/machines/lag", put(set_lag))
        .with_state(services);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!(error:% = error; "the steering interface stopped");
    }
}

async fn show(State(services): State<Arc<Services>>) -> Json<Vec<ServiceStatus>> {
    let shown = ServiceName::ALL.map(|name| status(&services, name));
    Json(shown.into())
}

fn status(services: &Services, name: ServiceName) -> ServiceStatus {
    let service = services.service(name);
    ServiceStatus {
        service: name,
        address: service.address(),
        faults: service.faults(),
        counters: service.counters(),
    }
}

async fn set_faults(
    State(services): State<Arc<Services>>,
    Path(name): Path<ServiceName>,
    Json(faults): Json<ServiceFaults>,
) -> StatusCode {
    services.service(name).set_faults(faults).await;
    StatusCode::NO_CONTENT
}

async fn clear_faults(
    State(services): State<Arc<Services>>,
    Path(name): Path<ServiceName>,
) -> StatusCode {
    let none = ServiceFaults::default();
    services.service(name).set_faults(none).await;
    StatusCode::NO_CONTENT
}

async fn reset_counters(
    State(services): State<Arc<Services>>,
    Path(name): Path<ServiceName>,
) -> StatusCode {
    services.service(name).reset_counters();
    StatusCode::NO_CONTENT
}

async fn set_lag(
    State(services): State<Arc<Services>>,
    Json(lag): Json<MachinesLag>,
) -> StatusCode {
    let lag = Duration::from_millis(lag.lag_millis);
    services.machine_list().set_lag(lag);
    StatusCode::NO_CONTENT
}
