//! Errors of the object store, sorted by whether a call may have taken effect.

use crate::ports::platform::PlatformError;
use object_store::client::{HttpError, HttpErrorKind};
use std::error::Error;

/// Error code of S3 for too many calls. The client library tells it in the text
/// of its errors only.
const SLOW_DOWN: &str = "SlowDown";

/// The error of a call that only reads.
pub fn read_error(error: object_store::Error) -> PlatformError {
    match write_error(error) {
        PlatformError::OutcomeUnknown(reason) => PlatformError::Unavailable(reason),
        other => other,
    }
}

/// The error of a call that changes something.
pub fn write_error(error: object_store::Error) -> PlatformError {
    let reason = error.to_string();
    if reason.contains(SLOW_DOWN) {
        return PlatformError::Throttled(None);
    }
    if never_connected(&error) {
        return PlatformError::Unavailable(reason);
    }
    PlatformError::OutcomeUnknown(reason)
}

/// Whether the call failed before a connection existed, so that nothing was sent.
fn never_connected(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(current) = cause {
        if let Some(http) = current.downcast_ref::<HttpError>() {
            return http.kind() == HttpErrorKind::Connect;
        }
        cause = current.source();
    }
    false
}
