//! Transactions that are run again rather than locked.
//!
//! A member has one database and any number of open transactions. An open transaction is kept as
//! the list of its statements with what they gave. Each further statement runs the list first,
//! inside an SQLite transaction that is rolled back afterwards, so nobody else ever sees
//! uncommitted work and an abandoned transaction holds nothing up. The commit runs the list a
//! last time and keeps it; a statement that now gives something else met a conflict, and the
//! commit fails with SQLSTATE 40001. Reads see committed rows and the transaction's own writes,
//! as in READ COMMITTED; under REPEATABLE READ and SERIALIZABLE they are on the list too.

use super::engine::{Engine, Outcome};
use super::error::{SqlError, SqlState};
use super::log::Basis;
use super::sql::{Action, BoundStatement, TransactionModes};

/// A statement of an open transaction, and what its caller was told.
#[derive(Debug)]
struct Step {
    bound: BoundStatement,
    outcome: Outcome,
}

/// An open transaction.
#[derive(Debug)]
pub(crate) struct Transaction {
    /// What its non-deterministic functions give.
    pub(crate) basis: Basis,
    /// How it was begun.
    pub(crate) modes: TransactionModes,
    steps: Vec<Step>,
}

impl Transaction {
    /// A transaction that begins now.
    pub(crate) fn new(modes: TransactionModes) -> Self {
        Self {
            basis: Basis::new(),
            modes,
            steps: Vec::new(),
        }
    }

    /// Whether it has run a statement that must hold until the commit.
    pub(crate) fn has_steps(&self) -> bool {
        !self.steps.is_empty()
    }

    /// Whether it has changed the schema.
    pub(crate) fn defines(&self) -> bool {
        let mut actions = self.steps.iter().map(|step| &step.bound.statement.action);
        actions.any(|action| matches!(action, Action::Define { .. }))
    }

    /// Whether a commit would change anything.
    pub(crate) fn has_writes(&self) -> bool {
        let mut actions = self.steps.iter().map(|step| &step.bound.statement.action);
        actions.any(|action| matches!(action, Action::Define { .. } | Action::Write { .. }))
    }

    /// Runs the steps so far, and fails if they give something else than before.
    pub(crate) fn repeat(&self, engine: &Engine) -> Result<(), SqlError> {
        for step in &self.steps {
            let outcome = engine.run(&step.bound)?;
            if outcome != step.outcome {
                let message = "could not serialize access due to concurrent update";
                return Err(SqlError::new(SqlState::SerializationFailure, message));
            }
        }
        Ok(())
    }

    /// Keeps a statement that was run after the steps so far, if it must hold until the commit.
    pub(crate) fn keep(&mut self, bound: BoundStatement, outcome: &Outcome) {
        let action = &bound.statement.action;
        if action.writes() || self.modes.repeatable {
            self.steps.push(Step {
                bound,
                outcome: outcome.clone(),
            });
        }
    }

    /// The statements to append to the log.
    pub(crate) fn into_writes(self) -> Vec<BoundStatement> {
        let statements = self.steps.into_iter().map(|step| step.bound);
        let changes = |bound: &BoundStatement| {
            matches!(
                bound.statement.action,
                Action::Define { .. } | Action::Write { .. }
            )
        };
        statements.filter(changes).collect()
    }
}
