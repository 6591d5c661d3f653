//! Documents that the tests apply.

use serde_json::{Value, json};

/// A well-formed verifier (of no password that is used anywhere).
pub const VERIFIER: &str = "SCRAM-SHA-256$4096:c2FsdHNhbHRzYWx0c2FsdA==$\
    AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";

/// A valid service.
pub fn service(name: &str) -> Value {
    json!({
        "apiVersion": "stilequay/v1",
        "kind": "Service",
        "metadata": { "name": name },
        "spec": { "verifier": VERIFIER, "groups": ["orders"] },
    })
}

/// A valid session policy.
pub fn policy(name: &str) -> Value {
    json!({
        "apiVersion": "stilequay/v1",
        "kind": "SessionPolicy",
        "metadata": { "name": name },
        "spec": { "consistency": "session" },
    })
}

/// A valid database group.
pub fn group(name: &str) -> Value {
    let member = |name: &str, port: u16| {
        json!({
            "name": name, "address": format!("127.0.0.1:{port}"), "zone": "zone-0",
        })
    };
    json!({
        "apiVersion": "stilequay/v1",
        "kind": "DatabaseGroup",
        "metadata": { "name": name, "labels": { "owner": "orders" } },
        "spec": {
            "members": [member("a", 5431), member("b", 5432), member("c", 5433)],
            "database": "orders", "user": "proxy", "password": "secret-of-the-back-end",
            "connectionsPerMember": 10,
        },
    })
}
