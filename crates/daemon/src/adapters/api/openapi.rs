//! The description of the API.

use axum::http::header;
use axum::response::{IntoResponse, Response};

/// The description, OpenAPI 3.1 in JSON.
const DESCRIPTION: &str = include_str!("openapi.json");

/// The description, OpenAPI 3.1 in JSON.
pub fn description() -> &'static str {
    DESCRIPTION
}

/// `GET /openapi.json`.
pub async fn serve() -> Response {
    ([(header::CONTENT_TYPE, "application/json")], DESCRIPTION).into_response()
}
