//! Clients of the platform as the daemons use them.
#![allow(dead_code, reason = "each test file uses a part")]

use aws_sdk_dynamodb::Client;
use aws_sdk_dynamodb::config::retry::RetryConfig;
use aws_sdk_dynamodb::config::{BehaviorVersion, Config, Credentials, Region};
use aws_sdk_dynamodb::types::{AttributeValue, Put, TransactWriteItem};
use object_store::aws::{AmazonS3, AmazonS3Builder, S3ConditionalPut};
use object_store::{ClientOptions, RetryConfig as StoreRetries};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use stilequay_standin::platform::{
    AnswerLoss, LossMoment, LossSelection, PlatformHandle, PlatformSettings, ServiceFaults, start,
};

/// Long enough for any machine under load.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Any free port of the loopback interface.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A platform with default settings.
pub async fn platform() -> PlatformHandle {
    start(PlatformSettings::default()).await.expect("starts")
}

/// A client of the table service that never repeats a call.
pub fn table_client(platform: &PlatformHandle) -> Client {
    let http = aws_smithy_http_client::Builder::new().build_http();
    let config = Config::builder()
        .behavior_version(BehaviorVersion::latest())
        .region(Region::new("local"))
        .credentials_provider(Credentials::new(
            "stilequay",
            "stilequay",
            None,
            None,
            "test",
        ))
        .endpoint_url(platform.table_url())
        .http_client(http)
        .retry_config(RetryConfig::disabled())
        .build();
    Client::from_conf(config)
}

/// A client of the object store that never repeats a call.
pub fn object_client(platform: &PlatformHandle) -> AmazonS3 {
    let retries = StoreRetries {
        max_retries: 0,
        ..StoreRetries::default()
    };
    AmazonS3Builder::new()
        .with_endpoint(platform.objects_url())
        .with_bucket_name("stilequay")
        .with_region("local")
        .with_access_key_id("stilequay")
        .with_secret_access_key("stilequay")
        .with_allow_http(true)
        .with_conditional_put(S3ConditionalPut::ETagMatch)
        .with_disable_bulk_delete(true)
        .with_retry(retries)
        .with_client_options(ClientOptions::new().with_allow_http(true))
        .build()
        .expect("valid settings")
}

/// The next `count` calls of `operation` lose their answers.
pub fn lose_next(count: u32, operation: &str, moment: LossMoment) -> ServiceFaults {
    ServiceFaults {
        answer_loss: Some(AnswerLoss {
            selection: LossSelection::Next(count),
            moment,
            operations: vec![operation.to_owned()],
        }),
        ..ServiceFaults::default()
    }
}

/// Text.
pub fn text(value: &str) -> AttributeValue {
    AttributeValue::S(value.to_owned())
}

/// A number.
pub fn number(value: u64) -> AttributeValue {
    AttributeValue::N(value.to_string())
}

/// Writes resource `key` at `revision` if it is absent, as an action.
pub fn put_absent(key: &str, revision: u64) -> TransactWriteItem {
    let put = Put::builder()
        .table_name("stilequay-resources")
        .item("key", text(key))
        .item("revision", number(revision))
        .condition_expression("attribute_not_exists(#k)")
        .expression_attribute_names("#k", "key")
        .build()
        .expect("complete");
    TransactWriteItem::builder().put(put).build()
}

/// Moves the head of the log from `previous` to `next`, as an action.
pub fn move_head(previous: u64, next: u64) -> TransactWriteItem {
    let put = Put::builder()
        .table_name("stilequay-head")
        .item("log", text("main"))
        .item("revision", number(next))
        .condition_expression("revision = :previous")
        .expression_attribute_values(":previous", number(previous))
        .build()
        .expect("complete");
    TransactWriteItem::builder().put(put).build()
}

/// Waits for `future`, with patience.
pub async fn patiently<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(PATIENCE, future)
        .await
        .expect("happens in time")
}
