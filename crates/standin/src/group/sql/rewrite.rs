//! Rewriting of a syntax tree to what SQLite understands.

use super::types::{cast_type, storage_type};
use sqlparser::ast::{
    CastKind, ColumnOption, Expr, Function, ObjectName, ObjectNamePart, Query,
    Statement as SyntaxTree, TableFactor, Value, VisitMut, VisitorMut,
};
use sqlparser::dialect::SQLiteDialect;
use sqlparser::parser::Parser;
use std::convert::Infallible;
use std::ops::ControlFlow;

/// The SQLite text that does what `tree` does in PostgreSQL.
pub(crate) fn rewrite(mut tree: SyntaxTree) -> String {
    if let SyntaxTree::CreateTable(table) = &mut tree {
        let options = table
            .columns
            .iter_mut()
            .flat_map(|column| &mut column.options);
        for option in options {
            if let ColumnOption::Default(default) = &mut option.option {
                parenthesize(default);
            }
        }
    }
    if let SyntaxTree::Drop {
        cascade, restrict, ..
    } = &mut tree
    {
        *cascade = false;
        *restrict = false;
    }
    let _ = tree.visit(&mut Rewriter);
    tree.to_string()
}

/// SQLite takes a default that is not a literal in parentheses only.
fn parenthesize(expression: &mut Expr) {
    let inner = std::mem::replace(expression, Expr::value(Value::Null));
    *expression = Expr::Nested(Box::new(inner));
}

struct Rewriter;

impl VisitorMut for Rewriter {
    type Break = Infallible;

    fn pre_visit_query(&mut self, query: &mut Query) -> ControlFlow<Infallible> {
        query.locks.clear();
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &mut ObjectName) -> ControlFlow<Infallible> {
        strip_schema(relation);
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &mut TableFactor) -> ControlFlow<Infallible> {
        if let TableFactor::Table { name, args, .. } = factor
            && unqualified(name) == CHECKPOINT_VIEW
        {
            // The function's row is a view here, which takes no parentheses.
            *args = None;
        }
        ControlFlow::Continue(())
    }

    fn post_visit_expr(&mut self, expression: &mut Expr) -> ControlFlow<Infallible> {
        match expression {
            Expr::Value(value) => {
                if let Value::Placeholder(name) = &mut value.value {
                    *name = name.replace('$', "?");
                }
            }
            Expr::Cast {
                kind,
                expr,
                data_type,
                ..
            } => match storage_type(&cast_type(data_type)) {
                Some(storage) => {
                    *kind = CastKind::Cast;
                    *data_type = storage;
                }
                None => *expression = Expr::Nested(expr.clone()),
            },
            Expr::Function(function) => rewrite_function(function).map_or((), |replacement| {
                *expression = replacement;
            }),
            Expr::ILike {
                negated,
                expr,
                pattern,
                ..
            } => {
                let operator = if *negated { "NOT LIKE" } else { "LIKE" };
                let text = format!("lower({expr}) {operator} lower({pattern})");
                if let Some(replacement) = parse_expression(&text) {
                    *expression = replacement;
                }
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }
}

/// The view that stands for `pg_control_checkpoint()`.
pub(crate) const CHECKPOINT_VIEW: &str = "pg_control_checkpoint";

/// Schemas whose objects are found without their name.
const SEARCHED_SCHEMAS: [&str; 2] = ["public", "pg_catalog"];

fn strip_schema(name: &mut ObjectName) {
    let searched = |part: &ObjectNamePart| {
        part.as_ident()
            .is_some_and(|schema| SEARCHED_SCHEMAS.contains(&schema.value.to_lowercase().as_str()))
    };
    if name.0.len() == 2 && searched(&name.0[0]) {
        name.0.remove(0);
    }
}

/// The last part of a name, in lower case.
pub(super) fn unqualified(name: &ObjectName) -> String {
    let last = name.0.last().and_then(ObjectNamePart::as_ident);
    last.map(|identifier| identifier.value.to_lowercase())
        .unwrap_or_default()
}

/// The time of the transaction as PostgreSQL prints it in the time zone UTC.
const TRANSACTION_TIME: &str = "strftime('%Y-%m-%d %H:%M:%f+00', transaction_epoch(), 'unixepoch')";

fn rewrite_function(function: &mut Function) -> Option<Expr> {
    strip_schema(&mut function.name);
    match unqualified(&function.name).as_str() {
        "now"
        | "current_timestamp"
        | "transaction_timestamp"
        | "statement_timestamp"
        | "clock_timestamp"
        | "localtimestamp" => parse_expression(TRANSACTION_TIME),
        _ => None,
    }
}

fn parse_expression(text: &str) -> Option<Expr> {
    let mut parser = Parser::new(&SQLiteDialect {}).try_with_sql(text).ok()?;
    parser.parse_expr().ok()
}
