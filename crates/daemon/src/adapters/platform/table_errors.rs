//! Errors of the table service, sorted by whether a call may have taken effect.

use crate::ports::platform::PlatformError;
use aws_sdk_dynamodb::config::http::HttpResponse;
use aws_sdk_dynamodb::error::{ProvideErrorMetadata, SdkError};
use aws_sdk_dynamodb::operation::transact_write_items::TransactWriteItemsError;
use aws_sdk_dynamodb::types::CancellationReason;
use std::error::Error;
use std::io;

/// Error codes that mean: refused for the rate of calls.
const THROTTLED: [&str; 4] = [
    "ProvisionedThroughputExceededException",
    "RequestLimitExceeded",
    "ThrottlingException",
    "ThrottledException",
];
/// Cancellation code of an action whose condition did not hold.
const CONDITION_FAILED: &str = "ConditionalCheckFailed";
/// Cancellation codes that are refusals for the moment: nothing was changed.
const REFUSED_FOR_NOW: [&str; 3] = [
    "TransactionConflict",
    "ThrottlingError",
    "ProvisionedThroughputExceeded",
];

/// The error of a call that only reads.
pub fn read_error<E>(error: SdkError<E, HttpResponse>) -> PlatformError
where
    E: ProvideErrorMetadata + Error + 'static,
{
    match write_error(error) {
        PlatformError::OutcomeUnknown(reason) => PlatformError::Unavailable(reason),
        other => other,
    }
}

/// The error of a call that changes something.
pub fn write_error<E>(error: SdkError<E, HttpResponse>) -> PlatformError
where
    E: ProvideErrorMetadata + Error + 'static,
{
    match &error {
        SdkError::ServiceError(service) => {
            service_error(service.err(), service.raw().status().is_client_error())
        }
        SdkError::ConstructionFailure(_) => PlatformError::Unavailable(causes(&error)),
        SdkError::DispatchFailure(_) if never_connected(&error) => {
            PlatformError::Unavailable(causes(&error))
        }
        _ => PlatformError::OutcomeUnknown(causes(&error)),
    }
}

/// The service has answered: a client error is a definite refusal, an internal
/// error may come after the effect.
fn service_error(error: &impl ProvideErrorMetadata, is_refusal: bool) -> PlatformError {
    let code = error.code().unwrap_or("no code");
    let message = error.message().unwrap_or("no message");
    let reason = format!("{code}: {message}");
    if THROTTLED.contains(&code) {
        return PlatformError::Throttled(None);
    }
    match is_refusal {
        true => PlatformError::Unavailable(reason),
        false => PlatformError::OutcomeUnknown(reason),
    }
}

/// The error and what caused it, in one line.
fn causes(error: &(dyn Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(current) = cause {
        text.push_str(&format!(": {current}"));
        cause = current.source();
    }
    text
}

/// The error of a transaction, told by the reasons why its actions were cancelled.
pub fn transaction_error(error: SdkError<TransactWriteItemsError, HttpResponse>) -> PlatformError {
    let cancelled = match error.as_service_error() {
        Some(TransactWriteItemsError::TransactionCanceledException(cancelled)) => cancelled,
        Some(TransactWriteItemsError::TransactionInProgressException(_)) => {
            return PlatformError::OutcomeUnknown("the same transaction is in progress".to_owned());
        }
        _ => return write_error(error),
    };
    let codes: Vec<_> = cancelled
        .cancellation_reasons()
        .iter()
        .filter_map(CancellationReason::code)
        .collect();
    if codes.contains(&CONDITION_FAILED) {
        return PlatformError::ConditionFailed;
    }
    if codes.iter().any(|code| REFUSED_FOR_NOW.contains(code)) {
        return PlatformError::Throttled(None);
    }
    PlatformError::Unavailable(format!("the transaction was cancelled: {codes:?}"))
}

/// Whether the call failed before a connection existed, so that nothing was sent.
fn never_connected(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(current) = cause {
        if let Some(io) = current.downcast_ref::<io::Error>() {
            let refused = [
                io::ErrorKind::ConnectionRefused,
                io::ErrorKind::HostUnreachable,
                io::ErrorKind::NetworkUnreachable,
            ];
            return refused.contains(&io.kind());
        }
        cause = current.source();
    }
    false
}
