//! What holds for every request: its id, its line in the log, its failure's body.

use super::failure::{ApiFailure, FailureCode};
use crate::app::control::identifier::random_identifier;
use axum::extract::Request;
use axum::http::{HeaderName, HeaderValue};
use axum::middleware::Next;
use axum::response::Response;
use std::time::Instant;

/// Header that tells the id of a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Identifies one request in answers and log lines.
#[derive(Debug, Clone)]
pub struct ApiRequestId(pub String);

/// Gives the request an id, and puts it into the answer and the log.
pub async fn identify(mut request: Request, next: Next) -> Response {
    let id = random_identifier();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    request.extensions_mut().insert(ApiRequestId(id.clone()));
    let begun = Instant::now();
    let mut response = next.run(request).await;
    if let Some(failure) = response.extensions_mut().remove::<ApiFailure>() {
        response = failure.render(&id);
    }
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    let status = response.status().as_u16();
    let elapsed = begun.elapsed();
    metrics::counter!("stilequay_api_requests_total", "status" => status.to_string()).increment(1);
    metrics::histogram!("stilequay_api_request_seconds").record(elapsed.as_secs_f64());
    log::debug!(
        request = id.as_str(), method = method.as_str(), path = path.as_str(),
        status = status, micros = elapsed.as_micros() as u64;
        "operator request"
    );
    response
}

/// Answers a path that is not there.
pub async fn not_found() -> ApiFailure {
    ApiFailure::new(FailureCode::NotFound, "there is no such path")
}

/// Answers a method that a path doesn't have.
pub async fn method_not_allowed() -> ApiFailure {
    ApiFailure::new(
        FailureCode::MethodNotAllowed,
        "the path does not have this method",
    )
}
