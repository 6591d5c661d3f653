//! Servers in memory: a replicated log, roles, terms, and the orders about them.

use async_trait::async_trait;
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use stilequay_engine::directory::{Member, MemberState, Role};
use stilequay_engine::ports::{
    Answer, BackEnd, BackEndConnection, Command, ConnectError, Control, LinkError, MemberReport,
    PromoteError, Promoter, PromotionOrder, Refusal, RefusalKind,
};
use stilequay_engine::position::LogPosition;
use stilequay_engine::statement::TransactionState;
use tokio::time::{Instant, sleep};

/// Time from a process to a server and back.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Time that a statement runs.
const WORK: Duration = Duration::from_millis(4);
/// Time from an order to its effect.
const PROMOTION_TIME: Duration = Duration::from_millis(300);
/// Time after which an old leader that can reach the new one gives up.
const YIELD_TIME: Duration = Duration::from_secs(1);

/// One server.
#[derive(Debug, Clone)]
pub struct Server {
    pub role: Role,
    pub term: u64,
    /// The terms of the log's entries, with the ids of the requests that wrote them.
    pub log: Vec<(u64, String)>,
    pub paused_for: u64,
    /// Process is there.
    pub running: bool,
    /// Says nothing to anybody.
    pub dark: bool,
    /// Receives nothing.
    pub deaf: bool,
    /// Refuses every new connection: it has too many.
    pub full: bool,
    /// Answers every statement that its queue is full.
    pub busy: bool,
    /// Runs statements and loses their answers.
    pub loses_answers: bool,
    /// Breaks connections off in place of an answer.
    pub breaks_off: bool,
    pub state: MemberState,
    /// How many times longer statements take.
    pub slowness: u32,
    /// How far behind it applies what it has received.
    pub apply_lag: Duration,
    received_at: Vec<Instant>,
    /// Says that it has paused, and goes on receiving: a planted mistake.
    pub ignores_pause: bool,
    pub statements: u64,
}

impl Server {
    fn position(&self) -> LogPosition {
        let term = self.log.last().map_or(self.term.min(1), |entry| entry.0);
        LogPosition::new(term, self.log.len() as u64)
    }

    /// Entries that reads see.
    pub fn applied(&self, now: Instant) -> usize {
        if self.role == Role::Primary {
            return self.log.len();
        }
        let applied = self
            .received_at
            .partition_point(|at| *at + self.apply_lag <= now);
        applied.min(self.log.len())
    }
}

/// What a connection needs to know of its server.
#[derive(Debug, Clone, Copy)]
struct Glimpse {
    role: Role,
    term: u64,
    paused_for: u64,
    position: LogPosition,
    running: bool,
    dark: bool,
    full: bool,
    busy: bool,
    loses_answers: bool,
    breaks_off: bool,
    slowness: u32,
}

impl Glimpse {
    fn of(server: &Server) -> Self {
        Self {
            role: server.role,
            term: server.term,
            paused_for: server.paused_for,
            position: server.position(),
            running: server.running,
            dark: server.dark,
            full: server.full,
            busy: server.busy,
            loses_answers: server.loses_answers,
            breaks_off: server.breaks_off,
            slowness: server.slowness,
        }
    }
}

/// What a read saw: how many entries, and the last of them.
#[derive(Debug, Clone, Default)]
pub struct ReadLog {
    pub applied: usize,
    pub tail: Vec<String>,
}

/// Entries of a read's log that are remembered: more than a leader can lose.
const TAIL: usize = 40;

/// Which processes reach which servers, and which servers reach one another.
#[derive(Debug, Default)]
pub struct Network {
    cut: Mutex<HashSet<(String, String)>>,
}

impl Network {
    /// Cuts `one` from `other`, both ways.
    pub fn cut(&self, one: &str, other: &str) {
        self.cut.lock().unwrap().insert(pair(one, other));
    }

    pub fn heal(&self) {
        self.cut.lock().unwrap().clear();
    }

    pub fn reaches(&self, one: &str, other: &str) -> bool {
        !self.cut.lock().unwrap().contains(&pair(one, other))
    }
}

fn pair(one: &str, other: &str) -> (String, String) {
    let mut names = [one.to_owned(), other.to_owned()];
    names.sort();
    let [first, second] = names;
    (first, second)
}

/// All servers of the only group.
#[derive(Debug)]
pub struct World {
    servers: Mutex<BTreeMap<String, Server>>,
    pub network: Network,
    promotions: Mutex<Vec<PromotionOrder>>,
    /// What each read's log held, by request.
    reads: Mutex<HashMap<String, ReadLog>>,
    /// Entries that are left out of the directory: a planted mistake.
    pub hidden: Mutex<HashSet<String>>,
}

impl World {
    /// Servers called `names`; the first leads in term 1.
    pub fn new(names: &[&str]) -> Arc<Self> {
        let server = |role| Server {
            role,
            term: 1,
            log: Vec::new(),
            paused_for: 0,
            running: true,
            dark: false,
            deaf: false,
            full: false,
            busy: false,
            loses_answers: false,
            breaks_off: false,
            state: MemberState::Ready,
            slowness: 1,
            apply_lag: Duration::from_millis(8),
            received_at: Vec::new(),
            ignores_pause: false,
            statements: 0,
        };
        let roles = names.iter().enumerate().map(|(index, name)| {
            let role = match index {
                0 => Role::Primary,
                _ => Role::Replica,
            };
            ((*name).to_owned(), server(role))
        });
        Arc::new(Self {
            servers: Mutex::new(roles.collect()),
            network: Network::default(),
            promotions: Mutex::default(),
            reads: Mutex::default(),
            hidden: Mutex::default(),
        })
    }

    pub fn change(&self, name: &str, change: impl FnOnce(&mut Server)) {
        change(self.lock().get_mut(name).expect("a server"));
    }

    pub fn server(&self, name: &str) -> Server {
        self.lock()[name].clone()
    }

    fn glimpse(&self, name: &str) -> Glimpse {
        Glimpse::of(&self.lock()[name])
    }

    /// A crash: connections end, the log stays.
    pub fn crash(&self, name: &str) {
        self.change(name, |server| {
            server.running = false;
            server.paused_for = 0;
        });
    }

    /// Back after a crash: as a replica, if another was promoted meanwhile.
    pub fn restart(&self, name: &str) {
        let newest = self.newest_leader();
        self.change(name, |server| {
            server.running = true;
            server.dark = false;
            if newest.is_some_and(|(leader, term)| leader != name && term > server.term) {
                server.role = Role::Replica;
            }
        });
    }

    fn newest_leader(&self) -> Option<(String, u64)> {
        let servers = self.lock();
        let leaders = servers.iter().filter(|(_, s)| s.role == Role::Primary);
        let newest = leaders.max_by_key(|(_, s)| s.term);
        newest.map(|(name, s)| (name.clone(), s.term))
    }

    /// The leader of the newest term; while nobody leads, whoever has received most.
    pub fn leader(&self) -> String {
        let newest = self.newest_leader().map(|(name, _)| name);
        let servers = self.lock();
        let longest = servers.iter().max_by_key(|(_, s)| s.position());
        newest.unwrap_or_else(|| longest.expect("a server").0.clone())
    }

    pub fn promotions(&self) -> Vec<PromotionOrder> {
        self.promotions.lock().unwrap().clone()
    }

    /// The log on which `request` read.
    pub fn log_read_by(&self, request: &str) -> ReadLog {
        let reads = self.reads.lock().unwrap();
        reads.get(request).cloned().unwrap_or_default()
    }

    /// The servers' entries.
    pub fn entries(&self) -> Vec<Member> {
        let servers = self.lock();
        let hidden = self.hidden.lock().unwrap();
        let listed = servers.iter().filter(|(name, _)| !hidden.contains(*name));
        listed
            .map(|(name, server)| Member {
                id: Arc::from(name.as_str()),
                group: Arc::from(super::GROUP),
                address: address_of(name),
                zone: Arc::from(format!("zone-{name}").as_str()),
                role: server.role,
                slots: 3,
                state: server.state,
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Server>> {
        self.servers.lock().unwrap()
    }

    /// Sends the leader's log to the replicas that receive; returns how many have it all.
    fn replicate(&self, leader: &str) -> usize {
        let now = Instant::now();
        let mut servers = self.lock();
        let term = servers[leader].term;
        let log = std::mem::take(&mut servers.get_mut(leader).expect("a server").log);
        let mut received = 0;
        for (name, replica) in servers.iter_mut() {
            let paused = replica.paused_for > 0 && !replica.ignores_pause;
            let receives = name != leader
                && replica.role == Role::Replica
                && replica.running
                && !replica.dark
                && !replica.deaf
                && !paused
                && replica.term <= term
                && self.network.reaches(leader, name);
            if receives {
                replica.term = term;
                take_log(replica, &log, now);
                received += 1;
            }
        }
        servers.get_mut(leader).expect("a server").log = log;
        received
    }

    /// A promotion ends the pause of every replica that hears of it.
    fn tell_replicas(&self, leader: &str) {
        let mut servers = self.lock();
        let (term, log) = (servers[leader].term, servers[leader].log.clone());
        for (name, server) in servers.iter_mut() {
            let hears = server.running && !server.dark && self.network.reaches(leader, name);
            if hears && server.role == Role::Replica && server.term < term {
                server.term = term;
                server.paused_for = 0;
                take_log(server, &log, Instant::now());
                server.log.truncate(log.len());
                server.received_at.truncate(log.len());
            }
        }
    }

    /// A leader that can reach a newer one gives up after a while.
    fn yield_old_leaders(self: &Arc<Self>, new: &str) {
        let world = Arc::clone(self);
        let new = new.to_owned();
        tokio::spawn(async move {
            for _ in 0..200 {
                sleep(YIELD_TIME).await;
                let mut servers = world.lock();
                let Some(newest) = servers.get(&new).map(|s| (s.term, s.log.clone())) else {
                    return;
                };
                for (name, server) in servers.iter_mut() {
                    let older = server.role == Role::Primary && server.term < newest.0;
                    if older && server.running && world.network.reaches(&new, name) {
                        server.role = Role::Replica;
                        server.term = newest.0;
                        take_log(server, &newest.1, Instant::now());
                    }
                }
            }
        });
    }
}

/// Where the server called `name` listens.
pub fn address_of(name: &str) -> SocketAddr {
    let last = name.bytes().next().unwrap_or(0);
    SocketAddr::from(([10, 0, 0, last], 5000))
}

/// Takes what `log` has, dropping what differs from it.
fn take_log(server: &mut Server, log: &[(u64, String)], now: Instant) {
    let last = server.log.len().checked_sub(1);
    let is_prefix = last.is_none_or(|last| server.log.get(last) == log.get(last));
    let same = match is_prefix {
        true => server.log.len(),
        false => server
            .log
            .iter()
            .zip(log)
            .take_while(|(a, b)| a == b)
            .count(),
    };
    server.log.truncate(same);
    server.received_at.truncate(same);
    server.log.extend_from_slice(&log[same..]);
    server.received_at.resize(log.len(), now);
}

/// Connects one process.
#[derive(Debug)]
pub struct WorldBackEnd {
    pub world: Arc<World>,
    pub node: String,
}

#[async_trait]
impl BackEnd for WorldBackEnd {
    async fn connect(&self, member: &Member) -> Result<Box<dyn BackEndConnection>, ConnectError> {
        sleep(ROUND_TRIP).await;
        let server = self.world.glimpse(&member.id);
        if server.dark || !self.world.network.reaches(&self.node, &member.id) {
            pending::<()>().await;
        }
        if !server.running {
            return Err(ConnectError::Refused("connection refused".to_owned()));
        }
        if server.full {
            return Err(ConnectError::TooManyConnections);
        }
        Ok(Box::new(WorldConnection {
            world: Arc::clone(&self.world),
            node: self.node.clone(),
            server: member.id.to_string(),
            transaction: None,
            values: BTreeMap::new(),
            prepared: HashMap::new(),
        }))
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
    transaction: Option<WorldTransaction>,
    values: BTreeMap<Bytes, Bytes>,
    prepared: HashMap<Bytes, Bytes>,
}

impl WorldConnection {
    /// The server as it answers; never resolves where it says nothing.
    async fn reach(&self) -> Result<Glimpse, LinkError> {
        let server = self.world.glimpse(&self.server);
        if server.dark || !self.world.network.reaches(&self.node, &self.server) {
            pending::<()>().await;
        }
        if !server.running {
            return Err(LinkError::Closed("the server is gone".to_owned()));
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

    fn refuse(&self, kind: RefusalKind, code: &'static str) -> Answer {
        let refusal = Refusal {
            kind,
            code: Bytes::from_static(code.as_bytes()),
            text: Bytes::new(),
        };
        self.answer(Vec::new(), Err(refusal))
    }

    fn complete(&self, signature: String) -> Answer {
        self.answer(Vec::new(), Ok(signature.into()))
    }

    fn lacks(&self, after: &Option<LogPosition>) -> bool {
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

    async fn run_text(&mut self, id: &str, text: &[u8]) -> Result<Answer, LinkError> {
        let server = self.reach().await?;
        if server.busy {
            return Ok(self.refuse(RefusalKind::Busy, "BUSY"));
        }
        sleep(WORK * server.slowness).await;
        let server = self.reach().await?;
        self.world.change(&self.server, |s| s.statements += 1);
        if text.starts_with(b"READ") {
            let applied = self.remember_read(id);
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
            return Ok(self.refuse(RefusalKind::NotLeader, "READONLY"));
        }
        match &mut self.transaction {
            Some(transaction) if transaction.read_only => {
                Ok(self.refuse(RefusalKind::NotLeader, "READONLY"))
            }
            Some(transaction) => {
                transaction.writes.push(id.to_owned());
                Ok(self.complete(format!("signed-{id}")))
            }
            None => self.commit_entries(vec![id.to_owned()], id).await,
        }
    }

    /// Remembers the log that a read sees; returns its length.
    fn remember_read(&self, id: &str) -> usize {
        let servers = self.world.lock();
        let server = &servers[&self.server];
        let applied = server.applied(Instant::now());
        let tail = &server.log[applied.saturating_sub(TAIL)..applied];
        let tail = tail.iter().map(|entry| entry.1.clone()).collect();
        let mut reads = self.world.reads.lock().unwrap();
        reads.insert(id.to_owned(), ReadLog { applied, tail });
        applied
    }

    /// Appends entries and waits until a replica has received them.
    async fn commit_entries(&mut self, ids: Vec<String>, id: &str) -> Result<Answer, LinkError> {
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
                return Err(LinkError::Closed("it leads no more".to_owned()));
            }
        }
        let server = self.reach().await?;
        if server.breaks_off {
            return Err(LinkError::Closed("broken off".to_owned()));
        }
        if server.loses_answers {
            pending::<()>().await;
        }
        Ok(self.complete(format!("signed-{id}")))
    }
}

#[async_trait]
impl BackEndConnection for WorldConnection {
    async fn run(&mut self, command: &Command) -> Result<Answer, LinkError> {
        sleep(ROUND_TRIP).await;
        let server = self.reach().await?;
        match command {
            Command::Begin { read_only, after } => {
                if !read_only && server.role != Role::Primary {
                    return Ok(self.refuse(RefusalKind::NotLeader, "READONLY"));
                }
                if self.lacks(after) {
                    return Ok(self.refuse(RefusalKind::Lagging, "LAGGING"));
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
                    return Ok(self.refuse(RefusalKind::NotLeader, "READONLY"));
                }
                self.commit_entries(writes, id).await
            }
            Command::Rollback => {
                self.transaction = None;
                Ok(self.complete(String::new()))
            }
            Command::Run { id, text, after } => {
                if self.lacks(after) {
                    return Ok(self.refuse(RefusalKind::Lagging, "LAGGING"));
                }
                self.run_text(id, text).await
            }
            Command::Execute {
                id,
                name,
                arguments,
                after,
            } => {
                if self.lacks(after) {
                    return Ok(self.refuse(RefusalKind::Lagging, "LAGGING"));
                }
                let Some(shape) = self.prepared.get(name).cloned() else {
                    return Ok(self.refuse(RefusalKind::UnknownPrepared, "NOSTMT"));
                };
                let text = [shape.as_ref(), b" ", arguments.as_ref()].concat();
                self.run_text(id, &text).await
            }
            Command::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
                Ok(self.complete(String::new()))
            }
            Command::Prepare { name, prepared } => {
                let word = match prepared.access {
                    stilequay_engine::statement::Access::Read => "READ ",
                    stilequay_engine::statement::Access::Write => "WRITE ",
                };
                let shape = [word.as_bytes(), prepared.shape.as_ref()].concat();
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

    async fn control(&mut self, control: Control) -> Result<MemberReport, LinkError> {
        sleep(ROUND_TRIP).await;
        let server = self.reach().await?;
        let refused = || LinkError::Refused("MALFORMED".to_owned());
        match control {
            Control::Status => {}
            Control::Pause(term) if term > server.term => {
                self.world.change(&self.server, |s| s.paused_for = term);
            }
            Control::Pause(_) => return Err(refused()),
            Control::Resume => self.world.change(&self.server, |s| s.paused_for = 0),
            Control::Demote(term) if term > server.term => {
                self.world.change(&self.server, |s| s.role = Role::Replica);
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

    fn is_open(&mut self) -> bool {
        self.world.glimpse(&self.server).running
    }
}

/// Carries promotions out.
#[derive(Debug)]
pub struct WorldPromoter {
    pub world: Arc<World>,
}

#[async_trait]
impl Promoter for WorldPromoter {
    async fn promote(&self, order: &PromotionOrder) -> Result<(), PromoteError> {
        sleep(ROUND_TRIP).await;
        self.world.promotions.lock().unwrap().push(order.clone());
        let target = order.target.to_string();
        let server = self.world.glimpse(&target);
        if !server.running {
            return Err(PromoteError::TargetDown);
        }
        if server.role == Role::Primary {
            return Ok(());
        }
        let world = Arc::clone(&self.world);
        tokio::spawn(async move {
            sleep(PROMOTION_TIME).await;
            if !world.glimpse(&target).running {
                return;
            }
            let newest = world.lock().values().map(|s| s.term).max().unwrap_or(0);
            world.change(&target, |server| {
                server.role = Role::Primary;
                server.term = newest + 1;
                server.paused_for = 0;
            });
            world.tell_replicas(&target);
            world.yield_old_leaders(&target);
        });
        Ok(())
    }
}
