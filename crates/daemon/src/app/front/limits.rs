//! Limits on the number of caller connections.

use crate::domain::names::ServiceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Connections that are told why they are refused, beyond the limit, at one time.
const MAX_REFUSALS: usize = 64;

/// Counts caller connections, of all services together and of each.
pub struct ConnectionLimits {
    total: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    services: Arc<Mutex<HashMap<ServiceName, u32>>>,
}

/// A connection's place; it is free again when dropped.
pub struct Admission {
    /// Whether the connection may go on, or only be told that there are too many.
    pub is_admitted: bool,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionLimits {
    /// No connection yet, and `max_connections` at the most.
    pub fn new(max_connections: u32) -> Self {
        Self {
            total: Arc::new(Semaphore::new(max_connections as usize)),
            refusals: Arc::new(Semaphore::new(MAX_REFUSALS)),
            services: Arc::default(),
        }
    }

    /// Decides on a connection that has just been accepted; `None` where it is to
    /// be closed without a word.
    pub fn admit(&self) -> Option<Admission> {
        if let Ok(permit) = Arc::clone(&self.total).try_acquire_owned() {
            return Some(Admission {
                is_admitted: true,
                _permit: permit,
            });
        }
        let permit = Arc::clone(&self.refusals).try_acquire_owned().ok()?;
        Some(Admission {
            is_admitted: false,
            _permit: permit,
        })
    }

    /// Whether `service` has no connection left, before the cost of authenticating.
    pub fn is_full(&self, service: &ServiceName, limit: u32) -> bool {
        lock(&self.services).get(service).copied().unwrap_or(0) >= limit
    }

    /// Counts a connection of `service` until the permit is dropped.
    pub fn enter(&self, service: &ServiceName, limit: u32) -> Option<ServicePermit> {
        let mut services = lock(&self.services);
        let count = services.entry(service.clone()).or_insert(0);
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(ServicePermit {
            service: service.clone(),
            services: Arc::clone(&self.services),
        })
    }
}

/// One connection of a service.
pub struct ServicePermit {
    service: ServiceName,
    services: Arc<Mutex<HashMap<ServiceName, u32>>>,
}

impl Drop for ServicePermit {
    fn drop(&mut self) {
        let mut services = lock(&self.services);
        if let Some(count) = services.get_mut(&self.service) {
            *count -= 1;
            if *count == 0 {
                services.remove(&self.service);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
