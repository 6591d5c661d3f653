//! What a caller's session has said and seen: its name, its floor, its marks.

use super::reply::{ErrorReply, Severity};
use crate::adapters::postgres::classify::{ProxySetting, Repeat};
use crate::domain::exchange::Freshness;
use crate::domain::names::SessionName;
use crate::domain::resource::{Consistency, SessionPolicySpec};
use std::time::Duration;
use stilequay_coordination::position::{Floor, LogPosition, Term};

/// Startup parameter, setting and parameter status that carry the session's floor.
pub(super) const FLOOR_PARAMETER: &str = "stilequay.floor";
/// Startup parameter and setting that name the session.
pub(super) const SESSION_PARAMETER: &str = "stilequay.session";
/// Startup parameter and setting that mark requests as safe to repeat.
pub(super) const REPEAT_PARAMETER: &str = "stilequay.repeat";

/// SQLSTATE `invalid_parameter_value`.
const INVALID_VALUE: &str = "22023";
/// SQLSTATE `undefined_object`, which PostgreSQL gives for a setting that does not exist.
const UNKNOWN_SETTING: &str = "42704";
/// Longest session name, bytes.
const MAX_NAME_BYTES: usize = 128;

/// A caller's session.
#[derive(Debug, Default)]
pub(super) struct Session {
    name: Option<SessionName>,
    /// The floor that the caller brought along.
    token: Option<Floor>,
    /// The floor of the writes made through this connection.
    own: Option<Floor>,
    /// A write's outcome was not known and no later write has been confirmed.
    uncertain: bool,
    repeat: Option<Repeat>,
}

impl Session {
    /// The name, where the caller gave one.
    pub(super) fn name(&self) -> Option<&SessionName> {
        self.name.as_ref()
    }

    /// Whether the session's requests may be repeated, where it said so.
    pub(super) fn repeat(&self) -> Option<Repeat> {
        self.repeat
    }

    /// How fresh the session's next read must be.
    pub(super) fn freshness(&self, policy: &SessionPolicySpec) -> Freshness {
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
    pub(super) fn record_write(&mut self, floor: Floor) {
        self.own = self.own.max(Some(floor));
        self.uncertain = false;
    }

    /// The floor to tell the caller.
    pub(super) fn reported_floor(&self) -> Option<Floor> {
        self.own.max(self.token)
    }

    /// Records that a write's outcome is not known: no floor covers it.
    pub(super) fn record_unknown_outcome(&mut self) {
        self.uncertain = true;
    }

    /// Applies `SET stilequay.<name>` or the startup parameter of the same name.
    pub(super) fn apply(&mut self, setting: &ProxySetting) -> Result<(), ErrorReply> {
        let full_name = format!("stilequay.{}", setting.name);
        match full_name.as_str() {
            FLOOR_PARAMETER => self.token = read_floor(&setting.value)?,
            SESSION_PARAMETER => self.name = read_name(&setting.value)?,
            REPEAT_PARAMETER => self.repeat = Some(read_repeat(&setting.value)?),
            _ => {
                return Err(error(
                    UNKNOWN_SETTING,
                    format!("unrecognized configuration parameter \"{full_name}\""),
                ));
            }
        }
        Ok(())
    }
}

fn read_floor(value: &str) -> Result<Option<Floor>, ErrorReply> {
    if value.is_empty() {
        return Ok(None);
    }
    parse_floor(value)
        .map(Some)
        .ok_or_else(|| invalid(FLOOR_PARAMETER, "a floor as the proxy reported it"))
}

/// Reads a floor in the form in which it is displayed.
fn parse_floor(text: &str) -> Option<Floor> {
    let (term, position) = text.split_once(':')?;
    Some(Floor::new(
        Term(term.parse().ok()?),
        LogPosition(position.parse().ok()?),
    ))
}

fn read_name(value: &str) -> Result<Option<SessionName>, ErrorReply> {
    if value.len() > MAX_NAME_BYTES {
        return Err(invalid(SESSION_PARAMETER, "at most 128 bytes"));
    }
    Ok((!value.is_empty()).then(|| SessionName::new(value)))
}

fn read_repeat(value: &str) -> Result<Repeat, ErrorReply> {
    Repeat::parse(value).ok_or_else(|| invalid(REPEAT_PARAMETER, "'safe' or 'unsafe'"))
}

fn invalid(name: &str, expected: &str) -> ErrorReply {
    error(
        INVALID_VALUE,
        format!("invalid value for parameter \"{name}\": {expected} is expected"),
    )
}

fn error(sqlstate: &'static str, message: String) -> ErrorReply {
    ErrorReply {
        severity: Severity::Error,
        sqlstate,
        message,
        detail: None,
    }
}
