//! Watches: changes from a version on, bookmarks, and versions that are gone.

mod support;

use reqwest::{Method, StatusCode};
use serde_json::{Value, json};
use support::documents::{policy, service};
use support::fleet::Fleet;
use support::operator::{Operator, read};

/// A watch in progress, read line by line.
struct Watch {
    response: reqwest::Response,
    rest: Vec<u8>,
}

impl Watch {
    async fn begin(operator: &Operator, path: &str) -> Self {
        let response = operator.send(Method::GET, path, None).await;
        assert_eq!(response.status(), StatusCode::OK);
        Self {
            response,
            rest: Vec::new(),
        }
    }

    /// The next event; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Value> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<_> = self.rest.drain(..=end).collect();
                return Some(serde_json::from_slice(&line).expect("a line of JSON"));
            }
            match self.response.chunk().await {
                Ok(Some(chunk)) => self.rest.extend_from_slice(&chunk),
                Ok(None) | Err(_) => return None,
            }
        }
    }

    /// The next event that is no bookmark.
    async fn next_change(&mut self) -> Value {
        loop {
            let event = self.next().await.expect("the watch goes on");
            if event["type"] != "BOOKMARK" {
                return event;
            }
        }
    }
}

#[tokio::test]
async fn a_watch_tells_every_change_of_its_kind_once_and_in_order() {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0);
    let mut watch = Watch::begin(&operator, "/v1/services?watch=true&resourceVersion=0").await;
    operator.post("/v1/services", &service("shop")).await;
    operator.post("/v1/sessionpolicies", &policy("fast")).await;
    let patch = json!({ "spec": { "maxInFlight": 5 } });
    operator.patch("/v1/services/shop", &patch).await;
    operator.delete("/v1/services/shop").await;
    let mut versions = Vec::new();
    for expected in ["ADDED", "MODIFIED", "DELETED"] {
        let event = watch.next_change().await;
        assert_eq!(event["type"], expected, "{event}");
        assert_eq!(event["object"]["metadata"]["name"], "shop");
        versions.push(event["object"]["metadata"]["resourceVersion"].clone());
        if expected == "DELETED" {
            assert_eq!(event["resourceVersion"], "4");
        }
    }
    assert_eq!(Value::from(versions), json!(["1", "3", "3"]));
    fleet.stop().await;
}

#[tokio::test]
async fn a_watch_begins_after_the_version_that_is_given() {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0);
    let first = operator.post("/v1/services", &service("first")).await;
    operator.post("/v1/services", &service("second")).await;
    let path = format!(
        "/v1/services?watch=true&resourceVersion={}",
        first.version()
    );
    let mut watch = Watch::begin(&operator, &path).await;
    let event = watch.next_change().await;
    assert_eq!(event["object"]["metadata"]["name"], "second");
    fleet.stop().await;
}

#[tokio::test]
async fn bookmarks_tell_how_far_a_watch_is() {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0);
    let version = operator
        .post("/v1/services", &service("shop"))
        .await
        .version();
    let mut watch = Watch::begin(&operator, "/v1/sessionpolicies?watch=true").await;
    loop {
        let event = watch.next().await.expect("the watch goes on");
        assert_eq!(event["type"], "BOOKMARK", "no policy changed");
        if event["resourceVersion"] == version.to_string().as_str() {
            break;
        }
    }
    fleet.stop().await;
}

#[tokio::test]
async fn a_watch_from_a_version_that_is_gone_is_refused() {
    let fleet = Fleet::start(1, &["api.watch_history=2"]).await;
    let operator = fleet.writer(0);
    let mut version = 0;
    for name in ["a", "b", "c", "d"] {
        version = operator
            .post("/v1/services", &service(name))
            .await
            .version();
    }
    let list = operator
        .get(&format!("/v1/services?resourceVersion={version}"))
        .await;
    assert_eq!(list.status, StatusCode::OK);
    let path = "/v1/services?watch=true&resourceVersion=1";
    let gone = read(operator.send(Method::GET, path, None).await).await;
    assert_eq!(gone.status, StatusCode::GONE, "{gone:?}");
    assert_eq!(gone.code(), "Gone");
    let kept = format!("/v1/services?watch=true&resourceVersion={}", version - 2);
    let mut watch = Watch::begin(&operator, &kept).await;
    let event = watch.next_change().await;
    assert_eq!(event["object"]["metadata"]["name"], "c");
    fleet.stop().await;
}

#[tokio::test]
async fn a_planned_stop_ends_watches() {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0);
    let mut watch = Watch::begin(&operator, "/v1/services?watch=true").await;
    let stopped = tokio::spawn(fleet.stop());
    while watch.next().await.is_some() {}
    stopped.await.expect("the daemon stops");
}
