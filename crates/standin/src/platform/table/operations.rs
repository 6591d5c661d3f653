//! The supported operations.

use super::State;
use super::condition::Condition;
use super::error::TableError;
use super::request::{Action, Expression, GetItem, KeyAction, Put, Query, TransactWriteItems};
use super::schema::{PrimaryKey, TableSchema};
use super::store::{Table, Tables};
use super::update::updated;
use super::value::{Item, KeyValue};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use sqlparser::ast::BinaryOperator;
use std::collections::HashSet;

/// The most actions of a transaction.
const MAX_ACTIONS: usize = 100;

/// The most items that one query returns.
const MAX_PAGE_ITEMS: usize = 1000;

/// What a call does to one item.
struct Effect {
    table: String,
    key: PrimaryKey,
    change: Change,
}

enum Change {
    Put(Item),
    Delete,
    None,
}

/// Runs the operation named `operation`.
pub(super) fn run(state: &mut State, operation: &str, body: &[u8]) -> Result<Value, TableError> {
    match operation {
        "GetItem" => get_item(&state.tables, &decode(body)?),
        "Query" => query(&state.tables, &decode(body)?),
        "PutItem" => write_one(&mut state.tables, Action::Put(decode(body)?)),
        "UpdateItem" => write_one(&mut state.tables, Action::Update(decode(body)?)),
        "DeleteItem" => write_one(&mut state.tables, Action::Delete(decode(body)?)),
        "TransactWriteItems" => transact(state, body),
        _ => Err(TableError::UnknownOperation),
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, TableError> {
    serde_json::from_slice(body).map_err(|error| TableError::Serialization(error.to_string()))
}

fn validation(reason: &str) -> TableError {
    TableError::Validation(reason.to_owned())
}

fn get_item(tables: &Tables, request: &GetItem) -> Result<Value, TableError> {
    let table = tables.get(&request.table_name)?;
    let key = table.schema.exact_key(&request.key)?;
    Ok(match table.item(&key) {
        Some(item) => json!({"Item": item}),
        None => json!({}),
    })
}

fn query(tables: &Tables, request: &Query) -> Result<Value, TableError> {
    if request.scan_index_forward == Some(false) {
        return Err(validation("Only ascending order is supported"));
    }
    let table = tables.get(&request.table_name)?;
    let condition = Condition::parse(request.key_condition())?;
    let hash = hash_value(&table.schema, &condition)?;
    let after = start_after(&table.schema, request, &condition)?;
    let limit = request.limit.unwrap_or(MAX_PAGE_ITEMS).min(MAX_PAGE_ITEMS);
    let (items, more) = matching(table, &hash, after, &condition, limit)?;
    let mut answer = json!({"Items": items, "Count": items.len(), "ScannedCount": items.len()});
    if let Some(last) = items.last().filter(|_| more) {
        answer["LastEvaluatedKey"] = key_attributes(&table.schema, last);
    }
    Ok(answer)
}

fn hash_value(schema: &TableSchema, condition: &Condition<'_>) -> Result<KeyValue, TableError> {
    condition
        .compared(&schema.hash, &BinaryOperator::Eq)?
        .and_then(|value| value.key())
        .ok_or_else(|| validation("The key condition gives no hash value"))
}

/// The range value after which to begin: the greater of the start key's and the
/// one that the condition demands.
fn start_after(
    schema: &TableSchema,
    request: &Query,
    condition: &Condition<'_>,
) -> Result<Option<KeyValue>, TableError> {
    let start = match &request.exclusive_start_key {
        Some(start) => schema.exact_key(start)?.range,
        None => None,
    };
    let demanded = match &schema.range {
        Some(range) => condition.compared(range, &BinaryOperator::Gt)?,
        None => None,
    };
    Ok(start.max(demanded.and_then(|value| value.key())))
}

/// The first `limit` matching items, and whether there are more.
fn matching<'a>(
    table: &'a Table,
    hash: &'a KeyValue,
    after: Option<KeyValue>,
    condition: &Condition<'_>,
    limit: usize,
) -> Result<(Vec<&'a Item>, bool), TableError> {
    let mut items = Vec::new();
    for item in table.group(hash, after) {
        if !condition.holds(Some(item))? {
            continue;
        }
        if items.len() == limit {
            return Ok((items, true));
        }
        items.push(item);
    }
    Ok((items, false))
}

fn key_attributes(schema: &TableSchema, item: &Item) -> Value {
    let names = [Some(&schema.hash), schema.range.as_ref()];
    let key: Item = names
        .into_iter()
        .flatten()
        .filter_map(|name| item.get_key_value(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    json!(key)
}

fn write_one(tables: &mut Tables, action: Action) -> Result<Value, TableError> {
    let key = action_key(tables, &action)?;
    if !condition_holds(tables, &action, &key)? {
        return Err(TableError::ConditionalCheckFailed);
    }
    let effect = effect(tables, &action, key)?;
    apply(tables, effect)?;
    Ok(json!({}))
}

fn transact(state: &mut State, body: &[u8]) -> Result<Value, TableError> {
    let whole: Value = decode(body)?;
    let request: TransactWriteItems = decode(body)?;
    if let Some(token) = &request.client_request_token
        && state.tokens.has_run(token, &whole)?
    {
        return Ok(json!({}));
    }
    let keys = transaction_keys(&state.tables, &request.transact_items)?;
    check_all(&state.tables, &request.transact_items, &keys)?;
    let mut effects = Vec::new();
    for (action, key) in request.transact_items.iter().zip(keys) {
        effects.push(effect(&state.tables, action, key)?);
    }
    for effect in effects {
        apply(&mut state.tables, effect)?;
    }
    if let Some(token) = request.client_request_token {
        state.tokens.remember(token, whole);
    }
    Ok(json!({}))
}

/// The key of each action; two actions on one item are refused.
fn transaction_keys(tables: &Tables, actions: &[Action]) -> Result<Vec<PrimaryKey>, TableError> {
    if actions.is_empty() || actions.len() > MAX_ACTIONS {
        return Err(validation("A transaction has from 1 to 100 actions"));
    }
    let mut seen = HashSet::new();
    let mut keys = Vec::new();
    for action in actions {
        let key = action_key(tables, action)?;
        if !seen.insert((action.table_name(), format!("{key:?}"))) {
            return Err(validation(
                "Transaction request cannot include multiple operations on one item",
            ));
        }
        keys.push(key);
    }
    Ok(keys)
}

fn check_all(tables: &Tables, actions: &[Action], keys: &[PrimaryKey]) -> Result<(), TableError> {
    let mut failed = Vec::new();
    for (action, key) in actions.iter().zip(keys) {
        failed.push(!condition_holds(tables, action, key)?);
    }
    if failed.contains(&true) {
        return Err(TableError::TransactionCanceled(failed));
    }
    Ok(())
}

fn action_key(tables: &Tables, action: &Action) -> Result<PrimaryKey, TableError> {
    let schema = &tables.get(action.table_name())?.schema;
    match action {
        Action::Put(Put { item, .. }) => schema.key_of(item),
        Action::Delete(action) | Action::Update(action) | Action::ConditionCheck(action) => {
            schema.exact_key(&action.key)
        }
    }
}

fn condition_holds(tables: &Tables, action: &Action, key: &PrimaryKey) -> Result<bool, TableError> {
    let item = tables.get(action.table_name())?.item(key);
    match action.condition() {
        Some(condition) => Condition::parse(condition)?.holds(item),
        None => Ok(true),
    }
}

/// What `action` makes of its item, where its condition holds.
fn effect(tables: &Tables, action: &Action, key: PrimaryKey) -> Result<Effect, TableError> {
    let change = match action {
        Action::Put(put) => Change::Put(put.item.clone()),
        Action::Update(update) => Change::Put(updated_item(tables, update, &key)?),
        Action::Delete(_) => Change::Delete,
        Action::ConditionCheck(_) => Change::None,
    };
    let table = action.table_name().to_owned();
    Ok(Effect { table, key, change })
}

fn updated_item(tables: &Tables, update: &KeyAction, key: &PrimaryKey) -> Result<Item, TableError> {
    let table = tables.get(&update.table_name)?;
    let item = table.item(key);
    let Some(expression) = update.update() else {
        return Ok(item.unwrap_or(&update.key).clone());
    };
    let after = updated(&expression, &update.key, item)?;
    if table.schema.key_of(&after)? != *key {
        return Err(validation("An update cannot change the primary key"));
    }
    Ok(after)
}

fn apply(tables: &mut Tables, effect: Effect) -> Result<(), TableError> {
    let table = tables.get_mut(&effect.table)?;
    match effect.change {
        Change::Put(item) => table.put(effect.key, item),
        Change::Delete => table.delete(&effect.key),
        Change::None => {}
    }
    Ok(())
}

impl Action {
    fn table_name(&self) -> &str {
        match self {
            Self::Put(put) => &put.table_name,
            Self::Delete(action) | Self::Update(action) | Self::ConditionCheck(action) => {
                &action.table_name
            }
        }
    }

    fn condition(&self) -> Option<Expression<'_>> {
        match self {
            Self::Put(put) => put.condition(),
            Self::Delete(action) | Self::Update(action) | Self::ConditionCheck(action) => {
                action.condition()
            }
        }
    }
}
