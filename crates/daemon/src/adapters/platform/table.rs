//! The table service over the DynamoDB protocol.

use super::table_errors::{read_error, transaction_error};
use super::table_items::{
    HEAD_TABLE, Item, KEY, LOG, LOG_TABLE, MAIN_LOG, REQUEST_TOKEN, RESOURCES_TABLE, REVISION,
    change_item, number, read_change, read_logged, read_revision, text,
};
use super::{REGION, STATIC_CREDENTIAL};
use crate::domain::names::Revision;
use crate::ports::platform::{
    LoggedChange, PlatformError, Precondition, ResourceTable, StoredResource,
};
use async_trait::async_trait;
use aws_sdk_dynamodb::Client;
use aws_sdk_dynamodb::config::retry::RetryConfig;
use aws_sdk_dynamodb::config::timeout::TimeoutConfig;
use aws_sdk_dynamodb::config::{BehaviorVersion, Credentials, Region};
use aws_sdk_dynamodb::error::BuildError;
use aws_sdk_dynamodb::types::{Delete, Put, TransactWriteItem};
use std::time::Duration;

/// Condition: the item does not exist; `#key` is its hash key.
const ABSENT: &str = "attribute_not_exists(#key)";
/// Condition: the item was last changed at a revision.
const AT_REVISION: &str = "#revision = :expected";

/// The table service.
#[derive(Debug, Clone)]
pub struct DynamoTable {
    client: Client,
}

impl DynamoTable {
    /// The service at `endpoint`; a call may take `timeout`.
    ///
    /// The library's own retries are off: whoever calls decides on retries.
    pub fn new(endpoint: &str, timeout: Duration) -> Self {
        let credentials =
            Credentials::new(STATIC_CREDENTIAL, STATIC_CREDENTIAL, None, None, "static");
        let timeouts = TimeoutConfig::builder()
            .connect_timeout(timeout)
            .operation_timeout(timeout)
            .build();
        let configuration = aws_sdk_dynamodb::Config::builder()
            .behavior_version(BehaviorVersion::latest())
            .region(Region::new(REGION))
            .credentials_provider(credentials)
            .endpoint_url(endpoint)
            .retry_config(RetryConfig::disabled())
            .timeout_config(timeouts)
            .http_client(aws_smithy_http_client::Builder::new().build_http())
            .build();
        Self {
            client: Client::from_conf(configuration),
        }
    }

    /// The log item of one revision.
    async fn log_item(&self, revision: Revision) -> Result<Option<Item>, PlatformError> {
        let answer = self
            .client
            .get_item()
            .table_name(LOG_TABLE)
            .key(LOG, text(MAIN_LOG))
            .key(REVISION, number(revision))
            .consistent_read(true)
            .send()
            .await
            .map_err(read_error)?;
        Ok(answer.item)
    }
}

#[async_trait]
impl ResourceTable for DynamoTable {
    async fn commit(
        &self,
        change: StoredResource,
        precondition: Precondition,
        previous: Revision,
        request_token: &str,
    ) -> Result<(), PlatformError> {
        let change = StoredResource {
            revision: Revision(previous.0 + 1),
            ..change
        };
        let actions = [
            resource_action(&change, precondition),
            log_action(&change, request_token),
            head_action(previous),
        ];
        let mut call = self
            .client
            .transact_write_items()
            .client_request_token(request_token);
        for action in actions {
            let action = action.map_err(|error| PlatformError::Malformed(error.to_string()))?;
            call = call.transact_items(action);
        }
        call.send().await.map_err(transaction_error)?;
        Ok(())
    }

    async fn head(&self) -> Result<Revision, PlatformError> {
        let answer = self
            .client
            .get_item()
            .table_name(HEAD_TABLE)
            .key(LOG, text(MAIN_LOG))
            .consistent_read(true)
            .send()
            .await
            .map_err(read_error)?;
        match answer.item {
            None => Ok(Revision(0)),
            Some(item) => read_revision(&item),
        }
    }

    async fn changes(
        &self,
        after: Revision,
        limit: usize,
    ) -> Result<Vec<StoredResource>, PlatformError> {
        let answer = self
            .client
            .query()
            .table_name(LOG_TABLE)
            .key_condition_expression("#log = :log AND #revision > :after")
            .expression_attribute_names("#log", LOG)
            .expression_attribute_names("#revision", REVISION)
            .expression_attribute_values(":log", text(MAIN_LOG))
            .expression_attribute_values(":after", number(after))
            .consistent_read(true)
            .limit(i32::try_from(limit).unwrap_or(i32::MAX))
            .send()
            .await
            .map_err(read_error)?;
        answer.items().iter().map(read_change).collect()
    }

    async fn get(&self, key: &str) -> Result<Option<StoredResource>, PlatformError> {
        let answer = self
            .client
            .get_item()
            .table_name(RESOURCES_TABLE)
            .key(KEY, text(key))
            .consistent_read(true)
            .send()
            .await
            .map_err(read_error)?;
        answer.item.as_ref().map(read_change).transpose()
    }

    async fn change(&self, revision: Revision) -> Result<Option<LoggedChange>, PlatformError> {
        let item = self.log_item(revision).await?;
        item.as_ref().map(read_logged).transpose()
    }
}

/// Writes or deletes the resource, if it is as the precondition says.
fn resource_action(
    change: &StoredResource,
    precondition: Precondition,
) -> Result<TransactWriteItem, BuildError> {
    match change.body {
        Some(_) => put_resource(change, precondition),
        None => delete_resource(change, precondition),
    }
}

fn put_resource(
    change: &StoredResource,
    precondition: Precondition,
) -> Result<TransactWriteItem, BuildError> {
    let put = Put::builder()
        .table_name(RESOURCES_TABLE)
        .set_item(Some(change_item(change)));
    let put = match precondition {
        Precondition::Absent => put
            .condition_expression(ABSENT)
            .expression_attribute_names("#key", KEY),
        Precondition::AtRevision(revision) => put
            .condition_expression(AT_REVISION)
            .expression_attribute_names("#revision", REVISION)
            .expression_attribute_values(":expected", number(revision)),
    };
    Ok(TransactWriteItem::builder().put(put.build()?).build())
}

fn delete_resource(
    change: &StoredResource,
    precondition: Precondition,
) -> Result<TransactWriteItem, BuildError> {
    let delete = Delete::builder()
        .table_name(RESOURCES_TABLE)
        .key(KEY, text(&change.key));
    let delete = match precondition {
        Precondition::Absent => delete
            .condition_expression(ABSENT)
            .expression_attribute_names("#key", KEY),
        Precondition::AtRevision(revision) => delete
            .condition_expression(AT_REVISION)
            .expression_attribute_names("#revision", REVISION)
            .expression_attribute_values(":expected", number(revision)),
    };
    Ok(TransactWriteItem::builder().delete(delete.build()?).build())
}

/// Appends the change to the log; the revision must be free.
fn log_action(
    change: &StoredResource,
    request_token: &str,
) -> Result<TransactWriteItem, BuildError> {
    let mut item = change_item(change);
    item.insert(LOG.to_owned(), text(MAIN_LOG));
    item.insert(REQUEST_TOKEN.to_owned(), text(request_token));
    let put = Put::builder()
        .table_name(LOG_TABLE)
        .set_item(Some(item))
        .condition_expression(ABSENT)
        .expression_attribute_names("#key", LOG)
        .build()?;
    Ok(TransactWriteItem::builder().put(put).build())
}

/// Moves the head from `previous` to the next revision.
fn head_action(previous: Revision) -> Result<TransactWriteItem, BuildError> {
    let put = Put::builder()
        .table_name(HEAD_TABLE)
        .item(LOG, text(MAIN_LOG))
        .item(REVISION, number(Revision(previous.0 + 1)));
    let put = match previous {
        Revision(0) => put
            .condition_expression(ABSENT)
            .expression_attribute_names("#key", LOG),
        _ => put
            .condition_expression(AT_REVISION)
            .expression_attribute_names("#revision", REVISION)
            .expression_attribute_values(":expected", number(previous)),
    };
    Ok(TransactWriteItem::builder().put(put.build()?).build())
}
