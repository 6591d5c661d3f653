//! Key schemas of tables.

use super::error::TableError;
use super::value::{AttributeValue, Item, KeyValue};

/// A table's name and the attributes of its primary key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableSchema {
    /// Name of the table.
    pub name: String,
    /// Attribute that items are grouped by.
    pub hash: String,
    /// Attribute that items of a group are ordered by, if the key has one.
    pub range: Option<String>,
}

/// The primary key of an item.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PrimaryKey {
    /// Value of the hash attribute.
    pub hash: KeyValue,
    /// Value of the range attribute.
    pub range: Option<KeyValue>,
}

/// The tables that the daemons use: resources, log of changes, head of the log.
pub fn default_tables() -> Vec<TableSchema> {
    vec![
        TableSchema::new("stilequay-resources", "key", None),
        TableSchema::new("stilequay-log", "log", Some("revision")),
        TableSchema::new("stilequay-head", "log", None),
    ]
}

impl TableSchema {
    /// A schema.
    pub fn new(name: &str, hash: &str, range: Option<&str>) -> Self {
        Self {
            name: name.to_owned(),
            hash: hash.to_owned(),
            range: range.map(str::to_owned),
        }
    }

    /// The primary key of `item`, which may have other attributes too.
    pub fn key_of(&self, item: &Item) -> Result<PrimaryKey, TableError> {
        let hash = key_attribute(item, &self.hash)?;
        let range = match &self.range {
            Some(range) => Some(key_attribute(item, range)?),
            None => None,
        };
        Ok(PrimaryKey { hash, range })
    }

    /// The primary key given by `key`, which must have no other attributes.
    pub fn exact_key(&self, key: &Item) -> Result<PrimaryKey, TableError> {
        let expected = 1 + usize::from(self.range.is_some());
        if key.len() != expected {
            let reason = "The provided key element does not match the schema";
            return Err(TableError::Validation(reason.to_owned()));
        }
        self.key_of(key)
    }
}

fn key_attribute(item: &Item, name: &str) -> Result<KeyValue, TableError> {
    item.get(name).and_then(AttributeValue::key).ok_or_else(|| {
        TableError::Validation(format!("The key attribute {name} is missing or invalid"))
    })
}
