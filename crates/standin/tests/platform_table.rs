//! The table service against the real client library.

mod support;

use aws_sdk_dynamodb::Client;
use aws_sdk_dynamodb::error::ProvideErrorMetadata;
use aws_sdk_dynamodb::operation::transact_write_items::TransactWriteItemsError;
use aws_sdk_dynamodb::types::{TransactWriteItem, Update};
use rstest::rstest;
use std::num::NonZeroU32;
use stilequay_standin::platform::{
    LossMoment, Outage, PlatformHandle, ServiceFaults, ServiceName, ThrottledLimit,
};
use support::{lose_next, move_head, number, platform, put_absent, table_client, text};

async fn put_head(client: &Client, revision: u64) {
    let put = client.put_item().table_name("stilequay-head");
    let put = put.item("log", text("main"));
    put.item("revision", number(revision))
        .send()
        .await
        .expect("written");
}

async fn head(client: &Client) -> Option<String> {
    let get = client.get_item().table_name("stilequay-head");
    let get = get.key("log", text("main")).consistent_read(true);
    let item = get.send().await.expect("answered").item?;
    item["revision"].as_n().ok().cloned()
}

async fn exists(client: &Client, key: &str) -> bool {
    let get = client.get_item().table_name("stilequay-resources");
    let answer = get.key("key", text(key)).send().await.expect("answered");
    answer.item.is_some()
}

async fn transact(
    client: &Client,
    token: &str,
    items: Vec<TransactWriteItem>,
) -> Result<(), TransactWriteItemsError> {
    let call = client.transact_write_items().client_request_token(token);
    let answer = call.set_transact_items(Some(items)).send().await;
    answer
        .map(|_| ())
        .map_err(|error| error.into_service_error())
}

fn reasons(error: &TransactWriteItemsError) -> Vec<&str> {
    match error {
        TransactWriteItemsError::TransactionCanceledException(cancelled) => cancelled
            .cancellation_reasons()
            .iter()
            .filter_map(|reason| reason.code())
            .collect(),
        other => panic!("not cancelled: {other:?}"),
    }
}

#[tokio::test]
async fn a_transaction_takes_effect_whole_or_not_at_all() {
    let platform = platform().await;
    let client = table_client(&platform);
    put_head(&client, 4).await;

    transact(&client, "one", vec![put_absent("a", 5), move_head(4, 5)])
        .await
        .expect("conditions hold");
    assert_eq!(head(&client).await.as_deref(), Some("5"));

    let stale = transact(&client, "two", vec![put_absent("b", 5), move_head(4, 5)]).await;
    let error = stale.expect_err("the head has moved");
    assert_eq!(reasons(&error), ["None", "ConditionalCheckFailed"]);
    assert!(!exists(&client, "b").await);
}

#[tokio::test]
async fn a_repeated_token_takes_effect_once() {
    let platform = platform().await;
    let client = table_client(&platform);
    put_head(&client, 1).await;
    for _ in 0..2 {
        transact(&client, "same", vec![move_head(1, 2)])
            .await
            .expect("repeated with the same content");
    }
    assert_eq!(head(&client).await.as_deref(), Some("2"));

    let other = transact(&client, "same", vec![move_head(2, 3)]).await;
    assert!(matches!(
        other,
        Err(TransactWriteItemsError::IdempotentParameterMismatchException(_))
    ));
    assert_eq!(head(&client).await.as_deref(), Some("2"));
}

#[rstest]
#[case::equal("revision = :v", 5, true)]
#[case::not_equal("revision <> :v", 5, false)]
#[case::less("revision < :v", 10, true)]
#[case::not_less("revision < :v", 5, false)]
#[case::greater_or_equal("revision >= :v", 5, true)]
#[case::and("attribute_exists(log) AND revision > :v", 5, false)]
#[case::or("attribute_not_exists(log) OR revision > :v", 4, true)]
#[case::not("NOT (revision = :v)", 5, false)]
#[tokio::test]
async fn conditions(#[case] expression: &str, #[case] value: u64, #[case] holds: bool) {
    let platform = platform().await;
    let client = table_client(&platform);
    put_head(&client, 5).await;
    let put = client.put_item().table_name("stilequay-head");
    let put = put
        .item("log", text("main"))
        .condition_expression(expression);
    let answer = put
        .expression_attribute_values(":v", number(value))
        .send()
        .await;
    assert_eq!(answer.is_ok(), holds);
    if let Err(error) = answer {
        assert_eq!(error.code(), Some("ConditionalCheckFailedException"));
    }
}

#[rstest]
#[case::syntax("revision = = :v")]
#[case::unknown_value("revision = :w")]
#[case::unknown_function("size(revision) = :v")]
#[tokio::test]
async fn wrong_conditions_are_refused(#[case] expression: &str) {
    let platform = platform().await;
    let client = table_client(&platform);
    let put = client.put_item().table_name("stilequay-head");
    let put = put
        .item("log", text("main"))
        .condition_expression(expression);
    let answer = put
        .expression_attribute_values(":v", number(1))
        .send()
        .await;
    assert_eq!(
        answer.expect_err("refused").code(),
        Some("ValidationException")
    );
}

#[tokio::test]
async fn a_query_pages_in_numeric_order() {
    let platform = platform().await;
    let client = table_client(&platform);
    for revision in 1..=12 {
        let put = client.put_item().table_name("stilequay-log");
        let put = put.item("log", text("main"));
        put.item("revision", number(revision))
            .send()
            .await
            .expect("written");
    }
    let query = client
        .query()
        .table_name("stilequay-log")
        .key_condition_expression("#log = :log AND revision > :after")
        .expression_attribute_names("#log", "log")
        .expression_attribute_values(":log", text("main"))
        .expression_attribute_values(":after", number(8))
        .limit(3);
    let first = query.clone().send().await.expect("answered");
    assert_eq!(revisions(first.items()), ["9", "10", "11"]);
    let next = query.set_exclusive_start_key(first.last_evaluated_key);
    let second = next.send().await.expect("answered");
    assert_eq!(revisions(second.items()), ["12"]);
    assert!(second.last_evaluated_key.is_none());
}

fn revisions(
    items: &[std::collections::HashMap<String, aws_sdk_dynamodb::types::AttributeValue>],
) -> Vec<&str> {
    items
        .iter()
        .map(|item| item["revision"].as_n().expect("a number").as_str())
        .collect()
}

#[rstest]
#[case::resource(ThrottledLimit::Resource, "ProvisionedThroughputExceededException")]
#[case::account(ThrottledLimit::Account, "ThrottlingException")]
#[tokio::test]
async fn calls_over_the_rate_are_throttled(#[case] limit: ThrottledLimit, #[case] code: &str) {
    let platform = platform().await;
    let client = table_client(&platform);
    let faults = ServiceFaults {
        calls_per_second: NonZeroU32::new(1),
        throttled_limit: limit,
        ..ServiceFaults::default()
    };
    platform.set_faults(ServiceName::Table, faults).await;
    let mut codes = Vec::new();
    while codes.is_empty() {
        let get = client.get_item().table_name("stilequay-head");
        let answer = get.key("log", text("main")).send().await;
        codes.extend(answer.err().map(|error| error.code().map(str::to_owned)));
    }
    assert_eq!(codes, [Some(code.to_owned())]);
    assert_eq!(
        platform.counters(ServiceName::Table)["GetItem"].throttled,
        1
    );
}

#[rstest]
#[case::before(LossMoment::BeforeEffect, "1")]
#[case::after(LossMoment::AfterEffect, "2")]
#[tokio::test]
async fn a_lost_answer_tells_nothing(#[case] moment: LossMoment, #[case] head_after: &str) {
    let platform = platform().await;
    let client = table_client(&platform);
    put_head(&client, 1).await;
    let faults = lose_next(1, "TransactWriteItems", moment);
    platform.set_faults(ServiceName::Table, faults).await;
    let lost = transact(&client, "token", vec![move_head(1, 2)]).await;
    assert_eq!(lost.expect_err("no answer").code(), None);
    assert_eq!(head(&client).await.as_deref(), Some(head_after));

    transact(&client, "token", vec![move_head(1, 2)])
        .await
        .expect("the repetition is answered");
    assert_eq!(head(&client).await.as_deref(), Some("2"));
}

async fn fails_then_recovers(platform: &PlatformHandle, client: &Client, outage: Outage) {
    let faults = ServiceFaults {
        outage: Some(outage),
        ..ServiceFaults::default()
    };
    platform.set_faults(ServiceName::Table, faults).await;
    let get = client.get_item().table_name("stilequay-head");
    let get = get.key("log", text("main"));
    get.clone().send().await.expect_err("out of order");
    platform.clear_faults(ServiceName::Table).await;
    get.send().await.expect("in order again");
}

#[rstest]
#[case::refuse(Outage::Refuse)]
#[case::error(Outage::Error)]
#[case::throttle(Outage::Throttle)]
#[tokio::test]
async fn outages_end(#[case] outage: Outage) {
    let platform = platform().await;
    let client = table_client(&platform);
    put_head(&client, 1).await;
    fails_then_recovers(&platform, &client, outage).await;
    fails_then_recovers(&platform, &client, outage).await;
}

#[tokio::test]
async fn a_hung_call_takes_effect_late() {
    let platform = platform().await;
    let client = table_client(&platform);
    put_head(&client, 1).await;
    let faults = ServiceFaults {
        outage: Some(Outage::Hang),
        ..ServiceFaults::default()
    };
    platform.set_faults(ServiceName::Table, faults).await;
    let hung = client.clone();
    let call = tokio::spawn(async move { transact(&hung, "late", vec![move_head(1, 2)]).await });
    support::patiently(async {
        while !platform
            .counters(ServiceName::Table)
            .contains_key("TransactWriteItems")
        {
            tokio::task::yield_now().await;
        }
    })
    .await;
    call.abort();
    platform.clear_faults(ServiceName::Table).await;
    support::patiently(async { while head(&client).await.as_deref() != Some("2") {} }).await;
}

#[tokio::test]
async fn an_update_sets_attributes_under_its_condition() {
    let platform = platform().await;
    let client = table_client(&platform);
    let create = client
        .update_item()
        .table_name("stilequay-head")
        .key("log", text("main"));
    let create = create
        .update_expression("SET #r = :next")
        .condition_expression("attribute_not_exists(log)")
        .expression_attribute_names("#r", "revision")
        .expression_attribute_values(":next", number(1));
    create.clone().send().await.expect("absent");
    assert_eq!(head(&client).await.as_deref(), Some("1"));
    let again = create.send().await.expect_err("there now");
    assert_eq!(again.code(), Some("ConditionalCheckFailedException"));
}

#[rstest]
#[case::key("SET log = :next")]
#[case::syntax("SET revision")]
#[case::unsupported("REMOVE revision")]
#[tokio::test]
async fn a_transaction_with_a_wrong_update_changes_nothing(#[case] expression: &str) {
    let platform = platform().await;
    let client = table_client(&platform);
    put_head(&client, 1).await;
    let update = Update::builder()
        .table_name("stilequay-head")
        .key("log", text("main"))
        .update_expression(expression)
        .expression_attribute_values(":next", number(2))
        .build()
        .expect("complete");
    let update = TransactWriteItem::builder().update(update).build();
    let refused = transact(&client, "t", vec![put_absent("a", 2), update]).await;
    assert_eq!(
        refused.expect_err("wrong").code(),
        Some("ValidationException")
    );
    assert!(!exists(&client, "a").await);
}
