//! The platform's metadata store: rows with versions, conditional writes and a feed.

use crate::http::{Answer, Request, Server};
use crate::json::{self, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that a writing call takes (`tx_ms`).
const WRITE_TIME: Duration = Duration::from_millis(3);
const PAGE_ROWS: usize = 500;

#[derive(Clone)]
struct Row {
    /// Base64; `None` once it is removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    /// By table, part and key.
    rows: BTreeMap<(String, String, String), Row>,
    version: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<(Arc<Self>, Arc<Server>)> {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let answering = Arc::clone(&store);
        let server = Server::start(address, Arc::new(move |request| answering.answer(&request)))?;
        Ok((store, server))
    }

    /// Writes a row of the operator's or the servers' tables.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(json::base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let at = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(at, Row { value, version });
        self.changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    fn answer(&self, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/rows-get") => Some((200, self.get(request))),
            ("GET", "/-/rows-feed") => Some((200, self.feed(request))),
            ("POST", "/-/rows-tx") => Some(self.transact(request)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn get(&self, request: &Request) -> String {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, before) = (
            request.parameter("from"),
            request.parameter("target_version"),
        );
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|((known, of, key), row)| {
            *known == table
                && *of == part
                && *key >= from
                && (before.is_empty() || *key < before)
                && row.value.is_some()
        });
        let all: Vec<String> = found.map(|(at, row)| row_json(at, row)).collect();
        let more = all.len() > PAGE_ROWS;
        let shown = all[..all.len().min(PAGE_ROWS)].join(",");
        format!(
            "{{\"rows\":[{shown}],\"more\":{more},\"ver\":{},\"now_ms\":{}}}",
            rows.version,
            self.now_ms()
        )
    }

    fn feed(&self, request: &Request) -> String {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changed = rows.rows.iter();
            let changed =
                changed.filter(|((known, ..), row)| *known == table && row.version > after);
            let mut changed: Vec<_> = changed.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, row)| row.version);
                let shown: Vec<String> = changed
                    .into_iter()
                    .map(|(at, row)| row_json(at, row))
                    .collect();
                return format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    shown.join(","),
                    rows.version,
                    self.now_ms()
                );
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        std::thread::sleep(WRITE_TIME);
        let Some(body) = json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let at = |row: &Value| {
            let text = |name: &str| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let expected = body.get("expected_rev").list();
        let present = |row: &Value| {
            let known = rows.rows.get(&at(row)).filter(|row| row.value.is_some());
            known.map_or(0, |row| row.version)
        };
        if expected
            .iter()
            .any(|row| present(row) != row.get("ver").number())
        {
            let shown: Vec<String> = expected
                .iter()
                .filter_map(|row| rows.rows.get_key_value(&at(row)))
                .filter(|(_, row)| row.value.is_some())
                .map(|(at, row)| row_json(at, row))
                .collect();
            return (412, format!("{{\"rows\":[{}]}}", shown.join(",")));
        }
        rows.version += 1;
        let version = rows.version;
        for put in body.get("put").list() {
            let value = Some(put.get("value").text().to_owned());
            rows.rows.insert(at(put), Row { value, version });
        }
        for removed in body.get("remove").list() {
            let value = None;
            rows.rows.insert(at(removed), Row { value, version });
        }
        self.changed.notify_all();
        let now = self.now_ms();
        (200, format!("{{\"ver\":{version},\"now_ms\":{now}}}"))
    }
}

fn row_json((table, part, key): &(String, String, String), row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"gone\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{value},\"ver\":{}}}",
        json::quote(table),
        json::quote(part),
        json::quote(key),
        row.version
    )
}
