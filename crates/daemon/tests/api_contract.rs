//! Contract of the operators' API, without faults of the platform.

mod support;

use reqwest::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use support::documents::{group, policy, service};
use support::fleet::{Fleet, READER_TOKEN};
use support::operator::{Answer, read};

#[tokio::test]
async fn a_resource_is_created_read_replaced_patched_and_deleted() {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0);
    let created = operator.post("/v1/databasegroups", &group("orders")).await;
    assert_eq!(created.status, StatusCode::CREATED, "{created:?}");
    assert_eq!(created.body["metadata"]["generation"], 1);
    assert_eq!(created.body["status"]["conditions"][0]["type"], "Accepted");

    let path = "/v1/databasegroups/orders";
    let at_least = format!("{path}?resourceVersion={}", created.version());
    let mut document = operator.get(&at_least).await.body;
    assert_eq!(document["metadata"]["uid"], created.body["metadata"]["uid"]);

    document["spec"]["connectionsPerMember"] = json!(20);
    let replaced = operator.put(path, &document).await;
    assert_eq!(replaced.status, StatusCode::OK, "{replaced:?}");
    assert_eq!(replaced.body["metadata"]["generation"], 2);
    assert!(replaced.version() > created.version());

    let labels = json!({ "metadata": { "labels": { "owner": null, "tier": "1" } } });
    let patched = operator.patch(path, &labels).await;
    assert_eq!(patched.body["metadata"]["labels"], json!({ "tier": "1" }));
    assert_eq!(patched.body["metadata"]["generation"], 2, "labels only");
    assert_eq!(patched.body["spec"]["connectionsPerMember"], 20);

    let deleted = operator.delete(path).await;
    assert_eq!(deleted.status, StatusCode::OK, "{deleted:?}");
    let version = deleted.body["resourceVersion"].as_str().expect("a version");
    let gone = operator
        .get(&format!("{path}?resourceVersion={version}"))
        .await;
    assert_eq!(gone.status, StatusCode::NOT_FOUND);
    fleet.stop().await;
}

#[tokio::test]
async fn a_change_that_changes_nothing_makes_no_version() {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0);
    let created = operator.post("/v1/services", &service("shop")).await;
    let again = operator.put("/v1/services/shop", &created.body).await;
    assert_eq!(again.status, StatusCode::OK, "{again:?}");
    assert_eq!(again.version(), created.version());
    fleet.stop().await;
}

#[rstest]
#[case::no_token(None, Method::GET, "/v1/services", None, 401, "Unauthorized")]
#[case::wrong_token(Some("wrong"), Method::GET, "/v1/services", None, 401, "Unauthorized")]
#[case::reader_writes(
    Some(READER_TOKEN),
    Method::POST,
    "/v1/services",
    Some("{}"),
    403,
    "Forbidden"
)]
#[case::reader_deletes(
    Some(READER_TOKEN),
    Method::DELETE,
    "/v1/services/a",
    None,
    403,
    "Forbidden"
)]
#[case::status_without_token(None, Method::GET, "/v1/status", None, 401, "Unauthorized")]
#[case::no_such_path(Some(READER_TOKEN), Method::GET, "/v2", None, 404, "NotFound")]
#[case::no_such_kind(Some(READER_TOKEN), Method::GET, "/v1/horses", None, 404, "NotFound")]
#[case::no_such_name(
    Some(READER_TOKEN),
    Method::GET,
    "/v1/services/none",
    None,
    404,
    "NotFound"
)]
#[case::unknown_query(
    Some(READER_TOKEN),
    Method::GET,
    "/v1/services?colour=red",
    None,
    400,
    "BadRequest"
)]
#[case::page_too_large(
    Some(READER_TOKEN),
    Method::GET,
    "/v1/services?limit=1001",
    None,
    400,
    "BadRequest"
)]
#[case::empty_page(
    Some(READER_TOKEN),
    Method::GET,
    "/v1/services?limit=0",
    None,
    400,
    "BadRequest"
)]
#[case::no_such_method(None, Method::POST, "/healthz", None, 405, "MethodNotAllowed")]
#[tokio::test]
async fn a_request_is_refused(
    #[case] token: Option<&str>,
    #[case] method: Method,
    #[case] path: &str,
    #[case] body: Option<&str>,
    #[case] status: u16,
    #[case] code: &str,
) {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0).with_token(token);
    let body = body.map(|text| text.as_bytes().to_vec());
    let answer = read(operator.send(method, path, body).await).await;
    assert_eq!(answer.status.as_u16(), status, "{answer:?}");
    assert_eq!(answer.code(), code);
    let told = answer.body["error"]["requestId"].as_str();
    assert_eq!(
        told,
        answer.request_id.as_deref(),
        "one id in header and body"
    );
    fleet.stop().await;
}

#[tokio::test]
async fn bodies_that_cannot_be_used_are_refused() {
    let fleet = Fleet::start(1, &["api.max_body_bytes=1000"]).await;
    let operator = fleet.writer(0);
    let malformed = operator
        .send(Method::POST, "/v1/services", Some(b"{".to_vec()))
        .await;
    assert_eq!(read(malformed).await.code(), "BadRequest");
    let large = operator
        .send(Method::POST, "/v1/services", Some(vec![b' '; 2000]))
        .await;
    assert_eq!(read(large).await.code(), "TooLarge");
    let other_kind = operator.post("/v1/services", &policy("fast")).await;
    assert_eq!(other_kind.code(), "Invalid");
    assert_eq!(fields(&other_kind), ["kind"]);
    fleet.stop().await;
}

#[tokio::test]
async fn all_faults_of_a_document_are_told_with_their_fields() {
    let fleet = Fleet::start(1, &[]).await;
    let mut document = group("Orders!");
    document["apiVersion"] = json!("stilequay/v9");
    document["metadata"]["colour"] = json!("red");
    let spec = &mut document["spec"];
    spec["members"][0]["address"] = json!("orders.example:5432");
    spec["members"][1]
        .as_object_mut()
        .expect("a member")
        .remove("zone");
    spec["members"][2]["name"] = json!("a");
    spec["connectionsPerMember"] = json!(0);
    spec["durability"] = json!("none");
    spec["password"] = json!(12);
    spec.as_object_mut().expect("a spec").remove("user");
    let answer = fleet.writer(0).post("/v1/databasegroups", &document).await;
    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    let mut found = fields(&answer);
    found.sort();
    let expected = [
        "apiVersion",
        "metadata.colour",
        "metadata.name",
        "spec.connectionsPerMember",
        "spec.durability",
        "spec.members[0].address",
        "spec.members[1].zone",
        "spec.members[2].name",
        "spec.password",
        "spec.user",
    ];
    assert_eq!(found, expected, "{answer:?}");
    fleet.stop().await;
}

fn fields(answer: &Answer) -> Vec<&str> {
    let faults = answer.body["error"]["faults"].as_array();
    let faults = faults.map(Vec::as_slice).unwrap_or_default();
    faults
        .iter()
        .filter_map(|fault| fault["field"].as_str())
        .collect()
}

#[tokio::test]
async fn versions_protect_against_changes_that_were_not_seen() {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0);
    let first = operator.post("/v1/sessionpolicies", &policy("fast")).await;
    let path = "/v1/sessionpolicies/fast";
    let patch = json!({ "spec": { "requestTimeoutMillis": 500 } });
    operator.patch(path, &patch).await;

    let stale = operator.put(path, &first.body).await;
    assert_eq!(stale.code(), "Conflict");
    let mut stale_patch = patch.clone();
    stale_patch["metadata"] = json!({ "resourceVersion": first.version().to_string() });
    assert_eq!(operator.patch(path, &stale_patch).await.code(), "Conflict");
    let stale_path = format!("{path}?resourceVersion={}", first.version());
    assert_eq!(operator.delete(&stale_path).await.code(), "Conflict");
    let without = operator.put(path, &policy("fast")).await;
    assert_eq!(fields(&without), ["metadata.resourceVersion"]);
    let again = operator.post("/v1/sessionpolicies", &policy("fast")).await;
    assert_eq!(again.code(), "AlreadyExists");
    let renamed = operator
        .patch(path, &json!({ "metadata": { "name": "slow" } }))
        .await;
    assert_eq!(fields(&renamed), ["metadata.name"]);
    fleet.stop().await;
}

#[tokio::test]
async fn a_resource_that_was_created_anew_is_another_one() {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0);
    let first = operator.post("/v1/services", &service("shop")).await;
    operator.delete("/v1/services/shop").await;
    let second = operator.post("/v1/services", &service("shop")).await;
    assert_ne!(
        first.body["metadata"]["uid"],
        second.body["metadata"]["uid"]
    );
    let patch = json!({
        "metadata": { "uid": first.body["metadata"]["uid"] }, "spec": { "maxInFlight": 1 },
    });
    let refused = operator.patch("/v1/services/shop", &patch).await;
    assert_eq!(refused.code(), "Conflict");
    fleet.stop().await;
}

#[tokio::test]
async fn a_list_comes_in_pages_by_name() {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0);
    let mut version = 0;
    for name in ["c", "a", "e", "b", "d"] {
        version = operator
            .post("/v1/services", &service(name))
            .await
            .version();
    }
    operator.post("/v1/sessionpolicies", &policy("other")).await;
    let mut names = Vec::new();
    let mut path = format!("/v1/services?limit=2&resourceVersion={version}");
    loop {
        let page = operator.get(&path).await.body;
        let items = page["items"].as_array().expect("items");
        assert!(items.len() <= 2);
        names.extend(items.iter().map(|item| item["metadata"]["name"].clone()));
        let Some(after) = page["continue"].as_str() else {
            break;
        };
        path = format!("/v1/services?limit=2&continue={after}");
    }
    assert_eq!(Value::from(names), json!(["a", "b", "c", "d", "e"]));
    fleet.stop().await;
}

#[tokio::test]
async fn monitoring_needs_no_token() {
    let fleet = Fleet::start(1, &[]).await;
    let anyone = fleet.writer(0).with_token(None);
    for path in ["/healthz", "/readyz", "/metrics", "/openapi.json"] {
        assert_eq!(anyone.get(path).await.status, StatusCode::OK, "{path}");
    }
    let response = anyone.send(Method::GET, "/metrics", None).await;
    let text = response.text().await.expect("text");
    assert!(text.contains("stilequay_api_requests_total"), "{text}");
    fleet.stop().await;
}
