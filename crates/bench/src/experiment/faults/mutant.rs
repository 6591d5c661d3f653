//! Guarantees switched off on purpose, to see the checker notice.

use crate::launch::LaunchError;
use serde::Serialize;
use std::str::FromStr;

/// A guarantee that the daemons of a run leave out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mutant {
    /// Writes are acknowledged without confirming the term.
    SkipConfirmation,
    /// Reads go to any member without a barrier.
    SkipBarrier,
    /// Connections are shared again although a transaction is open on them.
    ReturnDirtyConnections,
    /// Writes that may have run are repeated.
    RetryUnsafe,
}

impl Mutant {
    /// All mutants.
    pub const ALL: [Self; 4] = [
        Self::SkipConfirmation,
        Self::SkipBarrier,
        Self::ReturnDirtyConnections,
        Self::RetryUnsafe,
    ];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::SkipConfirmation => "skip-confirmation",
            Self::SkipBarrier => "skip-barrier",
            Self::ReturnDirtyConnections => "return-dirty-connections",
            Self::RetryUnsafe => "retry-unsafe",
        }
    }

    /// The daemon settings that switch the guarantee off.
    pub fn daemon_settings(self) -> Vec<String> {
        let switch = self.name().replace('-', "_");
        vec![
            "node.allow_mutants=true".to_owned(),
            format!("home.mutants.{switch}=true"),
        ]
    }
}

impl FromStr for Mutant {
    type Err = LaunchError;

    fn from_str(text: &str) -> Result<Self, LaunchError> {
        let found = Self::ALL.into_iter().find(|mutant| mutant.name() == text);
        found.ok_or_else(|| LaunchError::Settings(format!("no mutant is called {text}")))
    }
}
