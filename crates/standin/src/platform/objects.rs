//! The object store: S3 REST with path-style addresses, whole objects only.

mod listing;

use super::faults::ThrottledLimit;
use super::service::{Call, Service};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderName, Method, StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

/// In a condition: any object.
const ANY_OBJECT: &str = "*";

/// The object store in memory. Buckets come into being by use.
#[derive(Debug, Default)]
pub struct ObjectStore {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Objects by bucket and key, as in `bucket/key`.
    objects: BTreeMap<String, Object>,
    /// How often an object was written; makes each entity tag unique.
    writes: u64,
}

#[derive(Debug, Clone)]
struct Object {
    body: Bytes,
    entity_tag: String,
    modified: SystemTime,
}

/// Whether a conditional write may go on.
#[derive(Debug, PartialEq, Eq)]
enum WriteCheck {
    Allowed,
    /// The object is not as demanded.
    Failed,
    /// A certain object is demanded, and there is none.
    Missing,
}

impl ObjectStore {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, path: &str, with_body: bool) -> Response {
        let state = self.state();
        let Some(object) = state.objects.get(path) else {
            return error(StatusCode::NOT_FOUND, "NoSuchKey");
        };
        let headers = [
            (header::ETAG, object.entity_tag.clone()),
            (
                header::LAST_MODIFIED,
                httpdate::fmt_http_date(object.modified),
            ),
            (header::CONTENT_LENGTH, object.body.len().to_string()),
        ];
        let body = if with_body {
            object.body.clone()
        } else {
            Bytes::new()
        };
        (headers, body).into_response()
    }

    fn put(&self, path: &str, headers: &HeaderMap, body: &Bytes) -> Response {
        let mut state = self.state();
        match check_write(headers, state.objects.get(path)) {
            WriteCheck::Failed => error(StatusCode::PRECONDITION_FAILED, "PreconditionFailed"),
            WriteCheck::Missing => error(StatusCode::NOT_FOUND, "NoSuchKey"),
            WriteCheck::Allowed => {
                let entity_tag = state.write(path, body.clone());
                [(header::ETAG, entity_tag)].into_response()
            }
        }
    }

    fn delete(&self, path: &str) -> Response {
        self.state().objects.remove(path);
        StatusCode::NO_CONTENT.into_response()
    }
}

impl State {
    fn write(&mut self, path: &str, body: Bytes) -> String {
        self.writes += 1;
        let entity_tag = format!("\"{:016x}\"", self.writes);
        let object = Object {
            body,
            entity_tag: entity_tag.clone(),
            modified: SystemTime::now(),
        };
        self.objects.insert(path.to_owned(), object);
        entity_tag
    }
}

fn check_write(headers: &HeaderMap, present: Option<&Object>) -> WriteCheck {
    if condition(headers, &header::IF_NONE_MATCH) == Some(ANY_OBJECT) && present.is_some() {
        return WriteCheck::Failed;
    }
    match (condition(headers, &header::IF_MATCH), present) {
        (None, _) => WriteCheck::Allowed,
        (Some(_), None) => WriteCheck::Missing,
        (Some(tag), Some(object)) if tag == object.entity_tag => WriteCheck::Allowed,
        (Some(_), Some(_)) => WriteCheck::Failed,
    }
}

fn condition<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The path without the leading slash, and whether it names a bucket only.
fn object_path(head: &Parts) -> (&str, bool) {
    let path = head.uri.path().trim_matches('/');
    (path, !path.contains('/'))
}

impl Service for ObjectStore {
    fn operation(&self, head: &Parts) -> String {
        match object_path(head) {
            (_, true) if head.method == Method::GET => "LIST".to_owned(),
            _ => head.method.to_string(),
        }
    }

    fn handle(&self, call: &Call) -> Response {
        let (path, is_bucket) = object_path(&call.head);
        match (&call.head.method, is_bucket) {
            (&Method::GET, true) => listing::list(&self.state().objects, path, &call.head),
            (&Method::GET, false) => self.get(path, true),
            (&Method::HEAD, false) => self.get(path, false),
            (&Method::PUT, false) => self.put(path, &call.head.headers, &call.body),
            (&Method::DELETE, false) => self.delete(path),
            _ => error(StatusCode::NOT_IMPLEMENTED, "NotImplemented"),
        }
    }

    fn throttled(&self, _limit: ThrottledLimit) -> Response {
        error(StatusCode::SERVICE_UNAVAILABLE, "SlowDown")
    }

    fn internal_error(&self) -> Response {
        error(StatusCode::INTERNAL_SERVER_ERROR, "InternalError")
    }
}

fn error(status: StatusCode, code: &str) -> Response {
    let body = format!(
        r#"<?xml version="1.0" encoding="UTF-8"?><Error><Code>{code}</Code><Message>{code}</Message></Error>"#
    );
    (status, [(header::CONTENT_TYPE, "application/xml")], body).into_response()
}
