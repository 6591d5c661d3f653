//! What the data path costs a daemon: processor time for each statement, memory
//! for each caller's connection.

use super::process_usage::{processor_time, resident_bytes};
use crate::history::ItemId;
use crate::launch::daemon::Daemon;
use crate::launch::{LaunchError, Topology, resources};
use crate::load::connection::Connection;
use crate::load::numbers::RunNumbers;
use crate::load::run::describe;
use crate::load::{Access, statements};
use futures::stream::{self, StreamExt, TryStreamExt};
use serde::Serialize;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Callers that send statements at the same time.
const CALLERS: usize = 16;
/// Connections opened at the same time.
const OPENING: usize = 16;
/// Sizes at which memory is measured.
const CONNECTION_STEPS: [usize; 4] = [0, 500, 1_000, 2_000];
/// Share of a statement's cost above which another daemon counts as its home.
const HOME_SHARE: f64 = 0.05;

/// The kinds of statements measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum StatementKind {
    /// Reads one item of a few rows.
    Read,
    /// Adds a row.
    Write,
}

/// The cost of statements that came in at one daemon.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct StatementCost {
    /// The daemon that the callers asked.
    pub entry: String,
    /// What was sent.
    pub kind: StatementKind,
    /// Whether another daemon was the home.
    pub forwarded: bool,
    /// Statements answered.
    pub statements: usize,
    /// Statements answered each second, by 16 callers one at a time each.
    pub statements_per_second: f64,
    /// Processor time of the entry for each statement, microseconds.
    pub entry_micros: f64,
    /// Processor time of all other daemons for each statement, microseconds.
    pub other_daemons_micros: f64,
}

/// Resident memory of one daemon with so many callers.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct MemoryPoint {
    /// Callers' connections.
    pub connections: usize,
    /// With connections that have asked nothing yet, bytes.
    pub idle_bytes: u64,
    /// With connections that have each run a prepared and a plain read, bytes.
    pub active_bytes: u64,
}

/// Everything measured.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct DataPathFigures {
    /// Number of daemons, of which three are homes of the group.
    pub daemons: usize,
    /// Processor time of a daemon without callers, microseconds each second.
    pub idle_micros_per_second: f64,
    /// Cost of statements by entry and kind.
    pub statements: Vec<StatementCost>,
    /// Memory by number of connections.
    pub memory: Vec<MemoryPoint>,
    /// Least-squares slope of memory over idle connections, bytes each.
    pub bytes_per_idle_connection: f64,
    /// Least-squares slope of memory over active connections, bytes each.
    pub bytes_per_active_connection: f64,
}

/// Measures `statements` of each kind at each daemon, then memory.
pub async fn measure(
    topology: &Topology,
    statements: usize,
) -> Result<DataPathFigures, LaunchError> {
    let access = resources::access(&topology.groups[0].deployment.name);
    let idle_micros_per_second = idle_cost(topology).await?;
    let mut costs = Vec::new();
    for entry in 0..topology.daemons.len() {
        for kind in [StatementKind::Read, StatementKind::Write] {
            let measurement = StatementMeasurement {
                topology,
                access: &access,
                entry,
                kind,
                statements,
                idle_micros_per_second,
            };
            costs.push(measurement.run().await?);
        }
    }
    let [idle, active, ..] = topology.daemons.as_slice() else {
        let reason = "two daemons are needed to measure memory";
        return Err(LaunchError::Settings(reason.to_owned()));
    };
    let memory = measure_memory(idle, active, &access).await?;
    Ok(DataPathFigures {
        daemons: topology.daemons.len(),
        idle_micros_per_second,
        statements: costs,
        bytes_per_idle_connection: slope(&memory, |point| point.idle_bytes),
        bytes_per_active_connection: slope(&memory, |point| point.active_bytes),
        memory,
    })
}

/// Processor time of all daemons.
fn processor_times(topology: &Topology) -> Result<Vec<Duration>, LaunchError> {
    let daemons = topology.daemons.iter();
    daemons
        .map(|daemon| processor_time(daemon.process()))
        .collect()
}

async fn idle_cost(topology: &Topology) -> Result<f64, LaunchError> {
    const WATCHED: Duration = Duration::from_secs(5);
    let before = processor_times(topology)?;
    tokio::time::sleep(WATCHED).await;
    let after = processor_times(topology)?;
    let used: Duration = after.iter().zip(&before).map(|(a, b)| *a - *b).sum();
    let each = used.as_micros() as f64 / topology.daemons.len() as f64;
    Ok(each / WATCHED.as_secs_f64())
}

struct StatementMeasurement<'a> {
    topology: &'a Topology,
    access: &'a Access,
    entry: usize,
    kind: StatementKind,
    statements: usize,
    idle_micros_per_second: f64,
}

impl StatementMeasurement<'_> {
    async fn run(&self) -> Result<StatementCost, LaunchError> {
        let daemon = &self.topology.daemons[self.entry];
        let mut connections = open(daemon, self.access, CALLERS).await?;
        // Warm connections and caches first, outside of the measurement.
        self.send(&mut connections, CALLERS * 10).await?;
        let before = processor_times(self.topology)?;
        let started = Instant::now();
        self.send(&mut connections, self.statements).await?;
        let elapsed = started.elapsed();
        let after = processor_times(self.topology)?;
        let idle = self.idle_micros_per_second * elapsed.as_secs_f64();
        let used: Vec<f64> = after
            .iter()
            .zip(&before)
            .map(|(after, before)| ((*after - *before).as_micros() as f64 - idle).max(0.0))
            .collect();
        let others = used.iter().sum::<f64>() - used[self.entry];
        let count = self.statements as f64;
        Ok(StatementCost {
            entry: daemon.settings.node.to_string(),
            kind: self.kind,
            forwarded: others > HOME_SHARE * used[self.entry],
            statements: self.statements,
            statements_per_second: count / elapsed.as_secs_f64(),
            entry_micros: used[self.entry] / count,
            other_daemons_micros: others / count,
        })
    }

    async fn send(&self, connections: &mut [Connection], total: usize) -> Result<(), LaunchError> {
        let each = total / connections.len();
        let numbers = Arc::new(RunNumbers::default());
        let sending = connections.iter().enumerate().map(|(caller, connection)| {
            let numbers = Arc::clone(&numbers);
            let kind = self.kind;
            async move {
                for _ in 0..each {
                    let text = statement(kind, caller, &numbers);
                    let answer = connection.client.simple_query(&text).await;
                    answer.map_err(|error| LaunchError::Database(describe(&error)))?;
                }
                Ok(())
            }
        });
        futures::future::try_join_all(sending).await.map(drop)
    }
}

fn statement(kind: StatementKind, caller: usize, numbers: &RunNumbers) -> String {
    let item = ItemId(caller as u64);
    match kind {
        StatementKind::Read => statements::select_item(item, numbers.nonce()),
        StatementKind::Write => {
            // Rows go to items that no read asks for: answers stay equally long.
            let unread = ItemId(u64::from(u32::MAX));
            statements::insert(&numbers.row(unread, numbers.write()))
        }
    }
}

async fn open(
    daemon: &Daemon,
    access: &Access,
    count: usize,
) -> Result<Vec<Connection>, LaunchError> {
    let address = daemon.direct_caller_address();
    stream::iter(0..count)
        .map(|_| access.connect(address, None))
        .buffer_unordered(OPENING)
        .try_collect()
        .await
        .map_err(|error: tokio_postgres::Error| LaunchError::Database(describe(&error)))
}

/// Idle and active connections are measured at different daemons, since a process
/// keeps some of the memory of connections that are gone.
async fn measure_memory(
    idle_daemon: &Daemon,
    active_daemon: &Daemon,
    access: &Access,
) -> Result<Vec<MemoryPoint>, LaunchError> {
    let mut points = Vec::new();
    let mut idle = Vec::new();
    for connections in CONNECTION_STEPS {
        let missing = connections - idle.len();
        idle.extend(open(idle_daemon, access, missing).await?);
        let idle_bytes = resident_bytes(idle_daemon.process())?;
        points.push(MemoryPoint {
            connections,
            idle_bytes,
            active_bytes: 0,
        });
    }
    let mut active: Vec<Connection> = Vec::new();
    for point in &mut points {
        let missing = point.connections - active.len();
        let mut added = open(active_daemon, access, missing).await?;
        for connection in &mut added {
            make_active(connection).await?;
        }
        active.extend(added);
        point.active_bytes = resident_bytes(active_daemon.process())?;
    }
    Ok(points)
}

/// Runs a prepared and a plain read on a connection.
async fn make_active(connection: &mut Connection) -> Result<(), LaunchError> {
    let failed = |error: tokio_postgres::Error| LaunchError::Database(describe(&error));
    let statement = connection.select_item().await.map_err(failed)?;
    let client = &connection.client;
    client
        .query(&statement, &[&1i64, &1i64])
        .await
        .map_err(failed)?;
    let text = statements::select_item(ItemId(1), 1);
    client.simple_query(&text).await.map_err(failed)?;
    Ok(())
}

/// Least-squares slope of `bytes` over the number of connections.
fn slope(points: &[MemoryPoint], bytes: fn(&MemoryPoint) -> u64) -> f64 {
    let count = points.len() as f64;
    let x = |point: &MemoryPoint| point.connections as f64;
    let y = |point: &MemoryPoint| bytes(point) as f64;
    let mean_x = points.iter().map(x).sum::<f64>() / count;
    let mean_y = points.iter().map(y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|p| (x(p) - mean_x) * (y(p) - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|p| (x(p) - mean_x).powi(2)).sum();
    covariance / variance
}
