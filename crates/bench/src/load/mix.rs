//! How often a session does what.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Shares of the kinds of operations, each from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct Mix {
    /// Share of operations that write.
    pub writes: f64,
    /// Share of writes that are transactions of several rows.
    pub transactions: f64,
    /// Share of transactions that the session rolls back.
    pub rollbacks: f64,
    /// Share of transactions that the session leaves open as its connection ends.
    pub abandons: f64,
    /// Share of writes and reads that go to an item all sessions share.
    pub shared: f64,
    /// Share of reads by a prepared statement.
    pub prepared: f64,
    /// Share of operations before which the session moves to another daemon.
    pub roaming: f64,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            writes: 0.2,
            transactions: 0.3,
            rollbacks: 0.1,
            abandons: 0.05,
            shared: 0.2,
            prepared: 0.5,
            roaming: 0.3,
        }
    }
}

/// What a session does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Writes one row.
    Write,
    /// Writes several rows in one transaction.
    Transaction {
        /// How it ends.
        end: TransactionEnd,
    },
    /// Reads an item.
    Read {
        /// Whether by a prepared statement.
        prepared: bool,
    },
}

/// How a session ends a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactionEnd {
    /// COMMIT.
    Commit,
    /// ROLLBACK.
    Rollback,
    /// The connection is dropped.
    Abandon,
}

impl Mix {
    /// Draws the next step.
    pub fn draw(&self, random: &mut impl Rng) -> Step {
        if !random.random_bool(self.writes) {
            let prepared = random.random_bool(self.prepared);
            return Step::Read { prepared };
        }
        if !random.random_bool(self.transactions) {
            return Step::Write;
        }
        let end = match (
            random.random_bool(self.rollbacks),
            random.random_bool(self.abandons),
        ) {
            (true, _) => TransactionEnd::Rollback,
            (false, true) => TransactionEnd::Abandon,
            (false, false) => TransactionEnd::Commit,
        };
        Step::Transaction { end }
    }
}
