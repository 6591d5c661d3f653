//! Promotion orders that may still arrive at the promotion service.
//!
//! An order that arrives after one with a higher fencing number is an order of a stale holder, and
//! the promotion service may not check that. So each order has a time by which it has arrived or
//! never does, and the lease isn't released or acquired anew while one is in flight.

use std::sync::Arc;
use stilequay_coordination::lease::FencingNumber;
use tokio::sync::{OwnedRwLockReadGuard, RwLock};
use tokio::time::Instant;

/// Permission to send one order. The order counts as in flight until this is dropped.
#[derive(Debug)]
pub struct OrderPermit {
    /// The fencing number that the order must carry.
    pub fencing: FencingNumber,
    /// The time after which the order must not arrive any more.
    pub deliver_by: Instant,
    _in_flight: OwnedRwLockReadGuard<()>,
}

/// The orders of this process that are in flight.
#[derive(Debug, Default)]
pub struct OrdersInFlight {
    lock: Arc<RwLock<()>>,
}

impl OrdersInFlight {
    /// Permits one order. Returns `None` while [`OrdersInFlight::wait_until_none`] waits.
    pub fn permit(&self, fencing: FencingNumber, deliver_by: Instant) -> Option<OrderPermit> {
        let in_flight = Arc::clone(&self.lock).try_read_owned().ok()?;
        Some(OrderPermit {
            fencing,
            deliver_by,
            _in_flight: in_flight,
        })
    }

    /// Waits until no order is in flight.
    pub async fn wait_until_none(&self) {
        drop(self.lock.write().await);
    }
}
