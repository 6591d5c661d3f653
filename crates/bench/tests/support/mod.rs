//! What the integration tests share: a topology of real processes behind the
//! fault proxy, and callers that write and read rows.
#![allow(dead_code)] // Each test program uses a part of it.

use std::time::Duration;
use stilequay_bench::checker::{Report, check};
use stilequay_bench::experiment::faults::Mutant;
use stilequay_bench::experiment::final_states::{self, ReplacedRows};
use stilequay_bench::experiment::mixed_load;
use stilequay_bench::history::{
    History, ItemId, Row, RowValue, SessionHistory, WriteId, WriteOutcome,
};
use stilequay_bench::launch::{Deployment, Topology, resources};
use stilequay_bench::load::connection::Connection;
use stilequay_bench::load::run::describe;
use stilequay_bench::load::{LoadSettings, Mix, outcome, run, statements};
use stilequay_daemon::domain::names::SessionName;
use stilequay_daemon::domain::resource::Consistency;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Longest time that a test waits for one answer; generous, for busy machines.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Three daemons and one group, with named sessions that read their own writes.
pub fn deployment() -> Deployment {
    let mut deployment = Deployment::small(3);
    deployment.policy.consistency = Consistency::Session;
    deployment
}

/// Starts `deployment` with the load's table, its daemons leaving out a guarantee
/// if one is given.
pub async fn start(mut deployment: Deployment, mutant: Option<Mutant>) -> Topology {
    if let Some(mutant) = mutant {
        deployment.daemon_settings.extend(mutant.daemon_settings());
    }
    let topology = Topology::start(deployment)
        .await
        .expect("the topology starts");
    mixed_load::prepare_all(&topology)
        .await
        .expect("the table is made");
    topology
}

/// A caller of the first group at daemon number `daemon`.
pub async fn connect(topology: &Topology, daemon: usize, session: &str) -> Connection {
    let access = resources::access(&topology.groups[0].deployment.name);
    let address = topology.daemons[daemon].caller_address();
    let connected = access
        .connect(address, Some(&SessionName::from(session)))
        .await;
    connected.unwrap_or_else(|error| panic!("connecting: {}", describe(&error)))
}

/// Row number `number`, of a write of its own.
pub fn row(number: u64) -> Row {
    Row {
        item: ItemId(1),
        value: RowValue(number),
        write: WriteId(number),
    }
}

/// Writes a row and tells what the caller was told.
pub async fn write(connection: &Connection, row: &Row) -> WriteOutcome {
    let text = statements::insert(row);
    let answer = timeout(ANSWER_TIMEOUT, connection.client.simple_query(&text)).await;
    match answer.expect("an answer in time") {
        Ok(_) => WriteOutcome::Acknowledged,
        Err(error) => outcome::of_error(&error),
    }
}

/// Whether a read of the row's item shows the row.
pub async fn shows(connection: &Connection, row: &Row) -> bool {
    let text = statements::select_item(row.item, 1);
    let answer = timeout(ANSWER_TIMEOUT, connection.client.simple_query(&text)).await;
    let answer = answer.expect("an answer in time");
    let messages = answer.unwrap_or_else(|error| panic!("reading: {}", describe(&error)));
    match statements::read_outcome(&messages, 1) {
        stilequay_bench::history::ReadOutcome::Rows(rows) => rows.contains(row),
        other => panic!("not the answer to this read: {other:?}"),
    }
}

/// Rows of the primary of the first group.
pub async fn rows_at_primary(topology: &Topology) -> Vec<Row> {
    let group = &topology.groups[0];
    let primary = group.primary().await.expect("a primary");
    let rows = final_states::rows_at(group, &primary.name).await;
    rows.expect("the rows of the primary")
}

/// A load of roaming sessions, each with so many operations.
pub fn load(topology: &Topology, sessions: usize, operations: usize, mix: Mix) -> LoadSettings {
    LoadSettings {
        endpoints: topology.caller_addresses(),
        databases: topology.accesses(),
        sessions,
        named: true,
        mix,
        think_time: Duration::ZERO,
        operations: Some(operations),
        seed: 7,
    }
}

/// Runs a load to its end and judges it.
pub async fn run_and_check(topology: &Topology, settings: &LoadSettings) -> Report {
    let result = run(settings, CancellationToken::new()).await;
    judge(topology, result.sessions).await
}

/// Judges what sessions were told by what the groups hold.
pub async fn judge(topology: &Topology, sessions: Vec<SessionHistory>) -> Report {
    let groups = final_states::collect(topology, ReplacedRows::new()).await;
    let history = History {
        sessions,
        groups: groups.expect("the final states"),
    };
    check(&history, mixed_load::promise(topology))
}
