//! One connection to a back end.

use super::prepared::PreparedStatements;
use crate::domain::names::MemberName;
use crate::domain::resource::DatabaseGroupSpec;
use futures::{FutureExt, StreamExt};
use pgwire::api::client::Config;
use pgwire::api::client::auth::DefaultStartupHandler;
use pgwire::error::PgWireClientError;
use pgwire::messages::PgWireBackendMessage;
use pgwire::tokio::client::PgWireClient;
use quick_error::quick_error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::position::Term;
use tokio::time::timeout;

/// Name under which the proxy's connections show at the back end.
const APPLICATION_NAME: &str = "stilequay";
/// SQLSTATE of a server whose connections are all in use.
const SQLSTATE_TOO_MANY_CONNECTIONS: &str = "53300";
/// Greatest time spent on asking a back end to cancel a statement.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Why a back end could not be connected to or asked.
    #[derive(Debug)]
    pub enum BackEndError {
        /// The server's connections are all in use.
        TooManyConnections {
            display("the server has no connection left")
        }
        /// No answer in time.
        Timeout {
            display("the server did not answer in time")
        }
        /// The address in the group's resource is not one.
        InvalidAddress(address: String) {
            display("{address} is not an address")
        }
        /// The server refused, or the connection broke.
        Client(error: PgWireClientError) {
            from()
            source(error)
            display("{error}")
        }
        /// The server answered something that makes no sense.
        Malformed(reason: String) {
            display("the server's answer is malformed: {reason}")
        }
    }
}

/// Where and how to log in to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackEndTarget {
    /// The member.
    pub member: MemberName,
    /// `ip:port`.
    pub address: String,
    /// The group that the member belongs to.
    pub group: Arc<DatabaseGroupSpec>,
}

impl BackEndTarget {
    /// Opens a connection and logs in.
    pub async fn connect(&self, deadline: Duration) -> Result<PgWireClient, BackEndError> {
        let config = Arc::new(self.client_config()?);
        let connecting = PgWireClient::connect(config, DefaultStartupHandler::new(), None);
        match timeout(deadline, connecting).await {
            Ok(Ok(client)) => Ok(client),
            Ok(Err(error)) => Err(connect_error(error)),
            Err(_) => Err(BackEndError::Timeout),
        }
    }

    fn client_config(&self) -> Result<Config, BackEndError> {
        let address: SocketAddr = self
            .address
            .parse()
            .map_err(|_| BackEndError::InvalidAddress(self.address.clone()))?;
        let mut config = Config::new();
        config
            .hostaddr(address.ip())
            .port(address.port())
            .user(&self.group.user)
            .password(self.group.password.expose())
            .dbname(&self.group.database)
            .application_name(APPLICATION_NAME);
        Ok(config)
    }
}

fn connect_error(error: PgWireClientError) -> BackEndError {
    match &error {
        PgWireClientError::RemoteError(info) if info.code == SQLSTATE_TOO_MANY_CONNECTIONS => {
            BackEndError::TooManyConnections
        }
        _ => BackEndError::Client(error),
    }
}

/// A connection that runs units, bound to the term at which it was opened.
pub struct BackEndConnection {
    /// The member.
    pub member: MemberName,
    /// A term that the member had reported before the connection was opened. The
    /// member's true term may only be higher, which confirmation notices.
    pub term: Term,
    /// Statements prepared on the connection.
    pub prepared: PreparedStatements,
    /// Whether session state makes the connection unfit for other callers.
    pub has_session_state: bool,
    /// The protocol connection.
    pub client: PgWireClient,
}

impl BackEndConnection {
    /// Whether an idle connection still stands, as far as can be told without asking.
    ///
    /// An idle back end says nothing, so any message or the end of the stream
    /// means that it is going away.
    pub fn is_quiet(&mut self) -> bool {
        self.client.next().now_or_never().is_none()
    }

    /// The next message of the back end; cancel-safe.
    pub async fn next_message(&mut self) -> Result<PgWireBackendMessage, BackEndError> {
        match self.client.next().await {
            Some(Ok(message)) => Ok(message),
            Some(Err(error)) => Err(BackEndError::Client(error.into())),
            None => Err(BackEndError::Client(PgWireClientError::UnexpectedEOF)),
        }
    }

    /// Asks the back end to give up the statement in progress.
    pub async fn cancel(&self) {
        match timeout(CANCEL_TIMEOUT, self.client.cancel()).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::debug!(member:% = self.member; "cancel failed: {error}"),
            Err(_) => log::debug!(member:% = self.member; "cancel timed out"),
        }
    }
}
