//! A small deployment: platform, servers, processes, and what clients share.

use crate::client::{Answer, Session};
use crate::group::{Group, Lag};
use crate::http::Server;
use crate::nodes::{Node, ZONES, loopback};
use crate::record::Record;
use crate::store::Store;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Heartbeats of a server, after three of which its entry goes.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time in which a client's attempt ends.
pub const DEADLINE: Duration = Duration::from_millis(1_000);

/// Words of the logged events that the record gets a copy of.
const LOGGED: [&str; 5] = [
    "\"promotion",
    "\"leader_changed",
    "\"leader_suspected",
    "\"configuration_taken",
    "\"lifecycle",
];

pub type Failure = Box<dyn std::error::Error>;

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub promotion: Arc<Server>,
    pub groups: Vec<Arc<Group>>,
    pub nodes: Vec<Node>,
    directory: PathBuf,
    stopped: Arc<AtomicBool>,
    numbers: AtomicU64,
}

pub struct Plan<'a> {
    pub program: &'a Path,
    pub services: &'a [&'a str],
    pub nodes: usize,
    pub lag: Lag,
    /// Whether the entries of servers tell when they started.
    pub tells_born: bool,
}

impl World {
    pub fn start(plan: &Plan<'_>, record: Arc<Record>) -> Result<Self, Failure> {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let (store, store_server) = Store::start(SocketAddr::new(loopback(2, 1), 0))?;
        let mut groups = Vec::new();
        for (number, service) in plan.services.iter().enumerate() {
            let group = Group::start(service, number as u8, &ZONES, plan.lag, &record)?;
            groups.push(group);
        }
        let ordered = groups.clone();
        let order_record = Arc::clone(&record);
        let newest = Mutex::new(0_u64);
        let handler = move |request: crate::http::Request| {
            let body = crate::json::parse(&request.body)?;
            let (service, id) = (body.get("service").text(), body.get("id").text());
            let token: u64 = request.header("X-Fencing-Token").parse().unwrap_or(0);
            let group = ordered.iter().find(|group| group.service == service)?;
            let status = group.promote(id);
            order_record.say(&format!(
                "promotion of {id} ordered by {} with token {token}: {status}",
                request.header("X-Duty-Holder")
            ));
            let mut newest = newest.lock().unwrap();
            if token < *newest {
                let seen = format!("token {token} came after {newest}");
                order_record.violation("ONE", &seen);
            }
            *newest = token.max(*newest);
            Some((status, "{}".to_owned()))
        };
        let promotion = Server::start(SocketAddr::new(loopback(2, 2), 0), Arc::new(handler))?;
        let mut nodes = Vec::new();
        for number in 0..plan.nodes {
            let (store, promotion) = (store_server.address, promotion.address);
            let node = Node::prepare(plan.program, &directory, number, store, promotion, "")?;
            nodes.push(node);
        }
        let world = Self {
            record,
            store,
            promotion,
            groups,
            nodes,
            directory,
            stopped: Arc::default(),
            numbers: AtomicU64::new(1),
        };
        world.keep_entries(plan.tells_born);
        Ok(world)
    }

    /// Starts the processes and waits until each of them serves a write of `database`.
    pub fn start_nodes(&self, database: &str) -> Result<(), Failure> {
        for node in &self.nodes {
            let id = node.start()?;
            self.record
                .line(&format!("started process {id} {}", node.name));
        }
        let until = Instant::now() + Duration::from_secs(20);
        for node in &self.nodes {
            while !self.probe(node, database) {
                if Instant::now() > until {
                    return Err(format!("{} serves no write", node.name).into());
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.say("every process serves writes");
        Ok(())
    }

    fn probe(&self, node: &Node, database: &str) -> bool {
        let Some(mut session) = Session::open(node.front, database, DEADLINE) else {
            return false;
        };
        let id = self.id("probe");
        let answer = session.ask(&id, &format!("WRITE 1a4 {id}"));
        session.end();
        matches!(answer, Answer::Complete { .. })
    }

    /// The process that says in its figures that it holds the promotion lease.
    pub fn holder(&self) -> Option<usize> {
        let holds = |node: &Node| node.figure("stilequay_promotion_lease_held") == Some(1.0);
        self.nodes.iter().position(holds)
    }

    /// A new id for a statement.
    pub fn id(&self, word: &str) -> String {
        format!("{word}{:06}", self.numbers.fetch_add(1, Ordering::SeqCst))
    }

    /// Each server writes its entry when it changes; it goes after three heartbeats of silence.
    fn keep_entries(&self, tells_born: bool) {
        let (store, groups) = (Arc::clone(&self.store), self.groups.clone());
        let stopped = Arc::clone(&self.stopped);
        thread::spawn(move || {
            let mut written: HashMap<String, String> = HashMap::new();
            let mut down: HashMap<String, Instant> = HashMap::new();
            while !stopped.load(Ordering::SeqCst) {
                for group in &groups {
                    let status = group.status().into_iter().enumerate();
                    for (index, (id, address, zone, running, primary)) in status {
                        if !running {
                            let since = *down.entry(id.clone()).or_insert_with(Instant::now);
                            if since.elapsed() > HEARTBEAT * 3 && written.remove(&id).is_some() {
                                store.remove("servers", &id);
                            }
                            continue;
                        }
                        down.remove(&id);
                        let role = if primary { "primary" } else { "replica" };
                        let born = match tells_born {
                            true => format!(",\"born\":{}", group.born(index)),
                            false => String::new(),
                        };
                        let entry = format!(
                            "{{\"service\":\"{}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\
                             \"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\
                             \"cold_left_ms\":0,\"seq\":1,\"db_role\":\"{role}\"{born}}}",
                            group.service
                        );
                        if written.get(&id) != Some(&entry) {
                            store.put("servers", &id, &entry);
                            written.insert(id, entry);
                        }
                    }
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
    }

    /// Copies what the processes logged of changes of the leader into the record.
    fn record_logs(&self) {
        for node in &self.nodes {
            for line in node.log_text().lines() {
                if LOGGED.iter().any(|word| line.contains(word)) {
                    self.record.line(&format!("log of {}: {line}", node.name));
                }
            }
        }
    }

    /// Ends the processes and removes the temporary folder.
    pub fn end(&self) {
        if self.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        self.nodes.iter().for_each(Node::kill);
        self.record_logs();
        self.groups.iter().for_each(|group| group.stop());
        if std::env::var_os("KEEP").is_none() {
            // What remains there does no harm.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.end();
    }
}

pub struct Route<'a> {
    pub database: &'a str,
    pub service: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub staleness_ms: u64,
}

/// A configuration as the operator writes it.
pub fn configuration(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{0}\",\"host\":\"{0}\",\"service\":\"{1}\",\"route_kind\":\"{2}\",\
                 \"timeout_ms\":{3},\"goal_ms\":250,\"priority\":1,\"max_staleness_ms\":{4}}}",
                route.database, route.service, route.kind, route.timeout_ms, route.staleness_ms
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"max_conns\":34,\"sync_replicas\":1}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"tx_idle_ms\":3000}}}}",
        routes.join(","),
        services.join(",")
    )
}
