//! What the three services share: the way of a call through the faults.

use super::connection::{AllConnections, BreakableListener, ConnectionControl};
use super::faults::{FaultDraw, LossMoment, Outage, ServiceFaults, ThrottledLimit};
use crate::switched_listener::{ListenerSwitch, SwitchedListener};
use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::{ConnectInfo, Request, State};
use axum::http::{StatusCode, request};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// A call with its whole body.
#[derive(Debug)]
pub struct Call {
    /// Method, path and headers.
    pub head: request::Parts,
    /// The body.
    pub body: Bytes,
}

/// What a service does without faults, and how it words its faults.
pub trait Service: Send + Sync + 'static {
    /// Name of the called operation, for counters and for faults by operation.
    fn operation(&self, head: &request::Parts) -> String;

    /// Carries the call out.
    fn handle(&self, call: &Call) -> Response;

    /// The answer to a call over the rate.
    fn throttled(&self, limit: ThrottledLimit) -> Response;

    /// The answer during [`Outage::Error`].
    fn internal_error(&self) -> Response;
}

/// How many calls of one operation a service has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct OperationCounters {
    /// Calls that arrived.
    pub received: u64,
    /// Calls carried out, whether or not they changed anything.
    pub handled: u64,
    /// Calls throttled.
    pub throttled: u64,
    /// Calls answered by an internal server error.
    pub failed: u64,
    /// Calls whose answer was lost, before or after their effect.
    pub answers_lost: u64,
}

/// Counters by operation.
pub type ServiceCounters = BTreeMap<String, OperationCounters>;

/// A running service with its faults.
#[derive(Debug)]
pub struct RunningService {
    address: SocketAddr,
    switch: ListenerSwitch,
    shared: Arc<Shared>,
    server: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    faults: watch::Sender<ServiceFaults>,
    draw: Mutex<FaultDraw>,
    counters: Mutex<ServiceCounters>,
    connections: AllConnections,
}

struct Context<S> {
    service: Arc<S>,
    shared: Arc<Shared>,
}

impl<S> Clone for Context<S> {
    fn clone(&self) -> Self {
        Self {
            service: Arc::clone(&self.service),
            shared: Arc::clone(&self.shared),
        }
    }
}

impl RunningService {
    /// Serves `service` on `address`.
    pub fn start<S: Service>(service: Arc<S>, address: SocketAddr) -> io::Result<Self> {
        let (listener, switch) = SwitchedListener::bind(address)?;
        let address = listener.local_address();
        let shared = Arc::new(Shared::new());
        let listener = BreakableListener::new(listener, shared.connections.clone());
        let context = Context {
            service,
            shared: Arc::clone(&shared),
        };
        let server = tokio::spawn(serve(listener, context));
        Ok(Self {
            address,
            switch,
            shared,
            server,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The faults set.
    pub fn faults(&self) -> ServiceFaults {
        self.shared.faults.borrow().clone()
    }

    /// Replaces the faults; they are in effect once this returns.
    pub async fn set_faults(&self, faults: ServiceFaults) {
        let refuse = faults.outage == Some(Outage::Refuse);
        *self.shared.draw() = FaultDraw::new(&faults);
        self.shared.faults.send_replace(faults);
        self.switch.set_open(!refuse).await;
        if refuse {
            self.shared.connections.break_off();
        }
    }

    /// The counters since the start or the last reset.
    pub fn counters(&self) -> ServiceCounters {
        self.shared.counters().clone()
    }

    /// Sets all counters to zero.
    pub fn reset_counters(&self) {
        self.shared.counters().clear();
    }
}

impl Drop for RunningService {
    fn drop(&mut self) {
        self.server.abort();
        self.shared.connections.break_off();
    }
}

impl Shared {
    fn new() -> Self {
        Self {
            faults: watch::Sender::new(ServiceFaults::default()),
            draw: Mutex::default(),
            counters: Mutex::default(),
            connections: AllConnections::default(),
        }
    }

    fn draw(&self) -> MutexGuard<'_, FaultDraw> {
        self.draw.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counters(&self) -> MutexGuard<'_, ServiceCounters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, operation: &str, increment: impl FnOnce(&mut OperationCounters)) {
        increment(self.counters().entry(operation.to_owned()).or_default());
    }

    async fn wait_while_hung(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives in `self`, so that waiting cannot fail.
        let _ = faults
            .wait_for(|faults| faults.outage != Some(Outage::Hang))
            .await;
    }
}

async fn serve<S: Service>(listener: BreakableListener, context: Context<S>) {
    let router = Router::new()
        .fallback(answer::<S>)
        .with_state(context)
        .into_make_service_with_connect_info::<ConnectionControl>();
    if let Err(error) = axum::serve(listener, router).await {
        log::error!(error:% = error; "a platform service stopped");
    }
}

/// Runs the call in a task of its own: a caller that gives up does not undo a
/// call that the service has received.
async fn answer<S: Service>(
    State(context): State<Context<S>>,
    ConnectInfo(connection): ConnectInfo<ConnectionControl>,
    request: Request,
) -> Response {
    let (head, body) = request.into_parts();
    let Ok(body) = read_body(body).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let call = Call { head, body };
    let running = tokio::spawn(run(context.clone(), connection, call));
    match running.await {
        Ok(response) => response,
        Err(_) => context.service.internal_error(),
    }
}

async fn read_body(body: Body) -> Result<Bytes, axum::Error> {
    to_bytes(body, MAX_REQUEST_BYTES).await
}

async fn run<S: Service>(
    context: Context<S>,
    connection: ConnectionControl,
    call: Call,
) -> Response {
    let Context { service, shared } = context;
    let operation = service.operation(&call.head);
    shared.count(&operation, |counters| counters.received += 1);
    shared.wait_while_hung().await;
    let faults = shared.faults.borrow().clone();
    tokio::time::sleep(faults.latency()).await;
    if faults.outage == Some(Outage::Error) {
        shared.count(&operation, |counters| counters.failed += 1);
        return service.internal_error();
    }
    if faults.outage == Some(Outage::Throttle) || shared.draw().throttles() {
        shared.count(&operation, |counters| counters.throttled += 1);
        return service.throttled(faults.throttled_limit);
    }
    let loss = shared.draw().loses_answer(&operation);
    if loss == Some(LossMoment::BeforeEffect) {
        return lose_answer(&shared, &connection, &operation);
    }
    shared.count(&operation, |counters| counters.handled += 1);
    let response = service.handle(&call);
    if loss == Some(LossMoment::AfterEffect) {
        return lose_answer(&shared, &connection, &operation);
    }
    tokio::time::sleep(faults.answer_latency()).await;
    response
}

/// Breaks the connection off; the response returned is never written.
fn lose_answer(shared: &Shared, connection: &ConnectionControl, operation: &str) -> Response {
    shared.count(operation, |counters| counters.answers_lost += 1);
    connection.break_off();
    StatusCode::INTERNAL_SERVER_ERROR.into_response()
}
