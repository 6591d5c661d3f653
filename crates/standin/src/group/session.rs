//! The session of one connection: its transaction and its variables.

mod script;

use super::engine::Outcome;
use super::error::{SqlError, SqlState};
use super::member::{Admission, Member};
use super::sql::{Action, BoundStatement, TransactionModes};
use super::transaction::Transaction;
use super::variables::Variables;
use futures::channel::oneshot;
use pgwire::messages::response::TransactionStatus;
use rusqlite::types::Value;
use std::collections::HashSet;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// What to answer to a statement.
#[derive(Debug)]
pub(crate) enum Answer {
    /// Rows or a count.
    Outcome(Outcome),
    /// A command tag alone.
    Tag(&'static str),
    /// A transaction block began.
    TransactionStart,
    /// A transaction block ended with this command tag.
    TransactionEnd(&'static str),
}

struct OpenTransaction {
    transaction: Transaction,
    /// Whether it began with `BEGIN`, and not with a request of several statements.
    explicit: bool,
    failed: bool,
}

/// The state of one connection.
pub(crate) struct Session {
    member: Arc<Member>,
    /// The process number given to the client.
    backend: i32,
    open: Option<OpenTransaction>,
    variables: Variables,
    /// The connection's place under the limit.
    pub(crate) admission: Option<Admission>,
    /// The named prepared statements, which `DISCARD ALL` drops.
    pub(crate) statement_names: HashSet<String>,
}

/// Resolves when the client asks to cancel the statement.
pub(crate) type CancelRequested = oneshot::Receiver<()>;

impl Session {
    /// A fresh session with `member`.
    pub(crate) fn new(member: Arc<Member>) -> Self {
        Self {
            member,
            backend: 0,
            open: None,
            variables: Variables::default(),
            admission: None,
            statement_names: HashSet::new(),
        }
    }

    /// Sets the process number, once it is known.
    pub(crate) fn set_backend(&mut self, backend: i32) {
        self.backend = backend;
    }

    /// Sets a variable's default from the startup message.
    pub(crate) fn set_default(&mut self, name: &str, value: &str) {
        self.variables.set_default(name, value);
    }

    /// Runs one statement. Nothing is awaited after it took effect.
    pub(crate) async fn run(
        &mut self,
        bound: BoundStatement,
        cancel: &mut CancelRequested,
    ) -> Result<Answer, SqlError> {
        let answer = self.try_run(bound, cancel).await;
        if answer.is_err() {
            self.fail();
        }
        answer
    }

    async fn try_run(
        &mut self,
        bound: BoundStatement,
        cancel: &mut CancelRequested,
    ) -> Result<Answer, SqlError> {
        let action = &bound.statement.action;
        self.check_not_failed(action)?;
        self.member.count_statement();
        if action.runs_in_engine() {
            self.wait_for_cost(&bound, cancel).await?;
            self.member.acting().await;
            return self.execute(bound).map(Answer::Outcome);
        }
        self.run_session_statement(action.clone())
    }

    /// Waits for the statement's processing time and for what it asks to sleep.
    async fn wait_for_cost(
        &self,
        bound: &BoundStatement,
        cancel: &mut CancelRequested,
    ) -> Result<(), SqlError> {
        let mut duration = Duration::from_micros(self.member.tunables().delays.statement_us);
        if bound.statement.sleeps {
            let transaction = self.open.as_ref().map(|open| &open.transaction);
            duration += self
                .member
                .state()
                .rehearse(self.backend, transaction, bound)?;
        }
        if duration.is_zero() {
            return Ok(());
        }
        unless_cancelled(cancel, tokio::time::sleep(duration)).await
    }

    fn execute(&mut self, bound: BoundStatement) -> Result<Outcome, SqlError> {
        let transaction = self.open.as_mut().map(|open| &mut open.transaction);
        let alone = transaction.is_none();
        let writes = bound.statement.action.writes();
        let outcome = self
            .member
            .state()
            .execute(self.backend, transaction, bound)?;
        if alone && writes {
            self.member.notify();
        }
        Ok(outcome)
    }

    fn run_session_statement(&mut self, action: Action) -> Result<Answer, SqlError> {
        match action {
            Action::Begin(modes) => {
                self.begin_explicit(modes);
                Ok(Answer::TransactionStart)
            }
            Action::SetTransaction(modes) => {
                if let Some(open) = &mut self.open {
                    open.transaction.modes = modes;
                }
                Ok(Answer::Tag("SET"))
            }
            Action::Commit => self.end(true),
            Action::Rollback => self.end(false),
            // Without a transaction, SET LOCAL has no effect.
            Action::Set { local: true, .. } if self.open.is_none() => Ok(Answer::Tag("SET")),
            Action::Set {
                variable,
                value,
                local,
            } => {
                self.variables.set(variable, value, local);
                Ok(Answer::Tag("SET"))
            }
            Action::Reset(variable) => {
                self.variables.reset(variable.as_deref());
                Ok(Answer::Tag("RESET"))
            }
            Action::Show(variable) => {
                let value = self.variables.get(&variable)?;
                let rows = vec![vec![Value::Text(value)]];
                Ok(Answer::Outcome(Outcome {
                    rows,
                    ..Outcome::default()
                }))
            }
            Action::DiscardAll if self.open.is_some() => {
                let message = "DISCARD ALL cannot run inside a transaction block";
                Err(SqlError::new(SqlState::ActiveTransaction, message))
            }
            Action::DiscardAll => {
                self.variables.reset(None);
                Ok(Answer::Tag("DISCARD ALL"))
            }
            Action::Deallocate(_) => Ok(Answer::Tag("DEALLOCATE")),
            Action::Read | Action::LockingRead | Action::Write { .. } | Action::Define { .. } => {
                Err(SqlError::new(
                    SqlState::InternalError,
                    "not a statement of the session",
                ))
            }
        }
    }

    fn begin(&mut self, modes: TransactionModes, explicit: bool) {
        let transaction = Transaction::new(modes);
        self.open = Some(OpenTransaction {
            transaction,
            explicit,
            failed: false,
        });
        self.variables.begin();
    }

    fn begin_explicit(&mut self, modes: TransactionModes) {
        match &mut self.open {
            // What ran before in the same request becomes part of the block, as in PostgreSQL.
            Some(open) => {
                open.explicit = true;
                open.transaction.modes = modes;
            }
            None => self.begin(modes, true),
        }
    }

    fn end(&mut self, keep: bool) -> Result<Answer, SqlError> {
        let Some(open) = self.open.take() else {
            return Ok(Answer::TransactionEnd(if keep {
                "COMMIT"
            } else {
                "ROLLBACK"
            }));
        };
        if !keep || open.failed {
            self.variables.end(false);
            return Ok(Answer::TransactionEnd("ROLLBACK"));
        }
        self.commit(open).map(|()| Answer::TransactionEnd("COMMIT"))
    }

    fn commit(&mut self, open: OpenTransaction) -> Result<(), SqlError> {
        let committed = self.member.state().commit(self.backend, open.transaction);
        self.variables.end(committed.is_ok());
        self.member.notify();
        committed
    }

    fn check_not_failed(&self, action: &Action) -> Result<(), SqlError> {
        let failed = self.open.as_ref().is_some_and(|open| open.failed);
        if !failed || matches!(action, Action::Commit | Action::Rollback) {
            return Ok(());
        }
        let message =
            "current transaction is aborted, commands ignored until end of transaction block";
        Err(SqlError::new(SqlState::InFailedTransaction, message))
    }

    /// Notes that a statement failed: a block accepts nothing more until its end.
    pub(crate) fn fail(&mut self) {
        match &mut self.open {
            Some(open) if open.explicit => open.failed = true,
            Some(_) => {
                self.open = None;
                self.variables.end(false);
            }
            None => {}
        }
    }

    /// The status told to the client in ReadyForQuery.
    pub(crate) fn status(&self) -> TransactionStatus {
        match &self.open {
            Some(open) if open.explicit && open.failed => TransactionStatus::Error,
            Some(open) if open.explicit => TransactionStatus::Transaction,
            _ => TransactionStatus::Idle,
        }
    }
}

/// Awaits `wait` unless the client asks to cancel.
async fn unless_cancelled(
    cancel: &mut CancelRequested,
    wait: impl Future<Output = ()>,
) -> Result<(), SqlError> {
    tokio::select! {
        Ok(()) = cancel => {
            let message = "canceling statement due to user request";
            Err(SqlError::new(SqlState::QueryCanceled, message))
        }
        () = wait => Ok(()),
    }
}
