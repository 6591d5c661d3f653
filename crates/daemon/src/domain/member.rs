//! What a member of a group tells of itself.

use stilequay_coordination::position::{LogPosition, Term};
use tokio::time::Instant;

/// Whether a member leads or follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes, or believes that it does.
    Primary,
    /// Replays the log of a primary.
    Replica,
}

/// A member's answer to one probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberReport {
    /// When the probe was sent: the report tells of some moment after it.
    pub started: Instant,
    /// The highest term that the member has voted for or learnt.
    pub term: Term,
    /// Whether the member leads.
    pub role: Role,
    /// End of the log that the member has stored.
    pub received: LogPosition,
    /// End of the log that queries at the member see.
    pub replayed: LogPosition,
}
