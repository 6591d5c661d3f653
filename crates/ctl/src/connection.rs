//! Which daemon is asked, and with which token.

use crate::ControlError;
use serde::Deserialize;
use std::fs;
use std::path::{Path, PathBuf};
use stilequay_daemon::domain::resource::Secret;

/// File that is read where no other is given, if it is there.
pub const DEFAULT_FILE: &str = "stilequayctl.toml";

/// A daemon and the token to use with it.
#[derive(Debug, Clone)]
pub struct Connection {
    /// URL of the daemon's API.
    pub server: String,
    /// The bearer token.
    pub token: Option<Secret>,
}

/// What the flags say of the connection; stronger than the file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionFlags {
    /// `--config`.
    pub config: Option<PathBuf>,
    /// `--server`.
    pub server: Option<String>,
    /// `--token-file`.
    pub token_file: Option<PathBuf>,
}

/// The settings file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ConnectionFile {
    server: Option<String>,
    token: Option<Secret>,
    token_file: Option<PathBuf>,
}

impl Connection {
    /// The connection that flags and settings file tell.
    pub fn load(flags: &ConnectionFlags) -> Result<Self, ControlError> {
        let file = read_settings(flags.config.as_deref())?;
        let server = flags.server.clone().or(file.server);
        let server = server.ok_or_else(|| {
            ControlError::Usage("no daemon is given: use --server URL or a settings file".into())
        })?;
        let token = match flags.token_file.clone().or(file.token_file) {
            Some(path) => Some(read_token(&path)?),
            None => file.token,
        };
        Ok(Self {
            server: with_scheme(server.trim_end_matches('/')),
            token,
        })
    }
}

/// `ip:port` alone means plain HTTP.
fn with_scheme(server: &str) -> String {
    match server.contains("://") {
        true => server.to_owned(),
        false => format!("http://{server}"),
    }
}

fn read_settings(given: Option<&Path>) -> Result<ConnectionFile, ControlError> {
    let path = match given {
        Some(path) => path,
        None if Path::new(DEFAULT_FILE).exists() => Path::new(DEFAULT_FILE),
        None => return Ok(ConnectionFile::default()),
    };
    let text = fs::read_to_string(path)
        .map_err(|error| ControlError::Unreadable(path.to_owned(), error))?;
    toml::from_str(&text)
        .map_err(|error| ControlError::Format(path.to_owned(), error.message().to_owned()))
}

fn read_token(path: &Path) -> Result<Secret, ControlError> {
    let text = fs::read_to_string(path)
        .map_err(|error| ControlError::Unreadable(path.to_owned(), error))?;
    Ok(Secret::new(text.trim()))
}
