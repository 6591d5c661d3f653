//! An operator who talks HTTP with one daemon.

use reqwest::{Method, StatusCode};
use serde_json::Value;
use std::net::SocketAddr;

/// An operator at one daemon.
#[derive(Clone)]
pub struct Operator {
    client: reqwest::Client,
    base: String,
    token: Option<String>,
}

/// An answer, whole.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// Header Retry-After.
    pub retry_after: Option<u64>,
    /// Header x-request-id.
    pub request_id: Option<String>,
    /// The body; null where it is no JSON.
    pub body: Value,
}

impl Answer {
    /// `error.code` of a failure, or the empty text.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// The resource's version.
    pub fn version(&self) -> u64 {
        let text = self.body["metadata"]["resourceVersion"].as_str();
        text.and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("no version in {self:?}"))
    }
}

impl Operator {
    /// An operator with `token` at the daemon whose API is at `address`.
    pub fn new(address: SocketAddr, token: Option<&str>) -> Self {
        Self {
            client: reqwest::Client::new(),
            base: format!("http://{address}"),
            token: token.map(str::to_owned),
        }
    }

    /// The same daemon, with another token.
    pub fn with_token(&self, token: Option<&str>) -> Self {
        Self {
            token: token.map(str::to_owned),
            ..self.clone()
        }
    }

    /// Sends a request and returns the response with its body unread.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> reqwest::Response {
        let mut request = self.client.request(method, format!("{}{path}", self.base));
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        if let Some(body) = body {
            request = request.body(body);
        }
        request.send().await.expect("the daemon answers")
    }

    async fn ask(&self, method: Method, path: &str, body: Option<&Value>) -> Answer {
        let body = body.map(|body| body.to_string().into_bytes());
        read(self.send(method, path, body).await).await
    }

    /// GET.
    pub async fn get(&self, path: &str) -> Answer {
        self.ask(Method::GET, path, None).await
    }

    /// POST.
    pub async fn post(&self, path: &str, body: &Value) -> Answer {
        self.ask(Method::POST, path, Some(body)).await
    }

    /// PUT.
    pub async fn put(&self, path: &str, body: &Value) -> Answer {
        self.ask(Method::PUT, path, Some(body)).await
    }

    /// PATCH.
    pub async fn patch(&self, path: &str, body: &Value) -> Answer {
        self.ask(Method::PATCH, path, Some(body)).await
    }

    /// DELETE.
    pub async fn delete(&self, path: &str) -> Answer {
        self.ask(Method::DELETE, path, None).await
    }
}

/// Reads a whole answer.
pub async fn read(response: reqwest::Response) -> Answer {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let retry_after = header("retry-after").and_then(|text| text.parse().ok());
    let request_id = header("x-request-id");
    let status = response.status();
    let bytes = response.bytes().await.expect("a whole body");
    Answer {
        status,
        retry_after,
        request_id,
        body: serde_json::from_slice(&bytes).unwrap_or_default(),
    }
}
