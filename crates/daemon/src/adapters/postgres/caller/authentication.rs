//! Authentication of callers by SCRAM-SHA-256 against a stored verifier.

use super::reply::{ErrorReply, encode};
use super::shape;
use super::socket::{CallerSocket, SocketError};
use crate::domain::resource::Secret;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use pgwire::api::auth::sasl::scram::{SCRAM_ITERATIONS, ScramSecret, ScramServerAuth};
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::startup::{Authentication, PasswordMessageFamily};
use xxhash_rust::xxh3::xxh3_128;

const MECHANISM: &str = "SCRAM-SHA-256";
const KEY_BYTES: usize = 32;
/// SQLSTATE `invalid_password`.
const INVALID_PASSWORD: &str = "28P01";
/// SQLSTATE `protocol_violation`.
const PROTOCOL_VIOLATION: &str = "08P01";

/// Why a caller was not authenticated.
pub(super) enum AuthenticationError {
    /// The connection is of no more use.
    Socket(SocketError),
    /// The caller is to be told and turned away.
    Refused(ErrorReply),
}

impl From<SocketError> for AuthenticationError {
    fn from(error: SocketError) -> Self {
        Self::Socket(error)
    }
}

/// Runs the exchange for `user`. `verifier` is absent for a user that does not
/// exist: the exchange then runs its full course and fails as for a wrong password.
pub(super) async fn authenticate(
    socket: &mut CallerSocket,
    user: &str,
    verifier: Option<&Secret>,
    max_frame_bytes: usize,
) -> Result<(), AuthenticationError> {
    let known = verifier.and_then(|verifier| parse_verifier(verifier.expose()));
    let exists = known.is_some();
    let secret = known.unwrap_or_else(|| decoy(user));
    send(socket, Authentication::SASL(vec![MECHANISM.to_owned()])).await?;
    let first = initial_response(read_password(socket, max_frame_bytes).await?)?;
    let (server_first, waiting) = ScramServerAuth::new()
        .on_client_first_message_with_secret(&first, secret)
        .map_err(|error| malformed(error.to_string()))?;
    send(socket, Authentication::SASLContinue(server_first.into())).await?;
    let last = read_password(socket, max_frame_bytes)
        .await?
        .into_sasl_response()
        .map_err(|error| malformed(error.to_string()))?;
    match waiting.on_client_final_message(&last.data) {
        Ok(server_final) if exists => {
            send(socket, Authentication::SASLFinal(server_final.into())).await?;
            send(socket, Authentication::Ok).await
        }
        _ => Err(wrong_password(user)),
    }
}

async fn send(
    socket: &mut CallerSocket,
    message: Authentication,
) -> Result<(), AuthenticationError> {
    Ok(socket.write(&encode(&message)).await?)
}

async fn read_password(
    socket: &mut CallerSocket,
    limit: usize,
) -> Result<PasswordMessageFamily, AuthenticationError> {
    match socket.next_message_within(limit).await? {
        PgWireFrontendMessage::PasswordMessageFamily(message) => Ok(message),
        _ => Err(malformed("a password message was expected".to_owned())),
    }
}

fn initial_response(message: PasswordMessageFamily) -> Result<Bytes, AuthenticationError> {
    let well_formed = matches!(&message, PasswordMessageFamily::Raw(body) if shape::is_sasl_initial_response(body));
    if !well_formed {
        return Err(malformed("malformed SASL initial response".to_owned()));
    }
    let response = message
        .into_sasl_initial_response()
        .map_err(|error| malformed(error.to_string()))?;
    if response.auth_method != MECHANISM {
        return Err(malformed("the SASL mechanism is not offered".to_owned()));
    }
    response
        .data
        .ok_or_else(|| malformed("the SASL initial response is empty".to_owned()))
}

fn malformed(reason: String) -> AuthenticationError {
    AuthenticationError::Refused(ErrorReply::fatal(PROTOCOL_VIOLATION, reason))
}

fn wrong_password(user: &str) -> AuthenticationError {
    AuthenticationError::Refused(ErrorReply::fatal(
        INVALID_PASSWORD,
        format!("password authentication failed for user \"{user}\""),
    ))
}

/// Reads `SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>`.
fn parse_verifier(text: &str) -> Option<ScramSecret> {
    let mut parts = text.split('$');
    let (mechanism, cost, keys) = (parts.next()?, parts.next()?, parts.next()?);
    if mechanism != MECHANISM || parts.next().is_some() {
        return None;
    }
    let (iterations, salt) = cost.split_once(':')?;
    let (stored_key, server_key) = keys.split_once(':')?;
    Some(ScramSecret::Verifier {
        salt: STANDARD.decode(salt).ok()?,
        iterations: iterations.parse().ok()?,
        stored_key: decode_key(stored_key)?,
        server_key: decode_key(server_key)?,
    })
}

fn decode_key(text: &str) -> Option<Vec<u8>> {
    let key = STANDARD.decode(text).ok()?;
    (key.len() == KEY_BYTES).then_some(key)
}

/// A secret for a user that does not exist, with the same salt at each attempt, so
/// that an attempt does not tell which users exist.
fn decoy(user: &str) -> ScramSecret {
    ScramSecret::Verifier {
        salt: xxh3_128(user.as_bytes()).to_be_bytes().to_vec(),
        iterations: SCRAM_ITERATIONS,
        stored_key: rand::random::<[u8; KEY_BYTES]>().to_vec(),
        server_key: rand::random::<[u8; KEY_BYTES]>().to_vec(),
    }
}
