//! The platform's list of machines over HTTP.

use crate::ports::platform::{Machine, MachineList, PlatformError};
use async_trait::async_trait;
use reqwest::StatusCode;
use reqwest::header::{HeaderMap, RETRY_AFTER};
use std::time::Duration;

/// Reads the list with `GET <url>/machines`.
#[derive(Debug, Clone)]
pub struct HttpMachineList {
    client: reqwest::Client,
    url: String,
}

impl HttpMachineList {
    /// The list at `base_url`; a call may take `timeout`.
    ///
    /// # Errors
    /// Fails where the HTTP client can't be set up.
    pub fn new(base_url: &str, timeout: Duration) -> Result<Self, PlatformError> {
        let client = reqwest::Client::builder()
            .timeout(timeout)
            .build()
            .map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        Ok(Self {
            client,
            url: format!("{}/machines", base_url.trim_end_matches('/')),
        })
    }
}

#[async_trait]
impl MachineList for HttpMachineList {
    async fn machines(&self) -> Result<Vec<Machine>, PlatformError> {
        let response = self.client.get(&self.url).send().await.map_err(no_answer)?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                return Err(PlatformError::Throttled(retry_after(response.headers())));
            }
            status => return Err(PlatformError::Unavailable(status.to_string())),
        }
        let body = response.bytes().await.map_err(no_answer)?;
        serde_json::from_slice(&body).map_err(|error| PlatformError::Malformed(error.to_string()))
    }
}

/// Reading changes nothing, so an answer that was lost is no more than unavailability.
fn no_answer(error: reqwest::Error) -> PlatformError {
    PlatformError::Unavailable(error.without_url().to_string())
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
