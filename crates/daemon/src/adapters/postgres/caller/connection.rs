//! A new connection, from its first byte to an authenticated caller.

use super::Shared;
use super::authentication::{self, AuthenticationError};
use super::builder::{UnitBuilder, UnitLimits};
use super::caller::Caller;
use super::cancel::CancelHandle;
use super::parameters::FLOOR_PARAMETER;
use super::reply::{ErrorReply, encode, parameter_status, ready_for_query};
use super::socket::{CallerSocket, SocketError};
use super::startup::{self, Opening, StartupError, StartupRequest};
use super::statements::StatementStore;
use super::unit::{LIMIT_EXCEEDED, PROTOCOL_VIOLATION};
use crate::app::front::{self, CallerSession, ConnectionGauge, ServicePermit, count_refusal};
use crate::domain::exchange::TransactionState;
use bytes::BytesMut;
use pgwire::messages::startup::{BackendKeyData, SecretKey};
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// SQLSTATE `too_many_connections`.
const TOO_MANY_CONNECTIONS: &str = "53300";

impl From<AuthenticationError> for StartupError {
    fn from(error: AuthenticationError) -> Self {
        match error {
            AuthenticationError::Socket(error) => Self::Socket(error),
            AuthenticationError::Refused(reply) => Self::Refused(reply),
        }
    }
}

/// Serves one accepted connection to its end.
pub(super) async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _gauge = ConnectionGauge::enter();
    // Without it, short answers wait for the caller's acknowledgement of earlier ones.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller left at once: {error}");
        return;
    }
    let mut socket = CallerSocket::new(stream, shared.front.settings());
    let Some(admission) = shared.front.limits().admit() else {
        return count_refusal("dropped");
    };
    let starting = Box::pin(start(&mut socket, &shared, admission.is_admitted));
    let started = tokio::select! {
        started = timeout(shared.front.settings().startup_timeout(), starting) => started,
        () = shared.front.leaving().cancelled() => return,
    };
    // Each phase is boxed, so that an idle caller takes the memory of none but its own.
    match started {
        Ok(Ok(Some(entered))) => caller(socket, shared, entered).serve().await,
        Ok(Ok(None)) => {}
        Ok(Err(error)) => Box::pin(turn_away(socket, error)).await,
        Err(_) => count_refusal("startup timeout"),
    }
}

/// A caller that has been let in.
struct Entered {
    request: Box<StartupRequest>,
    permit: ServicePermit,
    cancel: CancelHandle,
}

fn caller(socket: CallerSocket, shared: Arc<Shared>, entered: Entered) -> Box<Caller> {
    let Entered {
        request,
        permit,
        cancel,
    } = entered;
    let settings = shared.front.settings();
    let limits = UnitLimits {
        max_unit_bytes: settings.max_unit_bytes,
        max_prepared_statements: settings.max_prepared_statements,
    };
    Box::new(Caller {
        socket,
        builder: UnitBuilder::new(limits, Arc::clone(&shared.classifier)),
        cancel,
        session: CallerSession::open(
            Arc::clone(&shared.front),
            request.service,
            request.group,
            request.freshness,
            request.repeat,
        ),
        statements: StatementStore::default(),
        skips_to_sync: false,
        _permit: permit,
    })
}

/// Reads the startup message and authenticates; `None` where the connection only
/// asked for a cancellation.
async fn start(
    socket: &mut CallerSocket,
    shared: &Shared,
    is_admitted: bool,
) -> Result<Option<Entered>, StartupError> {
    let limit = shared.front.settings().max_startup_bytes;
    let request = match startup::read_opening(socket, limit).await? {
        Opening::Start(request) => request,
        Opening::Cancel(request) => {
            if let Some(secret) = request.secret_key.as_i32() {
                shared.cancels.cancel(request.pid, secret);
            }
            return Ok(None);
        }
    };
    if !is_admitted {
        return Err(too_many("the proxy").into());
    }
    if let Some(negotiation) = request.negotiation() {
        socket.write(&negotiation).await?;
    }
    let permit = enter(socket, shared, &request).await?;
    let cancel = shared.cancels.register();
    socket.write(&greeting(&request, &cancel, shared)).await?;
    Ok(Some(Entered {
        request,
        permit,
        cancel,
    }))
}

async fn enter(
    socket: &mut CallerSocket,
    shared: &Shared,
    request: &StartupRequest,
) -> Result<ServicePermit, StartupError> {
    let configuration = front::configuration(shared.front.configuration())?;
    let service = configuration.services.get(&request.service);
    let max_connections = service.map_or(u32::MAX, |it| it.max_connections);
    if shared
        .front
        .limits()
        .is_full(&request.service, max_connections)
    {
        return Err(too_many("the service").into());
    }
    authentication::authenticate(
        socket,
        request.service.as_str(),
        service.map(|it| &it.verifier),
        shared.front.settings().max_startup_bytes,
    )
    .await?;
    front::policy_for(&configuration, &request.service, &request.group)?;
    shared
        .front
        .limits()
        .enter(&request.service, max_connections)
        .ok_or_else(|| too_many("the service").into())
}

fn too_many(whose: &str) -> ErrorReply {
    let mut reply = ErrorReply::fatal(
        TOO_MANY_CONNECTIONS,
        format!("sorry, too many clients already: {whose} has no connection left"),
    );
    reply.detail = Some("verdict=NotRun retry_after_ms=1000".to_owned());
    reply
}

async fn turn_away(socket: CallerSocket, error: StartupError) {
    let reply = match error {
        StartupError::Refused(reply) => reply,
        StartupError::Socket(SocketError::Gone(_)) => return,
        StartupError::Socket(error @ SocketError::Malformed(_)) => {
            ErrorReply::fatal(PROTOCOL_VIOLATION, error.to_string())
        }
        StartupError::Socket(error @ SocketError::TooLarge { .. }) => {
            ErrorReply::fatal(LIMIT_EXCEEDED, error.to_string())
        }
    };
    count_refusal(reply.sqlstate);
    log::info!(sqlstate = reply.sqlstate; "turned a caller away: {}", reply.message);
    socket.close_with(&reply.encode()).await;
}

/// The parameters that PostgreSQL reports to every client, the key for cancel
/// requests, and that the caller may begin.
fn greeting(request: &StartupRequest, cancel: &CancelHandle, shared: &Shared) -> BytesMut {
    let user = request.service.as_str();
    let parameters = [
        (
            "server_version",
            shared.front.settings().server_version.as_str(),
        ),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("application_name", request.application_name.as_str()),
        ("default_transaction_read_only", "off"),
        ("in_hot_standby", "off"),
        ("is_superuser", "off"),
        ("session_authorization", user),
        ("DateStyle", "ISO, MDY"),
        ("IntervalStyle", "postgres"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    let mut bytes = BytesMut::new();
    for (name, value) in parameters {
        bytes.extend_from_slice(&parameter_status(name, value));
    }
    if let Some(floor) = request.freshness.reported_floor() {
        bytes.extend_from_slice(&parameter_status(FLOOR_PARAMETER, &floor.to_string()));
    }
    bytes.extend_from_slice(&encode(&BackendKeyData::new(
        cancel.process_id,
        SecretKey::I32(cancel.secret),
    )));
    bytes.extend_from_slice(&ready_for_query(TransactionState::Idle));
    bytes
}
