//! Requests over HTTP to the interfaces for steering and to the operators' API.

use super::error::LaunchError;
use reqwest::{Client, Method, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Time one request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A client of one HTTP interface.
#[derive(Debug, Clone)]
pub struct HttpClient {
    base: String,
    bearer_token: Option<String>,
    client: Client,
}

impl HttpClient {
    /// A client of the interface at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            base: format!("http://{address}"),
            bearer_token: None,
            client: Client::new(),
        }
    }

    /// Shows `token` with every request.
    pub fn with_bearer_token(mut self, token: &str) -> Self {
        self.bearer_token = Some(token.to_owned());
        self
    }

    /// Reads `path`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, LaunchError> {
        let response = self.send::<()>(Method::GET, path, None).await?;
        self.decode(path, response).await
    }

    /// Reads `path` as text.
    pub async fn get_text(&self, path: &str) -> Result<String, LaunchError> {
        let response = self.send::<()>(Method::GET, path, None).await?;
        let text = response.text().await;
        text.map_err(|error| self.failure(path, &error))
    }

    /// Posts `body` and reads the answer.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, LaunchError> {
        let response = self.send(Method::POST, path, Some(body)).await?;
        self.decode(path, response).await
    }

    /// Posts without a body.
    pub async fn trigger(&self, path: &str) -> Result<(), LaunchError> {
        self.send::<()>(Method::POST, path, None).await.map(drop)
    }

    /// Puts `body` and reads the answer.
    pub async fn put<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, LaunchError> {
        let response = self.send(Method::PUT, path, Some(body)).await?;
        self.decode(path, response).await
    }

    /// Puts `body` where there is no answer to read.
    pub async fn set<B: Serialize>(&self, path: &str, body: &B) -> Result<(), LaunchError> {
        self.send(Method::PUT, path, Some(body)).await.map(drop)
    }

    /// Deletes `path`.
    pub async fn delete(&self, path: &str) -> Result<(), LaunchError> {
        self.send::<()>(Method::DELETE, path, None).await.map(drop)
    }

    async fn send<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<Response, LaunchError> {
        let url = format!("{}{path}", self.base);
        let mut request = self.client.request(method, url).timeout(REQUEST_TIMEOUT);
        if let Some(token) = &self.bearer_token {
            request = request.bearer_auth(token);
        }
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = request.send().await;
        let response = response.map_err(|error| self.failure(path, &error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let text = response.text().await.unwrap_or_default();
        Err(self.failure(path, &format!("{status}: {text}")))
    }

    async fn decode<T: DeserializeOwned>(
        &self,
        path: &str,
        response: Response,
    ) -> Result<T, LaunchError> {
        let decoded = response.json().await;
        decoded.map_err(|error| self.failure(path, &error))
    }

    fn failure(&self, path: &str, reason: &dyn ToString) -> LaunchError {
        LaunchError::Request(format!("{}{path}", self.base), reason.to_string())
    }
}
