//! Attribute values and their order.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// An item: its attributes by name.
pub type Item = BTreeMap<String, AttributeValue>;

/// A value of an attribute in the protocol's JSON form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AttributeValue {
    /// Text.
    S(String),
    /// A number in decimal text; only whole numbers are supported.
    N(String),
    /// Bytes in base64.
    B(String),
    /// A truth value.
    #[serde(rename = "BOOL")]
    Bool(bool),
    /// No value.
    #[serde(rename = "NULL")]
    Null(bool),
    /// A list.
    L(Vec<AttributeValue>),
    /// A map.
    M(BTreeMap<String, AttributeValue>),
}

/// A value that can be a part of a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum KeyValue {
    /// A whole number.
    Number(i128),
    /// Text.
    Text(String),
}

impl AttributeValue {
    /// The value as a part of a key, if it can be one.
    pub fn key(&self) -> Option<KeyValue> {
        match self {
            Self::S(text) => Some(KeyValue::Text(text.clone())),
            Self::N(number) => number.parse().ok().map(KeyValue::Number),
            _ => None,
        }
    }

    /// The order of two values of the same type; `None` if they have no order.
    pub fn order(&self, other: &Self) -> Option<Ordering> {
        match (self.key(), other.key()) {
            (Some(KeyValue::Number(own)), Some(KeyValue::Number(other))) => Some(own.cmp(&other)),
            (Some(KeyValue::Text(own)), Some(KeyValue::Text(other))) => Some(own.cmp(&other)),
            _ => None,
        }
    }

    /// Whether the values are equal; numbers are compared by value.
    pub fn equals(&self, other: &Self) -> bool {
        self == other || self.order(other) == Some(Ordering::Equal)
    }
}
