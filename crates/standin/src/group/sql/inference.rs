//! Types of parameters and of results, inferred from the declared columns.

use super::rewrite::unqualified;
use super::types::{cast_type, wider};
use super::{Column, types};
use pgwire::api::Type;
use sqlparser::ast::{
    Assignment, AssignmentTarget, BinaryOperator, Expr, Function, FunctionArg, FunctionArgExpr,
    FunctionArguments, InTarget, Insert, LimitClause, OnConflictAction, OnInsert, Query,
    SelectItem, SetExpr, Statement as SyntaxTree, Value, Visit, Visitor,
};
use std::collections::HashMap;
use std::convert::Infallible;
use std::ops::ControlFlow;

/// The columns of the tables that a statement names.
#[derive(Debug, Default)]
pub(crate) struct Scope {
    types: HashMap<String, Type>,
    ordered: HashMap<String, Vec<String>>,
}

impl Scope {
    /// Adds a column of `table`, in the order of the table.
    pub(crate) fn add(&mut self, table: &str, column: String, declared: &str) {
        self.types
            .insert(column.clone(), types::declared_type(declared));
        self.ordered
            .entry(table.to_owned())
            .or_default()
            .push(column);
    }

    fn type_of(&self, column: &str) -> Option<Type> {
        self.types.get(&column.to_lowercase()).cloned()
    }
}

/// Infers types over one statement.
pub(crate) struct Inference<'a> {
    scope: &'a Scope,
    parameters: Vec<Option<Type>>,
}

impl<'a> Inference<'a> {
    /// The types of the parameters of `tree`; text where nothing tells.
    pub(crate) fn parameter_types(scope: &'a Scope, tree: &SyntaxTree) -> Vec<Type> {
        let mut inference = Self {
            scope,
            parameters: Vec::new(),
        };
        let _ = tree.visit(&mut inference);
        match tree {
            SyntaxTree::Insert(insert) => inference.visit_insert(insert),
            SyntaxTree::Update(update) => inference.visit_assignments(&update.assignments),
            _ => {}
        }
        inference
            .parameters
            .into_iter()
            .map(|found| found.unwrap_or(Type::TEXT))
            .collect()
    }

    /// The names and types of the results of `tree`, if it has no wildcard.
    pub(crate) fn columns(scope: &'a Scope, tree: &SyntaxTree) -> Option<Vec<Column>> {
        let inference = Self {
            scope,
            parameters: Vec::new(),
        };
        let items = projection(tree)?;
        items.iter().map(|item| inference.column(item)).collect()
    }

    fn column(&self, item: &SelectItem) -> Option<Column> {
        let (expression, alias) = match item {
            SelectItem::UnnamedExpr(expression) => (expression, None),
            SelectItem::ExprWithAlias { expr, alias } => (expr, Some(alias.value.clone())),
            _ => return None,
        };
        Some(Column {
            name: alias.unwrap_or_else(|| result_name(expression)),
            column_type: self.type_of(expression).unwrap_or(Type::TEXT),
        })
    }

    fn type_of(&self, expression: &Expr) -> Option<Type> {
        match expression {
            Expr::Identifier(column) => self.scope.type_of(&column.value),
            Expr::CompoundIdentifier(parts) => self.scope.type_of(&parts.last()?.value),
            Expr::Nested(inner) | Expr::UnaryOp { expr: inner, .. } => self.type_of(inner),
            Expr::Value(value) => self.value_type(&value.value),
            Expr::Cast { data_type, .. } => Some(cast_type(data_type)),
            Expr::BinaryOp { left, op, right } => self.operator_type(left, op, right),
            Expr::Function(function) => self.function_type(function),
            Expr::Case {
                conditions,
                else_result,
                ..
            } => {
                let results = conditions.iter().map(|case| &case.result);
                let mut results = results.chain(else_result.as_deref());
                results.find_map(|result| self.type_of(result))
            }
            Expr::Subquery(query) => match select_items(&query.body)?.first()? {
                SelectItem::UnnamedExpr(inner) => self.type_of(inner),
                SelectItem::ExprWithAlias { expr, .. } => self.type_of(expr),
                _ => None,
            },
            Expr::IsNull(_)
            | Expr::IsNotNull(_)
            | Expr::IsTrue(_)
            | Expr::IsFalse(_)
            | Expr::Exists { .. }
            | Expr::In { .. }
            | Expr::Between { .. }
            | Expr::Like { .. }
            | Expr::ILike { .. } => Some(Type::BOOL),
            _ => None,
        }
    }

    fn value_type(&self, value: &Value) -> Option<Type> {
        match value {
            Value::Number(digits, _) if digits.contains(['.', 'e', 'E']) => Some(Type::FLOAT8),
            Value::Number(digits, _) if digits.parse::<i32>().is_ok() => Some(Type::INT4),
            Value::Number(..) => Some(Type::INT8),
            Value::Boolean(_) => Some(Type::BOOL),
            Value::SingleQuotedString(_) => Some(Type::TEXT),
            Value::Placeholder(name) => self.parameters.get(parameter_index(name)?)?.clone(),
            _ => None,
        }
    }

    fn operator_type(&self, left: &Expr, op: &BinaryOperator, right: &Expr) -> Option<Type> {
        match op {
            BinaryOperator::Plus
            | BinaryOperator::Minus
            | BinaryOperator::Multiply
            | BinaryOperator::Divide
            | BinaryOperator::Modulo => wider(self.type_of(left), self.type_of(right)),
            BinaryOperator::StringConcat => Some(Type::TEXT),
            _ => Some(Type::BOOL),
        }
    }

    fn function_type(&self, function: &Function) -> Option<Type> {
        let first = || {
            arguments(function)
                .next()
                .and_then(|argument| self.type_of(argument))
        };
        match unqualified(&function.name).as_str() {
            "count" | "row_number" | "rank" => Some(Type::INT8),
            "sum" => match first() {
                Some(Type::FLOAT4 | Type::FLOAT8) => Some(Type::FLOAT8),
                _ => Some(Type::INT8),
            },
            "avg" | "random" | "round" => Some(Type::FLOAT8),
            "length" | "char_length" | "octet_length" | "pg_backend_pid" => Some(Type::INT4),
            "pg_is_in_recovery" => Some(Type::BOOL),
            "pg_current_wal_lsn" | "pg_last_wal_receive_lsn" | "pg_last_wal_replay_lsn" => {
                Some(Type::PG_LSN)
            }
            "pg_sleep" => Some(Type::VOID),
            "coalesce" | "nullif" | "max" | "min" | "abs" => {
                arguments(function).find_map(|argument| self.type_of(argument))
            }
            _ => None,
        }
    }

    /// If `expression` is a parameter of yet unknown type, it is of `expected` type.
    fn expect(&mut self, expression: &Expr, expected: Option<Type>) {
        match expression {
            Expr::Nested(inner) => self.expect(inner, expected),
            Expr::Value(value) => {
                if let Value::Placeholder(name) = &value.value {
                    self.set_parameter(name, expected);
                }
            }
            _ => {}
        }
    }

    fn set_parameter(&mut self, name: &str, expected: Option<Type>) {
        let Some(index) = parameter_index(name) else {
            return;
        };
        if self.parameters.len() <= index {
            self.parameters.resize(index + 1, None);
        }
        let parameter = &mut self.parameters[index];
        *parameter = parameter.take().or(expected);
    }

    /// Lets operands of one kind, of which some are parameters, tell each other their type.
    fn unify<'e>(&mut self, operands: impl Iterator<Item = &'e Expr> + Clone) {
        let known = operands.clone().find_map(|operand| self.type_of(operand));
        for operand in operands {
            self.expect(operand, known.clone());
        }
    }

    fn visit_assignments(&mut self, assignments: &[Assignment]) {
        for assignment in assignments {
            if let AssignmentTarget::ColumnName(column) = &assignment.target {
                let column_type = self.scope.type_of(&unqualified(column));
                self.expect(&assignment.value, column_type);
            }
        }
    }

    fn visit_insert(&mut self, insert: &Insert) {
        let columns: Vec<String> = if insert.columns.is_empty() {
            let table = insert.table.to_string().to_lowercase();
            let table = table.rsplit('.').next().unwrap_or_default();
            self.scope.ordered.get(table).cloned().unwrap_or_default()
        } else {
            insert.columns.iter().map(unqualified).collect()
        };
        let column_types: Vec<_> = columns
            .iter()
            .map(|column| self.scope.type_of(column))
            .collect();
        if let Some(source) = &insert.source {
            self.visit_inserted(&source.body, &column_types);
        }
        if let Some(OnInsert::OnConflict(conflict)) = &insert.on
            && let OnConflictAction::DoUpdate(update) = &conflict.action
        {
            self.visit_assignments(&update.assignments);
        }
    }

    fn visit_inserted(&mut self, source: &SetExpr, column_types: &[Option<Type>]) {
        if let SetExpr::Values(values) = source {
            for row in &values.rows {
                for (value, column_type) in row.content.iter().zip(column_types) {
                    self.expect(value, column_type.clone());
                }
            }
        }
        for (item, column_type) in select_items(source).into_iter().flatten().zip(column_types) {
            if let SelectItem::UnnamedExpr(value) = item {
                self.expect(value, column_type.clone());
            }
        }
    }
}

impl Visitor for Inference<'_> {
    type Break = Infallible;

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<Infallible> {
        if let Some(LimitClause::LimitOffset { limit, offset, .. }) = &query.limit_clause {
            let offset = offset.as_ref().map(|offset| &offset.value);
            for count in limit.iter().chain(offset) {
                self.expect(count, Some(Type::INT8));
            }
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<Infallible> {
        match expression {
            Expr::Value(value) => {
                if let Value::Placeholder(name) = &value.value {
                    self.set_parameter(name, None);
                }
            }
            Expr::Cast {
                expr, data_type, ..
            } => self.expect(expr, Some(cast_type(data_type))),
            Expr::BinaryOp {
                left,
                op: BinaryOperator::StringConcat,
                right,
            } => {
                self.expect(left, Some(Type::TEXT));
                self.expect(right, Some(Type::TEXT));
            }
            Expr::BinaryOp { left, right, .. } => {
                self.unify([left.as_ref(), right.as_ref()].into_iter());
            }
            Expr::Between {
                expr, low, high, ..
            } => {
                self.unify([expr.as_ref(), low.as_ref(), high.as_ref()].into_iter());
            }
            Expr::In {
                expr,
                target: InTarget::List(list),
                ..
            } => {
                self.unify(std::iter::once(expr.as_ref()).chain(list));
            }
            Expr::Function(function) => match unqualified(&function.name).as_str() {
                "coalesce" | "nullif" | "max" | "min" => self.unify(arguments(function)),
                "pg_sleep" => {
                    for argument in arguments(function) {
                        self.expect(argument, Some(Type::FLOAT8));
                    }
                }
                _ => {}
            },
            _ => {}
        }
        ControlFlow::Continue(())
    }
}

fn parameter_index(name: &str) -> Option<usize> {
    name.strip_prefix('$')?
        .parse::<usize>()
        .ok()?
        .checked_sub(1)
}

fn arguments(function: &Function) -> impl Iterator<Item = &Expr> + Clone {
    let list = match &function.args {
        FunctionArguments::List(list) => list.args.as_slice(),
        _ => &[],
    };
    list.iter().filter_map(|argument| match argument {
        FunctionArg::Unnamed(FunctionArgExpr::Expr(expression)) => Some(expression),
        _ => None,
    })
}

fn projection(tree: &SyntaxTree) -> Option<&[SelectItem]> {
    match tree {
        SyntaxTree::Query(query) => select_items(&query.body),
        SyntaxTree::Insert(insert) => insert.returning.as_deref(),
        SyntaxTree::Update(update) => update.returning.as_deref(),
        SyntaxTree::Delete(delete) => delete.returning.as_deref(),
        _ => None,
    }
}

fn select_items(body: &SetExpr) -> Option<&[SelectItem]> {
    match body {
        SetExpr::Select(select) => Some(&select.projection),
        SetExpr::Query(query) => select_items(&query.body),
        SetExpr::SetOperation { left, .. } => select_items(left),
        _ => None,
    }
}

/// The name PostgreSQL gives to a result without an alias.
fn result_name(expression: &Expr) -> String {
    match expression {
        Expr::Identifier(column) => column.value.clone(),
        Expr::CompoundIdentifier(parts) => parts
            .last()
            .map(|column| column.value.clone())
            .unwrap_or_default(),
        Expr::Nested(inner) => result_name(inner),
        Expr::Cast { expr, .. } => result_name(expr),
        Expr::Function(function) => unqualified(&function.name),
        Expr::Case { .. } => "case".to_owned(),
        Expr::Exists { .. } => "exists".to_owned(),
        Expr::Subquery(query) => match select_items(&query.body).and_then(<[SelectItem]>::first) {
            Some(SelectItem::UnnamedExpr(inner)) => result_name(inner),
            Some(SelectItem::ExprWithAlias { alias, .. }) => alias.value.clone(),
            _ => UNNAMED.to_owned(),
        },
        _ => UNNAMED.to_owned(),
    }
}

/// PostgreSQL's name for a result that nothing names.
const UNNAMED: &str = "?column?";
