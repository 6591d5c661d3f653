//! The table service: the part of the DynamoDB JSON protocol that the daemons use.

mod condition;
mod error;
mod operations;
mod request;
mod schema;
mod store;
mod tokens;
mod update;
mod value;

pub use schema::{TableSchema, default_tables};

use super::faults::ThrottledLimit;
use super::service::{Call, Service};
use axum::http::request::Parts;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use error::TableError;
use serde_json::Value;
use std::sync::{Mutex, PoisonError};
use store::Tables;
use tokens::RequestTokens;

const TARGET_HEADER: &str = "x-amz-target";
const TARGET_PREFIX: &str = "DynamoDB_20120810.";
const CONTENT_TYPE: &str = "application/x-amz-json-1.0";

/// The table service in memory.
#[derive(Debug)]
pub struct TableService {
    state: Mutex<State>,
}

/// What one call may read and change, atomically.
#[derive(Debug)]
struct State {
    tables: Tables,
    tokens: RequestTokens,
}

impl TableService {
    /// A service with these tables, all empty.
    pub fn new(schemas: &[TableSchema]) -> Self {
        let state = State {
            tables: Tables::new(schemas),
            tokens: RequestTokens::default(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    fn run(&self, call: &Call) -> Result<Value, TableError> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let operation = operation_name(&call.head);
        operations::run(&mut state, operation, &call.body)
    }
}

impl Service for TableService {
    fn operation(&self, head: &Parts) -> String {
        operation_name(head).to_owned()
    }

    fn handle(&self, call: &Call) -> Response {
        match self.run(call) {
            Ok(answer) => respond(StatusCode::OK, &answer),
            Err(error) => refuse(&error),
        }
    }

    fn throttled(&self, limit: ThrottledLimit) -> Response {
        match limit {
            ThrottledLimit::Resource => refuse(&TableError::ThroughputExceeded),
            ThrottledLimit::Account => refuse(&TableError::Throttling),
        }
    }

    fn internal_error(&self) -> Response {
        refuse(&TableError::Internal)
    }
}

fn operation_name(head: &Parts) -> &str {
    head.headers
        .get(TARGET_HEADER)
        .and_then(|target| target.to_str().ok())
        .and_then(|target| target.strip_prefix(TARGET_PREFIX))
        .unwrap_or("unknown")
}

fn refuse(error: &TableError) -> Response {
    respond(error.status(), &error.body())
}

fn respond(status: StatusCode, body: &Value) -> Response {
    let headers = [(header::CONTENT_TYPE, CONTENT_TYPE)];
    (status, headers, body.to_string()).into_response()
}
