//! Positions in a replicated log, and the order between them.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a primary's reign over a database group; each election raises it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u32);

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A byte position in the log of one term.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The least state that a session's next read must have reached.
///
/// Ordered by term first: a position means nothing without its term.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Floor {
    /// The term in which the position was written.
    pub term: Term,
    /// The position that must have been replayed.
    pub position: LogPosition,
}

impl Floor {
    /// A floor at `position` of `term`.
    pub fn new(term: Term, position: LogPosition) -> Self {
        Self { term, position }
    }
}

impl fmt::Display for Floor {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.term, self.position)
    }
}
