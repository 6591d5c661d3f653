//! Condition expressions. Their syntax is that of SQL expressions with other
//! placeholders, so that the SQL parser reads them.

use super::error::TableError;
use super::request::Expression;
use super::value::{AttributeValue, Item};
use sqlparser::ast::{
    BinaryOperator, Expr, Function, FunctionArg, FunctionArgExpr, FunctionArguments, UnaryOperator,
    Value,
};
use sqlparser::dialect::GenericDialect;
use sqlparser::parser::{Parser, ParserError};
use std::cmp::Ordering;

/// A parsed condition.
#[derive(Debug)]
pub struct Condition<'a> {
    expression: Expression<'a>,
    parsed: Expr,
}

impl<'a> Condition<'a> {
    /// Parses `expression`.
    pub fn parse(expression: Expression<'a>) -> Result<Self, TableError> {
        let parsed = parse(expression.text)?;
        Ok(Self { expression, parsed })
    }

    /// Whether the condition holds for `item`; an absent item has no attributes.
    pub fn holds(&self, item: Option<&Item>) -> Result<bool, TableError> {
        let no_attributes = Item::new();
        let evaluation = Evaluation {
            expression: &self.expression,
            item: item.unwrap_or(&no_attributes),
        };
        evaluation.truth(&self.parsed)
    }

    /// The value that attribute `name` is compared with by `operator`, in a
    /// comparison that must hold for the whole condition to hold.
    pub fn compared(
        &self,
        name: &str,
        operator: &BinaryOperator,
    ) -> Result<Option<AttributeValue>, TableError> {
        let no_attributes = Item::new();
        let evaluation = Evaluation {
            expression: &self.expression,
            item: &no_attributes,
        };
        evaluation.compared(&self.parsed, name, operator)
    }
}

fn parse(text: &str) -> Result<Expr, TableError> {
    parse_sql(text).map_err(|error| invalid(&format!("Invalid expression: {error}")))
}

fn parse_sql(text: &str) -> Result<Expr, ParserError> {
    let mut parser = Parser::new(&GenericDialect {}).try_with_sql(text)?;
    let parsed = parser.parse_expr()?;
    parser.expect_token(&sqlparser::tokenizer::Token::EOF)?;
    Ok(parsed)
}

/// Gives names and operands of one expression their meaning for one item.
pub(super) struct Evaluation<'a> {
    pub(super) expression: &'a Expression<'a>,
    pub(super) item: &'a Item,
}

impl Evaluation<'_> {
    fn truth(&self, parsed: &Expr) -> Result<bool, TableError> {
        match parsed {
            Expr::Nested(inner) => self.truth(inner),
            Expr::UnaryOp {
                op: UnaryOperator::Not,
                expr,
            } => Ok(!self.truth(expr)?),
            Expr::BinaryOp { left, op, right } => self.binary(left, op, right),
            Expr::Function(function) => self.function(function),
            _ => Err(unsupported(parsed)),
        }
    }

    /// Both sides are always evaluated, so that a mistake in either is reported.
    fn binary(&self, left: &Expr, op: &BinaryOperator, right: &Expr) -> Result<bool, TableError> {
        match op {
            BinaryOperator::And => Ok(self.truth(left)? & self.truth(right)?),
            BinaryOperator::Or => Ok(self.truth(left)? | self.truth(right)?),
            _ => self.compare(left, op, right),
        }
    }

    fn compare(&self, left: &Expr, op: &BinaryOperator, right: &Expr) -> Result<bool, TableError> {
        let (Some(left), Some(right)) = (self.operand(left)?, self.operand(right)?) else {
            return Ok(*op == BinaryOperator::NotEq);
        };
        let order = left.order(&right);
        match op {
            BinaryOperator::Eq => Ok(left.equals(&right)),
            BinaryOperator::NotEq => Ok(!left.equals(&right)),
            BinaryOperator::Lt => Ok(order.is_some_and(Ordering::is_lt)),
            BinaryOperator::LtEq => Ok(order.is_some_and(Ordering::is_le)),
            BinaryOperator::Gt => Ok(order.is_some_and(Ordering::is_gt)),
            BinaryOperator::GtEq => Ok(order.is_some_and(Ordering::is_ge)),
            _ => Err(invalid(&format!("Invalid operator: {op}"))),
        }
    }

    fn compared(
        &self,
        parsed: &Expr,
        name: &str,
        operator: &BinaryOperator,
    ) -> Result<Option<AttributeValue>, TableError> {
        match parsed {
            Expr::Nested(inner) => self.compared(inner, name, operator),
            Expr::BinaryOp {
                left,
                op: BinaryOperator::And,
                right,
            } => match self.compared(left, name, operator)? {
                Some(value) => Ok(Some(value)),
                None => self.compared(right, name, operator),
            },
            Expr::BinaryOp { left, op, right }
                if op == operator && self.attribute_name(left)? == name =>
            {
                self.operand(right)
            }
            _ => Ok(None),
        }
    }

    fn function(&self, function: &Function) -> Result<bool, TableError> {
        let name = function.name.to_string();
        let attribute = self.attribute_name(single_argument(function)?)?;
        match name.as_str() {
            "attribute_exists" => Ok(self.item.contains_key(attribute)),
            "attribute_not_exists" => Ok(!self.item.contains_key(attribute)),
            _ => Err(invalid(&format!("Invalid function name: {name}"))),
        }
    }

    /// The value of an attribute or placeholder; `None` for an absent attribute.
    pub(super) fn operand(&self, parsed: &Expr) -> Result<Option<AttributeValue>, TableError> {
        if let Expr::Value(value) = parsed {
            return self.placeholder(&value.value).map(Some);
        }
        let name = self.attribute_name(parsed)?;
        Ok(self.item.get(name).cloned())
    }

    fn placeholder(&self, value: &Value) -> Result<AttributeValue, TableError> {
        let Value::Placeholder(placeholder) = value else {
            return Err(invalid(&format!("Literals are not allowed: {value}")));
        };
        self.expression
            .values
            .and_then(|values| values.get(placeholder))
            .cloned()
            .ok_or_else(|| invalid(&format!("Value is not defined: {placeholder}")))
    }

    fn attribute_name<'b>(&'b self, parsed: &'b Expr) -> Result<&'b str, TableError> {
        let Expr::Identifier(identifier) = parsed else {
            return Err(unsupported(parsed));
        };
        self.resolve_name(&identifier.value)
    }

    /// The attribute that `name`, perhaps a placeholder, stands for.
    pub(super) fn resolve_name<'b>(&'b self, name: &'b str) -> Result<&'b str, TableError> {
        if !name.starts_with('#') {
            return Ok(name);
        }
        self.expression
            .names
            .and_then(|names| names.get(name))
            .map(String::as_str)
            .ok_or_else(|| invalid(&format!("Name is not defined: {name}")))
    }
}

fn single_argument(function: &Function) -> Result<&Expr, TableError> {
    let FunctionArguments::List(list) = &function.args else {
        return Err(invalid("A function needs one argument"));
    };
    match list.args.as_slice() {
        [FunctionArg::Unnamed(FunctionArgExpr::Expr(argument))] => Ok(argument),
        _ => Err(invalid("A function needs one argument")),
    }
}

fn unsupported(parsed: &Expr) -> TableError {
    invalid(&format!("Unsupported expression: {parsed}"))
}

pub(super) fn invalid(reason: &str) -> TableError {
    TableError::Validation(reason.to_owned())
}
