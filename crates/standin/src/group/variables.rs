//! The variables of a session.

use super::error::{SqlError, SqlState};
use std::collections::HashMap;

/// What `SHOW` answers for variables that were never set.
const DEFAULTS: [(&str, &str); 10] = [
    ("application_name", ""),
    ("client_encoding", "UTF8"),
    ("datestyle", "ISO, MDY"),
    ("default_transaction_read_only", "off"),
    ("search_path", "public"),
    ("server_version", "16.6"),
    ("standard_conforming_strings", "on"),
    ("statement_timeout", "0"),
    ("timezone", "UTC"),
    ("transaction_isolation", "read committed"),
];

/// The variables that one connection has set.
#[derive(Debug, Clone, Default)]
pub(crate) struct Variables {
    /// Given by the client at its start, as the session's defaults.
    startup: HashMap<String, String>,
    session: HashMap<String, String>,
    /// Set with `SET LOCAL`, to the end of the transaction.
    local: HashMap<String, String>,
    /// The session's variables at the start of the transaction, which a rollback restores.
    saved: Option<HashMap<String, String>>,
}

impl Variables {
    /// Sets the session's default of `name`.
    pub(crate) fn set_default(&mut self, name: &str, value: &str) {
        self.startup.insert(name.to_owned(), value.to_owned());
    }

    /// Sets `name`, or puts it back to its default.
    pub(crate) fn set(&mut self, name: String, value: Option<String>, local: bool) {
        let values = if local {
            &mut self.local
        } else {
            &mut self.session
        };
        match value {
            Some(value) => values.insert(name, value),
            None => values.remove(&name),
        };
    }

    /// The value of `name`.
    pub(crate) fn get(&self, name: &str) -> Result<String, SqlError> {
        let maps = [&self.local, &self.session, &self.startup];
        let default = || DEFAULTS.iter().find(|(known, _)| *known == name);
        if let Some(value) = maps.iter().find_map(|map| map.get(name)) {
            return Ok(value.clone());
        }
        let (_, value) = default().ok_or_else(|| {
            let message = format!("unrecognized configuration parameter \"{name}\"");
            SqlError::new(SqlState::UndefinedObject, message)
        })?;
        Ok((*value).to_owned())
    }

    /// Puts `name`, or every variable, back to its default.
    pub(crate) fn reset(&mut self, name: Option<&str>) {
        match name {
            Some(name) => {
                self.session.remove(name);
            }
            None => self.session.clear(),
        }
    }

    /// Notes the start of a transaction.
    pub(crate) fn begin(&mut self) {
        self.saved = Some(self.session.clone());
    }

    /// Ends a transaction.
    pub(crate) fn end(&mut self, committed: bool) {
        self.local.clear();
        if let Some(saved) = self.saved.take()
            && !committed
        {
            self.session = saved;
        }
    }
}
