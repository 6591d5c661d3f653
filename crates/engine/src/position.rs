//! Log positions in a group's replicated log.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A leader's term, as counted by the members. The number in the store's term records is the
/// [`Epoch`](crate::group::Epoch).
pub type Term = u64;

/// A position in the log, ordered by term and then by number.
///
/// ```
/// use stilequay_engine::position::LogPosition;
/// let earlier: LogPosition = "3.1207".parse().unwrap();
/// let later: LogPosition = "4.12".parse().unwrap();
/// assert!(earlier < later);
/// assert_eq!(later.to_string(), "4.12");
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term in which the entry was written.
    pub term: Term,
    /// The number of the entry in the log.
    pub number: u64,
}

impl LogPosition {
    /// Creates the position `number` in `term`.
    pub fn new(term: Term, number: u64) -> Self {
        Self { term, number }
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}

quick_error! {
    /// A log position could not be parsed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PositionError {
        /// The text is not two numbers separated by a dot.
        Malformed(text: String) {
            display("not a log position: {text:?}")
        }
    }
}

impl FromStr for LogPosition {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let malformed = || PositionError::Malformed(text.to_owned());
        let (term, number) = text.split_once('.').ok_or_else(malformed)?;
        Ok(Self {
            term: term.parse().map_err(|_| malformed())?,
            number: number.parse().map_err(|_| malformed())?,
        })
    }
}
