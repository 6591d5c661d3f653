//! Starts the worker processes of a run and speaks with them.

use super::layout::{DaemonLife, Layout};
use super::message::{Answer, Latencies, Progress, Relay, Request, Truth, Views, WorkerUsage};
use super::platform::ChangeLog;
use futures::future::try_join_all;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::Arc;
use stilequay_coordination::membership::MemberRecord;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

/// A worker process. Ends with its standard input.
struct Worker {
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
    _process: Child,
}

impl Worker {
    fn start() -> io::Result<Self> {
        let mut process = Command::new(std::env::current_exe()?)
            .args(["fleet", "--worker"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let input = process.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let output = process.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        Ok(Self {
            input,
            output: BufReader::new(output).lines(),
            _process: process,
        })
    }

    async fn ask(&mut self, request: &Request) -> io::Result<Answer> {
        let mut text = serde_json::to_string(request).map_err(io::Error::other)?;
        text.push('\n');
        self.input.write_all(text.as_bytes()).await?;
        let line = self.output.next_line().await?;
        let line = line.ok_or_else(|| io::Error::other("a worker process has ended"))?;
        serde_json::from_str(&line).map_err(io::Error::other)
    }
}

/// The fleet of a run.
pub struct Fleet {
    /// How it is spread.
    pub layout: Layout,
    /// The platform's log.
    pub log: Arc<ChangeLog>,
    /// The daemons that are alive.
    pub living: BTreeSet<usize>,
    platform: SocketAddr,
    workers: Vec<Worker>,
    records: BTreeMap<usize, MemberRecord>,
    lives: u64,
}

impl Fleet {
    /// Starts `processes` workers and `daemons` daemons in them.
    pub async fn start(layout: Layout, daemons: usize, processes: usize) -> io::Result<Self> {
        let log = Arc::new(ChangeLog::default());
        let platform = log.serve().await?;
        let workers = (0..processes)
            .map(|_| Worker::start())
            .collect::<io::Result<_>>()?;
        let mut fleet = Self {
            layout,
            log,
            living: BTreeSet::new(),
            platform,
            workers,
            records: BTreeMap::new(),
            lives: 0,
        };
        fleet
            .start_daemons(&(0..daemons).collect::<Vec<_>>())
            .await?;
        Ok(fleet)
    }

    /// Starts daemons, each in a new life, and puts them on the list of machines.
    pub async fn start_daemons(&mut self, numbers: &[usize]) -> io::Result<()> {
        self.lives += 1;
        let incarnation = self.lives;
        let lives = |part: Vec<usize>| Request::Start {
            layout: self.layout,
            platform: self.platform,
            lives: part
                .into_iter()
                .map(|number| DaemonLife {
                    number,
                    incarnation,
                })
                .collect(),
        };
        let requests = self.by_worker(numbers).into_iter().map(lives).collect();
        for answer in self.ask_each(requests).await? {
            if let Answer::Started(records) = answer {
                for (number, record) in numbers_of(records) {
                    self.records.insert(number, record);
                }
            }
        }
        self.living.extend(numbers);
        self.publish_machines().await
    }

    /// The list of machines names all living daemons.
    async fn publish_machines(&mut self) -> io::Result<()> {
        let records = self.living.iter().filter_map(|n| self.records.get(n));
        let request = Request::Machines(records.cloned().collect());
        self.ask_all(&request).await.map(drop)
    }

    /// Kills daemons. The list of machines still names them.
    pub async fn kill(&mut self, numbers: &[usize]) -> io::Result<()> {
        self.end(numbers, Request::Kill).await
    }

    /// Lets daemons leave in good order.
    pub async fn leave(&mut self, numbers: &[usize]) -> io::Result<()> {
        self.end(numbers, Request::Leave).await
    }

    async fn end(&mut self, numbers: &[usize], how: fn(Vec<usize>) -> Request) -> io::Result<()> {
        let requests = self.by_worker(numbers).into_iter().map(how).collect();
        self.ask_each(requests).await?;
        for number in numbers {
            self.living.remove(number);
        }
        Ok(())
    }

    /// Cuts regions from the others.
    pub async fn cut(&mut self, regions: BTreeSet<usize>) -> io::Result<()> {
        self.ask_all(&Request::Cut(regions)).await.map(drop)
    }

    /// What each process has used.
    pub async fn usage(&mut self) -> io::Result<Vec<WorkerUsage>> {
        let answers = self.ask_all(&Request::Usage).await?;
        Ok(answers
            .into_iter()
            .filter_map(|answer| match answer {
                Answer::Usage(usage) => Some(usage),
                _ => None,
            })
            .collect())
    }

    /// How the daemons' views compare with the truth.
    pub async fn views(&mut self) -> io::Result<Views> {
        let truth = Truth {
            living: self.living.clone(),
        };
        let answers = self.ask_all(&Request::Views(truth)).await?;
        let mut sum = Views::default();
        for answer in answers {
            if let Answer::Views(part) = answer {
                sum.add(part);
            }
        }
        Ok(sum)
    }

    /// The latencies since the last call, by process.
    pub async fn latencies(&mut self) -> io::Result<Vec<Latencies>> {
        let answers = self.ask_all(&Request::Latencies).await?;
        Ok(answers
            .into_iter()
            .filter_map(|answer| match answer {
                Answer::Latencies(latencies) => Some(latencies),
                _ => None,
            })
            .collect())
    }

    /// The relays.
    pub async fn relays(&mut self) -> io::Result<Vec<Relay>> {
        let answers = self.ask_all(&Request::Relays).await?;
        Ok(answers
            .into_iter()
            .flat_map(|answer| match answer {
                Answer::Relays(relays) => relays,
                _ => Vec::new(),
            })
            .collect())
    }

    /// How far the daemons have come.
    pub async fn progress(&mut self) -> io::Result<Progress> {
        let answers = self.ask_all(&Request::Progress).await?;
        let mut sum = Progress {
            lowest: u64::MAX,
            in_force_revision: u64::MAX,
            ..Progress::default()
        };
        for answer in answers {
            if let Answer::Progress(part) = answer {
                sum.add(part);
            }
        }
        Ok(sum)
    }

    /// Divides daemons by the process they belong to.
    fn by_worker(&self, numbers: &[usize]) -> Vec<Vec<usize>> {
        let mut parts = vec![Vec::new(); self.workers.len()];
        for number in numbers {
            parts[number % self.workers.len()].push(*number);
        }
        parts
    }

    async fn ask_all(&mut self, request: &Request) -> io::Result<Vec<Answer>> {
        let asked = self.workers.iter_mut().map(|worker| worker.ask(request));
        try_join_all(asked).await
    }

    async fn ask_each(&mut self, requests: Vec<Request>) -> io::Result<Vec<Answer>> {
        let pairs = self.workers.iter_mut().zip(&requests);
        try_join_all(pairs.map(|(worker, request)| worker.ask(request))).await
    }
}

fn numbers_of(records: Vec<MemberRecord>) -> impl Iterator<Item = (usize, MemberRecord)> {
    records.into_iter().filter_map(|record| {
        let number = super::layout::number_of(&record)?;
        Some((number, record))
    })
}
