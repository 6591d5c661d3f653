//! The machine list: a JSON array that shows a change only after a lag.

use super::faults::ThrottledLimit;
use super::service::{Call, Service};
use axum::Json;
use axum::http::{Method, StatusCode, request};
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Path of the list.
const PATH: &str = "/machines";

/// One machine on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Machine {
    /// Name of the daemon on it.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Address of the daemon's data-path listener.
    pub peer_address: String,
    /// Address of the daemon's control listener.
    pub control_address: String,
    /// Whether the platform is taking the machine away.
    #[serde(default)]
    pub leaving: bool,
}

/// The list and its changes that are not yet visible.
#[derive(Debug, Default)]
pub struct MachineList {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    visible: Vec<Machine>,
    pending: Vec<Pending>,
}

#[derive(Debug)]
struct Pending {
    visible_at: Instant,
    machines: Vec<Machine>,
}

impl MachineList {
    /// Sets how long changes made from now on stay invisible.
    pub fn set_lag(&self, lag: Duration) {
        self.state().lag = lag;
    }

    /// Replaces the list; readers see it after the lag.
    pub fn replace(&self, machines: Vec<Machine>) {
        let mut state = self.state();
        let visible_at = Instant::now() + state.lag;
        state.pending.push(Pending {
            visible_at,
            machines,
        });
    }

    /// The list as readers see it now.
    pub fn visible(&self) -> Vec<Machine> {
        let mut state = self.state();
        state.show_due(Instant::now());
        state.visible.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn put(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(machines) => {
                self.replace(machines);
                StatusCode::NO_CONTENT.into_response()
            }
            Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
        }
    }
}

impl State {
    /// Shows the changes whose lag is over, in the order in which they were made.
    fn show_due(&mut self, now: Instant) {
        while let Some(first) = self.pending.first()
            && first.visible_at <= now
        {
            self.visible = self.pending.remove(0).machines;
        }
    }
}

impl Service for MachineList {
    fn operation(&self, head: &request::Parts) -> String {
        head.method.to_string()
    }

    fn handle(&self, call: &Call) -> Response {
        if call.head.uri.path() != PATH {
            return StatusCode::NOT_FOUND.into_response();
        }
        match call.head.method {
            Method::GET => Json(self.visible()).into_response(),
            Method::PUT => self.put(&call.body),
            _ => StatusCode::METHOD_NOT_ALLOWED.into_response(),
        }
    }

    fn throttled(&self, _limit: ThrottledLimit) -> Response {
        StatusCode::TOO_MANY_REQUESTS.into_response()
    }

    fn internal_error(&self) -> Response {
        StatusCode::INTERNAL_SERVER_ERROR.into_response()
    }
}
