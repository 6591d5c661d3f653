//! Errors of the group, and the SQLSTATE given to callers for errors of their statements.

use quick_error::quick_error;
use rusqlite::ffi;
use std::fmt;
use std::io;
use std::net::SocketAddr;

quick_error! {
    /// A failure to start or to steer the group.
    #[derive(Debug)]
    pub enum GroupError {
        /// A listener could not be opened.
        Bind(address: SocketAddr, error: io::Error) {
            display("cannot listen on {address}: {error}")
            source(error)
        }
        /// The SQL engine failed outside of a caller's statement.
        Engine(error: rusqlite::Error) {
            display("SQL engine: {error}")
            source(error)
            from()
        }
        /// The group has no member of this name.
        UnknownMember(name: String) {
            display("no member is called {name:?}")
        }
        /// The settings contradict themselves.
        Settings(message: String) {
            display("settings: {message}")
        }
        /// The member's state does not allow the step.
        NotPossible(message: &'static str) {
            display("{message}")
        }
    }
}

/// The SQLSTATE codes that the members answer with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SqlState {
    ProtocolViolation,
    FeatureNotSupported,
    NotNullViolation,
    ForeignKeyViolation,
    UniqueViolation,
    CheckViolation,
    ActiveTransaction,
    ReadOnlyTransaction,
    InFailedTransaction,
    SerializationFailure,
    SyntaxError,
    UndefinedColumn,
    UndefinedObject,
    DatatypeMismatch,
    UndefinedFunction,
    UndefinedTable,
    DuplicateTable,
    DuplicatePreparedStatement,
    TooManyConnections,
    ObjectNotInPrerequisiteState,
    QueryCanceled,
    InternalError,
}

impl SqlState {
    /// The five characters sent on the wire.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::ProtocolViolation => "08P01",
            Self::FeatureNotSupported => "0A000",
            Self::NotNullViolation => "23502",
            Self::ForeignKeyViolation => "23503",
            Self::UniqueViolation => "23505",
            Self::CheckViolation => "23514",
            Self::ActiveTransaction => "25001",
            Self::ReadOnlyTransaction => "25006",
            Self::InFailedTransaction => "25P02",
            Self::SerializationFailure => "40001",
            Self::SyntaxError => "42601",
            Self::UndefinedColumn => "42703",
            Self::UndefinedObject => "42704",
            Self::DatatypeMismatch => "42804",
            Self::UndefinedFunction => "42883",
            Self::UndefinedTable => "42P01",
            Self::DuplicateTable => "42P07",
            Self::DuplicatePreparedStatement => "42P05",
            Self::TooManyConnections => "53300",
            Self::ObjectNotInPrerequisiteState => "55000",
            Self::QueryCanceled => "57014",
            Self::InternalError => "XX000",
        }
    }
}

/// The failure of one statement, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SqlError {
    pub(crate) state: SqlState,
    pub(crate) message: String,
}

impl SqlError {
    /// An error with the given state and text.
    pub(crate) fn new(state: SqlState, message: impl Into<String>) -> Self {
        Self {
            state,
            message: message.into(),
        }
    }

    /// A construct of PostgreSQL that this stand-in leaves out.
    pub(crate) fn unsupported(what: impl fmt::Display) -> Self {
        Self::new(
            SqlState::FeatureNotSupported,
            format!("{what} is not supported"),
        )
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        match &error {
            rusqlite::Error::SqliteFailure(failure, message) => {
                from_failure(failure, message.as_deref().unwrap_or_default())
            }
            rusqlite::Error::SqlInputError {
                error: failure,
                msg,
                ..
            } => from_failure(failure, msg),
            other => Self::new(SqlState::InternalError, other.to_string()),
        }
    }
}

/// Message prefixes of SQLite that name an undefined or duplicate object.
const OBJECT_ERRORS: [(&str, SqlState, &str); 4] = [
    ("no such table: ", SqlState::UndefinedTable, "relation"),
    ("no such index: ", SqlState::UndefinedObject, "index"),
    ("no such column: ", SqlState::UndefinedColumn, "column"),
    (
        "no such function: ",
        SqlState::UndefinedFunction,
        "function",
    ),
];

fn from_failure(failure: &ffi::Error, message: &str) -> SqlError {
    if let Some(state) = constraint_state(failure.extended_code) {
        return SqlError::new(state, constraint_message(state, message));
    }
    for (prefix, state, kind) in OBJECT_ERRORS {
        if let Some(name) = message.strip_prefix(prefix) {
            return SqlError::new(state, format!("{kind} \"{name}\" does not exist"));
        }
    }
    SqlError::new(other_state(message), message)
}

fn constraint_state(extended_code: i32) -> Option<SqlState> {
    match extended_code {
        ffi::SQLITE_CONSTRAINT_UNIQUE
        | ffi::SQLITE_CONSTRAINT_PRIMARYKEY
        | ffi::SQLITE_CONSTRAINT_ROWID => Some(SqlState::UniqueViolation),
        ffi::SQLITE_CONSTRAINT_NOTNULL => Some(SqlState::NotNullViolation),
        ffi::SQLITE_CONSTRAINT_CHECK => Some(SqlState::CheckViolation),
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => Some(SqlState::ForeignKeyViolation),
        ffi::SQLITE_MISMATCH => Some(SqlState::DatatypeMismatch),
        _ => None,
    }
}

fn constraint_message(state: SqlState, message: &str) -> String {
    match state {
        SqlState::UniqueViolation => {
            format!("duplicate key value violates unique constraint: {message}")
        }
        _ => message.to_owned(),
    }
}

fn other_state(message: &str) -> SqlState {
    if message.contains("already exists") {
        SqlState::DuplicateTable
    } else if message.contains("has no column named") {
        SqlState::UndefinedColumn
    } else if message.contains("wrong number of arguments") {
        SqlState::UndefinedFunction
    } else if message.contains("syntax error") || message.contains("values were supplied") {
        SqlState::SyntaxError
    } else if message.contains(RECOVERY_IN_PROGRESS) {
        SqlState::ObjectNotInPrerequisiteState
    } else {
        SqlState::InternalError
    }
}

/// The message of functions that only a primary answers.
pub(crate) const RECOVERY_IN_PROGRESS: &str = "recovery is in progress";
