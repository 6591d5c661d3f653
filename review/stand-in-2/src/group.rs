//! Groups of database servers that speak the wire of PROTOCOL.md, with asynchronous replication
//! and one synchronous replica.

use crate::json::quote;
use crate::record::Record;
use crate::store::Platform;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Delay of the network between two servers.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// Time from an order until the named server leads.
const PROMOTE_TIME: Duration = Duration::from_millis(300);
/// Time of one read, write or commit.
const WORK_TIME: Duration = Duration::from_millis(5);
/// Statements that a server runs at a time.
const SLOTS: usize = 3;
/// Statements that wait for a slot; beyond them, the answer is BUSY.
const QUEUE: usize = 24;

/// The writes of one commit: thing and data.
#[derive(Debug, Clone, PartialEq)]
struct Entry {
    term: u64,
    writes: Vec<(String, String)>,
}

#[derive(Debug)]
pub struct Server {
    pub id: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub is_primary: bool,
    pub is_running: bool,
    term: u64,
    log: Vec<Entry>,
    received_at: Vec<Instant>,
    apply_lag: Duration,
    deaf_until: Instant,
    paused_for: u64,
    /// Incremented by a crash: connections of an earlier life are closed.
    life: u64,
    running: usize,
    waiting: usize,
    connections: usize,
}

impl Server {
    fn position(&self, count: usize) -> String {
        let term = match count {
            0 => 1,
            count => self.log[count - 1].term,
        };
        format!("{term}.{count}")
    }

    /// Whether its log has a write with this data.
    pub fn holds(&self, data: &str) -> bool {
        let mut writes = self.log.iter().flat_map(|entry| &entry.writes);
        writes.any(|(_, written)| written == data)
    }

    fn applied(&self) -> usize {
        if self.is_primary {
            return self.log.len();
        }
        let now = Instant::now();
        let lag = self.apply_lag;
        self.received_at.partition_point(|at| *at + lag <= now)
    }
}

/// A read or a commit that a server has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub server: String,
    /// Number of entries of the log that a read saw.
    pub applied: usize,
    /// The index of the entry of a single write, counted from one.
    pub entry: usize,
}

#[derive(Debug)]
pub struct GroupState {
    pub servers: Vec<Server>,
    /// The data of all writes in the log of each server that has taken the lead, as of then.
    pub promoted: Vec<(String, HashSet<String>)>,
    /// What was run, by the id of the request.
    pub runs: HashMap<String, Vec<Run>>,
}

/// Decides whether the answer to a statement at a server is lost: server and statement.
pub type LossHook = Box<dyn Fn(&str, &str) -> bool + Send + Sync>;

pub struct Group {
    pub name: String,
    pub state: Mutex<GroupState>,
    changed: Condvar,
    record: Arc<Record>,
    platform: Arc<Platform>,
    pub loses_answer: Mutex<Option<LossHook>>,
}

/// One session at a server.
#[derive(Default)]
struct Session {
    values: BTreeMap<String, String>,
    prepared: HashMap<String, (String, String)>,
    transaction: Option<Transaction>,
}

struct Transaction {
    read_only: bool,
    term: u64,
    has_failed: bool,
    writes: Vec<(String, String)>,
}

enum Outcome {
    Complete {
        rows: Vec<String>,
        signature: String,
    },
    Error {
        code: &'static str,
        text: String,
    },
}

fn complete() -> Outcome {
    Outcome::Complete {
        rows: Vec::new(),
        signature: "-".to_owned(),
    }
}

fn error(code: &'static str, text: &str) -> Outcome {
    let text = text.to_owned();
    Outcome::Error { code, text }
}

impl Group {
    /// Starts a group with a server in each of `zones`, the one at `primary` leading, and writes
    /// their entries.
    pub fn start(
        name: &str,
        zones: &[&'static str],
        primary: usize,
        record: &Arc<Record>,
        platform: &Arc<Platform>,
    ) -> Arc<Self> {
        let mut listeners = Vec::new();
        let now = Instant::now();
        let servers = zones.iter().enumerate().map(|(index, zone)| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("an address");
            listeners.push(listener);
            Server {
                id: format!("i-{name}{index}"),
                zone,
                address,
                is_primary: index == primary,
                is_running: true,
                term: 1,
                log: Vec::new(),
                received_at: Vec::new(),
                apply_lag: Duration::from_millis(8),
                deaf_until: now,
                paused_for: 0,
                life: 0,
                running: 0,
                waiting: 0,
                connections: 0,
            }
        });
        let servers: Vec<Server> = servers.collect();
        let group = Arc::new(Self {
            name: name.to_owned(),
            state: Mutex::new(GroupState {
                servers,
                promoted: Vec::new(),
                runs: HashMap::new(),
            }),
            changed: Condvar::new(),
            record: Arc::clone(record),
            platform: Arc::clone(platform),
            loses_answer: Mutex::default(),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            group.listen(index, listener);
            group.write_entry(index);
        }
        let replicating = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                replicating.replicate();
                thread::sleep(Duration::from_millis(1));
            }
        });
        group
    }

    pub fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap()
    }

    /// The index of the leader with the newest term.
    pub fn primary(&self) -> usize {
        let state = self.lock();
        let leaders = state.servers.iter().enumerate();
        let leaders = leaders.filter(|(_, server)| server.is_primary);
        leaders
            .max_by_key(|(_, s)| s.term)
            .map_or(0, |(index, _)| index)
    }

    /// Lets a replica receive nothing for a while.
    pub fn deafen(&self, index: usize, time: Duration) {
        self.lock().servers[index].deaf_until = Instant::now() + time;
    }

    /// Crashes a server: it closes all connections and refuses new ones.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let server = &mut state.servers[index];
        server.is_running = false;
        server.life += 1;
        self.record
            .line(&format!("server {}: crashes", state.servers[index].id));
        self.changed.notify_all();
    }

    /// Removes the entry of a server, which goes on serving.
    pub fn unlist(&self, index: usize) {
        let id = self.lock().servers[index].id.clone();
        self.record.line(&format!("server {id}: its entry goes"));
        self.platform.remove("servers", &id);
    }

    /// Starts a crashed server again with its log; it is a replica if another one leads.
    pub fn revive(&self, index: usize) {
        let mut state = self.lock();
        let newest = state.servers.iter().map(|server| server.term).max();
        let server = &mut state.servers[index];
        server.is_running = true;
        server.paused_for = 0;
        if newest.is_some_and(|term| term > server.term) {
            server.is_primary = false;
        }
        self.record
            .line(&format!("server {}: is back", state.servers[index].id));
        drop(state);
        self.write_entry(index);
    }

    /// Carries out a promotion order; returns the status of the answer.
    pub fn promote(self: &Arc<Self>, id: &str) -> u16 {
        let state = self.lock();
        let target = state.servers.iter().position(|server| server.id == id);
        let Some(target) = target.filter(|target| state.servers[*target].is_running) else {
            return 409;
        };
        if state.servers[target].is_primary {
            return 200;
        }
        drop(state);
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(PROMOTE_TIME);
            group.take_lead(target);
        });
        200
    }

    fn take_lead(&self, target: usize) {
        let mut state = self.lock();
        if state.servers[target].is_primary || !state.servers[target].is_running {
            return;
        }
        let newest = state.servers.iter().map(|server| server.term).max();
        let term = newest.unwrap_or(1) + 1;
        for server in &mut state.servers {
            if server.is_running {
                server.is_primary = false;
                server.term = term;
                server.paused_for = 0;
            }
        }
        let leader = &mut state.servers[target];
        leader.is_primary = true;
        let writes = leader.log.iter().flat_map(|entry| &entry.writes);
        let log = writes.map(|(_, data)| data.clone()).collect();
        let promoted = (leader.id.clone(), log);
        let text = format!("server {}: takes the lead of term {term}", leader.id);
        self.record.line(&text);
        state.promoted.push(promoted);
        self.changed.notify_all();
        let count = state.servers.len();
        drop(state);
        (0..count).for_each(|index| self.write_entry(index));
    }

    /// Lets the replicas receive what the leader of the newest term has.
    fn replicate(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let leaders = state.servers.iter().enumerate();
        let leaders = leaders.filter(|(_, server)| server.is_primary && server.is_running);
        let leader = leaders.max_by_key(|(_, server)| server.term);
        let Some((leader, _)) = leader else { return };
        let (term, log) = (
            state.servers[leader].term,
            state.servers[leader].log.clone(),
        );
        let sent = state.servers[leader].received_at.clone();
        let mut has_changed = false;
        for (index, server) in state.servers.iter_mut().enumerate() {
            let receives = server.is_running && server.paused_for == 0 && now >= server.deaf_until;
            if index == leader || !receives || server.term > term {
                continue;
            }
            if server.is_primary {
                server.is_primary = false;
            }
            server.term = term;
            let same = server.log.iter().zip(&log).take_while(|(a, b)| a == b);
            let same = same.count();
            server.log.truncate(same);
            server.received_at.truncate(same);
            for at in same..log.len() {
                if now < sent[at] + NETWORK_DELAY {
                    break;
                }
                server.log.push(log[at].clone());
                server.received_at.push(now);
                has_changed = true;
            }
        }
        if has_changed {
            self.changed.notify_all();
        }
    }

    /// Writes the entry of a server, as the server itself sees its role.
    fn write_entry(&self, index: usize) {
        let state = self.lock();
        let server = &state.servers[index];
        if !server.is_running {
            return;
        }
        let role = match server.is_primary {
            true => "primary",
            false => "replica",
        };
        let entry = format!(
            "{{\"service\":{},\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"db_role\":\"{role}\",\"seq\":1}}",
            quote(&self.name),
            server.address,
            server.zone
        );
        let id = server.id.clone();
        drop(state);
        self.platform.put("servers", &id, &entry);
    }

    fn listen(self: &Arc<Self>, index: usize, listener: TcpListener) {
        let group = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !group.lock().servers[index].is_running {
                    continue;
                }
                let group = Arc::clone(&group);
                thread::spawn(move || {
                    group.lock().servers[index].connections += 1;
                    let _ = group.serve(index, stream);
                    group.lock().servers[index].connections -= 1;
                });
            }
        });
    }

    fn serve(&self, index: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(100)))?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        let life = self.lock().servers[index].life;
        let mut session = Session::default();
        let mut line = String::new();
        let mut is_silent = false;
        loop {
            let read = input.read_line(&mut line);
            if self.lock().servers[index].life != life {
                return Ok(());
            }
            match read {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    continue;
                }
                Err(error) => return Err(error),
            }
            let text = std::mem::take(&mut line);
            let text = text.trim_end_matches(['\r', '\n']);
            if let Some(startup) = text.strip_prefix("STARTUP ") {
                let answer = self.start_session(index, startup);
                output.write_all(answer.as_bytes())?;
                if answer.starts_with("ERROR") {
                    return Ok(());
                }
                continue;
            }
            let Some(query) = text.strip_prefix("QUERY ") else {
                return Ok(());
            };
            let (id, statement) = query.split_once(' ').unwrap_or((query, ""));
            let answer = self.run(index, &mut session, id, statement);
            if self.lock().servers[index].life != life {
                return Ok(());
            }
            let loses = self.loses_answer.lock().unwrap();
            let server = self.lock().servers[index].id.clone();
            let is_lost = loses.as_ref().is_some_and(|hook| hook(&server, statement));
            drop(loses);
            if is_lost {
                self.record.line(&format!(
                    "server {server}: {id} {statement}: the answer is lost"
                ));
                // A connection on which an answer is lost says nothing more.
                is_silent = true;
            }
            if !is_silent {
                output.write_all(answer.as_bytes())?;
            }
        }
    }

    fn start_session(&self, index: usize, startup: &str) -> String {
        let mut words = startup.split(' ');
        let service = words.next().unwrap_or_default();
        let id = words.nth(1);
        thread::sleep(Duration::from_millis(12));
        let state = self.lock();
        let server = &state.servers[index];
        if service != self.name || id.is_some_and(|id| id != server.id) {
            return format!("ERROR MISROUTED {}\r\n", server.id);
        }
        if server.connections > 34 {
            return format!("ERROR TOOMANY {}\r\n", server.id);
        }
        format!("READY I {}\r\n", server.position(server.applied()))
    }

    fn run(&self, index: usize, session: &mut Session, id: &str, statement: &str) -> String {
        let (after, statement) = match statement.strip_prefix("AFTER ") {
            Some(rest) => {
                let (position, statement) = rest.split_once(' ').unwrap_or((rest, ""));
                let number = position.split_once('.').and_then(|(_, n)| n.parse().ok());
                (number.unwrap_or(0), statement)
            }
            None => (0, statement),
        };
        let outcome = self.execute(index, session, id, statement, after);
        let failed = matches!(outcome, Outcome::Error { .. });
        if let Some(transaction) = &mut session.transaction {
            transaction.has_failed |=
                failed && !matches!(&outcome, Outcome::Error { code: "BUSY", .. });
        }
        let mut answer = String::new();
        let text = match outcome {
            Outcome::Complete { rows, signature } => {
                for row in rows {
                    answer.push_str(&format!("ROW {row}\r\n"));
                }
                answer.push_str(&format!("COMPLETE {signature}\r\n"));
                "ok".to_owned()
            }
            Outcome::Error { code, text } => {
                answer.push_str(&format!("ERROR {code} {text}\r\n"));
                code.to_owned()
            }
        };
        let state = match &session.transaction {
            None => "I",
            Some(transaction) if transaction.has_failed => "E",
            Some(_) => "T",
        };
        let group = self.lock();
        let server = &group.servers[index];
        let position = server.position(server.applied());
        answer.push_str(&format!("READY {state} {position}\r\n"));
        if id != "-" {
            self.record.line(&format!(
                "server {}: {id} {statement}: {text}, log applied up to {position}",
                server.id
            ));
        }
        answer
    }

    fn execute(
        &self,
        index: usize,
        session: &mut Session,
        id: &str,
        statement: &str,
        after: usize,
    ) -> Outcome {
        let words: Vec<&str> = statement.splitn(3, ' ').collect();
        let word = |at: usize| words.get(at).copied().unwrap_or_default().to_owned();
        match words[0] {
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => self.control(index, &words),
            "SET" => {
                session.values.insert(word(1), word(2));
                complete()
            }
            "RESET" => {
                session.values.clear();
                session.prepared.clear();
                complete()
            }
            "PREPARE" => {
                let shape = word(2);
                let (access, shape) = shape.split_once(' ').unwrap_or((&shape, ""));
                let prepared = (access.to_owned(), shape.to_owned());
                session.prepared.insert(word(1), prepared);
                complete()
            }
            "DEALLOC" => match session.prepared.remove(&word(1)) {
                Some(_) => complete(),
                None => error("NOSTMT", ""),
            },
            "BEGIN" => self.begin(index, session, word(1) == "READ", after),
            "ROLLBACK" => {
                session.transaction = None;
                complete()
            }
            "COMMIT" => self.commit(index, session, id),
            "READ" => self.read(index, session, id, &word(1), after),
            "WRITE" => self.write(index, session, id, &word(1), &word(2)),
            "EXECUTE" => match session.prepared.get(&word(1)).cloned() {
                None => error("NOSTMT", ""),
                Some((access, _)) if access == "READ" => {
                    self.read(index, session, id, &word(2), after)
                }
                Some(_) => {
                    let arguments = word(2);
                    let (thing, data) = arguments.split_once(' ').unwrap_or((&arguments, ""));
                    self.write(index, session, id, thing, data)
                }
            },
            _ => error("MALFORMED", ""),
        }
    }

    fn control(&self, index: usize, words: &[&str]) -> Outcome {
        let mut state = self.lock();
        let server = &mut state.servers[index];
        let term = words.get(1).and_then(|term| term.parse().ok());
        match (words[0], term) {
            ("PAUSE", Some(term)) if !server.is_primary => server.paused_for = term,
            ("RESUME", _) => server.paused_for = 0,
            ("DEMOTE", Some(term)) if server.term < term => server.is_primary = false,
            _ => {}
        }
        let role = match server.is_primary {
            true => "primary",
            false => "replica",
        };
        let received = server.position(server.log.len());
        let row = format!(
            "{role} {} {received} {} 0 {} {}",
            server.term, server.paused_for, server.running, server.connections
        );
        Outcome::Complete {
            rows: vec![row],
            signature: "-".to_owned(),
        }
    }

    fn begin(&self, index: usize, session: &mut Session, read_only: bool, after: usize) -> Outcome {
        let state = self.lock();
        let server = &state.servers[index];
        if session.transaction.is_some() {
            return error("MALFORMED", "");
        }
        if !read_only && !server.is_primary {
            return error("READONLY", &server.id);
        }
        if server.applied() < after {
            return error("LAGGING", &server.id);
        }
        session.transaction = Some(Transaction {
            read_only,
            term: server.term,
            has_failed: false,
            writes: Vec::new(),
        });
        complete()
    }

    /// Whether the plain transaction of the session has lost its leader, or has failed before.
    fn refusal(&self, index: usize, session: &Session) -> Option<Outcome> {
        let transaction = session.transaction.as_ref()?;
        if transaction.has_failed {
            return Some(error("MALFORMED", ""));
        }
        let state = self.lock();
        let server = &state.servers[index];
        let leads = server.is_primary && server.term == transaction.term;
        (!transaction.read_only && !leads).then(|| error("READONLY", &server.id))
    }

    fn read(
        &self,
        index: usize,
        session: &Session,
        id: &str,
        thing: &str,
        after: usize,
    ) -> Outcome {
        if let Some(refusal) = self.refusal(index, session) {
            return refusal;
        }
        if !self.work(index) {
            return error("BUSY", "");
        }
        let mut state = self.lock();
        let server = &state.servers[index];
        let applied = server.applied();
        if applied < after {
            return error("LAGGING", &server.id);
        }
        let entries = server.log[..applied].iter().rev();
        let mut writes = entries.flat_map(|entry| entry.writes.iter().rev());
        let found = writes.find(|(written, _)| written == thing);
        let row = found.map_or("-".to_owned(), |(_, data)| data.clone());
        let run = Run {
            server: server.id.clone(),
            applied,
            entry: 0,
        };
        let signature = format!("{}.{applied}.{id}", server.id);
        state.runs.entry(id.to_owned()).or_default().push(run);
        Outcome::Complete {
            rows: vec![row],
            signature,
        }
    }

    fn write(
        &self,
        index: usize,
        session: &mut Session,
        id: &str,
        thing: &str,
        data: &str,
    ) -> Outcome {
        if let Some(refusal) = self.refusal(index, session) {
            return refusal;
        }
        if !self.lock().servers[index].is_primary {
            return error("READONLY", &self.lock().servers[index].id.clone());
        }
        if !self.work(index) {
            return error("BUSY", "");
        }
        let write = (thing.to_owned(), data.to_owned());
        if let Some(transaction) = &mut session.transaction {
            transaction.writes.push(write);
            let signature = format!("w.{id}");
            return Outcome::Complete {
                rows: Vec::new(),
                signature,
            };
        }
        self.append(index, id, vec![write])
    }

    fn commit(&self, index: usize, session: &mut Session, id: &str) -> Outcome {
        let refusal = self.refusal(index, session);
        let Some(transaction) = session.transaction.take() else {
            return error("MALFORMED", "");
        };
        if transaction.writes.is_empty() {
            let signature = format!("c.{id}");
            return Outcome::Complete {
                rows: Vec::new(),
                signature,
            };
        }
        if let Some(refusal) = refusal {
            return refusal;
        }
        if !self.work(index) {
            session.transaction = Some(transaction);
            return error("BUSY", "");
        }
        self.append(index, id, transaction.writes)
    }

    /// Appends an entry and waits until a replica has received it.
    fn append(&self, index: usize, id: &str, writes: Vec<(String, String)>) -> Outcome {
        let mut state = self.lock();
        let server = &mut state.servers[index];
        if !server.is_primary {
            let id = server.id.clone();
            return error("READONLY", &id);
        }
        let (term, life) = (server.term, server.life);
        server.log.push(Entry { term, writes });
        server.received_at.push(Instant::now());
        let entry = server.log.len();
        let run = Run {
            server: server.id.clone(),
            applied: entry,
            entry,
        };
        let signature = format!("{}.{entry}.{id}", server.id);
        state.runs.entry(id.to_owned()).or_default().push(run);
        loop {
            let leader = &state.servers[index];
            if leader.life != life {
                return error("FAILED", "");
            }
            let others = state.servers.iter().enumerate();
            let mut others = others.filter(|(at, _)| *at != index);
            let has_copy = others.any(|(_, server)| {
                let copied = server.log.get(entry - 1);
                copied.is_some() && copied == leader.log.get(entry - 1)
            });
            if has_copy {
                return Outcome::Complete {
                    rows: Vec::new(),
                    signature,
                };
            }
            let wait = Duration::from_millis(50);
            (state, _) = self.changed.wait_timeout(state, wait).unwrap();
        }
    }

    /// Runs for the time of one statement in a slot; returns false if too many wait for one.
    fn work(&self, index: usize) -> bool {
        let mut state = self.lock();
        if state.servers[index].waiting >= QUEUE {
            return false;
        }
        state.servers[index].waiting += 1;
        while state.servers[index].running >= SLOTS {
            state = self.changed.wait(state).unwrap();
        }
        state.servers[index].waiting -= 1;
        state.servers[index].running += 1;
        drop(state);
        thread::sleep(WORK_TIME);
        self.lock().servers[index].running -= 1;
        self.changed.notify_all();
        true
    }
}
