//! Steering over HTTP, for TCP links as below and for UDP links likewise under
//! `/udp-links` (without the reset):
//!
//! - `GET /links` lists all links with their faults and counters;
//! - `POST /tcp-links` adds one ([`NewLink`]) and answers with its status;
//! - `PUT /tcp-links/{id}/faults` replaces its faults, `DELETE` ends them;
//! - `PUT /tcp-links/{id}/target` sets where new connections go;
//! - `POST /tcp-links/{id}/reset` resets its connections;
//! - `DELETE /tcp-links/{id}` removes it.

use super::handle::{LinkId, LinkList, LinkStatus, Links, NewLink, tcp_status, udp_status};
use super::switches::{DatagramLinkFaults, StreamLinkFaults};
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::{delete, get, post, put};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Body of `PUT .../target`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewTarget {
    /// The target.
    pub target: SocketAddr,
}

type AllLinks = State<Arc<Links>>;
type CreateResult<F> = Result<(StatusCode, Json<LinkStatus<F>>), (StatusCode, String)>;

/// Serves the steering interface.
pub(super) async fn serve(listener: TcpListener, links: Arc<Links>) {
    let router = Router::new()
        .route("/links", get(list))
        .route("/tcp-links", post(add_tcp))
        .route("/tcp-links/{id}", delete(remove_tcp))
        .route("/tcp-links/{id}/faults", put(set_tcp_faults))
        .route("/tcp-links/{id}/faults", delete(clear_tcp_faults))
        .route("/tcp-links/{id}/target", put(set_tcp_target))
        .route("/tcp-links/{id}/reset", post(reset_tcp))
        .route("/udp-links", post(add_udp))
        .route("/udp-links/{id}", delete(remove_udp))
        .route("/udp-links/{id}/faults", put(set_udp_faults))
        .route("/udp-links/{id}/faults", delete(clear_udp_faults))
        .route("/udp-links/{id}/target", put(set_udp_target))
        .with_state(links);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!(error:% = error; "the steering interface stopped");
    }
}

async fn list(State(links): AllLinks) -> Json<LinkList> {
    Json(links.list())
}

async fn add_tcp(
    State(links): AllLinks,
    Json(new): Json<NewLink>,
) -> CreateResult<StreamLinkFaults> {
    let (id, link) = links.add_tcp(new).map_err(not_added)?;
    Ok((StatusCode::CREATED, Json(tcp_status(id, &link))))
}

async fn add_udp(
    State(links): AllLinks,
    Json(new): Json<NewLink>,
) -> CreateResult<DatagramLinkFaults> {
    let (id, link) = links.add_udp(new).await.map_err(not_added)?;
    Ok((StatusCode::CREATED, Json(udp_status(id, &link))))
}

fn not_added(error: std::io::Error) -> (StatusCode, String) {
    (StatusCode::CONFLICT, error.to_string())
}

async fn remove_tcp(State(links): AllLinks, Path(id): Path<LinkId>) -> StatusCode {
    removed(links.remove_tcp(id))
}

async fn remove_udp(State(links): AllLinks, Path(id): Path<LinkId>) -> StatusCode {
    removed(links.remove_udp(id))
}

async fn set_tcp_faults(
    State(links): AllLinks,
    Path(id): Path<LinkId>,
    Json(faults): Json<StreamLinkFaults>,
) -> StatusCode {
    let Some(link) = links.tcp(id) else {
        return StatusCode::NOT_FOUND;
    };
    link.set_faults(faults).await;
    StatusCode::NO_CONTENT
}

async fn clear_tcp_faults(links: AllLinks, id: Path<LinkId>) -> StatusCode {
    set_tcp_faults(links, id, Json(StreamLinkFaults::default())).await
}

async fn set_udp_faults(
    State(links): AllLinks,
    Path(id): Path<LinkId>,
    Json(faults): Json<DatagramLinkFaults>,
) -> StatusCode {
    done(links.udp(id).map(|link| link.set_faults(faults)))
}

async fn clear_udp_faults(links: AllLinks, id: Path<LinkId>) -> StatusCode {
    set_udp_faults(links, id, Json(DatagramLinkFaults::default())).await
}

async fn set_tcp_target(
    State(links): AllLinks,
    Path(id): Path<LinkId>,
    Json(new): Json<NewTarget>,
) -> StatusCode {
    done(links.tcp(id).map(|link| link.set_target(new.target)))
}

async fn set_udp_target(
    State(links): AllLinks,
    Path(id): Path<LinkId>,
    Json(new): Json<NewTarget>,
) -> StatusCode {
    done(links.udp(id).map(|link| link.set_target(new.target)))
}

async fn reset_tcp(State(links): AllLinks, Path(id): Path<LinkId>) -> StatusCode {
    done(links.tcp(id).map(|link| link.reset()))
}

fn removed(was_there: bool) -> StatusCode {
    done(was_there.then_some(()))
}

/// The answer to a change of a link, which may not exist.
fn done(change: Option<()>) -> StatusCode {
    match change {
        Some(()) => StatusCode::NO_CONTENT,
        None => StatusCode::NOT_FOUND,
    }
}
