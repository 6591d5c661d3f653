//! The platform's table service, reduced to the log of changes: served over HTTP by
//! the coordinator, every read counted, and can be switched off.

use async_trait::async_trait;
use axum::Router;
use axum::body::Bytes;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::get;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use stilequay_coordination::distribution::{Change, ChangeSource, Snapshot, SourceError};
use stilequay_coordination::revision::Revision;
use tokio::net::TcpListener;

/// Bytes of a change besides the time it was accepted: a resource of usual size.
const CHANGE_BYTES: usize = 600;

/// The log of changes.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: Mutex<Vec<Change>>,
    down: AtomicBool,
    reads: AtomicU64,
}

impl ChangeLog {
    /// Serves the log at an address of the loopback interface.
    pub async fn serve(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let router = Router::new()
            .route("/changes", get(read))
            .with_state(self.clone());
        tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, router).await {
                log::error!(error:% = error; "the table service ended");
            }
        });
        Ok(address)
    }

    /// Accepts a change and returns its revision.
    pub fn accept(&self) -> u64 {
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let revision = Revision(changes.len() as u64 + 1);
        let mut body = now_in_microseconds().to_le_bytes().to_vec();
        body.resize(body.len() + CHANGE_BYTES, 0);
        changes.push(Change {
            revision,
            body: body.into(),
        });
        revision.0
    }

    /// The last revision.
    pub fn head(&self) -> u64 {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.len() as u64
    }

    /// Whether all reads are refused.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// How often the log was read, refused reads included.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::SeqCst)
    }

    fn after(&self, query: &ChangesQuery) -> Vec<Change> {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let from = (query.after as usize).min(changes.len());
        changes[from..].iter().take(query.limit).cloned().collect()
    }
}

/// Microseconds since 1970. All processes of a run share the machine's clock.
pub fn now_in_microseconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}

/// When `change` was accepted.
pub fn accepted_at(change: &Change) -> Option<u64> {
    let bytes = change.body.first_chunk::<8>()?;
    Some(u64::from_le_bytes(*bytes))
}

#[derive(Debug, Serialize, Deserialize)]
struct ChangesQuery {
    after: u64,
    limit: usize,
}

async fn read(
    State(log): State<Arc<ChangeLog>>,
    Query(query): Query<ChangesQuery>,
) -> Result<Bytes, StatusCode> {
    log.reads.fetch_add(1, Ordering::SeqCst);
    if log.down.load(Ordering::SeqCst) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    rmp_serde::to_vec(&log.after(&query))
        .map(Bytes::from)
        .map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

/// Reads the log over HTTP.
#[derive(Debug)]
pub struct RemoteLog {
    client: reqwest::Client,
    url: String,
}

impl RemoteLog {
    /// The log served at `address`. Daemons of a process share the client.
    pub fn new(client: reqwest::Client, address: SocketAddr) -> Self {
        Self {
            client,
            url: format!("http://{address}/changes"),
        }
    }

    async fn fetch(&self, query: &ChangesQuery) -> Result<Vec<u8>, reqwest::Error> {
        let url = format!("{}?after={}&limit={}", self.url, query.after, query.limit);
        let response = self.client.get(url).send().await?.error_for_status()?;
        Ok(response.bytes().await?.to_vec())
    }
}

#[async_trait]
impl ChangeSource for RemoteLog {
    async fn changes(&self, after: Revision, limit: usize) -> Result<Vec<Change>, SourceError> {
        let query = ChangesQuery {
            after: after.0,
            limit,
        };
        let unavailable = |reason: String| SourceError::Unavailable(reason);
        let body = self
            .fetch(&query)
            .await
            .map_err(|error| unavailable(error.to_string()))?;
        rmp_serde::from_slice(&body).map_err(|error| unavailable(error.to_string()))
    }

    async fn snapshot(&self) -> Result<Option<Snapshot>, SourceError> {
        Ok(None)
    }
}
