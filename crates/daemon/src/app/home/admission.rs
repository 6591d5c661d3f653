//! Admission of units: how many of one service may be in flight or wait at a home.

use super::settings::HomeSettings;
use crate::domain::names::ServiceName;
use crate::domain::verdict::{FailureKind, RequestFailure};
use crate::ports::configuration::ConfigurationReceiver;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

/// When a caller should come back after its service's queue was full.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The gates of all services at a home.
pub struct Admission {
    configuration: ConfigurationReceiver,
    settings: Arc<HomeSettings>,
    gates: Mutex<HashMap<ServiceName, Arc<ServiceGate>>>,
}

struct ServiceGate {
    limit: u32,
    permits: Arc<Semaphore>,
    waiting: AtomicUsize,
}

/// Lets one unit be in flight for as long as it lives.
pub struct Admitted {
    _permit: OwnedSemaphorePermit,
}

impl Admission {
    /// No unit is in flight yet.
    pub fn new(configuration: ConfigurationReceiver, settings: Arc<HomeSettings>) -> Self {
        Self {
            configuration,
            settings,
            gates: Mutex::new(HashMap::new()),
        }
    }

    /// Waits for the service's turn until `deadline`. Every failure is `NotRun`.
    pub async fn admit(
        &self,
        service: &ServiceName,
        deadline: Instant,
    ) -> Result<Admitted, RequestFailure> {
        let gate = self.gate(service)?;
        let _waiting = gate.join_queue(self.settings.queued_units_per_service)?;
        let permits = gate.permits.clone();
        match timeout_at(deadline, permits.acquire_owned()).await {
            Ok(Ok(permit)) => Ok(Admitted { _permit: permit }),
            _ => Err(overloaded(
                "the service's statements in flight are at their limit",
            )),
        }
    }

    /// The service's gate; a new one after its limit was changed.
    fn gate(&self, service: &ServiceName) -> Result<Arc<ServiceGate>, RequestFailure> {
        let limit = self.limit_of(service)?;
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let gate = gates
            .entry(service.clone())
            .or_insert_with(|| Arc::new(ServiceGate::new(limit)));
        if gate.limit != limit {
            *gate = Arc::new(ServiceGate::new(limit));
        }
        Ok(gate.clone())
    }

    fn limit_of(&self, service: &ServiceName) -> Result<u32, RequestFailure> {
        let configuration = self.configuration.borrow();
        let spec = configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(service));
        let Some(spec) = spec else {
            let message = format!("service {service} is not declared");
            return Err(RequestFailure::not_run(FailureKind::NotPermitted, message));
        };
        Ok(spec.max_in_flight)
    }
}

impl ServiceGate {
    fn new(limit: u32) -> Self {
        Self {
            limit,
            permits: Arc::new(Semaphore::new(limit as usize)),
            waiting: AtomicUsize::new(0),
        }
    }

    fn join_queue(&self, capacity: usize) -> Result<Waiting<'_>, RequestFailure> {
        let waiting = Waiting { gate: self };
        if self.waiting.fetch_add(1, Ordering::SeqCst) >= capacity {
            return Err(overloaded("the service's queue is full"));
        }
        Ok(waiting)
    }
}

/// A unit that waits at a gate.
struct Waiting<'a> {
    gate: &'a ServiceGate,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gate.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

fn overloaded(message: &str) -> RequestFailure {
    RequestFailure::not_run(FailureKind::Overloaded, message)
        .with_retry_after(QUEUE_FULL_RETRY_AFTER)
}
