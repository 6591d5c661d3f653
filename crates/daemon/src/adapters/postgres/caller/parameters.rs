//! The proxy's own parameters, as callers set them: `stilequay.<name>`.

use super::reply::{ErrorReply, Severity};
use crate::adapters::postgres::classify::ProxySetting;
use crate::app::front::SessionFreshness;
use crate::domain::names::SessionName;
use crate::domain::statement::Repeat;
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

/// Applies `SET stilequay.<name>` or the startup parameter of the same name.
pub(super) fn apply(
    setting: &ProxySetting,
    freshness: &mut SessionFreshness,
    repeat: &mut Option<Repeat>,
) -> Result<(), ErrorReply> {
    let full_name = format!("stilequay.{}", setting.name);
    match full_name.as_str() {
        FLOOR_PARAMETER => freshness.set_token(read_floor(&setting.value)?),
        SESSION_PARAMETER => freshness.set_name(read_name(&setting.value)?),
        REPEAT_PARAMETER => *repeat = Some(read_repeat(&setting.value)?),
        _ => {
            return Err(error(
                UNKNOWN_SETTING,
                format!("unrecognized configuration parameter \"{full_name}\""),
            ));
        }
    }
    Ok(())
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
