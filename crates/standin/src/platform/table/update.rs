//! Update expressions: `SET` with attributes or placeholders as values.

use super::condition::{Evaluation, invalid};
use super::error::TableError;
use super::request::Expression;
use super::value::Item;
use sqlparser::ast::{Assignment, AssignmentTarget};
use sqlparser::dialect::GenericDialect;
use sqlparser::keywords::Keyword;
use sqlparser::parser::{Parser, ParserError};
use sqlparser::tokenizer::Token;

/// What `item` becomes by the update; `key` is the item where it is absent.
pub fn updated(
    expression: &Expression<'_>,
    key: &Item,
    item: Option<&Item>,
) -> Result<Item, TableError> {
    let assignments = parse(expression.text)
        .map_err(|error| invalid(&format!("Invalid UpdateExpression: {error}")))?;
    let before = item.unwrap_or(key);
    let evaluation = Evaluation {
        expression,
        item: before,
    };
    let mut after = before.clone();
    for assignment in &assignments {
        let name = target_name(assignment)?;
        let value = evaluation.operand(&assignment.value)?;
        let value = value.ok_or_else(|| invalid("The value is an absent attribute"))?;
        after.insert(evaluation.resolve_name(&name)?.to_owned(), value);
    }
    Ok(after)
}

fn parse(text: &str) -> Result<Vec<Assignment>, ParserError> {
    let mut parser = Parser::new(&GenericDialect {}).try_with_sql(text)?;
    parser.expect_keyword(Keyword::SET)?;
    let assignments = parser.parse_comma_separated(Parser::parse_assignment)?;
    parser.expect_token(&Token::EOF)?;
    Ok(assignments)
}

fn target_name(assignment: &Assignment) -> Result<String, TableError> {
    match &assignment.target {
        AssignmentTarget::ColumnName(name) => Ok(name.to_string()),
        AssignmentTarget::Tuple(_) => Err(invalid("An assignment has one target")),
    }
}
