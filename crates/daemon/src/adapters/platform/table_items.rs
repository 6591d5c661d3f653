//! Items of the table service, and their decoding.

use crate::domain::names::Revision;
use crate::ports::platform::{LoggedChange, PlatformError, StoredResource};
use aws_sdk_dynamodb::primitives::Blob;
use aws_sdk_dynamodb::types::AttributeValue;
use std::collections::HashMap;

/// Table of resources: hash key [`KEY`].
pub const RESOURCES_TABLE: &str = "stilequay-resources";
/// Table of changes: hash key [`LOG`], range key [`REVISION`].
pub const LOG_TABLE: &str = "stilequay-log";
/// Table with the last revision: hash key [`LOG`].
pub const HEAD_TABLE: &str = "stilequay-head";

/// Attribute: `kind/name` of a resource.
pub const KEY: &str = "key";
/// Attribute: name of the log.
pub const LOG: &str = "log";
/// Attribute: revision of a change.
pub const REVISION: &str = "revision";
/// Attribute: the encoded resource; absent in a change that deleted it.
pub const BODY: &str = "body";
/// Attribute: token of the transaction that made the change.
pub const REQUEST_TOKEN: &str = "requestToken";
/// The only log there is.
pub const MAIN_LOG: &str = "main";

/// An item: attributes by name, as the service's library has it.
pub type Item = HashMap<String, AttributeValue>;

/// Attributes of a change, without the key of a table.
pub fn change_item(change: &StoredResource) -> Item {
    let mut item = Item::from([
        (KEY.to_owned(), text(&change.key)),
        (REVISION.to_owned(), number(change.revision)),
    ]);
    if let Some(body) = &change.body {
        item.insert(BODY.to_owned(), AttributeValue::B(Blob::new(body.clone())));
    }
    item
}

/// Reads a resource, or a change of one.
pub fn read_change(item: &Item) -> Result<StoredResource, PlatformError> {
    Ok(StoredResource {
        key: read_text(item, KEY)?,
        revision: read_revision(item)?,
        body: read_body(item)?,
    })
}

/// Reads an item of the log.
pub fn read_logged(item: &Item) -> Result<LoggedChange, PlatformError> {
    Ok(LoggedChange {
        change: read_change(item)?,
        request_token: read_text(item, REQUEST_TOKEN)?,
    })
}

/// Reads the revision of any item.
pub fn read_revision(item: &Item) -> Result<Revision, PlatformError> {
    let digits = item.get(REVISION).and_then(|value| value.as_n().ok());
    digits
        .and_then(|digits| digits.parse().ok())
        .map(Revision)
        .ok_or_else(|| malformed(REVISION))
}

fn read_text(item: &Item, attribute: &str) -> Result<String, PlatformError> {
    item.get(attribute)
        .and_then(|value| value.as_s().ok())
        .cloned()
        .ok_or_else(|| malformed(attribute))
}

fn read_body(item: &Item) -> Result<Option<Vec<u8>>, PlatformError> {
    match item.get(BODY) {
        None => Ok(None),
        Some(value) => match value.as_b() {
            Ok(body) => Ok(Some(body.as_ref().to_vec())),
            Err(_) => Err(malformed(BODY)),
        },
    }
}

fn malformed(attribute: &str) -> PlatformError {
    PlatformError::Malformed(format!(
        "attribute {attribute} is absent or of a wrong type"
    ))
}

/// A text attribute.
pub fn text(value: &str) -> AttributeValue {
    AttributeValue::S(value.to_owned())
}

/// A revision as a number attribute.
pub fn number(revision: Revision) -> AttributeValue {
    AttributeValue::N(revision.to_string())
}
