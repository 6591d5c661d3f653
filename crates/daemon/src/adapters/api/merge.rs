//! JSON merge patch (RFC 7396).

use serde_json::{Map, Value};

/// Applies `patch` to `target`: objects are merged, null removes, all else replaces.
pub fn merge(target: &mut Value, patch: Value) {
    let Value::Object(patch) = patch else {
        *target = patch;
        return;
    };
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    let Value::Object(fields) = target else {
        return;
    };
    for (key, value) in patch {
        match value {
            Value::Null => {
                fields.remove(&key);
            }
            value => merge(fields.entry(key).or_insert(Value::Null), value),
        }
    }
}
