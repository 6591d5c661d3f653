//! The served description says what the API does.

mod support;

use reqwest::Method;
use serde_json::{Map, Value, json};
use std::collections::BTreeSet;
use support::documents::{group, policy, service};
use support::fleet::Fleet;
use support::operator::{Answer, Operator, read};

/// Checks answers against the schemas of a description.
struct Description {
    document: Value,
}

impl Description {
    async fn read(operator: &Operator) -> Self {
        Self {
            document: operator.get("/openapi.json").await.body,
        }
    }

    fn schema<'a>(&'a self, schema: &'a Value) -> &'a Value {
        match schema["$ref"].as_str() {
            None => schema,
            Some(reference) => {
                let pointer = reference.trim_start_matches('#');
                let found = self.document.pointer(pointer);
                found.unwrap_or_else(|| panic!("{reference} is missing"))
            }
        }
    }

    fn named(&self, name: &str) -> &Value {
        &self.document["components"]["schemas"][name]
    }

    /// All ways in which `value` is not as `schema` says.
    fn faults(&self, schema: &Value, value: &Value, place: &str) -> Vec<String> {
        let schema = self.schema(schema);
        if let Some(options) = schema["oneOf"].as_array() {
            let fits = options
                .iter()
                .any(|option| self.faults(option, value, place).is_empty());
            return match fits {
                true => Vec::new(),
                false => vec![format!("{place}: fits no option")],
            };
        }
        let mut faults = Vec::new();
        if !has_type(&schema["type"], value) {
            faults.push(format!("{place}: {value} is no {}", schema["type"]));
        }
        let allowed = schema["enum"].as_array();
        if allowed.is_some_and(|allowed| !allowed.contains(value)) {
            faults.push(format!("{place}: {value} is not allowed"));
        }
        if schema
            .get("const")
            .is_some_and(|constant| constant != value)
        {
            faults.push(format!("{place}: {value} is not {}", schema["const"]));
        }
        if let Some(object) = value.as_object() {
            faults.extend(self.object_faults(schema, object, place));
        }
        for (index, item) in value.as_array().into_iter().flatten().enumerate() {
            faults.extend(self.faults(&schema["items"], item, &format!("{place}[{index}]")));
        }
        faults
    }

    fn object_faults(&self, schema: &Value, object: &Map<String, Value>, at: &str) -> Vec<String> {
        let mut faults = Vec::new();
        for required in schema["required"].as_array().into_iter().flatten() {
            if !object.contains_key(required.as_str().unwrap_or_default()) {
                faults.push(format!("{at}: {required} is missing"));
            }
        }
        for (key, value) in object {
            let place = format!("{at}.{key}");
            match (
                schema["properties"].get(key),
                &schema["additionalProperties"],
            ) {
                (Some(property), _) => faults.extend(self.faults(property, value, &place)),
                (None, Value::Object(_)) => {
                    faults.extend(self.faults(&schema["additionalProperties"], value, &place));
                }
                (None, Value::Bool(false)) => faults.push(format!("{place}: is not described")),
                (None, _) => {}
            }
        }
        faults
    }

    fn assert_fits(&self, name: &str, value: &Value) {
        let faults = self.faults(self.named(name), value, name);
        assert!(faults.is_empty(), "{faults:#?}\n{value:#}");
    }
}

fn has_type(expected: &Value, value: &Value) -> bool {
    let fits = |name: &str| match name {
        "object" => value.is_object(),
        "array" => value.is_array(),
        "string" => value.is_string(),
        "integer" => value.is_u64() || value.is_i64(),
        "boolean" => value.is_boolean(),
        "null" => value.is_null(),
        other => panic!("type {other} is not known here"),
    };
    match expected {
        Value::String(name) => fits(name),
        Value::Array(names) => names.iter().filter_map(Value::as_str).any(fits),
        _ => true,
    }
}

#[tokio::test]
async fn answers_are_as_described() {
    let fleet = Fleet::start(2, &[]).await;
    let operator = fleet.writer(0);
    let description = Description::read(&operator).await;
    for (path, document) in [
        ("/v1/databasegroups", group("orders")),
        ("/v1/services", service("shop")),
        ("/v1/sessionpolicies", policy("fast")),
    ] {
        description.assert_fits("NewDocument", &document);
        let created = operator.post(path, &document).await;
        description.assert_fits("Document", &created.body);
        let at_least = format!("{path}?resourceVersion={}", created.version());
        description.assert_fits("DocumentList", &operator.get(&at_least).await.body);
    }
    let status = operator.get("/v1/status").await;
    description.assert_fits("FleetStatus", &status.body);
    let outcome = operator.get("/v1/changes/1?token=none").await;
    description.assert_fits("Outcome", &outcome.body);
    let invalid = operator.post("/v1/services", &json!({})).await;
    description.assert_fits("Failure", &invalid.body);
    let deleted = operator.delete("/v1/services/shop").await;
    description.assert_fits("Deletion", &deleted.body);
    fleet.stop().await;
}

/// Every field that a specification has is described, and no other.
#[tokio::test]
async fn specifications_are_described_whole() {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0);
    let description = Description::read(&operator).await;
    for (schema, path, document) in [
        ("DatabaseGroupSpec", "/v1/databasegroups", group("orders")),
        ("ServiceSpec", "/v1/services", service("shop")),
        ("SessionPolicySpec", "/v1/sessionpolicies", policy("fast")),
    ] {
        let created = operator.post(path, &document).await;
        let shown = keys(&created.body["spec"]);
        assert_eq!(shown, keys(&description.named(schema)["properties"]));
    }
    fleet.stop().await;
}

fn keys(object: &Value) -> BTreeSet<String> {
    let object = object.as_object().expect("an object");
    object.keys().cloned().collect()
}

/// Every path and method of the description exists, and no status is undescribed.
#[tokio::test]
async fn paths_and_statuses_are_as_described() {
    let fleet = Fleet::start(1, &[]).await;
    let operator = fleet.writer(0);
    let description = Description::read(&operator).await;
    let paths = description.document["paths"].as_object().expect("paths");
    for (path, methods) in paths {
        let concrete = path
            .replace("{kind}", "services")
            .replace("{name}", "none")
            .replace("{revision}", "1");
        let methods = methods.as_object().expect("methods");
        for (method, operation) in methods.iter().filter(|(method, _)| *method != "parameters") {
            let answer = ask(&operator, method, &concrete).await;
            assert_ne!(answer.code(), "MethodNotAllowed", "{method} {path}");
            let status = answer.status.as_u16().to_string();
            let described = operation["responses"].get(&status);
            assert!(described.is_some(), "{method} {path} gave {status}");
        }
    }
    fleet.stop().await;
}

async fn ask(operator: &Operator, method: &str, path: &str) -> Answer {
    let method: Method = method.to_uppercase().parse().expect("a method");
    let body = (method != Method::GET).then(|| b"{}".to_vec());
    read(operator.send(method, path, body).await).await
}
