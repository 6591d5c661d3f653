//! What a caller's session has said and seen of freshness: its name and its floors.

use crate::domain::exchange::Freshness;
use crate::domain::names::SessionName;
use crate::domain::resource::{Consistency, SessionPolicySpec};
use std::time::Duration;
use stilequay_coordination::position::Floor;

/// What the reads of a session must see.
#[derive(Debug, Default)]
pub struct SessionFreshness {
    name: Option<SessionName>,
    /// The floor that the caller brought along.
    token: Option<Floor>,
    /// The floor of the writes made through this connection.
    own: Option<Floor>,
    /// A write's outcome was not known and no later write has been confirmed.
    uncertain: bool,
}

impl SessionFreshness {
    /// The session's name, where the caller gave one.
    pub fn name(&self) -> Option<&SessionName> {
        self.name.as_ref()
    }

    /// Names the session, or takes its name away.
    pub fn set_name(&mut self, name: Option<SessionName>) {
        self.name = name;
    }

    /// Takes a floor that the caller brought along.
    pub fn set_token(&mut self, token: Option<Floor>) {
        self.token = token;
    }

    /// How fresh the session's next read must be.
    pub fn required(&self, policy: &SessionPolicySpec) -> Freshness {
        match policy.consistency {
            Consistency::Strong => Freshness::Barrier,
            Consistency::Session => self.session_freshness(),
            Consistency::BoundedStaleness => Freshness::BoundedStaleness {
                max_age: Duration::from_millis(policy.max_staleness_millis),
                max_bytes: policy.max_staleness_bytes,
                answer_beyond: policy.answer_beyond_bounds,
            },
        }
    }

    /// A named session may have written through another connection, so that this
    /// connection's floor is not enough for it; a token covers the whole session.
    fn session_freshness(&self) -> Freshness {
        if self.uncertain {
            return Freshness::Barrier;
        }
        match (self.token, &self.name, self.own) {
            (Some(token), _, own) => Freshness::AtLeast(token.max(own.unwrap_or_default())),
            (None, Some(_), _) => Freshness::SessionFloor,
            (None, None, Some(own)) => Freshness::AtLeast(own),
            (None, None, None) => Freshness::Barrier,
        }
    }

    /// Records a confirmed write.
    pub fn record_write(&mut self, floor: Floor) {
        self.own = self.own.max(Some(floor));
        self.uncertain = false;
    }

    /// The floor to tell the caller.
    pub fn reported_floor(&self) -> Option<Floor> {
        self.own.max(self.token)
    }

    /// Records that a write's outcome is not known: no floor covers it.
    pub fn record_unknown_outcome(&mut self) {
        self.uncertain = true;
    }
}
