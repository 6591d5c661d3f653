//! Metrics of the process.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;
use std::time::Duration;
use stilequay_engine::telemetry::Metric;
use tokio_util::sync::CancellationToken;

/// The process's only recorder.
static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Bounds of histograms of durations, seconds.
const DURATION_BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];
/// Interval between summings-up of recorded durations.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// All metrics; each has its page in docs/OPERATIONS.md.
pub const METRICS: &[Metric] = &[
    Metric::gauge(
        "stilequay_control_caught_up",
        "1 once the configuration has been caught up with and the daemon serves.",
    ),
    Metric::gauge(
        "stilequay_control_revision",
        "Last revision of the configuration that this daemon has applied.",
    ),
    Metric::gauge(
        "stilequay_control_in_force_revision",
        "Least revision that any reporting daemon of the fleet has applied.",
    ),
    Metric::gauge(
        "stilequay_control_fleet_daemons",
        "Daemons that the fleet counts, reachable or not.",
    ),
    Metric::counter(
        "stilequay_control_source_errors_total",
        "Reads of the log of changes that failed at this daemon.",
    ),
    Metric::counter(
        "stilequay_control_list_errors_total",
        "Reads of the platform's list of machines that failed.",
    ),
    Metric::counter(
        "stilequay_control_unreadable_changes_total",
        "Changes whose content this daemon could not read.",
    ),
    Metric::counter(
        "stilequay_platform_calls_total",
        "Calls of the platform, by service, call and outcome.",
    ),
    Metric::histogram(
        "stilequay_platform_call_duration_seconds",
        "Time that calls of the platform took, by service and call.",
    ),
    Metric::gauge(
        "stilequay_platform_circuit_open",
        "1 while a service of the platform is not called for its failures, by service.",
    ),
    Metric::counter(
        "stilequay_api_requests_total",
        "Requests of operators, by HTTP status.",
    ),
    Metric::histogram(
        "stilequay_api_request_seconds",
        "Time that requests of operators took.",
    ),
    Metric::counter(
        "stilequay_api_changes_total",
        "Changes that operators asked for, by verb and outcome.",
    ),
    Metric::gauge(
        "stilequay_front_callers_count",
        "Caller connections that are open.",
    ),
    Metric::counter(
        "stilequay_front_refused_connections_total",
        "Caller connections that were turned away, by reason.",
    ),
    Metric::counter(
        "stilequay_front_requests_total",
        "Requests of callers, by access and outcome.",
    ),
    Metric::histogram(
        "stilequay_front_request_seconds",
        "Time that requests of callers took, by access.",
    ),
    Metric::counter(
        "stilequay_front_retries_total",
        "Times that a request was sent to another home.",
    ),
    Metric::counter(
        "stilequay_home_units_total",
        "Units that this home has run, by access and the member's role.",
    ),
    Metric::histogram(
        "stilequay_home_confirmation_seconds",
        "Time from a commit's answer to its confirmation by a majority.",
    ),
    Metric::counter(
        "stilequay_home_connections_opened_total",
        "Connections that this home has opened to back ends.",
    ),
];

/// Renders the metrics of this process. The first call begins recording; several
/// daemons in one process share the metrics.
pub fn metrics() -> PrometheusHandle {
    RECORDER.get_or_init(begin).clone()
}

fn begin() -> PrometheusHandle {
    let builder = PrometheusBuilder::new()
        .set_buckets(&DURATION_BUCKETS)
        .unwrap_or_else(|_| PrometheusBuilder::new());
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::warn!("another recorder of metrics is there: /metrics stays empty");
    }
    METRICS.iter().for_each(Metric::describe);
    handle
}

/// Sums recorded durations up from time to time until `leaving` is cancelled, so
/// that their memory stays bounded although nobody asks for the metrics.
pub async fn keep(leaving: CancellationToken) {
    let handle = metrics();
    loop {
        tokio::select! {
            () = tokio::time::sleep(UPKEEP_INTERVAL) => handle.run_upkeep(),
            () = leaving.cancelled() => return,
        }
    }
}
