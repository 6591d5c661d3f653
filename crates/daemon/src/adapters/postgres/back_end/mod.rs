//! Members of a group over the PostgreSQL protocol.

mod connection;
mod plan;
mod prepared;
mod probe;

pub use plan::{PlanError, UnitPlan};
pub use prepared::PreparedStatements;
pub use probe::parse_position;

use crate::ports::back_end::{BackEnd, BackEndConnection, BackEndError, BackEndTarget};
use async_trait::async_trait;
use connection::PostgresConnection;
use pgwire::api::client::Config;
use pgwire::api::client::auth::DefaultStartupHandler;
use pgwire::error::PgWireClientError;
use pgwire::tokio::client::PgWireClient;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Name under which the proxy's connections show at the back end.
const APPLICATION_NAME: &str = "stilequay";
/// SQLSTATE of a server whose connections are all in use.
const SQLSTATE_TOO_MANY_CONNECTIONS: &str = "53300";

/// Opens connections to PostgreSQL servers.
#[derive(Debug, Clone)]
pub struct PostgresBackEnd {
    /// Greatest number of prepared statements kept on one connection.
    pub prepared_statements: usize,
}

#[async_trait]
impl BackEnd for PostgresBackEnd {
    async fn connect(
        &self,
        target: &BackEndTarget,
        limit: Duration,
    ) -> Result<Box<dyn BackEndConnection>, BackEndError> {
        let config = Arc::new(client_config(target)?);
        let connecting = PgWireClient::connect(config, DefaultStartupHandler::new(), None);
        let client = match timeout(limit, connecting).await {
            Ok(Ok(client)) => client,
            Ok(Err(error)) => return Err(connect_error(&error)),
            Err(_) => return Err(BackEndError::Timeout),
        };
        Ok(Box::new(PostgresConnection::new(
            target.member.clone(),
            client,
            self.prepared_statements,
        )))
    }
}

fn client_config(target: &BackEndTarget) -> Result<Config, BackEndError> {
    let address: SocketAddr = target
        .address
        .parse()
        .map_err(|_| BackEndError::InvalidAddress(target.address.clone()))?;
    let mut config = Config::new();
    config
        .hostaddr(address.ip())
        .port(address.port())
        .user(&target.group.user)
        .password(target.group.password.expose())
        .dbname(&target.group.database)
        .application_name(APPLICATION_NAME);
    Ok(config)
}

fn connect_error(error: &PgWireClientError) -> BackEndError {
    match error {
        PgWireClientError::RemoteError(info) if info.code == SQLSTATE_TOO_MANY_CONNECTIONS => {
            BackEndError::TooManyConnections
        }
        error => lost(error),
    }
}

/// The error of a connection that broke, or of a server that refused.
fn lost(error: &PgWireClientError) -> BackEndError {
    BackEndError::Lost(error.to_string())
}
