//! Failures of requests, as operators see them.

use crate::app::control::acceptance::{AcceptanceError, PendingChange};
use crate::domain::fields::FieldFault;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// When to come back where the platform doesn't say.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What kind of failure it is, for programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureCode {
    /// The request can't be read.
    BadRequest,
    /// No token, or an unknown one.
    Unauthorized,
    /// The token's role doesn't allow it.
    Forbidden,
    /// There is no such resource or path.
    NotFound,
    /// The path doesn't have this method.
    MethodNotAllowed,
    /// A resource of this name exists already.
    AlreadyExists,
    /// The resource is not at the version that was given.
    Conflict,
    /// The version to watch from is no longer kept.
    Gone,
    /// The body is larger than allowed.
    TooLarge,
    /// The document has faults; `faults` tells all of them.
    Invalid,
    /// The platform refuses for the moment: nothing was changed.
    Throttled,
    /// The platform can't be reached, or this daemon has not caught up: nothing was changed.
    Unavailable,
    /// It is unknown whether the change was accepted; `ask` says where to learn it.
    OutcomeUnknown,
}

/// A failure of a request.
#[derive(Debug, Clone)]
pub struct ApiFailure {
    /// What kind it is.
    pub code: FailureCode,
    /// Text for people.
    pub message: String,
    /// Faults of the document.
    pub faults: Vec<FieldFault>,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Where the outcome can be learnt.
    pub ask: Option<String>,
}

/// A failure as JSON.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct FailureBody {
    /// The failure.
    pub error: FailureDetail,
}

/// The failure itself as JSON.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct FailureDetail {
    /// What kind it is.
    pub code: FailureCode,
    /// Text for people.
    pub message: String,
    /// The request, as in this daemon's log.
    pub request_id: String,
    /// Faults of the document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FieldFault>,
    /// Where the outcome can be learnt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ask: Option<String>,
}

impl ApiFailure {
    /// A failure with a text and nothing else.
    pub fn new(code: FailureCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            faults: Vec::new(),
            retry_after: None,
            ask: None,
        }
    }

    /// A document that has faults.
    pub fn invalid(faults: Vec<FieldFault>) -> Self {
        Self {
            faults,
            ..Self::new(FailureCode::Invalid, "the document has faults")
        }
    }

    /// A refusal for the moment.
    pub fn unavailable(message: impl Into<String>) -> Self {
        Self {
            retry_after: Some(DEFAULT_RETRY_AFTER),
            ..Self::new(FailureCode::Unavailable, message)
        }
    }

    fn outcome_unknown(pending: &PendingChange) -> Self {
        let message = "the platform's answer was lost: it is unknown whether the change was accepted; \
                       ask before trying again";
        Self {
            retry_after: Some(DEFAULT_RETRY_AFTER),
            ask: Some(format!(
                "/v1/changes/{}?token={}",
                pending.revision, pending.request_token
            )),
            ..Self::new(FailureCode::OutcomeUnknown, message)
        }
    }

    /// The HTTP status.
    pub fn status(&self) -> StatusCode {
        match self.code {
            FailureCode::BadRequest => StatusCode::BAD_REQUEST,
            FailureCode::Unauthorized => StatusCode::UNAUTHORIZED,
            FailureCode::Forbidden => StatusCode::FORBIDDEN,
            FailureCode::NotFound => StatusCode::NOT_FOUND,
            FailureCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            FailureCode::AlreadyExists | FailureCode::Conflict => StatusCode::CONFLICT,
            FailureCode::Gone => StatusCode::GONE,
            FailureCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            FailureCode::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
            FailureCode::Throttled => StatusCode::TOO_MANY_REQUESTS,
            FailureCode::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            FailureCode::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer to the request `request_id`.
    pub fn render(self, request_id: &str) -> Response {
        let status = self.status();
        let retry_after = self.retry_after;
        let body = FailureBody {
            error: FailureDetail {
                code: self.code,
                message: self.message,
                request_id: request_id.to_owned(),
                faults: self.faults,
                ask: self.ask,
            },
        };
        let mut response = (status, axum::Json(body)).into_response();
        if let Some(delay) = retry_after {
            // Whole seconds, and at least one: zero would mean at once.
            let seconds = delay.as_secs_f64().ceil().max(1.0) as u64;
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

impl IntoResponse for ApiFailure {
    /// Leaves the body to [`super::requests::identify`], which knows the request's id.
    fn into_response(self) -> Response {
        let mut response = self.status().into_response();
        response.extensions_mut().insert(self);
        response
    }
}

impl From<AcceptanceError> for ApiFailure {
    fn from(error: AcceptanceError) -> Self {
        match error {
            AcceptanceError::Conflict(current) => {
                let message = match current {
                    Some(version) => format!("the resource is at version {version}"),
                    None => "the resource does not exist".to_owned(),
                };
                Self::new(FailureCode::Conflict, message)
            }
            AcceptanceError::Throttled(retry_after) => Self {
                retry_after: Some(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
                ..Self::new(
                    FailureCode::Throttled,
                    "the platform refuses changes for the moment; nothing was changed",
                )
            },
            AcceptanceError::Unavailable(reason) => Self::unavailable(format!(
                "the platform is unavailable; nothing was changed: {reason}"
            )),
            AcceptanceError::Unknown(pending) => Self::outcome_unknown(&pending),
            AcceptanceError::Encoding(error) => {
                Self::new(FailureCode::BadRequest, error.to_string())
            }
        }
    }
}
