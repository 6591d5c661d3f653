//! The tables and their items.

use super::error::TableError;
use super::schema::{PrimaryKey, TableSchema};
use super::value::{Item, KeyValue};
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

/// All tables by name.
#[derive(Debug)]
pub struct Tables {
    tables: HashMap<String, Table>,
}

/// One table.
#[derive(Debug)]
pub struct Table {
    /// Its key schema.
    pub schema: TableSchema,
    items: BTreeMap<PrimaryKey, Item>,
}

impl Tables {
    /// Empty tables of these schemas.
    pub fn new(schemas: &[TableSchema]) -> Self {
        let tables = schemas
            .iter()
            .map(|schema| (schema.name.clone(), Table::new(schema.clone())))
            .collect();
        Self { tables }
    }

    /// The table of this name.
    pub fn get(&self, name: &str) -> Result<&Table, TableError> {
        self.tables
            .get(name)
            .ok_or_else(|| TableError::ResourceNotFound(name.to_owned()))
    }

    /// The table of this name, to be changed.
    pub fn get_mut(&mut self, name: &str) -> Result<&mut Table, TableError> {
        self.tables
            .get_mut(name)
            .ok_or_else(|| TableError::ResourceNotFound(name.to_owned()))
    }
}

impl Table {
    fn new(schema: TableSchema) -> Self {
        Self {
            schema,
            items: BTreeMap::new(),
        }
    }

    /// The item with this key.
    pub fn item(&self, key: &PrimaryKey) -> Option<&Item> {
        self.items.get(key)
    }

    /// Writes `item` under `key`.
    pub fn put(&mut self, key: PrimaryKey, item: Item) {
        self.items.insert(key, item);
    }

    /// Removes the item with this key.
    pub fn delete(&mut self, key: &PrimaryKey) {
        self.items.remove(key);
    }

    /// The items of one hash value, in ascending order of their range values,
    /// from `after` exclusively where it is given.
    pub fn group<'a>(
        &'a self,
        hash: &'a KeyValue,
        after: Option<KeyValue>,
    ) -> impl Iterator<Item = &'a Item> {
        let start = PrimaryKey {
            hash: hash.clone(),
            range: after,
        };
        self.items
            .range((Bound::Excluded(start), Bound::Unbounded))
            .take_while(move |(key, _)| key.hash == *hash)
            .map(|(_, item)| item)
    }
}
