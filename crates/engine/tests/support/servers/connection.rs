//! Connections of processes to the simulated servers.

use super::{ROUND_TRIP, ReadLog, ServerSnapshot, World};
use async_trait::async_trait;
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap};
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use stilequay_engine::directory::{Member, Role};
use stilequay_engine::names::{TenantName, server_name};
use stilequay_engine::ports::{
    Answer, BackEnd, BackEndConnection, BackEndConnectionError, Command, ConnectError, Control,
    MemberReport, Refusal, RefusalKind,
};
use stilequay_engine::position::LogPosition;
use stilequay_engine::statement::TransactionState;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, sleep};

/// Execution time of a statement on a server that isn't slowed down.
const STATEMENT_TIME: Duration = Duration::from_millis(4);
/// Number of trailing log entries recorded for a read: more than a leader can lose.
const READ_TAIL_LEN: usize = 40;

/// Permit for running a statement; `None` if the server has no limit.
type SlotPermit = Option<OwnedSemaphorePermit>;

/// Connects one process to the servers.
#[derive(Debug)]
pub struct WorldBackEnd {
    pub world: Arc<World>,
    pub node: String,
}

#[async_trait]
impl BackEnd for WorldBackEnd {
    async fn connect(
        &self,
        member: &Member,
        tenant: Option<&TenantName>,
    ) -> Result<Box<dyn BackEndConnection>, ConnectError> {
        sleep(ROUND_TRIP).await;
        // Only the server's name matters for reaching it, so a connection to an earlier incarnation
        // reaches the current one.
        let name = server_name(&member.id);
        if !self.world.has_server(name) {
            return Err(ConnectError::WrongMember);
        }
        let server = self.world.snapshot(name);
        if server.unresponsive || !self.world.network.reaches(&self.node, name) {
            pending::<()>().await;
        }
        if !server.running {
            return Err(ConnectError::Refused("connection refused".to_owned()));
        }
        let max_connections = self.world.lock()[name].max_connections;
        let open = self.world.open_connections(name);
        if server.connections_exhausted || max_connections.is_some_and(|most| open >= most) {
            return Err(ConnectError::TooManyConnections);
        }
        if acquire_slot(&self.world, name).await.is_none() {
            return Err(ConnectError::Busy);
        }
        let mut connections = self.world.connections.lock().unwrap();
        *connections.entry(name.to_owned()).or_default() += 1;
        drop(connections);
        Ok(Box::new(WorldConnection {
            world: Arc::clone(&self.world),
            node: self.node.clone(),
            server: name.to_owned(),
            incarnation: server.started_at,
            tenant: tenant.cloned(),
            generation: self.world.generation.load(Ordering::Relaxed),
            transaction: None,
            values: BTreeMap::new(),
            prepared: HashMap::new(),
        }))
    }
}

/// The id of the caller's request, if `command` runs or commits one.
fn statement_id(command: &Command) -> Option<&str> {
    match command {
        Command::Run { id, .. } | Command::Execute { id, .. } | Command::Commit { id } => Some(id),
        _ => None,
    }
}

#[derive(Debug)]
struct WorldTransaction {
    read_only: bool,
    writes: Vec<String>,
}

#[derive(Debug)]
struct WorldConnection {
    world: Arc<World>,
    node: String,
    server: String,
    incarnation: Option<u64>,
    tenant: Option<TenantName>,
    generation: u64,
    transaction: Option<WorldTransaction>,
    values: BTreeMap<Bytes, Bytes>,
    prepared: HashMap<Bytes, Bytes>,
}

impl Drop for WorldConnection {
    fn drop(&mut self) {
        let mut connections = self.world.connections.lock().unwrap();
        if let Some(count) = connections.get_mut(&self.server) {
            *count -= 1;
        }
    }
}

impl WorldConnection {
    /// Returns the server's state for an answer. Never resolves if the server doesn't answer.
    async fn reach(&self) -> Result<ServerSnapshot, BackEndConnectionError> {
        let server = self.world.snapshot(&self.server);
        let is_silent = self.generation != self.world.generation.load(Ordering::Relaxed);
        if is_silent || server.unresponsive || !self.world.network.reaches(&self.node, &self.server)
        {
            pending::<()>().await;
        }
        if !server.running || server.started_at != self.incarnation {
            return Err(BackEndConnectionError::Closed(
                "the server is gone".to_owned(),
            ));
        }
        Ok(server)
    }

    fn answer(&self, rows: Vec<Bytes>, outcome: Result<Bytes, Refusal>) -> Answer {
        let servers = self.world.lock();
        let server = &servers[&self.server];
        let applied = server.applied(Instant::now());
        let term = match applied {
            0 => server.term.min(1),
            count => server.log[count - 1].0,
        };
        Answer {
            rows,
            outcome,
            state: match self.transaction {
                Some(_) => TransactionState::Open,
                None => TransactionState::Idle,
            },
            position: Some(LogPosition::new(term, applied as u64)),
        }
    }

    fn refuse(&self, kind: RefusalKind) -> Answer {
        let refusal = Refusal {
            kind,
            code: Bytes::from(format!("{kind:?}")),
            text: Bytes::new(),
        };
        self.answer(Vec::new(), Err(refusal))
    }

    fn complete(&self, signature: String) -> Answer {
        self.answer(Vec::new(), Ok(signature.into()))
    }

    fn is_behind(&self, after: &Option<LogPosition>) -> bool {
        let servers = self.world.lock();
        let server = &servers[&self.server];
        let applied = server.applied(Instant::now());
        after.is_some_and(|after| {
            let needed = usize::try_from(after.number).unwrap_or(usize::MAX);
            let same_term = needed == 0
                || server
                    .log
                    .get(needed - 1)
                    .is_some_and(|entry| entry.0 == after.term);
            applied < needed || !same_term
        })
    }

    async fn run_text(&mut self, id: &str, text: &[u8]) -> Result<Answer, BackEndConnectionError> {
        let server = self.reach().await?;
        let permit = acquire_slot(&self.world, &self.server).await;
        let Some(permit) = permit.filter(|_| !server.queue_full) else {
            return Ok(self.refuse(RefusalKind::Busy));
        };
        sleep(STATEMENT_TIME * server.slowdown).await;
        drop(permit);
        let server = self.reach().await?;
        self.world.change(&self.server, |s| s.statements += 1);
        self.world.record_tenant(id, self.tenant.clone());
        if text.starts_with(b"READ") {
            let applied = self.record_read(id);
            let values: Vec<String> = self
                .values
                .iter()
                .map(|(name, value)| {
                    format!(
                        " {}={}",
                        String::from_utf8_lossy(name),
                        String::from_utf8_lossy(value)
                    )
                })
                .collect();
            let mut rows = vec![Bytes::from(format!("{} {applied}", self.server))];
            rows.extend(values.into_iter().map(Bytes::from));
            return Ok(self.answer(rows, Ok(Bytes::from(format!("signed-{id}")))));
        }
        if server.role != Role::Primary {
            return Ok(self.refuse(RefusalKind::NotLeader));
        }
        match &mut self.transaction {
            Some(transaction) if transaction.read_only => Ok(self.refuse(RefusalKind::NotLeader)),
            Some(transaction) => {
                transaction.writes.push(id.to_owned());
                Ok(self.complete(format!("signed-{id}")))
            }
            None => self.commit_entries(vec![id.to_owned()], id).await,
        }
    }

    /// Records the log that a read sees; returns its length.
    fn record_read(&self, id: &str) -> usize {
        let servers = self.world.lock();
        let server = &servers[&self.server];
        let applied = server.applied(Instant::now());
        let tail = &server.log[applied.saturating_sub(READ_TAIL_LEN)..applied];
        let tail = tail.iter().map(|entry| entry.1.clone()).collect();
        let mut reads = self.world.reads.lock().unwrap();
        reads.insert(id.to_owned(), ReadLog { applied, tail });
        applied
    }

    /// Appends log entries and waits until a replica has received them.
    async fn commit_entries(
        &mut self,
        ids: Vec<String>,
        id: &str,
    ) -> Result<Answer, BackEndConnectionError> {
        let written = !ids.is_empty();
        self.world.change(&self.server, |server| {
            let term = server.term;
            server.log.extend(ids.into_iter().map(|id| (term, id)));
            server.received_at.resize(server.log.len(), Instant::now());
        });
        while written && self.world.replicate(&self.server) == 0 {
            sleep(Duration::from_millis(5)).await;
            let server = self.reach().await?;
            if server.role != Role::Primary {
                return Err(BackEndConnectionError::Closed(
                    "the server is no longer the leader".to_owned(),
                ));
            }
        }
        let server = self.reach().await?;
        if server.closes_before_answer {
            return Err(BackEndConnectionError::Closed(
                "closed before the answer".to_owned(),
            ));
        }
        if server.loses_answers {
            pending::<()>().await;
        }
        Ok(self.complete(format!("signed-{id}")))
    }
}

#[async_trait]
impl BackEndConnection for WorldConnection {
    async fn run(&mut self, command: &Command) -> Result<Answer, BackEndConnectionError> {
        let answer = self.run_at_server(command).await;
        self.world.freezer.wait_until_resumed(&self.node).await;
        answer
    }

    async fn control(&mut self, control: Control) -> Result<MemberReport, BackEndConnectionError> {
        let report = self.control_server(control).await;
        self.world.freezer.wait_until_resumed(&self.node).await;
        report
    }

    fn is_open(&mut self) -> bool {
        let server = self.world.snapshot(&self.server);
        server.running && server.started_at == self.incarnation
    }
}

impl WorldConnection {
    async fn run_at_server(&mut self, command: &Command) -> Result<Answer, BackEndConnectionError> {
        sleep(ROUND_TRIP).await;
        let server = self.reach().await?;
        let arrived = Some(Instant::now());
        self.world
            .change(&self.server, |s| s.last_command = arrived);
        if let Some(id) = statement_id(command) {
            self.world.record_arrival(id, &self.server);
        }
        match command {
            Command::Begin { read_only, after } => {
                if !read_only && server.role != Role::Primary {
                    return Ok(self.refuse(RefusalKind::NotLeader));
                }
                if self.is_behind(after) {
                    return Ok(self.refuse(RefusalKind::Lagging));
                }
                self.transaction = Some(WorldTransaction {
                    read_only: *read_only,
                    writes: Vec::new(),
                });
                Ok(self.complete(String::new()))
            }
            Command::Commit { id } => {
                let writes = self.transaction.take().map_or(Vec::new(), |t| t.writes);
                if !writes.is_empty() && server.role != Role::Primary {
                    return Ok(self.refuse(RefusalKind::NotLeader));
                }
                self.commit_entries(writes, id).await
            }
            Command::Rollback => {
                self.transaction = None;
                Ok(self.complete(String::new()))
            }
            Command::Run {
                id, text, after, ..
            } => {
                if self.is_behind(after) {
                    return Ok(self.refuse(RefusalKind::Lagging));
                }
                self.run_text(id, text).await
            }
            Command::Execute {
                id,
                name,
                arguments,
                after,
            } => {
                if self.is_behind(after) {
                    return Ok(self.refuse(RefusalKind::Lagging));
                }
                let Some(shape) = self.prepared.get(name).cloned() else {
                    return Ok(self.refuse(RefusalKind::UnknownPrepared));
                };
                let text = [shape.as_ref(), b" ", arguments.as_ref()].concat();
                self.run_text(id, &text).await
            }
            Command::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
                Ok(self.complete(String::new()))
            }
            Command::Prepare { name, prepared } => {
                let keyword = match prepared.access {
                    stilequay_engine::statement::Access::Read => "READ ",
                    stilequay_engine::statement::Access::Write => "WRITE ",
                };
                let shape = [keyword.as_bytes(), prepared.shape.as_ref()].concat();
                self.prepared.insert(name.clone(), shape.into());
                Ok(self.complete(String::new()))
            }
            Command::Reset => {
                self.values.clear();
                self.prepared.clear();
                Ok(self.complete(String::new()))
            }
        }
    }

    async fn control_server(
        &mut self,
        control: Control,
    ) -> Result<MemberReport, BackEndConnectionError> {
        sleep(ROUND_TRIP).await;
        let server = self.reach().await?;
        if server.queue_full {
            return Err(BackEndConnectionError::Refused(
                "the server's queue is full".to_owned(),
            ));
        }
        let refused = || BackEndConnectionError::Refused("the term isn't newer".to_owned());
        match control {
            Control::Status => {}
            Control::Pause(term) if term > server.term => {
                self.world.change(&self.server, |s| s.paused_for = term);
            }
            Control::Pause(_) => return Err(refused()),
            Control::Resume => self.world.change(&self.server, |s| s.paused_for = 0),
            Control::Demote(term) if term > server.term => {
                self.world.change(&self.server, |s| s.step_down());
            }
            Control::Demote(_) => return Err(refused()),
        }
        let server = self.reach().await?;
        Ok(MemberReport {
            role: server.role,
            term: server.term,
            received: server.position,
            paused_for: server.paused_for,
        })
    }
}

/// Waits for a slot at the server `name`; `None` if its queue is full.
async fn acquire_slot(world: &World, name: &str) -> Option<SlotPermit> {
    match world.slots_of(name) {
        Some(slots) => slots.acquire().await.map(Some),
        None => Some(None),
    }
}
