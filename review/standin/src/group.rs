//! The database servers of one service: wire protocol, replication, crash and return.

use crate::nodes::loopback;
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Statements that a server runs at a time, and how many may wait.
const SLOTS: usize = 3;
const QUEUE: usize = 24;
const MAX_CONNECTIONS: usize = 34;
/// Time that a new connection, a read, a write and a commit occupy a slot.
const CONNECT_TIME: Duration = Duration::from_millis(12);
const WORK_TIME: Duration = Duration::from_millis(4);
/// Time that an entry travels from the primary to a replica.
const NETWORK_TIME: Duration = Duration::from_millis(2);
/// Time until a promoted server leads.
const PROMOTE_TIME: Duration = Duration::from_millis(300);
/// Time after which an old primary that reaches the new one steps down.
const STEP_DOWN_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, PartialEq, Eq)]
pub struct Entry {
    term: u64,
    writes: Vec<String>,
    /// When the primary appended it.
    at: Instant,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    primary: bool,
    term: u64,
    log: Vec<Entry>,
    paused_for: u64,
    running: bool,
    /// It receives nothing from the primary.
    deaf: bool,
    /// When each entry is applied.
    applied_at: Vec<Instant>,
    busy: usize,
    waiting: usize,
    connections: usize,
    open: Vec<TcpStream>,
    life: u64,
    /// When it started, in ms, as its entry tells.
    born: u64,
    /// Since when this old primary has reached a newer one.
    superseded_since: Option<Instant>,
}

impl Server {
    fn end(&self) -> (u64, usize) {
        (
            self.log.last().map_or(1, |entry| entry.term),
            self.log.len(),
        )
    }

    /// Number of entries that reads see.
    fn applied(&self) -> usize {
        if self.primary {
            return self.log.len();
        }
        let now = Instant::now();
        self.applied_at.partition_point(|at| *at <= now)
    }

    fn position(&self) -> String {
        let applied = self.applied();
        let term = match applied {
            0 => 1,
            number => self.log[number - 1].term,
        };
        format!("{term}.{applied}")
    }

    fn has_applied(&self, after: &str) -> bool {
        let (term, number) = after.split_once('.').unwrap_or(("0", "0"));
        let (term, number): (u64, usize) = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
        number == 0 || (self.applied() >= number && self.log[number - 1].term == term)
    }

    /// Receives the first `known` entries of a primary's log.
    fn adopt(&mut self, log: &[Entry], known: usize, now: Instant, lag: &Lag) {
        let log = &log[..known.min(log.len())];
        let same = self.log.iter().zip(log).take_while(|(a, b)| a == b).count();
        self.log.truncate(same);
        self.applied_at.truncate(same);
        for entry in &log[same..] {
            // Entries are applied in order.
            let before = self.applied_at.last().copied().unwrap_or(now);
            self.applied_at.push(before.max(now + lag.draw()));
            self.log.push(entry.clone());
        }
    }
}

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or_default()
}

/// How long after receiving an entry a replica applies it: log-normal, as the site files have it.
#[derive(Debug, Clone, Copy)]
pub struct Lag {
    pub mean_ms: f64,
    pub spread: f64,
    pub max_ms: f64,
}

impl Lag {
    fn draw(&self) -> Duration {
        let (one, two) = (random(), random());
        let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * two).cos();
        let median = self.mean_ms / (self.spread * self.spread / 2.0).exp();
        let ms = median * (self.spread * normal).exp();
        Duration::from_secs_f64(ms.min(self.max_ms) / 1000.0)
    }
}

/// A number above 0 and up to 1.
fn random() -> f64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    if STATE.load(Ordering::Relaxed) == 0 {
        let hash = std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), 0);
        STATE.store(hash | 1, Ordering::Relaxed);
    }
    let mut state = STATE.load(Ordering::Relaxed);
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    STATE.store(state, Ordering::Relaxed);
    ((state >> 11) + 1) as f64 / (1_u64 << 53) as f64
}

/// The servers of one service.
pub struct Group {
    pub service: String,
    servers: Mutex<Vec<Server>>,
    changed: Condvar,
    lives: AtomicU64,
    pub record: Arc<Record>,
    lag: Lag,
    /// Ids of the writes whose acknowledgement a client got.
    pub acknowledged: Mutex<BTreeSet<String>>,
    signatures: AtomicU64,
    stopped: AtomicBool,
}

impl Group {
    /// Starts one server per zone, the first of them as primary.
    pub fn start(
        service: &str,
        number: u8,
        zones: &[&'static str],
        lag: Lag,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let ip = loopback(3 + number, index as u8 + 1);
            let listener = TcpListener::bind((ip, 0))?;
            servers.push(Server {
                id: format!("i-{service}-{index}"),
                address: listener.local_addr()?,
                zone,
                primary: index == 0,
                term: 1,
                log: Vec::new(),
                paused_for: 0,
                running: true,
                deaf: false,
                applied_at: Vec::new(),
                busy: 0,
                waiting: 0,
                connections: 0,
                open: Vec::new(),
                life: 0,
                born: now_ms(),
                superseded_since: None,
            });
            listeners.push(listener);
        }
        let group = Arc::new(Self {
            service: service.to_owned(),
            servers: Mutex::new(servers),
            changed: Condvar::new(),
            lives: AtomicU64::new(1),
            record: Arc::clone(record),
            lag,
            acknowledged: Mutex::default(),
            signatures: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            group.listen(index, listener, 0)?;
        }
        let replicating = Arc::clone(&group);
        thread::spawn(move || {
            while !replicating.stopped.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(1));
                replicating.replicate();
            }
        });
        Ok(group)
    }

    fn listen(
        self: &Arc<Self>,
        index: usize,
        listener: TcpListener,
        life: u64,
    ) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let group = Arc::clone(self);
        thread::spawn(move || {
            loop {
                {
                    let servers = group.servers.lock().unwrap();
                    if !servers[index].running || servers[index].life != life {
                        return;
                    }
                }
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let group = Arc::clone(&group);
                thread::spawn(move || Connection::new(group, index, life).serve(stream));
            }
        });
        Ok(())
    }

    /// Id, address, zone, whether it runs and whether it is primary, for each server.
    pub fn status(&self) -> Vec<(String, SocketAddr, &'static str, bool, bool)> {
        let servers = self.servers.lock().unwrap();
        let status = servers
            .iter()
            .map(|s| (s.id.clone(), s.address, s.zone, s.running, s.primary));
        status.collect()
    }

    pub fn primary(&self) -> Option<usize> {
        let servers = self.servers.lock().unwrap();
        let running = servers
            .iter()
            .enumerate()
            .filter(|(_, s)| s.running && s.primary);
        running.max_by_key(|(_, s)| s.term).map(|(index, _)| index)
    }

    pub fn log_length(&self, index: usize) -> usize {
        self.servers.lock().unwrap()[index].log.len()
    }

    pub fn set_deaf(&self, index: usize, deaf: bool) {
        self.servers.lock().unwrap()[index].deaf = deaf;
    }

    /// The server's process ends: connections break off, new ones are refused; the log stays.
    pub fn crash(&self, index: usize) {
        let mut servers = self.servers.lock().unwrap();
        let server = &mut servers[index];
        server.running = false;
        server.paused_for = 0;
        for stream in server.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        server.connections = 0;
        self.changed.notify_all();
    }

    /// The server starts again under its id; it holds and knows nothing of before.
    pub fn return_empty(self: &Arc<Self>, index: usize) {
        {
            let mut servers = self.servers.lock().unwrap();
            let server = &mut servers[index];
            server.log.clear();
            server.applied_at.clear();
            server.primary = false;
            server.term = 1;
            server.born = now_ms();
        }
        self.return_server(index);
    }

    /// When a server started.
    pub fn born(&self, index: usize) -> u64 {
        self.servers.lock().unwrap()[index].born
    }

    /// The server returns with its log: as primary if no other was promoted.
    pub fn return_server(self: &Arc<Self>, index: usize) {
        let life = self.lives.fetch_add(1, Ordering::SeqCst);
        let (listener, text) = {
            let mut servers = self.servers.lock().unwrap();
            let newest = servers.iter().filter(|s| s.running).map(|s| s.term).max();
            let server = &mut servers[index];
            if server.primary && newest.is_some_and(|term| term > server.term) {
                server.primary = false;
            }
            let listener = TcpListener::bind(server.address).expect("the port is still free");
            server.running = true;
            server.life = life;
            server.paused_for = 0;
            server.busy = 0;
            server.waiting = 0;
            let role = if server.primary { "primary" } else { "replica" };
            (listener, format!("{} returned as {role}", server.id))
        };
        self.record.say(&text);
        self.listen(index, listener, life).expect("listens");
    }

    /// Carries out a promotion order; returns the status of the answer.
    pub fn promote(self: &Arc<Self>, id: &str) -> u16 {
        let servers = self.servers.lock().unwrap();
        let Some(index) = servers.iter().position(|s| s.id == id) else {
            return 404;
        };
        if !servers[index].running {
            return 409;
        }
        let newest = servers.iter().filter(|s| s.running).map(|s| s.term).max();
        if servers[index].primary && Some(servers[index].term) == newest {
            return 200;
        }
        drop(servers);
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(PROMOTE_TIME);
            group.take_lead(index);
        });
        200
    }

    fn take_lead(&self, index: usize) {
        let acknowledged = self.acknowledged.lock().unwrap();
        let mut servers = self.servers.lock().unwrap();
        if !servers[index].running {
            return;
        }
        let newest = servers.iter().map(|s| s.term).max().unwrap_or(0);
        if servers[index].primary && servers[index].term == newest {
            return;
        }
        let target = &mut servers[index];
        target.primary = true;
        target.term = newest + 1;
        target.paused_for = 0;
        target.deaf = false;
        let known: HashSet<String> = target
            .log
            .iter()
            .flat_map(|entry| entry.writes.iter().cloned())
            .collect();
        let missing: Vec<&String> = acknowledged
            .iter()
            .filter(|id| !known.contains(*id))
            .collect();
        let text = format!(
            "{} was promoted and leads term {} with {} entries",
            target.id,
            target.term,
            target.log.len()
        );
        let others: Vec<String> = servers
            .iter()
            .map(|s| {
                format!(
                    "{} has {} entries{}",
                    s.id,
                    s.log.len(),
                    if s.running { "" } else { ", down" }
                )
            })
            .collect();
        self.record.say(&format!("{text} ({})", others.join("; ")));
        if !missing.is_empty() {
            let first: Vec<&str> = missing.iter().take(5).map(|id| id.as_str()).collect();
            let seen = format!(
                "{} acknowledged commits are absent from the log of the promoted {}; the first: {}",
                missing.len(),
                servers[index].id,
                first.join(" ")
            );
            self.record.violation("LOST", &seen);
        }
        self.changed.notify_all();
    }

    /// One step of the replication: each replica receives from the primary of the newest term.
    fn replicate(&self) {
        let mut servers = self.servers.lock().unwrap();
        let now = Instant::now();
        let lead = (0..servers.len())
            .filter(|index| servers[*index].running && servers[*index].primary)
            .max_by_key(|index| servers[*index].term);
        let Some(lead) = lead else { return };
        let (term, log) = (servers[lead].term, servers[lead].log.clone());
        // What was appended a network time ago has arrived by now.
        let known = log.partition_point(|entry| entry.at + NETWORK_TIME <= now);
        for (index, server) in servers.iter_mut().enumerate() {
            if index == lead || !server.running || server.deaf {
                continue;
            }
            if server.primary {
                let since = *server.superseded_since.get_or_insert(now);
                if now >= since + STEP_DOWN_TIME {
                    server.primary = false;
                    server.superseded_since = None;
                }
                continue;
            }
            if server.term < term {
                // It learns of the promotion, which ends its pause.
                server.term = term;
                server.paused_for = 0;
            }
            if server.paused_for == 0 && server.term == term {
                server.adopt(&log, known, now, &self.lag);
            }
        }
        self.changed.notify_all();
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// The writes of the primary with the newest term.
    pub fn final_writes(&self) -> Vec<String> {
        let servers = self.servers.lock().unwrap();
        let lead = servers.iter().filter(|s| s.primary).max_by_key(|s| s.term);
        let entries = lead.into_iter().flat_map(|server| server.log.iter());
        entries
            .flat_map(|entry| entry.writes.iter().cloned())
            .collect()
    }
}

#[derive(Default)]
struct Transaction {
    read_only: bool,
    failed: bool,
    writes: Vec<String>,
}

struct Connection {
    group: Arc<Group>,
    server: usize,
    life: u64,
    transaction: Option<Transaction>,
    prepared: HashMap<String, String>,
}

type Outcome = Result<(Vec<String>, String), &'static str>;

fn empty() -> Outcome {
    Ok((Vec::new(), "-".to_owned()))
}

impl Connection {
    fn new(group: Arc<Group>, server: usize, life: u64) -> Self {
        Self {
            group,
            server,
            life,
            transaction: None,
            prepared: HashMap::new(),
        }
    }

    fn serve(mut self, stream: TcpStream) {
        {
            let mut servers = self.group.servers.lock().unwrap();
            let server = &mut servers[self.server];
            if server.life != self.life || !server.running {
                return;
            }
            server.connections += 1;
            if let Ok(kept) = stream.try_clone() {
                server.open.push(kept);
            }
        }
        // The peer may end the connection at any time.
        let _ = self.answer_lines(stream);
        let mut servers = self.group.servers.lock().unwrap();
        let server = &mut servers[self.server];
        if server.life == self.life && server.running {
            server.connections -= 1;
        }
    }

    fn answer_lines(&mut self, stream: TcpStream) -> std::io::Result<()> {
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        let mut line = String::new();
        while input.read_line(&mut line)? > 0 {
            let text = line.trim_end_matches(['\r', '\n']).to_owned();
            line.clear();
            let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
            let answer = match word {
                "STARTUP" => self.start(rest),
                "QUERY" => {
                    let (id, statement) = rest.split_once(' ').unwrap_or((rest, ""));
                    let outcome = self.run(id, statement);
                    self.encode(id, statement, outcome)
                }
                _ => return Ok(()),
            };
            if !self.is_alive() {
                return Ok(());
            }
            output.write_all(answer.as_bytes())?;
            if answer.starts_with("ERROR TOOMANY") || answer.starts_with("ERROR MISROUTED") {
                return Ok(());
            }
        }
        Ok(())
    }

    fn is_alive(&self) -> bool {
        let servers = self.group.servers.lock().unwrap();
        let server = &servers[self.server];
        server.running && server.life == self.life
    }

    fn start(&self, rest: &str) -> String {
        let mut words = rest.split(' ');
        let service = words.next().unwrap_or_default();
        let expected = words.nth(1);
        let position = {
            let servers = self.group.servers.lock().unwrap();
            let server = &servers[self.server];
            if service != self.group.service || expected.is_some_and(|id| id != server.id) {
                return format!("ERROR MISROUTED {}\r\n", server.id);
            }
            if server.connections > MAX_CONNECTIONS {
                return format!("ERROR TOOMANY {}\r\n", server.id);
            }
            server.position()
        };
        let _ = self.occupy(CONNECT_TIME);
        format!("READY I {position}\r\n")
    }

    fn encode(&mut self, id: &str, statement: &str, outcome: Outcome) -> String {
        let mut text = String::new();
        let told = match outcome {
            Ok((rows, signature)) => {
                rows.iter()
                    .for_each(|row| text.push_str(&format!("ROW {row}\r\n")));
                text.push_str(&format!("COMPLETE {signature}\r\n"));
                "ok".to_owned()
            }
            Err(code) => {
                if let Some(transaction) = &mut self.transaction {
                    transaction.failed = true;
                }
                text.push_str(&format!("ERROR {code} -\r\n"));
                code.to_owned()
            }
        };
        let state = match &self.transaction {
            None => "I",
            Some(transaction) if transaction.failed => "E",
            Some(_) => "T",
        };
        let (server, position) = {
            let servers = self.group.servers.lock().unwrap();
            (
                servers[self.server].id.clone(),
                servers[self.server].position(),
            )
        };
        text.push_str(&format!("READY {state} {position}\r\n"));
        if statement != "STATUS" {
            self.group
                .record
                .line(&format!("server {server} ran {id} {statement}: {told}"));
        }
        text
    }

    fn run(&mut self, id: &str, statement: &str) -> Outcome {
        let (after, text) = match statement.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').unwrap_or((rest, "")),
            None => ("0.0", statement),
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => return self.control(word, rest),
            "SET" => return empty(),
            "DEALLOC" => {
                self.prepared.remove(rest);
                return empty();
            }
            "RESET" => {
                self.prepared.clear();
                return empty();
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                self.prepared.insert(name.to_owned(), shape.to_owned());
                return empty();
            }
            "BEGIN" => return self.begin(rest == "READ", after),
            "ROLLBACK" => {
                self.transaction = None;
                return empty();
            }
            "COMMIT" => return self.commit(id),
            _ => {}
        }
        if self.transaction.as_ref().is_some_and(|known| known.failed) {
            return Err("MALFORMED");
        }
        match word {
            "READ" => self.read(id, after),
            "WRITE" => self.write(id),
            "EXECUTE" => {
                let name = rest.split(' ').next().unwrap_or_default();
                let shape = self.prepared.get(name).ok_or("NOSTMT")?;
                match shape.starts_with("WRITE") {
                    true => self.write(id),
                    false => self.read(id, after),
                }
            }
            _ => Err("MALFORMED"),
        }
    }

    fn control(&mut self, word: &str, rest: &str) -> Outcome {
        let mut servers = self.group.servers.lock().unwrap();
        let server = &mut servers[self.server];
        let term: u64 = rest.parse().unwrap_or(0);
        match word {
            "PAUSE" if term > server.term && !server.primary => server.paused_for = term,
            "RESUME" => server.paused_for = 0,
            "DEMOTE" if term > server.term && server.primary => {
                server.primary = false;
                server.superseded_since = None;
            }
            _ => {}
        }
        let role = if server.primary { "primary" } else { "replica" };
        let (last, number) = server.end();
        let row = format!(
            "{role} {} {last}.{number} {} {} {} {}",
            server.term,
            server.paused_for,
            self.group.lag.mean_ms as u64,
            server.busy,
            server.connections
        );
        Ok((vec![row], "-".to_owned()))
    }

    fn begin(&mut self, read_only: bool, after: &str) -> Outcome {
        let servers = self.group.servers.lock().unwrap();
        let server = &servers[self.server];
        if !read_only && !server.primary {
            return Err("READONLY");
        }
        if !server.has_applied(after) {
            return Err("LAGGING");
        }
        self.transaction = Some(Transaction {
            read_only,
            ..Transaction::default()
        });
        empty()
    }

    fn read(&mut self, id: &str, after: &str) -> Outcome {
        self.occupy(WORK_TIME)?;
        let servers = self.group.servers.lock().unwrap();
        let server = &servers[self.server];
        if self
            .transaction
            .as_ref()
            .is_some_and(|known| !known.read_only)
            && !server.primary
        {
            return Err("READONLY");
        }
        if !server.has_applied(after) {
            return Err("LAGGING");
        }
        let applied = server.applied();
        let (entries, server_id) = (server.log[..applied].to_vec(), server.id.clone());
        drop(servers);
        let seen: HashSet<String> = entries
            .iter()
            .flat_map(|entry| entry.writes.iter().cloned())
            .collect();
        self.group.note_read(id, &server_id, seen);
        Ok((vec![format!("row.{id}")], self.signature(id)))
    }

    fn write(&mut self, id: &str) -> Outcome {
        self.occupy(WORK_TIME)?;
        match &mut self.transaction {
            Some(transaction) if transaction.read_only => return Err("READONLY"),
            Some(transaction) => transaction.writes.push(id.to_owned()),
            None => self.append(vec![id.to_owned()])?,
        }
        Ok((Vec::new(), self.signature(id)))
    }

    fn commit(&mut self, id: &str) -> Outcome {
        let transaction = self.transaction.take().ok_or("MALFORMED")?;
        if transaction.failed {
            return Err("MALFORMED");
        }
        self.occupy(WORK_TIME)?;
        if !transaction.writes.is_empty() {
            self.append(transaction.writes)?;
        }
        Ok((Vec::new(), self.signature(id)))
    }

    /// Appends a commit and waits until one replica has received it.
    fn append(&self, writes: Vec<String>) -> Result<(), &'static str> {
        let mut servers = self.group.servers.lock().unwrap();
        let server = &mut servers[self.server];
        if !server.primary {
            return Err("READONLY");
        }
        let now = Instant::now();
        let entry = Entry {
            term: server.term,
            writes,
            at: now,
        };
        server.log.push(entry.clone());
        server.applied_at.push(now);
        let number = server.log.len();
        loop {
            let server = &servers[self.server];
            if !server.running || server.life != self.life {
                return Err("FAILED");
            }
            if !server.primary {
                // It may be kept or rolled back.
                return Err("TIMEOUT");
            }
            let has = |(index, other): (usize, &Server)| {
                index != self.server && other.log.get(number - 1) == Some(&entry)
            };
            if servers.iter().enumerate().any(has) {
                return Ok(());
            }
            let waited = self
                .group
                .changed
                .wait_timeout(servers, Duration::from_millis(5));
            servers = waited.unwrap().0;
        }
    }

    fn signature(&self, id: &str) -> String {
        let number = self.group.signatures.fetch_add(1, Ordering::SeqCst);
        format!("sig.{id}.{number}")
    }

    /// Occupies a slot for `time`.
    fn occupy(&self, time: Duration) -> Result<(), &'static str> {
        let mut servers = self.group.servers.lock().unwrap();
        if servers[self.server].waiting >= QUEUE {
            return Err("BUSY");
        }
        servers[self.server].waiting += 1;
        while servers[self.server].busy >= SLOTS && servers[self.server].life == self.life {
            let waited = self
                .group
                .changed
                .wait_timeout(servers, Duration::from_millis(5));
            servers = waited.unwrap().0;
        }
        if servers[self.server].life != self.life {
            return Err("FAILED");
        }
        servers[self.server].waiting -= 1;
        servers[self.server].busy += 1;
        drop(servers);
        thread::sleep(time);
        let mut servers = self.group.servers.lock().unwrap();
        if servers[self.server].life == self.life {
            servers[self.server].busy -= 1;
        }
        self.group.changed.notify_all();
        Ok(())
    }
}

/// What each read saw, until its client gets the answer.
pub static READS: Mutex<BTreeMap<String, (String, HashSet<String>)>> = Mutex::new(BTreeMap::new());

impl Group {
    fn note_read(&self, id: &str, server: &str, seen: HashSet<String>) {
        READS
            .lock()
            .unwrap()
            .insert(id.to_owned(), (server.to_owned(), seen));
    }

    /// Notes that a client got the acknowledgement of a write.
    pub fn note_acknowledged(&self, id: &str) {
        self.acknowledged.lock().unwrap().insert(id.to_owned());
    }
}
