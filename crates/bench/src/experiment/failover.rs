//! The failover gap: the time without acknowledged writes after a primary is lost.

use crate::history::Row;
use crate::launch::group::{Group, MemberFault};
use crate::launch::wait::until;
use crate::launch::{LaunchError, Topology, resources};
use crate::load::numbers::{OwnItems, RunNumbers};
use crate::load::statements;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use stilequay_daemon::domain::names::SessionName;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Writers that run during a failover.
const WRITERS: usize = 8;
/// Acknowledged writes before the primary is lost, so that all is warm.
const WRITES_BEFORE: usize = 100;

/// How a primary is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum PrimaryLoss {
    /// Its process ends.
    Kill,
    /// It answers nothing any more.
    Freeze,
    /// It is cut off from the other members, and clients still reach it.
    Cut,
}

impl PrimaryLoss {
    /// All ways.
    pub const ALL: [Self; 3] = [Self::Kill, Self::Freeze, Self::Cut];

    fn fault(self) -> MemberFault {
        match self {
            Self::Kill => MemberFault::Kill,
            Self::Freeze => MemberFault::Freeze,
            Self::Cut => MemberFault::Cut,
        }
    }
}

/// One failover.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Failover {
    /// From the loss until the new primary accepted writes: the group's own part.
    pub election_millis: f64,
    /// From the loss until a caller had the first acknowledgement.
    pub gap_millis: f64,
    /// What the proxy added.
    pub above_election_millis: f64,
}

/// Failovers of one kind.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct FailoverFigures {
    /// How the primaries were lost.
    pub loss: PrimaryLoss,
    /// Median of what the proxy added, milliseconds.
    pub median_above_election_millis: f64,
    /// The most that the proxy added, milliseconds.
    pub worst_above_election_millis: f64,
    /// Each failover.
    pub failovers: Vec<Failover>,
}

/// Times of acknowledgements, microseconds since the epoch.
type Acknowledgements = Arc<Mutex<Vec<u64>>>;

/// Loses the primary of the first group `rounds` times.
pub async fn measure(
    topology: &Topology,
    loss: PrimaryLoss,
    rounds: usize,
) -> Result<FailoverFigures, LaunchError> {
    let mut failovers = Vec::new();
    for _ in 0..rounds {
        failovers.push(one_failover(topology, loss).await?);
        topology.heal().await?;
        topology.serves().await?;
    }
    let mut above: Vec<f64> = failovers
        .iter()
        .map(|failover| failover.above_election_millis)
        .collect();
    above.sort_by(f64::total_cmp);
    Ok(FailoverFigures {
        loss,
        median_above_election_millis: above.get(above.len() / 2).copied().unwrap_or(f64::NAN),
        worst_above_election_millis: above.last().copied().unwrap_or(f64::NAN),
        failovers,
    })
}

async fn one_failover(topology: &Topology, loss: PrimaryLoss) -> Result<Failover, LaunchError> {
    let group = &topology.groups[0];
    let acknowledgements = Acknowledgements::default();
    let stop = CancellationToken::new();
    let writers = start_writers(topology, &acknowledgements, &stop);
    let count = || {
        acknowledgements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    };
    until("writes are acknowledged", || async {
        (count() > WRITES_BEFORE).then_some(())
    })
    .await?;
    let primary = group.primary().await?;
    let lost_at = micros_now();
    group.fault(&primary.name, loss.fault()).await?;
    let accepting_at = accepting_after(group, primary.term).await?;
    let first = until("a write is acknowledged by the new primary", || async {
        let times = acknowledgements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        times
            .iter()
            .copied()
            .filter(|time| *time > accepting_at)
            .min()
    })
    .await?;
    stop.cancel();
    writers.join_all().await;
    let millis = |from: u64, to: u64| to.saturating_sub(from) as f64 / 1_000.0;
    Ok(Failover {
        election_millis: millis(lost_at, accepting_at),
        gap_millis: millis(lost_at, first),
        above_election_millis: millis(accepting_at, first),
    })
}

async fn accepting_after(group: &Group, term: u32) -> Result<u64, LaunchError> {
    until("an election is won", || async {
        let elections = group.elections().await.ok()?;
        let later = elections.iter().filter(|election| election.term > term);
        later.filter_map(|election| election.accepting_at_us).min()
    })
    .await
}

fn start_writers(
    topology: &Topology,
    acknowledgements: &Acknowledgements,
    stop: &CancellationToken,
) -> JoinSet<()> {
    let numbers = Arc::new(RunNumbers::default());
    let addresses = topology.caller_addresses();
    let access = resources::access(&topology.groups[0].deployment.name);
    let mut writers = JoinSet::new();
    for number in 0..WRITERS {
        let writer = Writer {
            address: addresses[number % addresses.len()],
            access: access.clone(),
            session: SessionName::new(format!("writer-{number}")),
            items: OwnItems::new(number),
            numbers: Arc::clone(&numbers),
            acknowledgements: Arc::clone(acknowledgements),
        };
        writers.spawn(writer.run(stop.clone()));
    }
    writers
}

struct Writer {
    address: SocketAddr,
    access: crate::load::Access,
    session: SessionName,
    items: OwnItems,
    numbers: Arc<RunNumbers>,
    acknowledgements: Acknowledgements,
}

impl Writer {
    async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let connected = self.access.connect(self.address, Some(&self.session)).await;
            let Ok(connection) = connected else {
                continue;
            };
            while !stop.is_cancelled() && !connection.client.is_closed() {
                let row = self.next_row();
                let statement = statements::insert(&row);
                if connection.client.simple_query(&statement).await.is_ok() {
                    self.note_acknowledgement();
                }
            }
        }
    }

    fn next_row(&mut self) -> Row {
        self.items.add_rows(1);
        self.numbers.row(self.items.current(), self.numbers.write())
    }

    fn note_acknowledgement(&self) {
        let mut times = self
            .acknowledgements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        times.push(micros_now());
    }
}

fn micros_now() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = since_epoch.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX)
}
