//! Metrics of the caller side.

use crate::domain::statement::StatementAccess;
use std::time::Instant;

/// Measures one request, from its last message to its answer.
pub(super) struct RequestTimer {
    started: Instant,
    access: &'static str,
}

impl RequestTimer {
    pub(super) fn start(access: StatementAccess) -> Self {
        Self {
            started: Instant::now(),
            access: access.name(),
        }
    }

    /// Records the request; `is_ok` says that the caller's connection goes on.
    pub(super) fn finish(self, is_ok: bool) {
        let outcome = if is_ok { "answered" } else { "closed" };
        metrics::counter!(
            "stilequay_front_requests_total", "access" => self.access, "outcome" => outcome
        )
        .increment(1);
        metrics::histogram!("stilequay_front_request_seconds", "access" => self.access)
            .record(self.started.elapsed().as_secs_f64());
    }
}

/// Counts an open caller connection until it is dropped.
pub struct ConnectionGauge(());

impl ConnectionGauge {
    /// Counts one more.
    pub fn enter() -> Self {
        metrics::gauge!("stilequay_front_callers_count").increment(1.0);
        Self(())
    }
}

impl Drop for ConnectionGauge {
    fn drop(&mut self) {
        metrics::gauge!("stilequay_front_callers_count").decrement(1.0);
    }
}

/// Counts a connection that was turned away.
pub fn count_refusal(reason: &'static str) {
    metrics::counter!("stilequay_front_refused_connections_total", "reason" => reason).increment(1);
}
