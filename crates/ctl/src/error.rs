//! Errors of commands, and the exit codes they lead to.

use quick_error::quick_error;
use std::path::PathBuf;
use stilequay_daemon::adapters::api::{FailureCode, FailureDetail};
use stilequay_daemon::domain::fields::FieldFault;

/// How the program ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command was carried out.
    Done = 0,
    /// The daemon refused it; nothing was changed by the refused request.
    Refused = 1,
    /// Wrong flags, settings or files.
    WrongUse = 2,
    /// The daemon can't be reached.
    Unreachable = 3,
    /// It is unknown whether a change was accepted.
    OutcomeUnknown = 4,
    /// `diff` has found differences.
    Different = 5,
}

quick_error! {
    /// Why a command was not carried out.
    #[derive(Debug)]
    pub enum ControlError {
        /// The flags make no sense.
        Usage(reason: String) {
            display("{reason}\nTry stilequayctl --help.")
        }
        /// A file can't be read.
        Unreadable(path: PathBuf, error: std::io::Error) {
            display("{}: {error}", path.display())
        }
        /// A file is not in its format.
        Format(path: PathBuf, reason: String) {
            display("{}: {reason}", path.display())
        }
        /// A document has faults.
        Document(path: PathBuf, faults: Vec<FieldFault>) {
            display("{}: the document has faults:\n{}", path.display(), fault_lines(faults))
        }
        /// The daemon can't be reached, or the connection broke.
        Unreachable(reason: String) {
            display("the daemon can't be reached: {reason}")
        }
        /// The daemon refused.
        Refused(failure: FailureDetail) {
            display("{}", refusal(failure))
        }
        /// The daemon's answer makes no sense.
        Answer(reason: String) {
            display("the daemon's answer can't be read: {reason}")
        }
        /// The output can't be written.
        Output(error: std::io::Error) {
            from()
            display("the output can't be written: {error}")
        }
    }
}

fn fault_lines(faults: &[FieldFault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}

fn refusal(failure: &FailureDetail) -> String {
    let mut text = format!(
        "{:?}: {} (request {})",
        failure.code, failure.message, failure.request_id
    );
    if !failure.faults.is_empty() {
        text.push('\n');
        text.push_str(&fault_lines(&failure.faults));
    }
    if let Some(ask) = &failure.ask {
        text.push_str(&format!("\nask: stilequayctl outcome '{ask}'"));
    }
    text
}

impl ControlError {
    /// The exit code that tells of this error.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) | Self::Unreadable(..) | Self::Format(..) | Self::Document(..) => {
                ExitStatus::WrongUse
            }
            Self::Unreachable(_) => ExitStatus::Unreachable,
            Self::Refused(failure) if failure.code == FailureCode::OutcomeUnknown => {
                ExitStatus::OutcomeUnknown
            }
            Self::Refused(_) | Self::Answer(_) | Self::Output(_) => ExitStatus::Refused,
        }
    }

    /// Whether the daemon refused with `code`.
    pub fn is_refusal(&self, code: FailureCode) -> bool {
        matches!(self, Self::Refused(failure) if failure.code == code)
    }
}
