//! Decoding of values that another process has encoded: records, frames and queries.
//!
//! Bytes that can't be decoded are dropped by whoever reads them. `report_undecodable` counts
//! them and writes an event, so that they are not dropped silently.

use crate::events::{Event, EventLog};
use quick_error::quick_error;
use rmp_serde::decode::Error as FormatError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Maximum length of the text of an error in an event.
const MAX_ERROR_CHARS: usize = 200;
/// Maximum length of the name of a frame in an event.
const MAX_FRAME_NAME_BYTES: usize = 31;

quick_error! {
    /// Why bytes can't be used.
    #[derive(Debug)]
    pub enum DecodeError {
        /// They don't have the format that this version writes.
        Malformed(error: FormatError) {
            display("{}", without_values(error))
            from()
        }
        /// They are longer than allowed.
        TooLong {
            display("too long")
        }
        /// They are an answer that could not be decoded, for this reason.
        Answer(reason: String) {
            display("{reason}")
        }
        /// They were decoded, but to a value that has no meaning in their place.
        Unexpected(what: &'static str) {
            display("unexpected: {what}")
        }
    }
}

impl DecodeError {
    /// The value of the `reason` label in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            DecodeError::Malformed(error) => format_reason(error),
            DecodeError::TooLong => "too_long",
            DecodeError::Answer(_) => "answer",
            DecodeError::Unexpected(_) => "unexpected",
        }
    }
}

fn format_reason(error: &FormatError) -> &'static str {
    match error {
        FormatError::InvalidMarkerRead(_) | FormatError::InvalidDataRead(_) => "truncated",
        FormatError::TypeMismatch(_) | FormatError::Syntax(_) => "type_mismatch",
        FormatError::OutOfRange => "out_of_range",
        FormatError::LengthMismatch(_) => "length_mismatch",
        FormatError::Utf8Error(_) => "not_utf8",
        FormatError::DepthLimitExceeded => "too_deep",
        FormatError::Uncategorized(_) => "other",
    }
}

/// The text of `error` without the strings that were decoded, which may contain callers' data.
fn without_values(error: &FormatError) -> String {
    let text = error.to_string();
    let text = match (text.find('"'), text.rfind('"')) {
        (Some(first), Some(last)) if first < last => {
            format!("{}..{}", &text[..=first], &text[last..])
        }
        _ => text,
    };
    let (is_unknown_name, expected) = (text.starts_with("unknown "), text.rfind("`, expected"));
    let text = match (text.find('`'), expected) {
        (Some(first), Some(last)) if is_unknown_name && first < last => {
            format!("{}..{}", &text[..=first], &text[last..])
        }
        _ => text,
    };
    text.chars().take(MAX_ERROR_CHARS).collect()
}

/// Decodes a record, a frame or a query.
///
/// # Errors
///
/// [`DecodeError::Malformed`] if `bytes` don't encode a `T`.
pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, DecodeError> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Decodes the value of the record `key`. If that fails, reports it and returns `None`.
pub(crate) fn decode_record<T: DeserializeOwned>(
    events: &EventLog,
    kind: UndecodableKind,
    key: &str,
    value: &[u8],
) -> Option<T> {
    let decoded = decode(value);
    decoded
        .inspect_err(|error| report_undecodable(events, kind, key, None, error))
        .ok()
}

/// What could not be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UndecodableKind {
    /// A frame of the process that opened a link.
    LinkRequest,
    /// A frame of the process that serves a link.
    LinkAnswer,
    /// The reassembled parts of an answer.
    LinkAnswerParts,
    /// The answer to the first ping of a link.
    LinkFirstAnswer,
    /// A query outside a link.
    PeerQuery,
    /// The answer to a query outside a link.
    PeerAnswer,
    /// A term record.
    TermRecord,
    /// A roster of a group.
    RosterRecord,
    /// The record of a process.
    NodeRecord,
    /// The index of a large fleet.
    FleetIndexRecord,
    /// A suspicion of a leader.
    SuspicionRecord,
    /// A lease.
    LeaseRecord,
    /// The slow-start allotments of a group.
    AllotmentsRecord,
}

impl UndecodableKind {
    /// The value of the `what` label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            UndecodableKind::LinkRequest => "link_request",
            UndecodableKind::LinkAnswer => "link_answer",
            UndecodableKind::LinkAnswerParts => "link_answer_parts",
            UndecodableKind::LinkFirstAnswer => "link_first_answer",
            UndecodableKind::PeerQuery => "peer_query",
            UndecodableKind::PeerAnswer => "peer_answer",
            UndecodableKind::TermRecord => "term_record",
            UndecodableKind::RosterRecord => "roster_record",
            UndecodableKind::NodeRecord => "node_record",
            UndecodableKind::FleetIndexRecord => "fleet_index_record",
            UndecodableKind::SuspicionRecord => "suspicion_record",
            UndecodableKind::LeaseRecord => "lease_record",
            UndecodableKind::AllotmentsRecord => "allotments_record",
        }
    }
}

/// Counts bytes that could not be decoded and writes an event, within the event budget. `from` is
/// the address of the peer or the key of the record, `frame` the bytes if they are a frame.
pub(crate) fn report_undecodable(
    events: &EventLog,
    kind: UndecodableKind,
    from: impl ToString,
    frame: Option<&[u8]>,
    error: &DecodeError,
) {
    count_undecodable(kind, error);
    events.write(&Event::Undecodable {
        what: kind,
        from: from.to_string(),
        frame: frame.and_then(frame_name).map(str::to_owned),
        bytes: frame.map(<[u8]>::len),
        error: error.to_string(),
    });
}

/// Counts bytes that could not be decoded.
pub(crate) fn count_undecodable(kind: UndecodableKind, error: &DecodeError) {
    metrics::counter!(
        "stilequay_undecodable_total",
        "what" => kind.name(),
        "reason" => error.reason()
    )
    .increment(1);
}

/// The name of the frame in `bytes`, an encoded enum: a map whose only key is the variant's name,
/// or that name alone.
fn frame_name(bytes: &[u8]) -> Option<&str> {
    const MAP_OF_ONE: u8 = 0x81;
    const SHORT_STRING: u8 = 0xa0;
    let rest = bytes.strip_prefix(&[MAP_OF_ONE]).unwrap_or(bytes);
    let (marker, rest) = rest.split_first()?;
    let length = usize::from(marker.checked_sub(SHORT_STRING)?);
    let name = rest.get(..length.min(MAX_FRAME_NAME_BYTES))?;
    let is_name = length <= MAX_FRAME_NAME_BYTES && name.iter().all(u8::is_ascii_alphanumeric);
    std::str::from_utf8(name).ok().filter(|_| is_name)
}
