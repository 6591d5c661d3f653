//! What a daemon adds to the latency of a direct connection, measured side by side.

use crate::history::Row;
use crate::launch::links::Link;
use crate::launch::{LaunchError, Topology, resources};
use crate::load::connection::Connection;
use crate::load::latency::{Latencies, LatencySummary};
use crate::load::numbers::{OwnItems, RunNumbers};
use crate::load::run::describe;
use crate::load::statements;
use serde::Serialize;
use std::time::Instant;
use stilequay_daemon::domain::names::SessionName;

/// Session number whose items the measurement writes; far from those of a load.
const ITEMS_OF: usize = 900_000;

/// Latencies of one way to the database.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PathLatencies {
    /// Reads.
    pub reads: LatencySummary,
    /// Writes.
    pub writes: LatencySummary,
}

/// Both ways, measured in turn in the same run.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct AddedLatency {
    /// Straight to the primary, over a link with the callers' delay.
    pub direct: PathLatencies,
    /// Through a daemon.
    pub through_daemon: PathLatencies,
    /// Added to the median read, milliseconds.
    pub added_read_p50_millis: f64,
    /// Added to the median write, milliseconds.
    pub added_write_p50_millis: f64,
}

#[derive(Default)]
struct PathMeter {
    reads: Latencies,
    writes: Latencies,
}

impl PathMeter {
    async fn measure(&mut self, connection: &Connection, row: &Row) -> Result<(), LaunchError> {
        let write = statements::insert(row);
        let read = statements::select_item(row.item, row.value.0);
        self.writes.record(timed(connection, &write).await?);
        self.reads.record(timed(connection, &read).await?);
        Ok(())
    }

    fn summary(&self) -> PathLatencies {
        PathLatencies {
            reads: self.reads.summary(),
            writes: self.writes.summary(),
        }
    }
}

async fn timed(
    connection: &Connection,
    statement: &str,
) -> Result<std::time::Duration, LaunchError> {
    let sent = Instant::now();
    let answered = connection.client.simple_query(statement).await;
    answered.map_err(|error| LaunchError::Database(describe(&error)))?;
    Ok(sent.elapsed())
}

/// Measures `rounds` writes and reads each way, at the first group and daemon.
pub async fn measure(topology: &Topology, rounds: usize) -> Result<AddedLatency, LaunchError> {
    let failed = |error: tokio_postgres::Error| LaunchError::Database(describe(&error));
    let group = &topology.groups[0];
    let link = direct_link(topology).await?;
    let direct = resources::direct_access()
        .connect(link.address(), None)
        .await;
    let direct = direct.map_err(failed)?;
    let session = SessionName::from("added-latency");
    let access = resources::access(&group.deployment.name);
    let daemon = topology.daemons[0].caller_address();
    let proxied = access
        .connect(daemon, Some(&session))
        .await
        .map_err(failed)?;
    let numbers = RunNumbers::default();
    let mut items = OwnItems::new(ITEMS_OF);
    let (mut direct_meter, mut proxied_meter) = (PathMeter::default(), PathMeter::default());
    for _ in 0..rounds {
        for (meter, connection) in [(&mut direct_meter, &direct), (&mut proxied_meter, &proxied)] {
            let row = numbers.row(items.current(), numbers.write());
            items.add_rows(1);
            meter.measure(connection, &row).await?;
        }
    }
    let (direct, through_daemon) = (direct_meter.summary(), proxied_meter.summary());
    Ok(AddedLatency {
        direct,
        through_daemon,
        added_read_p50_millis: through_daemon.reads.p50_millis - direct.reads.p50_millis,
        added_write_p50_millis: through_daemon.writes.p50_millis - direct.writes.p50_millis,
    })
}

/// A link from callers straight to the primary.
async fn direct_link(topology: &Topology) -> Result<Link, LaunchError> {
    let group = &topology.groups[0];
    let primary = group.primary().await?;
    let link = topology
        .proxy
        .add_link(topology.deployment.delays.caller_micros)
        .await?;
    let target = group.member(&primary.name)?.direct_address;
    link.set_target(target).await?;
    Ok(link)
}
