//! Requests of the supported operations. A member that is not supported is an
//! error, so that no request is understood in part.

use super::value::Item;
use serde::Deserialize;
use std::collections::HashMap;

/// An expression's text with what its placeholders stand for.
#[derive(Debug, Clone, Copy)]
pub struct Expression<'a> {
    /// The text.
    pub text: &'a str,
    /// Attribute names by `#placeholder`.
    pub names: Option<&'a HashMap<String, String>>,
    /// Values by `:placeholder`.
    pub values: Option<&'a Item>,
}

/// `GetItem`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
pub struct GetItem {
    /// The table.
    pub table_name: String,
    /// Key of the item.
    pub key: Item,
    /// Accepted; every read here is consistent.
    #[serde(rename = "ConsistentRead")]
    pub _consistent_read: Option<bool>,
}

/// `Query`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
pub struct Query {
    /// The table.
    pub table_name: String,
    /// Equality of the hash attribute, comparisons of the range attribute.
    pub key_condition_expression: String,
    /// Attribute names by `#placeholder`.
    pub expression_attribute_names: Option<HashMap<String, String>>,
    /// Values by `:placeholder`.
    pub expression_attribute_values: Option<Item>,
    /// The most items to return.
    pub limit: Option<usize>,
    /// Ascending order of the range attribute if absent or true.
    pub scan_index_forward: Option<bool>,
    /// Where an earlier query stopped.
    pub exclusive_start_key: Option<Item>,
    /// Accepted; every read here is consistent.
    #[serde(rename = "ConsistentRead")]
    pub _consistent_read: Option<bool>,
}

/// `PutItem`, alone or in a transaction.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
pub struct Put {
    /// The table.
    pub table_name: String,
    /// The item to write in place of any other with its key.
    pub item: Item,
    /// Condition on the item before.
    pub condition_expression: Option<String>,
    /// Attribute names by `#placeholder`.
    pub expression_attribute_names: Option<HashMap<String, String>>,
    /// Values by `:placeholder`.
    pub expression_attribute_values: Option<Item>,
}

/// `DeleteItem`, `UpdateItem` or `ConditionCheck`, alone or in a transaction.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
pub struct KeyAction {
    /// The table.
    pub table_name: String,
    /// Key of the item.
    pub key: Item,
    /// What to set, in an update.
    pub update_expression: Option<String>,
    /// Condition on the item before.
    pub condition_expression: Option<String>,
    /// Attribute names by `#placeholder`.
    pub expression_attribute_names: Option<HashMap<String, String>>,
    /// Values by `:placeholder`.
    pub expression_attribute_values: Option<Item>,
}

/// One action of a transaction.
#[derive(Debug, Deserialize)]
pub enum Action {
    /// Writes an item.
    Put(Put),
    /// Removes an item.
    Delete(KeyAction),
    /// Sets attributes of an item, which comes into being if it is absent.
    Update(KeyAction),
    /// Only checks a condition.
    ConditionCheck(KeyAction),
}

/// `TransactWriteItems`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", deny_unknown_fields)]
pub struct TransactWriteItems {
    /// The actions: all take effect or none.
    pub transact_items: Vec<Action>,
    /// Makes a repeated call take effect once.
    pub client_request_token: Option<String>,
}

impl Query {
    /// The key condition.
    pub fn key_condition(&self) -> Expression<'_> {
        Expression {
            text: &self.key_condition_expression,
            names: self.expression_attribute_names.as_ref(),
            values: self.expression_attribute_values.as_ref(),
        }
    }
}

impl Put {
    /// The condition, if there is one.
    pub fn condition(&self) -> Option<Expression<'_>> {
        Some(Expression {
            text: self.condition_expression.as_deref()?,
            names: self.expression_attribute_names.as_ref(),
            values: self.expression_attribute_values.as_ref(),
        })
    }
}

impl KeyAction {
    /// The condition, if there is one.
    pub fn condition(&self) -> Option<Expression<'_>> {
        Some(self.expression(self.condition_expression.as_deref()?))
    }

    /// What to set, if there is anything.
    pub fn update(&self) -> Option<Expression<'_>> {
        Some(self.expression(self.update_expression.as_deref()?))
    }

    fn expression<'a>(&'a self, text: &'a str) -> Expression<'a> {
        Expression {
            text,
            names: self.expression_attribute_names.as_ref(),
            values: self.expression_attribute_values.as_ref(),
        }
    }
}
