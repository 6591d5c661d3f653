//! The SQL engine of a member: one SQLite database in memory.

use super::error::{SqlError, SqlState};
use super::functions::{Facts, SharedFacts, create_functions};
use super::sql::{
    Action, BoundStatement, Column, Inference, Scope, Statement, classify, declared_type, rewrite,
};
use pgwire::api::Type;
use rusqlite::Connection;
use rusqlite::backup::Backup;
use rusqlite::config::DbConfig;
use rusqlite::types::Value;
use sqlparser::ast::{ObjectName, Statement as SyntaxTree, visit_relations};
use std::convert::Infallible;
use std::ops::ControlFlow;
use std::time::Duration;

/// What a statement gave.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Outcome {
    /// The rows it returned.
    pub(crate) rows: Vec<Vec<Value>>,
    /// How many rows it changed.
    pub(crate) affected: usize,
    /// How long it asked to sleep.
    pub(crate) sleep: Duration,
}

/// A database, and what its functions answer.
pub(crate) struct Engine {
    connection: Connection,
    facts: SharedFacts,
}

/// SQLite's cache of prepared statements.
const STATEMENT_CACHE: usize = 512;
/// What PostgreSQL does without being asked.
const CONNECTION_PRAGMAS: &str = "PRAGMA foreign_keys = ON; PRAGMA case_sensitive_like = ON";
/// Pages copied in one step of a backup.
const BACKUP_PAGES: i32 = 1024;

impl Engine {
    /// An empty database.
    pub(crate) fn open() -> rusqlite::Result<Self> {
        let engine = Self::unprepared()?;
        engine.connection.execute_batch(
            "CREATE VIEW pg_control_checkpoint AS SELECT CAST(timeline() AS INT) AS timeline_id",
        )?;
        Ok(engine)
    }

    fn unprepared() -> rusqlite::Result<Self> {
        let connection = Connection::open_in_memory()?;
        connection.set_prepared_statement_cache_capacity(STATEMENT_CACHE);
        connection.execute_batch(CONNECTION_PRAGMAS)?;
        // Text in double quotes is a name, never a string.
        connection.set_db_config(DbConfig::SQLITE_DBCONFIG_DQS_DML, false)?;
        connection.set_db_config(DbConfig::SQLITE_DBCONFIG_DQS_DDL, false)?;
        let facts = SharedFacts::default();
        create_functions(&connection, &facts)?;
        Ok(Self { connection, facts })
    }

    /// A copy of the committed database.
    pub(crate) fn copy(&self) -> rusqlite::Result<Self> {
        let mut copy = Self::unprepared()?;
        Backup::new(&self.connection, &mut copy.connection)?.run_to_completion(
            BACKUP_PAGES,
            Duration::ZERO,
            None,
        )?;
        Ok(copy)
    }

    /// Sets what functions answer from now on.
    pub(crate) fn set_facts(&self, facts: Facts) {
        self.facts.set(facts);
    }

    /// Begins a transaction.
    pub(crate) fn begin(&self) -> Result<(), SqlError> {
        Ok(self
            .connection
            .prepare_cached("BEGIN")?
            .raw_execute()
            .map(drop)?)
    }

    /// Keeps the transaction's writes.
    pub(crate) fn commit(&self) -> Result<(), SqlError> {
        Ok(self
            .connection
            .prepare_cached("COMMIT")?
            .raw_execute()
            .map(drop)?)
    }

    /// Drops the transaction's writes.
    pub(crate) fn rollback(&self) {
        if !self.connection.is_autocommit()
            && let Err(error) = self.connection.execute_batch("ROLLBACK")
        {
            log::error!(error:% = error; "the SQL engine cannot roll back");
        }
    }

    /// Runs one statement.
    pub(crate) fn run(&self, bound: &BoundStatement) -> Result<Outcome, SqlError> {
        let statement = &bound.statement;
        let mut prepared = self.connection.prepare_cached(&statement.text)?;
        if prepared.parameter_count() > bound.parameters.len() {
            let message = format!(
                "the statement needs {} parameters, {} were given",
                prepared.parameter_count(),
                bound.parameters.len()
            );
            return Err(SqlError::new(SqlState::ProtocolViolation, message));
        }
        for index in 0..prepared.parameter_count() {
            prepared.raw_bind_parameter(index + 1, &bound.parameters[index])?;
        }
        let mut outcome = Outcome::default();
        if prepared.column_count() == 0 {
            let changed = prepared.raw_execute()?;
            if matches!(statement.action, Action::Write { .. }) {
                outcome.affected = changed;
            }
        } else {
            let width = prepared.column_count();
            let mut rows = prepared.raw_query();
            while let Some(row) = rows.next()? {
                let values: Result<Vec<Value>, _> =
                    (0..width).map(|index| row.get(index)).collect();
                outcome.rows.push(values?);
            }
            outcome.affected = outcome.rows.len();
        }
        outcome.sleep = self.facts.take_sleep();
        Ok(outcome)
    }

    /// Analyses one statement against the present schema.
    pub(crate) fn analyse(&self, tree: SyntaxTree) -> Result<Statement, SqlError> {
        let action = classify(&tree)?;
        if !action.runs_in_engine() {
            let columns = session_columns(&action);
            let statement = Statement {
                text: String::new(),
                action,
                parameter_types: vec![],
                columns,
                sleeps: false,
            };
            return Ok(statement);
        }
        let scope = self.scope(&tree)?;
        let parameter_types = Inference::parameter_types(&scope, &tree);
        let inferred = Inference::columns(&scope, &tree);
        let text = rewrite(tree);
        let columns = self.columns(&text, inferred)?;
        let sleeps = text.to_ascii_lowercase().contains("pg_sleep");
        Ok(Statement {
            text,
            action,
            parameter_types,
            columns,
            sleeps,
        })
    }

    fn scope(&self, tree: &SyntaxTree) -> Result<Scope, SqlError> {
        let mut names: Vec<String> = Vec::new();
        let _ = visit_relations(tree, |relation: &ObjectName| -> ControlFlow<Infallible> {
            names.push(relation.to_string().to_lowercase());
            ControlFlow::Continue(())
        });
        let mut scope = Scope::default();
        for name in names {
            let table = name
                .rsplit('.')
                .next()
                .unwrap_or_default()
                .trim_matches('"')
                .to_owned();
            let mut columns = self
                .connection
                .prepare_cached("SELECT name, type FROM pragma_table_info(?1) ORDER BY cid")?;
            let mut rows = columns.query([&table])?;
            while let Some(row) = rows.next()? {
                let column: String = row.get(0)?;
                let declared: String = row.get(1)?;
                scope.add(&table, column.to_lowercase(), &declared);
            }
        }
        Ok(scope)
    }

    /// Result columns: types as declared where SQLite knows the column, else as inferred.
    fn columns(&self, text: &str, inferred: Option<Vec<Column>>) -> Result<Vec<Column>, SqlError> {
        let prepared = self.connection.prepare_cached(text)?;
        let found = prepared.columns();
        let inferred = inferred.filter(|inferred| inferred.len() == found.len());
        let columns = found.enumerate().map(|(index, column)| {
            let inferred = inferred.as_ref().map(|inferred| &inferred[index]);
            let name = inferred
                .map_or(column.name(), |inferred| &inferred.name)
                .to_owned();
            let declared = column.decl_type().map(declared_type);
            let column_type = declared
                .or_else(|| inferred.map(|inferred| inferred.column_type.clone()))
                .unwrap_or(Type::TEXT);
            Column { name, column_type }
        });
        Ok(columns.collect())
    }
}

fn session_columns(action: &Action) -> Vec<Column> {
    match action {
        Action::Show(variable) => {
            vec![Column {
                name: variable.clone(),
                column_type: Type::TEXT,
            }]
        }
        _ => Vec::new(),
    }
}
