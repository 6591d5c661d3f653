//! What an error tells of a request's fate.

use crate::history::WriteOutcome;
use stilequay_daemon::domain::verdict::SQLSTATE_MAY_HAVE_RUN;
use tokio_postgres::Error;

/// SQLSTATEs by which the daemon says that a request was not run.
const NOT_RUN_STATES: [&str; 7] = [
    "57P03", "53300", "57P01", "57014", "42501", "0A000", "08P01",
];

/// What `error`, the answer to a write, says of the write.
pub fn of_error(error: &Error) -> WriteOutcome {
    match error.code().map(|state| state.code()) {
        None | Some(SQLSTATE_MAY_HAVE_RUN) => WriteOutcome::MayHaveRun,
        Some(state) if NOT_RUN_STATES.contains(&state) => WriteOutcome::NotRun,
        Some(_) => WriteOutcome::Refused,
    }
}

/// Whether the connection is of no more use after `error`.
pub fn ends_connection(error: &Error) -> bool {
    let is_fatal = |severity: &str| severity == "FATAL" || severity == "PANIC";
    error
        .as_db_error()
        .is_none_or(|answer| is_fatal(answer.severity()))
}
