//! The startup phase of a connection, up to its authentication.

use super::parameters::{self, FLOOR_PARAMETER, REPEAT_PARAMETER, SESSION_PARAMETER};
use super::reply::{ErrorReply, encode};
use super::socket::{CallerSocket, SocketError};
use crate::adapters::postgres::classify::ProxySetting;
use crate::app::front::{AccessError, SessionFreshness};
use crate::domain::names::{GroupName, ServiceName};
use crate::domain::statement::Repeat;
use bytes::BytesMut;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{GssEncRequest, NegotiateProtocolVersion, SslRequest, Startup};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};

/// SQLSTATE `feature_not_supported`.
const UNSUPPORTED: &str = "0A000";
/// SQLSTATE `protocol_violation`.
const PROTOCOL_VIOLATION: &str = "08P01";
/// SQLSTATE `invalid_authorization_specification`.
const INVALID_AUTHORIZATION: &str = "28000";
/// SQLSTATE `invalid_parameter_value`.
const INVALID_VALUE: &str = "22023";

/// Answer to a request for encryption that is not offered.
const ENCRYPTION_REFUSED: &[u8] = b"N";
/// Requests for encryption before the startup message: one for TLS and one for GSS.
const MAX_ENCRYPTION_REQUESTS: usize = 2;
/// Parameters that begin so are options of the protocol itself.
const PROTOCOL_OPTION_PREFIX: &str = "_pq_.";
const SETTING_PREFIX: &str = "stilequay.";

/// What a new connection asks for.
pub(super) enum Opening {
    /// To cancel what another connection runs.
    Cancel(CancelRequest),
    /// To begin a session.
    Start(Box<StartupRequest>),
}

/// A caller's startup message, read and checked.
#[derive(Debug)]
pub(super) struct StartupRequest {
    pub(super) service: ServiceName,
    pub(super) group: GroupName,
    pub(super) application_name: String,
    pub(super) freshness: SessionFreshness,
    pub(super) repeat: Option<Repeat>,
    /// Options of the protocol that the caller asked for and does not get.
    protocol_options: Vec<String>,
    wants_newer_minor: bool,
}

/// Why a connection did not get through its startup.
pub(super) enum StartupError {
    /// The connection is of no more use.
    Socket(SocketError),
    /// The caller is to be told and turned away.
    Refused(ErrorReply),
}

impl From<SocketError> for StartupError {
    fn from(error: SocketError) -> Self {
        Self::Socket(error)
    }
}

impl From<AccessError> for StartupError {
    fn from(error: AccessError) -> Self {
        Self::Refused(error.into())
    }
}

impl From<ErrorReply> for StartupError {
    fn from(reply: ErrorReply) -> Self {
        Self::Refused(reply)
    }
}

/// Reads what the connection asks for, refusing encryption on the way.
pub(super) async fn read_opening(
    socket: &mut CallerSocket,
    max_frame_bytes: usize,
) -> Result<Opening, StartupError> {
    for _ in 0..=MAX_ENCRYPTION_REQUESTS {
        let mut frame = socket.next_startup_frame(max_frame_bytes).await?;
        let wants_encryption = SslRequest::is_ssl_request_packet(&frame)
            || GssEncRequest::is_gss_enc_request_packet(&frame);
        if !wants_encryption {
            return decode_opening(&mut frame);
        }
        socket.write(ENCRYPTION_REFUSED).await?;
    }
    Err(violation("too many requests for encryption"))
}

fn decode_opening(frame: &mut BytesMut) -> Result<Opening, StartupError> {
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    if CancelRequest::is_cancel_request_packet(frame) {
        return match CancelRequest::decode(frame, &context) {
            Ok(Some(request)) => Ok(Opening::Cancel(request)),
            _ => Err(violation("malformed cancel request")),
        };
    }
    match Startup::decode(frame, &context) {
        Ok(Some(startup)) => Ok(Opening::Start(Box::new(read_startup(startup)?))),
        _ => Err(violation("malformed or unsupported startup message")),
    }
}

fn violation(reason: &str) -> StartupError {
    ErrorReply::fatal(PROTOCOL_VIOLATION, reason).into()
}

fn read_startup(startup: Startup) -> Result<StartupRequest, StartupError> {
    let user = startup.parameters.get("user").cloned().unwrap_or_default();
    if user.is_empty() {
        return Err(ErrorReply::fatal(INVALID_AUTHORIZATION, "no user name is given").into());
    }
    let database = startup.parameters.get("database").unwrap_or(&user).clone();
    let mut request = StartupRequest {
        service: ServiceName::new(user),
        group: GroupName::new(database),
        application_name: String::new(),
        freshness: SessionFreshness::default(),
        repeat: None,
        protocol_options: Vec::new(),
        wants_newer_minor: startup.protocol_number_minor > 0,
    };
    for (name, value) in startup.parameters {
        request.add_parameter(&name, value)?;
    }
    Ok(request)
}

impl StartupRequest {
    fn add_parameter(&mut self, name: &str, value: String) -> Result<(), StartupError> {
        if name.starts_with(PROTOCOL_OPTION_PREFIX) {
            self.protocol_options.push(name.to_owned());
            return Ok(());
        }
        match name {
            "user" | "database" => {}
            "application_name" | "fallback_application_name" => self.application_name = value,
            "options" => self.add_options(&value)?,
            _ => self.add_setting(name, &value)?,
        }
        Ok(())
    }

    /// Reads `-c name=value` and `--name=value`, with blanks escaped by backslashes.
    fn add_options(&mut self, options: &str) -> Result<(), StartupError> {
        let mut words = split_options(options).into_iter();
        while let Some(word) = words.next() {
            let pair = match word.strip_prefix("--") {
                Some(pair) => pair.to_owned(),
                None if word == "-c" => words.next().unwrap_or_default(),
                None => word.strip_prefix("-c").unwrap_or_default().to_owned(),
            };
            let Some((name, value)) = pair.split_once('=') else {
                let message = format!("the startup option \"{word}\" is not supported");
                return Err(ErrorReply::fatal(UNSUPPORTED, message).into());
            };
            self.add_setting(name, value)?;
        }
        Ok(())
    }

    /// A connection is shared, so that only settings which every back-end
    /// connection has anyway can be asked for.
    fn add_setting(&mut self, name: &str, value: &str) -> Result<(), StartupError> {
        if let Some(own) = name.strip_prefix(SETTING_PREFIX) {
            return self.add_proxy_setting(own, value);
        }
        let is_default = match name.to_ascii_lowercase().as_str() {
            "client_encoding" => is_utf8(value),
            "datestyle" => value.to_ascii_uppercase().starts_with("ISO"),
            "timezone" => matches!(
                value.to_ascii_uppercase().as_str(),
                "UTC" | "GMT" | "ETC/UTC"
            ),
            "extra_float_digits" => value.parse().is_ok_and(|digits: i8| digits > 0),
            "standard_conforming_strings" => value == "on",
            _ => false,
        };
        if is_default {
            return Ok(());
        }
        let message = format!("the startup parameter \"{name}\" = \"{value}\" is not supported");
        let mut reply = ErrorReply::fatal(UNSUPPORTED, message);
        reply.detail = Some("SET sets it, and holds a connection for the session.".to_owned());
        Err(reply.into())
    }

    fn add_proxy_setting(&mut self, name: &str, value: &str) -> Result<(), StartupError> {
        let full_name = format!("{SETTING_PREFIX}{name}");
        let known = [FLOOR_PARAMETER, SESSION_PARAMETER, REPEAT_PARAMETER];
        if !known.contains(&full_name.as_str()) {
            let message = format!("unrecognized configuration parameter \"{full_name}\"");
            return Err(ErrorReply::fatal(INVALID_VALUE, message).into());
        }
        let setting = ProxySetting {
            name: name.to_owned(),
            value: value.to_owned(),
        };
        parameters::apply(&setting, &mut self.freshness, &mut self.repeat)
            .map_err(|reply| ErrorReply::fatal(reply.sqlstate, reply.message).into())
    }

    /// What a caller that asked for more of the protocol than there is must be told.
    pub(super) fn negotiation(&self) -> Option<BytesMut> {
        if !self.wants_newer_minor && self.protocol_options.is_empty() {
            return None;
        }
        let message = NegotiateProtocolVersion::new(
            Startup::PROTOCOL_VERSION_3_0,
            self.protocol_options.clone(),
        );
        Some(encode(&message))
    }
}

fn is_utf8(encoding: &str) -> bool {
    let plain: String = encoding
        .chars()
        .filter(char::is_ascii_alphanumeric)
        .collect();
    matches!(plain.to_ascii_uppercase().as_str(), "UTF8" | "UNICODE")
}

/// Splits at blanks; a backslash keeps the next character as it is.
fn split_options(options: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = String::new();
    let mut characters = options.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' => word.extend(characters.next()),
            blank if blank.is_whitespace() => {
                words.push(std::mem::take(&mut word));
            }
            other => word.push(other),
        }
    }
    words.push(word);
    words.retain(|word| !word.is_empty());
    words
}
