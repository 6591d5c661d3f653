//! Analysis of statements for a session, and requests of several statements.

use super::{Answer, CancelRequested, Session};
use crate::group::error::{SqlError, SqlState};
use crate::group::sql::{BoundStatement, Statement, TransactionModes, parse};
use sqlparser::ast::Statement as SyntaxTree;
use std::sync::Arc;

impl Session {
    /// Analyses the text of a prepared statement; none if it is empty.
    pub(crate) fn prepare(&self, sql: &str) -> Result<Option<Arc<Statement>>, SqlError> {
        let statement = match self.recall(sql) {
            Some(statement) => statement,
            None => {
                let mut trees = parse(sql)?;
                if trees.len() > 1 {
                    let message = "cannot insert multiple commands into a prepared statement";
                    return Err(SqlError::new(SqlState::SyntaxError, message));
                }
                let Some(tree) = trees.pop() else {
                    return Ok(None);
                };
                self.analyse(tree, Some(sql))?
            }
        };
        self.check_not_failed(&statement.action)?;
        Ok(Some(statement))
    }

    fn recall(&self, sql: &str) -> Option<Arc<Statement>> {
        let transaction = self.open.as_ref().map(|open| &open.transaction);
        self.member.state().recall(sql, transaction)
    }

    fn analyse(&self, tree: SyntaxTree, text: Option<&str>) -> Result<Arc<Statement>, SqlError> {
        let transaction = self.open.as_ref().map(|open| &open.transaction);
        self.member.state().analyse(tree, text, transaction)
    }

    /// Runs the statements of a simple query, until one fails.
    pub(crate) async fn run_script(
        &mut self,
        sql: &str,
        cancel: &mut CancelRequested,
    ) -> Vec<Result<(Arc<Statement>, Answer), SqlError>> {
        if let Some(statement) = self.recall(sql) {
            return vec![self.run_without_parameters(statement, cancel).await];
        }
        let trees = match parse(sql) {
            Ok(trees) => trees,
            Err(error) => {
                self.fail();
                return vec![Err(error)];
            }
        };
        let mut answers = Vec::new();
        let script = trees.len() > 1;
        for tree in trees {
            if script && self.open.is_none() {
                self.begin(TransactionModes::default(), false);
            }
            let text = (!script).then_some(sql);
            let answer = match self.analyse(tree, text) {
                Ok(statement) => self.run_without_parameters(statement, cancel).await,
                Err(error) => Err(error),
            };
            let failed = answer.is_err();
            answers.push(answer);
            if failed {
                self.fail();
                return answers;
            }
        }
        if let Err(error) = self.finish_script() {
            answers.push(Err(error));
        }
        answers
    }

    async fn run_without_parameters(
        &mut self,
        statement: Arc<Statement>,
        cancel: &mut CancelRequested,
    ) -> Result<(Arc<Statement>, Answer), SqlError> {
        let bound = BoundStatement {
            statement: statement.clone(),
            parameters: Vec::new(),
        };
        let answer = self.run(bound, cancel).await?;
        Ok((statement, answer))
    }

    fn finish_script(&mut self) -> Result<(), SqlError> {
        match self.open.take_if(|open| !open.explicit) {
            Some(open) => self.commit(open).map(drop),
            None => Ok(()),
        }
    }
}
