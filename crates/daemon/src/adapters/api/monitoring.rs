//! What monitoring asks for: liveness, readiness, metrics.

use super::{Api, SharedApi};
use crate::domain::membership::Liveness;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};

/// Content type of the Prometheus text format.
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";

/// `GET /healthz`: the process answers.
pub async fn healthz() -> &'static str {
    "ok\n"
}

/// `GET /readyz`: the daemon has caught up, and isn't leaving.
pub async fn readyz(State(api): State<SharedApi>) -> Response {
    if is_leaving(&api) {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving\n").into_response();
    }
    if !api.context.state.is_caught_up() {
        let text = "the configuration has not been caught up with\n";
        return (StatusCode::SERVICE_UNAVAILABLE, text).into_response();
    }
    "ready\n".into_response()
}

/// Whether the daemon has announced a planned stop.
fn is_leaving(api: &Api) -> bool {
    let fleet = api.context.fleet.borrow();
    let own = fleet.members.get(&api.context.node);
    own.is_some_and(|own| own.liveness == Liveness::Leaving)
}

/// `GET /metrics`.
pub async fn metrics(State(api): State<SharedApi>) -> Response {
    let text = api.context.metrics.render();
    ([(header::CONTENT_TYPE, PROMETHEUS_TEXT)], text).into_response()
}
