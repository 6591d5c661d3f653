//! Verifiers of passwords, so that no password reaches the configuration.

use crate::ControlError;
use postgres_protocol::password::scram_sha_256;
use std::io::BufRead;

/// The SCRAM-SHA-256 verifier of `password`, with a new random salt, in
/// PostgreSQL's own form.
pub fn verifier(password: &str) -> String {
    scram_sha_256(password.as_bytes())
}

/// Reads a password: the first line of `input`, without its end.
pub fn read_password(mut input: impl BufRead) -> Result<String, ControlError> {
    let mut line = String::new();
    input.read_line(&mut line)?;
    let password = line.trim_end_matches(['\n', '\r']);
    match password.is_empty() {
        true => Err(ControlError::Usage("the password is empty".to_owned())),
        false => Ok(password.to_owned()),
    }
}
