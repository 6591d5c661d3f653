//! Messages that the proxy itself sends to callers.

use crate::app::front::AccessError;
use crate::domain::exchange::TransactionState;
use crate::domain::verdict::{RequestFailure, Verdict};
use bytes::BytesMut;
use pgwire::error::ErrorInfo;
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{Message, extendedquery};

/// SQLSTATE `cannot_connect_now`.
const CANNOT_CONNECT_NOW: &str = "57P03";
/// SQLSTATE `invalid_catalog_name`.
const UNKNOWN_DATABASE: &str = "3D000";
/// SQLSTATE `insufficient_privilege`.
const NOT_PERMITTED: &str = "42501";
/// SQLSTATE `invalid_authorization_specification`.
const INVALID_AUTHORIZATION: &str = "28000";

/// Whether the connection outlives an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Severity {
    /// It does.
    Error,
    /// It does not.
    Fatal,
}

impl Severity {
    fn as_str(self) -> &'static str {
        match self {
            Self::Error => "ERROR",
            Self::Fatal => "FATAL",
        }
    }
}

/// An error of the proxy's own, as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ErrorReply {
    pub(super) severity: Severity,
    pub(super) sqlstate: &'static str,
    pub(super) message: String,
    pub(super) detail: Option<String>,
}

impl ErrorReply {
    /// A fatal error outside of any request.
    pub(super) fn fatal(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Fatal,
            sqlstate,
            message: message.into(),
            detail: None,
        }
    }

    /// The error of a failed request, with its verdict as the detail.
    pub(super) fn of_failure(severity: Severity, failure: &RequestFailure) -> Self {
        Self {
            severity,
            sqlstate: failure.sqlstate(),
            message: failure.message.clone(),
            detail: Some(verdict_detail(failure)),
        }
    }

    /// The encoded message.
    pub(super) fn encode(&self) -> BytesMut {
        let mut info = ErrorInfo::new(
            self.severity.as_str().to_owned(),
            self.sqlstate.to_owned(),
            without_zero(&self.message),
        );
        info.detail = self.detail.as_deref().map(without_zero);
        encode(&ErrorResponse::from(info))
    }
}

impl From<AccessError> for ErrorReply {
    fn from(error: AccessError) -> Self {
        let sqlstate = match &error {
            AccessError::NotCaughtUp => CANNOT_CONNECT_NOW,
            AccessError::UnknownService(_) => INVALID_AUTHORIZATION,
            AccessError::UnknownGroup(_) => UNKNOWN_DATABASE,
            AccessError::NotPermitted(..) => NOT_PERMITTED,
        };
        Self::fatal(sqlstate, error.to_string())
    }
}

/// Texts of the protocol end at a zero byte.
fn without_zero(text: &str) -> String {
    text.replace('\0', " ")
}

fn verdict_detail(failure: &RequestFailure) -> String {
    let verdict = match failure.verdict {
        Verdict::NotRun => "NotRun",
        Verdict::MayHaveRun => "MayHaveRun",
        Verdict::Ran => "Ran",
    };
    match failure.retry_after {
        Some(delay) => format!("verdict={verdict} retry_after_ms={}", delay.as_millis()),
        None => format!("verdict={verdict}"),
    }
}

/// The encoded bytes of one of the proxy's own messages.
///
/// The codec refuses only messages over its size limits, which these stay far
/// below, apart from the text of an error, which it does not bound.
pub(super) fn encode<M: Message>(message: &M) -> BytesMut {
    let mut bytes = BytesMut::new();
    if let Err(error) = message.encode(&mut bytes) {
        log::error!("can't encode a message: {error}");
        bytes.clear();
    }
    bytes
}

/// An encoded ParameterStatus.
pub(super) fn parameter_status(name: &str, value: &str) -> BytesMut {
    encode(&ParameterStatus::new(name.to_owned(), value.to_owned()))
}

/// An encoded ReadyForQuery.
pub(super) fn ready_for_query(state: TransactionState) -> BytesMut {
    let status = match state {
        TransactionState::Idle | TransactionState::Unsynced => TransactionStatus::Idle,
        TransactionState::InTransaction => TransactionStatus::Transaction,
        TransactionState::Failed => TransactionStatus::Error,
    };
    encode(&ReadyForQuery::new(status))
}

/// An encoded CommandComplete.
pub(super) fn command_complete(tag: &str) -> BytesMut {
    encode(&CommandComplete::new(tag.to_owned()))
}

/// An encoded ParseComplete.
pub(super) fn parse_complete() -> BytesMut {
    encode(&extendedquery::ParseComplete::new())
}

/// An encoded CloseComplete.
pub(super) fn close_complete() -> BytesMut {
    encode(&extendedquery::CloseComplete::new())
}
