//! Who may use the API, and for what.

use super::SharedApi;
use super::failure::{ApiFailure, FailureCode};
use crate::domain::resource::Secret;
use crate::settings::{ApiRole, ApiToken};
use axum::extract::{Request, State};
use axum::http::{HeaderMap, Method, header};
use axum::middleware::Next;
use axum::response::Response;
use subtle::{Choice, ConstantTimeEq};

/// An operator, known by a token.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Name, for the audit lines.
    pub name: String,
    /// What the token allows.
    pub role: ApiRole,
}

/// All tokens and whose they are.
pub struct AccessList {
    entries: Vec<Entry>,
}

struct Entry {
    token: Secret,
    operator: Operator,
}

impl AccessList {
    /// The tokens of the settings.
    pub fn new(tokens: &[ApiToken]) -> Self {
        let entries = tokens.iter().map(|token| Entry {
            token: token.token.clone(),
            operator: Operator {
                name: token.name.clone(),
                role: token.role,
            },
        });
        Self {
            entries: entries.collect(),
        }
    }

    /// The operator whose token is `offered`.
    ///
    /// Compares with every token in constant time, so that the time taken tells
    /// nothing of their content.
    fn find(&self, offered: &str) -> Option<&Operator> {
        let mut found = None;
        for entry in &self.entries {
            let equal: Choice = entry.token.expose().as_bytes().ct_eq(offered.as_bytes());
            if bool::from(equal) {
                found = Some(&entry.operator);
            }
        }
        found
    }
}

/// Lets a request pass whose token allows it.
pub async fn check(
    State(api): State<SharedApi>,
    mut request: Request,
    next: Next,
) -> Result<Response, ApiFailure> {
    let operator = bearer_token(request.headers()).and_then(|token| api.access.find(token));
    let Some(operator) = operator.cloned() else {
        return Err(ApiFailure::new(
            FailureCode::Unauthorized,
            "a valid bearer token is required",
        ));
    };
    if operator.role < needed_role(request.method()) {
        return Err(ApiFailure::new(
            FailureCode::Forbidden,
            "the token allows reading only",
        ));
    }
    request.extensions_mut().insert(operator);
    Ok(next.run(request).await)
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}

fn needed_role(method: &Method) -> ApiRole {
    match *method {
        Method::GET | Method::HEAD => ApiRole::Read,
        _ => ApiRole::Write,
    }
}
