//! A client of the wire of PROTOCOL.md.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// One session.
pub struct Client {
    pub name: String,
    input: BufReader<TcpStream>,
    output: TcpStream,
    record: Arc<Record>,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub id: String,
    pub rows: Vec<String>,
    /// The signature, or the code of the error; the code `NONE` if there was no complete answer.
    pub outcome: Result<String, String>,
    pub state: String,
}

impl Client {
    /// Opens a session on `database`.
    pub fn open(
        address: SocketAddr,
        database: &str,
        name: &str,
        record: &Arc<Record>,
    ) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let mut output = stream.try_clone().ok()?;
        let mut input = BufReader::new(stream);
        let startup = format!("STARTUP {database} {name}\r\n");
        output.write_all(startup.as_bytes()).ok()?;
        let mut line = String::new();
        input.read_line(&mut line).ok()?;
        line.starts_with("READY").then(|| Self {
            name: name.to_owned(),
            input,
            output,
            record: Arc::clone(record),
        })
    }

    /// Sends a statement and waits up to `patience` for the whole answer.
    pub fn ask(&mut self, text: &str, patience: Duration) -> Answer {
        let id = format!(
            "{:016x}",
            0x5c0e_7a21_0000_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed)
        );
        self.record
            .line(&format!("client {}: sends {id} {text}", self.name));
        let _ = self.input.get_ref().set_read_timeout(Some(patience));
        let query = format!("QUERY {id} {text}\r\n");
        let mut answer = Answer {
            id,
            rows: Vec::new(),
            outcome: Err("NONE".to_owned()),
            state: String::new(),
        };
        if self.output.write_all(query.as_bytes()).is_ok() {
            self.read_answer(&mut answer);
        }
        self.record.line(&format!(
            "client {}: {} got {} {:?} {}",
            self.name,
            answer.id,
            match &answer.outcome {
                Ok(signature) => format!("COMPLETE {signature}"),
                Err(code) => format!("ERROR {code}"),
            },
            answer.rows,
            answer.state
        ));
        answer
    }

    fn read_answer(&mut self, answer: &mut Answer) {
        let mut outcome = None;
        loop {
            let mut line = String::new();
            match self.input.read_line(&mut line) {
                Ok(count) if count > 0 => {}
                _ => return,
            }
            let line = line.trim_end();
            let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
            match word {
                "ROW" => answer.rows.push(rest.to_owned()),
                "COMPLETE" => outcome = Some(Ok(rest.to_owned())),
                "ERROR" => {
                    let code = rest.split(' ').next().unwrap_or_default();
                    outcome = Some(Err(code.to_owned()));
                }
                "READY" => {
                    answer.state = rest.split(' ').next().unwrap_or_default().to_owned();
                    if let Some(outcome) = outcome {
                        answer.outcome = outcome;
                    }
                    return;
                }
                _ => return,
            }
        }
    }
}
