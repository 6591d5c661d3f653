//! Extended queries of one connection.

use super::connection::Connection;
use super::error::{SqlError, SqlState};
use super::query::{drop_statements, response};
use super::sql::{BoundStatement, Statement};
use super::values;
use async_trait::async_trait;
use futures::{Sink, SinkExt};
use pgwire::api::portal::{Format, Portal};
use pgwire::api::query::{ExtendedQueryHandler, send_describe_response};
use pgwire::api::results::{DescribePortalResponse, FieldInfo, Response};
use pgwire::api::stmt::{QueryParser, StoredStatement};
use pgwire::api::store::{Entry, PortalStore};
use pgwire::api::{ClientInfo, ClientPortalStore, DEFAULT_NAME, Type};
use pgwire::error::{PgWireError, PgWireResult};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::extendedquery::{
    Describe, Flush, Parse, ParseComplete, Sync as PgSync, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::ReadyForQuery;
use std::fmt::Debug;
use std::sync::Arc;

/// Analyses the texts of prepared statements for one connection.
pub(crate) struct StatementParser(Arc<Connection>);

#[async_trait]
impl QueryParser for StatementParser {
    type Statement = Arc<Statement>;

    async fn parse_sql<C>(
        &self,
        _client: &C,
        sql: &str,
        _types: &[Option<Type>],
    ) -> PgWireResult<Option<Arc<Statement>>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        self.0.request_arrives().await;
        Ok(self.0.session().await.prepare(sql)?)
    }

    fn get_parameter_types(&self, statement: &Arc<Statement>) -> PgWireResult<Vec<Type>> {
        Ok(statement.parameter_types.clone())
    }

    fn get_result_schema(
        &self,
        statement: &Arc<Statement>,
        format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        let format = format.unwrap_or(&Format::UnifiedText);
        Ok(values::fields(&statement.columns, format))
    }
}

/// Handles the messages of the extended protocol.
pub(crate) struct ExtendedQueries(pub(crate) Arc<Connection>);

impl ExtendedQueries {
    /// Notes the name of a prepared statement, unless `store` has one of that name.
    async fn claim_name<S: PortalStore>(&self, store: &S, name: &str) -> PgWireResult<()> {
        if store.get_statement(name).is_some() {
            let message = format!("prepared statement \"{name}\" already exists");
            return Err(SqlError::new(SqlState::DuplicatePreparedStatement, message).into());
        }
        self.0
            .session()
            .await
            .statement_names
            .insert(name.to_owned());
        Ok(())
    }
}

#[async_trait]
impl ExtendedQueryHandler for ExtendedQueries {
    type Statement = Arc<Statement>;
    type QueryParser = StatementParser;

    fn query_parser(&self) -> Arc<StatementParser> {
        Arc::new(StatementParser(self.0.clone()))
    }

    async fn on_parse<C>(&self, client: &mut C, message: Parse) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let parsed = StoredStatement::parse(client, &message, self.query_parser()).await?;
        if let Some(name) = message.name.as_deref().filter(|name| !name.is_empty()) {
            self.claim_name(client.portal_store(), name).await?;
        }
        match parsed {
            Some(statement) => client.portal_store().put_statement(Arc::new(statement)),
            None => {
                let name = message.name.as_deref().unwrap_or(DEFAULT_NAME);
                client.portal_store().put_empty_statement(name);
            }
        }
        client
            .feed(PgWireBackendMessage::ParseComplete(ParseComplete::new()))
            .await?;
        Ok(())
    }

    async fn on_describe<C>(&self, client: &mut C, message: Describe) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.0.request_arrives().await;
        let name = message.name.as_deref().unwrap_or(DEFAULT_NAME);
        let stored = client.portal_store().get_statement(name);
        let (TARGET_TYPE_BYTE_STATEMENT, Some(Entry::Value(stored))) =
            (message.target_type, stored)
        else {
            return self._on_describe(client, message).await;
        };
        // Sent in two parts, so that a statement with parameters but without rows is answered
        // with NoData as PostgreSQL does.
        let description = self.do_describe_statement(client, &stored).await?;
        let oids = description.parameters.iter().map(Type::oid).collect();
        let parameters = ParameterDescription::new(oids);
        client
            .feed(PgWireBackendMessage::ParameterDescription(parameters))
            .await?;
        send_describe_response(client, &DescribePortalResponse::new(description.fields)).await
    }

    async fn on_flush<C>(&self, client: &mut C, _message: Flush) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.0.answer_leaves().await;
        client.flush().await?;
        Ok(())
    }

    async fn on_sync<C>(&self, client: &mut C, _message: PgSync) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.0.request_arrives().await;
        client.portal_store().rm_portal(DEFAULT_NAME);
        self.0.answer_leaves().await;
        let ready = ReadyForQuery::new(client.transaction_status());
        client
            .send(PgWireBackendMessage::ReadyForQuery(ready))
            .await?;
        Ok(())
    }

    async fn do_query<C>(
        &self,
        client: &mut C,
        portal: &Portal<Arc<Statement>>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.0.request_arrives().await;
        let mut cancel = self.0.cancel_requested().await;
        let mut session = self.0.session().await;
        let statement = portal.statement.statement.clone();
        let parameters = values::parameters(portal)?;
        let bound = BoundStatement {
            statement: statement.clone(),
            parameters,
        };
        let answer = session.run(bound, &mut cancel).await;
        let names = &mut session.statement_names;
        drop_statements(client.portal_store(), names, &statement.action);
        // A commit that fails ends its block all the same.
        client.set_transaction_status(session.status());
        response(&statement, answer?, &portal.result_column_format)
    }
}
