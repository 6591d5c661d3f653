//! Listing of a bucket (`ListObjectsV2`).

use super::{Object, error};
use axum::extract::Query;
use axum::http::request::Parts;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;

const MAX_KEYS: usize = 1000;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ListParameters {
    #[serde(default)]
    prefix: String,
    delimiter: Option<String>,
    start_after: Option<String>,
    continuation_token: Option<String>,
    max_keys: Option<usize>,
}

#[derive(Debug, Default, Serialize)]
#[serde(rename_all = "PascalCase")]
struct ListBucketResult {
    contents: Vec<Contents>,
    common_prefixes: Vec<CommonPrefix>,
    is_truncated: bool,
    next_continuation_token: Option<String>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct Contents {
    key: String,
    last_modified: String,
    #[serde(rename = "ETag")]
    entity_tag: String,
    size: usize,
}

#[derive(Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "PascalCase")]
struct CommonPrefix {
    prefix: String,
}

/// Lists the objects of `bucket` as the parameters in `head` ask.
pub fn list(objects: &BTreeMap<String, Object>, bucket: &str, head: &Parts) -> Response {
    let Ok(Query(parameters)) = Query::<ListParameters>::try_from_uri(&head.uri) else {
        return error(StatusCode::BAD_REQUEST, "InvalidArgument");
    };
    let result = select(objects, bucket, &parameters);
    match quick_xml::se::to_string(&result) {
        Ok(body) => ([(header::CONTENT_TYPE, "application/xml")], body).into_response(),
        Err(_) => error(StatusCode::INTERNAL_SERVER_ERROR, "InternalError"),
    }
}

fn select(
    objects: &BTreeMap<String, Object>,
    bucket: &str,
    parameters: &ListParameters,
) -> ListBucketResult {
    let within_bucket = format!("{bucket}/");
    let start = start_after(parameters);
    let first = format!("{within_bucket}{start}");
    let limit = parameters.max_keys.unwrap_or(MAX_KEYS).min(MAX_KEYS);
    let mut result = ListBucketResult::default();
    let mut last = String::new();
    let range = (Bound::Excluded(first.as_str()), Bound::Unbounded);
    for (path, object) in objects.range::<str, _>(range) {
        let Some(key) = path.strip_prefix(&within_bucket) else {
            break;
        };
        if !key.starts_with(&parameters.prefix) {
            continue;
        }
        if result.contents.len() + result.common_prefixes.len() == limit {
            result.is_truncated = true;
            result.next_continuation_token = Some(last);
            return result;
        }
        key.clone_into(&mut last);
        result.add(key, object, parameters);
    }
    result
}

fn start_after(parameters: &ListParameters) -> &str {
    let start = parameters.start_after.as_deref().unwrap_or_default();
    let continued = parameters.continuation_token.as_deref();
    start.max(continued.unwrap_or_default())
}

impl ListBucketResult {
    fn add(&mut self, key: &str, object: &Object, parameters: &ListParameters) {
        if let Some(prefix) = common_prefix(key, parameters) {
            if self.common_prefixes.last() != Some(&prefix) {
                self.common_prefixes.push(prefix);
            }
            return;
        }
        self.contents.push(Contents {
            key: key.to_owned(),
            last_modified: humantime::format_rfc3339_millis(object.modified).to_string(),
            entity_tag: object.entity_tag.clone(),
            size: object.body.len(),
        });
    }
}

/// The part of `key` up to the delimiter after the prefix, if there is one.
fn common_prefix(key: &str, parameters: &ListParameters) -> Option<CommonPrefix> {
    let delimiter = parameters.delimiter.as_deref()?;
    let rest = key.get(parameters.prefix.len()..)?;
    let end = parameters.prefix.len() + rest.find(delimiter)? + delimiter.len();
    Some(CommonPrefix {
        prefix: key[..end].to_owned(),
    })
}
