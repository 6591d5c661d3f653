//! A worker process: a number of hollow daemons, steered over standard input.

use super::daemon::{HollowDaemon, RegionCut, Surroundings};
use super::layout::{DaemonLife, Layout, seed};
use super::message::{Answer, Count, Progress, Relay, Request, Truth, Views, WorkerUsage};
use super::sink::Arrivals;
use super::usage::{processor_seconds, resident_bytes};
use futures::future::join_all;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use stilequay_coordination::distribution::{CaughtUp, Role};
use stilequay_coordination::membership::{MemberRecord, Seed};
use stilequay_coordination::traffic::MessageKind;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::sync::watch;

/// Idle connections to the platform kept by a process; each relay needs one.
const PLATFORM_CONNECTIONS: usize = 32;

/// The longest that a read of the platform may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves requests until standard input ends.
pub async fn run() -> io::Result<()> {
    let mut worker = Worker::new();
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let mut output = tokio::io::stdout();
    while let Some(line) = lines.next_line().await? {
        let request: Request = serde_json::from_str(&line).map_err(io::Error::other)?;
        let answer = worker.serve(request).await?;
        let mut text = serde_json::to_string(&answer).map_err(io::Error::other)?;
        text.push('\n');
        output.write_all(text.as_bytes()).await?;
        output.flush().await?;
    }
    Ok(())
}

struct Worker {
    daemons: BTreeMap<usize, HollowDaemon>,
    surroundings: Option<Surroundings>,
    machines: watch::Sender<Vec<Seed>>,
    arrivals: Arc<Arrivals>,
    resident_bytes_empty: u64,
    traffic_of_dead: BTreeMap<String, Count>,
    reversions: usize,
}

impl Worker {
    fn new() -> Self {
        Self {
            daemons: BTreeMap::new(),
            surroundings: None,
            machines: watch::channel(Vec::new()).0,
            arrivals: Arrivals::new(),
            resident_bytes_empty: resident_bytes(),
            traffic_of_dead: BTreeMap::new(),
            reversions: 0,
        }
    }

    async fn serve(&mut self, request: Request) -> io::Result<Answer> {
        let answer = match request {
            Request::Start {
                layout,
                lives,
                platform,
            } => Answer::Started(self.start(layout, lives, platform).await?),
            Request::Machines(records) => {
                self.machines
                    .send_replace(records.iter().map(seed).collect());
                Answer::Done
            }
            Request::Kill(numbers) => {
                let killed = self.remove(&numbers);
                join_all(killed.iter().map(HollowDaemon::kill)).await;
                Answer::Done
            }
            Request::Leave(numbers) => {
                let leaving = self.remove(&numbers);
                join_all(leaving.iter().map(HollowDaemon::leave)).await;
                Answer::Done
            }
            Request::Cut(regions) => {
                if let Some(surroundings) = &self.surroundings {
                    surroundings.cut.set(regions);
                }
                Answer::Done
            }
            Request::Usage => Answer::Usage(self.usage()),
            Request::Views(truth) => Answer::Views(self.views(&truth)),
            Request::Latencies => Answer::Latencies(self.arrivals.take()),
            Request::Relays => Answer::Relays(self.relays()),
            Request::Progress => Answer::Progress(self.progress()),
        };
        Ok(answer)
    }

    async fn start(
        &mut self,
        layout: Layout,
        lives: Vec<DaemonLife>,
        platform: SocketAddr,
    ) -> io::Result<Vec<MemberRecord>> {
        let surroundings = match &self.surroundings {
            Some(known) => known.clone(),
            None => self.surround(layout, platform)?,
        };
        let observe = self.daemons.is_empty();
        let mut records = Vec::new();
        for life in lives {
            let daemon = HollowDaemon::start(life, &surroundings).await?;
            if observe && records.is_empty() {
                daemon.observe_in_force(self.arrivals.clone());
            }
            records.push(daemon.record.clone());
            self.daemons.insert(life.number, daemon);
        }
        Ok(records)
    }

    fn surround(&mut self, layout: Layout, platform: SocketAddr) -> io::Result<Surroundings> {
        let client = reqwest::Client::builder()
            .pool_max_idle_per_host(PLATFORM_CONNECTIONS)
            .timeout(PLATFORM_TIMEOUT)
            .build()
            .map_err(io::Error::other)?;
        let surroundings = Surroundings {
            layout,
            cut: RegionCut::new(layout),
            machines: self.machines.subscribe(),
            platform,
            client,
            arrivals: self.arrivals.clone(),
        };
        self.surroundings = Some(surroundings.clone());
        Ok(surroundings)
    }

    fn remove(&mut self, numbers: &[usize]) -> Vec<HollowDaemon> {
        let removed: Vec<_> = numbers
            .iter()
            .filter_map(|number| self.daemons.remove(number))
            .collect();
        for daemon in &removed {
            self.reversions += usize::from(daemon.sink.went_back());
            add_traffic(daemon, &mut self.traffic_of_dead);
        }
        removed
    }

    fn usage(&self) -> WorkerUsage {
        let mut traffic = self.traffic_of_dead.clone();
        for daemon in self.daemons.values() {
            add_traffic(daemon, &mut traffic);
        }
        WorkerUsage {
            daemons: self.daemons.len(),
            processor_seconds: processor_seconds(),
            resident_bytes: resident_bytes(),
            resident_bytes_empty: self.resident_bytes_empty,
            daemon_bytes: self
                .daemons
                .iter()
                .map(|(number, daemon)| (*number, daemon.bytes()))
                .collect(),
            traffic,
        }
    }

    fn views(&self, truth: &Truth) -> Views {
        let mut views = Views::default();
        for daemon in self.daemons.values() {
            daemon.compare(truth, &mut views);
        }
        views
    }

    fn relays(&self) -> Vec<Relay> {
        self.daemons
            .values()
            .filter(|daemon| daemon.distribution.role() != Role::Subscriber)
            .map(|daemon| Relay {
                number: daemon.number,
                first: daemon.distribution.role() == Role::FirstRelay,
            })
            .collect()
    }

    fn progress(&self) -> Progress {
        let mut progress = Progress {
            daemons: self.daemons.len(),
            lowest: u64::MAX,
            in_force_revision: u64::MAX,
            reversions: self.reversions,
            ..Progress::default()
        };
        for daemon in self.daemons.values() {
            let distribution = &daemon.distribution;
            match *distribution.caught_up().borrow() {
                Some(CaughtUp::WithSource) => progress.caught_up_with_source += 1,
                Some(CaughtUp::WithPeers) => progress.caught_up_with_peers += 1,
                None => {}
            }
            let applied = distribution.applied().borrow().0;
            progress.lowest = progress.lowest.min(applied);
            progress.reversions += usize::from(daemon.sink.went_back());
            let in_force = distribution.in_force().borrow().clone();
            if in_force.complete && in_force.starting == 0 {
                progress.in_force_complete += 1;
                let revision = in_force.revision.0;
                progress.in_force_revision = progress.in_force_revision.min(revision);
            }
        }
        progress
    }
}

fn add_traffic(daemon: &HollowDaemon, sums: &mut BTreeMap<String, Count>) {
    for kind in MessageKind::ALL {
        let count = daemon.membership.traffic().count(kind);
        sums.entry(kind.name().to_owned())
            .or_default()
            .add(count.into());
    }
}
