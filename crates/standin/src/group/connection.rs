//! One connection to a member: startup, cancellation and the delays of the network.

use super::authentication::{Authentication, ScramStartup};
use super::error::{SqlError, SqlState};
use super::extended::ExtendedQueries;
use super::member::Member;
use super::session::{CancelRequested, Session};
use async_trait::async_trait;
use futures::Sink;
use futures::channel::oneshot;
use pgwire::api::auth::StartupHandler;
use pgwire::api::cancel::{CancelHandler, DefaultCancelHandler};
use pgwire::api::query::{ExtendedQueryHandler, SimpleQueryHandler};
use pgwire::api::{
    ClientInfo, ConnectionGuard, ConnectionHandle, ErrorHandler, METADATA_APPLICATION_NAME,
    PgWireConnectionState, PgWireServerHandlers,
};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult, SEVERITY_FATAL};
use pgwire::messages::startup::Startup;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use std::fmt::Debug;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard, OnceCell};

/// What one connection to a member is served with.
pub(crate) struct Connection {
    member: Arc<Member>,
    startup: ScramStartup,
    session: Mutex<Session>,
    cancel: OnceCell<(Arc<ConnectionHandle>, ConnectionGuard)>,
    /// Whether a message of the present batch has arrived: a batch crosses the network once.
    batch_arrived: AtomicBool,
}

impl Connection {
    /// Handlers for one connection to `member`.
    pub(crate) fn new(member: Arc<Member>, authentication: &Arc<Authentication>) -> Self {
        Self {
            startup: authentication.startup(&member),
            session: Mutex::new(Session::new(member.clone())),
            member,
            cancel: OnceCell::new(),
            batch_arrived: AtomicBool::new(false),
        }
    }

    /// The session; each connection is served by one task, so nobody waits here.
    pub(crate) async fn session(&self) -> MutexGuard<'_, Session> {
        self.session.lock().await
    }

    /// Delays the first message of a batch by the network's time, and any while frozen.
    pub(crate) async fn request_arrives(&self) {
        if !self.batch_arrived.swap(true, Ordering::Relaxed) {
            self.cross_network(1).await;
        }
        self.member.acting().await;
    }

    /// Delays an answer by the network's time, and while frozen.
    pub(crate) async fn answer_leaves(&self) {
        self.member.acting().await;
        self.cross_network(1).await;
        self.batch_arrived.store(false, Ordering::Relaxed);
    }

    async fn cross_network(&self, times: u32) {
        let delay = Duration::from_micros(self.member.tunables().delays.network_us) * times;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    /// Resolves when the client asks to cancel the statement that begins now.
    pub(crate) async fn cancel_requested(&self) -> CancelRequested {
        match self.cancel.get() {
            Some((handle, _)) => handle.start_query().await,
            None => oneshot::channel().1,
        }
    }

    async fn admit(&self, startup: &Startup) -> PgWireResult<()> {
        let Some(admission) = self.member.admit() else {
            return Err(fatal(
                SqlState::TooManyConnections,
                "sorry, too many clients already",
            ));
        };
        let mut session = self.session().await;
        session.admission = Some(admission);
        if let Some(name) = startup.parameters.get(METADATA_APPLICATION_NAME) {
            session.set_default(METADATA_APPLICATION_NAME, name);
        }
        drop(session);
        let cost = Duration::from_micros(self.member.tunables().delays.connection_us);
        if !cost.is_zero() {
            tokio::time::sleep(cost).await;
        }
        Ok(())
    }

    /// Makes the connection known to cancel requests.
    async fn register(&self, client: &impl ClientInfo) {
        let (process, secret) = client.pid_and_secret_key();
        self.session().await.set_backend(process);
        let registration = async || self.member.cancels.register(process, secret);
        self.cancel.get_or_init(registration).await;
    }
}

fn fatal(state: SqlState, message: &str) -> PgWireError {
    let mut info = ErrorInfo::from(SqlError::new(state, message));
    info.severity = SEVERITY_FATAL.to_owned();
    PgWireError::UserError(Box::new(info))
}

#[async_trait]
impl StartupHandler for Connection {
    async fn on_startup<C>(
        &self,
        client: &mut C,
        message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        // There and back: what the library answers here cannot be held up afterwards.
        self.cross_network(2).await;
        self.member.acting().await;
        if let PgWireFrontendMessage::Startup(startup) = &message {
            self.admit(startup).await?;
        }
        self.startup.on_startup(client, message).await?;
        if matches!(client.state(), PgWireConnectionState::ReadyForQuery) {
            self.register(client).await;
        }
        Ok(())
    }
}

impl ErrorHandler for Connection {
    /// Fails the transaction block for errors that the protocol library finds itself, too.
    fn on_error<C: ClientInfo>(&self, _client: &C, _error: &mut PgWireError) {
        // Errors are handled once the handler that failed has given the session back.
        if let Ok(mut session) = self.session.try_lock() {
            session.fail();
        }
    }
}

/// The handlers of one connection, as the protocol library takes them.
pub(crate) struct Handlers(pub(crate) Arc<Connection>);

impl PgWireServerHandlers for Handlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.0.clone()
    }

    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        Arc::new(ExtendedQueries(self.0.clone()))
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        self.0.clone()
    }

    fn error_handler(&self) -> Arc<impl ErrorHandler> {
        self.0.clone()
    }

    fn cancel_handler(&self) -> Arc<impl CancelHandler> {
        Arc::new(DefaultCancelHandler::new(self.0.member.cancels.clone()))
    }
}
