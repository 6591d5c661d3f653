//! Which homes have failed lately, so that requests ask others first.

use crate::domain::verdict::{FailureKind, RequestFailure};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use stilequay_coordination::identity::NodeId;

/// Homes that could not be reached or were stopping, as this daemon's requests saw it.
///
/// The view of the fleet follows only after its own probes. Until then every
/// request would try a lost home first.
pub(super) struct HomeHealth {
    avoid_for: Duration,
    failures: Mutex<HashMap<NodeId, Instant>>,
}

impl HomeHealth {
    /// Passes over a home for `avoid_for` after each failure.
    pub(super) fn new(avoid_for: Duration) -> Self {
        Self {
            avoid_for,
            failures: Mutex::default(),
        }
    }

    /// `homes` in their order, those that failed lately last.
    pub(super) fn order(&self, mut homes: Vec<NodeId>) -> Vec<NodeId> {
        let failures = self.lock();
        if !failures.is_empty() {
            homes.sort_by_key(|home| failures.get(home).is_some_and(|at| self.is_recent(at)));
        }
        homes
    }

    /// Records that a request failed at `home`.
    pub(super) fn record_failure(&self, home: &NodeId, failure: &RequestFailure) {
        let is_lost = matches!(
            failure.kind,
            FailureKind::HomeUnreachable | FailureKind::ShuttingDown
        );
        if is_lost {
            let mut failures = self.lock();
            failures.retain(|_, at| self.is_recent(at));
            failures.insert(home.clone(), Instant::now());
        }
    }

    /// Records that a request was answered by `home`.
    pub(super) fn record_success(&self, home: &NodeId) {
        let mut failures = self.lock();
        if !failures.is_empty() {
            failures.remove(home);
        }
    }

    fn is_recent(&self, at: &Instant) -> bool {
        at.elapsed() < self.avoid_for
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Instant>> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
