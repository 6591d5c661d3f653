//! The state of one member: its database, log, role and term.

use super::engine::{Engine, Outcome};
use super::error::{GroupError, SqlError, SqlState};
use super::functions::Facts;
use super::log::{Basis, Log, LogEntry};
use super::sql::{Action, BoundStatement, Statement};
use super::transaction::Transaction;
use serde::{Deserialize, Serialize};
use sqlparser::ast::Statement as SyntaxTree;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The part a member believes it plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replays the primary's log.
    Replica,
}

/// Analysed statements kept before all are forgotten.
const MAX_ANALYSED: usize = 4096;

/// What a member has in memory, behind one lock.
pub(crate) struct MemberState {
    pub(crate) role: Role,
    pub(crate) term: u32,
    pub(crate) log: Log,
    /// How many of the log's entries are in the database.
    replayed: usize,
    /// When each entry that is not yet replayed was received.
    received_at: VecDeque<Instant>,
    /// The end of the log when the member was last promoted.
    promoted_at: Option<u64>,
    pub(crate) committed_writes: u64,
    engine: Engine,
    analysed: HashMap<String, Arc<Statement>>,
}

impl MemberState {
    /// An empty member.
    pub(crate) fn new(role: Role, term: u32) -> Result<Self, GroupError> {
        Ok(Self {
            role,
            term,
            log: Log::default(),
            replayed: 0,
            received_at: VecDeque::new(),
            promoted_at: None,
            committed_writes: 0,
            engine: Engine::open()?,
            analysed: HashMap::new(),
        })
    }

    /// The position up to which the log is in the database.
    pub(crate) fn replayed_position(&self) -> u64 {
        self.log.position_of(self.replayed)
    }

    /// The statement of this text, if it was analysed before and means the same now.
    pub(crate) fn recall(
        &self,
        sql: &str,
        transaction: Option<&Transaction>,
    ) -> Option<Arc<Statement>> {
        let defines = transaction.is_some_and(Transaction::defines);
        self.analysed.get(sql).filter(|_| !defines).cloned()
    }

    /// Analyses a statement, as seen from `transaction`, and remembers it by `text` if given.
    pub(crate) fn analyse(
        &mut self,
        tree: SyntaxTree,
        text: Option<&str>,
        transaction: Option<&Transaction>,
    ) -> Result<Arc<Statement>, SqlError> {
        if let Some(transaction) = transaction.filter(|transaction| transaction.defines()) {
            return self.analyse_after(transaction, tree);
        }
        let statement = Arc::new(self.engine.analyse(tree)?);
        if let Some(text) = text {
            self.remember(text, &statement);
        }
        Ok(statement)
    }

    /// Analyses a statement against the schema that `transaction` has defined.
    fn analyse_after(
        &mut self,
        transaction: &Transaction,
        tree: SyntaxTree,
    ) -> Result<Arc<Statement>, SqlError> {
        self.set_facts(0, transaction.basis);
        self.engine.begin()?;
        let repeated = transaction.repeat(&self.engine);
        let statement = repeated.and_then(|()| self.engine.analyse(tree));
        self.engine.rollback();
        statement.map(Arc::new)
    }

    fn remember(&mut self, sql: &str, statement: &Arc<Statement>) {
        if self.analysed.len() >= MAX_ANALYSED {
            self.analysed.clear();
        }
        self.analysed.insert(sql.to_owned(), statement.clone());
    }

    /// Finds out how long a statement asks to sleep, without keeping its effects.
    pub(crate) fn rehearse(
        &mut self,
        backend: i32,
        transaction: Option<&Transaction>,
        bound: &BoundStatement,
    ) -> Result<Duration, SqlError> {
        self.set_facts(
            backend,
            transaction.map_or_else(Basis::new, |open| open.basis),
        );
        self.engine.begin()?;
        let repeated = transaction.map_or(Ok(()), |open| open.repeat(&self.engine));
        let outcome = repeated.and_then(|()| self.engine.run(bound));
        self.engine.rollback();
        outcome.map(|outcome| outcome.sleep)
    }

    /// Runs a statement, inside `transaction` if there is one.
    pub(crate) fn execute(
        &mut self,
        backend: i32,
        transaction: Option<&mut Transaction>,
        bound: BoundStatement,
    ) -> Result<Outcome, SqlError> {
        let action = &bound.statement.action;
        if action.writes() {
            let read_only = transaction
                .as_ref()
                .is_some_and(|open| open.modes.read_only);
            self.check_writable(action.command(), read_only)?;
        }
        match transaction {
            Some(transaction) => self.execute_in(backend, transaction, bound),
            None if matches!(action, Action::Read | Action::LockingRead) => {
                self.set_facts(backend, Basis::new());
                self.engine.run(&bound)
            }
            None => self.execute_alone(backend, bound),
        }
    }

    fn check_writable(&self, command: &str, read_only: bool) -> Result<(), SqlError> {
        if self.role == Role::Primary && !read_only {
            return Ok(());
        }
        let message = format!("cannot execute {command} in a read-only transaction");
        Err(SqlError::new(SqlState::ReadOnlyTransaction, message))
    }

    /// Runs a write that is a transaction by itself.
    fn execute_alone(&mut self, backend: i32, bound: BoundStatement) -> Result<Outcome, SqlError> {
        let basis = Basis::new();
        self.set_facts(backend, basis);
        self.engine.begin()?;
        let outcome = self.engine.run(&bound).and_then(|outcome| {
            self.engine.commit()?;
            Ok(outcome)
        });
        match outcome {
            Ok(outcome) => {
                self.append(vec![bound], basis);
                Ok(outcome)
            }
            Err(error) => {
                self.engine.rollback();
                Err(error)
            }
        }
    }

    fn execute_in(
        &mut self,
        backend: i32,
        transaction: &mut Transaction,
        bound: BoundStatement,
    ) -> Result<Outcome, SqlError> {
        self.set_facts(backend, transaction.basis);
        self.engine.begin()?;
        let repeated = transaction.repeat(&self.engine);
        let outcome = repeated.and_then(|()| self.engine.run(&bound));
        self.engine.rollback();
        let outcome = outcome?;
        transaction.keep(bound, &outcome);
        Ok(outcome)
    }

    /// Commits a transaction, or fails without a trace of it.
    pub(crate) fn commit(
        &mut self,
        backend: i32,
        transaction: Transaction,
    ) -> Result<(), SqlError> {
        if !transaction.has_steps() {
            return Ok(());
        }
        let writes = transaction.has_writes();
        if writes {
            self.check_writable("COMMIT", transaction.modes.read_only)?;
        }
        self.set_facts(backend, transaction.basis);
        self.engine.begin()?;
        let repeated = transaction
            .repeat(&self.engine)
            .and_then(|()| self.engine.commit());
        if let Err(error) = repeated {
            self.engine.rollback();
            return Err(error);
        }
        if writes {
            let basis = transaction.basis;
            self.append(transaction.into_writes(), basis);
        }
        Ok(())
    }

    fn append(&mut self, statements: Vec<BoundStatement>, basis: Basis) {
        self.forget_analyses(&statements);
        self.log.commit(self.term, statements, basis);
        self.replayed = self.log.len();
        self.committed_writes += 1;
    }

    fn forget_analyses(&mut self, statements: &[BoundStatement]) {
        let defines =
            |bound: &BoundStatement| matches!(bound.statement.action, Action::Define { .. });
        if statements.iter().any(defines) {
            self.analysed.clear();
        }
    }

    fn set_facts(&self, backend: i32, basis: Basis) {
        let (received, replayed) = match self.role {
            Role::Replica => (Some(self.log.end()), Some(self.replayed_position())),
            Role::Primary => (self.promoted_at, self.promoted_at),
        };
        self.engine.set_facts(Facts {
            in_recovery: self.role == Role::Replica,
            term: self.term,
            received,
            replayed,
            written: self.log.end(),
            backend,
            basis,
        });
    }

    /// Appends an entry of the primary's log, to be replayed later.
    pub(crate) fn receive(&mut self, entry: Arc<LogEntry>) {
        self.log.receive(entry);
        self.received_at.push_back(Instant::now());
    }

    /// When the next entry was received that is not yet replayed.
    pub(crate) fn next_received_at(&self) -> Option<Instant> {
        self.received_at.front().copied()
    }

    /// Replays the next entry of the log.
    pub(crate) fn replay_next(&mut self) {
        let Some(entry) = self.log.get(self.replayed) else {
            return;
        };
        if let Err(error) = self.replay(&entry) {
            self.engine.rollback();
            log::error!(position = entry.end; "an entry cannot be replayed: {}", error.message);
        }
        self.replayed += 1;
        self.received_at.pop_front();
    }

    fn replay(&mut self, entry: &LogEntry) -> Result<(), SqlError> {
        self.set_facts(0, entry.basis);
        self.engine.begin()?;
        for bound in &entry.statements {
            self.engine.run(bound)?;
        }
        self.engine.commit()?;
        self.forget_analyses(&entry.statements);
        Ok(())
    }

    /// Replays everything that was received.
    pub(crate) fn replay_all(&mut self) {
        while self.replayed < self.log.len() {
            self.replay_next();
        }
    }

    /// Begins to accept writes, with an empty record of the new term as PostgreSQL writes one.
    pub(crate) fn promote(&mut self) {
        self.replay_all();
        self.role = Role::Primary;
        self.promoted_at = Some(self.log.end());
        self.log.commit(self.term, Vec::new(), Basis::new());
        self.replayed = self.log.len();
    }

    /// A copy of the database and of the log that is in it.
    pub(crate) fn copy(&self) -> rusqlite::Result<(Engine, Log)> {
        Ok((self.engine.copy()?, self.log.clone()))
    }

    /// Replaces database and log by those of a primary.
    pub(crate) fn rebuild(&mut self, engine: Engine, log: Log) {
        self.engine = engine;
        self.replayed = log.len();
        self.log = log;
        self.received_at.clear();
        self.analysed.clear();
    }
}
