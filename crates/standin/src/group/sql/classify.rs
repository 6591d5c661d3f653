//! What a statement does, and what it means for the session.

use crate::group::error::SqlError;
use sqlparser::ast::{
    ContextModifier, DiscardObject, Expr, ObjectType, Query, Reset, Set, SetExpr,
    Statement as SyntaxTree, TransactionAccessMode, TransactionIsolationLevel, TransactionMode,
    Value, ValueWithSpan,
};

/// The modes given to `BEGIN` or `SET TRANSACTION`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TransactionModes {
    /// Whether writes are refused.
    pub(crate) read_only: bool,
    /// Whether reads are checked again at the commit.
    pub(crate) repeatable: bool,
}

/// What a statement does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Action {
    /// Reads committed rows.
    Read,
    /// Reads rows that no other transaction may change before the commit.
    LockingRead,
    /// Changes rows.
    Write {
        /// The start of the command tag.
        tag: &'static str,
    },
    /// Changes the schema.
    Define {
        /// The command tag.
        tag: &'static str,
    },
    /// Begins a transaction block.
    Begin(TransactionModes),
    /// Sets the modes of the transaction.
    SetTransaction(TransactionModes),
    /// Ends a transaction block, keeping its writes.
    Commit,
    /// Ends a transaction block, dropping its writes.
    Rollback,
    /// Sets a variable of the session or of the transaction.
    Set {
        /// The name in lower case.
        variable: String,
        /// The value, or none for the default.
        value: Option<String>,
        /// Whether it lasts to the end of the transaction only.
        local: bool,
    },
    /// Returns a variable.
    Show(String),
    /// Puts a variable, or all of them, back to the default.
    Reset(Option<String>),
    /// Drops the state of the session.
    DiscardAll,
    /// Drops a prepared statement, or all of them.
    Deallocate(Option<String>),
}

impl Action {
    /// Whether it needs a primary.
    pub(crate) fn writes(&self) -> bool {
        matches!(
            self,
            Self::LockingRead | Self::Write { .. } | Self::Define { .. }
        )
    }

    /// Whether the SQL engine runs it.
    pub(crate) fn runs_in_engine(&self) -> bool {
        self.writes() || matches!(self, Self::Read)
    }

    /// The words PostgreSQL uses for it in errors.
    pub(crate) fn command(&self) -> &'static str {
        match self {
            Self::Write { tag: "INSERT 0" } => "INSERT",
            Self::Write { tag } | Self::Define { tag } => tag,
            Self::LockingRead => "SELECT FOR UPDATE",
            _ => "SELECT",
        }
    }
}

/// Finds out what `tree` does.
pub(crate) fn classify(tree: &SyntaxTree) -> Result<Action, SqlError> {
    match tree {
        SyntaxTree::Query(query) => classify_query(query),
        SyntaxTree::Insert(_) => Ok(Action::Write { tag: "INSERT 0" }),
        SyntaxTree::Update(_) => Ok(Action::Write { tag: "UPDATE" }),
        SyntaxTree::Delete(_) => Ok(Action::Write { tag: "DELETE" }),
        SyntaxTree::CreateTable(table) if table.temporary => {
            Err(SqlError::unsupported("CREATE TEMPORARY TABLE"))
        }
        SyntaxTree::CreateTable(_) => Ok(Action::Define {
            tag: "CREATE TABLE",
        }),
        SyntaxTree::CreateIndex(_) => Ok(Action::Define {
            tag: "CREATE INDEX",
        }),
        SyntaxTree::CreateView(_) => Ok(Action::Define { tag: "CREATE VIEW" }),
        SyntaxTree::AlterTable(_) => Ok(Action::Define { tag: "ALTER TABLE" }),
        SyntaxTree::Drop { object_type, .. } => classify_drop(object_type),
        _ => classify_session_statement(tree),
    }
}

fn classify_query(query: &Query) -> Result<Action, SqlError> {
    match query.body.as_ref() {
        SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) => {
            Err(SqlError::unsupported("a data-modifying statement in WITH"))
        }
        _ if query.locks.is_empty() => Ok(Action::Read),
        _ => Ok(Action::LockingRead),
    }
}

fn classify_drop(object_type: &ObjectType) -> Result<Action, SqlError> {
    match object_type {
        ObjectType::Table => Ok(Action::Define { tag: "DROP TABLE" }),
        ObjectType::Index => Ok(Action::Define { tag: "DROP INDEX" }),
        ObjectType::View => Ok(Action::Define { tag: "DROP VIEW" }),
        other => Err(SqlError::unsupported(format!("DROP {other}"))),
    }
}

fn classify_session_statement(tree: &SyntaxTree) -> Result<Action, SqlError> {
    match tree {
        SyntaxTree::StartTransaction { modes, .. } => Ok(Action::Begin(transaction_modes(modes))),
        SyntaxTree::Commit { .. } => Ok(Action::Commit),
        SyntaxTree::Rollback {
            savepoint: None, ..
        } => Ok(Action::Rollback),
        SyntaxTree::Set(set) => classify_set(set),
        SyntaxTree::ShowVariable { variable } => {
            let words: Vec<String> = variable
                .iter()
                .map(|word| word.value.to_ascii_lowercase())
                .collect();
            Ok(Action::Show(show_name(&words)))
        }
        SyntaxTree::Reset(statement) => match &statement.reset {
            Reset::ConfigurationParameter(name) => {
                Ok(Action::Reset(Some(name.to_string().to_ascii_lowercase())))
            }
            Reset::ALL => Ok(Action::Reset(None)),
            Reset::SessionAuthorization => {
                Err(SqlError::unsupported("RESET SESSION AUTHORIZATION"))
            }
        },
        SyntaxTree::Discard {
            object_type: DiscardObject::ALL,
        } => Ok(Action::DiscardAll),
        SyntaxTree::Deallocate { name, .. } => {
            let all = name.quote_style.is_none() && name.value.eq_ignore_ascii_case("all");
            Ok(Action::Deallocate((!all).then(|| name.value.clone())))
        }
        other => {
            let text = other.to_string();
            let command = text.split_whitespace().next().unwrap_or_default();
            Err(SqlError::unsupported(command))
        }
    }
}

/// `SHOW TIME ZONE` and `SHOW TRANSACTION ISOLATION LEVEL` have names of several words; dotted
/// names come in parts.
fn show_name(words: &[String]) -> String {
    match words.join(" ").as_str() {
        "time zone" => "timezone".to_owned(),
        "transaction isolation level" => "transaction_isolation".to_owned(),
        _ => words.join("."),
    }
}

fn transaction_modes(modes: &[TransactionMode]) -> TransactionModes {
    let mut result = TransactionModes::default();
    for mode in modes {
        match mode {
            TransactionMode::AccessMode(access) => {
                result.read_only = *access == TransactionAccessMode::ReadOnly;
            }
            TransactionMode::IsolationLevel(level) => {
                result.repeatable = matches!(
                    level,
                    TransactionIsolationLevel::RepeatableRead
                        | TransactionIsolationLevel::Serializable
                );
            }
        }
    }
    result
}

fn classify_set(set: &Set) -> Result<Action, SqlError> {
    match set {
        Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => {
            let words: Vec<String> = values.iter().map(setting_text).collect();
            let text = words.join(", ");
            let default = text.eq_ignore_ascii_case("default");
            Ok(Action::Set {
                variable: variable.to_string().to_ascii_lowercase(),
                value: (!default).then_some(text),
                local: matches!(scope, Some(ContextModifier::Local)),
            })
        }
        Set::SetTimeZone { local, value } => Ok(Action::Set {
            variable: "timezone".to_owned(),
            value: Some(setting_text(value)),
            local: *local,
        }),
        Set::SetTransaction {
            modes,
            session: false,
            ..
        } => Ok(Action::SetTransaction(transaction_modes(modes))),
        other => Err(SqlError::unsupported(other)),
    }
}

fn setting_text(expression: &Expr) -> String {
    match expression {
        Expr::Value(ValueWithSpan {
            value: Value::SingleQuotedString(text),
            ..
        }) => text.clone(),
        Expr::Identifier(identifier) => identifier.value.clone(),
        other => other.to_string(),
    }
}
