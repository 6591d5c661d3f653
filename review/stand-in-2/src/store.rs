//! The platform: its store of versioned rows and its promotion service, as PROTOCOL.md has them.
//!
//! Each process gets an address of its own, so that a run can cut or delay one of them.

use crate::json::{Json, quote};
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Duration of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Rows of one answer at most.
const MAX_ROWS: usize = 500;

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    /// Base64 text; `None` once the row is gone.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
}

/// A write that a process had done: who, table, key and value.
pub type WriteHook = Box<dyn Fn(&str, &str, &str, &str) + Send + Sync>;
/// Answers a promotion order: who called, holder, token, service and id; returns the status.
pub type OrderHook = Box<dyn Fn(&str, &str, u64, &str, &str) -> u16 + Send + Sync>;

pub struct Platform {
    rows: Mutex<Rows>,
    changed: Condvar,
    record: Arc<Record>,
    started: Instant,
    pub on_write: Mutex<Option<WriteHook>>,
    pub on_order: Mutex<Option<OrderHook>>,
}

struct Call {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: String,
}

impl Platform {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            record,
            started: Instant::now(),
            on_write: Mutex::default(),
            on_order: Mutex::default(),
        })
    }

    /// Serves the process `caller` at a new address.
    pub fn serve(self: &Arc<Self>, caller: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let platform = Arc::clone(self);
        let caller = caller.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (platform, caller) = (Arc::clone(&platform), caller.clone());
                thread::spawn(move || platform.serve_connection(&caller, stream));
            }
        });
        address
    }

    /// Writes a row of the operator or of a server.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = Some(encode_base64(value.as_bytes()));
        rows.rows.insert(key, Row { value, version });
        self.changed.notify_all();
        version
    }

    /// Removes a row of the operator or of a server.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = None;
        rows.rows.insert(key, Row { value, version });
        self.changed.notify_all();
    }

    fn serve_connection(&self, caller: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut input = BufReader::new(stream);
        while let Some(call) = read_call(&mut input) {
            let (status, body) = self.answer(caller, &call);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = output.write_all(head.as_bytes());
            if sent
                .and_then(|()| output.write_all(body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, caller: &str, call: &Call) -> (u16, String) {
        thread::sleep(ANSWER_TIME);
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/-/rows-tx") => self.transact(caller, call),
            ("GET", "/-/rows-get") => self.get(call),
            ("GET", "/-/rows-feed") => self.feed(call),
            ("POST", "/promotion") => self.order(caller, call),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn get(&self, call: &Call) -> (u16, String) {
        let text = |name: &str| call.query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let before = call.query.get("target_version").filter(|b| !b.is_empty());
        let limit: usize = text("limit").parse().unwrap_or(MAX_ROWS);
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|((of, in_part, key), row)| {
            let is_in_range = *key >= from && before.is_none_or(|before| key < before);
            *of == table && *in_part == part && is_in_range && row.value.is_some()
        });
        let found: Vec<String> = found.map(|(key, row)| encode_row(key, row)).collect();
        let shown = limit.min(MAX_ROWS).min(found.len());
        let body = format!(
            "{{\"rows\":[{}],\"more\":{},\"ver\":{},\"now_ms\":{}}}",
            found[..shown].join(","),
            shown < found.len(),
            rows.version,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, call: &Call) -> (u16, String) {
        let text = |name: &str| call.query.get(name).cloned().unwrap_or_default();
        let table = text("table");
        let after: u64 = text("after").parse().unwrap_or(0);
        let wait: u64 = text("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changed = rows.rows.iter();
            let changed = changed.filter(|((of, _, _), row)| *of == table && row.version > after);
            let mut changed: Vec<(&RowKey, &Row)> = changed.collect();
            changed.sort_by_key(|(_, row)| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let changed = changed.iter().map(|(key, row)| encode_row(key, row));
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    changed.collect::<Vec<String>>().join(","),
                    rows.version,
                    self.now_ms()
                );
                return (200, body);
            }
            (rows, _) = self.changed.wait_timeout(rows, left).unwrap();
        }
    }

    fn transact(&self, caller: &str, call: &Call) -> (u16, String) {
        let Some(body) = Json::parse(&call.body) else {
            return (400, "{}".to_owned());
        };
        let key_of = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut rows = self.rows.lock().unwrap();
        for expected in body.list("expected_rev") {
            let row = rows.rows.get(&key_of(expected));
            let row = row.filter(|row| row.value.is_some());
            if row.map_or(0, |row| row.version) != expected.number("ver") {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        rows.version += 1;
        let version = rows.version;
        let mut written = Vec::new();
        for put in body.list("put") {
            let value = put.text("value");
            written.push((put.text("table"), put.text("key"), value.clone()));
            let value = Some(value);
            rows.rows.insert(key_of(put), Row { value, version });
        }
        for removed in body.list("remove") {
            let value = None;
            rows.rows.insert(key_of(removed), Row { value, version });
        }
        self.changed.notify_all();
        drop(rows);
        for (table, key, value) in written {
            let value = decode_base64(&value);
            let value = String::from_utf8_lossy(&value).into_owned();
            if let Some(hook) = self.on_write.lock().unwrap().as_ref() {
                hook(caller, &table, &key, &value);
            }
        }
        (
            200,
            format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms()),
        )
    }

    fn order(&self, caller: &str, call: &Call) -> (u16, String) {
        let header = |name: &str| call.headers.get(name).cloned().unwrap_or_default();
        let holder = header("x-duty-holder");
        let token = header("x-fencing-token").parse().unwrap_or(0);
        let body = Json::parse(&call.body).unwrap_or(Json::Null);
        let (service, id) = (body.text("service"), body.text("id"));
        let hook = self.on_order.lock().unwrap();
        let status = match hook.as_ref() {
            Some(hook) => hook(caller, &holder, token, &service, &id),
            None => 503,
        };
        self.record.line(&format!(
            "platform: POST /promotion service {service} id {id} holder {holder} token {token}: {status}"
        ));
        (status, "{}".to_owned())
    }
}

fn encode_row((_, part, key): &RowKey, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"gone\":true".to_owned(),
    };
    format!(
        "{{\"part\":{},\"key\":{},{value},\"ver\":{}}}",
        quote(part),
        quote(key),
        row.version
    )
}

fn read_call(input: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    if input.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut header = String::new();
        if input.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = header.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length: usize = length.map_or(Some(0), |text| text.parse().ok())?;
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), unescape(value)));
    Some(Call {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3));
        match code.flatten().and_then(|c| u8::from_str_radix(c, 16).ok()) {
            Some(byte) => {
                plain.push(byte);
                at += 3;
            }
            None => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|known| *known == byte) else {
            continue;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}
