//! PostgreSQL's SQL, made fit for SQLite.
//!
//! A statement is parsed in PostgreSQL's dialect, classified, given parameter and column types
//! from the declared columns, and rewritten to what SQLite understands.

mod classify;
mod inference;
mod rewrite;
mod types;

pub(crate) use classify::{Action, TransactionModes, classify};
pub(crate) use inference::{Inference, Scope};
pub(crate) use rewrite::rewrite;
pub(crate) use types::declared_type;

use super::error::{SqlError, SqlState};
use pgwire::api::Type;
use rusqlite::types::Value;
use sqlparser::ast::Statement as SyntaxTree;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::sync::Arc;

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) column_type: Type,
}

/// An analysed statement.
#[derive(Debug)]
pub(crate) struct Statement {
    /// The text for SQLite; empty for statements that only concern the session.
    pub(crate) text: String,
    /// What it does.
    pub(crate) action: Action,
    /// The types of `$1`, `$2`...
    pub(crate) parameter_types: Vec<Type>,
    /// The columns it returns.
    pub(crate) columns: Vec<Column>,
    /// Whether it calls `pg_sleep`.
    pub(crate) sleeps: bool,
}

/// A statement with the values of its parameters.
#[derive(Debug, Clone)]
pub(crate) struct BoundStatement {
    pub(crate) statement: Arc<Statement>,
    pub(crate) parameters: Vec<Value>,
}

impl BoundStatement {
    /// The bytes it takes in the log.
    pub(crate) fn size(&self) -> u64 {
        let parameters: u64 = self.parameters.iter().map(value_size).sum();
        self.statement.text.len() as u64 + parameters
    }
}

fn value_size(value: &Value) -> u64 {
    match value {
        Value::Null => 1,
        Value::Integer(_) | Value::Real(_) => 8,
        Value::Text(text) => text.len() as u64,
        Value::Blob(bytes) => bytes.len() as u64,
    }
}

/// Splits `sql` into its statements.
pub(crate) fn parse(sql: &str) -> Result<Vec<SyntaxTree>, SqlError> {
    Parser::parse_sql(&PostgreSqlDialect {}, sql)
        .map_err(|error| SqlError::new(SqlState::SyntaxError, error.to_string()))
}
