//! A caller's connection.

use super::statements::SELECT_ITEM;
use std::net::SocketAddr;
use std::time::Duration;
use stilequay_daemon::domain::names::SessionName;
use tokio_postgres::types::Type;
use tokio_postgres::{Client, Config, Error, NoTls, Statement};

/// Time to connect and authenticate.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// How a caller authenticates, and what it asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Access {
    /// User: at a daemon, the service.
    pub user: String,
    /// Password.
    pub password: String,
    /// Database: at a daemon, the group.
    pub database: String,
}

impl Access {
    /// The settings of a connection to `address`, for the named session if one is given.
    pub fn config(&self, address: SocketAddr, session: Option<&SessionName>) -> Config {
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(&self.user)
            .password(&self.password)
            .dbname(&self.database)
            .application_name("stilequay-bench")
            .connect_timeout(CONNECT_TIMEOUT);
        if let Some(session) = session {
            config.options(format!("-c stilequay.session={session}"));
        }
        config
    }

    /// Connects to `address`.
    pub async fn connect(
        &self,
        address: SocketAddr,
        session: Option<&SessionName>,
    ) -> Result<Connection, Error> {
        let (client, connection) = self.config(address, session).connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(Connection {
            client,
            select_item: None,
        })
    }
}

/// An open connection and what was prepared on it.
pub struct Connection {
    /// The client.
    pub client: Client,
    select_item: Option<Statement>,
}

impl Connection {
    /// The prepared statement that reads an item.
    pub async fn select_item(&mut self) -> Result<Statement, Error> {
        if let Some(statement) = &self.select_item {
            return Ok(statement.clone());
        }
        let types = [Type::INT8, Type::INT8];
        let statement = self.client.prepare_typed(SELECT_ITEM, &types).await?;
        self.select_item = Some(statement.clone());
        Ok(statement)
    }
}
