//! Metrics of the process.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// The process's only recorder.
static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Bounds of histograms of durations, seconds.
const DURATION_BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Renders the metrics of this process. The first call begins recording; several
/// daemons in one process share the metrics.
pub fn metrics() -> PrometheusHandle {
    RECORDER
        .get_or_init(|| {
            let builder = PrometheusBuilder::new();
            let builder = builder
                .set_buckets(&DURATION_BUCKETS)
                .unwrap_or_else(|_| PrometheusBuilder::new());
            let recorder = builder.build_recorder();
            let handle = recorder.handle();
            if metrics::set_global_recorder(recorder).is_err() {
                log::warn!("another recorder of metrics is there: /metrics stays empty");
            }
            handle
        })
        .clone()
}
