//! The operators' API as a client sees it.

use crate::ControlError;
use crate::connection::Connection;
use reqwest::{Method, Response};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::time::Duration;
use stilequay_daemon::adapters::api::{
    Deletion, Document, DocumentList, FailureBody, FleetStatus, OutcomeAnswer, WatchEvent,
};
use stilequay_daemon::domain::document::{ResourceKey, ResourceKind};

/// Time to connect to a daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a request may take; longer than a daemon waits for the platform.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Resources asked for at once.
const PAGE_SIZE: usize = 500;

/// A client of one daemon.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    connection: Connection,
}

impl Client {
    /// A client over `connection`; connects with the first request.
    pub fn new(connection: Connection) -> Result<Self, ControlError> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .build()
            .map_err(unreachable)?;
        Ok(Self { http, connection })
    }

    /// One resource.
    pub async fn get(&self, key: &ResourceKey) -> Result<Document, ControlError> {
        self.ask(Method::GET, &path(key), None).await
    }

    /// All resources of a kind, page by page.
    pub async fn list(&self, kind: ResourceKind) -> Result<Vec<Document>, ControlError> {
        let first = format!("/v1/{}?limit={PAGE_SIZE}", kind.plural());
        let mut next = first.clone();
        let mut documents = Vec::new();
        loop {
            let page: DocumentList = self.ask(Method::GET, &next, None).await?;
            documents.extend(page.items);
            match page.after {
                Some(after) => next = format!("{first}&continue={after}"),
                None => return Ok(documents),
            }
        }
    }

    /// Creates a resource.
    pub async fn create(
        &self,
        kind: ResourceKind,
        document: &Value,
    ) -> Result<Document, ControlError> {
        let path = format!("/v1/{}", kind.plural());
        self.ask(Method::POST, &path, Some(document)).await
    }

    /// Replaces a resource.
    pub async fn replace(
        &self,
        key: &ResourceKey,
        document: &Value,
    ) -> Result<Document, ControlError> {
        self.ask(Method::PUT, &path(key), Some(document)).await
    }

    /// Deletes a resource.
    pub async fn delete(&self, key: &ResourceKey) -> Result<Deletion, ControlError> {
        self.ask(Method::DELETE, &path(key), None).await
    }

    /// Waits until the daemon shows `version`, so that the next command sees what
    /// this one has done. Only a courtesy: the change is accepted in any case.
    pub async fn wait_for(&self, kind: ResourceKind, version: &str) {
        let path = format!("/v1/{}?limit=1&resourceVersion={version}", kind.plural());
        let _ = self.ask::<DocumentList>(Method::GET, &path, None).await;
    }

    /// The fleet.
    pub async fn status(&self) -> Result<FleetStatus, ControlError> {
        self.ask(Method::GET, "/v1/status", None).await
    }

    /// What became of a change, asked at the path that an earlier failure told.
    pub async fn outcome(&self, path: &str) -> Result<OutcomeAnswer, ControlError> {
        if !path.starts_with("/v1/changes/") {
            let reason = "expected a path as in 'ask: /v1/changes/...'";
            return Err(ControlError::Usage(reason.to_owned()));
        }
        self.ask(Method::GET, path, None).await
    }

    /// Begins to watch a kind.
    pub async fn watch(
        &self,
        kind: ResourceKind,
        from: Option<u64>,
    ) -> Result<EventStream, ControlError> {
        let mut path = format!("/v1/{}?watch=true", kind.plural());
        if let Some(from) = from {
            path.push_str(&format!("&resourceVersion={from}"));
        }
        let request = self.request(Method::GET, &path);
        let response = checked(request.send().await.map_err(unreachable)?).await?;
        Ok(EventStream {
            response,
            rest: Vec::new(),
        })
    }

    fn request(&self, method: Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("{}{path}", self.connection.server);
        let request = self.http.request(method, url);
        match &self.connection.token {
            Some(token) => request.bearer_auth(token.expose()),
            None => request,
        }
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T, ControlError> {
        let mut request = self.request(method, path).timeout(REQUEST_TIMEOUT);
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = checked(request.send().await.map_err(unreachable)?).await?;
        let body = response.bytes().await.map_err(unreachable)?;
        serde_json::from_slice(&body).map_err(|error| ControlError::Answer(error.to_string()))
    }
}

fn path(key: &ResourceKey) -> String {
    format!("/v1/{}/{}", key.kind.plural(), key.name)
}

fn unreachable(error: reqwest::Error) -> ControlError {
    let mut reason = error.to_string();
    let mut cause = std::error::Error::source(&error);
    while let Some(current) = cause {
        reason.push_str(&format!(": {current}"));
        cause = current.source();
    }
    ControlError::Unreachable(reason)
}

/// Turns a failure's answer into an error.
async fn checked(response: Response) -> Result<Response, ControlError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = response.bytes().await.map_err(unreachable)?;
    match serde_json::from_slice::<FailureBody>(&body) {
        Ok(failure) => Err(ControlError::Refused(failure.error)),
        Err(_) => Err(ControlError::Answer(format!("status {status}"))),
    }
}

/// Events of a watch.
#[derive(Debug)]
pub struct EventStream {
    response: Response,
    rest: Vec<u8>,
}

impl EventStream {
    /// The next event; `None` at the end of the watch.
    pub async fn next(&mut self) -> Result<Option<WatchEvent>, ControlError> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<_> = self.rest.drain(..=end).collect();
                let event = serde_json::from_slice(&line);
                return event
                    .map(Some)
                    .map_err(|error| ControlError::Answer(error.to_string()));
            }
            match self.response.chunk().await.map_err(unreachable)? {
                Some(chunk) => self.rest.extend_from_slice(&chunk),
                None => return Ok(None),
            }
        }
    }
}
