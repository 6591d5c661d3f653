//! Metric definitions. Counters and histograms are recorded at the event; gauges are updated when
//! the metrics are scraped.

use crate::engine::Engine;
use crate::leadership::leader_evacuation;
use tokio::time::Instant;

/// The type of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// A monotonically increasing number.
    Counter,
    /// A current value.
    Gauge,
    /// A distribution of durations in seconds.
    Histogram,
}

/// The definition of a metric.
#[derive(Debug, Clone, Copy)]
pub struct Metric {
    /// Its name.
    pub name: &'static str,
    /// Its type.
    pub kind: MetricKind,
    /// Its description.
    pub help: &'static str,
}

impl Metric {
    /// Defines a counter.
    pub const fn counter(name: &'static str, help: &'static str) -> Self {
        let kind = MetricKind::Counter;
        Self { name, kind, help }
    }

    /// Defines a gauge.
    pub const fn gauge(name: &'static str, help: &'static str) -> Self {
        let kind = MetricKind::Gauge;
        Self { name, kind, help }
    }

    /// Defines a histogram of durations in seconds.
    pub const fn histogram(name: &'static str, help: &'static str) -> Self {
        let kind = MetricKind::Histogram;
        Self { name, kind, help }
    }

    /// Registers the description with the process's metrics recorder.
    pub fn describe(&self) {
        match self.kind {
            MetricKind::Counter => metrics::describe_counter!(self.name, self.help),
            MetricKind::Gauge => metrics::describe_gauge!(self.name, self.help),
            MetricKind::Histogram => metrics::describe_histogram!(self.name, self.help),
        }
    }
}

/// The engine's metrics. Each must be listed in docs/OPERATIONS.md.
pub const METRICS: &[Metric] = &[
    Metric::counter(
        "stilequay_requests_total",
        "Statements, by statement, route (its consistency), outcome and reason.",
    ),
    Metric::counter(
        "stilequay_required_positions_total",
        "Statements that required a log position, by its source (leader, peer or survey) and the bound that required it (staleness or session).",
    ),
    Metric::counter(
        "stilequay_position_surveys_total",
        "Surveys of a group's members for a log position, by result.",
    ),
    Metric::histogram(
        "stilequay_request_seconds",
        "Time that statements took, by statement and route.",
    ),
    Metric::histogram(
        "stilequay_stage_seconds",
        "Time of one stage of a statement: permit (of the tenant's rate), queue (waiting for a connection), slow_start (waiting for a cold member) or member.",
    ),
    Metric::counter(
        "stilequay_placements_total",
        "Statements and transactions that got a connection, by distance: own_zone, own_region or other_region.",
    ),
    Metric::counter(
        "stilequay_pool_connections_opened_total",
        "Connections that were opened to members.",
    ),
    Metric::counter(
        "stilequay_pool_connections_displaced_total",
        "Connections at rest that were closed to make room for another tenant's.",
    ),
    Metric::counter(
        "stilequay_sessions_refused_total",
        "Sessions that were refused when they opened, by reason.",
    ),
    Metric::counter(
        "stilequay_rate_refusals_total",
        "Operations refused for their tenant's rate, by reason and tenant; tenants beyond the first sixteen are counted as other.",
    ),
    Metric::counter(
        "stilequay_rate_late_answers_total",
        "Questions for permits that a counter had not answered after 25 ms.",
    ),
    Metric::counter(
        "stilequay_slow_start_statements_total",
        "Statements that were to be sent to cold members, by outcome.",
    ),
    Metric::gauge(
        "stilequay_cold_members",
        "Members that are cold, or may be, as far as this process knows.",
    ),
    Metric::gauge(
        "stilequay_rate_shards_counted",
        "Shards of the rate limits that this process counts.",
    ),
    Metric::gauge(
        "stilequay_configuration_proof_age_seconds",
        "Time since the configuration in use was last known to be the newest.",
    ),
    Metric::gauge("stilequay_evacuated_zones", "Zones that are evacuated."),
    Metric::gauge(
        "stilequay_evacuation_version",
        "The store's version as of which the evacuated zones are known.",
    ),
    Metric::gauge(
        "stilequay_evacuated_leaders",
        "Groups whose leader stands in an evacuated zone.",
    ),
    Metric::counter(
        "stilequay_evacuation_sent_total",
        "Commands that were sent to members of a zone while it was being evacuated.",
    ),
    Metric::counter(
        "stilequay_evacuation_held_total",
        "Commands that were held back, by reason: evacuated, or unproven where this process could not tell.",
    ),
    Metric::counter(
        "stilequay_home_forwarded_total",
        "Commands that were forwarded to homes.",
    ),
    Metric::counter(
        "stilequay_home_units_total",
        "Statements and transactions that were run here for other processes.",
    ),
    Metric::gauge(
        "stilequay_follows_store",
        "1 while this process follows the store itself, 0 while it learns from another.",
    ),
    Metric::counter(
        "stilequay_link_bytes_total",
        "Bytes sent over links between processes, by kind of frame.",
    ),
    Metric::counter(
        "stilequay_terms_vouched_total",
        "Times that the holder of the lease for promotions vouched for leaders.",
    ),
    Metric::counter(
        "stilequay_member_evidence_total",
        "Times that all members of a group were asked for evidence of their leader's term, by outcome: confirmed or unconfirmed.",
    ),
    Metric::counter(
        "stilequay_peer_answers_total",
        "Answers of other processes that were asked for their beliefs.",
    ),
    Metric::counter(
        "stilequay_peer_queries_total",
        "Queries to other processes while the store or a position was missing, by outcome: answered, unreachable, unanswered or undecodable.",
    ),
    Metric::counter(
        "stilequay_unconfirmed_commits_total",
        "Commits that a leader acknowledged when the evidence for its term had expired here.",
    ),
    Metric::counter(
        "stilequay_undecodable_total",
        "Frames of other processes and records of the store that could not be decoded and were dropped, by what they were meant to be and reason.",
    ),
    Metric::counter(
        "stilequay_follow_questions_total",
        "Questions for what the store holds that were put to other processes, by step and outcome.",
    ),
    Metric::counter(
        "stilequay_events_suppressed_total",
        "Events that were over their budget.",
    ),
    Metric::gauge(
        "stilequay_configuration_version",
        "Version of the configuration in use.",
    ),
    Metric::gauge(
        "stilequay_directory_version",
        "Version of the servers' entries in use.",
    ),
    Metric::gauge(
        "stilequay_processes",
        "Processes of the fleet, as far as is known.",
    ),
    Metric::gauge(
        "stilequay_promotion_lease_held",
        "1 while this process may give promotion orders.",
    ),
    Metric::gauge(
        "stilequay_group_epoch",
        "Epoch of the group's leadership, by group.",
    ),
    Metric::gauge(
        "stilequay_group_leader_usable",
        "1 while a leader may be given writes, by group.",
    ),
    Metric::gauge(
        "stilequay_group_evidence_age_seconds",
        "Age of the newest evidence for the leader's term, by group.",
    ),
    Metric::gauge(
        "stilequay_pool_connections_in_use",
        "Connections in use, by member.",
    ),
    Metric::gauge(
        "stilequay_pool_connections_limit",
        "Connections that may be in use, by member.",
    ),
    Metric::gauge(
        "stilequay_pool_waiting",
        "Statements that wait for a connection, by member.",
    ),
    Metric::gauge(
        "stilequay_pool_latency_seconds",
        "Time in which a member is expected to answer, by member.",
    ),
];

/// Updates all gauges.
pub fn record_gauges(engine: &Engine) {
    let version = engine.configuration().map_or(0, |c| c.version);
    metrics::gauge!("stilequay_configuration_version").set(version as f64);
    let directory = engine.directory();
    metrics::gauge!("stilequay_directory_version").set(directory.version as f64);
    metrics::gauge!("stilequay_processes").set(engine.processes() as f64);
    let shards = engine.counters().counted_shards().count();
    metrics::gauge!("stilequay_rate_shards_counted").set(shards as f64);
    if let Some(at) = engine.following().configuration_complete_as_of() {
        let age = Instant::now().saturating_duration_since(at).as_secs_f64();
        metrics::gauge!("stilequay_configuration_proof_age_seconds").set(age);
    }
    record_evacuations(engine);
    let follows = u8::from(engine.following().is_direct());
    metrics::gauge!("stilequay_follows_store").set(f64::from(follows));
    directory
        .groups()
        .iter()
        .for_each(|name| record_group(engine, name));
    engine.pools().iter().for_each(|pool| {
        let load = pool.load();
        let gauges = PoolGauges {
            in_use: load.in_use,
            limit: pool.limit(),
            waiting: load.waiting,
            latency_s: pool.health().expected_latency_ms(Instant::now()) / 1000.0,
        };
        gauges.record(&pool.member().id);
    });
}

fn record_evacuations(engine: &Engine) {
    let evacuations = engine.evacuations();
    metrics::gauge!("stilequay_evacuated_zones").set(evacuations.zones.len() as f64);
    metrics::gauge!("stilequay_evacuation_version").set(evacuations.version as f64);
    let groups = engine.directory().groups();
    let there = groups
        .iter()
        .filter(|group| leader_evacuation::leader_in_evacuated_zone(engine, group).is_some());
    metrics::gauge!("stilequay_evacuated_leaders").set(there.count() as f64);
}

/// Zeroes the gauges of a member that has left the directory.
pub fn reset_member_gauges(member: &str) {
    PoolGauges::default().record(member);
}

/// The gauges of the pool of one member.
#[derive(Debug, Default)]
struct PoolGauges {
    in_use: usize,
    limit: usize,
    waiting: usize,
    latency_s: f64,
}

impl PoolGauges {
    fn record(&self, member: &str) {
        let set = |name: &'static str, value: f64| {
            metrics::gauge!(name, "member" => member.to_owned()).set(value);
        };
        set("stilequay_pool_connections_in_use", self.in_use as f64);
        set("stilequay_pool_connections_limit", self.limit as f64);
        set("stilequay_pool_waiting", self.waiting as f64);
        set("stilequay_pool_latency_seconds", self.latency_s);
    }
}

fn record_group(engine: &Engine, name: &str) {
    let group = engine.group(&name.into());
    let now = Instant::now();
    let view = group.view();
    let usable = group.writable_leader(now).is_some();
    let label = name.to_owned();
    metrics::gauge!("stilequay_group_epoch", "group" => label.clone()).set(view.epoch as f64);
    metrics::gauge!("stilequay_group_leader_usable", "group" => label.clone())
        .set(f64::from(u8::from(usable)));
    if let Some(at) = group.evidence() {
        let age = now.duration_since(at).as_secs_f64();
        metrics::gauge!("stilequay_group_evidence_age_seconds", "group" => label).set(age);
    }
}
