//! Simple queries of one connection, and how answers become messages.

use super::connection::Connection;
use super::error::SqlError;
use super::session::Answer;
use super::sql::{Action, Statement};
use super::values;
use async_trait::async_trait;
use futures::{Sink, SinkExt};
use pgwire::api::portal::Format;
use pgwire::api::query::{
    SimpleQueryHandler, send_execution_response, send_query_response, send_ready_for_query,
};
use pgwire::api::results::{Response, Tag};
use pgwire::api::store::PortalStore;
use pgwire::api::{ClientInfo, ClientPortalStore, PgWireConnectionState};
use pgwire::error::{PgWireError, PgWireResult};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::simplequery::Query;
use std::collections::HashSet;
use std::fmt::Debug;

/// The answer to a statement, as the protocol library sends it.
pub(crate) fn response(
    statement: &Statement,
    answer: Answer,
    format: &Format,
) -> PgWireResult<Response> {
    match answer {
        Answer::Outcome(outcome) if !statement.columns.is_empty() => {
            values::rows(statement, &outcome, format).map(Response::Query)
        }
        Answer::Outcome(outcome) => Ok(Response::Execution(match statement.action {
            Action::Write { tag } => Tag::new(tag).with_rows(outcome.affected),
            Action::Define { tag } => Tag::new(tag),
            _ => Tag::new("SELECT").with_rows(outcome.affected),
        })),
        Answer::Tag(tag) => Ok(Response::Execution(Tag::new(tag))),
        Answer::TransactionStart => Ok(Response::TransactionStart(Tag::new("BEGIN"))),
        Answer::TransactionEnd(tag) => Ok(Response::TransactionEnd(Tag::new(tag))),
    }
}

/// Drops what `DISCARD ALL` and `DEALLOCATE` name from the store of prepared statements.
pub(crate) fn drop_statements<S: PortalStore>(
    store: &S,
    names: &mut HashSet<String>,
    action: &Action,
) {
    match action {
        Action::Deallocate(Some(name)) => {
            store.rm_statement(name);
            names.remove(name);
        }
        Action::Deallocate(None) | Action::DiscardAll => {
            names.drain().for_each(|name| store.rm_statement(&name));
        }
        _ => {}
    }
}

async fn send_response<C>(client: &mut C, response: Response) -> PgWireResult<()>
where
    C: Sink<PgWireBackendMessage> + Unpin,
    C::Error: Debug,
    PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
{
    match response {
        Response::EmptyQuery => {
            client
                .feed(PgWireBackendMessage::EmptyQueryResponse(
                    EmptyQueryResponse::new(),
                ))
                .await?;
            Ok(())
        }
        Response::Query(rows) => send_query_response(client, rows, true).await,
        Response::Execution(tag)
        | Response::TransactionStart(tag)
        | Response::TransactionEnd(tag) => send_execution_response(client, tag).await,
        Response::Error(error) => {
            client
                .feed(PgWireBackendMessage::ErrorResponse((*error).into()))
                .await?;
            Ok(())
        }
        Response::CopyIn(_) | Response::CopyOut(_) | Response::CopyBoth(_) => {
            Err(SqlError::unsupported("COPY").into())
        }
    }
}

#[async_trait]
impl SimpleQueryHandler for Connection {
    async fn on_query<C>(&self, client: &mut C, query: Query) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.request_arrives().await;
        client.set_state(PgWireConnectionState::QueryInProgress);
        let responses = self.do_query(client, &query.query).await?;
        self.answer_leaves().await;
        for response in responses {
            send_response(client, response).await?;
        }
        let status = self.session().await.status();
        client.set_state(PgWireConnectionState::ReadyForQuery);
        client.set_transaction_status(status);
        send_ready_for_query(client, status).await
    }

    async fn do_query<C>(&self, client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut cancel = self.cancel_requested().await;
        let mut session = self.session().await;
        let answers = session.run_script(query, &mut cancel).await;
        if answers.is_empty() {
            return Ok(vec![Response::EmptyQuery]);
        }
        let mut responses = Vec::with_capacity(answers.len());
        for answer in answers {
            responses.push(match answer {
                Ok((statement, answer)) => {
                    let names = &mut session.statement_names;
                    drop_statements(client.portal_store(), names, &statement.action);
                    response(&statement, answer, &Format::UnifiedText)?
                }
                Err(error) => Response::Error(Box::new(error.into())),
            });
        }
        Ok(responses)
    }
}
