//! The operators' API: resources as JSON over HTTP, and what monitoring asks for.

mod access;
mod audit;
mod changes;
mod documents;
mod editing;
mod failure;
mod merge;
mod monitoring;
mod openapi;
mod paging;
mod requests;
mod resources;
mod status;
mod watch;

pub use changes::{Deletion, OutcomeAnswer, OutcomeName};
pub use documents::{
    Condition, ConditionStatus, ConditionType, Document, DocumentMetadata, DocumentStatus,
};
pub use failure::{FailureBody, FailureCode, FailureDetail};
pub use openapi::description;
pub use resources::DocumentList;
pub use status::FleetStatus;
pub use watch::WatchEvent;

use crate::app::control::acceptance::Acceptor;
use crate::app::control::in_force::InForceHistory;
use crate::app::control::state::ConfigurationState;
use crate::ports::fleet::FleetReceiver;
use crate::settings::ApiSettings;
use access::AccessList;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::middleware;
use axum::routing::get;
use metrics_exporter_prometheus::PrometheusHandle;
use std::sync::Arc;
use stilequay_coordination::identity::NodeId;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// What the API works with.
pub struct ApiContext {
    /// This daemon.
    pub node: NodeId,
    /// The configuration as this daemon has it.
    pub state: Arc<ConfigurationState>,
    /// Accepts changes.
    pub acceptor: Acceptor,
    /// What is in force on the fleet.
    pub in_force: Arc<InForceHistory>,
    /// The fleet as this daemon sees it.
    pub fleet: FleetReceiver,
    /// Renders the metrics of the process.
    pub metrics: PrometheusHandle,
    /// Called after each accepted change, so that its distribution begins at once.
    pub hasten: Arc<dyn Fn() + Send + Sync>,
    /// Settings.
    pub settings: ApiSettings,
}

/// What all requests share.
struct Api {
    context: ApiContext,
    access: AccessList,
    leaving: CancellationToken,
}

/// Shared by all requests.
type SharedApi = Arc<Api>;

/// Serves operators until `leaving` is cancelled; requests in progress are ended
/// first, watches are closed.
pub async fn serve(listener: TcpListener, context: ApiContext, leaving: CancellationToken) {
    let router = router(context, leaving.clone());
    let served = axum::serve(listener, router)
        .with_graceful_shutdown(leaving.cancelled_owned())
        .await;
    if let Err(error) = served {
        log::error!("the operators' API has stopped: {error}");
    }
}

fn router(context: ApiContext, leaving: CancellationToken) -> Router {
    let max_body_bytes = context.settings.max_body_bytes;
    let api = Arc::new(Api {
        access: AccessList::new(&context.settings.tokens),
        context,
        leaving,
    });
    let restricted = Router::new()
        .route("/v1/status", get(status::fleet_status))
        .route("/v1/changes/{revision}", get(changes::outcome))
        .route(
            "/v1/{kind}",
            get(resources::list_or_watch).post(changes::create),
        )
        .route(
            "/v1/{kind}/{name}",
            get(resources::get)
                .put(changes::replace)
                .patch(changes::patch)
                .delete(changes::delete),
        )
        .layer(middleware::from_fn_with_state(api.clone(), access::check));
    Router::new()
        .merge(restricted)
        .route("/healthz", get(monitoring::healthz))
        .route("/readyz", get(monitoring::readyz))
        .route("/metrics", get(monitoring::metrics))
        .route("/openapi.json", get(openapi::serve))
        .fallback(requests::not_found)
        .method_not_allowed_fallback(requests::method_not_allowed)
        .layer(DefaultBodyLimit::max(max_body_bytes))
        .layer(middleware::from_fn(requests::identify))
        .with_state(api)
}
