//! What the application needs of a caller whose request it runs.

use crate::domain::verdict::RequestFailure;
use async_trait::async_trait;

/// What a caller does while its request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interruption {
    /// It asks to give the request up.
    CancelRequested,
    /// It is gone.
    Gone,
}

/// An answer could not be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerError {
    /// It is not what the protocol allows.
    Invalid(RequestFailure),
    /// The caller is gone.
    CallerGone,
}

/// The caller's end of one request.
#[async_trait]
pub trait CallerLink: Send {
    /// Begins the answer anew, for another attempt. Never called once part of an answer
    /// has been passed on.
    fn begin_answer(&mut self);

    /// Takes a part of the answer, and passes on what is worth it.
    async fn take(&mut self, part: &[u8]) -> Result<(), AnswerError>;

    /// Checks that the answer has come to its end.
    fn complete(&mut self) -> Result<(), AnswerError>;

    /// Whether anything of the answer has been passed on.
    fn has_passed_on(&self) -> bool;

    /// Returns when the caller interrupts the request; cancel-safe.
    async fn interrupted(&mut self) -> Interruption;
}
